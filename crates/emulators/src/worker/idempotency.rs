//! Idempotency keys that a group of workers remembers. A repeated invocation is answered without a second execution.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::lock;

/// The body of an answer, stored for repeated invocations.
#[derive(Clone)]
pub(super) struct StoredAnswer {
    pub(super) body: Bytes,
    /// Length in bytes of the leading JSON if raw tensors follow it.
    pub(super) json_length: Option<usize>,
}

struct KeyRecord {
    seen: Instant,
    /// Absent until the first execution has ended.
    answer: Option<StoredAnswer>,
}

/// Idempotency keys shared by a group of workers.
#[derive(Clone, Default)]
pub struct IdempotencyStore(Arc<Mutex<HashMap<String, KeyRecord>>>);

/// State of an idempotency key.
pub(super) enum KeyStatus {
    Unknown,
    Executing,
    Answered(StoredAnswer),
}

impl IdempotencyStore {
    /// Records a key; returns nothing if the key is already known within the window.
    pub(super) fn reserve(&self, key: &str, window: Duration) -> Option<KeyReservation> {
        let mut keys = lock(&self.0);
        keys.retain(|_, record| record.seen.elapsed() < window);
        if keys.contains_key(key) {
            return None;
        }
        let record = KeyRecord {
            seen: Instant::now(),
            answer: None,
        };
        keys.insert(key.to_owned(), record);
        Some(KeyReservation {
            keys: self.clone(),
            key: key.to_owned(),
            executed: false,
        })
    }

    pub(super) fn status(&self, key: &str, window: Duration) -> KeyStatus {
        match lock(&self.0).get(key) {
            Some(record) if record.seen.elapsed() < window => record
                .answer
                .clone()
                .map_or(KeyStatus::Executing, KeyStatus::Answered),
            _ => KeyStatus::Unknown,
        }
    }

    pub(super) fn store_answer(&self, key: &str, answer: &StoredAnswer) {
        if let Some(record) = lock(&self.0).get_mut(key) {
            record.answer = Some(answer.clone());
        }
    }
}

/// A recorded key whose invocation has not started yet. If the reservation is dropped before the execution starts, the
/// key is removed, because nothing was executed.
pub(super) struct KeyReservation {
    keys: IdempotencyStore,
    key: String,
    executed: bool,
}

impl KeyReservation {
    /// Marks the execution as started, so that the key is kept.
    pub(super) fn keep(&mut self) {
        self.executed = true;
    }
}

impl Drop for KeyReservation {
    fn drop(&mut self) {
        if !self.executed {
            lock(&self.keys.0).remove(&self.key);
        }
    }
}
