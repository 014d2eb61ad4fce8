//! The inputs and outputs of [`Sessions`](super::Sessions), its settings and its counters.

use cedarpulley::interface::Micros;
use serde::Serialize;

use crate::Name;

/// Limits of [`Sessions`](super::Sessions). All times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionSettings {
    /// Time without an invocation after which a session is over; records are retained for the same time.
    pub retention: Micros,
    /// Longest time for which an invocation waits for a majority.
    pub majority_timeout: Micros,
    /// Maximum number of sessions known here.
    pub max_sessions: usize,
    /// Maximum number of invocations that wait for a majority.
    pub max_waiting: usize,
}

/// An input event.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// An invocation of a session has arrived and is to be forwarded.
    Arrived {
        /// Identifies the invocation among all that wait.
        ticket: u64,
        /// The model.
        model: Name,
        /// The session.
        session: Name,
        /// The version to which the session is bound if a majority has no binding; absent where sessions are not bound.
        proposed_version: Option<Name>,
        /// The placement that another router published last.
        published_placement: Option<SessionPlacement>,
    },
    /// The invocation was dropped while it waited, for example because its front was lost.
    Dropped {
        /// Its ticket.
        ticket: u64,
    },
    /// A majority's answer to [`Output::RequestBinding`].
    Decided {
        /// The key of the request.
        key: Name,
        /// The chosen version; absent if there was no majority.
        version: Option<Name>,
    },
    /// A worker has answered an invocation of the session.
    Answered {
        /// The model.
        model: Name,
        /// The session.
        session: Name,
        /// The worker.
        worker: Name,
        /// Whether it was the session's last invocation.
        ends_session: bool,
    },
    /// The session's prefix is no longer cached on this worker.
    PrefixLost {
        /// The model.
        model: Name,
        /// The session.
        session: Name,
        /// The worker.
        worker: Name,
    },
    /// The worker is gone, or has restarted as a new incarnation.
    WorkerGone {
        /// The worker.
        worker: Name,
    },
    /// Only the time has advanced.
    Tick,
}

/// The worker that answered a session last. Of two placements, the one with the higher number is later.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionPlacement {
    /// Increases with each change.
    pub number: u64,
    /// The worker; empty if there is none any more.
    pub worker: Name,
}

/// Why an invocation is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// No majority answered in time.
    NoMajority,
    /// Too many invocations wait already.
    Full,
}

/// A request to the router, or a decision about an invocation.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Ask a majority to choose the version of a session, once for all routers.
    RequestBinding {
        /// The key of the record.
        key: Name,
        /// The version to propose.
        version: Name,
        /// How long the record is retained.
        retention: Micros,
    },
    /// Forward an invocation.
    Forward {
        /// Its ticket.
        ticket: u64,
        /// The version to which its session is bound; absent where sessions are not bound.
        version: Option<Name>,
        /// The worker that answered the session last.
        preferred_worker: Option<Name>,
        /// Whether another router published this worker and this is the first invocation of the session here since
        /// then.
        placed_by_other_router: bool,
    },
    /// Reject an invocation.
    Reject {
        /// Its ticket.
        ticket: u64,
        /// The reason.
        reason: RejectionReason,
    },
    /// Notify the other routers of the session's worker.
    PublishPlacement {
        /// The key of the note.
        key: Name,
        /// The placement to publish.
        placement: SessionPlacement,
        /// How long the note is retained.
        retention: Micros,
    },
}

/// Counters, for `GET /state`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Sessions bound here for the first time.
    pub sessions_bound: u64,
    /// Bindings that a majority renewed with the version known here.
    pub sessions_renewed: u64,
    /// Invocations rejected because no majority answered.
    pub sessions_without_majority: u64,
    /// Invocations rejected because too many waited.
    pub sessions_refused_full: u64,
    /// Sessions evicted because the table was full; their next invocation requests the binding again.
    pub sessions_forgotten: u64,
    /// Sessions for which a majority chose another version than the one known here, because its record had expired.
    pub sessions_rebound: u64,
    /// Changes of the worker of a session.
    pub sessions_moved: u64,
}
