//! What a member takes. A dispatch that must not run twice leaves once a majority holds its intent; whoever takes a
//! message over fences all older owners at a majority first, and so sees every intent that ever had one.
//!
//! Mechanisms:
//! 1. First taken: nobody is asked before the first intent, which is valid only where nobody else has the record.
//! 2. Taken over: a higher ballot is promised by a majority. Then an answer that is known is given again, what may have
//!    run is not sent again, what is still out elsewhere is waited for, and what never left is sent.
//! 3. Lost: whoever reads a higher ballot leaves what it has not sent; it waits for the other one as long as that lives.
//! 4. Without a majority in time an intent is given up and told never to have left, or, if the operator says so, leaves
//!    alone.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use crate::record::{Answered, Ballot, Effect, FIRST, Owner, Record, Sending, SendingIx, Sent};
use crate::replica::{Guard, Output, Replica};
use crate::store::{Joined, Key, Shared};
use crate::wire::{Message, Refusal, Views, Votes, short};

/// What must be known of others before it may leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Need {
    /// What is here is enough; nothing is waited for.
    Known,
    /// A majority holds the intent first.
    Held,
}

/// Why there is no majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Lack {
    /// This member does not remember enough yet.
    Returning,
    /// Too few members can be reached.
    Unreachable,
    /// Too few held it in time.
    Late,
    /// There is no room for one more record here.
    Full,
    /// Somebody else has it; a verdict follows.
    Elsewhere,
}

/// Why it counts as one that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Because {
    /// A dispatch of it ended so.
    Ended,
    /// Its owner is gone, and had leave to send it.
    OwnerGone,
    /// Nobody says to have taken it, so nobody can say that it never left.
    Unknown,
    /// All who knew of it had started anew.
    Doubtful,
    /// Its answer was out for good.
    Closed,
    /// Its answer was larger than what is kept.
    TooLarge,
    /// Two different answers are known.
    Fault,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// It may be dispatched. `first_ago`: a dispatch of it may have run, and the first left so long ago.
    Go {
        first_ago: Option<Micros>,
    },
    /// It is out elsewhere: another verdict follows when that has ended.
    Waits,
    /// The answer given before.
    Answer(Bytes),
    MayHaveRun(Because),
    NoMajority(Lack),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Asking {
    votes: Votes,
    blind: bool,
    alone: bool,
    resend: Micros,
    give_up: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fencing {
    votes: Votes,
    /// Who said to hold each sending.
    holders: BTreeMap<SendingIx, BTreeSet<MemberIndex>>,
    resend: Micros,
    give_up: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Mine,
    Fencing(Fencing),
    /// Overtaken while it fenced: once more at that time.
    StepsBack {
        again: Micros,
        give_up: Micros,
    },
    /// Somebody else has it; fenced by this one, or not.
    Watching(Option<Fencing>),
    /// The last verdict was given, or its answer.
    Told,
}

/// A message that this router has taken.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    ballot: Ballot,
    stage: Stage,
    tries: u32,
    asking: BTreeMap<u64, Asking>,
}

impl Claim {
    fn new(ballot: Ballot, stage: Stage) -> Self {
        Claim {
            ballot,
            stage,
            tries: 0,
            asking: BTreeMap::new(),
        }
    }

    pub(crate) fn watches(&self) -> bool {
        matches!(self.stage, Stage::Watching(_))
    }

    pub(crate) fn due(&self) -> Micros {
        let stage = match &self.stage {
            Stage::Fencing(f) => f.resend.min(f.give_up),
            Stage::StepsBack { again, give_up } => *again.min(give_up),
            _ => Micros::MAX,
        };
        self.asking
            .values()
            .map(|a| a.resend.min(a.give_up))
            .fold(stage, Micros::min)
    }

    pub fn word(&self) -> &'static str {
        match self.stage {
            Stage::Mine => "mine",
            Stage::Fencing(_) | Stage::StepsBack { .. } => "taking-over",
            Stage::Watching(_) => "waiting-for-another",
            Stage::Told => "answered",
        }
    }
}

