//! [`Router`]: owns the invocations and dispatches, one timer queue, and calls the module for every event. Call
//! [`Router::handle`] with each thing that happened, and again with [`Input::Tick`] at [`Router::next_due`].

mod messages;

pub use messages::{Call, Counts, Input, Output, Terms};

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

use cedarpulley::Control;
use cedarpulley::ids::{Ids, fingerprint};
use cedarpulley::interface::*;
use cedarpulley_meter::Held;

use crate::admission::{Admission, FrontState, Pace};
use crate::claims::{ClaimIx, Claims};
use crate::entry::{self, Door, Entry, Knock};
use crate::group::{self, Ask, Keys, Leave, Need, Part, Refusal, Sendings, Stage, Told};
use crate::redelivery::{self, Record, Verdict};
use crate::roster::Listed;
use crate::service::Service;
use crate::table::Table;
use crate::tenure::Tenure;
use crate::tokens::{self, Key, Seen, Tokens};
use crate::waits::Waits;
use crate::watch::{By, Given, Names, Used, Watch};
use crate::{Answer, Delivery, Fate, FrontIx, OrderTicket, Payload, Reason, Session, Taken, Ticket};

/// Functions that may be accounted for at once; each costs the module a few figures a worker.
const MOST_FUNCTIONS: usize = 20_000;
/// Of an invocation whose claim was forgotten.
const NO_CLAIM: ClaimIx = ClaimIx::MAX;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Sent {
    Out,
    NeverRan,
    MayHaveRun,
}

struct Dispatch {
    worker: WorkerIx,
    at: Micros,
    state: Sent,
    time_out: Option<Micros>,
    /// By which the group knows it.
    sending: u64,
    leave: Leave,
}

struct Inv {
    claim: ClaimIx,
    /// By which its client's retries are known.
    key: Option<Key>,
    front: FrontIx,
    /// It came in at the door, and counts as out until it leaves by it.
    knocked: bool,
    trigger: u32,
    account: u32,
    function: Arc<str>,
    func: FnIx,
    token: Option<Arc<str>>,
    mark: Option<Arc<str>>,
    hints: (Option<Micros>, Option<Micros>),
    copy_mb: f64,
    lanes: u32,
    session: Option<Session>,
    prefers: Option<Arc<str>>,
    body: Payload,
    taken: Micros,
    gives_up_at: Micros,
    /// A dispatch may leave until then, where that is bounded.
    dispatch_until: Option<Micros>,
    /// The module has been told that it is over.
    concluded: bool,
    /// Its front is lost and the message has not come again.
    orphan: bool,
    /// Its front lost it for a while, and the group may have given it to another router.
    was_away: bool,
    /// For how long its client had waited when it was taken.
    waited: Micros,
    redelivered: bool,
    /// Its client says that this is a repeat.
    repeat: bool,
    /// The module knows of it.
    known: bool,
    /// What the group has to do with it.
    part: Option<Part>,
    dispatches: Vec<Dispatch>,
}

impl Inv {
    fn out(&self) -> bool {
        self.dispatches.iter().any(|d| d.state == Sent::Out)
    }

    /// One is out that may be on its way.
    fn left(&self) -> bool {
        self.dispatches.iter().any(|d| d.state == Sent::Out && d.leave != Leave::Asked)
    }

    fn may_have_run(&self) -> bool {
        self.dispatches.iter().any(|d| d.state != Sent::NeverRan && d.leave != Leave::Asked)
    }

    fn stage(&self) -> Option<Stage> {
        self.part.as_ref().map(|p| p.stage)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Module(u64),
    TimeOut(Ticket),
    Overdue(InvIx, u32),
    WindowEnds(InvIx, u32),
    /// One that joined another is given up on.
    JoinedOverdue(Delivery),
    Order(OrderTicket),
}

pub struct Router {
    control: Control,
    terms: Terms,
    triggers: Vec<TriggerType>,
    now: Micros,
    invs: Table<Inv>,
    funcs: Ids<String>,
    names: Vec<Arc<str>>,
    /// Who asked for each function last, the size of its copies, their lanes, and of which trigger type it is.
    asked: Vec<(u32, f64, u32, u32)>,
    /// Functions that the module has met in an invocation and not forgotten.
    met: HashSet<FnIx>,
    /// Of the plan for which something is being ordered now.
    term: Option<Arc<str>>,
    workers: Ids<String>,
    service: Service,
    tenure: Tenure,
    claims: Claims,
    tokens: Tokens,
    admission: Admission,
    door: Door,
    /// Those that were let in: account, and bytes of a body that is not here yet.
    inside: HashMap<Delivery, (u32, u64)>,
    /// Sum of those bytes.
    coming: u64,
    timers: BinaryHeap<Reverse<(Micros, u64, Timer)>>,
    serial: u64,
    /// When each left, whether it orders a load or only asks, for whom, and the size of a copy.
    orders: HashMap<OrderTicket, (Micros, bool, u32, f64)>,
    waits: Waits,
    /// By worker: zone and cell.
    places: Vec<(u32, u32)>,
    /// Dispatches that wait for leave, and what the group was asked about.
    leaving: Sendings,
    keys: Keys,
    stopping: bool,
    watch: Vec<Box<dyn Watch>>,
    pub counts: Counts,
}

/// Of which invocation an answer is: its trigger type, its account, and when it was taken.
type About = (u32, u32, Micros);

impl Router {
    pub fn new(control: Control, triggers: Vec<TriggerType>, terms: Terms) -> Self {
        let admission =
            Admission::new(terms.front_weights.clone(), &terms.account_shares, terms.memory_bytes);
        Router {
            service: Service::new(terms.drain_grace),
            control,
            terms,
            triggers,
            now: Micros::MIN,
            invs: Table::default(),
            funcs: Ids::default(),
            names: Vec::new(),
            asked: Vec::new(),
            met: HashSet::new(),
            term: None,
            workers: Ids::default(),
            tenure: Tenure::default(),
            claims: Claims::default(),
            tokens: Tokens::default(),
            admission,
            door: Door::default(),
            inside: HashMap::new(),
            coming: 0,
            timers: BinaryHeap::new(),
            serial: 0,
            orders: HashMap::new(),
            waits: Waits::default(),
            places: Vec::new(),
            leaving: Sendings::new(),
            keys: Keys::new(),
            stopping: false,
            watch: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// From now on told of everything, too.
    pub fn watched_by(&mut self, watch: Box<dyn Watch>) {
        self.watch.push(watch);
    }

    /// What happened goes in, what is to be done comes out, in order. `now` that goes back counts as standing
    /// still.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match input {
            Input::Front { front, state } => self.front(front, state, out),
            Input::Knock { delivery, knock } => self.knock(delivery, &knock, out),
            Input::Taken(taken) => self.taken(taken, out),
            Input::Safe(delivery) => {
                self.gone(delivery);
                if let Some(key) = self.claims.safe(delivery) {
                    out.push(Output::Group(Ask::Closed { key }));
                }
            }
            Input::Departed(delivery) => {
                self.gone(delivery);
                self.departed(delivery, out);
            }
            Input::List { mode, workers } => self.list(mode, &workers, out),
            Input::DispatchEnded { ticket, outcome, note, crowd, report, held, body } => {
                self.dispatch_ended(ticket, outcome, note, crowd, report, held, body, out);
            }
            Input::OrderEnded { ticket, result, copies, held } => {
                self.order_ended(ticket, result, copies, held, out);
            }
            Input::Probed { worker, outcome, took, report } => {
                self.decide(&Event::Probed { worker, outcome, took, report }, out);
            }
            Input::Group(told) => self.group(told, out),
            Input::Wanted { worker, function, like, term } => {
                self.wanted(&worker, function, &like, term, out)
            }
            Input::Unwanted { worker, function, term } => {
                if let Some(worker) = self.workers.find(&*worker) {
                    out.push(Output::Unload { worker, function, term });
                }
            }
            Input::Held { worker, function, copies } => {
                if let (Some(worker), Some(func)) = (self.workers.find(&*worker), self.funcs.find(&*function))
                {
                    self.decide(&Event::Held { worker, func, copies }, out);
                }
            }
            Input::Tick => {}
            Input::Stop => {
                self.stopping = true;
                self.admission.stop();
            }
        }
        self.run_timers(out);
        for worker in self.tenure.ended() {
            self.workers.release(worker);
            self.service.forget(worker);
        }
        self.claims.tidy(self.now);
        self.admission.grants(|front, most| out.push(Output::Grant { front, most }));
    }

