//! Checks the delivery rules from traces alone. Free of I/O: [`RuleChecker::record`] takes each source's records in order, of
//! any number of sources; [`RuleChecker::finish`] returns the violations, and how much a trace cannot show.
//!
//! A trace ends where the core's decisions do. What a program does to an answer or a dispatch after that (loses it,
//! sends it twice or late) is seen on the sockets only, by `cedarpulley audit`; so are rule 4, as the size of work is
//! in no trace, and what routers did to one another's messages, unless their idempotency keys were recorded.

mod source_state;

use std::collections::{BTreeMap, HashMap};

use cedarpulley::interface::{
    Action, DispatchEnded, DispatchOutcome, Effect, Event, InvocationIndex, Micros,
};
use cedarpulley_router::FinalOutcome;
use serde::Serialize;

use crate::records::{Record, RecordedEvent};
use crate::start::Source;
use source_state::{Dispatch, OpenInvocation, SourceState, WorkerPlace};

/// An answer is due so long before the client's timeout as the settings say, which a trace does not hold; by this much
/// at least (the default) the client's own deadline is later than the one recorded.
const ANSWER_MARGIN: Micros = 100_000;
/// Violations that are reported one by one.
const MAX_REPORTED: usize = 40;
/// Messages that are followed from router to router; beyond, they are counted as not seen.
const MAX_FOLLOWED_MESSAGES: usize = 1_000_000;

/// What was found.
#[derive(Clone, Debug, Default, Serialize, PartialEq, Eq)]
pub struct RuleCheck {
    /// Invocations that reached the decision module.
    pub invocations: u64,
    /// Violations by number of the rule; rules without any are absent.
    #[serde(rename = "rules")]
    pub violations_by_rule: BTreeMap<u8, u64>,
    /// The first violations in words.
    #[serde(rename = "breaks")]
    pub violations: Vec<String>,
    /// Invocations that were open where their trace ends, or were lost in a gap.
    pub unseen: u64,
}

/// A rule and how it was violated.
struct Violation {
    rule: u8,
    description: String,
}

/// Checks the rules over the records of any number of sources.
#[derive(Default)]
pub struct RuleChecker {
    states: HashMap<u32, SourceState>,
    /// Of messages that may not be executed twice, by the hash of their key: which source may have executed them.
    executed_by: HashMap<u64, u32>,
    result: RuleCheck,
}

/// Says where and when.
fn located(of: &Source, at: Micros, what: &str) -> String {
    format!("{} at {} us: {what}", of.start.router, of.wall(at))
}

