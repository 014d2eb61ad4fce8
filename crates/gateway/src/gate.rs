//! Between the fronts and the core: what was taken learns here which version of its model it goes to, and which worker
//! its session prefers. Which it is, the decision packages say (`cedarpulley-upgrade`); here invocations wait for a
//! majority's word, as many as may and for as long as may. All that comes from fronts and the list passes
//! [`Gate::passes`]; what the core was told of endings is heard with [`Gate::watch`] and acted upon in
//! [`Gate::settle`], when the core is no longer at work.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::{Action, Event, InvIx, ListMode, Micros, Outcome, Standing};
use cedarpulley_kserve::serving;
use cedarpulley_net::Alarm;
use cedarpulley_replica as replica;
use cedarpulley_router::admission::FrontState;
use cedarpulley_router::entry::Short;
use cedarpulley_router::roster::Listed;
use cedarpulley_router::watch::{By, Given, Names, Used, Watch};
use cedarpulley_router::{Delivery, Fate, FrontIx, Input, Reason, Taken};
use cedarpulley_upgrade::sessions::{self, Placed, Refused, Sessions};
use cedarpulley_upgrade::{Name, function};
use serde_json::{Value, json};

use crate::context::GatewayContext;
use crate::peers::PeerEvent;
use crate::shared_state::SharedState;
use crate::upgrading::Upgrading;

pub struct Gate {
    context: Rc<GatewayContext>,
    shared: Option<SharedState>,
    upgrading: Option<Rc<Upgrading>>,
    /// Past the gate.
    core: Box<dyn Fn(Input)>,
    sessions: RefCell<Sessions>,
    /// What waits, by its ticket, each since when.
    held: RefCell<HashMap<u64, (Taken, Micros)>>,
    tickets: Cell<u64>,
    draws: Cell<u64>,
    /// Of what the core was told.
    ended: RefCell<VecDeque<sessions::Input>>,
    seats: Rc<RefCell<BTreeMap<Name, Listed>>>,
    /// A worker by what all members know it by, and back, where routers do not reach it at the same address.
    ids: RefCell<Option<(Named, Named)>>,
    /// Whether this router has used copies of a function at a worker lately, which stand as far as is known.
    used: RefCell<Option<UsedThere>>,
    alarm: Alarm,
}

/// Asked with a worker's name here and a function's.
pub type UsedThere = Box<dyn Fn(&str, &str) -> bool>;
pub type Named = Box<dyn Fn(&str) -> Option<Name>>;

fn hashed(of: impl std::hash::Hash) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(of)
}

/// As a note's version and value have it.
fn noted(note: &replica::Note) -> Placed {
    Placed { number: note.version.0, worker: Name::from(&*String::from_utf8_lossy(&note.value)) }
}

impl Gate {
    /// `shared`: absent for a router without a group, which has nobody to tell.
    pub fn new(
        context: Rc<GatewayContext>,
        terms: sessions::Terms,
        shared: Option<SharedState>,
        upgrading: Option<Rc<Upgrading>>,
        core: Box<dyn Fn(Input)>,
    ) -> Rc<Gate> {
        let gate = Rc::new(Gate {
            context,
            shared,
            upgrading,
            core,
            sessions: RefCell::new(Sessions::new(terms)),
            held: RefCell::default(),
            tickets: Cell::new(0),
            draws: Cell::new(0),
            ended: RefCell::default(),
            seats: Rc::default(),
            ids: RefCell::default(),
            used: RefCell::default(),
            alarm: Alarm::default(),
        });
        if let Some(shared) = &gate.shared {
            let it = Rc::downgrade(&gate);
            shared.subscribe(sessions::BOUND, move |news| {
                if let (Some(it), PeerEvent::Decided(key, outcome)) = (it.upgrade(), news) {
                    it.decided(key, outcome);
                }
            });
        }
        if let Some(upgrading) = &gate.upgrading {
            upgrading.sits(gate.seats.clone());
        }
        gate
    }

    /// Workers have ids that all members know: from a worker's name here, and to it.
    pub fn names_workers(&self, id: Named, worker: Named) {
        *self.ids.borrow_mut() = Some((id, worker));
    }

    pub fn knows_uses(&self, used: UsedThere) {
        *self.used.borrow_mut() = Some(used);
    }

    fn id(&self, worker: &str) -> Name {
        let id = self.ids.borrow().as_ref().and_then(|(id, _)| id(worker));
        id.unwrap_or_else(|| Name::from(worker))
    }

    fn worker(&self, id: Name) -> Option<Name> {
        match &*self.ids.borrow() {
            Some((_, worker)) => worker(&id),
            None => Some(id),
        }
    }

