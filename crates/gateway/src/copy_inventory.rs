//! The copies at workers, for upgrade plans: combines the workers' reports with the endpoint list and with the copy
//! sizes stated by invocations.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use cedarpulley::interface::EndpointState;
use cedarpulley_kserve::client_requests;
use cedarpulley_router::endpoint_list::ListedWorker;
use cedarpulley_upgrade::{Name, ObservedWorker};

use crate::context::GatewayContext;

/// Limit on models whose copy sizes are stored; equal to the number of models that a router accounts for. Copies of
/// further models count as having no size.
const MAX_MODEL_SIZES: usize = 20_000;

/// Returns the copies that workers hold, as far as this router knows.
pub type HoldingsSource = Box<dyn Fn() -> Vec<ObservedWorker>>;
/// The workers of the endpoint list, by name.
pub type WorkerMap = Rc<RefCell<BTreeMap<Name, ListedWorker>>>;

/// Size of a model's copies, as stated by its last invocation.
#[derive(Clone, Copy)]
struct CopySize {
    /// Number of invocations that a copy runs at once.
    lanes: u32,
    copy_mb: f64,
}

/// The copies at all workers, with their sizes.
pub(crate) struct CopyInventory {
    context: Rc<GatewayContext>,
    /// Region by zone, for zones whose region has another name.
    regions: BTreeMap<String, String>,
    /// Memory in MB, by index of the kind of worker.
    memory_mb: Vec<f64>,
    sizes: RefCell<HashMap<Name, CopySize>>,
    workers: RefCell<Option<WorkerMap>>,
    /// Source of the copies that workers hold; this type adds the workers' region and state.
    holdings: RefCell<Option<HoldingsSource>>,
}

impl CopyInventory {
    /// Creates an inventory without copies. `memory_mb`: by index of the kind of worker, for workers that report no
    /// memory.
    pub(crate) fn new(
        context: Rc<GatewayContext>,
        regions: BTreeMap<String, String>,
        memory_mb: Vec<f64>,
    ) -> Self {
        CopyInventory {
            context,
            regions,
            memory_mb,
            sizes: RefCell::default(),
            workers: RefCell::default(),
            holdings: RefCell::default(),
        }
    }

    /// Sets the endpoint list.
    pub(crate) fn set_workers(&self, workers: WorkerMap) {
        *self.workers.borrow_mut() = Some(workers);
    }

    /// Sets the source of the copies that workers hold.
    pub(crate) fn set_holdings_source(&self, source: HoldingsSource) {
        *self.holdings.borrow_mut() = Some(source);
    }

    /// Stores the size of a model's copies as stated by an invocation.
    pub(crate) fn record_size(&self, model: &str, lanes: u32, copy_mb: f64) {
        let size = CopySize {
            lanes: lanes.max(1),
            copy_mb,
        };
        let mut sizes = self.sizes.borrow_mut();
        if let Some(known) = sizes.get_mut(model) {
            *known = size;
        } else if sizes.len() < MAX_MODEL_SIZES {
            sizes.insert(Name::from(model), size);
        }
    }

    /// The copies at workers, with region and state of the workers and sizes of the copies.
    pub(crate) fn observed_workers(&self) -> Vec<ObservedWorker> {
        let workers = self.workers.borrow().clone().unwrap_or_default();
        let workers = workers.borrow();
        let holdings = self.holdings.borrow();
        let reported = holdings.as_ref().map(|source| source()).unwrap_or_default();
        let mut reported: BTreeMap<Name, ObservedWorker> =
            reported.into_iter().map(|w| (w.name.clone(), w)).collect();
        let describe = |(name, listed): (&Name, &ListedWorker)| {
            reported
                .remove(name)
                .map(|worker| self.describe(worker, listed))
        };
        workers.iter().filter_map(describe).collect()
    }

    /// Completes a worker's report with data from the endpoint list and the copy sizes.
    fn describe(&self, mut worker: ObservedWorker, listed: &ListedWorker) -> ObservedWorker {
        let zone = self.context.names.zones.get(listed.zone as usize);
        let zone = zone.map_or("", String::as_str);
        let region = self.regions.get(zone).map_or(zone, String::as_str);
        worker.region = Name::from(region);
        worker.accepts_copies = listed.state == EndpointState::InService;
        if worker.memory_mb == 0 {
            let by_kind = self.memory_mb.get(listed.machine_kind as usize);
            worker.memory_mb = by_kind.map_or(0, |mb| *mb as u32);
        }
        let sizes = self.sizes.borrow();
        for copies in &mut worker.copies {
            if let Some(size) = sizes.get(client_requests::split_version(&copies.function).0) {
                copies.lanes = copies.copies * size.lanes;
                copies.copy_mb = size.copy_mb as u32;
            }
            let used_mb = copies.copy_mb.saturating_mul(copies.copies);
            worker.used_mb = worker.used_mb.saturating_add(used_mb);
        }
        worker
    }
}
