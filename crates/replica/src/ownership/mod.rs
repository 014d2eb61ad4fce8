//! Ownership of invocations: which router may dispatch an invocation that must not run twice.
//!
//! 1. First owner: a router takes a new invocation without asking other members; the first request to them is for the
//!    first intent. A first ballot is valid only where the record has no other owner.
//! 2. Takeover: a majority promises a higher ballot and reports its records of the invocation. If an answer is known,
//!    it is returned again. If a dispatch may have run, the invocation is not dispatched again. If a dispatch is in
//!    flight at an owner that is alive, the new owner waits for its outcome. If nothing was dispatched, the new owner
//!    dispatches the invocation.
//! 3. Loss: an owner that meets a higher ballot abandons the dispatches that it has not sent, and waits for the new
//!    owner as long as the new owner is alive.
//! 4. An intent that has no majority in time is abandoned and recorded as not sent. If the operator allows dispatches
//!    without a majority, the dispatch is sent instead.
//!
//! # Safety
//!
//! Invariant: at most one dispatch of an invocation may have run, unless the operator allows dispatches without a
//! majority. This is fencing: a ballot is the fencing token, and the acceptors are the resource that checks it.
//!
//! * A dispatch is sent only after a majority has stored its intent under the owner's ballot. A takeover has the
//!   promises of a majority not to store any intent under a lower ballot. Two majorities share a member. This member
//!   either stored the intent before its promise and reports it, or promised first and rejects the intent. So a
//!   takeover knows every intent that was or will be permitted under a lower ballot.
//! * An intent is considered never permitted only if no majority can have stored it, even if every member whose answer
//!   is missing did store it (`assessment`).
//! * Crash: a dispatch that a crashed owner had permitted is treated as one that may have run, because its outcome
//!   cannot be determined any more.
//! * Partition: an owner that is cut off obtains no majority for a new intent. The new owner knows the dispatches that
//!   were sent before, and waits for them or treats them as dispatches that may have run.
//! * Restart with a lost disk: the restarted member does not vote until it has caught up, and its new process is a
//!   different owner with different ballots. If records of an invocation may be lost because several members restarted,
//!   the invocation is marked, and the absence of an intent proves nothing ([`crate::recovery`]).
//! * Expiry: the absence of a record is a proof only while the record cannot have expired at any member, with a margin
//!   for clocks that diverge ([`crate::store::StoredRecord::proof_until`]). No other step relies on clocks.

mod assessment;
mod claim;
mod claim_table;
mod decision;
mod intents;
mod takeover;

use bytes::Bytes;
use cedarpulley::interface::Micros;

pub use claim::Claim;
pub use decision::{Durability, IndeterminateReason, NoMajorityReason, OwnershipDecision};

use crate::context::{Context, Sender};
use crate::events::Output;
use crate::record::{Ballot, FIRST_BALLOT_NUMBER, IntentState, Invocation, StoredAnswer};
use crate::store::{Key, RecordCopy};
use crate::wire::{Message, RejectionReason};
use claim::Stage;
use claim_table::ClaimTable;

/// An acceptor's rejection of an intent or a fence.
pub(crate) struct Rejection {
    pub(crate) key: Key,
    pub(crate) ballot: Ballot,
    /// The dispatch whose intent was rejected; absent for a fence.
    pub(crate) dispatch: Option<u64>,
    pub(crate) reason: RejectionReason,
    pub(crate) record: Option<RecordCopy>,
}

/// The invocations that this router has taken.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Ownership {
    claims: ClaimTable,
}

