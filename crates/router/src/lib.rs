//! The router core: receives invocations from any front, asks the decision module about every event, and says what is to
//! be sent where. Begin reading at [`Router::handle`] in `core/mod.rs`.
//!
//! It never touches a socket, a clock or a thread: time and events go in, outputs come out, and the same events give the
//! same outputs. Where an invocation goes, the decision module (`cedarpulley::Balancer`) decides. Beside it stand small
//! modules, each with its own state and used alone in the tests:
//!
//! * [`interface`]: the types that fronts, workers' connections and the core exchange.
//! * [`concurrency_limit`]: how many invocations may be in flight, from which front.
//! * [`admission_control`]: whether a request is admitted before its body is read.
//! * [`fair_share`]: which part of the limit each front and account may use when one floods the router.
//! * [`redelivery`]: what may be done with a message that was delivered before.
//! * [`answer_registry`]: which final answer was given to which message, until it is delivered.
//! * [`idempotency_keys`]: what a client's own retry with the same idempotency key gets.
//! * [`replication`]: what the other routers of a group are asked and told.
//! * [`endpoint_list`]: what the published endpoint list says, though its watch breaks, repeats or goes back in time.
//! * [`drain_gate`]: until when new work may be sent to a worker.
//! * [`worker_index_allocator`]: when the index of a removed worker may be reused.
//! * [`queueing_delay`]: whether an invocation waited for a load or for a lane.
//! * [`observer`]: who is notified, and never decides.
//! * [`backoff`]: how long to wait before connecting to something again.

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
pub mod observer;
pub mod queueing_delay;
pub mod redelivery;
pub mod replication;
mod slot_map;
pub mod worker_index_allocator;

pub use crate::core::{CoreSettings, Input, Output, Router, RouterCounters};
pub use crate::interface::{
    Answer, AnswerReason, Delivery, FinalOutcome, FrontIndex, IncomingInvocation, OrderTicket,
    Payload, Session, Ticket,
};
