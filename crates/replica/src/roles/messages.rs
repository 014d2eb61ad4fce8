//! Dispatches each message to the role that handles it, and passes its effects on to other roles.

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_membership::MemberIndex;

use super::Roles;
use crate::acceptor::{self, FenceRequest, IntentRequest, IntentVote};
use crate::catch_up::{ReceivedBatch, record_size};
use crate::context::{Context, Sender};
use crate::events::Output;
use crate::ownership::Rejection;
use crate::persistence::PendingVote;
use crate::record::Ballot;
use crate::record_server::RecordRequest;
use crate::store::{BALLOT_FLOOR_KEY, Key, Leaf, MergeOutcome, RecordCopy};
use crate::wire::{Message, RecoveryState, RejectionReason};

impl Roles {
    /// Handles a message of another member.
    pub(super) fn on_message(&mut self, cx: &mut Context<'_>, from: Sender, message: Message) {
        if cx.member.arrives_too_late(from.transit) && reject_as_too_late(cx, from, &message) {
            return;
        }
        match message {
            Message::StoreIntent { .. } | Message::Fence { .. } => {
                self.on_ownership_request(cx, from, message);
            }
            Message::IntentStored { .. } | Message::Fenced { .. } | Message::Rejected { .. } => {
                self.on_ownership_answer(cx, from, message);
            }
            Message::Prepare { .. }
            | Message::Promise { .. }
            | Message::Accept { .. }
            | Message::Accepted { .. }
            | Message::Nack { .. } => self.on_consensus_message(cx, from, message),
            Message::Update { key, record } => {
                self.learn(cx, &key, &record, from.transit);
            }
            Message::CompareDigests { .. }
            | Message::DifferingGroups { .. }
            | Message::FetchRecords { .. }
            | Message::FetchedRecords { .. } => self.on_comparison_message(cx, from, message),
        }
    }

    fn on_comparison_message(&mut self, cx: &mut Context<'_>, from: Sender, message: Message) {
        match message {
            Message::CompareDigests { serial, groups } => {
                self.record_server
                    .on_compare(cx, from.member, serial, &groups);
            }
            Message::DifferingGroups {
                serial,
                memory,
                your_process,
                groups,
            } => {
                self.catch_up.on_differing_groups(
                    cx,
                    from.member,
                    serial,
                    memory,
                    your_process,
                    &groups,
                );
            }
            Message::FetchRecords {
                serial,
                leaves,
                after,
            } => {
                let request = RecordRequest {
                    from: from.member,
                    serial,
                    leaves,
                    after,
                };
                self.record_server.on_request(cx, request);
            }
            Message::FetchedRecords {
                serial,
                records,
                more,
            } => self.on_fetched_records(cx, from, serial, records, more),
            _ => {}
        }
    }

    /// Handles requests of owners, which this member answers as an acceptor.
    fn on_ownership_request(&mut self, cx: &mut Context<'_>, from: Sender, message: Message) {
        match message {
            Message::StoreIntent {
                key,
                ballot,
                dispatch,
                is_first_ballot,
                record,
            } => {
                let request = IntentRequest {
                    key,
                    ballot,
                    dispatch,
                    is_first: is_first_ballot,
                    record,
                };
                self.on_store_intent(cx, from, request);
            }
            Message::Fence {
                key,
                ballot,
                origin,
                lifetime,
            } => {
                let request = FenceRequest {
                    key,
                    ballot,
                    origin,
                    lifetime: lifetime.saturating_sub(from.transit),
                };
                self.on_fence(cx, from, &request);
            }
            _ => {}
        }
    }

