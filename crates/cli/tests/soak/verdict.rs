//! Checks the rules on the messages that clients and workers sent and received in a run.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use crate::clients::{End, Sent};
use crate::cluster::Ending;
use crate::platform::Shared;
use crate::stalls::Stall;

/// A change during a discovery outage counts as known to the routers at the latest this time after the outage began.
const DISCOVERY_DEADLINE: Duration = Duration::from_secs(7);
/// Time for which routers may send work to a draining worker (the setting `stopSendingWithin`). A router stops sending at
/// three quarters of it.
pub const GRACE: Duration = Duration::from_millis(1_500);
/// Time that a busy machine may add before a worker records a received request.
const RECORDING_DELAY: Duration = Duration::from_millis(1_000);
/// A request that was sent later than this after the signal to stop may be unanswered when the router is killed.
const ACCEPT_PERIOD: Duration = Duration::from_millis(700);

/// A time in which a worker was out of service; `until` is absent while it still is.
#[derive(Clone, Copy, Debug)]
pub struct Absence {
    pub from: Instant,
    pub until: Option<Instant>,
}

/// Start and end of a discovery outage; the end is absent while it lasts.
pub type OutageSpan = (Instant, Option<Instant>);

/// All that happened in a run.
pub struct Record {
    pub sent: Vec<Sent>,
    pub workers: Vec<Shared>,
    /// By worker.
    pub absences: Vec<Vec<Absence>>,
    pub outages: Vec<OutageSpan>,
    pub stalls: Vec<Stall>,
    /// How the processes of each router ended, by router.
    pub endings: Vec<Vec<Ending>>,
}

/// The broken rules and counts of a run.
#[derive(Default)]
pub struct Verdict {
    /// Broken rules.
    pub broken: Vec<String>,
    pub requests: usize,
    /// Requests that were answered with status 200.
    pub served: usize,
    /// Requests that were answered with another status.
    pub refused: usize,
    /// Requests without an answer.
    pub closed: usize,
    /// Calls and load orders that draining workers turned away.
    pub turned_away: usize,
    /// Health checks of workers.
    pub probes: usize,
    /// Rules that seem broken but cannot be judged, because the machine stalled at that time.
    pub void: Vec<String>,
    pub stalls: usize,
}

impl Verdict {
    /// Records that a rule that depends on time seems broken; it is void if the machine stalled at that time.
    fn break_timed(&mut self, stalled: bool, rule: String) {
        if stalled {
            self.void.push(rule);
        } else {
            self.broken.push(rule);
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(
            to,
            "{} requests, {} served, {} refused, {} without an answer; {} turned away by workers, {} probes; {} broken, {} void in {} stalls",
            self.requests,
            self.served,
            self.refused,
            self.closed,
            self.turned_away,
            self.probes,
            self.broken.len(),
            self.void.len(),
            self.stalls
        )
    }
}

impl Record {
    /// Checks all rules.
    pub fn judge(&self) -> Verdict {
        let mut verdict = Verdict {
            stalls: self.stalls.len(),
            ..Verdict::default()
        };
        let calls = self.calls_by_id();
        for sent in &self.sent {
            verdict.requests += 1;
            let ran = calls.get(sent.id.as_str()).copied().unwrap_or(0);
            self.judge_request(sent, ran, &mut verdict);
        }
        for (number, worker) in self.workers.iter().enumerate() {
            let worker = worker.lock().expect("seen");
            verdict.probes += worker.probes;
            verdict.turned_away += worker.turned_away.len();
            let late = worker.turned_away.iter().copied();
            let late: Vec<Instant> = late.filter(|at| self.is_late(number, *at)).collect();
            if let (Some(first), Some(last)) = (late.first(), late.last()) {
                let absences = &self.absences[number];
                let outages = &self.outages;
                let rule = format!(
                    "drain: {} sends to worker {number}, {first:?} to {last:?}, {absences:?}, {outages:?}",
                    late.len()
                );
                let stalled = self.stalled(*first - GRACE - RECORDING_DELAY, *last);
                verdict.break_timed(stalled, rule);
            }
        }
        verdict
    }

    fn calls_by_id(&self) -> HashMap<String, usize> {
        let mut calls = HashMap::new();
        for worker in &self.workers {
            for (id, _) in &worker.lock().expect("seen").calls {
                *calls.entry(id.clone()).or_default() += 1;
            }
        }
        calls
    }

    fn judge_request(&self, sent: &Sent, ran: usize, verdict: &mut Verdict) {
        let mut break_rule =
            |rule: &str| verdict.broken.push(format!("{rule}: {sent:?}, ran {ran}"));
        if sent.once && ran > 1 {
            break_rule("ran twice");
        }
        match sent.end {
            End::Answered(200) => {
                if ran == 0 {
                    break_rule("served though it never ran");
                }
                verdict.served += 1;
            }
            End::Answered(status) => {
                if status == 503 && sent.once && ran > 0 {
                    break_rule("refused as harmless though it ran");
                }
                verdict.refused += 1;
            }
            End::Silent | End::Closed { .. } => {
                verdict.closed += 1;
                if !self.may_go_unanswered(sent, ran) {
                    let rule = format!("lost: {sent:?}, ran {ran}");
                    verdict.break_timed(self.stalled(sent.at, sent.ended), rule);
                }
            }
        }
    }

    /// Whether the machine stalled during a part of that time.
    fn stalled(&self, from: Instant, until: Instant) -> bool {
        let overlaps = |stall: &Stall| stall.0 <= until && from <= stall.1;
        self.stalls.iter().any(overlaps)
    }

    /// Whether a request may have no answer: it crossed the closing of an idle connection, or its router was killed while
    /// the request was open.
    fn may_go_unanswered(&self, sent: &Sent, ran: usize) -> bool {
        let crossed = matches!(sent.end, End::Closed { crossing: true }) && ran == 0;
        let killed = self.endings[sent.router].iter().any(|ending| {
            let sent_late = ending
                .stop_requested_at
                .is_none_or(|requested_at| sent.at > requested_at + ACCEPT_PERIOD);
            ending.killed
                && sent_late
                && sent.at <= ending.exited_at
                && ending.killed_at <= sent.ended
        });
        crossed || killed
    }

    /// Whether a worker was draining at that time and the grace had passed.
    fn is_late(&self, worker: usize, at: Instant) -> bool {
        let absent =
            |absence: &&Absence| absence.from <= at && absence.until.is_none_or(|until| at < until);
        let absence = self.absences[worker].iter().find(absent);
        absence.is_some_and(|absence| at > self.known_by(absence.from) + GRACE + RECORDING_DELAY)
    }

    /// When an event counts as known to the routers: at once, or during a discovery outage at its end or
    /// `DISCOVERY_DEADLINE` after its begin.
    fn known_by(&self, happened: Instant) -> Instant {
        let lost = |outage: &&OutageSpan| {
            outage.0 <= happened && outage.1.is_none_or(|until| happened < until)
        };
        let Some((from, until)) = self.outages.iter().find(lost) else {
            return happened;
        };
        let latest = happened.max(*from + DISCOVERY_DEADLINE);
        until.map_or(latest, |until| latest.min(until))
    }
}
