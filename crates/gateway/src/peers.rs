//! The group that this router belongs to: who is alive (`cedarpulley-membership`) and what is shared
//! (`cedarpulley-replica`). It makes no decisions: requests of the core and messages of other members go to
//! those two state machines, and their outputs are carried out here, through the context and [`Transport`].
//!
//! The caller uses [`Peers::request`] for requests of the core, [`Peers::receive`] for an envelope from a
//! member, and [`Peers::tick`] whenever [`Peers::wait_until_due`] returns.

use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_membership::{self as membership, MemberIndex, Membership, StableView};
use cedarpulley_net::DeadlineTimer;
use cedarpulley_replica::{self as replica, Replica, SafetyCheck};
use cedarpulley_router::replication::{ReplicationEvent, ReplicationRequest};
use smol::channel::{Receiver, Sender};

use crate::context::GatewayContext;
pub use crate::message_sending::{SendOptions, Transport};
pub use crate::peer_envelopes::EnvelopeCounts;
use crate::peer_envelopes::{EnvelopeExchange, EnvelopeReceiver};
use crate::peer_events::{EventListener, NotificationQueue, PeerEvent};
use crate::peer_messages::{Envelope, PeerMessage};
use crate::peer_requests::{dispatch_permission, ownership_decision, replica_input};
use crate::peer_settings::PeerSettings;
use crate::rejected_envelopes::RejectionCause;
pub use crate::stored_state::{RestoredState, StoreChanges};

/// This router's state as part of its group, for reading.
pub struct PeerStateView<'a> {
    /// This router's clock in microseconds.
    pub now: Micros,
    /// Who is alive, as detected.
    pub membership: &'a Membership,
    /// Who is alive, as acted upon.
    pub believed: &'a StableView,
    /// The shared records.
    pub replica: &'a Replica,
    /// Envelopes received and rejected.
    pub counts: &'a EnvelopeCounts,
    /// This process was started from a store that was older than what other members knew.
    pub store_was_older: bool,
}

struct State {
    membership: Membership,
    believed: StableView,
    replica: Replica,
    envelopes: EnvelopeExchange,
    /// While an envelope is processed: its sender and the messages that go back in the reply.
    replies: Option<(MemberIndex, Vec<Bytes>)>,
    /// This process was started from a stored state; and that state was older than what other members know of
    /// it.
    was_restored: bool,
    store_was_older: bool,
}

/// This router's membership and shared records, with the queue of notifications that follow from them.
pub struct Peers {
    context: Rc<GatewayContext>,
    state: RefCell<State>,
    transport: Box<dyn Transport>,
    notifications: NotificationQueue,
    /// Further sections of the state endpoint, by name.
    state_providers: RefCell<Vec<(&'static str, StateProvider)>>,
    alarm: DeadlineTimer,
    /// Signals that a vote waits for the store to be written.
    write_request: (Sender<()>, Receiver<()>),
}

type StateProvider = Box<dyn Fn() -> serde_json::Value>;

impl Peers {
    /// `nonce`: unique for this process; `disabled_check`: only in tests of the auditor, see
    /// `cedarpulley-replica`.
    pub fn new(
        context: Rc<GatewayContext>,
        settings: &PeerSettings,
        nonce: u64,
        restored: Option<RestoredState>,
        disabled_check: Option<SafetyCheck>,
        transport: Box<dyn Transport>,
    ) -> Self {
        let now = context.clock.now();
        let group = settings.group.clone();
        let receiver = EnvelopeReceiver {
            group: group.fingerprint,
            own_index: group.own_index,
            members: group.len(),
        };
        let believed = StableView::new(now, group.len(), settings.stable_view_delay);
        let was_restored = restored.is_some();
        let (incarnation, records) =
            restored.map_or((0, None), |r| (r.incarnation, Some(r.records)));
        let limits = settings.membership_settings(context.seed);
        let membership = Membership::new(now, group.clone(), limits, nonce, incarnation);
        let limits = settings.replica_settings(context.seed, disabled_check);
        let state = State {
            membership,
            believed,
            replica: Replica::new(now, group, limits, nonce, records),
            envelopes: EnvelopeExchange::new(receiver, nonce),
            replies: None,
            was_restored,
            store_was_older: false,
        };
        Peers {
            context,
            state: RefCell::new(state),
            transport,
            notifications: NotificationQueue::default(),
            state_providers: RefCell::default(),
            alarm: DeadlineTimer::default(),
            write_request: smol::channel::bounded(1),
        }
    }

