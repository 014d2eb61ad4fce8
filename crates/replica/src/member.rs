//! What all roles of one replica share: the group as this member sees it, its records, its recovery, and what it is
//! about to broadcast.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use cedarpulley::interface::Micros;
use cedarpulley_membership::{Group, MemberIndex};

use crate::broadcast::BroadcastQueue;
use crate::hashed;
use crate::ownership::NoMajorityReason;
use crate::record::{Ballot, FIRST, Invocation, Owner, Record};
use crate::recovery::Recovery;
use crate::settings::{DRIFT_FRACTION, LATE_FRACTION, ReplicaSettings, SafetyCheck};
use crate::store::{Key, Origin, RecordCopy, Store, StoredRecord};
use crate::votes::{Views, Votes, process_tag};
use crate::wire::RecoveryState;

/// The largest exponent of a backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// What this member knows of another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct PeerState {
    /// Its process; 0 where nothing is known.
    nonce: u64,
    alive: bool,
}

/// This member's part of the state that is not of one role alone.
#[derive(Clone, Debug)]
pub(crate) struct LocalMember {
    group: Group,
    settings: ReplicaSettings,
    nonce: u64,
    /// By member, this one included.
    peers: Vec<PeerState>,
    store: Store,
    recovery: Recovery,
    broadcasts: BroadcastQueue,
    /// Of the last record made by this process.
    last_serial: u64,
    /// Backoffs drawn so far.
    draws: u64,
}

impl LocalMember {
    pub(crate) fn new(
        now: Micros,
        group: Group,
        settings: ReplicaSettings,
        nonce: u64,
        restored: Option<Vec<(Key, RecordCopy)>>,
    ) -> Self {
        let memory = match restored {
            Some(_) => RecoveryState::Restored,
            None => RecoveryState::Empty,
        };
        let mut store = Store::new(settings.max_records, settings.is_persistent);
        for (key, copy) in restored.into_iter().flatten() {
            store.merge(now, &key, &copy, 0);
        }
        let mut peers = vec![PeerState::default(); group.len()];
        peers[group.own_index as usize] = PeerState { nonce, alive: true };
        LocalMember {
            group,
            settings,
            nonce,
            peers,
            store,
            recovery: Recovery::new(now, memory),
            broadcasts: BroadcastQueue::new(),
            last_serial: 0,
            draws: 0,
        }
    }

    pub(crate) fn group(&self) -> &Group {
        &self.group
    }

    pub(crate) fn settings(&self) -> &ReplicaSettings {
        &self.settings
    }

    pub(crate) fn me(&self) -> MemberIndex {
        self.group.own_index
    }

    pub(crate) fn nonce(&self) -> u64 {
        self.nonce
    }

    /// This process, as it is compared in votes.
    pub(crate) fn process(&self) -> u32 {
        process_tag(self.nonce)
    }

    pub(crate) fn store(&self) -> &Store {
        &self.store
    }

    pub(crate) fn store_mut(&mut self) -> &mut Store {
        &mut self.store
    }

    pub(crate) fn recovery(&self) -> &Recovery {
        &self.recovery
    }

    /// Recovery, with the group that it asks for majorities.
    pub(crate) fn recovery_mut(&mut self) -> (&mut Recovery, &Group) {
        (&mut self.recovery, &self.group)
    }

    pub(crate) fn memory(&self) -> RecoveryState {
        self.recovery.memory()
    }

    /// Whether a test has disabled this safety check.
    pub(crate) fn is_disabled(&self, check: SafetyCheck) -> bool {
        self.settings.disabled_check == Some(check)
    }

    /// Whether it remembers its earlier votes, and so may vote, and take what needs votes.
    pub(crate) fn can_vote(&self) -> bool {
        self.memory() == RecoveryState::Complete
            || self.is_disabled(SafetyCheck::NoVoteWithoutState)
    }

    pub(crate) fn others(&self) -> Vec<MemberIndex> {
        self.group.others().collect()
    }

    pub(crate) fn all_members(&self) -> std::ops::Range<MemberIndex> {
        0..self.group.len() as MemberIndex
    }

    pub(crate) fn is_alive(&self, member: MemberIndex) -> bool {
        self.peers[member as usize].alive
    }

    /// Which process this member takes another one for.
    pub(crate) fn process_of(&self, member: MemberIndex) -> u32 {
        process_tag(self.peers[member as usize].nonce)
    }

    /// False if the member is unknown or this one.
    pub(crate) fn update_peer(&mut self, member: MemberIndex, nonce: u64, alive: bool) -> bool {
        if member as usize >= self.group.len() || member == self.me() {
            return false;
        }
        self.peers[member as usize] = PeerState { nonce, alive };
        true
    }

    /// The process is over, as far as is known: nobody will learn any more what it alone knew.
    pub(crate) fn is_gone(&self, member: MemberIndex, nonce: u64) -> bool {
        self.peers
            .get(member as usize)
            .is_none_or(|peer| peer.nonce != nonce || !peer.alive)
    }

