//! What the published endpoint list says, though its watch breaks, repeats itself or goes back in time. The list is
//! published in slices (as Kubernetes does with endpoint slices: a listing, then a watch of changes from its version on).
//! Call [`EndpointList::news`] with each watch event; it says what the core is to be told and what to request next.
//!
//! Mechanisms:
//! 1. Each slice has a version; one that is not newer than the known one changes nothing.
//! 2. A listing older than what is known is not believed until it has come a few times (the publisher restarted with new
//!    version numbers); the last view holds meanwhile.
//! 3. A worker named in several slices has the state of the newest slice; among equally new ones, the most cautious state.
//! 4. A worker's incarnation is known by its start mark; a worker with a new mark has just started, whatever its clock
//!    says.

use std::collections::{BTreeMap, HashMap};

use cedarpulley::interface::{EndpointListKind, EndpointState, Micros};

/// So many listings in a row that go back in time mean that the publisher has restarted.
const RESTARTED_AFTER: u32 = 3;
/// Workers known at once at most; what a list names beyond is left out and counted.
const MAX_WORKERS: usize = 20_000;

/// One worker of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// Its name: its address, or its id where the list gives one.
    pub address: String,
    /// The zone it runs in.
    pub zone: u32,
    /// The kind of machine it runs on.
    pub machine_kind: u32,
    /// The cell it belongs to.
    pub cell: u32,
    /// Its state.
    pub state: EndpointState,
    /// Its weight relative to other workers.
    pub weight: f64,
    /// When its process started, on the router's clock, if known.
    pub started_at: Option<Micros>,
}

/// One worker as a slice names it.
#[derive(Clone, Debug, PartialEq)]
pub struct SliceEntry {
    /// The worker.
    pub worker: ListedWorker,
    /// Changes whenever the worker's process is restarted.
    pub start_mark: String,
}

/// One slice of the published list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSlice {
    /// Name of the slice.
    pub name: String,
    /// Grows with each change.
    pub version: u64,
    /// The workers in it.
    pub entries: Vec<SliceEntry>,
}

/// What the publisher sent, or how the watch ended.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// A whole listing.
    Listing {
        /// Version of the listing.
        version: u64,
        /// All slices.
        slices: Vec<EndpointSlice>,
    },
    /// A slice is new or was changed.
    Changed(EndpointSlice),
    /// A slice was removed.
    Removed {
        /// Name of the slice.
        name: String,
        /// Version of the removal.
        version: u64,
    },
    /// Nothing changed up to this version.
    Bookmark(u64),
    /// The watch ended or could not be started.
    WatchEnded {
        /// The publisher no longer has the version asked for.
        too_old: bool,
    },
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq)]
pub enum ListAction {
    /// Tell the core.
    UpdateRouter {
        /// What `workers` holds.
        kind: EndpointListKind,
        /// The workers.
        workers: Vec<ListedWorker>,
    },
    /// Request a whole listing.
    RequestListing,
    /// Watch for changes after this version.
    Watch(u64),
}

/// An incarnation of a worker.
#[derive(Debug)]
struct Incarnation {
    start_mark: String,
    started_at: Option<Micros>,
}

/// The published list as it is known.
#[derive(Debug, Default)]
pub struct EndpointList {
    version: u64,
    /// By name.
    slices: BTreeMap<String, EndpointSlice>,
    /// The workers that the core was told of last, by name.
    published: BTreeMap<String, ListedWorker>,
    /// By name of the worker.
    incarnations: HashMap<String, Incarnation>,
    /// Listings in a row that went back in time.
    went_back: u32,
    /// There was a listing.
    listed: bool,
    /// The core was told of a view, so a worker not in it is new.
    viewed: bool,
    /// Events that were older than what is known.
    pub stale: u64,
    /// Workers left out, as there were too many.
    pub left_out: u64,
}

