//! The group that this router belongs to: who is alive (`cedarpulley-membership`) and what is shared
//! (`cedarpulley-replica`). It makes no decisions: requests of the core and messages of other members go to
//! those two state machines, and their outputs are carried out here, through the context and [`Transport`].
//!
//! The caller uses [`Peers::request`] for requests of the core, [`Peers::receive`] for an envelope from a
//! member, and [`Peers::tick`] whenever [`Peers::wait_until_due`] returns.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::rc::Rc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use cedarpulley_membership::{self as membership, MemberIndex, Membership, StableView};
use cedarpulley_net::DeadlineTimer;
use cedarpulley_replica::{self as replica, Durability, Replica, SafetyCheck};
use cedarpulley_router::replication::{self, ReplicationEvent, ReplicationRequest};
use serde::Serialize;
use smol::channel::{Receiver, Sender};

use crate::context::GatewayContext;
use crate::peer_events::{EventListener, Notification, PeerEvent};
use crate::peer_messages::{Envelope, PeerMessage, decode_answer, encode_answer};
use crate::peer_settings::PeerSettings;
use crate::unknown_members::{Refusal, RefusalCause, UnknownMembers};

/// Assumed transit time of a member's message while nothing bounds it: long before any router began. In
/// microseconds.
const UNKNOWN_TRANSIT: Micros = Micros::MAX / 4;

/// Sends messages to other members. It must not block.
pub trait Transport {
    /// `bulk`: may wait behind messages that a vote waits for. `recoverable`: may be dropped if there is no
    /// room, as a later comparison of the records repairs the loss.
    fn send(&self, to: MemberIndex, message: Bytes, bulk: bool, recoverable: bool);
}

/// Envelopes received and those refused, by cause. The names are those of the state endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub envelopes: u64,
    pub other_version: u64,
    pub other_group: u64,
    pub other_member: u64,
    pub unreadable: u64,
    /// Answers stored by another member that could not be decoded here.
    pub unreadable_answers: u64,
}

struct State {
    membership: Membership,
    believed: StableView,
    replica: Replica,
    /// By member: its clock as last received (microseconds), and the process that it belongs to.
    clocks: Vec<(Micros, u64)>,
    counts: Counts,
    unknown_members: UnknownMembers,
    /// While an envelope is processed: its sender and the messages that go back in the reply.
    replies: Option<(MemberIndex, Vec<Bytes>)>,
    /// This process was started from a stored state; and that state was older than what other members know of
    /// it.
    was_restored: bool,
    store_was_older: bool,
}

