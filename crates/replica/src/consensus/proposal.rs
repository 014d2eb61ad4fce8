//! One proposal of this member, from its request for promises to its outcome.

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use crate::context::Context;
use crate::hashed;
use crate::record::Ballot;
use crate::store::Key;
use crate::votes::Votes;
use crate::wire::Message;

/// The purpose of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Goal {
    /// Choose the value of a key that is chosen once.
    Choose,
    /// Win a term.
    Lead,
    /// Write a value in a term that this member won.
    Write,
}

/// The phase of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// Phase 1: waits for promises.
    Preparing,
    /// Phase 2: waits for acceptances.
    Accepting,
    /// A member has promised a higher ballot; phase 1 is started again at this time.
    BackingOff { retry_at: Micros },
}

/// A proposal of this member for one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Proposal {
    pub(super) goal: Goal,
    pub(super) ballot: Ballot,
    pub(super) phase: Phase,
    /// The votes received in the current phase.
    pub(super) votes: Votes,
    pub(super) value: Option<Bytes>,
    /// The accepted value with the highest ballot among those that promises reported.
    pub(super) highest_accepted: Option<(Ballot, Bytes)>,
    /// How long the members retain the choice.
    pub(super) retention: Micros,
    /// How often the proposal has backed off; selects the bound of the next backoff.
    pub(super) tries: u32,
    pub(super) resend_at: Micros,
    pub(super) deadline: Micros,
}

impl Proposal {
    pub(super) fn new(
        cx: &Context<'_>,
        goal: Goal,
        value: Option<Bytes>,
        retention: Micros,
    ) -> Self {
        Proposal {
            goal,
            ballot: Ballot::default(),
            phase: Phase::Preparing,
            votes: Votes::default(),
            value,
            highest_accepted: None,
            retention,
            tries: 0,
            resend_at: cx.resend_at(),
            deadline: cx.replication_deadline(),
        }
    }

    /// Begins phase 1. `accepted`: the value that this member has accepted itself.
    pub(super) fn prepare(&mut self, ballot: Ballot, accepted: Option<(Ballot, Bytes)>) {
        (self.ballot, self.phase) = (ballot, Phase::Preparing);
        self.votes = Votes::default();
        self.highest_accepted = accepted;
    }

    /// Begins phase 2.
    pub(super) fn accept(&mut self) {
        self.phase = Phase::Accepting;
        self.votes = Votes::default();
    }

    pub(super) fn back_off(&mut self, retry_at: Micros) {
        self.tries += 1;
        self.phase = Phase::BackingOff { retry_at };
    }

    pub(super) fn learn_accepted(&mut self, accepted: Option<(Ballot, Bytes)>) {
        self.highest_accepted = self.highest_accepted.take().max(accepted);
    }

    /// Replaces the proposed value with an accepted value, which may have been chosen already.
    pub(super) fn adopt_accepted_value(&mut self) {
        if let Some((_, value)) = &self.highest_accepted {
            self.value = Some(value.clone());
        }
    }

    /// Whether the proposal waits for this vote: for an acceptance of the value with this hash or, without a hash, for
    /// a promise.
    pub(super) fn awaits(&self, ballot: Ballot, value_hash: Option<u64>) -> bool {
        let is_in_phase = match value_hash {
            None => self.phase == Phase::Preparing,
            Some(_) => {
                self.phase == Phase::Accepting && self.value.as_ref().map(hashed) == value_hash
            }
        };
        self.ballot == ballot && is_in_phase
    }

    /// The time at which the proposal is due to be resent, restarted or abandoned.
    pub(super) fn due(&self) -> Micros {
        match self.phase {
            Phase::BackingOff { retry_at } => retry_at.min(self.deadline),
            _ => self.resend_at.min(self.deadline),
        }
    }

    /// Requests votes from those of the given members that have not voted in this phase.
    pub(super) fn request_votes(&self, cx: &mut Context<'_>, key: &Key, members: &[MemberIndex]) {
        let (ballot, lifetime) = (self.ballot, self.retention);
        for to in members.iter().copied().filter(|m| !self.votes.has(*m)) {
            let key = key.clone();
            let message = match (&self.phase, &self.value) {
                (Phase::Preparing, _) => Message::Prepare {
                    key,
                    ballot,
                    lifetime,
                },
                (Phase::Accepting, Some(value)) => Message::Accept {
                    key,
                    ballot,
                    value: value.clone(),
                    lifetime,
                },
                _ => return,
            };
            cx.send(to, message);
        }
    }
}
