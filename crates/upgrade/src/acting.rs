//! What a leader does about one plan: the next step it wants agreed ([`Doing::next`]), and what it orders by the last
//! one that was ([`Doing::tend`]). Nothing here changes a plan but by a step that goes to the majority first.
//!
//! Mechanisms:
//! 1. One rule for both directions: rolling back is the same work with old and new exchanged.
//! 2. What stands for what begins: old lanes while nothing goes to the new version, new ones while all does, both between.
//!    No order to go is given that would take it below the floor.
//! 3. Where both versions do not fit, old copies that nobody uses give way one at a time; then what begins goes to both,
//!    by their lanes.
//! 4. Old copies of a region go for good once all its routers go by a step that sends nothing there, and no session is
//!    left or the limit is past.
//! 5. A region whose routers are all away is left as it is.

use std::collections::BTreeMap;
use std::mem;

use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use crate::Name;
use crate::health::{ENOUGH, Verdict};
use crate::loads::{Loads, Unloads};
use crate::orders::Order;
use crate::plan::{Ballot, GoesBy, Phase, Plan, Region, Stage, WHOLE, function};
use crate::planner::{Output, Terms};
use crate::seen::{Held, Stands, WorkerSeen};

/// Canaries that fail to load so often in a row, at changing workers, are not the workers' fault.
const MOST_FAILS: u32 = 6;
/// A copy that is asked for by its name comes back however often it is told to go.
const MOST_TRIES: u32 = 5;
/// The part that goes to the new version follows the lanes in steps of this size: each is a step of the plan.
const PART_STEP: u16 = 100;
/// A model that has more orders waiting than this is not upgraded but played with.
pub(crate) const MOST_QUEUED: usize = 8;

/// What is known beside the plan.
pub(crate) struct Scene<'a> {
    pub now: Micros,
    pub terms: &'a Terms,
    pub workers: &'a [WorkerSeen],
    pub alive: &'a [bool],
    /// Since when a member is believed away.
    pub away: &'a [Micros],
    pub regions: &'a [Name],
}

impl Scene<'_> {
    fn fresh(&self, w: &WorkerSeen) -> bool {
        self.now.saturating_sub(w.seen_at) <= self.terms.fresh
    }

    fn of<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a WorkerSeen> {
        self.workers.iter().filter(move |w| *w.region == *region)
    }

    fn all_seen(&self, region: &str) -> bool {
        self.of(region).all(|w| self.fresh(w))
    }

    fn members<'a>(&'a self, region: &'a str) -> impl Iterator<Item = usize> + 'a {
        (0..self.regions.len()).filter(move |m| *self.regions[*m] == *region)
    }

    fn lives(&self, member: usize) -> bool {
        self.alive.get(member).is_some_and(|a| *a)
    }

    /// It has routers, and none of them is heard of.
    fn is_cut(&self, region: &str) -> bool {
        let mut members = self.members(region).peekable();
        members.peek().is_some() && members.all(|m| !self.lives(m))
    }
}

/// What a leader keeps of one model beside the plan; all of it can be lost.
#[derive(Clone, Debug, Default)]
pub(crate) struct Doing {
    pub orders: Vec<Order>,
    pub loads: Loads,
    pub unloads: Unloads,
    pub renewals: BTreeMap<(Name, Name), Micros>,
    pub goes_by: BTreeMap<MemberIndex, GoesBy>,
    pub verdict: Option<Verdict>,
    pub compared: u64,
    /// Since when each region is as it is, and the phase, by this router's clock.
    pub since: BTreeMap<Name, Micros>,
    pub phase_since: Micros,
    /// Since when this member leads and may act.
    pub acts_since: Micros,
    /// When sessions were last seen on copies that go, or all routers first knew that nothing goes there any more; by
    /// region, with the step that said so.
    pub used: BTreeMap<Name, (u64, Micros)>,
    pub waits: String,
}

/// A region in the direction of the plan: what goes, what comes.
struct Side<'a> {
    region: &'a Region,
    goes: Name,
    comes: Name,
    /// Of what begins, to the one that comes.
    part: u16,
    went: Stands,
    came: Stands,
    need: u32,
}

impl Side<'_> {
    /// Lanes for what begins.
    fn usable(&self) -> u32 {
        match self.part {
            0 => self.went.lanes,
            WHOLE => self.came.lanes,
            _ => self.went.lanes + self.came.lanes,
        }
    }
}

