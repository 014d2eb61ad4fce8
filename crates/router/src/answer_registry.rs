//! Which final answer was given to which message, until its front has delivered it: never a second one, never a different
//! one. The core reports to [`AnswerRegistry`] what was accepted, answered, delivered and lost; it says what is known of a
//! message that is delivered again.
//!
//! Mechanisms:
//! 1. One delivery of the message, and those that joined by their idempotency key, wait for an answer; all get the same
//!    one. Where a front loses its channel, its deliveries no longer wait; the same message delivered again takes their
//!    place.
//! 2. A record for which no delivery waits is forgotten when its client has given up, or, with too many of them, the one
//!    that expires first: what is delivered again is then judged by its effect alone.
//! 3. A given answer never changes; its record goes once its front reports that it was delivered.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use cedarpulley::interface::{InvocationIndex, Micros};

use crate::redelivery::PriorDelivery;
use crate::{Answer, Delivery, FinalOutcome, FrontIndex};

/// Records without a waiting delivery at most; each is a few hundred bytes. A message whose record was forgotten is only
/// treated more strictly.
const MAX_ORPHANS: usize = 10_000;

/// Deliveries that may wait for one answer.
const MAX_WAITERS: usize = 16;

/// Where an answer is registered; reused once its record was forgotten.
pub type AnswerSlot = u32;

#[derive(Debug)]
enum RecordState {
    /// The invocation has no answer yet.
    Open(InvocationIndex),
    /// The final answer.
    Given(Answer),
    /// The invocation ended while nobody could be answered.
    Ended { may_have_run: bool },
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    delivery: Delivery,
    /// Another message with the same idempotency key.
    joined: bool,
}

#[derive(Debug)]
struct AnswerRecord {
    identity: Option<Arc<str>>,
    /// The key under which the group of routers knows it.
    shared: Option<Arc<str>>,
    waiters: Vec<Waiter>,
    state: RecordState,
    expires_at: Micros,
}

/// What became of the invocations whose deliveries a front lost.
#[derive(Debug, Default)]
pub struct LostDeliveries {
    /// Open invocations for which no delivery waits any more.
    pub open: Vec<InvocationIndex>,
    /// Open invocations whose record was forgotten, as there were too many without a waiting delivery.
    pub forgotten: Vec<InvocationIndex>,
}

/// The answers given or owed, by message and by delivery.
#[derive(Debug)]
pub struct AnswerRegistry {
    max_orphans: usize,
    records: Vec<Option<AnswerRecord>>,
    free: Vec<AnswerSlot>,
    by_identity: HashMap<Arc<str>, AnswerSlot>,
    by_waiter: HashMap<Delivery, AnswerSlot>,
    /// Records without a waiting delivery, by expiry.
    orphans: BTreeSet<(Micros, AnswerSlot)>,
    /// Records forgotten before their expiry, as there were too many.
    pub forgotten: u64,
}

impl Default for AnswerRegistry {
    fn default() -> Self {
        AnswerRegistry::bounded(MAX_ORPHANS)
    }
}

impl AnswerRegistry {
    /// A registry with at most so many records without a waiting delivery.
    pub fn bounded(max_orphans: usize) -> Self {
        AnswerRegistry {
            max_orphans,
            records: Vec::new(),
            free: Vec::new(),
            by_identity: HashMap::new(),
            by_waiter: HashMap::new(),
            orphans: BTreeSet::new(),
            forgotten: 0,
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len() - self.free.len()
    }

    /// There is no record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of deliveries whose answer is owed, or given and not known to be delivered.
    pub fn undelivered(&self) -> usize {
        self.by_waiter.len()
    }

    /// What this router knows of a message, and its record.
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

    /// Opens the record of a new invocation. `identity`: of its message, if it has one; an older record of the same message
    /// is forgotten. `expires_at`: when its client gives up.
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
            shared: None,
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

    /// The invocation, while it has no answer.
    pub fn invocation(&self, slot: AnswerSlot) -> Option<InvocationIndex> {
        match self.records.get(slot as usize)?.as_ref()?.state {
            RecordState::Open(index) => Some(index),
            _ => None,
        }
    }

    /// The same message is delivered again and waits for the answer. False if an earlier delivery of it still waits: then
    /// the message was published twice, and the one answer goes to the first.
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
        self.orphans.remove(&(record.expires_at, slot));
        self.by_waiter.insert(waiter, slot);
        true
    }

