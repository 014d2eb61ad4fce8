//! When each worker is polled. [`PollSchedule`] owns the times; the rank of this router for a worker comes from
//! `ownership`, and the interval from [`crate::polling`].
//!
//! Mechanisms:
//! 1. A router that becomes first for a worker polls it within about one base interval; with any other change of its
//!    rank, it waits at least that long.
//! 2. A router at position n > 0 polls only if no poll of any member had a result for n times the takeover time. While
//!    a poll is in flight, a router does not poll the worker again until that poll counts as lost.
//! 3. When the rate limit is reached, all due polls wait, in the order of their times.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cedarpulley::interface::Micros;

use super::{Counts, Output};
use crate::polling::{
    PollInterval, PollResult, PollerRank, RateLimit, SeededRandom, takeover_after,
};

/// A poll without an answer after this long (microseconds) counts as lost: the sender of the poll times out much
/// earlier.
const POLL_LOST_AFTER_US: Micros = 30_000_000;

/// The poll times of one worker.
#[derive(Debug)]
struct WorkerPolls {
    rank: PollerRank,
    interval: PollInterval,
    due: Micros,
    last_poll_result_at: Micros,
    /// When the poll in flight was sent.
    in_flight_since: Option<Micros>,
}

/// The poll times of all workers, and the rate limit of this router.
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

    /// Adds a worker. It is polled first within the base interval, or within an eighth of it if it has just restarted,
    /// because its records are then empty and there is no reason to wait.
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
            last_poll_result_at: now,
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

    /// The rank of this router for a worker of the endpoint list.
    pub(super) fn rank(&self, worker: &str) -> Option<PollerRank> {
        self.workers.get(worker).map(|polls| polls.rank)
    }

    pub(super) fn is_first(&self, worker: &str) -> bool {
        self.rank(worker).is_some_and(PollerRank::is_first)
    }

    /// When a poll of a worker of the endpoint list last had a result, from this router or in a note.
    pub(super) fn last_poll_result_at(&self, worker: &str) -> Option<Micros> {
        self.workers
            .get(worker)
            .map(|polls| polls.last_poll_result_at)
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

    /// The poll in flight ended, with or without an answer.
    pub(super) fn on_poll_ended(&mut self, worker: &str) {
        if let Some(polls) = self.workers.get_mut(worker) {
            polls.in_flight_since = None;
        }
    }

    /// Records a poll result, from this router's own poll or from a note of another member.
    pub(super) fn on_poll_result(&mut self, now: Micros, worker: &str) {
        if let Some(polls) = self.workers.get_mut(worker) {
            polls.last_poll_result_at = now;
        }
    }

    /// Sets the time of the next poll after a poll with this result.
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
        let due = now + random.jittered(polls.interval.next_interval(result));
        self.reschedule(worker, due);
    }

    /// Sends the due polls, as far as the rate limit allows.
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
            let takeover = polls.last_poll_result_at
                + takeover.saturating_mul(Micros::from(polls.rank.position()));
            let lost = polls.in_flight_since.map(|sent| sent + POLL_LOST_AFTER_US);
            let not_before = lost
                .into_iter()
                .chain((!is_first).then_some(takeover))
                .max()
                .filter(|time| *time > now);
            if let Some(later) = not_before {
                self.reschedule(&worker, later);
                continue;
            }
            if !self.rate_limit.try_take(now) {
                counts.asks_put_off += 1;
                return;
            }
            polls.in_flight_since = Some(now);
            counts.asks += 1;
            counts.asks_for_another += u64::from(!is_first);
            self.reschedule(&worker, now + POLL_LOST_AFTER_US);
            out.push(Output::Poll { worker });
        }
    }

    /// When the next poll is due; `Micros::MAX` without workers.
    pub(super) fn next_due(&self) -> Micros {
        self.by_time.first().map_or(Micros::MAX, |(due, _)| {
            (*due).max(self.rate_limit.next_token_at())
        })
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
