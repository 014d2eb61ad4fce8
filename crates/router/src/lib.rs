//! The router core: receives invocations from all fronts, passes every event to the balancer (the decision module), and
//! returns the messages to send. The entry point is [`Router::handle`] in `core/mod.rs`.
//!
//! The core performs no I/O, reads no clock and starts no threads. The caller passes in the time and the events and
//! carries out the outputs; the same events at the same times give the same outputs. The balancer
//! (`cedarpulley::Balancer`) decides which worker an invocation is sent to. The other decisions are made by small
//! modules that can be tested on their own; `interface`, `replication` and `observer` define the types at the boundary.
//!
//! * [`interface`]: the types that the fronts, the connections to the workers and the core exchange.
//! * [`concurrency_limit`]: how many invocations may be in flight, in total and per front.
//! * [`admission_control`]: whether a request is admitted before its body is read.
//! * [`fair_share`]: the share of the limit that each front and account may use when one of them floods the
//!   router.
//! * [`redelivery`]: how a message is handled that may have been delivered before: it runs, joins an open invocation,
//!   gets the earlier answer, or is refused.
//! * [`answer_registry`]: the final answer of each message, stored until it is delivered.
//! * [`idempotency_keys`]: the answer to a client's retry with the same idempotency key.
//! * [`replication`]: the messages between this router and its group of routers.
//! * [`endpoint_list`]: the published endpoint list, kept correct when its watch breaks, repeats events or goes back in
//!   time.
//! * [`drain_gate`]: whether new work may still be sent to a worker, which may be draining or gone by now.
//! * [`worker_index_allocator`]: when the index of a removed worker may be reused.
//! * [`memory_share`]: counts the memory of the buffers of many connections.
//! * [`queueing_delay`]: whether an invocation waited for a load or for a lane.
//! * [`observer`]: the interface of observers, which are notified of events and decisions.
//! * [`backoff`]: the delay before the router reconnects to an external service.

#![warn(missing_docs)]

pub mod admission_control;
pub mod answer_registry;
pub mod backoff;
pub mod concurrency_limit;
pub mod core;
pub mod drain_gate;
pub mod endpoint_list;
pub mod fair_share;
pub mod idempotency_keys;
pub mod interface;
pub mod memory_share;
pub mod observer;
pub mod queueing_delay;
pub mod redelivery;
pub mod replication;
mod slot_map;
pub mod worker_index_allocator;

pub use crate::core::{CoreSettings, Input, Output, Router, RouterCounters};
pub use crate::interface::{
    Answer, AnswerReason, Delivery, FinalOutcome, FrontIndex, IncomingInvocation, LoadOrderTicket,
    Payload, Session, Ticket,
};
