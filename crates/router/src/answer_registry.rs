//! Stores the final answer of each message until its front has delivered it, so that no message gets a second or a
//! different answer. The core reports to [`AnswerRegistry`] which messages were accepted, answered, delivered or lost.
//! When a message is delivered again, the registry returns what is known about it.
//!
//! Mechanisms:
//! 1. One delivery of the message and the deliveries that joined it by their idempotency key wait for the answer; all of
//!    them get the same one. When a front loses its channel, its deliveries no longer wait. The same message, delivered
//!    again, takes their place.
//! 2. A record without a waiting delivery is removed when its client has given up. If there are too many such records,
//!    the one that expires first is evicted; if its message is delivered again, it is treated according to its effect
//!    alone.
//! 3. A given answer never changes. Its record is removed once the front reports that the answer was delivered.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use cedarpulley::interface::{InvocationIndex, Micros};
use cedarpulley::table_size::TableSize;

use crate::redelivery::PriorDelivery;
use crate::{Answer, Delivery, FinalOutcome, FrontIndex};

/// Maximum number of records without a waiting delivery. Forgetting a record is safe: its message is only treated more
/// strictly when it is delivered again.
const MAX_ORPHANS: usize = 10_000;
/// Estimated size of a record without its identity and the body of its answer, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 512;

/// Maximum number of deliveries that wait for one answer.
const MAX_WAITERS: usize = 16;

/// Index of the record of an answer; reused once the record was removed.
pub type AnswerSlot = u32;

/// What is known about the answer of a record.
#[derive(Debug)]
enum RecordState {
    /// The invocation has no answer yet.
    Open(InvocationIndex),
    /// The final answer was given.
    Given(Answer),
    /// The invocation ended without an answer to retain while no delivery waited for it.
    Ended { may_have_run: bool },
}

/// A delivery that waits for the answer of a record.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    delivery: Delivery,
    /// Whether it is a delivery of another message with the same idempotency key.
    joined: bool,
}

/// The answer of one invocation, given or owed.
#[derive(Debug)]
struct AnswerRecord {
    /// Identity of its message, if it has one.
    identity: Option<Arc<str>>,
    /// The key of its invocation in the group of routers, if it is shared with the group.
    group_key: Option<Arc<str>>,
    waiters: Vec<Waiter>,
    state: RecordState,
    /// When its client gives up.
    expires_at: Micros,
}

impl AnswerRecord {
    /// Estimated size, in bytes.
    fn bytes(&self) -> usize {
        let identity = self.identity.as_ref().map_or(0, |identity| identity.len());
        let body = match &self.state {
            RecordState::Given(answer) => answer.body.len(),
            _ => 0,
        };
        RECORD_OVERHEAD_BYTES + identity + body
    }
}

/// The open invocations affected by the loss of waiting deliveries.
#[derive(Debug, Default)]
pub struct LostDeliveries {
    /// Open invocations that lost their last waiting delivery.
    pub open: Vec<InvocationIndex>,
    /// Open invocations whose record was evicted, as there were too many records without a waiting delivery.
    pub evicted: Vec<InvocationIndex>,
}

/// The answers given or owed, by message and by delivery.
#[derive(Debug)]
pub struct AnswerRegistry {
    max_orphans: usize,
    max_orphan_bytes: usize,
    records: Vec<Option<AnswerRecord>>,
    free: Vec<AnswerSlot>,
    by_identity: HashMap<Arc<str>, AnswerSlot>,
    by_waiter: HashMap<Delivery, AnswerSlot>,
    /// The records whose last waiting delivery was lost with its front's channel or was overdue, by expiry.
    orphans: BTreeSet<(Micros, AnswerSlot)>,
    /// Size of the records in `orphans`, in bytes.
    orphan_bytes: usize,
    /// Number of records evicted before their expiry, as there were too many without a waiting delivery.
    pub evicted: u64,
}

impl Default for AnswerRegistry {
    fn default() -> Self {
        AnswerRegistry::bounded(MAX_ORPHANS, usize::MAX)
    }
}

