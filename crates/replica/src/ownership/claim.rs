//! An invocation that this router has taken, and how far its ownership is settled.

use std::collections::{BTreeMap, BTreeSet};

use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use crate::context::{Context, Sender};
use crate::record::{Ballot, DispatchId, FIRST, Invocation};
use crate::store::RecordCopy;
use crate::votes::{Views, Votes};

/// The intent of a dispatch that waits for a majority.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingIntent {
    pub(super) votes: Votes,
    /// Under a first ballot.
    pub(super) is_first: bool,
    /// The dispatch is permitted even without a majority.
    pub(super) alone: bool,
    pub(super) resend_at: Micros,
    pub(super) deadline: Micros,
}

/// A takeover that collects promises.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Fencing {
    pub(super) votes: Votes,
    /// The members known to have stored the intent of each dispatch.
    pub(super) holders: BTreeMap<DispatchId, BTreeSet<MemberIndex>>,
    pub(super) resend_at: Micros,
    pub(super) deadline: Micros,
}

impl Fencing {
    /// `own`: what this member has stored itself.
    pub(super) fn new(cx: &Context<'_>, deadline: Micros, own: Option<&Invocation>) -> Self {
        let mut fencing = Fencing {
            votes: Votes::default(),
            holders: BTreeMap::new(),
            resend_at: cx.resend_at(),
            deadline,
        };
        fencing.add_holder(cx.member.me(), own);
        fencing
    }

    /// A promise, with what its voter has stored.
    pub(super) fn add_vote(&mut self, from: Sender, views: Views, record: Option<&RecordCopy>) {
        self.votes.put(from.member, from.process, views);
        self.add_holder(from.member, record.and_then(|copy| copy.record.effect()));
    }

    fn add_holder(&mut self, member: MemberIndex, stored: Option<&Invocation>) {
        for dispatch_id in stored.iter().flat_map(|e| e.intents.keys()) {
            self.holders.entry(*dispatch_id).or_default().insert(member);
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Stage {
    /// This router may dispatch it.
    Owner,
    /// It is being taken over.
    Fencing(Fencing),
    /// A higher ballot was met during the takeover, which begins anew at that time.
    BackingOff { retry_at: Micros, deadline: Micros },
    /// The outcome at another owner is awaited; with the promises, if it was taken over from that owner.
    Watching(Option<Fencing>),
    /// The last decision was given, or the answer.
    Decided,
}

/// An invocation that this router has taken.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    pub(super) ballot: Ballot,
    pub(super) stage: Stage,
    pub(super) tries: u32,
    /// By dispatch.
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

    /// Its first ballot was not replaced by a takeover.
    pub(super) fn is_first(&self) -> bool {
        self.ballot.number == FIRST
    }

    pub(super) fn is_watching(&self) -> bool {
        matches!(self.stage, Stage::Watching(_))
    }

    /// The promises collected under this ballot.
    pub(super) fn fencing(&self, ballot: Ballot) -> Option<&Fencing> {
        match &self.stage {
            Stage::Fencing(f) | Stage::Watching(Some(f)) if self.ballot == ballot => Some(f),
            _ => None,
        }
    }

    pub(super) fn fencing_mut(&mut self, ballot: Ballot) -> Option<&mut Fencing> {
        match &mut self.stage {
            Stage::Fencing(f) | Stage::Watching(Some(f)) if self.ballot == ballot => Some(f),
            _ => None,
        }
    }

    /// When something has to be sent again or given up.
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

    /// The stage's name in `/state`.
    pub fn stage_name(&self) -> &'static str {
        match self.stage {
            Stage::Owner => "mine",
            Stage::Fencing(_) | Stage::BackingOff { .. } => "taking-over",
            Stage::Watching(_) => "waiting-for-another",
            Stage::Decided => "answered",
        }
    }
}
