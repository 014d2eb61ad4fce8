//! Ranks causes: for each invocation that failed or was late, the one thing that cost it most, from decisions and their
//! outcomes. Free of I/O: [`CauseRanker::record`] takes the records of all sources, each source's in its own order;
//! [`CauseRanker::ranked`] returns the causes, most expensive first.
//!
//! Mechanisms:
//! 1. Each failed or late invocation has one cause, the first of these that holds: a limit rejected it; a dispatch of
//!    it failed at a worker; it waited for a load; it was queued for a lane; its worker was slower than usual; its own
//!    execution took that long.
//! 2. A cause has a subject (worker, function, trigger type, account, listener), so that one bad worker is one line.
//! 3. The cost is the billed value lost: all of it, or the part that a late answer does not earn.
//! 4. Loads of many functions that were waited for are one cause, the store's, rather than one for each.

mod cause;
mod source_state;

use std::collections::{BTreeMap, HashMap};

use cedarpulley::interface::{CopyStatus, DispatchEnded, DispatchOutcome, Event, Micros};
use cedarpulley_router::admission_control::RejectionReason;
use cedarpulley_router::{AnswerReason, FinalOutcome};

pub use cause::{Cause, RankedCause};
use source_state::{LastDispatch, OpenInvocation, SourceState};

use crate::records::{NameKind, Record, RecordedEvent};
use crate::start::Source;

/// A worker that takes so many times the usual time of the trigger type is the cause of its lateness.
const SLOW_MULTIPLE: f64 = 2.0;
/// Queued for at least this part of its latency objective, an invocation was late by being queued.
const QUEUED_FRACTION: f64 = 0.3;
/// Loads of at least so many functions that were waited for count as one fault of the store.
const MANY_FUNCTIONS: usize = 3;
/// Usual times are moving averages over about so many dispatches.
const AVERAGING_SAMPLES: f64 = 32.0;

/// How an invocation missed its objective; decides what it cost.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Miss {
    /// Ended without success: all of its billed value.
    Lost,
    /// Succeeded after its objective: what a late answer does not earn.
    Late,
}

/// Collects causes from any number of sources.
#[derive(Default)]
pub struct CauseRanker {
    states: HashMap<u32, SourceState>,
    causes: BTreeMap<Cause, RankedCause>,
    /// Usual microseconds of a dispatch that found its copy warm, by the trigger type's name.
    usual_times: HashMap<String, f64>,
}

fn name_of(names: &[String], index: u32) -> String {
    names
        .get(index as usize)
        .cloned()
        .unwrap_or_else(|| "unknown".into())
}

