//! Judges a run from what crossed the sockets: the stand-ins' logs and the figures of the rules, nothing else. It
//! shares no code with the router. [`judge`] reads a folder that a day has left and gives the [`Verdict`].

mod judge;
mod kept;
mod log;
mod warm;

pub use judge::{Verdict, judge};
pub use warm::{Prefixes, Stood, Why};

use cedarpulley_errors::Remedy;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Why there is no verdict.
#[derive(Debug, thiserror::Error)]
pub enum Unjudged {
    #[error("{file} cannot be read")]
    Unread {
        file: String,
        source: std::io::Error,
    },
    #[error("{file} does not hold the figures of the rules")]
    NoTerms {
        file: String,
        source: serde_json::Error,
    },
    #[error("{file}:{line} is not a line of a log")]
    NoLine {
        file: String,
        line: usize,
        source: serde_json::Error,
    },
    #[error("{file}:{line} has no time")]
    NoTime { file: String, line: usize },
    #[error("{folder} has no traffic to judge")]
    NoTraffic { folder: String },
}

impl Remedy for Unjudged {
    fn remedy(&self) -> &'static str {
        match self {
            Unjudged::Unread { .. } => "name the folder that a day was told to leave (--out)",
            Unjudged::NoTerms { .. } | Unjudged::NoLine { .. } | Unjudged::NoTime { .. } => {
                "judge a folder as its day left it; play the day again if it was changed"
            }
            Unjudged::NoTraffic { .. } => "play the day again: its stand-ins wrote nothing",
        }
    }
}

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
    /// Of the workers, by the names of their logs; all in one, if none is named.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Of the lanes that stand when a model's upgrade begins, this part must stand in each region until it is over.
    #[serde(default)]
    pub floor_part: f64,
    /// What a fault took away may be unknown to routers for so long.
    #[serde(default)]
    pub floor_known_us: i64,
    /// They hold from when they are first reached.
    #[serde(default)]
    pub floors: Vec<Floor>,
}

/// So many warm lanes of a model's versions together, in one region.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Floor {
    pub region: String,
    pub model: String,
    pub lanes: u32,
}
