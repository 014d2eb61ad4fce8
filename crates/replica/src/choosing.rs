//! What a majority decides: a value once and for all (which version a session belongs to), or one value after the other
//! by whoever leads (the step of a plan). In both, a ballot is first promised by a majority, which tells what was
//! accepted before; what is written under it counts once a majority has accepted it.
//!
//! Mechanisms:
//! 1. Once: whoever finds a value accepted goes on with that one, not with its own.
//! 2. In terms: whoever leads knows the last value of all earlier terms, and nobody with a lower ballot can write any
//!    more. Values of one term have to grow, byte by byte: a step's number comes first in them.

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use crate::keeping::Vote;
use crate::owning::Lack;
use crate::record::{Ballot, Choice, FIRST, Record};
use crate::replica::{Guard, Output, Replica, hashed};
use crate::store::{Key, Slot};
use crate::wire::{Message, Refusal, Views, Votes, choice, short};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// This is what was decided, whoever wished it.
    Chosen(Bytes),
    /// This member may write in this term; what the last one wrote.
    Leads {
        ballot: Ballot,
        last: Option<Bytes>,
    },
    /// What was to be written in this term stands.
    Written {
        ballot: Ballot,
    },
    /// Another one leads by now.
    Overtaken,
    NoMajority(Lack),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Aim {
    Once,
    Lead,
    Write,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Preparing,
    Accepting,
    StepsBack { again: Micros },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    aim: Aim,
    ballot: Ballot,
    stage: Stage,
    votes: Votes,
    value: Option<Bytes>,
    /// The highest accepted that was told.
    best: Option<(Ballot, Bytes)>,
    kept: Micros,
    tries: u32,
    resend: Micros,
    give_up: Micros,
}

impl Proposal {
    /// `accepts`: the value's hash; absent: a promise.
    fn waits_for(&self, ballot: Ballot, accepts: Option<u64>) -> bool {
        let this = match accepts {
            None => self.stage == Stage::Preparing,
            Some(of) => {
                self.stage == Stage::Accepting && self.value.as_ref().map(hashed) == Some(of)
            }
        };
        self.ballot == ballot && this
    }

    fn due(&self) -> Micros {
        match self.stage {
            Stage::StepsBack { again } => again.min(self.give_up),
            _ => self.resend.min(self.give_up),
        }
    }
}

impl Replica {
    fn known_choice(&self, key: &str) -> Choice {
        self.store
            .get(key)
            .and_then(|s| choice(&s.record))
            .unwrap_or_default()
    }

    fn propose(&mut self, now: Micros, key: Key, proposal: Proposal, out: &mut Vec<Output>) {
        let lack = match () {
            () if !self.votes() => Some(Lack::Returning),
            () if !self.majority_lives() => Some(Lack::Unreachable),
            () => None,
        };
        if let Some(lack) = lack {
            let outcome = Outcome::NoMajority(lack);
            return out.push(Output::Decided { key, outcome });
        }
        let begins = proposal.stage.clone();
        self.proposals.insert(key.clone(), proposal);
        match begins {
            Stage::Accepting => self.begin_accepting(now, &key, out),
            _ => self.begin_preparing(now, &key, out),
        }
    }

    fn proposal(&self, now: Micros, aim: Aim, value: Option<Bytes>, kept: Micros) -> Proposal {
        Proposal {
            aim,
            ballot: Ballot::default(),
            stage: Stage::Preparing,
            votes: Votes::default(),
            value,
            best: None,
            kept,
            tries: 0,
            resend: now.saturating_add(self.terms.resend_every),
            give_up: now.saturating_add(self.terms.copied_within),
        }
    }

    pub(crate) fn choose(
        &mut self,
        now: Micros,
        key: Key,
        value: Bytes,
        kept: Micros,
        out: &mut Vec<Output>,
    ) {
        let proposal = self.proposal(now, Aim::Once, Some(value), kept);
        self.propose(now, key, proposal, out);
    }

