//! Checks of a scenario beyond its format: ranges of values, and conditions between keys.

use std::ops::RangeInclusive;

use super::{FaultKind, Scenario, ScenarioFault, belongs};
use crate::error::ClusterError;

/// A range with its text for error messages.
type Range = (RangeInclusive<f64>, &'static str);

const SHARE: Range = (0.0..=1.0, "0 to 1");
const RATE: Range = (f64::MIN_POSITIVE..=1e5, "more than 0 and at most 100000");
const SECONDS: Range = (f64::MIN_POSITIVE..=3600.0, "more than 0 and at most 3600");
const ROUTERS: Range = (1.0..=100.0, "1 to 100");
const FACTOR: Range = (f64::MIN_POSITIVE..=1000.0, "more than 0 and at most 1000");
/// Largest number of zones, because a zone partition has one bit per zone in a `u64`.
const MAX_ZONES: f64 = 60.0;

/// Checks a scenario; returns an error for the first condition that does not hold.
pub(super) fn validate(file: &str, scenario: &Scenario) -> Result<(), ClusterError> {
    Validator { file, scenario }.validate()
}

/// A scenario with the file name for errors.
struct Validator<'a> {
    file: &'a str,
    scenario: &'a Scenario,
}

impl Validator<'_> {
    /// Checks that a value is within its range; NaN is within no range.
    fn check_range(
        &self,
        key: impl ToString,
        value: f64,
        (range, within): Range,
    ) -> Result<(), ClusterError> {
        if range.contains(&value) {
            return Ok(());
        }
        Err(ClusterError::OutOfRange {
            file: self.file.into(),
            key: key.to_string(),
            value,
            within,
        })
    }

    /// Checks that a requirement of a key holds.
    fn require(
        &self,
        key: impl ToString,
        holds: bool,
        what: &'static str,
    ) -> Result<(), ClusterError> {
        if holds {
            return Ok(());
        }
        Err(ClusterError::MissingRequirement {
            file: self.file.into(),
            key: key.to_string(),
            what,
        })
    }

    /// Checks that a name, if present, is defined in the scenario.
    fn check_name<T: ToString>(
        &self,
        key: impl ToString,
        name: Option<T>,
        is_defined: impl Fn(&T) -> bool,
    ) -> Result<(), ClusterError> {
        match name.filter(|name| !is_defined(name)) {
            None => Ok(()),
            Some(name) => {
                let (key, name) = (key.to_string(), name.to_string());
                Err(ClusterError::UnknownName {
                    file: self.file.into(),
                    key,
                    name,
                })
            }
        }
    }

    fn validate(&self) -> Result<(), ClusterError> {
        self.check_lists()?;
        self.check_figures()?;
        self.check_trigger_types()?;
        self.check_worker_groups()?;
        self.check_regions()?;
        self.check_group()?;
        self.scenario
            .faults
            .iter()
            .enumerate()
            .try_for_each(|(number, fault)| self.check_fault(number, fault))
    }

    fn check_lists(&self) -> Result<(), ClusterError> {
        let scenario = self.scenario;
        let lengths = [
            ("trigger", scenario.triggers.len()),
            ("account", scenario.accounts.len()),
            ("worker", scenario.workers.len()),
            ("zones", scenario.zones.len()),
        ];
        match lengths.into_iter().find(|(_, length)| *length == 0) {
            None => Ok(()),
            Some((key, _)) => Err(ClusterError::Empty {
                file: self.file.into(),
                key,
            }),
        }
    }

    fn check_figures(&self) -> Result<(), ClusterError> {
        let scenario = self.scenario;
        self.check_range("seconds", scenario.seconds, SECONDS)?;
        self.check_range("rate_per_s", scenario.rate_per_s, RATE)?;
        self.check_range("routers", scenario.routers.into(), ROUTERS)?;
        self.check_range("floor", scenario.floor, SHARE)?;
        self.check_range("kserve_part", scenario.kserve_part, SHARE)?;
        self.check_range(
            "number of zones",
            scenario.zones.len() as f64,
            (1.0..=MAX_ZONES, "1 to 60"),
        )
    }

    fn check_trigger_types(&self) -> Result<(), ClusterError> {
        for (number, trigger) in self.scenario.triggers.iter().enumerate() {
            let key = format!("trigger[{number}].sessions");
            self.check_range(&key, trigger.sessions, SHARE)?;
            let has_turns = trigger.sessions == 0.0 || trigger.turns > 0;
            self.require(key, has_turns, "turns above 0")?;
        }
        Ok(())
    }

    fn check_worker_groups(&self) -> Result<(), ClusterError> {
        for (number, group) in self.scenario.workers.iter().enumerate() {
            let key = format!("worker[{number}].zone");
            self.check_name(key, Some(&group.zone), |zone| {
                self.scenario.zones.contains(zone)
            })?;
        }
        Ok(())
    }

    /// Checks that each zone belongs to a region, and that each region has a zone.
    fn check_regions(&self) -> Result<(), ClusterError> {
        let scenario = self.scenario;
        if scenario.regions.is_empty() {
            return Ok(());
        }
        let has_region =
            |zone: &String| scenario.regions.iter().any(|region| belongs(zone, region));
        let stray = scenario
            .zones
            .iter()
            .position(|z| !has_region(z))
            .unwrap_or(0);
        self.require(
            format!("zones[{stray}]"),
            has_region(&scenario.zones[stray]),
            "a region whose name its own name starts with",
        )?;
        for (number, region) in scenario.regions.iter().enumerate() {
            let has_zone = scenario.zones.iter().any(|zone| belongs(zone, region));
            self.require(
                format!("regions[{number}]"),
                has_zone,
                "a zone whose name starts with its own name",
            )?;
        }
        Ok(())
    }

    fn check_group(&self) -> Result<(), ClusterError> {
        let scenario = self.scenario;
        self.require(
            "peers",
            !scenario.peers || !scenario.regions.is_empty(),
            "regions, because the links between peers have relays",
        )?;
        self.require(
            "witness",
            !scenario.witness || scenario.peers && scenario.routers > 1,
            "peers and at least two routers",
        )
    }

    fn check_fault(&self, number: usize, fault: &ScenarioFault) -> Result<(), ClusterError> {
        let scenario = self.scenario;
        let key = |part: &str| format!("trouble[{number}].{part}");
        let workers: u32 = scenario.workers.iter().map(|w| w.count).sum();
        let concerning_routers = [
            FaultKind::RouterKill,
            FaultKind::RouterPause,
            FaultKind::StaleState,
            FaultKind::PeerCut,
        ];
        let count = if concerning_routers.contains(&fault.what) {
            scenario.routers
        } else {
            workers
        } as usize;
        self.check_name(key("which"), fault.which.iter().max(), |number| {
            **number < count
        })?;
        self.check_range(key("part"), fault.part, SHARE)?;
        if fault.what == FaultKind::Flood {
            self.require(
                key("what"),
                fault.front.is_some(),
                "a front, which is amqp or kserve",
            )?;
            self.check_range(key("size"), fault.size, FACTOR)?;
        }
        self.check_name(key("region"), fault.region.as_ref(), |r| {
            scenario.regions.contains(r)
        })?;
        self.require(
            key("what"),
            fault.what != FaultKind::RegionCut || fault.region.is_some(),
            "a region",
        )?;
        let has_two = scenario.peers && fault.which.len() > 1;
        self.require(
            key("what"),
            fault.what != FaultKind::PeerCut || has_two,
            "peers and at least two routers in which",
        )?;
        self.check_name(key("account"), fault.account.as_ref(), |a| {
            scenario.accounts.iter().any(|d| d.name == **a)
        })?;
        self.check_name(key("zone"), fault.zone.as_ref(), |z| {
            scenario.zones.contains(z)
        })
    }
}
