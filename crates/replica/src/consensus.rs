//! Single-value agreement with ballots, as in Paxos. A key holds either a value that is chosen once (for example, the
//! version that a session is bound to) or a series of values that the leader of a term writes (for example, the steps
//! of a rollout plan). A term is identified by a ballot. In phase 1 a proposer asks a majority to promise its ballot
//! and learns which values the members accepted before. In phase 2 a value is chosen once a majority has accepted it
//! under that ballot.
//!
//! # Safety
//!
//! Invariant: if a value was chosen under a ballot, every value proposed under a higher ballot is the same value (for a
//! value that is chosen once), or was written by a leader that had learned the chosen value (for terms).
//!
//! * Majorities intersect: a majority that promises a higher ballot contains a member that accepted the chosen value,
//!   and the promise of that member reports the value. The proposer replaces its own value with the value accepted
//!   under the highest ballot.
//! * Terms: a leader has completed phase 1, so it knows the last value of all earlier terms, and no lower ballot can
//!   obtain a majority any more. Values begin with a step number, so within a term each value compares greater, byte by
//!   byte, than the one before: of two acceptances under one ballot the greater is the later. An acceptance contains
//!   the hash of its value, so a delayed acceptance of an earlier value is not counted for the next value.
//! * Ballots are unique: a ballot contains the member and its process, so a restarted proposer never continues a
//!   proposal of its earlier process. Within a process, the number is above every promise of this member under the key,
//!   and a proposer promises its own ballot before it uses it.
//! * Expiry: members let a record expire at different times. An acceptance binds its member until the record expires,
//!   at the earliest a retention time after the acceptance, by that member's clock. A promise binds for as long as the
//!   member keeps its records: when the record expires, the promise is kept in the ballot floor
//!   ([`crate::store`]), which applies to every key without a record. So whatever a member still stores was accepted
//!   under a ballot that a majority has promised for good, and a later proposal gets a higher ballot. A chosen value
//!   binds until it has expired at a majority; a copy that another member keeps for longer has a lower ballot than any
//!   value chosen afterwards, and is not adopted in its place.
//! * Crash and restart with the disk intact: promises and acceptances are on disk before they are sent or counted. This
//!   includes the proposer's own votes ([`crate::persistence`]).
//! * Restart with a lost disk: the member does not vote until it has caught up ([`crate::recovery`]), and votes are
//!   counted together only if the voters agree on each other's processes ([`crate::votes`]). Choices outlive the time
//!   after which a member that reaches nobody votes on invocations again, so that time does not let it vote on choices.
//! * Partition: a minority cannot obtain a majority. Its proposals end with [`Outcome::NoMajority`], which does not
//!   mean that the value was not chosen: a later proposal may find the value and complete it.

mod proposal;

use std::collections::BTreeMap;

use bytes::Bytes;
use cedarpulley::interface::Micros;

use crate::acceptor;
use crate::context::{Context, Sender};
use crate::events::Output;
use crate::hashed;
use crate::ownership::NoMajorityReason;
use crate::persistence::{PendingVote, VotesAwaitingDisk, Withheld};
use crate::record::{Ballot, Choice, FIRST_BALLOT_NUMBER};
use crate::settings::SafetyCheck;
use crate::store::Key;
use crate::votes::KnownProcesses;
use crate::wire::RejectionReason;
use proposal::{Goal, Phase, Proposal};

/// How a proposal of this member ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// This value was chosen. Any member may have proposed it.
    Chosen(Bytes),
    /// This member won a term and is the leader.
    Leads {
        /// The term in which this member may write.
        ballot: Ballot,
        /// The last value of all earlier terms.
        last: Option<Bytes>,
    },
    /// A majority accepted the value that this member wrote.
    Written {
        /// The term in which the value was written.
        ballot: Ballot,
    },
    /// A later term has begun: this member is no longer the leader.
    Overtaken,
    /// No majority voted for the proposal in time, or none could be reached.
    NoMajority(NoMajorityReason),
}

