//! The warm index held against what workers say (`cedarpulley-reconcile`), as one part of the process: it follows what
//! the core believes (`Watch`), asks workers through the pool, hears and tells the group, and hands corrections to the
//! core. It decides nothing of its own.
//!
//! Called with [`Reconciling::heard`] and [`Reconciling::listed`] for the worker list, [`Reconciling::watch`] for the
//! core, and [`Reconciling::run`] once.
//!
//! A note says when it left by its sender's clock, and what its sender had last heard of each member's: so its receiver
//! knows by its own clock since when at the earliest it has been under way, whatever the clocks say and however long a
//! link held it.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use cedarpulley::interface::{
    Action, CopyNote, Event, InvIx, ListMode, Micros, OrderResult, Outcome, Standing,
};
use cedarpulley_errors::Remedy;
use cedarpulley_kserve::{index, requests};
use cedarpulley_net::Alarm;
use cedarpulley_reconcile::{
    Cause, Change, Claims, Entry, Input as In, Kind, Observation, Output as Out, Reconciler, Seat, Terms,
};
use cedarpulley_router::FrontIx;
use cedarpulley_router::Input;
use cedarpulley_router::entry::Short;
use cedarpulley_router::roster::{Listed, News as ListNews};
use cedarpulley_router::watch::{By, Given, Names, Used, Watch};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::context::GatewayContext;
use crate::peers::PeerEvent;
use crate::pool::{Failed, Pool};
use crate::shared_state::SharedState;

/// Keys of its notes in what the group shares: of a worker, and of a member's clock.
const PREFIX: &str = "w\n";
const CLOCK: &str = "w\n\n";
/// A worker that does not say within this time what it holds is silent.
const ANSWERED_WITHIN: Micros = 2_000_000;
/// Notes are kept for so many usual paces: longer than any worker that answers is left unasked.
const KEPT_PACES: Micros = 30;
/// Of a note that nothing is known about; long before any router began.
const FOR_EVER: Micros = Micros::MAX / 4;
/// Members whose clocks are told and remembered; groups are far smaller.
const MOST_CLOCKS: usize = 1_000;
/// Names of workers that have left are kept up to this, as the list may name them before it says that they are there.
const MOST_MARKS: usize = 1_000;
/// Counts go to the log this often, where they have changed.
const LOG_EVERY: Duration = Duration::from_secs(60);

/// What a router is told of it.
#[derive(Clone, Copy, Debug)]
pub struct Reconcile {
    pub every: Micros,
    pub grace: Micros,
    pub asks_per_s: f64,
    pub repairs_per_s: f64,
}

/// What goes through the group in one piece.
#[derive(Serialize, Deserialize)]
struct Note {
    from: String,
    /// Of the sender's process, and its clock as this left.
    process: u64,
    left: Micros,
    /// By member: its process, its clock as it was last heard, and for how long that lies back.
    clocks: Vec<(String, u64, Micros, Micros)>,
    /// Empty where only the clock is told.
    word: Vec<u8>,
}

struct Clock {
    process: u64,
    theirs: Micros,
    ours: Micros,
}

struct State {
    it: Reconciler,
    /// By address: as the list tells processes apart.
    marks: HashMap<String, String>,
    /// As workers themselves say, by address.
    memory_mb: HashMap<String, f64>,
    clocks: BTreeMap<String, Clock>,
    /// When something was last told to the group.
    told: Micros,
    /// Once belief is spoilt, since when each worker's last word holds: all that matters is told then.
    heard: Option<BTreeMap<Arc<str>, Micros>>,
}

impl State {
    /// For tests that count rounds: words that were taken in just now.
    fn tell_heard(&mut self) {
        let Some(heard) = &mut self.heard else { return };
        for (worker, began, said) in self.it.observed() {
            if heard.insert(worker.clone(), began) == Some(began) {
                continue;
            }
            let said = said.entries.iter().map(|e| (&*e.function, e.copies, e.loading));
            let said = Value::from_iter(said.map(|(f, n, loading)| json!([f, n, loading])));
            tracing::info!(worker = &**worker, at = began, said = %said, "meddled: heard");
        }
    }
}

