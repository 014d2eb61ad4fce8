//! Rolling upgrades, as this router takes part in them: the operator's orders from a file, the group's
//! knowledge of plans and of the versions' health, and the copies that workers hold. `cedarpulley-upgrade`
//! decides; its steps go to the group, and its load and unload requests to the core.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use async_signal::{Signal, Signals};
use bytes::Bytes;
use cedarpulley::interface::{CopyStatus, DispatchOutcome, EndpointState, LoadOrderResult, Micros};
use cedarpulley_errors::Remedy;
use cedarpulley_kserve::client_requests;
use cedarpulley_net::DeadlineTimer;
use cedarpulley_replica as replica;
use cedarpulley_router::Input;
use cedarpulley_router::endpoint_list::ListedWorker;
use cedarpulley_router::observer::{UsageSource, WorkerUsage};
use cedarpulley_upgrade::orders::{self, Asked, MOST_DRAIN_MS};
use cedarpulley_upgrade::{
    self as upgrade, Ballot, Count, GoesBy, Name, Order, Output, Planner, WorkerSeen,
};
use futures_lite::{FutureExt, StreamExt};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::config_reader::{ConfigDocument, ConfigErrors, Section};
use crate::context::GatewayContext;
use crate::peer_events::PeerEvent;
use crate::shared_state::SharedState;

/// Key prefixes in the shared state: before the model of a plan, and before model and member of version
/// statistics.
const PLAN_PREFIX: &str = "u\n";
const STATS_PREFIX: &str = "h\n";
/// In microseconds. A plan tells which version serves long after its last step, for as long as a group
/// exists.
const PLAN_RETENTION: Micros = 10 * 365 * 86_400_000_000;
/// In microseconds. A member's statistics are published again before they are forgotten.
const STATS_RETENTION: Micros = 600_000_000;
const STATS_REPEAT_AFTER: Micros = 300_000_000;
/// Models whose copy sizes are remembered, as many as a router accounts for; others count as having no size.
const MAX_SIZES: usize = 20_000;
/// How often workers and counts are examined.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Largest number in the file.
const MAX_NUMBER: u64 = 1 << 53;

/// Configuration of upgrades.
#[derive(Clone, Debug)]
pub struct UpgradeSettings {
    /// The operator's orders, read at start and on SIGHUP.
    pub file: PathBuf,
    pub orders: Vec<Order>,
    pub terms: upgrade::Terms,
    /// Region by zone, for zones whose region has another name.
    pub regions: BTreeMap<String, String>,
    /// Latency objective by trigger type, in microseconds.
    pub latency_objectives: Vec<Micros>,
    /// Memory by kind of worker.
    pub memory_mb: Vec<f64>,
}

/// Reads an operator's orders; on any error all are refused, with one line for each cause.
pub fn read(file: &Path) -> Result<Vec<Order>, ConfigErrors> {
    let name = file.display().to_string();
    let text =
        std::fs::read_to_string(file).map_err(|e| ConfigErrors(vec![format!("{name}: {e}")]))?;
    let (document, table) = ConfigDocument::parse(&name, &text)?;
    let root = Section::root(&document, &table);
    let mut all: Vec<Order> = Vec::new();
    for s in root.sections("order") {
        let asked = Asked {
            model: s.string("model", None),
            from: s.string("from", Some("")),
            to: s.string("to", None),
            serial: s.integer("serial", 0..MAX_NUMBER, None),
            canary: s.integer("canary", 0..1_000, Some(1)) as u32,
            canary_part: s.number("canary_part", 0.0..1.0, Some(0.05)),
            floor: s.number("floor", 0.0..1.0, Some(0.8)),
            drain_limit_ms: s.integer("drain_limit_ms", 0..MOST_DRAIN_MS, None),
            copy_mb: s.integer("copy_mb", 0..1 << 30, Some(0)) as u32,
            withdrawn: s.boolean("withdrawn", Some(false)),
        };
        match Order::try_from(asked) {
            Ok(order)
                if all
                    .iter()
                    .any(|o| o.model == order.model && o.serial == order.serial) =>
            {
                s.error("serial", "is given to two orders for one model");
            }
            Ok(order) => all.push(order),
            Err(unfit) => s.error("model", &format!("{unfit}; {}", unfit.remedy())),
        }
        s.finish();
    }
    if all.len() > orders::MOST_ORDERS {
        root.error(
            "order",
            &format!("there are more than {}", orders::MOST_ORDERS),
        );
    }
    root.finish();
    document.finish(all)
}

