//! An invocation that this router has accepted.

use std::sync::Arc;

use cedarpulley::interface::{DispatchOutcome, FunctionIndex, InvocationIndex, Micros};

use super::attempt::{Attempt, AttemptOutcome, EndedAttempt, NewAttempt};
use crate::answer_registry::AnswerSlot;
use crate::idempotency_keys;
use crate::replication::{DispatchPermission, Durability, ReplicationStage, ReplicationState};
use crate::{FrontIndex, Payload, Session, Ticket};

/// Memory of an open invocation apart from its body, in bytes: its entries in the tables, its keys and its attempts. It counts
/// against the memory for bodies, so that requests with empty bodies are bounded, too.
pub(crate) const INVOCATION_BYTES: usize = 1 << 10;

/// Identifies one invocation uniquely, even if its index is reused for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct InvocationHandle {
    pub(crate) index: InvocationIndex,
    /// Generation of the index.
    pub(crate) generation: u32,
}

impl InvocationHandle {
    /// The ticket of one of the invocation's attempts.
    pub(crate) fn ticket(self, attempt: u32) -> Ticket {
        Ticket {
            invocation: self.index,
            dispatch: attempt,
            generation: self.generation,
        }
    }
}

impl From<Ticket> for InvocationHandle {
    fn from(ticket: Ticket) -> Self {
        InvocationHandle {
            index: ticket.invocation,
            generation: ticket.generation,
        }
    }
}

/// The request of an invocation, which does not change after it was accepted.
pub(crate) struct AcceptedRequest {
    pub(crate) front: FrontIndex,
    /// Whether it was admitted before its body was read. If so, it counts against the limits until its front reports
    /// that the answer was delivered or the client left, not until it is answered.
    pub(crate) admitted: bool,
    pub(crate) trigger: u32,
    pub(crate) account: u32,
    pub(crate) function: Arc<str>,
    pub(crate) function_index: FunctionIndex,
    /// The idempotency key by which workers recognise repeats.
    pub(crate) idempotency_key: Option<Arc<str>>,
    /// Name of the invocation, given by its client.
    pub(crate) name: Option<Arc<str>>,
    pub(crate) cost_hint: Option<Micros>,
    pub(crate) load_hint: Option<Micros>,
    /// Size of a copy of its function, in megabytes.
    pub(crate) copy_mb: f64,
    /// Invocations that one copy runs at a time; at least 1.
    pub(crate) lanes: u32,
    pub(crate) session: Option<Session>,
    /// Name, in the endpoint list, of the worker that holds the state of its session.
    pub(crate) preferred_worker: Option<Arc<str>>,
    pub(crate) body: Payload,
    /// How long its client had already waited when it was accepted.
    pub(crate) waited: Micros,
    /// Whether its message was delivered before.
    pub(crate) redelivered: bool,
    /// Whether its client marked it as a retry.
    pub(crate) client_retry: bool,
    pub(crate) accepted_at: Micros,
    /// When the final answer is due.
    pub(crate) answer_due_at: Micros,
}

/// Whether a delivery waits for an invocation's answer at this router.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DeliveryState {
    /// A delivery waits for the answer.
    Attached,
    /// No delivery waits: its front lost its connection, and the message has not been delivered again.
    Orphaned,
}

/// One invocation that this router has accepted, until it has its final answer and all its attempts have ended.
pub(crate) struct Invocation {
    pub(crate) request: AcceptedRequest,
    /// Slot of its answer record; absent if the record was dropped.
    answer_slot: Option<AnswerSlot>,
    /// Key by which retries of its client are recognised; absent once it is concluded or its answer record was dropped.
    idempotency_key: Option<idempotency_keys::Key>,
    /// Time from which on no attempt may be sent, as the workers may no longer recognise repeats; absent if there is
    /// none.
    dispatch_until: Option<Micros>,
    /// Whether it has its final answer, or no longer needs one.
    concluded: bool,
    delivery_state: DeliveryState,
    /// Whether it was orphaned once while it was replicated. The group may have let another router run it meanwhile.
    was_orphaned_while_replicated: bool,
    /// Whether it was submitted to the balancer, and not withdrawn since.
    known_to_balancer: bool,
    /// State of its replication; absent if it is not replicated.
    replication: Option<ReplicationState>,
    attempts: Vec<Attempt>,
}

