//! All decisions of the router. A front makes one [`Balancer`] per router with [`Balancer::new`] and calls
//! [`Balancer::handle`] for each piece of news, in order; the answer lists the actions to carry out at once.
//! Events, actions and start records are in `interface.rs`. The ordinary path is [`Balancer::route`]; its
//! source is in docs/design.md.
//!
//! Mechanisms beside the design:
//! 1. Judging: by a worker's last outcomes and silence, for each trigger type; a bad one gets rare trials.
//! 2. Patience: what may run again is dispatched with a time-out and goes elsewhere if time is left.
//! 3. Cold budget: a worker that has just started gets this router's part of what it can bear.
//! 4. Homes: a busy function has several, by its part of the work and the crowds told; a router goes to one.
//! 5. Pressure: late and full answers bound own work on a worker; when many, no draws; what earns little
//!    (late, beyond a share, a cheap type, a client soon gone) is begun only while few answers are late.
//! 6. Drains: a warm worker told to drain serves on within the grace.

use std::collections::VecDeque;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use crate::interface::*;

/// One load on so many draws when every warm lane is busy (the paper's 20%).
const LOAD_ONE_IN: u64 = 5;
/// The design's retry pace for held invocations; without any, upkeep this often in the time a copy is kept.
const RETRY_PACE: Micros = 10_000;
const UPKEEP_STEPS: Micros = 100;
/// Outcomes that a worker is judged by; few, so that a hang shows at once and is soon forgiven.
const JUDGED: u32 = 8;
/// A long but usual time: the mean and so many deviations.
const DEVIATIONS: Micros = 4;
/// Silent for so many times that is a hang; a dispatch is timed out later: sooner repeats what was only slow.
const HUSH: Micros = 2;
const PATIENCE: Micros = 6;
/// A bad worker is tried again after this part of the shortest objective, by one in so many dispatches.
const TRIAL_PART: Micros = 2;
const TRIAL_ONE_IN: i32 = 10;
/// A worker is crowded with so many times the mean load, and so many dispatches in any case.
const CROWD: f64 = 1.5;
const CROWD_LEAST: f64 = 1.0;
/// An answer past the latency objective, or a full one, leaves so much of what the worker bore.
const BACK_OFF: f64 = 0.8;
/// Estimates move by one part in so many with each sample (as for round trips in TCP).
const GAIN: Micros = 8;
/// Part of the cold budget that is used, as arrivals are uneven; what workers carry is averaged over windows.
const COLD_CAUTION: f64 = 0.7;
const CARRIED_WINDOWS: f64 = 3.0;
/// A function unused for so many times the kept-idle time is forgotten.
const FORGET_AFTER: Micros = 4;
/// Homes of a function for each worker's worth of work; more with so many invocations a lane at one of them.
const HOMES: f64 = 2.0;
const HOME_CROWD: u32 = 2;
/// An account's share may be used this unevenly: so many seconds of it at once.
const SHARE_SECONDS: f64 = 2.0;
/// Workers are pressed when over this part of the answers is late or full. The part is averaged over as many
/// answers as it takes to tell the least that is compared with it, but no more than would see it too late.
const PRESSED: f64 = 0.2;
const PRESSED_OVER: f64 = 32.0;
/// Slowness of a kind of machine moves by one part in so many; a sample counts so much at most.
const SLOWNESS_GAIN: f64 = 32.0;
const SLOWEST: f64 = 8.0;
const NO_TIME: Micros = Micros::MIN / 2;

#[derive(Clone, Copy, Default)]
struct Usual {
    mean: Micros,
    stray: Micros,
}

impl Usual {
    fn learn(&mut self, sample: Micros) {
        if self.mean == 0 {
            *self = Usual {
                mean: sample.max(1),
                stray: sample / 2,
            };
        } else {
            self.stray += ((sample - self.mean).abs() - self.stray) / GAIN;
            self.mean += (sample - self.mean) / GAIN;
        }
    }

    fn stretched(&self) -> Micros {
        self.mean + DEVIATIONS * self.stray
    }
}

/// A sum in which older things count less and less.
#[derive(Clone, Copy, Default)]
struct Fading {
    sum: f64,
    at: Micros,
}

impl Fading {
    /// Adds something new; the sum without it.
    fn add(&mut self, now: Micros, over: f64, more: f64) -> f64 {
        let before = self.sum * (-(now - self.at) as f64 / over).exp();
        *self = Fading {
            sum: before + more,
            at: now,
        };
        before
    }
}

fn usual(known: [Usual; 2], guess: Micros) -> Usual {
    known.into_iter().find(|u| u.mean > 0).unwrap_or(Usual {
        mean: guess,
        stray: guess / 4,
    })
}

#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Out,
    NeverRan,
    /// It never ran, as the worker was full.
    WasFull,
    MayHaveRun,
}

impl Fate {
    fn never_ran(self) -> bool {
        matches!(self, Fate::NeverRan | Fate::WasFull)
    }
}

struct Dispatch {
    worker: WorkerIndex,
    at: Micros,
    fate: Fate,
    load: bool,
}

#[derive(Default)]
struct Inv {
    func: FunctionIndex,
    trigger: usize,
    over: bool,   // Beyond its account's share.
    brief: bool,  // Its client leaves before the objective.
    work: Micros, // By the hint; 0 where there is none.
    prefers: Option<WorkerIndex>,
    arrived: Micros,
    objective_at: Micros,
    gives_up_at: Micros,
    ended: bool,
    dispatches: Vec<Dispatch>,
}

impl Inv {
    fn out(&self) -> bool {
        self.dispatches.iter().any(|d| d.fate == Fate::Out)
    }
}

fn hashed(of: (u64, u64)) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(of)
}

fn forget_before(times: &mut VecDeque<Micros>, since: Micros) {
    while times.front().is_some_and(|&t| t <= since) {
        times.pop_front();
    }
}

#[derive(Default)]
struct Workers {
    fingerprint: Vec<u64>,
    zone: Vec<u32>,
    cell: Vec<u32>,
    kind: Vec<u32>,
    standing: Vec<EndpointState>,
    started: Vec<Micros>,
    stops_at: Vec<Micros>,
    /// Own dispatches that it answers in time, as far as has been seen.
    bears: Vec<f64>,
    bears_at: Vec<Micros>,
    /// It takes no further load from here until then: one is under way, or it has no room.
    loaded_by: Vec<Micros>,
    recent: Vec<VecDeque<Micros>>,
}

impl Workers {
    fn serving(&self) -> impl Iterator<Item = usize> {
        (0..self.standing.len()).filter(|&w| self.standing[w] == EndpointState::InService)
    }

