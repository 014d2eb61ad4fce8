//! This router's part in rolling upgrades. This module passes the operator's orders from a file, the plans and version
//! statistics shared by the group, and the copies at workers to the planner in `cedarpulley-upgrade`, which makes the
//! decisions. The planner's proposals are sent to the group, and its load and unload requests to the router core.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use async_signal::{Signal, Signals};
use bytes::Bytes;
use cedarpulley::interface::{LoadOrderResult, Micros};
use cedarpulley_kserve::client_requests;
use cedarpulley_net::DeadlineTimer;
use cedarpulley_replica as replica;
use cedarpulley_router::Input;
use cedarpulley_router::observer::{UsageSource, WorkerUsage};
use cedarpulley_upgrade::{self as upgrade, Name, Order, Output, Planner};
use futures_lite::{FutureExt, StreamExt};
use serde_json::{Value, json};

use crate::context::GatewayContext;
use crate::copy_inventory::CopyInventory;
pub use crate::copy_inventory::{HoldingsSource, WorkerMap};
use crate::peer_events::PeerEvent;
use crate::plan_conversions::{from_replica, planner_outcome, to_replica};
use crate::shared_state::SharedState;
pub use crate::upgrade_orders::read;
use crate::version_statistics::{VersionStatistics, VersionStats};

/// Key prefix of plans in the shared state; the model follows it.
const PLAN_PREFIX: &str = "u\n";
/// Key prefix of version statistics in the shared state; the model and the member follow it.
const STATS_PREFIX: &str = "h\n";
/// Retention of plans, in microseconds. A plan determines which version is in service long after its last step, as long
/// as the group exists.
const PLAN_RETENTION: Micros = 10 * 365 * 86_400_000_000;
/// Retention of version statistics, in microseconds. A member publishes its statistics again before they expire.
const STATS_RETENTION: Micros = 600_000_000;
/// Interval at which the workers and the statistics are examined.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Settings of upgrades.
#[derive(Clone, Debug)]
pub struct UpgradeSettings {
    /// File of the operator's orders, read at start and on SIGHUP.
    pub file: PathBuf,
    /// The orders as read at start.
    pub orders: Vec<Order>,
    /// Limits and times of the planner.
    pub planner_settings: upgrade::PlannerSettings,
    /// Region by zone, for zones whose region has a name other than the zone's.
    pub regions: BTreeMap<String, String>,
    /// Latency objective by trigger type, in microseconds.
    pub latency_objectives: Vec<Micros>,
    /// Memory in MB by kind of worker.
    pub memory_mb: Vec<f64>,
}

/// The upgrades of one router.
pub struct Upgrades {
    context: Rc<GatewayContext>,
    shared: SharedState,
    settings: UpgradeSettings,
    /// This router's own region.
    region: String,
    /// The state machine that decides on the steps of plans.
    planner: RefCell<Planner>,
    /// The orders as last read from the file.
    orders: RefCell<Vec<Order>>,
    statistics: VersionStatistics,
    inventory: CopyInventory,
    /// Ended load orders that were recorded while the router core was running, for
    /// [`Upgrades::process_completed`].
    completed: RefCell<VecDeque<upgrade::Input>>,
    /// Expires when the planner is due.
    alarm: DeadlineTimer,
}

