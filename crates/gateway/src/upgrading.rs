//! Rolling upgrades as this router takes part in them: the operator's orders from their file, what the group knows of
//! plans and of versions' health, what workers hold. What is to be done `cedarpulley-upgrade` decides; its steps go to
//! the group, its wishes for copies to the core.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use async_signal::{Signal, Signals};
use bytes::Bytes;
use cedarpulley::interface::{CopyNote, Micros, OrderResult, Outcome, Standing};
use cedarpulley_errors::Remedy;
use cedarpulley_kserve::serving;
use cedarpulley_net::Alarm;
use cedarpulley_replica as replica;
use cedarpulley_router::Input;
use cedarpulley_router::roster::Listed;
use cedarpulley_router::watch::{By, Used};
use cedarpulley_upgrade::orders::{self, Asked, MOST_DRAIN_MS};
use cedarpulley_upgrade::{self as upgrade, Ballot, Count, GoesBy, Name, Order, Output, Planner, WorkerSeen};
use futures_lite::{FutureExt, StreamExt};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::context::GatewayContext;
use crate::peers::PeerEvent;
use crate::shared_state::SharedState;
use crate::sheet::{Refused, Section, Sheet};

/// Before the model in a plan's record, and before model and member in what members have seen of its versions.
const PLANS: &str = "u\n";
const SEEN: &str = "h\n";
/// A plan says which version serves, long after its last step: for as long as a group lives.
const PLAN_KEPT: Micros = 10 * 365 * 86_400_000_000;
/// What a member has seen is told again before it is forgotten.
const SEEN_KEPT: Micros = 600_000_000;
const SEEN_AGAIN: Micros = 300_000_000;
/// Models whose copies' sizes are known at once, as many as a router keeps account of; others count as without size.
const MOST_SIZES: usize = 20_000;
/// Workers and counts are looked at this often.
const LOOK: Duration = Duration::from_millis(500);
/// Numbers in the file reach so far.
const MANY: u64 = 1 << 53;

/// What a router is told of upgrades.
#[derive(Clone, Debug)]
pub struct Ordered {
    /// The operator's orders; read at start and on SIGHUP.
    pub file: PathBuf,
    pub orders: Vec<Order>,
    pub terms: upgrade::Terms,
    /// Of zones whose workers belong to a region of another name.
    pub regions: BTreeMap<String, String>,
    /// By trigger type, its latency objective.
    pub objectives: Vec<Micros>,
    /// By kind of worker, its memory.
    pub memory_mb: Vec<f64>,
}

/// Reads an operator's orders; refused whole if anything is wrong, with a line for each cause.
pub fn read(file: &Path) -> Result<Vec<Order>, Refused> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| Refused(vec![format!("{name}: {e}")]))?;
    let (sheet, table) = Sheet::parse(&name, &text)?;
    let root = Section::root(&sheet, &table);
    let mut all: Vec<Order> = Vec::new();
    for s in root.sections("order") {
        let asked = Asked {
            model: s.text("model", None),
            from: s.text("from", Some("")),
            to: s.text("to", None),
            serial: s.count("serial", 0..MANY, None),
            canary: s.count("canary", 0..1_000, Some(1)) as u32,
            canary_part: s.number("canary_part", 0.0..1.0, Some(0.05)),
            floor: s.number("floor", 0.0..1.0, Some(0.8)),
            drain_limit_ms: s.count("drain_limit_ms", 0..MOST_DRAIN_MS, None),
            copy_mb: s.count("copy_mb", 0..1 << 30, Some(0)) as u32,
            withdrawn: s.flag("withdrawn", Some(false)),
        };
        match Order::try_from(asked) {
            Ok(order) if all.iter().any(|o| o.model == order.model && o.serial == order.serial) => {
                s.wrong("serial", "is given to two orders for one model");
            }
            Ok(order) => all.push(order),
            Err(unfit) => s.wrong("model", &format!("{unfit}; {}", unfit.remedy())),
        }
        s.end();
    }
    if all.len() > orders::MOST_ORDERS {
        root.wrong("order", &format!("there are more than {}", orders::MOST_ORDERS));
    }
    root.end();
    sheet.whole(all)
}

