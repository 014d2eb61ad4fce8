//! What the roles of a replica share while one event is handled.

use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use crate::events::{Counts, Output};
use crate::member::LocalMember;
use crate::record::{Invocation, Record};
use crate::store::{Key, StoredRecord};
use crate::wire::Message;

/// Where a message came from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sender {
    pub(crate) member: MemberIndex,
    /// The sender's process, as it is compared in votes.
    pub(crate) process: u32,
    /// An upper bound of the time that the message was under way.
    pub(crate) transit: Micros,
}

/// The time of an event, this member's shared state, and the outputs so far.
pub(crate) struct Context<'a> {
    pub(crate) now: Micros,
    pub(crate) member: &'a mut LocalMember,
    pub(crate) counts: &'a mut Counts,
    outputs: &'a mut Vec<Output>,
}

impl<'a> Context<'a> {
    pub(crate) fn new(
        now: Micros,
        member: &'a mut LocalMember,
        counts: &'a mut Counts,
        outputs: &'a mut Vec<Output>,
    ) -> Self {
        Context {
            now,
            member,
            counts,
            outputs,
        }
    }

    pub(crate) fn emit(&mut self, output: Output) {
        self.outputs.push(output);
    }

    pub(crate) fn send(&mut self, to: MemberIndex, message: Message) {
        self.emit(Output::Send { to, message });
    }

    /// When a request that is sent now is sent again.
    pub(crate) fn resend_at(&self) -> Micros {
        self.now
            .saturating_add(self.member.settings().resend_interval)
    }

    /// Until when something begun now may wait for a majority.
    pub(crate) fn replication_deadline(&self) -> Micros {
        self.now
            .saturating_add(self.member.settings().replication_timeout)
    }

    /// The other members are sent this record soon.
    pub(crate) fn broadcast(&mut self, key: &Key) {
        self.member.queue_broadcast(self.now, key);
    }

    /// A new record of an invocation that this member takes under its first ballot.
    pub(crate) fn new_effect(&mut self) -> StoredRecord {
        self.member.new_effect(self.now)
    }

    /// Changes a record, or the given one where there is none, and broadcasts it. False if the store is full.
    pub(crate) fn change(
        &mut self,
        key: &Key,
        absent: StoredRecord,
        change: impl FnOnce(&mut StoredRecord),
    ) -> bool {
        let changed = self.member.store_mut().change(key, || absent, change);
        match changed {
            true => self.broadcast(key),
            false => self.counts.rejected_store_full += 1,
        }
        changed
    }

    /// Changes the record of an invocation, if there is one, and broadcasts it.
    pub(crate) fn update_effect(
        &mut self,
        key: &Key,
        change: impl FnOnce(&mut Invocation),
    ) -> bool {
        let updated = self.member.store_mut().update(key, |stored| {
            if let Record::Invocation(effect) = &mut stored.record {
                change(effect);
            }
        });
        if updated {
            self.broadcast(key);
        }
        updated
    }
}
