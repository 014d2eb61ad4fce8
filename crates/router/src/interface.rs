//! The types that fronts, workers' connections and the core exchange: deliveries, messages, answers and tickets.

use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::{FunctionIndex, InvocationIndex, Micros, WorkerIndex};

/// Index of a front: a listener for clients, or a connection to a broker.
pub type FrontIndex = u32;

/// Identifies a message that a front handed over, so that the answer finds its way back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Delivery {
    /// The front.
    pub front: FrontIndex,
    /// Incarnation of the front's connection, which changes whenever it loses its connection or channel: what was handed
    /// over in an earlier one can no longer be answered there.
    pub incarnation: u32,
    /// Number of the message within the incarnation.
    pub tag: u64,
}

/// Identifies one dispatch; never given out twice while its invocation's index may be reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket {
    /// The invocation.
    pub invocation: InvocationIndex,
    /// Number of the dispatch within its invocation, from 0.
    pub dispatch: u32,
    /// Generation of the invocation's index; the end of a dispatch of an earlier generation is ignored.
    pub generation: u32,
}

/// Identifies one load order, or one query for the number of copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderTicket {
    /// The worker that loads.
    pub worker: WorkerIndex,
    /// The function to load.
    pub function: FunctionIndex,
    /// Unlike that of any other order.
    pub serial: u64,
}

/// The outcome of an invocation, as its client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FinalOutcome {
    /// A worker ran it and answered.
    Succeeded,
    /// It did not run: a retry is harmless.
    Throttled,
    /// Anything may have happened.
    Errored,
}

/// Why an answer is what it is; sent to the client and counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AnswerReason {
    /// A worker answered.
    Worker,
    /// The decision module gave it up.
    GivenUp,
    /// The client's time had run out before it arrived here.
    Expired,
    /// It was delivered before and may have run.
    MayHaveRun,
    /// There was no answer by the time the client gives up.
    Overdue,
    /// The router knows as many functions as it can.
    Functions,
    /// It is larger than the free memory for bodies.
    Size,
    /// Its account or front floods the router, and others suffer from it.
    Share,
    /// It needs a majority of the group, and there was none.
    NoMajority,
    /// The version of its session is out of service.
    SessionOver,
    /// A worker answered; it ran without a majority of the group, as its operator accepts.
    Alone,
}

/// A body to a worker or from one. Only its length matters to decisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Payload {
    /// The whole body.
    pub bytes: Bytes,
    /// Length of the first part of a body that has two.
    pub first_part_length: Option<u32>,
}

impl Payload {
    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// There is nothing in it.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

impl From<Bytes> for Payload {
    fn from(bytes: Bytes) -> Self {
        Payload {
            bytes,
            first_part_length: None,
        }
    }
}

/// The session that an invocation belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    /// Name of the session.
    pub id: Arc<str>,
    /// The invocation is its first one.
    pub is_first: bool,
    /// The invocation is its last one.
    pub is_last: bool,
}

/// The final answer to a delivery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The outcome.
    pub outcome: FinalOutcome,
    /// Why.
    pub reason: AnswerReason,
    /// When the client should retry (Retry-After), if it is told.
    pub retry_after: Option<Micros>,
    /// The worker's answer.
    pub body: Payload,
}

impl Answer {
    /// An answer without body and Retry-After.
    pub fn without_body(outcome: FinalOutcome, reason: AnswerReason) -> Self {
        Answer {
            outcome,
            reason,
            retry_after: None,
            body: Payload::default(),
        }
    }
}

/// A message or request as its front understood it.
#[derive(Clone, Debug)]
pub struct IncomingInvocation {
    /// Where the answer goes.
    pub delivery: Delivery,
    /// The same for every delivery of the same message and for no other; absent if the message has none.
    pub identity: Option<Arc<str>>,
    /// The invocation's name as the worker is told; nothing is decided by it.
    pub name: Option<Arc<str>>,
    /// It was delivered before, to this router or another.
    pub redelivered: bool,
    /// The client marks it as a retry of its own.
    pub client_retry: bool,
    /// Index of its trigger type.
    pub trigger: u32,
    /// Index of its account.
    pub account: u32,
    /// The function to run.
    pub function: Arc<str>,
    /// The idempotency key, by which a repeat is recognised.
    pub idempotency_key: Option<Arc<str>>,
    /// How long the client had been waiting when it arrived.
    pub waited: Micros,
    /// How long the client waits over all, from its sending on; not longer than the trigger type's timeout.
    pub client_timeout: Micros,
    /// Expected work, if the client gives a hint.
    pub cost_hint: Option<Micros>,
    /// Expected time to load a copy, if the client gives a hint.
    pub load_hint: Option<Micros>,
    /// Size of a copy in megabytes.
    pub copy_mb: f64,
    /// Invocations that one copy runs at a time.
    pub lanes: u32,
    /// The session it belongs to.
    pub session: Option<Session>,
    /// The function's name as its client calls it, where that is another one: a retry may be routed to yet another.
    pub requested_function: Option<Arc<str>>,
    /// The worker, by its name in the endpoint list, where the earlier invocations of its session left their state.
    pub preferred_worker: Option<Arc<str>>,
    /// Its final answer, if that is decided already: it is then only answered and counted.
    pub predetermined_answer: Option<(FinalOutcome, AnswerReason)>,
    /// Its body.
    pub body: Payload,
}

impl IncomingInvocation {
    /// The function as its client calls it.
    pub fn requested_name(&self) -> &str {
        self.requested_function.as_deref().unwrap_or(&self.function)
    }
}