    pub(crate) fn lead(&mut self, now: Micros, key: Key, kept: Micros, out: &mut Vec<Output>) {
        let proposal = self.proposal(now, Aim::Lead, None, kept);
        self.propose(now, key, proposal, out);
    }

    pub(crate) fn write(
        &mut self,
        now: Micros,
        key: Key,
        ballot: Ballot,
        value: Bytes,
        kept: Micros,
        out: &mut Vec<Output>,
    ) {
        let proposal = Proposal {
            ballot,
            stage: Stage::Accepting,
            ..self.proposal(now, Aim::Write, Some(value), kept)
        };
        self.propose(now, key, proposal, out);
    }

    fn begin_preparing(&mut self, now: Micros, key: &Key, out: &mut Vec<Output>) {
        let known = self.known_choice(key);
        let accepted = known.accepted.as_ref().map_or(FIRST, |a| a.0.number);
        let number = known.promised.number.max(accepted).saturating_add(1);
        let ballot = self.ballot(number);
        let Some(mut p) = self.proposals.remove(key) else {
            return;
        };
        (p.ballot, p.stage, p.votes) = (ballot, Stage::Preparing, Votes::default());
        p.best = known.accepted;
        if !self.promises_choice(now, key, ballot, p.kept) {
            let outcome = Outcome::NoMajority(Lack::Full);
            return out.push(Output::Decided {
                key: key.clone(),
                outcome,
            });
        }
        self.proposals.insert(key.clone(), p);
        self.ask_choice(key, &self.everybody_else(), out);
        self.votes_on(
            now,
            key,
            Vote::Own {
                ballot,
                accepts: None,
            },
            out,
        );
    }

    fn begin_accepting(&mut self, now: Micros, key: &Key, out: &mut Vec<Output>) {
        let Some(mut p) = self.proposals.remove(key) else {
            return;
        };
        let Some(value) = p.value.clone() else { return };
        if !self.accepts_choice(now, key, p.ballot, value, p.kept) {
            return out.push(Output::Decided {
                key: key.clone(),
                outcome: Outcome::Overtaken,
            });
        }
        (p.stage, p.votes) = (Stage::Accepting, Votes::default());
        let (ballot, accepts) = (p.ballot, p.value.as_ref().map(hashed));
        self.proposals.insert(key.clone(), p);
        self.ask_choice(key, &self.everybody_else(), out);
        self.votes_on(now, key, Vote::Own { ballot, accepts }, out);
    }

    /// Its own vote counts now, if others are still asked for theirs.
    pub(crate) fn votes_itself(
        &mut self,
        now: Micros,
        key: &Key,
        ballot: Ballot,
        accepts: Option<u64>,
        out: &mut Vec<Output>,
    ) {
        let (me, process, views) = (self.group.me, short(self.nonce), self.views());
        let Some(p) = self
            .proposals
            .get_mut(key)
            .filter(|p| p.waits_for(ballot, accepts))
        else {
            return;
        };
        p.votes.put(me, process, views);
        self.weigh(now, key, out);
    }

    fn ask_choice(&mut self, key: &Key, whom: &[MemberIndex], out: &mut Vec<Output>) {
        let Some(p) = self.proposals.get(key) else {
            return;
        };
        for to in whom.iter().copied().filter(|m| !p.votes.has(*m)) {
            let (key, ballot, left) = (key.clone(), p.ballot, p.kept);
            let message = match (&p.stage, &p.value) {
                (Stage::Preparing, _) => Message::Prepare { key, ballot, left },
                (Stage::Accepting, Some(value)) => Message::Accept {
                    key,
                    ballot,
                    value: value.clone(),
                    left,
                },
                _ => return,
            };
            out.push(Output::Send { to, message });
        }
    }

