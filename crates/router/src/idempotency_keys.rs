//! What a client's own retry with the same idempotency key gets. The core asks [`IdempotencyKeys::status`] for each
//! invocation that has a key, and reports what started and how it ended. Keys hold for all fronts alike: one is
//! identified by its account, trigger type and function, whichever front it came through.
//!
//! Mechanisms:
//! 1. While the first invocation is open, a retry joins it: no second dispatch, the same answer.
//! 2. A success is cached for the workers' deduplication window; within it a retry gets that answer. Other outcomes
//!    are not cached: a retry may run again, under the safety rules.
//! 3. The cache is bounded in number and bytes; the oldest answer is evicted first, and the workers still drop
//!    repeats.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use cedarpulley::interface::Micros;

use crate::Answer;
use crate::answer_registry::AnswerSlot;

/// Answers cached at most.
const MAX_ANSWERS: usize = 20_000;
/// Size of the cached answers at most, with their bodies.
const MAX_BYTES: usize = 32 << 20;
/// Size of a cached answer beside its body: the key and the entries of the tables.
const ENTRY_OVERHEAD: usize = 256;

/// An idempotency key together with its account, trigger type and function, see [`key`].
pub type Key = Arc<str>;

/// What is known of an idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyStatus {
    /// Nothing: the invocation may run.
    Unknown,
    /// An invocation with this key is open.
    InFlight(AnswerSlot),
    /// An invocation with this key succeeded, with this answer.
    Answered(Answer),
}

#[derive(Debug)]
struct CachedAnswer {
    answer: Answer,
    expires_at: Micros,
}

impl CachedAnswer {
    fn size(&self) -> usize {
        self.answer.body.len() + ENTRY_OVERHEAD
    }
}

/// The keys of open invocations and the cached answers.
#[derive(Debug, Default)]
pub struct IdempotencyKeys {
    in_flight: HashMap<Key, AnswerSlot>,
    answers: HashMap<Key, CachedAnswer>,
    /// Expiry of each cached answer, in the order of caching.
    eviction_order: VecDeque<(Micros, Key)>,
    bytes: usize,
    /// Answers evicted before their expiry, as the cache was full.
    pub forgotten: u64,
}

/// The key under which an invocation is known.
pub fn key(account: u32, trigger: u32, function: &str, token: &str) -> Key {
    Arc::from(format!("{account}\n{trigger}\n{function}\n{token}"))
}

impl IdempotencyKeys {
    /// What a new invocation with this key gets.
    pub fn status(&self, now: Micros, key: &str) -> KeyStatus {
        if let Some(&slot) = self.in_flight.get(key) {
            return KeyStatus::InFlight(slot);
        }
        match self.answers.get(key) {
            Some(cached) if cached.expires_at > now => KeyStatus::Answered(cached.answer.clone()),
            _ => KeyStatus::Unknown,
        }
    }

    /// An invocation with this key was accepted.
    pub fn started(&mut self, key: Key, slot: AnswerSlot) {
        self.in_flight.insert(key, slot);
    }

    /// The invocation with this key is over without an answer to cache.
    pub fn ended(&mut self, now: Micros, key: &Key) {
        self.in_flight.remove(key);
        self.evict(now);
    }

    /// The invocation with this key succeeded; its answer is cached until `expires_at`.
    pub fn succeeded(&mut self, now: Micros, key: &Key, answer: Answer, expires_at: Micros) {
        self.in_flight.remove(key);
        let cached = CachedAnswer { answer, expires_at };
        self.bytes += cached.size();
        self.eviction_order.push_back((expires_at, key.clone()));
        if let Some(replaced) = self.answers.insert(key.clone(), cached) {
            self.bytes -= replaced.size();
        }
        self.evict(now);
    }

    /// Removes expired answers, and the oldest ones while the cache is full.
    fn evict(&mut self, now: Micros) {
        while let Some((expires_at, _)) = self.eviction_order.front() {
            let full = self.answers.len() > MAX_ANSWERS || self.bytes > MAX_BYTES;
            if *expires_at > now && !full {
                break;
            }
            self.forgotten += u64::from(*expires_at > now);
            // A later answer for the same key has its own entry in the eviction order.
            if let Some((expires_at, key)) = self.eviction_order.pop_front()
                && self
                    .answers
                    .get(&key)
                    .is_some_and(|cached| cached.expires_at == expires_at)
                && let Some(evicted) = self.answers.remove(&key)
            {
                self.bytes -= evicted.size();
            }
        }
    }
}