/// The list's workers, by address.
pub type Listing = Rc<RefCell<BTreeMap<Arc<str>, Listed>>>;
/// What plans lay claim to, of functions that a worker has just named.
pub type Claimed = Box<dyn Fn(&[Arc<str>]) -> Claims>;
/// Whether a plan under way looks after a function's copies.
pub type Tended = Box<dyn Fn(&str) -> bool>;
/// Told of sessions whose prefix is lost: worker, function, sessions.
pub type LetGo = Box<dyn Fn(&str, &str, &[Arc<str>])>;

pub struct Reconciling {
    context: Rc<GatewayContext>,
    pool: Rc<Pool>,
    shared: Option<SharedState>,
    me: Arc<str>,
    process: u64,
    every: Micros,
    kinds_mb: Vec<f64>,
    listing: Listing,
    claimed: RefCell<Option<Claimed>>,
    let_go: RefCell<Option<LetGo>>,
    tended: RefCell<Option<Tended>>,
    state: RefCell<State>,
    alarm: Alarm,
}

impl Reconciling {
    /// `kept`: for how long the module believes in a copy after its last use; `kinds_mb`: memory by kind of worker.
    pub fn new(
        context: Rc<GatewayContext>,
        pool: Rc<Pool>,
        shared: Option<SharedState>,
        terms: Reconcile,
        kept: Micros,
        kinds_mb: Vec<f64>,
    ) -> Rc<Reconciling> {
        // As the group knows it, where there is one; so are its orders signed, too.
        let member =
            shared.as_ref().and_then(|s| s.members().get(s.own_index() as usize).map(|f| f.name.clone()));
        let me: Arc<str> = Arc::from(member.unwrap_or_else(|| context.name.clone()));
        let Reconcile { every, grace, asks_per_s, repairs_per_s } = terms;
        let now = context.clock.now();
        // Chance of its own: the module's draws are the same with and without it.
        let seed = context.seed ^ 0x7ec0;
        let terms = Terms { me: me.clone(), every, grace, kept, asks_per_s, repairs_per_s, seed };
        let state = State {
            it: Reconciler::new(now, terms),
            marks: HashMap::new(),
            memory_mb: HashMap::new(),
            clocks: BTreeMap::new(),
            told: Micros::MIN,
            heard: None,
        };
        let it = Rc::new(Reconciling {
            process: uuid::Uuid::new_v4().as_u64_pair().0,
            context,
            pool,
            shared,
            me,
            every,
            kinds_mb,
            listing: Listing::default(),
            claimed: RefCell::default(),
            let_go: RefCell::default(),
            tended: RefCell::default(),
            state: RefCell::new(state),
            alarm: Alarm::default(),
        });
        if let Some(shared) = &it.shared {
            let weak = Rc::downgrade(&it);
            shared.subscribe(PREFIX, move |news| {
                if let Some(it) = weak.upgrade() {
                    it.news(&news);
                }
            });
        }
        it
    }

    /// For the core, which tells it what it decides.
    pub fn watch(self: &Rc<Self>) -> Box<dyn Watch> {
        Box::new(Following { it: self.clone(), open: Vec::new() })
    }

    /// The workers as the core was told of them; for other parts.
    pub fn listing(&self) -> Listing {
        self.listing.clone()
    }

    pub fn claimed_by(&self, claimed: Claimed) {
        *self.claimed.borrow_mut() = Some(claimed);
    }

    pub fn tended_by(&self, tended: Tended) {
        *self.tended.borrow_mut() = Some(tended);
    }

    pub fn lets_go(&self, let_go: LetGo) {
        *self.let_go.borrow_mut() = Some(let_go);
    }

    /// What each worker said last: since when that is so, and its memory, 0 if it is not known.
    pub fn observed<R>(&self, mut each: impl FnMut(&Arc<str>, Micros, f64, &Observation) -> R) -> Vec<R> {
        let state = self.state.borrow();
        let seen = state.it.observed();
        let seen =
            seen.map(|(w, at, said)| each(w, at, state.memory_mb.get(&**w).copied().unwrap_or(0.0), said));
        seen.collect()
    }

