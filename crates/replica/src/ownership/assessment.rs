//! What a takeover has proven, once a majority has promised its ballot. Nothing here changes state.

use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use super::claim::Fencing;
use super::decision::{IndeterminateReason, OwnershipDecision};
use crate::member::LocalMember;
use crate::record::{DispatchId, IntentState, Invocation, StoredAnswer};
use crate::settings::SafetyCheck;
use crate::store::Key;

/// What follows from a takeover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Assessment {
    /// The last decision.
    Conclude(OwnershipDecision),
    /// A dispatch of a living owner is in flight.
    Wait,
    /// It may be dispatched here; these dispatches never were permitted.
    Dispatch { never_sent: Vec<DispatchId> },
}

/// The decision that an answer, or its loss, requires. Nothing if there is no answer.
pub(super) fn decision_on_answer(effect: &Invocation) -> Option<OwnershipDecision> {
    let reason = match &effect.answer {
        _ if effect.has_conflict => IndeterminateReason::ConflictingAnswers,
        Some(StoredAnswer::Stored(answer)) => {
            return Some(OwnershipDecision::Answer(answer.clone()));
        }
        Some(StoredAnswer::TooLarge) => IndeterminateReason::AnswerTooLarge,
        None if effect.closed => IndeterminateReason::Closed,
        None => return None,
    };
    Some(OwnershipDecision::Indeterminate(reason))
}

/// Assesses a takeover: `effect` is the record with all that the promises reported, `agreed` the majority of voters.
pub(super) fn assess(
    member: &LocalMember,
    now: Micros,
    key: &Key,
    effect: &Invocation,
    fencing: &Fencing,
    agreed: &[MemberIndex],
) -> Assessment {
    if let Some(decision) = decision_on_answer(effect) {
        return Assessment::Conclude(decision);
    }
    let indeterminate = |reason| Assessment::Conclude(OwnershipDecision::Indeterminate(reason));
    let (mut is_in_flight, mut never_sent) = (false, Vec::new());
    for (dispatch_id, sending) in &effect.intents {
        match sending.state {
            IntentState::NotExecuted => {}
            IntentState::Indeterminate => {
                return indeterminate(IndeterminateReason::DispatchIndeterminate);
            }
            IntentState::Intended if was_never_permitted(member, fencing, agreed, dispatch_id) => {
                never_sent.push(*dispatch_id);
            }
            IntentState::Intended if member.is_gone(sending.member, dispatch_id.0) => {
                if !member.is_disabled(SafetyCheck::GoneOwnerMayHaveRun) {
                    return indeterminate(IndeterminateReason::OwnerGone);
                }
            }
            IntentState::Intended => is_in_flight = true,
        }
    }
    if is_in_flight {
        return Assessment::Wait;
    }
    if effect.may_lack_intents {
        return indeterminate(IndeterminateReason::StateLost);
    }
    let is_proven = effect.taken && member.absence_is_proof(now, key);
    if !is_proven && !member.is_disabled(SafetyCheck::KnownToBeTaken) {
        return indeterminate(IndeterminateReason::Unknown);
    }
    Assessment::Dispatch { never_sent }
}

/// No majority can have stored the intent, even if every member stored it that has not denied it.
fn was_never_permitted(
    member: &LocalMember,
    fencing: &Fencing,
    agreed: &[MemberIndex],
    dispatch_id: &DispatchId,
) -> bool {
    let holders = fencing.holders.get(dispatch_id);
    let may_hold = |m: &MemberIndex| {
        holders.is_some_and(|holders| holders.contains(m))
            || !agreed.contains(m) && !member.is_disabled(SafetyCheck::UnansweredMayHold)
    };
    let possible_holders = member.all_members().filter(may_hold);
    !member.group().is_majority(possible_holders)
}