/// A member's statistics on the versions of a model, as encoded in the shared state. The order of fields is
/// the format.
#[derive(Serialize, Deserialize, PartialEq)]
struct VersionStats {
    goes_by: GoesBy,
    counts: Vec<Count>,
}

/// What was published last, and when.
#[derive(Default)]
struct PublishedStats {
    value: Bytes,
    at: Micros,
}

/// The upgrades of one router.
pub struct Upgrades {
    context: Rc<GatewayContext>,
    shared: SharedState,
    settings: UpgradeSettings,
    /// This router's own region.
    region: String,
    planner: RefCell<Planner>,
    /// The orders as last read from the file.
    orders: RefCell<Vec<Order>>,
    /// By model, version and trigger type.
    counts: RefCell<BTreeMap<(Name, Name, u32), Count>>,
    /// By model: lanes and size in MB of a copy, as its last invocation stated.
    sizes: RefCell<HashMap<Name, (u32, f64)>>,
    published: RefCell<BTreeMap<Name, PublishedStats>>,
    /// Wall time of this process's start: its statistics supersede those of an earlier process.
    started_at: u64,
    serial: Cell<u64>,
    /// Ended loads, recorded while the core was running.
    completed: RefCell<VecDeque<upgrade::Input>>,
    workers: RefCell<Option<WorkerMap>>,
    /// Source of the copies that workers hold; the workers' region and state are added here.
    holdings: RefCell<Option<HoldingsSource>>,
    alarm: DeadlineTimer,
}

/// The copies that workers hold, as far as known.
pub type HoldingsSource = Box<dyn Fn() -> Vec<WorkerSeen>>;
/// Workers of the list, by name.
pub type WorkerMap = Rc<RefCell<BTreeMap<Name, ListedWorker>>>;

fn from_replica(b: replica::Ballot) -> Ballot {
    Ballot {
        number: b.number,
        member: b.member,
        nonce: b.nonce,
    }
}

fn to_replica(b: Ballot) -> replica::Ballot {
    replica::Ballot {
        number: b.number,
        member: b.member,
        nonce: b.nonce,
    }
}

impl Upgrades {
    /// The upgrades of a router in this group; nothing runs before [`Upgrades::run`].
    pub fn new(
        context: Rc<GatewayContext>,
        shared: SharedState,
        settings: UpgradeSettings,
    ) -> Rc<Upgrades> {
        let me = shared.own_index();
        let region = shared
            .members()
            .get(me as usize)
            .map(|f| f.region.clone())
            .unwrap_or_default();
        let planner = RefCell::new(Planner::new(settings.terms.clone()));
        let started_at = context.clock.wall_time().max(0) as u64;
        let orders = RefCell::new(settings.orders.clone());
        let upgrades = Rc::new(Upgrades {
            context,
            shared,
            settings,
            region,
            planner,
            orders,
            counts: RefCell::default(),
            sizes: RefCell::default(),
            published: RefCell::default(),
            started_at,
            serial: Cell::new(0),
            completed: RefCell::default(),
            workers: RefCell::default(),
            holdings: RefCell::default(),
            alarm: DeadlineTimer::default(),
        });
        let weak = Rc::downgrade(&upgrades);
        for prefix in [PLAN_PREFIX, STATS_PREFIX] {
            let weak = weak.clone();
            upgrades.shared.subscribe(prefix, move |event| {
                if let Some(upgrades) = weak.upgrade() {
                    upgrades.peer_event(prefix, event);
                }
            });
        }
        upgrades
    }

    /// Sets the map of listed workers.
    pub fn set_workers(&self, workers: WorkerMap) {
        *self.workers.borrow_mut() = Some(workers);
    }

    /// Sets the source of what workers report to hold.
    pub fn set_holdings_source(&self, source: HoldingsSource) {
        *self.holdings.borrow_mut() = Some(source);
    }

    /// The function to use for a request without a session; absent: unchanged.
    pub fn route(&self, model: &str, draw: impl FnOnce() -> u64) -> Option<Name> {
        let planner = self.planner.borrow();
        planner.models().any(|m| **m == *model).then_some(())?;
        planner
            .goes_to(model, &self.region, draw(), false)
            .map(|way| way.function)
    }

