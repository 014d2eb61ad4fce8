//! The rules' figures that held for a run; `terms.json` in its folder. Field names are its JSON keys.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Whether invocations of a trigger type may be executed again.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// They may.
    Idempotent,
    /// They may within the window in which workers remember the idempotency key.
    Tokened,
    /// They may not.
    NonIdempotent,
}

/// Rules of one trigger type.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TriggerTypeRules {
    /// Whether its invocations may be executed again.
    pub effect: Effect,
    /// How long workers remember an idempotency key.
    pub window_us: i64,
    /// Its latency objective.
    pub objective_us: i64,
}

/// The rules' figures.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RuleSettings {
    /// Rules by trigger type.
    #[serde(rename = "kinds")]
    pub trigger_types: BTreeMap<String, TriggerTypeRules>,
    /// How late an answer may be after its client's timeout.
    pub answer_slack_us: i64,
    /// How long a router may still dispatch to a worker after it is notified of its draining.
    pub drain_grace_us: i64,
    /// Share of its capacity that a worker begins its slow start with.
    #[serde(rename = "cold_part")]
    pub slow_start_share: f64,
    /// Length of the slow start.
    #[serde(rename = "cold_for_us")]
    pub slow_start_us: i64,
    /// Work that a worker in slow start may be sent, as a multiple of its capacity.
    pub overload_multiple: f64,
    /// The window over which that work is summed.
    pub overload_window_us: i64,
    /// The window of the quota for load orders; 0 without a quota.
    #[serde(rename = "ration_window_us")]
    pub load_quota_window_us: i64,
    /// Load orders that a router may give within the window in any case.
    #[serde(rename = "ration_few")]
    pub load_quota_base: f64,
    /// Load orders that it may give beside these for each invocation that it took within the window.
    #[serde(rename = "ration_part")]
    pub load_quota_per_invocation: f64,
    /// Routers may send hedged requests.
    #[serde(rename = "second_copies")]
    pub hedged_requests: bool,
    /// What a busy machine may add to any time that is checked; for tests, whose verdicts are counts.
    #[serde(default)]
    pub leeway_us: i64,
    /// Regions of the workers, by the names of their logs; all are in one, if none is named.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Share of the lanes ready when a model's upgrade begins that must be ready in each region until it is over.
    #[serde(default, rename = "floor_part")]
    pub floor_share: f64,
    /// How long routers may not know what a fault took away.
    #[serde(default)]
    pub floor_known_us: i64,
    /// Floors that hold from when they are first reached.
    #[serde(default)]
    pub floors: Vec<Floor>,
}

/// Least number of ready lanes of a model's versions together, in one region.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Floor {
    /// The region.
    pub region: String,
    /// The model, without a version.
    pub model: String,
    /// The lanes.
    pub lanes: u32,
}
