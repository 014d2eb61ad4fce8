//! Table of the states of all members, with the rule by which the tables of two members are merged: the higher
//! incarnation wins, and within one incarnation the worse state. Only a member itself raises its incarnation.

use cedarpulley::interface::Micros;
use serde::Serialize;

use crate::group::MemberIndex;
use crate::message::{Incarnation, MemberState, MemberUpdate};
use crate::stable_hash::stable_hash;

/// The reason for a member's present state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub enum StateReason {
    /// Nothing has been received from the member yet.
    #[default]
    #[serde(rename = "never-heard")]
    NothingReceived,
    /// The member is this process itself.
    #[serde(rename = "itself")]
    Itself,
    /// The member answered a probe or sent any other message.
    #[serde(rename = "answered")]
    Answered,
    /// The member answered indirect probes.
    #[serde(rename = "answered-others")]
    AnsweredIndirectly,
    /// The member answered neither direct nor indirect probes.
    #[serde(rename = "silent")]
    Unresponsive,
    /// The member was suspected, and the suspicion timed out without a refutation.
    #[serde(rename = "silent-too-long")]
    SuspicionTimedOut,
    /// Another member reported the state.
    #[serde(rename = "told")]
    ReportedByPeer,
}

/// Status of one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its latest known incarnation.
    pub incarnation: Incarnation,
    /// The state of that incarnation.
    pub state: MemberState,
    /// Time at which it entered this state.
    pub since: Micros,
    /// The reason for this state.
    pub reason: StateReason,
    /// Time at which a message was last received directly from it.
    pub last_received: Option<Micros>,
}

impl MemberStatus {
    /// Whether the member is declared dead once this lasts for the suspicion timeout. An unknown member has never been
    /// alive for this process, so it does not become [`MemberState::Suspected`], which counts as alive.
    pub(crate) fn is_suspected(&self) -> bool {
        match self.state {
            MemberState::Suspected => true,
            MemberState::Unknown => self.reason == StateReason::Unresponsive,
            _ => false,
        }
    }
}

/// Result of [`MemberTable::merge`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// The update contained nothing new.
    Unchanged,
    /// The member's entry was replaced.
    Updated,
    /// The update was wrong about this member, which has raised its incarnation.
    Refuted {
        /// The update was about another process of this member with an incarnation at least as high, which shows that
        /// this process started from an outdated store.
        other_process: bool,
    },
}

/// The status of each member, by [`MemberIndex`].
#[derive(Debug)]
pub(crate) struct MemberTable {
    own_index: MemberIndex,
    members: Vec<MemberStatus>,
    version: u64,
}

impl MemberTable {
    /// All members are `Unknown`, apart from this member itself.
    pub fn new(now: Micros, size: usize, own_index: MemberIndex, own: Incarnation) -> Self {
        let unknown = MemberStatus {
            since: now,
            ..MemberStatus::default()
        };
        let mut members = vec![unknown; size];
        members[own_index as usize] = MemberStatus {
            incarnation: own,
            state: MemberState::Alive,
            reason: StateReason::Itself,
            ..unknown
        };
        MemberTable {
            own_index,
            members,
            version: 1,
        }
    }

