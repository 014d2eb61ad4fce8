//! Judges a run from what crossed the sockets: the stand-ins' logs and the figures of the rules, nothing else. It
//! shares no code with the router. [`judge`] reads a folder that a day has left and gives the [`Verdict`].

mod judge;
mod kept;
mod log;

pub use judge::{Verdict, judge};

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Idempotent,
    Tokened,
    NonIdempotent,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Kind {
    pub effect: Effect,
    pub window_us: i64,
    pub objective_us: i64,
}

/// The figures of the rules that held on the day; `terms.json` in its folder.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Terms {
    pub kinds: BTreeMap<String, Kind>,
    pub answer_slack_us: i64,
    pub drain_grace_us: i64,
    pub cold_part: f64,
    pub cold_for_us: i64,
    pub overload_multiple: f64,
    pub overload_window_us: i64,
    pub ration_window_us: i64,
    pub ration_few: f64,
    pub ration_part: f64,
    pub second_copies: bool,
    /// What a crowded machine may add to any time that is judged; for tests, whose verdicts are counts.
    #[serde(default)]
    pub leeway_us: i64,
}
