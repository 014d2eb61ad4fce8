//! This router's state as a member of its group: which members are alive (`cedarpulley-membership`) and the shared
//! records (`cedarpulley-replica`). This module makes no decisions: it passes requests of the router core and messages
//! of other members to those two state machines, and executes their outputs through the context and [`Transport`].
//!
//! The caller uses [`Peers::request`] for requests of the router core, [`Peers::receive`] for an envelope from a member,
//! and [`Peers::tick`] whenever [`Peers::wait_until_due`] returns.

use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_membership::{self as membership, MemberIndex, Membership, StableView};
use cedarpulley_net::{Clock, DeadlineTimer};
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
use crate::state_endpoint::members_choices_wait_for;
pub use crate::stored_state::{RestoredState, StoreChanges};

/// A read-only view of this router's state as a member of its group.
pub struct PeerStateView<'a> {
    /// This router's clock in microseconds.
    pub now: Micros,
    /// Which members are alive, as detected.
    pub membership: &'a Membership,
    /// Which members are considered alive: the detected state, stabilized against flapping. The router acts on this view.
    pub stable_view: &'a StableView,
    /// The shared records.
    pub replica: &'a Replica,
    /// Counts of received and rejected envelopes.
    pub counts: &'a EnvelopeCounts,
    /// Whether the store that this process started from was older than the other members' knowledge of this member.
    pub store_was_older: bool,
}

/// The state machines of the group, and what belongs to them.
struct State {
    membership: Membership,
    /// Which members are considered alive.
    stable_view: StableView,
    replica: Replica,
    envelopes: EnvelopeExchange,
    /// While an envelope is processed: its sender, and the messages for the reply.
    replies: Option<(MemberIndex, Vec<Bytes>)>,
    /// Whether this process started from a stored state.
    was_restored: bool,
    /// Whether that state was older than the other members' knowledge of this member.
    store_was_older: bool,
}

/// This router's membership and shared records, and the queue of the notifications that they cause.
pub struct Peers {
    context: Rc<GatewayContext>,
    state: RefCell<State>,
    transport: Box<dyn Transport>,
    notifications: NotificationQueue,
    /// Further sections of the state endpoint, with their names.
    state_providers: RefCell<Vec<(&'static str, StateProvider)>>,
    /// Expires when [`Peers::tick`] is due.
    alarm: DeadlineTimer,
    /// Signals that a vote waits for a write of the store.
    write_request: (Sender<()>, Receiver<()>),
}

/// Returns the current content of a section of the state endpoint.
type StateProvider = Box<dyn Fn() -> serde_json::Value>;

impl Peers {
    /// Creates the state of a member. `nonce`: unique for this process; `disabled_check`: a safety check to switch off,
    /// only for tests of the invariant checker (see `cedarpulley-replica`).
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
        let stable_view = StableView::new(now, group.len(), settings.stable_view_delay);
        let was_restored = restored.is_some();
        let (incarnation, records) =
            restored.map_or((0, None), |r| (r.incarnation, Some(r.records)));
        let membership_settings = settings.membership_settings(context.seed);
        let membership =
            Membership::new(now, group.clone(), membership_settings, nonce, incarnation);
        let replica_settings = settings.replica_settings(context.seed, disabled_check);
        let state = State {
            membership,
            stable_view,
            replica: Replica::new(now, group, replica_settings, nonce, records),
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

    /// This router's clock.
    pub(crate) fn clock(&self) -> Clock {
        self.context.clock
    }

    /// Passes a request of the router core to the shared records.
    pub fn request(&self, request: ReplicationRequest) {
        self.apply_replica(replica_input(request));
    }

    /// Passes an input to the shared records and executes the outputs.
    pub fn apply_replica(&self, input: replica::Input) {
        let now = self.context.clock.now();
        let mut outputs = Vec::new();
        self.state
            .borrow_mut()
            .replica
            .handle(now, input, &mut outputs);
        self.apply_replica_outputs(outputs);
    }

    /// Passes an input to the membership and executes the outputs.
    fn handle_membership(&self, now: Micros, input: membership::Input) {
        let mut outputs = Vec::new();
        self.state
            .borrow_mut()
            .membership
            .handle(now, input, &mut outputs);
        self.apply_membership(outputs);
    }

    /// Handles all timers that have become due.
    pub fn tick(&self) {
        self.handle_membership(self.context.clock.now(), membership::Input::Tick);
        self.apply_replica(replica::Input::Tick);
    }

    /// Returns when a timer is due; the caller then calls [`Peers::tick`].
    pub async fn wait_until_due(&self) {
        self.alarm.elapsed(&self.context.clock).await;
    }

    /// Processes an encoded envelope received from `address`; returns the envelope to reply with. An envelope of another
    /// version, group or receiver is counted, logged and rejected.
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

    /// Decodes an envelope; returns it with an upper bound of its transit time in microseconds. From then on the replies
    /// to it are collected.
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

    /// Creates an envelope with these encoded messages for a member.
    pub fn envelope(&self, to: MemberIndex, messages: Vec<Bytes>) -> Envelope {
        let (now, state) = (self.context.clock.now(), self.state.borrow());
        state
            .envelopes
            .envelope(now, to, state.membership.own_incarnation(), messages)
    }

    /// Executes outputs of the membership.
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
        self.update_stable_view(now);
    }

