//! What goes into [`Sessions`](super::Sessions) and what comes out, its settings and counters.

use cedarpulley::interface::Micros;
use serde::Serialize;

use crate::Name;

/// Limits and times, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionSettings {
    /// A session without any invocation for so long is over; records are retained for as long.
    pub retention: Micros,
    /// How long invocations wait for a majority.
    pub majority_timeout: Micros,
    /// Most sessions known here.
    pub max_sessions: usize,
    /// Most invocations that wait.
    pub max_waiting: usize,
}

/// An event.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// An invocation of a session, before it is forwarded.
    Arrived {
        /// Unlike that of any other that waits.
        ticket: u64,
        /// The model.
        model: Name,
        /// The session.
        session: Name,
        /// The version to bind the session to if a majority knows of none; absent where sessions are not bound.
        proposes: Option<Name>,
        /// What other routers published last.
        placed: Option<SessionPlacement>,
    },
    /// An invocation is not waited for any more.
    Left {
        /// Its ticket.
        ticket: u64,
    },
    /// A majority's answer to [`Output::Choose`].
    Decided {
        /// The key of the request.
        key: Name,
        /// The version chosen; absent: there was no majority.
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
        /// It was the session's last invocation.
        ends: bool,
    },
    /// The session's prefix is no longer cached on this worker.
    Lost {
        /// The model.
        model: Name,
        /// The session.
        session: Name,
        /// The worker.
        worker: Name,
    },
    /// The worker is gone, or a new incarnation of it has begun.
    Gone {
        /// The worker.
        worker: Name,
    },
    /// Time has passed.
    Tick,
}

/// Where a session was answered last. The one with the higher number is the later one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionPlacement {
    /// Grows with each change.
    pub number: u64,
    /// The worker; empty: none any more.
    pub worker: Name,
}

/// Why an invocation is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// No majority answered in time.
    NoMajority,
    /// Too many wait already.
    Full,
}

/// A request or a decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A majority is to choose a version once.
    RequestBinding {
        /// The key of the record.
        key: Name,
        /// The version to propose.
        version: Name,
        /// How long the record is retained.
        retention: Micros,
    },
    /// An invocation may be forwarded.
    Forward {
        /// Its ticket.
        ticket: u64,
        /// The version that its session is bound to; absent where sessions are not bound.
        version: Option<Name>,
        /// The worker that answered the session last.
        preferred_worker: Option<Name>,
        /// Another router has published this worker since the session's last invocation here.
        placed_by_other_router: bool,
    },
    /// An invocation is rejected.
    Reject {
        /// Its ticket.
        ticket: u64,
        /// The reason.
        reason: RejectionReason,
    },
    /// The other routers are to be notified of the session's worker.
    PublishPlacement {
        /// The key of the note.
        key: Name,
        /// The worker.
        placed: SessionPlacement,
        /// How long the note is retained.
        retention: Micros,
    },
}

/// Counters, for `GET /state`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Sessions bound here for the first time.
    pub sessions_bound: u64,
    /// Bindings renewed with the version known here.
    pub sessions_renewed: u64,
    /// Invocations rejected for want of a majority.
    pub sessions_without_majority: u64,
    /// Invocations rejected because too many waited.
    pub sessions_refused_full: u64,
    /// Sessions evicted for want of room; their next invocation requests the binding again.
    pub sessions_forgotten: u64,
    /// A majority chose another version than was known here: its record had expired.
    pub sessions_rebound: u64,
    /// Changes of a session's worker.
    pub sessions_moved: u64,
}
