//! Workers: loads, unloads and idle copies.

use super::*;

impl World {
    #[expect(
        clippy::too_many_lines,
        reason = "one scenario or table of cases, told in order"
    )]
    pub(super) fn receive_request(&mut self, request: &CopyRequest) {
        let CopyRequest {
            member,
            worker,
            function: f,
            term,
            observed_by,
            strict,
            over,
            ..
        } = request;
        let Some(w) = self
            .worker(worker)
            .filter(|w| self.workers[*w].dead_until <= self.now)
        else {
            return;
        };
        if request.load {
            let declined = self.draw(10) == 0;
            if let Some(c) = self.workers[w].copies.get_mut(f) {
                c.used = self.now;
            } else if !declined && self.has_memory(w) {
                self.load(w, f, *member);
            }
            return;
        }
        let Some(c) = self.workers[w]
            .copies
            .get(f)
            .filter(|c| c.busy.is_empty() && c.ready_at <= self.now)
        else {
            return;
        };
        let lost: Vec<u64> =
            c.prefixes
                .iter()
                .filter(|(id, p)| {
                    (*strict || p.0 < *observed_by)
                        && self.sessions.get(id).is_some_and(|s| {
                            s.worker == Some(w) && self.now - s.last < SESSION_IDLE
                        })
                })
                .map(|(id, _)| *id)
                .collect();
        if !lost.is_empty() && !*over {
            self.violations.push(format!(
                "{} s: {f} goes from {worker} by {term} with sessions {lost:?}",
                self.now / S
            ));
        }
        let region = self.workers[w].region.clone();
        let before: Vec<_> = (0..self.members.len())
            .map(|r| self.usable_lanes(r, &region))
            .collect();
        self.workers[w].copies.remove(f);
        for (r, was) in before.into_iter().enumerate() {
            if let (Some((was, need)), Some((is, _))) = (was, self.usable_lanes(r, &region))
                && is < was.min(need)
                && self.now > self.death_known_at
            {
                self.violations.push(format!(
                    "{} s: {region}: {is} lanes of {need} for router {r} by {term}",
                    self.now / S
                ));
            }
        }
    }

    pub(super) fn has_memory(&self, w: usize) -> bool {
        let it = &self.workers[w];
        it.dead_until <= self.now && (it.copies.len() as u32 + 1) * COPY_MB <= it.memory
    }

    pub(super) fn load(&mut self, w: usize, f: &Name, by: usize) {
        self.totals.loads += 1;
        let others = self
            .workers
            .iter()
            .flat_map(|w| w.copies.values())
            .filter(|c| c.ready_at > self.now)
            .count();
        let factor = if self.slow_store_until > self.now {
            4
        } else {
            1
        };
        let took = (LOAD + self.draw(1000) as Micros * MS) * factor * (4 + others as Micros) / 4;
        let fails = self.workers[w].bad_until > self.now;
        let copy = Copy {
            ready_at: self.now + took,
            fails,
            by,
            used: self.now + took,
            ..Copy::default()
        };
        self.workers[w].copies.insert(f.clone(), copy);
    }

    pub(super) fn advance_workers(&mut self) {
        let (now, mut ended) = (self.now, Vec::new());
        for w in &mut self.workers {
            w.copies.retain(|f, c| {
                let just = c.ready_at <= now && c.ready_at > now - DT;
                if just {
                    ended.push((c.by, w.name.clone(), f.clone(), !c.fails));
                }
                c.busy.retain(|until| *until > now);
                c.prefixes.retain(|_, p| now - p.1 < SESSION_IDLE);
                !(just && c.fails)
                    && (c.ready_at > now || now - c.used < IDLE_RETENTION || !c.busy.is_empty())
            });
        }
        for (m, worker, function, ok) in ended {
            self.send_input(
                m,
                Input::LoadEnded {
                    worker,
                    function,
                    ok,
                },
            );
        }
    }
}
