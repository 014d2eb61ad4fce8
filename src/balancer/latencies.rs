//! Expected times of running and of loading a function, with what they fall back on without samples.

use super::Balancer;
use super::estimates::LatencyEstimate;
use super::functions::Function;
use crate::interface::*;

/// Without samples a service time is taken to be this part of the latency objective.
const OBJECTIVE_PER_SERVICE: Micros = 8;

/// Estimates over all functions, for those without their own.
#[derive(Default)]
pub(super) struct Latencies {
    service_by_trigger: Vec<LatencyEstimate>,
    load: LatencyEstimate,
}

impl Latencies {
    pub(super) fn new(trigger_types: usize) -> Self {
        Latencies {
            service_by_trigger: vec![LatencyEstimate::default(); trigger_types],
            load: LatencyEstimate::default(),
        }
    }

    /// An invocation of the function took so long on a loaded copy.
    pub(super) fn record_service(&mut self, function: &mut Function, trigger: usize, took: Micros) {
        function.service_time.record(took);
        self.service_by_trigger[trigger].record(took);
    }

    /// A load of the function took so long.
    pub(super) fn record_load(&mut self, function: &mut Function, took: Micros) {
        function.load_time.record(took);
        self.load.record(took);
    }

    /// The longest upper bound of the trigger types' service times; absent without types.
    pub(super) fn longest_service(&self, triggers: &[TriggerType]) -> Option<Micros> {
        self.service_by_trigger
            .iter()
            .zip(triggers)
            .map(|(estimate, trigger)| {
                let guess = trigger.latency_objective / OBJECTIVE_PER_SERVICE;
                LatencyEstimate::first_known([*estimate], guess).upper_bound()
            })
            .max()
    }
}

impl Balancer {
    /// The expected time of running the function: its own, that of its trigger type, a part of the objective.
    pub(super) fn service_time(&self, function: &Function) -> LatencyEstimate {
        let of_type = self.latencies.service_by_trigger[function.trigger];
        let objective = self.settings.triggers[function.trigger].latency_objective;
        LatencyEstimate::first_known(
            [function.service_time, of_type],
            objective / OBJECTIVE_PER_SERVICE,
        )
    }

    /// The expected time of loading the function: its own (or the hint), that of all loads, the objective.
    pub(super) fn load_time(&self, function: &Function) -> LatencyEstimate {
        LatencyEstimate::first_known(
            [function.load_time, self.latencies.load],
            self.settings.triggers[function.trigger].latency_objective,
        )
    }
}
