//! The acceptor role: this member's votes on intents and fences of invocations, and on phases 1 and 2 of choices. Its
//! state is stored in the records ([`crate::record::Owner`] and [`crate::record::Choice`]), so that a vote and the
//! state that backs it cannot become inconsistent.
//!
//! # Safety
//!
//! Invariant: an acceptor never votes for a ballot below one that it has promised, and it stores what it has voted for
//! as long as a proof may rely on the vote.
//!
//! * Promise: [`promise_choice`] and [`promise_ownership`] only raise the promised ballot, and every vote is checked
//!   against it first. Two majorities share a member, so after a majority has promised, no lower ballot can obtain a
//!   majority.
//! * Crash: a vote on a choice is sent only once the state that backs it is on disk ([`crate::persistence`]). Votes on
//!   invocations do not rely on the disk: a restarted member does not vote until it has caught up with a set of members
//!   that intersects every majority, or until everything that it may have lost has expired ([`crate::recovery`]).
//! * Lost disk: the member is treated as after a crash. Its earlier votes are not counted together with its later
//!   votes, because a vote contains the processes that its voter knows ([`crate::votes`]).
//! * Partition: an acceptor that is cut off casts no votes, and a vote that arrives late is still true. A request that
//!   was in transit for too long is rejected, because the record that it asks for would expire here before it expires
//!   at the sender.
//! * First ballots are used without a promise. They are valid only at acceptors where the record has no other owner and
//!   no dispatch of another process is known, so that two first ballots cannot both obtain a majority.

use bytes::Bytes;
use cedarpulley::interface::Micros;

use crate::context::{Context, Sender};
use crate::hashed;
use crate::member::LocalMember;
use crate::record::{
    Ballot, Choice, DispatchId, DispatchIntent, FIRST_BALLOT_NUMBER, IntentState, Invocation,
    Owner, Record,
};
use crate::settings::SafetyCheck;
use crate::store::{Key, MergeOutcome, Origin, RecordCopy, StoredRecord};
use crate::wire::{Message, RejectionReason};

/// A request to store the intent of a dispatch.
pub(crate) struct IntentRequest {
    pub(crate) key: Key,
    pub(crate) ballot: Ballot,
    pub(crate) dispatch: u64,
    /// Whether the ballot is a first ballot, which is used without a promise.
    pub(crate) is_first: bool,
    pub(crate) record: RecordCopy,
}

/// The answer to an [`IntentRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IntentVote {
    /// The intent is stored here.
    Stored,
    /// The request is admissible, but this member is recovering: it merges the record and does not vote.
    LearnOnly,
    /// There is no vote, for this reason.
    Rejected(RejectionReason),
}

/// A request for the promise not to store any intent under a lower ballot.
pub(crate) struct FenceRequest {
    pub(crate) key: Key,
    pub(crate) ballot: Ballot,
    pub(crate) origin: Origin,
    /// How long the promise is kept, in microseconds.
    pub(crate) lifetime: Micros,
}

/// Decides whether to vote for an intent, and stores the intent if so. `transit`: an upper bound of the time in
/// transit.
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

/// Whether the promises and the intents stored here permit the requested intent.
fn admits_intent(member: &LocalMember, request: &IntentRequest) -> bool {
    let ballot = request.ballot;
    let Some(invocation) = member.store().invocation(&request.key) else {
        return true;
    };
    let promised = invocation.owner.ballot;
    if promised.number > FIRST_BALLOT_NUMBER && promised > ballot {
        return member.is_disabled(SafetyCheck::KeptPromise);
    }
    // Without this check, two routers that received the same message could both obtain a majority: this member may
    // learn of the sender's ownership by broadcast before the sender's intent arrives, while it already stores the
    // intent of another owner, which may have been permitted.
    if request.is_first {
        let is_of_other = |(dispatch_id, intent): (&DispatchId, &DispatchIntent)| {
            dispatch_id.0 != ballot.nonce && intent.state != IntentState::NotExecuted
        };
        let is_over = invocation.closed || invocation.answer.is_some();
        let is_only_owner =
            promised == ballot && !is_over && !invocation.intents.iter().any(is_of_other);
        return is_only_owner || member.is_disabled(SafetyCheck::FirstBallotAlone);
    }
    true
}

/// Rejects an intent (`dispatch` is given) or a fence (`dispatch` is absent).
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

