//! Intervals for which a router or a link was held up by a fault, read from the cluster's own lines: `router-paused`,
//! and `link` for a directed link that holds, loses or delays what passes. They are consulted for the few things that
//! this makes unseeable; where a log has none of these lines, nothing is excused.
//!
//! Mechanisms:
//! 1. What is held arrives within half a second of the end; until then it may be as old as the beginning, or as the
//!    longest delay where that is known. Faults closer together than that count as one.
//! 2. A router that is paused, or whose link to or from the broker is held, answers as soon as it is over.
//! 3. What a worker list sends to a router that is paused, or over a link that is held, is received when it is over.

use std::collections::HashMap;

use crate::traffic_log::LogLine;

/// As in the emulators: what a fault held back has arrived within this time of its end.
const DELAYED_ARRIVAL_US: i64 = 500_000;
/// Both emulators by the names of their logs.
const BROKER: &str = "broker";
const WORKER_LIST: &str = "list";

#[derive(Clone, Copy, Debug)]
struct Interval {
    began: i64,
    /// `i64::MAX` while it lasts.
    ended: i64,
    /// Nothing is held for longer.
    most_delay: Option<i64>,
}

impl Interval {
    fn covers(&self, at: i64) -> bool {
        self.began <= at && at <= self.ended
    }

    /// What arrives at this time may have been held.
    fn may_have_delayed(&self, arrived: i64) -> bool {
        self.began <= arrived && arrived <= self.ended.saturating_add(DELAYED_ARRIVAL_US)
    }
}

/// What is held on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum LinkFault {
    /// What passes.
    Held,
    /// That the far side has closed.
    HalfOpen,
}

type LinkKey = (String, String, LinkFault);

#[derive(Default)]
pub(crate) struct ExcusedIntervals {
    /// By router address.
    paused: HashMap<String, Vec<Interval>>,
    links: HashMap<LinkKey, Vec<Interval>>,
}

fn begin(intervals: &mut Vec<Interval>, at: i64, most_delay: Option<i64>) {
    match intervals.last_mut() {
        // Set anew while it lasts, or nearly so: the longer delay counts.
        Some(last) if last.ended == i64::MAX || at - last.ended <= DELAYED_ARRIVAL_US => {
            last.most_delay = last.most_delay.zip(most_delay).map(|(a, b)| a.max(b));
            last.ended = i64::MAX;
        }
        _ => intervals.push(Interval {
            began: at,
            ended: i64::MAX,
            most_delay,
        }),
    }
}

fn end(intervals: &mut [Interval], at: i64) {
    if let Some(last) = intervals.last_mut()
        && last.ended == i64::MAX
    {
        last.ended = at;
    }
}

impl ExcusedIntervals {
    pub(crate) fn read(lines: &[LogLine]) -> Self {
        let mut excused = ExcusedIntervals::default();
        for line in lines {
            match line.event.as_str() {
                "router-paused" => {
                    let paused = excused.paused_mut(line);
                    if line.flag("on") {
                        begin(paused, line.at, None);
                    } else {
                        end(paused, line.at);
                    }
                }
                // A new process is not paused.
                "router-up" => end(excused.paused_mut(line), line.at),
                "link" => excused.read_link(line),
                _ => {}
            }
        }
        excused
    }

    fn paused_mut(&mut self, line: &LogLine) -> &mut Vec<Interval> {
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
            begin(intervals, line.at, line.number("most_us"));
        } else {
            end(intervals, line.at);
        }
    }

    fn on_link(&self, from: &str, to: &str, fault: LinkFault) -> &[Interval] {
        self.links
            .get(&(from.to_owned(), to.to_owned(), fault))
            .map_or(&[], Vec::as_slice)
    }

    fn of_paused(&self, router: &str) -> &[Interval] {
        self.paused.get(router).map_or(&[], Vec::as_slice)
    }

    /// Since when what arrived there at this time may have been in flight, if a fault held it.
    pub(crate) fn held_since(&self, from: &str, to: &str, arrived: i64) -> Option<i64> {
        self.on_link(from, to, LinkFault::Held)
            .iter()
            .filter(|held| held.may_have_delayed(arrived))
            .map(|held| match held.most_delay {
                Some(most) => held.began.max(arrived - most),
                None => held.began,
            })
            .min()
    }

    /// Since when one side may have closed a connection without the other's having seen it at this time.
    pub(crate) fn unseen_since(&self, from: &str, to: &str, at: i64) -> Option<i64> {
        let half_open = self
            .on_link(from, to, LinkFault::HalfOpen)
            .iter()
            .filter(|interval| interval.may_have_delayed(at))
            .map(|interval| interval.began)
            .min();
        [self.held_since(from, to, at), half_open]
            .into_iter()
            .flatten()
            .min()
    }

    /// Whether the router could not give an answer that was due: it was paused, or its link to or from the broker was
    /// held.
    pub(crate) fn kept_from_answering(&self, router: &str, due: i64, answerable: i64) -> bool {
        [
            self.on_link(router, BROKER, LinkFault::Held),
            self.on_link(BROKER, router, LinkFault::Held),
            self.of_paused(router),
        ]
        .into_iter()
        .flatten()
        .any(|interval| interval.began < due && interval.ended.saturating_add(answerable) > due)
    }

    pub(crate) fn was_paused_at(&self, router: &str, at: i64) -> bool {
        self.of_paused(router)
            .iter()
            .any(|paused| paused.covers(at))
    }

    /// When the router has received what the list sent then, and can have had the grace without being paused.
    pub(crate) fn notified_at(&self, router: &str, sent: i64, grace: i64) -> i64 {
        // It arrived when the fault was over.
        let arrived = self
            .on_link(WORKER_LIST, router, LinkFault::Held)
            .iter()
            .filter(|held| held.covers(sent))
            .map(|held| held.ended)
            .max()
            .unwrap_or(sent);
        // A grace in which it was paused begins again.
        self.of_paused(router)
            .iter()
            .filter(|paused| {
                paused.began <= arrived.saturating_add(grace) && arrived <= paused.ended
            })
            .map(|paused| paused.ended)
            .fold(arrived, i64::max)
    }

    /// When the router saw what was given to it then: a paused one did when it was resumed.
    pub(crate) fn seen_at(&self, router: &str, given: i64) -> i64 {
        self.of_paused(router)
            .iter()
            .filter(|paused| paused.covers(given))
            .map(|paused| paused.ended)
            .fold(given, i64::max)
    }
}