    /// A meddler's, in tests: so many copies are believed from now on, whatever is true. False if a load is under way
    /// there, as far as this router knows.
    pub fn spoil(&self, worker: &str, function: &str, copies: u32) -> bool {
        let (now, mut state) = (self.context.clock.now(), self.state.borrow_mut());
        state.heard.get_or_insert_default();
        if state.it.under_way(worker, function) {
            return false;
        }
        let input = In::Believes { worker, function, change: Change::Spoilt { copies } };
        state.it.handle(now, input, &mut Vec::new());
        tracing::info!(worker, function, copies, at = now, "meddled: spoilt");
        true
    }

    /// As all members know a worker, and back; nothing of one that is not on the list.
    pub fn id_of(&self, worker: &str) -> Option<Arc<str>> {
        self.state.borrow().it.id_of(worker).cloned()
    }

    pub fn worker_of(&self, id: &str) -> Option<Arc<str>> {
        self.state.borrow().it.worker_of(id).cloned()
    }

    /// This router has used copies there lately, and nothing has been heard since that they are gone.
    pub fn used_lately(&self, worker: &str, function: &str) -> bool {
        self.state.borrow().it.used_lately(self.context.clock.now(), worker, function)
    }

    /// What came of the list, before the core hears of it.
    pub fn heard(&self, news: &ListNews) {
        let mut state = self.state.borrow_mut();
        let slices = match news {
            ListNews::Listing { slices, .. } => {
                state.marks.clear();
                slices.as_slice()
            }
            ListNews::Changed(slice) => std::slice::from_ref(slice),
            _ => &[],
        };
        for entry in slices.iter().flat_map(|s| &s.entries) {
            state.marks.insert(entry.worker.address.clone(), entry.start_mark.clone());
        }
    }

    /// What the core was told of the list.
    pub fn listed(self: &Rc<Self>, mode: ListMode, workers: &[Listed]) {
        {
            let mut listing = self.listing.borrow_mut();
            match mode {
                ListMode::Complete | ListMode::Saved => listing.clear(),
                ListMode::Changes => {}
                ListMode::Failed => return,
            }
            for worker in workers {
                match worker.standing {
                    Standing::InService | Standing::Draining => {
                        listing.insert(Arc::from(worker.address.as_str()), worker.clone());
                    }
                    _ => drop(listing.remove(&*worker.address)),
                }
            }
        }
        self.tidy();
        let seats = self.seats();
        let ids = seats.iter().map(|s| &s.id);
        let new: Vec<Arc<str>> = ids.filter(|id| self.worker_of(id).is_none()).cloned().collect();
        self.tell(In::Workers(seats));
        // What others have noted of them before they were on the list here.
        for key in new.iter().map(|id| format!("{PREFIX}{id}")) {
            if let Some(note) = self.shared.as_ref().and_then(|s| s.latest_note(&key)) {
                self.noted(&key, note.version, &note.value);
            }
        }
    }

    /// Symptom: a list whose workers come and go for weeks leaves the names of all of them here.
    fn tidy(&self) {
        let (listing, mut state) = (self.listing.borrow(), self.state.borrow_mut());
        state.memory_mb.retain(|address, _| listing.contains_key(&**address));
        if state.marks.len() > 2 * listing.len().max(MOST_MARKS) {
            state.marks.retain(|address, _| listing.contains_key(&**address));
        }
    }

    fn seats(&self) -> Vec<Seat> {
        let state = self.state.borrow();
        let seat = |(address, worker): (&Arc<str>, &Listed)| {
            let mark = state.marks.get(&**address).filter(|m| !m.is_empty());
            let id = mark.map_or(address.clone(), |m| Arc::from(m.as_str()));
            let by_kind = self.kinds_mb.get(worker.kind as usize).copied().unwrap_or(0.0);
            let memory_mb = state.memory_mb.get(&**address).copied().unwrap_or(by_kind);
            Seat { worker: address.clone(), id, memory_mb }
        };
        self.listing.borrow().iter().map(seat).collect()
    }

