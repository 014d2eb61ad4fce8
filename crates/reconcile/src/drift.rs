//! The kinds of difference between what is believed and what a worker holds, and what most likely made each.

use std::sync::Arc;

use serde::Serialize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Believed, and not there.
    Phantom,
    /// There, and not believed.
    Unseen,
    /// Of a version that a plan has taken out of service.
    OlderVersion,
    /// All that was believed is of a process that is gone.
    OtherIncarnation,
    Miscounted,
    /// The copy stands and a session's prefix does not.
    PrefixLost,
    /// Held for a router that is gone, or for a plan that has ended.
    Orphan,
}

pub const KINDS: [Kind; 7] = [
    Kind::Phantom,
    Kind::Unseen,
    Kind::OlderVersion,
    Kind::OtherIncarnation,
    Kind::Miscounted,
    Kind::PrefixLost,
    Kind::Orphan,
];

impl Kind {
    pub fn ix(self) -> usize {
        self as usize
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    Evicted,
    /// Nothing at all is left of what was believed there.
    Flushed,
    /// An order to load ended well, and nobody has used the copy since.
    LostLoad,
    LoadedElsewhere,
    /// Nobody says who ordered it: an invocation met a cold worker.
    LoadedOnMiss,
    Restarted,
    LostUnload,
    PartlyEvicted,
    RouterGone,
    PlanEnded,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Drift {
    pub kind: Kind,
    pub cause: Cause,
    pub worker: Arc<str>,
    /// Absent where it is about the whole worker.
    pub function: Option<Arc<str>>,
}
