//! Loads that were requested and whose copies are not yet observed.
//!
//! Mechanisms:
//! 1. A failed load starts a backoff of its worker, which grows with each failure in a row.
//! 2. After a failure or a load that took much longer than usual, loads run one at a time. Each series of good loads
//!    then allows one more concurrent load.
//! 3. The router's balancer may decline a request without an answer. If a copy is neither loading nor warm when its
//!    worker is observed, its load is dropped, and the worker gets no request for a short time.

use std::collections::BTreeMap;

use cedarpulley::interface::Micros;

use crate::Name;
use crate::cluster_state::ClusterView;
use crate::observed_state::ObservedWorker;
use crate::settings::PlannerSettings;

/// A load is slow if it takes this many times as long as usual. Loads of one function take similar times, so the cause
/// is then the store or the worker.
const SLOW_FACTOR: Micros = 2;
/// Number of good loads in a row after which one more load may run concurrently.
const GOOD_LOADS_TO_GROW: u32 = 3;
/// Maximum number of times that failures double a worker's backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// The weight of a new load in the average duration is 1 divided by this number.
const DURATION_WEIGHT_DIVISOR: Micros = 4;

/// A load in flight.
#[derive(Clone, Copy, Debug)]
struct Load {
    since: Micros,
    /// When its worker reported success.
    ended: Option<Micros>,
}

/// The backoff of a worker after failed loads.
#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    until: Micros,
    failures: u32,
}

/// Loads in flight, the backoff of each worker, and how many loads may run concurrently.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingLoads {
    /// Loads in flight, by worker and function.
    loads: BTreeMap<(Name, Name), Load>,
    backoffs: BTreeMap<Name, Backoff>,
    /// Number of concurrent loads allowed beyond the first.
    extra_loads: u32,
    good_loads: u32,
    usual_duration: Option<Micros>,
    failures_in_a_row: u32,
}

impl PendingLoads {
    pub fn new(settings: &PlannerSettings) -> PendingLoads {
        PendingLoads {
            extra_loads: settings.concurrent_loads.saturating_sub(1),
            ..PendingLoads::default()
        }
    }

    /// Whether one more load may begin.
    pub fn has_capacity(&self) -> bool {
        self.loads.len() <= self.extra_loads as usize
    }

    pub fn concurrency_limit(&self) -> u32 {
        self.extra_loads + 1
    }

    pub fn len(&self) -> usize {
        self.loads.len()
    }

    pub fn failures_in_a_row(&self) -> u32 {
        self.failures_in_a_row
    }

    /// Whether the worker has neither a load in flight nor a backoff.
    pub fn may_load_on(&self, now: Micros, worker: &str) -> bool {
        self.loads.keys().all(|(loading, _)| **loading != *worker)
            && self
                .backoffs
                .get(worker)
                .is_none_or(|backoff| backoff.until <= now)
    }

    /// Whether the worker is in a backoff after more than one failure in a row, so that other workers have to make
    /// room.
    pub fn is_failing(&self, now: Micros, worker: &str) -> bool {
        self.backoffs
            .get(worker)
            .is_some_and(|backoff| backoff.until > now && backoff.failures > 1)
    }

    pub fn is_pending(&self, worker: &str, function: &str) -> bool {
        self.loads
            .keys()
            .any(|(loading, loaded)| **loading == *worker && **loaded == *function)
    }

    pub fn begin(&mut self, now: Micros, worker: &Name, function: &Name) {
        let load = Load {
            since: now,
            ended: None,
        };
        self.loads.insert((worker.clone(), function.clone()), load);
    }

    /// Takes in a worker's report that a load has ended.
    pub fn ended(
        &mut self,
        now: Micros,
        worker: &Name,
        function: &Name,
        ok: bool,
        settings: &PlannerSettings,
    ) {
        let Some(load) = self.loads.get_mut(&(worker.clone(), function.clone())) else {
            return;
        };
        let duration = now - load.since;
        if !ok {
            return self.failed(now, worker, function, settings);
        }
        if load.ended.replace(now).is_none() {
            self.succeeded(worker, duration, settings);
        }
    }

    fn succeeded(&mut self, worker: &Name, duration: Micros, settings: &PlannerSettings) {
        self.backoffs.remove(worker);
        self.failures_in_a_row = 0;
        let usual = *self.usual_duration.get_or_insert(duration);
        if duration > usual.saturating_mul(SLOW_FACTOR) {
            self.load_one_at_a_time();
        } else {
            self.good_loads += 1;
        }
        if self.good_loads >= GOOD_LOADS_TO_GROW {
            self.good_loads = 0;
            self.extra_loads =
                (self.extra_loads + 1).min(settings.concurrent_loads.saturating_sub(1));
        }
        self.usual_duration = Some(usual + (duration - usual) / DURATION_WEIGHT_DIVISOR);
    }

    fn failed(&mut self, now: Micros, worker: &Name, function: &Name, settings: &PlannerSettings) {
        self.loads.remove(&(worker.clone(), function.clone()));
        self.load_one_at_a_time();
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
        let backoff = self.backoffs.entry(worker.clone()).or_default();
        let doublings = backoff.failures.min(MAX_BACKOFF_DOUBLINGS);
        backoff.until = now.saturating_add(settings.load_backoff << doublings);
        backoff.failures += 1;
    }

    fn load_one_at_a_time(&mut self) {
        (self.extra_loads, self.good_loads) = (0, 0);
    }

    /// Compares all loads in flight with the observed copies of the workers.
    pub fn observe(&mut self, view: &ClusterView) {
        let find = |name: &str| view.workers().iter().find(|worker| *worker.name == *name);
        self.backoffs
            .retain(|worker, backoff| backoff.until > view.now || find(worker).is_some());
        let loads = self.loads.iter().map(|(copy, load)| (copy.clone(), *load));
        let loads: Vec<((Name, Name), Load)> = loads.collect();
        for (copy, load) in loads {
            match find(&copy.0) {
                Some(worker) => self.observe_load(view, worker, &copy.1, load),
                None => {
                    self.loads.remove(&copy);
                }
            }
        }
    }

    fn observe_load(
        &mut self,
        view: &ClusterView,
        worker: &ObservedWorker,
        function: &Name,
        load: Load,
    ) {
        let (now, settings) = (view.now, view.settings);
        let copy = (worker.name.clone(), function.clone());
        let delivered_by = load.since.saturating_add(settings.order_delivery_timeout);
        let is_loading = worker.copies_of(function).is_some_and(|held| held.loading);
        let is_slow = |usual: Micros| now - load.since > usual.saturating_mul(SLOW_FACTOR);
        if worker.warm_copies_of(function).is_some() && worker.observed_at > load.since {
            self.loads.remove(&copy);
            if load.ended.is_none() {
                self.succeeded(&worker.name, worker.observed_at - load.since, settings);
            }
        } else if worker.observed_at > delivered_by && !is_loading {
            self.loads.remove(&copy);
            let backoff = self.backoffs.entry(copy.0).or_default();
            let retry_at = now.saturating_add(settings.order_delivery_timeout);
            backoff.until = backoff.until.max(retry_at);
        } else if now > load.since.saturating_add(settings.load_timeout) {
            self.failed(now, &worker.name, function, settings);
        } else if self.usual_duration.is_some_and(is_slow) {
            self.load_one_at_a_time();
        }
    }
}
