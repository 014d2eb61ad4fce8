//! What travels between routers, the majority and workers.

use super::*;

impl World {
    pub(super) fn connected(&self, a: usize, b: usize) -> bool {
        let (x, y) = (&self.members[a], &self.members[b]);
        a == b
            || self.is_running(a)
                && self.is_running(b)
                && x.isolated_until.max(y.isolated_until) <= self.now
                && (x.region == y.region || self.cut_until <= self.now)
    }

    pub(super) fn has_majority(&self, m: usize) -> bool {
        (0..self.members.len())
            .filter(|o| self.connected(m, *o))
            .count()
            * 2
            > self.members.len()
    }

    pub(super) fn can_reach(&self, m: usize, w: usize) -> bool {
        let it = &self.members[m];
        let near = it.region == self.workers[w].region;
        it.isolated_until <= self.now && (near || self.cut_until <= self.now)
    }

    pub(super) fn send_input(&mut self, m: usize, input: Input) {
        let (nonce, when) = (
            self.members[m].nonce,
            self.now + 20 * MS + self.draw(300) as Micros * MS,
        );
        self.at(when, Event::In { m, nonce, input });
    }

    #[expect(
        clippy::too_many_lines,
        reason = "one scenario or table of cases, told in order"
    )]
    pub(super) fn deliver_events(&mut self) {
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= self.now) {
            let event = entry.remove();
            let later = self.now + 20 * MS + self.draw(400) as Micros * MS;
            match event {
                Event::Lead { m, nonce, key } => {
                    let outcome = match self.has_majority(m)
                        && self.is_running(m)
                        && self.members[m].nonce == nonce
                    {
                        true => {
                            let number = self.register.0.number + 1;
                            let ballot = Ballot {
                                number,
                                member: m as u16,
                                nonce,
                            };
                            self.register.0 = ballot;
                            let last = self.register.1.as_ref().map(|(_, v)| v.clone().into());
                            Outcome::Leads { ballot, last }
                        }
                        false => Outcome::NoMajority,
                    };
                    self.at(
                        later,
                        Event::In {
                            m,
                            nonce,
                            input: Input::Decided { key, outcome },
                        },
                    );
                }
                Event::Write {
                    m,
                    nonce,
                    key,
                    ballot,
                    value,
                } => {
                    let outcome = match self.has_majority(m) && self.is_running(m) {
                        true if ballot >= self.register.0 => {
                            self.register = (ballot, Some((ballot, value)));
                            Outcome::Written { ballot }
                        }
                        true => Outcome::Overtaken,
                        false => Outcome::NoMajority,
                    };
                    // Now and then the answer is lost, and not what was written.
                    let lost = self.draw(50) == 0;
                    let outcome = if lost { Outcome::NoMajority } else { outcome };
                    self.at(
                        later,
                        Event::In {
                            m,
                            nonce,
                            input: Input::Decided { key, outcome },
                        },
                    );
                    for o in (0..self.members.len())
                        .filter(|o| self.connected(m, *o))
                        .collect::<Vec<_>>()
                    {
                        self.send_plan(o);
                    }
                }
                Event::In { m, nonce, input } => {
                    if self.members[m].nonce != nonce || !self.members[m].up {
                        continue;
                    }
                    if self.members[m].paused_until > self.now {
                        // Its own timers go first when it wakes.
                        let when = self.members[m].paused_until + 2 * DT;
                        self.at(when, Event::In { m, nonce, input });
                    } else {
                        self.members[m].caught_up |= matches!(input, Input::PlanReceived { .. });
                        self.handle(m, input);
                    }
                }
                Event::CopyRequest(request) => self.receive_request(&request),
                Event::Script(fault) => self.inject(fault),
                Event::Orders(orders) => {
                    self.file = orders.clone();
                    (0..self.members.len())
                        .for_each(|m| self.send_input(m, Input::Orders(orders.clone())));
                }
            }
        }
    }

    pub(super) fn send_plan(&mut self, m: usize) {
        let hears = self.members[m].misses_plans_until <= self.now;
        if let Some((ballot, bytes)) = self.register.1.clone().filter(|_| hears) {
            self.send_input(
                m,
                Input::PlanReceived {
                    model: MODEL.into(),
                    ballot,
                    bytes: bytes.into(),
                },
            );
        }
    }

    pub(super) fn inject(&mut self, fault: Fault) {
        self.log.push(format!("{} s: {fault:?}", self.now / S));
        let until = |for_: Micros| self.now + for_;
        match fault {
            Fault::Crash(m, d) => {
                let it = &mut self.members[m];
                (it.up, it.paused_until, it.caught_up) = (false, self.now + d, false);
                it.counts.clear();
                it.bindings.clear();
            }
            Fault::Pause(m, d) if self.members[m].up => self.members[m].paused_until = until(d),
            Fault::Pause(..) => {}
            Fault::Isolated(m, d) => self.members[m].isolated_until = until(d),
            Fault::MissesPlans(m, d) => self.members[m].misses_plans_until = until(d),
            Fault::Cut(d) => self.cut_until = until(d),
            Fault::WorkerDies(w, d) => {
                self.death_known_at = until(3 * S);
                self.workers[w].dead_until = until(d);
                self.workers[w].copies.clear();
            }
            Fault::LoadsFail(w, d) => self.workers[w].bad_until = until(d),
            Fault::SlowStore(d) => self.slow_store_until = until(d),
            Fault::LostRequests(d) => self.lost_requests_until = until(d),
            Fault::MoreErrors(d) => self.errors_until = until(d),
            Fault::Slower(d) => self.slower_until = until(d),
        }
    }
}
