//! Permissions to dispatch: a majority must have stored the intent of a dispatch before the dispatch is sent.

use cedarpulley_membership::MemberIndex;

use super::claim::{PendingIntent, Stage};
use super::{Claim, NoMajorityReason, Ownership};
use crate::context::{Context, Sender};
use crate::events::Output;
use crate::record::{Ballot, DispatchIntent, IntentState, Record};
use crate::settings::SafetyCheck;
use crate::store::{Key, StoredRecord};
use crate::votes::{KnownProcesses, Votes};
use crate::wire::Message;

/// Tells the router whether a dispatch may be sent.
fn emit_dispatch_permission(
    cx: &mut Context<'_>,
    key: &Key,
    dispatch: u64,
    permission: Result<bool, NoMajorityReason>,
) {
    let key = key.clone();
    cx.emit(Output::DispatchPermission {
        key,
        dispatch,
        permission,
    });
}

/// Returns the change that adds the intent of a dispatch of this process to a record.
fn intent_change(
    cx: &Context<'_>,
    dispatch: u64,
    deduplication_scope: u32,
) -> impl FnOnce(&mut StoredRecord) + use<> {
    let (now, dispatch_id) = (cx.now, (cx.member.nonce(), dispatch));
    let intent = DispatchIntent {
        member: cx.member.own_index(),
        state: IntentState::Intended,
        deduplication_scope,
    };
    move |stored| {
        stored.first_dispatch.get_or_insert(now);
        if let Record::Invocation(invocation) = &mut stored.record {
            invocation.intents.insert(dispatch_id, intent);
        }
    }
}

/// Advances the recorded state of a dispatch of this process.
pub(super) fn advance_intent_state(
    cx: &mut Context<'_>,
    key: &Key,
    dispatch: u64,
    state: IntentState,
) {
    let dispatch_id = (cx.member.nonce(), dispatch);
    cx.update_invocation(key, |invocation| {
        if let Some(known) = invocation.intents.get_mut(&dispatch_id) {
            known.state = known.state.max(state);
        }
    });
}

/// Abandons intents whose dispatches were not sent. If a reason is given, the router is told that there is no
/// permission.
pub(super) fn abandon(
    cx: &mut Context<'_>,
    key: &Key,
    intents: impl IntoIterator<Item = u64>,
    reason: Option<NoMajorityReason>,
) {
    for dispatch in intents {
        advance_intent_state(cx, key, dispatch, IntentState::NotExecuted);
        if let Some(reason) = reason {
            emit_dispatch_permission(cx, key, dispatch, Err(reason));
        }
    }
}

impl Ownership {
    /// Handles a request for permission to dispatch. `without_majority`: the dispatch is permitted even if no majority
    /// can be reached.
    pub(crate) fn request_dispatch(
        &mut self,
        cx: &mut Context<'_>,
        key: &Key,
        dispatch: u64,
        deduplication_scope: u32,
        without_majority: bool,
    ) {
        cx.counts.intents += 1;
        let owner = cx
            .member
            .store()
            .invocation(key)
            .map(|invocation| invocation.owner.ballot);
        let claim = self.claims.get(key).filter(|c| c.stage == Stage::Owner);
        let Some(claim) = claim.filter(|c| owner == Some(c.ballot)) else {
            emit_dispatch_permission(cx, key, dispatch, Err(NoMajorityReason::OwnedElsewhere));
            return self.on_record_changed(cx, key);
        };
        let is_first = claim.is_first();
        if !without_majority && !cx.member.absence_is_proof(cx.now, key) {
            // The record may have expired at other members, so they may not know the owner any more. It is too late for
            // a first dispatch.
            cx.counts.without_majority += 1;
            return emit_dispatch_permission(cx, key, dispatch, Err(NoMajorityReason::TimedOut));
        }
        // The change is not broadcast, because the request for votes contains the record.
        let record = cx.new_invocation();
        let intent = intent_change(cx, dispatch, deduplication_scope);
        cx.member.store_mut().change(key, || record, intent);
        let mut votes = Votes::default();
        cx.member.add_own_vote(&mut votes);
        let intent = PendingIntent {
            votes,
            is_first,
            without_majority,
            resend_at: cx.resend_at(),
            deadline: cx.replication_deadline(),
        };
        self.claims
            .change(key, |claim| claim.intents.insert(dispatch, intent));
        let others = cx.member.others();
        self.request_votes_on_intent(cx, key, dispatch, &others);
        self.count_votes_on_intent(cx, key, dispatch);
    }