    /// When [`Input::Tick`] is next wanted.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.peek().map(|t| t.0.0)
    }

    /// Invocations that are owed an answer or have a dispatch out, and answers not yet safe.
    pub fn open(&self) -> usize {
        self.invs.len().max(self.claims.held())
    }

    /// Whether a dispatch may still leave: asked again right before its first byte, as connecting takes time.
    pub fn may_leave(&self, now: Micros, ticket: Ticket) -> bool {
        let it = self.invs.get(ticket.inv).filter(|_| self.invs.generation(ticket.inv) == ticket.generation);
        let Some(it) = it.filter(|i| !i.concluded && now < i.gives_up_at) else { return false };
        let out = it.dispatches.get(ticket.dispatch as usize).filter(|d| d.state == Sent::Out);
        out.is_some_and(|d| self.service.takes_new(now, d.worker) && self.has_leave(now, d.leave))
    }

    /// Symptom: a process is stopped with leave in its hands and wakes when others have long answered.
    fn has_leave(&self, now: Micros, leave: Leave) -> bool {
        match leave {
            Leave::NotNeeded => true,
            Leave::Asked => false,
            Leave::Given(at) => self.terms.sharing.as_ref().is_some_and(|s| now - at <= s.leave_kept),
        }
    }

    /// The same for an order to load.
    pub fn order_may_leave(&self, now: Micros, ticket: OrderTicket) -> bool {
        self.orders.contains_key(&ticket) && self.service.takes_new(now, ticket.worker)
    }

    pub fn worker_name(&self, worker: WorkerIx) -> Option<&str> {
        self.workers.id(worker).map(String::as_str)
    }

    pub fn worker_ix(&self, name: &str) -> Option<WorkerIx> {
        self.workers.find(name)
    }

    /// Functions that are accounted for at present.
    pub fn functions(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(|n| n.as_ref()).filter(|n| !n.is_empty())
    }

    pub fn limit(&self) -> f64 {
        self.admission.limit()
    }

    pub fn body_bytes(&self) -> u64 {
        self.admission.bytes()
    }

    fn timer(&mut self, at: Micros, timer: Timer) {
        self.serial += 1;
        self.timers.push(Reverse((at, self.serial, timer)));
    }

    fn answer(
        &mut self,
        delivery: Delivery,
        answer: Answer,
        inv: Option<InvIx>,
        about: About,
        out: &mut Vec<Output>,
    ) {
        let (front, (trigger, account, taken)) = (delivery.front, about);
        let (fate, reason, took) = (answer.fate, answer.reason, self.now - taken);
        let given = Given { inv, front, fate, reason, trigger, account, took };
        self.watch.iter_mut().for_each(|w| w.answered(self.now, given));
        *self.counts.answers.entry((answer.fate, answer.reason)).or_default() += 1;
        out.push(Output::Answer { delivery, answer });
    }

    fn knock(&mut self, delivery: Delivery, knock: &Knock, out: &mut Vec<Output>) {
        let trigger = &self.triggers[knock.trigger as usize];
        self.admission.came(self.now, delivery.front, knock.account);
        let fill = self.admission.fill(self.now, delivery.front, knock.account, self.coming);
        let worth = entry::worth(trigger, knock.waited, fill.usual);
        let entry = self.door.decide(self.now, knock, worth, &fill);
        match entry {
            Entry::Enter => {
                self.admission.entered(self.now, delivery.front, knock.account);
                self.inside.insert(delivery, (knock.account, knock.bytes));
                self.coming += knock.bytes;
            }
            Entry::TurnedAway { why, .. } => {
                *self.counts.turned_away.entry((delivery.front, why)).or_default() += 1;
                for watch in &mut self.watch {
                    watch.turned_away(self.now, delivery.front, knock.trigger, knock.account, why);
                }
            }
        }
        out.push(Output::Entry { delivery, entry });
    }

    /// It left by the door, answered or not.
    fn gone(&mut self, delivery: Delivery) {
        if let Some((account, bytes)) = self.inside.remove(&delivery) {
            self.coming -= bytes;
            self.admission.left(delivery.front, account);
        }
    }

