//! Attempts: dispatches with their timeouts, retries, and final answers.

use super::functions::Function;
use super::invocations::{Dispatch, DispatchState, Invocation};
use super::readiness::Readiness;
use super::{Balancer, RETRY_INTERVAL};
use crate::interface::*;

/// A worker that has not answered for this multiple of the upper bound of the expected latency counts as hanging.
pub(super) const SILENCE_MULTIPLE: Micros = 2;
/// The timeout of an attempt, as a multiple of the upper bound of the expected latency. A smaller multiple would
/// repeat attempts that are only slow.
const TIMEOUT_MULTIPLE: Micros = 6;
/// The interval between probes of an outlier is the shortest latency objective divided by this.
const PROBE_INTERVAL_DIVISOR: Micros = 2;
/// Retry-After is the latency objective divided by this.
const RETRY_AFTER_DIVISOR: Micros = 4;

/// How long an attempt may take.
struct AttemptLimits {
    /// The worker becomes an outlier if it sends no answer at all for this time.
    silence: Micros,
    /// The attempt ends after this time; absent if no further attempt could follow.
    timeout: Option<Micros>,
}

impl Balancer {
    /// Sends the invocation to a worker. If the worker is not known to be ready, the invocation is queued and a
    /// health check is sent instead. `loads_copy` says that the worker has to load the function first.
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
        let waits_for_load = loads_copy || state.is_loading_on(&self.workers, worker);
        let limits = self.attempt_limits(invocation, state, waits_for_load);
        out.push(Action::Dispatch {
            invocation: index,
            worker: worker as WorkerIndex,
            timeout: limits.timeout,
        });
        let key_record = self.key_record(trigger, worker);
        if let Some(invocation) = self.invocations.get_mut(index) {
            invocation.dispatches.push(Dispatch {
                worker: worker as WorkerIndex,
                sent_at: now,
                state: DispatchState::InFlight,
                key_record,
                loads_copy,
            });
        }
        let process = self.process_of(worker);
        let warm_until = now + self.settings.loads.idle_retention;
        self.functions.edit_copies(function, |copies| {
            copies.dispatched(process, now, warm_until);
        });
        if loads_copy {
            self.load_started(function, worker);
        }
        self.outliers
            .dispatch_sent(worker, trigger, now + limits.silence);
        if is_probe {
            let next_probe_at = now + self.probe_interval();
            self.outliers.probe_sent(worker, trigger, next_probe_at);
        }
        let recent = &mut self.workers[worker].recent_dispatches;
        recent.forget_until(now - self.settings.rules.overload_window);
        recent.record(now);
    }

    /// The interval between probes of an outlier.
    fn probe_interval(&self) -> Micros {
        let triggers = self.settings.triggers.iter();
        let shortest = triggers.map(|trigger| trigger.latency_objective).min();
        shortest.unwrap_or(0) / PROBE_INTERVAL_DIVISOR
    }

    /// Computes the limits of the next attempt from the expected service time and, with `waits_for_load`, the
    /// expected load time.
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
        // The router handles events only every `granularity`. Without this term, a pause of the router would make
        // all workers with very short work look silent.
        let due = service.upper_bound() + load + self.settings.fleet.granularity;
        let timeout = TIMEOUT_MULTIPLE * due;
        // A retry after the timeout is useful only if it could still finish before the client's timeout.
        let left = invocation.client_timeout_at - self.now;
        let may_retry = self.settings.triggers[invocation.trigger].effect != Effect::NonIdempotent
            && invocation.attempts() + 1 < self.settings.limits.max_dispatches
            && left - timeout > service.mean;
        AttemptLimits {
            silence: SILENCE_MULTIPLE * due,
            timeout: may_retry.then_some(timeout),
        }
    }

    /// Handles the end of a dispatch: updates the estimates, retries or answers the invocation, and fills the freed
    /// lane.
    pub(super) fn on_dispatch_ended(&mut self, ended: &DispatchEnded, out: &mut Vec<Action>) {
        let Some(attempt) = self.close_dispatch(ended) else {
            return;
        };
        self.record_result(&attempt, ended);
        if ended.answered {
            self.mark_answered(ended.invocation);
        }
        self.retry_or_answer(ended, out);
        self.remove_if_finished(ended.invocation);
        // A dispatch without a connection has freed nothing that a queued invocation could use.
        if ended.outcome != DispatchOutcome::NoConnection {
            self.retry_queued(Some(attempt.function), out);
        }
    }

    /// Retries an unanswered invocation without dispatches in flight, or answers it at once if no retry is possible.
    fn retry_or_answer(&mut self, ended: &DispatchEnded, out: &mut Vec<Action>) {
        let index = ended.invocation;
        let Some((invocation, function)) = self
            .find_invocation(index)
            .filter(|(invocation, _)| !invocation.answered && !invocation.in_flight())
        else {
            return;
        };
        let may_retry = self.may_retry(invocation);
        let left = invocation.client_timeout_at - self.now;
        if !may_retry || left <= self.service_time(function).mean {
            self.answer_without_success(index, out);
        } else if ended.outcome == DispatchOutcome::NoConnection {
            self.await_connection(index);
        } else {
            self.route(index, out);
        }
    }

    /// Queues an invocation that this router had no connection for. It is retried at a later tick: a dispatch in the same
    /// step would end in the same way. Each time, it waits for one tick more, so that a shortage that lasts takes few
    /// dispatches.
    fn await_connection(&mut self, index: InvocationIndex) {
        if let Some(invocation) = self.invocations.get_mut(index) {
            let ticks = Micros::from(invocation.dispatches_without_connection());
            invocation.retry_from = self.now + ticks * RETRY_INTERVAL;
        }
        self.enqueue(index);
    }

    /// Gives the final answer to an invocation that did not succeed: a rejection if the invocation certainly did not
    /// run or a retry by the client is harmless, otherwise an error.
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

    /// Handles the departure of a client. Its dispatches in flight are cancelled, so that workers do no work for
    /// clients that have left.
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

    /// Records that the invocation has its final answer or that its client has left.
    pub(super) fn mark_answered(&mut self, index: InvocationIndex) {
        self.dequeue(index);
        if let Some(invocation) = self.invocations.get_mut(index) {
            invocation.answered = true;
        }
        self.remove_if_finished(index);
    }

    /// Removes the invocation if it is answered and has no dispatch in flight.
    fn remove_if_finished(&mut self, index: InvocationIndex) {
        if let Some(invocation) = self.invocations.take_if_finished(index) {
            self.functions.invocation_finished(invocation.function);
        }
    }
}
