//! The replicated state of one member. [`Replica::handle`] is the only entry point for events: it takes an event with
//! the time and produces messages to other members, decisions and permissions. [`Replica::next_due`] returns the time
//! at which the next [`Input::Tick`] is due.

use std::hash::Hasher;

use cedarpulley::interface::Micros;
use cedarpulley_membership::{Group, MemberIndex};

use crate::context::Context;
use crate::events::{Counts, Input, Output};
use crate::member::LocalMember;
use crate::ownership::Claim;
use crate::record::Record;
use crate::roles::Roles;
use crate::settings::ReplicaSettings;
use crate::store::{Key, RecordCopy, StoredRecord};
use crate::wire::{Message, RecoveryState};

/// The replicated state of one member of a group.
#[derive(Clone, Debug)]
pub struct Replica {
    member: LocalMember,
    roles: Roles,
    /// Counters since the start of the process.
    pub counts: Counts,
}

impl Replica {
    /// Creates the replica of a process that has just started. `nonce`: identifies this process; it is above 0 and
    /// different from the nonce of any other process. `restored`: what [`Replica::changes`] has written to this member's
    /// disk, if it has a disk.
    pub fn new(
        now: Micros,
        group: Group,
        settings: ReplicaSettings,
        nonce: u64,
        restored: Option<Vec<(Key, RecordCopy)>>,
    ) -> Self {
        Replica {
            member: LocalMember::new(now, group, settings, nonce, restored),
            roles: Roles::new(now),
            counts: Counts::default(),
        }
    }

    /// Handles an event and everything that is due at `now`.
    pub fn handle(&mut self, now: Micros, input: Input, outputs: &mut Vec<Output>) {
        let mut cx = Context::new(now, &mut self.member, &mut self.counts, outputs);
        self.roles.handle(&mut cx, input);
    }

    /// The time at which the next [`Input::Tick`] is due.
    pub fn next_due(&self) -> Micros {
        self.member.next_due().min(self.roles.next_due())
    }

    /// Returns the changes since the last call, to be written to disk: the key of each changed record with a copy, or
    /// without one if the record was removed. The caller passes the serial to [`Input::Persisted`] once these and all
    /// earlier changes are on disk.
    pub fn changes(&mut self, now: Micros) -> (u64, Vec<(Key, Option<RecordCopy>)>) {
        let (dirty, marker) = self.member.take_changes();
        let has_changes = !dirty.is_empty() || marker.is_some();
        let serial = self.roles.consensus_mut().begin_batch(has_changes);
        let store = self.member.store();
        let changes = dirty.into_iter().map(|key| {
            let copy = store.copy(now, &key);
            (key, copy)
        });
        (serial, changes.chain(marker).collect())
    }

    /// Whether a vote waits for changes that have not been taken with [`Replica::changes`].
    pub fn awaits_batch(&self) -> bool {
        self.roles.consensus().needs_batch()
    }

    /// Whether a message may still have an effect here. This is false only for votes that this member no longer needs.
    pub fn is_message_relevant(&self, message: &Message) -> bool {
        self.roles.ownership().awaits(message)
    }

    /// The invocations that this router has taken.
    pub fn claims(&self) -> impl Iterator<Item = (&Key, &Claim)> {
        self.roles.ownership().claims()
    }

    #[cfg(test)]
    pub(crate) fn ownership(&self) -> &crate::ownership::Ownership {
        self.roles.ownership()
    }

    /// The number of leaves known to differ from the member of the current comparison.
    pub fn differing_leaves(&self) -> usize {
        self.roles.catch_up().differing_leaves()
    }

    /// Whether this member may vote, and may take invocations that need a majority.
    pub fn can_vote(&self) -> bool {
        self.member.can_vote()
    }

    /// Whether this member may vote on choices, and propose values. A member that lost its store may do so later than
    /// it may vote on invocations ([`crate::recovery`]).
    pub fn can_vote_on_choices(&self) -> bool {
        self.member.can_vote_on_choices()
    }

    /// The members that this member has not reached since it started. Until it has, or has compared its records with
    /// enough of the others, a member that lost its store does not vote on choices.
    pub fn members_unreached_by_recovery(&self) -> Vec<MemberIndex> {
        self.member.recovery().unreached(self.member.group())
    }

    /// How much this member remembers of its earlier votes on invocations.
    pub fn recovery_state(&self) -> RecoveryState {
        self.member.recovery_state()
    }

    /// The group with this member's own index.
    pub fn group(&self) -> &Group {
        self.member.group()
    }

    /// A copy of the record under a key, with times relative to `now`.
    pub fn copy(&self, now: Micros, key: &str) -> Option<RecordCopy> {
        self.member.store().copy(now, key)
    }

    /// The record under a key.
    pub fn record(&self, key: &str) -> Option<&Record> {
        self.member.store().get(key).map(|stored| &stored.record)
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = (&Key, &StoredRecord)> {
        self.member.store().all()
    }

    /// The number of times that two different answers to one invocation were found.
    pub fn conflicts(&self) -> u64 {
        self.member.store().conflicts()
    }

    /// Hashes all state that later steps depend on, provided that no record expires in the meantime.
    pub fn hash_state(&self, state: &mut impl Hasher) {
        self.member.hash_state(state);
        self.roles.hash_state(state);
    }
}