    fn grow(&mut self, n: usize) {
        let counts = [&mut self.zone, &mut self.cell, &mut self.kind];
        counts.into_iter().for_each(|v| v.resize(n, 0));
        let times = [
            &mut self.started,
            &mut self.stops_at,
            &mut self.bears_at,
            &mut self.loaded_by,
        ];
        times.into_iter().for_each(|v| v.resize(n, NO_TIME));
        self.fingerprint.resize(n, 0);
        self.standing.resize(n, EndpointState::Gone);
        self.bears.resize(n, f64::INFINITY);
        self.recent.resize_with(n, VecDeque::new);
    }

    fn renew(&mut self, w: usize) {
        (self.started[w], self.stops_at[w], self.standing[w]) =
            (NO_TIME, NO_TIME, EndpointState::Gone);
        (self.bears[w], self.bears_at[w], self.loaded_by[w]) = (f64::INFINITY, NO_TIME, NO_TIME);
        self.recent[w].clear();
    }

    /// Symptom: answers late though the copy stood loaded. The worker then bears less than what is out
    /// there, `own`; with answers in time it is let have more, slowly.
    fn learn_bears(&mut self, w: usize, now: Micros, own: f64, took: Micros, objective: Micros) {
        if took > objective {
            if now - self.bears_at[w] > took.min(objective) {
                self.bears[w] = (self.bears[w].min(own) * BACK_OFF).max(1.0);
                self.bears_at[w] = now;
            }
        } else if own >= self.bears[w] {
            self.bears[w] += 1.0 / self.bears[w];
        }
    }
}

/// How workers have answered of late, by trigger type and over all types. Symptom: a worker leaves one type
/// unanswered and serves the others. A type not yet seen there goes by all of them.
#[derive(Default)]
struct Health {
    types: usize,
    kept: Micros,
    own: Vec<u32>,
    /// Last outcomes, newest in the lowest bit, how many count, and when the last came.
    outcomes: Vec<u32>,
    judged: Vec<u32>,
    judged_at: Vec<Micros>,
    /// While dispatches are out: an answer should have come by then.
    due: Vec<Micros>,
    trial_at: Vec<Micros>,
}

impl Health {
    fn grow(&mut self, workers: usize) {
        let n = workers * (self.types + 1);
        let counts = [&mut self.own, &mut self.outcomes, &mut self.judged];
        counts.into_iter().for_each(|v| v.resize(n, 0));
        let times = [&mut self.judged_at, &mut self.due, &mut self.trial_at];
        times.into_iter().for_each(|v| v.resize(n, NO_TIME));
    }

    fn renew(&mut self, w: usize) {
        let [first, all] = self.slots(w, 0);
        let counts = [&mut self.outcomes, &mut self.judged];
        counts.into_iter().for_each(|v| v[first..=all].fill(0));
        let times = [&mut self.judged_at, &mut self.due, &mut self.trial_at];
        times.into_iter().for_each(|v| v[first..=all].fill(NO_TIME));
    }

    fn slots(&self, w: usize, t: usize) -> [usize; 2] {
        [w * (self.types + 1) + t, w * (self.types + 1) + self.types]
    }

    /// Own dispatches out there, of all types.
    fn own_at(&self, w: usize) -> u32 {
        self.own[self.slots(w, 0)[1]]
    }

    /// Symptom: errors, broken or refused connections, time-outs (few successes among the last outcomes), or
    /// dispatches out and nothing heard past the time an answer was due (a hang or a silent cut).
    fn bad(&self, w: usize, t: usize, now: Micros) -> bool {
        let [one, all] = self.slots(w, t);
        self.suspect(one, now) || !self.recent(one, now) && self.suspect(all, now)
    }

    fn suspect(&self, slot: usize, now: Micros) -> bool {
        self.own[slot] > 0 && now > self.due[slot] || self.fails(slot, now)
    }

    fn recent(&self, slot: usize, now: Micros) -> bool {
        self.judged[slot] > 0 && now - self.judged_at[slot] < self.kept
    }

    fn fails(&self, slot: usize, now: Micros) -> bool {
        self.recent(slot, now) && self.outcomes[slot].count_ones() * 2 < self.judged[slot]
    }

    fn judge(&mut self, w: usize, t: usize, now: Micros, succeeded: bool) {
        for slot in self.slots(w, t) {
            if succeeded && self.fails(slot, now) || !self.recent(slot, now) {
                // A bad worker that succeeds starts anew, and so does one long not heard from.
                (self.judged[slot], self.outcomes[slot]) = (0, 0);
            }
            self.outcomes[slot] =
                (self.outcomes[slot] << 1 | u32::from(succeeded)) & ((1 << JUDGED) - 1);
            self.judged[slot] = (self.judged[slot] + 1).min(JUDGED);
            self.judged_at[slot] = now;
        }
    }

    fn sent(&mut self, w: usize, t: usize, due: Micros) {
        for slot in self.slots(w, t) {
            self.due[slot] = if self.own[slot] == 0 {
                due
            } else {
                self.due[slot].min(due)
            };
            self.own[slot] += 1;
        }
    }

    fn ended(&mut self, w: usize, t: usize) {
        self.slots(w, t)
            .into_iter()
            .for_each(|slot| self.own[slot] = self.own[slot].saturating_sub(1));
    }
}

#[derive(Default)]
struct Function {
    known: bool,
    fingerprint: u64,
    lanes: u32,
    trigger: usize,
    used: Micros,
    open: u32,
    service: Usual,
    load: Usual,
    held: Vec<InvocationIndex>,
    order: Vec<WorkerIndex>,
    /// Invocations taken (for all functions: work) within about the kept-idle time, and homes wanted.
    asked: Fading,
    homes: usize,
    homes_at: Micros,
    loading: Option<WorkerIndex>,
    /// No load of it begins before.
    load_from: Micros,
    orders: u32,
    own: Vec<u32>,
    warm_until: Vec<Micros>,
}

impl Function {
    fn grow(&mut self, n: usize) {
        self.own.resize(n, 0);
        self.warm_until.resize(n, NO_TIME);
    }
    fn warm(&self, w: usize, now: Micros) -> bool {
        self.own[w] > 0 && self.warm_until[w] > NO_TIME || self.warm_until[w] > now
    }
    fn cool(&mut self, w: usize) {
        self.warm_until[w] = NO_TIME;
    }
}

#[derive(Default)]
pub struct Balancer {
    seed: u64,
    draws: u64,
    now: Micros,
    fleet: FleetPosition,
    limits: DispatchLimits,
    rules: RuleLimits,
    triggers: Vec<TriggerType>,
    accounts: Vec<Account>,
    /// What is left of each account's share here, and when last brought up to date.
    left: Vec<(f64, Micros)>,
    over_worth: f64,
    /// What invocations are worth here on average, by those taken lately.
    value: f64,
    /// Part that is answered of the dispatches whose clients leave before the objective.
    brief_served: f64,
    /// Part of the answers that are late or full, averaged over so many.
    pressed: f64,
    pressed_over: f64,
    pressed_at: Micros,
    trial_due: i32,
    loads: LoadSettings,
    workers: Workers,
    health: Health,
    funcs: Vec<Function>,
    invs: Vec<Option<Inv>>,
    service: Vec<Usual>,
    load: Usual,
    asked: Fading,
    held: u32,
    next_tick: Option<Micros>,
    slowness: Vec<f64>, // By kind of worker.
    /// Invocations succeeded within the averaging time.
    carried: Fading,
    /// Times of load orders and of invocations taken within the ration's window.
    ordered: VecDeque<Micros>,
    taken: VecDeque<Micros>,
}

