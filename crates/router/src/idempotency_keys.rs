//! Answers a client's own retry that has the same idempotency key as an earlier invocation. The core looks up the key of
//! each invocation with [`IdempotencyKeys::status`], and reports the start and the end of each invocation with a key.
//! A key is valid for one account, trigger type and function, and is shared by all fronts.
//!
//! Mechanisms:
//! 1. While the first invocation is open, a retry joins it: there is no second dispatch, and both get the same answer.
//! 2. The answer of a success is cached for the workers' deduplication window, and a retry within the window gets it.
//!    Other outcomes are not cached: a retry may run again, under the safety rules.
//! 3. An invocation that may have run and that workers would not recognise when it is repeated leaves its key behind for
//!    [`RETENTION`], whether it failed or its client has left: until then a retry is refused.
//! 4. The cache is limited in the number of answers and in bytes. The oldest answer is evicted first; its key is then
//!    retained by rule 3, unless all workers drop repeats of its invocation.
//! 5. No key of rule 3 is forgotten before its time, however many others come. They take limited memory, which is reserved
//!    when an invocation is accepted; once it is full, no further invocation is accepted that would leave its key behind.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use cedarpulley::interface::Micros;
use cedarpulley::table_size::TableSize;

use crate::Answer;
use crate::answer_registry::AnswerSlot;

/// Time for which the key of an invocation that may have run is retained, in microseconds.
pub const RETENTION: Micros = 60_000_000;
/// Maximum number of cached answers.
const MAX_ANSWERS: usize = 20_000;
/// Maximum total size of the cached answers with their bodies if no other is given, in bytes.
const DEFAULT_MAX_BYTES: usize = 32 << 20;
/// Memory of a retained key in both tables beside its text, in bytes; they grow by doubling.
const RETAINED_KEY_BYTES: usize = 160;
/// Estimated size of a cached answer without its key and body, in bytes: the entries in the tables.
const ENTRY_OVERHEAD_BYTES: usize = 256;

/// An idempotency key together with its account, trigger type and function, see [`key`].
pub type Key = Arc<str>;

/// What this router knows about an idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyStatus {
    /// The key is not known: the invocation may run.
    Unknown,
    /// An invocation with this key is open; its answer is registered in this slot.
    InFlight(AnswerSlot),
    /// An invocation with this key succeeded with this answer.
    Answered(Answer),
    /// An invocation with this key may have run, and must not run again.
    MayHaveRun,
}

/// What the key of an invocation proves once the invocation may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyUse {
    /// Workers drop repeats, so that a retry may run.
    Repeatable,
    /// A retry must not run.
    RunsOnce,
}

/// The key of an open invocation.
#[derive(Debug)]
struct OpenKey {
    slot: AnswerSlot,
    key_use: KeyUse,
}

#[derive(Debug)]
struct CachedAnswer {
    answer: Answer,
    expires_at: Micros,
    key_use: KeyUse,
}

/// Size of a cached answer in bytes, which counts against the limit.
fn size_of_entry(key: &Key, cached: &CachedAnswer) -> usize {
    key.len() + cached.answer.body.len() + ENTRY_OVERHEAD_BYTES
}

/// Memory of a key that is retained, in bytes.
fn size_of_key(key: &str) -> usize {
    key.len() + RETAINED_KEY_BYTES
}

/// Holds the keys of open invocations and of those that may have run, and the cached answers of those that succeeded.
#[derive(Debug)]
pub struct IdempotencyKeys {
    in_flight: HashMap<Key, OpenKey>,
    /// The keys of invocations that may have run, and until when they are retained.
    may_have_run: HashMap<Key, Micros>,
    /// The same, in the order in which their time ends.
    retained: VecDeque<(Micros, Key)>,
    /// Memory of the retained keys, and of those of open invocations that may leave theirs behind, in bytes.
    key_bytes: usize,
    answers: HashMap<Key, CachedAnswer>,
    /// Expiry and key of each cached answer, in the order in which they were cached.
    eviction_order: VecDeque<(Micros, Key)>,
    /// Total size of the cached answers, in bytes.
    bytes: usize,
    max_bytes: usize,
    /// Number of answers evicted before their expiry because the cache was full.
    pub evicted: u64,
}

/// Combines a client's idempotency key with the account, trigger type and function of the invocation.
pub fn key(account: u32, trigger: u32, function: &str, idempotency_key: &str) -> Key {
    Arc::from(format!(
        "{account}\n{trigger}\n{function}\n{idempotency_key}"
    ))
}

impl Default for IdempotencyKeys {
    fn default() -> Self {
        IdempotencyKeys::bounded(DEFAULT_MAX_BYTES)
    }
}

impl IdempotencyKeys {
    /// Caches answers of this total size at most, and as many bytes of keys that may have run.
    pub fn bounded(max_bytes: usize) -> Self {
        IdempotencyKeys {
            in_flight: HashMap::new(),
            may_have_run: HashMap::new(),
            retained: VecDeque::new(),
            key_bytes: 0,
            answers: HashMap::new(),
            eviction_order: VecDeque::new(),
            bytes: 0,
            max_bytes,
            evicted: 0,
        }
    }

