//! Translation between the core's requests to its group and the replicated state that answers them.

use cedarpulley_replica::{self as replica, Need};
use cedarpulley_router::group::{self, Ask};

use crate::peer_messages::{decode_answer, encode_answer};

/// The input of the replicated state that a request of the core amounts to.
pub(crate) fn replica_input(request: Ask) -> replica::Input {
    match request {
        Ask::Take {
            key,
            need,
            redelivered,
        } => replica::Input::Take {
            key,
            need: required_durability(need),
            redelivered,
        },
        Ask::Leave {
            key,
            sending,
            place,
            alone,
        } => replica::Input::Intend {
            key,
            sending,
            place,
            alone,
        },
        Ask::Left {
            key,
            sending,
            place,
        } => replica::Input::Left {
            key,
            sending,
            place,
        },
        Ask::Ended {
            key,
            sending,
            may_have_run,
        } => replica::Input::Ended {
            key,
            sending,
            may_have_run,
        },
        Ask::Answered { key, answer } => replica::Input::Answered {
            key,
            answer: encode_answer(&answer),
        },
        Ask::Closed { key } => replica::Input::Closed { key },
        Ask::Dropped { key } => replica::Input::Dropped { key },
    }
}

/// The core's form of a need.
fn required_durability(need: group::Need) -> Need {
    match need {
        group::Need::Known => Need::Known,
        group::Need::Held => Need::Held,
    }
}

/// What the core learns of a permission to dispatch.
pub(crate) fn dispatch_permission<T>(left: Result<T, replica::Lack>) -> Result<T, group::Refusal> {
    left.map_err(|lack| match lack {
        replica::Lack::Elsewhere => group::Refusal::Elsewhere,
        _ => group::Refusal::NoMajority,
    })
}

/// What the core learns of an ownership decision. `on_unreadable`: called if it holds an answer that cannot be decoded.
pub(crate) fn ownership_verdict(
    verdict: replica::Verdict,
    on_unreadable: impl FnOnce(),
) -> group::Verdict {
    match verdict {
        replica::Verdict::Go { first_ago } => group::Verdict::Go { first_ago },
        replica::Verdict::Waits => group::Verdict::Waits,
        replica::Verdict::Answer(bytes) => match decode_answer(&bytes) {
            Some(answer) => group::Verdict::Answer(answer),
            None => {
                on_unreadable();
                group::Verdict::MayHaveRun
            }
        },
        replica::Verdict::MayHaveRun(because) => {
            tracing::debug!(?because, "group: may have run");
            group::Verdict::MayHaveRun
        }
        replica::Verdict::NoMajority(lack) => {
            tracing::warn!(?lack, "group: no majority");
            group::Verdict::NoMajority
        }
    }
}
