//! Merges the updates of a batch of events. The addresses of a whole batch take effect at once, so the router core must
//! not decide on a list that contains only a part of the batch: it would choose workers that have no address any more.

use std::collections::{HashMap, HashSet};

use cedarpulley::interface::{EndpointListKind, EndpointState};
use cedarpulley_router::endpoint_list::ListedWorker;

use super::EndpointListUpdate;

/// Merges the updates of a batch, given in order, into one update with the last entry of each worker. If a worker was
/// gone and is back within the batch, its process may have been replaced: the update then contains it as gone, and a
/// second update adds it again.
pub(super) fn merge(updates: Vec<EndpointListUpdate>) -> Vec<EndpointListUpdate> {
    if updates.len() < 2 {
        return updates;
    }
    let mut merged = MergedBatch::new();
    for update in updates {
        merged.add(update);
    }
    merged.into_updates()
}

/// The updates merged so far.
struct MergedBatch {
    update: EndpointListUpdate,
    /// The position of each worker in `update.workers`, by its id.
    positions: HashMap<String, usize>,
    /// The ids in `update.retired`.
    retired: HashSet<String>,
    /// Ids of workers that were gone at some time within the batch.
    departed: HashSet<String>,
}

impl MergedBatch {
    fn new() -> Self {
        MergedBatch {
            update: EndpointListUpdate {
                mode: EndpointListKind::Changes,
                workers: Vec::new(),
                retired: Vec::new(),
            },
            positions: HashMap::new(),
            retired: HashSet::new(),
            departed: HashSet::new(),
        }
    }

    fn add(&mut self, update: EndpointListUpdate) {
        if update.mode == EndpointListKind::Complete {
            self.update.mode = EndpointListKind::Complete;
            self.update.workers.clear();
            self.positions.clear();
        }
        let present: HashSet<&str> = update
            .workers
            .iter()
            .filter(|worker| is_present(worker))
            .map(|worker| worker.address.as_str())
            .collect();
        let gone = update.retired.iter().filter(|id| !present.contains(&***id));
        self.departed.extend(gone.cloned());
        for id in update.retired {
            if self.retired.insert(id.clone()) {
                self.update.retired.push(id);
            }
        }
        for worker in update.workers {
            self.set(worker);
        }
    }

    /// Adds a worker, or replaces its earlier entry.
    fn set(&mut self, worker: ListedWorker) {
        match self.positions.get(&worker.address) {
            Some(&position) => self.update.workers[position] = worker,
            None => {
                let position = self.update.workers.len();
                self.positions.insert(worker.address.clone(), position);
                self.update.workers.push(worker);
            }
        }
    }

    fn into_updates(mut self) -> Vec<EndpointListUpdate> {
        let mut rejoined = Vec::new();
        for worker in &mut self.update.workers {
            if is_present(worker) && self.departed.contains(&worker.address) {
                rejoined.push(worker.clone());
                worker.state = EndpointState::Gone;
            }
        }
        let mut updates = vec![self.update];
        if !rejoined.is_empty() {
            updates.push(EndpointListUpdate {
                mode: EndpointListKind::Changes,
                workers: rejoined,
                retired: Vec::new(),
            });
        }
        updates
    }
}

fn is_present(worker: &ListedWorker) -> bool {
    worker.state != EndpointState::Gone
}