/// What a member tells of a model's versions.
#[derive(Serialize, Deserialize, PartialEq)]
struct Seen {
    goes_by: GoesBy,
    counts: Vec<Count>,
}

/// What was told last, and when.
#[derive(Default)]
struct Told {
    value: Bytes,
    at: Micros,
}

pub struct Upgrading {
    context: Rc<GatewayContext>,
    shared: SharedState,
    ordered: Ordered,
    /// This router's own.
    region: String,
    planner: RefCell<Planner>,
    /// Of the file as it was read last.
    orders: RefCell<Vec<Order>>,
    /// By model, version and trigger type.
    counts: RefCell<BTreeMap<(Name, Name, u32), Count>>,
    /// By model: lanes and size of a copy, as its last invocation said.
    sizes: RefCell<HashMap<Name, (u32, f64)>>,
    told: RefCell<BTreeMap<Name, Told>>,
    /// When this process began, by the wall: its word goes before that of an earlier one.
    began: u64,
    serial: Cell<u64>,
    /// Loads that ended, heard while the core was at work.
    ended: RefCell<VecDeque<upgrade::Input>>,
    seats: RefCell<Option<Seats>>,
    /// What workers are known to hold; where they stand is added here.
    holds: RefCell<Option<Holds>>,
    alarm: Alarm,
}

/// What workers are known to hold.
pub type Holds = Box<dyn Fn() -> Vec<WorkerSeen>>;
/// Workers of the list.
pub type Seats = Rc<RefCell<BTreeMap<Name, Listed>>>;

fn ours(b: replica::Ballot) -> Ballot {
    Ballot { number: b.number, member: b.member, nonce: b.nonce }
}

fn theirs(b: Ballot) -> replica::Ballot {
    replica::Ballot { number: b.number, member: b.member, nonce: b.nonce }
}

impl Upgrading {
    pub fn new(context: Rc<GatewayContext>, shared: SharedState, ordered: Ordered) -> Rc<Upgrading> {
        let me = shared.own_index();
        let region = shared.members().get(me as usize).map(|f| f.region.clone()).unwrap_or_default();
        let planner = RefCell::new(Planner::new(ordered.terms.clone()));
        let began = context.clock.wall().max(0) as u64;
        let orders = RefCell::new(ordered.orders.clone());
        let it = Rc::new(Upgrading {
            context,
            shared,
            ordered,
            region,
            planner,
            orders,
            counts: RefCell::default(),
            sizes: RefCell::default(),
            told: RefCell::default(),
            began,
            serial: Cell::new(0),
            ended: RefCell::default(),
            seats: RefCell::default(),
            holds: RefCell::default(),
            alarm: Alarm::default(),
        });
        let weak = Rc::downgrade(&it);
        for prefix in [PLANS, SEEN] {
            let weak = weak.clone();
            it.shared.subscribe(prefix, move |news| {
                if let Some(it) = weak.upgrade() {
                    it.heard(prefix, news);
                }
            });
        }
        it
    }

    /// Where workers stand, by the list.
    pub fn sits(&self, seats: Seats) {
        *self.seats.borrow_mut() = Some(seats);
    }

    /// What workers hold, by their own word.
    pub fn held(&self, holds: Holds) {
        *self.holds.borrow_mut() = Some(holds);
    }

    /// Where something of no session goes; absent: as it came.
    pub fn goes_to(&self, model: &str, draw: impl FnOnce() -> u64) -> Option<Name> {
        let planner = self.planner.borrow();
        planner.models().any(|m| **m == *model).then_some(())?;
        planner.goes_to(model, &self.region, draw(), false).map(|way| way.function)
    }

