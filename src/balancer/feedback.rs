//! What the end of a dispatch tells: of the worker, of the function, and of how far the workers are overloaded.

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
    /// This router's dispatches in flight at the worker, this one included.
    in_flight: f64,
}

impl Balancer {
    /// Notes the end of a dispatch; nothing if it had ended before or its invocation is unknown.
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
        let at_worker = &mut self.functions[attempt.function as usize].at_workers[worker];
        at_worker.in_flight = at_worker.in_flight.saturating_sub(1);
        self.outliers.dispatch_ended(worker, attempt.trigger);
        if attempt.loads_copy {
            self.load_finished(attempt.function, worker);
        }
        Some(attempt)
    }

    /// Takes in what the end of a dispatch tells.
    pub(super) fn learn_from(&mut self, attempt: &EndedDispatch, ended: &DispatchEnded) {
        let &EndedDispatch {
            function,
            trigger,
            worker,
            ..
        } = attempt;
        self.record_function_load(function, ended.function_load, attempt.sent_at);
        self.record_overload(attempt, ended.outcome);
        match ended.outcome {
            DispatchOutcome::Succeeded => self.learn_from_success(attempt, ended),
            DispatchOutcome::NotLoaded => self.functions[function as usize].set_cold(worker),
            DispatchOutcome::Rejected => {
                let objective = self.settings.triggers[trigger].latency_objective;
                self.workers[worker].concurrency_limit.record_rejection(
                    self.now,
                    attempt.in_flight,
                    objective,
                );
            }
            DispatchOutcome::NotSent | DispatchOutcome::Cancelled => {}
            // A load that fails, as with an order; of the worker it tells something if the function has run.
            DispatchOutcome::Errored if attempt.loads_copy => {
                self.delay_loads(function, ended.took);
                if self.functions[function as usize].service_time.mean > 0 {
                    self.outliers.record(worker, trigger, self.now, false);
                }
            }
            // An attempt that its client ended before an answer was due tells nothing.
            DispatchOutcome::TimedOut if ended.took < self.normal_service(function) => {}
            _ => self.outliers.record(worker, trigger, self.now, false),
        }
    }

    /// A long but normal service time of the function.
    fn normal_service(&self, function: FunctionIndex) -> Micros {
        self.service_time(&self.functions[function as usize])
            .upper_bound()
    }

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

    fn learn_from_success(&mut self, attempt: &EndedDispatch, ended: &DispatchEnded) {
        let &EndedDispatch {
            function,
            trigger,
            worker,
            ..
        } = attempt;
        let (now, took) = (self.now, ended.took);
        self.outliers.record(worker, trigger, now, true);
        self.record_completion();
        let state = &self.functions[function as usize];
        let service = self.service_time(state);
        let load = self.load_time(state);
        let loaded_at = self.workers[worker].no_load_until.max(now);
        let next_due = loaded_at + SILENCE_MULTIPLE * service.upper_bound();
        self.outliers.set_response_due(worker, trigger, next_due);
        // One answered at once found the copy loaded.
        let immediate = took - service.mean <= load.mean / IMMEDIATE_DIVISOR;
        let was_warm = match ended.copy_status {
            CopyStatus::Warm => true,
            CopyStatus::Unreported => !attempt.loads_copy || immediate,
            _ => false,
        };
        let warm_until = now + self.settings.loads.idle_retention;
        let state = &mut self.functions[function as usize];
        state.set_warm_until(worker, warm_until);
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