    /// Handles answers of acceptors to requests of this member as an owner.
    fn on_ownership_answer(&mut self, cx: &mut Context<'_>, from: Sender, message: Message) {
        match message {
            Message::IntentStored {
                key,
                ballot,
                dispatch,
                views,
            } => {
                self.ownership
                    .on_intent_stored(cx, from, &key, ballot, dispatch, views);
            }
            Message::Fenced {
                key,
                ballot,
                record,
                views,
            } => {
                self.ownership
                    .on_fenced(cx, from, &key, ballot, record.as_ref(), views);
            }
            Message::Rejected {
                key,
                ballot,
                dispatch,
                reason,
                record,
            } => {
                let rejection = Rejection {
                    key,
                    ballot,
                    dispatch,
                    reason,
                    record,
                };
                self.ownership.on_rejected(cx, from, &rejection);
            }
            _ => {}
        }
    }

    fn on_consensus_message(&mut self, cx: &mut Context<'_>, from: Sender, message: Message) {
        match message {
            Message::Prepare {
                key,
                ballot,
                lifetime,
            } => {
                self.on_prepare(cx, from, key, ballot, lifetime.saturating_sub(from.transit));
            }
            Message::Accept {
                key,
                ballot,
                value,
                lifetime,
            } => {
                let lifetime = lifetime.saturating_sub(from.transit);
                self.on_accept(cx, from, key, ballot, value, lifetime);
            }
            Message::Promise {
                key,
                ballot,
                choice,
                views,
            } => self
                .consensus
                .on_promise(cx, from, &key, ballot, choice, views),
            Message::Accepted {
                key,
                ballot,
                value_hash,
                views,
            } => self
                .consensus
                .on_accepted(cx, from, &key, ballot, value_hash, views),
            Message::Nack {
                key,
                ballot,
                choice,
                reason,
            } => self
                .consensus
                .on_nack(cx, from, &key, ballot, choice, reason),
            _ => {}
        }
    }

    fn on_store_intent(&mut self, cx: &mut Context<'_>, from: Sender, request: IntentRequest) {
        let vote = acceptor::vote_on_intent(cx, &request, from.transit);
        let IntentRequest {
            key,
            ballot,
            dispatch,
            record,
            ..
        } = request;
        let reason = match vote {
            IntentVote::Stored => {
                let message = Message::IntentStored {
                    key: key.clone(),
                    ballot,
                    dispatch,
                    views: cx.member.known_processes(),
                };
                cx.send(from.member, message);
                return self.on_record_changed(cx, &key);
            }
            IntentVote::LearnOnly => {
                self.learn(cx, &key, &record, from.transit);
                RejectionReason::Recovering
            }
            IntentVote::Rejected(reason) => reason,
        };
        acceptor::reject(cx, from, key, ballot, Some(dispatch), reason);
    }

    fn on_fence(&mut self, cx: &mut Context<'_>, from: Sender, request: &FenceRequest) {
        let (key, ballot) = (&request.key, request.ballot);
        if let Err(reason) = acceptor::check_fence(cx, request) {
            return acceptor::reject(cx, from, key.clone(), ballot, None, reason);
        }
        // Dispatches of this member that wait for a majority under a lower ballot are abandoned before the record is
        // copied, so the promise reports them to the new owner as not sent.
        self.ownership.lose_ownership(cx, key);
        let record = cx.member.store().copy(cx.now, key);
        acceptor::promise_ownership(cx, request);
        let message = Message::Fenced {
            key: key.clone(),
            ballot,
            record,
            views: cx.member.known_processes(),
        };
        cx.send(from.member, message);
    }

    fn on_prepare(
        &mut self,
        cx: &mut Context<'_>,
        from: Sender,
        key: Key,
        ballot: Ballot,
        lifetime: Micros,
    ) {
        let choice = match acceptor::vote_on_prepare(cx, &key, ballot, lifetime) {
            Ok(choice) => choice,
            Err(reason) => return acceptor::nack(cx, from, key, ballot, reason),
        };
        let message = Message::Promise {
            key: key.clone(),
            ballot,
            choice,
            views: cx.member.known_processes(),
        };
        self.cast(cx, from.member, &key, message);
    }