    /// What goes on to the core at once.
    pub fn passes(&self, input: Input) -> Option<Input> {
        match &input {
            Input::Departed(delivery) => self.leave(|d| d == *delivery),
            Input::Front { front, state: FrontState::Down } => self.leave(|d| d.front == *front),
            Input::List { mode, workers } => self.listed(*mode, workers),
            Input::Taken(taken) if taken.refused.is_none() => {
                let Input::Taken(taken) = input else { return None };
                return self.taken(taken).map(Input::Taken);
            }
            _ => {}
        }
        Some(input)
    }

    /// For the core: it tells what became of dispatches.
    pub fn watch(self: &Rc<Self>) -> Box<dyn Watch> {
        Box::new(Sight(self.clone()))
    }

    /// Acts upon what was heard while the core was at work.
    pub fn settle(&self) {
        loop {
            let Some(input) = self.ended.borrow_mut().pop_front() else { break };
            self.sessions(input);
        }
        if let Some(upgrading) = &self.upgrading {
            upgrading.settle();
        }
    }

    /// Nothing waits here.
    pub fn is_empty(&self) -> bool {
        self.held.borrow().is_empty()
    }

    /// What a worker held of these sessions is gone.
    pub fn prefix_lost(&self, worker: &str, of: &str, sessions: &[Arc<str>]) {
        let model = Name::from(serving::model(of).0);
        for session in sessions {
            let (model, worker, session) = (model.clone(), self.id(worker), session.clone());
            self.sessions(sessions::Input::Lost { model, session, worker });
        }
    }

