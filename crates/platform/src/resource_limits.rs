//! Decides how the descriptors and the memory that the platform allows are divided. Call [`ResourceLimits::of`] once.

use crate::config::Limits;

/// Descriptors for everything that is neither a client's nor a worker's connection: the listener, discovery, signals,
/// the runtime's own, connections that are just being closed, and those that are refused at the door.
const RESERVED: usize = 32;
/// Clients get one descriptor in this many. The usual ones hold a third at most, and so keep room beside idle ones.
const CLIENTS_PART: usize = 2;
/// Bodies of requests in progress get one byte in this many: the program and its tables need the rest.
const BODIES_PART: f64 = 8.0;
/// No machine gives more descriptors than this.
const MOST_DESCRIPTORS: u64 = 1 << 20;

/// What one router may hold at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to workers.
    pub workers: usize,
    /// Bodies of all requests in progress, in bytes.
    pub body_bytes: u64,
}

impl ResourceLimits {
    /// Divides what the platform's configuration allows; every part gets at least one.
    pub fn of(limits: Limits) -> Self {
        let descriptors = limits.sockets.min(MOST_DESCRIPTORS) as usize;
        let clients = (descriptors / CLIENTS_PART).max(1);
        let workers = descriptors.saturating_sub(clients + RESERVED).max(1);
        let memory_bytes = limits.memory_mb * f64::from(1 << 20);
        ResourceLimits {
            clients,
            workers,
            body_bytes: (memory_bytes / BODIES_PART) as u64,
        }
    }
}
