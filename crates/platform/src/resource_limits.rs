//! Decides how the descriptors and the memory that the platform allows are divided. Call [`ResourceLimits::of`] once.

use crate::config::Limits;

/// Descriptors for everything that is neither a client's nor a worker's connection: the listener, discovery, signals,
/// the runtime's own, connections that are just being closed, and those that are rejected when they connect.
const RESERVED_DESCRIPTORS: usize = 32;
/// Clients get one descriptor in this many. Well-behaved ones use a third at most, so idle ones do not crowd them out.
const CLIENTS_DIVISOR: usize = 2;
/// Bodies of requests in flight get one byte in this many: the program and its tables need the rest.
const BODIES_DIVISOR: f64 = 8.0;
/// No machine gives more descriptors than this.
const MAX_DESCRIPTORS: u64 = 1 << 20;

/// The resources of one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Connections of clients that may be open at once.
    pub clients: usize,
    /// Connections to workers that may be open at once.
    pub workers: usize,
    /// Bodies of all requests in flight, in bytes.
    pub body_bytes: u64,
}

impl ResourceLimits {
    /// Divides what the platform's configuration allows; every part gets at least one.
    pub fn of(limits: Limits) -> Self {
        let descriptors = limits.sockets.min(MAX_DESCRIPTORS) as usize;
        let clients = (descriptors / CLIENTS_DIVISOR).max(1);
        let workers = descriptors
            .saturating_sub(clients + RESERVED_DESCRIPTORS)
            .max(1);
        let memory_bytes = limits.memory_mb * f64::from(1 << 20);
        ResourceLimits {
            clients,
            workers,
            body_bytes: (memory_bytes / BODIES_DIVISOR) as u64,
        }
    }
}
