//! Feedback: when a dispatch ends, its result updates the estimates for the worker and the function, and the
//! measure of how far the workers are overloaded.

use super::Balancer;
use super::attempts::SILENCE_MULTIPLE;
use super::invocations::DispatchState;
use super::load_orders::IMMEDIATE_DIVISOR;
use crate::interface::*;

/// A dispatch that has just ended.
pub(super) struct EndedDispatch {
    pub(super) function: FunctionIndex,
    trigger: usize,
    worker: usize,
    loads_copy: bool,
    sent_at: Micros,
    work_hint: Micros,
    objective_at: Micros,
    short_timeout: bool,
    /// This router's dispatches in flight at the worker just before this one ended, this one included.
    in_flight: f64,
}

impl Balancer {
    /// Marks a dispatch as ended and returns it; `None` if it had already ended or its invocation is unknown.
    pub(super) fn close_dispatch(&mut self, ended: &DispatchEnded) -> Option<EndedDispatch> {
        let worker = ended.worker as usize;
        let invocation = self.invocations.get_mut(ended.invocation)?;
        let dispatch = invocation
            .dispatches
            .get_mut(ended.dispatch as usize)
            .filter(|dispatch| dispatch.state == DispatchState::InFlight)?;
        dispatch.state = DispatchState::after(ended.outcome);
        let attempt = EndedDispatch {
            loads_copy: dispatch.loads_copy,
            sent_at: dispatch.sent_at,
            function: invocation.function,
            trigger: invocation.trigger,
            worker,
            work_hint: invocation.work_hint,
            objective_at: invocation.objective_at,
            short_timeout: invocation.short_timeout,
            in_flight: f64::from(self.outliers.in_flight(worker)),
        };
        self.functions
            .edit_copies(attempt.function, |copies| copies.dispatch_ended(worker));
        self.outliers.dispatch_ended(worker, attempt.trigger);
        if attempt.loads_copy {
            self.load_finished(attempt.function, worker);
        }
        Some(attempt)
    }

    /// Updates estimates, outlier detection and load shedding from the result of a dispatch.
    pub(super) fn record_result(&mut self, attempt: &EndedDispatch, ended: &DispatchEnded) {
        let &EndedDispatch {
            function,
            trigger,
            worker,
            ..
        } = attempt;
        self.record_function_load(function, ended.function_load, attempt.sent_at);
        self.record_overload(attempt, ended.outcome);
        match ended.outcome {
            DispatchOutcome::Succeeded => self.record_success(attempt, ended),
            DispatchOutcome::NotLoaded => self.set_cold(function, worker),
            DispatchOutcome::Rejected => {
                let objective = self.settings.triggers[trigger].latency_objective;
                self.workers[worker].concurrency_limit.record_rejection(
                    self.now,
                    attempt.in_flight,
                    objective,
                );
            }
            // The worker was not asked to load the copy.
            DispatchOutcome::NoConnection if attempt.loads_copy => {
                self.set_cold(function, worker);
            }
            DispatchOutcome::NotSent
            | DispatchOutcome::NoConnection
            | DispatchOutcome::Cancelled => {}
            // A failed load delays the next load of the function, as after a failed load order. It counts against
            // the worker only if the function has run before: otherwise the function itself may be at fault.
            DispatchOutcome::Errored if attempt.loads_copy => {
                self.delay_loads(function, ended.took);
                if self.functions[function].service_time.mean > 0 {
                    self.outliers.record(worker, trigger, self.now, false);
                }
            }
            // The attempt ended before an answer was due, so the timeout is no evidence against the worker.
            DispatchOutcome::TimedOut if ended.took < self.normal_service(function) => {}
            _ => self.outliers.record(worker, trigger, self.now, false),
        }
    }

    /// The upper bound of the function's normal service time.
    fn normal_service(&self, function: FunctionIndex) -> Micros {
        self.service_time(&self.functions[function]).upper_bound()
    }

    /// Updates the load shedder's estimates from the result of a dispatch.
    fn record_overload(&mut self, attempt: &EndedDispatch, outcome: DispatchOutcome) {
        let answered = outcome == DispatchOutcome::Succeeded;
        if attempt.short_timeout && (answered || outcome == DispatchOutcome::TimedOut) {
            self.load_shedder.record_short_timeout(answered);
        }
        if answered || outcome == DispatchOutcome::Rejected {
            let late = !answered || self.now > attempt.objective_at;
            self.load_shedder.record_answer(self.now, late);
        }
    }

    /// Updates the estimates for the worker and the function after a successful dispatch.
    fn record_success(&mut self, attempt: &EndedDispatch, ended: &DispatchEnded) {
        let &EndedDispatch {
            function,
            trigger,
            worker,
            ..
        } = attempt;
        let (now, took) = (self.now, ended.took);
        self.outliers.record(worker, trigger, now, true);
        self.record_completion();
        let state = &self.functions[function];
        let service = self.service_time(state);
        let load = self.load_time(state);
        let loaded_at = self.workers[worker].no_load_until.max(now);
        let next_due = loaded_at + SILENCE_MULTIPLE * service.upper_bound();
        self.outliers.set_response_due(worker, trigger, next_due);
        // If the answer came sooner than a load could take, the copy was already loaded.
        let immediate = took - service.mean <= load.mean / IMMEDIATE_DIVISOR;
        let was_warm = match ended.copy_status {
            CopyStatus::Warm => true,
            CopyStatus::Unreported => !attempt.loads_copy || immediate,
            _ => false,
        };
        let warm_until = now + self.settings.loads.idle_retention;
        let process = self.process_of(worker);
        self.functions.edit_copies(function, |copies| {
            copies.set_warm_until(process, now, warm_until);
        });
        let state = &mut self.functions[function];
        if was_warm {
            self.latencies.record_service(state, trigger, took);
            let worker = &mut self.workers[worker];
            if attempt.work_hint > 0 {
                self.slowness
                    .record(worker.machine_kind, took, attempt.work_hint);
            }
            let objective = self.settings.triggers[trigger].latency_objective;
            worker
                .concurrency_limit
                .record(now, attempt.in_flight, took, objective);
        } else if ended.copy_status == CopyStatus::LoadStarted || attempt.loads_copy {
            self.record_load(function, (took - service.mean).max(1));
        }
    }
}
