//! Which final answer was given to what, until the front has it safely out: never a second one, never a different
//! one. The core tells [`Claims`] what was taken, answered, made safe and lost; it says what is known of a message
//! that comes again.
//!
//! Mechanisms:
//! 1. A claim is held by one delivery of its message at a time, and by those that joined it by their token; all
//!    get the same answer. A front that loses its channel holds nothing any more; the same message delivered
//!    again takes its place.
//! 2. A claim without holder is forgotten when its client has given up, or, with too many of them, the oldest
//!    first: what comes again is then judged by its effect alone.
//! 3. A given answer never changes; it goes once its front says that it is safe.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use cedarpulley::interface::{InvocationIndex, Micros};

use crate::redelivery::Record;
use crate::{Answer, Delivery, Fate, FrontIndex};

/// Claims without holder at most; each is a few hundred bytes. What is forgotten is only taken more strictly.
const MOST_ORPHANS: usize = 10_000;

/// Deliveries that may wait for one answer.
const MOST_HOLDERS: usize = 16;

pub type ClaimIndex = u32;

#[derive(Debug)]
enum State {
    Open(InvocationIndex),
    Given(Answer),
    Ended { may_have_run: bool },
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    delivery: Delivery,
    /// Another message with the same token.
    joined: bool,
}

#[derive(Debug)]
struct Claim {
    identity: Option<Arc<str>>,
    /// Under which a group knows it.
    shared: Option<Arc<str>>,
    holders: Vec<Holder>,
    state: State,
    until: Micros,
}

#[derive(Debug)]
pub struct Claims {
    most_orphans: usize,
    claims: Vec<Option<Claim>>,
    free: Vec<ClaimIndex>,
    by_identity: HashMap<Arc<str>, ClaimIndex>,
    by_holder: HashMap<Delivery, ClaimIndex>,
    orphans: BTreeSet<(Micros, ClaimIndex)>,
    /// Forgotten for want of room.
    pub forgotten: u64,
}

impl Default for Claims {
    fn default() -> Self {
        Claims::bounded(MOST_ORPHANS)
    }
}