    /// Takes a message, from top to bottom.
    fn taken(&mut self, t: Taken, out: &mut Vec<Output>) {
        self.counts.taken += 1;
        let knocked = match self.inside.get_mut(&t.delivery) {
            Some((_, bytes)) => {
                self.coming -= std::mem::take(bytes);
                true
            }
            None => false,
        };
        let trigger = self.triggers[t.trigger as usize];
        let about = (t.trigger, t.account, self.now);
        if let Some((fate, reason)) = t.refused {
            return self.answer(t.delivery, Answer::bare(fate, reason), None, about, out);
        }
        let waited = t.waited.max(0);
        let gives_up_at =
            self.now + t.client_timeout.min(trigger.client_timeout) - waited - self.terms.answer_margin;
        let (record, claim) = self.claims.known(t.identity.as_deref());
        let margin = self.terms.clock_margin;
        let part = self.terms.sharing.as_ref().and_then(|_| group::need(&t, &trigger, margin));
        let verdict = match record {
            // What is known here is not all that is known.
            Record::Nothing | Record::NeverRan if part.is_some() => Verdict::Take { dispatch_within: None },
            // Symptom: it was throttled here as its channel was lost, ran at another router, and came here again.
            Record::Answered if part.is_some() && claim.is_some_and(|c| self.claims.withdrawn(c)) => {
                Verdict::Take { dispatch_within: None }
            }
            _ => redelivery::decide(record, t.redelivered, trigger.effect, waited, margin),
        };
        let dispatch_within = match (verdict, claim) {
            (Verdict::Join | Verdict::Repeat, Some(claim)) => {
                return self.comes_again(claim, t.delivery, out);
            }
            (Verdict::Refuse, _) => {
                self.counts.refused_redelivered += 1;
                return self.answer(
                    t.delivery,
                    Answer::bare(Fate::Errored, Reason::MayHaveRun),
                    None,
                    about,
                    out,
                );
            }
            (Verdict::Take { dispatch_within }, _) => dispatch_within,
            (Verdict::Join | Verdict::Repeat, None) => None,
        };
        let joining = t.token.as_deref().filter(|_| !self.terms.module_alone);
        let key = joining.map(|token| tokens::key(t.account, t.trigger, t.called(), token));
        if let Some(key) = &key {
            match self.tokens.seen(self.now, key) {
                Seen::Out(claim) => return self.join(claim, t.delivery, gives_up_at, out),
                // Given in full to the first, and given alike to its client's retry.
                Seen::Answered(answer) => {
                    self.counts.remembered += 1;
                    return self.answer(t.delivery, answer, None, about, out);
                }
                Seen::Nothing => {}
            }
        }
        // The client's time has run out, or ran out while this waited at the broker: never dispatched. One that
        // was delivered before may have run.
        if gives_up_at <= self.now {
            let ran = t.redelivered && !matches!(trigger.effect, Effect::Idempotent);
            let fate = if ran { Fate::Errored } else { Fate::Throttled };
            return self.answer(t.delivery, Answer::bare(fate, Reason::Expired), None, about, out);
        }
        let new = self.funcs.find(t.function.as_ref()).is_none();
        if new && self.funcs.len() >= MOST_FUNCTIONS {
            return self.answer(t.delivery, Answer::bare(Fate::Errored, Reason::Functions), None, about, out);
        }
        if !knocked {
            self.admission.came(self.now, t.delivery.front, t.account);
        }
        // Symptom: one account's flood fills the queue, and all others' messages come late behind it.
        let capped = !knocked && !t.redelivered && !self.terms.module_alone;
        if capped && self.admission.beyond(self.now, t.delivery.front, t.account) {
            return self.answer(t.delivery, Answer::bare(Fate::Throttled, Reason::Share), None, about, out);
        }
        if !self.admission.kept(t.body.len()) {
            let fate = if t.redelivered { Fate::Errored } else { Fate::Throttled };
            return self.answer(t.delivery, Answer::bare(fate, Reason::Size), None, about, out);
        }
        if !knocked {
            self.admission.entered(self.now, t.delivery.front, t.account);
        }
        let func = self.meet(&t.function, (t.account, t.copy_mb, t.lanes.max(1), t.trigger));
        let dispatch_until = dispatch_within.map(|left| self.now + left);
        let asked = part.map(|(key, need)| Part { key, need, stage: Stage::Asked, answered: false });
        let inv = self.invs.insert(Inv {
            claim: NO_CLAIM,
            key: None,
            front: t.delivery.front,
            knocked,
            trigger: t.trigger,
            account: t.account,
            function: t.function.clone(),
            func,
            token: t.token,
            mark: t.mark,
            hints: (t.cost_hint, t.load_hint),
            copy_mb: t.copy_mb,
            lanes: t.lanes.max(1),
            session: t.session,
            prefers: t.prefers,
            body: t.body,
            taken: self.now,
            gives_up_at,
            dispatch_until,
            concluded: false,
            orphan: false,
            was_away: false,
            waited,
            redelivered: t.redelivered,
            repeat: t.repeat,
            known: false,
            part: asked.clone(),
            dispatches: Vec::new(),
        });
        let claim = self.claims.open(t.identity, t.delivery, inv, gives_up_at + self.terms.answer_margin);
        if let Some(it) = self.invs.get_mut(inv) {
            it.claim = claim;
            it.key = key.clone();
        }
        if let Some(key) = key {
            self.tokens.began(key, claim);
        }
        let generation = self.invs.generation(inv);
        self.timer(gives_up_at, Timer::Overdue(inv, generation));
        if let Some(until) = dispatch_until.filter(|&u| u < gives_up_at) {
            self.timer(until, Timer::WindowEnds(inv, generation));
        }
        let Some(Part { key, need, .. }) = asked else { return self.admit(inv, out) };
        let redelivered = t.redelivered;
        self.claims.share(claim, key.clone());
        self.keys.insert(key.clone(), (inv, generation));
        out.push(Output::Group(Ask::Take { key, need, redelivered }));
    }

    fn meet(&mut self, function: &Arc<str>, asked: (u32, f64, u32, u32)) -> FnIx {
        let func = self.funcs.enter(function.as_ref());
        if self.names.len() <= func as usize {
            self.names.resize(func as usize + 1, Arc::from(""));
            self.asked.resize(func as usize + 1, (0, 0.0, 1, 0));
        }
        self.names[func as usize] = function.clone();
        self.asked[func as usize] = asked;
        func
    }

