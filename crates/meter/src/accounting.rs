//! What each thing that happened costs whom. Called with [`Meter::ended`] for each dispatch and [`Meter::loaded`] for
//! each order to load, with what the worker said it held; [`Meter::take`] gives the sums since the last time.
//!
//! Mechanisms:
//! 1. What a worker reports counts as reported, in the hour in which it ended. A copy's memory while it ran is parted
//!    by the worker among those it ran at once, so the parts add up to what was held.
//! 2. A load is charged once, whole, to whoever caused it: the invocation that found no copy, or the account for which
//!    it was ordered. Those that waited for the same load are shown as sharing it and pay nothing for it.
//! 3. Idle memory is charged to whoever uses the copy next. Each gap is reported in one answer, to one router, so
//!    routers that share nothing never count it twice; what is never used again nobody pays.
//! 4. A dispatch that may have run and of which nothing was reported is uncertain: its part of a copy from its sending
//!    until it ended here. What never ran costs nothing, and is shown so.

use std::sync::Arc;

use cedarpulley::interface::{CopyNote, Micros, Outcome};

use crate::sums::{HOUR, Key, Kind, Sum, Sums};

/// What a worker says that one invocation, or one order, held of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Size of the copy.
    pub bytes: u64,
    /// Its part of the time during which the copy ran anything.
    pub running: Micros,
    /// Of the load that it began.
    pub loading: Micros,
    /// For how long the copy had stood idle when it came.
    pub idle: Micros,
}

/// A dispatch that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Ended<'a> {
    /// Wall's clock.
    pub wall: Micros,
    pub account: &'a str,
    pub function: &'a str,
    pub outcome: Outcome,
    pub note: CopyNote,
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
    /// For whose invocation it was given.
    pub account: &'a str,
    pub function: &'a str,
    pub took: Micros,
    pub copy_bytes: u64,
    /// The worker answered, or surely never began.
    pub known: bool,
    pub held: Option<Held>,
}

#[derive(Debug, Default)]
pub struct Meter {
    sums: Sums,
}

fn product(bytes: u64, time: Micros) -> u128 {
    u128::from(bytes) * time.max(0) as u128
}

impl Meter {
    pub fn ended(&mut self, e: Ended) {
        let mut add = |kind, byte_us| self.add(e.wall, e.account, e.function, kind, byte_us);
        match e.held {
            Some(h) => {
                let parts = [(Kind::Running, h.running), (Kind::Loading, h.loading), (Kind::Idle, h.idle)];
                let held = parts.into_iter().filter(|(_, time)| *time > 0);
                let mut any = false;
                held.for_each(|(kind, time)| {
                    any = true;
                    add(kind, product(h.bytes, time));
                });
                if !any {
                    add(Kind::Nothing, 0);
                }
                if e.note == CopyNote::Waited {
                    add(Kind::Shared, 0);
                }
            }
            None if e.outcome.never_ran() => add(Kind::Nothing, 0),
            None => add(Kind::Uncertain, product(e.copy_bytes / u64::from(e.lanes.max(1)), e.took)),
        }
    }

    pub fn loaded(&mut self, l: Load) {
        match l.held {
            // It found the copy, or a load under way that is charged to whoever began it.
            Some(Held { loading: ..=0, .. }) => {}
            Some(h) => self.add(l.wall, l.account, l.function, Kind::Loading, product(h.bytes, h.loading)),
            None if l.known => {}
            None => {
                self.add(l.wall, l.account, l.function, Kind::Uncertain, product(l.copy_bytes, l.took));
            }
        }
    }

    /// Since the last time.
    pub fn take(&mut self) -> Sums {
        std::mem::take(&mut self.sums)
    }

    /// What could not be handed on comes back.
    pub fn give_back(&mut self, sums: &Sums) {
        self.sums.add_all(sums);
    }

    fn add(&mut self, wall: Micros, account: &str, function: &str, kind: Kind, byte_us: u128) {
        let hour = u32::try_from(wall.div_euclid(HOUR)).unwrap_or(0);
        let key = Key { hour, account: Arc::from(account), function: Arc::from(function), kind };
        self.sums.add(key, Sum { byte_us, count: 1 });
    }
}
