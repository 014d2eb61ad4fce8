//! Follows the published endpoint list, even if its watch breaks, repeats events or goes back in time. The list is
//! published in slices, as Kubernetes does with endpoint slices: first a listing of all slices, then a watch of the
//! changes since the version of the listing. The caller passes each watch event to [`EndpointList::handle`], which
//! returns what to report to the core and what to request next.
//!
//! Mechanisms:
//! 1. Each slice has a version. A slice whose version is not newer than the known one changes nothing.
//! 2. A listing that is older than the known version is only accepted after several such listings in a row, which mean
//!    that the publisher restarted with new version numbers. Until then the last view remains in effect.
//! 3. A worker that is named in several slices has its state in the newest of them; if their versions are equal, the most
//!    cautious state.
//! 4. A worker's incarnation is identified by its process id. A worker with a new process id has just started, whatever
//!    start time its own clock gives.

use std::collections::{BTreeMap, HashMap};

use cedarpulley::interface::{EndpointListKind, EndpointState, Micros};

/// This many listings in a row that go back in time mean that the publisher has restarted.
const STALE_LISTINGS_AFTER_RESTART: u32 = 3;
/// Maximum number of workers in a view; further workers are left out and counted.
const MAX_WORKERS: usize = 20_000;

/// One worker of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// The name of the worker: its address, or its identifier if the list contains one.
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
    /// When its process started, in microseconds on the router's clock; `None` if not known.
    pub started_at: Option<Micros>,
}

/// One worker as it is named in a slice.
#[derive(Clone, Debug, PartialEq)]
pub struct SliceEntry {
    /// The worker.
    pub worker: ListedWorker,
    /// Identifies the incarnation of the worker; changes whenever its process is restarted.
    pub process_id: String,
}

/// One slice of the published list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSlice {
    /// Name of the slice.
    pub name: String,
    /// Version of the slice; increases with each change.
    pub version: u64,
    /// The workers in it.
    pub entries: Vec<SliceEntry>,
}

/// An event of the watch: what the publisher sent, or that the watch ended.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// A complete listing.
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
    /// All changes up to this version were sent.
    Bookmark(u64),
    /// The watch ended or could not be started.
    WatchEnded {
        /// Whether the publisher no longer has the version from which the watch was to start.
        too_old: bool,
    },
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointListAction {
    /// Pass the workers to the core.
    UpdateRouter {
        /// What `workers` contains.
        kind: EndpointListKind,
        /// The workers.
        workers: Vec<ListedWorker>,
    },
    /// Request a complete listing.
    RequestListing,
    /// Watch for changes after this version.
    Watch(u64),
}

/// An incarnation of a worker.
#[derive(Debug)]
struct Incarnation {
    process_id: String,
    started_at: Option<Micros>,
}

/// The published endpoint list, as far as it is known.
#[derive(Debug, Default)]
pub struct EndpointList {
    /// The newest version seen.
    version: u64,
    /// The slices, by name.
    slices: BTreeMap<String, EndpointSlice>,
    /// The workers last passed to the core, by name.
    published: BTreeMap<String, ListedWorker>,
    /// The known incarnation of each worker, by name of the worker.
    incarnations: HashMap<String, Incarnation>,
    /// Number of listings in a row that went back in time.
    stale_listings: u32,
    /// Whether a listing was accepted.
    has_listing: bool,
    /// Whether there was a view before, so that a worker that it did not contain is new.
    has_view: bool,
    /// Number of events ignored because they were not newer than the known state.
    pub ignored_events: u64,
    /// Number of times that a worker was left out of a view because there were too many workers.
    pub workers_left_out: u64,
}

