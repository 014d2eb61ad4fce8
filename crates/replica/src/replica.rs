//! One member's replicated state behind one entry point, [`Replica::handle`]: an event goes in with the time, and
//! messages to other members, decisions and permissions come out. [`Replica::next_due`] says when [`Input::Tick`] is
//! wanted.

use std::hash::Hasher;

use cedarpulley::interface::Micros;
use cedarpulley_membership::Group;

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
    /// What was done since the start.
    pub counts: Counts,
}

impl Replica {
    /// `nonce`: identifies this process, above 0 and different from that of any other process. `restored`: the
    /// records on this member's disk, if it has one.
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

    /// Handles an event, and everything that is due.
    pub fn handle(&mut self, now: Micros, input: Input, outputs: &mut Vec<Output>) {
        let mut cx = Context::new(now, &mut self.member, &mut self.counts, outputs);
        self.roles.handle(&mut cx, input);
    }

    /// When [`Input::Tick`] is wanted next.
    pub fn next_due(&self) -> Micros {
        self.member.next_due().min(self.roles.next_due())
    }

    /// Changes since the last call, for the disk: each record, or nothing if it was removed. The serial is to be
    /// returned with [`Input::Kept`] once these and all earlier changes are on disk.
    pub fn changes(&mut self, now: Micros) -> (u64, Vec<(Key, Option<RecordCopy>)>) {
        let dirty = self.member.store_mut().take_dirty();
        let serial = self.roles.consensus_mut().begin_batch(!dirty.is_empty());
        let store = self.member.store();
        let changes = dirty.into_iter().map(|key| {
            let copy = store.copy(now, &key);
            (key, copy)
        });
        (serial, changes.collect())
    }

    /// Whether a vote waits for changes that have not been taken with [`Replica::changes`].
    pub fn awaits_batch(&self) -> bool {
        self.roles.consensus().needs_batch()
    }

    /// Whether a vote may still count here; any other message may.
    pub fn awaits_vote(&self, message: &Message) -> bool {
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

    /// Leaves known to differ from the member that records are compared with now.
    pub fn differing_leaves(&self) -> usize {
        self.roles.catch_up().differing_leaves()
    }

    /// Whether this member may vote, and take what needs votes.
    pub fn can_vote(&self) -> bool {
        self.member.can_vote()
    }

    /// How much this member remembers.
    pub fn recovery_state(&self) -> RecoveryState {
        self.member.memory()
    }

    /// The group, as this member sees it.
    pub fn group(&self) -> &Group {
        self.member.group()
    }

    /// A copy of the record under a key, its times relative to `now`.
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

    /// How often two different answers to one invocation were found.
    pub fn conflicts(&self) -> u64 {
        self.member.store().conflicts()
    }

    /// Hashes everything that later steps depend on, where nothing expires meanwhile.
    pub fn hash_state(&self, state: &mut impl Hasher) {
        self.member.hash_state(state);
        self.roles.hash_state(state);
    }
}
