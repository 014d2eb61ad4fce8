//! Checks that the ready lanes of a model in a region never fall below its floor because of an order or for lack of
//! memory.
//!
//! Lanes are ready from `loaded` until `unloaded` or `evicted`, or until `down` or `fell` of their worker. A floor is
//! given in lanes and applies as soon as it is first reached; or it is a share of the lanes that are ready at the
//! `upgrade` line of the model and applies until its `upgrade-over` line. An order, or a load that needs memory,
//! violates the floor if it reduces the ready lanes below it. Lanes that are removed by a fault are counted as lost,
//! and routers need not know of the loss for `floor_known_us` microseconds.

use std::collections::BTreeMap;

use serde::Serialize;

use super::{Promise, is_lost_by_fault, model_of};
use crate::check::Evidence;
use crate::settings::RuleSettings;
use crate::traffic_log::LogLine;
use crate::verdict::Verdict;

/// The floor of one model in one region, and the fewest ready lanes, both in lanes.
#[derive(Clone, Debug, Serialize)]
pub struct FloorRecord {
    /// The floor that applied last.
    pub floor: f64,
    /// Fewest ready lanes while a floor applied.
    pub lowest: u64,
}

/// Lanes that a fault removed.
struct LostLanes {
    at: i64,
    lanes: i64,
}

/// Ready lanes of one model in one region.
#[derive(Default)]
struct ReadyLanes {
    lanes: i64,
    /// The floor in lanes, whether or not it applies.
    floor: f64,
    /// Whether the floor applies: it was reached, or an upgrade is in progress.
    floor_applies: bool,
    /// Fewest ready lanes while a floor applied.
    lowest: Option<i64>,
    lost_by_faults: Vec<LostLanes>,
}

/// Effect of the removal of lanes on a floor that applies.
enum FloorEffect {
    /// No effect that is counted.
    None,
    /// The ready lanes fell below the floor because of a fault, or are below it after an order that routers issued when
    /// they may not have known of a loss.
    Lost,
    /// The ready lanes fell below the floor because of an order or for lack of memory.
    Violated,
}

impl ReadyLanes {
    fn is_below_floor(&self, lanes: i64) -> bool {
        self.floor_applies && (lanes as f64) < self.floor
    }

    /// Sets the floor, which applies from now on.
    fn apply_floor(&mut self, floor: f64) {
        (self.floor, self.floor_applies) = (floor, true);
        self.lowest = Some(self.lowest.map_or(self.lanes, |l| l.min(self.lanes)));
    }

    fn add(&mut self, lanes: i64) {
        self.lanes += lanes;
        let has_never_applied = !self.floor_applies && self.lowest.is_none();
        if has_never_applied && self.floor > 0.0 && self.lanes as f64 >= self.floor {
            self.apply_floor(self.floor);
        }
    }

    /// Removes lanes and returns the effect on the floor. For an order, the lanes that faults removed less than
    /// `floor_known_us` microseconds ago count as ready, because routers may not know of the loss.
    fn remove(&mut self, line: &LogLine, lanes: i64, floor_known_us: i64) -> FloorEffect {
        let by_fault = is_lost_by_fault(line);
        let before = self.lanes;
        self.lanes -= lanes;
        if by_fault {
            self.lost_by_faults.push(LostLanes { at: line.at, lanes });
        }
        if !self.floor_applies {
            return FloorEffect::None;
        }
        self.lowest = self.lowest.map(|lowest| lowest.min(self.lanes));
        let is_below = self.is_below_floor(self.lanes);
        if by_fault {
            return if is_below && !self.is_below_floor(before) {
                FloorEffect::Lost
            } else {
                FloorEffect::None
            };
        }
        let unknown_lost_lanes: i64 = self
            .lost_by_faults
            .iter()
            .filter(|lost| line.at - lost.at < floor_known_us)
            .map(|lost| lost.lanes)
            .sum();
        if self.is_below_floor(self.lanes + unknown_lost_lanes) {
            FloorEffect::Violated
        } else if is_below {
            FloorEffect::Lost
        } else {
            FloorEffect::None
        }
    }
}