impl Replica {
    pub(crate) fn take(
        &mut self,
        now: Micros,
        key: Key,
        need: Need,
        redelivered: bool,
        out: &mut Vec<Output>,
    ) {
        self.counts.taken += 1;
        let known = self.store.effect(&key).cloned();
        if let Some(Answered::Kept(answer)) = known
            .as_ref()
            .filter(|e| !e.fault)
            .and_then(|e| e.answer.clone())
        {
            self.counts.answers_known += 1;
            self.claims
                .insert(key.clone(), Claim::new(self.ballot(FIRST), Stage::Told));
            return out.push(Output::Verdict {
                key,
                verdict: Verdict::Answer(answer),
            });
        }
        if need == Need::Known {
            let open = |e: &Effect| e.sendings.values().any(|s| s.state != Sent::NeverRan);
            let first = self
                .store
                .get(&key)
                .and_then(|s| s.first)
                .filter(|_| known.as_ref().is_some_and(open));
            let first_ago = first.map(|at| now.saturating_sub(at));
            self.claims
                .insert(key.clone(), Claim::new(self.ballot(FIRST), Stage::Mine));
            return out.push(Output::Verdict {
                key,
                verdict: Verdict::Go { first_ago },
            });
        }
        if known.as_ref().is_some_and(|e| e.closed) {
            return self.conclude(now, &key, Verdict::MayHaveRun(Because::Closed), out);
        }
        let lack = match () {
            () if !self.votes() => Some(Lack::Returning),
            () if !self.majority_lives() => Some(Lack::Unreachable),
            () if known.is_none() && self.store.is_full() => Some(Lack::Full),
            () => None,
        };
        if let Some(lack) = lack {
            return self.conclude(now, &key, Verdict::NoMajority(lack), out);
        }
        match known {
            None if !redelivered => {
                let slot = self.fresh(now, true);
                self.change(now, &key, slot, |_| {});
                self.claims
                    .insert(key.clone(), Claim::new(self.ballot(FIRST), Stage::Mine));
                out.push(Output::Verdict {
                    key,
                    verdict: Verdict::Go { first_ago: None },
                });
            }
            // Delivered to two at once, each for the first time: whoever has it goes on with it.
            Some(e) if !redelivered && !self.is_free(&e.owner) => {
                self.claims.insert(
                    key.clone(),
                    Claim::new(self.ballot(FIRST), Stage::Watching(None)),
                );
                self.counts.joined += 1;
                out.push(Output::Verdict {
                    key: key.clone(),
                    verdict: Verdict::Waits,
                });
                self.look_again(now, &key, out);
            }
            _ => {
                self.claims
                    .insert(key.clone(), Claim::new(self.ballot(FIRST), Stage::Told));
                self.fence(now, &key, now.saturating_add(self.terms.copied_within), out);
            }
        }
    }

    /// Its owner is gone or has let it go.
    fn is_free(&self, owner: &Owner) -> bool {
        owner.let_go || self.gone(owner.ballot.member, owner.ballot.nonce)
    }

    fn fence(&mut self, now: Micros, key: &Key, give_up: Micros, out: &mut Vec<Output>) {
        let Some(mut claim) = self.claims.remove(key) else {
            return;
        };
        self.counts.takeovers += 1;
        let before = self.store.effect(key).cloned();
        let highest = before
            .as_ref()
            .map_or(FIRST, |e| e.owner.ballot.number)
            .max(claim.ballot.number);
        claim.ballot = self.ballot(highest.saturating_add(1));
        let (ballot, origin, left) = (claim.ballot, self.origin(), self.terms.kept);
        if self.without(Guard::Fence) {
            // What is known here, and nobody asked.
            self.promise(now, key, ballot, origin, left);
            claim.stage = Stage::Fencing(self.fencing(now, give_up, before.as_ref()));
            self.claims.insert(key.clone(), claim);
            return self.settle(now, key, true, out);
        }
        if !self.promise(now, key, ballot, origin, left) {
            self.counts.full += 1;
            return self.conclude(now, key, Verdict::NoMajority(Lack::Full), out);
        }
        let mut fencing = self.fencing(now, give_up, before.as_ref());
        fencing
            .votes
            .put(self.group.me, short(self.nonce), self.views());
        claim.stage = Stage::Fencing(fencing);
        self.claims.insert(key.clone(), claim);
        let others = self.everybody_else();
        self.ask_fence(now, key, &others, out);
        self.settle(now, key, false, out);
    }

