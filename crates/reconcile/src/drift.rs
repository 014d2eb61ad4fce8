//! The kinds of drift (a difference between the recorded warm copies and what a worker reports) and the most likely
//! cause of each.

use std::sync::Arc;

use serde::Serialize;

/// How the record and the report differ. The names are keys of `/state`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DriftKind {
    /// Recorded as warm, but not loaded.
    Phantom,
    /// Loaded, but not recorded as warm.
    Unseen,
    /// Loaded, but of a version that an upgrade plan has retired.
    OlderVersion,
    /// The worker has restarted: all records are about an earlier incarnation.
    OtherIncarnation,
    /// Loaded, but with a different number of copies.
    Miscounted,
    /// The cached prefix of a session is lost.
    PrefixLost,
    /// Loaded for a router that has left the group, or for an upgrade plan that has ended.
    Orphan,
}

/// All kinds, in the order of their indexes.
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

/// The most likely cause of a drift.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DriftCause {
    /// The worker evicted the copy to free memory.
    Evicted,
    /// The worker holds none of several functions that were recorded as warm.
    Flushed,
    /// A load order of this router succeeded, but the copy is missing before its first use, or was not recorded.
    LostLoad,
    /// Another router ordered the load.
    LoadedElsewhere,
    /// No router is reported as the one that ordered the load: an invocation reached a worker without a copy.
    LoadedOnMiss,
    /// The worker process was restarted.
    Restarted,
    /// An unload order had no effect.
    LostUnload,
    /// Some of the copies were evicted, or further ones were loaded.
    PartlyEvicted,
    /// The router that ordered the load is no longer a member.
    RouterGone,
    /// The upgrade plan for which the copy was loaded has ended.
    PlanEnded,
}

impl DriftCause {
    /// Whether this is ordinary work of other routers rather than a fault.
    pub fn is_ordinary(self) -> bool {
        matches!(self, DriftCause::LoadedElsewhere | DriftCause::LoadedOnMiss)
    }
}

/// A drift that was found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Drift {
    /// How the record and the report differ.
    pub kind: DriftKind,
    /// The most likely cause.
    pub cause: DriftCause,
    /// This router's name for the worker.
    pub worker: Arc<str>,
    /// The function; absent if the drift concerns the whole worker.
    pub function: Option<Arc<str>>,
}
