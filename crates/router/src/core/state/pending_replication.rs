//! What the group was asked and may still answer.

use std::collections::HashMap;

use cedarpulley::interface::InvocationIndex;

use super::invocation::InvocationHandle;
use crate::Ticket;
use crate::replication::Key;

/// Announced invocations, and dispatches that wait for permission.
#[derive(Default)]
pub(crate) struct PendingReplication {
    /// Dispatches that wait for permission, by the number under which the group knows them.
    awaiting_permission: HashMap<u64, Ticket>,
    /// The last invocation that was announced under each key.
    announced: HashMap<Key, InvocationHandle>,
}

impl PendingReplication {
    /// Permission to send the dispatch is being requested.
    pub(crate) fn permission_requested(&mut self, serial: u64, ticket: Ticket) {
        self.awaiting_permission.insert(serial, ticket);
    }

    /// The request for permission is answered or not needed any more; the dispatch that waited, if one did.
    pub(crate) fn end_request(&mut self, serial: u64) -> Option<Ticket> {
        self.awaiting_permission.remove(&serial)
    }

    /// The invocation is being announced under this key.
    pub(crate) fn announce(&mut self, key: Key, handle: InvocationHandle) {
        self.announced.insert(key, handle);
    }

    /// The invocation that was last announced under the key.
    pub(crate) fn announced(&self, key: &Key) -> Option<InvocationHandle> {
        self.announced.get(key).copied()
    }

    /// The invocation is over. False if another one was announced under its key since.
    pub(crate) fn retract(&mut self, key: &Key, index: InvocationIndex) -> bool {
        let is_last = self
            .announced
            .get(key)
            .is_some_and(|handle| handle.index == index);
        if is_last {
            self.announced.remove(key);
        }
        is_last
    }
}