    /// The module decides whether it is ordered; of a function that nobody here knows anything like, nothing is.
    fn wanted(
        &mut self,
        worker: &str,
        function: Arc<str>,
        like: &str,
        term: Option<Arc<str>>,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.find(worker) else { return };
        let known = self.funcs.find(function.as_ref());
        let Some(asked) = known.or_else(|| self.funcs.find(like)).map(|f| self.asked[f as usize]) else {
            return;
        };
        if known.is_none() && self.funcs.len() >= MOST_FUNCTIONS {
            return;
        }
        let func = self.meet(&function, asked);
        let (_, _, lanes, trigger) = asked;
        let asked = Asked { func, fingerprint: fingerprint(&function), trigger, lanes };
        self.term = term;
        self.decide(&Event::Wanted { worker, asked }, out);
        self.term = None;
    }

    /// The module hears of it.
    fn admit(&mut self, inv: InvIx, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(it) = self.invs.get_mut(inv) else { return };
        it.known = true;
        for watch in &mut self.watch {
            watch.taken(now, inv, it.front, it.mark.as_deref(), it.redelivered);
        }
        let arrival = Arrival {
            inv,
            trigger: it.trigger,
            account: it.account,
            func: it.func,
            fingerprint: fingerprint(&it.function),
            cost_hint: it.hints.0,
            load_hint: it.hints.1,
            copy_mb: it.copy_mb,
            lanes: it.lanes,
            client_gives_up_in: it.gives_up_at - now,
            waited: it.waited + now - it.taken,
            repeat: it.repeat,
            prefers: it.prefers.as_deref().and_then(|name| self.workers.find(name)),
        };
        if self.met.insert(arrival.func)
            && let Some(worker) = arrival.prefers
        {
            self.meets_warm(worker, &arrival, out);
        }
        self.decide(&Event::Invocation(arrival), out);
        let waits = self.invs.get(inv).is_some_and(|i| !i.concluded && i.dispatches.is_empty());
        self.counts.held += u64::from(waits);
        self.release(inv, out);
    }

    /// Symptom: the first of a function here is of a session that is warm somewhere. The module takes no word of the
    /// copies of a function that it has not met, and sends it to another worker. It meets what is wanted somewhere; the
    /// order that it gives for it does not leave, as another router has just told that the copy stands.
    fn meets_warm(&mut self, worker: WorkerIx, a: &Arrival, out: &mut Vec<Output>) {
        let asked = Asked { func: a.func, fingerprint: a.fingerprint, trigger: a.trigger, lanes: a.lanes };
        let mut wanted = Vec::new();
        self.decide(&Event::Wanted { worker, asked }, &mut wanted);
        for output in wanted {
            match output {
                Output::Order { ticket, .. } => {
                    self.counts.orders = self.counts.orders.saturating_sub(1);
                    self.order_ended(ticket, OrderResult::Stand, 1, None, out);
                }
                other => out.push(other),
            }
        }
        // Where it gave none.
        self.decide(&Event::Held { worker, func: a.func, copies: 1 }, out);
    }

    /// A message that this router had before and lost with its channel.
    fn comes_again(&mut self, claim: ClaimIx, delivery: Delivery, out: &mut Vec<Output>) {
        if !self.claims.rejoin(claim, delivery) {
            self.counts.discarded += 1;
            return out.push(Output::Discard(delivery));
        }
        if let Some(answer) = self.claims.answer(claim).cloned() {
            // The very same; it counts once.
            self.counts.repeated += 1;
            return out.push(Output::Answer { delivery, answer });
        }
        self.counts.joined += 1;
        if let Some(inv) = self.claims.inv(claim)
            && let Some(it) = self.invs.get_mut(inv)
        {
            it.orphan = false;
            it.was_away = it.part.is_some();
        }
    }

    fn front(&mut self, front: FrontIx, state: FrontState, out: &mut Vec<Output>) {
        self.admission.front(front, state);
        if state != FrontState::Down {
            return;
        }
        // Symptom: a channel drops with work out. The broker gives it to whoever is next, perhaps to us. What has
        // left is waited for, in case it comes back here; what has not is over, and known never to have run.
        let (open, forgotten) = self.claims.front_lost(front);
        for inv in forgotten {
            if let Some(it) = self.invs.get_mut(inv) {
                it.claim = NO_CLAIM;
                if let Some(key) = it.key.take() {
                    self.tokens.ended(self.now, &key, None);
                }
            }
        }
        for inv in open {
            let Some(it) = self.invs.get_mut(inv) else { continue };
            it.orphan = true;
            self.counts.orphaned += 1;
            if !it.left() {
                self.conclude_orphan(inv, out);
            }
        }
    }

    /// A client's own retry with the token of one that is out: it waits for the same answer, within its own time.
    fn join(&mut self, claim: ClaimIx, delivery: Delivery, gives_up_at: Micros, out: &mut Vec<Output>) {
        if gives_up_at <= self.now || !self.claims.join(claim, delivery) {
            let about = (u32::MAX, u32::MAX, self.now);
            let answer = Answer::bare(Fate::Errored, Reason::MayHaveRun);
            return self.answer(delivery, answer, None, about, out);
        }
        self.counts.joined_by_token += 1;
        self.timer(gives_up_at, Timer::JoinedOverdue(delivery));
        if let Some(it) = self.claims.inv(claim).and_then(|inv| self.invs.get_mut(inv)) {
            it.orphan = false;
        }
    }

    fn departed(&mut self, delivery: Delivery, out: &mut Vec<Output>) {
        // While another waits for the same answer, the invocation goes on.
        let Some((claim, true)) = self.claims.let_go(delivery) else { return };
        let inv = self.claims.inv(claim);
        self.claims.forget(claim);
        if let Some(inv) = inv {
            self.leave(inv, out);
        }
    }

    /// Nobody is to be answered for this invocation, and nothing more is to be sent for it.
    fn conclude_orphan(&mut self, inv: InvIx, out: &mut Vec<Output>) {
        if let Some(it) = self.invs.get(inv) {
            let (claim, ran) = (it.claim, it.may_have_run());
            self.claims.end(claim, ran);
        }
        self.leave(inv, out);
    }

    fn leave(&mut self, inv: InvIx, out: &mut Vec<Output>) {
        if self.conclude(inv, Pace::Neither) {
            self.out_of_hands(inv, out);
        }
        self.release(inv, out);
    }

    /// The module has nothing more to do with it. What waits for the group's leave never left.
    fn out_of_hands(&mut self, inv: InvIx, out: &mut Vec<Output>) {
        if !self.invs.get_mut(inv).is_some_and(|i| std::mem::take(&mut i.known)) {
            return;
        }
        self.decide(&Event::Departed { inv }, out);
        let asked = |it: &Inv| {
            let waits = |d: &Dispatch| d.state == Sent::Out && d.leave == Leave::Asked;
            (0..it.dispatches.len()).filter(|n| waits(&it.dispatches[*n])).collect::<Vec<_>>()
        };
        let generation = self.invs.generation(inv);
        for dispatch in self.invs.get(inv).map(asked).unwrap_or_default() {
            self.not_sent(Ticket { inv, dispatch: dispatch as u32, generation }, out);
        }
    }

