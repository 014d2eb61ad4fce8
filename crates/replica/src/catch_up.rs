//! Anti-entropy: finds and fetches the records that this member lacks. A member compares its digests with one other
//! member at a time. After a restart it compares with one member after the other without a pause; later, periodic
//! comparisons find differences that lost messages left behind.
//!
//! 1. The digests of all groups are compared, then the digests of the leaves of the groups that differ, then the
//!    entries of the leaves that differ. Equal records are not sent, so the traffic is proportional to the difference.
//! 2. If this member has very few records, no entries are listed, and whole leaves are fetched as a snapshot.
//! 3. Fetching is limited to a rate in bytes per second, and the next batch is requested only after the previous batch
//!    was merged. The serving member does not wait for this member.

use std::collections::{BTreeMap, VecDeque};

use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use crate::byte_budget::ByteBudget;
use crate::context::Context;
use crate::hashed;
use crate::record::{Record, StoredAnswer};
use crate::recovery;
use crate::store::{GROUPS, Key, LEAVES_PER_GROUP, Leaf, Store};
use crate::wire::{Message, RecoveryState};

/// The maximum number of leaves in one request.
pub(crate) const MAX_LEAVES_PER_REQUEST: usize = 64;
/// Whole leaves are fetched if this member has less than one record for this number of leaves that differ: listing its
/// entries would then save too little.
const SNAPSHOT_LEAVES_PER_RECORD: usize = 4;
/// The approximate size of a record without its key, intents, answer and value, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 64;
/// The approximate size of the intent of a dispatch, in bytes.
const INTENT_BYTES: usize = 16;

/// The approximate size of a record in a message, in bytes.
pub(crate) fn record_size(key: &str, record: &Record) -> usize {
    let content = match record {
        Record::Invocation(invocation) => {
            let answer = match &invocation.answer {
                Some(StoredAnswer::Stored(answer)) => answer.len(),
                _ => 0,
            };
            answer + invocation.intents.len() * INTENT_BYTES
        }
        Record::Choice(choice) => choice.accepted.as_ref().map_or(0, |a| a.1.len()),
        Record::Note(note) => note.value.len(),
    };
    RECORD_OVERHEAD_BYTES + key.len() + content
}

/// A comparison with one member, from the exchange of digests to the last batch of records.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Comparison {
    with: MemberIndex,
    /// The number of the last request.
    serial: u64,
    deadline: Micros,
    /// The other member's recovery state, and whether it knows this process, once it has answered.
    answer: Option<(RecoveryState, bool)>,
    /// The leaves that differ and have not been requested yet.
    differing: VecDeque<Leaf>,
    /// Whether whole leaves are fetched.
    is_snapshot: bool,
    /// A received record could not be stored: the comparison does not count for recovery.
    is_incomplete: bool,
    /// The leaves of the current request.
    requested: Vec<Leaf>,
    /// The next request continues after this record.
    after: Option<(Leaf, Key)>,
    /// The time at which the next request is sent.
    next_request: Option<Micros>,
}

impl Comparison {
    fn new(with: MemberIndex, serial: u64, deadline: Micros) -> Self {
        Comparison {
            with,
            serial,
            deadline,
            answer: None,
            differing: VecDeque::new(),
            is_snapshot: false,
            is_incomplete: false,
            requested: Vec::new(),
            after: None,
            next_request: None,
        }
    }

    fn is_answered_by(&self, from: MemberIndex, serial: u64) -> bool {
        self.with == from && self.serial == serial
    }

    /// Collects the leaves that differ and in which the other member has records.
    fn add_differing(&mut self, store: &Store, groups: &BTreeMap<Leaf, Vec<u64>>) {
        for (group, digests) in groups.iter().filter(|(g, _)| **g < GROUPS) {
            let leaves = group * LEAVES_PER_GROUP..(group + 1) * LEAVES_PER_GROUP;
            // The other member itself fetches the records that only this member has.
            let differing = leaves
                .zip(digests)
                .filter(|(leaf, digest)| **digest != 0 && store.leaf_digest(*leaf) != **digest);
            self.differing.extend(differing.map(|(leaf, _)| leaf));
        }
        // Few differing records are enough for most leaves to differ: when a tenth of the records was missing, nearly
        // all leaves differed, and fetching whole leaves transferred all records again. A list of entries costs a
        // fraction of the traffic that it saves.
        self.is_snapshot = store.len() < self.differing.len() / SNAPSHOT_LEAVES_PER_RECORD;
    }

    fn request_next_leaves(&mut self) {
        let count = self.differing.len().min(MAX_LEAVES_PER_REQUEST);
        self.requested = self.differing.drain(..count).collect();
        self.after = None;
    }
}

/// Describes a received batch of records after its records were merged.
pub(crate) struct ReceivedBatch {
    /// The number of the request.
    pub(crate) serial: u64,
    /// The approximate size of its records, in bytes.
    pub(crate) bytes: usize,
    /// Whether a record could not be stored.
    pub(crate) is_incomplete: bool,
    /// The last record of the batch, if the serving member has more records to send.
    pub(crate) more: Option<(Leaf, Key)>,
}

/// The side of anti-entropy that compares digests and fetches records. The other side is `record_server`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CatchUp {
    comparison: Option<Comparison>,
    next_comparison: Micros,
    last_serial: u64,
    budget: ByteBudget,
    /// The member of the last comparison; the next comparison is with another member.
    last_member: MemberIndex,
}

impl CatchUp {
    /// The state of a member that has just started; its first comparison is due immediately.
    pub fn new(now: Micros) -> Self {
        CatchUp {
            comparison: None,
            next_comparison: now,
            last_serial: 0,
            budget: ByteBudget::new(now),
            last_member: 0,
        }
    }

