//! The state that all roles of a replica share: this member's view of the group, its records, its recovery, and its
//! queue of broadcasts.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use cedarpulley::interface::Micros;
use cedarpulley_membership::{Group, MemberIndex};

use crate::broadcast::BroadcastQueue;
use crate::hashed;
use crate::ownership::NoMajorityReason;
use crate::record::{Ballot, FIRST_BALLOT_NUMBER, Invocation, Owner, Record};
use crate::recovery::Recovery;
use crate::recovery_marker::RecoveryMarker;
use crate::settings::{CLOCK_DRIFT_DIVISOR, MAX_TRANSIT_DIVISOR, ReplicaSettings, SafetyCheck};
use crate::store::{Key, MergeOutcome, Origin, RecordCopy, Store, StoredRecord};
use crate::votes::{KnownProcesses, Votes, process_tag};
use crate::wire::RecoveryState;

/// The bound of a backoff is doubled at most this number of times.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// What this member knows of a member's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct PeerState {
    /// The nonce of the process; 0 if no process is known.
    nonce: u64,
    alive: bool,
}

/// The state of this member that is shared by all roles.
#[derive(Clone, Debug)]
pub(crate) struct LocalMember {
    group: Group,
    settings: ReplicaSettings,
    nonce: u64,
    /// The known processes of all members, including this member, by index.
    peers: Vec<PeerState>,
    store: Store,
    recovery: Recovery,
    recovery_marker: RecoveryMarker,
    broadcasts: BroadcastQueue,
    /// The serial of the last record that this process created.
    last_serial: u64,
    /// The ballot number of the last takeover that this process began.
    last_takeover_number: u32,
    /// The number of backoffs drawn so far.
    backoffs_drawn: u64,
}

impl LocalMember {
    pub(crate) fn new(
        now: Micros,
        group: Group,
        settings: ReplicaSettings,
        nonce: u64,
        mut restored: Option<Vec<(Key, RecordCopy)>>,
    ) -> Self {
        let was_recovering = restored.as_mut().is_some_and(RecoveryMarker::take_from);
        let recovery_state = match restored {
            Some(_) if !was_recovering => RecoveryState::Restored,
            _ => RecoveryState::Empty,
        };
        let mut store = Store::new(settings.max_records, settings.is_persistent);
        if settings.disabled_check == Some(SafetyCheck::PromiseOutlivesRecord) {
            store.forget_expired_promises();
        }
        for (key, copy) in restored.into_iter().flatten() {
            if store.merge(now, &key, &copy, 0) == MergeOutcome::Expired {
                store.drop_expired(&key, &copy.record);
            }
        }
        let mut peers = vec![PeerState::default(); group.len()];
        peers[group.own_index as usize] = PeerState { nonce, alive: true };
        LocalMember {
            group,
            settings,
            nonce,
            peers,
            store,
            recovery: Recovery::new(now, recovery_state),
            recovery_marker: RecoveryMarker::new(was_recovering),
            broadcasts: BroadcastQueue::new(),
            last_serial: 0,
            last_takeover_number: FIRST_BALLOT_NUMBER,
            backoffs_drawn: 0,
        }
    }

    pub(crate) fn group(&self) -> &Group {
        &self.group
    }

    pub(crate) fn settings(&self) -> &ReplicaSettings {
        &self.settings
    }

    pub(crate) fn own_index(&self) -> MemberIndex {
        self.group.own_index
    }

    pub(crate) fn nonce(&self) -> u64 {
        self.nonce
    }

    /// The tag of this process, which votes contain.
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

    /// The recovery state, mutably, together with the group.
    pub(crate) fn recovery_mut(&mut self) -> (&mut Recovery, &Group) {
        (&mut self.recovery, &self.group)
    }

    pub(crate) fn recovery_state(&self) -> RecoveryState {
        self.recovery.state()
    }

    /// The keys of the records that have changed since the last call, and the change of the recovery marker on the disk.
    pub(crate) fn take_changes(&mut self) -> (BTreeSet<Key>, Option<(Key, Option<RecordCopy>)>) {
        let is_recovering = self.recovery.reported_state() == RecoveryState::Empty;
        let marker = match self.settings.is_persistent {
            true => self.recovery_marker.change(is_recovering),
            false => None,
        };
        (self.store.take_dirty(), marker)
    }

    /// Whether a test has disabled this safety check.
    pub(crate) fn is_disabled(&self, check: SafetyCheck) -> bool {
        self.settings.disabled_check == Some(check)
    }

    /// Whether this member remembers its earlier votes. If so, it may vote, and may take invocations that need a
    /// majority.
    pub(crate) fn can_vote(&self) -> bool {
        self.recovery_state() == RecoveryState::Complete
            || self.is_disabled(SafetyCheck::NoVoteWithoutState)
    }

    /// Whether this member remembers its earlier votes on choices. If so, it may vote on them and propose values.
    pub(crate) fn can_vote_on_choices(&self) -> bool {
        let remembers = self.recovery.remembers_choices()
            || self.is_disabled(SafetyCheck::ChoicesOutliveRecovery)
            || self.is_disabled(SafetyCheck::NoVoteWithoutState);
        remembers && self.can_vote()
    }

    pub(crate) fn others(&self) -> Vec<MemberIndex> {
        self.group.others().collect()
    }

    /// Whether this is the index of another member of the group.
    pub(crate) fn is_other_member(&self, member: MemberIndex) -> bool {
        (member as usize) < self.group.len() && member != self.own_index()
    }

    pub(crate) fn all_members(&self) -> std::ops::Range<MemberIndex> {
        0..self.group.len() as MemberIndex
    }

    pub(crate) fn is_alive(&self, member: MemberIndex) -> bool {
        self.peers[member as usize].alive
    }

