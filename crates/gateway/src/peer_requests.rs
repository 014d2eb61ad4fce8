//! Translation between the requests of the router core to its group and the inputs and outputs of the replicated state.

use cedarpulley_replica::{self as replica, Durability};
use cedarpulley_router::replication::{self, ReplicationRequest};

use crate::peer_messages::{decode_answer, encode_answer};

/// The input of the replicated state for a request of the router core.
pub(crate) fn replica_input(request: ReplicationRequest) -> replica::Input {
    match request {
        ReplicationRequest::Announce {
            key,
            durability,
            redelivered,
        } => replica::Input::Announce {
            key,
            durability: replica_durability(durability),
            redelivered,
        },
        ReplicationRequest::RequestPermission {
            key,
            attempt: dispatch,
            deduplication_scope,
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
            deduplication_scope,
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
        ReplicationRequest::AnswerDelivered { key } => replica::Input::DeliveryFinal { key },
        ReplicationRequest::Abandoned { key } => replica::Input::Abandoned { key },
    }
}

/// The durability that the replicated state must reach for the one that the router core requires.
fn replica_durability(required: replication::Durability) -> Durability {
    match required {
        replication::Durability::Notified => Durability::Local,
        replication::Durability::MajorityStored => Durability::Majority,
    }
}

/// The router core's form of a permission to dispatch.
pub(crate) fn dispatch_permission<T>(
    permission: Result<T, replica::NoMajorityReason>,
) -> Result<T, replication::PermissionRefusal> {
    permission.map_err(|reason| match reason {
        replica::NoMajorityReason::OwnedElsewhere => replication::PermissionRefusal::Elsewhere,
        _ => replication::PermissionRefusal::NoMajority,
    })
}

/// The router core's form of an ownership decision. `on_unreadable`: called if the decision contains an answer that
/// cannot be decoded.
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