/// The proposer role: this member's proposals by key, and the votes that wait for the disk.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Consensus {
    proposals: BTreeMap<Key, Proposal>,
    votes_awaiting_disk: VotesAwaitingDisk,
}

impl Consensus {
    /// Proposes a value under a key whose value is chosen once.
    pub(crate) fn choose(
        &mut self,
        cx: &mut Context<'_>,
        key: Key,
        value: Bytes,
        retention: Micros,
    ) {
        let proposal = Proposal::new(cx, Goal::Choose, Some(value), retention);
        self.propose(cx, key, proposal);
    }

    /// Tries to become the leader of a new term.
    pub(crate) fn request_leadership(&mut self, cx: &mut Context<'_>, key: Key, retention: Micros) {
        let proposal = Proposal::new(cx, Goal::Lead, None, retention);
        self.propose(cx, key, proposal);
    }

    /// Writes a value in a term that this member won.
    pub(crate) fn write(
        &mut self,
        cx: &mut Context<'_>,
        key: Key,
        ballot: Ballot,
        value: Bytes,
        retention: Micros,
    ) {
        let proposal = Proposal {
            ballot,
            phase: Phase::Accepting,
            ..Proposal::new(cx, Goal::Write, Some(value), retention)
        };
        self.propose(cx, key, proposal);
    }

    fn propose(&mut self, cx: &mut Context<'_>, key: Key, proposal: Proposal) {
        if let Some(reason) = cx.member.choice_obstacle() {
            let outcome = Outcome::NoMajority(reason);
            return cx.emit(Output::ProposalEnded { key, outcome });
        }
        let is_write = proposal.phase == Phase::Accepting;
        self.proposals.insert(key.clone(), proposal);
        match is_write {
            true => self.begin_accepting(cx, &key),
            false => self.begin_preparing(cx, &key),
        }
    }

    fn begin_preparing(&mut self, cx: &mut Context<'_>, key: &Key) {
        let known = acceptor::choice(cx.member, key).unwrap_or_default();
        let accepted = known
            .accepted
            .as_ref()
            .map_or(FIRST_BALLOT_NUMBER, |a| a.0.number);
        let promised = cx.member.store().promised(key).number;
        let number = promised.max(accepted).saturating_add(1);
        let ballot = cx.member.ballot(number);
        let Some(mut proposal) = self.proposals.remove(key) else {
            return;
        };
        proposal.prepare(ballot, known.accepted);
        if acceptor::promise_choice(cx, key, ballot, proposal.retention).is_err() {
            let outcome = Outcome::NoMajority(NoMajorityReason::StoreFull);
            let key = key.clone();
            return cx.emit(Output::ProposalEnded { key, outcome });
        }
        self.proposals.insert(key.clone(), proposal);
        self.request_votes(cx, key);
        self.cast_own_vote(cx, key, ballot, None);
    }

    fn begin_accepting(&mut self, cx: &mut Context<'_>, key: &Key) {
        let Some(mut proposal) = self.proposals.remove(key) else {
            return;
        };
        let Some(value) = proposal.value.clone() else {
            return;
        };
        let (ballot, value_hash) = (proposal.ballot, hashed(&value));
        if let Err(reason) = acceptor::accept_choice(cx, key, ballot, value, proposal.retention) {
            let outcome = match reason {
                RejectionReason::HigherBallot => Outcome::Overtaken,
                _ => Outcome::NoMajority(NoMajorityReason::StoreFull),
            };
            let key = key.clone();
            return cx.emit(Output::ProposalEnded { key, outcome });
        }
        proposal.accept();
        self.proposals.insert(key.clone(), proposal);
        self.request_votes(cx, key);
        self.cast_own_vote(cx, key, ballot, Some(value_hash));
    }

