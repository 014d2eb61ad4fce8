//! Requests to the group that may still be answered.

use std::collections::HashMap;

use cedarpulley::interface::InvocationIndex;

use super::invocation::InvocationHandle;
use crate::Ticket;
use crate::replication::Key;

/// Announced invocations, and dispatches that wait for the group's permission.
#[derive(Default)]
pub(crate) struct PendingReplication {
    /// Dispatches that wait for permission, by the number of the attempt in requests to the group.
    awaiting_permission: HashMap<u64, Ticket>,
    /// The last invocation that was announced under each key.
    announced: HashMap<Key, InvocationHandle>,
}

impl PendingReplication {
    /// Records that permission to send the dispatch is being requested.
    pub(crate) fn permission_requested(&mut self, serial: u64, ticket: Ticket) {
        self.awaiting_permission.insert(serial, ticket);
    }

    /// Ends a request for permission that was answered or is no longer needed. Returns the dispatch that waited for it,
    /// if there is one.
    pub(crate) fn end_request(&mut self, serial: u64) -> Option<Ticket> {
        self.awaiting_permission.remove(&serial)
    }

    /// Records that the invocation is being announced under this key.
    pub(crate) fn announce(&mut self, key: Key, handle: InvocationHandle) {
        self.announced.insert(key, handle);
    }

    /// The invocation that was last announced under the key.
    pub(crate) fn announced(&self, key: &Key) -> Option<InvocationHandle> {
        self.announced.get(key).copied()
    }

    /// Removes the announcement of an invocation that is over. Returns false if another invocation has since been
    /// announced under its key.
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