    /// The owner is gone or has released the invocation.
    pub(crate) fn is_free(&self, owner: &Owner) -> bool {
        owner.released || self.is_gone(owner.ballot.member, owner.ballot.nonce)
    }

    pub(crate) fn views(&self) -> Views {
        Views(self.peers.iter().map(|p| process_tag(p.nonce)).collect())
    }

    /// This member's own vote.
    pub(crate) fn vote_for_itself(&self, votes: &mut Votes) {
        votes.put(self.me(), self.process(), self.views());
    }

    /// The voters whose votes may be counted together.
    pub(crate) fn agreeing(&self, votes: &Votes) -> Vec<MemberIndex> {
        match self.is_disabled(SafetyCheck::AgreeingVoters) {
            true => votes.voters().collect(),
            false => votes.agreeing(self.me()),
        }
    }

    pub(crate) fn is_majority_alive(&self) -> bool {
        let alive = self.all_members().filter(|m| self.is_alive(*m));
        self.group.is_majority(alive)
    }

    /// Why asking for a majority is hopeless at present.
    pub(crate) fn majority_obstacle(&self) -> Option<NoMajorityReason> {
        if !self.can_vote() {
            Some(NoMajorityReason::Recovering)
        } else if !self.is_majority_alive() {
            Some(NoMajorityReason::Unreachable)
        } else {
            None
        }
    }

    /// Why there was no majority before a deadline.
    pub(crate) fn deadline_reason(&self) -> NoMajorityReason {
        match self.is_majority_alive() {
            true => NoMajorityReason::TimedOut,
            false => NoMajorityReason::Unreachable,
        }
    }

    /// A request was under way for so long that what is stored for it here would expire too early.
    pub(crate) fn arrives_too_late(&self, transit: Micros) -> bool {
        transit > self.settings.retention / LATE_FRACTION
            && !self.is_disabled(SafetyCheck::NotTooLate)
    }

    /// Whether a member without anything of this record still proves that it never had anything.
    pub(crate) fn absence_is_proof(&self, now: Micros, key: &str) -> bool {
        let until = self.store.get(key).and_then(|stored| stored.proof_until);
        until.is_some_and(|until| now < until) || self.is_disabled(SafetyCheck::NotTooLate)
    }

    pub(crate) fn ballot(&self, number: u32) -> Ballot {
        Ballot {
            number,
            member: self.me(),
            nonce: self.nonce,
        }
    }

    /// The origin of the next record of this process.
    pub(crate) fn next_origin(&mut self) -> Origin {
        self.last_serial += 1;
        Origin {
            nonce: self.nonce,
            serial: self.last_serial,
        }
    }

    pub(crate) fn new_effect(&mut self, now: Micros) -> StoredRecord {
        let owner = Owner {
            ballot: self.ballot(FIRST),
            released: false,
        };
        let record = Record::Invocation(Invocation {
            owner,
            taken: true,
            ..Invocation::default()
        });
        let expires_at = now.saturating_add(self.settings.retention);
        let proof_until = expires_at.saturating_sub(self.settings.retention / DRIFT_FRACTION);
        StoredRecord {
            proof_until: Some(proof_until),
            ..StoredRecord::new(record, self.next_origin(), expires_at)
        }
    }

    /// A random time below a bound that doubles with each try.
    pub(crate) fn backoff(&mut self, tries: u32) -> Micros {
        self.draws += 1;
        let draw = hashed((self.settings.seed, self.nonce, self.draws));
        let bound = self.settings.backoff << tries.min(MAX_BACKOFF_DOUBLINGS);
        if bound == 0 {
            0
        } else {
            (draw % bound as u64) as Micros
        }
    }

    pub(crate) fn queue_broadcast(&mut self, now: Micros, key: &Key) {
        let due = now.saturating_add(self.settings.broadcast_delay);
        self.broadcasts.add(key, due);
    }

    pub(crate) fn take_due_broadcasts(&mut self, now: Micros) -> BTreeSet<Key> {
        self.broadcasts.take_due(now)
    }

    /// Removes expired records, and returns their keys.
    pub(crate) fn expire(&mut self, now: Micros) -> Vec<Key> {
        let expired = self.store.expire(now);
        for key in &expired {
            self.broadcasts.remove(key);
        }
        expired
    }

    pub(crate) fn next_due(&self) -> Micros {
        self.broadcasts
            .next_due()
            .min(self.store.next_expiry())
            .min(self.recovery.next_due(self.settings.retention))
    }

    /// Hashes everything that later steps depend on, apart from times.
    pub(crate) fn hash_state(&self, state: &mut impl Hasher) {
        for (key, stored) in self.store.all() {
            (key, &stored.record).hash(state);
        }
        (&self.recovery, &self.peers).hash(state);
    }
}