    /// The version to propose for a session. Without a plan that is known here, the one that is served.
    pub fn proposes(&self, model: &str, draw: u64, begins: bool) -> Name {
        let planned = self.planner.borrow().proposes(model, &self.region, draw, begins);
        planned.unwrap_or_else(|| {
            let orders = self.orders.borrow();
            let first = orders.iter().filter(|o| *o.model == *model).min_by_key(|o| o.serial);
            first.map(|o| o.from.clone()).unwrap_or_default()
        })
    }

    pub fn over(&self, model: &str, version: &str) -> bool {
        self.planner.borrow().over(model, version)
    }

    pub fn sessions_over(&self, model: &str, version: &str) -> bool {
        self.planner.borrow().sessions_over(model, version)
    }

    /// A plan under way looks after this function's copies, old or new.
    pub fn tends(&self, function: &str) -> bool {
        let (model, claims) = (serving::model(function).0, self.claims());
        // Once it is over it answers for one of its versions only.
        let of_model = claims.iter().filter(|c| serving::model(&c.function).0 == model).count();
        of_model > 1 && claims.iter().any(|c| *c.function == *function)
    }

    /// An invocation of a model says what its copies are like.
    pub fn came(&self, model: &str, lanes: u32, copy_mb: f64) {
        let mut sizes = self.sizes.borrow_mut();
        if let Some(known) = sizes.get_mut(model) {
            *known = (lanes.max(1), copy_mb);
        } else if sizes.len() < MOST_SIZES {
            sizes.insert(Name::from(model), (lanes.max(1), copy_mb));
        }
    }

    /// What a dispatch or an order came to; the core is at work.
    pub fn used(&self, used: &Used) {
        let (model, version) = serving::model(used.function);
        if !self.planner.borrow().models().any(|m| **m == *model) {
            return;
        }
        match used.by {
            By::Order(result) => {
                let (worker, function) = (Name::from(used.worker_name), Name::from(used.function));
                let ok = result == OrderResult::Stand;
                self.ended.borrow_mut().push_back(upgrade::Input::LoadEnded { worker, function, ok });
            }
            // What a connection or a full worker did to it says nothing of its version.
            By::Dispatch(outcome @ (Outcome::Succeeded | Outcome::Errored | Outcome::TimedOut), note) => {
                let (version, trigger) = (Name::from(version), used.trigger);
                let mut counts = self.counts.borrow_mut();
                let count =
                    counts.entry((Name::from(model), version.clone(), trigger)).or_insert_with(|| {
                        let trigger = self.context.names.triggers.get(trigger as usize);
                        let trigger = Name::from(trigger.map_or("", String::as_str));
                        Count { version, trigger, ..Count::default() }
                    });
                let objective = self.ordered.objectives.get(trigger as usize).copied().unwrap_or(Micros::MAX);
                // Who waited for a load is late by the load.
                let late = note != CopyNote::Began && used.took > objective;
                count.ended += 1;
                count.errored += u64::from(outcome != Outcome::Succeeded);
                count.late += u64::from(outcome == Outcome::Succeeded && late);
            }
            By::Dispatch(..) => {}
        }
    }

    /// Acts upon what was heard while the core was at work.
    pub fn settle(&self) {
        loop {
            let Some(input) = self.ended.borrow_mut().pop_front() else { break };
            self.plan(input);
        }
    }

    /// Copies that plans answer for.
    pub fn claims(&self) -> Vec<upgrade::Claim> {
        self.planner.borrow().claims()
    }

    /// For an operator.
    pub fn shown(&self, sessions: Value) -> Value {
        let orders = self.orders.borrow();
        let order = |o: &Order| json!({"model": o.model, "serial": o.serial, "from": o.from, "to": o.to});
        json!({
            "orders": orders.iter().map(order).collect::<Vec<_>>(),
            "plans": self.planner.borrow().shown(),
            "sessions": sessions,
        })
    }

