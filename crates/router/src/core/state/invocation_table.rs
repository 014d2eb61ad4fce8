//! The accepted invocations by index.

use cedarpulley::interface::InvocationIndex;

use super::attempt::Attempt;
use super::invocation::{Invocation, InvocationHandle};
use crate::Ticket;
use crate::slot_map::SlotMap;

/// Invocations that this router has accepted and that are not over; the index of an invocation that is over is reused.
#[derive(Default)]
pub(crate) struct InvocationTable {
    invocations: SlotMap<Invocation>,
}

impl InvocationTable {
    /// Adds an invocation and returns its index.
    pub(crate) fn insert(&mut self, invocation: Invocation) -> InvocationIndex {
        self.invocations.insert(invocation)
    }

    /// The invocation that has this index now.
    pub(crate) fn get(&self, index: InvocationIndex) -> Option<&Invocation> {
        self.invocations.get(index)
    }

    /// The invocation that has this index now.
    pub(crate) fn get_mut(&mut self, index: InvocationIndex) -> Option<&mut Invocation> {
        self.invocations.get_mut(index)
    }

    /// Removes and returns the invocation; its index may be reused.
    pub(crate) fn remove(&mut self, index: InvocationIndex) -> Option<Invocation> {
        self.invocations.remove(index)
    }

    /// Number of invocations.
    pub(crate) fn len(&self) -> usize {
        self.invocations.len()
    }

    /// A handle of the invocation that has this index now.
    pub(crate) fn handle(&self, index: InvocationIndex) -> InvocationHandle {
        InvocationHandle {
            index,
            generation: self.invocations.generation(index),
        }
    }

    /// Whether the handle's invocation still has its index.
    pub(crate) fn is_current(&self, handle: InvocationHandle) -> bool {
        self.invocations.generation(handle.index) == handle.generation
    }

    /// The handle's invocation, unless it is over.
    pub(crate) fn find(&self, handle: InvocationHandle) -> Option<&Invocation> {
        self.get(handle.index).filter(|_| self.is_current(handle))
    }

    /// The handle's invocation, unless it is over.
    pub(crate) fn find_mut(&mut self, handle: InvocationHandle) -> Option<&mut Invocation> {
        if !self.is_current(handle) {
            return None;
        }
        self.get_mut(handle.index)
    }

    /// The attempt, if it has not ended.
    pub(crate) fn attempt_in_flight(&self, ticket: Ticket) -> Option<&Attempt> {
        self.find(ticket.into())?
            .attempt(ticket.dispatch)
            .filter(|attempt| attempt.is_in_flight())
    }
}
