//! One member's whole shared state behind one entry point: [`Replica::handle`]. What happened goes in, with the time;
//! messages to other members, verdicts on what was taken and leave to send come out. [`Replica::next_due`] says when
//! [`Input::Tick`] is wanted.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash, Hasher};

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_membership::{Group, MemberIndex};
use serde::Serialize;

use crate::catchup::CatchUp;
use crate::choosing::{Outcome, Proposal};
use crate::claims::Claims;
use crate::keeping::Keeping;
use crate::owning::{Lack, Need, Verdict};
use crate::record::{Ballot, Effect, FIRST, Note, Record};
use crate::returning::Returning;
use crate::store::{Joined, Key, Origin, Shared, Slot, Store};
use crate::wire::{Memory, Message, Refusal, Views, short};

/// What is asked again, as its answer did not come: some round trips of a slow link.
const RESEND_EVERY: Micros = 100_000;
/// What nobody waits for is told together.
const TELL_AFTER: Micros = 2_000;
/// Two members find what a lost message left different within some of these times.
const COMPARE_EVERY: Micros = 2_000_000;
/// A member that does not answer a comparison is passed over.
const COMPARED_WITHIN: Micros = 1_000_000;
/// Between two tries to get ahead of another that tries the same, so long at first.
const STEP_BACK: Micros = 20_000;
/// Part of the time that records are kept by which clocks may go wrong between two members.
pub(crate) const DRIFT_PART: Micros = 8;
/// A vote is not asked for later than this part of that time: half of what clocks may go wrong by is left for them.
const LATE_PART: Micros = 2 * DRIFT_PART;
/// Answers beyond this size are not kept.
const MOST_ANSWER: usize = 64 << 10;

/// How long things are to be kept, so that for so long new dispatches may leave and silence is a proof.
pub fn kept_for(wanted: Micros) -> Micros {
    wanted
        .saturating_add(wanted / (DRIFT_PART - 1))
        .saturating_add(1_000)
}

#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// What was taken, or taken over, is remembered for so long: longer than any client waits.
    pub kept: Micros,
    /// A majority holds an intent within this time, or it is given up.
    pub copied_within: Micros,
    pub resend_every: Micros,
    pub tell_after: Micros,
    pub compare_every: Micros,
    pub compared_within: Micros,
    pub step_back: Micros,
    pub most_records: usize,
    pub most_answer: usize,
    /// Catching up takes no more than so many bytes a second, here and for others.
    pub catch_up_bytes_per_s: u64,
    /// Changes are gathered to be written to a folder, and votes on choices wait for it.
    pub written: bool,
    pub seed: u64,
    /// For tests of the explorer and the judge alone: one guard is out.
    pub without: Option<Guard>,
}

impl Terms {
    pub fn usual(kept: Micros, copied_within: Micros, seed: u64) -> Self {
        Terms {
            kept,
            copied_within,
            resend_every: RESEND_EVERY,
            tell_after: TELL_AFTER,
            compare_every: COMPARE_EVERY,
            compared_within: COMPARED_WITHIN,
            step_back: STEP_BACK,
            most_records: 200_000,
            most_answer: MOST_ANSWER,
            catch_up_bytes_per_s: 16 << 20,
            written: false,
            seed,
            without: None,
        }
    }
}

