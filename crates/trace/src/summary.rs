//! What is in traces, counted: by fate, trigger type, account, worker; times; loads; the worst ten seconds. Memory
//! grows with the workers named and the seconds in which something was lost, not with the invocations.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

use cedarpulley::interface::{Action, DispatchOutcome, Event, Micros};
use cedarpulley_router::Fate;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::records::{Record, RecordedEvent, Space};
use crate::start::Source;

/// The worst span is looked for in steps of a second.
pub const SPAN_S: i64 = 10;
const SECOND: Micros = 1_000_000;

#[derive(Clone, Debug, Default, Serialize, PartialEq, Eq)]
pub struct OutcomeCounts {
    pub succeeded: u64,
    pub throttled: u64,
    pub errored: u64,
    /// At the door, before it was taken.
    pub turned_away: u64,
}

impl OutcomeCounts {
    fn add(&mut self, fate: Fate) {
        match fate {
            Fate::Succeeded => self.succeeded += 1,
            Fate::Throttled => self.throttled += 1,
            Fate::Errored => self.errored += 1,
        }
    }

    fn lost(&self) -> u64 {
        self.throttled + self.errored + self.turned_away
    }
}

#[derive(Clone, Debug, Default, Serialize, PartialEq, Eq)]
pub struct WorkerCounts {
    pub dispatches: u64,
    pub succeeded: u64,
    pub failed: u64,
    pub orders: u64,
}

#[derive(Clone, Debug, Default, Serialize, PartialEq, Eq)]
pub struct LatencyQuantiles {
    pub count: u64,
    pub p50_us: u64,
    pub p90_us: u64,
    pub p99_us: u64,
    pub max_us: u64,
}

#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Summary {
    pub routers: u64,
    pub files: u64,
    pub invocations: u64,
    pub decisions: u64,
    pub dispatches: u64,
    pub orders: u64,
    pub withdrawn: u64,
    /// Invocations that were neither dispatched nor answered at once.
    pub held: u64,
    pub lost_records: u64,
    pub damaged_blocks: u64,
    pub fates: OutcomeCounts,
    pub by_trigger: BTreeMap<String, OutcomeCounts>,
    pub by_account: BTreeMap<String, OutcomeCounts>,
    pub by_reason: BTreeMap<String, u64>,
    pub by_worker: BTreeMap<String, WorkerCounts>,
    pub succeeded_in: LatencyQuantiles,
    /// Wall's seconds since 1970 at which the ten seconds begin in which most were answered without success, and
    /// how many.
    pub worst: Option<(i64, u64)>,
    /// Routers that stood at the same place at the same time: each takes the other's part of cold workers and shares
    /// for its own.
    pub same_place: Vec<(String, String)>,
    pub from_wall_us: Option<Micros>,
    pub until_wall_us: Option<Micros>,
}

/// Gathers one summary from any number of files.
pub struct Counter {
    out: Summary,
    times: Histogram<u64>,
    lost_by_second: BTreeMap<i64, u64>,
    /// By source and index.
    workers: HashMap<(u32, u32), String>,
    source: u32,
    /// By name and start: its place among how many, and from when to when it is seen.
    routers: BTreeMap<(String, Micros), Seen>,
}

struct Seen {
    place: (u32, u32),
    span: Option<(Micros, Micros)>,
}

/// Two that are seen together for less are one after the other, with clocks a little apart.
const TOGETHER: Micros = 2 * SECOND;
/// Pairs that are told.
const MOST_PAIRS: usize = 20;

impl Default for Counter {
    fn default() -> Self {
        Counter {
            out: Summary::default(),
            // Microseconds up to an hour, three digits; such bounds are always valid.
            times: Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("valid bounds"),
            lost_by_second: BTreeMap::new(),
            workers: HashMap::new(),
            source: 0,
            routers: Default::default(),
        }
    }
}

fn named(names: &[String], ix: u32) -> String {
    names.get(ix as usize).cloned().unwrap_or_else(|| {
        if ix == u32::MAX {
            "?".into()
        } else {
            ix.to_string()
        }
    })
}