    fn ask_fence(&self, now: Micros, key: &Key, whom: &[MemberIndex], out: &mut Vec<Output>) {
        let Some(Claim {
            ballot,
            stage: Stage::Fencing(f),
            ..
        }) = self.claims.get(key)
        else {
            return;
        };
        let Some(slot) = self.store.get(key) else {
            return;
        };
        // As long as it is kept here, and no longer.
        let (origin, left) = (slot.origin, slot.until.saturating_sub(now));
        for to in whom.iter().copied().filter(|m| !f.votes.has(*m)) {
            let message = Message::Fence {
                key: key.clone(),
                ballot: *ballot,
                origin,
                left,
            };
            out.push(Output::Send { to, message });
        }
    }

    fn fencing(&self, now: Micros, give_up: Micros, own: Option<&Effect>) -> Fencing {
        let mut holders: BTreeMap<SendingIx, BTreeSet<MemberIndex>> = BTreeMap::new();
        for ix in own.iter().flat_map(|e| e.sendings.keys()) {
            holders.entry(*ix).or_default().insert(self.group.me);
        }
        let resend = now.saturating_add(self.terms.resend_every);
        Fencing {
            votes: Votes::default(),
            holders,
            resend,
            give_up,
        }
    }

    #[allow(clippy::too_many_arguments)] // The parts of one message.
    pub(crate) fn fenced(
        &mut self,
        now: Micros,
        from: MemberIndex,
        process: u32,
        key: &Key,
        ballot: Ballot,
        shared: Option<Shared>,
        views: Views,
        transit: Micros,
        out: &mut Vec<Output>,
    ) {
        if let Some(shared) = &shared
            && self.store.join(now, key, shared, transit) == Joined::Forgotten
        {
            // Symptom: a pause ends the time of what is told on its way. A promise is no vote without what was held
            // beside it; asked again, that member tells it with the time of the promise.
            self.counts.forgotten_offers += 1;
            return;
        }
        let counts = |claim: &mut Claim| {
            let fencing = match &mut claim.stage {
                Stage::Fencing(f) | Stage::Watching(Some(f)) if claim.ballot == ballot => f,
                _ => return false,
            };
            fencing.votes.put(from, process, views);
            if let Some(Record::Effect(e)) = shared.map(|s| s.record) {
                for ix in e.sendings.keys() {
                    fencing.holders.entry(*ix).or_default().insert(from);
                }
            }
            true
        };
        if self.claims.change(key, counts) == Some(true) {
            self.settle(now, key, false, out);
        }
    }

    /// Once a majority has promised: what is to become of it.
    fn settle(&mut self, now: Micros, key: &Key, unasked: bool, out: &mut Vec<Output>) {
        let Some(claim) = self.claims.get(key) else {
            return;
        };
        let (fencing, waited) = match &claim.stage {
            Stage::Fencing(f) => (f.clone(), false),
            Stage::Watching(Some(f)) => (f.clone(), true),
            _ => return,
        };
        let agreed = match self.without(Guard::Views) {
            true => fencing.votes.voters().collect(),
            false => fencing.votes.agreeing(self.group.me),
        };
        if !unasked && !self.group.is_majority(agreed.iter().copied()) {
            return;
        }
        let Some(e) = self.store.effect(key).cloned() else {
            return;
        };
        if e.owner.ballot != claim.ballot {
            // Promised to another one since.
            self.claims
                .change(key, |claim| claim.stage = Stage::Watching(None));
            return self.look_again(now, key, out);
        }
        let because = match &e.answer {
            _ if e.fault => Some(Because::Fault),
            Some(Answered::Kept(answer)) => {
                self.counts.answers_known += 1;
                return self.conclude(now, key, Verdict::Answer(answer.clone()), out);
            }
            Some(Answered::TooLarge) => Some(Because::TooLarge),
            None if e.closed => Some(Because::Closed),
            None => None,
        };
        if let Some(because) = because {
            return self.conclude(now, key, Verdict::MayHaveRun(because), out);
        }
        let (mut waits, mut unsent) = (false, Vec::new());
        for (ix, sending) in &e.sendings {
            match sending.state {
                Sent::NeverRan => {}
                Sent::MayHaveRun => {
                    return self.conclude(now, key, Verdict::MayHaveRun(Because::Ended), out);
                }
                Sent::Intended if self.never_left(&fencing, &agreed, ix) => unsent.push(*ix),
                Sent::Intended if self.gone(sending.member, ix.0) => {
                    if !self.without(Guard::Gone) {
                        return self.conclude(
                            now,
                            key,
                            Verdict::MayHaveRun(Because::OwnerGone),
                            out,
                        );
                    }
                }
                Sent::Intended => waits = true,
            }
        }
        if waits {
            self.claims
                .change(key, |claim| claim.stage = Stage::Watching(Some(fencing)));
            if !waited {
                self.counts.joined += 1;
                out.push(Output::Verdict {
                    key: key.clone(),
                    verdict: Verdict::Waits,
                });
            }
            return;
        }
        if e.doubtful {
            return self.conclude(now, key, Verdict::MayHaveRun(Because::Doubtful), out);
        }
        if (!e.taken || !self.proves(now, key)) && !self.without(Guard::Presence) {
            return self.conclude(now, key, Verdict::MayHaveRun(Because::Unknown), out);
        }
        self.counts.proven_unsent += 1;
        let slot = self.fresh(now, true);
        self.change(now, key, slot, |slot| {
            let Record::Effect(e) = &mut slot.record else {
                return;
            };
            e.taken = true;
            for ix in &unsent {
                if let Some(sending) = e.sendings.get_mut(ix) {
                    sending.state = Sent::NeverRan;
                }
            }
        });
        self.claims.change(key, |claim| claim.stage = Stage::Mine);
        out.push(Output::Verdict {
            key: key.clone(),
            verdict: Verdict::Go { first_ago: None },
        });
    }