impl Invocation {
    pub(crate) fn new(
        request: AcceptedRequest,
        idempotency_key: Option<idempotency_keys::Key>,
        dispatch_until: Option<Micros>,
        replication: Option<ReplicationState>,
    ) -> Self {
        Invocation {
            request,
            answer_slot: None,
            idempotency_key,
            dispatch_until,
            concluded: false,
            delivery_state: DeliveryState::Attached,
            was_orphaned_while_replicated: false,
            known_to_balancer: false,
            replication,
            attempts: Vec::new(),
        }
    }

    /// Slot of its answer record.
    pub(crate) fn answer_slot(&self) -> Option<AnswerSlot> {
        self.answer_slot
    }

    pub(crate) fn set_answer_slot(&mut self, slot: Option<AnswerSlot>) {
        self.answer_slot = slot;
    }

    pub(crate) fn idempotency_key(&self) -> Option<&idempotency_keys::Key> {
        self.idempotency_key.as_ref()
    }

    /// Removes and returns its idempotency key.
    pub(crate) fn take_idempotency_key(&mut self) -> Option<idempotency_keys::Key> {
        self.idempotency_key.take()
    }

    /// Whether its final answer has yet to be given.
    pub(crate) fn is_open(&self) -> bool {
        !self.concluded
    }

    /// Marks that it has its final answer, or no longer needs one.
    pub(crate) fn conclude(&mut self) {
        self.concluded = true;
    }

    /// Whether it is concluded and all its attempts have ended.
    pub(crate) fn is_over(&self) -> bool {
        self.concluded && !self.has_attempt_in_flight()
    }

    /// Records that no delivery waits for it any more.
    pub(crate) fn orphan(&mut self) {
        self.delivery_state = DeliveryState::Orphaned;
    }

    pub(crate) fn is_orphaned(&self) -> bool {
        self.delivery_state == DeliveryState::Orphaned
    }

    /// Records that a client's retry waits for its answer.
    pub(crate) fn join(&mut self) {
        self.delivery_state = DeliveryState::Attached;
    }

    /// Records that its message was delivered again after its front had lost its connection.
    pub(crate) fn rejoin(&mut self) {
        self.delivery_state = DeliveryState::Attached;
        self.was_orphaned_while_replicated = self.replication.is_some();
    }

    pub(crate) fn was_orphaned_while_replicated(&self) -> bool {
        self.was_orphaned_while_replicated
    }

    pub(crate) fn is_known_to_balancer(&self) -> bool {
        self.known_to_balancer
    }

    /// Sets whether the balancer knows it, and returns the previous value.
    pub(crate) fn set_known_to_balancer(&mut self, known: bool) -> bool {
        std::mem::replace(&mut self.known_to_balancer, known)
    }

    /// Time from which on no attempt may be sent, if there is one.
    pub(crate) fn dispatch_until(&self) -> Option<Micros> {
        self.dispatch_until
    }

    /// Sets the time from which on no attempt may be sent.
    pub(crate) fn limit_dispatches(&mut self, until: Micros) {
        self.dispatch_until = Some(until);
    }

    /// Whether a new attempt may be sent.
    pub(crate) fn may_dispatch(&self, now: Micros) -> bool {
        self.is_open() && self.dispatch_until.is_none_or(|until| now < until)
    }
}

/// Replication to the group.
impl Invocation {
    pub(crate) fn replication(&self) -> Option<&ReplicationState> {
        self.replication.as_ref()
    }

    pub(crate) fn into_replication(self) -> Option<ReplicationState> {
        self.replication
    }

    pub(crate) fn replication_stage(&self) -> Option<ReplicationStage> {
        self.replication
            .as_ref()
            .map(|replication| replication.stage)
    }

