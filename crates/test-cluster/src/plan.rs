//! A scripted day, read from TOML. Everything random in it comes from its seed.

use std::ops::RangeInclusive;
use std::path::Path;

use cedarpulley_invariant_checker::Effect;
use serde::Deserialize;

use crate::wrong::Wrong;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    pub seed: u64,
    /// For how long invocations arrive.
    pub seconds: f64,
    pub rate_per_s: f64,
    /// Of the invocations, so many come over KServe v2; the rest over AMQP.
    #[serde(default)]
    pub kserve_part: f64,
    pub routers: u32,
    pub zones: Vec<String>,
    /// Routers are dealt to them in turn; a zone belongs to the region of its name, or whose name and a dash it
    /// begins with. With regions, relays stand on all links of the routers.
    #[serde(default)]
    pub regions: Vec<String>,
    /// The routers are told of each other.
    #[serde(default)]
    pub peers: bool,
    /// The last of them is a witness: it takes nothing.
    #[serde(default)]
    pub witness: bool,
    /// What a crowded machine may add to any time that is judged.
    #[serde(default)]
    pub leeway_ms: u64,
    /// Of the lanes that stand when an upgrade is ordered, this part must stand in each region until it is over.
    #[serde(default)]
    pub floor: f64,
    /// What a fault took away may be unknown to routers for so long.
    #[serde(default)]
    pub floor_known_ms: u64,
    /// By router: how far its wall's clock is off.
    #[serde(default)]
    pub clock_offsets_ms: Vec<i64>,
    pub store: Store,
    pub nature: Nature,
    #[serde(rename = "worker")]
    pub workers: Vec<Worker>,
    #[serde(rename = "trigger")]
    pub triggers: Vec<Trigger>,
    #[serde(rename = "account")]
    pub accounts: Vec<Account>,
    #[serde(rename = "trouble", default)]
    pub troubles: Vec<Trouble>,
    /// Handed to each router as it is.
    pub settings: Settled,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settled {
    #[serde(default)]
    pub router: toml::Table,
    pub rules: toml::Table,
    pub dispatch: toml::Table,
    pub loads: toml::Table,
    #[serde(default)]
    pub prices: toml::Table,
    /// Beside what a fleet's `[peers]` says by itself.
    #[serde(default)]
    pub peers: toml::Table,
    #[serde(default)]
    pub upgrade: toml::Table,
    #[serde(default)]
    pub reconcile: toml::Table,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    pub mb_per_s: f64,
    pub abreast: usize,
    pub most: usize,
}

/// What all workers have in common beside the rules' figures.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nature {
    pub most_waiting: usize,
    pub most_loads: usize,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    pub zone: String,
    pub kind: String,
    pub count: u32,
    pub cores: f64,
    pub memory_mb: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trigger {
    pub name: String,
    pub effect: Effect,
    #[serde(default)]
    pub window_ms: u64,
    /// What its group does without a majority; absent, the routers' own default.
    #[serde(default)]
    pub without_majority: Option<String>,
    pub latency_objective_ms: u64,
    pub client_timeout_ms: u64,
    pub billed_value: f64,
    /// Of all arrivals.
    pub part: f64,
    pub functions: u32,
    /// Exponent of the popularity of its functions.
    pub skew: f64,
    pub work_ms: f64,
    pub copy_mb: f64,
    pub start_up_ms: u64,
    pub lanes: u32,
    /// Of its arrivals, so many are turns of sessions.
    #[serde(default)]
    pub sessions: f64,
    /// Of a session, in the mean; from one to nearly twice as many.
    #[serde(default)]
    pub turns: u32,
    /// Between one turn and the next, in the mean; from half to one and a half times as long. Clients send a turn at
    /// its time whether or not the one before is answered.
    #[serde(default)]
    pub pause_ms: u64,
    /// Work beside its own for a turn that does not find what earlier ones built up in its copy.
    #[serde(default)]
    pub prefix_ms: u64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    pub name: String,
    pub share: f64,
    pub allowance_per_s: f64,
    pub part: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    Crash,
    Hang,
    Slow,
    Pauses,
    ClassFail,
    Preempt,
    DrainWave,
    ZoneCut,
    StoreSlow,
    Flush,
    HotFunction,
    Scan,
    TrafficShift,
    ChannelDrop,
    ConnectionDrop,
    BrokerRestart,
    BrokerBlock,
    RouterKill,
    /// Stands still, and goes on.
    RouterPause,
    /// Killed, and started again with an older copy of its state.
    StaleState,
    /// Between the routers named; one way, from the first to the others.
    PeerCut,
    /// All that crosses its border.
    RegionCut,
    ListLate,
    RetryAbuse,
    /// One front gets so many times its share.
    Flood,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    pub what: What,
    pub at_s: f64,
    #[serde(default)]
    pub for_s: f64,
    /// Workers or routers by number.
    #[serde(default)]
    pub which: Vec<usize>,
    /// Of the workers, arrivals or channels, drawn by the seed.
    #[serde(default)]
    pub part: f64,
    /// Times slower, times the rate, seconds late, milliseconds of notice: by the kind.
    #[serde(default)]
    pub size: f64,
    #[serde(default)]
    pub zone: Option<String>,
    #[serde(default)]
    pub region: Option<String>,
    #[serde(default)]
    pub one_way: bool,
    /// What a cut keeps back is lost with its connection, instead of coming through when healed.
    #[serde(default)]
    pub lost: bool,
    #[serde(default)]
    pub trigger: Option<String>,
    #[serde(default)]
    pub front: Option<Way>,
    /// All of a flood is this account's.
    #[serde(default)]
    pub account: Option<String>,
}

