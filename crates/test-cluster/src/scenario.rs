//! Scenario files (`days/*.toml`), which describe a cluster, the load of its clients and the faults. All random draws
//! of a scenario use its seed.

mod validation;

use std::path::Path;

use cedarpulley_invariant_checker::Effect;
use serde::Deserialize;

use crate::error::ClusterError;

/// A scenario. The keys of the file are the names of the fields unless noted otherwise.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of all random draws.
    pub seed: u64,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// Arrivals per second, over all fronts.
    pub rate_per_s: f64,
    /// Share of the invocations that are sent over KServe v2; the others are sent over AMQP.
    #[serde(default)]
    pub kserve_part: f64,
    /// Number of routers.
    pub routers: u32,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the regions. Routers are assigned to the regions in turn. A zone belongs to the region with the same
    /// name, or to the region whose name, followed by a dash, its own name starts with. With regions, all links of the
    /// routers have relays.
    #[serde(default)]
    pub regions: Vec<String>,
    /// Whether the routers form a group.
    #[serde(default)]
    pub peers: bool,
    /// Whether the last router is a witness, which accepts no invocations.
    #[serde(default)]
    pub witness: bool,
    /// Tolerance for all checked times on a busy machine, in milliseconds.
    #[serde(default)]
    pub leeway_ms: u64,
    /// Capacity floor of upgrades: of the lanes that are ready when an upgrade is ordered, the share that must be ready
    /// in each region until the upgrade is over.
    #[serde(default)]
    pub floor: f64,
    /// How long routers may be unaware of capacity that a fault removed, in milliseconds.
    #[serde(default)]
    pub floor_known_ms: u64,
    /// Offset of each router's wall clock in milliseconds, by number of the router.
    #[serde(default)]
    pub clock_offsets_ms: Vec<i64>,
    /// The function store.
    pub store: StoreLimits,
    /// Limits of all workers (key `nature`).
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
    /// Tables that are copied to the settings of each router.
    pub settings: RouterTables,
}

/// Tables that are copied to the settings of the routers.
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
    /// Rate of a single fetch, in MB per second.
    pub mb_per_s: f64,
    /// Number of concurrent fetches that each get the full rate; more fetches share the total rate of this many.
    pub abreast: usize,
    /// Concurrent fetches above this number are rejected.
    pub most: usize,
}

/// Limits of all workers, in addition to the values in `[rules]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerLimits {
    /// Invocations are rejected while this many are waiting.
    pub most_waiting: usize,
    /// Largest number of concurrent loads.
    pub most_loads: usize,
}

/// A group of workers with the same properties.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerGroup {
    /// Zone of the workers.
    pub zone: String,
    /// Hardware kind of the workers.
    pub kind: String,
    /// Number of workers.
    pub count: u32,
    /// Number of cores of each worker.
    pub cores: f64,
    /// Memory of each worker for loaded functions, in MB.
    pub memory_mb: f64,
}

/// A trigger type: its rules, its share of the load, and the properties of its functions.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TriggerType {
    /// Name of the trigger type.
    pub name: String,
    /// Effect of the invocations, which says whether they may be executed again.
    pub effect: Effect,
    /// How long workers remember an idempotency key, in milliseconds; 0 if they ignore idempotency keys.
    #[serde(default)]
    pub window_ms: u64,
    /// Behavior of the group without a majority; absent: the default of the routers.
    #[serde(default)]
    pub without_majority: Option<String>,
    /// Latency objective in milliseconds.
    pub latency_objective_ms: u64,
    /// Client timeout in milliseconds.
    pub client_timeout_ms: u64,
    /// Value of an invocation that is answered within the latency objective.
    pub billed_value: f64,
    /// Share of all arrivals, relative to the shares of the other trigger types.
    pub part: f64,
    /// Number of functions.
    pub functions: u32,
    /// Exponent of the Zipf distribution by which functions are drawn.
    pub skew: f64,
    /// Mean work of an invocation, in milliseconds of processor time.
    pub work_ms: f64,
    /// Memory of a loaded copy, in MB.
    pub copy_mb: f64,
    /// Time from the end of the fetch until a copy is ready, in milliseconds.
    pub start_up_ms: u64,
    /// Number of invocations that a copy runs concurrently.
    pub lanes: u32,
    /// Share of the arrivals that are turns of sessions.
    #[serde(default)]
    pub sessions: f64,
    /// Mean number of turns of a session; the number is drawn between one and twice the mean minus one.
    #[serde(default)]
    pub turns: u32,
    /// Mean time between two turns in milliseconds; the time is drawn between half and one and a half times the mean.
    /// Clients send a turn when it is due, even if the previous turn is not answered yet.
    #[serde(default)]
    pub pause_ms: u64,
    /// Additional work of a turn that does not find the cached prefix of its session, in milliseconds of processor
    /// time.
    #[serde(default)]
    pub prefix_ms: u64,
}

