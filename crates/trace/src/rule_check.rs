//! Checks the delivery rules from traces alone. Does no I/O: [`RuleChecker::record`] accepts the records of any number
//! of sources, each source's records in order; [`RuleChecker::finish`] returns the violations, and the number of
//! invocations that could not be checked.
//!
//! A trace contains the decisions of the router core only. Faults after a decision (an answer or a dispatch that is
//! lost, or sent twice or late) are visible only on the sockets, to `cedarpulley audit`. The same holds for rule 4,
//! since traces do not contain the size of the work, and for a message that several routers handled, unless its
//! correlation id was recorded.

mod source_state;

use std::collections::{BTreeMap, HashMap};

use cedarpulley::interface::{
    Action, DispatchEnded, DispatchOutcome, Effect, Event, InvocationIndex, Micros,
};
use cedarpulley_router::FinalOutcome;
use serde::Serialize;

use crate::records::{Record, RecordedEvent};
use crate::start::Source;
use source_state::{Dispatch, ListedWorker, OpenInvocation, SourceState};

/// The recorded deadline of an invocation is earlier than the client's own by a margin from the router's settings,
/// which a trace does not contain. The check assumes that the margin is at least this default, in microseconds.
const ANSWER_MARGIN: Micros = 100_000;
/// Largest number of violations that are described; further ones are only counted.
const MAX_REPORTED: usize = 40;
/// Largest number of messages that are tracked across routers; further ones are counted as not checked.
const MAX_FOLLOWED_MESSAGES: usize = 1_000_000;

/// The result of a check.
#[derive(Clone, Debug, Default, Serialize, PartialEq, Eq)]
pub struct RuleCheck {
    /// Invocations that reached the balancer.
    pub invocations: u64,
    /// Number of violations by number of the rule; rules without violations are absent.
    #[serde(rename = "rules")]
    pub violations_by_rule: BTreeMap<u8, u64>,
    /// Descriptions of the first violations.
    #[serde(rename = "breaks")]
    pub violations: Vec<String>,
    /// Invocations that could not be checked: they were open when their trace ended or at a gap, or too many messages
    /// were tracked.
    pub unseen: u64,
}

/// The number of a rule, and a description of its violation.
struct Violation {
    rule: u8,
    description: String,
}

/// Checks the delivery rules for any number of sources.
#[derive(Default)]
pub struct RuleChecker {
    /// States by number of the source.
    states: HashMap<u32, SourceState>,
    /// For messages that must not be executed twice, by the hash of their correlation id: the source whose dispatch may
    /// have executed them.
    executed_by: HashMap<u64, u32>,
    result: RuleCheck,
}

/// Prefixes a description with the name of the router and the wall clock.
fn located(source: &Source, at: Micros, description: &str) -> String {
    format!(
        "{} at {} us: {description}",
        source.start.router,
        source.wall(at)
    )
}

fn effect_of(source: &Source, trigger: u32) -> Option<Effect> {
    let trigger = source.start.startup.triggers.get(trigger as usize);
    trigger.map(|t| t.effect)
}

impl RuleChecker {
    fn violation(&mut self, rule: u8, description: String) {
        *self.result.violations_by_rule.entry(rule).or_default() += 1;
        if self.result.violations.len() < MAX_REPORTED {
            self.result
                .violations
                .push(format!("rule {rule}: {description}"));
        }
    }

    /// Checks a record of the source with this number, with its router time.
    pub fn record(&mut self, source_number: u32, source: &Source, at: Micros, record: &Record) {
        let state = self.states.entry(source_number).or_default();
        state.now = at;
        match record {
            Record::Name { .. } | Record::Rejected { .. } => {}
            Record::Gap { .. } => {
                // Open invocations may have ended in the gap.
                self.result.unseen += state.open.len() as u64;
                state.open.clear();
            }
            Record::Accepted {
                invocation,
                correlation_hash,
                ..
            } => {
                if let Some(correlation_hash) = correlation_hash {
                    state
                        .correlation_hashes
                        .insert(*invocation, *correlation_hash);
                }
            }
            Record::Answered {
                invocation: Some(invocation),
                outcome,
                ..
            } => self.answered(source_number, source, at, *invocation, *outcome),
            Record::Answered { .. } => {}
            Record::Decided { event, actions } => {
                self.event(source_number, source, at, event);
                for action in actions {
                    self.action(source_number, source, at, action);
                }
            }
        }
    }