impl Ownership {
    /// This router has accepted an invocation.
    pub(crate) fn announce(
        &mut self,
        cx: &mut Context<'_>,
        key: &Key,
        durability: Durability,
        redelivered: bool,
    ) {
        cx.counts.taken += 1;
        let known = cx.member.store().invocation(key).cloned();
        if let Some(Invocation {
            answer: Some(StoredAnswer::Stored(answer)),
            has_conflict: false,
            ..
        }) = &known
        {
            cx.counts.answers_repeated += 1;
            self.open_claim(cx, key, Stage::Decided);
            return emit_decision(cx, key, OwnershipDecision::Answer(answer.clone()));
        }
        if durability == Durability::Local {
            self.open_claim(cx, key, Stage::Owner);
            let first_dispatch_ago = time_since_first_dispatch(cx, key);
            return emit_decision(cx, key, OwnershipDecision::Dispatch { first_dispatch_ago });
        }
        if known.as_ref().is_some_and(|invocation| invocation.closed) {
            let decision = OwnershipDecision::Indeterminate(IndeterminateReason::Closed);
            return self.conclude(cx, key, decision);
        }
        self.announce_to_majority(cx, key, known, redelivered);
    }

    /// This router has accepted an invocation that needs a majority and is not known to be over. `known`: its record, if
    /// there is one.
    fn announce_to_majority(
        &mut self,
        cx: &mut Context<'_>,
        key: &Key,
        known: Option<Invocation>,
        redelivered: bool,
    ) {
        let is_full = known.is_none() && cx.member.store().is_full();
        let obstacle = cx.member.majority_obstacle();
        if let Some(reason) = obstacle.or(is_full.then_some(NoMajorityReason::StoreFull)) {
            return self.conclude(cx, key, OwnershipDecision::NoMajority(reason));
        }
        match known {
            None if !redelivered => {
                let record = cx.new_invocation();
                cx.change(key, record, |_| {});
                self.open_claim(cx, key, Stage::Owner);
                emit_decision(
                    cx,
                    key,
                    OwnershipDecision::Dispatch {
                        first_dispatch_ago: None,
                    },
                );
            }
            // The message was delivered to two routers at the same time, as a first delivery to each. The owner keeps
            // the invocation, and this router waits for the outcome.
            Some(invocation)
                if !redelivered && !cx.member.has_no_active_owner(&invocation.owner) =>
            {
                self.open_claim(cx, key, Stage::AwaitingOwner(None));
                cx.counts.awaiting_other_owner += 1;
                emit_decision(cx, key, OwnershipDecision::Wait);
                self.on_record_changed(cx, key);
            }
            _ => {
                self.open_claim(cx, key, Stage::Decided);
                let deadline = cx.replication_deadline();
                self.begin_takeover(cx, key, deadline);
            }
        }
    }

    /// Creates a claim under this process's first ballot, or replaces the earlier claim.
    fn open_claim(&mut self, cx: &Context<'_>, key: &Key, stage: Stage) {
        let claim = Claim::new(cx.member.ballot(FIRST_BALLOT_NUMBER), stage);
        self.claims.insert(key.clone(), claim);
    }

    fn set_stage(&mut self, key: &Key, stage: Stage) {
        self.claims.change(key, |claim| claim.stage = stage);
    }

    /// Emits the final decision on an invocation.
    fn conclude(&mut self, cx: &mut Context<'_>, key: &Key, decision: OwnershipDecision) {
        match decision {
            OwnershipDecision::Answer(_) => cx.counts.answers_repeated += 1,
            OwnershipDecision::Indeterminate(_) => cx.counts.indeterminate += 1,
            OwnershipDecision::NoMajority(_) => {
                cx.counts.without_majority += 1;
                // Other members must not wait for this member.
                self.release(cx, key);
            }
            OwnershipDecision::Dispatch { .. } | OwnershipDecision::Wait => {}
        }
        if self.claims.get(key).is_some() {
            self.set_stage(key, Stage::Decided);
        } else {
            let claim = Claim::new(Ballot::default(), Stage::Decided);
            self.claims.insert(key.clone(), claim);
        }
        emit_decision(cx, key, decision);
    }

