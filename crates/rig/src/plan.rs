//! A scripted day, read from TOML. Everything random in it comes from its seed.

use std::path::Path;

use serde::Deserialize;

use crate::Plain;

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
    pub effect: String,
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

pub fn read(path: &Path) -> Plain<Day> {
    let file = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{file}: {e}"))?;
    parse(&file.to_string(), &text)
}

/// The file's name is for what is said of it.
pub fn parse(file: &str, text: &str) -> Plain<Day> {
    let day: Day = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(1, |s| text[..s.start].matches('\n').count() + 1);
        format!("{file}:{line}: {}", e.message().replace('\n', ", "))
    })?;
    let wrong = |why: &str| Err(format!("{file}: {why}"));
    let within = |x: f64, most: f64| x.is_finite() && x > 0.0 && x <= most;
    if day.triggers.is_empty() || day.accounts.is_empty() || day.workers.is_empty() || day.zones.is_empty() {
        return wrong("trigger, account, worker and zones must each have one at least");
    }
    if !within(day.seconds, 3600.0) || !within(day.rate_per_s, 1e5) || !(1..=100).contains(&day.routers) {
        return wrong("seconds, rate_per_s or routers is out of its range");
    }
    if !(0.0..=1.0).contains(&day.floor) {
        return wrong("floor is not within 0 to 1");
    }
    let misfit = |t: &Trigger| !(0.0..=1.0).contains(&t.sessions) || t.sessions > 0.0 && t.turns == 0;
    if day.triggers.iter().any(misfit) {
        return wrong("sessions is not within 0 to 1, or has no turns");
    }
    if !(0.0..=1.0).contains(&day.kserve_part) {
        return wrong("kserve_part is not within 0 to 1");
    }
    if day.zones.len() > 60 || day.workers.iter().any(|w| !day.zones.contains(&w.zone)) {
        return wrong("a worker stands in a zone that is not named");
    }
    let orphan = day.zones.iter().any(|z| day.regions.iter().all(|r| !belongs(z, r)));
    let bare = day.regions.iter().any(|r| day.zones.iter().all(|z| !belongs(z, r)));
    if !day.regions.is_empty() && (orphan || bare) {
        return wrong("regions: each needs a zone of its name, and each zone a region");
    }
    if day.peers && day.regions.is_empty() {
        return wrong("peers need regions: their links are relayed");
    }
    if day.witness && (!day.peers || day.routers < 2) {
        return wrong("a witness needs peers, and another router");
    }
    let count: u32 = day.workers.iter().map(|w| w.count).sum();
    for t in &day.troubles {
        let routers = [What::RouterKill, What::RouterPause, What::StaleState, What::PeerCut];
        let most = if routers.contains(&t.what) { day.routers } else { count } as usize;
        if t.which.iter().any(|w| *w >= most) || !(0.0..=1.0).contains(&t.part) {
            return Err(format!("{file}: trouble {:?} at {} s names what is not there", t.what, t.at_s));
        }
        if t.what == What::Flood && (t.front.is_none() || !within(t.size, 1000.0)) {
            return wrong("a flood needs a front and a size");
        }
        if t.region.as_ref().is_some_and(|r| !day.regions.contains(r))
            || t.what == What::RegionCut && t.region.is_none()
        {
            return wrong("a trouble names no region, or an unknown one");
        }
        if t.what == What::PeerCut && (!day.peers || t.which.len() < 2) {
            return wrong("a peer-cut needs peers and two routers");
        }
        if t.account.as_ref().is_some_and(|a| day.accounts.iter().all(|d| d.name != *a)) {
            return wrong("a trouble names an unknown account");
        }
        if t.zone.as_ref().is_some_and(|z| !day.zones.contains(z)) {
            return wrong("a trouble names an unknown zone");
        }
    }
    Ok(day)
}

fn belongs(zone: &str, region: &str) -> bool {
    zone.strip_prefix(region).is_some_and(|rest| rest.is_empty() || rest.starts_with('-'))
}

impl Day {
    /// A router's zone, by number: dealt in turn to the regions, and in each to its zones.
    pub fn zone_of(&self, router: u32) -> u32 {
        if self.regions.is_empty() {
            return router % self.zones.len() as u32;
        }
        let count = self.regions.len();
        let region = &self.regions[router as usize % count];
        let own: Vec<u32> =
            (0..).zip(&self.zones).filter(|(_, z)| belongs(z, region)).map(|(n, _)| n).collect();
        own[router as usize / count % own.len()]
    }

    /// The region of a zone; empty where there are none.
    pub fn region_of(&self, zone: &str) -> &str {
        self.regions.iter().find(|r| belongs(zone, r)).map_or("", String::as_str)
    }
}