    fn answered(
        &mut self,
        source_number: u32,
        source: &Source,
        at: Micros,
        invocation: InvocationIndex,
        outcome: FinalOutcome,
    ) {
        let state = self.states.entry(source_number).or_default();
        let Some(open) = state.open.get_mut(&invocation) else {
            return;
        };
        // Deliveries of the same message that wait for the answer get it together with the first.
        if std::mem::replace(&mut open.answered, true) {
            return;
        }
        let late =
            at - open.client_deadline - ANSWER_MARGIN - source.start.startup.rules.answer_slack;
        let may_have_run = open.dispatches.iter().any(Dispatch::may_have_run);
        let effect = effect_of(source, open.trigger);
        if late > 0 {
            let what = format!("answered {} ms after its client gave up", late / 1000);
            self.violation(1, located(source, at, &what));
        }
        // A worker ignores a retry with an idempotency key of an invocation that it has executed.
        if outcome == FinalOutcome::Throttled
            && may_have_run
            && effect == Some(Effect::NonIdempotent)
        {
            self.violation(2, located(source, at, "told harmless, and it may have run"));
        }
    }

    fn event(&mut self, source_number: u32, source: &Source, at: Micros, event: &RecordedEvent) {
        let state = self.states.entry(source_number).or_default();
        match event {
            RecordedEvent::List { endpoints, .. } => {
                for endpoint in endpoints {
                    state.endpoint(at, endpoint);
                }
            }
            RecordedEvent::Other(Event::Invocation(arrival)) => {
                self.result.invocations += 1;
                let window = source.start.startup.loads.order_quota_window;
                if let Some(before) = state.arrived(at, arrival, window) {
                    self.ended(source, &before, at);
                }
            }
            RecordedEvent::Other(Event::ClientLeft { invocation }) => {
                if let Some(open) = state.open.get_mut(invocation) {
                    open.answered = true;
                }
            }
            RecordedEvent::Other(Event::DispatchEnded(ended)) => {
                self.dispatch_ended(source_number, source, ended);
            }
            RecordedEvent::Other(_) => {}
        }
    }

    fn dispatch_ended(&mut self, source_number: u32, source: &Source, ended: &DispatchEnded) {
        let state = self.states.entry(source_number).or_default();
        let Some(open) = state.open.get_mut(&ended.invocation) else {
            return;
        };
        // The invocation was concluded without an answer: its listener was lost, so no delivery waits for it here.
        open.answered |= ended.answered;
        let (correlation_hash, trigger) = (open.correlation_hash, open.trigger);
        let Some(dispatch) = open.dispatches.get_mut(ended.dispatch as usize) else {
            return;
        };
        dispatch.outcome = Some(ended.outcome);
        let violation = dispatch.pending_violation.take().filter(|_| {
            !matches!(
                ended.outcome,
                DispatchOutcome::NotSent | DispatchOutcome::NoConnection
            )
        });
        let non_idempotent = effect_of(source, trigger) == Some(Effect::NonIdempotent);
        if let Some(correlation_hash) =
            correlation_hash.filter(|_| non_idempotent && !ended.outcome.not_executed())
        {
            if self.executed_by.len() < MAX_FOLLOWED_MESSAGES {
                self.executed_by.insert(correlation_hash, source_number);
            } else {
                self.result.unseen += 1;
            }
        }
        if let Some(Violation { rule, description }) = violation {
            self.violation(rule, description);
        }
    }

    fn action(&mut self, source_number: u32, source: &Source, at: Micros, action: &Action) {
        match *action {
            Action::Dispatch {
                invocation, worker, ..
            } => self.dispatch(source_number, source, at, invocation, worker),
            Action::LoadOrder { copies: 1.., .. } => self.load_order(source_number, source, at),
            _ => {}
        }
    }

