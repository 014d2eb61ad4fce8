//! Rule 2: no invocation that is not idempotent takes effect twice, and no dispatch or `throttled` answer risks that it
//! does.

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
            verdict.add_violation(
                Rule::Effects,
                format!("{id} ({trigger_type}) took effect {times} times"),
            );
        }
        let first_possible_run = invocation.dispatches.iter().find(|d| d.may_have_run());
        if let Some(first) = first_possible_run {
            check_after_run(id, invocation, rules, first, verdict);
        }
        if !settings.hedged_requests {
            check_concurrent_dispatches(id, invocation, settings, verdict);
        }
    }
}

/// Checks what must not follow a dispatch that may have been executed: a further dispatch, or a `throttled` answer,
/// after which the client may retry.
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
        verdict.add_violation(
            Rule::Effects,
            format!("{id} ({trigger_type}) was dispatched again though it may have run"),
        );
    }
    let throttled = invocation
        .answers
        .iter()
        .any(|answer| answer.outcome == "throttled" && answer.at > first.at);
    if rules.effect == Effect::NonIdempotent && throttled {
        verdict.add_violation(
            Rule::Effects,
            format!("{id} ({trigger_type}) was throttled though it may have run"),
        );
    }
}

/// Checks that a router has at most one dispatch of an invocation in flight if it sends no hedged requests.
fn check_concurrent_dispatches(
    id: &str,
    invocation: &InvocationHistory,
    settings: &RuleSettings,
    verdict: &mut Verdict,
) {
    for pair in invocation.dispatches.windows(2) {
        let (first, second) = (&pair[0], &pair[1]);
        // Dispatches behind a partition do not count: the worker still executes a dispatch that its router has timed
        // out and sent to another worker.
        let concurrent =
            first.certainly_in_flight(second.earliest_send_time(), second.at, settings.leeway_us);
        if concurrent && first.router == second.router {
            verdict.add_violation(
                Rule::Effects,
                format!("{id} had two dispatches out at once"),
            );
        }
    }
}
