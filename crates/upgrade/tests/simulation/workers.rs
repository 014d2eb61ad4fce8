//! Workers: loads, unloads, and the eviction of idle copies.

use super::*;

impl Simulation {
    /// Carries out a load or unload request at its worker. An unload that ends active sessions before the drain limit,
    /// or that takes lanes below the floor, is a violation.
    #[expect(
        clippy::too_many_lines,
        reason = "one scenario or table of cases in order"
    )]
    pub(super) fn receive_request(&mut self, request: &CopyRequest) {
        let CopyRequest {
            member,
            worker,
            function,
            term,
            sessions_known_until,
            region_drains,
            drain_limit_passed,
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
            if let Some(copy) = self.workers[w].copies.get_mut(function) {
                copy.last_used = self.now;
            } else if !declined && self.has_memory(w) {
                self.load(w, function, *member);
            }
            return;
        }
        let Some(copy) = self.workers[w]
            .copies
            .get(function)
            .filter(|copy| copy.busy.is_empty() && copy.ready_at <= self.now)
        else {
            return;
        };
        let lost: Vec<u64> = copy
            .prefixes
            .iter()
            .filter(|(id, p)| {
                (*region_drains || p.0 < *sessions_known_until)
                    && self.sessions.get(id).is_some_and(|s| {
                        s.worker == Some(w) && self.now - s.last_invocation_at < PREFIX_RETENTION
                    })
            })
            .map(|(id, _)| *id)
            .collect();
        if !lost.is_empty() && !*drain_limit_passed {
            self.violations.push(format!(
                "{} s: {function} is unloaded from {worker} in term {term} with sessions {lost:?}",
                self.now / SECOND
            ));
        }
        let region = self.workers[w].region.clone();
        let before: Vec<_> = (0..self.members.len())
            .map(|r| self.usable_lanes(r, &region))
            .collect();
        self.workers[w].copies.remove(function);
        for (r, lanes_before) in before.into_iter().enumerate() {
            if let (Some((lanes_before, floor)), Some((lanes, _))) =
                (lanes_before, self.usable_lanes(r, &region))
                && lanes < lanes_before.min(floor)
                && self.now > self.death_known_at
            {
                self.violations.push(format!(
                    "{} s: {region}: {lanes} lanes of {floor} for router {r} in term {term}",
                    self.now / SECOND
                ));
            }
        }
    }

    /// Whether a worker is up and has memory for one more copy.
    pub(super) fn has_memory(&self, w: usize) -> bool {
        let worker = &self.workers[w];
        worker.dead_until <= self.now && (worker.copies.len() as u32 + 1) * COPY_MB <= worker.memory
    }

    /// Starts a load. Loads in progress at any worker slow it down.
    pub(super) fn load(&mut self, w: usize, function: &Name, loaded_by: usize) {
        self.totals.loads += 1;
        let other_loads = self
            .workers
            .iter()
            .flat_map(|w| w.copies.values())
            .filter(|copy| copy.ready_at > self.now)
            .count();
        let factor = if self.slow_store_until > self.now {
            4
        } else {
            1
        };
        let duration = (MIN_LOAD_TIME + self.draw(1000) as Micros * MILLISECOND)
            * factor
            * (4 + other_loads as Micros)
            / 4;
        let fails = self.workers[w].loads_fail_until > self.now;
        let copy = Copy {
            ready_at: self.now + duration,
            fails,
            loaded_by,
            last_used: self.now + duration,
            ..Copy::default()
        };
        self.workers[w].copies.insert(function.clone(), copy);
    }

    /// Ends loads and invocations that are due, and evicts expired prefixes and idle copies.
    pub(super) fn advance_workers(&mut self) {
        let (now, mut ended) = (self.now, Vec::new());
        for w in &mut self.workers {
            w.copies.retain(|function, copy| {
                let just_ended = copy.ready_at <= now && copy.ready_at > now - TIME_STEP;
                if just_ended {
                    ended.push((
                        copy.loaded_by,
                        w.name.clone(),
                        function.clone(),
                        !copy.fails,
                    ));
                }
                copy.busy.retain(|until| *until > now);
                copy.prefixes.retain(|_, p| now - p.1 < PREFIX_RETENTION);
                !(just_ended && copy.fails)
                    && (copy.ready_at > now
                        || now - copy.last_used < IDLE_COPY_RETENTION
                        || !copy.busy.is_empty())
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
