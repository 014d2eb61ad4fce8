//! Ready lanes of a model in a region never fall below its floor by an order, or for want of memory.
//!
//! Lanes are ready from `loaded` until `unloaded`, `evicted`, or their worker's `down` or `fell`. A floor is given in
//! lanes and holds from when it is first reached, or as a share of what was ready at the model's `upgrade` line, until
//! its `upgrade-over`. What an order, or a load that needs memory, takes below a floor breaks it; what a fault takes
//! away is counted as lost, and routers need not know of it for a stated time.

use std::collections::BTreeMap;

use serde::Serialize;

use super::{Promise, is_lost_by_fault, model_of};
use crate::check::Evidence;
use crate::settings::RuleSettings;
use crate::traffic_log::LogLine;
use crate::verdict::Verdict;

/// A floor of one model in one region, in lanes.
#[derive(Clone, Debug, Serialize)]
pub struct FloorRecord {
    /// The floor that held last.
    pub floor: f64,
    /// Fewest ready lanes while a floor held.
    pub lowest: u64,
}

struct LostLanes {
    at: i64,
    lanes: i64,
}

/// Ready lanes of one model in one region.
#[derive(Default)]
struct ReadyLanes {
    lanes: i64,
    floor: f64,
    /// The floor holds: it was reached, or an upgrade is under way.
    holds: bool,
    lowest: Option<i64>,
    lost_by_faults: Vec<LostLanes>,
}

/// What removing lanes did to a floor that holds.
enum FloorEffect {
    None,
    /// Below it, by a fault.
    Lost,
    /// Below it, by an order or for want of memory.
    Broken,
}

impl ReadyLanes {
    fn is_below_floor(&self, lanes: i64) -> bool {
        self.holds && (lanes as f64) < self.floor
    }

    fn hold_floor(&mut self, floor: f64) {
        (self.floor, self.holds) = (floor, true);
        self.lowest = Some(self.lowest.map_or(self.lanes, |l| l.min(self.lanes)));
    }

    fn add(&mut self, lanes: i64) {
        self.lanes += lanes;
        let was_never_held = !self.holds && self.lowest.is_none();
        if was_never_held && self.floor > 0.0 && self.lanes as f64 >= self.floor {
            self.hold_floor(self.floor);
        }
    }

    fn remove(&mut self, line: &LogLine, lanes: i64, known_us: i64) -> FloorEffect {
        let by_fault = is_lost_by_fault(line);
        let before = self.lanes;
        self.lanes -= lanes;
        if by_fault {
            self.lost_by_faults.push(LostLanes { at: line.at, lanes });
        }
        if !self.holds {
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
        let unknown: i64 = self
            .lost_by_faults
            .iter()
            .filter(|lost| line.at - lost.at < known_us)
            .map(|lost| lost.lanes)
            .sum();
        if self.is_below_floor(self.lanes + unknown) {
            FloorEffect::Broken
        } else if is_below {
            FloorEffect::Lost
        } else {
            FloorEffect::None
        }
    }
}

/// All models in all regions.
struct FloorCheck<'a> {
    settings: &'a RuleSettings,
    /// By region and model.
    ready: BTreeMap<(&'a str, &'a str), ReadyLanes>,
    /// Lanes by worker and function.
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

    /// One function of a worker, or by an empty name all of them.
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
                FloorEffect::Broken => verdict.add_broken_promise(
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
                ready.holds = false;
            } else if !ready.holds {
                // An order in mid-upgrade leaves the floor as it is.
                ready.hold_floor(ready.lanes as f64 * floor_share);
            }
        }
    }
}