/// By which front invocations come.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    Amqp,
    Kserve,
}

pub fn read(path: &Path) -> Result<Day, Wrong> {
    let text = std::fs::read_to_string(path).map_err(Wrong::file(path))?;
    parse(&path.display().to_string(), &text)
}

/// The file's name is for what is said of it.
pub fn parse(file: &str, text: &str) -> Result<Day, Wrong> {
    let day: Day = toml::from_str(text).map_err(|e| Wrong::NoDay {
        file: file.to_owned(),
        line: e
            .span()
            .map_or(1, |s| text[..s.start].matches('\n').count() + 1),
        said: e.message().replace('\n', ", "),
    })?;
    Check { file, day: &day }.all()?;
    Ok(day)
}

const PART: (RangeInclusive<f64>, &str) = (0.0..=1.0, "0 to 1");
const RATE: (RangeInclusive<f64>, &str) =
    (f64::MIN_POSITIVE..=1e5, "more than 0 and at most 100000");
const SECONDS: (RangeInclusive<f64>, &str) =
    (f64::MIN_POSITIVE..=3600.0, "more than 0 and at most 3600");
const ROUTERS: (RangeInclusive<f64>, &str) = (1.0..=100.0, "1 to 100");
const TIMES: (RangeInclusive<f64>, &str) =
    (f64::MIN_POSITIVE..=1000.0, "more than 0 and at most 1000");
/// A zone cut tells them by bits.
const MOST_ZONES: f64 = 60.0;

/// What serde cannot know: ranges, and what one key says of another. The first that does not hold is told.
struct Check<'a> {
    file: &'a str,
    day: &'a Day,
}