impl Counter {
    /// Before its records.
    pub fn file(&mut self, sources: &[Source]) {
        for s in sources {
            self.out.files += 1;
            let place = (
                s.start.startup.fleet.position,
                s.start.startup.fleet.routers,
            );
            let key = (s.start.router.clone(), s.start.wall_at_zero);
            self.routers
                .entry(key)
                .or_insert(Seen { place, span: None });
        }
        self.workers.clear();
    }

    pub fn damaged(&mut self) {
        self.out.damaged_blocks += 1;
    }

    pub fn record(&mut self, source: u32, of: &Source, at: Micros, record: &Record) {
        let (wall, start) = (of.wall(at), &of.start);
        self.source = source;
        let out = &mut self.out;
        if !matches!(record, Record::Name { .. }) {
            out.from_wall_us = Some(out.from_wall_us.map_or(wall, |w| w.min(wall)));
            out.until_wall_us = Some(out.until_wall_us.map_or(wall, |w| w.max(wall)));
            if let Some(seen) = self
                .routers
                .get_mut(&(start.router.clone(), start.wall_at_zero))
            {
                let (from, until) = seen.span.unwrap_or((wall, wall));
                seen.span = Some((from.min(wall), until.max(wall)));
            }
        }
        match record {
            Record::Name {
                kind: Space::Worker,
                index: ix,
                name: text,
            } => {
                self.workers.insert((source, *ix), text.clone());
            }
            Record::Name { .. } | Record::Taken { .. } => {}
            Record::Gap { records, .. } => out.lost_records += records,
            Record::Answered {
                fate,
                reason,
                trigger,
                account,
                took,
                ..
            } => {
                out.fates.add(*fate);
                out.by_trigger
                    .entry(named(&start.triggers_named, *trigger))
                    .or_default()
                    .add(*fate);
                out.by_account
                    .entry(named(&start.accounts_named, *account))
                    .or_default()
                    .add(*fate);
                *out.by_reason.entry(format!("{reason:?}")).or_default() += 1;
                match fate {
                    Fate::Succeeded => self.times.saturating_record((*took).max(0) as u64),
                    _ => {
                        *self
                            .lost_by_second
                            .entry(wall.div_euclid(SECOND))
                            .or_default() += 1
                    }
                }
            }
            Record::TurnedAway {
                trigger,
                account,
                why,
                ..
            } => {
                out.fates.turned_away += 1;
                out.by_trigger
                    .entry(named(&start.triggers_named, *trigger))
                    .or_default()
                    .turned_away += 1;
                out.by_account
                    .entry(named(&start.accounts_named, *account))
                    .or_default()
                    .turned_away += 1;
                *out.by_reason.entry(format!("door: {why:?}")).or_default() += 1;
                *self
                    .lost_by_second
                    .entry(wall.div_euclid(SECOND))
                    .or_default() += 1;
            }
            Record::Decided {
                event: happened,
                actions,
            } => self.decided(happened, actions),
        }
    }

    fn worker(&mut self, ix: u32) -> &mut WorkerCounts {
        let name = self
            .workers
            .get(&(self.source, ix))
            .cloned()
            .unwrap_or_else(|| ix.to_string());
        self.out.by_worker.entry(name).or_default()
    }

    fn decided(&mut self, happened: &RecordedEvent, actions: &[Action]) {
        self.out.decisions += 1;
        if let RecordedEvent::Other(Event::Invocation(a)) = happened {
            self.out.invocations += 1;
            let done = actions.iter().any(|x| match x {
                Action::Dispatch {
                    invocation: inv, ..
                }
                | Action::Reject {
                    invocation: inv, ..
                }
                | Action::Fail { invocation: inv } => *inv == a.invocation,
                _ => false,
            });
            self.out.held += u64::from(!done);
        }
        if let RecordedEvent::Other(Event::DispatchEnded(e)) = happened {
            let at = self.worker(e.worker);
            match e.outcome {
                DispatchOutcome::Succeeded => at.succeeded += 1,
                DispatchOutcome::Cancelled => {}
                _ => at.failed += 1,
            }
        }
        for action in actions {
            match action {
                Action::Dispatch { worker, .. } => {
                    self.out.dispatches += 1;
                    self.worker(*worker).dispatches += 1;
                }
                Action::LoadOrder { worker, copies, .. } if *copies > 0 => {
                    self.out.orders += 1;
                    self.worker(*worker).orders += 1;
                }
                Action::Cancel { .. } => self.out.withdrawn += 1,
                _ => {}
            }
        }
    }

