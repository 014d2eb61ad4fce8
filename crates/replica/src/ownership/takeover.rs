//! Takeovers: this router becomes the owner of an invocation by fencing all earlier owners at a majority of members.

use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use super::assessment::{self, Assessment};
use super::claim::{Claim, Fencing, Stage};
use super::{NoMajorityReason, Ownership, OwnershipDecision, emit_decision};
use crate::acceptor::{self, FenceRequest};
use crate::context::{Context, Sender};
use crate::record::{Ballot, DispatchId, FIRST_BALLOT_NUMBER, IntentState, Record};
use crate::settings::SafetyCheck;
use crate::store::{Key, MergeOutcome, RecordCopy};
use crate::votes::KnownProcesses;
use crate::wire::Message;

impl Ownership {
    /// Requests promises for a ballot above all known ballots from all members.
    pub(super) fn begin_takeover(&mut self, cx: &mut Context<'_>, key: &Key, deadline: Micros) {
        let Some(mut claim) = self.claims.remove(key) else {
            return;
        };
        cx.counts.takeovers += 1;
        let before = cx.member.store().invocation(key).cloned();
        let known = before.as_ref().map_or(FIRST_BALLOT_NUMBER, |invocation| {
            invocation.owner.ballot.number
        });
        let known = known.max(claim.ballot.number);
        claim.ballot = cx.member.next_takeover_ballot(known);
        let request = FenceRequest {
            key: key.clone(),
            ballot: claim.ballot,
            origin: cx.member.next_origin(),
            lifetime: cx.member.settings().retention,
        };
        let mut fencing = Fencing::new(cx, deadline, before.as_ref());
        let is_promised = acceptor::promise_ownership(cx, &request);
        if cx.member.is_disabled(SafetyCheck::FencedTakeover) {
            // Decides by this member's record, without promises of other members.
            claim.stage = Stage::Fencing(fencing);
            self.claims.insert(key.clone(), claim);
            return self.assess_takeover(cx, key, true);
        }
        if !is_promised {
            cx.counts.rejected_store_full += 1;
            return self.conclude(
                cx,
                key,
                OwnershipDecision::NoMajority(NoMajorityReason::StoreFull),
            );
        }
        cx.member.add_own_vote(&mut fencing.votes);
        claim.stage = Stage::Fencing(fencing);
        self.claims.insert(key.clone(), claim);
        let others = cx.member.others();
        self.request_promises(cx, key, &others);
        self.assess_takeover(cx, key, false);
    }

    /// Requests promises from those of the given members that have not promised yet.
    pub(super) fn request_promises(
        &self,
        cx: &mut Context<'_>,
        key: &Key,
        members: &[MemberIndex],
    ) {
        let Some(claim) = self.claims.get(key) else {
            return;
        };
        let Stage::Fencing(fencing) = &claim.stage else {
            return;
        };
        let Some(stored) = cx.member.store().get(key) else {
            return;
        };
        // Other members keep the promise as long as this member keeps the record, and no longer.
        let (origin, lifetime) = (stored.origin, stored.expires_at.saturating_sub(cx.now));
        for to in members.iter().copied().filter(|m| !fencing.votes.has(*m)) {
            let message = Message::Fence {
                key: key.clone(),
                ballot: claim.ballot,
                origin,
                lifetime,
            };
            cx.send(to, message);
        }
    }

    /// Another member has promised the ballot of a takeover and reports the record that it had stored.
    pub(crate) fn on_fenced(
        &mut self,
        cx: &mut Context<'_>,
        from: Sender,
        key: &Key,
        ballot: Ballot,
        record: Option<&RecordCopy>,
        views: KnownProcesses,
    ) {
        if let Some(record) = record {
            let store = cx.member.store_mut();
            if store.merge(cx.now, key, record, from.transit) == MergeOutcome::Expired {
                // After a pause of this process, the reported record may have expired in transit. A promise does not
                // count as a vote without the record that was stored before it. When the request is sent again, that
                // member reports the record with the lifetime of the promise.
                cx.counts.expired_records_received += 1;
                return;
            }
        }
        let add_vote = |claim: &mut Claim| {
            let fencing = claim.fencing_mut(ballot);
            fencing.map(|fencing| fencing.add_vote(from, views, record))
        };
        if self.claims.change(key, add_vote).flatten().is_some() {
            self.assess_takeover(cx, key, false);
        }
    }

