//! When each worker is polled. This type owns the times; which rank this router has for a worker comes from
//! `ownership`, the interval from [`crate::polling`].
//!
//! Mechanisms:
//! 1. A router that becomes the first for a worker polls it soon; one that no longer is waits at least as long.
//! 2. The second in rank, or a later one, polls only once nothing was heard of the worker for as many times the
//!    takeover time; while a poll of its own is in flight, a router does not poll again until that counts as lost.
//! 3. When the rate limit is reached, all that is due waits, in order.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cedarpulley::interface::Micros;

use super::{Counts, Output};
use crate::polling::{
    PollInterval, PollResult, PollerRank, RateLimit, SeededRandom, takeover_after,
};

/// An answer that has not come by then never does: whoever polls gives up long before.
const POLL_LOST_AFTER: Micros = 30_000_000;

#[derive(Debug)]
struct WorkerPolls {
    rank: PollerRank,
    interval: PollInterval,
    due: Micros,
    last_heard: Micros,
    /// When the poll that is in flight was sent.
    in_flight_since: Option<Micros>,
}

#[derive(Debug)]
pub(super) struct PollSchedule {
    interval: Micros,
    rate_limit: RateLimit,
    workers: BTreeMap<Arc<str>, WorkerPolls>,
    by_time: BTreeSet<(Micros, Arc<str>)>,
}

impl PollSchedule {
    pub(super) fn new(now: Micros, interval: Micros, polls_per_s: f64) -> Self {
        PollSchedule {
            interval,
            rate_limit: RateLimit::new(now, polls_per_s),
            workers: BTreeMap::new(),
            by_time: BTreeSet::new(),
        }
    }

    /// Adds a worker, polled first within the usual interval; sooner if it has just restarted, as it then holds
    /// nothing that is worth waiting for.
    pub(super) fn insert(
        &mut self,
        now: Micros,
        worker: &Arc<str>,
        rank: PollerRank,
        restarted: bool,
        random: &mut SeededRandom,
    ) {
        let within = if restarted {
            self.interval / 8
        } else {
            self.interval
        };
        let due = now + (within as f64 * random.draw()) as Micros;
        let polls = WorkerPolls {
            rank,
            interval: PollInterval::new(self.interval),
            due,
            last_heard: now,
            in_flight_since: None,
        };
        self.by_time.insert((due, worker.clone()));
        self.workers.insert(worker.clone(), polls);
    }

    pub(super) fn remove(&mut self, worker: &Arc<str>) {
        if let Some(polls) = self.workers.remove(worker) {
            self.by_time.remove(&(polls.due, worker.clone()));
        }
    }

    /// This router's rank for a worker of the list.
    pub(super) fn rank(&self, worker: &str) -> Option<PollerRank> {
        self.workers.get(worker).map(|polls| polls.rank)
    }

    pub(super) fn is_first(&self, worker: &str) -> bool {
        self.rank(worker).is_some_and(PollerRank::is_first)
    }

    /// When a worker of the list was last heard of.
    pub(super) fn last_heard(&self, worker: &str) -> Option<Micros> {
        self.workers.get(worker).map(|polls| polls.last_heard)
    }

    pub(super) fn set_rank(
        &mut self,
        now: Micros,
        worker: &Arc<str>,
        rank: PollerRank,
        random: &mut SeededRandom,
    ) {
        let soon = now + random.jittered(self.interval);
        let Some(polls) = self.workers.get_mut(worker) else {
            return;
        };
        if polls.rank == rank {
            return;
        }
        polls.rank = rank;
        let due = if rank.is_first() {
            polls.due.min(soon)
        } else {
            polls.due.max(soon)
        };
        self.reschedule(worker, due);
    }

    /// The poll in flight ended, with an answer or without.
    pub(super) fn on_poll_ended(&mut self, worker: &str) {
        if let Some(polls) = self.workers.get_mut(worker) {
            polls.in_flight_since = None;
        }
    }

    /// Something was heard of the worker, by a poll or a note.
    pub(super) fn on_heard(&mut self, now: Micros, worker: &str) {
        if let Some(polls) = self.workers.get_mut(worker) {
            polls.last_heard = now;
        }
    }

    /// Sets the time of the next poll after one that led to `result`.
    pub(super) fn schedule_next(
        &mut self,
        now: Micros,
        worker: &Arc<str>,
        result: PollResult,
        random: &mut SeededRandom,
    ) {
        let Some(polls) = self.workers.get_mut(worker) else {
            return;
        };
        let due = now + random.jittered(polls.interval.after(result));
        self.reschedule(worker, due);
    }

    /// Sends the polls that are due.
    pub(super) fn poll_due(&mut self, now: Micros, counts: &mut Counts, out: &mut Vec<Output>) {
        while let Some((due, worker)) = self.by_time.first().cloned()
            && due <= now
        {
            let Some(polls) = self.workers.get_mut(&worker) else {
                self.by_time.remove(&(due, worker));
                continue;
            };
            let is_first = polls.rank.is_first();
            let takeover = takeover_after(self.interval);
            let takeover =
                polls.last_heard + takeover.saturating_mul(Micros::from(polls.rank.position()));
            let lost = polls.in_flight_since.map(|sent| sent + POLL_LOST_AFTER);
            let not_before = lost
                .into_iter()
                .chain((!is_first).then_some(takeover))
                .max()
                .filter(|time| *time > now);
            if let Some(later) = not_before {
                self.reschedule(&worker, later);
                continue;
            }
            if !self.rate_limit.take(now) {
                counts.asks_put_off += 1;
                return;
            }
            polls.in_flight_since = Some(now);
            counts.asks += 1;
            counts.asks_for_another += u64::from(!is_first);
            self.reschedule(&worker, now + POLL_LOST_AFTER);
            out.push(Output::Poll { worker });
        }
    }

    /// When a poll is due next; `Micros::MAX` without workers.
    pub(super) fn next_due(&self) -> Micros {
        self.by_time
            .first()
            .map_or(Micros::MAX, |(due, _)| (*due).max(self.rate_limit.due()))
    }

    fn reschedule(&mut self, worker: &Arc<str>, due: Micros) {
        let Some(polls) = self.workers.get_mut(worker) else {
            return;
        };
        self.by_time.remove(&(polls.due, worker.clone()));
        polls.due = due;
        self.by_time.insert((due, worker.clone()));
    }
}
