//! Failure detector after SWIM (Das, Gupta and Motivala 2002), adapted to small groups: a member sends its whole table
//! to a member whose table differs. [`Membership::handle`] takes a received message or a tick and returns messages to
//! send and changes of state; [`Membership::next_due`] returns the time by which it has to be called again.
//!
//! Mechanisms:
//! 1. Probes: members are probed one after the other, in a random order that changes each round. A member that does not
//!    answer is also probed indirectly, through other members, so that one bad link does not make it look dead.
//! 2. Suspicion: a member that answers neither kind of probe is suspected. It is declared dead if nothing is received
//!    from it before the suspicion times out. Dead members are still probed. A member of which this process has never
//!    received anything remains `Unknown`, and so not alive, while it is suspected.
//! 3. Refutation: a member raises its incarnation when it receives an update in which it is suspected or dead, or which
//!    names another process of this member. The higher incarnation wins; within one incarnation the worse state wins.
//! 4. Resumption: a process that was suspended discards the timeouts that passed meanwhile, since they do not show that
//!    the other members were silent.

use cedarpulley::interface::Micros;

use crate::counts::MembershipCounts;
use crate::group::{Group, MemberIndex};
use crate::member_table::{MemberStatus, MemberTable, MergeOutcome, StateReason};
use crate::message::{Incarnation, MemberState, MemberUpdate, Message};
use crate::probe_schedule::{PendingProbe, ProbeSchedule};
use crate::relayed_probes::{RelayedProbe, RelayedProbes};
use crate::settings::FailureDetectorSettings;

/// Number of members that are requested to probe an unresponsive member. With only one, a bad link of that member alone
/// could cause a suspicion.
const INDIRECT_PROBES: usize = 2;
/// If a call is late by more than this number of probe intervals, this process is taken to have been suspended.
const SUSPENDED_INTERVALS: Micros = 4;

/// Input of [`Membership::handle`].
#[derive(Debug)]
pub enum Input {
    /// A message was received.
    Received {
        /// Its sender.
        from: MemberIndex,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The message.
        message: Message,
    },
    /// Time has passed.
    Tick,
}

/// Output of [`Membership::handle`], to be executed by its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// Its receiver.
        to: MemberIndex,
        /// The message.
        message: Message,
    },
    /// The state of the given member, its reason or its incarnation changed.
    Changed(MemberIndex),
}

/// The failure detector of one member.
#[derive(Debug)]
pub struct Membership {
    group: Group,
    settings: FailureDetectorSettings,
    table: MemberTable,
    schedule: ProbeSchedule,
    relayed: RelayedProbes,
    /// Sequence number of the last probe that this member sent.
    sequence: u64,
    /// Counters since the start of this process.
    pub counts: MembershipCounts,
}

impl Membership {
    /// `nonce` is different for each process; `last_incarnation` is the highest incarnation number of this member in
    /// its store.
    pub fn new(
        now: Micros,
        group: Group,
        settings: FailureDetectorSettings,
        nonce: u64,
        last_incarnation: u64,
    ) -> Self {
        let own = Incarnation {
            number: last_incarnation + 1,
            nonce,
        };
        Membership {
            table: MemberTable::new(now, group.len(), group.own_index, own),
            schedule: ProbeSchedule::new(now, settings.seed),
            relayed: RelayedProbes::default(),
            sequence: 0,
            counts: MembershipCounts::default(),
            group,
            settings,
        }
    }