impl Check<'_> {
    /// What is no number is within no range.
    fn within(
        &self,
        key: impl ToString,
        value: f64,
        (range, within): (RangeInclusive<f64>, &'static str),
    ) -> Result<(), Wrong> {
        match range.contains(&value) {
            true => Ok(()),
            false => Err(Wrong::OutOfRange {
                file: self.file.into(),
                key: key.to_string(),
                value,
                within,
            }),
        }
    }

    fn needs(&self, key: impl ToString, holds: bool, what: &'static str) -> Result<(), Wrong> {
        match holds {
            true => Ok(()),
            false => Err(Wrong::Needs {
                file: self.file.into(),
                key: key.to_string(),
                what,
            }),
        }
    }

    /// `name`, where one is given, is among those that the day has.
    fn has<T: ToString>(
        &self,
        key: impl ToString,
        name: Option<T>,
        has: impl Fn(&T) -> bool,
    ) -> Result<(), Wrong> {
        match name.filter(|name| !has(name)) {
            None => Ok(()),
            Some(name) => {
                let (key, name) = (key.to_string(), name.to_string());
                Err(Wrong::Absent {
                    file: self.file.into(),
                    key,
                    name,
                })
            }
        }
    }

    fn all(&self) -> Result<(), Wrong> {
        let day = self.day;
        let counts = [
            ("trigger", day.triggers.len()),
            ("account", day.accounts.len()),
            ("worker", day.workers.len()),
            ("zones", day.zones.len()),
        ];
        if let Some((key, _)) = counts.into_iter().find(|c| c.1 == 0) {
            return Err(Wrong::Empty {
                file: self.file.into(),
                key,
            });
        }
        self.within("seconds", day.seconds, SECONDS)?;
        self.within("rate_per_s", day.rate_per_s, RATE)?;
        self.within("routers", day.routers.into(), ROUTERS)?;
        self.within("floor", day.floor, PART)?;
        self.within("kserve_part", day.kserve_part, PART)?;
        self.within(
            "zones: their number",
            day.zones.len() as f64,
            (1.0..=MOST_ZONES, "1 to 60"),
        )?;
        for (n, t) in day.triggers.iter().enumerate() {
            let key = format!("trigger[{n}].sessions");
            self.within(&key, t.sessions, PART)?;
            self.needs(key, t.sessions == 0.0 || t.turns > 0, "turns above 0")?;
        }
        for (n, w) in day.workers.iter().enumerate() {
            self.has(format!("worker[{n}].zone"), Some(&w.zone), |z| {
                day.zones.contains(z)
            })?;
        }
        if !day.regions.is_empty() {
            let inside = |z: &String| day.regions.iter().any(|r| belongs(z, r));
            let stray = day.zones.iter().position(|z| !inside(z)).unwrap_or(0);
            self.needs(
                format!("zones[{stray}]"),
                inside(&day.zones[stray]),
                "a region of its name",
            )?;
            for (n, r) in day.regions.iter().enumerate() {
                let held = day.zones.iter().any(|z| belongs(z, r));
                self.needs(format!("regions[{n}]"), held, "a zone of its name")?;
            }
        }
        self.needs(
            "peers",
            !day.peers || !day.regions.is_empty(),
            "regions: peers' links are relayed",
        )?;
        self.needs(
            "witness",
            !day.witness || day.peers && day.routers > 1,
            "peers, and another router",
        )?;
        day.troubles
            .iter()
            .enumerate()
            .try_for_each(|(n, t)| self.trouble(n, t))
    }

    fn trouble(&self, n: usize, t: &Trouble) -> Result<(), Wrong> {
        let day = self.day;
        let key = |part: &str| format!("trouble[{n}].{part}");
        let count: u32 = day.workers.iter().map(|w| w.count).sum();
        let routers = [
            What::RouterKill,
            What::RouterPause,
            What::StaleState,
            What::PeerCut,
        ];
        let most = if routers.contains(&t.what) {
            day.routers
        } else {
            count
        } as usize;
        self.has(key("which"), t.which.iter().max(), |w| **w < most)?;
        self.within(key("part"), t.part, PART)?;
        if t.what == What::Flood {
            self.needs(key("what"), t.front.is_some(), "a front: amqp or kserve")?;
            self.within(key("size"), t.size, TIMES)?;
        }
        self.has(key("region"), t.region.as_ref(), |r| {
            day.regions.contains(r)
        })?;
        self.needs(
            key("what"),
            t.what != What::RegionCut || t.region.is_some(),
            "a region",
        )?;
        let two = day.peers && t.which.len() > 1;
        self.needs(
            key("what"),
            t.what != What::PeerCut || two,
            "peers, and two routers in which",
        )?;
        self.has(key("account"), t.account.as_ref(), |a| {
            day.accounts.iter().any(|d| d.name == **a)
        })?;
        self.has(key("zone"), t.zone.as_ref(), |z| day.zones.contains(z))
    }
}

fn belongs(zone: &str, region: &str) -> bool {
    zone.strip_prefix(region)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('-'))
}

impl Day {
    /// A router's zone, by number: dealt in turn to the regions, and in each to its zones.
    pub fn zone_of(&self, router: u32) -> u32 {
        if self.regions.is_empty() {
            return router % self.zones.len() as u32;
        }
        let count = self.regions.len();
        let region = &self.regions[router as usize % count];
        let own: Vec<u32> = (0..)
            .zip(&self.zones)
            .filter(|(_, z)| belongs(z, region))
            .map(|(n, _)| n)
            .collect();
        own[router as usize / count % own.len()]
    }

    /// The region of a zone; empty where there are none.
    pub fn region_of(&self, zone: &str) -> &str {
        self.regions
            .iter()
            .find(|r| belongs(zone, r))
            .map_or("", String::as_str)
    }
}