    /// No majority can have held it, even if all hold it that have not said otherwise.
    fn never_left(&self, fencing: &Fencing, agreed: &[MemberIndex], ix: &SendingIx) -> bool {
        let holds = |m: &MemberIndex| fencing.holders.get(ix).is_some_and(|h| h.contains(m));
        let may_hold =
            |m: &MemberIndex| holds(m) || !agreed.contains(m) && !self.without(Guard::Missing);
        !self
            .group
            .is_majority((0..self.group.len() as MemberIndex).filter(may_hold))
    }

    fn conclude(&mut self, now: Micros, key: &Key, verdict: Verdict, out: &mut Vec<Output>) {
        if let Verdict::MayHaveRun(_) = verdict {
            self.counts.may_have_run += 1;
        }
        if let Verdict::NoMajority(_) = verdict {
            self.counts.lacking_majority += 1;
            // Nobody is to wait for this one.
            self.let_go(now, key);
        }
        if self
            .claims
            .change(key, |claim| claim.stage = Stage::Told)
            .is_none()
        {
            self.claims
                .insert(key.clone(), Claim::new(Ballot::default(), Stage::Told));
        }
        out.push(Output::Verdict {
            key: key.clone(),
            verdict,
        });
    }

    pub(crate) fn intend(
        &mut self,
        now: Micros,
        key: Key,
        sending: u64,
        place: u32,
        alone: bool,
        out: &mut Vec<Output>,
    ) {
        self.counts.intents += 1;
        let owner = self.store.effect(&key).map(|e| e.owner.ballot);
        let mine = self
            .claims
            .get(&key)
            .filter(|c| c.stage == Stage::Mine)
            .map(|c| c.ballot);
        let Some(ballot) = mine.filter(|b| owner == Some(*b)) else {
            let left = Err(Lack::Elsewhere);
            out.push(Output::Leave {
                key: key.clone(),
                sending,
                left,
            });
            return self.look_again(now, &key, out);
        };
        if !alone && !self.proves(now, &key) {
            // Others may have forgotten who took it: it is too late to begin.
            self.counts.lacking_majority += 1;
            return out.push(Output::Leave {
                key,
                sending,
                left: Err(Lack::Late),
            });
        }
        let ix = (self.nonce, sending);
        let (member, slot) = (self.group.me, self.fresh(now, true));
        self.store.change(
            &key,
            || slot,
            |slot| {
                slot.first.get_or_insert(now);
                if let Record::Effect(e) = &mut slot.record {
                    e.sendings.insert(
                        ix,
                        Sending {
                            member,
                            state: Sent::Intended,
                            place,
                        },
                    );
                }
            },
        );
        let blind = ballot.number == FIRST;
        let mut votes = Votes::default();
        votes.put(self.group.me, short(self.nonce), self.views());
        let resend = now.saturating_add(self.terms.resend_every);
        let give_up = now.saturating_add(self.terms.copied_within);
        let asking = Asking {
            votes,
            blind,
            alone,
            resend,
            give_up,
        };
        self.claims
            .change(&key, |claim| claim.asking.insert(sending, asking));
        let others = self.everybody_else();
        self.ask(now, &key, sending, &others, out);
        self.look_at_votes(now, &key, sending, out);
    }

