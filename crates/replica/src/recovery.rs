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
//!    clocks that diverge, every invocation that this member may have lost has expired.
//! 4. Choices are retained for longer than invocations, so time alone does not complete the recovery of a member that
//!    started without records. Such a member votes on choices once it has compared its records with a set of members as
//!    in 1, or has reached every other member: each of them either remembers, and its records were compared, or has
//!    started without records as well. Whoever uses a chosen value has its record, so a value that no member has is in
//!    use by nobody but invocations of earlier processes, and those end within the retention time after the last of
//!    these processes ended.

use std::collections::{BTreeMap, BTreeSet};

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
    /// The members that started without records.
    empty: BTreeMap<MemberIndex, EmptyMember>,
    /// Whether this member remembers its earlier votes on choices, too.
    remembers_choices: bool,
}

/// A member that started without records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct EmptyMember {
    /// The tag of its process.
    process: u32,
    /// When this member first learned of the process.
    known_since: Micros,
}

/// The time after which everything that was retained for `retention` has expired by any member's clock.
fn with_clock_drift(retention: Micros) -> Micros {
    retention.saturating_add(retention / CLOCK_DRIFT_DIVISOR)
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
            empty: BTreeMap::new(),
            remembers_choices: false,
        }
    }

    /// How much this member remembers of its earlier votes on invocations.
    pub fn state(&self) -> RecoveryState {
        self.state
    }

    /// Whether this member remembers its earlier votes on choices.
    pub fn remembers_choices(&self) -> bool {
        self.remembers_choices
    }

    /// The state that other members may rely on when they compare their records with this member's.
    pub(crate) fn reported_state(&self) -> RecoveryState {
        match self.state {
            RecoveryState::Complete if !self.remembers_choices => RecoveryState::Empty,
            state => state,
        }
    }

    /// The other members that this member has not reached since its start.
    pub fn unreached(&self, group: &Group) -> Vec<MemberIndex> {
        let is_reached =
            |m: &MemberIndex| self.compared.contains_key(m) || self.empty.contains_key(m);
        group.others().filter(|m| !is_reached(m)).collect()
    }

    /// Whether this member has compared its records with the given member since its start.
    pub fn has_compared_with(&self, member: MemberIndex) -> bool {
        self.compared.contains_key(&member)
    }

    /// The time at which recovery completes without comparisons, because everything that may be missing has expired.
    pub fn next_due(&self, retention: Micros, group: &Group) -> Micros {
        match self.state {
            RecoveryState::Complete => self.choices_due(retention, group),
            _ => self.started_at.saturating_add(with_clock_drift(retention)),
        }
    }

    /// The time at which this member may vote on choices because it has reached every other member; the maximum if it
    /// has not, or if it may vote on them already.
    fn choices_due(&self, retention: Micros, group: &Group) -> Micros {
        if self.remembers_choices || !self.unreached(group).is_empty() {
            return Micros::MAX;
        }
        let known_since = self.empty.values().map(|member| member.known_since).max();
        let last_start = known_since.map_or(self.started_at, |since| since.max(self.started_at));
        last_start.saturating_add(with_clock_drift(retention))
    }

    /// Completes recovery if everything that may be missing has expired by now. Returns whether it did.
    fn complete_by_time(&mut self, now: Micros, retention: Micros) -> bool {
        let is_due = self.state != RecoveryState::Complete
            && now >= self.started_at.saturating_add(with_clock_drift(retention));
        if is_due {
            // A member that started with its records had persisted them before it voted on a choice.
            self.remembers_choices = self.state == RecoveryState::Restored;
            self.state = RecoveryState::Complete;
        }
        is_due
    }

    /// Completes the recovery of choices if every other member was reached. Returns whether it did.
    fn complete_choices(&mut self, now: Micros, retention: Micros, group: &Group) -> bool {
        let is_due = self.state == RecoveryState::Complete
            && now >= self.choices_due(retention, group)
            && !self.remembers_choices;
        self.remembers_choices |= is_due;
        is_due
    }

    /// Notes that a member has started without records. A later process of it replaces the earlier one.
    fn on_empty(&mut self, now: Micros, member: MemberIndex, process: u32) {
        let started = EmptyMember {
            process,
            known_since: now,
        };
        let known = self.empty.entry(member).or_insert(started);
        if known.process != process {
            *known = started;
        }
    }

    fn on_compared(
        &mut self,
        group: &Group,
        member: MemberIndex,
        state: RecoveryState,
    ) -> Progress {
        if self.remembers_choices {
            return Progress::Nothing;
        }
        self.compared.insert(member, state);
        let with: BTreeSet<MemberIndex> = self.compared.keys().copied().collect();
        let votes_already = self.state == RecoveryState::Complete;
        if !group.intersects_every_majority(&with, group.own_index) {
            return match votes_already {
                true => Progress::Nothing,
                false => Progress::Incomplete,
            };
        }
        self.state = RecoveryState::Complete;
        self.remembers_choices = true;
        Progress::Complete {
            after_restarts: !votes_already
                && self
                    .compared
                    .values()
                    .any(|m| *m != RecoveryState::Complete),
        }
    }
}

/// Completes recovery once everything that may be missing has expired.
pub(crate) fn tick(cx: &mut Context<'_>) {
    let (now, retention) = (cx.now, cx.member.settings().retention);
    let (recovery, group) = cx.member.recovery_mut();
    let votes = recovery.complete_by_time(now, retention);
    let chooses = recovery.complete_choices(now, retention, group);
    if chooses {
        cx.member.store_mut().raise_all_to_ballot_floor();
    }
    if votes || chooses {
        cx.emit(Output::Recovered);
    }
}

/// Notes that this member now has all records of another member. Returns true if recovery needs a comparison with a
/// further member immediately.
pub(crate) fn on_compared(cx: &mut Context<'_>, member: MemberIndex, state: RecoveryState) -> bool {
    let (now, process) = (cx.now, cx.member.process_of(member));
    let started_empty = cx.member.recovery().reported_state() == RecoveryState::Empty;
    let (recovery, group) = cx.member.recovery_mut();
    if state == RecoveryState::Empty {
        recovery.on_empty(now, member, process);
        return false;
    }
    match recovery.on_compared(group, member, state) {
        Progress::Nothing => false,
        Progress::Incomplete => true,
        Progress::Complete { after_restarts } => {
            if started_empty {
                // A record may have been learned before the floor under which it was learned.
                cx.member.store_mut().raise_all_to_ballot_floor();
            }
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
