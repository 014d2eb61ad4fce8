//! What happened to each invocation, gathered from the lines about it.

use std::collections::BTreeMap;

use crate::check::Evidence;
use crate::excused_intervals::ExcusedIntervals;
use crate::traffic_log::LogLine;
use crate::verdict::Verdict;

/// Times of two emulators' lines about one moment may be apart by this much: they are written by different threads.
pub(crate) const CLOCK_TOLERANCE_US: i64 = 100_000;
/// A closed connection is seen on its other side within this time.
const CLOSE_SEEN_US: i64 = 500_000;

/// By invocation id.
pub(crate) type Invocations = BTreeMap<String, InvocationHistory>;

/// All that the logs say of one invocation. Times are microseconds of Unix time.
#[derive(Default)]
pub(crate) struct InvocationHistory {
    pub(crate) trigger_type: String,
    pub(crate) account: String,
    /// The queue that it was published to, or `calls`.
    pub(crate) front: String,
    pub(crate) published: i64,
    pub(crate) timeout_us: Option<i64>,
    pub(crate) deliveries: Vec<Delivery>,
    pub(crate) answers: Vec<Answer>,
    pub(crate) answered_by: String,
    pub(crate) expired: bool,
    pub(crate) dead_lettered: bool,
    /// A call's connection that its router broke off.
    pub(crate) lost: Option<LostCall>,
    pub(crate) dispatches: Vec<Dispatch>,
    pub(crate) executions: usize,
}

pub(crate) struct Delivery {
    pub(crate) at: i64,
}

pub(crate) struct Answer {
    pub(crate) at: i64,
    pub(crate) outcome: String,
    pub(crate) reason: String,
}

pub(crate) struct LostCall {
    pub(crate) at: i64,
    pub(crate) router: String,
}

impl InvocationHistory {
    /// When its client gives up.
    pub(crate) fn client_deadline(&self) -> i64 {
        self.timeout_us.map_or(i64::MAX, |t| self.published + t)
    }
}

/// A dispatch as its worker saw it.
pub(crate) struct Dispatch {
    pub(crate) at: i64,
    pub(crate) router: String,
    number: String,
    worker: String,
    departure: Option<Departure>,
    /// A fault held it back: it may have been sent since then.
    held_since: Option<i64>,
    /// A fault may have hidden since then that its router closed the connection.
    unseen_since: Option<i64>,
}

/// How a dispatch left its worker.
struct Departure {
    at: i64,
    how: String,
}

impl Dispatch {
    /// Whether it surely was in flight all the time between the two.
    pub(crate) fn surely_in_flight(&self, since: i64, until: i64, leeway: i64) -> bool {
        let unseen = self.unseen_since.unwrap_or(i64::MAX);
        let open = self
            .departure
            .as_ref()
            .is_none_or(|left| left.at.min(unseen) > until + CLOSE_SEEN_US + leeway);
        self.at <= since && open
    }

    /// When it was sent at the earliest.
    pub(crate) fn earliest_sent(&self) -> i64 {
        self.held_since.unwrap_or(self.at).min(self.at)
    }

    /// The worker did not say, before any work, that it would not execute it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.departure
            .as_ref()
            .is_none_or(|left| left.how != "refused")
    }
}

/// A fault held back what this line says, as its emulator saw or the cluster's log says: it may have been sent since
/// then.
pub(crate) fn held_since(line: &LogLine, excused: &ExcusedIntervals) -> Option<i64> {
    [
        line.number("held_since"),
        excused.held_since(line.text("from"), &line.source, line.at),
    ]
    .into_iter()
    .flatten()
    .min()
}

/// Gathers the lines by invocation, and counts events in the verdict.
pub(crate) fn gather(evidence: &Evidence, verdict: &mut Verdict) -> Invocations {
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
                departure: None,
                held_since: held_since(line, excused),
                unseen_since: None,
            }),
            "left" => self.record_departure(line, excused),
            "ran" => self.executions += 1,
            _ => {}
        }
    }

    fn record_departure(&mut self, line: &LogLine, excused: &ExcusedIntervals) {
        let is_same = |dispatch: &&mut Dispatch| {
            dispatch.departure.is_none()
                && dispatch.worker == line.source
                && dispatch.router == line.text("from")
                && dispatch.number == line.text("dispatch")
        };
        if let Some(dispatch) = self.dispatches.iter_mut().find(is_same) {
            dispatch.departure = Some(Departure {
                at: line.at,
                how: line.text("how").to_owned(),
            });
            let unseen = excused.unseen_since(line.text("from"), &line.source, line.at);
            dispatch.unseen_since = [line.number("unseen_since"), unseen]
                .into_iter()
                .flatten()
                .min();
        }
    }
}
