//! A scenario (`days/*.toml`): the cluster, its clients' load and the faults, read from TOML. Everything random in it
//! is drawn from its seed.

mod validation;

use std::path::Path;

use cedarpulley_invariant_checker::Effect;
use serde::Deserialize;

use crate::error::ClusterError;

/// A scenario. Keys of the file are the fields' names where nothing else is said.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Of all draws.
    pub seed: u64,
    /// For how long invocations arrive.
    pub seconds: f64,
    /// Arrivals a second, over all fronts.
    pub rate_per_s: f64,
    /// Share of the invocations that come over KServe v2; the rest come over AMQP.
    #[serde(default)]
    pub kserve_part: f64,
    /// Number of routers.
    pub routers: u32,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the regions. Routers are assigned to them in turn; a zone belongs to the region of its name, or whose
    /// name and a dash it begins with. With regions, relays stand on all links of the routers.
    #[serde(default)]
    pub regions: Vec<String>,
    /// The routers form a group of peers.
    #[serde(default)]
    pub peers: bool,
    /// The last router is a witness: it takes no invocations.
    #[serde(default)]
    pub witness: bool,
    /// FaultKind a busy machine may add to any time that is checked.
    #[serde(default)]
    pub leeway_ms: u64,
    /// Share of the lanes ready when an upgrade is ordered that must be ready in each region until it is over.
    #[serde(default)]
    pub floor: f64,
    /// How long routers may not know what a fault took away.
    #[serde(default)]
    pub floor_known_ms: u64,
    /// By router: offset of its wall clock.
    #[serde(default)]
    pub clock_offsets_ms: Vec<i64>,
    /// The function store.
    pub store: StoreLimits,
    /// FaultKind all workers have in common.
    #[serde(rename = "nature")]
    pub worker_limits: WorkerLimits,
    /// Groups of workers (key `worker`).
    #[serde(rename = "worker")]
    pub workers: Vec<WorkerGroup>,
    /// Trigger types (key `trigger`).
    #[serde(rename = "trigger")]
    pub triggers: Vec<TriggerType>,
    /// Accounts (key `account`).
    #[serde(rename = "account")]
    pub accounts: Vec<Account>,
    /// Faults (key `trouble`).
    #[serde(rename = "trouble", default)]
    pub faults: Vec<ScenarioFault>,
    /// Tables that are handed to each router as they are.
    pub settings: RouterTables,
}

/// Tables of the routers' settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterTables {
    /// Further keys of `[router]`.
    #[serde(default)]
    pub router: toml::Table,
    /// `[rules]`.
    pub rules: toml::Table,
    /// `[dispatch]`.
    pub dispatch: toml::Table,
    /// `[loads]`.
    pub loads: toml::Table,
    /// `[prices]`.
    #[serde(default)]
    pub prices: toml::Table,
    /// Further keys of `[peers]`.
    #[serde(default)]
    pub peers: toml::Table,
    /// `[upgrade]`.
    #[serde(default)]
    pub upgrade: toml::Table,
    /// `[reconcile]`.
    #[serde(default)]
    pub reconcile: toml::Table,
}

/// Speed and limits of the function store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreLimits {
    /// Rate of a single fetch.
    pub mb_per_s: f64,
    /// More concurrent fetches than this share the rate that these would get.
    pub abreast: usize,
    /// Concurrent fetches beyond this are rejected.
    pub most: usize,
}

/// FaultKind all workers have in common beside the figures in the rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerLimits {
    /// Invocations waiting beyond this are rejected.
    pub most_waiting: usize,
    /// Loads that may be under way at once.
    pub most_loads: usize,
}

/// Workers that are alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerGroup {
    /// The zone they are in.
    pub zone: String,
    /// Their hardware kind.
    pub kind: String,
    /// How many.
    pub count: u32,
    /// Cores of each.
    pub cores: f64,
    /// Memory of each for loaded functions.
    pub memory_mb: f64,
}

/// A trigger type: its rules, its share of the load, and what its functions are like.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TriggerType {
    /// Its name.
    pub name: String,
    /// Whether its invocations may be repeated.
    pub effect: Effect,
    /// How long workers remember an idempotency key; 0 if they do not.
    #[serde(default)]
    pub window_ms: u64,
    /// FaultKind its group does without a majority; absent, the routers' own default.
    #[serde(default)]
    pub without_majority: Option<String>,
    /// Its latency objective.
    pub latency_objective_ms: u64,
    /// Its clients give up after this.
    pub client_timeout_ms: u64,
    /// FaultKind an invocation within the objective earns.
    pub billed_value: f64,
    /// Share of all arrivals, relative to the other types' shares.
    pub part: f64,
    /// Number of its functions.
    pub functions: u32,
    /// Exponent of the popularity of its functions.
    pub skew: f64,
    /// Mean work of an invocation.
    pub work_ms: f64,
    /// Memory of a loaded copy.
    pub copy_mb: f64,
    /// Time from the end of the fetch until a copy is ready.
    pub start_up_ms: u64,
    /// Invocations that a copy runs at once.
    pub lanes: u32,
    /// Share of its arrivals that are turns of sessions.
    #[serde(default)]
    pub sessions: f64,
    /// Mean number of turns of a session; from one to nearly twice as many.
    #[serde(default)]
    pub turns: u32,
    /// Mean time between two turns; from half to one and a half times as long. Clients send a turn at its time whether
    /// or not the one before is answered.
    #[serde(default)]
    pub pause_ms: u64,
    /// Additional work of a turn that does not find its session's cached prefix.
    #[serde(default)]
    pub prefix_ms: u64,
}

