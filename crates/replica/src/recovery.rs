//! When a restarted member may vote. It stores and serves records from the start, but votes only once it remembers
//! everything that it may have voted for.
//!
//! 1. Whatever a majority stored with this member's vote is also stored at another member of that majority. So this
//!    member has caught up once it has compared its records with members that meet every majority, and each of them
//!    knew it as the process that it is now.
//! 2. Those members must remember something themselves. If one of them had restarted as well, what none of them has may
//!    be lost: open invocations are marked doubtful, and the absence of an intent no longer proves anything.
//! 3. Where those members cannot be reached, everything that this member may have forgotten has expired after the
//!    retention time.

use std::collections::BTreeMap;

use cedarpulley::interface::Micros;
use cedarpulley_membership::{Group, MemberIndex};

use crate::context::Context;
use crate::events::Output;
use crate::record::Record;
use crate::settings::{DRIFT_FRACTION, SafetyCheck};
use crate::store::Key;
use crate::wire::RecoveryState;

/// The progress of a restarted member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Recovery {
    started_at: Micros,
    memory: RecoveryState,
    /// The members compared with, and what they remembered.
    compared: BTreeMap<MemberIndex, RecoveryState>,
}

/// What a finished comparison means for recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Recovery was complete before, or the other member remembers nothing.
    Nothing,
    /// More members have to be compared with.
    Incomplete,
    /// Recovery is complete.
    Complete {
        /// One of the members compared with had restarted as well.
        after_restarts: bool,
    },
}

impl Recovery {
    /// `memory`: what this process started with.
    pub fn new(now: Micros, memory: RecoveryState) -> Self {
        Recovery {
            started_at: now,
            memory,
            compared: BTreeMap::new(),
        }
    }

    /// How much this member remembers.
    pub fn memory(&self) -> RecoveryState {
        self.memory
    }

    /// Whether the records were compared with this member since the start.
    pub fn has_compared_with(&self, member: MemberIndex) -> bool {
        self.compared.contains_key(&member)
    }

    /// When recovery completes by time alone.
    pub fn next_due(&self, retention: Micros) -> Micros {
        match self.memory {
            RecoveryState::Complete => Micros::MAX,
            _ => self
                .started_at
                .saturating_add(retention.saturating_add(retention / DRIFT_FRACTION)),
        }
    }

    /// True if recovery completes now, as everything that may be missing has expired.
    fn complete_by_time(&mut self, now: Micros, retention: Micros) -> bool {
        let is_due = now >= self.next_due(retention);
        if is_due {
            self.memory = RecoveryState::Complete;
        }
        is_due
    }

    fn on_compared(
        &mut self,
        group: &Group,
        member: MemberIndex,
        memory: RecoveryState,
    ) -> Progress {
        if self.memory == RecoveryState::Complete || memory == RecoveryState::Empty {
            return Progress::Nothing;
        }
        self.compared.insert(member, memory);
        let with = self.compared.keys().copied().collect();
        if !group.intersects_every_majority(&with, group.own_index) {
            return Progress::Incomplete;
        }
        self.memory = RecoveryState::Complete;
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

/// This member now has all records of another one. True if it has to be compared with a further member at once.
pub(crate) fn on_compared(
    cx: &mut Context<'_>,
    member: MemberIndex,
    memory: RecoveryState,
) -> bool {
    let (recovery, group) = cx.member.recovery_mut();
    match recovery.on_compared(group, member, memory) {
        Progress::Nothing => false,
        Progress::Incomplete => true,
        Progress::Complete { after_restarts } => {
            if after_restarts && !cx.member.is_disabled(SafetyCheck::DoubtAfterRestarts) {
                mark_doubtful(cx);
            }
            cx.emit(Output::Recovered);
            false
        }
    }
}

/// Marks all open invocations: intents of theirs may be lost.
fn mark_doubtful(cx: &mut Context<'_>) {
    let is_open = |record: &Record| match record {
        Record::Invocation(e) => !e.closed && e.answer.is_none() && !e.may_lack_intents,
        _ => false,
    };
    let records = cx.member.store().all();
    let open: Vec<Key> = records
        .filter(|(_, stored)| is_open(&stored.record))
        .map(|(key, _)| key.clone())
        .collect();
    for key in open {
        cx.update_effect(&key, |effect| effect.may_lack_intents = true);
    }
}