/// This router's membership and shared records, with the queue of notifications that follow from them.
pub struct Peers {
    pub(crate) context: Rc<GatewayContext>,
    nonce: u64,
    group_fingerprint: u64,
    own_index: MemberIndex,
    members: usize,
    state: RefCell<State>,
    transport: Box<dyn Transport>,
    /// Waiting to be delivered to the core and to listeners, in order.
    pub(crate) notifications: RefCell<VecDeque<Notification>>,
    /// Listeners with the key prefix that each subscribed to.
    pub(crate) listeners: RefCell<Vec<(&'static str, EventListener)>>,
    pub(crate) is_notifying: std::cell::Cell<bool>,
    /// Further sections of the state endpoint, by name.
    state_providers: RefCell<Vec<(&'static str, StateProvider)>>,
    alarm: DeadlineTimer,
    /// Signals that a vote waits for the store to be written.
    write_request: (Sender<()>, Receiver<()>),
}

type StateProvider = Box<dyn Fn() -> serde_json::Value>;

/// State read from the store at start.
#[derive(Default)]
pub struct RestoredState {
    pub turn: u64,
    pub records: Vec<(replica::Key, replica::RecordCopy)>,
}

impl Peers {
    /// `nonce`: unique for this process; `disabled_guard`: only in tests of the auditor, see
    /// `cedarpulley-replica`.
    pub fn new(
        context: Rc<GatewayContext>,
        settings: &PeerSettings,
        nonce: u64,
        restored: Option<RestoredState>,
        disabled_guard: Option<SafetyCheck>,
        transport: Box<dyn Transport>,
    ) -> Self {
        let now = context.clock.now();
        let group = settings.group.clone();
        let (group_fingerprint, own_index, member_count) =
            (group.fingerprint, group.own_index, group.len());
        let terms = membership::FailureDetectorSettings {
            probe_interval: settings.probe_interval,
            answer_timeout: settings.probe_timeout,
            suspicion_timeout: settings.suspicion_timeout,
            seed: context.seed,
        };
        let (turn, was_restored) = (
            restored.as_ref().map_or(0, |state| state.turn),
            restored.is_some(),
        );
        let membership = Membership::new(now, group.clone(), terms, nonce, turn);
        let terms = replica::ReplicaSettings {
            max_records: settings.max_records,
            catch_up_bytes_per_s: settings.catch_up_bytes_per_s,
            is_persistent: settings.state_folder.is_some(),
            disabled_check: disabled_guard,
            ..replica::ReplicaSettings::with_defaults(
                settings.retention,
                settings.replication_timeout,
                context.seed,
            )
        };
        let replica = Replica::new(
            now,
            group,
            terms,
            nonce,
            restored.map(|state| state.records),
        );
        let state = State {
            membership,
            believed: StableView::new(now, member_count, settings.belief_delay),
            replica,
            clocks: vec![(0, 0); member_count],
            counts: Counts::default(),
            unknown_members: UnknownMembers::new(member_count),
            replies: None,
            was_restored,
            store_was_older: false,
        };
        Peers {
            context,
            nonce,
            group_fingerprint,
            own_index,
            members: member_count,
            state: RefCell::new(state),
            transport,
            notifications: RefCell::default(),
            listeners: RefCell::default(),
            is_notifying: std::cell::Cell::new(false),
            state_providers: RefCell::default(),
            alarm: DeadlineTimer::default(),
            write_request: smol::channel::bounded(1),
        }
    }

    /// Takes a request of the core to its group.
    pub fn request(&self, request: ReplicationRequest) {
        let input = match request {
            ReplicationRequest::Announce {
                key,
                durability: need,
                redelivered,
            } => {
                let need = match need {
                    replication::Durability::Notified => Durability::Local,
                    replication::Durability::MajorityStored => Durability::Majority,
                };
                replica::Input::Take {
                    key,
                    durability: need,
                    redelivered,
                }
            }
            ReplicationRequest::RequestPermission {
                key,
                attempt: sending,
                deduplication_domain: place,
                without_majority: alone,
            } => replica::Input::RequestDispatch {
                key,
                dispatch: sending,
                deduplication_scope: place,
                without_majority: alone,
            },
            ReplicationRequest::AttemptSent {
                key,
                attempt: sending,
                deduplication_domain: place,
            } => replica::Input::Dispatched {
                key,
                dispatch: sending,
                deduplication_scope: place,
            },
            ReplicationRequest::AttemptEnded {
                key,
                attempt: sending,
                may_have_run,
            } => replica::Input::DispatchEnded {
                key,
                dispatch: sending,
                may_have_run,
            },
            ReplicationRequest::Answered { key, answer } => replica::Input::Answered {
                key,
                answer: encode_answer(&answer),
            },
            ReplicationRequest::AnswerDelivered { key } => replica::Input::Closed { key },
            ReplicationRequest::Abandoned { key } => replica::Input::Dropped { key },
        };
        self.apply_replica(input);
    }

    /// Hands an input to the shared records and carries out the outputs.
    pub fn apply_replica(&self, input: replica::Input) {
        let now = self.context.clock.now();
        let mut out = Vec::new();
        self.state.borrow_mut().replica.handle(now, input, &mut out);
        self.apply_replica_outputs(out);
    }

    /// Handles everything that has become due.
    pub fn tick(&self) {
        let now = self.context.clock.now();
        let mut out = Vec::new();
        self.state
            .borrow_mut()
            .membership
            .handle(now, membership::Input::Tick, &mut out);
        self.apply_membership(out);
        self.apply_replica(replica::Input::Tick);
    }

    /// Returns when something is due: call [`Peers::tick`] then.
    pub async fn wait_until_due(&self) {
        self.alarm.elapsed(&self.context.clock).await;
    }

    /// Processes an encoded envelope received from `address`; returns the envelope to reply with. One of
    /// another version, group or receiver is counted, logged and refused.
    pub fn receive(&self, address: Option<IpAddr>, bytes: &[u8]) -> Result<Envelope, RefusalCause> {
        let now = self.context.clock.now();
        let envelope = self.decode(bytes).map_err(|refused| {
            let refused = Refusal { address, ..refused };
            self.record_refusal(now, refused);
            refused.why
        })?;
        let (from, process) = (envelope.from, envelope.process);
        let transit = {
            let mut state = self.state.borrow_mut();
            state.counts.envelopes += 1;
            state.unknown_members.accepted(from);
            state.clocks[from as usize] = (envelope.clock, process.nonce);
            state.replies = Some((from, Vec::new()));
            match envelope.echo_of == self.nonce {
                true => (now - envelope.echo).max(0),
                false => UNKNOWN_TRANSIT,
            }
        };
        let mut out = Vec::new();
        self.state
            .borrow_mut()
            .membership
            .record_contact(now, from, process, &mut out);
        self.apply_membership(out);
        for message in envelope.messages {
            let Ok(message) = postcard::from_bytes::<PeerMessage>(&message) else {
                self.state.borrow_mut().counts.unreadable += 1;
                continue;
            };
            match message {
                PeerMessage::Membership(message) => {
                    let mut out = Vec::new();
                    let input = membership::Input::Received {
                        from,
                        incarnation: process,
                        message,
                    };
                    self.state
                        .borrow_mut()
                        .membership
                        .handle(now, input, &mut out);
                    self.apply_membership(out);
                }
                PeerMessage::Replica(message) => {
                    self.apply_replica(replica::Input::MessageReceived {
                        from,
                        nonce: process.nonce,
                        transit,
                        message,
                    });
                }
            }
        }
        let messages = self
            .state
            .borrow_mut()
            .replies
            .take()
            .map(|r| r.1)
            .unwrap_or_default();
        Ok(self.envelope(from, messages))
    }

    /// Decodes an envelope that is of this group and for this member.
    fn decode(&self, bytes: &[u8]) -> Result<Envelope, Refusal> {
        let unidentified = Refusal {
            why: RefusalCause::Unreadable,
            version: None,
            from: None,
            address: None,
        };
        // All versions have the version in front, whatever follows it.
        let Ok((version, _)) = postcard::take_from_bytes::<u16>(bytes) else {
            return Err(unidentified);
        };
        let read = postcard::from_bytes::<Envelope>(bytes).ok();
        let of_group = read.as_ref().filter(|e| e.group == self.group_fingerprint);
        let from =
            of_group.filter(|e| e.from != self.own_index && (e.from as usize) < self.members);
        let from = from.map(|e| (e.from, e.process.nonce));
        let why = match &read {
            _ if version != replica::VERSION => RefusalCause::Version,
            None => RefusalCause::Unreadable,
            Some(e) if e.group != self.group_fingerprint => RefusalCause::Group,
            Some(e) if e.to != self.own_index || from.is_none() => RefusalCause::Member,
            Some(_) => return read.ok_or(unidentified),
        };
        Err(Refusal {
            why,
            version: Some(version),
            from,
            address: None,
        })
    }

    fn record_refusal(&self, now: Micros, refused: Refusal) {
        let mut state = self.state.borrow_mut();
        state.counts.envelopes += 1;
        *match refused.why {
            RefusalCause::Version => &mut state.counts.other_version,
            RefusalCause::Group => &mut state.counts.other_group,
            RefusalCause::Member => &mut state.counts.other_member,
            RefusalCause::Unreadable => &mut state.counts.unreadable,
        } += 1;
        if state.unknown_members.record(now, refused) {
            let members = &state.membership.group().members;
            let member = refused.from.map(|(m, _)| members[m as usize].name.as_str());
            let (version, address) = (refused.version, refused.address.map(|a| a.to_string()));
            tracing::warn!(
                member,
                version,
                address,
                "group: refused: {}",
                refused.why.line()
            );
        }
    }

    /// An envelope with these encoded messages for a member.
    pub fn envelope(&self, to: MemberIndex, messages: Vec<Bytes>) -> Envelope {
        let state = self.state.borrow();
        let (echo, echo_of) = state.clocks.get(to as usize).copied().unwrap_or_default();
        Envelope {
            version: replica::VERSION,
            group: self.group_fingerprint,
            from: self.own_index,
            to,
            process: state.membership.own_incarnation(),
            clock: self.context.clock.now(),
            echo,
            echo_of,
            messages,
        }
    }

    fn apply_membership(&self, outputs: Vec<membership::Output>) {
        let now = self.context.clock.now();
        for output in outputs {
            match output {
                membership::Output::Send { to, message } => {
                    self.send(to, PeerMessage::Membership(message), false, false)
                }
                membership::Output::Changed(member) => self.member_changed(now, member),
            }
        }
        self.update_believed(now);
    }

    fn member_changed(&self, now: Micros, member: MemberIndex) {
        let (known, alive, name) = {
            let mut state = self.state.borrow_mut();
            let known = state.membership.status(member);
            // Other members knew a later process of this member than its store did. A member that was only
            // suspected for a while and refuted that has no older store, and must not be reported with one.
            let outdated = state.membership.counts.outdated_store_signs > 0;
            state.store_was_older |= member == self.own_index && state.was_restored && outdated;
            (
                known,
                state.membership.is_alive(member),
                state.membership.group().members[member as usize]
                    .name
                    .clone(),
            )
        };
        tracing::info!(member = name, standing = ?known.state, why = ?known.reason, turn = known.incarnation.number, "group");
        self.apply_replica(replica::Input::MemberChanged {
            member,
            nonce: known.incarnation.nonce,
            alive,
        });
        self.update_believed(now);
    }

    fn update_believed(&self, now: Micros) {
        let changed = {
            let mut state = self.state.borrow_mut();
            let State {
                membership,
                believed,
                ..
            } = &mut *state;
            let changed = believed.observe(now, |m| membership.is_alive(m));
            if changed {
                tracing::info!(alive = ?believed.alive_members(), version = believed.version(), "group: believed alive");
            }
            changed
        };
        if changed {
            self.queue_event(PeerEvent::BelievedMembersChanged);
            self.notify();
        }
    }

    fn send(&self, to: MemberIndex, message: PeerMessage, bulk: bool, recoverable: bool) {
        // Encoding these types cannot fail.
        let Ok(message) = postcard::to_stdvec(&message).map(Bytes::from) else {
            return;
        };
        if let Some((asker, replies)) = self.state.borrow_mut().replies.as_mut()
            && *asker == to
        {
            return replies.push(message);
        }
        self.transport.send(to, message, bulk, recoverable);
    }

    fn apply_replica_outputs(&self, outputs: Vec<replica::Output>) {
        for output in outputs {
            match output {
                replica::Output::Send { to, message } => {
                    let (bulk, recoverable) = (message.is_bulk(), message.is_made_up_for());
                    self.send(to, PeerMessage::Replica(message), bulk, recoverable);
                }
                replica::Output::Decision {
                    key,
                    decision: verdict,
                } => {
                    let verdict = self.convert_verdict(verdict);
                    self.notifications
                        .borrow_mut()
                        .push_back(Notification::Core(ReplicationEvent::Decision {
                            key,
                            decision: verdict,
                        }));
                }
                replica::Output::DispatchPermission {
                    dispatch: sending,
                    permission: left,
                    ..
                } => {
                    let left = left.map_err(|lack| match lack {
                        replica::NoMajorityReason::OwnedElsewhere => {
                            replication::PermissionRefusal::Elsewhere
                        }
                        _ => replication::PermissionRefusal::NoMajority,
                    });
                    self.notifications
                        .borrow_mut()
                        .push_back(Notification::Core(ReplicationEvent::Permission {
                            attempt: sending,
                            result: left,
                        }));
                }
                replica::Output::Recovered => {
                    tracing::info!("group: this router remembers enough to vote")
                }
                replica::Output::ProposalEnded { key, outcome } => {
                    self.queue_event(PeerEvent::Decided(key, outcome))
                }
                replica::Output::RecordChanged(key) => self.queue_event(PeerEvent::Updated(key)),
            }
        }
        let (due, urgent) = {
            let state = self.state.borrow();
            let members = state.membership.next_due().min(state.believed.next_due());
            (
                members.min(state.replica.next_due()),
                state.replica.awaits_batch(),
            )
        };
        self.alarm.set_deadline(due);
        if urgent {
            // A full channel already carries the signal.
            let _ = self.write_request.0.try_send(());
        }
        self.notify();
    }

    /// Adds a section of this name to the state endpoint.
    pub fn add_state_provider(&self, name: &'static str, provider: StateProvider) {
        self.state_providers.borrow_mut().push((name, provider));
    }

    /// The sections added with [`Peers::add_state_provider`], evaluated now.
    pub fn provided_state(&self) -> Vec<(&'static str, serde_json::Value)> {
        self.state_providers
            .borrow()
            .iter()
            .map(|(name, provider)| (*name, provider()))
            .collect()
    }

    fn convert_verdict(
        &self,
        verdict: replica::OwnershipDecision,
    ) -> replication::ReplicationDecision {
        match verdict {
            replica::OwnershipDecision::Dispatch {
                first_dispatch_ago: first_ago,
            } => replication::ReplicationDecision::RunHere {
                first_attempt_ago: first_ago,
            },
            replica::OwnershipDecision::Wait => replication::ReplicationDecision::AwaitPeer,
            replica::OwnershipDecision::Answer(bytes) => match decode_answer(&bytes) {
                Some(answer) => replication::ReplicationDecision::Answer(answer),
                None => {
                    self.state.borrow_mut().counts.unreadable_answers += 1;
                    replication::ReplicationDecision::MayHaveRun
                }
            },
            replica::OwnershipDecision::Indeterminate(because) => {
                tracing::debug!(?because, "group: may have run");
                replication::ReplicationDecision::MayHaveRun
            }
            replica::OwnershipDecision::NoMajority(lack) => {
                tracing::warn!(?lack, "group: no majority");
                replication::ReplicationDecision::NoMajority
            }
        }
    }

    /// Changes since the last call, for the store: the incarnation of this process, the serial of the
    /// changes, and the records (absent ones were removed).
    pub fn changes(&self) -> (u64, u64, Vec<(replica::Key, Option<replica::RecordCopy>)>) {
        let mut state = self.state.borrow_mut();
        let (serial, changes) = state.replica.changes(self.context.clock.now());
        (state.membership.own_incarnation().number, serial, changes)
    }

    /// A vote waits for changes that have not been fetched with [`Peers::changes`].
    pub fn awaits_store(&self) -> bool {
        self.state.borrow().replica.awaits_batch()
    }

    /// Returns when a vote waits for the store, once for each signal since the last call.
    pub async fn write_requested(&self) {
        // The sender is owned by `self`: the channel never closes.
        let _ = self.write_request.1.recv().await;
    }

    /// Refused envelopes in the name of this member or, without one, of all senders that cannot be
    /// identified. JSON null if there are none.
    pub fn refusals(&self, member: Option<MemberIndex>) -> serde_json::Value {
        self.state
            .borrow()
            .unknown_members
            .state(self.context.clock.now(), member)
    }

    /// Gives access to the state for reading: time, membership, believed members, records, counts, and
    /// whether the store was older than what others knew.
    pub fn inspect<R>(
        &self,
        inspect: impl FnOnce(Micros, &Membership, &StableView, &Replica, &Counts, bool) -> R,
    ) -> R {
        let state = self.state.borrow();
        let State {
            membership,
            believed,
            replica,
            counts,
            store_was_older,
            ..
        } = &*state;
        inspect(
            self.context.clock.now(),
            membership,
            believed,
            replica,
            counts,
            *store_was_older,
        )
    }
}