    /// What the votes so far amount to.
    fn weigh(&mut self, now: Micros, key: &Key, out: &mut Vec<Output>) {
        let Some(p) = self.proposals.get(key) else {
            return;
        };
        let agreed = match self.without(Guard::Views) {
            true => p.votes.voters().collect(),
            false => p.votes.agreeing(self.group.me),
        };
        if !self.group.is_majority(agreed) {
            return;
        }
        let (aim, ballot, best) = (p.aim, p.ballot, p.best.clone());
        let outcome = match (&p.stage, aim) {
            (Stage::Preparing, Aim::Lead) => Outcome::Leads {
                ballot,
                last: best.map(|b| b.1),
            },
            (Stage::Preparing, _) => {
                if let Some((_, value)) = best.filter(|_| !self.without(Guard::Adopted))
                    && let Some(p) = self.proposals.get_mut(key)
                {
                    p.value = Some(value);
                }
                return self.begin_accepting(now, key, out);
            }
            (Stage::Accepting, Aim::Write) => Outcome::Written { ballot },
            (Stage::Accepting, _) => Outcome::Chosen(p.value.clone().unwrap_or_default()),
            (Stage::StepsBack { .. }, _) => return,
        };
        self.proposals.remove(key);
        self.tell(now, key);
        out.push(Output::Decided {
            key: key.clone(),
            outcome,
        });
    }

    /// True if nothing below this ballot is accepted from now on.
    fn promises_choice(&mut self, now: Micros, key: &Key, ballot: Ballot, left: Micros) -> bool {
        if self.known_choice(key).promised > ballot && !self.without(Guard::Promise) {
            return false;
        }
        let (origin, until) = (self.origin(), now.saturating_add(left));
        let absent = || Slot {
            record: Record::Choice(Choice::default()),
            origin,
            until,
            first: None,
            proves: None,
        };
        self.store.change(key, absent, |slot| {
            if let Record::Choice(c) = &mut slot.record {
                c.promised = c.promised.max(ballot);
                slot.until = slot.until.max(until);
            }
        })
    }

    fn accepts_choice(
        &mut self,
        now: Micros,
        key: &Key,
        ballot: Ballot,
        value: Bytes,
        left: Micros,
    ) -> bool {
        if !self.promises_choice(now, key, ballot, left) {
            return false;
        }
        let Some(slot) = self.store.get(key).cloned() else {
            return false;
        };
        self.store.change(
            key,
            || slot,
            |slot| {
                // Within a term the later value is the greater one, and messages may come out of order.
                if let Record::Choice(c) = &mut slot.record {
                    c.accepted = c.accepted.take().max(Some((ballot, value)));
                }
            },
        )
    }

    pub(crate) fn overtakes(&self, key: &Key, ballot: Ballot, why: Refusal) -> Message {
        let choice = self.store.get(key).and_then(|s| choice(&s.record));
        Message::Overtaken {
            key: key.clone(),
            ballot,
            choice,
            why,
        }
    }

    pub(crate) fn asked_to_prepare(
        &mut self,
        now: Micros,
        from: MemberIndex,
        key: Key,
        ballot: Ballot,
        left: Micros,
        out: &mut Vec<Output>,
    ) {
        let refused = if !self.votes() {
            Some(Refusal::Returning)
        } else if self.known_choice(&key).promised > ballot && !self.without(Guard::Promise) {
            Some(Refusal::Owned)
        } else if left <= 0 || !self.promises_choice(now, &key, ballot, left) {
            Some(Refusal::Full)
        } else {
            None
        };
        if let Some(why) = refused {
            let message = self.overtakes(&key, ballot, why);
            return out.push(Output::Send { to: from, message });
        }
        let choice = self.known_choice(&key);
        let message = Message::Prepared {
            key: key.clone(),
            ballot,
            choice,
            views: self.views(),
        };
        self.votes_on(now, &key, Vote::Given { to: from, message }, out);
    }

