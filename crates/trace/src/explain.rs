//! Ranks causes: for each invocation without success or late, the one thing that cost it most, from what was decided
//! and what came of it. Free of I/O: [`Explain::record`] takes the records of all sources, each source's in its own
//! order; [`Explain::ranked`] gives the causes, dearest first.
//!
//! Mechanisms:
//! 1. Each lost or late invocation has one cause, the first of these that holds: a limit turned it away; a dispatch
//!    of it failed at a worker; it waited for a load; it was held for a lane; its worker was slower than usual; it
//!    was its own work.
//! 2. A cause has a subject (worker, function, trigger type, account, front), so that one bad worker is one line.
//! 3. The cost is what the billing lost: all of the billed value, or what a late answer does not earn.
//! 4. Loads of many functions that were waited for are one cause, the store's, rather than one for each.

use std::collections::{BTreeMap, HashMap, HashSet};

use cedarpulley::interface::{
    Action, CopyStatus, DispatchOutcome, Event, InvocationIndex, LoadOrderResult, Micros,
};
use cedarpulley_router::entry::Short;
use cedarpulley_router::{Fate, Reason};
use serde::Serialize;

use crate::records::{Record, RecordedEvent, Space};
use crate::start::Source;

/// A worker that takes so many times what is usual for the trigger type is the cause of its lateness.
const SLOW: f64 = 2.0;
/// Held for at least this part of its time, an invocation was late by being held.
const HELD: f64 = 0.3;
/// Loads of at least so many functions that were waited for count as one trouble of the store.
const MANY_FUNCTIONS: usize = 3;
/// Usual times are averages over about so many.
const MEMORY: f64 = 32.0;

/// What cost an invocation, and whose doing it was.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case", tag = "cause", content = "subject")]
pub enum Cause {
    /// Turned away or given back for a share.
    BeyondShare(String),
    /// Turned away at the door for want of room.
    Door(String),
    /// Its client's time had run out before it came.
    CameLate(String),
    /// A worker fell silent, broke off or could not be reached.
    WorkerSilent(String),
    WorkerErrored(String),
    WorkerSlow(String),
    /// Workers refused it.
    WorkersFull(String),
    /// Its function had nowhere to be loaded, or its load failed.
    NoPlace(String),
    /// It waited for a load of this function.
    Load(String),
    /// Many functions were waited for.
    Loads(String),
    /// Held for a lane that did not come in time.
    Held(String),
    /// Delivered again, and perhaps run, by whoever had it before.
    Redelivered(String),
    OwnWork(String),
    Other(String),
}

#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct RankedCause {
    #[serde(flatten)]
    pub cause: Cause,
    /// Billed value lost.
    pub cost: f64,
    pub lost: u64,
    pub late: u64,
    /// Wall's microseconds of the first and the last.
    pub from_us: Micros,
    pub until_us: Micros,
}

struct Open {
    trigger: u32,
    func: u32,
    at: Micros,
    waited: Micros,
    objective: Micros,
    /// Until its first dispatch left.
    held: Option<Micros>,
    failed: Option<(DispatchOutcome, u32)>,
    sent_to: Option<u32>,
}

#[derive(Default)]
struct Side {
    open: HashMap<InvocationIndex, Open>,
    /// Answered late; what its last dispatch found comes with the next word of it.
    late: HashMap<InvocationIndex, (Open, Micros)>,
    workers: HashMap<u32, String>,
    functions: HashMap<u32, String>,
    /// Answered in time, by trigger type, until the word of the last dispatch: from it what is usual is learned.
    in_time: HashMap<InvocationIndex, u32>,
    /// Orders to load that are out, by worker and function; a question for how many copies stand ends alike.
    ordered: HashSet<(u32, u32)>,
    /// Of how many workers a function is ordered, and when the last of these orders ended.
    loading: HashMap<u32, (u32, Micros)>,
    /// Functions for which the last order found no room or failed.
    no_place: HashSet<u32>,
}

