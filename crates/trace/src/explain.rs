//! Determines the main cause of each failed or late invocation from the recorded decisions and their outcomes, and
//! ranks the causes by cost. Does no I/O: [`CauseRanker::record`] accepts the records of all sources, each source's
//! records in order; [`CauseRanker::ranked`] returns the causes, most expensive first.
//!
//! Mechanisms:
//! 1. Each failed or late invocation has one cause, the first of these that applies: a limit rejected it; one of its
//!    dispatches failed at a worker; it waited for a load; it was queued for a lane; its worker was slower than usual;
//!    its own execution took too long.
//! 2. A cause has a subject (worker, function, trigger type, account or listener), so that all failures at one faulty
//!    worker are counted in one line.
//! 3. The cost is the lost billed value: all of it, or the part that a late answer does not earn.
//! 4. If invocations waited for loads of many functions, these are counted as one cause, since the store of the
//!    functions is the common reason.

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

/// A worker is the cause of a late answer if it took more than this multiple of the usual time of the trigger type.
const SLOW_MULTIPLE: f64 = 2.0;
/// Queueing is the cause of a late answer if it took at least this fraction of the latency objective.
const QUEUED_FRACTION: f64 = 0.3;
/// Loads of at least this number of functions count as one cause.
const MANY_FUNCTIONS: usize = 3;
/// Usual times are moving averages over about this number of dispatches.
const AVERAGING_SAMPLES: f64 = 32.0;

/// How an invocation missed its objective; determines its cost.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Miss {
    /// Ended without success: costs all of its billed value.
    Lost,
    /// Succeeded after its latency objective: costs the part of the billed value that a late answer does not earn.
    Late,
}

/// Collects causes from any number of sources.
#[derive(Default)]
pub struct CauseRanker {
    /// States by number of the source.
    states: HashMap<u32, SourceState>,
    causes: BTreeMap<Cause, RankedCause>,
    /// Usual time in microseconds of a dispatch to a warm copy, by name of the trigger type.
    usual_times: HashMap<String, f64>,
}

fn name_of(names: &[String], index: u32) -> String {
    names
        .get(index as usize)
        .cloned()
        .unwrap_or_else(|| "unknown".into())
}

impl CauseRanker {
    /// Adds a record of the source with this number, with its router time. `span` is in microseconds of the wall clock,
    /// its end exclusive; only invocations that were answered within it are counted.
    pub fn record(
        &mut self,
        source_number: u32,
        source: &Source,
        span: (Micros, Micros),
        at: Micros,
        record: &Record,
    ) {
        let wall = source.wall(at);
        let inside = wall >= span.0 && wall < span.1;
        match record {
            Record::Name { kind, index, name } => {
                let state = self.states.entry(source_number).or_default();
                let names = match kind {
                    NameKind::Worker => &mut state.workers,
                    NameKind::Function => &mut state.functions,
                };
                names.insert(*index, name.clone());
            }
            Record::Decided { event, actions } => {
                self.event(source_number, source, at, event);
                let state = self.states.entry(source_number).or_default();
                actions.iter().for_each(|action| state.action(at, action));
            }
            Record::Answered { .. } => self.answered(source_number, source, at, inside, record),
            Record::Rejected {
                front,
                trigger,
                account,
                reason,
            } if inside => {
                let cause = rejection_cause(source, *reason, *front, *account);
                self.count(source, *trigger, wall, cause, Miss::Lost);
            }
            _ => {}
        }
    }

    /// Adds a [`Record::Answered`]; ignores other records.
    fn answered(
        &mut self,
        source_number: u32,
        source: &Source,
        at: Micros,
        inside: bool,
        record: &Record,
    ) {
        let Record::Answered {
            invocation,
            outcome,
            reason,
            trigger,
            account,
            ..
        } = record
        else {
            return;
        };
        let state = self.states.entry(source_number).or_default();
        let wall = source.wall(at);
        let Some((invocation, open)) =
            invocation.and_then(|invocation| Some((invocation, state.open.remove(&invocation)?)))
        else {
            if invocation.is_none() && *outcome != FinalOutcome::Succeeded && inside {
                let cause = immediate_cause(source, *reason, *account);
                self.count(source, *trigger, wall, cause, Miss::Lost);
            }
            return;
        };
        match outcome {
            FinalOutcome::Succeeded if at - open.at + open.waited <= open.objective => {
                state.in_time.insert(invocation, open.trigger);
            }
            FinalOutcome::Succeeded if inside => {
                state.late.insert(invocation, (open, at));
            }
            FinalOutcome::Succeeded => {}
            _ if inside => {
                let cause = lost_cause(state, source, &open);
                self.count(source, *trigger, wall, cause, Miss::Lost);
            }
            _ => {}
        }
    }