/// An account.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Its fair share of the capacity.
    pub share: f64,
    /// Its quota.
    pub allowance_per_s: f64,
    /// Share of all arrivals, relative to the other accounts' shares.
    pub part: f64,
}

/// Kinds of faults; [`ScenarioFault::size`] means what each says of it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Workers end, and start again when it is over.
    Crash,
    /// Workers execute and do not answer.
    Hang,
    /// Workers are slower; size: how many times.
    Slow,
    /// Workers pause repeatedly; size: seconds of each pause.
    Pauses,
    /// Workers do not answer one trigger type.
    ClassFail,
    /// Workers are listed as draining, and end; size: milliseconds of notice.
    Preempt,
    /// Workers drain and end one after another; size: seconds between them.
    DrainWave,
    /// Workers of a zone are partitioned from routers of other zones.
    ZoneCut,
    /// The store is slower; size: how many times.
    StoreSlow,
    /// Workers evict what is idle.
    Flush,
    /// Part of the arrivals asks for one function.
    HotFunction,
    /// Part of the arrivals asks for functions that nobody asked for before.
    Scan,
    /// Arrivals come at another rate; size: how many times.
    TrafficShift,
    /// The broker closes channels.
    ChannelDrop,
    /// The broker breaks connections off.
    ConnectionDrop,
    /// The broker goes away and comes back.
    BrokerRestart,
    /// The broker blocks publishing.
    BrokerBlock,
    /// Routers are killed, and started again when it is over.
    RouterKill,
    /// Routers stand still, and continue when it is over.
    RouterPause,
    /// Routers are killed, and started again with an older copy of their state.
    StaleState,
    /// Partition between the routers named; one way: from the first to the others.
    PeerCut,
    /// Partition along a region's border.
    RegionCut,
    /// The worker list is delayed; size: seconds.
    ListLate,
    /// Clients retry; size: how often.
    RetryAbuse,
    /// One front gets more invocations; size: how many times its share.
    Flood,
}

/// A fault, when and on what.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioFault {
    /// Its kind.
    pub what: FaultKind,
    /// When it begins.
    pub at_s: f64,
    /// How long it lasts.
    #[serde(default)]
    pub for_s: f64,
    /// Workers or routers by number.
    #[serde(default)]
    pub which: Vec<usize>,
    /// Share of the workers, arrivals or channels, drawn by the seed.
    #[serde(default)]
    pub part: f64,
    /// Factor, seconds or milliseconds: see [`FaultKind`].
    #[serde(default)]
    pub size: f64,
    /// The zone it concerns.
    #[serde(default)]
    pub zone: Option<String>,
    /// The region it concerns.
    #[serde(default)]
    pub region: Option<String>,
    /// Only from the first router to the others.
    #[serde(default)]
    pub one_way: bool,
    /// FaultKind a partition keeps back is lost with its connection, instead of arriving when it is healed.
    #[serde(default)]
    pub lost: bool,
    /// The trigger type it concerns.
    #[serde(default)]
    pub trigger: Option<String>,
    /// The front that is flooded.
    #[serde(default)]
    pub front: Option<Front>,
    /// The account that a flood belongs to; absent: all.
    #[serde(default)]
    pub account: Option<String>,
}

/// Protocol by which invocations come.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Front {
    /// Through the broker.
    Amqp,
    /// Directly to routers.
    Kserve,
}

/// Reads and validates a scenario file.
///
/// # Errors
/// When it cannot be read, is not of its form, or contradicts itself.
pub fn read(path: &Path) -> Result<Scenario, ClusterError> {
    let text = std::fs::read_to_string(path).map_err(ClusterError::file(path))?;
    parse(&path.display().to_string(), &text)
}

/// Parses and validates a scenario; `file` is named in errors.
///
/// # Errors
/// When it is not of its form, or contradicts itself.
pub fn parse(file: &str, text: &str) -> Result<Scenario, ClusterError> {
    let scenario: Scenario = toml::from_str(text).map_err(|e| ClusterError::MalformedScenario {
        file: file.to_owned(),
        line: e
            .span()
            .map_or(1, |span| text[..span.start].matches('\n').count() + 1),
        detail: e.message().replace('\n', ", "),
    })?;
    validation::validate(file, &scenario)?;
    Ok(scenario)
}

/// Whether a zone is in a region, by their names.
fn belongs(zone: &str, region: &str) -> bool {
    zone.strip_prefix(region)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('-'))
}

impl Scenario {
    /// Number of a router's zone: routers are assigned to the regions in turn, and in each to its zones.
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
