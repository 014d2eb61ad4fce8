//! What a client's own retry with the same token gets. The core asks [`Tokens::seen`] for each invocation that bears a
//! token, and tells what began and how it ended. It holds for all fronts alike: a token is known by its account,
//! trigger type and function, wherever it came in.
//!
//! Mechanisms:
//! 1. While the first one is out, a retry joins it: no second dispatch, the same answer.
//! 2. A success is remembered for the workers' window; within it a retry gets that answer. What did not succeed
//!    is not remembered: a retry may try again, under the rules.
//! 3. What is remembered is bounded in number and bytes; the oldest goes first, and the workers still drop repeats.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use cedarpulley::interface::Micros;

use crate::Answer;
use crate::claims::ClaimIndex;

/// Answers remembered at most; with their bodies no more than so many bytes.
const MOST: usize = 20_000;
const MOST_BYTES: usize = 32 << 20;
/// Beside the body: key and places in the tables.
const EACH: usize = 256;

pub type Key = Arc<str>;

#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    Nothing,
    Out(ClaimIndex),
    Answered(Answer),
}

#[derive(Debug, Default)]
pub struct Tokens {
    out: HashMap<Key, ClaimIndex>,
    answered: HashMap<Key, (Answer, Micros)>,
    order: VecDeque<(Micros, Key)>,
    bytes: usize,
    /// Forgotten before its time, for want of room.
    pub forgotten: u64,
}

pub fn key(account: u32, trigger: u32, function: &str, token: &str) -> Key {
    Arc::from(format!("{account}\n{trigger}\n{function}\n{token}"))
}

impl Tokens {
    pub fn seen(&mut self, now: Micros, key: &str) -> Seen {
        if let Some(&claim) = self.out.get(key) {
            return Seen::Out(claim);
        }
        match self.answered.get(key) {
            Some((answer, until)) if *until > now => Seen::Answered(answer.clone()),
            _ => Seen::Nothing,
        }
    }

    pub fn began(&mut self, key: Key, claim: ClaimIndex) {
        self.out.insert(key, claim);
    }

    /// It is over; what is given is remembered until then.
    pub fn ended(&mut self, now: Micros, key: &Key, remember: Option<(Answer, Micros)>) {
        self.out.remove(key);
        if let Some((answer, until)) = remember {
            self.bytes += answer.body.len() + EACH;
            self.order.push_back((until, key.clone()));
            if let Some((old, _)) = self.answered.insert(key.clone(), (answer, until)) {
                self.bytes -= old.body.len() + EACH;
            }
        }
        while let Some((until, _)) = self.order.front() {
            let full = self.answered.len() > MOST || self.bytes > MOST_BYTES;
            if *until > now && !full {
                break;
            }
            self.forgotten += u64::from(*until > now);
            // A later answer to the same key has a place in the order of its own.
            if let Some((until, key)) = self.order.pop_front()
                && self.answered.get(&key).is_some_and(|(_, u)| *u == until)
                && let Some((answer, _)) = self.answered.remove(&key)
            {
                self.bytes -= answer.body.len() + EACH;
            }
        }
    }
}
