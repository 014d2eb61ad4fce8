//! A claim: an invocation that this router has taken, and the state of its ownership.

use std::collections::{BTreeMap, BTreeSet};

use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use crate::context::{Context, Sender};
use crate::record::{Ballot, DispatchId, FIRST_BALLOT_NUMBER, Invocation};
use crate::store::RecordCopy;
use crate::votes::{KnownProcesses, Votes};

/// The intent of a dispatch that waits for a majority.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingIntent {
    pub(super) votes: Votes,
    /// Whether the intent is stored under a first ballot.
    pub(super) is_first: bool,
    /// Whether the dispatch is permitted at the deadline even without a majority.
    pub(super) without_majority: bool,
    pub(super) resend_at: Micros,
    pub(super) deadline: Micros,
}

/// The promises that a takeover has collected.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Fencing {
    pub(super) votes: Votes,
    /// For each dispatch, the members known to have stored its intent.
    pub(super) holders: BTreeMap<DispatchId, BTreeSet<MemberIndex>>,
    pub(super) resend_at: Micros,
    pub(super) deadline: Micros,
}

impl Fencing {
    /// `own`: the record that this member has stored itself.
    pub(super) fn new(cx: &Context<'_>, deadline: Micros, own: Option<&Invocation>) -> Self {
        let mut fencing = Fencing {
            votes: Votes::default(),
            holders: BTreeMap::new(),
            resend_at: cx.resend_at(),
            deadline,
        };
        fencing.add_holder(cx.member.own_index(), own);
        fencing
    }

    /// Adds a promise, with the record that its voter had stored.
    pub(super) fn add_vote(
        &mut self,
        from: Sender,
        views: KnownProcesses,
        record: Option<&RecordCopy>,
    ) {
        self.votes.put(from.member, from.process, views);
        self.add_holder(
            from.member,
            record.and_then(|copy| copy.record.invocation()),
        );
    }

    fn add_holder(&mut self, member: MemberIndex, stored: Option<&Invocation>) {
        for dispatch_id in stored
            .iter()
            .flat_map(|invocation| invocation.intents.keys())
        {
            self.holders.entry(*dispatch_id).or_default().insert(member);
        }
    }
}

/// The state of the ownership of a claimed invocation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Stage {
    /// This router owns the invocation and may dispatch it.
    Owner,
    /// This router is taking the invocation over.
    Fencing(Fencing),
    /// The takeover met a higher ballot; it is started again at `retry_at` and abandoned at `deadline`.
    BackingOff { retry_at: Micros, deadline: Micros },
    /// This router waits for the outcome at another owner; with the promises, if it took the invocation over from that
    /// owner.
    AwaitingOwner(Option<Fencing>),
    /// The final decision was given, or the invocation was answered.
    Decided,
}

/// An invocation that this router has taken.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    pub(super) ballot: Ballot,
    pub(super) stage: Stage,
    /// How often a takeover has backed off; selects the bound of the next backoff.
    pub(super) tries: u32,
    /// The intents that wait for a majority, by dispatch.
    pub(super) intents: BTreeMap<u64, PendingIntent>,
}

impl Claim {
    pub(super) fn new(ballot: Ballot, stage: Stage) -> Self {
        Claim {
            ballot,
            stage,
            tries: 0,
            intents: BTreeMap::new(),
        }
    }

    /// Whether the claim still has its first ballot, which a takeover would have replaced.
    pub(super) fn is_first(&self) -> bool {
        self.ballot.number == FIRST_BALLOT_NUMBER
    }

    pub(super) fn is_awaiting_owner(&self) -> bool {
        matches!(self.stage, Stage::AwaitingOwner(_))
    }

    /// The promises collected under this ballot.
    pub(super) fn fencing(&self, ballot: Ballot) -> Option<&Fencing> {
        match &self.stage {
            Stage::Fencing(f) | Stage::AwaitingOwner(Some(f)) if self.ballot == ballot => Some(f),
            _ => None,
        }
    }

    pub(super) fn fencing_mut(&mut self, ballot: Ballot) -> Option<&mut Fencing> {
        match &mut self.stage {
            Stage::Fencing(f) | Stage::AwaitingOwner(Some(f)) if self.ballot == ballot => Some(f),
            _ => None,
        }
    }

    /// The time at which a request of this claim is due to be resent or abandoned.
    pub(super) fn due(&self) -> Micros {
        let stage = match &self.stage {
            Stage::Fencing(f) => f.resend_at.min(f.deadline),
            Stage::BackingOff { retry_at, deadline } => *retry_at.min(deadline),
            _ => Micros::MAX,
        };
        self.intents
            .values()
            .map(|intent| intent.resend_at.min(intent.deadline))
            .fold(stage, Micros::min)
    }

    /// The name of the stage in `/state`.
    pub fn stage_name(&self) -> &'static str {
        match self.stage {
            Stage::Owner => "mine",
            Stage::Fencing(_) | Stage::BackingOff { .. } => "taking-over",
            Stage::AwaitingOwner(_) => "waiting-for-another",
            Stage::Decided => "answered",
        }
    }
}
