//! The policies with which the planner is compared.

use super::*;

impl Simulation {
    /// Replaces old copies by the policy, once there is an order.
    pub(super) fn run_baseline(&mut self) {
        let Some(started_at) = self.order_file.first().map(|_| self.now) else {
            return;
        };
        let all = self.workers.len();
        if self.policy == Policy::AllAtOnce && !self.baseline_started {
            self.baseline_started = true;
            for w in 0..all {
                self.workers[w].copies.remove(&old_function());
                self.load(w, &new_function(), 0);
            }
        }
        if self.policy == Policy::OneByOne && self.replaced_workers < all {
            let w = self.replaced_workers;
            match self.workers[w].copies.get(&new_function()) {
                Some(copy) if copy.ready_at <= self.now => self.replaced_workers += 1,
                Some(_) => {}
                None => {
                    self.workers[w].copies.remove(&old_function());
                    self.load(w, &new_function(), 0);
                }
            }
        }
        let all_warm = self.workers.iter().all(|w| {
            w.copies
                .get(&new_function())
                .is_some_and(|copy| copy.is_warm(self.now))
        });
        let done = if self.policy == Policy::OneByOne {
            self.replaced_workers == all
        } else {
            all_warm
        };
        if done && self.totals.done_at.is_none() {
            self.totals.done_at = Some(started_at);
        }
        // The new copies are not evicted as idle, and neither are the old ones before the upgrade is done.
        for copy in self
            .workers
            .iter_mut()
            .filter_map(|w| w.copies.get_mut(&new_function()))
        {
            copy.last_used = copy.last_used.max(self.now);
        }
        let in_progress = self.totals.done_at.is_none();
        for copy in self
            .workers
            .iter_mut()
            .filter_map(|w| w.copies.get_mut(&old_function()))
            .filter(|_| in_progress)
        {
            copy.last_used = copy.last_used.max(self.now);
        }
    }

    /// A version with copies in the region, chosen in proportion to their number. A session keeps its version as long
    /// as the region has copies of it.
    pub(super) fn baseline_version(&self, session: Option<u64>, region: &Name, draw: u64) -> Name {
        let count = |function: &Name| {
            self.workers
                .iter()
                .filter(|w| w.region == *region && w.copies.contains_key(function))
                .count() as u64
        };
        let (old, new) = (count(&old_function()), count(&new_function()));
        let version = session.and_then(|id| self.sessions.get(&id)?.version.clone());
        match version {
            Some(v) if count(&function_name(MODEL, &v)) > 0 => v,
            _ if draw % (old + new).max(1) < new => "2".into(),
            _ => "".into(),
        }
    }
}
