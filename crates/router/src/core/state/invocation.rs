//! An invocation that this router has accepted.

use std::sync::Arc;

use cedarpulley::interface::{
    DispatchOutcome, FunctionIndex, InvocationIndex, Micros, WorkerIndex,
};

use super::attempt::{Attempt, AttemptOutcome, EndedAttempt};
use crate::answer_registry::AnswerSlot;
use crate::idempotency_keys;
use crate::replication::{DispatchPermission, Durability, ReplicationStage, ReplicationState};
use crate::{FrontIndex, Payload, Session, Ticket};

/// Refers to one invocation, even after its index was reused for another one.
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

/// What an invocation asks for; it does not change after it was accepted.
pub(crate) struct AcceptedRequest {
    pub(crate) front: FrontIndex,
    /// It was admitted before its body was read; it then counts against the limits until its front says that it has
    /// left, not until it is answered.
    pub(crate) admitted: bool,
    pub(crate) trigger: u32,
    pub(crate) account: u32,
    pub(crate) function: Arc<str>,
    pub(crate) function_index: FunctionIndex,
    /// The idempotency key by which workers recognise repeats.
    pub(crate) token: Option<Arc<str>>,
    /// The invocation's name as its client gave it.
    pub(crate) mark: Option<Arc<str>>,
    pub(crate) cost_hint: Option<Micros>,
    pub(crate) load_hint: Option<Micros>,
    /// Size of a copy of its function, in megabytes.
    pub(crate) copy_mb: f64,
    /// Invocations that one copy runs at a time; at least 1.
    pub(crate) lanes: u32,
    pub(crate) session: Option<Session>,
    /// Name of the worker where its session is warm.
    pub(crate) preferred_worker: Option<Arc<str>>,
    pub(crate) body: Payload,
    /// How long its client had waited when it was accepted.
    pub(crate) waited: Micros,
    /// The message was delivered before.
    pub(crate) redelivered: bool,
    /// Its client marks it as a retry.
    pub(crate) repeat: bool,
    pub(crate) accepted_at: Micros,
    /// When the final answer is due.
    pub(crate) answer_due_at: Micros,
}

/// Who waits for an invocation's answer at this router.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Waiting {
    /// A delivery.
    Attached,
    /// Nobody: its front lost its connection, and the message has not been delivered again yet.
    Orphaned,
}