    fn request_votes(&self, cx: &mut Context<'_>, key: &Key) {
        if let Some(proposal) = self.proposals.get(key) {
            let others = cx.member.others();
            proposal.request_votes(cx, key, &others);
        }
    }

    fn cast_own_vote(
        &mut self,
        cx: &mut Context<'_>,
        key: &Key,
        ballot: Ballot,
        value_hash: Option<u64>,
    ) {
        self.cast(cx, key, PendingVote::Own { ballot, value_hash });
    }

    /// Sends or counts a vote of this member's acceptor once the record that backs the vote is on disk.
    pub(crate) fn cast(&mut self, cx: &mut Context<'_>, key: &Key, vote: PendingVote) {
        let is_dirty = cx.member.store().is_dirty(key);
        let must_persist = cx.member.settings().is_persistent
            && !cx.member.is_disabled(SafetyCheck::PersistBeforeVote);
        let submitted = self
            .votes_awaiting_disk
            .submit(key, vote, is_dirty, must_persist);
        match submitted {
            Ok(vote) => self.release(cx, key, vote),
            Err(Withheld::Deferred { dropped_oldest }) => {
                cx.counts.votes_deferred += 1;
                cx.counts.votes_dropped += u64::from(dropped_oldest);
            }
            Err(Withheld::Duplicate) => {}
        }
    }

    fn release(&mut self, cx: &mut Context<'_>, key: &Key, vote: PendingVote) {
        let (ballot, value_hash) = match vote {
            PendingVote::Remote { to, message } => return cx.send(to, message),
            PendingVote::Own { ballot, value_hash } => (ballot, value_hash),
        };
        if let Some(proposal) = self.proposal_awaiting(key, ballot, value_hash) {
            cx.member.add_own_vote(&mut proposal.votes);
            self.count_votes(cx, key);
        }
    }

    /// Releases the votes that waited for the batches of changes up to this serial, which are now on disk.
    pub(crate) fn on_persisted(&mut self, cx: &mut Context<'_>, serial: u64) {
        for (key, vote) in self.votes_awaiting_disk.persisted(serial) {
            self.release(cx, &key, vote);
        }
    }

    /// Begins a batch of changes for the disk if there are changes, and returns the serial of the last batch.
    pub(crate) fn begin_batch(&mut self, has_changes: bool) -> u64 {
        self.votes_awaiting_disk.begin_batch(has_changes)
    }

    /// Whether a vote waits for a batch that has not been begun.
    pub(crate) fn needs_batch(&self) -> bool {
        self.votes_awaiting_disk.needs_batch()
    }

    /// The proposal under this key, if it waits for a vote on this ballot and value (see [`Proposal::awaits`]).
    fn proposal_awaiting(
        &mut self,
        key: &Key,
        ballot: Ballot,
        value_hash: Option<u64>,
    ) -> Option<&mut Proposal> {
        let proposal = self.proposals.get_mut(key)?;
        proposal.awaits(ballot, value_hash).then_some(proposal)
    }

    /// Advances a proposal to its next phase or ends it once a majority has voted for it.
    fn count_votes(&mut self, cx: &mut Context<'_>, key: &Key) {
        let Some(proposal) = self.proposals.get_mut(key) else {
            return;
        };
        let agreed = cx.member.agreeing(&proposal.votes);
        if !cx.member.group().is_majority(agreed) {
            return;
        }
        let ballot = proposal.ballot;
        let outcome = match (&proposal.phase, proposal.goal) {
            (Phase::Preparing, Goal::Lead) => Outcome::Leads {
                ballot,
                last: proposal.highest_accepted.clone().map(|(_, value)| value),
            },
            (Phase::Preparing, _) => {
                if !cx.member.is_disabled(SafetyCheck::AdoptAcceptedValue) {
                    proposal.adopt_accepted_value();
                }
                return self.begin_accepting(cx, key);
            }
            (Phase::Accepting, Goal::Write) => Outcome::Written { ballot },
            (Phase::Accepting, _) => Outcome::Chosen(proposal.value.clone().unwrap_or_default()),
            (Phase::BackingOff { .. }, _) => return,
        };
        self.proposals.remove(key);
        cx.broadcast(key);
        let key = key.clone();
        cx.emit(Output::ProposalEnded { key, outcome });
    }