    /// An acceptor has rejected an intent or a fence.
    pub(crate) fn on_rejected(
        &mut self,
        cx: &mut Context<'_>,
        from: Sender,
        rejection: &Rejection,
    ) {
        let Rejection { key, dispatch, .. } = rejection;
        if let Some(record) = &rejection.record {
            let store = cx.member.store_mut();
            store.merge(cx.now, key, record, from.transit);
        }
        let claim = self.claims.get(key);
        let Some(claim) = claim.filter(|c| c.ballot == rejection.ballot) else {
            return;
        };
        match (rejection.reason, dispatch, &claim.stage) {
            // The two members had not communicated for a while, so the bound of the request's time in transit was too
            // high. The rejection has made the bound accurate, so the request is sent again at once.
            (RejectionReason::TooLate, Some(dispatch), _) => {
                self.request_votes_on_intent(cx, key, *dispatch, &[from.member]);
            }
            (RejectionReason::TooLate, None, _) => self.request_promises(cx, key, &[from.member]),
            (RejectionReason::HigherBallot, None, Stage::Fencing(fencing)) => {
                let deadline = fencing.deadline;
                let retry_at = cx.now.saturating_add(cx.member.backoff(claim.tries));
                self.claims.change(key, |claim| {
                    claim.tries += 1;
                    claim.stage = Stage::BackingOff { retry_at, deadline };
                });
            }
            (RejectionReason::HigherBallot, Some(dispatch), Stage::Owner)
                if claim.intents.contains_key(dispatch) =>
            {
                self.lose_ownership(cx, key);
            }
            // The other reasons may be temporary: the request is sent again until its deadline.
            _ => {}
        }
    }

    /// Handles the loss of an invocation to another owner: dispatches that wait for a majority are not sent.
    pub(crate) fn lose_ownership(&mut self, cx: &mut Context<'_>, key: &Key) {
        let leave_owner_stage = |claim: &mut Claim| {
            (claim.stage == Stage::Owner).then(|| {
                claim.stage = Stage::AwaitingOwner(None);
                std::mem::take(&mut claim.intents)
            })
        };
        if let Some(intents) = self.claims.change(key, leave_owner_stage).flatten() {
            cx.counts.ownership_lost += 1;
            intents::abandon(
                cx,
                key,
                intents.into_keys(),
                Some(NoMajorityReason::OwnedElsewhere),
            );
        }
    }

    /// Handles a change of the record of an invocation, or of the state of its owner.
    pub(crate) fn on_record_changed(&mut self, cx: &mut Context<'_>, key: &Key) {
        let Some(claim) = self.claims.get(key) else {
            return;
        };
        let Some(invocation) = cx.member.store().invocation(key) else {
            return;
        };
        match &claim.stage {
            Stage::Owner if invocation.owner.ballot != claim.ballot => {
                self.lose_ownership(cx, key);
                self.on_record_changed(cx, key);
            }
            Stage::AwaitingOwner(Some(_)) => self.assess_takeover(cx, key, false),
            Stage::AwaitingOwner(None) => {
                if let Some(decision) = assessment::decision_on_answer(invocation) {
                    return self.conclude(cx, key, decision);
                }
                let owner = invocation.owner;
                // The owner is this process under an earlier ballot, or the owner is gone or has released the
                // invocation.
                let is_own = owner.ballot.member == cx.member.own_index()
                    && owner.ballot.nonce == cx.member.nonce();
                if is_own || cx.member.has_no_active_owner(&owner) {
                    let deadline = cx.replication_deadline();
                    self.begin_takeover(cx, key, deadline);
                }
            }
            _ => {}
        }
    }

    /// Handles a change of a member's state: assesses again all claims that wait for the outcome at another owner.
    pub(crate) fn on_members_changed(&mut self, cx: &mut Context<'_>) {
        let awaiting = self
            .claims
            .iter()
            .filter(|(_, claim)| claim.is_awaiting_owner());
        let awaiting: Vec<Key> = awaiting.map(|(key, _)| key.clone()).collect();
        for key in awaiting {
            self.on_record_changed(cx, &key);
        }
    }