impl CauseRanker {
    /// Takes a record of the source with this number, at its router time. `span`: microseconds of the wall clock; only
    /// what was answered within it counts.
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
        match record {
            Record::Name { kind, index, name } => {
                let state = self.states.entry(source).or_default();
                let names = match kind {
                    NameKind::Worker => &mut state.workers,
                    NameKind::Function => &mut state.functions,
                };
                names.insert(*index, name.clone());
            }
            Record::Decided { event, actions } => {
                self.event(source, of, at, event);
                let state = self.states.entry(source).or_default();
                actions.iter().for_each(|action| state.action(at, action));
            }
            Record::Answered { .. } => self.answered(source, of, at, inside, record),
            Record::Rejected {
                front,
                trigger,
                account,
                reason: why,
            } if inside => {
                let cause = rejection_cause(of, *why, *front, *account);
                self.count(of, *trigger, wall, cause, Miss::Lost);
            }
            _ => {}
        }
    }

    /// Takes a [`Record::Answered`].
    fn answered(&mut self, source: u32, of: &Source, at: Micros, inside: bool, record: &Record) {
        let Record::Answered {
            invocation: inv,
            outcome: fate,
            reason,
            trigger,
            account,
            ..
        } = record
        else {
            return;
        };
        let state = self.states.entry(source).or_default();
        let wall = of.wall(at);
        let Some((invocation, open)) = inv.and_then(|inv| Some((inv, state.open.remove(&inv)?)))
        else {
            if inv.is_none() && *fate != FinalOutcome::Succeeded && inside {
                let cause = immediate_cause(of, *reason, *account);
                self.count(of, *trigger, wall, cause, Miss::Lost);
            }
            return;
        };
        match fate {
            FinalOutcome::Succeeded if at - open.at + open.waited <= open.objective => {
                state.in_time.insert(invocation, open.trigger);
            }
            FinalOutcome::Succeeded if inside => {
                state.late.insert(invocation, (open, at));
            }
            FinalOutcome::Succeeded => {}
            _ if inside => {
                let cause = lost_cause(state, of, &open);
                self.count(of, *trigger, wall, cause, Miss::Lost);
            }
            _ => {}
        }
    }

    fn event(&mut self, source: u32, of: &Source, at: Micros, event: &RecordedEvent) {
        let state = self.states.entry(source).or_default();
        match event {
            RecordedEvent::Other(Event::Invocation(arrival)) => {
                let open = OpenInvocation::new(of, at, arrival);
                state.open.insert(arrival.invocation, open);
                // Its index was assigned again: nothing more comes of the one before.
                state.in_time.remove(&arrival.invocation);
                if let Some((open, answered_at)) = state.late.remove(&arrival.invocation) {
                    let cause = late_cause(&self.usual_times, state, of, &open, None);
                    self.count(of, open.trigger, of.wall(answered_at), cause, Miss::Late);
                }
            }
            RecordedEvent::Other(Event::ClientLeft { invocation }) => {
                state.open.remove(invocation);
            }
            RecordedEvent::Other(Event::DispatchEnded(ended)) => {
                self.dispatch_ended(source, of, ended);
            }
            RecordedEvent::Other(Event::OrderEnded {
                worker,
                function,
                result,
                ..
            }) => state.order_ended(at, *worker, *function, *result),
            _ => {}
        }
    }

    fn dispatch_ended(&mut self, source: u32, of: &Source, ended: &DispatchEnded) {
        let state = self.states.entry(source).or_default();
        if let Some((open, answered_at)) = state.late.remove(&ended.invocation) {
            let last = LastDispatch {
                worker: ended.worker,
                took: ended.took,
                copy_status: ended.copy_status,
            };
            let cause = late_cause(&self.usual_times, state, of, &open, Some(last));
            return self.count(of, open.trigger, of.wall(answered_at), cause, Miss::Late);
        }
        if let Some(trigger) = state.in_time.remove(&ended.invocation) {
            if ended.outcome == DispatchOutcome::Succeeded && ended.copy_status == CopyStatus::Warm
            {
                self.learn(name_of(&of.start.trigger_names, trigger), ended.took);
            }
            return;
        }
        if let Some(open) = state.open.get_mut(&ended.invocation) {
            open.dispatch_ended(ended);
        }
    }

    /// Learns what a dispatch of this trigger type takes where its copy is warm.
    fn learn(&mut self, trigger: String, took: Micros) {
        let usual = self.usual_times.entry(trigger).or_insert(took as f64);
        *usual += (took as f64 - *usual) / AVERAGING_SAMPLES;
    }

    fn count(&mut self, of: &Source, trigger: u32, wall: Micros, cause: Cause, miss: Miss) {
        // A trigger type that is no longer known counts at no cost.
        let trigger = of.start.startup.triggers.get(trigger as usize);
        let cost = trigger.map_or(0.0, |t| match miss {
            Miss::Lost => t.billed_value,
            Miss::Late => t.billed_value * (1.0 - t.late_value_fraction),
        });
        let entry = self
            .causes
            .entry(cause.clone())
            .or_insert_with(|| RankedCause {
                cause,
                cost: 0.0,
                lost: 0,
                late: 0,
                from_us: wall,
                until_us: wall,
            });
        entry.cost += cost;
        entry.lost += u64::from(miss == Miss::Lost);
        entry.late += u64::from(miss == Miss::Late);
        entry.from_us = entry.from_us.min(wall);
        entry.until_us = entry.until_us.max(wall);
    }

    /// All causes, most expensive first.
    pub fn ranked(mut self) -> Vec<RankedCause> {
        self.join_loads();
        let mut ranked: Vec<RankedCause> = self.causes.into_values().collect();
        ranked.sort_by(|a, b| {
            b.cost
                .total_cmp(&a.cost)
                .then_with(|| a.cause.cmp(&b.cause))
        });
        ranked
    }

    /// Makes one cause of the loads of many functions.
    fn join_loads(&mut self) {
        let loads: Vec<Cause> = self
            .causes
            .keys()
            .filter(|cause| matches!(cause, Cause::FunctionLoad(_)))
            .cloned()
            .collect();
        if loads.len() < MANY_FUNCTIONS {
            return;
        }
        let cause = Cause::ManyFunctionLoads(format!("{} functions", loads.len()));
        let joined: Vec<RankedCause> = loads
            .iter()
            .filter_map(|cause| self.causes.remove(cause))
            .collect();
        let sum = RankedCause {
            cause: cause.clone(),
            cost: joined.iter().map(|r| r.cost).sum(),
            lost: joined.iter().map(|r| r.lost).sum(),
            late: joined.iter().map(|r| r.late).sum(),
            from_us: joined.iter().map(|r| r.from_us).min().unwrap_or(0),
            until_us: joined.iter().map(|r| r.until_us).max().unwrap_or(0),
        };
        self.causes.insert(cause, sum);
    }
}