/// What keeps a promise, to be taken out on purpose: each one's absence must be found by the explorer and the judge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Guard {
    /// An intent is held by a majority before it leaves.
    Majority,
    /// A first intent is refused where another owner has the record.
    Blind,
    /// A takeover fences the old owner at a majority.
    Fence,
    /// Who has promised refuses what is older.
    Promise,
    /// Who has lost its memory does not vote.
    Abstaining,
    /// Votes of different processes of one member do not add up.
    Views,
    /// What nobody says to have taken is not sent again.
    Presence,
    /// After all have started anew, that there is no intent proves nothing.
    Doubt,
    /// Who has not answered may hold an intent.
    Missing,
    /// What a gone owner let leave may have run.
    Gone,
    /// What was decided is kept by whoever decides next.
    Adopted,
    /// Who hears late does not vote, and a record's last part is neither proof nor leave.
    Age,
    /// A vote on a choice waits until this member's folder has what it stands for.
    Kept,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A message was taken here.
    Take {
        key: Key,
        need: Need,
        redelivered: bool,
    },
    /// A dispatch wants to leave; `sending` is unlike any other of this process. `alone`: where no majority can be had it
    /// leaves all the same.
    Intend {
        key: Key,
        sending: u64,
        place: u32,
        alone: bool,
    },
    /// A dispatch has left without asking: nothing had to be waited for.
    Left {
        key: Key,
        sending: u64,
        place: u32,
    },
    Ended {
        key: Key,
        sending: u64,
        may_have_run: bool,
    },
    Answered {
        key: Key,
        answer: Bytes,
    },
    /// Its answer is out for good.
    Closed {
        key: Key,
    },
    /// Nobody waits for it here any more.
    Dropped {
        key: Key,
    },
    /// Something observed here; a later one has a higher version.
    Noted {
        key: Key,
        version: (u64, u64),
        value: Bytes,
        kept: Micros,
    },
    /// Decide on this value, or learn what was decided.
    Choose {
        key: Key,
        value: Bytes,
        kept: Micros,
    },
    /// Become the one that writes it, term after term.
    Lead {
        key: Key,
        kept: Micros,
    },
    /// Write it in a term that was won.
    Write {
        key: Key,
        ballot: Ballot,
        value: Bytes,
        kept: Micros,
    },
    /// `transit`: it has been under way for no longer than this.
    Heard {
        from: MemberIndex,
        nonce: u64,
        transit: Micros,
        message: Message,
    },
    /// What is known of a member has changed.
    Member {
        member: MemberIndex,
        nonce: u64,
        alive: bool,
    },
    /// On disk are all changes up to those taken under this serial.
    Kept {
        serial: u64,
    },
    Tick,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send {
        to: MemberIndex,
        message: Message,
    },
    Verdict {
        key: Key,
        verdict: Verdict,
    },
    /// An intent is held, or not. `Ok(true)`: by nobody else, as the operator allows.
    Leave {
        key: Key,
        sending: u64,
        left: Result<bool, Lack>,
    },
    Decided {
        key: Key,
        outcome: Outcome,
    },
    /// A note or a choice that others made known has changed.
    Noticed(Key),
    /// It remembers enough to vote from now on.
    Whole,
}

/// All that was done, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub taken: u64,
    pub intents: u64,
    pub held: u64,
    pub lacking_majority: u64,
    pub left_alone: u64,
    pub takeovers: u64,
    pub joined: u64,
    pub answers_known: u64,
    pub proven_unsent: u64,
    pub may_have_run: u64,
    pub lost_to_others: u64,
    pub refusals_given: u64,
    pub told: u64,
    pub forgotten_offers: u64,
    pub full: u64,
    pub answers_too_large: u64,
    pub comparisons: u64,
    pub records_fetched: u64,
    pub snapshots: u64,
    pub wants_dropped: u64,
    pub misfits: u64,
    /// Votes on choices that waited for the folder; of these, gone for want of room.
    pub votes_withheld: u64,
    pub votes_dropped: u64,
}

#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) group: Group,
    pub(crate) terms: Terms,
    pub(crate) nonce: u64,
    pub(crate) store: Store,
    pub(crate) returning: Returning,
    /// Processes as they are known, by member; 0 where nothing was heard.
    pub(crate) nonces: Vec<u64>,
    pub(crate) alive: Vec<bool>,
    pub(crate) claims: Claims,
    pub(crate) proposals: BTreeMap<Key, Proposal>,
    pub(crate) keeping: Keeping,
    pub(crate) catch_up: CatchUp,
    tells: BTreeSet<Key>,
    tell_at: Micros,
    serial: u64,
    draws: u64,
    pub counts: Counts,
}

