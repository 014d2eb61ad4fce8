//! Sessions and invocations.

use super::*;

impl World {
    pub(super) fn generate_traffic(&mut self) {
        for region in ["a", "b"].map(Name::from) {
            if self.draw(100) < self.rate {
                self.next_session += 1;
                let left = 3 + self.draw(14) as u32;
                let next = self.now;
                let it = Session {
                    region: region.clone(),
                    left,
                    next,
                    began: false,
                    version: None,
                    worker: None,
                    last: next,
                };
                self.sessions.insert(self.next_session, it);
            }
            for _ in 0..2 {
                if self.draw(100) < self.rate * 4 {
                    self.invoke(region.clone(), None);
                }
            }
        }
        let due: Vec<u64> = self
            .sessions
            .iter()
            .filter(|(_, s)| s.next <= self.now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let again = self.now + 500 * MS + self.draw(1500) as Micros * MS;
            let Some(s) = self.sessions.get_mut(&id) else {
                continue;
            };
            (s.next, s.left) = (again, s.left.saturating_sub(1));
            let region = s.region.clone();
            if s.left == 0 {
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

    #[expect(
        clippy::too_many_lines,
        reason = "one scenario or table of cases, told in order"
    )]
    pub(super) fn invoke(&mut self, region: Name, session: Option<u64>) {
        let near: Vec<usize> = (0..self.members.len())
            .filter(|m| {
                self.is_running(*m)
                    && self.members[*m].caught_up
                    && self.members[*m].region == region
            })
            .collect();
        if near.is_empty() {
            return;
        }
        let m = near[self.draw(near.len() as u64) as usize];
        let draw = self.draw(u64::MAX);
        let begins = session.is_some_and(|id| !self.sessions[&id].began);
        let p = &self.members[m].planner;
        let known = session.and_then(|id| self.members[m].bindings.get(&id).cloned());
        let version = match session {
            _ if self.policy != Policy::Planner => self.baseline_version(session, &region, draw),
            Some(id) if known.is_none() && p.needs_binding(MODEL, begins) => {
                if !self.has_majority(m) {
                    self.totals.refused += 1;
                    return;
                }
                let wished = p
                    .version_to_propose(MODEL, &region, draw, begins)
                    .unwrap_or_default();
                let version = self.bindings.entry(id).or_insert(wished).clone();
                self.members[m].bindings.insert(id, version.clone());
                version
            }
            Some(_) if known.is_some() => known.unwrap_or_default(),
            _ => p
                .route(MODEL, &region, draw, session.is_some())
                .map_or(Name::from(""), |w| w.version),
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
            s.began = true;
            s.last = self.now;
            if s.version.as_ref().is_some_and(|v| *v != version) {
                self.totals.two_versions += 1;
                if self.policy == Policy::Planner {
                    self.violations.push(format!(
                        "{} s: session {id} meets version '{version}', too",
                        self.now / S
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
            at: self.now,
        });
    }

    #[expect(
        clippy::too_many_lines,
        reason = "one scenario or table of cases, told in order"
    )]
    pub(super) fn dispatch(&mut self) {
        for invocation in std::mem::take(&mut self.waiting) {
            if self.now - invocation.at > QUEUE_TIMEOUT {
                self.ended(&invocation, true, true);
                continue;
            }
            let m = invocation.member;
            let here = |w: &usize| {
                self.workers[*w].region == invocation.region
                    && self.workers[*w].dead_until <= self.now
            };
            let near: Vec<usize> = (0..self.workers.len()).filter(here).collect();
            let free: Vec<usize> = near
                .iter()
                .copied()
                .filter(|w| {
                    let copy = self.workers[*w].copies.get(&invocation.function);
                    copy.is_some_and(|c| c.is_warm(self.now) && c.busy.len() < LANES as usize)
                })
                .collect();
            let prefers = invocation
                .session
                .and_then(|id| self.sessions.get(&id)?.worker)
                .filter(|w| free.contains(w));
            let Some(w) = prefers.or_else(|| {
                free.get(self.draw(free.len().max(1) as u64) as usize)
                    .copied()
            }) else {
                let loads = near
                    .iter()
                    .any(|w| self.workers[*w].copies.contains_key(&invocation.function));
                // A miss: a load where there is room, and nobody else's.
                if !loads && let Some(w) = near.iter().copied().find(|w| self.has_memory(*w)) {
                    self.load(w, &invocation.function.clone(), m);
                }
                self.waiting.push(invocation);
                continue;
            };
            let now = self.now;
            let errored =
                self.errors_until > now && invocation.function == new() && self.draw(4) == 0;
            let is_slower = self.slower_until > now && invocation.function == new();
            let kept = invocation.session.is_some_and(|id| {
                let before = self.sessions.get(&id).and_then(|s| s.worker);
                before.is_some_and(|b| {
                    self.workers[b]
                        .copies
                        .values()
                        .any(|c| c.prefixes.contains_key(&id))
                })
            });
            let copy = self.workers[w]
                .copies
                .get_mut(&invocation.function)
                .expect("stands");
            let mut took = SERVICE + if is_slower { OBJECTIVE } else { 0 };
            if let Some(id) = invocation.session {
                let had = copy.prefixes.get(&id).copied();
                let (began, moved) = (had.map_or(now, |p| p.0), had.is_none());
                copy.prefixes.insert(id, (began, now));
                if let Some(s) = self.sessions.get_mut(&id) {
                    if moved && s.worker.is_some() {
                        self.totals.rebuilt += 1;
                        self.totals.lost += u64::from(!kept);
                        took += PREFIX_REBUILD;
                    }
                    s.worker = Some(w);
                }
            }
            copy.busy.push(now + took);
            copy.used = now;
            let late = now + took - invocation.at > OBJECTIVE;
            self.ended(&invocation, errored, late);
        }
    }

    pub(super) fn ended(&mut self, invocation: &Invocation, errored: bool, late: bool) {
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
