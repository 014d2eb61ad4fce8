//! Translation between the core's requests to its group and the replicated state that answers them.

use cedarpulley_replica::{self as replica, Durability};
use cedarpulley_router::replication::{self, ReplicationRequest};

use crate::peer_messages::{decode_answer, encode_answer};

/// The input of the replicated state that a request of the core amounts to.
pub(crate) fn replica_input(request: ReplicationRequest) -> replica::Input {
    match request {
        ReplicationRequest::Announce {
            key,
            durability,
            redelivered,
        } => replica::Input::Take {
            key,
            durability: required_durability(durability),
            redelivered,
        },
        ReplicationRequest::RequestPermission {
            key,
            attempt: dispatch,
            deduplication_domain: deduplication_scope,
            without_majority,
        } => replica::Input::RequestDispatch {
            key,
            dispatch,
            deduplication_scope,
            without_majority,
        },
        ReplicationRequest::AttemptSent {
            key,
            attempt: dispatch,
            deduplication_domain: deduplication_scope,
        } => replica::Input::Dispatched {
            key,
            dispatch,
            deduplication_scope,
        },
        ReplicationRequest::AttemptEnded {
            key,
            attempt: dispatch,
            may_have_run,
        } => replica::Input::DispatchEnded {
            key,
            dispatch,
            may_have_run,
        },
        ReplicationRequest::Answered { key, answer } => replica::Input::Answered {
            key,
            answer: encode_answer(&answer),
        },
        ReplicationRequest::AnswerDelivered { key } => replica::Input::Closed { key },
        ReplicationRequest::Abandoned { key } => replica::Input::Dropped { key },
    }
}

/// The core's form of a need.
fn required_durability(need: replication::Durability) -> Durability {
    match need {
        replication::Durability::Notified => Durability::Local,
        replication::Durability::MajorityStored => Durability::Majority,
    }
}

/// What the core learns of a permission to dispatch.
pub(crate) fn dispatch_permission<T>(
    left: Result<T, replica::NoMajorityReason>,
) -> Result<T, replication::PermissionRefusal> {
    left.map_err(|lack| match lack {
        replica::NoMajorityReason::OwnedElsewhere => replication::PermissionRefusal::Elsewhere,
        _ => replication::PermissionRefusal::NoMajority,
    })
}

/// What the core learns of an ownership decision. `on_unreadable`: called if it holds an answer that cannot be decoded.
pub(crate) fn ownership_decision(
    decision: replica::OwnershipDecision,
    on_unreadable: impl FnOnce(),
) -> replication::ReplicationDecision {
    match decision {
        replica::OwnershipDecision::Dispatch {
            first_dispatch_ago: first_attempt_ago,
        } => replication::ReplicationDecision::RunHere { first_attempt_ago },
        replica::OwnershipDecision::Wait => replication::ReplicationDecision::AwaitPeer,
        replica::OwnershipDecision::Answer(bytes) => match decode_answer(&bytes) {
            Some(answer) => replication::ReplicationDecision::Answer(answer),
            None => {
                on_unreadable();
                replication::ReplicationDecision::MayHaveRun
            }
        },
        replica::OwnershipDecision::Indeterminate(because) => {
            tracing::debug!(?because, "group: may have run");
            replication::ReplicationDecision::MayHaveRun
        }
        replica::OwnershipDecision::NoMajority(lack) => {
            tracing::warn!(?lack, "group: no majority");
            replication::ReplicationDecision::NoMajority
        }
    }
}
