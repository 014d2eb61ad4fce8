//! The serving side of anti-entropy: compares digests with other members that catch up, and sends them batches of
//! records at a bounded rate.

use std::collections::{BTreeMap, VecDeque};

use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use crate::byte_budget::ByteBudget;
use crate::catch_up::{MAX_LEAVES_PER_REQUEST, record_size};
use crate::context::Context;
use crate::store::{GROUPS, Key, Leaf, RecordCopy, Store, StoredRecord};
use crate::wire::Message;

/// A batch of records ends once it has reached this size: small compared with what a link carries in a round trip.
const BATCH_BYTES: usize = 48 << 10;
/// The maximum number of waiting requests. Further requests are dropped; their senders send them again.
const MAX_WAITING_REQUESTS: usize = 64;

/// The entries of a leaf that a member has: the hash of each key, with the digest of its record.
type Entries = BTreeMap<u64, u64>;

/// Another member's request for records.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RecordRequest {
    pub(crate) from: MemberIndex,
    pub(crate) serial: u64,
    /// Each leaf with the entries that the requesting member has, which are left out of the answer. Without entries,
    /// all records of the leaf are sent.
    pub(crate) leaves: Vec<(Leaf, Option<Entries>)>,
    /// The answer continues after this record.
    pub(crate) after: Option<(Leaf, Key)>,
}

/// The records that answer a request.
struct Batch {
    records: Vec<(Key, RecordCopy)>,
    bytes: usize,
    /// The last record of this batch, if there are more to send.
    more: Option<(Leaf, Key)>,
}

impl RecordRequest {
    fn collect(&self, now: Micros, store: &Store) -> Batch {
        let mut batch = Batch {
            records: Vec::new(),
            bytes: 0,
            more: None,
        };
        for (leaf, entries) in &self.leaves {
            if self.after.as_ref().is_some_and(|(first, _)| leaf < first) {
                continue;
            }
            let after = self.after.as_ref().filter(|(first, _)| first == leaf);
            for (key, stored) in store.records_in_leaf(*leaf, after.map(|(_, key)| key)) {
                if is_listed(entries.as_ref(), key, stored) {
                    continue;
                }
                batch.bytes += record_size(key, &stored.record);
                batch.records.push((key.clone(), stored.to_copy(now)));
                if batch.bytes >= BATCH_BYTES {
                    batch.more = Some((*leaf, key.clone()));
                    return batch;
                }
            }
        }
        batch
    }
}

/// Whether the entries contain this record in the same state.
fn is_listed(entries: Option<&Entries>, key: &Key, stored: &StoredRecord) -> bool {
    entries.is_some_and(|entries| {
        let (hash, digest) = Store::entry(key, stored);
        entries.get(&hash) == Some(&digest)
    })
}

/// The waiting requests for records, and the byte budget for the answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RecordServer {
    budget: ByteBudget,
    waiting: VecDeque<RecordRequest>,
    /// The time at which the next batch is sent, if the budget is used up.
    next_batch: Micros,
}

impl RecordServer {
    pub(crate) fn new(now: Micros) -> Self {
        RecordServer {
            budget: ByteBudget::new(now),
            waiting: VecDeque::new(),
            next_batch: Micros::MAX,
        }
    }

    pub(crate) fn next_due(&self) -> Micros {
        self.next_batch
    }

    /// Answers a comparison with the leaf digests of the groups that differ.
    pub(crate) fn on_compare(
        &self,
        cx: &mut Context<'_>,
        from: MemberIndex,
        serial: u64,
        theirs: &[u64],
    ) {
        let store = cx.member.store();
        let ours = store.group_digests();
        if theirs.len() != ours.len() {
            cx.counts.malformed_comparisons += 1;
            return;
        }
        let differing = (0..GROUPS).filter(|g| ours[*g as usize] != theirs[*g as usize]);
        let message = Message::DifferingGroups {
            serial,
            memory: cx.member.recovery().reported_state(),
            your_process: cx.member.process_of(from),
            groups: differing.map(|g| (g, store.leaf_digests(g))).collect(),
        };
        cx.send(from, message);
    }

    /// Queues another member's request for records, and answers it if the budget permits.
    pub(crate) fn on_request(&mut self, cx: &mut Context<'_>, request: RecordRequest) {
        if self.waiting.len() >= MAX_WAITING_REQUESTS
            || request.leaves.len() > MAX_LEAVES_PER_REQUEST
        {
            cx.counts.fetch_requests_dropped += 1;
            return;
        }
        // A later request of the same member replaces its earlier request.
        self.waiting.retain(|waiting| waiting.from != request.from);
        self.waiting.push_back(request);
        if self.next_batch == Micros::MAX {
            self.send_batches(cx);
        }
    }

    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        if cx.now >= self.next_batch {
            self.next_batch = Micros::MAX;
            self.send_batches(cx);
        }
    }

    /// Sends one batch for each request, the oldest first, until the budget is used up.
    fn send_batches(&mut self, cx: &mut Context<'_>) {
        while let Some(request) = self.waiting.pop_front() {
            let batch = request.collect(cx.now, cx.member.store());
            let message = Message::FetchedRecords {
                serial: request.serial,
                records: batch.records,
                more: batch.more,
            };
            cx.send(request.from, message);
            let rate = cx.member.settings().catch_up_bytes_per_s;
            let next_batch = self.budget.take(cx.now, rate, batch.bytes);
            if next_batch > cx.now {
                self.next_batch = next_batch;
                return;
            }
        }
    }
}