pub(crate) fn need(plan: &Plan, region: &Region) -> u32 {
    let lanes =
        (u64::from(region.base) * u64::from(plan.order.floor)).div_ceil(u64::from(WHOLE)) as u32;
    // What had lanes has one at least: nothing is sent where nothing stands.
    lanes.max(u32::from(region.base > 0))
}

fn to(plan: &Plan, part: u16) -> u16 {
    if plan.back() { WHOLE - part } else { part }
}

impl Doing {
    pub fn new(terms: &Terms) -> Doing {
        Doing {
            loads: Loads::new(terms),
            ..Doing::default()
        }
    }

    fn wait(&mut self, why: String) {
        if self.waits.is_empty() {
            self.waits = why;
        }
    }

    pub fn stands(&self, s: &Scene, region: &str, function: &Name) -> Stands {
        let mut sum = Stands::default();
        for w in s.of(region) {
            let Some(h) = w.held(function) else { continue };
            sum.loading += u32::from(h.loading);
            sum.copies += h.copies;
            sum.sessions += h.sessions;
            if s.fresh(w) && w.takes_new && !self.unloads.is_under_way(w, function, s.terms) {
                sum.lanes += h.lanes;
            }
        }
        sum
    }

    fn side<'a>(&self, s: &Scene, plan: &Plan, region: &'a Region) -> Side<'a> {
        let (goes, comes) = plan.versions();
        let (goes, comes) = (
            function(&plan.order.model, goes),
            function(&plan.order.model, comes),
        );
        let (went, came) = (
            self.stands(s, &region.name, &goes),
            self.stands(s, &region.name, &comes),
        );
        Side {
            region,
            went,
            came,
            part: to(plan, region.part),
            need: need(plan, region),
            goes,
            comes,
        }
    }

    /// All routers of the region go by a step of this leader that has what was changed there last. One that is away for
    /// long is over.
    fn heard(&mut self, s: &Scene, ballot: Ballot, region: &Region) -> bool {
        let wanted = GoesBy {
            ballot,
            step: region.changed,
        };
        for m in s.members(&region.name) {
            let has = self
                .goes_by
                .get(&(m as MemberIndex))
                .is_some_and(|g| *g >= wanted);
            let over = !s.lives(m)
                && s.now - s.away.get(m).copied().unwrap_or(s.now) >= s.terms.gone_after;
            if !has && !over {
                self.wait(format!(
                    "{}: member {m} goes by an earlier step",
                    region.name
                ));
                return false;
            }
        }
        true
    }

    /// Symptom: the plan was without a leader for a while, or copies were not used for a while, and what is counted on goes
    /// for idleness. What was seen after this leader's first renewals there has been renewed.
    fn renewed(&self, s: &Scene, region: &Region) -> bool {
        let began = self
            .since
            .get(&region.name)
            .copied()
            .unwrap_or(s.now)
            .max(self.acts_since);
        let after = began.saturating_add(s.terms.order_within);
        s.of(&region.name)
            .all(|w| !w.takes_new || w.seen_at > after)
    }

    /// Every router of the group goes by a step of this leader, that one or a later one.
    fn all_heard(&mut self, s: &Scene, wanted: GoesBy) -> bool {
        let has = |m: &usize| {
            self.goes_by
                .get(&(*m as MemberIndex))
                .is_some_and(|g| *g >= wanted)
        };
        let lacks = (0..s.alive.len()).find(|m| !has(m));
        if let Some(m) = lacks {
            self.wait(format!("member {m} has not heard of it"));
        }
        lacks.is_none()
    }

    fn since(&self, s: &Scene, region: &Region) -> Micros {
        s.now - self.since.get(&region.name).copied().unwrap_or(s.now)
    }

    fn copy_mb(s: &Scene, plan: &Plan, function: &Name, other: &Name) -> u32 {
        let seen = |f: &Name| {
            s.workers
                .iter()
                .filter_map(|w| w.stands(f))
                .map(|h| h.copy_mb)
                .max()
                .filter(|mb| *mb > 0)
        };
        let said = Some(plan.order.copy_mb).filter(|mb| *mb > 0);
        seen(function).or(said).or_else(|| seen(other)).unwrap_or(0)
    }

    fn lanes_of(s: &Scene, function: &Name, other: &Name) -> u32 {
        let of = |f: &Name| {
            s.workers
                .iter()
                .filter_map(|w| w.stands(f))
                .map(|h| h.lanes / h.copies)
                .max()
        };
        of(function).or_else(|| of(other)).unwrap_or(1).max(1)
    }

    // ---- steps ----

    /// The orders of the file that come after what the plan knows.
    fn later<'a>(&'a self, plan: &'a Plan) -> impl Iterator<Item = &'a Order> {
        let new = |o: &&Order| o.serial > plan.order.serial && !o.withdrawn;
        self.orders.iter().filter(new)
    }

    /// A plan for an order, as it is before anything is done.
    pub fn first(&mut self, s: &Scene, before: Option<&Plan>) -> Option<(Plan, String)> {
        let queued: Vec<Order> = before.map(|p| p.queued.clone()).unwrap_or_default();
        let serial = before.map_or(0, |p| p.order.serial);
        let mut all: Vec<&Order> = queued
            .iter()
            .chain(self.orders.iter().filter(|o| !o.withdrawn))
            .collect();
        all.retain(|o| o.serial > serial || before.is_none());
        all.retain(|o| {
            !self
                .orders
                .iter()
                .any(|f| f.serial == o.serial && f.withdrawn)
        });
        let order = all.into_iter().min_by_key(|o| o.serial)?.clone();
        let stands = before.map(|p| {
            if p.phase == Phase::Done {
                &p.order.to
            } else {
                &p.order.from
            }
        });
        if let Some(stands) = stands.filter(|v| **v != order.from) {
            let goes = if stands.is_empty() {
                "copies without a version"
            } else {
                stands
            };
            self.wait(format!(
                "order {} is from '{}', but what begins goes to {goes}",
                order.serial, order.from
            ));
            return None;
        }
        let mut names: Vec<Name> = s.workers.iter().map(|w| w.region.clone()).collect();
        names.sort();
        names.dedup();
        if names.is_empty() {
            self.wait("no worker is known".into());
            return None;
        }
        let step = before.map_or(1, |p| p.step + 1);
        let regions = names
            .into_iter()
            .map(|name| self.region(s, &order, name, step))
            .collect();
        let queued = queued
            .into_iter()
            .filter(|o| o.serial > order.serial)
            .collect();
        let log = format!("order {} is taken", order.serial);
        let (phase, reason, settled) = (Phase::Waiting, String::new(), false);
        let by = Ballot::default();
        Some((
            Plan {
                step,
                by,
                order,
                phase,
                regions,
                queued,
                reason,
                settled,
            },
            log,
        ))
    }

    fn region(&self, s: &Scene, order: &Order, name: Name, step: u64) -> Region {
        let base = self
            .stands(s, &name, &function(&order.model, &order.from))
            .lanes;
        Region {
            name,
            base,
            part: 0,
            stage: Stage::Before,
            over: false,
            changed: step,
        }
    }

    pub fn next(&mut self, s: &Scene, ballot: Ballot, plan: &Plan) -> Option<(Plan, String)> {
        if plan.phase.is_over() && !plan.settled {
            let settled = self.all_heard(
                s,
                GoesBy {
                    ballot,
                    step: plan.step,
                },
            );
            let log = String::from("all routers know that it is over");
            return settled.then(|| {
                (
                    Plan {
                        step: plan.step + 1,
                        settled,
                        ..plan.clone()
                    },
                    log,
                )
            });
        }
        if plan.phase.is_over() {
            return self.first(s, Some(plan));
        }
        let mut new = Plan {
            step: plan.step + 1,
            ..plan.clone()
        };
        if let Some(log) = self.operator(s, plan, &mut new) {
            return Some((new, log));
        }
        if !plan.back()
            && plan.phase != Phase::Waiting
            && let Some(w) = s.workers.iter().find(|w| plan.region(&w.region).is_none())
        {
            new.regions
                .push(self.region(s, &plan.order, w.region.clone(), new.step));
            return Some((new, format!("region {} is new", w.region)));
        }
        let log = match plan.phase {
            Phase::Waiting => self.begin(s, ballot, plan, &mut new),
            Phase::Canary => self
                .worse(s, &mut new)
                .or_else(|| self.canary(s, plan, &mut new)),
            Phase::Rolling => self
                .worse(s, &mut new)
                .or_else(|| self.roll(s, ballot, plan, &mut new)),
            Phase::Paused => self.paused(s, plan, &mut new),
            Phase::Back => self.roll(s, ballot, plan, &mut new),
            Phase::Done | Phase::RolledBack | Phase::Ended => None,
        }?;
        Some((new, log))
    }

    /// What the file says by now.
    fn operator(&self, s: &Scene, plan: &Plan, new: &mut Plan) -> Option<String> {
        let o = &plan.order;
        let withdrawn = |serial| {
            self.orders
                .iter()
                .any(|f| f.serial == serial && f.withdrawn)
        };
        new.queued.retain(|q| !withdrawn(q.serial));
        for later in self.later(plan) {
            if new.queued.len() < MOST_QUEUED && new.queued.iter().all(|q| q.serial != later.serial)
            {
                new.queued.push(later.clone());
            }
        }
        new.queued.sort_by_key(|q| q.serial);
        let reverse = new
            .queued
            .first()
            .filter(|q| (&q.from, &q.to) == (&o.to, &o.from));
        let taken_back = match reverse {
            _ if plan.back() => None,
            _ if withdrawn(o.serial) => Some("the order was withdrawn".to_owned()),
            Some(q) => Some(format!("order {} takes it back", q.serial)),
            None => None,
        };
        if let Some(reason) = taken_back {
            if !withdrawn(o.serial) {
                new.order.serial = new.queued.remove(0).serial;
            }
            return Some(self.turn(s, new, reason));
        }
        (new.queued != plan.queued).then(|| {
            let serials: Vec<u64> = new.queued.iter().map(|q| q.serial).collect();
            format!("orders {serials:?} wait for its end")
        })
    }

    /// The other way round. What is usable stays usable: where too few old lanes are left, they are loaded first, and where
    /// they were no longer used, renewed first.
    fn turn(&self, s: &Scene, new: &mut Plan, reason: String) -> String {
        let before = new.clone();
        new.reason = reason;
        if before.phase == Phase::Waiting {
            new.phase = Phase::Ended;
            return format!("ended before it began: {}", new.reason);
        }
        new.phase = Phase::Back;
        for (r, was) in new.regions.iter_mut().zip(&before.regions) {
            let side = self.side(s, &before, was);
            r.over = false;
            if was.stage == Stage::Before && was.part == 0 && side.came.copies == 0 {
                r.stage = Stage::Done;
            } else if was.part == 0 || was.part < WHOLE && side.went.lanes >= side.need {
                (r.stage, r.part, r.changed) = (Stage::Draining, 0, before.step);
            } else {
                r.stage = Stage::Loading;
            }
        }
        format!("goes back: {}", new.reason)
    }

    fn begin(&mut self, s: &Scene, ballot: Ballot, plan: &Plan, new: &mut Plan) -> Option<String> {
        if s.now - self.phase_since < s.terms.shown_for {
            self.wait("it is shown before it begins".into());
            return None;
        }
        if let Some(w) = s.workers.iter().find(|w| w.takes_new && !s.fresh(w)) {
            self.wait(format!("worker {} was not seen for a while", w.name));
            return None;
        }
        if let Some(r) = plan.regions.iter().find(|r| s.is_cut(&r.name)) {
            self.wait(format!("region {} is cut off", r.name));
            return None;
        }
        // Symptom: a router that knows of no plan sends a session's later invocations to another version.
        if !self.all_heard(s, GoesBy { ballot, step: 0 }) {
            return None;
        }
        let mut names: Vec<Name> = s.workers.iter().map(|w| w.region.clone()).collect();
        names.sort();
        names.dedup();
        new.regions = names
            .into_iter()
            .map(|n| self.region(s, &plan.order, n, new.step))
            .collect();
        let plain = Name::from(&*plan.order.model);
        let lanes: u32 = new.regions.iter().map(|r| r.base).sum();
        if lanes == 0
            && new
                .regions
                .iter()
                .any(|r| self.stands(s, &r.name, &plain).lanes > 0)
        {
            self.wait(format!(
                "no copy of version '{}' stands, but copies without one do",
                plan.order.from
            ));
            return None;
        }
        new.phase = Phase::Canary;
        Some(format!("begins with {} canaries", plan.order.canary))
    }

    fn worse(&mut self, s: &Scene, new: &mut Plan) -> Option<String> {
        match self.verdict {
            Some(Verdict::Errors) => Some(self.turn(s, new, "the new version errs more".into())),
            Some(Verdict::Late) => {
                (new.phase, new.reason) = (Phase::Paused, "the new version is later".into());
                Some("pauses: the new version is later".into())
            }
            _ => None,
        }
    }

    fn canary(&mut self, s: &Scene, plan: &Plan, new: &mut Plan) -> Option<String> {
        let r = plan.regions.first()?;
        let side = self.side(s, plan, r);
        if self.loads.fails >= MOST_FAILS {
            return Some(self.turn(s, new, "no worker loads the new version".into()));
        }
        if s.is_cut(&r.name) {
            self.wait(format!("region {} is cut off", r.name));
            return None;
        }
        let region = new.regions.first_mut()?;
        let stand = side.came.copies >= plan.order.canary;
        if r.part == 0 && !stand && self.past_limit(s, plan, &side) {
            region.over = true;
            return Some(format!(
                "region {}: the limit is past, an old copy with sessions gives way",
                r.name
            ));
        }
        if r.part == 0 && !stand {
            self.wait(format!(
                "{} of {} canaries stand",
                side.came.copies, plan.order.canary
            ));
            return None;
        }
        if r.part == 0 && plan.order.canary_part > 0 {
            (region.part, region.changed) = (plan.order.canary_part.min(WHOLE - 1), new.step);
            return Some(format!("canaries stand, and get {} in 1000", region.part));
        }
        let (since, enough) = (self.since(s, r), self.compared >= ENOUGH);
        let long = since >= s.terms.canary_most;
        if long || enough && since >= s.terms.canary_least && self.verdict == Some(Verdict::Alike) {
            new.phase = Phase::Rolling;
            region.stage = Stage::Loading;
            let because = if enough {
                "were as good as the old version"
            } else {
                "had long enough"
            };
            return Some(format!("canaries {because}; region {} is next", r.name));
        }
        self.wait(format!(
            "{} of {ENOUGH} invocations of the canaries were compared",
            self.compared
        ));
        None
    }

    fn paused(&mut self, s: &Scene, plan: &Plan, new: &mut Plan) -> Option<String> {
        match self.verdict {
            Some(Verdict::Errors) => {
                return Some(self.turn(s, new, "the new version errs more".into()));
            }
            Some(Verdict::Alike) => {
                let began = plan.regions.iter().any(|r| r.stage != Stage::Before);
                new.phase = if began { Phase::Rolling } else { Phase::Canary };
                new.reason.clear();
                return Some("goes on: the new version is no later by now".into());
            }
            _ => {}
        }
        if s.now - self.phase_since >= s.terms.paused_most {
            return Some(self.turn(s, new, "the new version stayed later".into()));
        }
        self.wait("the new version was later; watched for a while".into());
        None
    }

    fn roll(&mut self, s: &Scene, ballot: Ballot, plan: &Plan, new: &mut Plan) -> Option<String> {
        let left: Vec<usize> = (0..plan.regions.len())
            .filter(|r| plan.regions[*r].stage != Stage::Done)
            .collect();
        let Some(&first) = left.first() else {
            let back = plan.back();
            new.phase = if back { Phase::RolledBack } else { Phase::Done };
            return Some(if back {
                "is rolled back".into()
            } else {
                "is done".into()
            });
        };
        if plan.regions[first].stage == Stage::Before {
            if s.is_cut(&plan.regions[first].name) {
                self.wait(format!("region {} is cut off", plan.regions[first].name));
                return None;
            }
            new.regions[first].stage = Stage::Loading;
            return Some(format!("region {} is next", plan.regions[first].name));
        }
        // One region after the other forwards; the way back is for all that is left.
        let now = if plan.back() { left } else { vec![first] };
        now.into_iter()
            .find_map(|r| self.advance(s, ballot, plan, new, r))
    }

    fn advance(
        &mut self,
        s: &Scene,
        ballot: Ballot,
        plan: &Plan,
        new: &mut Plan,
        r: usize,
    ) -> Option<String> {
        let (r, step) = (&mut new.regions[r], new.step);
        let was = plan.region(&r.name)?;
        let name = &was.name;
        if s.is_cut(name) {
            self.wait(format!("region {name} is cut off"));
            return None;
        }
        let side = self.side(s, plan, was);
        match was.stage {
            Stage::Loading => {
                let alone = side.went.copies == 0 && side.came.lanes > 0;
                let stands = self.renewed(s, was) && (side.came.lanes >= side.need || alone);
                if was.base == 0 || stands {
                    (r.part, r.stage, r.changed) = (to(plan, WHOLE), Stage::Draining, step);
                    r.over = false;
                    return Some(format!("region {name}: what begins goes to the new copies"));
                }
                let by_lanes = u64::from(WHOLE) * u64::from(side.came.lanes)
                    / u64::from(side.came.lanes + side.went.lanes).max(1);
                let part = (by_lanes as u16).min(WHOLE - 1);
                let mixes = side.part > 0 || self.must_mix(s, plan, &side);
                if mixes && part > 0 && part.abs_diff(side.part) >= PART_STEP.min(part) {
                    (r.part, r.changed) = (to(plan, part), step);
                    return Some(format!(
                        "region {name}: what begins goes to both, {part} in 1000 to new copies"
                    ));
                }
                if self.past_limit(s, plan, &side) {
                    r.over = true;
                    return Some(format!(
                        "region {name}: the limit is past, old copies with sessions give way"
                    ));
                }
                self.wait(format!(
                    "region {name}: {} of {} lanes stand",
                    side.came.lanes, side.need
                ));
                None
            }
            Stage::Draining => {
                if !self.heard(s, ballot, was) {
                    return None;
                }
                let tried = self.tried(s, &side);
                let left = side.went.copies + side.went.loading;
                if (left == 0 || was.over && tried) && s.all_seen(name) {
                    r.stage = Stage::Done;
                    let but = if left > 0 {
                        " but for copies called by their name"
                    } else {
                        ""
                    };
                    return Some(format!("region {name} is done{but}"));
                }
                if !was.over && self.since(s, was) >= plan.order.drain_limit {
                    (r.over, r.changed) = (true, step);
                    return Some(format!(
                        "region {name}: the limit is past, sessions of old copies are over"
                    ));
                }
                if !s.all_seen(name) {
                    self.wait(format!("region {name}: a worker was not seen for a while"));
                }
                self.wait(format!(
                    "region {name}: {} sessions on {} copies",
                    side.went.sessions, side.went.copies
                ));
                None
            }
            Stage::Before | Stage::Done => None,
        }
    }

    fn tried(&self, s: &Scene, side: &Side) -> bool {
        let left = s
            .of(&side.region.name)
            .filter(|w| w.stands(&side.goes).is_some());
        left.into_iter()
            .all(|w| self.unloads.tries(&w.name, &side.goes) >= MOST_TRIES)
    }

    // ---- orders ----

    pub fn tend(&mut self, s: &Scene, ballot: Ballot, plan: &Plan, out: &mut Vec<Output>) {
        if plan.phase == Phase::Waiting || plan.phase.is_over() {
            return;
        }
        self.renewals.retain(|_, at| s.now - *at < s.terms.renew);
        // What it comes from goes before what it leads to.
        let waits = mem::take(&mut self.waits);
        for region in plan.regions.iter().filter(|r| !s.is_cut(&r.name)) {
            let side = self.side(s, plan, region);
            self.renew(s, ballot, plan, &side, out);
            self.unload(s, ballot, plan, &side, out);
            // Again: what was ordered to go stands no more.
            let side = self.side(s, plan, region);
            self.load(s, ballot, plan, &side, out);
        }
        self.wait(waits);
    }

    /// Copies in use are not let go for idleness: lanes up to those of the beginning, and all with sessions.
    fn renew(
        &mut self,
        s: &Scene,
        ballot: Ballot,
        plan: &Plan,
        side: &Side,
        out: &mut Vec<Output>,
    ) {
        let (r, back) = (side.region, plan.back());
        let ends = r.stage == Stage::Done;
        if ends && back {
            return;
        }
        let sends = |f: &Name| {
            if *f == side.goes {
                side.part < WHOLE
            } else {
                r.stage != Stage::Before || side.part > 0
            }
        };
        for (f, other) in [(&side.goes, &side.comes), (&side.comes, &side.goes)] {
            let canary = plan.phase == Phase::Canary;
            // Nobody knows yet which of them will be needed.
            let both = plan.phase == Phase::Paused;
            let mut wanted = if sends(f) || both || canary && *f == side.comes {
                r.base.max(1)
            } else {
                0
            };
            let mut copies: Vec<(&WorkerSeen, &Held)> = s
                .of(&r.name)
                .filter(|w| s.fresh(w) && w.takes_new)
                .filter_map(|w| Some((w, w.stands(f)?)))
                .collect();
            copies.sort_by_key(|(_, h)| std::cmp::Reverse(h.sessions));
            for (w, h) in copies {
                let ends = r.over && r.stage == Stage::Draining && *f == side.goes;
                let uses = h.sessions > 0 && !ends;
                if wanted == 0 && !uses || self.unloads.is_under_way(w, f, s.terms) {
                    continue;
                }
                wanted = wanted.saturating_sub(h.lanes);
                let key = (w.name.clone(), f.clone());
                if self.renewals.contains_key(&key) {
                    continue;
                }
                self.renewals.insert(key, s.now);
                out.push(want(&w.name, f, other, ballot));
            }
        }
    }

    fn unload(
        &mut self,
        s: &Scene,
        ballot: Ballot,
        plan: &Plan,
        side: &Side,
        out: &mut Vec<Output>,
    ) {
        let r = side.region;
        match r.stage {
            Stage::Draining if self.heard(s, ballot, r) => {
                // Symptom: a worker dies, and its sessions come to a copy that was just seen without any; or one began there
                // since it was seen, by a router that did not yet know better.
                let used = self
                    .used
                    .entry(r.name.clone())
                    .or_insert((r.changed, s.now));
                if side.went.sessions > 0 || used.0 != r.changed {
                    *used = (r.changed, s.now);
                }
                let quiet = s.now - used.1 >= s.terms.quiet;
                let unused = quiet && s.all_seen(&r.name);
                if !r.over && !unused {
                    return;
                }
                for w in s.of(&r.name).filter(|w| s.fresh(w)) {
                    let Some(h) = w.stands(&side.goes) else {
                        continue;
                    };
                    if h.busy > 0 || self.unloads.is_under_way(w, &side.goes, s.terms) {
                        continue;
                    }
                    self.unloads.begin(s.now, &w.name, &side.goes);
                    out.push(unwant(&w.name, &side.goes, ballot));
                }
            }
            Stage::Loading if plan.phase != Phase::Paused => {
                self.give_way(s, ballot, plan, side, out)
            }
            Stage::Before if self.lacking(s, plan, side) > 0 && side.part == 0 => {
                self.give_way(s, ballot, plan, side, out);
            }
            _ => {}
        }
    }

    /// Nothing that comes fits anywhere in the region, and nothing of it is on its way.
    fn is_full(&self, s: &Scene, plan: &Plan, side: &Side) -> bool {
        let mb = Self::copy_mb(s, plan, &side.comes, &side.goes);
        let open = |w: &&WorkerSeen| {
            w.takes_new && w.held(&side.comes).is_none() && !self.loads.is_broken(s.now, &w.name)
        };
        let mut open = s.of(&side.region.name).filter(open);
        let on_its_way = s.of(&side.region.name).any(|w| {
            self.loads.is_under_way(&w.name, &side.comes)
                || self.unloads.is_under_way(w, &side.goes, s.terms)
                || w.held(&side.comes).is_some_and(|h| h.loading)
        });
        !on_its_way && !open.any(|w| !s.fresh(w) || w.has_room(mb))
    }

    /// The copy to give way to one that comes: with no sessions, or past the limit with the fewest.
    fn in_the_way<'a>(
        &self,
        s: &'a Scene,
        plan: &Plan,
        side: &Side,
        past: bool,
    ) -> Option<(&'a WorkerSeen, u32)> {
        let mb = Self::copy_mb(s, plan, &side.comes, &side.goes);
        let name = &side.region.name;
        let copies = s
            .workers
            .iter()
            .filter(|w| w.region == *name && s.fresh(w) && w.takes_new);
        let fits = copies.filter_map(|w| {
            let h = w
                .stands(&side.goes)
                .filter(|h| h.busy == 0 && (past || h.sessions == 0))?;
            let kept = w.used_mb.saturating_sub(h.copies * h.copy_mb);
            let fits = w.memory_mb.saturating_sub(kept) >= mb && w.held(&side.comes).is_none();
            (fits && self.loads.may(s.now, &w.name)).then_some((w, h))
        });
        let least = fits.min_by_key(|(w, h)| (h.sessions, h.lanes, w.name.clone()));
        least.map(|(w, h)| (w, h.lanes))
    }

    fn must_mix(&self, s: &Scene, plan: &Plan, side: &Side) -> bool {
        self.is_full(s, plan, side)
            && side.came.lanes > 0
            && self
                .in_the_way(s, plan, side, side.region.over)
                .is_some_and(|(_, l)| side.went.lanes < side.need + l)
    }

    /// Nothing but sessions is in the way, and the operator's limit does not wait for them any longer.
    fn past_limit(&self, s: &Scene, plan: &Plan, side: &Side) -> bool {
        !side.region.over
            && self.since(s, side.region) >= plan.order.drain_limit
            && self.is_full(s, plan, side)
            && self.in_the_way(s, plan, side, false).is_none()
            && self.in_the_way(s, plan, side, true).is_some()
    }

    fn give_way(
        &mut self,
        s: &Scene,
        ballot: Ballot,
        plan: &Plan,
        side: &Side,
        out: &mut Vec<Output>,
    ) {
        if !self.is_full(s, plan, side) {
            return;
        }
        let name = &side.region.name;
        let Some((w, lanes)) = self.in_the_way(s, plan, side, side.region.over) else {
            return self.wait(match self.in_the_way(s, plan, side, true) {
                Some(_) => format!("region {name}: no memory, and no old copy without sessions"),
                None => format!("region {name}: no memory, and no old copy that can be let go"),
            });
        };
        if side.usable() < side.need + lanes {
            return self.wait(format!(
                "region {name}: no memory, and no old copy can go without undercutting the floor"
            ));
        }
        if !self.heard(s, ballot, side.region) {
            return;
        }
        if !self.renewed(s, side.region) {
            return self.wait(format!("region {name}: copies are renewed first"));
        }
        self.unloads.begin(s.now, &w.name, &side.goes);
        out.push(unwant(&w.name, &side.goes, ballot));
    }

    /// How many lanes are lacking of what comes, by the stage.
    fn lacking(&self, s: &Scene, plan: &Plan, side: &Side) -> u32 {
        let one = Self::lanes_of(s, &side.comes, &side.goes);
        let r = side.region;
        let on_their_way = s
            .of(&r.name)
            .filter(|w| self.loads.is_under_way(&w.name, &side.comes))
            .count() as u32;
        let goal = match (plan.phase, r.stage) {
            (Phase::Canary, _) if *r.name == *plan.regions[0].name => plan.order.canary * one,
            (Phase::Rolling, Stage::Loading | Stage::Draining | Stage::Done) => r.base,
            (Phase::Back, Stage::Loading | Stage::Draining) => r.base,
            (_, _) if side.part == WHOLE => side.need,
            _ => 0,
        };
        goal.saturating_sub(side.came.lanes + on_their_way * one)
    }

    fn load(&mut self, s: &Scene, ballot: Ballot, plan: &Plan, side: &Side, out: &mut Vec<Output>) {
        let r = side.region;
        if r.stage == Stage::Done && plan.back() {
            return;
        }
        // Symptom: a worker died or let copies go, and too few are left for what begins. They come first.
        let one = Self::lanes_of(s, &side.goes, &side.comes);
        let coming = s
            .of(&r.name)
            .filter(|w| self.loads.is_under_way(&w.name, &side.goes))
            .count() as u32;
        let short = side.part == 0 && side.went.lanes + coming * one < side.need;
        let (f, other, mut lacks) = match short {
            true => (
                &side.goes,
                &side.comes,
                side.need - side.went.lanes - coming * one,
            ),
            false => (&side.comes, &side.goes, self.lacking(s, plan, side)),
        };
        let (mb, one) = (
            Self::copy_mb(s, plan, f, other),
            Self::lanes_of(s, f, other),
        );
        while lacks > 0 {
            if !self.loads.has_room() {
                return self.wait(format!(
                    "{} loads are under way, {} at once",
                    self.loads.len(),
                    self.loads.at_once()
                ));
            }
            let free = s.of(&r.name).filter(|w| {
                s.fresh(w)
                    && w.takes_new
                    && w.held(f).is_none()
                    && !w.loads()
                    && w.has_room(mb)
                    && self.loads.may(s.now, &w.name)
                    && !self.unloads.is_under_way(w, other, s.terms)
            });
            let best = free.min_by(|a, b| {
                let left = |w: &WorkerSeen| w.memory_mb.saturating_sub(w.used_mb);
                (left(b), &a.name).cmp(&(left(a), &b.name))
            });
            let Some(w) = best else {
                return self.wait(format!("region {}: no worker takes a copy of {f}", r.name));
            };
            self.loads.begin(s.now, &w.name, f);
            out.push(want(&w.name, f, other, ballot));
            lacks = lacks.saturating_sub(one);
        }
    }
}

fn want(worker: &Name, function: &Name, like: &Name, ballot: Ballot) -> Output {
    let (worker, function, like) = (worker.clone(), function.clone(), like.clone());
    Output::Want {
        worker,
        function,
        like,
        term: ballot.term(),
    }
}

fn unwant(worker: &Name, function: &Name, ballot: Ballot) -> Output {
    Output::Unwant {
        worker: worker.clone(),
        function: function.clone(),
        term: ballot.term(),
    }
}