    #[allow(clippy::too_many_arguments)] // The parts of one message.
    pub(crate) fn asked_to_accept(
        &mut self,
        now: Micros,
        from: MemberIndex,
        key: Key,
        ballot: Ballot,
        value: Bytes,
        left: Micros,
        out: &mut Vec<Output>,
    ) {
        let of = hashed(&value);
        let refused = if !self.votes() {
            Some(Refusal::Returning)
        } else if left <= 0 || !self.accepts_choice(now, &key, ballot, value, left) {
            Some(Refusal::Owned)
        } else {
            None
        };
        if let Some(why) = refused {
            let message = self.overtakes(&key, ballot, why);
            return out.push(Output::Send { to: from, message });
        }
        out.push(Output::Noticed(key.clone()));
        let message = Message::Accepted {
            key: key.clone(),
            ballot,
            of,
            views: self.views(),
        };
        self.votes_on(now, &key, Vote::Given { to: from, message }, out);
    }

    #[allow(clippy::too_many_arguments)] // The parts of one message.
    pub(crate) fn prepared(
        &mut self,
        now: Micros,
        from: MemberIndex,
        process: u32,
        key: &Key,
        ballot: Ballot,
        choice: Choice,
        views: Views,
        out: &mut Vec<Output>,
    ) {
        let Some(p) = self
            .proposals
            .get_mut(key)
            .filter(|p| p.waits_for(ballot, None))
        else {
            return;
        };
        p.votes.put(from, process, views);
        p.best = p.best.take().max(choice.accepted);
        self.weigh(now, key, out);
    }

    #[allow(clippy::too_many_arguments)] // The parts of one message.
    pub(crate) fn accepted(
        &mut self,
        now: Micros,
        from: MemberIndex,
        process: u32,
        key: &Key,
        ballot: Ballot,
        of: u64,
        views: Views,
        out: &mut Vec<Output>,
    ) {
        let Some(p) = self
            .proposals
            .get_mut(key)
            .filter(|p| p.waits_for(ballot, Some(of)))
        else {
            return;
        };
        p.votes.put(from, process, views);
        self.weigh(now, key, out);
    }

    #[allow(clippy::too_many_arguments)] // The parts of one message.
    pub(crate) fn overtaken(
        &mut self,
        now: Micros,
        from: MemberIndex,
        key: &Key,
        ballot: Ballot,
        choice: Option<Choice>,
        why: Refusal,
        out: &mut Vec<Output>,
    ) {
        let Some(p) = self.proposals.get(key).filter(|p| p.ballot == ballot) else {
            return;
        };
        if why == Refusal::Late {
            return self.ask_choice(key, &[from], out);
        }
        if why != Refusal::Owned {
            return;
        }
        let (aim, tries, kept) = (p.aim, p.tries, p.kept);
        // Its ballot has to be passed by the next try.
        if let Some(choice) = choice {
            self.promises_choice(now, key, choice.promised, kept);
        }
        if aim == Aim::Write {
            self.proposals.remove(key);
            return out.push(Output::Decided {
                key: key.clone(),
                outcome: Outcome::Overtaken,
            });
        }
        let again = now.saturating_add(self.step_back(tries));
        if let Some(p) = self.proposals.get_mut(key) {
            p.tries += 1;
            p.stage = Stage::StepsBack { again };
        }
    }

    pub(crate) fn proposals_due(&self) -> Micros {
        self.proposals
            .values()
            .map(Proposal::due)
            .min()
            .unwrap_or(Micros::MAX)
    }

    pub(crate) fn pass_proposals(&mut self, now: Micros, out: &mut Vec<Output>) {
        let due: Vec<Key> = self
            .proposals
            .iter()
            .filter(|(_, p)| p.due() <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            let (resend, lives) = (
                now.saturating_add(self.terms.resend_every),
                self.majority_lives(),
            );
            let Some(p) = self.proposals.get_mut(&key) else {
                continue;
            };
            if now >= p.give_up {
                self.proposals.remove(&key);
                let lack = if lives { Lack::Late } else { Lack::Unreachable };
                out.push(Output::Decided {
                    key,
                    outcome: Outcome::NoMajority(lack),
                });
            } else if let Stage::StepsBack { .. } = p.stage {
                p.resend = resend;
                self.begin_preparing(now, &key, out);
            } else {
                p.resend = resend;
                self.ask_choice(&key, &self.everybody_else(), out);
            }
        }
    }
}
