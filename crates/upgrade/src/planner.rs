//! One [`Planner`] for each router; what happens comes in at [`Planner::handle`], [`Planner::next_due`] says when
//! [`Input::Tick`] is wanted, and routers ask it where to send what begins.
//!
//! Mechanisms:
//! 1. The lowest member believed alive leads, by a ballot that a majority has promised; whoever led before is overtaken.
//! 2. A step is put before the majority first, and acted upon once it stands there.
//! 3. It acts for a lease from when its last confirmed step was put there. A new leader lets the old one's lease and its
//!    last orders pass first, so that no two act at once.

use std::collections::BTreeMap;
use std::mem;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;
use serde::Serialize;

use crate::Name;
use crate::acting::{Doing, Scene, need};
use crate::health::{Count, Health};
use crate::orders::Order;
use crate::plan::{Ballot, GoesBy, Phase, Plan, Region, Stage, function, key, model_of};
use crate::seen::WorkerSeen;

/// A clock may run faster or slower than another by so much of a lease: far more than any does.
const DRIFT: Micros = 10;
/// What waits is told to the log again only after so long, however often the reason changes.
const SAY_AGAIN: Micros = 10_000_000;
/// Models with an order or a plan; each costs a majority's round for every lease.
const MOST_MODELS: usize = 256;
/// A record of another release is looked at again after so long.
const STRANGE: Micros = 60_000_000;

#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// After its last step was put before a majority and agreed, it acts for so long on its own clock.
    pub lease: Micros,
    /// Between two looks at what is seen.
    pub pace: Micros,
    /// A majority answers within this, or is asked again.
    pub answer_within: Micros,
    /// An order has reached its worker within this, or never does.
    pub order_within: Micros,
    /// What a worker was seen to hold counts for so long.
    pub fresh: Micros,
    /// A session whose worker is gone is seen at another one within this, if it goes on; not below `fresh`.
    pub quiet: Micros,
    /// Of one plan, over all regions.
    pub loads_at_once: u32,
    /// A load that takes longer has failed.
    pub load_within: Micros,
    /// For so long a worker is left alone after a load that failed there; doubled with each further one.
    pub hold_back: Micros,
    /// Copies in use are renewed so often; well within the time after which idle ones are let go.
    pub renew: Micros,
    /// A plan can be read for so long before anything is done.
    pub shown_for: Micros,
    /// Canaries are watched for so long at least, and at most where too few invocations come to tell.
    pub canary_least: Micros,
    pub canary_most: Micros,
    /// A new version that is later is watched for so long before it goes back.
    pub paused_most: Micros,
    /// A member that is away for longer sends nothing anywhere any more.
    pub gone_after: Micros,
    /// The record of a plan that is over is written again so often; records are kept for twice as long at least.
    pub keep_again: Micros,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            // Two rounds to a majority fit in many times, and a dead leader is missed for no longer than a load takes.
            lease: 5_000_000,
            pace: 500_000,
            answer_within: 10_000_000,
            order_within: 3_000_000,
            fresh: 10_000_000,
            quiet: 15_000_000,
            // One more than the one that is under way while another one is waited for.
            loads_at_once: 2,
            load_within: 300_000_000,
            hold_back: 5_000_000,
            renew: 5_000_000,
            shown_for: 2_000_000,
            canary_least: 30_000_000,
            canary_most: 600_000_000,
            paused_most: 60_000_000,
            gone_after: 60_000_000,
            keep_again: 600_000_000,
        }
    }
}

/// What was seen has to outlast the slowest pace of asking by half: an ask is put off by chance, and its answer takes time.
const HALF: Micros = 2;
/// Renewals within the time after which an idle copy goes: some may be declined.
const RENEWALS: Micros = 4;

impl Terms {
    /// As they have to be where workers are asked that seldom at the slowest, and idle copies go after that time.
    pub fn beside(self, asked_within: Micros, idle_kept: Micros) -> Terms {
        let fresh = self
            .fresh
            .max(asked_within.saturating_add(asked_within / HALF));
        let quiet = self.quiet.max(fresh.saturating_add(fresh / HALF));
        Terms {
            fresh,
            quiet,
            renew: self.renew.min(idle_kept / RENEWALS).max(self.pace),
            ..self
        }
    }
}

