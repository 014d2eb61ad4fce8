//! What each thing that happened costs whom. Called with [`Meter::ended`] for each dispatch and [`Meter::loaded`] for
//! each order to load, with what the worker said it has held; [`Meter::take`] gives what is new since the last time.
//!
//! Mechanisms:
//! 1. A worker tells, in each answer, what its present life has held so far for that account and function. Of two such
//!    readings the larger holds the other, whoever read it and whenever: a lost answer or a killed router loses
//!    nothing that a later reading has, and routers that share nothing count nothing twice.
//! 2. A copy's memory while it ran is parted by the worker among those it ran at once. A load is charged whole to
//!    whoever caused it; those that waited for it are shown as sharing it and pay nothing. Idle memory is charged to
//!    whoever uses the copy next.
//! 3. A dispatch that may have run and of which nothing was heard is uncertain: its part of a copy from its sending
//!    until it ended here. Once the same life of that worker is heard again for that account and function, its totals
//!    hold what there was, and the line is settled. One that was heard in another life, or never, stays.
//! 4. What never ran costs nothing, and is shown so.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use cedarpulley::interface::{CopyStatus, DispatchOutcome, Micros, WorkerIndex};

use crate::sums::{HOUR, Key, Kind, Readings, Sum, Sums};

/// Lines that wait to be settled; beyond, they stay uncertain.
const MOST_WAITING: usize = 100_000;

/// What a worker's life has held so far for one account and function, in byte-microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Drawn at random when the worker's process begins.
    pub life: u64,
    pub running: u128,
    pub loading: u128,
    pub idle: u128,
}

/// A dispatch that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Ended<'a> {
    /// Wall's clock.
    pub wall: Micros,
    pub worker: WorkerIndex,
    pub account: &'a str,
    pub function: &'a str,
    pub outcome: DispatchOutcome,
    pub note: CopyStatus,
    pub took: Micros,
    /// Of a copy, as its client said, and invocations that one copy runs at a time.
    pub copy_bytes: u64,
    pub lanes: u32,
    pub held: Option<Held>,
}

/// An order to load that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Load<'a> {
    pub wall: Micros,
    pub worker: WorkerIndex,
    /// For whose invocation it was given.
    pub account: &'a str,
    pub function: &'a str,
    pub took: Micros,
    pub copy_bytes: u64,
    /// No load was begun for it: the worker could not be reached, or had no room.
    pub never_began: bool,
    pub held: Option<Held>,
}

/// What is new.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Part {
    pub sums: Sums,
    pub readings: Readings,
}

impl Part {
    pub fn is_empty(&self) -> bool {
        self.sums.is_empty() && self.readings.0.is_empty()
    }
}

type Line = (WorkerIndex, Arc<str>, Arc<str>);

#[derive(Debug, Default)]
pub struct Meter {
    /// Readings for which there was no room.
    pub left_out: u64,
    part: Part,
    /// The life in which each worker was heard last.
    lives: HashMap<WorkerIndex, u64>,
    /// What is uncertain, by the hour it was counted in, and the life its worker was then known to have.
    waiting: HashMap<Line, (Option<u64>, BTreeMap<u32, Sum>)>,
}

fn product(bytes: u64, time: Micros) -> u128 {
    u128::from(bytes) * time.max(0) as u128
}

fn hour(wall: Micros) -> u32 {
    u32::try_from(wall.div_euclid(HOUR)).unwrap_or(0)
}

impl Meter {
    pub fn ended(&mut self, e: Ended) {
        let line = (e.worker, Arc::from(e.account), Arc::from(e.function));
        match e.held {
            Some(held) => {
                self.heard(e.wall, &line, held);
                // A repeat that the worker dropped has no copy to tell of.
                let kind = if e.note == CopyStatus::Unreported {
                    Kind::Nothing
                } else {
                    Kind::Running
                };
                self.add(hour(e.wall), &line, kind, 0);
                if e.note == CopyStatus::LoadAwaited {
                    self.add(hour(e.wall), &line, Kind::Shared, 0);
                }
            }
            None if e.outcome.not_executed() => self.add(hour(e.wall), &line, Kind::Nothing, 0),
            None => {
                let part = product(e.copy_bytes / u64::from(e.lanes.max(1)), e.took);
                self.uncertain(e.wall, line, part);
            }
        }
    }

    pub fn loaded(&mut self, l: Load) {
        let line = (l.worker, Arc::from(l.account), Arc::from(l.function));
        match l.held {
            Some(held) => self.heard(l.wall, &line, held),
            None if l.never_began => {}
            None => self.uncertain(l.wall, line, product(l.copy_bytes, l.took)),
        }
    }

    /// Since the last time.
    pub fn take(&mut self) -> Part {
        std::mem::take(&mut self.part)
    }

    /// What could not be handed on comes back.
    pub fn give_back(&mut self, part: &Part) {
        self.part.sums.add_all(&part.sums);
        // Not joined whole: with a disk that fails for long, each part's lines would come on top of the others'.
        for ((life, key), total) in &part.readings.0 {
            self.left_out += u64::from(!self.part.readings.read(*life, key.clone(), *total));
        }
    }

    fn heard(&mut self, wall: Micros, line: &Line, held: Held) {
        self.lives.insert(line.0, held.life);
        let totals = [
            (Kind::Running, held.running),
            (Kind::Loading, held.loading),
            (Kind::Idle, held.idle),
        ];
        for (kind, total) in totals.into_iter().filter(|(_, total)| *total > 0) {
            let key = Key {
                hour: hour(wall),
                account: line.1.clone(),
                function: line.2.clone(),
                kind,
            };
            self.left_out += u64::from(!self.part.readings.read(held.life, key, total));
        }
        // Symptom: a worker that was silent for a while, or whose answer was lost, is charged for twice.
        if let Some((life, hours)) = self.waiting.remove(line)
            && life == Some(held.life)
        {
            hours
                .into_iter()
                .for_each(|(hour, sum)| self.put(hour, line, Kind::Settled, sum));
        }
    }

    fn uncertain(&mut self, wall: Micros, line: Line, byte_us: u128) {
        let (life, sum) = (self.lives.get(&line.0).copied(), Sum { byte_us, count: 1 });
        self.put(hour(wall), &line, Kind::Uncertain, sum);
        if self.waiting.len() >= MOST_WAITING && !self.waiting.contains_key(&line) {
            return;
        }
        let waiting = self.waiting.entry(line).or_insert((life, BTreeMap::new()));
        if waiting.0 != life {
            // Of another life: what waited until now stays uncertain.
            *waiting = (life, BTreeMap::new());
        }
        waiting.1.entry(hour(wall)).or_default().add(sum);
    }

    fn add(&mut self, hour: u32, line: &Line, kind: Kind, byte_us: u128) {
        self.put(hour, line, kind, Sum { byte_us, count: 1 });
    }

    fn put(&mut self, hour: u32, line: &Line, kind: Kind, sum: Sum) {
        let key = Key {
            hour,
            account: line.1.clone(),
            function: line.2.clone(),
            kind,
        };
        self.part.sums.add(key, sum);
    }
}