impl Upgrades {
    /// Creates the upgrades of a router in the group of `shared`; nothing runs before [`Upgrades::run`].
    pub fn new(
        context: Rc<GatewayContext>,
        shared: SharedState,
        settings: UpgradeSettings,
    ) -> Rc<Upgrades> {
        let own_index = shared.own_index();
        let region = shared
            .members()
            .get(own_index as usize)
            .map(|member| member.region.clone())
            .unwrap_or_default();
        let statistics =
            VersionStatistics::new(context.clone(), settings.latency_objectives.clone());
        let inventory = CopyInventory::new(
            context.clone(),
            settings.regions.clone(),
            settings.memory_mb.clone(),
        );
        let upgrades = Rc::new(Upgrades {
            context,
            shared,
            region,
            planner: RefCell::new(Planner::new(settings.planner_settings.clone())),
            orders: RefCell::new(settings.orders.clone()),
            settings,
            statistics,
            inventory,
            completed: RefCell::default(),
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
        self.inventory.set_workers(workers);
    }

    /// Sets the source of the workers' reports of their copies.
    pub fn set_holdings_source(&self, source: HoldingsSource) {
        self.inventory.set_holdings_source(source);
    }

    /// The function to use for a request without a session; absent if the requested function is used unchanged. `draw`: a
    /// random number.
    pub fn route(&self, model: &str, draw: impl FnOnce() -> u64) -> Option<Name> {
        let planner = self.planner.borrow();
        planner.models().any(|m| **m == *model).then_some(())?;
        planner
            .route(model, &self.region, draw(), false)
            .map(|route| route.function)
    }

    /// The version to propose for a session. If no plan of the model is known here, it is the version in service, which the
    /// first order of the model names, or an empty name without orders. `draw`: a random number; `begins`: whether the session begins with this request.
    pub fn propose_version(&self, model: &str, draw: u64, begins: bool) -> Name {
        let planned = self
            .planner
            .borrow()
            .version_to_propose(model, &self.region, draw, begins);
        planned.unwrap_or_else(|| {
            let orders = self.orders.borrow();
            let first = orders
                .iter()
                .filter(|o| *o.model == *model)
                .min_by_key(|o| o.serial);
            first.map(|o| o.from.clone()).unwrap_or_default()
        })
    }

    /// Whether a plan has taken this version out of service.
    pub fn is_retired(&self, model: &str, version: &str) -> bool {
        self.planner.borrow().copies_evicted(model, version)
    }

    /// Whether a plan has ended the sessions of this version.
    pub fn sessions_ended(&self, model: &str, version: &str) -> bool {
        self.planner.borrow().sessions_ended(model, version)
    }

    /// Whether a plan in progress manages the copies of this function, which is the old or the new version of its model.
    pub fn manages(&self, function: &str) -> bool {
        let (model, claims) = (client_requests::split_version(function).0, self.claims());
        // A plan in progress claims both of its versions, a completed plan only one.
        let of_model = claims
            .iter()
            .filter(|c| client_requests::split_version(&c.function).0 == model)
            .count();
        of_model > 1 && claims.iter().any(|c| *c.function == *function)
    }

    /// Records the size of a model's copies as stated by an invocation.
    pub fn record_invocation(&self, model: &str, lanes: u32, copy_mb: f64) {
        self.inventory.record_size(model, lanes, copy_mb);
    }

    /// Records the end of a dispatch or of a load order; called while the router core is running.
    pub fn record_use(&self, used: &WorkerUsage) {
        let model = client_requests::split_version(used.function).0;
        if !self.planner.borrow().models().any(|m| **m == *model) {
            return;
        }
        match used.source {
            UsageSource::LoadOrder(result) => {
                let load_ended = upgrade::Input::LoadEnded {
                    worker: Name::from(used.worker_name),
                    function: Name::from(used.function),
                    ok: result == LoadOrderResult::Loaded,
                };
                self.completed.borrow_mut().push_back(load_ended);
            }
            UsageSource::Dispatch(outcome, status) => self.statistics.record(used, outcome, status),
        }
    }

    /// Passes the load orders that ended while the router core was running to the planner.
    pub fn process_completed(&self) {
        loop {
            let Some(input) = self.completed.borrow_mut().pop_front() else {
                break;
            };
            self.apply(input);
        }
    }

    /// The copies that plans claim.
    pub fn claims(&self) -> Vec<upgrade::Claim> {
        self.planner.borrow().claims()
    }

    /// The section of upgrades for the state endpoint. `sessions`: its part on sessions, which is included unchanged.
    pub fn state(&self, sessions: Value) -> Value {
        let orders = self.orders.borrow();
        let order =
            |o: &Order| json!({"model": o.model, "serial": o.serial, "from": o.from, "to": o.to});
        json!({
            "orders": orders.iter().map(order).collect::<Vec<_>>(),
            "plans": self.planner.borrow().status(),
            "sessions": sessions,
        })
    }

    /// Takes part in upgrades until the router ends.
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
            self.apply(upgrade::Input::Workers(self.inventory.observed_workers()));
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
            Err(e) => return tracing::error!(cause = %e, "upgrade: SIGHUP cannot be handled"),
        };
        while signals.next().await.is_some() {
            match read(&self.settings.file) {
                Ok(orders) => {
                    tracing::info!(orders = orders.len(), "upgrade: orders read");
                    self.orders.replace(orders.clone());
                    self.apply(upgrade::Input::Orders(orders));
                }
                // The previous orders remain in effect.
                Err(errors) => {
                    errors.0.iter().for_each(
                        |line| tracing::error!(cause = %line, "upgrade: orders rejected"),
                    );
                }
            }
        }
    }

