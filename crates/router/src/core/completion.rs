//! The end of an invocation: sends its one final answer, reports it to the limits and observers, and frees its index.

use cedarpulley::interface::{DeduplicationScope, Effect, InvocationIndex, Micros};

use super::state::attempt::Attempt;
use super::state::invocation::{INVOCATION_BYTES, Invocation, InvocationHandle};
use super::{Output, Router};
use crate::concurrency_limit::{EndedInvocation, LoadSignal};
use crate::idempotency_keys::KeyUse;
use crate::observer::SentAnswer;
use crate::replication::{ReplicationRequest, ReplicationStage};
use crate::{Answer, AnswerReason, Delivery, FinalOutcome};

/// The invocation that an answer belongs to, as reported to the observers.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnsweredInvocation {
    /// Index of the invocation; absent if the balancer does not know it.
    pub(super) index: Option<InvocationIndex>,
    /// Index of the trigger type; `u32::MAX` if it is no longer known.
    pub(super) trigger: u32,
    /// Index of the account; `u32::MAX` if it is no longer known.
    pub(super) account: u32,
    pub(super) accepted_at: Micros,
}

impl AnsweredInvocation {
    /// For a delivery whose invocation is no longer known.
    pub(super) fn unknown(now: Micros) -> Self {
        AnsweredInvocation {
            index: None,
            trigger: u32::MAX,
            account: u32::MAX,
            accepted_at: now,
        }
    }
}

/// Answers to deliveries.
impl Router {
    /// Sends the answer to one delivery and counts it.
    pub(super) fn answer(
        &mut self,
        delivery: Delivery,
        answer: Answer,
        answered: AnsweredInvocation,
        out: &mut Vec<Output>,
    ) {
        let given = SentAnswer {
            invocation: answered.index,
            front: delivery.front,
            outcome: answer.outcome,
            reason: answer.reason,
            trigger: answered.trigger,
            account: answered.account,
            took: self.now - answered.accepted_at,
        };
        self.observers.answered(self.now, given);
        let counted = (answer.outcome, answer.reason);
        *self.counts.answers.entry(counted).or_default() += 1;
        out.push(Output::Answer { delivery, answer });
    }

    /// Sends the final answer of the invocation to all deliveries that wait for it. Only the first call for an
    /// invocation has an effect.
    pub(super) fn give_answer(
        &mut self,
        index: InvocationIndex,
        answer: Answer,
        out: &mut Vec<Output>,
    ) {
        let invocation = self.invocations.get(index);
        let Some(invocation) = invocation.filter(|invocation| invocation.is_open()) else {
            return;
        };
        let slot = invocation.answer_slot();
        let answered = AnsweredInvocation {
            // An invocation that the balancer does not know (any more) is reported as answered without the balancer.
            index: invocation.is_known_to_balancer().then_some(index),
            trigger: invocation.request.trigger,
            account: invocation.request.account,
            accepted_at: invocation.request.accepted_at,
        };
        let signal = self.load_signal(invocation, &answer);
        self.cache_answer(index, &answer);
        let answer = self.adjust_answer(index, answer);
        self.share_answer(index, &answer, out);
        self.conclude(index, signal);
        let waiters = slot.map_or_else(Vec::new, |slot| self.answers.give(slot, &answer));
        // If no delivery waits, a success is retained and repeated when the message is delivered again. A failure is
        // not: another router may have the message now, and this router's failure says nothing about the result there.
        if waiters.is_empty() && answer.outcome != FinalOutcome::Succeeded {
            self.end_answer_record(index);
        }
        for delivery in waiters {
            self.answer(delivery, answer.clone(), answered, out);
        }
    }

