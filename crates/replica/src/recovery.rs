//! Decides when a restarted member may vote. The member stores and serves records from its start, but votes only once
//! it remembers everything that it may have voted for.
//!
//! 1. Everything that a majority stored with this member's vote is also stored at another member of that majority. So
//!    this member has caught up once it has compared its records with a set of members that intersects every majority,
//!    provided that each of them knew this member's current process.
//! 2. A member that started without records and has not recovered does not count. If one of the members had restarted
//!    with the records on its disk, records that none of them has may be lost. Open invocations are then marked with
//!    [`crate::Invocation::may_lack_intents`], and the absence of an intent no longer proves anything.
//! 3. If those members cannot be reached, recovery completes by time: after the retention time, with a margin for
//!    clocks that diverge, everything that this member may have lost has expired.

use std::collections::BTreeMap;

use cedarpulley::interface::Micros;
use cedarpulley_membership::{Group, MemberIndex};

use crate::context::Context;
use crate::events::Output;
use crate::record::Record;
use crate::settings::{CLOCK_DRIFT_DIVISOR, SafetyCheck};
use crate::store::Key;
use crate::wire::RecoveryState;

/// The recovery of a member after its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Recovery {
    started_at: Micros,
    state: RecoveryState,
    /// The members that this member has compared its records with, and their recovery states.
    compared: BTreeMap<MemberIndex, RecoveryState>,
}

/// The progress of recovery after a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Recovery was complete already, or the other member has no memory of its votes.
    Nothing,
    /// Comparisons with more members are needed.
    Incomplete,
    /// Recovery is complete.
    Complete {
        /// Whether one of the compared members had restarted as well and had not recovered.
        after_restarts: bool,
    },
}

impl Recovery {
    /// `state`: what this process started with.
    pub fn new(now: Micros, state: RecoveryState) -> Self {
        Recovery {
            started_at: now,
            state,
            compared: BTreeMap::new(),
        }
    }

    /// How much this member remembers of its earlier votes.
    pub fn state(&self) -> RecoveryState {
        self.state
    }

    /// Whether this member has compared its records with the given member since its start.
    pub fn has_compared_with(&self, member: MemberIndex) -> bool {
        self.compared.contains_key(&member)
    }

    /// The time at which recovery completes without comparisons, because everything that may be missing has expired.
    pub fn next_due(&self, retention: Micros) -> Micros {
        match self.state {
            RecoveryState::Complete => Micros::MAX,
            _ => self
                .started_at
                .saturating_add(retention.saturating_add(retention / CLOCK_DRIFT_DIVISOR)),
        }
    }

    /// Completes recovery if everything that may be missing has expired by now. Returns whether it did.
    fn complete_by_time(&mut self, now: Micros, retention: Micros) -> bool {
        let is_due = now >= self.next_due(retention);
        if is_due {
            self.state = RecoveryState::Complete;
        }
        is_due
    }

    fn on_compared(
        &mut self,
        group: &Group,
        member: MemberIndex,
        state: RecoveryState,
    ) -> Progress {
        if self.state == RecoveryState::Complete || state == RecoveryState::Empty {
            return Progress::Nothing;
        }
        self.compared.insert(member, state);
        let with = self.compared.keys().copied().collect();
        if !group.intersects_every_majority(&with, group.own_index) {
            return Progress::Incomplete;
        }
        self.state = RecoveryState::Complete;
        Progress::Complete {
            after_restarts: self
                .compared
                .values()
                .any(|m| *m != RecoveryState::Complete),
        }
    }
}

/// Completes recovery once everything that may be missing has expired.
pub(crate) fn tick(cx: &mut Context<'_>) {
    let retention = cx.member.settings().retention;
    if cx
        .member
        .recovery_mut()
        .0
        .complete_by_time(cx.now, retention)
    {
        cx.emit(Output::Recovered);
    }
}

/// Notes that this member now has all records of another member. Returns true if recovery needs a comparison with a
/// further member immediately.
pub(crate) fn on_compared(cx: &mut Context<'_>, member: MemberIndex, state: RecoveryState) -> bool {
    let (recovery, group) = cx.member.recovery_mut();
    match recovery.on_compared(group, member, state) {
        Progress::Nothing => false,
        Progress::Incomplete => true,
        Progress::Complete { after_restarts } => {
            if after_restarts
                && !cx
                    .member
                    .is_disabled(SafetyCheck::IntentsMayBeLostAfterRestarts)
            {
                mark_intents_as_possibly_lost(cx);
            }
            cx.emit(Output::Recovered);
            false
        }
    }
}

/// Marks all open invocations as invocations whose intents may be lost.
fn mark_intents_as_possibly_lost(cx: &mut Context<'_>) {
    let is_open = |record: &Record| match record {
        Record::Invocation(invocation) => {
            !invocation.closed && invocation.answer.is_none() && !invocation.may_lack_intents
        }
        _ => false,
    };
    let records = cx.member.store().all();
    let open: Vec<Key> = records
        .filter(|(_, stored)| is_open(&stored.record))
        .map(|(key, _)| key.clone())
        .collect();
    for key in open {
        cx.update_invocation(&key, |invocation| invocation.may_lack_intents = true);
    }
}
