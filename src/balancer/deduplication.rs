//! Deduplication (rule 2): which workers drop a repeat of an invocation that may have run.
//!
//! The zone and the cell of a worker are those of the endpoint list. While the list may be out of date, another process,
//! of another zone or cell, may have taken the place of a listed worker. The list then shows neither who ran an attempt
//! nor who would run the next one; a passed health check does not show it either.
//!
//! A worker that has not answered an attempt may have gone, and another process, of another zone or cell, may listen at its
//! address before the list tells so. Its address then proves nothing for a repeat of that invocation.

use super::Balancer;
use super::invocations::{Dispatch, DispatchState, Invocation};
use crate::interface::*;

/// The record of idempotency keys that a worker uses, as far as this router knows.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum KeyRecord {
    /// One record for all workers.
    Shared,
    /// The record of a zone.
    OfZone(u32),
    /// The record of a cell.
    OfCell(u32),
    /// The record of a zone or cell that is not known for certain.
    Unknown,
}

impl KeyRecord {
    /// Whether both are certainly the same record.
    fn is_same(self, other: KeyRecord) -> bool {
        self != KeyRecord::Unknown && self == other
    }
}

impl Balancer {
    /// The record of keys that an attempt at this worker would be entered in. An attempt keeps it, whatever the list says
    /// of its worker later.
    pub(super) fn key_record(&self, trigger: usize, worker: usize) -> KeyRecord {
        let Effect::IdempotentByKey { scope, .. } = self.settings.triggers[trigger].effect else {
            return KeyRecord::Shared;
        };
        let state = &self.workers[worker];
        match scope {
            DeduplicationScope::All => KeyRecord::Shared,
            _ if self.readiness.list_may_be_out_of_date(self.now) => KeyRecord::Unknown,
            DeduplicationScope::Zone => KeyRecord::OfZone(state.zone),
            DeduplicationScope::Cell => KeyRecord::OfCell(state.cell),
        }
    }

    /// Rule 2: whether running the invocation at this worker has no second effect.
    pub(super) fn drops_repeats(&self, invocation: &Invocation, worker: usize) -> bool {
        let mut may_have_run = invocation
            .dispatches
            .iter()
            .filter(|dispatch| !dispatch.state.not_executed());
        match self.settings.triggers[invocation.trigger].effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => may_have_run.next().is_none(),
            Effect::IdempotentByKey { window, .. } => {
                let record = self.key_record(invocation.trigger, worker);
                let is_remembered = |dispatch: &Dispatch| self.now - dispatch.sent_at < window;
                may_have_run.all(|dispatch| {
                    dispatch.key_record.is_same(record)
                        && is_remembered(dispatch)
                        && (record == KeyRecord::Shared || !was_lost_at(dispatch, worker))
                })
            }
        }
    }
}

/// Whether the dispatch was lost at this worker.
fn was_lost_at(dispatch: &Dispatch, worker: usize) -> bool {
    dispatch.state == DispatchState::Lost && dispatch.worker as usize == worker
}