    /// For as long as the router runs.
    pub async fn run(self: Rc<Self>) {
        self.members();
        for (key, ballot, bytes) in self.shared.all_accepted(PLANS) {
            self.plan_heard(&key, ballot, bytes);
        }
        for (key, note) in self.shared.notes(SEEN) {
            self.counted(&key, &note);
        }
        let orders = self.orders.borrow().clone();
        self.plan(upgrade::Input::Orders(orders));
        loop {
            self.plan(upgrade::Input::Workers(self.workers()));
            self.tell_seen();
            let look = async {
                Timer::after(LOOK).await;
            };
            self.alarm.rings(&self.context.clock).or(look).await;
        }
    }

    /// Reads the orders again whenever it is told to.
    pub async fn rereads(self: Rc<Self>) {
        let mut signals = match Signals::new([Signal::Hup]) {
            Ok(signals) => signals,
            Err(e) => return tracing::error!(cause = %e, "upgrade: SIGHUP is not heard"),
        };
        while signals.next().await.is_some() {
            match read(&self.ordered.file) {
                Ok(orders) => {
                    tracing::info!(orders = orders.len(), "upgrade: the orders were read");
                    self.orders.replace(orders.clone());
                    self.plan(upgrade::Input::Orders(orders));
                }
                // The old ones stay.
                Err(refused) => {
                    refused.0.iter().for_each(|line| tracing::error!("upgrade: orders refused: {line}"));
                }
            }
        }
    }

    fn plan(&self, input: upgrade::Input) {
        let mut out = Vec::new();
        let due = {
            let mut planner = self.planner.borrow_mut();
            planner.handle(self.context.clock.now(), input, &mut out);
            planner.next_due()
        };
        self.alarm.set(due);
        for output in out {
            match output {
                Output::Lead { key } => self.shared.lead(key, PLAN_KEPT),
                Output::Write { key, ballot, value } => {
                    self.shared.write(key, theirs(ballot), value, PLAN_KEPT);
                }
                Output::Want { worker, function, like, term } => {
                    self.context.feed(Input::Wanted { worker, function, like, term: Some(term) });
                }
                Output::Unwant { worker, function, term } => {
                    self.context.feed(Input::Unwanted { worker, function, term: Some(term) });
                }
                Output::Log(line) => tracing::info!("upgrade: {line}"),
            }
        }
    }

    fn heard(&self, prefix: &str, news: PeerEvent) {
        match news {
            // Each listener is told of it; one is enough.
            PeerEvent::BelievedMembersChanged if prefix == PLANS => self.members(),
            PeerEvent::BelievedMembersChanged => {}
            PeerEvent::Updated(key) if prefix == PLANS => {
                if let Some((ballot, bytes)) = self.shared.accepted(&key) {
                    self.plan_heard(&key, ballot, bytes);
                }
                // Whoever leads waits until all go by its step.
                self.tell_seen();
            }
            PeerEvent::Updated(key) => {
                if let Some(note) = self.shared.latest_note(&key) {
                    self.counted(&key, &note);
                }
            }
            PeerEvent::Decided(key, outcome) => {
                let outcome = match outcome {
                    replica::Outcome::Leads { ballot, last } => {
                        upgrade::Outcome::Leads { ballot: ours(ballot), last }
                    }
                    replica::Outcome::Written { ballot } => {
                        upgrade::Outcome::Written { ballot: ours(ballot) }
                    }
                    replica::Outcome::Overtaken | replica::Outcome::Chosen(_) => upgrade::Outcome::Overtaken,
                    replica::Outcome::NoMajority(_) => upgrade::Outcome::NoMajority,
                };
                self.plan(upgrade::Input::Decided { key, outcome });
                self.tell_seen();
            }
        }
    }