    pub fn finish(mut self) -> Summary {
        self.out.routers = self.routers.len() as u64;
        self.out.same_place = same_place(&self.routers);
        let h = &self.times;
        let at = |q| {
            if h.is_empty() {
                0
            } else {
                h.value_at_quantile(q)
            }
        };
        self.out.succeeded_in = LatencyQuantiles {
            count: h.len(),
            p50_us: at(0.5),
            p90_us: at(0.9),
            p99_us: at(0.99),
            max_us: h.max(),
        };
        let sum = |from: i64| {
            self.lost_by_second
                .range(from..from + SPAN_S)
                .map(|(_, n)| n)
                .sum::<u64>()
        };
        // The earliest of the worst: a span that begins with a bad second.
        self.out.worst = self
            .lost_by_second
            .keys()
            .map(|s| (*s, sum(*s)))
            .max_by_key(|(s, n)| (*n, -s));
        self.out
    }
}

fn same_place(routers: &BTreeMap<(String, Micros), Seen>) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let all: Vec<_> = routers.iter().collect();
    for (n, (one, a)) in all.iter().enumerate() {
        for (other, b) in all[n + 1..].iter().filter(|(_, b)| b.place == a.place) {
            let (Some(x), Some(y)) = (a.span, b.span) else {
                continue;
            };
            if x.1.min(y.1) - x.0.max(y.0) >= TOGETHER && pairs.len() < MOST_PAIRS {
                pairs.push((one.0.clone(), other.0.clone()));
            }
        }
    }
    pairs
}

impl Summary {
    pub fn table(&self) -> String {
        let mut t = String::new();
        let _ = writeln!(
            t,
            "{} files of {} router lives, {} invocations, {} decisions, {} dispatches, {} orders, {} held, {} withdrawn",
            self.files,
            self.routers,
            self.invocations,
            self.decisions,
            self.dispatches,
            self.orders,
            self.held,
            self.withdrawn
        );
        let _ = writeln!(
            t,
            "{:<24} {:>10} {:>10} {:>10} {:>11}",
            "", "succeeded", "throttled", "errored", "turned away"
        );
        let all = [("all".to_owned(), self.fates.clone())];
        for (name, f) in all
            .iter()
            .map(|(n, f)| (n, f))
            .chain(&self.by_trigger)
            .chain(&self.by_account)
        {
            let _ = writeln!(
                t,
                "{name:<24} {:>10} {:>10} {:>10} {:>11}",
                f.succeeded, f.throttled, f.errored, f.turned_away
            );
        }
        let s = &self.succeeded_in;
        let _ = writeln!(
            t,
            "succeeded in: p50 {:.1} ms, p90 {:.1} ms, p99 {:.1} ms, at most {:.1} ms",
            s.p50_us as f64 / 1e3,
            s.p90_us as f64 / 1e3,
            s.p99_us as f64 / 1e3,
            s.max_us as f64 / 1e3
        );
        let reasons: Vec<String> = self
            .by_reason
            .iter()
            .map(|(r, n)| format!("{r} {n}"))
            .collect();
        let _ = writeln!(t, "by reason: {}", reasons.join(", "));
        let _ = writeln!(
            t,
            "{:<24} {:>10} {:>10} {:>10} {:>11}",
            "worker", "dispatches", "succeeded", "failed", "orders"
        );
        for (name, w) in &self.by_worker {
            let _ = writeln!(
                t,
                "{name:<24} {:>10} {:>10} {:>10} {:>11}",
                w.dispatches, w.succeeded, w.failed, w.orders
            );
        }
        if let Some((at, lost)) = self.worst {
            let _ = writeln!(
                t,
                "worst ten seconds: from {at} s on (wall), {lost} of {} without success",
                self.fates.lost()
            );
        }
        for (one, other) in &self.same_place {
            let _ = writeln!(
                t,
                "{one} and {other} stood at the same place at the same time"
            );
        }
        if self.lost_records + self.damaged_blocks > 0 {
            let _ = writeln!(
                t,
                "incomplete: {} records lost to gaps, {} blocks damaged",
                self.lost_records, self.damaged_blocks
            );
        }
        t
    }
}