/// An account and its share of the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the account.
    pub name: String,
    /// Its fair share of the capacity.
    pub share: f64,
    /// Its quota, in invocations per second.
    pub allowance_per_s: f64,
    /// Share of all arrivals, relative to the shares of the other accounts.
    pub part: f64,
}

/// Kinds of faults. Each kind that uses [`ScenarioFault::size`] describes its meaning.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Workers crash, and are restarted when the fault is over.
    Crash,
    /// Workers execute invocations but do not answer.
    Hang,
    /// Workers are slower; size: factor.
    Slow,
    /// Workers pause repeatedly; size: length of each pause in seconds.
    Pauses,
    /// Workers do not answer one trigger type.
    ClassFail,
    /// Workers are listed as draining and then end; size: time in between, in milliseconds.
    Preempt,
    /// Workers drain and end one after another; size: seconds between two workers.
    DrainWave,
    /// Workers of a zone are partitioned from the routers of other zones.
    ZoneCut,
    /// The store is slower; size: factor.
    StoreSlow,
    /// Workers evict all idle functions.
    Flush,
    /// Part of the arrivals calls one function.
    HotFunction,
    /// Part of the arrivals calls functions that were not called before.
    Scan,
    /// The rate of arrivals changes; size: factor.
    TrafficShift,
    /// The broker closes channels.
    ChannelDrop,
    /// The broker drops connections.
    ConnectionDrop,
    /// The broker stops and is restarted.
    BrokerRestart,
    /// The broker blocks publishing.
    BrokerBlock,
    /// Routers are killed, and restarted when the fault is over.
    RouterKill,
    /// Routers are paused, and resumed when the fault is over.
    RouterPause,
    /// Routers are killed, and restarted with an older copy of their state.
    StaleState,
    /// Partition between the routers in `which`; with `one_way`, only from the first to the others.
    PeerCut,
    /// Partition of a region from the other regions.
    RegionCut,
    /// Changes of the endpoint list are delayed; size: seconds.
    ListLate,
    /// Clients retry; size: number of retries.
    RetryAbuse,
    /// One front gets more invocations; size: factor of its usual share.
    Flood,
}

/// A fault with its time and its targets.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioFault {
    /// Kind of the fault.
    pub what: FaultKind,
    /// When the fault begins, in seconds after the start of the load.
    pub at_s: f64,
    /// Duration in seconds.
    #[serde(default)]
    pub for_s: f64,
    /// Numbers of the affected workers or routers.
    #[serde(default)]
    pub which: Vec<usize>,
    /// Share of the workers, arrivals or channels that are affected; they are drawn with the seed.
    #[serde(default)]
    pub part: f64,
    /// Factor, seconds, milliseconds or number of retries, depending on the [`FaultKind`].
    #[serde(default)]
    pub size: f64,
    /// The affected zone.
    #[serde(default)]
    pub zone: Option<String>,
    /// The affected region.
    #[serde(default)]
    pub region: Option<String>,
    /// Whether a partition blocks only the direction from the first router to the others.
    #[serde(default)]
    pub one_way: bool,
    /// Whether data is lost with its connection during a partition, instead of arriving when the partition is healed.
    #[serde(default)]
    pub lost: bool,
    /// The affected trigger type.
    #[serde(default)]
    pub trigger: Option<String>,
    /// The front that is flooded.
    #[serde(default)]
    pub front: Option<Front>,
    /// The account of a flood; absent: all accounts.
    #[serde(default)]
    pub account: Option<String>,
}

/// Front that receives invocations.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Front {
    /// AMQP, through the broker.
    Amqp,
    /// KServe v2, directly to routers.
    Kserve,
}

/// Reads and validates a scenario file.
///
/// # Errors
/// Fails if the file cannot be read, is malformed, or violates a condition.
pub fn read(path: &Path) -> Result<Scenario, ClusterError> {
    let text = std::fs::read_to_string(path).map_err(ClusterError::file(path))?;
    parse(&path.display().to_string(), &text)
}

/// Parses and validates a scenario; `file` is the file name in errors.
///
/// # Errors
/// Fails if the text is malformed or violates a condition.
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

/// Whether a zone belongs to a region, according to their names.
fn belongs(zone: &str, region: &str) -> bool {
    zone.strip_prefix(region)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('-'))
}

impl Scenario {
    /// Number of the zone of a router. Routers are assigned to the regions in turn, and within a region to its zones in
    /// turn.
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

    /// The region of a zone; empty if the scenario has no regions.
    pub fn region_of(&self, zone: &str) -> &str {
        self.regions
            .iter()
            .find(|r| belongs(zone, r))
            .map_or("", String::as_str)
    }
}
