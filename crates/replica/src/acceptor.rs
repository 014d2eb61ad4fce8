//! The acceptor: this member's votes, on intents and fences of invocations and on prepared and proposed choices. Its
//! state is what the records say ([`crate::record::Owner`] and [`crate::record::Choice`]), so that a vote and what it
//! promises cannot come apart.
//!
//! # Safety
//!
//! Invariant: an acceptor never votes for a ballot below one that it has promised, and what it has voted for is in its
//! store as long as a proof may rest on the vote.
//!
//! * Promise: [`promise_choice`] and [`promise_ownership`] only raise the promised ballot, and every vote is checked
//!   against it first. Two majorities share a member, so a majority of promises leaves no majority to a lower ballot.
//! * Crash: on choices, a vote is sent only once the disk has what it promises ([`crate::persistence`]). Votes on
//!   invocations do not rely on the disk: a restarted member does not vote until it has caught up with members that
//!   meet every majority, or until everything that it may have forgotten has expired ([`crate::recovery`]).
//! * Lost disk: such a member is treated as above. Its earlier votes do not add up with its later ones, because a vote
//!   names the processes that its voter knows ([`crate::votes`]).
//! * Partition: an acceptor that is cut off gives no votes, and a vote that arrives late still states a fact. A request
//!   that was under way for too long is rejected, as what it asks for would expire here before it expires at the sender.
//! * First ballots are used without a promise. They are valid only at acceptors where no other owner has the record and
//!   no dispatch of another process is known, so that two first ballots cannot both obtain a majority.

use bytes::Bytes;
use cedarpulley::interface::Micros;

use crate::context::{Context, Sender};
use crate::hashed;
use crate::member::LocalMember;
use crate::record::{
    Ballot, Choice, DispatchId, DispatchIntent, FIRST, IntentState, Invocation, Owner, Record,
};
use crate::settings::SafetyCheck;
use crate::store::{Key, MergeOutcome, Origin, RecordCopy, StoredRecord};
use crate::wire::{Message, RejectionReason};

/// A request to store the intent of a dispatch.
pub(crate) struct IntentRequest {
    pub(crate) key: Key,
    pub(crate) ballot: Ballot,
    pub(crate) dispatch: u64,
    /// The ballot is a first one.
    pub(crate) is_first: bool,
    pub(crate) record: RecordCopy,
}

/// The answer to an [`IntentRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IntentVote {
    /// The intent is stored here.
    Stored,
    /// The request is admissible, but this member is recovering: it learns the record without a vote.
    LearnOnly,
    Rejected(RejectionReason),
}

/// A request to promise that nothing is stored under a lower ballot.
pub(crate) struct FenceRequest {
    pub(crate) key: Key,
    pub(crate) ballot: Ballot,
    pub(crate) origin: Origin,
    /// How long the promise is kept.
    pub(crate) lifetime: Micros,
}

/// Votes on an intent, and stores it if the vote is given.
pub(crate) fn vote_on_intent(
    cx: &mut Context<'_>,
    request: &IntentRequest,
    transit: Micros,
) -> IntentVote {
    let is_admissible = admits_intent(cx.member, request);
    if !cx.member.can_vote() {
        return match is_admissible {
            true => IntentVote::LearnOnly,
            false => IntentVote::Rejected(RejectionReason::Recovering),
        };
    }
    if !is_admissible {
        return IntentVote::Rejected(RejectionReason::HigherBallot);
    }
    let store = cx.member.store_mut();
    match store.merge(cx.now, &request.key, &request.record, transit) {
        MergeOutcome::Expired => IntentVote::Rejected(RejectionReason::Expired),
        MergeOutcome::StoreFull => IntentVote::Rejected(RejectionReason::StoreFull),
        MergeOutcome::Changed | MergeOutcome::Unchanged => IntentVote::Stored,
    }
}

fn admits_intent(member: &LocalMember, request: &IntentRequest) -> bool {
    let ballot = request.ballot;
    let Some(effect) = member.store().effect(&request.key) else {
        return true;
    };
    let promised = effect.owner.ballot;
    if promised.number > FIRST && promised > ballot {
        return member.is_disabled(SafetyCheck::KeptPromise);
    }
    // Symptom: two routers were given one message. Its owner was broadcast here before its intent came, and another
    // owner's intent is stored already: that one may have been permitted.
    if request.is_first {
        let is_of_other = |(dispatch_id, sending): (&DispatchId, &DispatchIntent)| {
            dispatch_id.0 != ballot.nonce && sending.state != IntentState::NotExecuted
        };
        let is_over = effect.closed || effect.answer.is_some();
        let is_only_owner =
            promised == ballot && !is_over && !effect.intents.iter().any(is_of_other);
        return is_only_owner || member.is_disabled(SafetyCheck::FirstBallotAlone);
    }
    true
}

/// Rejects an intent (its dispatch is named) or a fence.
pub(crate) fn reject(
    cx: &mut Context<'_>,
    to: Sender,
    key: Key,
    ballot: Ballot,
    dispatch: Option<u64>,
    reason: RejectionReason,
) {
    cx.counts.rejections_sent += 1;
    let record = cx.member.store().copy(cx.now, &key);
    let message = Message::Rejected {
        key,
        ballot,
        dispatch,
        reason,
        record,
    };
    cx.send(to.member, message);
}