    fn not_sent(&mut self, ticket: Ticket, out: &mut Vec<Output>) {
        let (note, report, outcome) = (CopyNote::Untold, Report::default(), Outcome::NotSent);
        self.dispatch_ended(ticket, outcome, note, None, report, None, Payload::default(), out);
    }

    /// What the group says. It may speak of one that is over here by now.
    fn group(&mut self, told: Told, out: &mut Vec<Output>) {
        match told {
            Told::Leave { sending, left } => self.left(sending, left, out),
            Told::Verdict { key, verdict } => {
                let Some(&(inv, generation)) = self.keys.get(&key) else { return };
                let open = |i: &Inv| !i.concluded && matches!(i.stage(), Some(Stage::Asked | Stage::Waits));
                if self.invs.generation(inv) == generation && self.invs.get(inv).is_some_and(open) {
                    self.verdict(inv, verdict, out);
                }
            }
        }
    }

    fn stage(&mut self, inv: InvIx, stage: Stage) {
        if let Some(part) = self.invs.get_mut(inv).and_then(|i| i.part.as_mut()) {
            part.stage = stage;
        }
    }

    fn verdict(&mut self, inv: InvIx, verdict: group::Verdict, out: &mut Vec<Output>) {
        let Some(it) = self.invs.get(inv) else { return };
        let (trigger, redelivered, now) = (it.trigger as usize, it.redelivered, self.now);
        match verdict {
            group::Verdict::Go { first_ago } => {
                let (effect, margin) = (self.triggers[trigger].effect, self.terms.clock_margin);
                let within = match effect {
                    // Its first sending is known by the group's own clocks; without, only by its client's.
                    Effect::Tokened { window, .. } => match first_ago {
                        Some(ago) => Some(window - ago),
                        None if redelivered && it.part.as_ref().is_some_and(|p| p.need == Need::Known) => {
                            Some(window - it.waited - margin)
                        }
                        None => None,
                    },
                    _ => None,
                };
                if within.is_some_and(|left| left <= 0) {
                    self.counts.refused_redelivered += 1;
                    return self.final_answer(inv, Fate::Errored, Reason::MayHaveRun, out);
                }
                self.stage(inv, Stage::Goes);
                if let Some(until) = within.map(|left| now + left)
                    && let Some(it) = self.invs.get_mut(inv)
                {
                    it.dispatch_until = Some(until);
                    let generation = self.invs.generation(inv);
                    self.timer(until, Timer::WindowEnds(inv, generation));
                }
                self.admit(inv, out);
            }
            group::Verdict::Waits => {
                self.counts.joined_elsewhere += 1;
                self.stage(inv, Stage::Waits);
            }
            group::Verdict::Answer(answer) => {
                self.counts.answered_elsewhere += 1;
                if let Some(part) = self.invs.get_mut(inv).and_then(|i| i.part.as_mut()) {
                    part.answered = true;
                }
                self.give(inv, answer, out);
                self.release(inv, out);
            }
            group::Verdict::MayHaveRun => {
                self.counts.refused_redelivered += 1;
                self.final_answer(inv, Fate::Errored, Reason::MayHaveRun, out);
            }
            group::Verdict::NoMajority => self.no_majority(inv, out),
        }
    }

    /// Alone, where its operator accepts that and nobody else can have had it; otherwise not at all.
    fn no_majority(&mut self, inv: InvIx, out: &mut Vec<Output>) {
        let Some(it) = self.invs.get(inv) else { return };
        let alone = self.terms.sharing.as_ref().and_then(|s| s.alone.get(it.trigger as usize)).copied();
        if alone == Some(true) && !it.redelivered && it.stage() == Some(Stage::Asked) {
            self.stage(inv, Stage::Alone);
            return self.admit(inv, out);
        }
        let fate = if it.redelivered || it.may_have_run() { Fate::Errored } else { Fate::Throttled };
        self.final_answer(inv, fate, Reason::NoMajority, out);
    }

    fn final_answer(&mut self, inv: InvIx, fate: Fate, reason: Reason, out: &mut Vec<Output>) {
        self.give(inv, Answer::bare(fate, reason), out);
        self.out_of_hands(inv, out);
        self.release(inv, out);
    }

    /// A dispatch has leave, or has none.
    fn left(&mut self, sending: u64, left: Result<bool, Refusal>, out: &mut Vec<Output>) {
        let Some(ticket) = self.leaving.remove(&sending) else { return };
        let Ticket { inv, dispatch, generation } = ticket;
        let now = self.now;
        let stands = self.invs.generation(inv) == generation;
        let Some(it) = self.invs.get_mut(inv).filter(|_| stands) else { return };
        let Some(d) = it.dispatches.get_mut(dispatch as usize).filter(|d| d.state == Sent::Out) else {
            return;
        };
        match left {
            Ok(alone) => {
                d.leave = Leave::Given(now);
                if alone && it.stage() == Some(Stage::Goes) {
                    self.stage(inv, Stage::Alone);
                }
                self.send(ticket, out);
            }
            Err(refusal) => {
                self.counts.leave_refused += 1;
                if refusal == Refusal::Elsewhere {
                    self.stage(inv, Stage::Waits);
                    return self.out_of_hands(inv, out);
                }
                self.out_of_hands(inv, out);
                self.no_majority(inv, out);
            }
        }
    }

    /// Marks it as over; true the first time.
    fn conclude(&mut self, inv: InvIx, pace: Pace) -> bool {
        let Some(it) = self.invs.get_mut(inv).filter(|i| !i.concluded) else { return false };
        it.concluded = true;
        if let Some(key) = it.key.take() {
            self.tokens.ended(self.now, &key, None);
        }
        let (front, account, bytes, took) = (it.front, it.account, it.body.len(), self.now - it.taken);
        let held = it.dispatches.first().map_or(took, |d| d.at - it.taken);
        let objective = self.triggers[it.trigger as usize].latency_objective;
        // Symptom: a slow store makes everybody wait, and who has more out is capped for it. What waited for a load
        // was not crowded out.
        let loaded = self.waits.for_load(it.func, it.taken);
        let (held, pace) = match pace {
            Pace::GivenUp if loaded => (0, Pace::Neither),
            pace if loaded => (0, pace),
            pace => (held, pace),
        };
        if !it.knocked {
            self.admission.left(front, account);
        }
        self.admission.ended(self.now, front, account, bytes, took, held, objective, pace);
        self.door.noted(self.now);
        true
    }