    /// Takes a request of the core to its group.
    pub fn request(&self, request: ReplicationRequest) {
        self.apply_replica(replica_input(request));
    }

    /// Hands an input to the shared records and carries out the outputs.
    pub fn apply_replica(&self, input: replica::Input) {
        let now = self.context.clock.now();
        let mut outputs = Vec::new();
        self.state
            .borrow_mut()
            .replica
            .handle(now, input, &mut outputs);
        self.apply_replica_outputs(outputs);
    }

    fn handle_membership(&self, now: Micros, input: membership::Input) {
        let mut outputs = Vec::new();
        self.state
            .borrow_mut()
            .membership
            .handle(now, input, &mut outputs);
        self.apply_membership(outputs);
    }

    /// Handles everything that has become due.
    pub fn tick(&self) {
        self.handle_membership(self.context.clock.now(), membership::Input::Tick);
        self.apply_replica(replica::Input::Tick);
    }

    /// Returns when something is due: call [`Peers::tick`] then.
    pub async fn wait_until_due(&self) {
        self.alarm.elapsed(&self.context.clock).await;
    }

    /// Processes an encoded envelope received from `address`; returns the envelope to reply with. One of
    /// another version, group or receiver is counted, logged and rejected.
    pub fn receive(
        &self,
        address: Option<IpAddr>,
        bytes: &[u8],
    ) -> Result<Envelope, RejectionCause> {
        let now = self.context.clock.now();
        let (envelope, transit) = self.accept(now, address, bytes)?;
        let (from, incarnation) = (envelope.from, envelope.process);
        let mut outputs = Vec::new();
        self.state
            .borrow_mut()
            .membership
            .record_contact(now, from, incarnation, &mut outputs);
        self.apply_membership(outputs);
        for message in envelope.messages {
            match postcard::from_bytes::<PeerMessage>(&message) {
                Ok(PeerMessage::Membership(message)) => {
                    let input = membership::Input::Received {
                        from,
                        incarnation,
                        message,
                    };
                    self.handle_membership(now, input);
                }
                Ok(PeerMessage::Replica(message)) => {
                    self.apply_replica(replica::Input::MessageReceived {
                        from,
                        nonce: incarnation.nonce,
                        transit,
                        message,
                    })
                }
                Err(_) => self.state.borrow_mut().envelopes.count_unreadable_message(),
            }
        }
        let replies = self.state.borrow_mut().replies.take();
        let messages = replies.map(|(_, messages)| messages).unwrap_or_default();
        Ok(self.envelope(from, messages))
    }

    /// Decodes an envelope, with the longest time that it can have been under way (microseconds); collects the
    /// replies to it from now on.
    fn accept(
        &self,
        now: Micros,
        address: Option<IpAddr>,
        bytes: &[u8],
    ) -> Result<(Envelope, Micros), RejectionCause> {
        let mut state = self.state.borrow_mut();
        let State {
            membership,
            envelopes,
            replies,
            ..
        } = &mut *state;
        let members = &membership.group().members;
        let name_of = |member: MemberIndex| members[member as usize].name.as_str();
        let accepted = envelopes.accept(now, address, bytes, name_of)?;
        *replies = Some((accepted.0.from, Vec::new()));
        Ok(accepted)
    }

    /// An envelope with these encoded messages for a member.
    pub fn envelope(&self, to: MemberIndex, messages: Vec<Bytes>) -> Envelope {
        let (now, state) = (self.context.clock.now(), self.state.borrow());
        state
            .envelopes
            .envelope(now, to, state.membership.own_incarnation(), messages)
    }

