//! What this member holds of each member, with the rule by which two members' tables are merged: the higher incarnation
//! wins, and within one incarnation the worse state. Only a member itself raises its incarnation.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash};

use cedarpulley::interface::Micros;
use serde::Serialize;

use crate::group::MemberIndex;
use crate::message::{Incarnation, MemberState, MemberUpdate};

/// The reason of a member's present state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub enum StateReason {
    /// Nothing was received from it yet.
    #[default]
    #[serde(rename = "never-heard")]
    NothingReceived,
    /// It is this member.
    #[serde(rename = "itself")]
    Itself,
    /// It answered a probe, or sent something else.
    #[serde(rename = "answered")]
    Answered,
    /// It answered members that were asked to probe it.
    #[serde(rename = "answered-others")]
    AnsweredIndirectly,
    /// It answered neither this member nor those asked to probe it.
    #[serde(rename = "silent")]
    Unresponsive,
    /// It was suspected, and nothing was received in time.
    #[serde(rename = "silent-too-long")]
    SuspicionTimedOut,
    /// Another member reported it.
    #[serde(rename = "told")]
    ReportedByPeer,
}

/// What is known of one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its latest known incarnation.
    pub incarnation: Incarnation,
    /// The state of that incarnation.
    pub state: MemberState,
    /// When it took this state.
    pub since: Micros,
    /// The reason of this state.
    pub reason: StateReason,
    /// When anything was last received from it directly.
    pub last_received: Option<Micros>,
}

/// What [`MemberTable::merge`] did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// Nothing new.
    Unchanged,
    /// The member's entry is replaced.
    Updated,
    /// It was wrong about this member, which has raised its incarnation.
    Refuted {
        /// It named another process of this member with an incarnation at least as high: the store that this one
        /// started from is an older one.
        other_process: bool,
    },
}

/// The state of each member, by [`MemberIndex`].
#[derive(Debug)]
pub(crate) struct MemberTable {
    own_index: MemberIndex,
    members: Vec<MemberStatus>,
    version: u64,
}

impl MemberTable {
    /// All unknown, apart from this member itself.
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

    /// Grows with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn own_incarnation(&self) -> Incarnation {
        self.members[self.own_index as usize].incarnation
    }

    /// It is a member of the group other than this one.
    pub fn is_other_member(&self, member: MemberIndex) -> bool {
        member != self.own_index && (member as usize) < self.members.len()
    }

    /// Unknown if there is no such member.
    pub fn status(&self, member: MemberIndex) -> MemberStatus {
        self.members
            .get(member as usize)
            .copied()
            .unwrap_or_default()
    }

    /// All members, by index.
    pub fn statuses(&self) -> impl Iterator<Item = (MemberIndex, MemberStatus)> {
        (0..).zip(self.members.iter().copied())
    }

    /// Something was received from a member of the group.
    pub fn record_contact(&mut self, now: Micros, member: MemberIndex) {
        self.members[member as usize].last_received = Some(now);
    }

    /// The times of all suspicions start anew.
    pub fn restart_suspicions(&mut self, now: Micros) {
        for status in &mut self.members {
            if status.state == MemberState::Suspected {
                status.since = now;
            }
        }
    }

    /// A member answered others that probed it on this one's behalf. True if the reason of its state changed.
    pub fn record_indirect_answer(&mut self, now: Micros, member: MemberIndex) -> bool {
        let status = &mut self.members[member as usize];
        if status.state == MemberState::Suspected {
            // Those that reached it pass its refutation on; until that comes, the suspicion does not time out.
            status.since = now;
        } else if status.reason == StateReason::Unresponsive
            || status.reason == StateReason::NothingReceived
        {
            status.reason = StateReason::AnsweredIndirectly;
            return true;
        }
        false
    }

    /// A new state of the same incarnation, found by this member.
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

    /// Takes in what another member, or a message of the member itself, says of a member.
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

    /// Symptom: a late answer, a partition or an earlier process of this member leaves others with a wrong state of it.
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

    /// What is sent of one member; none if nothing is known.
    pub fn update_of(&self, member: MemberIndex) -> Option<MemberUpdate> {
        let status = self.status(member);
        (status.state != MemberState::Unknown).then_some(MemberUpdate {
            member,
            incarnation: status.incarnation,
            state: status.state,
        })
    }

    /// What is sent of all members.
    pub fn updates(&self) -> Vec<MemberUpdate> {
        (0..self.members.len() as MemberIndex)
            .filter_map(|member| self.update_of(member))
            .collect()
    }

    /// Equal at two members whose tables agree; never 0.
    pub fn digest(&self) -> u64 {
        stable_hash(self.updates()) | 1
    }
}

/// A hash that is the same in each process of one build.
pub(crate) fn stable_hash(value: impl Hash) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(value)
}