    fn pace(&self, it: &Inv) -> Pace {
        let t = &self.triggers[it.trigger as usize];
        let stretch = (it.hints.0.unwrap_or(0) as f64 * t.objective_stretch) as Micros;
        if self.now - it.taken > t.latency_objective + stretch { Pace::Late } else { Pace::InTime }
    }

    /// The final answer; whoever holds the claim gets it.
    fn give(&mut self, inv: InvIx, answer: Answer, out: &mut Vec<Output>) {
        let Some(it) = self.invs.get(inv).filter(|i| !i.concluded) else { return };
        let (claim, about) = (it.claim, (it.trigger, it.account, it.taken));
        let pace = match answer.fate {
            Fate::Succeeded => self.pace(it),
            Fate::Throttled => Pace::GivenUp,
            _ => Pace::Neither,
        };
        let effect = self.triggers[it.trigger as usize].effect;
        if let (Some(key), Fate::Succeeded, Effect::Tokened { window, .. }) =
            (it.key.clone(), answer.fate, effect)
        {
            self.tokens.ended(self.now, &key, Some((answer.clone(), self.now + window)));
        }
        // While it was away from here another router may have had it: that it did not run is nobody's to promise.
        let answer = match answer.fate {
            Fate::Throttled if it.was_away => Answer::bare(Fate::Errored, Reason::MayHaveRun),
            _ => answer,
        };
        let alone = it.stage() == Some(Stage::Alone) && answer.reason == Reason::Worker;
        let answer = if alone { Answer { reason: Reason::Alone, ..answer } } else { answer };
        // Others may be given the same message: they answer alike.
        if answer.fate == Fate::Succeeded
            && let Some(part) = self.invs.get_mut(inv).and_then(|i| i.part.as_mut()).filter(|p| !p.answered)
        {
            part.answered = true;
            out.push(Output::Group(Ask::Answered { key: part.key.clone(), answer: answer.clone() }));
        }
        self.conclude(inv, pace);
        let holders = self.claims.give(claim, &answer);
        // Without a front a success is kept for when the message comes again. Nobody may be promised that it did
        // not run, or told an error, on behalf of whoever has the message now.
        if holders.is_empty() && answer.fate != Fate::Succeeded {
            let ran = self.invs.get(inv).is_some_and(Inv::may_have_run);
            self.claims.end(claim, ran);
        }
        // One that the module does not know, or no more, counts as answered at once.
        let known = self.invs.get(inv).is_some_and(|i| i.known).then_some(inv);
        for delivery in holders {
            self.answer(delivery, answer.clone(), known, about, out);
        }
    }

    /// An index may go to another invocation once it is over and all its dispatches have ended.
    fn release(&mut self, inv: InvIx, out: &mut Vec<Output>) {
        if self.invs.get(inv).is_some_and(|i| i.concluded && !i.out())
            && let Some(it) = self.invs.remove(inv)
        {
            it.dispatches.iter().for_each(|d| self.tenure.let_go(d.worker));
            if let Some(part) = it.part {
                // A later one may bear its key by now.
                let last = self.keys.get(&part.key).is_some_and(|(of, _)| *of == inv);
                if last {
                    self.keys.remove(&part.key);
                }
                if last && !part.answered {
                    out.push(Output::Group(Ask::Dropped { key: part.key }));
                }
            }
        }
    }

    fn list(&mut self, mode: ListMode, workers: &[Listed], out: &mut Vec<Output>) {
        let entries: Vec<ListEntry> = workers
            .iter()
            .map(|w| ListEntry {
                worker: self.workers.enter(w.address.as_str()),
                fingerprint: fingerprint(&w.address),
                zone: w.zone,
                kind: w.kind,
                cell: w.cell,
                standing: w.standing,
                weight: w.weight,
                started: w.started,
            })
            .collect();
        for e in &entries {
            if self.places.len() <= e.worker as usize {
                self.places.resize(e.worker as usize + 1, (0, 0));
            }
            self.places[e.worker as usize] = (e.zone, e.cell);
        }
        self.service.follow(self.now, mode, &entries);
        self.tenure.follow(mode, &entries);
        self.decide(&Event::List { mode, entries: &entries }, out);
    }

    #[allow(clippy::too_many_arguments)] // The parts of one piece of news.
    fn dispatch_ended(
        &mut self,
        ticket: Ticket,
        outcome: Outcome,
        note: CopyNote,
        crowd: Option<u32>,
        report: Report,
        held: Option<Held>,
        body: Payload,
        out: &mut Vec<Output>,
    ) {
        let Ticket { inv, dispatch, generation } = ticket;
        let sent = if self.invs.generation(inv) == generation { self.invs.get_mut(inv) } else { None }
            .and_then(|i| i.dispatches.get_mut(dispatch as usize))
            .filter(|d| d.state == Sent::Out);
        let Some(sent) = sent else {
            // Symptom: a worker answers after its time-out or after it was called back. Its ending was told.
            self.counts.too_late += 1;
            return;
        };
        sent.state = if outcome.never_ran() { Sent::NeverRan } else { Sent::MayHaveRun };
        let (worker, took, sending) = (sent.worker, self.now - sent.at, sent.sending);
        let may_have_run = sent.state == Sent::MayHaveRun;
        // Nothing of it is in the group's hands any more.
        sent.leave = Leave::NotNeeded;
        self.leaving.remove(&sending);
        if let Some(part) = self.invs.get(inv).and_then(|i| i.part.as_ref()) {
            out.push(Output::Group(Ask::Ended { key: part.key.clone(), sending, may_have_run }));
        }
        if let Some(it) = self.invs.get(inv) {
            let (function, account, by) = (&*it.function, it.account, By::Dispatch(outcome, note));
            let (copy_mb, lanes) = (it.copy_mb, it.lanes);
            let worker_name = self.workers.id(worker).map_or("", String::as_str);
            let (session, ends) =
                (it.session.as_ref().map(|s| &*s.id), it.session.as_ref().is_some_and(|s| s.end));
            let used = Used {
                worker,
                worker_name,
                function,
                session,
                ends,
                trigger: it.trigger,
                account,
                by,
                took,
                copy_mb,
                lanes,
                held,
            };
            self.watch.iter_mut().for_each(|w| w.used(self.now, used));
        }
        if outcome == Outcome::Succeeded
            && note == CopyNote::Found
            && let Some(it) = self.invs.get(inv)
        {
            self.waits.found(self.now, it.func);
        }
        if outcome == Outcome::Succeeded {
            let answer = Answer { fate: Fate::Succeeded, reason: Reason::Worker, return_after: None, body };
            self.give(inv, answer, out);
        } else if self.invs.get(inv).is_some_and(|i| i.orphan && !i.concluded) {
            // Nobody waits for it here any more; whoever has the message now decides what comes next.
            if let Some(it) = self.invs.get(inv) {
                let (claim, ran) = (it.claim, it.may_have_run());
                self.claims.end(claim, ran);
            }
            self.conclude(inv, Pace::Neither);
        }
        let concluded = self.invs.get(inv).is_none_or(|i| i.concluded);
        let ending = Ending { inv, dispatch, worker, outcome, took, concluded, note, crowd, report };
        self.decide(&Event::DispatchEnded(ending), out);
        self.release(inv, out);
    }