    /// The version to propose for a session. Without a plan known here, the one in service.
    pub fn propose_version(&self, model: &str, draw: u64, begins: bool) -> Name {
        let planned = self
            .planner
            .borrow()
            .proposes(model, &self.region, draw, begins);
        planned.unwrap_or_else(|| {
            let orders = self.orders.borrow();
            let first = orders
                .iter()
                .filter(|o| *o.model == *model)
                .min_by_key(|o| o.serial);
            first.map(|o| o.from.clone()).unwrap_or_default()
        })
    }

    /// A plan has taken this version out of service.
    pub fn is_retired(&self, model: &str, version: &str) -> bool {
        self.planner.borrow().over(model, version)
    }

    /// A plan has ended the sessions of this version.
    pub fn sessions_ended(&self, model: &str, version: &str) -> bool {
        self.planner.borrow().sessions_over(model, version)
    }

    /// An upgrade plan in progress manages this function's copies, of the old or the new version.
    pub fn manages(&self, function: &str) -> bool {
        let (model, claims) = (client_requests::split_version(function).0, self.claims());
        // A completed plan claims only one of its versions.
        let of_model = claims
            .iter()
            .filter(|c| client_requests::split_version(&c.function).0 == model)
            .count();
        of_model > 1 && claims.iter().any(|c| *c.function == *function)
    }

    /// Learns the size of a model's copies from an invocation.
    pub fn record_invocation(&self, model: &str, lanes: u32, copy_mb: f64) {
        let mut sizes = self.sizes.borrow_mut();
        if let Some(known) = sizes.get_mut(model) {
            *known = (lanes.max(1), copy_mb);
        } else if sizes.len() < MAX_SIZES {
            sizes.insert(Name::from(model), (lanes.max(1), copy_mb));
        }
    }

    /// Records the end of a dispatch or a load order; called while the core is running.
    pub fn record_use(&self, used: &WorkerUsage) {
        let (model, version) = client_requests::split_version(used.function);
        if !self.planner.borrow().models().any(|m| **m == *model) {
            return;
        }
        match used.source {
            UsageSource::Order(result) => {
                let (worker, function) = (Name::from(used.worker_name), Name::from(used.function));
                let ok = result == LoadOrderResult::Loaded;
                self.completed
                    .borrow_mut()
                    .push_back(upgrade::Input::LoadEnded {
                        worker,
                        function,
                        ok,
                    });
            }
            // Failures of a connection, or of a full worker, say nothing about the version.
            UsageSource::Dispatch(
                outcome @ (DispatchOutcome::Succeeded
                | DispatchOutcome::Errored
                | DispatchOutcome::TimedOut),
                note,
            ) => {
                let (version, trigger) = (Name::from(version), used.trigger);
                let mut counts = self.counts.borrow_mut();
                let count = counts
                    .entry((Name::from(model), version.clone(), trigger))
                    .or_insert_with(|| {
                        let trigger = self.context.names.triggers.get(trigger as usize);
                        let trigger = Name::from(trigger.map_or("", String::as_str));
                        Count {
                            version,
                            trigger,
                            ..Count::default()
                        }
                    });
                let objective = self
                    .settings
                    .latency_objectives
                    .get(trigger as usize)
                    .copied()
                    .unwrap_or(Micros::MAX);
                // A dispatch that waited for a load is late because of the load.
                let late = note != CopyStatus::LoadStarted && used.took > objective;
                count.ended += 1;
                count.errored += u64::from(outcome != DispatchOutcome::Succeeded);
                count.late += u64::from(outcome == DispatchOutcome::Succeeded && late);
            }
            UsageSource::Dispatch(..) => {}
        }
    }

    /// Handles what was recorded while the core was running.
    pub fn process_completed(&self) {
        loop {
            let Some(input) = self.completed.borrow_mut().pop_front() else {
                break;
            };
            self.apply(input);
        }
    }

    /// The copies that plans are responsible for.
    pub fn claims(&self) -> Vec<upgrade::Claim> {
        self.planner.borrow().claims()
    }

