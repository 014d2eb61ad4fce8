//! The types that the fronts, the connections to the workers and the core exchange: deliveries, messages, answers and
//! tickets.

use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::{FunctionIndex, InvocationIndex, Micros, WorkerIndex};

/// Index of a front: a listener for clients, or a connection to a broker.
pub type FrontIndex = u32;

/// Identifies a message or request that a front passed to the core, so that its answer can be returned to that front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Delivery {
    /// The front that received the message.
    pub front: FrontIndex,
    /// Incarnation of the front's connection. It changes whenever the front loses its connection or channel; a message
    /// of an earlier incarnation can no longer be answered.
    pub incarnation: u32,
    /// Number of the message within the incarnation.
    pub tag: u64,
}

/// Identifies one dispatch. Unique even if the index of its invocation is reused, owing to the generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket {
    /// Index of the invocation.
    pub invocation: InvocationIndex,
    /// Number of the dispatch within its invocation, from 0.
    pub dispatch: u32,
    /// Generation of the invocation's index; results of dispatches of an earlier generation are ignored.
    pub generation: u32,
}

/// Identifies one load order, or one query for the number of loaded copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LoadOrderTicket {
    /// The worker that receives the order.
    pub worker: WorkerIndex,
    /// The function to load.
    pub function: FunctionIndex,
    /// Serial number, unique among all orders of this router.
    pub serial: u64,
}

/// The outcome of an invocation, as reported to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FinalOutcome {
    /// A worker ran the invocation and answered.
    Succeeded,
    /// The invocation did not run, or may safely run again: a retry is harmless.
    Throttled,
    /// The invocation failed; whether it ran is not known.
    Errored,
}

/// The reason for an answer; sent to the client and counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AnswerReason {
    /// A worker answered.
    Worker,
    /// The balancer gave the invocation up.
    GivenUp,
    /// The client timeout had passed before the message arrived at this router.
    Expired,
    /// The message was delivered before, and the invocation may have run.
    MayHaveRun,
    /// There was no answer by the time at which the final answer was due.
    Overdue,
    /// The router already knows the maximum number of functions.
    Functions,
    /// The body is larger than the free memory for bodies.
    Size,
    /// Its account or front exceeds its share and thereby delays the invocations of others.
    Share,
    /// The invocation needs a majority of the group, and there was none.
    NoMajority,
    /// The function version that its session is bound to is out of service.
    SessionOver,
    /// A worker answered; the invocation ran without a majority of the group, which the operator's settings allow.
    Alone,
    /// Discovery has been unreachable for so long that any worker may drain, and health checks are not allowed.
    DrainsUnknown,
}

/// The body of a request or of an answer. Decisions depend on its length only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Payload {
    /// The whole body.
    pub bytes: Bytes,
    /// Length in bytes of the first part, if the body consists of two parts.
    pub first_part_length: Option<u32>,
}

impl Payload {
    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the body is empty.
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
    /// Identifier of the session.
    pub id: Arc<str>,
    /// Whether the invocation is the first one of the session.
    pub is_first: bool,
    /// Whether the invocation is the last one of the session.
    pub is_last: bool,
}

/// The final answer to a delivery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The outcome.
    pub outcome: FinalOutcome,
    /// The reason for the outcome.
    pub reason: AnswerReason,
    /// Delay after which the client should retry (Retry-After), if one is sent.
    pub retry_after: Option<Micros>,
    /// Body of the worker's answer; empty if no worker answered.
    pub body: Payload,
}

impl Answer {
    /// Creates an answer without a body and without Retry-After.
    pub fn without_body(outcome: FinalOutcome, reason: AnswerReason) -> Self {
        Answer {
            outcome,
            reason,
            retry_after: None,
            body: Payload::default(),
        }
    }
}

/// A message or request as parsed by its front.
#[derive(Clone, Debug)]
pub struct IncomingInvocation {
    /// The delivery to answer.
    pub delivery: Delivery,
    /// Identity of the message: the same for every delivery of one message, unique among messages; absent if the
    /// message has none.
    pub identity: Option<Arc<str>>,
    /// Name of the invocation, passed on to the worker. No decision depends on it.
    pub name: Option<Arc<str>>,
    /// Whether the message was delivered before, to this router or another.
    pub redelivered: bool,
    /// Whether the client marked the message as a retry.
    pub client_retry: bool,
    /// Index of the trigger type.
    pub trigger: u32,
    /// Index of the account.
    pub account: u32,
    /// The function to run.
    pub function: Arc<str>,
    /// The idempotency key, by which repeats are recognised.
    pub idempotency_key: Option<Arc<str>>,
    /// How long the client had already waited when the message arrived.
    pub waited: Micros,
    /// How long the client waits in total, counted from when it sent the message; at most the trigger type's client
    /// timeout.
    pub client_timeout: Micros,
    /// Expected execution time, if the client gives a hint.
    pub cost_hint: Option<Micros>,
    /// Expected time to load a copy, if the client gives a hint.
    pub load_hint: Option<Micros>,
    /// Size of a copy in megabytes.
    pub copy_mb: f64,
    /// Invocations that one copy runs at a time.
    pub lanes: u32,
    /// The session that the invocation belongs to.
    pub session: Option<Session>,
    /// The function name that the client requested, if it differs from `function`. A retry of the same request may be
    /// routed to a different function.
    pub requested_function: Option<Arc<str>>,
    /// The worker, by its name in the endpoint list, that holds the state of the session's earlier invocations.
    pub preferred_worker: Option<Arc<str>>,
    /// The final answer, if the front has already decided it. The message is then only answered and counted.
    pub predetermined_answer: Option<(FinalOutcome, AnswerReason)>,
    /// The body of the message.
    pub body: Payload,
}

impl IncomingInvocation {
    /// The function name that the client requested.
    pub fn requested_name(&self) -> &str {
        self.requested_function.as_deref().unwrap_or(&self.function)
    }
}