impl Side {
    fn worker(&self, ix: u32) -> String {
        self.workers
            .get(&ix)
            .cloned()
            .unwrap_or_else(|| ix.to_string())
    }

    /// A load of its function was out while it was held.
    fn loaded(&self, open: &Open) -> bool {
        self.loading
            .get(&open.func)
            .is_some_and(|(out, ended)| *out > 0 || *ended >= open.at)
    }

    fn function(&self, ix: u32) -> String {
        self.functions
            .get(&ix)
            .cloned()
            .unwrap_or_else(|| ix.to_string())
    }
}

#[derive(Default)]
pub struct Explain {
    sides: HashMap<u32, Side>,
    causes: BTreeMap<Cause, RankedCause>,
    /// Usual time of a dispatch that found its copy, by the trigger type's name.
    usual: HashMap<String, f64>,
}

fn name(names: &[String], ix: u32) -> String {
    names
        .get(ix as usize)
        .cloned()
        .unwrap_or_else(|| "unknown".into())
}

impl Explain {
    /// `span`: wall's microseconds; only what was answered within it counts.
    pub fn record(
        &mut self,
        source: u32,
        of: &Source,
        span: (Micros, Micros),
        at: Micros,
        record: &Record,
    ) {
        let wall = of.wall(at);
        let inside = wall >= span.0 && wall < span.1;
        let side = self.sides.entry(source).or_default();
        match record {
            Record::Name {
                kind: Space::Worker,
                index: ix,
                name: text,
            } => {
                side.workers.insert(*ix, text.clone());
            }
            Record::Name {
                kind: Space::Function,
                index: ix,
                name: text,
            } => {
                side.functions.insert(*ix, text.clone());
            }
            Record::Decided {
                event: happened,
                actions,
            } => {
                self.told(source, of, at, happened);
                let side = self.sides.entry(source).or_default();
                for action in actions {
                    match action {
                        Action::Dispatch {
                            invocation: inv,
                            worker,
                            ..
                        } => {
                            if let Some(open) = side.open.get_mut(inv) {
                                open.held.get_or_insert(at - open.at);
                                open.sent_to = Some(*worker);
                            }
                        }
                        Action::LoadOrder {
                            worker,
                            function: func,
                            copies,
                        } if *copies > 0 && side.ordered.insert((*worker, *func)) => {
                            side.loading.entry(*func).or_insert((0, Micros::MIN)).0 += 1;
                        }
                        _ => {}
                    }
                }
            }
            Record::Answered {
                inv,
                fate,
                reason,
                trigger,
                account,
                ..
            } => {
                let Some(open) = inv.and_then(|inv| side.open.remove(&inv)) else {
                    if inv.is_none() && *fate != Fate::Succeeded && inside {
                        let cause = at_once(of, *reason, *account);
                        self.count(of, *trigger, wall, cause, true);
                    }
                    return;
                };
                match fate {
                    Fate::Succeeded if at - open.at + open.waited <= open.objective => {
                        if let Some(inv) = inv {
                            side.in_time.insert(*inv, open.trigger);
                        }
                    }
                    Fate::Succeeded => {
                        if let Some(inv) = inv.filter(|_| inside) {
                            side.late.insert(inv, (open, at));
                        }
                    }
                    _ if inside => {
                        let cause = lost(side, of, &open);
                        self.count(of, *trigger, wall, cause, true);
                    }
                    _ => {}
                }
            }
            Record::TurnedAway {
                front,
                trigger,
                account,
                why,
            } if inside => {
                let cause = match why {
                    Short::Front => Cause::BeyondShare(name(&of.start.fronts_named, *front)),
                    Short::Account => Cause::BeyondShare(name(&of.start.accounts_named, *account)),
                    Short::Connection => Cause::BeyondShare("one connection".into()),
                    other => Cause::Door(format!("{other:?}").to_lowercase()),
                };
                self.count(of, *trigger, wall, cause, true);
            }
            _ => {}
        }
    }