    /// Begins its tasks.
    pub fn run(self: &Rc<Self>) {
        self.members();
        let it = self.clone();
        let ticks = async move {
            loop {
                it.tell_clock();
                it.tell(In::Tick);
                it.alarm.rings(&it.context.clock).await;
            }
        };
        self.context.executor.spawn(ticks).detach();
        let it = self.clone();
        let logs = async move {
            let mut before = Default::default();
            loop {
                Timer::after(LOG_EVERY).await;
                let counts = it.state.borrow().it.counts;
                if counts != before {
                    tracing::info!(?counts, "reconcile");
                    before = counts;
                }
            }
        };
        self.context.executor.spawn(logs).detach();
    }

    /// As an operator reads it.
    pub fn shown(&self) -> Value {
        let state = self.state.borrow();
        let workers: Vec<_> = state.it.shown().collect();
        json!({"workers": workers, "counts": state.it.counts, "repairs_waiting": state.it.repairs_waiting()})
    }

    pub fn close(&self) {
        tracing::info!(counts = ?self.state.borrow().it.counts, "reconcile");
    }

    fn tell(self: &Rc<Self>, input: In) {
        let mut out = Vec::new();
        let due = {
            let mut state = self.state.borrow_mut();
            state.it.handle(self.context.clock.now(), input, &mut out);
            state.tell_heard();
            let clock =
                if self.shared.is_some() { state.told.saturating_add(self.every) } else { Micros::MAX };
            state.it.next_due().min(clock)
        };
        self.alarm.set(due);
        out.into_iter().for_each(|o| self.carry_out(o));
    }

    fn carry_out(self: &Rc<Self>, output: Out) {
        match output {
            Out::Ask { worker } => {
                let it = self.clone();
                let ask = async move { it.ask(&worker).await };
                self.context.executor.spawn(ask).detach();
            }
            Out::Held { worker, function, copies } => {
                self.context.feed(Input::Held { worker, function, copies });
            }
            // Symptom: what a plan has unloaded is taken for lost and loaded again, over and over.
            Out::Want { function, .. } if self.tended.borrow().as_ref().is_some_and(|t| t(&function)) => {}
            Out::Want { worker, function } => {
                let like = function.clone();
                self.context.feed(Input::Wanted { worker, function, like, term: None });
            }
            Out::Unload { worker, function, term } => {
                tracing::info!(
                    worker = &*worker,
                    function = &*function,
                    "reconcile: unloaded, as nobody claims it"
                );
                self.context.feed(Input::Unwanted { worker, function, term });
            }
            Out::PrefixLost { worker, function, sessions } => {
                if let Some(let_go) = &*self.let_go.borrow() {
                    let_go(&worker, &function, &sessions);
                }
            }
            Out::Note { id, version, value } => self.note(format!("{PREFIX}{id}"), version, value),
            Out::Found(drift) => {
                let (worker, function) = (&*drift.worker, drift.function.as_deref());
                let (kind, cause) = (drift.kind, drift.cause);
                match (kind, cause) {
                    (Kind::Unseen, Cause::LoadedElsewhere | Cause::LoadedOnMiss)
                        if self.state.borrow().heard.is_none() =>
                    {
                        tracing::debug!(worker, function, ?kind, ?cause, "reconcile: drift");
                    }
                    _ => tracing::info!(worker, function, ?kind, ?cause, "reconcile: drift"),
                }
            }
        }
    }

