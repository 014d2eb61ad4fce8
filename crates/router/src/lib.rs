//! The router core: takes invocations from any front, asks the decision module about every event, and says what
//! is to be sent where. Begin reading at [`Router::handle`] in `core/mod.rs`.
//!
//! It never touches a socket, a clock or a thread: time and events go in, outputs come out, and the same events
//! give the same outputs. Where an invocation goes, the module (`cedarpulley::Balancer`) decides. Beside it stand
//! small decision modules, each alone in its file:
//!
//! * [`admission`]: how many invocations may be taken, from whom.
//! * [`group`]: what the other routers of a group are asked and told.
//! * [`entry`]: whether a request at the door may come in.
//! * [`shares`]: what part of all each front and account may use when one floods.
//! * [`redelivery`]: what may be done with a message that was delivered before.
//! * [`claims`]: which final answer was given, until the front has it safely out.
//! * [`roster`]: what the worker list says, though its watch breaks, repeats or goes back in time.
//! * [`service`]: until when new work may leave for a worker.
//! * [`tenure`]: when the index of a worker that is gone may be given out again.
//! * [`tokens`]: what a client's own retry with the same token gets.
//! * [`waits`]: whether one waited for a load or for a lane.
//! * [`watch`]: who listens, and never decides.
//! * [`backoff`]: how long to wait before trying to reach something again.

pub mod admission_control;
pub mod answer_registry;
pub mod backoff;
pub mod concurrency_limit;
pub mod core;
pub mod drain_gate;
pub mod endpoint_list;
pub mod fair_share;
pub mod idempotency_keys;
pub mod observer;
pub mod queueing_delay;
pub mod redelivery;
pub mod replication;
mod slot_map;
pub mod worker_index_allocator;

#[doc(hidden)]
pub use admission_control as entry;
#[doc(hidden)]
pub use concurrency_limit as admission;
#[doc(hidden)]
pub use endpoint_list as roster;
#[doc(hidden)]
pub use observer as watch;
#[doc(hidden)]
pub use replication as group;

pub use crate::core::{Counts, Input, Output, Router, Terms};

use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::{FunctionIndex, InvocationIndex, Micros, WorkerIndex};

pub type FrontIndex = u32;

/// Names what a front handed over, so that the answer finds its way back. `life` changes whenever the front
/// loses its connection or channel: what was handed over in an earlier life can no longer be answered there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Delivery {
    pub front: FrontIndex,
    pub life: u32,
    pub tag: u64,
}

/// One dispatch on its way; never given out twice while its invocation's index may be reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket {
    pub inv: InvocationIndex,
    pub dispatch: u32,
    /// Of the invocation's index; an ending for an earlier generation is of no one's concern.
    pub generation: u32,
}

/// One order to load, or one question for how many copies stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderTicket {
    pub worker: WorkerIndex,
    pub func: FunctionIndex,
    pub serial: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Fate {
    Succeeded,
    /// Did not run: trying again is harmless.
    Throttled,
    /// Promises nothing.
    Errored,
}

/// Why an answer is what it is; goes to the client and into the counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reason {
    /// A worker answered.
    Worker,
    /// The module gave it up.
    GivenUp,
    /// The client's time had run out before it came here.
    Expired,
    /// It was delivered before and may have run.
    MayHaveRun,
    /// No answer by the time the client gives up.
    Overdue,
    /// More functions than this router keeps account of.
    Functions,
    /// Larger than this router takes.
    Size,
    /// Its account floods, and others suffer by it.
    Share,
    /// It needs a majority of the group, and there was none.
    NoMajority,
    /// Its session's version is out of service.
    SessionOver,
    /// A worker answered; it went without a majority of the group, as its operator accepts.
    Alone,
}

/// What is carried to a worker or back. Nothing is decided by it but by its length.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Payload {
    pub bytes: Bytes,
    /// Its first part is so long, where it has two.
    pub first: Option<u32>,
}

impl Payload {
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

impl From<Bytes> for Payload {
    fn from(bytes: Bytes) -> Self {
        Payload { bytes, first: None }
    }
}

/// The session that an invocation belongs to, and whether it is the first or the last of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    pub id: Arc<str>,
    pub start: bool,
    pub end: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub fate: Fate,
    pub reason: Reason,
    pub return_after: Option<Micros>,
    pub body: Payload,
}

impl Answer {
    pub fn bare(fate: Fate, reason: Reason) -> Self {
        Answer {
            fate,
            reason,
            return_after: None,
            body: Payload::default(),
        }
    }
}

impl Taken {
    /// The function as its client calls it.
    pub fn called(&self) -> &str {
        self.named.as_deref().unwrap_or(&self.function)
    }
}

/// What a front understood of a message.
#[derive(Clone, Debug)]
pub struct Taken {
    pub delivery: Delivery,
    /// The same for every delivery of the same message and for no other; absent if the message bears none.
    pub identity: Option<Arc<str>>,
    /// What the worker is told as the invocation's name; nothing is decided by it.
    pub mark: Option<Arc<str>>,
    /// Delivered before, to this router or another.
    pub redelivered: bool,
    /// A client's own repeat, where clients mark it.
    pub repeat: bool,
    pub trigger: u32,
    pub account: u32,
    pub function: Arc<str>,
    /// The mark by which a repeat is known.
    pub token: Option<Arc<str>>,
    /// For how long the client had been waiting when this came.
    pub waited: Micros,
    /// Over all, from the client's sending on; not above the trigger type's.
    pub client_timeout: Micros,
    pub cost_hint: Option<Micros>,
    pub load_hint: Option<Micros>,
    pub copy_mb: f64,
    pub lanes: u32,
    pub session: Option<Session>,
    /// What its client calls the function, where it goes by another name: a retry may go by yet another.
    pub named: Option<Arc<str>>,
    /// The worker, by its name in the list, where what came before in its session is warm.
    pub prefers: Option<Arc<str>>,
    /// It has its final answer already: it is taken only to be answered and counted.
    pub refused: Option<(Fate, Reason)>,
    pub body: Payload,
}
