//! The settings of the rules that were in force for a run, stored as `terms.json` in its output folder. The serialized
//! names of the fields are its JSON keys.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Whether an invocation of a trigger type may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// It may be executed any number of times.
    Idempotent,
    /// Idempotent by key: it may be dispatched again while workers remember its idempotency key, and is executed once.
    Tokened,
    /// It must not be executed more than once.
    NonIdempotent,
}

/// Settings of the rules for one trigger type.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TriggerTypeRules {
    /// Whether an invocation may be executed more than once.
    pub effect: Effect,
    /// Time for which workers remember an idempotency key, in microseconds.
    pub window_us: i64,
    /// Latency objective, in microseconds.
    pub objective_us: i64,
}

/// Settings of all rules.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RuleSettings {
    /// Settings by name of the trigger type.
    #[serde(rename = "kinds")]
    pub trigger_types: BTreeMap<String, TriggerTypeRules>,
    /// Time by which an answer may be later than the timeout of its client, in microseconds.
    pub answer_slack_us: i64,
    /// Time for which a router may still dispatch to a worker after the router is notified that the worker is draining,
    /// in microseconds.
    pub drain_grace_us: i64,
    /// Share of its capacity that a worker has at the beginning of its slow start.
    #[serde(rename = "cold_part")]
    pub slow_start_share: f64,
    /// Duration of the slow start, in microseconds.
    #[serde(rename = "cold_for_us")]
    pub slow_start_us: i64,
    /// Work that all routers together may send to a worker in slow start, as a multiple of its capacity.
    pub overload_multiple: f64,
    /// Window over which that work is summed, in microseconds.
    pub overload_window_us: i64,
    /// Window of the quota for load orders, in microseconds; 0 disables the quota.
    #[serde(rename = "ration_window_us")]
    pub load_quota_window_us: i64,
    /// Load orders that a router may issue within the window regardless of its traffic.
    #[serde(rename = "ration_few")]
    pub load_quota_base: f64,
    /// Further load orders that a router may issue for each invocation that it accepted within the window.
    #[serde(rename = "ration_part")]
    pub load_quota_per_invocation: f64,
    /// Whether routers may send hedged requests.
    #[serde(rename = "second_copies")]
    pub hedged_requests: bool,
    /// Time that a busy machine may add to the durations that rules 1, 2, 3 and 5 check, in microseconds. Meant for
    /// tests whose result is the number of violations.
    #[serde(default)]
    pub leeway_us: i64,
    /// Region of each worker, by the name of its log. Workers that are not listed share a region with an empty name.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Share of the lanes that are ready in a region when the upgrade of a model begins which must stay ready in that
    /// region until the upgrade is over.
    #[serde(default, rename = "floor_part")]
    pub floor_share: f64,
    /// Time for which routers may not know of lanes that were lost by a fault, in microseconds.
    #[serde(default)]
    pub floor_known_us: i64,
    /// Floors that apply as soon as they are first reached.
    #[serde(default)]
    pub floors: Vec<Floor>,
}

/// Minimum number of ready lanes of all versions of a model together, in one region.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Floor {
    /// Name of the region.
    pub region: String,
    /// Name of the model, without a version.
    pub model: String,
    /// Minimum number of ready lanes.
    pub lanes: u32,
}