impl Claims {
    /// At most so many without holder.
    pub fn bounded(most_orphans: usize) -> Self {
        Claims {
            most_orphans,
            claims: Vec::new(),
            free: Vec::new(),
            by_identity: HashMap::new(),
            by_holder: HashMap::new(),
            orphans: BTreeSet::new(),
            forgotten: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.claims.len() - self.free.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Claims that some delivery still holds: answers owed, or given and not yet safe.
    pub fn held(&self) -> usize {
        self.by_holder.len()
    }

    /// What this router knows of a message, and the invocation that is out for it.
    pub fn known(&self, identity: Option<&str>) -> (Record, Option<ClaimIndex>) {
        let Some(&ix) = identity.and_then(|i| self.by_identity.get(i)) else {
            return (Record::Nothing, None);
        };
        let record = match self.claims[ix as usize].as_ref().map(|c| &c.state) {
            Some(State::Open(_)) => Record::Open,
            Some(State::Given(_)) => Record::Answered,
            Some(State::Ended {
                may_have_run: false,
            }) => Record::NeverRan,
            Some(State::Ended { may_have_run: true }) => Record::MayHaveRun,
            None => return (Record::Nothing, None),
        };
        (record, Some(ix))
    }

    pub fn open(
        &mut self,
        identity: Option<Arc<str>>,
        holder: Delivery,
        inv: InvocationIndex,
        until: Micros,
    ) -> ClaimIndex {
        if let Some(&ix) = identity.as_deref().and_then(|i| self.by_identity.get(i)) {
            self.forget(ix);
        }
        let holders = vec![Holder {
            delivery: holder,
            joined: false,
        }];
        let claim = Claim {
            identity: identity.clone(),
            shared: None,
            holders,
            state: State::Open(inv),
            until,
        };
        let ix = self.free.pop().unwrap_or(self.claims.len() as ClaimIndex);
        if ix as usize == self.claims.len() {
            self.claims.push(None);
        }
        self.claims[ix as usize] = Some(claim);
        if let Some(identity) = identity {
            self.by_identity.insert(identity, ix);
        }
        self.by_holder.insert(holder, ix);
        ix
    }

    pub fn inv(&self, ix: ClaimIndex) -> Option<InvocationIndex> {
        match self.claims.get(ix as usize)?.as_ref()?.state {
            State::Open(inv) => Some(inv),
            _ => None,
        }
    }

    /// The same message has come again and takes the claim over. False if another delivery still holds it: then
    /// the message was published twice, and the one answer goes to the first.
    pub fn rejoin(&mut self, ix: ClaimIndex, holder: Delivery) -> bool {
        let Some(claim) = self.claims[ix as usize].as_mut() else {
            return false;
        };
        if claim.holders.iter().any(|h| !h.joined) {
            return false;
        }
        claim.holders.push(Holder {
            delivery: holder,
            joined: false,
        });
        self.orphans.remove(&(claim.until, ix));
        self.by_holder.insert(holder, ix);
        true
    }

    /// Another message with the same token waits for the same answer. False if too many do already.
    pub fn join(&mut self, ix: ClaimIndex, holder: Delivery) -> bool {
        let claim = self.claims.get_mut(ix as usize).and_then(Option::as_mut);
        let Some(claim) = claim.filter(|c| c.holders.len() < MOST_HOLDERS) else {
            return false;
        };
        claim.holders.push(Holder {
            delivery: holder,
            joined: true,
        });
        self.orphans.remove(&(claim.until, ix));
        self.by_holder.insert(holder, ix);
        true
    }

    /// Whether this delivery holds a claim that has no answer yet.
    pub fn waits(&self, delivery: Delivery) -> bool {
        self.by_holder
            .get(&delivery)
            .is_some_and(|&ix| self.inv(ix).is_some())
    }

    /// This delivery waits no more. The claim it held and whether nobody holds that now.
    pub fn let_go(&mut self, delivery: Delivery) -> Option<(ClaimIndex, bool)> {
        let ix = self.by_holder.remove(&delivery)?;
        let claim = self.claims.get_mut(ix as usize)?.as_mut()?;
        claim.holders.retain(|h| h.delivery != delivery);
        Some((ix, claim.holders.is_empty()))
    }

    /// The answer that was given, if one was.
    pub fn answer(&self, ix: ClaimIndex) -> Option<&Answer> {
        match &self.claims.get(ix as usize)?.as_ref()?.state {
            State::Given(answer) => Some(answer),
            _ => None,
        }
    }

    /// It was told not to have run, and nobody heard that: it may have been taken elsewhere since.
    pub fn withdrawn(&self, ix: ClaimIndex) -> bool {
        let claim = self.claims.get(ix as usize).and_then(Option::as_ref);
        claim.is_some_and(|c| {
            c.holders.is_empty() && matches!(&c.state, State::Given(a) if a.fate == Fate::Throttled)
        })
    }

    /// The final answer; the first one counts, and its holders are to be sent it. A claim that has one already
    /// gives nothing.
    pub fn give(&mut self, ix: ClaimIndex, answer: &Answer) -> Vec<Delivery> {
        match self.claims.get_mut(ix as usize) {
            Some(Some(claim)) if matches!(claim.state, State::Open(_)) => {
                claim.state = State::Given(answer.clone());
                claim.holders.iter().map(|h| h.delivery).collect()
            }
            _ => Vec::new(),
        }
    }

    /// The invocation ended while no front stood to be answered, and without anything worth telling.
    pub fn end(&mut self, ix: ClaimIndex, may_have_run: bool) {
        if let Some(Some(claim)) = self.claims.get_mut(ix as usize) {
            claim.state = State::Ended { may_have_run };
        }
    }

    /// A group knows it under this key.
    pub fn share(&mut self, ix: ClaimIndex, key: Arc<str>) {
        if let Some(Some(claim)) = self.claims.get_mut(ix as usize) {
            claim.shared = Some(key);
        }
    }

    /// The front has the answer safely out: no delivery of it can come again. Under which key a group knows it, if it
    /// was the last that waited.
    pub fn safe(&mut self, delivery: Delivery) -> Option<Arc<str>> {
        let (ix, last) = self.let_go(delivery)?;
        let shared = self
            .claims
            .get_mut(ix as usize)
            .and_then(Option::as_mut)
            .and_then(|c| c.shared.take());
        if last {
            self.forget(ix);
        }
        shared.filter(|_| last)
    }

    /// A front lost its channel: its claims are without holder until the message comes again. Lists the
    /// invocations that were open, and those whose claim had to be forgotten for want of room.
    pub fn front_lost(
        &mut self,
        front: FrontIndex,
    ) -> (Vec<InvocationIndex>, Vec<InvocationIndex>) {
        let (mut open, mut forgotten) = (Vec::new(), Vec::new());
        for (i, slot) in self.claims.iter_mut().enumerate() {
            let Some(claim) = slot else { continue };
            let lost: Vec<Delivery> = claim
                .holders
                .extract_if(.., |h| h.delivery.front == front)
                .map(|h| h.delivery)
                .collect();
            lost.iter().for_each(|d| {
                self.by_holder.remove(d);
            });
            if lost.is_empty() || !claim.holders.is_empty() {
                continue;
            }
            self.orphans.insert((claim.until, i as ClaimIndex));
            if let State::Open(inv) = claim.state {
                open.push(inv);
            }
        }
        while self.orphans.len() > self.most_orphans
            && let Some(&(_, ix)) = self.orphans.first()
        {
            self.forgotten += 1;
            forgotten.extend(self.inv(ix));
            self.forget(ix);
        }
        (open, forgotten)
    }

    /// Forgets what no client waits for any more.
    pub fn tidy(&mut self, now: Micros) {
        while let Some(&(until, ix)) = self.orphans.first()
            && until <= now
        {
            self.forget(ix);
        }
    }

    pub fn forget(&mut self, ix: ClaimIndex) {
        let Some(claim) = self.claims.get_mut(ix as usize).and_then(Option::take) else {
            return;
        };
        if let Some(identity) = &claim.identity
            && self.by_identity.get(identity) == Some(&ix)
        {
            self.by_identity.remove(identity);
        }
        claim.holders.iter().for_each(|h| {
            self.by_holder.remove(&h.delivery);
        });
        self.orphans.remove(&(claim.until, ix));
        self.free.push(ix);
    }
}
