//! Attempts: a dispatch with its timeout, what follows its end, and the final answer.

use super::Balancer;
use super::functions::Function;
use super::invocations::{Dispatch, DispatchState, Invocation};
use super::readiness::Readiness;
use crate::interface::*;

/// Silent for so many long but normal latencies, a worker hangs.
pub(super) const SILENCE_MULTIPLE: Micros = 2;
/// An attempt is timed out after so many; sooner would repeat what was only slow.
const TIMEOUT_MULTIPLE: Micros = 6;
/// An outlier is probed again after this part of the shortest latency objective.
const PROBE_INTERVAL_DIVISOR: Micros = 2;
/// Retry-After is this part of the latency objective.
const RETRY_AFTER_DIVISOR: Micros = 4;

/// How long an attempt may take.
struct AttemptLimits {
    /// Without any answer of the worker for so long, it is an outlier.
    silence: Micros,
    /// After so long the attempt ends; absent where no further one could follow.
    timeout: Option<Micros>,
}

impl Balancer {
    /// Sends the invocation to a worker, or has the worker checked first where it is not known to be ready; with
    /// `loads_copy` the worker has to load the function.
    pub(super) fn dispatch(
        &mut self,
        index: InvocationIndex,
        worker: usize,
        loads_copy: bool,
        out: &mut Vec<Action>,
    ) {
        if self.readiness_of(worker) != Readiness::Ready {
            return self.await_readiness(index, worker, out);
        }
        self.dequeue(index);
        let now = self.now;
        let Some((invocation, state)) = self.find_invocation(index) else {
            return;
        };
        let (function, trigger) = (invocation.function, invocation.trigger);
        let is_probe = self.outliers.is_outlier(worker, trigger, now);
        let waits_for_load = loads_copy || state.is_loading_on(worker);
        let limits = self.attempt_limits(invocation, state, waits_for_load);
        out.push(Action::Dispatch {
            invocation: index,
            worker: worker as WorkerIndex,
            timeout: limits.timeout,
        });
        if let Some(invocation) = self.invocations.get_mut(index) {
            invocation.dispatches.push(Dispatch {
                worker: worker as WorkerIndex,
                sent_at: now,
                state: DispatchState::InFlight,
                loads_copy,
            });
        }
        let state = &mut self.functions[function as usize];
        state.at_workers[worker].in_flight += 1;
        state.set_warm_until(worker, now + self.settings.loads.idle_retention);
        if loads_copy {
            self.load_started(function, worker);
        }
        self.outliers
            .dispatch_sent(worker, trigger, now + limits.silence);
        if is_probe {
            let triggers = self.settings.triggers.iter();
            let shortest = triggers.map(|t| t.latency_objective).min().unwrap_or(0);
            self.outliers
                .probe_sent(worker, trigger, now + shortest / PROBE_INTERVAL_DIVISOR);
        }
        let recent = &mut self.workers[worker].recent_dispatches;
        recent.forget_until(now - self.settings.rules.overload_window);
        recent.record(now);
    }

    fn attempt_limits(
        &self,
        invocation: &Invocation,
        function: &Function,
        waits_for_load: bool,
    ) -> AttemptLimits {
        let service = self.service_time(function);
        let load = if waits_for_load {
            self.load_time(function).upper_bound()
        } else {
            0
        };
        // Symptom: work far shorter than this router's own pauses; each pause would look like every worker's.
        let due = service.upper_bound() + load + self.settings.fleet.granularity;
        let timeout = TIMEOUT_MULTIPLE * due;
        // A further dispatch only if the time left then exceeds the time it is expected to take.
        let left = invocation.client_timeout_at - self.now;
        let may_retry = self.settings.triggers[invocation.trigger].effect != Effect::NonIdempotent
            && invocation.dispatches.len() as u32 + 1 < self.settings.limits.max_dispatches
            && left - timeout > service.mean;
        AttemptLimits {
            silence: SILENCE_MULTIPLE * due,
            timeout: may_retry.then_some(timeout),
        }
    }

    /// A dispatch ended: learns from it, then retries or answers the invocation, and fills the freed lane.
    pub(super) fn on_dispatch_ended(&mut self, ended: &DispatchEnded, out: &mut Vec<Action>) {
        let Some(attempt) = self.close_dispatch(ended) else {
            return;
        };
        self.learn_from(&attempt, ended);
        if ended.answered {
            self.mark_answered(ended.invocation);
        }
        self.retry_or_answer(ended.invocation, out);
        self.remove_if_finished(ended.invocation);
        self.retry_queued(Some(attempt.function), out);
    }

    /// After a dispatch without success: another one, or the final answer at once.
    fn retry_or_answer(&mut self, index: InvocationIndex, out: &mut Vec<Action>) {
        let Some((invocation, function)) = self
            .find_invocation(index)
            .filter(|(invocation, _)| !invocation.answered && !invocation.in_flight())
        else {
            return;
        };
        let may_retry = (0..self.workers.len()).any(|worker| self.may_dispatch(invocation, worker));
        let left = invocation.client_timeout_at - self.now;
        if may_retry && left > self.service_time(function).mean {
            self.route(index, out);
        } else {
            self.answer_without_success(index, out);
        }
    }

    /// The final answer of an invocation that gets no success: a rejection where it surely did not run, or where
    /// a retry by the client is harmless; else an error.
    pub(super) fn answer_without_success(&mut self, index: InvocationIndex, out: &mut Vec<Action>) {
        let Some((invocation, _)) = self
            .find_invocation(index)
            .filter(|(invocation, _)| !invocation.answered)
        else {
            return;
        };
        let trigger = &self.settings.triggers[invocation.trigger];
        let harmless = match trigger.effect {
            Effect::Idempotent
            | Effect::IdempotentByKey {
                scope: DeduplicationScope::All,
                ..
            } => true,
            _ => invocation
                .dispatches
                .iter()
                .all(|dispatch| dispatch.state.not_executed()),
        };
        if harmless {
            let retry_after = trigger.latency_objective / RETRY_AFTER_DIVISOR;
            let retry_after = retry_after.min(self.settings.limits.max_retry_after);
            out.push(Action::Reject {
                invocation: index,
                retry_after: Some(retry_after).filter(|&after| after > 0),
            });
        } else {
            out.push(Action::Fail { invocation: index });
        }
        self.mark_answered(index);
    }

    /// Symptom: work is done for clients that have left. What still waits at a worker is cancelled.
    pub(super) fn on_client_left(&mut self, index: InvocationIndex, out: &mut Vec<Action>) {
        if let Some(invocation) = self
            .invocations
            .get(index)
            .filter(|_| self.settings.limits.cancellation)
        {
            let dispatches = invocation.dispatches.iter().enumerate();
            let in_flight =
                dispatches.filter(|(_, dispatch)| dispatch.state == DispatchState::InFlight);
            out.extend(in_flight.map(|(number, _)| Action::Cancel {
                invocation: index,
                dispatch: number as u32,
            }));
        }
        self.mark_answered(index);
    }

    /// The invocation has its final answer, or its client has left.
    pub(super) fn mark_answered(&mut self, index: InvocationIndex) {
        self.dequeue(index);
        if let Some(invocation) = self.invocations.get_mut(index) {
            invocation.answered = true;
        }
        self.remove_if_finished(index);
    }

    /// Forgets an invocation that is answered and has nothing in flight.
    fn remove_if_finished(&mut self, index: InvocationIndex) {
        if let Some(invocation) = self.invocations.take_if_finished(index) {
            self.functions[invocation.function as usize].open_invocations -= 1;
        }
    }
}