    /// For the state endpoint; `sessions` is included as is.
    pub fn state(&self, sessions: Value) -> Value {
        let orders = self.orders.borrow();
        let order =
            |o: &Order| json!({"model": o.model, "serial": o.serial, "from": o.from, "to": o.to});
        json!({
            "orders": orders.iter().map(order).collect::<Vec<_>>(),
            "plans": self.planner.borrow().shown(),
            "sessions": sessions,
        })
    }

    /// Takes part in upgrades for as long as the router runs.
    pub async fn run(self: Rc<Self>) {
        self.update_members();
        for (key, ballot, bytes) in self.shared.all_accepted(PLAN_PREFIX) {
            self.plan_received(&key, ballot, bytes);
        }
        for (key, note) in self.shared.notes(STATS_PREFIX) {
            self.stats_received(&key, &note);
        }
        let orders = self.orders.borrow().clone();
        self.apply(upgrade::Input::Orders(orders));
        loop {
            self.apply(upgrade::Input::Workers(self.observed_workers()));
            self.publish_stats();
            let poll = async {
                Timer::after(POLL_INTERVAL).await;
            };
            self.alarm.elapsed(&self.context.clock).or(poll).await;
        }
    }

    /// Reads the orders again on each SIGHUP.
    pub async fn reload_on_sighup(self: Rc<Self>) {
        let mut signals = match Signals::new([Signal::Hup]) {
            Ok(signals) => signals,
            Err(e) => return tracing::error!(cause = %e, "upgrade: SIGHUP is not heard"),
        };
        while signals.next().await.is_some() {
            match read(&self.settings.file) {
                Ok(orders) => {
                    tracing::info!(orders = orders.len(), "upgrade: the orders were read");
                    self.orders.replace(orders.clone());
                    self.apply(upgrade::Input::Orders(orders));
                }
                // The previous orders stay in force.
                Err(errors) => {
                    errors
                        .0
                        .iter()
                        .for_each(|line| tracing::error!("upgrade: orders refused: {line}"));
                }
            }
        }
    }

    fn apply(&self, input: upgrade::Input) {
        let mut out = Vec::new();
        let due = {
            let mut planner = self.planner.borrow_mut();
            planner.handle(self.context.clock.now(), input, &mut out);
            planner.next_due()
        };
        self.alarm.set_deadline(due);
        for output in out {
            match output {
                Output::Lead { key } => self.shared.lead(key, PLAN_RETENTION),
                Output::Write { key, ballot, value } => {
                    self.shared
                        .write(key, to_replica(ballot), value, PLAN_RETENTION);
                }
                Output::Want {
                    worker,
                    function,
                    like,
                    term,
                } => {
                    self.context.feed(Input::CopyWanted {
                        worker,
                        function,
                        like,
                        term: Some(term),
                    });
                }
                Output::Unwant {
                    worker,
                    function,
                    term,
                } => {
                    self.context.feed(Input::CopyUnwanted {
                        worker,
                        function,
                        term: Some(term),
                    });
                }
                Output::Log(line) => tracing::info!("upgrade: {line}"),
            }
        }
    }

    fn peer_event(&self, prefix: &str, event: PeerEvent) {
        match event {
            // Both prefixes receive this event; one is enough.
            PeerEvent::BelievedMembersChanged if prefix == PLAN_PREFIX => self.update_members(),
            PeerEvent::BelievedMembersChanged => {}
            PeerEvent::Updated(key) if prefix == PLAN_PREFIX => {
                if let Some((ballot, bytes)) = self.shared.accepted(&key) {
                    self.plan_received(&key, ballot, bytes);
                }
                // The leader waits until all members act on its step.
                self.publish_stats();
            }
            PeerEvent::Updated(key) => {
                if let Some(note) = self.shared.latest_note(&key) {
                    self.stats_received(&key, &note);
                }
            }
            PeerEvent::Decided(key, outcome) => {
                let outcome = match outcome {
                    replica::Outcome::Leads { ballot, last } => upgrade::Outcome::Leads {
                        ballot: from_replica(ballot),
                        last,
                    },
                    replica::Outcome::Written { ballot } => upgrade::Outcome::Written {
                        ballot: from_replica(ballot),
                    },
                    replica::Outcome::Overtaken | replica::Outcome::Chosen(_) => {
                        upgrade::Outcome::Overtaken
                    }
                    replica::Outcome::NoMajority(_) => upgrade::Outcome::NoMajority,
                };
                self.apply(upgrade::Input::Decided { key, outcome });
                self.publish_stats();
            }
        }
    }