    fn order_ended(
        &mut self,
        ticket: OrderTicket,
        result: OrderResult,
        copies: u32,
        held: Option<Held>,
        out: &mut Vec<Output>,
    ) {
        let Some((at, load, account, copy_mb)) = self.orders.remove(&ticket) else { return };
        self.tenure.let_go(ticket.worker);
        if let (true, Some(function)) = (load, self.names.get(ticket.func as usize)) {
            let (worker, took, by, lanes) = (ticket.worker, self.now - at, By::Order(result), 1);
            let worker_name = self.workers.id(worker).map_or("", String::as_str);
            let trigger = self.asked.get(ticket.func as usize).map_or(0, |a| a.3);
            let (session, ends) = (None, false);
            let used = Used {
                worker,
                worker_name,
                function,
                session,
                ends,
                trigger,
                account,
                by,
                took,
                copy_mb,
                lanes,
                held,
            };
            self.watch.iter_mut().for_each(|w| w.used(self.now, used));
        }
        if load {
            self.waits.order_ended(self.now, ticket.func);
        }
        let OrderTicket { worker, func, .. } = ticket;
        self.decide(&Event::OrderEnded { worker, func, result, took: self.now - at, copies }, out);
    }

    fn run_timers(&mut self, out: &mut Vec<Output>) {
        while let Some(&Reverse((at, _, timer))) = self.timers.peek()
            && at <= self.now
        {
            self.timers.pop();
            match timer {
                Timer::Module(token) => self.decide(&Event::Timer { token }, out),
                Timer::TimeOut(ticket) => self.time_out(ticket, out),
                Timer::Overdue(inv, generation) if self.invs.generation(inv) == generation => {
                    self.overdue(inv, out);
                }
                Timer::WindowEnds(inv, generation) if self.invs.generation(inv) == generation => {
                    // Symptom: a redelivered one still held as the workers' memory of it runs out.
                    if self.invs.get(inv).is_some_and(|i| !i.concluded && !i.out()) {
                        self.final_answer(inv, Fate::Errored, Reason::MayHaveRun, out);
                    }
                }
                Timer::Overdue(..) | Timer::WindowEnds(..) => {}
                Timer::JoinedOverdue(delivery) => {
                    // Still waiting: the one it joined has more time than it, and may run.
                    let waits = self.claims.waits(delivery);
                    if waits {
                        self.claims.let_go(delivery);
                        let about = (u32::MAX, u32::MAX, self.now);
                        let answer = Answer::bare(Fate::Errored, Reason::Overdue);
                        self.answer(delivery, answer, None, about, out);
                    }
                }
                Timer::Order(ticket) => {
                    if self.orders.contains_key(&ticket) {
                        self.order_ended(ticket, OrderResult::TimedOut, 0, None, out);
                    }
                }
            }
        }
    }

    fn time_out(&mut self, ticket: Ticket, out: &mut Vec<Output>) {
        let stands = self.invs.generation(ticket.inv) == ticket.generation;
        let sent = self.invs.get(ticket.inv).and_then(|i| i.dispatches.get(ticket.dispatch as usize));
        if stands && sent.is_some_and(|d| d.state == Sent::Out) {
            if sent.is_some_and(|d| d.leave == Leave::Asked) {
                // It waited for leave all the time: nothing is out, and nothing can have run.
                return self.not_sent(ticket, out);
            }
            out.push(Output::Withdraw(ticket));
            let (note, report) = (CopyNote::Untold, Report::default());
            self.dispatch_ended(ticket, Outcome::TimedOut, note, None, report, None, Payload::default(), out);
        }
    }

    /// The client is about to give up. What is out ends now; the module then owes the answer at once.
    fn overdue(&mut self, inv: InvIx, out: &mut Vec<Output>) {
        let generation = self.invs.generation(inv);
        let outs =
            |it: &Inv| (0..it.dispatches.len()).filter(|&n| it.dispatches[n].state == Sent::Out).collect();
        let dispatches: Vec<usize> = self.invs.get(inv).map(outs).unwrap_or_default();
        for dispatch in dispatches {
            self.time_out(Ticket { inv, dispatch: dispatch as u32, generation }, out);
        }
        if self.invs.generation(inv) != generation || self.invs.get(inv).is_none_or(|i| i.concluded) {
            return;
        }
        // Symptom: a held one whose turn did not come between two of the module's timers.
        let ran = self.invs.get(inv).is_some_and(Inv::may_have_run);
        let idempotent = self.invs.get(inv).map(|i| self.triggers[i.trigger as usize].effect);
        let harmless = !ran || idempotent == Some(Effect::Idempotent);
        let elsewhere = self.invs.get(inv).is_some_and(|i| {
            i.dispatch_until.is_some()
                || i.stage() == Some(Stage::Waits)
                || i.stage() == Some(Stage::Asked) && i.redelivered
        });
        let fate = if harmless && !elsewhere { Fate::Throttled } else { Fate::Errored };
        self.final_answer(inv, fate, Reason::Overdue, out);
    }

