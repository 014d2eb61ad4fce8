//! Routers: membership as each believes it, polls of workers, and what their planners request.

use super::*;

impl World {
    pub(super) fn update_membership(&mut self) {
        for m in 0..self.members.len() {
            if !self.members[m].up && self.members[m].paused_until <= self.now {
                let it = &mut self.members[m];
                (it.up, it.planner) = (true, Planner::new(terms()));
                it.nonce += 1;
                it.announced.clear();
                let file = self.file.clone();
                self.send_input(m, Input::Orders(file));
            }
            if !self.is_running(m) {
                continue;
            }
            // A router that returns takes nothing before it has caught up.
            if !self.members[m].caught_up && self.has_majority(m) {
                self.members[m].caught_up = self.register.1.is_none();
                self.send_plan(m);
            }
            for o in 0..self.members.len() {
                let connected = self.connected(m, o);
                let now = self.now;
                let (alive, differs) = &mut self.members[m].believed[o];
                if connected == *alive {
                    *differs = now;
                } else if now - *differs > 2 * S {
                    *alive = connected;
                }
            }
            let alive: Vec<bool> = self.members[m].believed.iter().map(|b| b.0).collect();
            if alive != self.members[m].announced {
                self.members[m].announced = alive.clone();
                let regions = self.members.iter().map(|m| m.region.clone()).collect();
                self.handle(
                    m,
                    Input::Members {
                        own_index: m as u16,
                        alive,
                        regions,
                    },
                );
            }
        }
    }

    /// Once a second all routers poll the workers and publish their counters.
    pub(super) fn poll_workers(&mut self) {
        for m in 0..self.members.len() {
            if !self.is_running(m) {
                continue;
            }
            let mut seen = Vec::new();
            for w in 0..self.workers.len() {
                let it = &self.workers[w];
                if it.dead_until > self.now + S || !self.can_reach(m, w) {
                    continue;
                }
                let holds = it.copies.iter().map(|(f, c)| {
                    let ready = c.is_warm(self.now);
                    let sessions = c
                        .prefixes
                        .values()
                        .filter(|p| self.now - p.1 < SESSION_IDLE)
                        .count() as u32;
                    FunctionCopies {
                        function: f.clone(),
                        copies: u32::from(ready),
                        lanes: if ready { LANES } else { 0 },
                        busy_lanes: c.busy.len() as u32,
                        loading: !ready,
                        sessions,
                        copy_mb: COPY_MB,
                    }
                });
                seen.push(ObservedWorker {
                    name: it.name.clone(),
                    region: it.region.clone(),
                    accepts_copies: it.dead_until <= self.now,
                    observed_at: self.clock(m),
                    memory_mb: it.memory,
                    used_mb: it.copies.len() as u32 * COPY_MB,
                    copies: holds.collect(),
                });
            }
            // Who cannot be reached stays known as it was last seen; what is gone from the list is not.
            self.send_input(m, Input::Workers(seen));
            let rule = self.members[m].planner.routing_rule(MODEL);
            let counts: Vec<VersionCounters> = self.members[m].counts.values().cloned().collect();
            for o in (0..self.members.len())
                .filter(|o| self.connected(m, *o))
                .collect::<Vec<_>>()
            {
                let (member, model, counts) = (m as u16, MODEL.into(), counts.clone());
                self.send_input(
                    o,
                    Input::MemberReported {
                        member,
                        model,
                        rule,
                        counts,
                    },
                );
            }
            // Records are gossiped: who missed a write hears of it.
            if self.has_majority(m) {
                self.send_plan(m);
            }
        }
    }

    pub(super) fn handle(&mut self, m: usize, input: Input) {
        let mut out = Vec::new();
        let (now, nonce) = (self.clock(m), self.members[m].nonce);
        self.members[m].planner.handle(now, input, &mut out);
        for output in out {
            let soon = self.now + 20 * MS + self.draw(400) as Micros * MS;
            match output {
                Output::RequestLeadership { key } => self.at(soon, Event::Lead { m, nonce, key }),
                Output::Propose { key, ballot, value } => {
                    self.check_term(m, &ballot.term());
                    self.at(
                        soon,
                        Event::Write {
                            m,
                            nonce,
                            key,
                            ballot,
                            value: value.to_vec(),
                        },
                    );
                }
                Output::LoadCopy {
                    worker,
                    function,
                    term,
                    ..
                } => self.send_request(m, worker, function, true, term),
                Output::UnloadCopies {
                    worker,
                    function,
                    term,
                } => self.send_request(m, worker, function, false, term),
                Output::Log(text) => self.log.push(format!("{} s: {m}: {text}", self.now / S)),
            }
        }
    }

    pub(super) fn check_term(&mut self, m: usize, term: &Name) {
        let who = (m, self.members[m].nonce);
        if *self.terms_of.entry(term.clone()).or_insert(who) != who {
            self.violations
                .push(format!("two planners act in term {term}"));
        }
    }

    pub(super) fn send_request(
        &mut self,
        m: usize,
        worker: Name,
        function: Name,
        load: bool,
        term: Name,
    ) {
        self.check_term(m, &term);
        let mut parts = term
            .split('.')
            .map(|p| u64::from_str_radix(p, 16).unwrap_or(0));
        let number: u32 = term
            .split('.')
            .next()
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let ballot = Ballot {
            number,
            member: m as u16,
            nonce: parts.nth(2).unwrap_or(0),
        };
        // Orders to go of two leaders must not cross: neither knows what the other has let go.
        if !load && ballot < self.highest {
            self.violations.push(format!(
                "{} s: {m} lets go in term {term} after a later one did",
                self.now / S
            ));
        }
        if !load {
            self.highest = self.highest.max(ballot);
        }
        let Some(w) = self.worker(&worker) else {
            return;
        };
        if !self.can_reach(m, w) || self.lost_requests_until > self.now && self.draw(2) == 0 {
            return;
        }
        let shown = self.members[m].planner.status();
        let region = shown.first().and_then(|s| {
            s.regions
                .iter()
                .find(|r| r.region == self.workers[w].region)
        });
        let (strict, over) = region.map_or((false, false), |r| {
            (r.stage == Stage::Draining, r.drain_limit_passed)
        });
        let when = self.now + 20 * MS + self.draw(900) as Micros * MS;
        let seen = self.now - 1500 * MS;
        self.at(
            when,
            Event::CopyRequest(CopyRequest {
                member: m,
                worker,
                function,
                load,
                term,
                observed_by: seen,
                strict,
                over,
            }),
        );
    }
}