    /// Asks those of them that have not voted yet.
    fn ask(
        &mut self,
        now: Micros,
        key: &Key,
        sending: u64,
        whom: &[MemberIndex],
        out: &mut Vec<Output>,
    ) {
        let Some(claim) = self.claims.get(key) else {
            return;
        };
        let (Some(asking), Some(shared)) =
            (claim.asking.get(&sending), self.store.shared(now, key))
        else {
            return;
        };
        for to in whom.iter().copied().filter(|m| !asking.votes.has(*m)) {
            let (key, ballot, blind) = (key.clone(), claim.ballot, asking.blind);
            let message = Message::Intend {
                key,
                ballot,
                sending,
                blind,
                shared: shared.clone(),
            };
            out.push(Output::Send { to, message });
        }
    }

    #[allow(clippy::too_many_arguments)] // The parts of one message.
    pub(crate) fn holds(
        &mut self,
        now: Micros,
        from: MemberIndex,
        process: u32,
        key: &Key,
        ballot: Ballot,
        sending: u64,
        views: Views,
        out: &mut Vec<Output>,
    ) {
        let counts = |claim: &mut Claim| {
            let asking = claim
                .asking
                .get_mut(&sending)
                .filter(|_| claim.ballot == ballot);
            asking.map(|asking| asking.votes.put(from, process, views))
        };
        if self.claims.change(key, counts).flatten().is_some() {
            self.look_at_votes(now, key, sending, out);
        }
    }

    fn look_at_votes(&mut self, _now: Micros, key: &Key, sending: u64, out: &mut Vec<Output>) {
        let agreed = {
            let Some(asking) = self.claims.get(key).and_then(|c| c.asking.get(&sending)) else {
                return;
            };
            match self.without(Guard::Views) {
                true => asking.votes.voters().collect(),
                false => asking.votes.agreeing(self.group.me),
            }
        };
        if !self.group.is_majority(agreed) && !self.without(Guard::Majority) {
            return;
        }
        self.claims
            .change(key, |claim| claim.asking.remove(&sending));
        self.counts.held += 1;
        out.push(Output::Leave {
            key: key.clone(),
            sending,
            left: Ok(false),
        });
    }

    #[allow(clippy::too_many_arguments)] // The parts of one message.
    pub(crate) fn refused(
        &mut self,
        now: Micros,
        from: MemberIndex,
        key: &Key,
        ballot: Ballot,
        sending: Option<u64>,
        why: Refusal,
        shared: Option<Shared>,
        transit: Micros,
        out: &mut Vec<Output>,
    ) {
        if let Some(shared) = &shared {
            self.store.join(now, key, shared, transit);
        }
        let Some(claim) = self.claims.get(key).filter(|c| c.ballot == ballot) else {
            return;
        };
        // The others' reasons may pass; it is asked again until its time is over.
        if why != Refusal::Owned && why != Refusal::Late {
            return;
        }
        match (sending, &claim.stage) {
            // Symptom: the two had not heard of each other for a while, so that nobody knew how long it was under way.
            // Now it is known.
            (Some(sending), _) if why == Refusal::Late => self.ask(now, key, sending, &[from], out),
            (None, Stage::Fencing(_)) if why == Refusal::Late => {
                self.ask_fence(now, key, &[from], out)
            }
            (None, _) if why == Refusal::Late => {}
            (None, Stage::Fencing(f)) => {
                let (tries, give_up) = (claim.tries, f.give_up);
                let again = now.saturating_add(self.step_back(tries));
                self.claims.change(key, |claim| {
                    claim.tries += 1;
                    claim.stage = Stage::StepsBack { again, give_up };
                });
            }
            (Some(sending), Stage::Mine) if claim.asking.contains_key(&sending) => {
                self.loses(now, key, out)
            }
            _ => {}
        }
    }

