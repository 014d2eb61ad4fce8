//! Messages between routers, the majority and workers, and faults.

use super::*;

impl Simulation {
    /// Whether two members can reach each other.
    pub(super) fn connected(&self, a: usize, b: usize) -> bool {
        let (first, second) = (&self.members[a], &self.members[b]);
        a == b
            || self.is_running(a)
                && self.is_running(b)
                && first.isolated_until.max(second.isolated_until) <= self.now
                && (first.region == second.region || self.partition_until <= self.now)
    }

    /// Whether a member can reach a majority of all members, itself included.
    pub(super) fn has_majority(&self, m: usize) -> bool {
        (0..self.members.len())
            .filter(|other| self.connected(m, *other))
            .count()
            * 2
            > self.members.len()
    }

    /// Whether a member can reach a worker.
    pub(super) fn can_reach(&self, m: usize, w: usize) -> bool {
        let member = &self.members[m];
        let same_region = member.region == self.workers[w].region;
        member.isolated_until <= self.now && (same_region || self.partition_until <= self.now)
    }

    /// Sends an input to the planner of a member, with a random delay.
    pub(super) fn send_input(&mut self, m: usize, input: Input) {
        let (nonce, when) = (
            self.members[m].nonce,
            self.now + 20 * MILLISECOND + self.draw(300) as Micros * MILLISECOND,
        );
        self.schedule(when, Event::Input { m, nonce, input });
    }

    /// Delivers the events that are due.
    #[expect(
        clippy::too_many_lines,
        reason = "one scenario or table of cases in order"
    )]
    pub(super) fn deliver_events(&mut self) {
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= self.now) {
            let event = entry.remove();
            let later = self.now + 20 * MILLISECOND + self.draw(400) as Micros * MILLISECOND;
            match event {
                Event::RequestLeadership { m, nonce, key } => {
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
                    self.schedule(
                        later,
                        Event::Input {
                            m,
                            nonce,
                            input: Input::Decided { key, outcome },
                        },
                    );
                }
                Event::Propose {
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
                    // In one of 50 cases the answer is lost, although the value may have been written.
                    let lost = self.draw(50) == 0;
                    let outcome = if lost { Outcome::NoMajority } else { outcome };
                    self.schedule(
                        later,
                        Event::Input {
                            m,
                            nonce,
                            input: Input::Decided { key, outcome },
                        },
                    );
                    for other in (0..self.members.len())
                        .filter(|other| self.connected(m, *other))
                        .collect::<Vec<_>>()
                    {
                        self.send_plan(other);
                    }
                }
                Event::Input { m, nonce, input } => {
                    if self.members[m].nonce != nonce || !self.members[m].is_up {
                        continue;
                    }
                    if self.members[m].paused_until > self.now {
                        // When the member resumes, its own timers run before this input.
                        let when = self.members[m].paused_until + 2 * TIME_STEP;
                        self.schedule(when, Event::Input { m, nonce, input });
                    } else {
                        self.members[m].caught_up |= matches!(input, Input::PlanReceived { .. });
                        self.handle(m, input);
                    }
                }
                Event::CopyRequest(request) => self.receive_request(&request),
                Event::InjectFault(fault) => self.inject(fault),
                Event::OrdersChanged(orders) => {
                    self.order_file = orders.clone();
                    (0..self.members.len())
                        .for_each(|m| self.send_input(m, Input::Orders(orders.clone())));
                }
            }
        }
    }

    /// Sends the accepted plan to a member, unless the member misses plans.
    pub(super) fn send_plan(&mut self, m: usize) {
        let receives_plans = self.members[m].misses_plans_until <= self.now;
        if let Some((ballot, bytes)) = self.register.1.clone().filter(|_| receives_plans) {
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

    /// Starts a fault.
    pub(super) fn inject(&mut self, fault: Fault) {
        self.log.push(format!("{} s: {fault:?}", self.now / SECOND));
        let until = |duration: Micros| self.now + duration;
        match fault {
            Fault::Crash(m, d) => {
                let member = &mut self.members[m];
                (member.is_up, member.paused_until, member.caught_up) =
                    (false, self.now + d, false);
                member.counts.clear();
                member.bindings.clear();
            }
            Fault::Pause(m, d) if self.members[m].is_up => self.members[m].paused_until = until(d),
            Fault::Pause(..) => {}
            Fault::Isolated(m, d) => self.members[m].isolated_until = until(d),
            Fault::MissesPlans(m, d) => self.members[m].misses_plans_until = until(d),
            Fault::Cut(d) => self.partition_until = until(d),
            Fault::WorkerDies(w, d) => {
                self.death_known_at = until(3 * SECOND);
                self.workers[w].dead_until = until(d);
                self.workers[w].copies.clear();
            }
            Fault::LoadsFail(w, d) => self.workers[w].loads_fail_until = until(d),
            Fault::SlowStore(d) => self.slow_store_until = until(d),
            Fault::LostRequests(d) => self.lost_requests_until = until(d),
            Fault::MoreErrors(d) => self.errors_until = until(d),
            Fault::Slower(d) => self.slower_until = until(d),
        }
    }
}