    fn on_accept(
        &mut self,
        cx: &mut Context<'_>,
        from: Sender,
        key: Key,
        ballot: Ballot,
        value: Bytes,
        lifetime: Micros,
    ) {
        let value_hash = match acceptor::vote_on_accept(cx, &key, ballot, value, lifetime) {
            Ok(value_hash) => value_hash,
            Err(reason) => return acceptor::nack(cx, from, key, ballot, reason),
        };
        cx.emit(Output::RecordChanged(key.clone()));
        let message = Message::Accepted {
            key: key.clone(),
            ballot,
            value_hash,
            views: cx.member.known_processes(),
        };
        self.cast(cx, from.member, &key, message);
    }

    fn cast(&mut self, cx: &mut Context<'_>, to: MemberIndex, key: &Key, message: Message) {
        self.consensus
            .cast(cx, key, PendingVote::Remote { to, message });
    }

    fn on_fetched_records(
        &mut self,
        cx: &mut Context<'_>,
        from: Sender,
        serial: u64,
        records: Vec<(Key, RecordCopy)>,
        more: Option<(Leaf, Key)>,
    ) {
        let mut batch = ReceivedBatch {
            serial,
            bytes: 0,
            is_incomplete: cx.member.arrives_too_late(from.transit),
            more,
        };
        cx.counts.records_fetched += records.len() as u64;
        for (key, copy) in records {
            batch.bytes += record_size(&key, &copy.record);
            let outcome = self.learn(cx, &key, &copy, from.transit);
            batch.is_incomplete |= outcome == MergeOutcome::StoreFull;
        }
        self.catch_up.on_batch(cx, from.member, batch);
    }

    /// Merges a record from another member, and informs the roles of a change.
    fn learn(
        &mut self,
        cx: &mut Context<'_>,
        key: &Key,
        copy: &RecordCopy,
        transit: Micros,
    ) -> MergeOutcome {
        let remembers = cx.member.recovery_state() != RecoveryState::Empty;
        let store = cx.member.store_mut();
        let is_new = store.get(key).is_none();
        let outcome = store.merge(cx.now, key, copy, transit);
        if is_new && remembers && &**key != BALLOT_FLOOR_KEY {
            store.raise_to_ballot_floor(key);
        }
        match outcome {
            MergeOutcome::Changed => self.on_record_changed(cx, key),
            MergeOutcome::Expired => cx.counts.expired_records_received += 1,
            MergeOutcome::StoreFull => cx.counts.rejected_store_full += 1,
            MergeOutcome::Unchanged => {}
        }
        outcome
    }

    /// Informs the roles, and the router for notes and choices, that another member has changed a record.
    fn on_record_changed(&mut self, cx: &mut Context<'_>, key: &Key) {
        self.ownership.on_record_changed(cx, key);
        let stored = cx.member.store().get(key);
        if stored.is_some_and(|stored| stored.record.invocation().is_none()) {
            cx.emit(Output::RecordChanged(key.clone()));
        }
    }
}

/// Rejects a request for a vote that was in transit for too long. Returns false for other messages. A process that was
/// suspended reads old requests after it resumes, and its own messages may arrive after other members have received
/// newer messages from it. A promise that is made from then on would expire before the record that it protects.
fn reject_as_too_late(cx: &mut Context<'_>, from: Sender, message: &Message) -> bool {
    let reason = RejectionReason::TooLate;
    match message {
        Message::StoreIntent {
            key,
            ballot,
            dispatch,
            ..
        } => acceptor::reject(cx, from, key.clone(), *ballot, Some(*dispatch), reason),
        Message::Fence { key, ballot, .. } => {
            acceptor::reject(cx, from, key.clone(), *ballot, None, reason);
        }
        Message::Prepare { key, ballot, .. } | Message::Accept { key, ballot, .. } => {
            acceptor::nack(cx, from, key.clone(), *ballot, reason);
        }
        _ => return false,
    }
    true
}