    async fn ask(self: Rc<Self>, worker: &str) {
        let began = self.context.clock.now();
        let Ok(address) = worker.parse::<SocketAddr>() else { return self.tell(In::Silent { worker }) };
        let request = requests::index(&address.to_string());
        let answer = self.pool.order(address, request, ANSWERED_WITHIN).await;
        let read = match answer {
            Ok(reply) => index::of(reply.status.as_u16(), &reply.headers, &reply.body),
            Err(Failed::Garbled | Failed::TooLarge) => Err(index::NoIndex::Form),
            Err(_) => return self.tell(In::Silent { worker }),
        };
        match read {
            Ok(index) => {
                if index.memory_mb > 0.0 {
                    let before = self.state.borrow_mut().memory_mb.insert(worker.to_owned(), index.memory_mb);
                    if before != Some(index.memory_mb) {
                        self.tell(In::Workers(self.seats()));
                    }
                }
                let observation = observed(index);
                let functions: Vec<Arc<str>> =
                    observation.entries.iter().map(|e| e.function.clone()).collect();
                let claims = self.claimed.borrow().as_ref().map(|claimed| claimed(&functions));
                claims.into_iter().for_each(|claims| self.tell(In::Claims(claims)));
                self.tell(In::Said { worker, began, observation });
            }
            Err(no) => {
                tracing::warn!(worker, cause = no.line(), "reconcile");
                self.tell(In::Silent { worker });
            }
        }
    }

    fn news(self: &Rc<Self>, news: &PeerEvent) {
        match news {
            PeerEvent::BelievedMembersChanged => self.members(),
            PeerEvent::Updated(key) => {
                if let Some(note) = self.shared.as_ref().and_then(|s| s.latest_note(key)) {
                    self.noted(key, note.version, &note.value);
                }
            }
            PeerEvent::Decided(..) => {}
        }
    }

    fn members(self: &Rc<Self>) {
        let Some(shared) = &self.shared else { return };
        let alive = shared.members().into_iter().filter(|f| f.alive);
        self.tell(In::Members(alive.map(|f| Arc::from(f.name)).collect()));
    }

    fn note(&self, key: String, version: (u64, u64), word: Vec<u8>) {
        let Some(shared) = &self.shared else { return };
        let now = self.context.clock.now();
        let note = {
            let mut state = self.state.borrow_mut();
            state.told = now;
            let clocks = state.clocks.iter().map(|(m, c)| (m.clone(), c.process, c.theirs, now - c.ours));
            let (from, clocks) = (self.me.to_string(), clocks.collect());
            Note { from, process: self.process, left: now, clocks, word }
        };
        let Ok(value) = postcard::to_stdvec(&note) else { return };
        shared.note(Arc::from(key), version, Bytes::from(value), self.every * KEPT_PACES);
    }

    /// Symptom: who asks nobody tells nothing, and so learns of no other's note how old it can be.
    fn tell_clock(&self) {
        let now = self.context.clock.now();
        if self.shared.is_some() && self.state.borrow().told.saturating_add(self.every) <= now {
            let key = format!("{CLOCK}{}", self.me);
            // Above that of an earlier process, however its clock stood.
            let before = self.shared.as_ref().and_then(|s| s.latest_note(&key)).map_or(0, |n| n.version.0);
            self.note(key, (before + 1, 0), Vec::new());
        }
    }

    fn noted(self: &Rc<Self>, key: &str, version: (u64, u64), value: &[u8]) {
        let Ok(note) = postcard::from_bytes::<Note>(value) else { return };
        if *note.from == *self.me && note.process == self.process {
            return;
        }
        let now = self.context.clock.now();
        let mut transit = FOR_EVER;
        {
            let mut state = self.state.borrow_mut();
            if let Some((_, _, ours, ago)) =
                note.clocks.iter().find(|c| *c.0 == *self.me && c.1 == self.process)
            {
                transit = now.saturating_sub(*ours).saturating_sub(*ago).clamp(0, FOR_EVER);
            }
            let known = state.clocks.get(&note.from);
            let newer = known.is_none_or(|c| c.process != note.process || c.theirs < note.left);
            if newer && (known.is_some() || state.clocks.len() < MOST_CLOCKS) {
                let clock = Clock { process: note.process, theirs: note.left, ours: now };
                state.clocks.insert(note.from, clock);
            }
        }
        if let Some(id) = key.strip_prefix(PREFIX).filter(|_| !note.word.is_empty()) {
            self.tell(In::Noted { id, version, transit, value: &note.word });
        }
    }
}