/// Whether this member may promise what a fence asks for.
pub(crate) fn check_fence(
    cx: &mut Context<'_>,
    request: &FenceRequest,
) -> Result<(), RejectionReason> {
    let store = cx.member.store();
    let promised = store.effect(&request.key).map(|e| e.owner.ballot);
    if !cx.member.can_vote() {
        Err(RejectionReason::Recovering)
    } else if promised.is_some_and(|promised| promised > request.ballot) {
        Err(RejectionReason::HigherBallot)
    } else if request.lifetime <= 0 || store.has_expired(request.origin) {
        Err(RejectionReason::Expired)
    } else if promised.is_none() && store.is_full() {
        cx.counts.rejected_store_full += 1;
        Err(RejectionReason::StoreFull)
    } else {
        Ok(())
    }
}

/// Nothing is stored under a lower ballot from now on. False if the store is full.
pub(crate) fn promise_ownership(cx: &mut Context<'_>, request: &FenceRequest) -> bool {
    let FenceRequest { ballot, origin, .. } = *request;
    let owner = Owner {
        ballot,
        released: false,
    };
    let expires_at = cx.now.saturating_add(request.lifetime);
    let record = Record::Invocation(Invocation {
        owner,
        ..Invocation::default()
    });
    cx.member.store_mut().change(
        &request.key,
        || StoredRecord::new(record, origin, expires_at),
        |stored| {
            if let Record::Invocation(effect) = &mut stored.record
                && ballot > effect.owner.ballot
            {
                effect.owner = owner;
                (stored.origin, stored.expires_at) = (origin, expires_at);
            }
        },
    )
}

/// What this member promised and accepted under a key.
pub(crate) fn choice(member: &LocalMember, key: &str) -> Option<Choice> {
    match member.store().get(key).map(|stored| &stored.record) {
        Some(Record::Choice(choice)) => Some(choice.clone()),
        _ => None,
    }
}

fn has_promised_higher(member: &LocalMember, key: &str, ballot: Ballot) -> bool {
    let promised = choice(member, key).unwrap_or_default().promised;
    promised > ballot && !member.is_disabled(SafetyCheck::KeptPromise)
}

/// True if nothing below this ballot is accepted from now on.
pub(crate) fn promise_choice(
    cx: &mut Context<'_>,
    key: &Key,
    ballot: Ballot,
    lifetime: Micros,
) -> bool {
    if has_promised_higher(cx.member, key, ballot) {
        return false;
    }
    let origin = cx.member.next_origin();
    let expires_at = cx.now.saturating_add(lifetime);
    let absent = || StoredRecord::new(Record::Choice(Choice::default()), origin, expires_at);
    cx.member.store_mut().change(key, absent, |stored| {
        if let Record::Choice(choice) = &mut stored.record {
            choice.promised = choice.promised.max(ballot);
            stored.expires_at = stored.expires_at.max(expires_at);
        }
    })
}

/// True if the value is accepted under this ballot, which is then promised as well.
pub(crate) fn accept_choice(
    cx: &mut Context<'_>,
    key: &Key,
    ballot: Ballot,
    value: Bytes,
    lifetime: Micros,
) -> bool {
    if !promise_choice(cx, key, ballot, lifetime) {
        return false;
    }
    cx.member.store_mut().update(key, |stored| {
        // Within a term the later value is the greater one, and messages may come out of order.
        if let Record::Choice(choice) = &mut stored.record {
            choice.accepted = choice.accepted.take().max(Some((ballot, value)));
        }
    })
}

/// Phase 1: promises the ballot, and returns what was accepted before.
pub(crate) fn vote_on_prepare(
    cx: &mut Context<'_>,
    key: &Key,
    ballot: Ballot,
    lifetime: Micros,
) -> Result<Choice, RejectionReason> {
    if !cx.member.can_vote() {
        Err(RejectionReason::Recovering)
    } else if has_promised_higher(cx.member, key, ballot) {
        Err(RejectionReason::HigherBallot)
    } else if lifetime <= 0 || !promise_choice(cx, key, ballot, lifetime) {
        Err(RejectionReason::StoreFull)
    } else {
        Ok(choice(cx.member, key).unwrap_or_default())
    }
}

/// Phase 2: accepts the value, and returns its hash.
pub(crate) fn vote_on_accept(
    cx: &mut Context<'_>,
    key: &Key,
    ballot: Ballot,
    value: Bytes,
    lifetime: Micros,
) -> Result<u64, RejectionReason> {
    let value_hash = hashed(&value);
    if !cx.member.can_vote() {
        Err(RejectionReason::Recovering)
    } else if lifetime <= 0 || !accept_choice(cx, key, ballot, value, lifetime) {
        Err(RejectionReason::HigherBallot)
    } else {
        Ok(value_hash)
    }
}

/// Rejects a prepared or proposed choice.
pub(crate) fn nack(
    cx: &mut Context<'_>,
    to: Sender,
    key: Key,
    ballot: Ballot,
    reason: RejectionReason,
) {
    let choice = choice(cx.member, &key);
    let message = Message::Nack {
        key,
        ballot,
        choice,
        reason,
    };
    cx.send(to.member, message);
}
