//! What a member promises and holds for others. A vote is given only by one that remembers enough, and never against
//! what it promised before.

use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use crate::record::{Ballot, Effect, FIRST, Owner, Record, Sending, SendingIx, Sent};
use crate::replica::{Guard, Output, Replica};
use crate::store::{Joined, Key, Origin, Shared, Slot};
use crate::wire::{Message, Refusal};

impl Replica {
    #[allow(clippy::too_many_arguments)] // The parts of one message.
    pub(crate) fn asked_to_hold(
        &mut self,
        now: Micros,
        from: MemberIndex,
        key: Key,
        ballot: Ballot,
        sending: u64,
        blind: bool,
        shared: Shared,
        transit: Micros,
        out: &mut Vec<Output>,
    ) {
        let refuse = |it: &mut Self, why, out: &mut Vec<Output>| {
            it.refuses(now, from, key.clone(), ballot, Some(sending), why, out);
        };
        let stands = match self.store.effect(&key) {
            None => true,
            // Promised to a later owner.
            Some(e) if e.owner.ballot.number > FIRST && e.owner.ballot > ballot => {
                self.without(Guard::Promise)
            }
            // Symptom: two routers were given one message. Its owner was told here before its intent came, and
            // another one's intent is held already: that one may have leave.
            Some(e) if blind => {
                let others = |(ix, s): (&SendingIx, &Sending)| {
                    ix.0 != ballot.nonce && s.state != Sent::NeverRan
                };
                let over = e.closed || e.answer.is_some();
                let alone = e.owner.ballot == ballot && !over && !e.sendings.iter().any(others);
                alone || self.without(Guard::Blind)
            }
            Some(_) => true,
        };
        if !self.votes() {
            // Held all the same, so that it is known here; but that is no vote.
            if stands {
                self.learn(now, key.clone(), &shared, transit, out);
            }
            return refuse(self, Refusal::Returning, out);
        }
        if !stands {
            return refuse(self, Refusal::Owned, out);
        }
        match self.store.join(now, &key, &shared, transit) {
            Joined::Forgotten => refuse(self, Refusal::Forgotten, out),
            Joined::Full => refuse(self, Refusal::Full, out),
            Joined::Changed | Joined::Nothing => {
                let message = Message::Holds {
                    key: key.clone(),
                    ballot,
                    sending,
                    views: self.views(),
                };
                out.push(Output::Send { to: from, message });
                self.noticed(now, &key, out);
            }
        }
    }

    #[allow(clippy::too_many_arguments)] // The parts of one message.
    pub(crate) fn refuses(
        &mut self,
        now: Micros,
        to: MemberIndex,
        key: Key,
        ballot: Ballot,
        sending: Option<u64>,
        why: Refusal,
        out: &mut Vec<Output>,
    ) {
        self.counts.refusals_given += 1;
        let shared = self.store.shared(now, &key);
        out.push(Output::Send {
            to,
            message: Message::Refused {
                key,
                ballot,
                sending,
                why,
                shared,
            },
        });
    }

    #[allow(clippy::too_many_arguments)] // The parts of one message.
    pub(crate) fn asked_to_fence(
        &mut self,
        now: Micros,
        from: MemberIndex,
        key: Key,
        ballot: Ballot,
        origin: Origin,
        left: Micros,
        out: &mut Vec<Output>,
    ) {
        let known = self.store.effect(&key).map(|e| e.owner.ballot);
        let why = if !self.votes() {
            Some(Refusal::Returning)
        } else if known.is_some_and(|known| known > ballot) {
            Some(Refusal::Owned)
        } else if left <= 0 || self.store.was_forgotten(origin) {
            Some(Refusal::Forgotten)
        } else if known.is_none() && self.store.is_full() {
            self.counts.full += 1;
            Some(Refusal::Full)
        } else {
            None
        };
        if let Some(why) = why {
            return self.refuses(now, from, key, ballot, None, why, out);
        }
        // What waits here for a majority under an older ballot never left, and the one that asks is told so at once.
        self.loses(now, &key, out);
        let shared = self.store.shared(now, &key);
        self.promise(now, &key, ballot, origin, left);
        let message = Message::Fenced {
            key,
            ballot,
            shared,
            views: self.views(),
        };
        out.push(Output::Send { to: from, message });
    }

    /// Nothing below this ballot from now on.
    pub(crate) fn promise(
        &mut self,
        now: Micros,
        key: &Key,
        ballot: Ballot,
        origin: Origin,
        left: Micros,
    ) -> bool {
        let owner = Owner {
            ballot,
            let_go: false,
        };
        let until = now.saturating_add(left);
        let record = Record::Effect(Effect {
            owner,
            ..Effect::default()
        });
        self.store.change(
            key,
            || Slot {
                record,
                origin,
                until,
                first: None,
                proves: None,
            },
            |slot| {
                if let Record::Effect(e) = &mut slot.record
                    && ballot > e.owner.ballot
                {
                    e.owner = owner;
                    (slot.origin, slot.until) = (origin, until);
                }
            },
        )
    }
}
