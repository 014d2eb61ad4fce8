//! The rules of a scenario for the invariant checker.

use std::collections::BTreeMap;

use cedarpulley_invariant_checker::{RuleSettings, TriggerTypeRules};

use super::worker_name;
use crate::scenario::Scenario;

/// A number in a settings table, or the default of the routers.
fn number_or_default(table: &toml::Table, key: &str, default: f64) -> f64 {
    match table.get(key) {
        Some(toml::Value::Integer(n)) => *n as f64,
        Some(toml::Value::Float(x)) => *x,
        _ => default,
    }
}

/// Returns the rules by which the checker judges the routers, taken from the scenario and the routers' settings.
pub fn rule_settings(scenario: &Scenario) -> RuleSettings {
    let (rules, loads) = (&scenario.settings.rules, &scenario.settings.loads);
    let us = |table: &toml::Table, key: &str, default: f64| {
        (number_or_default(table, key, default) * 1e3) as i64
    };
    let trigger_types: BTreeMap<_, _> = scenario
        .triggers
        .iter()
        .map(|trigger| {
            let rules = TriggerTypeRules {
                effect: trigger.effect,
                window_us: trigger.window_ms as i64 * 1000,
                objective_us: trigger.latency_objective_ms as i64 * 1000,
            };
            (trigger.name.clone(), rules)
        })
        .collect();
    let worker_regions = scenario
        .workers
        .iter()
        .flat_map(|group| (0..group.count).map(|_| scenario.region_of(&group.zone)))
        .enumerate()
        .map(|(number, region)| (worker_name(number), region.to_owned()))
        .collect();
    let hedged_requests = scenario.settings.dispatch.get("second_copies");
    RuleSettings {
        trigger_types,
        answer_slack_us: us(rules, "answer_slack_ms", 0.0),
        drain_grace_us: us(rules, "drain_grace_ms", 500.0),
        slow_start_share: number_or_default(rules, "cold_part", 1.0),
        slow_start_us: us(rules, "cold_for_ms", 0.0),
        overload_multiple: number_or_default(rules, "overload_multiple", f64::MAX),
        overload_window_us: us(rules, "overload_window_ms", 1000.0),
        load_quota_window_us: us(loads, "ration_window_ms", 0.0),
        load_quota_base: number_or_default(loads, "ration_few", 0.0),
        load_quota_per_invocation: number_or_default(loads, "ration_part", 0.0),
        hedged_requests: hedged_requests.and_then(toml::Value::as_bool) == Some(true),
        leeway_us: scenario.leeway_ms as i64 * 1000,
        regions: worker_regions,
        floor_share: scenario.floor,
        floor_known_us: scenario.floor_known_ms as i64 * 1000,
        floors: Vec::new(),
    }
}
