//! The workers as described by the endpoint list and by their own reports, for the reconciliation: their addresses, their
//! ids, which are the same at all members of the group, and their memory.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use cedarpulley::interface::{EndpointListKind, EndpointState};
use cedarpulley_reconcile::PolledWorker;
use cedarpulley_router::endpoint_list::{ListedWorker, WatchEvent};

/// Process ids of unlisted workers are removed when there are more than twice this number of process ids, and more than
/// twice as many as listed workers. They are kept until then, because an event of the list may contain a worker's start
/// mark before an update reports the worker in service.
const MAX_UNLISTED_PROCESS_IDS: usize = 1_000;

/// The workers on the endpoint list, by address.
pub type WorkerListing = Rc<RefCell<BTreeMap<Arc<str>, ListedWorker>>>;

/// Listed workers with their process ids and memory.
pub(crate) struct WorkerDirectory {
    /// The listed workers.
    listing: WorkerListing,
    /// By address: the process id from the endpoint list, which differs between processes at the same address.
    process_ids: RefCell<HashMap<String, String>>,
    /// By address: the memory in MB that the worker itself reported.
    reported_memory_mb: RefCell<HashMap<String, f64>>,
    /// By kind of worker: the memory in MB, used for workers that have reported none.
    memory_mb_by_kind: Vec<f64>,
}

impl WorkerDirectory {
    /// Creates an empty directory. `memory_mb_by_kind`: memory of each kind of worker, in MB.
    pub(crate) fn new(memory_mb_by_kind: Vec<f64>) -> Self {
        WorkerDirectory {
            listing: WorkerListing::default(),
            process_ids: RefCell::default(),
            reported_memory_mb: RefCell::default(),
            memory_mb_by_kind,
        }
    }

    /// The listed workers; the result follows later updates of the list.
    pub(crate) fn listing(&self) -> WorkerListing {
        self.listing.clone()
    }

    /// Records the process ids in an event of the endpoint list.
    pub(crate) fn observe_list_event(&self, event: &WatchEvent) {
        let mut process_ids = self.process_ids.borrow_mut();
        let slices = match event {
            WatchEvent::Listing { slices, .. } => {
                process_ids.clear();
                slices.as_slice()
            }
            WatchEvent::Changed(slice) => std::slice::from_ref(slice),
            _ => &[],
        };
        for entry in slices.iter().flat_map(|slice| &slice.entries) {
            process_ids.insert(entry.worker.address.clone(), entry.process_id.clone());
        }
    }

    /// Applies an update of the endpoint list. Returns false if the update reports a failure, which changes nothing.
    pub(crate) fn apply_update(&self, mode: EndpointListKind, workers: &[ListedWorker]) -> bool {
        {
            let mut listing = self.listing.borrow_mut();
            match mode {
                EndpointListKind::Complete | EndpointListKind::Cached => listing.clear(),
                EndpointListKind::Changes => {}
                EndpointListKind::Failed => return false,
            }
            for worker in workers {
                match worker.state {
                    EndpointState::InService | EndpointState::Draining => {
                        listing.insert(Arc::from(worker.address.as_str()), worker.clone());
                    }
                    _ => drop(listing.remove(&*worker.address)),
                }
            }
        }
        self.remove_unlisted_workers();
        true
    }

    /// Removes data of workers that are no longer listed. Without this, the data of all workers that were ever listed
    /// would accumulate while workers are replaced for weeks.
    fn remove_unlisted_workers(&self) {
        let listing = self.listing.borrow();
        self.reported_memory_mb
            .borrow_mut()
            .retain(|address, _| listing.contains_key(&**address));
        let mut process_ids = self.process_ids.borrow_mut();
        if process_ids.len() > 2 * listing.len().max(MAX_UNLISTED_PROCESS_IDS) {
            process_ids.retain(|address, _| listing.contains_key(&**address));
        }
    }

    /// The memory in MB that a worker reported; 0 if it has reported none.
    pub(crate) fn reported_memory_mb(&self, worker: &str) -> f64 {
        let reported = self.reported_memory_mb.borrow();
        reported.get(worker).copied().unwrap_or(0.0)
    }

    /// Records the memory that a worker reported; returns whether it differs from the previous report.
    pub(crate) fn record_memory(&self, worker: &str, memory_mb: f64) -> bool {
        let mut reported = self.reported_memory_mb.borrow_mut();
        reported.insert(worker.to_owned(), memory_mb) != Some(memory_mb)
    }

    /// The listed workers in the reconciler's form.
    pub(crate) fn polled_workers(&self) -> Vec<PolledWorker> {
        let process_ids = self.process_ids.borrow();
        let reported = self.reported_memory_mb.borrow();
        let polled_worker = |(address, worker): (&Arc<str>, &ListedWorker)| {
            let mark = process_ids.get(&**address).filter(|m| !m.is_empty());
            let id = mark.map_or(address.clone(), |m| Arc::from(m.as_str()));
            let by_kind = self
                .memory_mb_by_kind
                .get(worker.machine_kind as usize)
                .copied()
                .unwrap_or(0.0);
            let memory_mb = reported.get(&**address).copied().unwrap_or(by_kind);
            PolledWorker {
                worker: address.clone(),
                id,
                memory_mb,
            }
        };
        self.listing.borrow().iter().map(polled_worker).collect()
    }
}
