//! Checks the invariants of a run from what crossed the sockets: the emulators' logs and the rules' figures, nothing
//! else. It shares no code with the router. [`judge`] reads the folder that a scenario has left and gives the
//! [`Verdict`].
//!
//! Modules: `traffic_log` reads the lines, `history` gathers them by invocation, `excused_intervals` says what a fault
//! kept from being seen; `rules` holds a check for each of the five rules, `warm_capacity` those of upgrades and
//! sessions.

#![warn(missing_docs)]

mod check;
mod error;
mod excused_intervals;
mod history;
mod rules;
mod settings;
mod traffic_log;
mod verdict;
mod warm_capacity;

pub use check::check;
pub use error::CheckError;
pub use settings::{Effect, Floor, RuleSettings, TriggerTypeRules};
pub use verdict::{Tally, Verdict};
pub use warm_capacity::{FloorRecord, PrefixCounts, RebuildCause};
