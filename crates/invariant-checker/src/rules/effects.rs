//! Rule 2: no effect twice, and no dispatch or throttling answer that could lead to it.

use super::Rule;
use crate::check::Evidence;
use crate::history::{Dispatch, InvocationHistory, Invocations};
use crate::settings::{Effect, RuleSettings, TriggerTypeRules};
use crate::verdict::Verdict;

pub(crate) fn check(invocations: &Invocations, evidence: &Evidence, verdict: &mut Verdict) {
    for (id, invocation) in invocations {
        let settings = evidence.settings;
        let Some(rules) = settings.trigger_types.get(&invocation.trigger_type) else {
            continue;
        };
        let trigger_type = &invocation.trigger_type;
        if rules.effect != Effect::Idempotent && invocation.executions > 1 {
            let times = invocation.executions;
            verdict.add_break(
                Rule::Effects,
                format!("{id} ({trigger_type}) took effect {times} times"),
            );
        }
        let first_run = invocation.dispatches.iter().find(|d| d.may_have_run());
        if let Some(first) = first_run {
            check_after_run(id, invocation, rules, first, verdict);
        }
        if !settings.hedged_requests {
            check_concurrent_dispatches(id, invocation, settings, verdict);
        }
    }
}

/// What must not follow a dispatch that may have been executed.
fn check_after_run(
    id: &str,
    invocation: &InvocationHistory,
    rules: &TriggerTypeRules,
    first: &Dispatch,
    verdict: &mut Verdict,
) {
    let trigger_type = &invocation.trigger_type;
    let mut later = invocation.dispatches.iter().filter(|d| d.at > first.at);
    let is_repeated = match rules.effect {
        Effect::Idempotent => false,
        Effect::NonIdempotent => later.next().is_some(),
        Effect::Tokened => later.any(|d| d.at - first.at > rules.window_us),
    };
    if is_repeated {
        verdict.add_break(
            Rule::Effects,
            format!("{id} ({trigger_type}) was dispatched again though it may have run"),
        );
    }
    let throttled = invocation
        .answers
        .iter()
        .any(|answer| answer.outcome == "throttled" && answer.at > first.at);
    if rules.effect == Effect::NonIdempotent && throttled {
        verdict.add_break(
            Rule::Effects,
            format!("{id} ({trigger_type}) was throttled though it may have run"),
        );
    }
}

/// One router has one dispatch of an invocation in flight, where it sends no hedged requests.
fn check_concurrent_dispatches(
    id: &str,
    invocation: &InvocationHistory,
    settings: &RuleSettings,
    verdict: &mut Verdict,
) {
    for pair in invocation.dispatches.windows(2) {
        let (first, second) = (&pair[0], &pair[1]);
        // Symptom: behind a partition, a worker works on what its router has timed out and sent elsewhere.
        let concurrent =
            first.surely_in_flight(second.earliest_sent(), second.at, settings.leeway_us);
        if concurrent && first.router == second.router {
            verdict.add_break(
                Rule::Effects,
                format!("{id} had two dispatches out at once"),
            );
        }
    }
}
