//! What upgrades promise beyond the rules: sessions that stay on one version, floors of ready lanes, one planner in a
//! term; and what became of cached prefixes. From the workers' lines alone, and the cluster's `upgrade` lines.
//!
//! Functions that differ only in what follows `/versions/` are versions of one model; one without is a version too.

pub(crate) mod floors;
pub(crate) mod prefixes;
pub(crate) mod sessions;

pub use floors::FloorRecord;
pub use prefixes::{PrefixCounts, RebuildCause};

use crate::traffic_log::LogLine;

/// What is promised, by the names under which verdicts count breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Promise {
    /// A session runs on one version of a model.
    Sessions,
    /// A model's ready lanes never fall below the floor.
    Floor,
    /// All orders of one term about a model are one router's.
    Terms,
}

impl Promise {
    pub(crate) const ALL: [Promise; 3] = [Promise::Sessions, Promise::Floor, Promise::Terms];

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Promise::Sessions => "sessions",
            Promise::Floor => "floor",
            Promise::Terms => "terms",
        }
    }
}

/// The model that a function is a version of.
fn model_of(function: &str) -> &str {
    function
        .split_once("/versions/")
        .map_or(function, |(model, _)| model)
}

/// Lost by a fault of the test's, not by an order or for want of memory.
fn is_lost_by_fault(line: &LogLine) -> bool {
    matches!(line.event.as_str(), "down" | "fell")
        || line.event == "evicted" && line.text("why") != "room"
}
