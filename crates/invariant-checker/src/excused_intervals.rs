//! Intervals in which a fault paused a router or impaired a link, read from the lines of the test cluster:
//! `router-paused`, and `link` for a directed link that holds back, loses or delays messages. The checks consult them
//! only for events whose times the logs cannot show because of the fault. A log without such lines excuses nothing.
//!
//! Mechanisms:
//! 1. A delayed message arrives at most half a second after the end of the fault. Until then a message may have been
//!    sent as early as the beginning of the fault; if the maximum delay is known, at most that long before its arrival.
//!    Faults that are separated by at most half a second count as one.
//! 2. A router that is paused, or whose link to or from the broker is held, answers as soon as the fault is over.
//! 3. A notification of the endpoint list to a router that is paused, or over a link that is held, is received when the
//!    fault is over.

use std::collections::HashMap;

use crate::traffic_log::LogLine;

/// Time after the end of a fault within which all messages that it delayed have arrived. The emulators use the same
/// value.
const DELAYED_ARRIVAL_US: i64 = 500_000;
/// Name of the log of the broker, which is also its name in `link` lines.
const BROKER: &str = "broker";
/// Name of the log of the endpoint list, which is also its name in `link` lines.
const ENDPOINT_LIST: &str = "list";

/// The duration of a fault, in microseconds of Unix time.
#[derive(Clone, Copy, Debug)]
struct Interval {
    began: i64,
    /// `i64::MAX` while the fault lasts.
    ended: i64,
    /// Longest delay of a message, if it is known.
    max_delay_us: Option<i64>,
}

impl Interval {
    fn covers(&self, at: i64) -> bool {
        self.began <= at && at <= self.ended
    }

    /// Whether the fault may have delayed a message that arrived at this time.
    fn may_have_delayed(&self, arrived: i64) -> bool {
        self.began <= arrived && arrived <= self.ended.saturating_add(DELAYED_ARRIVAL_US)
    }
}

/// Effect of a fault on a directed link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum LinkFault {
    /// Messages are held back or delayed.
    Held,
    /// Only the information that the far side closed a connection is held back.
    HalfOpen,
}

/// Sender, receiver and fault.
type LinkKey = (String, String, LinkFault);

/// All intervals of pauses and link faults of a run.
#[derive(Default)]
pub(crate) struct ExcusedIntervals {
    /// Pauses by router address.
    paused: HashMap<String, Vec<Interval>>,
    links: HashMap<LinkKey, Vec<Interval>>,
}

/// Records the beginning of a fault.
fn begin_fault(intervals: &mut Vec<Interval>, at: i64, max_delay_us: Option<i64>) {
    match intervals.last_mut() {
        // The fault is set again during the previous interval, or at most `DELAYED_ARRIVAL_US` after it: both become
        // one interval with the longer maximum delay.
        Some(last) if last.ended == i64::MAX || at - last.ended <= DELAYED_ARRIVAL_US => {
            last.max_delay_us = last.max_delay_us.zip(max_delay_us).map(|(a, b)| a.max(b));
            last.ended = i64::MAX;
        }
        _ => intervals.push(Interval {
            began: at,
            ended: i64::MAX,
            max_delay_us,
        }),
    }
}

/// Records the end of a fault.
fn end_fault(intervals: &mut [Interval], at: i64) {
    if let Some(last) = intervals.last_mut()
        && last.ended == i64::MAX
    {
        last.ended = at;
    }
}

impl ExcusedIntervals {
    /// Reads the intervals from all lines of a run.
    pub(crate) fn read(lines: &[LogLine]) -> Self {
        let mut excused = ExcusedIntervals::default();
        for line in lines {
            match line.event.as_str() {
                "router-paused" => {
                    let paused = excused.pauses_mut(line);
                    if line.flag("on") {
                        begin_fault(paused, line.at, None);
                    } else {
                        end_fault(paused, line.at);
                    }
                }
                // A new router process is not paused.
                "router-up" => end_fault(excused.pauses_mut(line), line.at),
                "link" => excused.read_link(line),
                _ => {}
            }
        }
        excused
    }