    /// The signal that this answer, given now, is to the concurrency limits.
    fn load_signal(&self, invocation: &Invocation, answer: &Answer) -> LoadSignal {
        match answer.outcome {
            // Nothing was sent, so nothing shows how busy the workers are.
            FinalOutcome::Throttled if answer.reason == AnswerReason::DrainsUnknown => {
                LoadSignal::Neutral
            }
            FinalOutcome::Succeeded if self.is_late(invocation) => LoadSignal::Late,
            FinalOutcome::Succeeded => LoadSignal::OnTime,
            FinalOutcome::Throttled => LoadSignal::Rejected,
            FinalOutcome::Errored => LoadSignal::Neutral,
        }
    }

    /// Whether the latency objective, extended in proportion to the expected execution time, has passed since the
    /// invocation was accepted.
    fn is_late(&self, invocation: &Invocation) -> bool {
        let request = &invocation.request;
        let trigger = &self.triggers[request.trigger as usize];
        let expected = request.cost_hint.unwrap_or(0) as f64;
        let extension = (expected * trigger.objective_work_multiple) as Micros;
        self.now - request.accepted_at > trigger.latency_objective + extension
    }

    /// Caches a successful answer under the idempotency key, for retries by the client.
    fn cache_answer(&mut self, index: InvocationIndex, answer: &Answer) {
        let Some(invocation) = self.invocations.get(index) else {
            return;
        };
        let effect = self.triggers[invocation.request.trigger as usize].effect;
        if let Some(key) = invocation.idempotency_key()
            && answer.outcome == FinalOutcome::Succeeded
            && let Effect::IdempotentByKey { window, .. } = effect
        {
            self.idempotency_keys
                .succeeded(self.now, key, answer.clone(), self.now + window);
        }
    }

    /// Returns the answer to send in place of `answer`, which differs if the invocation was orphaned while it was
    /// replicated, or ran without the group.
    fn adjust_answer(&self, index: InvocationIndex, answer: Answer) -> Answer {
        let Some(invocation) = self.invocations.get(index) else {
            return answer;
        };
        // Another router may have run the invocation while it was orphaned, so it cannot be reported as not run.
        if answer.outcome == FinalOutcome::Throttled && invocation.was_orphaned_while_replicated() {
            return Answer::without_body(FinalOutcome::Errored, AnswerReason::MayHaveRun);
        }
        let unreplicated = invocation.replication_stage() == Some(ReplicationStage::Unreplicated);
        if answer.reason == AnswerReason::Worker && unreplicated {
            return Answer {
                reason: AnswerReason::Alone,
                ..answer
            };
        }
        answer
    }

    /// Sends a successful answer to the group, once. A router to which the same message is delivered repeats the
    /// answer.
    fn share_answer(&mut self, index: InvocationIndex, answer: &Answer, out: &mut Vec<Output>) {
        if answer.outcome != FinalOutcome::Succeeded {
            return;
        }
        let invocation = self.invocations.get_mut(index);
        if let Some(replication) = invocation.and_then(Invocation::mark_answer_shared) {
            out.push(Output::Replication(ReplicationRequest::Answered {
                key: replication.key.clone(),
                answer: answer.clone(),
            }));
        }
    }

    /// Gives a final answer that the core itself decided, and reports to the balancer that the client left.
    pub(super) fn final_answer(
        &mut self,
        index: InvocationIndex,
        outcome: FinalOutcome,
        reason: AnswerReason,
        out: &mut Vec<Output>,
    ) {
        self.give_answer(index, Answer::without_body(outcome, reason), out);
        self.withdraw_from_balancer(index, out);
        self.release(index, out);
    }

    /// Handles that the final answer is due. All attempts in flight time out, upon which the balancer can answer; if it
    /// does not, the core answers. The core has to answer, for example, for an invocation that is still queued because
    /// it was not dispatched between two timers of the balancer.
    pub(super) fn answer_overdue(&mut self, handle: InvocationHandle, out: &mut Vec<Output>) {
        let invocation = self.invocations.get(handle.index);
        let attempts = invocation.map(|found| found.attempts_where(Attempt::is_in_flight));
        for attempt in attempts.unwrap_or_default() {
            self.dispatch_timed_out(handle.ticket(attempt), out);
        }
        let invocation = self.invocations.find(handle);
        let Some(invocation) = invocation.filter(|invocation| invocation.is_open()) else {
            return;
        };
        let safe_to_retry = self.is_safe_to_retry(invocation) && !invocation.may_run_elsewhere();
        let outcome = if safe_to_retry {
            FinalOutcome::Throttled
        } else {
            FinalOutcome::Errored
        };
        self.final_answer(handle.index, outcome, AnswerReason::Overdue, out);
    }

