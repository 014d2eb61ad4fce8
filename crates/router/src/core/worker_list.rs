//! News of the worker list: which workers there are, and where they stand.

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::{Effect, Event, ListEntry, ListMode, RepeatGroup, WorkerIx};

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
        mode: ListMode,
        workers: &[Listed],
        out: &mut Vec<Output>,
    ) {
        let entries: Vec<ListEntry> = workers
            .iter()
            .map(|worker| self.list_entry(worker))
            .collect();
        for entry in &entries {
            self.note_place(entry);
        }
        self.service.follow(self.now, mode, &entries);
        self.tenure.follow(mode, &entries);
        self.decide(
            &Event::List {
                mode,
                entries: &entries,
            },
            out,
        );
    }

    fn list_entry(&mut self, listed: &Listed) -> ListEntry {
        ListEntry {
            worker: self.workers.enter(listed.address.as_str()),
            fingerprint: fingerprint(&listed.address),
            zone: listed.zone,
            kind: listed.kind,
            cell: listed.cell,
            standing: listed.standing,
            weight: listed.weight,
            started: listed.started,
        }
    }

    fn note_place(&mut self, entry: &ListEntry) {
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
    pub(super) fn repeat_place(&self, trigger: usize, worker: WorkerIx) -> u32 {
        let place = self
            .places
            .get(worker as usize)
            .copied()
            .unwrap_or_default();
        match self.triggers[trigger].effect {
            Effect::Tokened {
                group: RepeatGroup::Zone,
                ..
            } => place.zone,
            Effect::Tokened {
                group: RepeatGroup::Cell,
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
