//! Sessions and invocations.

use super::*;

impl Simulation {
    /// Starts sessions, and sends the invocations that are due.
    pub(super) fn generate_traffic(&mut self) {
        for region in ["a", "b"].map(Name::from) {
            if self.draw(100) < self.traffic_rate {
                self.next_session += 1;
                let remaining_invocations = 3 + self.draw(14) as u32;
                let next_invocation_at = self.now;
                let session = Session {
                    region: region.clone(),
                    remaining_invocations,
                    next_invocation_at,
                    has_begun: false,
                    version: None,
                    worker: None,
                    last_invocation_at: next_invocation_at,
                };
                self.sessions.insert(self.next_session, session);
            }
            for _ in 0..2 {
                if self.draw(100) < self.traffic_rate * 4 {
                    self.invoke(region.clone(), None);
                }
            }
        }
        let due: Vec<u64> = self
            .sessions
            .iter()
            .filter(|(_, s)| s.next_invocation_at <= self.now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let next_invocation_at =
                self.now + 500 * MILLISECOND + self.draw(1500) as Micros * MILLISECOND;
            let Some(s) = self.sessions.get_mut(&id) else {
                continue;
            };
            (s.next_invocation_at, s.remaining_invocations) = (
                next_invocation_at,
                s.remaining_invocations.saturating_sub(1),
            );
            let region = s.region.clone();
            if s.remaining_invocations == 0 {
                self.sessions.remove(&id);
                for w in &mut self.workers {
                    w.copies.values_mut().for_each(|c| {
                        c.prefixes.remove(&id);
                    });
                }
                continue;
            }
            self.invoke(region, Some(id));
        }
    }