    /// Increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn own_incarnation(&self) -> Incarnation {
        self.members[self.own_index as usize].incarnation
    }

    /// Whether `member` is a member of the group other than this one.
    pub fn is_other_member(&self, member: MemberIndex) -> bool {
        member != self.own_index && (member as usize) < self.members.len()
    }

    /// The status of a member; `Unknown` if no member has this index.
    pub fn status(&self, member: MemberIndex) -> MemberStatus {
        self.members
            .get(member as usize)
            .copied()
            .unwrap_or_default()
    }

    /// The status of each member, with its index.
    pub fn statuses(&self) -> impl Iterator<Item = (MemberIndex, MemberStatus)> {
        (0..).zip(self.members.iter().copied())
    }

    /// Records that a message was received from a member of the group.
    pub fn record_contact(&mut self, now: Micros, member: MemberIndex) {
        self.members[member as usize].last_received = Some(now);
    }

    /// Restarts the timeouts of all suspicions.
    pub fn restart_suspicions(&mut self, now: Micros) {
        for status in &mut self.members {
            if status.is_suspected() {
                status.since = now;
            }
        }
    }

    /// Records that a member answered an indirect probe of this member. Returns whether the reason for its state
    /// changed.
    pub fn record_indirect_answer(&mut self, now: Micros, member: MemberIndex) -> bool {
        let status = &mut self.members[member as usize];
        if status.state == MemberState::Suspected {
            // The members that reached it forward its refutation; the suspicion must not time out before that arrives.
            status.since = now;
        } else if status.reason == StateReason::Unresponsive
            || status.reason == StateReason::NothingReceived
        {
            status.reason = StateReason::AnsweredIndirectly;
            return true;
        }
        false
    }

    /// Sets a new state within the same incarnation, as detected by this member.
    pub fn set_state(
        &mut self,
        now: Micros,
        member: MemberIndex,
        state: MemberState,
        reason: StateReason,
    ) {
        let incarnation = self.members[member as usize].incarnation;
        self.replace(now, member, incarnation, state, reason);
    }

    /// Merges an update on a member, received from another member or implied by a message of the member itself.
    pub fn merge(
        &mut self,
        now: Micros,
        update: MemberUpdate,
        reason: StateReason,
    ) -> MergeOutcome {
        let Some(held) = self.members.get(update.member as usize).copied() else {
            return MergeOutcome::Unchanged;
        };
        if update.state == MemberState::Unknown {
            return MergeOutcome::Unchanged;
        }
        if update.member == self.own_index {
            return self.refute(now, update, held.incarnation);
        }
        if (update.incarnation, update.state) <= (held.incarnation, held.state) {
            return MergeOutcome::Unchanged;
        }
        self.replace(now, update.member, update.incarnation, update.state, reason);
        MergeOutcome::Updated
    }

    /// Refutes a wrong state of this member by raising its incarnation. Without this, other members would keep a wrong
    /// state of it after a late answer, a partition or an earlier process of this member.
    fn refute(&mut self, now: Micros, update: MemberUpdate, own: Incarnation) -> MergeOutcome {
        let other_process = update.incarnation.nonce != own.nonce;
        let is_wrong = update.state != MemberState::Alive || other_process;
        if update.incarnation.number < own.number || !is_wrong {
            return MergeOutcome::Unchanged;
        }
        let raised = Incarnation {
            number: update.incarnation.number + 1,
            nonce: own.nonce,
        };
        self.replace(
            now,
            update.member,
            raised,
            MemberState::Alive,
            StateReason::Itself,
        );
        MergeOutcome::Refuted { other_process }
    }

    fn replace(
        &mut self,
        now: Micros,
        member: MemberIndex,
        incarnation: Incarnation,
        state: MemberState,
        reason: StateReason,
    ) {
        let status = &mut self.members[member as usize];
        *status = MemberStatus {
            incarnation,
            state,
            since: now,
            reason,
            last_received: status.last_received,
        };
        self.version += 1;
    }

    /// The update that is sent on one member; none if its state is `Unknown`.
    pub fn update_of(&self, member: MemberIndex) -> Option<MemberUpdate> {
        let status = self.status(member);
        (status.state != MemberState::Unknown).then_some(MemberUpdate {
            member,
            incarnation: status.incarnation,
            state: status.state,
        })
    }

    /// The updates that are sent on all members.
    pub fn updates(&self) -> Vec<MemberUpdate> {
        (0..self.members.len() as MemberIndex)
            .filter_map(|member| self.update_of(member))
            .collect()
    }

    /// Digest of the table, equal at two members whose tables agree; never 0.
    pub fn digest(&self) -> u64 {
        stable_hash(self.updates()) | 1
    }
}