/// What a majority said of what was asked under a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Leads { ballot: Ballot, last: Option<Bytes> },
    Written { ballot: Ballot },
    Overtaken,
    NoMajority,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// All of the operator's file, as it was read last.
    Orders(Vec<Order>),
    /// Whenever it changes. The names of all members' regions, as `alive` is ordered.
    Members {
        me: MemberIndex,
        alive: Vec<bool>,
        regions: Vec<Name>,
    },
    /// All workers that are known; whenever something of them changes, and once a second at least.
    Workers(Vec<WorkerSeen>),
    /// What a member, this one too, has seen of the versions of a model, and what it goes by
    /// ([`Planner::goes_by`]). Shared among all; told anew whenever one of them changes.
    Counted {
        member: MemberIndex,
        model: Name,
        goes_by: GoesBy,
        counts: Vec<Count>,
    },
    /// The answer to [`Output::Lead`] or [`Output::Write`].
    Decided {
        key: Name,
        outcome: Outcome,
    },
    /// What the shared state holds as accepted for a model: at start, and whenever it changes.
    PlanHeard {
        model: Name,
        ballot: Ballot,
        bytes: Bytes,
    },
    LoadEnded {
        worker: Name,
        function: Name,
        ok: bool,
    },
    Tick,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Ask a majority for the lead under this key.
    Lead { key: Name },
    Write {
        key: Name,
        ballot: Ballot,
        value: Bytes,
    },
    /// A copy is to be loaded there, or renewed. `like`: a function whose invocations are as this one's will be.
    Want {
        worker: Name,
        function: Name,
        like: Name,
        term: Name,
    },
    /// Idle copies are to go from there.
    Unwant {
        worker: Name,
        function: Name,
        term: Name,
    },
    /// For the operator.
    Log(String),
}

/// Where something goes that begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Way {
    pub function: Name,
    pub version: Name,
}

/// Copies that a plan answers for: nobody else is to take them for forgotten.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    pub function: Name,
    /// Of the plan's leader, as its orders say; absent where nobody leads yet.
    pub term: Option<Name>,
}

/// As an operator can read it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Shown {
    pub model: Name,
    pub from: Name,
    pub to: Name,
    pub serial: u64,
    pub step: u64,
    pub phase: Phase,
    pub leads: bool,
    pub term: Option<Name>,
    pub regions: Vec<ShownRegion>,
    /// Why it waits; empty where it does not.
    pub waits: String,
    pub next: String,
    pub reason: String,
    pub queued: Vec<u64>,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ShownRegion {
    pub region: Name,
    pub stage: Stage,
    pub part: u16,
    pub old_lanes: u32,
    pub new_lanes: u32,
    pub floor_lanes: u32,
    pub old_sessions: u32,
    pub over: bool,
}

#[derive(Clone, Debug)]
enum Lead {
    /// It may be asked for again then.
    Not {
        again: Micros,
    },
    Asked {
        at: Micros,
    },
    Leads(Box<Term>),
}

/// While this member leads.
#[derive(Clone, Debug)]
struct Term {
    ballot: Ballot,
    /// Before, whoever led last may still act.
    from: Micros,
    /// The last step that stands at a majority, and when it was put before it in this term.
    agreed: Option<Plan>,
    confirmed: Option<Micros>,
    writing: Option<Writing>,
}

#[derive(Clone, Debug)]
struct Writing {
    since: Micros,
    plan: Plan,
    log: String,
}

#[derive(Clone, Debug)]
struct Model {
    /// As routers go by it.
    ballot: Ballot,
    plan: Option<Plan>,
    heard: Micros,
    lead: Lead,
    /// The last term in which it led, and from when it may act.
    led: Option<(Ballot, Micros)>,
    doing: Doing,
    health: Health,
    said: String,
    said_at: Micros,
}

#[derive(Clone, Debug)]
pub struct Planner {
    terms: Terms,
    me: MemberIndex,
    alive: Vec<bool>,
    away: Vec<Micros>,
    regions: Vec<Name>,
    workers: Vec<WorkerSeen>,
    models: BTreeMap<Name, Model>,
    passed: Micros,
}

