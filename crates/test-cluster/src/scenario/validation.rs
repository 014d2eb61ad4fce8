//! What a scenario's form cannot say: ranges, and conditions between keys.

use std::ops::RangeInclusive;

use super::{FaultKind, Scenario, ScenarioFault, belongs};
use crate::error::ClusterError;

type Range = (RangeInclusive<f64>, &'static str);

const SHARE: Range = (0.0..=1.0, "0 to 1");
const RATE: Range = (f64::MIN_POSITIVE..=1e5, "more than 0 and at most 100000");
const SECONDS: Range = (f64::MIN_POSITIVE..=3600.0, "more than 0 and at most 3600");
const ROUTERS: Range = (1.0..=100.0, "1 to 100");
const FACTOR: Range = (f64::MIN_POSITIVE..=1000.0, "more than 0 and at most 1000");
/// A zone partition names them by bits.
const MAX_ZONES: f64 = 60.0;

/// Checks a scenario; the error is the first condition that does not hold.
pub(super) fn validate(file: &str, day: &Scenario) -> Result<(), ClusterError> {
    Validator { file, day }.validate()
}

struct Validator<'a> {
    file: &'a str,
    day: &'a Scenario,
}

impl Validator<'_> {
    /// NaN is within no range.
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

    /// The name, where one is given, is defined in the scenario.
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
        self.day
            .faults
            .iter()
            .enumerate()
            .try_for_each(|(number, fault)| self.check_fault(number, fault))
    }

    fn check_lists(&self) -> Result<(), ClusterError> {
        let day = self.day;
        let lengths = [
            ("trigger", day.triggers.len()),
            ("account", day.accounts.len()),
            ("worker", day.workers.len()),
            ("zones", day.zones.len()),
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
        let day = self.day;
        self.check_range("seconds", day.seconds, SECONDS)?;
        self.check_range("rate_per_s", day.rate_per_s, RATE)?;
        self.check_range("routers", day.routers.into(), ROUTERS)?;
        self.check_range("floor", day.floor, SHARE)?;
        self.check_range("kserve_part", day.kserve_part, SHARE)?;
        self.check_range(
            "zones: their number",
            day.zones.len() as f64,
            (1.0..=MAX_ZONES, "1 to 60"),
        )
    }

    fn check_trigger_types(&self) -> Result<(), ClusterError> {
        for (number, trigger) in self.day.triggers.iter().enumerate() {
            let key = format!("trigger[{number}].sessions");
            self.check_range(&key, trigger.sessions, SHARE)?;
            let has_turns = trigger.sessions == 0.0 || trigger.turns > 0;
            self.require(key, has_turns, "turns above 0")?;
        }
        Ok(())
    }

    fn check_worker_groups(&self) -> Result<(), ClusterError> {
        for (number, group) in self.day.workers.iter().enumerate() {
            let key = format!("worker[{number}].zone");
            self.check_name(key, Some(&group.zone), |zone| self.day.zones.contains(zone))?;
        }
        Ok(())
    }

    /// Each zone is in a region, and each region has a zone.
    fn check_regions(&self) -> Result<(), ClusterError> {
        let day = self.day;
        if day.regions.is_empty() {
            return Ok(());
        }
        let has_region = |zone: &String| day.regions.iter().any(|region| belongs(zone, region));
        let stray = day.zones.iter().position(|z| !has_region(z)).unwrap_or(0);
        self.require(
            format!("zones[{stray}]"),
            has_region(&day.zones[stray]),
            "a region of its name",
        )?;
        for (number, region) in day.regions.iter().enumerate() {
            let has_zone = day.zones.iter().any(|zone| belongs(zone, region));
            self.require(format!("regions[{number}]"), has_zone, "a zone of its name")?;
        }
        Ok(())
    }

    fn check_group(&self) -> Result<(), ClusterError> {
        let day = self.day;
        self.require(
            "peers",
            !day.peers || !day.regions.is_empty(),
            "regions: peers' links are relayed",
        )?;
        self.require(
            "witness",
            !day.witness || day.peers && day.routers > 1,
            "peers, and another router",
        )
    }

    fn check_fault(&self, number: usize, fault: &ScenarioFault) -> Result<(), ClusterError> {
        let day = self.day;
        let key = |part: &str| format!("trouble[{number}].{part}");
        let workers: u32 = day.workers.iter().map(|w| w.count).sum();
        let concerning_routers = [
            FaultKind::RouterKill,
            FaultKind::RouterPause,
            FaultKind::StaleState,
            FaultKind::PeerCut,
        ];
        let count = if concerning_routers.contains(&fault.what) {
            day.routers
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
                "a front: amqp or kserve",
            )?;
            self.check_range(key("size"), fault.size, FACTOR)?;
        }
        self.check_name(key("region"), fault.region.as_ref(), |r| {
            day.regions.contains(r)
        })?;
        self.require(
            key("what"),
            fault.what != FaultKind::RegionCut || fault.region.is_some(),
            "a region",
        )?;
        let has_two = day.peers && fault.which.len() > 1;
        self.require(
            key("what"),
            fault.what != FaultKind::PeerCut || has_two,
            "peers, and two routers in which",
        )?;
        self.check_name(key("account"), fault.account.as_ref(), |a| {
            day.accounts.iter().any(|d| d.name == **a)
        })?;
        self.check_name(key("zone"), fault.zone.as_ref(), |z| day.zones.contains(z))
    }
}