    fn update_members(&self) {
        let members = self.shared.members();
        self.apply(upgrade::Input::Members {
            me: self.shared.own_index(),
            alive: members.iter().map(|f| f.alive).collect(),
            regions: members.iter().map(|f| Name::from(&*f.region)).collect(),
        });
    }

    fn plan_received(&self, key: &str, ballot: replica::Ballot, bytes: Bytes) {
        if let Some(model) = upgrade::model_of(key) {
            let (model, ballot) = (Name::from(model), from_replica(ballot));
            self.apply(upgrade::Input::PlanHeard {
                model,
                ballot,
                bytes,
            });
        }
    }

    fn stats_received(&self, key: &str, note: &replica::Note) {
        let of = key
            .strip_prefix(STATS_PREFIX)
            .and_then(|rest| rest.rsplit_once('\n'));
        let Some((model, Ok(member))) = of.map(|(model, member)| (model, member.parse())) else {
            return;
        };
        // What another release encoded differently is ignored.
        if let Ok(VersionStats { goes_by, counts }) = postcard::from_bytes(&note.value) {
            self.apply(upgrade::Input::Counted {
                member,
                model: Name::from(model),
                goes_by,
                counts,
            });
        }
    }

    /// Publishes this router's statistics where they have changed, or are due again.
    fn publish_stats(&self) {
        let (me, now) = (self.shared.own_index(), self.context.clock.now());
        let models: Vec<Name> = self.planner.borrow().models().cloned().collect();
        for model in models {
            let goes_by = self.planner.borrow().goes_by(&model);
            let counts = {
                let (counts, from) = (self.counts.borrow(), (model.clone(), Name::default(), 0));
                let of_model = counts.range(from..).take_while(|((m, ..), _)| *m == model);
                of_model.map(|(_, count)| count.clone()).collect()
            };
            let stats = VersionStats { goes_by, counts };
            let Ok(value) = postcard::to_stdvec(&stats).map(Bytes::from) else {
                continue;
            };
            {
                let mut published = self.published.borrow_mut();
                let last = published.entry(model.clone()).or_default();
                if last.value == value && now - last.at < STATS_REPEAT_AFTER {
                    continue;
                }
                *last = PublishedStats {
                    value: value.clone(),
                    at: now,
                };
            }
            self.serial.set(self.serial.get() + 1);
            let key = replica::Key::from(format!("{STATS_PREFIX}{model}\n{me}"));
            self.shared.note(
                key,
                (self.started_at, self.serial.get()),
                value,
                STATS_RETENTION,
            );
            let VersionStats { goes_by, counts } = stats;
            self.apply(upgrade::Input::Counted {
                member: me,
                model,
                goes_by,
                counts,
            });
        }
    }

    /// The copies at workers, with region and state of the workers and sizes of the copies.
    fn observed_workers(&self) -> Vec<WorkerSeen> {
        let workers = self.workers.borrow().clone().unwrap_or_default();
        let (workers, sizes) = (workers.borrow(), self.sizes.borrow());
        let held = self
            .holdings
            .borrow()
            .as_ref()
            .map(|source| source())
            .unwrap_or_default();
        let mut held: BTreeMap<Name, WorkerSeen> =
            held.into_iter().map(|w| (w.name.clone(), w)).collect();
        let describe = |(name, worker): (&Name, &ListedWorker)| {
            let zone = self
                .context
                .names
                .zones
                .get(worker.zone as usize)
                .map_or("", String::as_str);
            let region = self.settings.regions.get(zone).map_or(zone, String::as_str);
            let mut w = held.remove(name)?;
            w.region = Name::from(region);
            w.takes_new = worker.state == EndpointState::InService;
            if w.memory_mb == 0 {
                w.memory_mb = self
                    .settings
                    .memory_mb
                    .get(worker.machine_kind as usize)
                    .map_or(0, |mb| *mb as u32);
            }
            for h in &mut w.holds {
                if let Some((lanes, mb)) = sizes.get(client_requests::split_version(&h.function).0)
                {
                    (h.lanes, h.copy_mb) = (h.copies * lanes, *mb as u32);
                }
                w.used_mb = w.used_mb.saturating_add(h.copy_mb.saturating_mul(h.copies));
            }
            Some(w)
        };
        workers.iter().filter_map(describe).collect()
    }
}