impl Model {
    fn new(now: Micros, terms: &Terms) -> Model {
        Model {
            ballot: Ballot::default(),
            plan: None,
            heard: now,
            lead: Lead::Not { again: now },
            led: None,
            doing: Doing::new(terms),
            health: Health::default(),
            said: String::new(),
            said_at: Micros::MIN,
        }
    }

    fn hear(&mut self, now: Micros, ballot: Ballot, plan: Plan, terms: &Terms) {
        let known = self.plan.as_ref().map(|p| (self.ballot, p.step));
        if known.is_some_and(|k| k >= (ballot, plan.step)) {
            return;
        }
        let old = self
            .plan
            .as_ref()
            .filter(|p| p.order.model == plan.order.model);
        let same = old.filter(|p| p.order.serial == plan.order.serial || plan.back());
        if same.is_none() {
            self.health.anew();
            let (orders, goes_by) = (
                mem::take(&mut self.doing.orders),
                mem::take(&mut self.doing.goes_by),
            );
            self.doing = Doing {
                orders,
                goes_by,
                phase_since: now,
                ..Doing::new(terms)
            };
        }
        if let Some(p) = same.filter(|p| p.phase != plan.phase) {
            self.doing.phase_since = now;
            if Phase::Paused == p.phase || Phase::Paused == plan.phase || p.phase == Phase::Waiting
            {
                self.health.anew();
            }
        }
        for r in &plan.regions {
            let was = same.and_then(|p| p.region(&r.name));
            if was.is_none_or(|w| (w.stage, w.part > 0) != (r.stage, r.part > 0)) {
                self.doing.since.insert(r.name.clone(), now);
            }
        }
        (self.ballot, self.plan, self.heard) = (ballot, Some(plan), now);
    }

    /// Somebody has to lead: something is to be begun, under way, or to be kept from being forgotten.
    fn has_work(&self, now: Micros, terms: &Terms) -> bool {
        let later = |p: &Plan| {
            let new = |o: &Order| o.serial > p.order.serial && !o.withdrawn;
            !p.queued.is_empty() || self.doing.orders.iter().any(new)
        };
        match &self.plan {
            None => self.doing.orders.iter().any(|o| !o.withdrawn),
            Some(p) if p.phase.is_over() => {
                !p.settled || later(p) || now - self.heard >= terms.keep_again
            }
            Some(_) => true,
        }
    }

    fn stops_leading(&mut self, again: Micros) {
        self.lead = Lead::Not { again };
    }

    fn decided(&mut self, now: Micros, outcome: Outcome, terms: &Terms, out: &mut Vec<Output>) {
        let again = now.saturating_add(terms.lease / 2);
        match (outcome, &mut self.lead) {
            (Outcome::Leads { ballot, last }, Lead::Asked { .. }) => {
                let read = last.as_deref().map(Plan::read);
                if let Some(None) = read {
                    out.push(Output::Log(
                        "its record is of another release; it is left alone".into(),
                    ));
                    return self.stops_leading(now.saturating_add(STRANGE));
                }
                let agreed = read.flatten();
                // Symptom: two leaders each let one copy go, and together they undercut the floor.
                let wait = terms.lease + terms.lease / DRIFT + terms.order_within;
                // No step of somebody else has been agreed since its own: nobody else may act.
                let own = self
                    .led
                    .filter(|(ballot, _)| agreed.as_ref().is_some_and(|p| p.by == *ballot));
                let from = match (&agreed, own) {
                    (Some(p), None) if !p.phase.is_over() => now + wait,
                    (_, own) => own.map_or(now, |(_, from)| from),
                };
                self.led = Some((ballot, from));
                self.doing.acts_since = now.max(from);
                self.lead = Lead::Leads(Box::new(Term {
                    ballot,
                    from,
                    agreed,
                    confirmed: None,
                    writing: None,
                }));
            }
            (Outcome::Written { ballot }, Lead::Leads(term)) if ballot == term.ballot => {
                let Some(w) = term.writing.take() else { return };
                (term.confirmed, term.agreed) = (Some(w.since), Some(w.plan.clone()));
                if !w.log.is_empty() {
                    out.push(Output::Log(format!("step {}: {}", w.plan.step, w.log)));
                }
                self.hear(now, ballot, w.plan, terms);
            }
            (Outcome::Overtaken | Outcome::NoMajority, _) => self.stops_leading(again),
            _ => {}
        }
    }

