//! Rule 1: an invocation that was delivered to a router gets exactly one final answer before the timeout of its client,
//! and is not dispatched after that answer.

use super::Rule;
use crate::check::Evidence;
use crate::history::{CLOCK_TOLERANCE_US, InvocationHistory, Invocations};
use crate::traffic_log::LogLine;
use crate::verdict::{Tally, Verdict};

/// Least time, in microseconds, that a router needs to answer. An invocation that is delivered with less time left may
/// be answered late. An answer may also be late if a pause, a held link or blocked publishing ended less than this time
/// before its deadline.
const MIN_TIME_TO_ANSWER_US: i64 = 150_000;

/// An interval in which the broker blocked publishing.
struct BlockedInterval {
    began: i64,
    ended: i64,
}

/// The end of a router process by a kill.
struct RouterKill<'a> {
    at: i64,
    router: &'a str,
}

/// Input of the checks of rule 1.
struct AnswerCheck<'a> {
    evidence: &'a Evidence<'a>,
    blocked: Vec<BlockedInterval>,
    kills: Vec<RouterKill<'a>>,
}

pub(crate) fn check(invocations: &Invocations, evidence: &Evidence, verdict: &mut Verdict) {
    let check = AnswerCheck {
        evidence,
        blocked: blocked_intervals(evidence.lines),
        kills: router_kills(evidence.lines),
    };
    for (id, invocation) in invocations {
        for answer in &invocation.answers {
            *verdict.answers.entry(answer.outcome.clone()).or_default() += 1;
            *verdict.by_reason.entry(answer.reason.clone()).or_default() += 1;
        }
        let Some(first_delivery) = invocation.deliveries.first() else {
            if !invocation.answers.is_empty() {
                verdict.add_violation(Rule::Answers, format!("{id} was answered and never taken"));
            }
            continue;
        };
        check.tally(invocation, verdict);
        check.check_dispatches_after_answer(id, invocation, verdict);
        match invocation.answers.len() {
            0 => check.check_unanswered(id, invocation, first_delivery.at, verdict),
            1 => check.check_lateness(id, invocation, first_delivery.at, verdict),
            count => {
                verdict.double_answers += 1;
                verdict.add_violation(Rule::Answers, format!("{id} got {count} answers"));
            }
        }
    }
}

fn blocked_intervals(lines: &[LogLine]) -> Vec<BlockedInterval> {
    let mut intervals: Vec<BlockedInterval> = Vec::new();
    for line in lines.iter().filter(|line| line.event == "blocked") {
        if line.flag("on") {
            intervals.push(BlockedInterval {
                began: line.at,
                ended: i64::MAX,
            });
        } else if let Some(last) = intervals.last_mut() {
            last.ended = line.at;
        }
    }
    intervals
}

fn router_kills(lines: &[LogLine]) -> Vec<RouterKill<'_>> {
    lines
        .iter()
        .filter(|line| line.event == "router-down")
        .map(|line| RouterKill {
            at: line.at,
            router: line.text("address"),
        })
        .collect()
}

impl AnswerCheck<'_> {
    /// Counts the invocation under its trigger type, account and front.
    fn tally(&self, invocation: &InvocationHistory, verdict: &mut Verdict) {
        verdict.invocations += 1;
        let objective_us = self
            .evidence
            .settings
            .trigger_types
            .get(&invocation.trigger_type)
            .map_or(i64::MAX, |rules| rules.objective_us);
        let within_objective = invocation.answers.first().is_some_and(|answer| {
            answer.outcome == "succeeded" && answer.at - invocation.published <= objective_us
        });
        verdict.within_objective += u64::from(within_objective);
        for (tallies, name) in [
            (&mut verdict.by_type, &invocation.trigger_type),
            (&mut verdict.by_account, &invocation.account),
            (&mut verdict.by_front, &invocation.front),
        ] {
            let tally = tallies.entry(name.clone()).or_default();
            count_outcome(tally, invocation, within_objective);
        }
    }

    fn check_dispatches_after_answer(
        &self,
        id: &str,
        invocation: &InvocationHistory,
        verdict: &mut Verdict,
    ) {
        let Some(answer) = invocation.answers.first() else {
            return;
        };
        let latest = answer.at + CLOCK_TOLERANCE_US + self.evidence.settings.leeway_us;
        let late = invocation
            .dispatches
            .iter()
            .find(|dispatch| dispatch.earliest_send_time() > latest);
        if let Some(dispatch) = late {
            let late_ms = (dispatch.at - answer.at) / 1000;
            verdict.add_violation(
                Rule::Answers,
                format!("{id} was dispatched {late_ms} ms after its answer"),
            );
        }
    }

    fn check_unanswered(
        &self,
        id: &str,
        invocation: &InvocationHistory,
        first_delivery: i64,
        verdict: &mut Verdict,
    ) {
        // The broker requeued the message because its router was killed or lost its channel, and delivered it to no
        // other router before the timeout of the client.
        if invocation.expired || invocation.dead_lettered {
            return;
        }
        if let Some(lost) = &invocation.lost {
            // A router need not answer the calls that were open when it was killed.
            let tolerance = CLOCK_TOLERANCE_US + self.evidence.settings.leeway_us;
            let held = first_delivery - tolerance..=lost.at + tolerance;
            if self
                .kills
                .iter()
                .any(|kill| kill.router == lost.router && held.contains(&kill.at))
            {
                return;
            }
            // The router was paused when the timeout of the client ended, and until the client closed the connection
            // or shortly before.
            let excused = self.evidence.excused;
            if excused.was_paused_at(&lost.router, invocation.client_deadline())
                && excused.was_paused_at(&lost.router, lost.at - MIN_TIME_TO_ANSWER_US)
            {
                verdict.held_by_rig += 1;
                return;
            }
        }
        verdict.unanswered += 1;
        verdict.add_violation(Rule::Answers, format!("{id} was taken and never answered"));
    }

    fn check_lateness(
        &self,
        id: &str,
        invocation: &InvocationHistory,
        first_delivery: i64,
        verdict: &mut Verdict,
    ) {
        let settings = self.evidence.settings;
        let deadline = invocation.client_deadline();
        let last_delivery = invocation
            .deliveries
            .last()
            .map_or(first_delivery, |delivery| delivery.at);
        let late = invocation.answers[0].at - deadline - settings.answer_slack_us;
        let blocked = self.blocked.iter().any(|blocked| {
            blocked.began < deadline && blocked.ended > deadline - MIN_TIME_TO_ANSWER_US
        });
        if late > 0 && blocked {
            verdict.held_by_broker += 1;
        } else if late > 0
            && self.evidence.excused.was_kept_from_answering(
                &invocation.answered_by,
                deadline,
                MIN_TIME_TO_ANSWER_US,
            )
        {
            verdict.held_by_rig += 1;
        } else if late > settings.leeway_us && last_delivery < deadline - MIN_TIME_TO_ANSWER_US {
            let late_ms = late / 1000;
            verdict.add_violation(
                Rule::Answers,
                format!("{id} was answered {late_ms} ms after its client gave up"),
            );
        }
    }
}

fn count_outcome(tally: &mut Tally, invocation: &InvocationHistory, within_objective: bool) {
    tally.taken += 1;
    tally.within_objective += u64::from(within_objective);
    match invocation
        .answers
        .first()
        .map(|answer| answer.outcome.as_str())
    {
        Some("succeeded") => tally.succeeded += 1,
        Some("throttled") => tally.throttled += 1,
        Some("errored") => tally.errored += 1,
        _ => {}
    }
}
