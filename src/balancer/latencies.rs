//! Expected service times and load times of functions, with fallbacks for functions without samples.

use super::Balancer;
use super::estimates::LatencyEstimate;
use super::functions::Function;
use crate::interface::*;

/// Without samples, the expected service time is the latency objective divided by this number.
const OBJECTIVE_DIVISOR: Micros = 8;

/// Estimates over all functions, used for functions without samples of their own.
#[derive(Default)]
pub(super) struct Latencies {
    service_by_trigger: Vec<LatencyEstimate>,
    load: LatencyEstimate,
}

impl Latencies {
    /// Creates estimates without samples for this number of trigger types.
    pub(super) fn new(trigger_types: usize) -> Self {
        Latencies {
            service_by_trigger: vec![LatencyEstimate::default(); trigger_types],
            load: LatencyEstimate::default(),
        }
    }

    /// Records that an invocation of the function took `took` on a loaded copy.
    pub(super) fn record_service(&mut self, function: &mut Function, trigger: usize, took: Micros) {
        function.service_time.record(took);
        self.service_by_trigger[trigger].record(took);
    }

    /// Records that a load of the function took `took`.
    pub(super) fn record_load(&mut self, function: &mut Function, took: Micros) {
        function.load_time.record(took);
        self.load.record(took);
    }

    /// The longest of the upper bounds of the trigger types' service times; `None` if there are no trigger types.
    pub(super) fn longest_service(&self, triggers: &[TriggerType]) -> Option<Micros> {
        self.service_by_trigger
            .iter()
            .zip(triggers)
            .map(|(estimate, trigger)| {
                let guess = trigger.latency_objective / OBJECTIVE_DIVISOR;
                LatencyEstimate::first_known([*estimate], guess).upper_bound()
            })
            .max()
    }
}

impl Balancer {
    /// The expected service time of the function: from its own samples, else from those of its trigger type, else the
    /// latency objective divided by [`OBJECTIVE_DIVISOR`].
    pub(super) fn service_time(&self, function: &Function) -> LatencyEstimate {
        let trigger_estimate = self.latencies.service_by_trigger[function.trigger];
        let objective = self.settings.triggers[function.trigger].latency_objective;
        LatencyEstimate::first_known(
            [function.service_time, trigger_estimate],
            objective / OBJECTIVE_DIVISOR,
        )
    }

    /// The expected load time of the function: from its own samples or its hint, else from all loads, else the
    /// latency objective.
    pub(super) fn load_time(&self, function: &Function) -> LatencyEstimate {
        LatencyEstimate::first_known(
            [function.load_time, self.latencies.load],
            self.settings.triggers[function.trigger].latency_objective,
        )
    }
}
