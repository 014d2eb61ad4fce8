//! What the planner is compared with.

use super::*;

impl World {
    pub(super) fn baseline(&mut self) {
        let Some(began) = self.file.first().map(|_| self.now) else {
            return;
        };
        let all = self.workers.len();
        if self.policy == Policy::AllAtOnce && !self.began {
            self.began = true;
            for w in 0..all {
                self.workers[w].copies.remove(&old());
                self.load(w, &new(), 0);
            }
        }
        if self.policy == Policy::OneByOne && self.one_by_one < all {
            let w = self.one_by_one;
            match self.workers[w].copies.get(&new()) {
                Some(c) if c.ready_at <= self.now => self.one_by_one += 1,
                Some(_) => {}
                None => {
                    self.workers[w].copies.remove(&old());
                    self.load(w, &new(), 0);
                }
            }
        }
        let stand = self
            .workers
            .iter()
            .all(|w| w.copies.get(&new()).is_some_and(|c| c.is_warm(self.now)));
        let done = if self.policy == Policy::OneByOne {
            self.one_by_one == all
        } else {
            stand
        };
        if done && self.totals.done_at.is_none() {
            self.totals.done_at = Some(began);
        }
        // Nothing lets new copies go for idleness meanwhile.
        for c in self
            .workers
            .iter_mut()
            .filter_map(|w| w.copies.get_mut(&new()))
        {
            c.used = c.used.max(self.now);
        }
        let left = self.totals.done_at.is_none();
        for c in self
            .workers
            .iter_mut()
            .filter_map(|w| w.copies.get_mut(&old()))
            .filter(|_| left)
        {
            c.used = c.used.max(self.now);
        }
    }

    /// A version that is warm in the region, in proportion to its copies; a session keeps its version while that is warm.
    pub(super) fn baseline_version(&self, session: Option<u64>, region: &Name, draw: u64) -> Name {
        let count = |f: &Name| {
            self.workers
                .iter()
                .filter(|w| w.region == *region && w.copies.contains_key(f))
                .count() as u64
        };
        let (was, is) = (count(&old()), count(&new()));
        let version = session.and_then(|id| self.sessions.get(&id)?.version.clone());
        match version {
            Some(v) if count(&function_name(MODEL, &v)) > 0 => v,
            _ if draw % (was + is).max(1) < is => "2".into(),
            _ => "".into(),
        }
    }
}
