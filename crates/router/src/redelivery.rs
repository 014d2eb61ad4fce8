//! What may be done with a message that was delivered before. Called with [`decide`] for every message taken; the
//! answer is a [`Verdict`]. Redelivered, it may have been dispatched by a router that died or was cut off, so the
//! second rule (no effect twice) rests on what this router can prove.
//!
//! Mechanisms:
//! 1. An own record comes first: what is still out is joined, what was answered is answered alike again.
//! 2. Without a record only the effect counts: idempotent runs, tokened runs while the first sending is surely
//!    inside the workers' window, non-idempotent never.

use cedarpulley::interface::{DeduplicationScope, Effect, Micros};

/// What this router itself knows of an earlier delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Record {
    Nothing,
    /// Taken here and not ended.
    Open,
    /// Its final answer was given but not known to have got out.
    Answered,
    /// Taken here and proven not to have run.
    NeverRan,
    /// Taken here, dispatched, and may have run.
    MayHaveRun,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// As any other; the module decides. A dispatch must leave before `dispatch_within`, where there is one.
    Take { dispatch_within: Option<Micros> },
    /// The invocation that is out already answers this delivery too.
    Join,
    /// The answer given before, once more.
    Repeat,
    /// Errored: promises nothing.
    Refuse,
}

/// `waited` is how long ago the client sent it; `clock_margin` how far its clock and ours may differ.
pub fn decide(
    record: Record,
    redelivered: bool,
    effect: Effect,
    waited: Micros,
    clock_margin: Micros,
) -> Verdict {
    match record {
        Record::Open => return Verdict::Join,
        Record::Answered => return Verdict::Repeat,
        Record::NeverRan | Record::Nothing if !redelivered => {
            return Verdict::Take {
                dispatch_within: None,
            };
        }
        // Only the router that took it first, undelivered before, may ever dispatch one that must not run twice
        // (every other refuses it, below). So a record here that it never left is proof for all routers.
        Record::NeverRan if only_first_taker(effect) => {
            return Verdict::Take {
                dispatch_within: None,
            };
        }
        Record::Nothing | Record::NeverRan | Record::MayHaveRun => {}
    }
    match effect {
        Effect::Idempotent => Verdict::Take {
            dispatch_within: None,
        },
        // Symptom: a router died with it out. The first dispatch left after the client sent it, so the window
        // is surely open until the time of sending plus the window.
        Effect::IdempotentByKey {
            scope: DeduplicationScope::All,
            window,
        } => match window - waited - clock_margin {
            left if left > 0 => Verdict::Take {
                dispatch_within: Some(left),
            },
            _ => Verdict::Refuse,
        },
        // Which workers dropped repeats of it is not known here.
        Effect::IdempotentByKey { .. } | Effect::NonIdempotent => Verdict::Refuse,
    }
}

fn only_first_taker(effect: Effect) -> bool {
    !matches!(
        effect,
        Effect::Idempotent
            | Effect::IdempotentByKey {
                scope: DeduplicationScope::All,
                ..
            }
    )
}
