//! What a member that started anew may do. It stores and serves from the start; it votes only once it remembers enough.
//!
//! Mechanisms:
//! 1. Whoever held something with a majority has it at one of these besides this one, so it has caught up once it
//!    compared with members that every majority meets, and each of them knew it as the process that it is now.
//! 2. Those must remember something themselves. If some of them had started anew as well, what none of them has may be
//!    lost: it is marked doubtful, and no longer proves anything by its absence.
//! 3. Where they cannot be reached, whatever it may have forgotten is over after the time for which things are kept.

use std::collections::BTreeMap;

use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use crate::record::Record;
use crate::replica::{DRIFT_PART, Guard, Output, Replica};
use crate::store::Key;
use crate::wire::Memory;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Returning {
    since: Micros,
    memory: Memory,
    /// With whom it has compared, and what that one remembered.
    compared: BTreeMap<MemberIndex, Memory>,
}

impl Returning {
    pub fn new(now: Micros, memory: Memory) -> Self {
        Returning {
            since: now,
            memory,
            compared: BTreeMap::new(),
        }
    }

    pub fn memory(&self) -> Memory {
        self.memory
    }

    pub fn compared(&self) -> impl Iterator<Item = MemberIndex> + '_ {
        self.compared.keys().copied()
    }

    pub fn next_due(&self, kept: Micros) -> Micros {
        match self.memory {
            Memory::Whole => Micros::MAX,
            _ => self
                .since
                .saturating_add(kept.saturating_add(kept / DRIFT_PART)),
        }
    }
}

impl Replica {
    pub(crate) fn return_by_time(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now >= self.returning.next_due(self.terms.kept) {
            self.becomes_whole(out);
        }
    }

    /// It has all that this member had. False if there is nobody else to compare with, or that one remembers nothing.
    pub(crate) fn compared_with(
        &mut self,
        now: Micros,
        member: MemberIndex,
        memory: Memory,
        out: &mut Vec<Output>,
    ) -> bool {
        if self.returning.memory == Memory::Whole || memory == Memory::Lost {
            return false;
        }
        self.returning.compared.insert(member, memory);
        let with = self.returning.compared.keys().copied().collect();
        if !self.group.meets_all(&with, self.group.me) {
            return true;
        }
        let all_had_gone = self
            .returning
            .compared
            .values()
            .any(|m| *m != Memory::Whole);
        if all_had_gone && !self.without(Guard::Doubt) {
            let open = |record: &Record| match record {
                Record::Effect(e) => !e.closed && e.answer.is_none() && !e.doubtful,
                _ => false,
            };
            let doubtful: Vec<Key> = self
                .store
                .all()
                .filter(|(_, s)| open(&s.record))
                .map(|(key, _)| key.clone())
                .collect();
            for key in doubtful {
                let Some(slot) = self.store.get(&key).cloned() else {
                    continue;
                };
                self.change(now, &key, slot, |slot| {
                    if let Record::Effect(e) = &mut slot.record {
                        e.doubtful = true;
                    }
                });
            }
        }
        self.becomes_whole(out);
        false
    }

    fn becomes_whole(&mut self, out: &mut Vec<Output>) {
        self.returning.memory = Memory::Whole;
        out.push(Output::Whole);
    }
}
