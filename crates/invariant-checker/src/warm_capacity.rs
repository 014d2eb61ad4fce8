//! Checks the promises that upgrades keep beside the rules: a session stays on one version of a model, ready lanes stay
//! above a floor, and one router plans in each term. Also counts how often sessions found their cached prefixes. The
//! checks of the promises use only the lines of the workers and the `upgrade` lines of the test cluster.
//!
//! Functions whose names differ only in the part after `/versions/` are versions of one model. A function without this
//! part is also a version of the model that it names.

pub(crate) mod floors;
pub(crate) mod prefixes;
pub(crate) mod sessions;

pub use floors::FloorRecord;
pub use prefixes::{PrefixCounts, RebuildCause};

use crate::traffic_log::LogLine;

/// The promises. [`Promise::as_str`] is the name under which a verdict counts the violations of the promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Promise {
    /// Each session runs on one version of a model.
    Sessions,
    /// The ready lanes of a model never fall below the floor because of an order or for lack of memory.
    Floor,
    /// All orders of one term about a model are issued by one router.
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

/// Returns the name of the model that a function is a version of.
fn model_of(function: &str) -> &str {
    function
        .split_once("/versions/")
        .map_or(function, |(model, _)| model)
}

/// Whether an injected fault removed the function from its worker, not an order or a lack of memory.
fn is_lost_by_fault(line: &LogLine) -> bool {
    matches!(line.event.as_str(), "down" | "fell")
        || line.event == "evicted" && line.text("why") != "room"
}