    /// The size of the cached answers.
    pub fn size(&self) -> TableSize {
        TableSize {
            name: "cached answers",
            entries: self.answers.len(),
            bytes: self.bytes,
        }
    }

    /// The size of the keys that may have run, with those of open invocations that may leave theirs behind.
    pub fn size_of_keys(&self) -> TableSize {
        TableSize {
            name: "idempotency keys",
            entries: self.may_have_run.len(),
            bytes: self.key_bytes,
        }
    }

    /// Returns what is known about the key of a new invocation.
    pub fn status(&self, now: Micros, key: &str) -> KeyStatus {
        if let Some(open) = self.in_flight.get(key) {
            return KeyStatus::InFlight(open.slot);
        }
        if let Some(cached) = self.answers.get(key)
            && cached.expires_at > now
        {
            return KeyStatus::Answered(cached.answer.clone());
        }
        match self.may_have_run.get(key) {
            Some(until) if *until > now => KeyStatus::MayHaveRun,
            _ => KeyStatus::Unknown,
        }
    }

    /// Whether an invocation with this key may be accepted: there is memory for what it may leave behind.
    pub fn has_room_for(&mut self, now: Micros, key: &str, key_use: KeyUse) -> bool {
        self.forget_keys(now);
        key_use == KeyUse::Repeatable || self.key_bytes + size_of_key(key) <= self.max_bytes
    }

    /// Records that an invocation with this key was accepted. `slot`: where its answer is registered.
    pub fn started(&mut self, key: Key, slot: AnswerSlot, key_use: KeyUse) {
        if key_use == KeyUse::RunsOnce {
            self.key_bytes += size_of_key(&key);
        }
        if let Some(replaced) = self
            .in_flight
            .insert(key.clone(), OpenKey { slot, key_use })
        {
            self.release(&key, &replaced);
        }
    }

    /// Records that the invocation with this key ended without an answer to cache.
    pub fn ended(&mut self, now: Micros, key: &Key) {
        self.close(key);
        self.evict(now);
    }

    /// Records that the invocation with this key succeeded, and caches its answer until `expires_at`.
    pub fn succeeded(&mut self, now: Micros, key: &Key, answer: Answer, expires_at: Micros) {
        let open = self.in_flight.get(key);
        let cached = CachedAnswer {
            answer,
            expires_at,
            key_use: open.map_or(KeyUse::Repeatable, |open| open.key_use),
        };
        self.close(key);
        self.cache(now, key, cached);
    }

    /// Records that the invocation with this key ended and may have run, so that no other one with it may run.
    /// Its answer, if it has succeeded, stays cached.
    pub fn may_have_run(&mut self, now: Micros, key: &Key) {
        self.ended(now, key);
        let is_answered = |cached: &CachedAnswer| cached.expires_at > now;
        if !self.answers.get(key).is_some_and(is_answered) {
            self.retain(now, key);
        }
    }

    /// Removes the key of an open invocation.
    fn close(&mut self, key: &Key) {
        if let Some(open) = self.in_flight.remove(key) {
            self.release(key, &open);
        }
    }

    fn release(&mut self, key: &Key, open: &OpenKey) {
        if open.key_use == KeyUse::RunsOnce {
            self.key_bytes -= size_of_key(key);
        }
    }

    fn retain(&mut self, now: Micros, key: &Key) {
        let until = now + RETENTION;
        self.key_bytes += size_of_key(key);
        self.retained.push_back((until, key.clone()));
        self.may_have_run.insert(key.clone(), until);
    }

    /// Forgets the keys whose time has ended.
    fn forget_keys(&mut self, now: Micros) {
        while let Some((_, key)) = self.retained.pop_front_if(|(until, _)| *until <= now) {
            self.key_bytes -= size_of_key(&key);
            // A key that was retained again has a later entry of its own.
            if self
                .may_have_run
                .get(&key)
                .is_some_and(|until| *until <= now)
            {
                self.may_have_run.remove(&key);
            }
        }
    }

    fn cache(&mut self, now: Micros, key: &Key, cached: CachedAnswer) {
        let expires_at = cached.expires_at;
        self.bytes += size_of_entry(key, &cached);
        self.eviction_order.push_back((expires_at, key.clone()));
        if let Some(replaced) = self.answers.insert(key.clone(), cached) {
            self.bytes -= size_of_entry(key, &replaced);
        }
        self.evict(now);
    }

    /// Removes expired answers, and the oldest answers while the cache exceeds its limits.
    fn evict(&mut self, now: Micros) {
        while let Some((expires_at, _)) = self.eviction_order.front() {
            let full = self.answers.len() > MAX_ANSWERS || self.bytes > self.max_bytes;
            if *expires_at > now && !full {
                break;
            }
            self.evicted += u64::from(*expires_at > now);
            // If the answer was replaced by a later one for the same key, the later one has its own entry in the
            // eviction order.
            if let Some((expires_at, key)) = self.eviction_order.pop_front()
                && self
                    .answers
                    .get(&key)
                    .is_some_and(|cached| cached.expires_at == expires_at)
                && let Some(evicted) = self.answers.remove(&key)
            {
                self.bytes -= size_of_entry(&key, &evicted);
                if expires_at > now && evicted.key_use == KeyUse::RunsOnce {
                    self.retain(now, &key);
                }
            }
        }
    }
}