/// State of the check, for all models in all regions.
struct FloorCheck<'a> {
    settings: &'a RuleSettings,
    /// Ready lanes by region and model.
    ready: BTreeMap<(&'a str, &'a str), ReadyLanes>,
    /// Ready lanes by worker and function.
    loaded: BTreeMap<(&'a str, &'a str), i64>,
}

pub(crate) fn check(evidence: &Evidence, verdict: &mut Verdict) {
    let mut check = FloorCheck {
        settings: evidence.settings,
        ready: BTreeMap::new(),
        loaded: BTreeMap::new(),
    };
    for floor in &evidence.settings.floors {
        check
            .ready
            .entry((&floor.region, &floor.model))
            .or_default()
            .floor = f64::from(floor.lanes);
    }
    for line in evidence.lines {
        match line.event.as_str() {
            "loaded" if line.flag("stands") => check.record_load(line),
            "unloaded" | "evicted" | "down" | "fell" => check.record_removal(line, verdict),
            "upgrade" | "upgrade-over" => check.record_upgrade(line),
            _ => {}
        }
    }
    for ((region, model), ready) in check.ready {
        if let Some(lowest) = ready.lowest.filter(|_| ready.floor > 0.0) {
            let record = FloorRecord {
                floor: ready.floor,
                lowest: lowest.max(0) as u64,
            };
            let name = format!("{model} {region}").trim_end().to_owned();
            verdict.floors.insert(name, record);
        }
    }
}

impl<'a> FloorCheck<'a> {
    fn region_of(&self, worker: &str) -> &'a str {
        self.settings.regions.get(worker).map_or("", String::as_str)
    }

    fn record_load(&mut self, line: &'a LogLine) {
        let (worker, function) = (line.source.as_str(), line.text("function"));
        let lanes = line.number("lanes").unwrap_or(1);
        let before = self.loaded.insert((worker, function), lanes).unwrap_or(0);
        let region = self.region_of(worker);
        self.ready
            .entry((region, model_of(function)))
            .or_default()
            .add(lanes - before);
    }

    /// Removes one function from a worker, or all its functions if the line names none.
    fn record_removal(&mut self, line: &'a LogLine, verdict: &mut Verdict) {
        let (worker, function) = (line.source.as_str(), line.text("function"));
        let is_removed =
            |key: &(&str, &str)| key.0 == worker && (function.is_empty() || key.1 == function);
        let removed: Vec<((&str, &str), i64)> = self
            .loaded
            .extract_if(.., |key, _| is_removed(key))
            .collect();
        let region = self.region_of(worker);
        for ((_, removed_function), lanes) in removed {
            let model = model_of(removed_function);
            let ready = self.ready.entry((region, model)).or_default();
            match ready.remove(line, lanes, self.settings.floor_known_us) {
                FloorEffect::None => {}
                FloorEffect::Lost => verdict.floor_lost += 1,
                FloorEffect::Violated => verdict.add_promise_violation(
                    Promise::Floor,
                    format!(
                        "{model} in {region:?}: {} lanes stand where {:.1} must, as {function} was {}",
                        ready.lanes, ready.floor, line.event
                    ),
                ),
            }
        }
    }

    fn record_upgrade(&mut self, line: &LogLine) {
        let models = line.texts("models");
        let floor_share = self.settings.floor_share;
        for (_, ready) in self
            .ready
            .iter_mut()
            .filter(|((_, model), _)| models.contains(model))
        {
            if line.event == "upgrade-over" {
                ready.floor_applies = false;
            } else if !ready.floor_applies {
                // A further order during an upgrade does not change the floor.
                ready.apply_floor(ready.lanes as f64 * floor_share);
            }
        }
    }
}
