//! Finding and fetching what is lacking: one comparison at a time, with one other member, by digests of ranges of keys.
//! A member that has just started compares with one after the other; later ones make up for messages that were lost.
//!
//! Mechanisms:
//! 1. Digests of groups, then of the leaves of those that differ, then of the records of those leaves: what is the same
//!    is not sent, and the bytes go with what differs.
//! 2. With next to nothing here, the lists of records are left out and whole leaves are fetched, as a snapshot.
//! 3. What is fetched, here and for others, stays below a number of bytes a second; the next piece is asked for only
//!    after the last has been taken in. Nobody who serves waits for it.

use std::collections::{BTreeMap, VecDeque};

use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use crate::record::{Answered, Record};
use crate::replica::{Output, Replica, hashed};
use crate::store::{GROUPS, IN_GROUP, Joined, Key, Leaf, Shared, Slot, Store};
use crate::wire::{Memory, Message, short};

/// One piece of records; small against what a link carries in a round trip.
const PIECE_BYTES: usize = 48 << 10;
/// Leaves asked for at once.
const LEAVES_AT_ONCE: usize = 64;
/// With fewer records here than one for so many leaves that differ, there is next to nothing to list.
const SNAPSHOT_PART: usize = 4;
/// What is asked for by others and waits for its turn; one more is dropped, and asked for again.
const MOST_WAITING: usize = 64;
/// Bytes of a record beside its key and answer, about.
const EACH: usize = 64;
const EACH_SENDING: usize = 16;
/// So much of a second's bytes may go at once.
const BURST_PART: u64 = 8;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Session {
    with: MemberIndex,
    serial: u64,
    due: Micros,
    /// What the other one remembers, once it has answered, and whether it meant this process.
    memory: Option<(Memory, bool)>,
    leaves: VecDeque<Leaf>,
    snapshot: bool,
    /// Something of it could not be taken in: it was compared for nothing.
    lacks: bool,
    /// Asked for at present.
    asked: Vec<Leaf>,
    after: Option<(Leaf, Key)>,
    /// The next piece is asked for then.
    at: Option<Micros>,
}

/// Bytes that may go, and since when that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    left: i64,
    at: Micros,
}

impl Budget {
    /// When something may go next; it counts as gone.
    fn take(&mut self, now: Micros, a_second: u64, bytes: usize) -> Micros {
        let most = (a_second / BURST_PART) as i64;
        let come = (now - self.at).clamp(0, 1_000_000) as i128 * a_second as i128 / 1_000_000;
        self.left = (self.left + come as i64).min(most);
        self.at = now;
        self.left -= bytes as i64;
        if self.left >= 0 {
            return now;
        }
        now.saturating_add((-self.left as i128 * 1_000_000 / a_second.max(1) as i128) as Micros)
    }
}

/// Of leaves, each with a list of what is known of it or without, and after which record.
type Wanted = (
    MemberIndex,
    u64,
    Vec<(Leaf, Option<BTreeMap<u64, u64>>)>,
    Option<(Leaf, Key)>,
);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CatchUp {
    session: Option<Session>,
    next: Micros,
    serial: u64,
    fetched: Budget,
    given: Budget,
    waiting: VecDeque<Wanted>,
    give_at: Micros,
    /// With whom it was compared last, so that the next is another one.
    last: MemberIndex,
}

impl CatchUp {
    pub fn new(now: Micros) -> Self {
        let full = Budget { left: 0, at: now };
        CatchUp {
            session: None,
            next: now,
            serial: 0,
            fetched: full,
            given: full,
            waiting: VecDeque::new(),
            give_at: Micros::MAX,
            last: 0,
        }
    }

    pub fn next_due(&self) -> Micros {
        let session = self
            .session
            .as_ref()
            .map_or(self.next, |s| s.at.unwrap_or(s.due).min(s.due));
        session.min(self.give_at)
    }
}

/// About what a record takes on its way.
fn size(key: &str, record: &Record) -> usize {
    EACH + key.len()
        + match record {
            Record::Effect(e) => {
                let answer = if let Some(Answered::Kept(a)) = &e.answer {
                    a.len()
                } else {
                    0
                };
                answer + e.sendings.len() * EACH_SENDING
            }
            Record::Choice(c) => c.accepted.as_ref().map_or(0, |a| a.1.len()),
            Record::Note(n) => n.value.len(),
        }
}