    /// Records a dispatch that was sent without a majority because it needs none.
    pub(crate) fn on_dispatched(
        &mut self,
        cx: &mut Context<'_>,
        key: &Key,
        dispatch: u64,
        deduplication_scope: u32,
    ) {
        let record = cx.new_invocation();
        let intent = intent_change(cx, dispatch, deduplication_scope);
        cx.change(key, record, |stored| {
            if let Record::Invocation(invocation) = &mut stored.record {
                invocation.taken = true;
            }
            intent(stored);
        });
    }

    /// Records the end of a dispatch.
    pub(crate) fn on_dispatch_ended(
        &mut self,
        cx: &mut Context<'_>,
        key: &Key,
        dispatch: u64,
        may_have_run: bool,
    ) {
        self.claims
            .change(key, |claim| claim.intents.remove(&dispatch));
        let state = match may_have_run {
            true => IntentState::Indeterminate,
            false => IntentState::NotExecuted,
        };
        advance_intent_state(cx, key, dispatch, state);
        // A later claim of this router may wait for the end of this dispatch.
        self.on_record_changed(cx, key);
    }

    /// Requests those of the given members that have not voted yet to store an intent.
    pub(super) fn request_votes_on_intent(
        &self,
        cx: &mut Context<'_>,
        key: &Key,
        dispatch: u64,
        members: &[MemberIndex],
    ) {
        let Some(claim) = self.claims.get(key) else {
            return;
        };
        let Some(intent) = claim.intents.get(&dispatch) else {
            return;
        };
        let Some(record) = cx.member.store().copy(cx.now, key) else {
            return;
        };
        for to in members.iter().copied().filter(|m| !intent.votes.has(*m)) {
            let message = Message::StoreIntent {
                key: key.clone(),
                ballot: claim.ballot,
                dispatch,
                is_first_ballot: intent.is_first,
                record: record.clone(),
            };
            cx.send(to, message);
        }
    }

    /// Counts the vote of another member that has stored an intent.
    pub(crate) fn on_intent_stored(
        &mut self,
        cx: &mut Context<'_>,
        from: Sender,
        key: &Key,
        ballot: Ballot,
        dispatch: u64,
        views: KnownProcesses,
    ) {
        let add_vote = |claim: &mut Claim| {
            let intent = claim.intents.get_mut(&dispatch);
            let intent = intent.filter(|_| claim.ballot == ballot);
            intent.map(|intent| intent.votes.put(from.member, from.process, views))
        };
        if self.claims.change(key, add_vote).flatten().is_some() {
            self.count_votes_on_intent(cx, key, dispatch);
        }
    }

    /// Permits a dispatch once a majority has stored its intent.
    fn count_votes_on_intent(&mut self, cx: &mut Context<'_>, key: &Key, dispatch: u64) {
        let intent = self.claims.get(key).and_then(|c| c.intents.get(&dispatch));
        let Some(intent) = intent else {
            return;
        };
        let agreed = cx.member.agreeing(&intent.votes);
        if !cx.member.group().is_majority(agreed)
            && !cx.member.is_disabled(SafetyCheck::MajorityBeforeDispatch)
        {
            return;
        }
        self.claims
            .change(key, |claim| claim.intents.remove(&dispatch));
        cx.counts.intents_replicated += 1;
        emit_dispatch_permission(cx, key, dispatch, Ok(false));
    }

    /// Resends requests, and abandons or permits intents after their deadline.
    pub(super) fn tick_intents(&mut self, cx: &mut Context<'_>, key: &Key) {
        let (now, resend_at) = (cx.now, cx.resend_at());
        let (mut timed_out, mut to_resend) = (Vec::new(), Vec::new());
        self.claims.change(key, |claim| {
            for (dispatch, intent) in &mut claim.intents {
                if now >= intent.deadline {
                    timed_out.push((*dispatch, intent.without_majority));
                } else if now >= intent.resend_at {
                    intent.resend_at = resend_at;
                    to_resend.push(*dispatch);
                }
            }
        });
        for dispatch in to_resend {
            let others = cx.member.others();
            self.request_votes_on_intent(cx, key, dispatch, &others);
        }
        for (dispatch, without_majority) in timed_out {
            self.claims
                .change(key, |claim| claim.intents.remove(&dispatch));
            cx.counts.without_majority += 1;
            if without_majority {
                cx.counts.dispatched_without_majority += 1;
                emit_dispatch_permission(cx, key, dispatch, Ok(true));
            } else {
                let reason = cx.member.timeout_reason();
                abandon(cx, key, [dispatch], Some(reason));
            }
        }
    }
}