    /// Calls the module and carries out what it asks for, in order; what it asks for that cannot be sent comes
    /// back to it as news.
    fn decide(&mut self, event: &Event, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        self.control.decide(self.now, event, &mut actions);
        let names = Names { functions: &self.names, workers: &self.workers };
        self.watch.iter_mut().for_each(|w| w.decided(self.now, event, &actions, names));
        // Endings that follow at once are told only after all actions of this step.
        let mut unsent = Vec::new();
        for action in actions {
            match action {
                Action::Dispatch { inv, worker, time_out } => {
                    self.dispatch(inv, worker, time_out, &mut unsent, out);
                }
                Action::Withdraw { inv, dispatch } => {
                    let ticket = Ticket { inv, dispatch, generation: self.invs.generation(inv) };
                    let sent = self.invs.get(inv).and_then(|i| i.dispatches.get(dispatch as usize));
                    let Some(d) = sent.filter(|d| d.state == Sent::Out) else { continue };
                    self.counts.withdrawn += 1;
                    if d.leave == Leave::Asked {
                        unsent.push((ticket, Outcome::NotSent));
                    } else {
                        out.push(Output::Withdraw(ticket));
                        unsent.push((ticket, Outcome::Withdrawn));
                    }
                }
                Action::Throttle { inv, return_after } => {
                    // A redelivered one may have run elsewhere, which the module cannot know.
                    let elsewhere = self.invs.get(inv).is_some_and(|i| i.dispatch_until.is_some());
                    let fate = if elsewhere { Fate::Errored } else { Fate::Throttled };
                    let answer = Answer { return_after, ..Answer::bare(fate, Reason::GivenUp) };
                    self.give(inv, answer, out);
                    self.release(inv, out);
                }
                Action::Error { inv } => {
                    self.give(inv, Answer::bare(Fate::Errored, Reason::GivenUp), out);
                    self.release(inv, out);
                }
                Action::Order { worker, func, copies } => {
                    self.serial += 1;
                    let ticket = OrderTicket { worker, func, serial: self.serial };
                    let within = self.terms.order_answered_within;
                    let (account, copy_mb, ..) =
                        self.asked.get(func as usize).copied().unwrap_or((u32::MAX, 0.0, 1, 0));
                    self.tenure.hold(worker);
                    self.orders.insert(ticket, (self.now, copies > 0, account, copy_mb));
                    self.timer(self.now + within, Timer::Order(ticket));
                    self.counts.orders += u64::from(copies > 0);
                    if copies > 0 {
                        self.waits.ordered(func);
                    }
                    let function = self.names[func as usize].clone();
                    let term = self.term.clone();
                    out.push(Output::Order { ticket, function, account, copies, within, term });
                }
                Action::Unload { worker, func } => {
                    let function = self.names[func as usize].clone();
                    out.push(Output::Unload { worker, function, term: self.term.clone() });
                }
                Action::Probe { worker } => out.push(Output::Probe { worker }),
                Action::Timer { token, after } => self.timer(self.now + after, Timer::Module(token)),
                Action::AskList { .. } => out.push(Output::AskList),
                Action::Forget { func } => {
                    self.waits.forget(func);
                    self.met.remove(&func);
                    self.funcs.release(func);
                    self.names[func as usize] = Arc::from("");
                }
            }
        }
        for (ticket, outcome) in unsent {
            let (note, report) = (CopyNote::Untold, Report::default());
            self.dispatch_ended(ticket, outcome, note, None, report, None, Payload::default(), out);
        }
    }

    fn dispatch(
        &mut self,
        inv: InvIx,
        worker: WorkerIx,
        time_out: Option<Micros>,
        unsent: &mut Vec<(Ticket, Outcome)>,
        out: &mut Vec<Output>,
    ) {
        let (now, generation) = (self.now, self.invs.generation(inv));
        let Some(it) = self.invs.get_mut(inv) else { return };
        let ticket = Ticket { inv, dispatch: it.dispatches.len() as u32, generation };
        self.serial += 1;
        let sending = self.serial;
        let asks = it.part.as_ref().is_some_and(|p| p.need == Need::Held && p.stage == Stage::Goes);
        let leave = if asks { Leave::Asked } else { Leave::NotNeeded };
        it.dispatches.push(Dispatch { worker, at: now, state: Sent::Out, time_out, sending, leave });
        self.tenure.hold(worker);
        // An answer is out, or the workers no longer know its repeats: the module is told that it did not leave.
        if it.concluded || it.dispatch_until.is_some_and(|u| now >= u) {
            return unsent.push((ticket, Outcome::NotSent));
        }
        // Without a time-out of its own it ends when the client gives up.
        let time_left = it.gives_up_at - now;
        let (key, trigger) = (it.part.as_ref().map(|p| p.key.clone()), it.trigger as usize);
        if let Some(time_out) = time_out.filter(|&t| t < time_left) {
            self.timer(now + time_out, Timer::TimeOut(ticket));
        }
        let place = self.place(trigger, worker);
        match key {
            Some(key) if asks => {
                let alone = self.terms.sharing.as_ref().and_then(|s| s.alone.get(trigger)).copied();
                let alone = alone.unwrap_or(false);
                self.leaving.insert(sending, ticket);
                return out.push(Output::Group(Ask::Leave { key, sending, place, alone }));
            }
            Some(key) => out.push(Output::Group(Ask::Left { key, sending, place })),
            None => {}
        }
        self.send(ticket, out);
    }

    /// Which workers drop repeats of what goes to this one.
    fn place(&self, trigger: usize, worker: WorkerIx) -> u32 {
        let (zone, cell) = self.places.get(worker as usize).copied().unwrap_or_default();
        match self.triggers[trigger].effect {
            Effect::Tokened { group: RepeatGroup::Zone, .. } => zone,
            Effect::Tokened { group: RepeatGroup::Cell, .. } => cell,
            _ => 0,
        }
    }

    /// It leaves now.
    fn send(&mut self, ticket: Ticket, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(it) = self.invs.get(ticket.inv) else { return };
        let Some(d) = it.dispatches.get(ticket.dispatch as usize) else { return };
        let (time_left, waited) = (it.gives_up_at - now, now - d.at);
        let call = Call {
            mark: it.mark.clone(),
            token: it.token.clone(),
            time_left,
            waited_for: d.time_out.map_or(time_left, |t| (t - waited).clamp(0, time_left.max(0))),
            cost_hint: it.hints.0,
            load_hint: it.hints.1,
            copy_mb: it.copy_mb,
            lanes: it.lanes,
            session: it.session.clone(),
            body: it.body.clone(),
        };
        let (function, trigger, account) = (it.function.clone(), it.trigger, it.account);
        out.push(Output::Send { ticket, worker: d.worker, function, trigger, account, call });
        self.counts.dispatches += 1;
    }
}