    fn told(&mut self, source: u32, of: &Source, at: Micros, happened: &RecordedEvent) {
        let side = self.sides.entry(source).or_default();
        match happened {
            RecordedEvent::Other(Event::Invocation(a)) => {
                let objective =
                    of.start
                        .startup
                        .triggers
                        .get(a.trigger as usize)
                        .map_or(Micros::MAX, |t| {
                            let stretch =
                                a.cost_hint.unwrap_or(0) as f64 * t.objective_work_multiple;
                            t.latency_objective.saturating_add(stretch as Micros)
                        });
                let open = Open {
                    trigger: a.trigger,
                    func: a.function,
                    at,
                    waited: a.waited,
                    objective,
                    held: None,
                    failed: None,
                    sent_to: None,
                };
                side.open.insert(a.invocation, open);
                // Its index was given out again: nothing more comes of the one before.
                side.in_time.remove(&a.invocation);
                if let Some((open, then)) = side.late.remove(&a.invocation) {
                    let cause = late(&self.usual, side, of, &open, None);
                    self.count(of, open.trigger, of.wall(then), cause, false);
                }
            }
            RecordedEvent::Other(Event::ClientLeft { invocation: inv }) => {
                side.open.remove(inv);
            }
            RecordedEvent::Other(Event::DispatchEnded(e)) => {
                if let Some((open, then)) = side.late.remove(&e.invocation) {
                    let cause = late(
                        &self.usual,
                        side,
                        of,
                        &open,
                        Some((e.worker, e.took, e.copy_status)),
                    );
                    return self.count(of, open.trigger, of.wall(then), cause, false);
                }
                if let Some(trigger) = side.in_time.remove(&e.invocation) {
                    if e.outcome == DispatchOutcome::Succeeded && e.copy_status == CopyStatus::Warm
                    {
                        self.learn(name(&of.start.triggers_named, trigger), e.took);
                    }
                    return;
                }
                if let Some(open) = side.open.get_mut(&e.invocation) {
                    match e.outcome {
                        DispatchOutcome::Succeeded
                        | DispatchOutcome::Cancelled
                        | DispatchOutcome::NotSent => {}
                        // Refusals count only where nothing worse came.
                        failed => {
                            let worse = open.failed.is_none_or(|(was, _)| {
                                was.not_executed() && !failed.not_executed()
                            });
                            if worse {
                                open.failed = Some((failed, e.worker));
                            }
                        }
                    }
                }
            }
            RecordedEvent::Other(Event::OrderEnded {
                worker,
                function: func,
                result,
                ..
            }) => {
                if side.ordered.remove(&(*worker, *func))
                    && let Some(out) = side.loading.get_mut(func)
                {
                    *out = (out.0.saturating_sub(1), at);
                }
                match result {
                    LoadOrderResult::Loaded => {
                        side.no_place.remove(func);
                    }
                    LoadOrderResult::NoCapacity | LoadOrderResult::LoadFailed => {
                        side.no_place.insert(*func);
                    }
                    _ => {}
                }
            }
            _ => {}
        }
    }

    /// What a dispatch of this trigger type takes where its copy stands, so far.
    fn learn(&mut self, kind: String, took: Micros) {
        let usual = self.usual.entry(kind).or_insert(took as f64);
        *usual += (took as f64 - *usual) / MEMORY;
    }

    fn count(&mut self, of: &Source, trigger: u32, wall: Micros, cause: Cause, lost: bool) {
        // Of a trigger type that is not known any more: counted, at no cost.
        let value = of.start.startup.triggers.get(trigger as usize);
        let cost = value.map_or(0.0, |t| {
            if lost {
                t.billed_value
            } else {
                t.billed_value * (1.0 - t.late_value_fraction)
            }
        });
        let new = RankedCause {
            cause: cause.clone(),
            cost: 0.0,
            lost: 0,
            late: 0,
            from_us: wall,
            until_us: wall,
        };
        let entry = self.causes.entry(cause).or_insert(new);
        entry.cost += cost;
        entry.lost += u64::from(lost);
        entry.late += u64::from(!lost);
        entry.from_us = entry.from_us.min(wall);
        entry.until_us = entry.until_us.max(wall);
    }

