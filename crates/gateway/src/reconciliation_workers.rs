//! The workers as the worker list and their own reports describe them, for the reconciliation: addresses, the ids that
//! all members of the group know them by, and memory.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use cedarpulley::interface::{EndpointListKind, EndpointState};
use cedarpulley_reconcile::PolledWorker;
use cedarpulley_router::endpoint_list::{ListedWorker, WatchEvent as ListNews};

/// Start marks of departed workers are kept up to this number, as the list may name them before it reports
/// them in service.
const MAX_DEPARTED_MARKS: usize = 1_000;

/// Workers of the list, by address.
pub type WorkerListing = Rc<RefCell<BTreeMap<Arc<str>, ListedWorker>>>;

/// Listed workers with their start marks and memory.
pub(crate) struct WorkerDirectory {
    listing: WorkerListing,
    /// By address: the list's mark that tells processes at one address apart.
    start_marks: RefCell<HashMap<String, String>>,
    /// By address: memory in MB as reported by the worker itself.
    reported_memory_mb: RefCell<HashMap<String, f64>>,
    /// By kind of worker: its memory in MB, for workers that have reported none.
    memory_mb_by_kind: Vec<f64>,
}

impl WorkerDirectory {
    pub(crate) fn new(memory_mb_by_kind: Vec<f64>) -> Self {
        WorkerDirectory {
            listing: WorkerListing::default(),
            start_marks: RefCell::default(),
            reported_memory_mb: RefCell::default(),
            memory_mb_by_kind,
        }
    }

    pub(crate) fn listing(&self) -> WorkerListing {
        self.listing.clone()
    }

    /// Records the start marks that an event of the worker list carries.
    pub(crate) fn observe_list_event(&self, event: &ListNews) {
        let mut start_marks = self.start_marks.borrow_mut();
        let slices = match event {
            ListNews::Listing { slices, .. } => {
                start_marks.clear();
                slices.as_slice()
            }
            ListNews::Changed(slice) => std::slice::from_ref(slice),
            _ => &[],
        };
        for entry in slices.iter().flat_map(|slice| &slice.entries) {
            start_marks.insert(entry.worker.address.clone(), entry.start_mark.clone());
        }
    }

    /// Applies an update of the list; false if it reports a failure and changes nothing.
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
        self.forget_departed_workers();
        true
    }

    /// Guards against unbounded growth: a list whose workers come and go for weeks must not leave all their
    /// names here.
    fn forget_departed_workers(&self) {
        let listing = self.listing.borrow();
        self.reported_memory_mb
            .borrow_mut()
            .retain(|address, _| listing.contains_key(&**address));
        let mut start_marks = self.start_marks.borrow_mut();
        if start_marks.len() > 2 * listing.len().max(MAX_DEPARTED_MARKS) {
            start_marks.retain(|address, _| listing.contains_key(&**address));
        }
    }

    /// Memory in MB as the worker reported it; 0 if it has not.
    pub(crate) fn reported_memory_mb(&self, worker: &str) -> f64 {
        let reported = self.reported_memory_mb.borrow();
        reported.get(worker).copied().unwrap_or(0.0)
    }

    /// Records a worker's own report of its memory; true if it differs from the previous one.
    pub(crate) fn record_memory(&self, worker: &str, memory_mb: f64) -> bool {
        let mut reported = self.reported_memory_mb.borrow_mut();
        reported.insert(worker.to_owned(), memory_mb) != Some(memory_mb)
    }

    /// The listed workers in the form that the reconciler takes.
    pub(crate) fn polled_workers(&self) -> Vec<PolledWorker> {
        let start_marks = self.start_marks.borrow();
        let reported = self.reported_memory_mb.borrow();
        let polled_worker = |(address, worker): (&Arc<str>, &ListedWorker)| {
            let mark = start_marks.get(&**address).filter(|m| !m.is_empty());
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
