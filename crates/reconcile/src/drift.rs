//! The kinds of difference between what is believed and what a worker holds, and what most likely made each.

use std::sync::Arc;

use serde::Serialize;

/// How belief and report differ. The names are keys of `/state`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DriftKind {
    /// Believed, and not there.
    Phantom,
    /// There, and not believed.
    Unseen,
    /// Of a version that a plan has taken out of service.
    OlderVersion,
    /// All that was believed is of an incarnation that is gone.
    OtherIncarnation,
    /// There, with another number of copies.
    Miscounted,
    /// The copy is there and a session's prefix is not.
    PrefixLost,
    /// Loaded for a router that is gone, or for a plan that has ended.
    Orphan,
}

/// All kinds, in the order of their numbers.
pub const DRIFT_KINDS: [DriftKind; 7] = [
    DriftKind::Phantom,
    DriftKind::Unseen,
    DriftKind::OlderVersion,
    DriftKind::OtherIncarnation,
    DriftKind::Miscounted,
    DriftKind::PrefixLost,
    DriftKind::Orphan,
];

impl DriftKind {
    /// The position in [`DRIFT_KINDS`].
    pub fn index(self) -> usize {
        self as usize
    }
}

/// What most likely made a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DriftCause {
    /// The worker took it out to make place.
    Evicted,
    /// Nothing at all is left of what was believed there.
    Flushed,
    /// An order to load ended well, and nobody has used the copy since.
    LostLoad,
    /// Another router ordered it.
    LoadedElsewhere,
    /// Nobody says who ordered it: an invocation met a cold worker.
    LoadedOnMiss,
    /// The worker's process is another one.
    Restarted,
    /// An order to unload had no effect.
    LostUnload,
    /// Some of the copies were evicted, or others loaded.
    PartlyEvicted,
    /// The router that ordered it is no member any more.
    RouterGone,
    /// The plan for which it was loaded is over.
    PlanEnded,
}

impl DriftCause {
    /// Whether this is ordinary work of others rather than a fault.
    pub fn is_ordinary(self) -> bool {
        matches!(self, DriftCause::LoadedElsewhere | DriftCause::LoadedOnMiss)
    }
}

/// A difference that was found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Drift {
    /// How belief and report differ.
    pub kind: DriftKind,
    /// What most likely made it.
    pub cause: DriftCause,
    /// The worker, as this router knows it.
    pub worker: Arc<str>,
    /// Absent where it is about the whole worker.
    pub function: Option<Arc<str>>,
}