    fn apply_membership(&self, outputs: Vec<membership::Output>) {
        let now = self.context.clock.now();
        for output in outputs {
            match output {
                membership::Output::Send { to, message } => {
                    self.send(to, PeerMessage::Membership(message), SendOptions::default())
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
            state.store_was_older |=
                member == state.membership.group().own_index && state.was_restored && outdated;
            (
                known,
                state.membership.is_alive(member),
                state.membership.group().members[member as usize]
                    .name
                    .clone(),
            )
        };
        tracing::info!(member = name, standing = ?known.state, why = ?known.reason, turn = known.incarnation.number, "group: member state changed");
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
            self.notifications
                .push_event(PeerEvent::AliveMembersChanged);
            self.notifications.deliver(&self.context);
        }
    }

    fn send(&self, to: MemberIndex, message: PeerMessage, options: SendOptions) {
        // Encoding these types cannot fail.
        let Ok(message) = postcard::to_stdvec(&message).map(Bytes::from) else {
            return;
        };
        if let Some((sender, replies)) = self.state.borrow_mut().replies.as_mut()
            && *sender == to
        {
            return replies.push(message);
        }
        self.transport.send(to, message, options);
    }

    fn apply_replica_outputs(&self, outputs: Vec<replica::Output>) {
        for output in outputs {
            match output {
                replica::Output::Send { to, message } => {
                    let options = SendOptions {
                        bulk: message.is_bulk(),
                        recoverable: message.is_made_up_for(),
                    };
                    self.send(to, PeerMessage::Replica(message), options);
                }
                replica::Output::Decision { key, decision } => {
                    let decision = ownership_decision(decision, || {
                        self.state.borrow_mut().envelopes.count_unreadable_answer();
                    });
                    self.notifications
                        .push_for_core(ReplicationEvent::Decision { key, decision });
                }
                replica::Output::DispatchPermission {
                    dispatch,
                    permission,
                    ..
                } => {
                    let result = dispatch_permission(permission);
                    self.notifications
                        .push_for_core(ReplicationEvent::Permission {
                            attempt: dispatch,
                            result,
                        });
                }
                replica::Output::Recovered => {
                    tracing::info!("group: this router remembers enough to vote")
                }
                replica::Output::ProposalEnded { key, outcome } => {
                    let event = PeerEvent::Decided(key, outcome);
                    self.notifications.push_event(event);
                }
                replica::Output::RecordChanged(key) => {
                    self.notifications.push_event(PeerEvent::Updated(key));
                }
            }
        }
        self.schedule();
        self.notifications.deliver(&self.context);
    }

    /// Sets the alarm, and requests a write of the store if a vote waits for it.
    fn schedule(&self) {
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
    }

    /// From now on `listener` receives events of keys with this prefix, and every change of the believed
    /// members.
    pub fn subscribe(&self, prefix: &'static str, listener: EventListener) {
        self.notifications.subscribe(prefix, listener);
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

    /// Changes since the last call.
    pub fn changes(&self) -> StoreChanges {
        let mut state = self.state.borrow_mut();
        let (serial, records) = state.replica.changes(self.context.clock.now());
        StoreChanges {
            incarnation: state.membership.own_incarnation().number,
            serial,
            records,
        }
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

    /// Rejected envelopes in the name of this member or, without one, of all senders that cannot be
    /// identified. JSON null if there are none.
    pub fn rejections(&self, member: Option<MemberIndex>) -> serde_json::Value {
        let now = self.context.clock.now();
        self.state.borrow().envelopes.rejections(now, member)
    }

    /// Gives access to the state for reading.
    pub fn inspect<R>(&self, inspect: impl FnOnce(PeerStateView) -> R) -> R {
        let state = self.state.borrow();
        inspect(PeerStateView {
            now: self.context.clock.now(),
            membership: &state.membership,
            believed: &state.believed,
            replica: &state.replica,
            counts: state.envelopes.counts(),
            store_was_older: state.store_was_older,
        })
    }
}