    fn members(&self) {
        let members = self.shared.members();
        self.plan(upgrade::Input::Members {
            me: self.shared.own_index(),
            alive: members.iter().map(|f| f.alive).collect(),
            regions: members.iter().map(|f| Name::from(&*f.region)).collect(),
        });
    }

    fn plan_heard(&self, key: &str, ballot: replica::Ballot, bytes: Bytes) {
        if let Some(model) = upgrade::model_of(key) {
            let (model, ballot) = (Name::from(model), ours(ballot));
            self.plan(upgrade::Input::PlanHeard { model, ballot, bytes });
        }
    }

    fn counted(&self, key: &str, note: &replica::Note) {
        let of = key.strip_prefix(SEEN).and_then(|rest| rest.rsplit_once('\n'));
        let Some((model, Ok(member))) = of.map(|(model, member)| (model, member.parse())) else { return };
        // What another release wrote is not read here.
        if let Ok(Seen { goes_by, counts }) = postcard::from_bytes(&note.value) {
            self.plan(upgrade::Input::Counted { member, model: Name::from(model), goes_by, counts });
        }
    }

    /// What this router has seen of versions, where that has changed.
    fn tell_seen(&self) {
        let (me, now) = (self.shared.own_index(), self.context.clock.now());
        let models: Vec<Name> = self.planner.borrow().models().cloned().collect();
        for model in models {
            let goes_by = self.planner.borrow().goes_by(&model);
            let counts = {
                let (counts, from) = (self.counts.borrow(), (model.clone(), Name::default(), 0));
                let of_model = counts.range(from..).take_while(|((m, ..), _)| *m == model);
                of_model.map(|(_, count)| count.clone()).collect()
            };
            let seen = Seen { goes_by, counts };
            let Ok(value) = postcard::to_stdvec(&seen).map(Bytes::from) else { continue };
            {
                let mut told = self.told.borrow_mut();
                let last = told.entry(model.clone()).or_default();
                if last.value == value && now - last.at < SEEN_AGAIN {
                    continue;
                }
                *last = Told { value: value.clone(), at: now };
            }
            self.serial.set(self.serial.get() + 1);
            let key = replica::Key::from(format!("{SEEN}{model}\n{me}"));
            self.shared.note(key, (self.began, self.serial.get()), value, SEEN_KEPT);
            let Seen { goes_by, counts } = seen;
            self.plan(upgrade::Input::Counted { member: me, model, goes_by, counts });
        }
    }

    /// What is held at workers, with where they stand and what copies are like.
    fn workers(&self) -> Vec<WorkerSeen> {
        let seats = self.seats.borrow().clone().unwrap_or_default();
        let (seats, sizes) = (seats.borrow(), self.sizes.borrow());
        let held = self.holds.borrow().as_ref().map(|holds| holds()).unwrap_or_default();
        let mut held: BTreeMap<Name, WorkerSeen> = held.into_iter().map(|w| (w.name.clone(), w)).collect();
        let seen = |(name, seat): (&Name, &Listed)| {
            let zone = self.context.names.zones.get(seat.zone as usize).map_or("", String::as_str);
            let region = self.ordered.regions.get(zone).map_or(zone, String::as_str);
            let mut w = held.remove(name)?;
            w.region = Name::from(region);
            w.takes_new = seat.standing == Standing::InService;
            if w.memory_mb == 0 {
                w.memory_mb = self.ordered.memory_mb.get(seat.kind as usize).map_or(0, |mb| *mb as u32);
            }
            for h in &mut w.holds {
                if let Some((lanes, mb)) = sizes.get(serving::model(&h.function).0) {
                    (h.lanes, h.copy_mb) = (h.copies * lanes, *mb as u32);
                }
                w.used_mb = w.used_mb.saturating_add(h.copy_mb.saturating_mul(h.copies));
            }
            Some(w)
        };
        seats.iter().filter_map(seen).collect()
    }
}