    /// Those that have waited too long are refused, for as long as the router runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.alarm.rings(&self.context.clock).await;
            self.sessions(sessions::Input::Tick);
        }
    }

    /// For an operator: bindings by version, and counts.
    pub fn shown(&self) -> Value {
        let sessions = self.sessions.borrow();
        let mut bound: BTreeMap<&str, u64> = BTreeMap::new();
        for version in sessions.known() {
            *bound.entry(version).or_default() += 1;
        }
        json!({"bound": bound, "waiting": sessions.waiting(), "counts": sessions.counts})
    }

    /// Chance, or of what has to stay together: a retry goes where its first try went.
    fn draw(&self, t: &Taken) -> u64 {
        if let Some(together) = t.token.as_deref().or(t.identity.as_deref()) {
            return hashed((t.account, together));
        }
        self.draws.set(self.draws.get() + 1);
        hashed((self.context.seed, self.draws.get()))
    }

    fn taken(&self, mut t: Taken) -> Option<Taken> {
        let (model, version) = serving::model(&t.function);
        // Whose client names a version gets that one.
        let upgrading = self.upgrading.as_ref().filter(|_| version.is_empty());
        if let Some(upgrading) = upgrading {
            upgrading.came(model, t.lanes, t.copy_mb);
        }
        let Some(session) = &t.session else {
            if let Some(way) = upgrading.and_then(|u| u.goes_to(model, || self.draw(&t))) {
                t.named = Some(std::mem::replace(&mut t.function, way));
            }
            return Some(t);
        };
        let ticket = self.tickets.get();
        self.tickets.set(ticket + 1);
        let proposes = upgrading.map(|u| u.proposes(model, self.draw(&t), session.start));
        let place_key = sessions::place_key(model, &session.id);
        let placed = self.shared.as_ref().and_then(|s| s.latest_note(&place_key)).as_ref().map(noted);
        let (model, session) = (Name::from(model), session.id.clone());
        self.held.borrow_mut().insert(ticket, (t, self.context.clock.now()));
        self.sessions(sessions::Input::Arrives { ticket, model, session, proposes, placed });
        None
    }

    fn sessions(&self, input: sessions::Input) {
        let now = self.context.clock.now();
        let mut out = Vec::new();
        let due = {
            let mut sessions = self.sessions.borrow_mut();
            sessions.handle(now, input, &mut out);
            sessions.next_due()
        };
        self.alarm.set(due);
        for output in out {
            match output {
                sessions::Output::Choose { key, version, kept } => {
                    if let Some(shared) = &self.shared {
                        shared.choose(key, Bytes::copy_from_slice(version.as_bytes()), kept);
                    }
                }
                sessions::Output::Goes { ticket, version, prefers, anew } => {
                    self.goes(ticket, version, prefers, anew);
                }
                sessions::Output::Refused { ticket, why } => {
                    let reason = match why {
                        Refused::NoMajority => Reason::NoMajority,
                        Refused::Full => Reason::Size,
                    };
                    self.refuse(ticket, reason);
                }
                sessions::Output::Place { key, placed, kept } => {
                    if let Some(shared) = &self.shared {
                        let value = Bytes::copy_from_slice(placed.worker.as_bytes());
                        shared.note(key, (placed.number, 0), value, kept);
                    }
                }
            }
        }
    }

    fn decided(&self, key: replica::Key, outcome: replica::Outcome) {
        let version = match outcome {
            replica::Outcome::Chosen(version) => std::str::from_utf8(&version).ok().map(Name::from),
            _ => None,
        };
        self.sessions(sessions::Input::Decided { key, version });
    }

    fn release(&self, ticket: u64) -> Option<Taken> {
        let (mut t, since) = self.held.borrow_mut().remove(&ticket)?;
        t.waited = t.waited.saturating_add(self.context.clock.now() - since);
        Some(t)
    }

    fn goes(&self, ticket: u64, version: Option<Name>, prefers: Option<Name>, anew: bool) {
        let Some(mut t) = self.release(ticket) else { return };
        t.prefers = prefers.and_then(|id| self.worker(id));
        if let Some(version) = version {
            let model = t.function.clone();
            if self.upgrading.as_ref().is_some_and(|u| u.sessions_over(&model, &version)) {
                t.refused = Some((Fate::Errored, Reason::SessionOver));
            }
            t.named = Some(std::mem::replace(&mut t.function, function(&model, &version)));
        }
        // Symptom: a session comes to another router, which has not heard yet of the copy that answered it before; or the
        // module has let go of all that it believed of a function, as its homes moved, and sends it to one of the new ones.
        let used = |worker: &Name| self.used.borrow().as_ref().is_some_and(|used| used(worker, &t.function));
        if let Some(worker) = t.prefers.clone().filter(|w| anew || used(w)) {
            (self.core)(Input::Held { worker, function: t.function.clone(), copies: 1 });
        }
        (self.core)(Input::Taken(t));
    }

    /// Nothing of it has left from here; of one that was delivered before that is not known.
    fn refuse(&self, ticket: u64, reason: Reason) {
        let Some(mut t) = self.release(ticket) else { return };
        let fate = if t.redelivered { Fate::Errored } else { Fate::Throttled };
        t.refused = Some((fate, reason));
        (self.core)(Input::Taken(t));
    }

    /// Symptom: a front is lost with some waiting here. They come again, and would be taken twice.
    fn leave(&self, whose: impl Fn(Delivery) -> bool) {
        if self.held.borrow().is_empty() {
            return;
        }
        let gone: Vec<u64> =
            self.held.borrow().iter().filter(|(_, (t, _))| whose(t.delivery)).map(|(n, _)| *n).collect();
        for ticket in gone {
            self.held.borrow_mut().remove(&ticket);
            self.sessions(sessions::Input::Leaves { ticket });
        }
    }

    fn listed(&self, mode: ListMode, workers: &[Listed]) {
        let mut gone = Vec::new();
        {
            let mut seats = self.seats.borrow_mut();
            if matches!(mode, ListMode::Complete | ListMode::Saved) {
                let stays = |name: &Name| workers.iter().any(|w| *w.address == **name);
                gone.extend(seats.keys().filter(|n| !stays(n)).cloned());
            }
            for w in workers {
                let name = Name::from(&*w.address);
                let again = seats.get(&name).is_some_and(|s| s.started != w.started);
                if again || w.standing == Standing::Gone {
                    gone.push(name.clone());
                }
                if w.standing != Standing::Gone {
                    seats.insert(name, w.clone());
                }
            }
            for name in &gone {
                if workers.iter().all(|w| *w.address != **name || w.standing == Standing::Gone) {
                    seats.remove(name);
                }
            }
        }
        for worker in gone {
            let worker = self.id(&worker);
            self.sessions(sessions::Input::Gone { worker });
        }
    }
}

struct Sight(Rc<Gate>);

impl Watch for Sight {
    fn decided(&mut self, _: Micros, _: &Event, _: &[Action], _: Names) {}

    fn taken(&mut self, _: Micros, _: InvIx, _: FrontIx, _: Option<&str>, _: bool) {}

    fn answered(&mut self, _: Micros, _: Given) {}

    fn turned_away(&mut self, _: Micros, _: FrontIx, _: u32, _: u32, _: Short) {}

    fn used(&mut self, _: Micros, used: Used) {
        let gate = &self.0;
        if let Some(upgrading) = &gate.upgrading {
            upgrading.used(&used);
        }
        if let (By::Dispatch(Outcome::Succeeded, _), Some(session)) = (used.by, used.session) {
            gate.ended.borrow_mut().push_back(sessions::Input::Answered {
                model: Name::from(serving::model(used.function).0),
                session: Name::from(session),
                worker: gate.id(used.worker_name),
                ends: used.ends,
            });
        }
    }
}
