//! Tells, for the log, why an attempt was allowed although an earlier attempt of its invocation may have run.

use cedarpulley::interface::{DeduplicationScope, Effect};

use super::Router;
use super::state::attempt::Attempt;
use crate::Ticket;

/// Why an attempt was allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatBasis {
    /// No earlier attempt of the invocation may have run.
    NoEarlierRun,
    /// The invocation may run any number of times.
    Idempotent,
    /// All workers drop repeats of the invocation.
    AllWorkers,
    /// The worker of each earlier attempt that may have run shares its record of keys with this worker, according to the
    /// endpoint list.
    SharedRecord {
        /// The zone or cell of this worker in the list.
        scope: u32,
        /// Whether the list was up to date when the attempt was decided.
        list_is_current: bool,
    },
    /// No rule allows the attempt.
    Nothing,
}

impl Router {
    /// Why the attempt was allowed; `None` if it is not known any more.
    pub fn repeat_basis(&self, ticket: Ticket) -> Option<RepeatBasis> {
        let invocation = self.invocations.find(ticket.into())?;
        let attempt = invocation.attempt(ticket.dispatch)?;
        let earlier = &invocation.attempts()[..ticket.dispatch as usize];
        if !earlier.iter().any(Attempt::may_have_run) {
            return Some(RepeatBasis::NoEarlierRun);
        }
        let effect = self.triggers[invocation.request.trigger as usize].effect;
        Some(match effect {
            Effect::Idempotent => RepeatBasis::Idempotent,
            Effect::NonIdempotent => RepeatBasis::Nothing,
            Effect::IdempotentByKey {
                scope: DeduplicationScope::All,
                ..
            } => RepeatBasis::AllWorkers,
            Effect::IdempotentByKey { .. } => RepeatBasis::SharedRecord {
                scope: self.workers.deduplication_scope(attempt.worker, effect),
                list_is_current: attempt.known_scope.is_some(),
            },
        })
    }
}