    /// Processes a change of a member's detected state.
    fn member_changed(&self, now: Micros, member: MemberIndex) {
        let (known, alive, name) = {
            let mut state = self.state.borrow_mut();
            let known = state.membership.status(member);
            // The store is older if the other members know a later process of this member than the store contains. A
            // member that was only suspected for a while, and refuted the suspicion, must not be reported to have an
            // older store.
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
        self.update_stable_view(now);
    }

    /// Updates which members are considered alive, and notifies the listeners of a change.
    fn update_stable_view(&self, now: Micros) {
        let changed = {
            let mut state = self.state.borrow_mut();
            let State {
                membership,
                stable_view,
                ..
            } = &mut *state;
            let changed = stable_view.observe(now, |m| membership.is_alive(m));
            if changed {
                tracing::info!(alive = ?stable_view.alive_members(), version = stable_view.version(), "group: members considered alive changed");
            }
            changed
        };
        if changed {
            self.notifications
                .push_event(PeerEvent::AliveMembersChanged);
            self.notifications.deliver(&self.context);
        }
    }

    /// Adds a message to the reply if its receiver sent the envelope that is being processed; otherwise passes it to the
    /// transport.
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

    /// Executes outputs of the shared records.
    fn apply_replica_outputs(&self, outputs: Vec<replica::Output>) {
        for output in outputs {
            match output {
                replica::Output::Send { to, message } => {
                    let options = SendOptions {
                        bulk: message.is_bulk(),
                        recoverable: message.is_recoverable(),
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
                replica::Output::Recovered => log_recovery(&self.state.borrow().replica),
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

    /// Sets the alarm to the next timer that is due, and requests a write of the store if a vote waits for it.
    fn schedule(&self) {
        let (due, write_is_urgent) = {
            let state = self.state.borrow();
            let membership_due = state
                .membership
                .next_due()
                .min(state.stable_view.next_due());
            (
                membership_due.min(state.replica.next_due()),
                state.replica.awaits_batch(),
            )
        };
        self.alarm.set_deadline(due);
        if write_is_urgent {
            // If the channel is full, a signal is already pending.
            let _ = self.write_request.0.try_send(());
        }
    }

    /// Subscribes `listener` to events of keys with this prefix, and to every change of the members that are considered
    /// alive.
    pub fn subscribe(&self, prefix: &'static str, listener: EventListener) {
        self.notifications.subscribe(prefix, listener);
    }

    /// Adds a section of this name to the state endpoint.
    pub fn add_state_provider(&self, name: &'static str, provider: StateProvider) {
        self.state_providers.borrow_mut().push((name, provider));
    }

    /// The current content of the sections added with [`Peers::add_state_provider`], with their names.
    pub fn provided_state(&self) -> Vec<(&'static str, serde_json::Value)> {
        self.state_providers
            .borrow()
            .iter()
            .map(|(name, provider)| (*name, provider()))
            .collect()
    }

    /// The changes of the shared records since the last call.
    pub fn changes(&self) -> StoreChanges {
        let mut state = self.state.borrow_mut();
        let (serial, records) = state.replica.changes(self.context.clock.now());
        StoreChanges {
            incarnation: state.membership.own_incarnation().number,
            serial,
            records,
        }
    }

    /// Whether a vote waits for changes that have not been fetched with [`Peers::changes`].
    pub fn awaits_store(&self) -> bool {
        self.state.borrow().replica.awaits_batch()
    }

    /// Returns when a vote waits for a write of the store; signals since the last call count as one.
    pub async fn write_requested(&self) {
        // `self` owns the sender, so the channel never closes.
        let _ = self.write_request.1.recv().await;
    }

    /// For the state endpoint: the rejected envelopes that name this member as their sender or, if `member` is absent,
    /// those of all senders that cannot be identified; null if there are none.
    pub fn rejections(&self, member: Option<MemberIndex>) -> serde_json::Value {
        let now = self.context.clock.now();
        self.state.borrow().envelopes.rejections(now, member)
    }

    /// Calls `inspect` with a read-only view of the state.
    pub fn inspect<R>(&self, inspect: impl FnOnce(PeerStateView) -> R) -> R {
        let state = self.state.borrow();
        inspect(PeerStateView {
            now: self.context.clock.now(),
            membership: &state.membership,
            stable_view: &state.stable_view,
            replica: &state.replica,
            counts: state.envelopes.counts(),
            store_was_older: state.store_was_older,
        })
    }
}

/// Logs that a recovery is complete, or what it still lacks.
fn log_recovery(replica: &Replica) {
    if replica.can_vote_on_choices() {
        tracing::info!("group: recovery complete, this router may vote");
        return;
    }
    let wait_for = members_choices_wait_for(replica).join(", ");
    tracing::warn!(
        wait_for,
        "group: recovery complete for invocations only; this router started without its records, and binds no \
         session and leads no plan until it has reached these members: start them, with their folders if they have \
         them"
    );
}