impl EndpointList {
    /// Handles a watch event, and says what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: WatchEvent) -> Vec<ListAction> {
        match event {
            WatchEvent::Listing { version, slices } => self.listing(now, version, slices),
            WatchEvent::Changed(slice) => self.slice_changed(now, slice),
            WatchEvent::Removed { name, version } => self.slice_removed(now, &name, version),
            WatchEvent::Bookmark(version) => {
                self.version = self.version.max(version);
                Vec::new()
            }
            WatchEvent::WatchEnded { too_old } => self.watch_broken(too_old),
        }
    }

    fn listing(
        &mut self,
        now: Micros,
        version: u64,
        slices: Vec<EndpointSlice>,
    ) -> Vec<ListAction> {
        if self.listed && version < self.version && self.went_back + 1 < RESTARTED_AFTER {
            // Symptom: a lagging replica of the publisher answers. Workers long gone would come back.
            self.went_back += 1;
            self.stale += 1;
            return vec![ListAction::RequestListing];
        }
        self.went_back = 0;
        self.listed = true;
        self.version = version;
        self.slices = slices
            .into_iter()
            .map(|slice| (slice.name.clone(), slice))
            .collect();
        let view = self.view(now);
        self.published = view.clone();
        let complete = ListAction::UpdateRouter {
            kind: EndpointListKind::Complete,
            workers: view.into_values().collect(),
        };
        vec![complete, ListAction::Watch(version)]
    }

    fn slice_changed(&mut self, now: Micros, slice: EndpointSlice) -> Vec<ListAction> {
        let known = self
            .slices
            .get(&slice.name)
            .map_or(0, |known| known.version);
        if slice.version <= known || !self.listed {
            self.stale += 1;
            return Vec::new();
        }
        self.version = self.version.max(slice.version);
        self.slices.insert(slice.name.clone(), slice);
        self.tell_changes(now)
    }

    fn slice_removed(&mut self, now: Micros, name: &str, version: u64) -> Vec<ListAction> {
        let known = self.slices.get(name);
        if known.is_none_or(|known| known.version > version) {
            self.stale += 1;
            return Vec::new();
        }
        self.version = self.version.max(version);
        self.slices.remove(name);
        self.tell_changes(now)
    }

    fn watch_broken(&self, too_old: bool) -> Vec<ListAction> {
        let failed = ListAction::UpdateRouter {
            kind: EndpointListKind::Failed,
            workers: Vec::new(),
        };
        let next = if self.listed && !too_old {
            ListAction::Watch(self.version)
        } else {
            ListAction::RequestListing
        };
        vec![failed, next]
    }

    /// The workers that differ from what the core was told last.
    fn tell_changes(&mut self, now: Micros) -> Vec<ListAction> {
        let view = self.view(now);
        let mut workers: Vec<ListedWorker> = view
            .iter()
            .filter(|(name, worker)| self.published.get(*name) != Some(worker))
            .map(|(_, worker)| worker.clone())
            .collect();
        let gone = self
            .published
            .iter()
            .filter(|(name, _)| !view.contains_key(*name));
        workers.extend(gone.map(|(_, worker)| ListedWorker {
            state: EndpointState::Gone,
            ..worker.clone()
        }));
        self.published = view;
        if workers.is_empty() {
            return Vec::new();
        }
        vec![ListAction::UpdateRouter {
            kind: EndpointListKind::Changes,
            workers,
        }]
    }

    /// Every worker once, by name.
    fn view(&mut self, now: Micros) -> BTreeMap<String, ListedWorker> {
        let newest = newest_entries(&self.slices);
        self.left_out += newest.len().saturating_sub(MAX_WORKERS) as u64;
        let mut view = BTreeMap::new();
        for (name, entry) in newest.into_iter().take(MAX_WORKERS) {
            let known = self.incarnations.get(name);
            let started_at = started_at(now, entry, known, self.viewed);
            let incarnation = Incarnation {
                start_mark: entry.start_mark.clone(),
                started_at,
            };
            self.incarnations.insert(name.to_owned(), incarnation);
            let worker = ListedWorker {
                started_at,
                ..entry.worker.clone()
            };
            view.insert(name.to_owned(), worker);
        }
        self.viewed = true;
        self.incarnations
            .retain(|name, _| view.contains_key(name) || self.published.contains_key(name));
        view
    }
}

/// When the worker's process started. `known`: its last known incarnation; `viewed`: there was a view before.
fn started_at(
    now: Micros,
    entry: &SliceEntry,
    known: Option<&Incarnation>,
    viewed: bool,
) -> Option<Micros> {
    match known {
        // The same process: its start is what was first concluded, whatever is said of it now.
        Some(known) if known.start_mark == entry.start_mark => known.started_at,
        // Symptom: a restarted worker whose clock is off looks old and is overloaded while it is cold.
        Some(_) => Some(now),
        // One that joins later and does not say since when has just started, for all that is known.
        None => {
            let said = entry.worker.started_at.map(|started| started.min(now));
            said.or(viewed.then_some(now))
        }
    }
}

/// The entry that counts of each worker, by name.
fn newest_entries(slices: &BTreeMap<String, EndpointSlice>) -> BTreeMap<&str, &SliceEntry> {
    let caution = |state: EndpointState| match state {
        EndpointState::InService => 0,
        EndpointState::Draining => 1,
        EndpointState::Gone => 2,
    };
    let mut newest: BTreeMap<&str, (u64, &SliceEntry)> = BTreeMap::new();
    for slice in slices.values() {
        for entry in &slice.entries {
            let rank = (slice.version, caution(entry.worker.state));
            let known = newest.get(entry.worker.address.as_str());
            let is_newer =
                known.is_none_or(|(version, known)| rank > (*version, caution(known.worker.state)));
            if is_newer {
                newest.insert(&entry.worker.address, (slice.version, entry));
            }
        }
    }
    newest
        .into_iter()
        .map(|(name, (_, entry))| (name, entry))
        .collect()
}