impl Balancer {
    #[allow(clippy::too_many_arguments)] // No record holds all settings.
    pub fn new(
        seed: u64,
        fleet: FleetPosition,
        limits: DispatchLimits,
        rules: RuleLimits,
        triggers: Vec<TriggerType>,
        accounts: Vec<Account>,
        loads: LoadSettings,
        prices: Prices,
        _reports: ReportSource,
    ) -> Self {
        // What looks to be beyond a share here may be within it elsewhere: clients fall on the routers by
        // chance, the more unevenly the fewer each one's part is.
        let part: f64 =
            accounts.iter().map(|a| a.quota_per_s).sum::<f64>() / f64::from(fleet.routers.max(1));
        let wrong = (part * SHARE_SECONDS).max(1.0).sqrt().recip();
        let over_worth = prices.over_quota.max(0.0) * (1.0 - wrong) + wrong;
        let over = accounts.first().map(|_| over_worth);
        let parts = triggers
            .iter()
            .map(|t| t.late_value_fraction)
            .chain(over)
            .filter(|&p| p > 0.0);
        Balancer {
            pressed_over: parts
                .fold(GAIN as f64, |n, p| n.max(1.0 / p))
                .min(PRESSED_OVER),
            seed,
            fleet,
            limits,
            rules,
            service: vec![Usual::default(); triggers.len()],
            health: Health {
                types: triggers.len(),
                kept: loads.idle_retention,
                ..Health::default()
            },
            triggers,
            left: vec![(f64::MAX, 0); accounts.len()],
            accounts,
            over_worth,
            brief_served: 1.0,
            loads,
            ..Balancer::default()
        }
    }

