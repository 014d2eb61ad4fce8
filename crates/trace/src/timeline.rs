//! The course of a span of time: what was answered, how fast, what was held and loaded, in equal bins. Free of I/O:
//! [`Course::record`] takes the records of any number of sources in any order.
//!
//! Mechanism: bins of a second; once there would be more than [`MOST_BINS`], each two become one, as often as needed.
//! So a file of any length has a course of the same size, and no record is left out.

use std::collections::BTreeMap;

use cedarpulley::interface::{Action, Event, Micros};
use cedarpulley_router::Fate;
use hdrhistogram::Histogram;

use crate::records::{Record, RecordedEvent};
use crate::start::Source;

/// Finer than this no chart shows.
const MOST_BINS: usize = 600;
const SECOND: Micros = 1_000_000;

#[derive(Clone, Debug)]
pub struct TimelineBin {
    pub succeeded: u64,
    pub throttled: u64,
    pub errored: u64,
    pub turned_away: u64,
    pub taken: u64,
    pub dispatches: u64,
    pub failed: u64,
    pub orders: u64,
    pub held: u64,
    pub lost_records: u64,
    /// Of the succeeded ones, in microseconds; one digit, as a chart shows no more.
    pub times: Histogram<u32>,
}

impl Default for TimelineBin {
    fn default() -> Self {
        TimelineBin {
            succeeded: 0,
            throttled: 0,
            errored: 0,
            turned_away: 0,
            taken: 0,
            dispatches: 0,
            failed: 0,
            orders: 0,
            held: 0,
            lost_records: 0,
            // Up to an hour; such bounds are always valid.
            times: Histogram::new_with_bounds(100, 3_600_000_000, 1).expect("valid bounds"),
        }
    }
}

impl TimelineBin {
    fn add(&mut self, other: TimelineBin) {
        let pairs = [
            (&mut self.succeeded, other.succeeded),
            (&mut self.throttled, other.throttled),
            (&mut self.errored, other.errored),
            (&mut self.turned_away, other.turned_away),
            (&mut self.taken, other.taken),
            (&mut self.dispatches, other.dispatches),
            (&mut self.failed, other.failed),
            (&mut self.orders, other.orders),
            (&mut self.held, other.held),
            (&mut self.lost_records, other.lost_records),
        ];
        pairs.into_iter().for_each(|(own, more)| *own += more);
        // The same bounds on both sides: there is nothing that does not fit.
        let _ = self.times.add(other.times);
    }
}

#[derive(Debug)]
pub struct Course {
    width: Micros,
    bins: BTreeMap<i64, TimelineBin>,
}

impl Default for Course {
    fn default() -> Self {
        Course {
            width: SECOND,
            bins: BTreeMap::new(),
        }
    }
}

impl Course {
    /// Of one bin.
    pub fn width(&self) -> Micros {
        self.width
    }

    /// Wall's microseconds at which each begins, those without anything among them too.
    pub fn bins(&self) -> Vec<(Micros, TimelineBin)> {
        let (Some((first, _)), Some((last, _))) =
            (self.bins.first_key_value(), self.bins.last_key_value())
        else {
            return Vec::new();
        };
        (*first..=*last)
            .map(|n| {
                (
                    n.saturating_mul(self.width),
                    self.bins.get(&n).cloned().unwrap_or_default(),
                )
            })
            .collect()
    }

    fn bin(&mut self, wall: Micros) -> &mut TimelineBin {
        let span = |n: i64, bins: &BTreeMap<i64, TimelineBin>| {
            let first = bins.first_key_value().map_or(n, |(f, _)| *f).min(n);
            let last = bins.last_key_value().map_or(n, |(l, _)| *l).max(n);
            i128::from(last) - i128::from(first)
        };
        while span(wall.div_euclid(self.width), &self.bins) >= MOST_BINS as i128 {
            self.width = self.width.saturating_mul(2);
            for (n, bin) in std::mem::take(&mut self.bins) {
                self.bins.entry(n.div_euclid(2)).or_default().add(bin);
            }
        }
        self.bins.entry(wall.div_euclid(self.width)).or_default()
    }

    pub fn record(&mut self, of: &Source, at: Micros, record: &Record) {
        let wall = of.wall(at);
        match record {
            Record::Name { .. } => {}
            Record::Taken { .. } => self.bin(wall).taken += 1,
            Record::Gap { records, .. } => self.bin(wall).lost_records += records,
            Record::TurnedAway { .. } => self.bin(wall).turned_away += 1,
            Record::Answered { fate, took, .. } => {
                let bin = self.bin(wall);
                match fate {
                    Fate::Succeeded => {
                        bin.succeeded += 1;
                        bin.times.saturating_record((*took).max(0) as u64);
                    }
                    Fate::Throttled => bin.throttled += 1,
                    Fate::Errored => bin.errored += 1,
                }
            }
            Record::Decided {
                event: happened,
                actions,
            } => {
                let bin = self.bin(wall);
                if let RecordedEvent::Other(Event::DispatchEnded(e)) = happened {
                    bin.failed +=
                        u64::from(e.outcome != cedarpulley::interface::DispatchOutcome::Succeeded);
                }
                if let RecordedEvent::Other(Event::Invocation(a)) = happened {
                    let done = |x: &Action| match x {
                        Action::Dispatch {
                            invocation: inv, ..
                        }
                        | Action::Reject {
                            invocation: inv, ..
                        }
                        | Action::Fail { invocation: inv } => *inv == a.invocation,
                        _ => false,
                    };
                    bin.held += u64::from(!actions.iter().any(done));
                }
                for action in actions {
                    bin.dispatches += u64::from(matches!(action, Action::Dispatch { .. }));
                    bin.orders +=
                        u64::from(matches!(action, Action::LoadOrder { copies: 1.., .. }));
                }
            }
        }
    }
}