/// Whether this member may make the promise that a fence requests; otherwise, the reason for the rejection.
pub(crate) fn check_fence(
    cx: &mut Context<'_>,
    request: &FenceRequest,
) -> Result<(), RejectionReason> {
    let store = cx.member.store();
    let promised = store
        .invocation(&request.key)
        .map(|invocation| invocation.owner.ballot);
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

/// Records the promise not to store any intent under a lower ballot. Returns false if the store is full.
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
            if let Record::Invocation(invocation) = &mut stored.record
                && ballot > invocation.owner.ballot
            {
                invocation.owner = owner;
                (stored.origin, stored.expires_at) = (origin, expires_at);
            }
        },
    )
}

/// The ballot that this member has promised under a key, and the value that it has accepted.
pub(crate) fn choice(member: &LocalMember, key: &str) -> Option<Choice> {
    match member.store().get(key).map(|stored| &stored.record) {
        Some(Record::Choice(choice)) => Some(choice.clone()),
        _ => None,
    }
}

/// Whether this member has promised a ballot above this one.
fn has_promised_higher(member: &LocalMember, key: &str, ballot: Ballot) -> bool {
    member.store().promised(key) > ballot && !member.is_disabled(SafetyCheck::KeptPromise)
}

/// Promises not to accept any value below this ballot. Fails if a higher ballot is promised already, if the promise would
/// expire at once, or if the store is full.
pub(crate) fn promise_choice(
    cx: &mut Context<'_>,
    key: &Key,
    ballot: Ballot,
    lifetime: Micros,
) -> Result<(), RejectionReason> {
    if has_promised_higher(cx.member, key, ballot) {
        return Err(RejectionReason::HigherBallot);
    }
    if lifetime <= 0 {
        return Err(RejectionReason::Expired);
    }
    let origin = cx.member.next_origin();
    let expires_at = cx.now.saturating_add(lifetime);
    let absent = || StoredRecord::new(Record::Choice(Choice::default()), origin, expires_at);
    let is_stored = cx.member.store_mut().change(key, absent, |stored| {
        if let Record::Choice(choice) = &mut stored.record {
            choice.promised = choice.promised.max(ballot);
            stored.expires_at = stored.expires_at.max(expires_at);
        }
    });
    match is_stored {
        true => Ok(()),
        false => Err(RejectionReason::StoreFull),
    }
}

/// Accepts a value under this ballot and promises the ballot. Fails as [`promise_choice`] does.
pub(crate) fn accept_choice(
    cx: &mut Context<'_>,
    key: &Key,
    ballot: Ballot,
    value: Bytes,
    lifetime: Micros,
) -> Result<(), RejectionReason> {
    promise_choice(cx, key, ballot, lifetime)?;
    cx.member.store_mut().update(key, |stored| {
        // Messages may be reordered. Within a term the greater value is the later one.
        if let Record::Choice(choice) = &mut stored.record {
            choice.accepted = choice.accepted.take().max(Some((ballot, value)));
        }
    });
    Ok(())
}

/// Phase 1: promises the ballot, and returns the acceptor's state with the value accepted before, if any.
pub(crate) fn vote_on_prepare(
    cx: &mut Context<'_>,
    key: &Key,
    ballot: Ballot,
    lifetime: Micros,
) -> Result<Choice, RejectionReason> {
    if !cx.member.can_vote_on_choices() {
        return Err(RejectionReason::Recovering);
    }
    promise_choice(cx, key, ballot, lifetime)?;
    Ok(choice(cx.member, key).unwrap_or_default())
}

/// Phase 2: accepts the value, and returns the hash of the value.
pub(crate) fn vote_on_accept(
    cx: &mut Context<'_>,
    key: &Key,
    ballot: Ballot,
    value: Bytes,
    lifetime: Micros,
) -> Result<u64, RejectionReason> {
    if !cx.member.can_vote_on_choices() {
        return Err(RejectionReason::Recovering);
    }
    let value_hash = hashed(&value);
    accept_choice(cx, key, ballot, value, lifetime)?;
    Ok(value_hash)
}

/// The ballot floor as the state of a key without a record; absent if nothing was promised.
fn floor_as_choice(member: &LocalMember) -> Option<Choice> {
    let promised = member.store().ballot_floor();
    (promised != Ballot::default()).then_some(Choice {
        promised,
        accepted: None,
    })
}

/// Rejects phase 1 or phase 2 of a choice.
pub(crate) fn nack(
    cx: &mut Context<'_>,
    to: Sender,
    key: Key,
    ballot: Ballot,
    reason: RejectionReason,
) {
    let choice = choice(cx.member, &key).or_else(|| floor_as_choice(cx.member));
    let message = Message::Nack {
        key,
        ballot,
        choice,
        reason,
    };
    cx.send(to.member, message);
}
