//! Checks the invariants of a run from its recorded traffic: the logs of the emulators and the settings of the rules,
//! nothing else. It shares no code with the router. [`check()`] reads the output folder of a scenario and returns the
//! [`Verdict`].
//!
//! Modules: `traffic_log` reads the lines of the logs, `history` groups them by invocation, `excused_intervals` tells
//! when a fault kept events from being observed, `rules` contains a check for each of the five rules, and
//! `warm_capacity` contains the checks for upgrades and sessions.

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