/// Of an invocation that admission control rejected.
fn rejection_cause(of: &Source, reason: RejectionReason, front: u32, account: u32) -> Cause {
    match reason {
        RejectionReason::Front => Cause::ShareExceeded(name_of(&of.start.front_names, front)),
        RejectionReason::Account => Cause::ShareExceeded(name_of(&of.start.account_names, account)),
        RejectionReason::Connection => Cause::ShareExceeded("one connection".into()),
        other => Cause::AdmissionLimit(format!("{other:?}").to_lowercase()),
    }
}

/// Of an invocation that was answered before the decision module received it.
fn immediate_cause(of: &Source, reason: AnswerReason, account: u32) -> Cause {
    let account = name_of(&of.start.account_names, account);
    match reason {
        AnswerReason::Share => Cause::ShareExceeded(account),
        AnswerReason::Expired => Cause::ExpiredOnArrival(account),
        AnswerReason::MayHaveRun => Cause::Redelivered(account),
        AnswerReason::Size => Cause::AdmissionLimit("memory".into()),
        other => Cause::Other(format!("{other:?}").to_lowercase()),
    }
}

/// Of a failed dispatch, if there was one.
fn dispatch_cause(state: &SourceState, of: &Source, open: &OpenInvocation) -> Option<Cause> {
    let (outcome, worker) = open.failed?;
    Some(match outcome {
        DispatchOutcome::TimedOut
        | DispatchOutcome::Unreachable
        | DispatchOutcome::ConnectionLost => Cause::WorkerUnresponsive(state.worker(worker)),
        DispatchOutcome::Errored => Cause::WorkerErrored(state.worker(worker)),
        DispatchOutcome::NotLoaded => Cause::NoLoadCapacity(state.function(open.function)),
        _ => Cause::WorkersOverloaded(name_of(&of.start.trigger_names, open.trigger)),
    })
}

/// Of an invocation that ended without success.
fn lost_cause(state: &SourceState, of: &Source, open: &OpenInvocation) -> Cause {
    if let Some(cause) = dispatch_cause(state, of, open) {
        return cause;
    }
    match open.dispatched_to {
        // In flight until its client gave up.
        Some(worker) => Cause::WorkerUnresponsive(state.worker(worker)),
        None if state.without_capacity.contains(&open.function) => {
            Cause::NoLoadCapacity(state.function(open.function))
        }
        None if state.waited_for_load(open) => Cause::FunctionLoad(state.function(open.function)),
        None => Cause::Queued(name_of(&of.start.trigger_names, open.trigger)),
    }
}

/// Of an invocation that succeeded after its objective.
fn late_cause(
    usual_times: &HashMap<String, f64>,
    state: &SourceState,
    of: &Source,
    open: &OpenInvocation,
    last: Option<LastDispatch>,
) -> Cause {
    let trigger = name_of(&of.start.trigger_names, open.trigger);
    if open.waited > open.objective {
        return Cause::ExpiredOnArrival(trigger);
    }
    if let Some(cause) = dispatch_cause(state, of, open) {
        return cause;
    }
    let copy_status = last.as_ref().map(|last| last.copy_status);
    if let Some(CopyStatus::LoadStarted | CopyStatus::LoadAwaited) = copy_status {
        return Cause::FunctionLoad(state.function(open.function));
    }
    if open.queued_for.unwrap_or(0) as f64 >= QUEUED_FRACTION * open.objective as f64 {
        if state.waited_for_load(open) {
            return Cause::FunctionLoad(state.function(open.function));
        }
        return Cause::Queued(trigger);
    }
    match (last, usual_times.get(&trigger)) {
        (Some(last), Some(usual)) if last.took as f64 > SLOW_MULTIPLE * usual => {
            Cause::WorkerSlow(state.worker(last.worker))
        }
        _ => Cause::OwnExecution(trigger),
    }
}