    /// The time at which a comparison is due to be begun, continued or abandoned.
    pub fn next_due(&self) -> Micros {
        match &self.comparison {
            None => self.next_comparison,
            Some(c) => c.next_request.unwrap_or(c.deadline).min(c.deadline),
        }
    }

    /// The number of leaves known to differ from the member of the current comparison and not fetched completely.
    pub fn differing_leaves(&self) -> usize {
        let comparison = self.comparison.as_ref();
        comparison.map_or(0, |c| c.differing.len() + c.requested.len())
    }

    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        if let Some(c) = &self.comparison {
            if cx.now >= c.deadline {
                // The other member has not answered in time, for example because the connection was lost during the
                // comparison. The next comparison, with another member, begins immediately.
                self.comparison = None;
                self.next_comparison = cx.now;
            } else if c.next_request.is_some_and(|at| cx.now >= at) {
                self.fetch(cx);
            }
        }
        if self.comparison.is_none() && cx.now >= self.next_comparison {
            self.compare(cx);
        }
    }

    /// The member for the next comparison. During recovery, members that were compared with already are skipped.
    fn next_member(&self, cx: &Context<'_>) -> Option<MemberIndex> {
        let recovery = cx.member.recovery();
        let is_recovered = recovery.state() == RecoveryState::Complete;
        let candidates = cx.member.group().others().filter(|m| {
            cx.member.is_alive(*m) && (is_recovered || !recovery.has_compared_with(*m))
        });
        candidates.min_by_key(|m| (*m <= self.last_member, *m))
    }

    fn compare(&mut self, cx: &mut Context<'_>) {
        let settings = cx.member.settings();
        let interval = match cx.member.recovery_state() {
            RecoveryState::Complete => settings.comparison_interval,
            _ => settings.resend_interval,
        };
        // The jitter prevents all members of a group from comparing at the same time.
        let jitter =
            hashed((settings.seed, self.last_serial)) % (interval.max(1) as u64 / 4).max(1);
        let deadline = cx.now.saturating_add(settings.comparison_timeout);
        self.next_comparison = cx
            .now
            .saturating_add(interval)
            .saturating_add(jitter as Micros);
        let Some(with) = self.next_member(cx) else {
            return;
        };
        cx.counts.comparisons += 1;
        self.last_member = with;
        self.last_serial += 1;
        let serial = self.last_serial;
        self.comparison = Some(Comparison::new(with, serial, deadline));
        let groups = cx.member.store().group_digests();
        cx.send(with, Message::CompareDigests { serial, groups });
    }

    /// Another member has answered with the leaf digests of the groups that differ. `your_process`: the process tag by
    /// which the other member knows this process.
    pub(crate) fn on_differing_groups(
        &mut self,
        cx: &mut Context<'_>,
        from: MemberIndex,
        serial: u64,
        recovery_state: RecoveryState,
        your_process: u32,
        groups: &BTreeMap<Leaf, Vec<u64>>,
    ) {
        let comparison = self.comparison.as_mut();
        let Some(c) = comparison.filter(|c| c.is_answered_by(from, serial)) else {
            return;
        };
        c.answer = Some((recovery_state, your_process == cx.member.process()));
        c.add_differing(cx.member.store(), groups);
        cx.counts.snapshots += u64::from(c.is_snapshot);
        self.fetch(cx);
    }

    /// Requests the next batch of records, or ends the comparison.
    fn fetch(&mut self, cx: &mut Context<'_>) {
        let Some(mut c) = self.comparison.take() else {
            return;
        };
        if c.requested.is_empty() {
            c.request_next_leaves();
        }
        if c.requested.is_empty() {
            // The next comparison begins immediately as long as recovery needs further comparisons.
            if let Some((recovery_state, true)) = c.answer
                && !c.is_incomplete
                && recovery::on_compared(cx, c.with, recovery_state)
            {
                self.next_comparison = cx.now;
            }
            return;
        }
        // Each request has its own number. Without this, a batch that arrives twice would be taken for the next batch,
        // which would then never be requested.
        self.last_serial += 1;
        c.serial = self.last_serial;
        let store = cx.member.store();
        let with_entries = |l: &Leaf| (*l, (!c.is_snapshot).then(|| store.entries(*l)));
        let message = Message::FetchRecords {
            serial: c.serial,
            leaves: c.requested.iter().map(with_entries).collect(),
            after: c.after.clone(),
        };
        cx.send(c.with, message);
        c.next_request = None;
        c.deadline = cx
            .now
            .saturating_add(cx.member.settings().comparison_timeout);
        self.comparison = Some(c);
    }

    /// Continues the comparison after a batch of records has arrived and was merged.
    pub(crate) fn on_batch(
        &mut self,
        cx: &mut Context<'_>,
        from: MemberIndex,
        batch: ReceivedBatch,
    ) {
        let comparison = self.comparison.as_mut();
        let Some(c) = comparison.filter(|c| c.is_answered_by(from, batch.serial)) else {
            return;
        };
        let settings = cx.member.settings();
        let next_request = self
            .budget
            .take(cx.now, settings.catch_up_bytes_per_s, batch.bytes);
        if batch.more.is_none() {
            c.requested.clear();
        }
        c.after = batch.more;
        c.is_incomplete |= batch.is_incomplete;
        c.next_request = Some(next_request);
        c.deadline = next_request.saturating_add(settings.comparison_timeout);
        if next_request <= cx.now {
            self.fetch(cx);
        }
    }
}