fn effect_of(of: &Source, trigger: u32) -> Option<Effect> {
    let trigger = of.start.startup.triggers.get(trigger as usize);
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

    /// Takes a record of the source with this number, at its router time.
    pub fn record(&mut self, source: u32, of: &Source, at: Micros, record: &Record) {
        let state = self.states.entry(source).or_default();
        state.now = at;
        match record {
            Record::Name { .. } | Record::Rejected { .. } => {}
            Record::Gap { .. } => {
                // What was open may have ended in the gap.
                self.result.unseen += state.open.len() as u64;
                state.open.clear();
            }
            Record::Accepted {
                invocation: inv,
                correlation_hash,
                ..
            } => {
                if let Some(correlation_hash) = correlation_hash {
                    state.keys.insert(*inv, *correlation_hash);
                }
            }
            Record::Answered {
                invocation: Some(invocation),
                outcome,
                ..
            } => self.answered(source, of, at, *invocation, *outcome),
            Record::Answered { .. } => {}
            Record::Decided { event, actions } => {
                self.event(source, of, at, event);
                for action in actions {
                    self.action(source, of, at, action);
                }
            }
        }
    }

    fn answered(
        &mut self,
        source: u32,
        of: &Source,
        at: Micros,
        invocation: InvocationIndex,
        outcome: FinalOutcome,
    ) {
        let state = self.states.entry(source).or_default();
        let Some(open) = state.open.get_mut(&invocation) else {
            return;
        };
        // Those that wait for the same answer get it with the first.
        if std::mem::replace(&mut open.answered, true) {
            return;
        }
        let late = at - open.client_deadline - ANSWER_MARGIN - of.start.startup.rules.answer_slack;
        let may_have_run = open.dispatches.iter().any(Dispatch::may_have_run);
        let effect = effect_of(of, open.trigger);
        if late > 0 {
            let what = format!("answered {} ms after its client gave up", late / 1000);
            self.violation(1, located(of, at, &what));
        }
        // A retry by idempotency key is dropped where it ran.
        if outcome == FinalOutcome::Throttled
            && may_have_run
            && effect == Some(Effect::NonIdempotent)
        {
            self.violation(2, located(of, at, "told harmless, and it may have run"));
        }
    }

    fn event(&mut self, source: u32, of: &Source, at: Micros, event: &RecordedEvent) {
        let state = self.states.entry(source).or_default();
        match event {
            RecordedEvent::List { endpoints, .. } => {
                for endpoint in endpoints {
                    state.endpoint(at, endpoint);
                }
            }
            RecordedEvent::Other(Event::Invocation(arrival)) => {
                self.result.invocations += 1;
                let window = of.start.startup.loads.order_quota_window;
                if let Some(before) = state.arrived(at, arrival, window) {
                    self.ended(of, &before, at);
                }
            }
            RecordedEvent::Other(Event::ClientLeft { invocation }) => {
                if let Some(open) = state.open.get_mut(invocation) {
                    open.answered = true;
                }
            }
            RecordedEvent::Other(Event::DispatchEnded(ended)) => {
                self.dispatch_ended(source, of, ended);
            }
            RecordedEvent::Other(_) => {}
        }
    }

    fn dispatch_ended(&mut self, source: u32, of: &Source, ended: &DispatchEnded) {
        let state = self.states.entry(source).or_default();
        let Some(open) = state.open.get_mut(&ended.invocation) else {
            return;
        };
        // Concluded without an answer: its listener was lost, and nobody waits for it here.
        open.answered |= ended.answered;
        let (key, trigger) = (open.key, open.trigger);
        let Some(dispatch) = open.dispatches.get_mut(ended.dispatch as usize) else {
            return;
        };
        dispatch.outcome = Some(ended.outcome);
        let suspicion = dispatch
            .suspicion
            .take()
            .filter(|_| ended.outcome != DispatchOutcome::NotSent);
        let once = effect_of(of, trigger) == Some(Effect::NonIdempotent);
        if let Some(key) = key.filter(|_| once && !ended.outcome.not_executed()) {
            if self.executed_by.len() < MAX_FOLLOWED_MESSAGES {
                self.executed_by.insert(key, source);
            } else {
                self.result.unseen += 1;
            }
        }
        if let Some(Violation { rule, description }) = suspicion {
            self.violation(rule, description);
        }
    }

    fn action(&mut self, source: u32, of: &Source, at: Micros, action: &Action) {
        match *action {
            Action::Dispatch {
                invocation, worker, ..
            } => self.dispatch(source, of, at, invocation, worker),
            Action::LoadOrder { copies: 1.., .. } => self.load_order(source, of, at),
            _ => {}
        }
    }

    /// Whether a dispatch violates a rule is known once it ends: one that was never sent does not.
    fn dispatch(
        &mut self,
        source: u32,
        of: &Source,
        at: Micros,
        invocation: InvocationIndex,
        worker: u32,
    ) {
        let Some(state) = self.states.get_mut(&source) else {
            return;
        };
        let place = state.workers.get(&worker).copied();
        let Some(open) = state.open.get_mut(&invocation) else {
            return;
        };
        let elsewhere = open
            .key
            .and_then(|key| self.executed_by.get(&key))
            .is_some_and(|executed_by| *executed_by != source);
        let what = suspicion(of, at, open, &state.workers, place, elsewhere);
        open.dispatches.push(Dispatch {
            worker,
            at,
            outcome: None,
            suspicion: what.map(|(rule, what)| Violation {
                rule,
                description: located(of, at, what),
            }),
        });
    }

    /// Rule 5: load orders stay within their quota.
    fn load_order(&mut self, source: u32, of: &Source, at: Micros) {
        let loads = &of.start.startup.loads;
        let Some(state) = self.states.get_mut(&source) else {
            return;
        };
        if loads.order_quota_window <= 0 {
            return;
        }
        let (orders, arrivals) = state.ordered(at, loads.order_quota_window);
        let allowed = loads.order_quota_base + loads.order_quota_per_invocation * arrivals as f64;
        if orders as f64 > allowed + 1e-9 {
            let what = format!("{orders} orders, and {allowed:.1} were allowed");
            self.violation(5, located(of, at, &what));
        }
    }

    /// Nothing more comes of this invocation.
    fn ended(&mut self, of: &Source, open: &OpenInvocation, last: Micros) {
        if open.answered {
            return;
        }
        if last > open.client_deadline + ANSWER_MARGIN {
            let description = format!(
                "{}: taken and never answered, due at {} us",
                of.start.router,
                of.wall(open.client_deadline)
            );
            self.violation(1, description);
        } else {
            self.result.unseen += 1;
        }
    }

    /// The result; `sources` by the numbers with which the records came.
    pub fn finish(mut self, sources: &HashMap<u32, Source>) -> RuleCheck {
        let mut states: Vec<(u32, SourceState)> =
            std::mem::take(&mut self.states).into_iter().collect();
        states.sort_by_key(|(source, _)| *source);
        for (source, state) in states {
            let Some(of) = sources.get(&source) else {
                continue;
            };
            let mut open: Vec<_> = state.open.into_iter().collect();
            open.sort_by_key(|(invocation, _)| *invocation);
            for (_, open) in open {
                self.ended(of, &open, state.now);
            }
        }
        self.result
    }
}

/// The rule that a new dispatch violates, and how. Of several the first in this order is reported.
fn suspicion(
    of: &Source,
    at: Micros,
    open: &OpenInvocation,
    workers: &HashMap<u32, WorkerPlace>,
    place: Option<WorkerPlace>,
    executed_elsewhere: bool,
) -> Option<(u8, &'static str)> {
    if open.answered {
        return Some((1, "sent after its answer"));
    }
    if let Some(since) = place.and_then(|place| place.leaving_since)
        && at - since > of.start.startup.rules.drain_grace
    {
        return Some((3, "sent to one that is draining or gone, past the grace"));
    }
    if !of.start.startup.limits.hedged_requests
        && open.dispatches.iter().any(|d| d.outcome.is_none())
    {
        return Some((2, "a second copy where none is allowed"));
    }
    let mut executed = open.dispatches.iter().filter(|d| d.may_have_run());
    match effect_of(of, open.trigger) {
        Some(Effect::NonIdempotent) if executed_elsewhere || executed.next().is_some() => {
            Some((2, "sent again, and it may have run"))
        }
        Some(Effect::IdempotentByKey { scope, window }) => executed
            .any(|before| {
                let before_place = workers.get(&before.worker).copied();
                !WorkerPlace::same_scope(scope, before_place, place) || at - before.at > window
            })
            .then_some((2, "a repeat outside of its group or window")),
        _ => None,
    }
}