    pub(crate) fn set_replication_stage(&mut self, stage: ReplicationStage) {
        if let Some(replication) = &mut self.replication {
            replication.stage = stage;
        }
    }

    /// Records that the group has its successful answer. Returns its replication state the first time, `None` after
    /// that.
    pub(crate) fn mark_answer_shared(&mut self) -> Option<&ReplicationState> {
        let replication = self.replication.as_mut()?;
        let is_new = !std::mem::replace(&mut replication.answered, true);
        is_new.then_some(replication)
    }

    /// Whether it is open and waits for a decision of the group.
    pub(crate) fn awaits_replication_decision(&self) -> bool {
        let stage = self.replication_stage();
        self.is_open()
            && matches!(
                stage,
                Some(ReplicationStage::Announced | ReplicationStage::AwaitingPeer)
            )
    }

    /// Whether another router may have run it, or may still run it.
    pub(crate) fn may_run_elsewhere(&self) -> bool {
        let stage = self.replication_stage();
        let announced_again =
            stage == Some(ReplicationStage::Announced) && self.request.redelivered;
        announced_again
            || stage == Some(ReplicationStage::AwaitingPeer)
            || self.dispatch_until.is_some()
    }

    /// Whether each attempt needs the group's permission to be sent.
    fn needs_permission(&self) -> bool {
        self.replication.as_ref().is_some_and(|replication| {
            replication.durability == Durability::MajorityStored
                && replication.stage == ReplicationStage::Permitted
        })
    }
}

/// Attempts.
impl Invocation {
    /// Adds an attempt that is decided at `now`, and returns its number.
    pub(crate) fn add_attempt(&mut self, now: Micros, new: NewAttempt) -> u32 {
        let NewAttempt {
            worker,
            known_scope,
            timeout,
            serial,
        } = new;
        let permission = if self.needs_permission() {
            DispatchPermission::Requested
        } else {
            DispatchPermission::NotNeeded
        };
        self.attempts.push(Attempt {
            worker,
            known_scope,
            decided_at: now,
            outcome: AttemptOutcome::InFlight,
            timeout,
            serial,
            permission,
        });
        self.attempts.len() as u32 - 1
    }

    /// The attempt with this number.
    pub(crate) fn attempt(&self, number: u32) -> Option<&Attempt> {
        self.attempts.get(number as usize)
    }

    /// All attempts, in the order in which they were decided.
    pub(crate) fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    fn attempt_in_flight(&mut self, number: u32) -> Option<&mut Attempt> {
        self.attempts
            .get_mut(number as usize)
            .filter(|attempt| attempt.is_in_flight())
    }

    /// Records that the group granted permission for an attempt. Returns false if the attempt has ended.
    pub(crate) fn grant_permission(&mut self, number: u32, now: Micros) -> bool {
        let Some(attempt) = self.attempt_in_flight(number) else {
            return false;
        };
        attempt.grant_permission(now);
        true
    }

    /// Marks the attempt as ended; returns `None` if it had ended before.
    pub(crate) fn end_attempt(
        &mut self,
        number: u32,
        now: Micros,
        outcome: DispatchOutcome,
    ) -> Option<EndedAttempt> {
        self.attempt_in_flight(number)
            .map(|attempt| attempt.end(now, outcome))
    }

    /// Whether an attempt has not ended.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Whether an attempt has not ended and may be on its way to a worker.
    pub(crate) fn has_attempt_sent(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.is_in_flight() && !attempt.awaits_permission())
    }

    /// Whether an attempt may have run at a worker, or may still run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Numbers of the attempts that match the predicate, in the order in which they were decided.
    pub(crate) fn attempts_where(&self, predicate: fn(&Attempt) -> bool) -> Vec<u32> {
        let numbered = self.attempts.iter().zip(0..);
        numbered
            .filter_map(|(attempt, number)| predicate(attempt).then_some(number))
            .collect()
    }
}