/// One invocation that this router has accepted, until it has its final answer and all its attempts have ended.
pub(crate) struct Invocation {
    pub(crate) request: AcceptedRequest,
    /// Where its answer is registered; absent once that record was forgotten.
    answer_slot: Option<AnswerSlot>,
    /// By which retries of its client are recognised, until it is over.
    idempotency_key: Option<idempotency_keys::Key>,
    /// No attempt may be sent from then on, where workers forget repeats by that time.
    dispatch_until: Option<Micros>,
    /// It has its final answer, or none is owed any more.
    concluded: bool,
    waiting: Waiting,
    /// It was orphaned once while replicated to the group, which may have given it to another router.
    was_orphaned_while_replicated: bool,
    /// The decision module was told of it, and not that its client left.
    known_to_balancer: bool,
    /// Absent if it is not replicated to the group.
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
            waiting: Waiting::Attached,
            was_orphaned_while_replicated: false,
            known_to_balancer: false,
            replication,
            attempts: Vec::new(),
        }
    }

    /// Where its answer is registered.
    pub(crate) fn answer_slot(&self) -> Option<AnswerSlot> {
        self.answer_slot
    }

    pub(crate) fn set_answer_slot(&mut self, slot: Option<AnswerSlot>) {
        self.answer_slot = slot;
    }

    pub(crate) fn idempotency_key(&self) -> Option<&idempotency_keys::Key> {
        self.idempotency_key.as_ref()
    }

    /// Its key, which from now on no longer leads to it.
    pub(crate) fn take_idempotency_key(&mut self) -> Option<idempotency_keys::Key> {
        self.idempotency_key.take()
    }

    /// Its final answer is still owed.
    pub(crate) fn is_open(&self) -> bool {
        !self.concluded
    }

    /// It has its final answer, or none is owed any more.
    pub(crate) fn conclude(&mut self) {
        self.concluded = true;
    }

    /// Its final answer is not owed any more and all its attempts have ended.
    pub(crate) fn is_over(&self) -> bool {
        self.concluded && !self.has_attempt_in_flight()
    }

    /// No delivery waits for it any more.
    pub(crate) fn orphan(&mut self) {
        self.waiting = Waiting::Orphaned;
    }

    pub(crate) fn is_orphaned(&self) -> bool {
        self.waiting == Waiting::Orphaned
    }

    /// A client's retry waits for the same answer.
    pub(crate) fn join(&mut self) {
        self.waiting = Waiting::Attached;
    }

    /// Its message was delivered again after its front had lost its connection.
    pub(crate) fn rejoin(&mut self) {
        self.waiting = Waiting::Attached;
        self.was_orphaned_while_replicated = self.replication.is_some();
    }

    pub(crate) fn was_orphaned_while_replicated(&self) -> bool {
        self.was_orphaned_while_replicated
    }

    pub(crate) fn is_known_to_balancer(&self) -> bool {
        self.known_to_balancer
    }

    /// Sets whether the decision module knows it, and returns whether it did before.
    pub(crate) fn set_known_to_balancer(&mut self, known: bool) -> bool {
        std::mem::replace(&mut self.known_to_balancer, known)
    }

    /// No attempt may be sent from this time on.
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

    /// The group knows its success from now on. Its state, if that is new.
    pub(crate) fn mark_answer_shared(&mut self) -> Option<&ReplicationState> {
        let replication = self.replication.as_mut()?;
        let is_new = !std::mem::replace(&mut replication.answered, true);
        is_new.then_some(replication)
    }

    /// The group has yet to say what becomes of it.
    pub(crate) fn awaits_verdict(&self) -> bool {
        let stage = self.replication_stage();
        self.is_open()
            && matches!(
                stage,
                Some(ReplicationStage::Announced | ReplicationStage::AwaitingPeer)
            )
    }

    /// Another router may have run it, or may run it yet.
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
            replication.need == Durability::MajorityStored
                && replication.stage == ReplicationStage::Permitted
        })
    }
}

/// Attempts.
impl Invocation {
    /// Adds an attempt that was decided now, and returns its number.
    pub(crate) fn add_attempt(
        &mut self,
        now: Micros,
        worker: WorkerIndex,
        timeout: Option<Micros>,
        serial: u64,
    ) -> u32 {
        let permission = if self.needs_permission() {
            DispatchPermission::Requested
        } else {
            DispatchPermission::NotNeeded
        };
        self.attempts.push(Attempt {
            worker,
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

    /// The group permits an attempt. False if it has ended.
    pub(crate) fn grant_permission(&mut self, number: u32, now: Micros) -> bool {
        let Some(attempt) = self.attempt_in_flight(number) else {
            return false;
        };
        attempt.grant_permission(now);
        true
    }

    /// Marks the attempt as ended; nothing if it had ended before.
    pub(crate) fn end_attempt(
        &mut self,
        number: u32,
        now: Micros,
        outcome: DispatchOutcome,
    ) -> Option<EndedAttempt> {
        self.attempt_in_flight(number)
            .map(|attempt| attempt.end(now, outcome))
    }

    /// An attempt has not ended.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// An attempt has not ended and may be on its way to a worker.
    pub(crate) fn has_attempt_sent(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.is_in_flight() && !attempt.awaits_permission())
    }

    /// An attempt may have run at a worker, or may run yet.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Numbers of the attempts for which this holds, in the order in which they were decided.
    pub(crate) fn attempts_where(&self, holds: fn(&Attempt) -> bool) -> Vec<u32> {
        let numbered = self.attempts.iter().zip(0..);
        numbered
            .filter_map(|(attempt, number)| holds(attempt).then_some(number))
            .collect()
    }
}