    fn pauses_mut(&mut self, line: &LogLine) -> &mut Vec<Interval> {
        self.paused
            .entry(line.text("address").to_owned())
            .or_default()
    }

    fn read_link(&mut self, line: &LogLine) {
        let fault = match line.text("why") {
            "held" => LinkFault::Held,
            "half-open" => LinkFault::HalfOpen,
            _ => return,
        };
        let key = (
            line.text("from").to_owned(),
            line.text("to").to_owned(),
            fault,
        );
        let intervals = self.links.entry(key).or_default();
        if line.flag("on") {
            begin_fault(intervals, line.at, line.number("most_us"));
        } else {
            end_fault(intervals, line.at);
        }
    }

    fn link_faults(&self, from: &str, to: &str, fault: LinkFault) -> &[Interval] {
        self.links
            .get(&(from.to_owned(), to.to_owned(), fault))
            .map_or(&[], Vec::as_slice)
    }

    fn pauses(&self, router: &str) -> &[Interval] {
        self.paused.get(router).map_or(&[], Vec::as_slice)
    }

    /// Returns the earliest time at which a message that arrived at this time may have been sent, if a fault may have
    /// delayed it.
    pub(crate) fn held_since(&self, from: &str, to: &str, arrived: i64) -> Option<i64> {
        self.link_faults(from, to, LinkFault::Held)
            .iter()
            .filter(|held| held.may_have_delayed(arrived))
            .map(|held| match held.max_delay_us {
                Some(most) => held.began.max(arrived - most),
                None => held.began,
            })
            .min()
    }

    /// Returns the earliest time at which one side may have closed a connection without the other side having noticed
    /// it at the time `at`.
    pub(crate) fn close_hidden_since(&self, from: &str, to: &str, at: i64) -> Option<i64> {
        let half_open = self
            .link_faults(from, to, LinkFault::HalfOpen)
            .iter()
            .filter(|interval| interval.may_have_delayed(at))
            .map(|interval| interval.began)
            .min();
        [self.held_since(from, to, at), half_open]
            .into_iter()
            .flatten()
            .min()
    }

    /// Whether a fault kept the router from sending an answer that was due: the router was paused, or its link to or
    /// from the broker was held.
    pub(crate) fn was_kept_from_answering(
        &self,
        router: &str,
        due: i64,
        min_time_to_answer: i64,
    ) -> bool {
        [
            self.link_faults(router, BROKER, LinkFault::Held),
            self.link_faults(BROKER, router, LinkFault::Held),
            self.pauses(router),
        ]
        .into_iter()
        .flatten()
        .any(|interval| {
            interval.began < due && interval.ended.saturating_add(min_time_to_answer) > due
        })
    }

    /// Whether the router was paused at this time.
    pub(crate) fn was_paused_at(&self, router: &str, at: i64) -> bool {
        self.pauses(router).iter().any(|paused| paused.covers(at))
    }

    /// Returns the time at which the drain grace begins for a notification that the endpoint list sent at the time
    /// `sent`: when the router received it, or the end of the last pause that overlaps the grace after that.
    pub(crate) fn notified_at(&self, router: &str, sent: i64, grace: i64) -> i64 {
        // A notification over a held link arrives when the fault is over.
        let arrived = self
            .link_faults(ENDPOINT_LIST, router, LinkFault::Held)
            .iter()
            .filter(|held| held.covers(sent))
            .map(|held| held.ended)
            .max()
            .unwrap_or(sent);
        // The grace starts again at the end of each pause that overlaps it.
        self.pauses(router)
            .iter()
            .filter(|paused| {
                paused.began <= arrived.saturating_add(grace) && arrived <= paused.ended
            })
            .map(|paused| paused.ended)
            .fold(arrived, i64::max)
    }

    /// Returns the time at which the router processed an invocation that was delivered at the time `delivered`: a
    /// paused router processes it when it is resumed.
    pub(crate) fn processed_at(&self, router: &str, delivered: i64) -> i64 {
        self.pauses(router)
            .iter()
            .filter(|paused| paused.covers(delivered))
            .map(|paused| paused.ended)
            .fold(delivered, i64::max)
    }
}