    /// Another owner has it: what waits here for a majority does not leave any more.
    pub(crate) fn loses(&mut self, now: Micros, key: &Key, out: &mut Vec<Output>) {
        let loses = |claim: &mut Claim| {
            let mine = claim.stage == Stage::Mine;
            mine.then(|| {
                claim.stage = Stage::Watching(None);
                std::mem::take(&mut claim.asking)
            })
        };
        let Some(asking) = self.claims.change(key, loses).flatten() else {
            return;
        };
        self.counts.lost_to_others += 1;
        for sending in asking.into_keys() {
            self.end(now, key, sending, Sent::NeverRan);
            out.push(Output::Leave {
                key: key.clone(),
                sending,
                left: Err(Lack::Elsewhere),
            });
        }
    }

    /// Something about it has changed.
    pub(crate) fn look_again(&mut self, now: Micros, key: &Key, out: &mut Vec<Output>) {
        let (Some(claim), Some(e)) = (self.claims.get(key), self.store.effect(key).cloned()) else {
            return;
        };
        match &claim.stage {
            Stage::Mine if e.owner.ballot != claim.ballot => {
                self.loses(now, key, out);
                self.look_again(now, key, out);
            }
            Stage::Watching(Some(_)) => self.settle(now, key, false, out),
            Stage::Watching(None) => {
                let because = match &e.answer {
                    _ if e.fault => Some(Because::Fault),
                    Some(Answered::Kept(answer)) => {
                        self.counts.answers_known += 1;
                        return self.conclude(now, key, Verdict::Answer(answer.clone()), out);
                    }
                    Some(Answered::TooLarge) => Some(Because::TooLarge),
                    None if e.closed => Some(Because::Closed),
                    None => None,
                };
                if let Some(because) = because {
                    return self.conclude(now, key, Verdict::MayHaveRun(because), out);
                }
                // Its own older ballot, or one of somebody who is gone or has let go of it.
                let own =
                    e.owner.ballot.member == self.group.me && e.owner.ballot.nonce == self.nonce;
                if own || self.is_free(&e.owner) {
                    self.fence(now, key, now.saturating_add(self.terms.copied_within), out);
                }
            }
            _ => {}
        }
    }

    pub(crate) fn left(&mut self, now: Micros, key: &Key, sending: u64, place: u32) {
        let (ix, member, slot) = ((self.nonce, sending), self.group.me, self.fresh(now, true));
        self.change(now, key, slot, |slot| {
            slot.first.get_or_insert(now);
            if let Record::Effect(e) = &mut slot.record {
                e.taken = true;
                e.sendings.insert(
                    ix,
                    Sending {
                        member,
                        state: Sent::Intended,
                        place,
                    },
                );
            }
        });
    }

    fn end(&mut self, now: Micros, key: &Key, sending: u64, state: Sent) {
        let ix = (self.nonce, sending);
        let Some(slot) = self.store.get(key).cloned() else {
            return;
        };
        self.change(now, key, slot, |slot| {
            if let Record::Effect(e) = &mut slot.record
                && let Some(s) = e.sendings.get_mut(&ix)
            {
                s.state = s.state.max(state);
            }
        });
    }

    pub(crate) fn ended(
        &mut self,
        now: Micros,
        key: &Key,
        sending: u64,
        may_have_run: bool,
        out: &mut Vec<Output>,
    ) {
        self.claims
            .change(key, |claim| claim.asking.remove(&sending));
        self.end(
            now,
            key,
            sending,
            if may_have_run {
                Sent::MayHaveRun
            } else {
                Sent::NeverRan
            },
        );
        // A later claim here may have waited for it.
        self.look_again(now, key, out);
    }

    pub(crate) fn answered(&mut self, now: Micros, key: &Key, answer: Bytes) {
        let Some(slot) = self.store.get(key).cloned() else {
            return;
        };
        let answer = match answer.len() <= self.terms.most_answer {
            true => Answered::Kept(answer),
            false => {
                self.counts.answers_too_large += 1;
                Answered::TooLarge
            }
        };
        let mut faulty = false;
        self.change(now, key, slot, |slot| {
            let Record::Effect(e) = &mut slot.record else {
                return;
            };
            match &e.answer {
                None if !e.closed => e.answer = Some(answer),
                // Symptom: two routers gave different answers to one message.
                Some(known) if *known != answer && !e.fault => (e.fault, faulty) = (true, true),
                _ => {}
            }
        });
        self.store.faults += u64::from(faulty);
        self.claims.change(key, |claim| {
            claim.stage = Stage::Told;
            claim.asking.clear();
        });
    }