impl Replica {
    pub(crate) fn pass_catch_up(&mut self, now: Micros, out: &mut Vec<Output>) {
        if let Some(s) = &self.catch_up.session {
            if now >= s.due {
                // Symptom: it was cut off in the middle. Somebody else is asked.
                self.catch_up.session = None;
                self.catch_up.next = now;
            } else if s.at.is_some_and(|at| now >= at) {
                self.fetch(now, out);
            }
        }
        if self.catch_up.session.is_none() && now >= self.catch_up.next {
            self.compare(now, out);
        }
        if now >= self.catch_up.give_at {
            self.catch_up.give_at = Micros::MAX;
            self.give(now, out);
        }
    }

    /// With whom next: while returning whoever was not compared with yet.
    fn partner(&mut self) -> Option<MemberIndex> {
        let compared: Vec<MemberIndex> = self.returning.compared().collect();
        let whole = self.memory() == Memory::Whole;
        let mut others: Vec<MemberIndex> = self
            .group
            .others()
            .filter(|m| self.alive[*m as usize] && (whole || !compared.contains(m)))
            .collect();
        others.sort_by_key(|m| (*m <= self.catch_up.last, *m));
        others.first().copied()
    }

    fn compare(&mut self, now: Micros, out: &mut Vec<Output>) {
        let soon = match self.memory() {
            Memory::Whole => self.terms.compare_every,
            _ => self.terms.resend_every,
        };
        // Spread, so that not all of a group compare at once.
        let spread =
            hashed((self.terms.seed, self.catch_up.serial)) % (soon.max(1) as u64 / 4).max(1);
        self.catch_up.next = now.saturating_add(soon).saturating_add(spread as Micros);
        let Some(with) = self.partner() else { return };
        self.counts.comparisons += 1;
        self.catch_up.last = with;
        self.catch_up.serial += 1;
        let serial = self.catch_up.serial;
        self.catch_up.session = Some(Session {
            with,
            serial,
            due: now.saturating_add(self.terms.compared_within),
            memory: None,
            leaves: VecDeque::new(),
            snapshot: false,
            lacks: false,
            asked: Vec::new(),
            after: None,
            at: None,
        });
        let message = Message::Compare {
            serial,
            groups: self.store.group_digests(),
        };
        out.push(Output::Send { to: with, message });
    }

    pub(crate) fn asked_to_compare(
        &mut self,
        from: MemberIndex,
        serial: u64,
        groups: &[u64],
        out: &mut Vec<Output>,
    ) {
        let ours = self.store.group_digests();
        if groups.len() != ours.len() {
            self.counts.misfits += 1;
            return;
        }
        let differ = (0..GROUPS).filter(|g| ours[*g as usize] != groups[*g as usize]);
        let groups = differ.map(|g| (g, self.store.leaf_digests(g))).collect();
        let you = short(self.nonces[from as usize]);
        let message = Message::Differ {
            serial,
            memory: self.memory(),
            you,
            groups,
        };
        out.push(Output::Send { to: from, message });
    }

    #[allow(clippy::too_many_arguments)] // The parts of one message.
    pub(crate) fn differ(
        &mut self,
        now: Micros,
        from: MemberIndex,
        serial: u64,
        memory: Memory,
        you: u32,
        groups: &BTreeMap<Leaf, Vec<u64>>,
        out: &mut Vec<Output>,
    ) {
        let meant = you == short(self.nonce);
        let store = &self.store;
        let Some(s) = self
            .catch_up
            .session
            .as_mut()
            .filter(|s| s.with == from && s.serial == serial)
        else {
            return;
        };
        s.memory = Some((memory, meant));
        for (group, digests) in groups.iter().filter(|(g, _)| **g < GROUPS) {
            let first = group * IN_GROUP;
            let leaves = digests
                .iter()
                .take(IN_GROUP as usize)
                .enumerate()
                .map(|(n, d)| (first + n as Leaf, d));
            // What only this one has, the other one asks for itself.
            s.leaves.extend(
                leaves
                    .filter(|(l, d)| **d != 0 && store.leaf_digest(*l) != **d)
                    .map(|(l, _)| l),
            );
        }
        // Symptom: with a tenth of the records lacking nearly all leaves differ, and everything was sent once more. What
        // is listed costs a fraction of what it saves.
        s.snapshot = store.len() < s.leaves.len() / SNAPSHOT_PART;
        self.counts.snapshots += u64::from(s.snapshot);
        self.fetch(now, out);
    }