fn observed(index: index::Index) -> Observation {
    let arc = |text: String| Arc::from(text);
    let entry = |m: index::Model| Entry {
        function: Arc::from(m.function),
        copies: m.copies,
        loading: m.loading,
        busy: m.busy,
        idle: m.idle,
        ordered_by: m.ordered_by.map(arc),
        term: m.term.map(arc),
        sequences: m.sequences.map(|ids| ids.into_iter().map(arc).collect()),
    };
    Observation { life: index.life, entries: index.models.into_iter().map(entry).collect(), cut: index.cut }
}

/// Follows what the core decides, and so what its module believes.
struct Following {
    it: Rc<Reconciling>,
    /// By index of an open invocation: its function, and the size of its copies.
    open: Vec<(u32, f64)>,
}

impl Following {
    fn change(&self, now: Micros, worker: Option<&str>, function: Option<&str>, change: Change) {
        if let (Some(worker), Some(function)) = (worker, function) {
            let input = In::Believes { worker, function, change };
            let mut state = self.it.state.borrow_mut();
            if state.heard.is_some() {
                tracing::info!(worker, function, "meddled: changed");
            }
            // It asks for nothing; what it leads to comes with the next answer.
            state.it.handle(now, input, &mut Vec::new());
        }
    }

    fn function(&self, inv: InvIx) -> (u32, f64) {
        self.open.get(inv as usize).copied().unwrap_or((u32::MAX, 0.0))
    }
}

/// What an ending shows of the copy: whether it stands now, and whether it stood before.
fn shows(outcome: Outcome, note: CopyNote) -> (Option<bool>, bool) {
    match (outcome, note) {
        (_, CopyNote::LoadErrored) | (Outcome::Missed, _) => (Some(false), false),
        (Outcome::Succeeded, note) => (Some(true), note == CopyNote::Found),
        (_, CopyNote::Found) => (Some(true), true),
        _ => (None, false),
    }
}

impl Watch for Following {
    fn decided(&mut self, now: Micros, event: &Event, actions: &[Action], names: Names) {
        match event {
            Event::Invocation(a) => {
                let inv = a.inv as usize;
                if self.open.len() <= inv {
                    self.open.resize(inv + 1, (u32::MAX, 0.0));
                }
                self.open[inv] = (a.func, a.copy_mb);
            }
            Event::DispatchEnded(e) => {
                let (func, copy_mb) = self.function(e.inv);
                let (stands, found) = shows(e.outcome, e.note);
                let ended = Change::Ended { stands, found, copy_mb };
                self.change(now, names.worker(e.worker), names.function(func), ended);
            }
            Event::OrderEnded { worker, func, result, copies, .. } => {
                let stands = match result {
                    OrderResult::Stand => Some(*copies > 0),
                    OrderResult::NoRoom | OrderResult::LoadErrored => Some(*copies > 0),
                    OrderResult::Broken | OrderResult::Unreachable | OrderResult::TimedOut => None,
                };
                let ended = Change::OrderEnded { stands, copies: (*copies > 0).then_some(*copies) };
                self.change(now, names.worker(*worker), names.function(*func), ended);
            }
            _ => {}
        }
        for action in actions {
            let (worker, func, change) = match action {
                Action::Dispatch { inv, worker, .. } => (*worker, self.function(*inv).0, Change::Sent),
                Action::Order { worker, func, .. } => (*worker, *func, Change::Ordered),
                Action::Unload { worker, func } => (*worker, *func, Change::Unloaded),
                _ => continue,
            };
            self.change(now, names.worker(worker), names.function(func), change);
        }
    }

    fn taken(&mut self, _: Micros, _: InvIx, _: FrontIx, _: Option<&str>, _: bool) {}

    fn answered(&mut self, _: Micros, _: Given) {}

    fn turned_away(&mut self, _: Micros, _: FrontIx, _: u32, _: u32, _: Short) {}

    fn used(&mut self, now: Micros, u: Used) {
        if let (Some(id), By::Dispatch(Outcome::Succeeded, _)) = (u.session, u.by) {
            let change = Change::Session { id: Arc::from(id), over: u.ends };
            self.change(now, Some(u.worker_name), Some(u.function), change);
        }
    }
}
