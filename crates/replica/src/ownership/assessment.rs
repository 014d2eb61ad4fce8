//! Assesses what a takeover has proven once a majority has promised its ballot. These functions do not change state.

use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use super::claim::Fencing;
use super::decision::{IndeterminateReason, OwnershipDecision};
use crate::member::LocalMember;
use crate::record::{DispatchId, IntentState, Invocation, StoredAnswer};
use crate::settings::SafetyCheck;
use crate::store::Key;

/// The result of a takeover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Assessment {
    /// This decision is final.
    Conclude(OwnershipDecision),
    /// A dispatch of an owner that is alive is in flight.
    Wait,
    /// This router may dispatch the invocation. The listed dispatches were never permitted.
    Dispatch { never_permitted: Vec<DispatchId> },
}

/// The decision that follows from a known answer, or from an answer that is not available any more. `None` if there was
/// no answer.
pub(super) fn decision_on_answer(invocation: &Invocation) -> Option<OwnershipDecision> {
    let reason = match &invocation.answer {
        _ if invocation.has_conflict => IndeterminateReason::ConflictingAnswers,
        Some(StoredAnswer::Stored(answer)) => {
            return Some(OwnershipDecision::Answer(answer.clone()));
        }
        Some(StoredAnswer::TooLarge) => IndeterminateReason::AnswerTooLarge,
        None if invocation.closed => IndeterminateReason::Closed,
        None => return None,
    };
    Some(OwnershipDecision::Indeterminate(reason))
}

/// Assesses a takeover. `invocation`: the record, merged with the records that the promises reported. `agreed`: the
/// majority of voters.
pub(super) fn assess(
    member: &LocalMember,
    now: Micros,
    key: &Key,
    invocation: &Invocation,
    fencing: &Fencing,
    agreed: &[MemberIndex],
) -> Assessment {
    if let Some(decision) = decision_on_answer(invocation) {
        return Assessment::Conclude(decision);
    }
    let indeterminate = |reason| Assessment::Conclude(OwnershipDecision::Indeterminate(reason));
    let (mut is_in_flight, mut never_permitted) = (false, Vec::new());
    for (dispatch_id, intent) in &invocation.intents {
        match intent.state {
            IntentState::NotExecuted => {}
            IntentState::Indeterminate => {
                return indeterminate(IndeterminateReason::DispatchIndeterminate);
            }
            IntentState::Intended if was_never_permitted(member, fencing, agreed, dispatch_id) => {
                never_permitted.push(*dispatch_id);
            }
            IntentState::Intended if member.is_process_gone(intent.member, dispatch_id.0) => {
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
    if invocation.may_lack_intents {
        return indeterminate(IndeterminateReason::StateLost);
    }
    let is_proven = invocation.taken && member.absence_is_proof(now, key);
    if !is_proven && !member.is_disabled(SafetyCheck::UnknownIsNotDispatched) {
        return indeterminate(IndeterminateReason::Unknown);
    }
    Assessment::Dispatch { never_permitted }
}

/// Whether no majority can have stored the intent, even if every member that has not denied it did store it.
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
