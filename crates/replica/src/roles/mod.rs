//! The roles of a replica, and the dispatch of events to them. Roles do not call each other: an event that concerns
//! several roles is passed to each of them here.

mod messages;

use std::hash::{Hash, Hasher};

use cedarpulley::interface::Micros;

use crate::catch_up::CatchUp;
use crate::consensus::Consensus;
use crate::context::{Context, Sender};
use crate::events::Input;
use crate::ownership::Ownership;
use crate::record::{Note, Record};
use crate::record_server::RecordServer;
use crate::recovery;
use crate::store::{Key, StoredRecord};
use crate::votes::process_tag;
use crate::wire::Message;

/// The roles that have state of their own. The acceptor's state is in the records.
#[derive(Clone, Debug)]
pub(crate) struct Roles {
    ownership: Ownership,
    consensus: Consensus,
    catch_up: CatchUp,
    record_server: RecordServer,
}

impl Roles {
    pub(crate) fn new(now: Micros) -> Self {
        Roles {
            ownership: Ownership::default(),
            consensus: Consensus::default(),
            catch_up: CatchUp::new(now),
            record_server: RecordServer::new(now),
        }
    }

    pub(crate) fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    pub(crate) fn consensus(&self) -> &Consensus {
        &self.consensus
    }

    pub(crate) fn consensus_mut(&mut self) -> &mut Consensus {
        &mut self.consensus
    }

    pub(crate) fn catch_up(&self) -> &CatchUp {
        &self.catch_up
    }

    pub(crate) fn next_due(&self) -> Micros {
        self.ownership
            .next_due()
            .min(self.consensus.next_due())
            .min(self.catch_up.next_due())
            .min(self.record_server.next_due())
    }

    pub(crate) fn hash_state(&self, state: &mut impl Hasher) {
        (&self.ownership, &self.consensus).hash(state);
        (&self.catch_up, &self.record_server).hash(state);
    }

    pub(crate) fn handle(&mut self, cx: &mut Context<'_>, input: Input) {
        // Records expire before the event is handled. Without this, a process that resumes after it was suspended would
        // broadcast records that have expired at all other members.
        for key in cx.member.expire(cx.now) {
            self.ownership.on_expired(&key);
        }
        self.route(cx, input);
        self.tick(cx);
    }

    fn route(&mut self, cx: &mut Context<'_>, input: Input) {
        match input {
            Input::PublishNote {
                key,
                version,
                value,
                retention,
            } => publish_note(cx, &key, Note { version, value }, retention),
            Input::Choose {
                key,
                value,
                retention,
            } => self.consensus.choose(cx, key, value, retention),
            Input::RequestLeadership { key, retention } => {
                self.consensus.request_leadership(cx, key, retention)
            }
            Input::Write {
                key,
                ballot,
                value,
                retention,
            } => self.consensus.write(cx, key, ballot, value, retention),
            Input::MessageReceived {
                from,
                nonce,
                transit,
                message,
            } if cx.member.is_other_member(from) => {
                let sender = Sender {
                    member: from,
                    process: process_tag(nonce),
                    transit,
                };
                self.on_message(cx, sender, message);
            }
            Input::MemberChanged {
                member,
                nonce,
                alive,
            } => {
                if cx.member.update_peer(member, nonce, alive) {
                    self.ownership.on_members_changed(cx);
                }
            }
            Input::Persisted { serial } => self.consensus.on_persisted(cx, serial),
            Input::MessageReceived { .. } | Input::Tick => {}
            invocation_event => self.route_to_ownership(cx, invocation_event),
        }
    }

    /// Passes an event of an invocation that this router takes or has taken to the ownership role.
    fn route_to_ownership(&mut self, cx: &mut Context<'_>, input: Input) {
        let ownership = &mut self.ownership;
        match input {
            Input::Announce {
                key,
                durability,
                redelivered,
            } => ownership.announce(cx, &key, durability, redelivered),
            Input::RequestDispatch {
                key,
                dispatch,
                deduplication_scope,
                without_majority,
            } => ownership.request_dispatch(
                cx,
                &key,
                dispatch,
                deduplication_scope,
                without_majority,
            ),
            Input::Dispatched {
                key,
                dispatch,
                deduplication_scope,
            } => ownership.on_dispatched(cx, &key, dispatch, deduplication_scope),
            Input::DispatchEnded {
                key,
                dispatch,
                may_have_run,
            } => ownership.on_dispatch_ended(cx, &key, dispatch, may_have_run),
            Input::Answered { key, answer } => ownership.on_answered(cx, &key, answer),
            Input::DeliveryFinal { key } => ownership.on_delivery_final(cx, &key),
            Input::Abandoned { key } => ownership.on_abandoned(cx, &key),
            _ => {}
        }
    }

    fn tick(&mut self, cx: &mut Context<'_>) {
        recovery::tick(cx);
        self.ownership.tick(cx);
        self.consensus.tick(cx);
        self.catch_up.tick(cx);
        self.record_server.tick(cx);
        broadcast(cx);
    }
}

/// Stores an observation of this member, and queues its broadcast.
fn publish_note(cx: &mut Context<'_>, key: &Key, note: Note, retention: Micros) {
    let origin = cx.member.next_origin();
    let expires_at = cx.now.saturating_add(retention);
    let record = Record::Note(note);
    let absent = StoredRecord::new(record.clone(), origin, expires_at);
    cx.change(key, absent, |stored| {
        stored.record.merge(&record);
        stored.origin = origin;
        stored.expires_at = stored.expires_at.max(expires_at);
    });
}

/// Sends the changed records that are due for broadcast to all members that are alive.
fn broadcast(cx: &mut Context<'_>) {
    for key in cx.member.take_due_broadcasts(cx.now) {
        let Some(record) = cx.member.store().copy(cx.now, &key) else {
            continue;
        };
        for to in cx.member.others() {
            if cx.member.is_alive(to) {
                cx.counts.broadcasts_sent += 1;
                let (key, record) = (key.clone(), record.clone());
                cx.send(to, Message::Update { key, record });
            }
        }
    }
}