    /// Phase 1: counts the promise of another member.
    pub(crate) fn on_promise(
        &mut self,
        cx: &mut Context<'_>,
        from: Sender,
        key: &Key,
        ballot: Ballot,
        choice: Choice,
        views: KnownProcesses,
    ) {
        if let Some(proposal) = self.proposal_awaiting(key, ballot, None) {
            proposal.votes.put(from.member, from.process, views);
            proposal.learn_accepted(choice.accepted);
            self.count_votes(cx, key);
        }
    }

    /// Phase 2: counts another member's acceptance of the value with this hash.
    pub(crate) fn on_accepted(
        &mut self,
        cx: &mut Context<'_>,
        from: Sender,
        key: &Key,
        ballot: Ballot,
        value_hash: u64,
        views: KnownProcesses,
    ) {
        if let Some(proposal) = self.proposal_awaiting(key, ballot, Some(value_hash)) {
            proposal.votes.put(from.member, from.process, views);
            self.count_votes(cx, key);
        }
    }

    /// Handles a rejection of a proposal by another member.
    pub(crate) fn on_nack(
        &mut self,
        cx: &mut Context<'_>,
        from: Sender,
        key: &Key,
        ballot: Ballot,
        choice: Option<Choice>,
        reason: RejectionReason,
    ) {
        let Some(proposal) = self.proposals.get(key).filter(|p| p.ballot == ballot) else {
            return;
        };
        if reason == RejectionReason::TooLate {
            return proposal.request_votes(cx, key, &[from.member]);
        }
        if reason != RejectionReason::HigherBallot {
            return;
        }
        let (goal, tries, retention) = (proposal.goal, proposal.tries, proposal.retention);
        // The next ballot has to be higher than the ballot that the rejecting member has promised.
        if let Some(choice) = choice {
            // If the store is full, the next attempt ends for this reason.
            let _ = acceptor::promise_choice(cx, key, choice.promised, retention);
        }
        if goal == Goal::Write {
            self.proposals.remove(key);
            let (key, outcome) = (key.clone(), Outcome::Overtaken);
            return cx.emit(Output::ProposalEnded { key, outcome });
        }
        let retry_at = cx.now.saturating_add(cx.member.backoff(tries));
        if let Some(proposal) = self.proposals.get_mut(key) {
            proposal.back_off(retry_at);
        }
    }

    /// The time at which the next proposal is due to be resent, restarted or abandoned.
    pub(crate) fn next_due(&self) -> Micros {
        let due = self.proposals.values().map(Proposal::due).min();
        due.unwrap_or(Micros::MAX)
    }

    /// Resends requests, restarts proposals after their backoff, and abandons proposals after their deadline.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        let now = cx.now;
        let due = self.proposals.iter().filter(|(_, p)| p.due() <= now);
        let due: Vec<Key> = due.map(|(key, _)| key.clone()).collect();
        for key in due {
            self.tick_proposal(cx, key);
        }
    }

    fn tick_proposal(&mut self, cx: &mut Context<'_>, key: Key) {
        let resend_at = cx.resend_at();
        let Some(proposal) = self.proposals.get_mut(&key) else {
            return;
        };
        if cx.now >= proposal.deadline {
            self.proposals.remove(&key);
            let outcome = Outcome::NoMajority(cx.member.timeout_reason());
            return cx.emit(Output::ProposalEnded { key, outcome });
        }
        proposal.resend_at = resend_at;
        match proposal.phase {
            Phase::BackingOff { .. } => self.begin_preparing(cx, &key),
            _ => self.request_votes(cx, &key),
        }
    }
}