    /// Whether a retry is harmless, as far as the attempts of this router are concerned.
    fn is_safe_to_retry(&self, invocation: &Invocation) -> bool {
        let effect = self.triggers[invocation.request.trigger as usize].effect;
        effect == Effect::Idempotent || !invocation.may_have_run()
    }
}

/// The end of an invocation.
impl Router {
    /// Marks the invocation as concluded and reports it to the limits. Returns true the first time, false if it was
    /// concluded before.
    pub(super) fn conclude(&mut self, index: InvocationIndex, signal: LoadSignal) -> bool {
        let invocation = self.invocations.get_mut(index);
        let Some(invocation) = invocation.filter(|invocation| invocation.is_open()) else {
            return false;
        };
        invocation.conclude();
        let effect = self.triggers[invocation.request.trigger as usize].effect;
        let must_not_repeat = invocation.may_have_run() && key_use(effect) == KeyUse::RunsOnce;
        match invocation.take_idempotency_key() {
            Some(key) if must_not_repeat => self.idempotency_keys.may_have_run(self.now, &key),
            Some(key) => self.idempotency_keys.ended(self.now, &key),
            None => {}
        }
        self.report_to_limits(index, signal);
        true
    }

    fn report_to_limits(&mut self, index: InvocationIndex, signal: LoadSignal) {
        let Some(invocation) = self.invocations.get(index) else {
            return;
        };
        let request = &invocation.request;
        let took = self.now - request.accepted_at;
        let queued = invocation
            .attempts()
            .first()
            .map_or(took, |first| first.decided_at - request.accepted_at);
        // Time spent waiting for a load is no sign of overload. If it counted as one, a slow model store would delay
        // all invocations, and the fronts and accounts with the most open invocations would be limited for it.
        let waited_for_load = self
            .orders
            .waited_for_load(request.function_index, request.accepted_at);
        let (queued, signal) = match signal {
            LoadSignal::Rejected if waited_for_load => (0, LoadSignal::Neutral),
            signal if waited_for_load => (0, signal),
            signal => (queued, signal),
        };
        let ended = EndedInvocation {
            front: request.front,
            account: request.account,
            body_bytes: request.body.len() + INVOCATION_BYTES,
            took,
            queued,
            latency_objective: self.triggers[request.trigger as usize].latency_objective,
            signal,
        };
        self.admission.ended(self.now, ended, request.admitted);
    }

    /// Frees the index of the invocation, if it is over.
    pub(super) fn release(&mut self, index: InvocationIndex, out: &mut Vec<Output>) {
        if !self.invocations.get(index).is_some_and(Invocation::is_over) {
            return;
        }
        let Some(invocation) = self.invocations.remove(index) else {
            return;
        };
        for attempt in invocation.attempts() {
            self.workers.unreserve(attempt.worker);
        }
        let function = invocation.request.function_index;
        self.functions.unreserve(function);
        self.forget_unknown_function(function);
        if let Some(replication) = invocation.into_replication() {
            self.leave_replication(index, replication, out);
        }
    }
}

/// What the key of an invocation of this effect proves once the invocation may have run.
pub(super) fn key_use(effect: Effect) -> KeyUse {
    match effect {
        Effect::Idempotent
        | Effect::IdempotentByKey {
            scope: DeduplicationScope::All,
            ..
        } => KeyUse::Repeatable,
        _ => KeyUse::RunsOnce,
    }
}
