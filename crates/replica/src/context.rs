//! The context in which the roles of a replica handle one event.

use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use crate::events::{Counts, Output};
use crate::member::LocalMember;
use crate::record::{Invocation, Record};
use crate::store::{Key, StoredRecord};
use crate::wire::Message;

/// The sender of a message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sender {
    pub(crate) member: MemberIndex,
    /// The tag of the sender's process ([`crate::votes::process_tag`]).
    pub(crate) process: u32,
    /// An upper bound of the time that the message was in transit.
    pub(crate) transit: Micros,
}

/// The time of an event, the state of this member that all roles share, and the outputs so far.
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

    /// The time at which a request that is sent now is sent again if it was not answered.
    pub(crate) fn resend_at(&self) -> Micros {
        self.now
            .saturating_add(self.member.settings().resend_interval)
    }

    /// The deadline by which an intent, a takeover or a proposal that begins now must obtain a majority.
    pub(crate) fn replication_deadline(&self) -> Micros {
        self.now
            .saturating_add(self.member.settings().replication_timeout)
    }

    /// Queues a record for the next broadcast to the other members.
    pub(crate) fn broadcast(&mut self, key: &Key) {
        self.member.queue_broadcast(self.now, key);
    }

    /// A new record of an invocation that this member takes under its first ballot.
    pub(crate) fn new_invocation(&mut self) -> StoredRecord {
        self.member.new_invocation(self.now)
    }

    /// Changes the record under a key, after inserting `absent` if there is none, and queues its broadcast. Returns
    /// false if the store is full.
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

    /// Changes the record of an invocation and queues its broadcast. Returns false if there is no record.
    pub(crate) fn update_invocation(
        &mut self,
        key: &Key,
        change: impl FnOnce(&mut Invocation),
    ) -> bool {
        let updated = self.member.store_mut().update(key, |stored| {
            if let Record::Invocation(invocation) = &mut stored.record {
                change(invocation);
            }
        });
        if updated {
            self.broadcast(key);
        }
        updated
    }
}