    /// Dearest first.
    pub fn ranked(mut self) -> Vec<RankedCause> {
        let loads: Vec<Cause> = self
            .causes
            .keys()
            .filter(|c| matches!(c, Cause::Load(_)))
            .cloned()
            .collect();
        if loads.len() >= MANY_FUNCTIONS {
            let cause = Cause::Loads(format!("{} functions", loads.len()));
            let all: Vec<RankedCause> =
                loads.iter().filter_map(|c| self.causes.remove(c)).collect();
            let sum = RankedCause {
                cause: cause.clone(),
                cost: all.iter().map(|r| r.cost).sum(),
                lost: all.iter().map(|r| r.lost).sum(),
                late: all.iter().map(|r| r.late).sum(),
                from_us: all.iter().map(|r| r.from_us).min().unwrap_or(0),
                until_us: all.iter().map(|r| r.until_us).max().unwrap_or(0),
            };
            self.causes.insert(cause, sum);
        }
        let mut all: Vec<RankedCause> = self.causes.into_values().collect();
        all.sort_by(|a, b| {
            b.cost
                .total_cmp(&a.cost)
                .then_with(|| a.cause.cmp(&b.cause))
        });
        all
    }
}

/// Answered before the module was asked.
fn at_once(of: &Source, reason: Reason, account: u32) -> Cause {
    let account = name(&of.start.accounts_named, account);
    match reason {
        Reason::Share => Cause::BeyondShare(account),
        Reason::Expired => Cause::CameLate(account),
        Reason::MayHaveRun => Cause::Redelivered(account),
        Reason::Size => Cause::Door("memory".into()),
        other => Cause::Other(format!("{other:?}").to_lowercase()),
    }
}

fn failed(side: &Side, of: &Source, open: &Open) -> Option<Cause> {
    let (outcome, worker) = open.failed?;
    Some(match outcome {
        DispatchOutcome::TimedOut
        | DispatchOutcome::Unreachable
        | DispatchOutcome::ConnectionLost => Cause::WorkerSilent(side.worker(worker)),
        DispatchOutcome::Errored => Cause::WorkerErrored(side.worker(worker)),
        DispatchOutcome::NotLoaded => Cause::NoPlace(side.function(open.func)),
        _ => Cause::WorkersFull(name(&of.start.triggers_named, open.trigger)),
    })
}

fn lost(side: &Side, of: &Source, open: &Open) -> Cause {
    if let Some(cause) = failed(side, of, open) {
        return cause;
    }
    match open.sent_to {
        // Out until its client gave up.
        Some(worker) => Cause::WorkerSilent(side.worker(worker)),
        None if side.no_place.contains(&open.func) => Cause::NoPlace(side.function(open.func)),
        None if side.loaded(open) => Cause::Load(side.function(open.func)),
        None => Cause::Held(name(&of.start.triggers_named, open.trigger)),
    }
}

fn late(
    usual: &HashMap<String, f64>,
    side: &Side,
    of: &Source,
    open: &Open,
    last: Option<(u32, Micros, CopyStatus)>,
) -> Cause {
    let kind = name(&of.start.triggers_named, open.trigger);
    if open.waited > open.objective {
        return Cause::CameLate(kind);
    }
    if let Some(cause) = failed(side, of, open) {
        return cause;
    }
    if let Some((_, _, CopyStatus::LoadStarted | CopyStatus::LoadAwaited)) = last {
        return Cause::Load(side.function(open.func));
    }
    if open.held.unwrap_or(0) as f64 >= HELD * open.objective as f64 {
        if side.loaded(open) {
            return Cause::Load(side.function(open.func));
        }
        return Cause::Held(kind);
    }
    match (last, usual.get(&kind)) {
        (Some((worker, took, _)), Some(usual)) if took as f64 > SLOW * usual => {
            Cause::WorkerSlow(side.worker(worker))
        }
        _ => Cause::OwnWork(kind),
    }
}
