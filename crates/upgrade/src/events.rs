//! The inputs and outputs of a [`Planner`](crate::Planner).

use bytes::Bytes;
use cedarpulley_membership::MemberIndex;

use crate::Name;
use crate::observed_state::ObservedWorker;
use crate::orders::Order;
use crate::plan::{Ballot, RoutingRule};
use crate::version_comparison::VersionCounters;

/// A majority's answer to a request for a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// This member leads with this ballot.
    Leads {
        /// The ballot that the majority promised.
        ballot: Ballot,
        /// The last accepted value, if there is one.
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

/// An input event.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// All orders of the operator's file, as last read.
    Orders(Vec<Order>),
    /// The members of the group, whenever they change.
    Members {
        /// This router's index.
        own_index: MemberIndex,
        /// Whether each member is considered alive.
        alive: Vec<bool>,
        /// The region of each member, in the same order.
        regions: Vec<Name>,
    },
    /// All known workers, whenever one of them changes and at least once a second.
    Workers(Vec<ObservedWorker>),
    /// Counters that a member, possibly this one, has for the versions of a model, and the step by which it routes.
    /// Shared with all members whenever they change.
    MemberReported {
        /// The member that counted.
        member: MemberIndex,
        /// The model.
        model: Name,
        /// The step by which that member routes ([`Planner::routing_rule`](crate::Planner::routing_rule)).
        rule: RoutingRule,
        /// Its counters.
        counts: Vec<VersionCounters>,
    },
    /// The answer to [`Output::RequestLeadership`] or [`Output::Propose`].
    Decided {
        /// The key of the request.
        key: Name,
        /// The answer.
        outcome: Outcome,
    },
    /// The accepted value of a model's record in the shared state: at start, and whenever it changes.
    PlanReceived {
        /// The model.
        model: Name,
        /// The ballot under which it was accepted.
        ballot: Ballot,
        /// The encoded [`Plan`](crate::Plan).
        bytes: Bytes,
    },
    /// A load of a copy has ended at a worker.
    LoadEnded {
        /// The worker.
        worker: Name,
        /// The function loaded.
        function: Name,
        /// Whether the load succeeded.
        ok: bool,
    },
    /// Only the time has advanced.
    Tick,
}

/// A request of the planner.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Ask a majority for leadership of this key.
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
    /// Load a copy at a worker, or renew the copy that is warm there.
    LoadCopy {
        /// The worker.
        worker: Name,
        /// The function to load.
        function: Name,
        /// A function whose invocations are expected to resemble those of this one.
        similar: Name,
        /// The term of the leader that requests it.
        term: Name,
    },
    /// Unload the idle copies of a function at a worker.
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