    /// The tag of the process that this member knows for another member.
    pub(crate) fn process_of(&self, member: MemberIndex) -> u32 {
        process_tag(self.peers[member as usize].nonce)
    }

    /// Notes a change of another member's state. Returns false if the member is unknown or is this member.
    pub(crate) fn update_peer(&mut self, member: MemberIndex, nonce: u64, alive: bool) -> bool {
        if !self.is_other_member(member) {
            return false;
        }
        self.peers[member as usize] = PeerState { nonce, alive };
        true
    }

    /// Whether a process has ended as far as this member knows. What only that process knew cannot be learned any more.
    pub(crate) fn is_process_gone(&self, member: MemberIndex, nonce: u64) -> bool {
        self.peers
            .get(member as usize)
            .is_none_or(|peer| peer.nonce != nonce || !peer.alive)
    }

    /// Whether the invocation has no active owner: the owner's process has ended, or the owner has released it.
    pub(crate) fn has_no_active_owner(&self, owner: &Owner) -> bool {
        owner.released || self.is_process_gone(owner.ballot.member, owner.ballot.nonce)
    }

    pub(crate) fn known_processes(&self) -> KnownProcesses {
        KnownProcesses(self.peers.iter().map(|p| process_tag(p.nonce)).collect())
    }

    /// Adds this member's own vote.
    pub(crate) fn add_own_vote(&self, votes: &mut Votes) {
        votes.put(self.own_index(), self.process(), self.known_processes());
    }

    /// The voters whose votes may be counted together.
    pub(crate) fn agreeing(&self, votes: &Votes) -> Vec<MemberIndex> {
        match self.is_disabled(SafetyCheck::AgreeingVoters) {
            true => votes.voters().collect(),
            false => votes.agreeing(self.own_index()),
        }
    }

    pub(crate) fn is_majority_alive(&self) -> bool {
        let alive = self.all_members().filter(|m| self.is_alive(*m));
        self.group.is_majority(alive)
    }

    /// The reason why no majority can be obtained at present, if there is one.
    pub(crate) fn majority_obstacle(&self) -> Option<NoMajorityReason> {
        if !self.can_vote() {
            Some(NoMajorityReason::Recovering)
        } else if !self.is_majority_alive() {
            Some(NoMajorityReason::Unreachable)
        } else {
            None
        }
    }

    /// The reason why no value can be chosen at present, if there is one.
    pub(crate) fn choice_obstacle(&self) -> Option<NoMajorityReason> {
        match self.can_vote_on_choices() {
            true => self.majority_obstacle(),
            false => Some(NoMajorityReason::Recovering),
        }
    }

    /// The reason why no majority was obtained before a deadline.
    pub(crate) fn timeout_reason(&self) -> NoMajorityReason {
        match self.is_majority_alive() {
            true => NoMajorityReason::TimedOut,
            false => NoMajorityReason::Unreachable,
        }
    }

    /// Whether a request was in transit for so long that the record stored for it here would expire too early.
    pub(crate) fn arrives_too_late(&self, transit: Micros) -> bool {
        transit > self.settings.retention / MAX_TRANSIT_DIVISOR
            && !self.is_disabled(SafetyCheck::RejectLateRequests)
    }

    /// Whether the absence of this record at another member still proves that the other member never had it.
    pub(crate) fn absence_is_proof(&self, now: Micros, key: &str) -> bool {
        let until = self.store.get(key).and_then(|stored| stored.proof_until);
        until.is_some_and(|until| now < until) || self.is_disabled(SafetyCheck::RejectLateRequests)
    }

    pub(crate) fn ballot(&self, number: u32) -> Ballot {
        Ballot {
            number,
            member: self.own_index(),
            nonce: self.nonce,
        }
    }

    /// The ballot of the next takeover: above `known`, and above every ballot that this process has used for a takeover.
    /// Without the latter, a promise for an earlier takeover of the same key, whose record has expired everywhere, would
    /// count for the next one.
    pub(crate) fn next_takeover_ballot(&mut self, known: u32) -> Ballot {
        self.last_takeover_number = known.max(self.last_takeover_number).saturating_add(1);
        self.ballot(self.last_takeover_number)
    }

    /// The origin of the next record of this process.
    pub(crate) fn next_origin(&mut self) -> Origin {
        self.last_serial += 1;
        Origin {
            nonce: self.nonce,
            serial: self.last_serial,
        }
    }

    pub(crate) fn new_invocation(&mut self, now: Micros) -> StoredRecord {
        let owner = Owner {
            ballot: self.ballot(FIRST_BALLOT_NUMBER),
            released: false,
        };
        let record = Record::Invocation(Invocation {
            owner,
            taken: true,
            ..Invocation::default()
        });
        let expires_at = now.saturating_add(self.settings.retention);
        let proof_until = expires_at.saturating_sub(self.settings.retention / CLOCK_DRIFT_DIVISOR);
        StoredRecord {
            proof_until: Some(proof_until),
            ..StoredRecord::new(record, self.next_origin(), expires_at)
        }
    }

    /// A random time below a bound that doubles with each earlier try.
    pub(crate) fn backoff(&mut self, tries: u32) -> Micros {
        self.backoffs_drawn += 1;
        let draw = hashed((self.settings.seed, self.nonce, self.backoffs_drawn));
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
            .min(self.recovery.next_due(self.settings.retention, &self.group))
    }

    /// Hashes all state that later steps depend on, except for times.
    pub(crate) fn hash_state(&self, state: &mut impl Hasher) {
        for (key, stored) in self.store.all() {
            (key, &stored.record).hash(state);
        }
        (&self.recovery, &self.peers).hash(state);
        self.last_takeover_number.hash(state);
    }
}
