//! The attempts of an invocation: created as the balancer decides, permitted by the group if necessary, sent, and
//! ended.

use cedarpulley::interface::{
    CopyStatus, DispatchEnded, DispatchOutcome, Effect, Event, InvocationIndex, LoadReport, Micros,
    WorkerIndex,
};
use cedarpulley_usage_metering::MemoryTotals;

use super::balancer_actions::EndedImmediately;
use super::state::attempt::{Attempt, AttemptOutcome, EndedAttempt, NewAttempt};
use super::state::invocation::Invocation;
use super::state::timers::Timer;
use super::{DispatchRequest, Output, Router};
use crate::concurrency_limit::LoadSignal;
use crate::observer::{UsageSource, WorkerUsage};
use crate::replication::ReplicationRequest;
use crate::{Answer, AnswerReason, FinalOutcome, Payload, Ticket};

/// The result of a dispatch and the report of its worker; the fields are those of [`Input::DispatchEnded`].
///
/// [`Input::DispatchEnded`]: super::Input::DispatchEnded
pub(super) struct DispatchResult {
    pub(super) outcome: DispatchOutcome,
    pub(super) copy_status: CopyStatus,
    pub(super) function_load: Option<u32>,
    pub(super) report: LoadReport,
    pub(super) memory_held: Option<MemoryTotals>,
    pub(super) body: Payload,
}

impl DispatchResult {
    /// The result of a dispatch without an answer from its worker.
    pub(super) fn without_answer(outcome: DispatchOutcome) -> Self {
        DispatchResult {
            outcome,
            copy_status: CopyStatus::Unreported,
            function_load: None,
            report: LoadReport::default(),
            memory_held: None,
            body: Payload::default(),
        }
    }
}

/// Sending of attempts.
impl Router {
    /// Creates an attempt to run the invocation at a worker, as the balancer decided, and sends it or requests
    /// permission for it.
    pub(super) fn dispatch(
        &mut self,
        index: InvocationIndex,
        worker: WorkerIndex,
        timeout: Option<Micros>,
        ended: &mut Vec<EndedImmediately>,
        out: &mut Vec<Output>,
    ) {
        let Some(invocation) = self.invocations.get_mut(index) else {
            return;
        };
        let effect = self.triggers[invocation.request.trigger as usize].effect;
        let new = NewAttempt {
            worker,
            known_scope: self.workers.known_scope(self.now, worker, effect),
            timeout,
            serial: self.serials.next(),
        };
        let attempt = invocation.add_attempt(self.now, new);
        // No attempt may be sent once the final answer was given or the workers no longer recognise repeats. The
        // attempt is then reported to the balancer as not sent.
        let may_dispatch = invocation.may_dispatch(self.now);
        let time_left = invocation.request.answer_due_at - self.now;
        let ticket = self.invocations.handle(index).ticket(attempt);
        self.workers.reserve(worker);
        if !may_dispatch {
            return ended.push(EndedImmediately {
                ticket,
                outcome: DispatchOutcome::NotSent,
            });
        }
        // Without a shorter timeout, the dispatch ends when the final answer is due.
        if let Some(timeout) = timeout.filter(|&timeout| timeout < time_left) {
            self.set_timer(self.now + timeout, Timer::DispatchTimeout(ticket));
        }
        if !self.request_permission(ticket, out) {
            self.send(ticket, out);
        }
    }

    /// Notifies the group of a new attempt, if the invocation is replicated. Returns true if the attempt must wait for
    /// the group's permission.
    fn request_permission(&mut self, ticket: Ticket, out: &mut Vec<Output>) -> bool {
        let Some(invocation) = self.invocations.get(ticket.invocation) else {
            return false;
        };
        let (Some(attempt), Some(replication)) = (
            invocation.attempt(ticket.dispatch),
            invocation.replication(),
        ) else {
            return false;
        };
        let trigger = invocation.request.trigger;
        let effect = self.triggers[trigger as usize].effect;
        let (key, serial) = (replication.key.clone(), attempt.serial);
        let deduplication_scope = self.workers.deduplication_scope(attempt.worker, effect);
        if !attempt.awaits_permission() {
            out.push(Output::Replication(ReplicationRequest::AttemptSent {
                key,
                attempt: serial,
                deduplication_scope,
            }));
            return false;
        }
        let without_majority = self.may_go_unreplicated(trigger);
        self.replication.permission_requested(serial, ticket);
        out.push(Output::Replication(ReplicationRequest::RequestPermission {
            key,
            attempt: serial,
            deduplication_scope,
            without_majority,
        }));
        true
    }

