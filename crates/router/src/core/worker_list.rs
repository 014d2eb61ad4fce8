//! News of the worker list: which workers there are, and where they stand.

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::{
    DeduplicationScope, Effect, Endpoint, EndpointListKind, Event, WorkerIndex,
};

use super::{Output, Router};
use crate::roster::Listed;

/// Where a worker stands, as the list says.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkerPlace {
    zone: u32,
    cell: u32,
}

impl Router {
    /// Gives each worker its index, and passes the news on to all who follow the list.
    pub(super) fn worker_list(
        &mut self,
        mode: EndpointListKind,
        workers: &[Listed],
        out: &mut Vec<Output>,
    ) {
        let entries: Vec<Endpoint> = workers
            .iter()
            .map(|worker| self.list_entry(worker))
            .collect();
        for entry in &entries {
            self.note_place(entry);
        }
        self.service.follow(self.now, mode, &entries);
        self.tenure.follow(mode, &entries);
        self.decide(
            &Event::EndpointList {
                kind: mode,
                endpoints: &entries,
            },
            out,
        );
    }

    fn list_entry(&mut self, listed: &Listed) -> Endpoint {
        Endpoint {
            worker: self.workers.intern(listed.address.as_str()),
            fingerprint: fingerprint(&listed.address),
            zone: listed.zone,
            machine_kind: listed.kind,
            cell: listed.cell,
            state: listed.standing,
            weight: listed.weight,
            started_at: listed.started,
        }
    }

    fn note_place(&mut self, entry: &Endpoint) {
        let index = entry.worker as usize;
        if self.places.len() <= index {
            self.places.resize(index + 1, WorkerPlace::default());
        }
        self.places[index] = WorkerPlace {
            zone: entry.zone,
            cell: entry.cell,
        };
    }

    /// The group of workers that recognise repeats of what goes to this one; 0 where there is only one group.
    pub(super) fn repeat_place(&self, trigger: usize, worker: WorkerIndex) -> u32 {
        let place = self
            .places
            .get(worker as usize)
            .copied()
            .unwrap_or_default();
        match self.triggers[trigger].effect {
            Effect::IdempotentByKey {
                scope: DeduplicationScope::Zone,
                ..
            } => place.zone,
            Effect::IdempotentByKey {
                scope: DeduplicationScope::Cell,
                ..
            } => place.cell,
            _ => 0,
        }
    }

    /// Indices of workers that are gone, and to which nothing refers any more, may be given out again.
    pub(super) fn release_gone_workers(&mut self) {
        for worker in self.tenure.ended() {
            self.workers.release(worker);
            self.service.forget(worker);
        }
    }
}
