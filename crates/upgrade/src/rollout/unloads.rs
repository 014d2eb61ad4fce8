//! Unloads that were requested and whose effect is not yet observed. An unload is pending until its worker is observed
//! at a time by which the request must have been delivered. Until then its copy counts as gone.

use std::collections::BTreeMap;

use cedarpulley::interface::Micros;

use crate::Name;
use crate::cluster_state::ClusterView;
use crate::observed_state::ObservedWorker;
use crate::settings::PlannerSettings;

/// The last unload request for one function at one worker.
#[derive(Clone, Copy, Debug)]
struct Unload {
    requested_at: Micros,
    attempts: u32,
}

impl Unload {
    /// Whether the worker was observed after the request must have been delivered.
    fn is_observed(&self, worker: &ObservedWorker, settings: &PlannerSettings) -> bool {
        let delivered_by = self
            .requested_at
            .saturating_add(settings.order_delivery_timeout);
        worker.observed_at > delivered_by
    }
}

/// Unloads in flight, by worker and function.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingUnloads {
    unloads: BTreeMap<(Name, Name), Unload>,
}

impl PendingUnloads {
    /// Whether the request may still be in flight, or its effect is not yet observed.
    pub fn is_pending(
        &self,
        worker: &ObservedWorker,
        function: &Name,
        settings: &PlannerSettings,
    ) -> bool {
        self.unloads
            .get(&(worker.name.clone(), function.clone()))
            .is_some_and(|unload| !unload.is_observed(worker, settings))
    }

    pub fn attempts(&self, worker: &Name, function: &Name) -> u32 {
        self.unloads
            .get(&(worker.clone(), function.clone()))
            .map_or(0, |unload| unload.attempts)
    }

    pub fn begin(&mut self, now: Micros, worker: &Name, function: &Name) {
        let unload = self
            .unloads
            .entry((worker.clone(), function.clone()))
            .or_insert(Unload {
                requested_at: now,
                attempts: 0,
            });
        unload.requested_at = now;
        unload.attempts += 1;
    }

    /// Forgets unloads that were carried out, and unloads at workers that are gone.
    pub fn observe(&mut self, view: &ClusterView) {
        self.unloads.retain(|(worker, function), unload| {
            let observed = view.workers().iter().find(|known| known.name == *worker);
            observed.is_some_and(|worker| {
                !unload.is_observed(worker, view.settings)
                    || worker.warm_copies_of(function).is_some()
            })
        });
    }
}
