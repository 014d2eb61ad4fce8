//! The history of each invocation, collected from the lines of the logs that concern it.

use std::collections::BTreeMap;

use crate::check::Evidence;
use crate::excused_intervals::ExcusedIntervals;
use crate::traffic_log::LogLine;
use crate::verdict::Verdict;

/// Greatest difference between the timestamps that two emulators record for the same moment: different threads write
/// them.
pub(crate) const CLOCK_TOLERANCE_US: i64 = 100_000;
/// Time within which a closed connection is noticed at its other end.
const CLOSE_SEEN_US: i64 = 500_000;

/// Histories by invocation id.
pub(crate) type Invocations = BTreeMap<String, InvocationHistory>;

/// All events of one invocation. Times are Unix time in microseconds.
#[derive(Default)]
pub(crate) struct InvocationHistory {
    pub(crate) trigger_type: String,
    pub(crate) account: String,
    /// The AMQP queue that it was published to, or `calls` for KServe.
    pub(crate) front: String,
    pub(crate) published: i64,
    pub(crate) timeout_us: Option<i64>,
    pub(crate) deliveries: Vec<Delivery>,
    pub(crate) answers: Vec<Answer>,
    /// Address of the router that sent the last answer.
    pub(crate) answered_by: String,
    /// The broker dropped the message after its expiration.
    pub(crate) expired: bool,
    pub(crate) dead_lettered: bool,
    /// The KServe call that ended without an answer, if there was one.
    pub(crate) lost: Option<LostCall>,
    /// Dispatches in the order in which workers received them.
    pub(crate) dispatches: Vec<Dispatch>,
    pub(crate) executions: usize,
}

/// A delivery of an invocation to a router.
pub(crate) struct Delivery {
    pub(crate) at: i64,
}

/// An answer that a router sent to the client.
pub(crate) struct Answer {
    pub(crate) at: i64,
    pub(crate) outcome: String,
    pub(crate) reason: String,
}

/// A KServe call whose connection ended without an answer.
pub(crate) struct LostCall {
    pub(crate) at: i64,
    pub(crate) router: String,
}

impl InvocationHistory {
    /// Time at which the timeout of the client ends; `i64::MAX` without a timeout.
    pub(crate) fn client_deadline(&self) -> i64 {
        self.timeout_us.map_or(i64::MAX, |t| self.published + t)
    }
}

/// A dispatch as its worker recorded it.
pub(crate) struct Dispatch {
    pub(crate) at: i64,
    pub(crate) router: String,
    number: String,
    worker: String,
    end: Option<DispatchEnd>,
    /// Earliest time at which it may have been sent, if a fault delayed it.
    held_since: Option<i64>,
    /// Earliest time at which its router may have closed the connection while a fault hid this from the worker.
    close_hidden_since: Option<i64>,
}

/// How a dispatch ended at its worker.
struct DispatchEnd {
    at: i64,
    how: String,
}

impl Dispatch {
    /// Whether the dispatch was certainly in flight during the whole interval from `since` to `until`.
    pub(crate) fn certainly_in_flight(&self, since: i64, until: i64, leeway: i64) -> bool {
        let hidden_since = self.close_hidden_since.unwrap_or(i64::MAX);
        let open = self
            .end
            .as_ref()
            .is_none_or(|end| end.at.min(hidden_since) > until + CLOSE_SEEN_US + leeway);
        self.at <= since && open
    }

    /// Returns the earliest time at which the dispatch may have been sent.
    pub(crate) fn earliest_send_time(&self) -> i64 {
        self.held_since.unwrap_or(self.at).min(self.at)
    }

    /// Whether the worker may have executed the dispatch: it did not reject it before beginning any work.
    pub(crate) fn may_have_run(&self) -> bool {
        self.end.as_ref().is_none_or(|end| end.how != "refused")
    }
}

/// Returns the earliest time at which the message that this line records may have been sent, if a fault delayed it. The
/// fault is recorded by the emulator in the line itself, or by the test cluster in its own log.
pub(crate) fn held_since(line: &LogLine, excused: &ExcusedIntervals) -> Option<i64> {
    [
        line.number("held_since"),
        excused.held_since(line.text("from"), &line.source, line.at),
    ]
    .into_iter()
    .flatten()
    .min()
}

/// Groups the lines by invocation, and counts events in the verdict.
pub(crate) fn collect_invocations(evidence: &Evidence, verdict: &mut Verdict) -> Invocations {
    let mut invocations = Invocations::new();
    for line in evidence.lines {
        match line.event.as_str() {
            "repeat" => verdict.repeats_dropped += 1,
            "loading" => verdict.loads += 1,
            "fetch" => verdict.fetches += 1,
            "received" => verdict.dispatches += 1,
            "ran" => verdict.effects += 1,
            "delivered" if line.is_delivery_to_router() => {
                verdict.redelivered += u64::from(line.flag("redelivered"));
            }
            _ => {}
        }
        let concerns_invocation = match line.event.as_str() {
            "published" | "expired" | "lost" | "dead" | "received" | "left" | "ran" => true,
            _ => line.is_delivery_to_router(),
        };
        if concerns_invocation {
            invocations
                .entry(line.invocation_id().to_owned())
                .or_default()
                .record(line, evidence.excused);
        }
    }
    invocations
}

impl InvocationHistory {
    fn record(&mut self, line: &LogLine, excused: &ExcusedIntervals) {
        match line.event.as_str() {
            "published" if line.text("fate").is_empty() => {
                self.trigger_type = line.text("type").to_owned();
                self.account = line.text("account").to_owned();
                self.front = line.text("queue").to_owned();
                (self.published, self.timeout_us) = (line.at, line.number("timeout"));
            }
            "published" => {
                self.answers.push(Answer {
                    at: line.at,
                    outcome: line.text("fate").to_owned(),
                    reason: line.text("reason").to_owned(),
                });
                self.answered_by = line.text("from").to_owned();
            }
            "delivered" => self.deliveries.push(Delivery { at: line.at }),
            "expired" => self.expired = true,
            "dead" => self.dead_lettered = true,
            "lost" => {
                self.lost = Some(LostCall {
                    at: line.at,
                    router: line.text("to").to_owned(),
                });
            }
            "received" => self.dispatches.push(Dispatch {
                at: line.at,
                router: line.text("from").to_owned(),
                number: line.text("dispatch").to_owned(),
                worker: line.source.clone(),
                end: None,
                held_since: held_since(line, excused),
                close_hidden_since: None,
            }),
            "left" => self.record_dispatch_end(line, excused),
            "ran" => self.executions += 1,
            _ => {}
        }
    }

    fn record_dispatch_end(&mut self, line: &LogLine, excused: &ExcusedIntervals) {
        let is_same = |dispatch: &&mut Dispatch| {
            dispatch.end.is_none()
                && dispatch.worker == line.source
                && dispatch.router == line.text("from")
                && dispatch.number == line.text("dispatch")
        };
        if let Some(dispatch) = self.dispatches.iter_mut().find(is_same) {
            dispatch.end = Some(DispatchEnd {
                at: line.at,
                how: line.text("how").to_owned(),
            });
            let hidden_since = excused.close_hidden_since(line.text("from"), &line.source, line.at);
            dispatch.close_hidden_since = [line.number("unseen_since"), hidden_since]
                .into_iter()
                .flatten()
                .min();
        }
    }
}
