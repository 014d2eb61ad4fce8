//! Routers: the membership that each of them sees, polls of workers, and the requests of the planners.

use super::*;

impl Simulation {
    /// Restarts crashed members that are due, and informs the planners of the members that they consider alive.
    pub(super) fn update_membership(&mut self) {
        for m in 0..self.members.len() {
            if !self.members[m].is_up && self.members[m].paused_until <= self.now {
                let member = &mut self.members[m];
                (member.is_up, member.planner) = (true, Planner::new(planner_settings()));
                member.nonce += 1;
                member.announced_alive.clear();
                let orders = self.order_file.clone();
                self.send_input(m, Input::Orders(orders));
            }
            if !self.is_running(m) {
                continue;
            }
            // A restarted router takes no invocations until it has received the plan.
            if !self.members[m].caught_up && self.has_majority(m) {
                self.members[m].caught_up = self.register.1.is_none();
                self.send_plan(m);
            }
            for other in 0..self.members.len() {
                let connected = self.connected(m, other);
                let now = self.now;
                let (alive, agreed_at) = &mut self.members[m].considered_alive[other];
                if connected == *alive {
                    *agreed_at = now;
                } else if now - *agreed_at > 2 * SECOND {
                    *alive = connected;
                }
            }
            let alive: Vec<bool> = self.members[m]
                .considered_alive
                .iter()
                .map(|b| b.0)
                .collect();
            if alive != self.members[m].announced_alive {
                self.members[m].announced_alive = alive.clone();
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
            let mut observed = Vec::new();
            for w in 0..self.workers.len() {
                let worker = &self.workers[w];
                if worker.dead_until > self.now + SECOND || !self.can_reach(m, w) {
                    continue;
                }
                let copies = worker.copies.iter().map(|(function, copy)| {
                    let ready = copy.is_warm(self.now);
                    let sessions = copy
                        .prefixes
                        .values()
                        .filter(|p| self.now - p.1 < PREFIX_RETENTION)
                        .count() as u32;
                    FunctionCopies {
                        function: function.clone(),
                        copies: u32::from(ready),
                        lanes: if ready { LANES_PER_COPY } else { 0 },
                        busy_lanes: copy.busy.len() as u32,
                        loading: !ready,
                        sessions,
                        copy_mb: COPY_MB,
                    }
                });
                observed.push(ObservedWorker {
                    name: worker.name.clone(),
                    region: worker.region.clone(),
                    accepts_copies: worker.dead_until <= self.now,
                    observed_at: self.clock(m),
                    memory_mb: worker.memory,
                    used_mb: worker.copies.len() as u32 * COPY_MB,
                    copies: copies.collect(),
                });
            }
            // Workers that cannot be reached, or stay down for more than another second, are missing from the list.
            self.send_input(m, Input::Workers(observed));
            let rule = self.members[m].planner.routing_rule(MODEL);
            let counts: Vec<VersionCounters> = self.members[m].counts.values().cloned().collect();
            for other in (0..self.members.len())
                .filter(|other| self.connected(m, *other))
                .collect::<Vec<_>>()
            {
                let (member, model, counts) = (m as u16, MODEL.into(), counts.clone());
                self.send_input(
                    other,
                    Input::MemberReported {
                        member,
                        model,
                        rule,
                        counts,
                    },
                );
            }
            // Records are gossiped, so that a router that missed a write receives it.
            if self.has_majority(m) {
                self.send_plan(m);
            }
        }
    }

    /// Passes an input to the planner of a member and carries out its outputs.
    pub(super) fn handle(&mut self, m: usize, input: Input) {
        let mut out = Vec::new();
        let (now, nonce) = (self.clock(m), self.members[m].nonce);
        self.members[m].planner.handle(now, input, &mut out);
        for output in out {
            let delivered_at = self.now + 20 * MILLISECOND + self.draw(400) as Micros * MILLISECOND;
            match output {
                Output::RequestLeadership { key } => {
                    self.schedule(delivered_at, Event::RequestLeadership { m, nonce, key })
                }
                Output::Propose { key, ballot, value } => {
                    self.check_term(m, &ballot.term());
                    self.schedule(
                        delivered_at,
                        Event::Propose {
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
                Output::Log(text) => self
                    .log
                    .push(format!("{} s: {m}: {text}", self.now / SECOND)),
            }
        }
    }

    /// Records a violation if two planners act in the same term.
    pub(super) fn check_term(&mut self, m: usize, term: &Name) {
        let owner = (m, self.members[m].nonce);
        if *self.term_owners.entry(term.clone()).or_insert(owner) != owner {
            self.violations
                .push(format!("two planners act in term {term}"));
        }
    }

    /// Sends a load or unload request of a member to a worker, and checks that unload requests follow the order of
    /// terms.
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
        // Unload requests of two leaders must not overlap: neither leader knows what the other has unloaded.
        if !load && ballot < self.highest_unload_ballot {
            self.violations.push(format!(
                "{} s: {m} requests an unload in term {term} after one of a later term",
                self.now / SECOND
            ));
        }
        if !load {
            self.highest_unload_ballot = self.highest_unload_ballot.max(ballot);
        }
        let Some(w) = self.worker(&worker) else {
            return;
        };
        if !self.can_reach(m, w) || self.lost_requests_until > self.now && self.draw(2) == 0 {
            return;
        }
        let status = self.members[m].planner.status();
        let region = status.first().and_then(|s| {
            s.regions
                .iter()
                .find(|r| r.region == self.workers[w].region)
        });
        let (region_drains, drain_limit_passed) = region.map_or((false, false), |r| {
            (r.stage == Stage::Draining, r.drain_limit_passed)
        });
        let when = self.now + 20 * MILLISECOND + self.draw(900) as Micros * MILLISECOND;
        let sessions_known_until = self.now - 1500 * MILLISECOND;
        self.schedule(
            when,
            Event::CopyRequest(CopyRequest {
                member: m,
                worker,
                function,
                load,
                term,
                sessions_known_until,
                region_drains,
                drain_limit_passed,
            }),
        );
    }
}