    fn pass(&mut self, name: &Name, s: &Scene, me: MemberIndex, out: &mut Vec<Output>) {
        let (now, terms) = (s.now, s.terms);
        let lowest = s.alive.iter().position(|a| *a);
        if lowest != Some(me as usize) {
            if !matches!(self.lead, Lead::Not { .. }) {
                self.stops_leading(now);
            }
            return self.doing.waits.clear();
        }
        if let Lead::Leads(term) = &self.lead
            && self.ballot > term.ballot
        {
            self.stops_leading(now.saturating_add(terms.lease / 2));
        }
        match &self.lead {
            Lead::Not { again } if now >= *again && self.has_work(now, terms) => {
                self.lead = Lead::Asked { at: now };
                out.push(Output::Lead { key: key(name) });
            }
            Lead::Asked { at } if now - at > terms.answer_within => self.stops_leading(now),
            _ => {}
        }
        if matches!(&self.lead, Lead::Leads(t) if t.writing.as_ref().is_some_and(|w| now - w.since > terms.answer_within))
        {
            self.stops_leading(now);
        }
        match mem::replace(&mut self.lead, Lead::Not { again: now }) {
            Lead::Leads(mut term) => {
                self.leads(name, s, &mut term, out);
                self.lead = Lead::Leads(term);
            }
            other => self.lead = other,
        }
    }

    fn leads(&mut self, name: &Name, s: &Scene, term: &mut Term, out: &mut Vec<Output>) {
        let (now, terms) = (s.now, s.terms);
        if term.writing.is_some() {
            return;
        }
        self.doing.loads.look(now, s.workers, terms);
        self.doing.unloads.look(s.workers, terms);
        (self.doing.verdict, self.doing.compared) =
            (Some(self.health.says()), self.health.compared());
        let Some(plan) = term.agreed.clone() else {
            if let Some((plan, log)) = self.doing.first(s, None) {
                write(name, now, term, plan, log, out);
            }
            return;
        };
        let left = term
            .confirmed
            .map_or(0, |at| at.saturating_add(terms.lease) - now);
        if left <= 0 && !plan.settled && (!plan.phase.is_over() || term.confirmed.is_none()) {
            return write(
                name,
                now,
                term,
                Plan {
                    step: plan.step + 1,
                    ..plan
                },
                String::new(),
                out,
            );
        }
        self.doing.waits.clear();
        if now < term.from {
            self.doing.waits = "whoever led before may still act".into();
        } else if let Some((next, log)) = self.doing.next(s, term.ballot, &plan) {
            return write(name, now, term, next, log, out);
        } else {
            self.doing.tend(s, term.ballot, &plan, out);
        }
        let old = if plan.phase.is_over() {
            now - self.heard >= terms.keep_again
        } else {
            left <= terms.lease / 2
        };
        if old {
            write(
                name,
                now,
                term,
                Plan {
                    step: plan.step + 1,
                    ..plan
                },
                String::new(),
                out,
            );
        }
    }
}

fn write(
    name: &Name,
    now: Micros,
    term: &mut Term,
    mut plan: Plan,
    log: String,
    out: &mut Vec<Output>,
) {
    plan.by = term.ballot;
    out.push(Output::Write {
        key: key(name),
        ballot: term.ballot,
        value: plan.bytes(),
    });
    term.writing = Some(Writing {
        since: now,
        plan,
        log,
    });
}

fn is_let_go(region: &Region) -> bool {
    region.over && region.stage == Stage::Draining
}