    /// Stores the answer to an invocation.
    pub(crate) fn on_answered(&mut self, cx: &mut Context<'_>, key: &Key, answer: Bytes) {
        if cx.member.store().get(key).is_none() {
            return;
        }
        let answer = match answer.len() <= cx.member.settings().max_answer_bytes {
            true => StoredAnswer::Stored(answer),
            false => {
                cx.counts.answers_too_large += 1;
                StoredAnswer::TooLarge
            }
        };
        let mut is_conflict = false;
        cx.update_invocation(key, |invocation| match &invocation.answer {
            None if !invocation.closed => invocation.answer = Some(answer),
            // Two routers have answered the same message differently.
            Some(known) if *known != answer && !invocation.has_conflict => {
                (invocation.has_conflict, is_conflict) = (true, true);
            }
            _ => {}
        });
        if is_conflict {
            cx.member.store_mut().count_conflict();
        }
        self.claims.change(key, |claim| {
            claim.stage = Stage::Decided;
            claim.intents.clear();
        });
    }

    /// The delivery of the answer is final: drops the claim and the details of the record.
    pub(crate) fn on_delivery_final(&mut self, cx: &mut Context<'_>, key: &Key) {
        self.claims.remove(key);
        cx.update_invocation(key, Invocation::close);
    }

    /// No client of this router waits for the invocation any more: drops the claim and releases the ownership.
    pub(crate) fn on_abandoned(&mut self, cx: &mut Context<'_>, key: &Key) {
        let take_intents = |claim: &mut Claim| std::mem::take(&mut claim.intents);
        let intents = self.claims.change(key, take_intents).unwrap_or_default();
        intents::abandon(cx, key, intents.into_keys(), None);
        self.release(cx, key);
        self.claims.remove(key);
    }

    /// Releases an invocation that this router owns, so that other members may take it over immediately.
    fn release(&self, cx: &mut Context<'_>, key: &Key) {
        if let Some(ballot) = self.claims.get(key).map(|claim| claim.ballot) {
            cx.update_invocation(key, |invocation| {
                if invocation.owner.ballot == ballot {
                    invocation.owner.released = true;
                }
            });
        }
    }

    /// The record of the invocation has expired: drops the claim.
    pub(crate) fn on_expired(&mut self, key: &Key) {
        self.claims.remove(key);
    }

    /// Resends requests, and abandons intents and takeovers after their deadlines.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        for key in self.claims.due(cx.now) {
            if !self.tick_takeover(cx, &key) {
                self.tick_intents(cx, &key);
            }
        }
    }

    /// The time at which the next claim is due.
    pub(crate) fn next_due(&self) -> Micros {
        self.claims.next_due()
    }

    /// Whether a message may still have an effect here. This is false only for votes that this member no longer needs.
    pub(crate) fn awaits(&self, message: &Message) -> bool {
        let claim = |key: &Key| self.claims.get(key);
        match message {
            Message::IntentStored {
                key,
                ballot,
                dispatch,
                ..
            } => {
                claim(key).is_some_and(|c| c.ballot == *ballot && c.intents.contains_key(dispatch))
            }
            Message::Fenced { key, ballot, .. } => {
                claim(key).is_some_and(|c| c.fencing(*ballot).is_some())
            }
            _ => true,
        }
    }

    /// All claims, by key.
    pub(crate) fn claims(&self) -> impl Iterator<Item = (&Key, &Claim)> {
        self.claims.iter()
    }
}

fn emit_decision(cx: &mut Context<'_>, key: &Key, decision: OwnershipDecision) {
    let key = key.clone();
    cx.emit(Output::Decision { key, decision });
}

/// The time since the first dispatch, if any dispatch may have run.
fn time_since_first_dispatch(cx: &Context<'_>, key: &Key) -> Option<Micros> {
    let stored = cx.member.store().get(key)?;
    let intents = &stored.record.invocation()?.intents;
    let may_have_run = intents
        .values()
        .any(|s| s.state != IntentState::NotExecuted);
    let first = stored.first_dispatch.filter(|_| may_have_run)?;
    Some(cx.now.saturating_sub(first))
}
