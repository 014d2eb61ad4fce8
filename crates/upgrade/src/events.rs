//! What goes into a [`Planner`](crate::Planner) and what comes out of it.

use bytes::Bytes;
use cedarpulley_membership::MemberIndex;

use crate::Name;
use crate::observed_state::ObservedWorker;
use crate::orders::Order;
use crate::plan::{Ballot, RoutingRule};
use crate::version_comparison::VersionCounters;

/// A majority's answer to a request under a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// This member leads with this ballot.
    Leads {
        /// The ballot that the majority promised.
        ballot: Ballot,
        /// The value accepted last, if any.
        last: Option<Bytes>,
    },
    /// The value was accepted.
    Written {
        /// The ballot under which it was written.
        ballot: Ballot,
    },
    /// Another member has a higher ballot.
    Overtaken,
    /// No majority answered.
    NoMajority,
}

/// An event.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The whole of the operator's file, as read last.
    Orders(Vec<Order>),
    /// The members of the group; whenever they change.
    Members {
        /// This router's index.
        own_index: MemberIndex,
        /// Whether each member is believed alive.
        alive: Vec<bool>,
        /// The region of each member, in the same order.
        regions: Vec<Name>,
    },
    /// All known workers; whenever one of them changes, and at least once a second.
    Workers(Vec<ObservedWorker>),
    /// What a member (this one too) observed of the versions of a model. Shared among all members, whenever it changes.
    MemberReported {
        /// The member that observed it.
        member: MemberIndex,
        /// The model.
        model: Name,
        /// The step by which that member routes ([`Planner::goes_by`](crate::Planner::goes_by)).
        rule: RoutingRule,
        /// Its counters.
        counts: Vec<VersionCounters>,
    },
    /// The answer to [`Output::Lead`] or [`Output::Write`].
    Decided {
        /// The key of the request.
        key: Name,
        /// The answer.
        outcome: Outcome,
    },
    /// The value that the shared state holds as accepted for a model: at start, and whenever it changes.
    PlanReceived {
        /// The model.
        model: Name,
        /// The ballot under which it was accepted.
        ballot: Ballot,
        /// The encoded [`Plan`](crate::Plan).
        bytes: Bytes,
    },
    /// A worker finished loading a copy.
    LoadEnded {
        /// The worker.
        worker: Name,
        /// The function loaded.
        function: Name,
        /// False: the load failed.
        ok: bool,
    },
    /// Time has passed.
    Tick,
}

/// A request of the planner.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Ask a majority for leadership under this key.
    RequestLeadership {
        /// The key of the model's record.
        key: Name,
    },
    /// Propose a value to a majority.
    Propose {
        /// The key of the model's record.
        key: Name,
        /// The ballot of this leader.
        ballot: Ballot,
        /// The encoded [`Plan`](crate::Plan).
        value: Bytes,
    },
    /// Load a copy on a worker, or renew it there.
    LoadCopy {
        /// The worker.
        worker: Name,
        /// The function to load.
        function: Name,
        /// A function whose invocations resemble those that this one will get.
        similar: Name,
        /// The term of the leader that requests it.
        term: Name,
    },
    /// Unload idle copies from a worker.
    UnloadCopies {
        /// The worker.
        worker: Name,
        /// The function to unload.
        function: Name,
        /// The term of the leader that requests it.
        term: Name,
    },
    /// A log line for the operator.
    Log(String),
}
