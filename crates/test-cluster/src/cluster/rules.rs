//! The rules of a scenario as the checker reads them.

use std::collections::BTreeMap;

use cedarpulley_invariant_checker::{Kind, Terms};

use super::worker_name;
use crate::scenario::Day;

/// A number of a settings table, or the routers' default.
fn figure(table: &toml::Table, key: &str, default: f64) -> f64 {
    match table.get(key) {
        Some(toml::Value::Integer(n)) => *n as f64,
        Some(toml::Value::Float(x)) => *x,
        _ => default,
    }
}

/// The rules that the checker holds the routers to, as the scenario and the routers' settings say them.
pub fn terms(day: &Day) -> Terms {
    let (rules, loads) = (&day.settings.rules, &day.settings.loads);
    let us =
        |table: &toml::Table, key: &str, default: f64| (figure(table, key, default) * 1e3) as i64;
    let mut kinds = BTreeMap::new();
    for t in &day.triggers {
        let (window_us, objective_us) = (
            t.window_ms as i64 * 1000,
            t.latency_objective_ms as i64 * 1000,
        );
        kinds.insert(
            t.name.clone(),
            Kind {
                effect: t.effect,
                window_us,
                objective_us,
            },
        );
    }
    let each = day
        .workers
        .iter()
        .flat_map(|w| (0..w.count).map(|_| day.region_of(&w.zone)));
    let region_of = each
        .enumerate()
        .map(|(n, region)| (worker_name(n), region.to_owned()));
    Terms {
        kinds,
        answer_slack_us: us(rules, "answer_slack_ms", 0.0),
        drain_grace_us: us(rules, "drain_grace_ms", 500.0),
        cold_part: figure(rules, "cold_part", 1.0),
        cold_for_us: us(rules, "cold_for_ms", 0.0),
        overload_multiple: figure(rules, "overload_multiple", f64::MAX),
        overload_window_us: us(rules, "overload_window_ms", 1000.0),
        ration_window_us: us(loads, "ration_window_ms", 0.0),
        ration_few: figure(loads, "ration_few", 0.0),
        ration_part: figure(loads, "ration_part", 0.0),
        second_copies: day
            .settings
            .dispatch
            .get("second_copies")
            .and_then(toml::Value::as_bool)
            == Some(true),
        leeway_us: day.leeway_ms as i64 * 1000,
        regions: region_of.collect(),
        floor_part: day.floor,
        floor_known_us: day.floor_known_ms as i64 * 1000,
        floors: Vec::new(),
    }
}