impl EndpointList {
    /// Handles a watch event that was received at `now`, and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Micros, event: WatchEvent) -> Vec<EndpointListAction> {
        match event {
            WatchEvent::Listing { version, slices } => self.listing(now, version, slices),
            WatchEvent::Changed(slice) => self.slice_changed(now, slice),
            WatchEvent::Removed { name, version } => self.slice_removed(now, &name, version),
            WatchEvent::Bookmark(version) => {
                self.version = self.version.max(version);
                Vec::new()
            }
            WatchEvent::WatchEnded { too_old } => self.watch_ended(too_old),
        }
    }

    /// Handles a complete listing, which replaces all slices unless it is stale.
    fn listing(
        &mut self,
        now: Micros,
        version: u64,
        slices: Vec<EndpointSlice>,
    ) -> Vec<EndpointListAction> {
        if self.has_listing
            && version < self.version
            && self.stale_listings + 1 < STALE_LISTINGS_AFTER_RESTART
        {
            // A lagging replica of the publisher may have answered. If its listing were accepted, workers that are long
            // gone would appear again.
            self.stale_listings += 1;
            self.ignored_events += 1;
            return vec![EndpointListAction::RequestListing];
        }
        self.stale_listings = 0;
        self.has_listing = true;
        self.version = version;
        self.slices = slices
            .into_iter()
            .map(|slice| (slice.name.clone(), slice))
            .collect();
        let view = self.view(now);
        self.published = view.clone();
        let complete = EndpointListAction::UpdateRouter {
            kind: EndpointListKind::Complete,
            workers: view.into_values().collect(),
        };
        vec![complete, EndpointListAction::Watch(version)]
    }

    fn slice_changed(&mut self, now: Micros, slice: EndpointSlice) -> Vec<EndpointListAction> {
        let known = self
            .slices
            .get(&slice.name)
            .map_or(0, |known| known.version);
        if slice.version <= known || !self.has_listing {
            self.ignored_events += 1;
            return Vec::new();
        }
        self.version = self.version.max(slice.version);
        self.slices.insert(slice.name.clone(), slice);
        self.publish_changes(now)
    }

    fn slice_removed(&mut self, now: Micros, name: &str, version: u64) -> Vec<EndpointListAction> {
        let known = self.slices.get(name);
        if known.is_none_or(|known| known.version > version) {
            self.ignored_events += 1;
            return Vec::new();
        }
        self.version = self.version.max(version);
        self.slices.remove(name);
        self.publish_changes(now)
    }

    /// Handles the end of the watch, and resumes it if possible.
    fn watch_ended(&self, too_old: bool) -> Vec<EndpointListAction> {
        let failed = EndpointListAction::UpdateRouter {
            kind: EndpointListKind::Failed,
            workers: Vec::new(),
        };
        let next = if self.has_listing && !too_old {
            EndpointListAction::Watch(self.version)
        } else {
            EndpointListAction::RequestListing
        };
        vec![failed, next]
    }

    /// Passes to the core all workers that changed since its last update, if any.
    fn publish_changes(&mut self, now: Micros) -> Vec<EndpointListAction> {
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
        vec![EndpointListAction::UpdateRouter {
            kind: EndpointListKind::Changes,
            workers,
        }]
    }

    /// Computes the current view: every worker once, by name, with its start time.
    fn view(&mut self, now: Micros) -> BTreeMap<String, ListedWorker> {
        let newest = newest_entries(&self.slices);
        self.workers_left_out += newest.len().saturating_sub(MAX_WORKERS) as u64;
        let mut view = BTreeMap::new();
        for (name, entry) in newest.into_iter().take(MAX_WORKERS) {
            let known = self.incarnations.get(name);
            let started_at = started_at(now, entry, known, self.has_view);
            let incarnation = Incarnation {
                process_id: entry.process_id.clone(),
                started_at,
            };
            self.incarnations.insert(name.to_owned(), incarnation);
            let worker = ListedWorker {
                started_at,
                ..entry.worker.clone()
            };
            view.insert(name.to_owned(), worker);
        }
        self.has_view = true;
        self.incarnations
            .retain(|name, _| view.contains_key(name) || self.published.contains_key(name));
        view
    }
}

/// When the worker's process started. `known`: its last known incarnation; `has_view`: whether there was a view before.
fn started_at(
    now: Micros,
    entry: &SliceEntry,
    known: Option<&Incarnation>,
    has_view: bool,
) -> Option<Micros> {
    match known {
        // The process is the same, so its first known start time remains, whatever the list says now.
        Some(known) if known.process_id == entry.process_id => known.started_at,
        // The start time in the list comes from the worker's clock, which may be wrong. A restarted worker that seems to
        // have run for long would be overloaded while it has no warm copies.
        Some(_) => Some(now),
        // A worker that joins later and is listed without a start time is assumed to have just started.
        None => {
            let listed = entry.worker.started_at.map(|started| started.min(now));
            listed.or(has_view.then_some(now))
        }
    }
}

/// The entry of each worker in its newest slice, by name of the worker.
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