    /// Records a dispatch. A violation is reported only when the dispatch ends, since a dispatch that was never sent
    /// violates no rule.
    fn dispatch(
        &mut self,
        source_number: u32,
        source: &Source,
        at: Micros,
        invocation: InvocationIndex,
        worker: u32,
    ) {
        let Some(state) = self.states.get_mut(&source_number) else {
            return;
        };
        let listed_worker = state.workers.get(&worker).copied();
        let Some(open) = state.open.get_mut(&invocation) else {
            return;
        };
        let elsewhere = open
            .correlation_hash
            .and_then(|correlation_hash| self.executed_by.get(&correlation_hash))
            .is_some_and(|executed_by| *executed_by != source_number);
        let violation = violated_rule(source, at, open, &state.workers, listed_worker, elsewhere);
        open.dispatches.push(Dispatch {
            worker,
            at,
            outcome: None,
            pending_violation: violation.map(|(rule, description)| Violation {
                rule,
                description: located(source, at, description),
            }),
        });
    }

    /// Checks rule 5: load orders stay within their quota.
    fn load_order(&mut self, source_number: u32, source: &Source, at: Micros) {
        let loads = &source.start.startup.loads;
        let Some(state) = self.states.get_mut(&source_number) else {
            return;
        };
        if loads.order_quota_window <= 0 {
            return;
        }
        let (orders, arrivals) = state.ordered(at, loads.order_quota_window);
        let allowed = loads.order_quota_base + loads.order_quota_per_invocation * arrivals as f64;
        if orders as f64 > allowed + 1e-9 {
            let what = format!("{orders} orders, and {allowed:.1} were allowed");
            self.violation(5, located(source, at, &what));
        }
    }

    /// Checks rule 1 for an invocation that has no further records.
    fn ended(&mut self, source: &Source, open: &OpenInvocation, last: Micros) {
        if open.answered {
            return;
        }
        if last > open.client_deadline + ANSWER_MARGIN {
            let description = format!(
                "{}: taken and never answered, due at {} us",
                source.start.router,
                source.wall(open.client_deadline)
            );
            self.violation(1, description);
        } else {
            self.result.unseen += 1;
        }
    }

    /// Checks the invocations that are still open and returns the result. `sources` contains the sources by the numbers
    /// that were passed with their records.
    pub fn finish(mut self, sources: &HashMap<u32, Source>) -> RuleCheck {
        let mut states: Vec<(u32, SourceState)> =
            std::mem::take(&mut self.states).into_iter().collect();
        states.sort_by_key(|(source_number, _)| *source_number);
        for (source_number, state) in states {
            let Some(source) = sources.get(&source_number) else {
                continue;
            };
            let mut open: Vec<_> = state.open.into_iter().collect();
            open.sort_by_key(|(invocation, _)| *invocation);
            for (_, open) in open {
                self.ended(source, &open, state.now);
            }
        }
        self.result
    }
}

/// The rule that a new dispatch violates, and a description; absent if it violates none. If it violates several rules,
/// the first in the order of these checks is returned.
fn violated_rule(
    source: &Source,
    at: Micros,
    open: &OpenInvocation,
    workers: &HashMap<u32, ListedWorker>,
    listed_worker: Option<ListedWorker>,
    executed_elsewhere: bool,
) -> Option<(u8, &'static str)> {
    if open.answered {
        return Some((1, "sent after its answer"));
    }
    if let Some(since) = listed_worker.and_then(|listed_worker| listed_worker.leaving_since)
        && at - since > source.start.startup.rules.drain_grace
    {
        return Some((3, "sent to one that is draining or gone, past the grace"));
    }
    if !source.start.startup.limits.hedged_requests
        && open.dispatches.iter().any(|d| d.outcome.is_none())
    {
        return Some((2, "a second copy where none is allowed"));
    }
    let mut executed = open.dispatches.iter().filter(|d| d.may_have_run());
    match effect_of(source, open.trigger) {
        Some(Effect::NonIdempotent) if executed_elsewhere || executed.next().is_some() => {
            Some((2, "sent again, and it may have run"))
        }
        Some(Effect::IdempotentByKey { scope, window }) => executed
            .any(|before| {
                let previous_worker = workers.get(&before.worker).copied();
                !ListedWorker::same_scope(scope, previous_worker, listed_worker)
                    || at - before.at > window
            })
            .then_some((2, "a repeat outside of its group or window")),
        _ => None,
    }
}