    /// Passes an input to the planner and executes the outputs.
    fn apply(&self, input: upgrade::Input) {
        let mut outputs = Vec::new();
        let due = {
            let mut planner = self.planner.borrow_mut();
            planner.handle(self.context.clock.now(), input, &mut outputs);
            planner.next_due()
        };
        self.alarm.set_deadline(due);
        for output in outputs {
            match output {
                Output::RequestLeadership { key } => {
                    self.shared.request_leadership(key, PLAN_RETENTION)
                }
                Output::Propose { key, ballot, value } => {
                    self.shared
                        .write(key, to_replica(ballot), value, PLAN_RETENTION);
                }
                Output::LoadCopy {
                    worker,
                    function,
                    similar: similar_function,
                    term,
                } => {
                    self.context.feed(Input::CopyWanted {
                        worker,
                        function,
                        similar_function,
                        term: Some(term),
                    });
                }
                Output::UnloadCopies {
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
                Output::Log(line) => tracing::info!(detail = %line, "upgrade: plan progress"),
            }
        }
    }

    /// Processes an event of the group. `prefix`: key prefix of the subscription.
    fn peer_event(&self, prefix: &str, event: PeerEvent) {
        match event {
            // Both subscriptions receive this event; it is processed once.
            PeerEvent::AliveMembersChanged if prefix == PLAN_PREFIX => self.update_members(),
            PeerEvent::AliveMembersChanged => {}
            PeerEvent::Updated(key) if prefix == PLAN_PREFIX => {
                if let Some((ballot, bytes)) = self.shared.accepted(&key) {
                    self.plan_received(&key, ballot, bytes);
                }
                // The leader waits until the statistics of all members show that they route by its step.
                self.publish_stats();
            }
            PeerEvent::Updated(key) => {
                if let Some(note) = self.shared.latest_note(&key) {
                    self.stats_received(&key, &note);
                }
            }
            PeerEvent::Decided(key, outcome) => {
                let outcome = planner_outcome(outcome);
                self.apply(upgrade::Input::Decided { key, outcome });
                self.publish_stats();
            }
        }
    }

    /// Passes the members that are considered alive to the planner.
    fn update_members(&self) {
        let members = self.shared.members();
        self.apply(upgrade::Input::Members {
            own_index: self.shared.own_index(),
            alive: members.iter().map(|member| member.alive).collect(),
            regions: members
                .iter()
                .map(|member| Name::from(&*member.region))
                .collect(),
        });
    }

    /// Passes a plan that this member has accepted to the planner.
    fn plan_received(&self, key: &str, ballot: replica::Ballot, bytes: Bytes) {
        if let Some(model) = upgrade::model_of_key(key) {
            let (model, ballot) = (Name::from(model), from_replica(ballot));
            self.apply(upgrade::Input::PlanReceived {
                model,
                ballot,
                bytes,
            });
        }
    }

    /// Passes another member's statistics to the planner.
    fn stats_received(&self, key: &str, note: &replica::Note) {
        let model_and_member = key
            .strip_prefix(STATS_PREFIX)
            .and_then(|rest| rest.rsplit_once('\n'));
        let Some((model, Ok(member))) =
            model_and_member.map(|(model, member)| (model, member.parse()))
        else {
            return;
        };
        // Statistics that another release encoded in a different format are ignored.
        if let Ok(VersionStats {
            routing_rule,
            counts,
        }) = postcard::from_bytes(&note.value)
        {
            self.apply(upgrade::Input::MemberReported {
                member,
                model: Name::from(model),
                rule: routing_rule,
                counts,
            });
        }
    }

    /// Publishes this router's statistics on each model whose statistics have changed or are due to be published again.
    fn publish_stats(&self) {
        let (own_index, now) = (self.shared.own_index(), self.context.clock.now());
        let models: Vec<Name> = self.planner.borrow().models().cloned().collect();
        for model in models {
            let routing_rule = self.planner.borrow().routing_rule(&model);
            let counts = self.statistics.of_model(&model);
            let stats = VersionStats {
                routing_rule,
                counts,
            };
            let Some(note) = self.statistics.due_note(now, &model, &stats) else {
                continue;
            };
            let key = replica::Key::from(format!("{STATS_PREFIX}{model}\n{own_index}"));
            self.shared
                .note(key, note.version, note.value, STATS_RETENTION);
            let VersionStats {
                routing_rule,
                counts,
            } = stats;
            self.apply(upgrade::Input::MemberReported {
                member: own_index,
                model,
                rule: routing_rule,
                counts,
            });
        }
    }
}
