//! Divides the file descriptors and the memory that the platform allows between clients, workers and the router itself.
//! Call [`ResourceLimits::of`] once, at startup.

use crate::config::Limits;

/// Number of descriptors that are reserved for everything but admitted clients and workers: the listener, discovery,
/// signals, the runtime, connections that are being closed, and clients that were rejected when they connected.
const RESERVED_DESCRIPTORS: usize = 32;
/// Client connections get the descriptors divided by this number. Well-behaved clients use at most a third of all
/// descriptors, so half of them is enough even if other clients stay connected without sending requests.
const CLIENT_DESCRIPTORS_DIVISOR: usize = 2;
/// Bodies of requests in flight get the memory divided by this number. The program and its tables need the rest.
const BODY_MEMORY_DIVISOR: f64 = 8.0;
/// Functions and their copies get the memory divided by this number.
const FUNCTION_MEMORY_DIVISOR: f64 = 8.0;
/// What clients have sent and is not passed on yet, what workers have answered in part, and answers that clients have not
/// read yet each get the memory divided by this number.
const BUFFER_MEMORY_DIVISOR: f64 = 8.0;
/// Ids of requests that may have run get the memory divided by this number.
const ID_MEMORY_DIVISOR: f64 = 16.0;
/// Memory of one worker in the list, in all tables, in bytes.
const WORKER_BYTES: f64 = 1024.0;
/// The list of workers gets the memory divided by this number.
const WORKER_MEMORY_DIVISOR: f64 = 8.0;
/// Most workers in the list, however much memory there is.
const MAX_WORKERS: usize = 20_000;
/// Upper limit on the configured number of descriptors: no machine allows a process more.
const MAX_DESCRIPTORS: u64 = 1 << 20;

/// The resources of one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Most client connections that are open at once.
    pub clients: usize,
    /// Most connections to workers that are open at once.
    pub workers: usize,
    /// Most memory for the bodies of all requests in flight, in bytes.
    pub body_bytes: u64,
    /// Most memory for the functions that clients name and their copies, in bytes.
    pub function_bytes: u64,
    /// Most memory for each kind of buffer: input of clients, unfinished answers of workers, and answers that clients have
    /// not read; in bytes.
    pub buffer_bytes: usize,
    /// Most memory for ids of requests that may have run, in bytes.
    pub id_bytes: usize,
    /// Most workers in the list.
    pub listed_workers: usize,
}

impl ResourceLimits {
    /// Divides the limits. Clients and workers get at least one connection each. `process_descriptors`: the most
    /// descriptors that the operating system lets this process open, if there is such a limit. The smaller one of it and
    /// the configured number applies: at the system's limit, connections would fail in place of being refused or shared.
    pub fn of(limits: Limits, process_descriptors: Option<u64>) -> Self {
        let descriptors = limits
            .sockets
            .min(process_descriptors.unwrap_or(MAX_DESCRIPTORS))
            .min(MAX_DESCRIPTORS) as usize;
        let clients = (descriptors / CLIENT_DESCRIPTORS_DIVISOR).max(1);
        let workers = descriptors
            .saturating_sub(clients + RESERVED_DESCRIPTORS)
            .max(1);
        let memory_bytes = limits.memory_mb * f64::from(1 << 20);
        ResourceLimits {
            clients,
            workers,
            body_bytes: (memory_bytes / BODY_MEMORY_DIVISOR) as u64,
            listed_workers: MAX_WORKERS
                .min((memory_bytes / WORKER_MEMORY_DIVISOR / WORKER_BYTES) as usize),
            buffer_bytes: (memory_bytes / BUFFER_MEMORY_DIVISOR) as usize,
            id_bytes: (memory_bytes / ID_MEMORY_DIVISOR) as usize,
            function_bytes: (memory_bytes / FUNCTION_MEMORY_DIVISOR) as u64,
        }
    }
}
