//! Anti-entropy: finding and fetching the records that this member lacks. It compares its digests with one other member
//! at a time. After a restart it compares with one member after the other; later comparisons make up for lost messages.
//!
//! 1. The digests of groups are compared, then the digests of the leaves of those that differ, then the entries of the
//!    leaves that differ: equal records are not sent, and the traffic grows with the difference.
//! 2. With next to no records here, entries are left out and whole leaves are fetched, as a snapshot.
//! 3. Fetching stays below a rate in bytes a second, and the next batch is requested only after the last one was taken
//!    in. The member that serves does not wait for it.

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

/// The most leaves in one request.
pub(crate) const MAX_LEAVES_PER_REQUEST: usize = 64;
/// With fewer records here than one for so many leaves that differ, entries are not worth listing.
const LEAVES_PER_RECORD_OF_SNAPSHOT: usize = 4;
/// The size of a record beside its key, answer or value, in bytes.
const RECORD_BYTES: usize = 64;
/// The size of a dispatch, in bytes.
const DISPATCH_BYTES: usize = 16;

/// The approximate size of a record in a message.
pub(crate) fn size(key: &str, record: &Record) -> usize {
    let content = match record {
        Record::Invocation(effect) => {
            let answer = match &effect.answer {
                Some(StoredAnswer::Stored(answer)) => answer.len(),
                _ => 0,
            };
            answer + effect.intents.len() * DISPATCH_BYTES
        }
        Record::Choice(choice) => choice.accepted.as_ref().map_or(0, |a| a.1.len()),
        Record::Note(note) => note.value.len(),
    };
    RECORD_BYTES + key.len() + content
}

/// One comparison, from the digests to the last batch of records.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Comparison {
    with: MemberIndex,
    /// Of the last request.
    serial: u64,
    deadline: Micros,
    /// What the other member remembers, once it has answered, and whether it knows this process.
    answer: Option<(RecoveryState, bool)>,
    /// Leaves that differ and have not been requested yet.
    differing: VecDeque<Leaf>,
    is_snapshot: bool,
    /// A record could not be taken in: the comparison does not count for recovery.
    is_incomplete: bool,
    /// Leaves requested at present.
    requested: Vec<Leaf>,
    /// The next request continues after this record.
    after: Option<(Leaf, Key)>,
    /// When the next request is sent.
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

    /// Collects the leaves that the other member has records in and that differ here.
    fn add_differing(&mut self, store: &Store, groups: &BTreeMap<Leaf, Vec<u64>>) {
        for (group, digests) in groups.iter().filter(|(g, _)| **g < GROUPS) {
            let leaves = group * LEAVES_PER_GROUP..(group + 1) * LEAVES_PER_GROUP;
            // What only this member has, the other one fetches itself.
            let differing = leaves
                .zip(digests)
                .filter(|(leaf, digest)| **digest != 0 && store.leaf_digest(*leaf) != **digest);
            self.differing.extend(differing.map(|(leaf, _)| leaf));
        }
        // Symptom: with a tenth of the records lacking nearly all leaves differ, and everything was sent once more. A
        // list of entries costs a fraction of what it saves.
        self.is_snapshot = store.len() < self.differing.len() / LEAVES_PER_RECORD_OF_SNAPSHOT;
    }

    fn request_next_leaves(&mut self) {
        let count = self.differing.len().min(MAX_LEAVES_PER_REQUEST);
        self.requested = self.differing.drain(..count).collect();
        self.after = None;
    }
}

/// A batch of records that was taken in.
pub(crate) struct ReceivedBatch {
    pub(crate) serial: u64,
    /// The size of its records.
    pub(crate) bytes: usize,
    /// A record could not be taken in.
    pub(crate) is_incomplete: bool,
    /// There are more records after this one.
    pub(crate) more: Option<(Leaf, Key)>,
}

/// The side that compares and fetches; the other side is `record_server`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CatchUp {
    comparison: Option<Comparison>,
    next_comparison: Micros,
    last_serial: u64,
    budget: ByteBudget,
    /// The member of the last comparison, so that the next is with another one.
    last_member: MemberIndex,
}

impl CatchUp {
    /// The first comparison is due at once.
    pub fn new(now: Micros) -> Self {
        CatchUp {
            comparison: None,
            next_comparison: now,
            last_serial: 0,
            budget: ByteBudget::new(now),
            last_member: 0,
        }
    }

    /// When a comparison has to be begun, continued or given up.
    pub fn next_due(&self) -> Micros {
        match &self.comparison {
            None => self.next_comparison,
            Some(c) => c.next_request.unwrap_or(c.deadline).min(c.deadline),
        }
    }

    /// Leaves known to differ from the member that is compared with now.
    pub fn differing_leaves(&self) -> usize {
        let comparison = self.comparison.as_ref();
        comparison.map_or(0, |c| c.differing.len() + c.requested.len())
    }

    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        if let Some(c) = &self.comparison {
            if cx.now >= c.deadline {
                // Symptom: the connection was cut in the middle. Another member is asked.
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

    /// The member to compare with: during recovery, one that was not compared with yet.
    fn next_member(&self, cx: &Context<'_>) -> Option<MemberIndex> {
        let recovery = cx.member.recovery();
        let is_recovered = recovery.memory() == RecoveryState::Complete;
        let candidates = cx.member.group().others().filter(|m| {
            cx.member.is_alive(*m) && (is_recovered || !recovery.has_compared_with(*m))
        });
        candidates.min_by_key(|m| (*m <= self.last_member, *m))
    }

    fn compare(&mut self, cx: &mut Context<'_>) {
        let settings = cx.member.settings();
        let interval = match cx.member.memory() {
            RecoveryState::Complete => settings.comparison_interval,
            _ => settings.resend_interval,
        };
        // Spread, so that the members of a group do not all compare at once.
        let spread =
            hashed((settings.seed, self.last_serial)) % (interval.max(1) as u64 / 4).max(1);
        let deadline = cx.now.saturating_add(settings.comparison_timeout);
        self.next_comparison = cx
            .now
            .saturating_add(interval)
            .saturating_add(spread as Micros);
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

    /// Another member has answered with the digests of groups that differ. `your_process`: which process it takes this one for.
    pub(crate) fn on_differing_groups(
        &mut self,
        cx: &mut Context<'_>,
        from: MemberIndex,
        serial: u64,
        memory: RecoveryState,
        your_process: u32,
        groups: &BTreeMap<Leaf, Vec<u64>>,
    ) {
        let comparison = self.comparison.as_mut();
        let Some(c) = comparison.filter(|c| c.is_answered_by(from, serial)) else {
            return;
        };
        c.answer = Some((memory, your_process == cx.member.process()));
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
            // The next comparison follows at once, as long as recovery needs one.
            if let Some((memory, true)) = c.answer
                && !c.is_incomplete
                && recovery::on_compared(cx, c.with, memory)
            {
                self.next_comparison = cx.now;
            }
            return;
        }
        // Symptom: a batch that arrives twice is taken for the next one, which is never requested again.
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

    /// A batch of records has arrived and was taken in.
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
