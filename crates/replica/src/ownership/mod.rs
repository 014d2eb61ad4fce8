//! Ownership of invocations: which router may dispatch one that must not run twice.
//!
//! 1. First owner: nobody is asked before the first intent. Its ballot is valid only where no other owner has the
//!    record.
//! 2. Takeover: a majority promises a higher ballot and reports what it has stored. Then a known answer is given again,
//!    what may have run is not dispatched again, what is in flight at a living owner is waited for, and what was never
//!    dispatched is dispatched.
//! 3. Loss: an owner that meets a higher ballot abandons what it has not sent, and waits for the new owner as long as
//!    that one lives.
//! 4. Without a majority in time an intent is abandoned and recorded as not sent; or, if the operator allows it, the
//!    dispatch is sent all the same.
//!
//! # Safety
//!
//! Invariant: at most one dispatch of an invocation may have run, unless the operator allows dispatches without a
//! majority. This is fencing: a ballot is the fencing token, and the acceptors are the resource that checks it.
//!
//! * A dispatch is sent only after a majority has stored its intent under the owner's ballot. A takeover has the
//!   promises of a majority to store nothing under a lower ballot. Two majorities share a member: it either stored the
//!   intent before its promise, and reports it, or promised first, and rejects the intent. So a takeover knows every
//!   intent that was or will be permitted under a lower ballot.
//! * An intent counts as never permitted only if no majority can have stored it, even if every member stored it whose
//!   answer is missing (`assessment`).
//! * Crash: what a crashed owner had permitted is treated as run, since nobody can learn its outcome any more.
//! * Partition: an owner that is cut off obtains no majority for a new intent; the dispatches that it sent before are
//!   known to the new owner, which waits for them or treats them as run.
//! * Restart with a lost disk: the restarted member gives no votes until it has caught up, and its new process is
//!   another owner with other ballots. If all members that knew of an invocation have restarted, it is marked doubtful,
//!   and the absence of an intent proves nothing ([`crate::recovery`]).
//! * Expiry: the absence of a record proves something only while no member can have forgotten it, with a margin for
//!   clocks that diverge ([`crate::store::StoredRecord::proof_until`]). No other step relies on clocks.

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
use crate::record::{Ballot, FIRST, IntentState, Invocation, StoredAnswer};
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
    /// This router has taken an invocation.
    pub(crate) fn take(
        &mut self,
        cx: &mut Context<'_>,
        key: &Key,
        need: Durability,
        redelivered: bool,
    ) {
        cx.counts.taken += 1;
        let known = cx.member.store().effect(key).cloned();
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
        if need == Durability::Local {
            self.open_claim(cx, key, Stage::Owner);
            let first_dispatch_ago = time_since_first_dispatch(cx, key);
            return emit_decision(cx, key, OwnershipDecision::Dispatch { first_dispatch_ago });
        }
        if known.as_ref().is_some_and(|e| e.closed) {
            let decision = OwnershipDecision::Indeterminate(IndeterminateReason::Closed);
            return self.conclude(cx, key, decision);
        }
        let is_full = known.is_none() && cx.member.store().is_full();
        let obstacle = cx.member.majority_obstacle();
        if let Some(reason) = obstacle.or(is_full.then_some(NoMajorityReason::StoreFull)) {
            return self.conclude(cx, key, OwnershipDecision::NoMajority(reason));
        }
        match known {
            None if !redelivered => {
                let record = cx.new_effect();
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
            // Delivered to two routers at once, to each for the first time: the owner goes on with it.
            Some(e) if !redelivered && !cx.member.is_free(&e.owner) => {
                self.open_claim(cx, key, Stage::Watching(None));
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

    fn open_claim(&mut self, cx: &Context<'_>, key: &Key, stage: Stage) {
        let claim = Claim::new(cx.member.ballot(FIRST), stage);
        self.claims.insert(key.clone(), claim);
    }

    fn set_stage(&mut self, key: &Key, stage: Stage) {
        self.claims.change(key, |claim| claim.stage = stage);
    }

    /// Gives the last decision on an invocation.
    fn conclude(&mut self, cx: &mut Context<'_>, key: &Key, decision: OwnershipDecision) {
        match decision {
            OwnershipDecision::Answer(_) => cx.counts.answers_repeated += 1,
            OwnershipDecision::Indeterminate(_) => cx.counts.indeterminate += 1,
            OwnershipDecision::NoMajority(_) => {
                cx.counts.without_majority += 1;
                // No other member is to wait for this one.
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
            // Symptom: the two had not heard of each other for a while, so that nobody knew how long the request was
            // under way. Now it is known.
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
                self.lose(cx, key);
            }
            // Other reasons may pass: the request is sent again until its deadline.
            _ => {}
        }
    }

    /// Another owner has the invocation: dispatches that wait here for a majority are not sent.
    pub(crate) fn lose(&mut self, cx: &mut Context<'_>, key: &Key) {
        let lose = |claim: &mut Claim| {
            (claim.stage == Stage::Owner).then(|| {
                claim.stage = Stage::Watching(None);
                std::mem::take(&mut claim.intents)
            })
        };
        if let Some(intents) = self.claims.change(key, lose).flatten() {
            cx.counts.ownership_lost += 1;
            intents::abandon(
                cx,
                key,
                intents.into_keys(),
                Some(NoMajorityReason::OwnedElsewhere),
            );
        }
    }

    /// The record of an invocation has changed, or the state of its owner.
    pub(crate) fn on_record_changed(&mut self, cx: &mut Context<'_>, key: &Key) {
        let Some(claim) = self.claims.get(key) else {
            return;
        };
        let Some(effect) = cx.member.store().effect(key) else {
            return;
        };
        match &claim.stage {
            Stage::Owner if effect.owner.ballot != claim.ballot => {
                self.lose(cx, key);
                self.on_record_changed(cx, key);
            }
            Stage::Watching(Some(_)) => self.assess_takeover(cx, key, false),
            Stage::Watching(None) => {
                if let Some(decision) = assessment::decision_on_answer(effect) {
                    return self.conclude(cx, key, decision);
                }
                let owner = effect.owner;
                // An older ballot of this process, or the owner is gone or has released it.
                let is_own = owner.ballot.member == cx.member.me()
                    && owner.ballot.nonce == cx.member.nonce();
                if is_own || cx.member.is_free(&owner) {
                    let deadline = cx.replication_deadline();
                    self.begin_takeover(cx, key, deadline);
                }
            }
            _ => {}
        }
    }

    /// The state of a member has changed: claims that wait for its outcome are looked at again.
    pub(crate) fn on_members_changed(&mut self, cx: &mut Context<'_>) {
        let watching = self.claims.iter().filter(|(_, claim)| claim.is_watching());
        let watching: Vec<Key> = watching.map(|(key, _)| key.clone()).collect();
        for key in watching {
            self.on_record_changed(cx, &key);
        }
    }

    /// The invocation has an answer.
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
        cx.update_effect(key, |effect| match &effect.answer {
            None if !effect.closed => effect.answer = Some(answer),
            // Symptom: two routers gave different answers to one message.
            Some(known) if *known != answer && !effect.has_conflict => {
                (effect.has_conflict, is_conflict) = (true, true);
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

    /// The answer was delivered for good.
    pub(crate) fn on_closed(&mut self, cx: &mut Context<'_>, key: &Key) {
        self.claims.remove(key);
        cx.update_effect(key, Invocation::close);
    }

    /// Nobody waits for the invocation at this router any more.
    pub(crate) fn on_dropped(&mut self, cx: &mut Context<'_>, key: &Key) {
        let take_intents = |claim: &mut Claim| std::mem::take(&mut claim.intents);
        let intents = self.claims.change(key, take_intents).unwrap_or_default();
        intents::abandon(cx, key, intents.into_keys(), None);
        self.release(cx, key);
        self.claims.remove(key);
    }

    /// This owner will not dispatch the invocation any more; others may take it over at once.
    fn release(&self, cx: &mut Context<'_>, key: &Key) {
        if let Some(ballot) = self.claims.get(key).map(|claim| claim.ballot) {
            cx.update_effect(key, |effect| {
                if effect.owner.ballot == ballot {
                    effect.owner.released = true;
                }
            });
        }
    }

    /// The record has expired.
    pub(crate) fn on_expired(&mut self, key: &Key) {
        self.claims.remove(key);
    }

    /// Sends requests again, and gives up after deadlines.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        for key in self.claims.due(cx.now) {
            if !self.tick_takeover(cx, &key) {
                self.tick_intents(cx, &key);
            }
        }
    }

    /// When something has to be sent again or given up.
    pub(crate) fn next_due(&self) -> Micros {
        self.claims.next_due()
    }

    /// Whether a vote may still count here; any other message may.
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
    let sendings = &stored.record.effect()?.intents;
    let may_have_run = sendings
        .values()
        .any(|s| s.state != IntentState::NotExecuted);
    let first = stored.first_dispatch.filter(|_| may_have_run)?;
    Some(cx.now.saturating_sub(first))
}
