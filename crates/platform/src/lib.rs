//! Wire protocols and state machines of a router on the users' platform, without I/O: they take bytes and times and
//! return typed events and bytes. The crate uses no sockets, clocks or threads, and it does not choose the worker for a
//! request: the balancer (the decision module, `cedarpulley::Balancer`) does.
//!
//! [`client_protocol`] and [`worker_protocol`] are the best places to start reading.
//!
//! * [`config`]: the configuration file.
//! * [`discovery`]: the watch events that change the endpoint list, each applied once and in order.
//! * [`client_protocol`]: requests from clients and the responses to them.
//! * [`worker_protocol`]: the line protocol between router and workers.
//! * [`attempt_outcome`]: what the end of an exchange with a worker proves about the request.
//! * [`connection_pool`]: decides which connection to a worker carries an exchange, and when connections are closed.
//! * [`connection_limiter`]: decides which client connections stay open.
//! * [`resource_limits`]: divides the descriptors and the memory that the platform allows.
//! * [`request_ids`]: what the id of a request proves, and for how long.
//! * [`memory_share`]: counts the memory of the buffers of many connections.
//! * [`event_loop_lag`]: estimates how late the process reads bytes that have arrived.
//! * [`input_queue`]: the inputs that wait for the router core, of which a turn handles a limited number.
//! * [`loop_activity`]: records what fills the turns of the core loop.
//! * [`listen_queue`]: tells whether connects of clients may have been dropped.
//! * [`graceful_shutdown`]: decides which requests are accepted after the signal to stop, and when the process exits.

#![warn(missing_docs)]

pub mod attempt_outcome;
pub mod client_protocol;
pub mod config;
pub mod connection_limiter;
pub mod connection_pool;
pub mod discovery;
pub mod event_loop_lag;
pub mod graceful_shutdown;
mod input_buffer;
pub mod input_queue;
pub mod listen_queue;
pub mod loop_activity;
pub mod request_ids;
pub mod resource_limits;
pub mod worker_protocol;

pub use cedarpulley_router::memory_share;
