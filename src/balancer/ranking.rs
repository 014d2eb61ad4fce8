//! The rendezvous order of the workers in service for each function, which is the same at every router.
//!
//! A ranking is computed when it is first needed and is kept while there is memory for it. A change of the endpoint list
//! is only noted; each ranking follows it when it is needed next.

use std::collections::{HashMap, VecDeque};

use super::estimates::hash_pair;
use super::workers::{self, WorkerState};
use crate::interface::{EndpointState, FunctionIndex, WorkerIndex};

/// Most changes that are kept, as a fraction of the workers in service: sorting all of them takes less time than more
/// insertions.
const CHANGES_KEPT_DIVISOR: usize = 8;
/// Number of changes that are kept in any case.
const MIN_CHANGES_KEPT: usize = 16;

/// Memory of a ranking apart from its workers, in bytes: its place in the table, which grows by doubling, and the
/// allocation of its list.
const RANKING_BYTES: usize = 128;

/// Counts the workers in service, and notes which of them have joined, left or been replaced.
#[derive(Default)]
pub(super) struct WorkersInService {
    count: usize,
    /// The workers that have changed, the latest last.
    changes: VecDeque<WorkerIndex>,
    /// Number of changes that are no longer in `changes`.
    dropped: u64,
}

impl WorkersInService {
    /// Number of workers in service.
    pub(super) fn count(&self) -> usize {
        self.count
    }

    /// Notes a change of a worker: whether it was in service before it, and is after it.
    pub(super) fn changed(
        &mut self,
        worker: WorkerIndex,
        was_in_service: bool,
        is_in_service: bool,
    ) {
        self.count += usize::from(is_in_service);
        self.count -= usize::from(was_in_service);
        if was_in_service || is_in_service {
            self.changes.push_back(worker);
        }
        while self.changes.len() > MIN_CHANGES_KEPT.max(self.count / CHANGES_KEPT_DIVISOR) {
            self.changes.pop_front();
            self.dropped += 1;
        }
    }

    /// Number of changes so far.
    fn version(&self) -> u64 {
        self.dropped + self.changes.len() as u64
    }

    /// The workers that changed after the version; `None` if they are not known any more.
    fn changed_since(&self, version: u64) -> Option<Vec<WorkerIndex>> {
        let known = version.checked_sub(self.dropped)? as usize;
        let mut changed: Vec<WorkerIndex> = self.changes.range(known..).copied().collect();
        changed.sort_unstable();
        changed.dedup();
        Some(changed)
    }
}

/// The workers in service in the rendezvous order of one function.
struct Ranking {
    /// The version of the [`WorkersInService`] that it follows.
    version: u64,
    workers: Vec<WorkerIndex>,
}

impl Ranking {
    /// Memory that it takes, in bytes.
    fn bytes(&self) -> usize {
        RANKING_BYTES + self.workers.capacity() * size_of::<WorkerIndex>()
    }
}

/// The rankings that are kept.
pub(super) struct Rankings {
    by_function: HashMap<FunctionIndex, Ranking>,
    /// Memory of all rankings, in bytes.
    bytes: usize,
    max_bytes: usize,
}

impl Default for Rankings {
    fn default() -> Self {
        Rankings::bounded(usize::MAX)
    }
}

impl Rankings {
    /// Keeps rankings of at most this size together, in bytes, and at least one.
    pub(super) fn bounded(max_bytes: usize) -> Self {
        Rankings {
            by_function: HashMap::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// The number of rankings, and their memory in bytes.
    pub(super) fn size(&self) -> (usize, usize) {
        (self.by_function.len(), self.bytes)
    }

    /// The kept ranking of a function; empty if there is none.
    pub(super) fn of(&self, function: FunctionIndex) -> &[WorkerIndex] {
        self.by_function
            .get(&function)
            .map_or(&[], |ranking| &ranking.workers)
    }

    /// Drops the ranking of a function whose index may be reused.
    pub(super) fn forget(&mut self, function: FunctionIndex) {
        self.take(function);
    }

    fn take(&mut self, function: FunctionIndex) -> Option<Ranking> {
        let ranking = self.by_function.remove(&function)?;
        self.bytes -= ranking.bytes();
        Some(ranking)
    }

    /// Brings the ranking of a function up to date. `fingerprint` is the function's.
    pub(super) fn update(
        &mut self,
        function: FunctionIndex,
        fingerprint: u64,
        in_service: &WorkersInService,
        workers: &[WorkerState],
    ) {
        let version = in_service.version();
        let kept = self.by_function.get(&function);
        if kept.is_some_and(|ranking| ranking.version == version) {
            return;
        }
        let key = |worker: WorkerIndex| {
            let worker_fingerprint = workers[worker as usize].fingerprint;
            (hash_pair((worker_fingerprint, fingerprint)), worker)
        };
        let followed = self.take(function).and_then(|mut ranking| {
            let changed = in_service.changed_since(ranking.version)?;
            follow(&mut ranking.workers, &changed, workers, key);
            Some(ranking.workers)
        });
        let ranked = followed.unwrap_or_else(|| {
            let mut all: Vec<WorkerIndex> = workers::in_service(workers)
                .map(|worker| worker as WorkerIndex)
                .collect();
            all.sort_by_cached_key(|&worker| key(worker));
            all
        });
        let ranking = Ranking {
            version,
            workers: ranked,
        };
        if self.bytes + ranking.bytes() > self.max_bytes {
            self.by_function = HashMap::new();
            self.bytes = 0;
        }
        self.bytes += ranking.bytes();
        self.by_function.insert(function, ranking);
    }
}

/// Moves the changed workers to their places in a ranking, and removes those that are not in service any more.
fn follow(
    ranked: &mut Vec<WorkerIndex>,
    changed: &[WorkerIndex],
    workers: &[WorkerState],
    key: impl Fn(WorkerIndex) -> (u64, WorkerIndex),
) {
    ranked.retain(|worker| changed.binary_search(worker).is_err());
    for &worker in changed {
        if workers[worker as usize].state == EndpointState::InService {
            let worker_key = key(worker);
            let position = ranked.partition_point(|&other| key(other) < worker_key);
            ranked.insert(position, worker);
        }
    }
}