    /// Asks for the next piece, or is done.
    fn fetch(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(mut s) = self.catch_up.session.take() else {
            return;
        };
        if s.asked.is_empty() {
            s.asked = s
                .leaves
                .drain(..s.leaves.len().min(LEAVES_AT_ONCE))
                .collect();
            s.after = None;
        }
        if s.asked.is_empty() {
            // On to the next, as long as there is one to be learned from.
            if let Some((memory, true)) = s.memory
                && !s.lacks
                && self.compared_with(now, s.with, memory, out)
            {
                self.catch_up.next = now;
            }
            return;
        }
        // Symptom: a piece that comes twice is taken for the next one, which is never asked for again.
        self.catch_up.serial += 1;
        s.serial = self.catch_up.serial;
        let list = |l: &Leaf| (*l, (!s.snapshot).then(|| self.store.entries(*l)));
        let leaves = s.asked.iter().map(list).collect();
        let message = Message::Want {
            serial: s.serial,
            leaves,
            after: s.after.clone(),
        };
        out.push(Output::Send {
            to: s.with,
            message,
        });
        (s.at, s.due) = (None, now.saturating_add(self.terms.compared_within));
        self.catch_up.session = Some(s);
    }

    pub(crate) fn wanted(
        &mut self,
        now: Micros,
        from: MemberIndex,
        serial: u64,
        leaves: Vec<(Leaf, Option<BTreeMap<u64, u64>>)>,
        after: Option<(Leaf, Key)>,
        out: &mut Vec<Output>,
    ) {
        if self.catch_up.waiting.len() >= MOST_WAITING || leaves.len() > LEAVES_AT_ONCE {
            self.counts.wants_dropped += 1;
            return;
        }
        // A later question of the same member takes the place of an earlier one.
        self.catch_up.waiting.retain(|w| w.0 != from);
        self.catch_up
            .waiting
            .push_back((from, serial, leaves, after));
        if self.catch_up.give_at == Micros::MAX {
            self.give(now, out);
        }
    }

    /// One piece to whoever has waited longest, then as the budget allows.
    fn give(&mut self, now: Micros, out: &mut Vec<Output>) {
        while let Some((to, serial, leaves, after)) = self.catch_up.waiting.pop_front() {
            let (mut records, mut bytes, mut more) = (Vec::new(), 0, None);
            'leaves: for (leaf, list) in &leaves {
                if after.as_ref().is_some_and(|a| leaf < &a.0) {
                    continue;
                }
                let from = after.as_ref().filter(|a| a.0 == *leaf).map(|a| &a.1);
                for ((l, key), slot) in self.store.from(*leaf, from) {
                    if l != leaf {
                        break;
                    }
                    if list.as_ref().is_some_and(|list| listed(list, key, slot)) {
                        continue;
                    }
                    bytes += size(key, &slot.record);
                    records.push((key.clone(), slot.shared(now)));
                    if bytes >= PIECE_BYTES {
                        more = Some((*leaf, key.clone()));
                        break 'leaves;
                    }
                }
            }
            out.push(Output::Send {
                to,
                message: Message::Have {
                    serial,
                    records,
                    more,
                },
            });
            let next = self
                .catch_up
                .given
                .take(now, self.terms.catch_up_bytes_per_s, bytes);
            if next > now {
                self.catch_up.give_at = next;
                return;
            }
        }
    }

    #[allow(clippy::too_many_arguments)] // The parts of one message.
    pub(crate) fn have(
        &mut self,
        now: Micros,
        from: MemberIndex,
        serial: u64,
        records: Vec<(Key, Shared)>,
        more: Option<(Leaf, Key)>,
        transit: Micros,
        out: &mut Vec<Output>,
    ) {
        let current = self
            .catch_up
            .session
            .as_ref()
            .is_some_and(|s| s.with == from && s.serial == serial);
        let (mut bytes, mut lacks) = (0, self.comes_late(transit));
        self.counts.records_fetched += records.len() as u64;
        for (key, shared) in records {
            bytes += size(&key, &shared.record);
            lacks |= self.learn(now, key, &shared, transit, out) == Joined::Full;
        }
        if !current {
            return;
        }
        let at = self
            .catch_up
            .fetched
            .take(now, self.terms.catch_up_bytes_per_s, bytes);
        let within = self.terms.compared_within;
        if let Some(s) = self.catch_up.session.as_mut() {
            if more.is_none() {
                s.asked.clear();
            }
            s.after = more;
            s.lacks |= lacks;
            (s.at, s.due) = (Some(at), at.saturating_add(within));
        }
        if at <= now {
            self.fetch(now, out);
        }
    }

    /// Leaves that are known to differ from the member that is compared with now.
    pub fn lacking(&self) -> usize {
        self.catch_up
            .session
            .as_ref()
            .map_or(0, |s| s.leaves.len() + s.asked.len())
    }
}

fn listed(list: &BTreeMap<u64, u64>, key: &Key, slot: &Slot) -> bool {
    let (hash, digest) = Store::entry(key, slot);
    list.get(&hash) == Some(&digest)
}