    /// Handles one input and everything that is due at `now`; appends the outputs to `out`.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Received {
                from,
                incarnation: sender,
                message,
            } => {
                if self.table.is_other_member(from) {
                    self.record_contact(now, from, sender, out);
                    self.on_message(now, from, message, out);
                }
            }
            Input::Tick => {}
        }
        self.on_time(now, out);
    }

    /// Latest time at which [`Membership::handle`] has to be called.
    pub fn next_due(&self) -> Micros {
        let next_death = self
            .table
            .statuses()
            .filter(|(_, status)| status.is_suspected())
            .map(|(_, status)| status.since + self.settings.suspicion_timeout)
            .min()
            .unwrap_or(Micros::MAX);
        self.schedule.next_due().min(next_death)
    }

    /// The group as configured.
    pub fn group(&self) -> &Group {
        &self.group
    }

    /// This member's own incarnation; it is sent with each message.
    pub fn own_incarnation(&self) -> Incarnation {
        self.table.own_incarnation()
    }

    /// The status of a member; `Unknown` if no member has this index.
    pub fn status(&self, member: MemberIndex) -> MemberStatus {
        self.table.status(member)
    }

    /// Whether a member is considered alive. Suspected members still count as alive, as suspicions are often refuted.
    pub fn is_alive(&self, member: MemberIndex) -> bool {
        matches!(
            self.status(member).state,
            MemberState::Alive | MemberState::Suspected
        )
    }

    /// Version of the member table; it increases with each change.
    pub fn version(&self) -> u64 {
        self.table.version()
    }

    /// Records that a message was received from this member. Callers use it for messages that are not membership
    /// messages.
    pub fn record_contact(
        &mut self,
        now: Micros,
        from: MemberIndex,
        incarnation: Incarnation,
        out: &mut Vec<Output>,
    ) {
        if !self.table.is_other_member(from) {
            return;
        }
        self.table.record_contact(now, from);
        let alive = MemberUpdate {
            member: from,
            incarnation,
            state: MemberState::Alive,
        };
        self.merge(now, alive, StateReason::Answered, out);
    }

    fn on_message(
        &mut self,
        now: Micros,
        from: MemberIndex,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Probe {
                sequence: probe_sequence,
                digest: sender_digest,
                updates: received,
            } => {
                let differed = sender_digest != self.table.digest();
                self.merge_all(now, &received, out);
                let own_digest = self.table.digest();
                let message = Message::Answer {
                    sequence: probe_sequence,
                    answered_by: self.group.own_index,
                    digest: own_digest,
                    updates: self.updates_if(differed || sender_digest != own_digest),
                };
                out.push(Output::Send { to: from, message });
            }
            Message::Answer {
                sequence: probe_sequence,
                answered_by: responder,
                digest: sender_digest,
                updates: received,
            } => {
                self.merge_all(now, &received, out);
                self.on_answer(now, from, probe_sequence, responder, out);
                // The tables differ: this one is sent to the sender at once, not one round later.
                let is_own_answer = responder == from && sender_digest != 0;
                if is_own_answer && sender_digest != self.table.digest() {
                    self.send_probe(from, true, out);
                }
            }
            Message::IndirectProbe {
                sequence: requested_sequence,
                target: probe_target,
            } => self.relay_probe(now, from, requested_sequence, probe_target, out),
        }
    }

    fn on_answer(
        &mut self,
        now: Micros,
        from: MemberIndex,
        probe_sequence: u64,
        responder: MemberIndex,
        out: &mut Vec<Output>,
    ) {
        if let Some(relayed) = self.relayed.answered(probe_sequence, responder) {
            let message = Message::Answer {
                sequence: relayed.requested_sequence,
                answered_by: responder,
                digest: 0,
                updates: self.table.update_of(responder).into_iter().collect(),
            };
            out.push(Output::Send {
                to: relayed.requester,
                message,
            });
        }
        let is_indirect = responder != from;
        if self.schedule.answered(probe_sequence, responder)
            && is_indirect
            && self.table.record_indirect_answer(now, responder)
        {
            out.push(Output::Changed(responder));
        }
    }

    /// Probes a member on behalf of another member.
    fn relay_probe(
        &mut self,
        now: Micros,
        requester: MemberIndex,
        requested_sequence: u64,
        target: MemberIndex,
        out: &mut Vec<Output>,
    ) {
        if !self.table.is_other_member(target) {
            return;
        }
        if self.relayed.is_full() {
            self.counts.rejected_relays += 1;
            return;
        }
        let sequence = self.send_probe(target, true, out);
        let lifetime = self
            .settings
            .probe_interval
            .max(self.settings.answer_timeout);
        let probe = RelayedProbe {
            requester,
            requested_sequence,
            target,
            expires_at: now + lifetime,
        };
        self.relayed.insert(sequence, probe);
    }

    /// Handles everything that is due at `now`.
    fn on_time(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now - self.schedule.next_probe > SUSPENDED_INTERVALS * self.settings.probe_interval {
            // Without this, a process that resumes after minutes would find all other members overdue at once, although
            // they were not silent.
            self.counts.resumptions += 1;
            self.schedule.pending = None;
            self.schedule.next_probe = now;
            self.table.restart_suspicions(now);
        }
        self.declare_dead(now, out);
        match self.schedule.timed_out(now) {
            Some(probe) if !probe.is_indirect => self.request_indirect_probes(now, probe, out),
            Some(probe) => {
                self.schedule.pending = None;
                self.suspect(now, probe.target, out);
            }
            None => {}
        }
        self.relayed.remove_expired(now);
        if now >= self.schedule.next_probe {
            self.schedule.next_probe = now + self.settings.probe_interval;
            if self.schedule.pending.is_none() {
                self.start_probe(now, out);
            }
        }
    }

    /// Declares members dead whose suspicion timed out.
    fn declare_dead(&mut self, now: Micros, out: &mut Vec<Output>) {
        let is_overdue = |status: &MemberStatus| {
            status.is_suspected() && now >= status.since + self.settings.suspicion_timeout
        };
        let dead: Vec<MemberIndex> = self
            .table
            .statuses()
            .filter(|(_, status)| is_overdue(status))
            .map(|(member, _)| member)
            .collect();
        for member in dead {
            self.counts.deaths += 1;
            self.table.set_state(
                now,
                member,
                MemberState::Dead,
                StateReason::SuspicionTimedOut,
            );
            out.push(Output::Changed(member));
        }
    }

    fn suspect(&mut self, now: Micros, member: MemberIndex, out: &mut Vec<Output>) {
        let status = self.status(member);
        let suspected = match status.state {
            MemberState::Alive => MemberState::Suspected,
            MemberState::Unknown if !status.is_suspected() => MemberState::Unknown,
            _ => return,
        };
        self.counts.suspicions += 1;
        let reason = StateReason::Unresponsive;
        self.table.set_state(now, member, suspected, reason);
        out.push(Output::Changed(member));
    }

    /// Probes the next member of the round.
    fn start_probe(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(target) = self.schedule.next_target(&self.group) else {
            return;
        };
        self.counts.probes += 1;
        // A member that is not recorded as alive has to receive this record to be able to refute it.
        let with_updates = self.status(target).state != MemberState::Alive;
        let sequence = self.send_probe(target, with_updates, out);
        self.schedule.pending = Some(PendingProbe {
            target,
            sequence,
            is_indirect: false,
            due: now + self.settings.answer_timeout,
        });
    }

    fn request_indirect_probes(&mut self, now: Micros, probe: PendingProbe, out: &mut Vec<Output>) {
        let mut others: Vec<MemberIndex> = self
            .group
            .others()
            .filter(|m| *m != probe.target && self.status(*m).state == MemberState::Alive)
            .collect();
        self.schedule.shuffle(&mut others);
        for to in others.into_iter().take(INDIRECT_PROBES) {
            self.counts.indirect_probes += 1;
            let message = Message::IndirectProbe {
                sequence: probe.sequence,
                target: probe.target,
            };
            out.push(Output::Send { to, message });
        }
        self.schedule.pending = Some(PendingProbe {
            is_indirect: true,
            // An indirect probe takes two round trips, a direct one takes one.
            due: now + 2 * self.settings.answer_timeout,
            ..probe
        });
    }

    /// Sends a probe and returns its sequence number.
    fn send_probe(&mut self, to: MemberIndex, with_updates: bool, out: &mut Vec<Output>) -> u64 {
        self.sequence += 1;
        let message = Message::Probe {
            sequence: self.sequence,
            digest: self.table.digest(),
            updates: self.updates_if(with_updates),
        };
        out.push(Output::Send { to, message });
        self.sequence
    }

    fn updates_if(&self, with_updates: bool) -> Vec<MemberUpdate> {
        if with_updates {
            self.table.updates()
        } else {
            Vec::new()
        }
    }

    fn merge_all(&mut self, now: Micros, received: &[MemberUpdate], out: &mut Vec<Output>) {
        for update in received.iter().take(self.group.len()) {
            self.merge(now, *update, StateReason::ReportedByPeer, out);
        }
    }

    fn merge(
        &mut self,
        now: Micros,
        update: MemberUpdate,
        reason: StateReason,
        out: &mut Vec<Output>,
    ) {
        match self.table.merge(now, update, reason) {
            MergeOutcome::Unchanged => return,
            MergeOutcome::Updated => {}
            MergeOutcome::Refuted { other_process } => {
                self.counts.refutations += 1;
                self.counts.outdated_store_signs += u64::from(other_process);
            }
        }
        out.push(Output::Changed(update.member));
    }
}