    /// Sends the attempt.
    pub(super) fn send(&mut self, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(invocation) = self.invocations.get(ticket.invocation) else {
            return;
        };
        let Some(attempt) = invocation.attempt(ticket.dispatch) else {
            return;
        };
        let request = &invocation.request;
        out.push(Output::Send {
            ticket,
            worker: attempt.worker,
            function: request.function.clone(),
            trigger: request.trigger,
            account: request.account,
            request: dispatch_request(invocation, attempt, self.now),
        });
        self.counts.dispatches += 1;
    }

    /// Whether a dispatch may still be sent. The connection to the worker checks this again right before it writes the
    /// first byte, as connecting takes time.
    pub fn may_send(&self, now: Micros, ticket: Ticket) -> bool {
        let Some(attempt) = self.invocations.attempt_in_flight(ticket) else {
            return false;
        };
        let Some(invocation) = self.invocations.get(ticket.invocation) else {
            return false;
        };
        invocation.is_open()
            && now < invocation.request.answer_due_at
            && self.workers.accepts(now, attempt.worker)
            && self.is_permitted(now, attempt.permission)
            && self.within_deduplication_window(now, invocation)
            && self.within_deduplication_scope(now, invocation, attempt)
    }

    /// Whether the workers still recognise repeats of the invocation. This enforces safety rule 2 (no effect twice) at
    /// the moment of sending: workers drop repeats with the same idempotency key only within their window, counted from
    /// each attempt that may have run. Connecting may take longer than the time that was left when the attempt was
    /// decided.
    fn within_deduplication_window(&self, now: Micros, invocation: &Invocation) -> bool {
        let Effect::IdempotentByKey { window, .. } =
            self.triggers[invocation.request.trigger as usize].effect
        else {
            return true;
        };
        let mut may_have_run = invocation
            .attempts()
            .iter()
            .filter(|attempt| attempt.outcome == AttemptOutcome::Indeterminate);
        may_have_run.all(|attempt| now - attempt.decided_at < window)
    }

    /// Whether the worker certainly shares its record of idempotency keys with all workers that may have run the
    /// invocation. The scope of an attempt is that of its worker when the attempt was decided. It must not have changed or
    /// become uncertain since, as connecting takes time.
    fn within_deduplication_scope(
        &self,
        now: Micros,
        invocation: &Invocation,
        attempt: &Attempt,
    ) -> bool {
        let effect = self.triggers[invocation.request.trigger as usize].effect;
        let mut may_have_run = invocation
            .attempts()
            .iter()
            .filter(|earlier| earlier.outcome == AttemptOutcome::Indeterminate);
        match attempt.known_scope {
            None => may_have_run.next().is_none(),
            Some(_) => {
                self.workers.known_scope(now, attempt.worker, effect) == attempt.known_scope
                    && may_have_run.all(|earlier| earlier.known_scope == attempt.known_scope)
            }
        }
    }
}

/// Ends of attempts.
impl Router {
    /// Ends a dispatch whose timeout has passed, or whose invocation's final answer is due.
    pub(super) fn dispatch_timed_out(&mut self, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(attempt) = self.invocations.attempt_in_flight(ticket) else {
            return;
        };
        if attempt.awaits_permission() {
            // It still waits for permission, so it was never sent and cannot have run.
            return self.dispatch_not_sent(ticket, out);
        }
        out.push(Output::Cancel(ticket));
        self.dispatch_ended(
            ticket,
            DispatchResult::without_answer(DispatchOutcome::TimedOut),
            out,
        );
    }

    /// Ends a dispatch that was not sent.
    pub(super) fn dispatch_not_sent(&mut self, ticket: Ticket, out: &mut Vec<Output>) {
        self.dispatch_ended(
            ticket,
            DispatchResult::without_answer(DispatchOutcome::NotSent),
            out,
        );
    }

