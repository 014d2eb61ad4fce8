//! Decides whether a message that was delivered before may run. [`decide`] is called for every message. A redelivered
//! message may already have been dispatched by a router that crashed or was disconnected, so the second safety rule (no
//! effect happens twice) depends on what this router can prove.
//!
//! Mechanisms:
//! 1. A record of this router takes precedence: a delivery joins an open invocation, and an answer that was already given
//!    is repeated.
//! 2. Without a record, the effect decides: idempotent invocations run, those that are idempotent by key run while the
//!    first attempt is certainly within the workers' deduplication window, and non-idempotent ones never run.

use cedarpulley::interface::{DeduplicationScope, Effect, Micros};

/// What this router itself knows about an earlier delivery of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriorDelivery {
    /// It has no record of the message.
    Nothing,
    /// It accepted the message, and the invocation is open.
    Open,
    /// It gave the final answer, which is not known to be delivered.
    Answered,
    /// It accepted the message, and the invocation certainly did not run.
    NeverRan,
    /// It accepted the message and dispatched the invocation, which may have run.
    MayHaveRun,
}

/// How a message is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RedeliveryDecision {
    /// The message is accepted as a new invocation.
    Accept {
        /// Time in microseconds within which all attempts must be sent; `None`: no limit.
        dispatch_within: Option<Micros>,
    },
    /// The delivery waits for the answer of the open invocation.
    Join,
    /// The delivery gets the answer that was given before.
    Repeat,
    /// The delivery is answered with an error that leaves open whether the invocation ran.
    Refuse,
}

impl RedeliveryDecision {
    /// The message is accepted without a time limit for its attempts.
    pub const UNRESTRICTED: RedeliveryDecision = RedeliveryDecision::Accept {
        dispatch_within: None,
    };
}

/// Decides how a message is handled. `waited`: how long ago its client sent it; `clock_margin`: the maximum difference
/// between the clocks of the client and of this router; both in microseconds.
pub fn decide(
    prior: PriorDelivery,
    redelivered: bool,
    effect: Effect,
    waited: Micros,
    clock_margin: Micros,
) -> RedeliveryDecision {
    match prior {
        PriorDelivery::Open => return RedeliveryDecision::Join,
        PriorDelivery::Answered => return RedeliveryDecision::Repeat,
        PriorDelivery::NeverRan | PriorDelivery::Nothing if !redelivered => {
            return RedeliveryDecision::UNRESTRICTED;
        }
        // An invocation that must not run twice is only ever dispatched by the router that accepted its first delivery;
        // every other router refuses it, see below. So a record of this router that it did not run is proof for all
        // routers.
        PriorDelivery::NeverRan if runs_only_at_first_router(effect) => {
            return RedeliveryDecision::UNRESTRICTED;
        }
        PriorDelivery::Nothing | PriorDelivery::NeverRan | PriorDelivery::MayHaveRun => {}
    }
    match effect {
        Effect::Idempotent => RedeliveryDecision::UNRESTRICTED,
        // A router may have crashed while the invocation was in flight. The first attempt was sent after the client had
        // sent the message, so the deduplication window is certainly open until the client's sending time plus the
        // window.
        Effect::IdempotentByKey {
            scope: DeduplicationScope::All,
            window,
        } => match window - waited - clock_margin {
            left if left > 0 => RedeliveryDecision::Accept {
                dispatch_within: Some(left),
            },
            _ => RedeliveryDecision::Refuse,
        },
        // With another deduplication scope, this router does not know which workers drop repeats of the invocation.
        Effect::IdempotentByKey { .. } | Effect::NonIdempotent => RedeliveryDecision::Refuse,
    }
}

/// Returns whether only the router that accepted the first delivery may dispatch an invocation with this effect.
fn runs_only_at_first_router(effect: Effect) -> bool {
    !matches!(
        effect,
        Effect::Idempotent
            | Effect::IdempotentByKey {
                scope: DeduplicationScope::All,
                ..
            }
    )
}
