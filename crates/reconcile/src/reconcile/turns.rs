//! Which workers there are, and when each is asked: the list and the members come in, asks go out as their
//! times come. Who stands first and at what pace a worker is asked is in [`crate::asking`].
//!
//! Mechanisms:
//! 1. Another process behind a known name is a worker of its own, which inherits only what was known of
//!    earlier ones.
//! 2. Who comes to be first for a worker asks it soon; who no longer is waits at least as long.
//! 3. Who stands second or later asks only once nothing was heard of the worker for as many times the
//!    patience; while an answer to its own ask is out, a router does not ask again until that is taken for
//!    lost.
//! 4. Without budget all that is due waits, in order.

use std::collections::BTreeSet;
use std::sync::Arc;

use cedarpulley::interface::Micros;

use super::place::Place;
use super::{Output, Reconciler, Seat};
use crate::asking::{Pace, Went, patience, rank};

/// An answer that has not come by then never does: whoever asks gives up long before.
const ASK_LOST: Micros = 30_000_000;

impl Reconciler {
    fn rank(&self, id: &str) -> u32 {
        rank(id, &self.terms.me, &self.members)
    }

    /// Alone, it is first for all.
    pub(super) fn grouped(&self) -> bool {
        self.members.iter().any(|m| *m != self.terms.me)
    }

    pub(super) fn workers(&mut self, seats: &[Seat]) {
        let now = self.now;
        let named: BTreeSet<&str> = seats.iter().map(|s| &*s.worker).collect();
        let gone: Vec<Arc<str>> = self
            .places
            .keys()
            .filter(|w| !named.contains(&***w))
            .cloned()
            .collect();
        for worker in gone {
            self.remove(&worker);
        }
        for seat in seats {
            if let Some(place) = self
                .places
                .get_mut(&seat.worker)
                .filter(|p| p.id == seat.id)
            {
                place.memory_mb = seat.memory_mb;
                continue;
            }
            let before = self.remove(&seat.worker);
            // One that just started holds nothing that is worth waiting for.
            let within = if before.is_some() {
                self.terms.every / 8
            } else {
                self.terms.every
            };
            let due = now + (within as f64 * self.chance.draw()) as Micros;
            let mut place = Place::new(
                now,
                seat,
                self.rank(&seat.id),
                due,
                Pace::new(self.terms.every),
            );
            if let Some(before) = before {
                place.inherit(before);
            }
            self.by_id.insert(seat.id.clone(), seat.worker.clone());
            self.schedule.insert((due, seat.worker.clone()));
            self.places.insert(seat.worker.clone(), place);
        }
    }

    fn remove(&mut self, worker: &Arc<str>) -> Option<Place> {
        let place = self.places.remove(worker)?;
        self.by_id.remove(&place.id);
        self.schedule.remove(&(place.due, worker.clone()));
        self.beliefs -= place.beliefs.len();
        Some(place)
    }

    pub(super) fn membership(&mut self, members: Vec<Arc<str>>) {
        let now = self.now;
        for member in &self.members {
            if !members.contains(member) {
                self.gone.entry(member.clone()).or_insert(now);
            }
        }
        self.gone.retain(|m, _| !members.contains(m));
        self.members = members;
        let ranks: Vec<(Arc<str>, u32)> = self
            .places
            .iter()
            .map(|(w, p)| (w.clone(), self.rank(&p.id)))
            .collect();
        for (worker, rank) in ranks {
            let soon = now + self.chance.about(self.terms.every);
            if let Some(place) = self.places.get_mut(&worker)
                && place.rank != rank
            {
                place.rank = rank;
                let due = if rank == 0 {
                    place.due.min(soon)
                } else {
                    place.due.max(soon)
                };
                self.reschedule(&worker, due);
            }
        }
    }

    fn reschedule(&mut self, worker: &Arc<str>, due: Micros) {
        let Some(place) = self.places.get_mut(worker) else {
            return;
        };
        self.schedule.remove(&(place.due, worker.clone()));
        place.due = due;
        self.schedule.insert((due, worker.clone()));
    }

    pub(super) fn ask(&mut self, out: &mut Vec<Output>) {
        let (now, every) = (self.now, self.terms.every);
        while let Some((due, worker)) = self.schedule.first().cloned()
            && due <= now
        {
            let Some(place) = self.places.get_mut(&worker) else {
                self.schedule.remove(&(due, worker));
                continue;
            };
            let turn = place.heard + patience(every).saturating_mul(Micros::from(place.rank));
            let lost = place.asked.map(|at| at + ASK_LOST);
            if let Some(later) = lost
                .into_iter()
                .chain((place.rank > 0).then_some(turn))
                .max()
                .filter(|t| *t > now)
            {
                self.reschedule(&worker, later);
                continue;
            }
            if !self.budget.take(now) {
                self.counts.asks_put_off += 1;
                return;
            }
            place.asked = Some(now);
            self.counts.asks += 1;
            self.counts.asks_for_another += u64::from(place.rank > 0);
            self.reschedule(&worker, now + ASK_LOST);
            out.push(Output::Ask { worker });
        }
    }

    /// When a worker that something was heard of is asked next.
    pub(super) fn ask_again(&mut self, worker: &Arc<str>, went: Went) {
        let now = self.now;
        let Some(place) = self.places.get_mut(worker) else {
            return;
        };
        let after = place.pace.after(went);
        let due = now + self.chance.about(after);
        self.reschedule(worker, due);
    }
}
