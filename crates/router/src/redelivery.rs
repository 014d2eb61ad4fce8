//! What may be done with a message that was delivered before. Call [`decide`] for every message. A redelivered one may
//! have been dispatched by a router that died or was disconnected, so the second safety rule (no effect twice) rests on
//! what this router can prove.
//!
//! Mechanisms:
//! 1. An own record comes first: an open invocation is joined, an answer that was given is repeated.
//! 2. Without a record only the effect counts: idempotent invocations run, those with an idempotency key run while the
//!    first attempt is surely within the workers' window, non-idempotent ones never.

use cedarpulley::interface::{DeduplicationScope, Effect, Micros};

/// What this router itself knows of an earlier delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriorDelivery {
    /// Nothing.
    Nothing,
    /// It was accepted here and is open.
    Open,
    /// Its final answer was given, but is not known to be delivered.
    Answered,
    /// It was accepted here and is proven not to have run.
    NeverRan,
    /// It was accepted here, dispatched, and may have run.
    MayHaveRun,
}

/// What is done with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RedeliveryDecision {
    /// It is accepted like any other.
    Accept {
        /// Its attempts must be sent within this time, if there is one.
        dispatch_within: Option<Micros>,
    },
    /// The open invocation answers this delivery, too.
    Join,
    /// It gets the answer that was given before.
    Repeat,
    /// It is answered with an error, which promises nothing.
    Refuse,
}

impl RedeliveryDecision {
    /// It is accepted without a time limit for its attempts.
    pub const UNRESTRICTED: RedeliveryDecision = RedeliveryDecision::Accept {
        dispatch_within: None,
    };
}

/// Decides upon a message. `waited`: how long ago its client sent it; `clock_margin`: by how much the client's clock and
/// this router's may differ.
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
        // Only the router that accepted it on its first delivery may ever dispatch an invocation that must not run twice
        // (every other refuses it, below). So a record here that it did not run is proof for all routers.
        PriorDelivery::NeverRan if runs_only_at_first_router(effect) => {
            return RedeliveryDecision::UNRESTRICTED;
        }
        PriorDelivery::Nothing | PriorDelivery::NeverRan | PriorDelivery::MayHaveRun => {}
    }
    match effect {
        Effect::Idempotent => RedeliveryDecision::UNRESTRICTED,
        // Symptom: a router died while it was in flight. The first attempt was sent after the client had sent the
        // message, so the window is surely open until the client's time of sending plus the window.
        Effect::IdempotentByKey {
            scope: DeduplicationScope::All,
            window,
        } => match window - waited - clock_margin {
            left if left > 0 => RedeliveryDecision::Accept {
                dispatch_within: Some(left),
            },
            _ => RedeliveryDecision::Refuse,
        },
        // Which workers drop repeats of it is not known here.
        Effect::IdempotentByKey { .. } | Effect::NonIdempotent => RedeliveryDecision::Refuse,
    }
}

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