impl Replica {
    /// `nonce`: of this process, above 0 and unlike any other's. `folder`: what a kept folder held, if there is one.
    pub fn new(
        now: Micros,
        group: Group,
        terms: Terms,
        nonce: u64,
        folder: Option<Vec<(Key, Shared)>>,
    ) -> Self {
        let memory = if folder.is_some() {
            Memory::Kept
        } else {
            Memory::Lost
        };
        let mut store = Store::new(terms.most_records, terms.written);
        for (key, shared) in folder.into_iter().flatten() {
            store.join(now, &key, &shared, 0);
        }
        let mut nonces = vec![0; group.len()];
        nonces[group.me as usize] = nonce;
        let alive = (0..group.len()).map(|m| m == group.me as usize).collect();
        Replica {
            returning: Returning::new(now, memory),
            catch_up: CatchUp::new(now),
            group,
            terms,
            nonce,
            store,
            nonces,
            alive,
            claims: Claims::default(),
            proposals: BTreeMap::new(),
            keeping: Keeping::default(),
            tells: BTreeSet::new(),
            tell_at: Micros::MAX,
            serial: 0,
            draws: 0,
            counts: Counts::default(),
        }
    }

    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        // What is over is over before anything is said of it. Symptom: a member that was stopped wakes and tells what
        // all others have forgotten.
        for key in self.store.expire(now) {
            self.ended_for_good(&key);
        }
        match input {
            Input::Take {
                key,
                need,
                redelivered,
            } => self.take(now, key, need, redelivered, out),
            Input::Intend {
                key,
                sending,
                place,
                alone,
            } => self.intend(now, key, sending, place, alone, out),
            Input::Left {
                key,
                sending,
                place,
            } => self.left(now, &key, sending, place),
            Input::Ended {
                key,
                sending,
                may_have_run,
            } => self.ended(now, &key, sending, may_have_run, out),
            Input::Answered { key, answer } => self.answered(now, &key, answer),
            Input::Closed { key } => self.closed(now, &key),
            Input::Dropped { key } => self.dropped(now, &key),
            Input::Noted {
                key,
                version,
                value,
                kept,
            } => {
                let note = Record::Note(Note { version, value });
                let origin = self.origin();
                let until = now.saturating_add(kept);
                let slot = Slot {
                    record: note.clone(),
                    origin,
                    until,
                    first: None,
                    proves: None,
                };
                let changed = |slot: &mut Slot| {
                    slot.record.join(&note);
                    (slot.origin, slot.until) = (origin, until.max(slot.until));
                };
                self.change(now, &key, slot, changed);
            }
            Input::Choose { key, value, kept } => self.choose(now, key, value, kept, out),
            Input::Lead { key, kept } => self.lead(now, key, kept, out),
            Input::Write {
                key,
                ballot,
                value,
                kept,
            } => self.write(now, key, ballot, value, kept, out),
            Input::Heard {
                from,
                nonce,
                transit,
                message,
            } => {
                if from != self.group.me && (from as usize) < self.group.len() {
                    self.heard(now, from, nonce, transit, message, out);
                }
            }
            Input::Member {
                member,
                nonce,
                alive,
            } => self.member(now, member, nonce, alive, out),
            Input::Kept { serial } => self.kept(now, serial, out),
            Input::Tick => {}
        }
        self.pass(now, out);
    }

    fn heard(
        &mut self,
        now: Micros,
        from: MemberIndex,
        nonce: u64,
        transit: Micros,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let process = short(nonce);
        if self.comes_late(transit) {
            // Symptom: one that was stopped reads what others asked it long ago, or what comes back to it shows only now
            // that it is heard. A promise kept from then on would end before what it is for.
            match message {
                Message::Intend {
                    key,
                    ballot,
                    sending,
                    ..
                } => {
                    return self.refuses(now, from, key, ballot, Some(sending), Refusal::Late, out);
                }
                Message::Fence { key, ballot, .. } => {
                    return self.refuses(now, from, key, ballot, None, Refusal::Late, out);
                }
                Message::Prepare { key, ballot, .. } | Message::Accept { key, ballot, .. } => {
                    let message = self.overtakes(&key, ballot, Refusal::Late);
                    return out.push(Output::Send { to: from, message });
                }
                _ => {}
            }
        }
        match message {
            Message::Intend {
                key,
                ballot,
                sending,
                blind,
                shared,
            } => {
                self.asked_to_hold(now, from, key, ballot, sending, blind, shared, transit, out);
            }
            Message::Fence {
                key,
                ballot,
                origin,
                left,
            } => {
                self.asked_to_fence(
                    now,
                    from,
                    key,
                    ballot,
                    origin,
                    left.saturating_sub(transit),
                    out,
                );
            }
            Message::Holds {
                key,
                ballot,
                sending,
                views,
            } => {
                self.holds(now, from, process, &key, ballot, sending, views, out);
            }
            Message::Fenced {
                key,
                ballot,
                shared,
                views,
            } => {
                self.fenced(
                    now, from, process, &key, ballot, shared, views, transit, out,
                );
            }
            Message::Refused {
                key,
                ballot,
                sending,
                why,
                shared,
            } => {
                self.refused(now, from, &key, ballot, sending, why, shared, transit, out);
            }
            Message::Prepare { key, ballot, left } => {
                self.asked_to_prepare(now, from, key, ballot, left.saturating_sub(transit), out);
            }
            Message::Accept {
                key,
                ballot,
                value,
                left,
            } => {
                self.asked_to_accept(
                    now,
                    from,
                    key,
                    ballot,
                    value,
                    left.saturating_sub(transit),
                    out,
                );
            }
            Message::Prepared {
                key,
                ballot,
                choice,
                views,
            } => {
                self.prepared(now, from, process, &key, ballot, choice, views, out);
            }
            Message::Accepted {
                key,
                ballot,
                of,
                views,
            } => {
                self.accepted(now, from, process, &key, ballot, of, views, out);
            }
            Message::Overtaken {
                key,
                ballot,
                choice,
                why,
            } => {
                self.overtaken(now, from, &key, ballot, choice, why, out);
            }
            Message::Tell { key, shared } => {
                self.learn(now, key, &shared, transit, out);
            }
            Message::Compare { serial, groups } => {
                self.asked_to_compare(from, serial, &groups, out)
            }
            Message::Differ {
                serial,
                memory,
                you,
                groups,
            } => {
                self.differ(now, from, serial, memory, you, &groups, out);
            }
            Message::Want {
                serial,
                leaves,
                after,
            } => self.wanted(now, from, serial, leaves, after, out),
            Message::Have {
                serial,
                records,
                more,
            } => {
                self.have(now, from, serial, records, more, transit, out);
            }
        }
    }

    /// What another member holds of a record.
    pub(crate) fn learn(
        &mut self,
        now: Micros,
        key: Key,
        shared: &Shared,
        transit: Micros,
        out: &mut Vec<Output>,
    ) -> Joined {
        let joined = self.store.join(now, &key, shared, transit);
        match joined {
            Joined::Changed => self.noticed(now, &key, out),
            Joined::Forgotten => self.counts.forgotten_offers += 1,
            Joined::Full => self.counts.full += 1,
            Joined::Nothing => {}
        }
        joined
    }

    pub(crate) fn noticed(&mut self, now: Micros, key: &Key, out: &mut Vec<Output>) {
        if self.claims.contains_key(key) {
            self.look_again(now, key, out);
        }
        if self
            .store
            .get(key)
            .is_some_and(|s| !matches!(s.record, Record::Effect(_)))
        {
            out.push(Output::Noticed(key.clone()));
        }
    }

    fn member(
        &mut self,
        now: Micros,
        member: MemberIndex,
        nonce: u64,
        alive: bool,
        out: &mut Vec<Output>,
    ) {
        let m = member as usize;
        if m >= self.group.len() || member == self.group.me {
            return;
        }
        (self.nonces[m], self.alive[m]) = (nonce, alive);
        let watching: Vec<Key> = self
            .claims
            .iter()
            .filter(|(_, c)| c.watches())
            .map(|(key, _)| key.clone())
            .collect();
        for key in watching {
            self.look_again(now, &key, out);
        }
    }

    fn pass(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.return_by_time(now, out);
        self.pass_claims(now, out);
        self.pass_proposals(now, out);
        self.pass_catch_up(now, out);
        if now >= self.tell_at {
            self.tell_at = Micros::MAX;
            for key in std::mem::take(&mut self.tells) {
                let Some(shared) = self.store.shared(now, &key) else {
                    continue;
                };
                for to in self.group.others().filter(|m| self.alive[*m as usize]) {
                    self.counts.told += 1;
                    let message = Message::Tell {
                        key: key.clone(),
                        shared: shared.clone(),
                    };
                    out.push(Output::Send { to, message });
                }
            }
        }
    }

    pub fn next_due(&self) -> Micros {
        let due = [
            self.tell_at,
            self.store.next_end(),
            self.claims.next_due(),
            self.proposals_due(),
            self.catch_up.next_due(),
            self.returning.next_due(self.terms.kept),
        ];
        due.into_iter().min().unwrap_or(Micros::MAX)
    }

    /// The others hear of it soon.
    pub(crate) fn tell(&mut self, now: Micros, key: &Key) {
        self.tells.insert(key.clone());
        self.tell_at = self.tell_at.min(now.saturating_add(self.terms.tell_after));
    }

    /// Changes an own record and tells it. False if there is no room for it.
    pub(crate) fn change(
        &mut self,
        now: Micros,
        key: &Key,
        absent: Slot,
        change: impl FnOnce(&mut Slot),
    ) -> bool {
        let done = self.store.change(key, || absent, change);
        match done {
            true => self.tell(now, key),
            false => self.counts.full += 1,
        }
        done
    }

    pub(crate) fn origin(&mut self) -> Origin {
        self.serial += 1;
        Origin {
            nonce: self.nonce,
            serial: self.serial,
        }
    }

    pub(crate) fn ballot(&self, number: u32) -> Ballot {
        Ballot {
            number,
            member: self.group.me,
            nonce: self.nonce,
        }
    }

    /// A record of its own, as it is at first.
    pub(crate) fn fresh(&mut self, now: Micros, taken: bool) -> Slot {
        let owner = crate::record::Owner {
            ballot: self.ballot(FIRST),
            let_go: false,
        };
        let record = Record::Effect(Effect {
            owner,
            taken,
            ..Effect::default()
        });
        let until = now.saturating_add(self.terms.kept);
        let proves = taken.then(|| until.saturating_sub(self.terms.kept / DRIFT_PART));
        Slot {
            record,
            origin: self.origin(),
            until,
            first: None,
            proves,
        }
    }

    pub(crate) fn everybody_else(&self) -> Vec<MemberIndex> {
        self.group.others().collect()
    }

    /// It was so long under way that what is held for it here would be over too soon.
    pub(crate) fn comes_late(&self, transit: Micros) -> bool {
        transit > self.terms.kept / LATE_PART && !self.without(Guard::Age)
    }

    /// Whether nothing of this record at a member still says that there never was anything.
    pub(crate) fn proves(&self, now: Micros, key: &str) -> bool {
        let until = self.store.get(key).and_then(|s| s.proves);
        until.is_some_and(|until| now < until) || self.without(Guard::Age)
    }

    pub(crate) fn views(&self) -> Views {
        Views(self.nonces.iter().map(|n| short(*n)).collect())
    }

    /// Whether it may vote, and take what needs votes.
    pub fn votes(&self) -> bool {
        self.returning.memory() == Memory::Whole || self.without(Guard::Abstaining)
    }

    pub(crate) fn without(&self, guard: Guard) -> bool {
        self.terms.without == Some(guard)
    }

    /// Without a majority alive it need not be tried.
    pub(crate) fn majority_lives(&self) -> bool {
        self.group
            .is_majority((0..self.group.len() as MemberIndex).filter(|m| self.alive[*m as usize]))
    }

    /// That process is over, as far as is known: what only it knew will not be told any more.
    pub(crate) fn gone(&self, member: MemberIndex, nonce: u64) -> bool {
        let m = member as usize;
        self.nonces.get(m).is_none_or(|known| *known != nonce) || !self.alive[m]
    }

    /// Between 0 and 1 times, more with each try.
    pub(crate) fn step_back(&mut self, tries: u32) -> Micros {
        self.draws += 1;
        let draw = hashed((self.terms.seed, self.nonce, self.draws));
        let most = self.terms.step_back << tries.min(6);
        if most == 0 {
            0
        } else {
            (draw % most as u64) as Micros
        }
    }

    fn ended_for_good(&mut self, key: &Key) {
        self.claims.remove(key);
        self.tells.remove(key);
    }

    pub fn memory(&self) -> Memory {
        self.returning.memory()
    }

    pub fn group(&self) -> &Group {
        &self.group
    }

    /// What is held under a key, its times as times from now.
    pub fn held(&self, now: Micros, key: &str) -> Option<Shared> {
        self.store.shared(now, key)
    }

    pub fn record(&self, key: &str) -> Option<&Record> {
        self.store.get(key).map(|slot| &slot.record)
    }

    pub fn records(&self) -> impl Iterator<Item = (&Key, &Slot)> {
        self.store.all()
    }

    /// Two different answers to the same.
    pub fn faults(&self) -> u64 {
        self.store.faults
    }

    /// All that later steps depend on, where nothing is forgotten meanwhile.
    pub fn imprint(&self, into: &mut impl Hasher) {
        for (key, slot) in self.store.all() {
            (key, &slot.record).hash(into);
        }
        (&self.returning, &self.nonces, &self.alive).hash(into);
        (&self.claims, &self.proposals, &self.keeping, &self.catch_up).hash(into);
    }
}

pub(crate) fn hashed(of: impl Hash) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(of)
}
