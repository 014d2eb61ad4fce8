//! Decides how what the platform allows a router is parted. Call [`Bounds::of`] once.

use crate::config::Limits;

/// Descriptors for what is neither a client's nor a worker's connection: listener, channel, signals, the
/// runtime's own, and connections that are just being closed or turned away.
const RESERVE: usize = 32;
/// Clients get one descriptor in so many: usual ones hold a third at most, and so keep room beside silent
/// ones.
const CLIENTS_PART: usize = 2;
/// Bodies that are being served get one byte in so many: the program and its tables need the rest.
const BODIES_PART: f64 = 8.0;
/// More descriptors than this no machine gives.
const MOST: u64 = 1 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections of clients and to workers.
    pub clients: usize,
    pub workers: usize,
    pub body_bytes: u64,
}

impl Bounds {
    pub fn of(limits: Limits) -> Self {
        let sockets = limits.sockets.min(MOST) as usize;
        let clients = (sockets / CLIENTS_PART).max(1);
        let workers = sockets.saturating_sub(clients + RESERVE).max(1);
        Bounds { clients, workers, body_bytes: (limits.memory_mb * f64::from(1 << 20) / BODIES_PART) as u64 }
    }
}