    pub(crate) fn closed(&mut self, now: Micros, key: &Key) {
        self.claims.remove(key);
        let Some(slot) = self.store.get(key).cloned() else {
            return;
        };
        self.change(now, key, slot, |slot| {
            if let Record::Effect(e) = &mut slot.record {
                e.close();
            }
        });
    }

    pub(crate) fn dropped(&mut self, now: Micros, key: &Key) {
        let asking = self
            .claims
            .change(key, |c| std::mem::take(&mut c.asking))
            .unwrap_or_default();
        asking
            .into_keys()
            .for_each(|sending| self.end(now, key, sending, Sent::NeverRan));
        self.let_go(now, key);
        self.claims.remove(key);
    }

    fn let_go(&mut self, now: Micros, key: &Key) {
        let Some(ballot) = self.claims.get(key).map(|c| c.ballot) else {
            return;
        };
        let Some(slot) = self.store.get(key).cloned() else {
            return;
        };
        self.change(now, key, slot, |slot| {
            if let Record::Effect(e) = &mut slot.record
                && e.owner.ballot == ballot
            {
                e.owner.let_go = true;
            }
        });
    }

    pub(crate) fn pass_claims(&mut self, now: Micros, out: &mut Vec<Output>) {
        for key in self.claims.due(now) {
            self.pass_claim(now, &key, out);
        }
    }

    fn pass_claim(&mut self, now: Micros, key: &Key, out: &mut Vec<Output>) {
        let (resend, lives) = (
            now.saturating_add(self.terms.resend_every),
            self.majority_lives(),
        );
        let Some(claim) = self.claims.get(key) else {
            return;
        };
        match &claim.stage {
            Stage::Fencing(f) if now >= f.give_up => {
                let lack = if lives { Lack::Late } else { Lack::Unreachable };
                return self.conclude(now, key, Verdict::NoMajority(lack), out);
            }
            Stage::Fencing(f) if now >= f.resend => {
                self.claims.change(key, |claim| {
                    if let Stage::Fencing(f) = &mut claim.stage {
                        f.resend = resend;
                    }
                });
                let others = self.everybody_else();
                self.ask_fence(now, key, &others, out);
            }
            Stage::StepsBack { give_up, .. } if now >= *give_up => {
                return self.conclude(now, key, Verdict::NoMajority(Lack::Late), out);
            }
            Stage::StepsBack { again, give_up } if now >= *again => {
                let give_up = *give_up;
                return self.fence(now, key, give_up, out);
            }
            _ => {}
        }
        let (mut late, mut again) = (Vec::new(), Vec::new());
        self.claims.change(key, |claim| {
            for (sending, asking) in &mut claim.asking {
                if now >= asking.give_up {
                    late.push((*sending, asking.alone));
                } else if now >= asking.resend {
                    asking.resend = resend;
                    again.push(*sending);
                }
            }
        });
        let others = self.everybody_else();
        for sending in again {
            self.ask(now, key, sending, &others, out);
        }
        for (sending, alone) in late {
            self.claims
                .change(key, |claim| claim.asking.remove(&sending));
            self.counts.lacking_majority += 1;
            if alone {
                self.counts.left_alone += 1;
                out.push(Output::Leave {
                    key: key.clone(),
                    sending,
                    left: Ok(true),
                });
                continue;
            }
            self.end(now, key, sending, Sent::NeverRan);
            let lack = if lives { Lack::Late } else { Lack::Unreachable };
            out.push(Output::Leave {
                key: key.clone(),
                sending,
                left: Err(lack),
            });
        }
    }

    /// Whether a vote may still count here; anything else may.
    pub fn awaits(&self, message: &Message) -> bool {
        let claim =
            |key: &Key, ballot: &Ballot| self.claims.get(key).filter(|c| c.ballot == *ballot);
        match message {
            Message::Holds {
                key,
                ballot,
                sending,
                ..
            } => claim(key, ballot).is_some_and(|c| c.asking.contains_key(sending)),
            Message::Fenced { key, ballot, .. } => claim(key, ballot)
                .is_some_and(|c| matches!(c.stage, Stage::Fencing(_) | Stage::Watching(Some(_)))),
            _ => true,
        }
    }

    /// What this router has taken, and how each stands.
    pub fn claimed(&self) -> impl Iterator<Item = (&Key, &Claim)> {
        self.claims.iter()
    }
}