    /// Decides on an invocation that is taken over once a majority has promised, or without a majority if
    /// `skip_majority` is set.
    pub(super) fn assess_takeover(&mut self, cx: &mut Context<'_>, key: &Key, skip_majority: bool) {
        let Some(claim) = self.claims.get(key) else {
            return;
        };
        let Some(fencing) = claim.fencing(claim.ballot) else {
            return;
        };
        let was_awaiting_owner = claim.is_awaiting_owner();
        let agreed = cx.member.agreeing(&fencing.votes);
        if !skip_majority && !cx.member.group().is_majority(agreed.iter().copied()) {
            return;
        }
        let Some(invocation) = cx.member.store().invocation(key) else {
            return;
        };
        if invocation.owner.ballot != claim.ballot {
            // This member has promised a higher ballot to another owner in the meantime.
            self.set_stage(key, Stage::AwaitingOwner(None));
            return self.on_record_changed(cx, key);
        }
        match assessment::assess(cx.member, cx.now, key, invocation, fencing, &agreed) {
            Assessment::Conclude(decision) => self.conclude(cx, key, decision),
            Assessment::Wait => {
                let stage = Stage::AwaitingOwner(Some(fencing.clone()));
                self.set_stage(key, stage);
                if !was_awaiting_owner {
                    cx.counts.awaiting_other_owner += 1;
                    emit_decision(cx, key, OwnershipDecision::Wait);
                }
            }
            Assessment::Dispatch { never_permitted } => {
                self.own_undispatched(cx, key, &never_permitted);
            }
        }
    }

    /// Becomes the owner of an invocation of which no dispatch was sent. `never_permitted`: the dispatches that earlier
    /// owners intended.
    fn own_undispatched(
        &mut self,
        cx: &mut Context<'_>,
        key: &Key,
        never_permitted: &[DispatchId],
    ) {
        cx.counts.proven_not_dispatched += 1;
        let record = cx.new_invocation();
        cx.change(key, record, |stored| {
            let Record::Invocation(invocation) = &mut stored.record else {
                return;
            };
            invocation.taken = true;
            for dispatch_id in never_permitted {
                if let Some(intent) = invocation.intents.get_mut(dispatch_id) {
                    intent.state = IntentState::NotExecuted;
                }
            }
        });
        self.set_stage(key, Stage::Owner);
        let decision = OwnershipDecision::Dispatch {
            first_dispatch_ago: None,
        };
        emit_decision(cx, key, decision);
    }

    /// Resends requests of a takeover, restarts it after a backoff, or abandons it after its deadline. Returns true if
    /// it was abandoned or restarted.
    pub(super) fn tick_takeover(&mut self, cx: &mut Context<'_>, key: &Key) -> bool {
        let (now, resend_at) = (cx.now, cx.resend_at());
        let Some(claim) = self.claims.get(key) else {
            return true;
        };
        match &claim.stage {
            Stage::Fencing(fencing) if now >= fencing.deadline => {
                let decision = OwnershipDecision::NoMajority(cx.member.timeout_reason());
                self.conclude(cx, key, decision);
                true
            }
            Stage::Fencing(fencing) if now >= fencing.resend_at => {
                self.claims.change(key, |claim| {
                    if let Stage::Fencing(fencing) = &mut claim.stage {
                        fencing.resend_at = resend_at;
                    }
                });
                let others = cx.member.others();
                self.request_promises(cx, key, &others);
                false
            }
            Stage::BackingOff { deadline, .. } if now >= *deadline => {
                self.conclude(
                    cx,
                    key,
                    OwnershipDecision::NoMajority(NoMajorityReason::TimedOut),
                );
                true
            }
            Stage::BackingOff { retry_at, deadline } if now >= *retry_at => {
                let deadline = *deadline;
                self.begin_takeover(cx, key, deadline);
                true
            }
            _ => false,
        }
    }
}