impl Planner {
    pub fn new(terms: Terms) -> Planner {
        Planner {
            terms,
            me: 0,
            alive: Vec::new(),
            away: Vec::new(),
            regions: Vec::new(),
            workers: Vec::new(),
            models: BTreeMap::new(),
            passed: Micros::MIN,
        }
    }

    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Orders(orders) => self.ordered(now, orders),
            Input::Members { me, alive, regions } => {
                let was = mem::replace(&mut self.alive, alive);
                self.away.resize(self.alive.len(), now);
                for (m, away) in self.away.iter_mut().enumerate() {
                    if was.get(m) != self.alive.get(m) {
                        *away = now;
                    }
                }
                (self.me, self.regions) = (me, regions);
            }
            Input::Workers(workers) => self.workers = workers,
            Input::Counted {
                member,
                model,
                goes_by,
                counts,
            } => {
                if let Some(m) = self.model(now, &model) {
                    m.doing.goes_by.insert(member, goes_by);
                    let versions = m
                        .plan
                        .as_ref()
                        .map(|p| (p.order.from.clone(), p.order.to.clone()));
                    let (old, new) = versions.unwrap_or_default();
                    m.health.hear(member, counts, &old, &new);
                }
            }
            Input::Decided { key, outcome } => {
                let terms = self.terms.clone();
                if let Some(m) = model_of(&key).and_then(|model| self.models.get_mut(model)) {
                    m.decided(now, outcome, &terms, out);
                }
            }
            Input::PlanHeard {
                model,
                ballot,
                bytes,
            } => {
                let (terms, plan) = (self.terms.clone(), Plan::read(&bytes));
                if let (Some(plan), Some(m)) = (plan, self.model(now, &model)) {
                    m.hear(now, ballot, plan, &terms);
                }
            }
            Input::LoadEnded {
                worker,
                function,
                ok,
            } => {
                for m in self.models.values_mut() {
                    m.doing
                        .loads
                        .ended(now, &worker, &function, ok, &self.terms);
                }
            }
            Input::Tick => {}
        }
        self.pass(now, out);
    }

    fn model(&mut self, now: Micros, name: &Name) -> Option<&mut Model> {
        if self.models.len() >= MOST_MODELS && !self.models.contains_key(name) {
            return None;
        }
        Some(
            self.models
                .entry(name.clone())
                .or_insert_with(|| Model::new(now, &self.terms)),
        )
    }

    fn ordered(&mut self, now: Micros, orders: Vec<Order>) {
        for m in self.models.values_mut() {
            m.doing.orders.clear();
        }
        for order in orders {
            if let Some(m) = self.model(now, &order.model.clone()) {
                m.doing.orders.push(order);
            }
        }
    }

    fn pass(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.passed = now;
        let mut models = mem::take(&mut self.models);
        let scene = Scene {
            now,
            terms: &self.terms,
            workers: &self.workers,
            alive: &self.alive,
            away: &self.away,
            regions: &self.regions,
        };
        for (name, m) in &mut models {
            m.pass(name, &scene, self.me, out);
            if m.doing.waits != m.said && now.saturating_sub(m.said_at) >= SAY_AGAIN {
                (m.said, m.said_at) = (m.doing.waits.clone(), now);
                if !m.said.is_empty() {
                    out.push(Output::Log(format!("{name} waits: {}", m.said)));
                }
            }
        }
        self.models = models;
    }

    /// When [`Input::Tick`] is wanted.
    pub fn next_due(&self) -> Micros {
        let lowest = self.alive.iter().position(|a| *a) == Some(self.me as usize);
        let works =
            |m: &Model| m.has_work(self.passed, &self.terms) || !matches!(m.lead, Lead::Not { .. });
        if lowest && self.models.values().any(works) {
            return self.passed.saturating_add(self.terms.pace);
        }
        let over = |m: &Model| {
            m.plan
                .as_ref()
                .map(|_| m.heard.saturating_add(self.terms.keep_again))
        };
        let kept = self
            .models
            .values()
            .filter_map(over)
            .min()
            .filter(|_| lowest);
        kept.unwrap_or(Micros::MAX)
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    fn plan(&self, model: &str) -> Option<&Plan> {
        self.models.get(model)?.plan.as_ref()
    }

    /// Models with a plan here; the others are left alone.
    pub fn models(&self) -> impl Iterator<Item = &Name> {
        self.models
            .iter()
            .filter(|(_, m)| m.plan.is_some())
            .map(|(name, _)| name)
    }

    /// What this router goes by, for [`Input::Counted`].
    pub fn goes_by(&self, model: &str) -> GoesBy {
        let of = |m: &Model| {
            Some(GoesBy {
                ballot: m.ballot,
                step: m.plan.as_ref()?.step,
            })
        };
        self.models.get(model).and_then(of).unwrap_or_default()
    }

    /// Where something goes that begins and names no version. Absent: there is no plan, it goes as it came. `draw`:
    /// chance, of the whole range.
    pub fn goes_to(&self, model: &str, region: &str, draw: u64, session: bool) -> Option<Way> {
        let version = self.plan(model)?.version(region, draw, session);
        Some(Way {
            function: function(model, version),
            version: version.clone(),
        })
    }

    /// A majority has to say to which version a session belongs before its first dispatch from here. Once all routers
    /// know that a plan is over, only for those that do not begin: they may have begun while it was under way.
    pub fn wants_binding(&self, model: &str, begins: bool) -> bool {
        self.plan(model).is_some_and(|p| !p.settled || !begins)
    }

    /// The version to propose for a session: one that does not begin and has no record was there before the plan.
    pub fn proposes(&self, model: &str, region: &str, draw: u64, begins: bool) -> Option<Name> {
        let plan = self.plan(model)?;
        let version = match begins || plan.phase.is_over() {
            true => plan.version(region, draw, true),
            false => &plan.order.from,
        };
        Some(version.clone())
    }

    /// Copies of this version are let go in this member's region, whoever uses them.
    pub fn over(&self, model: &str, version: &str) -> bool {
        let here = |plan: &Plan| {
            self.regions
                .get(self.me as usize)
                .and_then(|r| plan.region(r))
                .is_some_and(is_let_go)
        };
        self.is_out(model, version, here)
    }

    /// Sessions of this version are answered that they are over, as no region keeps copies for them any more. Symptom:
    /// routers take from one queue, and dispatch to all regions; sessions that had begun a moment ago where the version
    /// still served were over, as a turn came to a router of a region past its limit, or went to a worker there.
    pub fn sessions_over(&self, model: &str, version: &str) -> bool {
        let all = |plan: &Plan| {
            plan.regions
                .iter()
                .all(|r| r.stage == Stage::Done || is_let_go(r))
        };
        self.is_out(model, version, all)
    }

    fn is_out(&self, model: &str, version: &str, regions: impl Fn(&Plan) -> bool) -> bool {
        let Some(plan) = self.plan(model).filter(|p| **p.versions().0 == *version) else {
            return false;
        };
        matches!(plan.phase, Phase::Done | Phase::RolledBack) || regions(plan)
    }

    /// What nobody is to unload as forgotten.
    pub fn claims(&self) -> Vec<Claim> {
        let mut claims = Vec::new();
        for (model, m) in &self.models {
            let Some(plan) = &m.plan else { continue };
            let (goes, comes) = plan.versions();
            let stays = !plan.phase.is_over();
            for version in [Some(comes), Some(goes).filter(|_| stays)]
                .into_iter()
                .flatten()
            {
                claims.push(Claim {
                    function: function(model, version),
                    term: Some(m.ballot.term()),
                });
            }
        }
        claims
    }

    /// For `GET /state`.
    pub fn shown(&self) -> Vec<Shown> {
        self.models
            .iter()
            .filter_map(|(name, m)| self.shown_of(name, m))
            .collect()
    }

    fn shown_of(&self, name: &Name, m: &Model) -> Option<Shown> {
        let plan = m.plan.as_ref()?;
        let o = &plan.order;
        let scene = Scene {
            now: self.passed,
            terms: &self.terms,
            workers: &self.workers,
            alive: &self.alive,
            away: &self.away,
            regions: &self.regions,
        };
        let (old, new) = (function(name, &o.from), function(name, &o.to));
        let region = |r: &crate::plan::Region| {
            let was = m.doing.stands(&scene, &r.name, &old);
            ShownRegion {
                region: r.name.clone(),
                stage: r.stage,
                part: r.part,
                old_lanes: was.lanes,
                new_lanes: m.doing.stands(&scene, &r.name, &new).lanes,
                floor_lanes: need(plan, r),
                old_sessions: was.sessions,
                over: r.over,
            }
        };
        let leads = matches!(m.lead, Lead::Leads(_));
        Some(Shown {
            model: name.clone(),
            from: o.from.clone(),
            to: o.to.clone(),
            serial: o.serial,
            step: plan.step,
            phase: plan.phase,
            leads,
            term: Some(m.ballot.term()),
            regions: plan.regions.iter().map(region).collect(),
            waits: if leads || plan.phase.is_over() {
                m.doing.waits.clone()
            } else {
                "another member leads".into()
            },
            next: plan.then(),
            reason: plan.reason.clone(),
            queued: plan.queued.iter().map(|q| q.serial).collect(),
        })
    }
}
