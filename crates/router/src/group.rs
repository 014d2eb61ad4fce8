//! What the other routers of a group are asked and told of an invocation, before it can hurt. The core asks
//! [`need`] once for each that it takes; how the group agrees is not known here (`cedarpulley-replica`).
//!
//! Mechanisms:
//! 1. What must not run twice and can come again at another router leaves only with the group's leave, each time.
//! 2. Tokened ones need no leave where every repeat comes within the workers' window; the group is told all the same.
//! 3. Leave is good for a short time: a process that was stopped asks once more.

use std::sync::Arc;

use cedarpulley::interface::{DeduplicationScope, Effect, Micros, TriggerType};

use crate::{Answer, Taken, tokens};

/// By which a group knows an invocation: the same at all its routers.
pub type Key = Arc<str>;

/// What a router shares with its group.
#[derive(Clone, Debug)]
pub struct Sharing {
    /// By trigger type: without a majority it goes alone, as its operator accepts.
    pub alone: Vec<bool>,
    /// Leave that is older has to be asked for again.
    pub leave_kept: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// The group is told, and nothing is waited for.
    Known,
    /// A majority holds each intent before it leaves.
    Held,
}

/// What is shared of this one, under which key. Nothing: it may run again, or no other router can ever know it.
pub fn need(t: &Taken, trigger: &TriggerType, clock_margin: Micros) -> Option<(Key, Need)> {
    match trigger.effect {
        Effect::Idempotent => None,
        Effect::NonIdempotent => {
            let identity = t.identity.as_deref()?;
            Some((Arc::from(format!("i\n{identity}")), Need::Held))
        }
        Effect::IdempotentByKey {
            scope: group,
            window,
        } => {
            let token = t.token.as_deref()?;
            let key = tokens::key(t.account, t.trigger, t.called(), token);
            let covered =
                group == DeduplicationScope::All && trigger.client_timeout + clock_margin < window;
            let need = if covered { Need::Known } else { Need::Held };
            Some((Arc::from(format!("t\n{key}")), need))
        }
    }
}

/// What is asked of the group, or told it.
#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    /// Taken here; a verdict comes back.
    Take {
        key: Key,
        need: Need,
        redelivered: bool,
    },
    /// May it leave? `sending` is unlike any other of this process.
    Leave {
        key: Key,
        sending: u64,
        place: u32,
        alone: bool,
    },
    /// It has left without asking.
    Left {
        key: Key,
        sending: u64,
        place: u32,
    },
    Ended {
        key: Key,
        sending: u64,
        may_have_run: bool,
    },
    Answered {
        key: Key,
        answer: Answer,
    },
    /// The answer is out for good.
    Closed {
        key: Key,
    },
    /// Nobody waits for it here any more.
    Dropped {
        key: Key,
    },
}

/// Why the group gives no leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refusal {
    /// No majority can be had.
    NoMajority,
    /// Another router has it; a verdict follows.
    Elsewhere,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// `first_ago`: a dispatch of it may have run, and the first left so long ago.
    Go {
        first_ago: Option<Micros>,
    },
    /// It is out at another router; another verdict follows.
    Waits,
    /// As was given before.
    Answer(Answer),
    MayHaveRun,
    NoMajority,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    Verdict {
        key: Key,
        verdict: Verdict,
    },
    /// `Ok(true)`: without a majority, as the operator accepts.
    Leave {
        sending: u64,
        left: Result<bool, Refusal>,
    },
}

/// How far the group's part in an invocation is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The module does not know of it yet.
    Asked,
    Goes,
    /// It goes without the group.
    Alone,
    /// Out elsewhere.
    Waits,
}

#[derive(Clone, Debug)]
pub(crate) struct Part {
    pub key: Key,
    pub need: Need,
    pub stage: Stage,
    /// A success was shared, or came from the group.
    pub answered: bool,
}

/// Whether a dispatch may leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Leave {
    NotNeeded,
    Asked,
    Given(Micros),
}