    /// The one entry point: what happened goes in, what is to be done comes out.
    pub fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        self.now = now;
        match *event {
            Event::EndpointList {
                kind: mode,
                endpoints: entries,
            } => self.follow_list(mode, entries, out),
            Event::Invocation(arrival) => {
                self.take(&arrival);
                self.route(arrival.invocation, out);
            }
            Event::ClientLeft { invocation: ix } => {
                // Symptom: work is done for clients that have left. What still waits at a worker is dropped.
                if let Some(inv) = self.invs[ix as usize]
                    .as_ref()
                    .filter(|_| self.limits.cancellation)
                {
                    let outs = inv
                        .dispatches
                        .iter()
                        .enumerate()
                        .filter(|(_, d)| d.fate == Fate::Out);
                    out.extend(outs.map(|(n, _)| Action::Cancel {
                        invocation: ix,
                        dispatch: n as u32,
                    }));
                }
                self.conclude(ix);
            }
            Event::AnswerStarted {
                invocation: inv, ..
            } => self.conclude(inv),
            Event::DispatchEnded(ending) => self.settle(&ending, out),
            Event::OrderEnded { .. } => self.order_ended(event, out),
            Event::Timer { token } if self.next_tick == Some(token as Micros) => self.tick(out),
            Event::CopyWanted {
                worker,
                function: asked,
            } => self.wanted(worker as usize, &asked, out),
            Event::CopiesReported {
                worker,
                function: func,
                copies,
            } => self.held_there(worker as usize, func, copies, out),
            Event::Timer { .. } | Event::ProbeEnded { .. } => {}
        }
        let pace = if self.held > 0 {
            RETRY_PACE
        } else {
            self.loads.idle_retention / UPKEEP_STEPS
        };
        let due = now + pace.max(self.fleet.granularity).max(RETRY_PACE);
        if self.next_tick.is_none_or(|t| due < t) {
            self.next_tick = Some(due);
            out.push(Action::Timer {
                token: due as u64,
                after: due - now,
            });
        }
    }

    fn chance(&mut self) -> u64 {
        self.draws += 1;
        hashed((self.seed, self.draws))
    }

    /// Whether one more is beyond the account's share, which comes in steadily, this router's part of it.
    fn over_share(&mut self, account: usize) -> bool {
        let Some((left, at)) = self.left.get_mut(account) else {
            return false;
        };
        let part = self.accounts[account].quota_per_s / f64::from(self.fleet.routers.max(1));
        let come = part * (self.now - *at).max(0) as f64 / 1e6;
        *left = (*left + come).min((part * SHARE_SECONDS).max(1.0) + 1.0);
        *at = self.now;
        let over = *left < 1.0;
        *left -= f64::from(u8::from(!over));
        over
    }

    fn take(&mut self, a: &Arrival) {
        let over = self.over_share(a.account as usize);
        let (now, t) = (self.now, &self.triggers[a.trigger as usize]);
        let stretch = (a.cost_hint.unwrap_or(0) as f64 * t.objective_work_multiple) as Micros;
        let gives_up_at = now + a.client_timeout_in;
        if self.invs.len() <= a.invocation as usize {
            self.invs.resize_with(a.invocation as usize + 1, || None);
        }
        self.invs[a.invocation as usize] = Some(Inv {
            func: a.function,
            trigger: a.trigger as usize,
            over,
            brief: a.waited + a.client_timeout_in < t.latency_objective + stretch,
            work: a.cost_hint.unwrap_or(0),
            prefers: a.preferred_worker,
            arrived: now,
            objective_at: (now - a.waited + t.latency_objective + stretch).min(gives_up_at),
            gives_up_at,
            ..Inv::default()
        });
        self.value +=
            (t.billed_value - self.value) / if self.value > 0.0 { PRESSED_OVER } else { 1.0 };
        self.taken.push_back(now);
        self.meet(&FunctionInfo {
            function: a.function,
            fingerprint: a.fingerprint,
            trigger: a.trigger,
            lanes: a.lanes,
        });
        let f = &mut self.funcs[a.function as usize];
        f.open += 1;
        if let Some(hint) = a.load_hint.filter(|_| f.load.mean == 0) {
            f.load = Usual {
                mean: hint.max(1),
                stray: hint / 4,
            };
        }
        self.spread(a.function);
    }

    fn meet(&mut self, a: &FunctionInfo) {
        if self.funcs.len() <= a.function as usize {
            self.funcs
                .resize_with(a.function as usize + 1, Function::default);
        }
        let f = &mut self.funcs[a.function as usize];
        let new = !std::mem::replace(&mut f.known, true);
        (f.fingerprint, f.trigger) = (a.fingerprint, a.trigger as usize);
        (f.lanes, f.used) = (a.lanes.max(1), self.now);
        if new {
            f.grow(self.workers.zone.len());
            self.rank(a.function);
        }
    }

    /// Symptom: an upgrade's plan loads beside the invocations, beyond the ration, onto crowded workers. What
    /// it wants is ordered as any other load, or not at all; one that stands there is renewed.
    fn wanted(&mut self, w: usize, a: &FunctionInfo, out: &mut Vec<Action>) {
        if !self.loads.load_orders || w >= self.workers.zone.len() || !self.takes_new(w) {
            return;
        }
        self.meet(a);
        let (now, mean) = (self.now, self.mean_load());
        let f = &self.funcs[a.function as usize];
        let stands = f.warm(w, now);
        let free = f.loading.is_none() && now >= f.load_from && self.workers.loaded_by[w] < now;
        if (stands || free && !self.crowded(w, mean)) && self.order_left() {
            self.order(w, a.function, !stands, out);
        }
    }

    /// Symptom: a copy was evicted, or another router loaded one; nothing here tells of either. What waits
    /// leaves for a copy that is there, and loads one anew where none is.
    fn held_there(&mut self, w: usize, func: FunctionIndex, copies: u32, out: &mut Vec<Action>) {
        let f = self
            .funcs
            .get_mut(func as usize)
            .filter(|f| f.known && w < f.own.len());
        let Some(f) = f else { return };
        if f.loading.is_some_and(|l| l as usize == w) {
            return;
        }
        match copies {
            0 => f.cool(w),
            _ => f.warm_until[w] = f.warm_until[w].max(self.now + self.loads.idle_retention),
        }
        self.retry_held(Some(func), out);
    }

    /// Symptom: many routers bring a busy function to the same first workers. It gets homes by its part of
    /// the work taken here, a power of two so that few move; the place among the routers tells this one's.
    fn spread(&mut self, func: FunctionIndex) {
        let (now, over) = (self.now, self.loads.idle_retention.max(1) as f64);
        let work = self.usual_service(&self.funcs[func as usize]).mean as f64;
        let workers = self.funcs[func as usize].order.len().max(1);
        let f = &mut self.funcs[func as usize];
        let before = f.asked.add(now, over, 1.0);
        let all = self.asked.add(now, over, work);
        self.more_homes(
            func,
            (HOMES * workers as f64 * before * work / all.max(1.0)).ceil() as usize,
        );
    }

    fn more_homes(&mut self, func: FunctionIndex, wanted: usize) {
        let (now, place) = (self.now, self.fleet.position as usize);
        let f = &mut self.funcs[func as usize];
        let wanted = wanted.clamp(1, f.order.len().max(1)).next_power_of_two();
        if wanted > f.homes {
            let moved = f.homes > 0 && place % wanted != place % f.homes;
            (f.homes, f.homes_at) = (wanted, now);
            if moved {
                (0..f.own.len()).for_each(|w| f.cool(w));
            }
        }
    }

    /// A load was needed at a home: where there are many, none is used often enough to keep its copy.
    fn loaded_in(&mut self, took: Micros, func: FunctionIndex) {
        let f = &mut self.funcs[func as usize];
        f.load.learn(took);
        self.load.learn(took);
        if f.homes > 1 && self.now - f.homes_at > self.loads.idle_retention {
            (f.homes, f.homes_at) = (f.homes / 2, self.now);
        }
    }

    /// The shared hash order of workers for a function: the same at every router.
    fn rank(&mut self, func: FunctionIndex) {
        let (workers, f) = (&self.workers, &mut self.funcs[func as usize]);
        f.order = workers.serving().map(|w| w as WorkerIndex).collect();
        f.order
            .sort_by_cached_key(|&w| hashed((workers.fingerprint[w as usize], f.fingerprint)));
    }

    /// The ordinary path of an invocation, from top to bottom.
    fn route(&mut self, ix: InvocationIndex, out: &mut Vec<Action>) {
        let Some((inv, f)) = self.found(ix) else {
            return;
        };
        let first = inv.dispatches.is_empty();
        // Symptom: tries too short for the work fill the workers with what no one waits for any more, or work
        // beyond an account's share, or too late for its objective, crowds out what is within and in time.
        let (now, mean) = (self.now, self.usual_service(f).mean);
        if inv.gives_up_at - now <= mean || self.costs_more(inv, inv.objective_at - now <= mean) {
            return self.give_up(ix, out);
        }
        // A warm worker with a free lane, fewest own in flight.
        if let Some(w) = self.free_lane(ix) {
            return self.dispatch(ix, w, false, out);
        }
        // All lanes busy: one in five loads. No warm worker: load at once, within the bound.
        let warm = self.any_warm(ix);
        let draw = first && self.pressed < PRESSED && self.chance().is_multiple_of(LOAD_ONE_IN);
        if (!warm || draw)
            && let Some(w) = self.load_place(ix)
        {
            self.begin_load(ix, w, out);
            if self.found(ix).is_none_or(|(inv, _)| inv.out()) {
                return;
            }
        }
        // Otherwise held for a lane, while the queue has room.
        if self.room_to_hold(ix) {
            return self.hold(ix);
        }
        // Queue full: the busy warm worker with the lowest ratio of work to lanes.
        match self.least_busy(ix) {
            Some(w) => self.dispatch(ix, w, false, out),
            None => self.hold(ix),
        }
    }

    /// Symptom: while workers are pressed, what counts little takes the place of what counts much. It costs
    /// more than it earns if it makes another late, with about the chance at which answers are late now, and
    /// that other is worth what invocations are worth here on average.
    fn costs_more(&self, inv: &Inv, late: bool) -> bool {
        self.pressed * self.value > self.earns(inv, late)
    }

    /// What an answer earns, in time or late. Symptom: clients that leave before the objective, and come
    /// again, fill the workers with what nobody waits for. Theirs earn the part of such that is answered.
    fn earns(&self, inv: &Inv, late: bool) -> f64 {
        let t = &self.triggers[inv.trigger];
        let of_share = if inv.over { self.over_worth } else { 1.0 };
        let of_brief = if inv.brief { self.brief_served } else { 1.0 };
        t.billed_value * of_share * of_brief * if late { t.late_value_fraction } else { 1.0 }
    }

    /// Symptom: of hundreds of routers each orders a copy that stands already, for each function it meets.
    /// With no copy known and workers that load by themselves, the invocation goes there without an order.
    fn loads_itself(&self, ix: InvocationIndex) -> bool {
        !self.loads.load_orders || self.loads.loads_when_absent && !self.any_warm(ix)
    }

    /// Begins a load; where it is ordered the invocation stays, for whichever lane is free first.
    fn begin_load(&mut self, ix: InvocationIndex, w: usize, out: &mut Vec<Action>) {
        if self.loads_itself(ix) {
            return self.dispatch(ix, w, true, out);
        }
        let Some(func) = self.found(ix).map(|(inv, _)| inv.func) else {
            return;
        };
        self.order(w, func, true, out);
    }

    fn order(&mut self, w: usize, func: FunctionIndex, load: bool, out: &mut Vec<Action>) {
        self.ordered.push_back(self.now);
        out.push(Action::LoadOrder {
            worker: w as WorkerIndex,
            function: func,
            copies: 1,
        });
        if load {
            self.load_begins(func, w);
        }
        let f = &mut self.funcs[func as usize];
        f.orders += 1;
        f.warm_until[w] = self.now + self.loads.idle_retention;
    }

    fn found(&self, ix: InvocationIndex) -> Option<(&Inv, &Function)> {
        let inv = self.invs[ix as usize].as_ref()?;
        Some((inv, &self.funcs[inv.func as usize]))
    }

    /// Whether the rules let this invocation go to this worker, ever.
    fn allowed(&self, inv: &Inv, w: usize) -> bool {
        if inv.ended
            || inv.out()
            || inv.dispatches.len() as u32 >= self.limits.max_dispatches
            || !self.takes_new(w)
        {
            return false;
        }
        let mut ran = inv.dispatches.iter().filter(|d| !d.fate.never_ran());
        match self.triggers[inv.trigger].effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => ran.next().is_none(),
            Effect::IdempotentByKey {
                scope: group,
                window,
            } => ran.all(|d| {
                let v = d.worker as usize;
                let same = match group {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => self.workers.zone[v] == self.workers.zone[w],
                    DeduplicationScope::Cell => self.workers.cell[v] == self.workers.cell[w],
                };
                same && self.now - d.at < window
            }),
        }
    }

    /// Rule 3: in service, or told to drain so short a time ago that the grace still runs.
    fn takes_new(&self, w: usize) -> bool {
        match self.workers.standing[w] {
            EndpointState::InService => true,
            EndpointState::Draining => self.now < self.workers.stops_at[w],
            EndpointState::Gone => false,
        }
    }

    /// Rule 4: what a worker that has just started can surely bear is the cold part of what this router has
    /// seen one carry on average, and of what one core does; all routers doing so keep to the whole budget.
    /// A part under one dispatch is kept by chance, drawn anew each window.
    fn cold_room(&self, w: usize) -> bool {
        let (r, window) = (&self.rules, self.rules.overload_window.max(1));
        if self.now - self.workers.started[w] >= r.slow_start_duration {
            return true;
        }
        let carried =
            self.carried.sum / CARRIED_WINDOWS / self.workers.serving().count().max(1) as f64;
        let of =
            |(u, t): (&Usual, &TriggerType)| usual([*u; 2], t.latency_objective / 8).stretched();
        let work = self
            .service
            .iter()
            .zip(&self.triggers)
            .map(of)
            .max()
            .unwrap_or(window)
            .max(1);
        let core = window as f64 / work as f64 / f64::from(self.fleet.routers.max(1));
        let budget = COLD_CAUTION * r.overload_multiple * self.grown(w) * carried.max(core);
        let sent = self.workers.recent[w]
            .iter()
            .filter(|&&t| t > self.now - window)
            .count() as f64;
        let turn = (
            self.workers.fingerprint[w] ^ u64::from(self.fleet.position),
            (self.now / window) as u64,
        );
        sent + 1.0 <= budget || sent == 0.0 && hashed(turn) as f64 / (u64::MAX as f64) < budget
    }

    /// The part of its full capacity that a worker surely has at its age.
    fn grown(&self, w: usize) -> f64 {
        let age = (self.now - self.workers.started[w]).max(0) as f64
            / self.rules.slow_start_duration.max(1) as f64;
        self.rules.slow_start_fraction + (1.0 - self.rules.slow_start_fraction) * age.min(1.0)
    }

    /// Own dispatches in flight for each full-grown worker, over the workers in service.
    fn mean_load(&self) -> f64 {
        let add = |(own, size), w| (own + f64::from(self.health.own_at(w)), size + self.grown(w));
        let (own, size): (f64, f64) = self.workers.serving().fold((0.0, 0.0), add);
        own / size.max(0.1)
    }

    /// Symptom: lanes are free but the cores behind them are not (many functions there, a cold or a slow
    /// worker): more own work than its part of all of it. A lane there does not count as free.
    fn crowded(&self, w: usize, mean: f64) -> bool {
        let own = f64::from(self.health.own_at(w));
        own >= self.workers.bears[w] || own >= CROWD * mean * self.grown(w) + CROWD_LEAST
    }

    /// Good enough for this invocation: judged good, or due for a trial with what can go elsewhere after.
    fn fit(&self, inv: &Inv, w: usize) -> bool {
        if !self.allowed(inv, w) || !self.cold_room(w) || self.too_slow(inv, w) {
            return false;
        }
        if !self.health.bad(w, inv.trigger, self.now) {
            return true;
        }
        let safe = self.triggers[inv.trigger].effect != Effect::NonIdempotent;
        let [slot, _] = self.health.slots(w, inv.trigger);
        safe && inv.dispatches.is_empty()
            && self.health.trial_at[slot] <= self.now
            && self.trial_due <= 0
    }

    /// Symptom: a full worker answers at once, has the fewest in flight, and is sent the same invocation
    /// again until its dispatches are used up. Its copy stands all the same.
    fn was_full(inv: &Inv, w: usize) -> bool {
        inv.dispatches
            .iter()
            .any(|d| d.fate == Fate::WasFull && d.worker as usize == w)
    }

    /// Symptom: heavy invocations, dear where value goes by work, come late from slow machines even when
    /// idle. For a while they wait for a kind on which their time suffices, if there is one.
    fn too_slow(&self, inv: &Inv, w: usize) -> bool {
        let (left, own) = (
            (inv.objective_at - self.now) as f64,
            self.slowness[self.workers.kind[w] as usize],
        );
        let best = self.slowness.iter().copied().fold(own, f64::min);
        inv.work as f64 * own > left
            && inv.work as f64 * best < left
            && self.now - inv.arrived < inv.work
    }

    fn free_lane(&mut self, ix: InvocationIndex) -> Option<usize> {
        let draw = self.chance();
        let (inv, f) = self.found(ix)?;
        let mean = self.mean_load();
        let free = |w: &usize| {
            let loading = self.loads.load_orders && f.loading.is_some_and(|l| l as usize == *w);
            let open = f.warm(*w, self.now) && !loading && f.own[*w] < f.lanes;
            open && !self.crowded(*w, mean) && !Self::was_full(inv, *w) && self.fit(inv, *w)
        };
        let mut ties: Vec<usize> = (0..f.own.len()).filter(free).collect();
        // Symptom: a session's next invocation goes elsewhere, and what came before is built up again.
        if let Some(w) = inv.prefers.map(|w| w as usize).filter(|w| ties.contains(w)) {
            return Some(w);
        }
        let least = ties.iter().map(|&w| self.health.own_at(w)).min()?;
        ties.retain(|&w| self.health.own_at(w) == least);
        Some(ties[(draw % ties.len() as u64) as usize])
    }

    fn any_warm(&self, ix: InvocationIndex) -> bool {
        let Some((inv, f)) = self.found(ix) else {
            return false;
        };
        (0..f.own.len()).any(|w| f.warm(w, self.now) && self.fit(inv, w))
    }

    /// Where a new load goes: this router's home, the other homes, then the shared order, so that routers
    /// find each other's copies. One load under way per function and, for its usual time, per worker.
    fn load_place(&self, ix: InvocationIndex) -> Option<usize> {
        let (inv, f) = self.found(ix)?;
        if f.loading.is_some()
            || self.now < f.load_from
            || !self.order_left() && !self.loads_itself(ix)
        {
            return None;
        }
        let (mean, homes) = (self.mean_load(), f.homes.min(f.order.len()));
        let first = self.fleet.position as usize % f.homes.max(1);
        let mine = (0..homes)
            .map(|i| (first + i) % homes)
            .chain(homes..f.order.len());
        let free = |w: &usize| {
            let open = self.workers.loaded_by[*w] < self.now && !f.warm(*w, self.now);
            open && !self.crowded(*w, mean) && self.fit(inv, *w)
        };
        let mut places = mine.map(|i| f.order[i] as usize);
        let near = |w: &usize| self.workers.zone[*w] == self.fleet.zone && free(w);
        // Those in its own zone first, where each home still has two routers or more.
        let choice = if homes * 2 <= self.fleet.routers as usize {
            homes
        } else {
            0
        };
        places
            .clone()
            .take(choice)
            .find(near)
            .or_else(|| places.find(free))
    }

    /// Held ones should leave within what their objective leaves beside the work itself.
    fn room_to_hold(&self, ix: InvocationIndex) -> bool {
        let Some((inv, f)) = self.found(ix) else {
            return false;
        };
        let service = self.usual_service(f).mean.max(1);
        let homes = (0..f.own.len()).filter(|&w| f.warm(w, self.now)).count() as Micros;
        let wait = f.held.len() as Micros * service / (homes * Micros::from(f.lanes)).max(1);
        wait < (inv.objective_at - self.now - service).max(0)
    }

    fn least_busy(&self, ix: InvocationIndex) -> Option<usize> {
        let (inv, f) = self.found(ix)?;
        let room = |w: usize| {
            let bears = f64::from(self.health.own_at(w)) < self.workers.bears[w];
            f.warm(w, self.now) && bears && !Self::was_full(inv, w)
        };
        (0..f.own.len())
            .filter(|&w| room(w) && self.fit(inv, w))
            .min_by_key(|&w| f.own[w])
    }

    fn hold(&mut self, ix: InvocationIndex) {
        if let Some(inv) = self.invs[ix as usize].as_ref() {
            self.held += 1;
            self.funcs[inv.func as usize].held.push(ix);
        }
    }

    fn unhold(&mut self, ix: InvocationIndex) {
        if let Some(inv) = self.invs[ix as usize].as_ref() {
            let held = &mut self.funcs[inv.func as usize].held;
            self.held -= held.extract_if(.., |h| *h == ix).count() as u32;
        }
    }

    fn dispatch(&mut self, ix: InvocationIndex, w: usize, load: bool, out: &mut Vec<Action>) {
        self.unhold(ix);
        let now = self.now;
        let Some(inv) = self.invs[ix as usize].as_ref() else {
            return;
        };
        let (func, trigger, left) = (inv.func, inv.trigger, inv.gives_up_at - now);
        let bad = self.health.bad(w, trigger, now);
        self.trial_due -= 1;
        let f = &self.funcs[func as usize];
        let loading = load || f.loading.is_some_and(|l| l as usize == w);
        let usual = self.usual_service(f);
        let wait = if loading {
            self.usual_load(f).stretched()
        } else {
            0
        };
        // Symptom: work far shorter than this router's own pauses; each pause would look like every worker's.
        let due = usual.stretched() + wait + self.fleet.granularity;
        let (hush, patience) = (HUSH * due, PATIENCE * due);
        // A further dispatch only if the time left then exceeds the time it is expected to take.
        let again = self.triggers[trigger].effect != Effect::NonIdempotent
            && inv.dispatches.len() as u32 + 1 < self.limits.max_dispatches
            && left - patience > usual.mean;
        out.push(Action::Dispatch {
            invocation: ix,
            worker: w as WorkerIndex,
            timeout: again.then_some(patience),
        });
        let dispatch = Dispatch {
            worker: w as WorkerIndex,
            at: now,
            fate: Fate::Out,
            load,
        };
        if let Some(inv) = self.invs[ix as usize].as_mut() {
            inv.dispatches.push(dispatch);
        }
        let f = &mut self.funcs[func as usize];
        f.own[w] += 1;
        f.warm_until[w] = now + self.loads.idle_retention;
        if load {
            self.load_begins(func, w);
        }
        self.health.sent(w, trigger, now + hush);
        if bad {
            let shortest = self
                .triggers
                .iter()
                .map(|t| t.latency_objective)
                .min()
                .unwrap_or(0);
            let [slot, _] = self.health.slots(w, trigger);
            self.health.trial_at[slot] = now + shortest / TRIAL_PART;
            self.trial_due = TRIAL_ONE_IN;
        }
        forget_before(
            &mut self.workers.recent[w],
            now - self.rules.overload_window,
        );
        self.workers.recent[w].push_back(now);
    }

    fn usual_service(&self, f: &Function) -> Usual {
        usual(
            [f.service, self.service[f.trigger]],
            self.triggers[f.trigger].latency_objective / 8,
        )
    }

    fn usual_load(&self, f: &Function) -> Usual {
        usual(
            [f.load, self.load],
            self.triggers[f.trigger].latency_objective,
        )
    }

    fn settle(&mut self, e: &DispatchEnded, out: &mut Vec<Action>) {
        let &DispatchEnded {
            invocation: ix,
            dispatch,
            worker,
            outcome,
            took,
            answered: concluded,
            copy_status: note,
            function_load: crowd,
            ..
        } = e;
        let (now, w) = (self.now, worker as usize);
        let Some(inv) = self.invs[ix as usize].as_mut() else {
            return;
        };
        let sent = inv
            .dispatches
            .get_mut(dispatch as usize)
            .filter(|d| d.fate == Fate::Out);
        let Some(d) = sent else { return };
        d.fate = match outcome {
            DispatchOutcome::Rejected => Fate::WasFull,
            _ if outcome.not_executed() => Fate::NeverRan,
            _ => Fate::MayHaveRun,
        };
        let (load, sent_at, func, trigger, work) = (d.load, d.at, inv.func, inv.trigger, inv.work);
        let (objective_at, brief) = (inv.objective_at, inv.brief);
        let f = &mut self.funcs[func as usize];
        f.own[w] = f.own[w].saturating_sub(1);
        let own = f64::from(self.health.own_at(w));
        self.health.ended(w, trigger);
        if load {
            self.load_ends(func, w);
        }
        let usual = self.usual_service(&self.funcs[func as usize]);
        let f = &self.funcs[func as usize];
        let crowd = crowd.unwrap_or(0) / (HOME_CROWD * f.lanes);
        if crowd > 0 && sent_at >= f.homes_at {
            self.more_homes(func, f.homes * crowd as usize * 2);
        }
        let objective = self.triggers[trigger].latency_objective;
        if brief
            && matches!(
                outcome,
                DispatchOutcome::Succeeded | DispatchOutcome::TimedOut
            )
        {
            let served = f64::from(u8::from(outcome == DispatchOutcome::Succeeded));
            self.brief_served += (served - self.brief_served) / PRESSED_OVER;
        }
        if let DispatchOutcome::Succeeded | DispatchOutcome::Rejected = outcome {
            let late = outcome == DispatchOutcome::Rejected || now > objective_at;
            self.pressed_at = now;
            self.pressed += (f64::from(u8::from(late)) - self.pressed) / self.pressed_over;
        }
        match outcome {
            DispatchOutcome::Succeeded => {
                self.health.judge(w, trigger, now, true);
                let over = CARRIED_WINDOWS * self.rules.overload_window.max(1) as f64;
                self.carried.add(now, over, 1.0);
                let loaded_by = self.workers.loaded_by[w].max(now);
                for slot in self.health.slots(w, trigger) {
                    self.health.due[slot] = loaded_by + HUSH * usual.stretched();
                }
                // One answered at once found the copy standing.
                let at_once =
                    took - usual.mean <= self.usual_load(&self.funcs[func as usize]).mean / GAIN;
                let f = &mut self.funcs[func as usize];
                f.warm_until[w] = now + self.loads.idle_retention;
                if note == CopyStatus::Warm || note == CopyStatus::Unreported && (!load || at_once)
                {
                    f.service.learn(took);
                    self.service[trigger].learn(took);
                    if work > 0 {
                        let slowness = &mut self.slowness[self.workers.kind[w] as usize];
                        *slowness +=
                            ((took as f64 / work as f64).min(SLOWEST) - *slowness) / SLOWNESS_GAIN;
                    }
                    self.workers.learn_bears(w, now, own, took, objective);
                } else if note == CopyStatus::LoadStarted || load {
                    self.loaded_in((took - usual.mean).max(1), func);
                }
            }
            DispatchOutcome::NotLoaded => self.funcs[func as usize].cool(w),
            // Symptom: a full worker answers fastest of all and so looks idle.
            DispatchOutcome::Rejected => {
                self.workers
                    .learn_bears(w, now, own, Micros::MAX / 8, objective)
            }
            DispatchOutcome::NotSent | DispatchOutcome::Cancelled => {}
            // A load that fails, as with an order; of the worker it tells something if the function has run.
            DispatchOutcome::Errored if load => {
                self.load_errored(func, took);
                if self.funcs[func as usize].service.mean > 0 {
                    self.health.judge(w, trigger, now, false);
                }
            }
            // A try that its client ended before an answer was due tells nothing.
            DispatchOutcome::TimedOut if took < usual.stretched() => {}
            _ => self.health.judge(w, trigger, now, false),
        }
        if concluded {
            self.conclude(ix);
        }
        self.follow_up(ix, out);
        self.release(ix);
        self.retry_held(Some(func), out);
    }

    /// After a dispatch without success: another one, or the final answer at once.
    fn follow_up(&mut self, ix: InvocationIndex, out: &mut Vec<Action>) {
        let Some((inv, f)) = self.found(ix).filter(|(i, _)| !i.ended && !i.out()) else {
            return;
        };
        let again = (0..self.workers.zone.len()).any(|w| self.allowed(inv, w));
        if again && inv.gives_up_at - self.now > self.usual_service(f).mean {
            self.route(ix, out);
        } else {
            self.give_up(ix, out);
        }
    }

    /// The final answer of an invocation that gets no success.
    fn give_up(&mut self, ix: InvocationIndex, out: &mut Vec<Action>) {
        let Some(inv) = self.invs[ix as usize].as_ref().filter(|i| !i.ended) else {
            return;
        };
        let harmless = match self.triggers[inv.trigger].effect {
            Effect::Idempotent
            | Effect::IdempotentByKey {
                scope: DeduplicationScope::All,
                ..
            } => true,
            _ => inv.dispatches.iter().all(|d| d.fate.never_ran()),
        };
        if harmless {
            let advice = self.triggers[inv.trigger].latency_objective / 4;
            let return_after = Some(advice.min(self.limits.max_retry_after)).filter(|&t| t > 0);
            out.push(Action::Reject {
                invocation: ix,
                retry_after: return_after,
            });
        } else {
            out.push(Action::Fail { invocation: ix });
        }
        self.conclude(ix);
    }

    fn conclude(&mut self, ix: InvocationIndex) {
        self.unhold(ix);
        if let Some(inv) = self.invs[ix as usize].as_mut() {
            inv.ended = true;
        }
        self.release(ix);
    }

    fn release(&mut self, ix: InvocationIndex) {
        if let Some(inv) = self.invs[ix as usize].take_if(|i| i.ended && !i.out()) {
            self.funcs[inv.func as usize].open -= 1;
        }
    }

    /// What an answer still earns; nothing is lost by serving the dearest first.
    fn worth(&self, inv: &Inv, f: &Function) -> i64 {
        let usual = self.usual_service(f);
        (self.earns(inv, self.now + usual.mean + usual.stray > inv.objective_at) * 1e3) as i64
    }

    /// Held invocations of one function, or of all, leave for the lanes that have become free.
    fn retry_held(&mut self, only: Option<FunctionIndex>, out: &mut Vec<Action>) {
        let all = 0..self.funcs.len() as u32;
        let funcs = only.map_or(all, |f| f..f + 1);
        let mut held: Vec<InvocationIndex> = funcs
            .flat_map(|f| self.funcs[f as usize].held.iter().copied())
            .collect();
        held.sort_by_cached_key(|&ix| {
            self.found(ix).map_or((0, 0, ix), |(inv, f)| {
                (-self.worth(inv, f), inv.arrived, ix)
            })
        });
        for ix in held {
            let Some((inv, f)) = self.found(ix) else {
                continue;
            };
            let service = self.usual_service(f);
            // While many are late, an answer that can only be late takes the place of one in time.
            let ends = match self.costs_more(inv, true) {
                true if self.pressed > PRESSED => inv.objective_at - service.stray,
                true => inv.objective_at,
                false => inv.gives_up_at,
            };
            if ends - self.now <= service.mean {
                self.give_up(ix, out);
            } else if let Some(w) = self.free_lane(ix) {
                self.dispatch(ix, w, false, out);
            } else if !self.any_warm(ix)
                && let Some(w) = self.load_place(ix)
            {
                self.begin_load(ix, w, out);
            }
        }
    }

    /// Rule 5: this order included, within the ration of its window.
    fn order_left(&self) -> bool {
        let since = self.now - self.loads.order_quota_window;
        let within = |q: &VecDeque<Micros>| q.iter().filter(|&&t| t > since).count() as f64;
        self.loads.order_quota_window <= 0
            || within(&self.ordered) + 1.0
                <= self.loads.order_quota_base
                    + self.loads.order_quota_per_invocation * within(&self.taken)
    }

    fn load_begins(&mut self, func: FunctionIndex, w: usize) {
        self.funcs[func as usize].loading = Some(w as WorkerIndex);
        self.workers.loaded_by[w] = self.now + self.usual_load(&self.funcs[func as usize]).mean;
    }

    /// The load of this function there, if one was under way, is over; true if so.
    fn load_ends(&mut self, func: FunctionIndex, w: usize) -> bool {
        let ended = self.funcs[func as usize]
            .loading
            .take_if(|l| *l as usize == w)
            .is_some();
        if ended {
            self.workers.loaded_by[w] = NO_TIME;
        }
        ended
    }

    fn order_ended(&mut self, event: &Event, out: &mut Vec<Action>) {
        let &Event::OrderEnded {
            worker,
            function: func,
            result,
            copies,
            took,
        } = event
        else {
            return;
        };
        if !self.funcs[func as usize].known {
            return;
        }
        let w = worker as usize;
        let usual = self.usual_load(&self.funcs[func as usize]);
        let loaded = self.load_ends(func, w);
        let f = &mut self.funcs[func as usize];
        f.orders = f.orders.saturating_sub(1);
        let answered = matches!(
            result,
            LoadOrderResult::Loaded | LoadOrderResult::NoCapacity
        );
        if answered && copies > 0 {
            f.warm_until[w] = f.warm_until[w].max(self.now + self.loads.idle_retention);
            // One answered at once found the copy standing.
            if loaded && took > usual.mean / GAIN {
                self.loaded_in(took, func);
            }
        } else if result != LoadOrderResult::Loaded || f.own[w] == 0 {
            f.cool(w);
        }
        if result == LoadOrderResult::NoCapacity {
            // Symptom: a worker without room for a copy says so at once and is asked again at once. It takes
            // no load from here for a load's usual time.
            self.workers.loaded_by[w] = self.now + usual.mean;
        } else if result == LoadOrderResult::LoadFailed {
            self.load_errored(func, took);
        } else if !answered {
            self.health.judge(w, self.triggers.len(), self.now, false);
        }
        self.retry_held(Some(func), out);
    }

    /// Symptom: a function that nobody can load fails at once on one worker after the other, and with each of
    /// them blamed none is left for other loads. It waits itself, a load's usual time in all.
    fn load_errored(&mut self, func: FunctionIndex, took: Micros) {
        let usual = self.usual_load(&self.funcs[func as usize]).mean;
        self.funcs[func as usize].load_from = self.now + usual - took;
    }

    fn tick(&mut self, out: &mut Vec<Action>) {
        self.next_tick = None;
        forget_before(&mut self.ordered, self.now - self.loads.order_quota_window);
        forget_before(&mut self.taken, self.now - self.loads.order_quota_window);
        // Symptom: with every worker judged bad nothing is sent, and trials that come by dispatches never do.
        let stalled = self.held > 0 && self.workers.serving().all(|w| self.health.own_at(w) == 0);
        self.trial_due -= i32::from(stalled);
        if self.now - self.pressed_at > self.loads.idle_retention {
            // Symptom: with all refused under pressure, no answer comes that could tell of its end.
            self.pressed = 0.0;
        }
        self.retry_held(None, out);
        for func in 0..self.funcs.len() as u32 {
            let f = &mut self.funcs[func as usize];
            let unused = self.now - f.used > FORGET_AFTER * self.loads.idle_retention;
            if f.known && f.open == 0 && f.orders == 0 && unused {
                *f = Function::default();
                out.push(Action::ReleaseFunction { function: func });
            }
        }
    }

    fn follow_list(&mut self, mode: EndpointListKind, entries: &[Endpoint], out: &mut Vec<Action>) {
        if mode == EndpointListKind::Failed
            || (mode == EndpointListKind::Cached && self.rules.list_on_request)
        {
            out.push(Action::RequestEndpointList { watch: true });
        }
        if mode == EndpointListKind::Failed {
            return;
        }
        let known = self.workers.zone.len();
        let most = entries
            .iter()
            .map(|e| e.worker as usize + 1)
            .fold(known, usize::max);
        self.workers.grow(most);
        self.health.grow(most);
        self.funcs.iter_mut().for_each(|f| f.grow(most));
        let gone = |w: &usize| {
            mode != EndpointListKind::Changes && !entries.iter().any(|e| e.worker as usize == *w)
        };
        let mut lost: Vec<usize> = (0..most).filter(gone).collect();
        lost.iter()
            .for_each(|&w| self.workers.standing[w] = EndpointState::Gone);
        for e in entries {
            let w = e.worker as usize;
            if self.workers.fingerprint[w] != e.fingerprint {
                // The index of one that is gone was given out again: nothing of it is the new one's.
                self.workers.renew(w);
                self.health.renew(w);
                lost.push(w);
            }
            let started = e.started_at.unwrap_or(self.workers.started[w]);
            if self.workers.started[w] != started || e.state == EndpointState::Gone {
                lost.push(w);
            }
            self.workers.fingerprint[w] = e.fingerprint;
            self.workers.zone[w] = e.zone;
            self.workers.cell[w] = e.cell;
            self.workers.kind[w] = e.machine_kind;
            if e.state == EndpointState::Draining
                && self.workers.standing[w] == EndpointState::InService
            {
                self.workers.stops_at[w] = self.now + self.rules.drain_grace * 3 / 4;
            }
            self.slowness
                .resize(self.slowness.len().max(e.machine_kind as usize + 1), 1.0);
            self.workers.standing[w] = e.state;
            self.workers.started[w] = started;
        }
        // A restarted process is empty and not yet judged.
        for w in lost {
            let [first, all] = self.health.slots(w, 0);
            self.health.judged[first..=all].fill(0);
            self.workers.loaded_by[w] = NO_TIME;
            for f in &mut self.funcs {
                f.cool(w);
                f.loading.take_if(|l| *l as usize == w);
            }
        }
        for func in 0..self.funcs.len() as u32 {
            if self.funcs[func as usize].known {
                self.rank(func);
            }
        }
        self.retry_held(None, out);
    }
}
