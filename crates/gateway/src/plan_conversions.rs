//! Conversion of ballots and outcomes between the types of the replicated state and those of the upgrade planner.

use cedarpulley_replica as replica;
use cedarpulley_upgrade::{self as upgrade, Ballot};

/// The planner's form of a ballot.
pub(crate) fn from_replica(ballot: replica::Ballot) -> Ballot {
    Ballot {
        number: ballot.number,
        member: ballot.member,
        nonce: ballot.nonce,
    }
}

/// The replicated state's form of a ballot.
pub(crate) fn to_replica(ballot: Ballot) -> replica::Ballot {
    replica::Ballot {
        number: ballot.number,
        member: ballot.member,
        nonce: ballot.nonce,
    }
}

/// The planner's form of the outcome of a proposal.
pub(crate) fn planner_outcome(outcome: replica::Outcome) -> upgrade::Outcome {
    match outcome {
        replica::Outcome::Leads { ballot, last } => upgrade::Outcome::Leads {
            ballot: from_replica(ballot),
            last,
        },
        replica::Outcome::Written { ballot } => upgrade::Outcome::Written {
            ballot: from_replica(ballot),
        },
        replica::Outcome::Overtaken | replica::Outcome::Chosen(_) => upgrade::Outcome::Overtaken,
        replica::Outcome::NoMajority(_) => upgrade::Outcome::NoMajority,
    }
}