    /// An invocation arrives at a random router of the region, which binds its session and routes it to a version.
    #[expect(
        clippy::too_many_lines,
        reason = "one scenario or table of cases in order"
    )]
    pub(super) fn invoke(&mut self, region: Name, session: Option<u64>) {
        let routers: Vec<usize> = (0..self.members.len())
            .filter(|m| {
                self.is_running(*m)
                    && self.members[*m].caught_up
                    && self.members[*m].region == region
            })
            .collect();
        if routers.is_empty() {
            return;
        }
        let m = routers[self.draw(routers.len() as u64) as usize];
        let draw = self.draw(u64::MAX);
        let begins = session.is_some_and(|id| !self.sessions[&id].has_begun);
        let planner = &self.members[m].planner;
        let known = session.and_then(|id| self.members[m].bindings.get(&id).cloned());
        let version = match session {
            _ if self.policy != Policy::Planner => self.baseline_version(session, &region, draw),
            Some(id) if known.is_none() && planner.needs_binding(MODEL, begins) => {
                if !self.has_majority(m) {
                    self.totals.refused += 1;
                    return;
                }
                let proposed = planner
                    .version_to_propose(MODEL, &region, draw, begins)
                    .unwrap_or_default();
                let version = self.bindings.entry(id).or_insert(proposed).clone();
                self.members[m].bindings.insert(id, version.clone());
                version
            }
            Some(_) if known.is_some() => known.unwrap_or_default(),
            _ => planner
                .route(MODEL, &region, draw, session.is_some())
                .map_or(Name::from(""), |choice| choice.version),
        };
        if let Some(id) = session {
            if self.policy == Policy::Planner
                && self.members[m].planner.copies_evicted(MODEL, &version)
            {
                self.totals.sessions_over += 1;
                self.sessions.remove(&id);
                return;
            }
            let Some(s) = self.sessions.get_mut(&id) else {
                return;
            };
            s.has_begun = true;
            s.last_invocation_at = self.now;
            if s.version.as_ref().is_some_and(|v| *v != version) {
                self.totals.two_versions += 1;
                if self.policy == Policy::Planner {
                    self.violations.push(format!(
                        "{} s: session {id} is routed to a second version, '{version}'",
                        self.now / SECOND
                    ));
                }
            }
            s.version = Some(version.clone());
        }
        self.totals.invocations += 1;
        self.waiting.push(Invocation {
            member: m,
            region,
            session,
            function: function_name(MODEL, &version),
            version,
            arrived_at: self.now,
        });
    }

    /// Dispatches the waiting invocations for which a worker has a free lane.
    #[expect(
        clippy::too_many_lines,
        reason = "one scenario or table of cases in order"
    )]
    pub(super) fn dispatch(&mut self) {
        for invocation in std::mem::take(&mut self.waiting) {
            if self.now - invocation.arrived_at > QUEUE_TIMEOUT {
                self.record_end(&invocation, true, true);
                continue;
            }
            let m = invocation.member;
            let is_in_region = |w: &usize| {
                self.workers[*w].region == invocation.region
                    && self.workers[*w].dead_until <= self.now
            };
            let workers: Vec<usize> = (0..self.workers.len()).filter(is_in_region).collect();
            let free: Vec<usize> = workers
                .iter()
                .copied()
                .filter(|w| {
                    let copy = self.workers[*w].copies.get(&invocation.function);
                    copy.is_some_and(|c| {
                        c.is_warm(self.now) && c.busy.len() < LANES_PER_COPY as usize
                    })
                })
                .collect();
            let preferred = invocation
                .session
                .and_then(|id| self.sessions.get(&id)?.worker)
                .filter(|w| free.contains(w));
            let Some(w) = preferred.or_else(|| {
                free.get(self.draw(free.len().max(1) as u64) as usize)
                    .copied()
            }) else {
                let is_loaded = workers
                    .iter()
                    .any(|w| self.workers[*w].copies.contains_key(&invocation.function));
                // No worker of the region has a copy: one with free memory loads it.
                if !is_loaded && let Some(w) = workers.iter().copied().find(|w| self.has_memory(*w))
                {
                    self.load(w, &invocation.function.clone(), m);
                }
                self.waiting.push(invocation);
                continue;
            };
            let now = self.now;
            let errored = self.errors_until > now
                && invocation.function == new_function()
                && self.draw(4) == 0;
            let is_slower = self.slower_until > now && invocation.function == new_function();
            let is_cached_at_last_worker = invocation.session.is_some_and(|id| {
                let last_worker = self.sessions.get(&id).and_then(|s| s.worker);
                last_worker.is_some_and(|last_worker| {
                    self.workers[last_worker]
                        .copies
                        .values()
                        .any(|c| c.prefixes.contains_key(&id))
                })
            });
            let copy = self.workers[w]
                .copies
                .get_mut(&invocation.function)
                .expect("the worker has a warm copy");
            let mut took = SERVICE_TIME + if is_slower { LATENCY_OBJECTIVE } else { 0 };
            if let Some(id) = invocation.session {
                let cached = copy.prefixes.get(&id).copied();
                let (built_at, is_rebuilt) = (cached.map_or(now, |p| p.0), cached.is_none());
                copy.prefixes.insert(id, (built_at, now));
                if let Some(s) = self.sessions.get_mut(&id) {
                    if is_rebuilt && s.worker.is_some() {
                        self.totals.rebuilt += 1;
                        self.totals.lost += u64::from(!is_cached_at_last_worker);
                        took += PREFIX_REBUILD_TIME;
                    }
                    s.worker = Some(w);
                }
            }
            copy.busy.push(now + took);
            copy.last_used = now;
            let late = now + took - invocation.arrived_at > LATENCY_OBJECTIVE;
            self.record_end(&invocation, errored, late);
        }
    }

    /// Counts the end of an invocation.
    pub(super) fn record_end(&mut self, invocation: &Invocation, errored: bool, late: bool) {
        self.totals.failed += u64::from(errored);
        self.totals.in_objective += u64::from(!errored && !late);
        let count = self.members[invocation.member]
            .counts
            .entry(invocation.version.clone())
            .or_default();
        (count.version, count.trigger) = (invocation.version.clone(), "t".into());
        count.completed += 1;
        count.errored += u64::from(errored);
        count.late += u64::from(late);
    }
}