    /// Another message with the same idempotency key waits for the same answer. False if too many do already.
    pub fn join(&mut self, slot: AnswerSlot, waiter: Delivery) -> bool {
        let record = self.records.get_mut(slot as usize).and_then(Option::as_mut);
        let Some(record) = record.filter(|record| record.waiters.len() < MAX_WAITERS) else {
            return false;
        };
        record.waiters.push(Waiter {
            delivery: waiter,
            joined: true,
        });
        self.orphans.remove(&(record.expires_at, slot));
        self.by_waiter.insert(waiter, slot);
        true
    }

    /// Whether this delivery waits for an answer that was not given yet.
    pub fn is_waiting(&self, delivery: Delivery) -> bool {
        self.by_waiter
            .get(&delivery)
            .is_some_and(|&slot| self.invocation(slot).is_some())
    }

    /// This delivery waits no more. The record it waited for, and whether no other delivery waits for that now.
    pub fn remove_waiter(&mut self, delivery: Delivery) -> Option<(AnswerSlot, bool)> {
        let slot = self.by_waiter.remove(&delivery)?;
        let record = self.records.get_mut(slot as usize)?.as_mut()?;
        record.waiters.retain(|waiter| waiter.delivery != delivery);
        Some((slot, record.waiters.is_empty()))
    }

    /// The answer that was given, if one was.
    pub fn answer(&self, slot: AnswerSlot) -> Option<&Answer> {
        match &self.records.get(slot as usize)?.as_ref()?.state {
            RecordState::Given(answer) => Some(answer),
            _ => None,
        }
    }

    /// It was answered as not run, and no delivery is left to hear that: another router may have accepted it since.
    pub fn was_retracted(&self, slot: AnswerSlot) -> bool {
        let record = self.records.get(slot as usize).and_then(Option::as_ref);
        record.is_some_and(|record| match &record.state {
            RecordState::Given(answer) => {
                record.waiters.is_empty() && answer.outcome == FinalOutcome::Throttled
            }
            _ => false,
        })
    }

    /// Registers the final answer, and returns the deliveries to send it to. A later answer has no effect.
    pub fn give(&mut self, slot: AnswerSlot, answer: &Answer) -> Vec<Delivery> {
        match self.records.get_mut(slot as usize) {
            Some(Some(record)) if matches!(record.state, RecordState::Open(_)) => {
                record.state = RecordState::Given(answer.clone());
                record
                    .waiters
                    .iter()
                    .map(|waiter| waiter.delivery)
                    .collect()
            }
            _ => Vec::new(),
        }
    }

    /// The invocation ended while nobody could be answered, and without an answer to retain.
    pub fn end(&mut self, slot: AnswerSlot, may_have_run: bool) {
        if let Some(Some(record)) = self.records.get_mut(slot as usize) {
            record.state = RecordState::Ended { may_have_run };
        }
    }

    /// The group of routers knows it under this key.
    pub fn share(&mut self, slot: AnswerSlot, key: Arc<str>) {
        if let Some(Some(record)) = self.records.get_mut(slot as usize) {
            record.shared = Some(key);
        }
    }

    /// The front has delivered the answer: the message cannot be delivered again. The key under which the group knows it, if
    /// no other delivery waits.
    pub fn delivered(&mut self, delivery: Delivery) -> Option<Arc<str>> {
        let (slot, last) = self.remove_waiter(delivery)?;
        let shared = self
            .records
            .get_mut(slot as usize)
            .and_then(Option::as_mut)
            .and_then(|record| record.shared.take());
        if last {
            self.forget(slot);
        }
        shared.filter(|_| last)
    }

    /// A front lost its channel: its deliveries no longer wait, until their messages are delivered again.
    pub fn front_lost(&mut self, front: FrontIndex) -> LostDeliveries {
        let mut invocations = LostDeliveries::default();
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
            if lost.is_empty() || !record.waiters.is_empty() {
                continue;
            }
            self.orphans.insert((record.expires_at, slot));
            if let RecordState::Open(index) = record.state {
                invocations.open.push(index);
            }
        }
        while self.orphans.len() > self.max_orphans
            && let Some(&(_, slot)) = self.orphans.first()
        {
            self.forgotten += 1;
            invocations.forgotten.extend(self.invocation(slot));
            self.forget(slot);
        }
        invocations
    }

    /// Forgets the records whose clients have given up.
    pub fn expire(&mut self, now: Micros) {
        while let Some(&(expires_at, slot)) = self.orphans.first()
            && expires_at <= now
        {
            self.forget(slot);
        }
    }

    /// Forgets a record, with all who wait for its answer.
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
        self.orphans.remove(&(record.expires_at, slot));
        self.free.push(slot);
    }
}