    fn event(&mut self, source_number: u32, source: &Source, at: Micros, event: &RecordedEvent) {
        let state = self.states.entry(source_number).or_default();
        match event {
            RecordedEvent::Other(Event::Invocation(arrival)) => {
                let open = OpenInvocation::new(source, at, arrival);
                state.open.insert(arrival.invocation, open);
                // The index is reused: the invocation that had it before has no further records.
                state.in_time.remove(&arrival.invocation);
                if let Some((open, answered_at)) = state.late.remove(&arrival.invocation) {
                    let cause = late_cause(&self.usual_times, state, source, &open, None);
                    self.count(
                        source,
                        open.trigger,
                        source.wall(answered_at),
                        cause,
                        Miss::Late,
                    );
                }
            }
            RecordedEvent::Other(Event::ClientLeft { invocation }) => {
                state.open.remove(invocation);
            }
            RecordedEvent::Other(Event::DispatchEnded(ended)) => {
                self.dispatch_ended(source_number, source, ended);
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

    fn dispatch_ended(&mut self, source_number: u32, source: &Source, ended: &DispatchEnded) {
        let state = self.states.entry(source_number).or_default();
        if let Some((open, answered_at)) = state.late.remove(&ended.invocation) {
            let last = LastDispatch {
                worker: ended.worker,
                took: ended.took,
                copy_status: ended.copy_status,
            };
            let cause = late_cause(&self.usual_times, state, source, &open, Some(last));
            return self.count(
                source,
                open.trigger,
                source.wall(answered_at),
                cause,
                Miss::Late,
            );
        }
        if let Some(trigger) = state.in_time.remove(&ended.invocation) {
            if ended.outcome == DispatchOutcome::Succeeded && ended.copy_status == CopyStatus::Warm
            {
                self.learn(name_of(&source.start.trigger_names, trigger), ended.took);
            }
            return;
        }
        if let Some(open) = state.open.get_mut(&ended.invocation) {
            open.dispatch_ended(ended);
        }
    }

    /// Updates the usual time of a dispatch of this trigger type to a warm copy.
    fn learn(&mut self, trigger: String, took: Micros) {
        let usual = self.usual_times.entry(trigger).or_insert(took as f64);
        *usual += (took as f64 - *usual) / AVERAGING_SAMPLES;
    }

    /// Adds the cost of an invocation to its cause.
    fn count(&mut self, source: &Source, trigger: u32, wall: Micros, cause: Cause, miss: Miss) {
        // An unknown trigger type has no cost.
        let trigger = source.start.startup.triggers.get(trigger as usize);
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

    /// Combines the causes of loads into one if there are loads of many functions.
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

/// The cause for an invocation that admission control rejected.
fn rejection_cause(source: &Source, reason: RejectionReason, front: u32, account: u32) -> Cause {
    match reason {
        RejectionReason::Front => Cause::ShareExceeded(name_of(&source.start.front_names, front)),
        RejectionReason::Account => {
            Cause::ShareExceeded(name_of(&source.start.account_names, account))
        }
        RejectionReason::Connection => Cause::ShareExceeded("one connection".into()),
        other => Cause::AdmissionLimit(format!("{other:?}").to_lowercase()),
    }
}

/// The cause for an invocation that was answered before the balancer received it.
fn immediate_cause(source: &Source, reason: AnswerReason, account: u32) -> Cause {
    let account = name_of(&source.start.account_names, account);
    match reason {
        AnswerReason::Share => Cause::ShareExceeded(account),
        AnswerReason::Expired => Cause::ExpiredOnArrival(account),
        AnswerReason::MayHaveRun => Cause::Redelivered(account),
        AnswerReason::Size => Cause::AdmissionLimit("memory".into()),
        other => Cause::Other(format!("{other:?}").to_lowercase()),
    }
}

/// The cause for an invocation with a failed dispatch; absent if no dispatch failed.
fn dispatch_cause(state: &SourceState, source: &Source, open: &OpenInvocation) -> Option<Cause> {
    let (outcome, worker) = open.failed?;
    Some(match outcome {
        DispatchOutcome::TimedOut
        | DispatchOutcome::Unreachable
        | DispatchOutcome::ConnectionLost => Cause::WorkerUnresponsive(state.worker(worker)),
        DispatchOutcome::Errored => Cause::WorkerErrored(state.worker(worker)),
        DispatchOutcome::NotLoaded => Cause::NoLoadCapacity(state.function(open.function)),
        _ => Cause::WorkersOverloaded(name_of(&source.start.trigger_names, open.trigger)),
    })
}

/// The cause for an invocation that ended without success.
fn lost_cause(state: &SourceState, source: &Source, open: &OpenInvocation) -> Cause {
    if let Some(cause) = dispatch_cause(state, source, open) {
        return cause;
    }
    match open.dispatched_to {
        // The dispatch was in flight until the client's timeout.
        Some(worker) => Cause::WorkerUnresponsive(state.worker(worker)),
        None if state.without_capacity.contains(&open.function) => {
            Cause::NoLoadCapacity(state.function(open.function))
        }
        None if state.waited_for_load(open) => Cause::FunctionLoad(state.function(open.function)),
        None => Cause::Queued(name_of(&source.start.trigger_names, open.trigger)),
    }
}

/// The cause for an invocation that succeeded after its latency objective. `last` is its last dispatch, if known.
fn late_cause(
    usual_times: &HashMap<String, f64>,
    state: &SourceState,
    source: &Source,
    open: &OpenInvocation,
    last: Option<LastDispatch>,
) -> Cause {
    let trigger = name_of(&source.start.trigger_names, open.trigger);
    if open.waited > open.objective {
        return Cause::ExpiredOnArrival(trigger);
    }
    if let Some(cause) = dispatch_cause(state, source, open) {
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