    /// Ends a dispatch. A success answers the invocation; for any other outcome the balancer decides what to do next.
    pub(super) fn dispatch_ended(
        &mut self,
        ticket: Ticket,
        result: DispatchResult,
        out: &mut Vec<Output>,
    ) {
        let Some(ended) = self.end_attempt(ticket, result.outcome) else {
            // A worker may answer after the dispatch timed out or was cancelled. Its end was already reported.
            self.counts.too_late += 1;
            return;
        };
        let index = ticket.invocation;
        self.replicate_attempt_end(index, ended, out);
        self.report_attempt_use(index, ended, &result);
        if result.outcome == DispatchOutcome::Succeeded {
            if result.copy_status == CopyStatus::Warm {
                self.note_warm_copy(index);
            }
            let answer = Answer {
                body: result.body,
                ..Answer::without_body(FinalOutcome::Succeeded, AnswerReason::Worker)
            };
            self.give_answer(index, answer, out);
        } else {
            self.conclude_orphaned(index);
        }
        let answered = self
            .invocations
            .get(index)
            .is_none_or(|invocation| !invocation.is_open());
        let event = DispatchEnded {
            invocation: index,
            dispatch: ticket.dispatch,
            worker: ended.worker,
            outcome: result.outcome,
            took: ended.took,
            answered,
            copy_status: result.copy_status,
            function_load: result.function_load,
            report: result.report,
        };
        self.decide(&Event::DispatchEnded(event), out);
        self.release(index, out);
    }

    /// Marks the attempt as ended; returns `None` if it had ended before.
    fn end_attempt(&mut self, ticket: Ticket, outcome: DispatchOutcome) -> Option<EndedAttempt> {
        let invocation = self.invocations.find_mut(ticket.into())?;
        let ended = invocation.end_attempt(ticket.dispatch, self.now, outcome)?;
        self.replication.end_request(ended.serial);
        Some(ended)
    }

    fn replicate_attempt_end(
        &self,
        index: InvocationIndex,
        ended: EndedAttempt,
        out: &mut Vec<Output>,
    ) {
        let invocation = self.invocations.get(index);
        if let Some(replication) = invocation.and_then(Invocation::replication) {
            out.push(Output::Replication(ReplicationRequest::AttemptEnded {
                key: replication.key.clone(),
                attempt: ended.serial,
                may_have_run: ended.may_have_run,
            }));
        }
    }

    /// Reports to the observers how the attempt used its worker.
    fn report_attempt_use(
        &mut self,
        index: InvocationIndex,
        ended: EndedAttempt,
        result: &DispatchResult,
    ) {
        let Some(invocation) = self.invocations.get(index) else {
            return;
        };
        let request = &invocation.request;
        let session = request.session.as_ref();
        let usage = WorkerUsage {
            worker: ended.worker,
            worker_name: self.workers.name(ended.worker).unwrap_or(""),
            function: &request.function,
            session: session.map(|session| &*session.id),
            ends_session: session.is_some_and(|session| session.is_last),
            trigger: request.trigger,
            account: request.account,
            source: UsageSource::Dispatch(result.outcome, result.copy_status),
            took: ended.took,
            copy_mb: request.copy_mb,
            lanes: request.lanes,
            memory_held: result.memory_held,
        };
        self.observers.used(self.now, usage);
    }

    fn note_warm_copy(&mut self, index: InvocationIndex) {
        if let Some(invocation) = self.invocations.get(index) {
            self.orders
                .warm_copy_found(self.now, invocation.request.function_index);
        }
    }

    /// Concludes the invocation if it is orphaned, after an attempt of it failed. No delivery waits for it at this
    /// router; the router that receives the message next decides whether to try again.
    fn conclude_orphaned(&mut self, index: InvocationIndex) {
        let invocation = self.invocations.get(index);
        if invocation.is_some_and(|invocation| invocation.is_orphaned() && invocation.is_open()) {
            self.end_answer_record(index);
            self.conclude(index, LoadSignal::Neutral);
        }
    }
}

fn dispatch_request(invocation: &Invocation, attempt: &Attempt, now: Micros) -> DispatchRequest {
    let request = &invocation.request;
    let time_left = request.answer_due_at - now;
    let already_waited = now - attempt.decided_at;
    let until_timeout = |timeout: Micros| (timeout - already_waited).clamp(0, time_left.max(0));
    DispatchRequest {
        name: request.name.clone(),
        idempotency_key: request.idempotency_key.clone(),
        time_left,
        timeout: attempt.timeout.map_or(time_left, until_timeout),
        cost_hint: request.cost_hint,
        load_hint: request.load_hint,
        copy_mb: request.copy_mb,
        lanes: request.lanes,
        session: request.session.clone(),
        body: request.body.clone(),
    }
}