impl AnswerRegistry {
    /// Creates a registry that retains records without a waiting delivery of this total size at most, in bytes.
    pub fn within_memory(max_orphan_bytes: usize) -> Self {
        AnswerRegistry::bounded(MAX_ORPHANS, max_orphan_bytes)
    }

    /// Creates a registry that retains at most `max_orphans` records without a waiting delivery, of at most
    /// `max_orphan_bytes` in total.
    pub fn bounded(max_orphans: usize, max_orphan_bytes: usize) -> Self {
        AnswerRegistry {
            max_orphans,
            max_orphan_bytes,
            records: Vec::new(),
            free: Vec::new(),
            by_identity: HashMap::new(),
            by_waiter: HashMap::new(),
            orphans: BTreeSet::new(),
            orphan_bytes: 0,
            evicted: 0,
        }
    }

    /// The size of the records without a waiting delivery.
    pub fn size(&self) -> TableSize {
        TableSize {
            name: "answers without a delivery",
            entries: self.orphans.len(),
            bytes: self.orphan_bytes,
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len() - self.free.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of deliveries whose answer was not given yet, or is not known to be delivered.
    pub fn undelivered(&self) -> usize {
        self.by_waiter.len()
    }

    /// Returns what this router knows about a message, and the record of its answer.
    pub fn lookup(&self, identity: Option<&str>) -> (PriorDelivery, Option<AnswerSlot>) {
        let Some(&slot) = identity.and_then(|identity| self.by_identity.get(identity)) else {
            return (PriorDelivery::Nothing, None);
        };
        let prior = match self.records[slot as usize]
            .as_ref()
            .map(|record| &record.state)
        {
            Some(RecordState::Open(_)) => PriorDelivery::Open,
            Some(RecordState::Given(_)) => PriorDelivery::Answered,
            Some(RecordState::Ended {
                may_have_run: false,
            }) => PriorDelivery::NeverRan,
            Some(RecordState::Ended { may_have_run: true }) => PriorDelivery::MayHaveRun,
            None => return (PriorDelivery::Nothing, None),
        };
        (prior, Some(slot))
    }

    /// Creates the record of a new invocation. `identity`: the identity of its message, if it has one; an older record of
    /// the same message is replaced. `expires_at`: when its client gives up.
    pub fn open(
        &mut self,
        identity: Option<Arc<str>>,
        waiter: Delivery,
        index: InvocationIndex,
        expires_at: Micros,
    ) -> AnswerSlot {
        if let Some(&slot) = identity
            .as_deref()
            .and_then(|identity| self.by_identity.get(identity))
        {
            self.forget(slot);
        }
        let waiters = vec![Waiter {
            delivery: waiter,
            joined: false,
        }];
        let record = AnswerRecord {
            identity: identity.clone(),
            group_key: None,
            waiters,
            state: RecordState::Open(index),
            expires_at,
        };
        let slot = self.free.pop().unwrap_or(self.records.len() as AnswerSlot);
        if slot as usize == self.records.len() {
            self.records.push(None);
        }
        self.records[slot as usize] = Some(record);
        if let Some(identity) = identity {
            self.by_identity.insert(identity, slot);
        }
        self.by_waiter.insert(waiter, slot);
        slot
    }

    /// The invocation of the record, while it is open.
    pub fn invocation(&self, slot: AnswerSlot) -> Option<InvocationIndex> {
        match self.records.get(slot as usize)?.as_ref()?.state {
            RecordState::Open(index) => Some(index),
            _ => None,
        }
    }

    /// Records that the same message was delivered again and waits for the answer. Returns false if an earlier delivery of
    /// the message still waits: then the message was published twice, and the only answer goes to the first delivery.
    pub fn rejoin(&mut self, slot: AnswerSlot, waiter: Delivery) -> bool {
        let Some(record) = self.records[slot as usize].as_mut() else {
            return false;
        };
        if record.waiters.iter().any(|waiter| !waiter.joined) {
            return false;
        }
        record.waiters.push(Waiter {
            delivery: waiter,
            joined: false,
        });
        self.adopt(slot);
        self.by_waiter.insert(waiter, slot);
        true
    }

    /// Records that another message with the same idempotency key waits for the same answer. Returns false if there is no
    /// record or too many deliveries already wait.
    pub fn join(&mut self, slot: AnswerSlot, waiter: Delivery) -> bool {
        let record = self.records.get_mut(slot as usize).and_then(Option::as_mut);
        let Some(record) = record.filter(|record| record.waiters.len() < MAX_WAITERS) else {
            return false;
        };
        record.waiters.push(Waiter {
            delivery: waiter,
            joined: true,
        });
        self.adopt(slot);
        self.by_waiter.insert(waiter, slot);
        true
    }

    /// Whether the delivery waits for an answer that was not given yet.
    pub fn is_waiting(&self, delivery: Delivery) -> bool {
        self.by_waiter
            .get(&delivery)
            .is_some_and(|&slot| self.invocation(slot).is_some())
    }

    /// Records that the delivery no longer waits. Returns the record for which it waited, and whether no other delivery
    /// waits for that record now.
    pub fn remove_waiter(&mut self, delivery: Delivery) -> Option<(AnswerSlot, bool)> {
        let slot = self.by_waiter.remove(&delivery)?;
        let record = self.records.get_mut(slot as usize)?.as_mut()?;
        record.waiters.retain(|waiter| waiter.delivery != delivery);
        Some((slot, record.waiters.is_empty()))
    }

    /// The answer that was given, if any.
    pub fn answer(&self, slot: AnswerSlot) -> Option<&Answer> {
        match &self.records.get(slot as usize)?.as_ref()?.state {
            RecordState::Given(answer) => Some(answer),
            _ => None,
        }
    }

    /// Whether the invocation was answered as not run, but no delivery waits to receive that answer. Another router may
    /// have accepted its message since.
    pub fn was_retracted(&self, slot: AnswerSlot) -> bool {
        let record = self.records.get(slot as usize).and_then(Option::as_ref);
        record.is_some_and(|record| match &record.state {
            RecordState::Given(answer) => {
                record.waiters.is_empty() && answer.outcome == FinalOutcome::Throttled
            }
            _ => false,
        })
    }

    /// Registers the final answer, and returns the deliveries to which it must be sent. Any later answer is ignored.
    pub fn give(&mut self, slot: AnswerSlot, answer: &Answer) -> Vec<Delivery> {
        match self.records.get_mut(slot as usize) {
            Some(Some(record)) if matches!(record.state, RecordState::Open(_)) => {
                record.state = RecordState::Given(answer.clone());
                let waiters = record.waiters.iter();
                let waiting = waiters.map(|waiter| waiter.delivery).collect();
                if self.orphans.contains(&(record.expires_at, slot)) {
                    self.orphan_bytes += answer.body.len();
                    self.evict_answered_orphans();
                }
                waiting
            }
            _ => Vec::new(),
        }
    }

    /// Records that the invocation ended without an answer to retain, while no delivery waited for it.
    pub fn end(&mut self, slot: AnswerSlot, may_have_run: bool) {
        if let Some(Some(record)) = self.records.get_mut(slot as usize) {
            let before = record.bytes();
            record.state = RecordState::Ended { may_have_run };
            if self.orphans.contains(&(record.expires_at, slot)) {
                self.orphan_bytes -= before - record.bytes();
            }
        }
    }

    /// Records the key of the invocation in the group of routers.
    pub fn share(&mut self, slot: AnswerSlot, key: Arc<str>) {
        if let Some(Some(record)) = self.records.get_mut(slot as usize) {
            record.group_key = Some(key);
        }
    }

    /// Records that the front delivered the answer, so that the message cannot be delivered again. If no other delivery
    /// waits, the record is removed, and the key of the invocation in the group of routers is returned.
    pub fn delivered(&mut self, delivery: Delivery) -> Option<Arc<str>> {
        let (slot, true) = self.remove_waiter(delivery)? else {
            return None;
        };
        let record = self.records.get_mut(slot as usize)?.as_mut()?;
        let group_key = record.group_key.take();
        self.forget(slot);
        group_key
    }

    /// Records that a delivery that joined the record does not wait any longer, as its answer is due. If no other delivery
    /// waits, the record is retained until its client gives up, as after the loss of a front's channel.
    pub fn joined_answer_overdue(&mut self, delivery: Delivery) -> LostDeliveries {
        let mut result = LostDeliveries::default();
        if let Some((slot, true)) = self.remove_waiter(delivery) {
            self.orphan(slot, &mut result);
            self.evict_orphans(&mut result);
        }
        result
    }

    /// Retains a record without a waiting delivery until its client gives up.
    fn orphan(&mut self, slot: AnswerSlot, result: &mut LostDeliveries) {
        let Some(Some(record)) = self.records.get(slot as usize) else {
            return;
        };
        if self.orphans.insert((record.expires_at, slot)) {
            self.orphan_bytes += record.bytes();
        }
        if let RecordState::Open(index) = record.state {
            result.open.push(index);
        }
    }

    /// Records that a delivery waits again.
    fn adopt(&mut self, slot: AnswerSlot) {
        let Some(Some(record)) = self.records.get(slot as usize) else {
            return;
        };
        if self.orphans.remove(&(record.expires_at, slot)) {
            self.orphan_bytes -= record.bytes();
        }
    }

    fn has_too_many_orphans(&self) -> bool {
        self.orphans.len() > self.max_orphans || self.orphan_bytes > self.max_orphan_bytes
    }

    /// Forgets answered records without a waiting delivery while the limits are exceeded, those first that expire first.
    fn evict_answered_orphans(&mut self) {
        while self.has_too_many_orphans() {
            let is_answered = |slot: AnswerSlot| self.answer(slot).is_some();
            let mut orphans = self.orphans.iter();
            let Some(&(_, slot)) = orphans.find(|(_, slot)| is_answered(*slot)) else {
                return;
            };
            self.evicted += 1;
            self.forget(slot);
        }
    }

    /// Forgets records without a waiting delivery that exceed the limits, those first that expire first.
    fn evict_orphans(&mut self, result: &mut LostDeliveries) {
        while self.has_too_many_orphans()
            && let Some(&(_, slot)) = self.orphans.first()
        {
            self.evicted += 1;
            result.evicted.extend(self.invocation(slot));
            self.forget(slot);
        }
    }

    /// Records that a front lost its channel: its deliveries no longer wait. Their messages may be delivered again.
    pub fn front_lost(&mut self, front: FrontIndex) -> LostDeliveries {
        let mut result = LostDeliveries::default();
        let mut without_waiters = Vec::new();
        for (record, slot) in self.records.iter_mut().zip(0..) {
            let Some(record) = record else { continue };
            let lost: Vec<Delivery> = record
                .waiters
                .extract_if(.., |waiter| waiter.delivery.front == front)
                .map(|waiter| waiter.delivery)
                .collect();
            lost.iter().for_each(|delivery| {
                self.by_waiter.remove(delivery);
            });
            if !lost.is_empty() && record.waiters.is_empty() {
                without_waiters.push(slot);
            }
        }
        for slot in without_waiters {
            self.orphan(slot, &mut result);
        }
        self.evict_orphans(&mut result);
        result
    }

    /// Forgets the records without a waiting delivery whose clients have given up.
    pub fn expire(&mut self, now: Micros) {
        while let Some(&(expires_at, slot)) = self.orphans.first()
            && expires_at <= now
        {
            self.forget(slot);
        }
    }

    /// Forgets a record and all deliveries that wait for its answer.
    pub fn forget(&mut self, slot: AnswerSlot) {
        let Some(record) = self.records.get_mut(slot as usize).and_then(Option::take) else {
            return;
        };
        if let Some(identity) = &record.identity
            && self.by_identity.get(identity) == Some(&slot)
        {
            self.by_identity.remove(identity);
        }
        record.waiters.iter().for_each(|waiter| {
            self.by_waiter.remove(&waiter.delivery);
        });
        if self.orphans.remove(&(record.expires_at, slot)) {
            self.orphan_bytes -= record.bytes();
        }
        self.free.push(slot);
    }
}
