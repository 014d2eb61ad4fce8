//! Applies watch events to the endpoint list.

use std::collections::HashSet;
use std::net::SocketAddr;

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::{EndpointListKind, EndpointState, Micros};
use cedarpulley_router::endpoint_list::ListedWorker;

use super::address_table::{AddressTable, Effect, WorkerProcess};
use super::batch_merge;
use super::{DiscoveryError, EndpointListEvent, EventBatch, Result, WorkerEntry};
use crate::config::Names;

/// A drain that may be older than the drain grace divided by this number is read as having no grace left: the balancer
/// and the last check before sending use up the rest of the grace.
const DRAIN_GRACE_DIVISOR: Micros = 4;
/// The bit that is set in the index of every zone that the settings do not name. Indexes of named zones do not have it.
const UNNAMED_ZONE: u32 = 1 << 31;

/// A change of the endpoint list, in the types of the router core.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointListUpdate {
    /// Whether `workers` is the complete list or only the changed workers.
    pub mode: EndpointListKind,
    /// The workers. Their `address` is the id of the worker, not its network address.
    pub workers: Vec<ListedWorker>,
    /// Ids of workers that are gone or have moved: nothing more may be sent on connections that are open to them.
    pub retired: Vec<String>,
}

/// An entry of an event with its names and numbers resolved. `address` is `None` if the entry has no valid address,
/// which is allowed for a worker that is gone.
struct ResolvedWorker {
    listed: ListedWorker,
    address: Option<SocketAddr>,
}

/// The change of the endpoint list by one event.
struct ListChange {
    mode: EndpointListKind,
    workers: Vec<ResolvedWorker>,
}

/// The endpoint list as of the last event applied.
#[derive(Debug)]
pub struct WorkerListFollower {
    last_cursor: u64,
    addresses: AddressTable,
    drain_grace: Micros,
    /// Most workers in the list; further ones are ignored and counted.
    max_workers: usize,
    repeated_events: u64,
    ignored_workers: u64,
}

impl Default for WorkerListFollower {
    /// A list without a bound, of workers that get no new requests once they drain.
    fn default() -> Self {
        WorkerListFollower::new(0, usize::MAX)
    }
}

impl WorkerListFollower {
    /// `drain_grace`: time after the announcement of a drain in which the worker may get new requests, in microseconds.
    /// `max_workers`: most workers in the list; further ones are ignored and counted.
    pub fn new(drain_grace: Micros, max_workers: usize) -> Self {
        WorkerListFollower {
            drain_grace,
            max_workers,
            last_cursor: 0,
            addresses: AddressTable::default(),
            repeated_events: 0,
            ignored_workers: 0,
        }
    }

    /// Encodes the poll for the events after the last one applied. `wait`: the longest time for which discovery may
    /// hold the poll open, in microseconds.
    pub fn poll_request(&self, host: &str, wait: Micros) -> Vec<u8> {
        let (cursor, wait_ms) = (self.last_cursor, wait / 1_000);
        format!("GET /cmd/next?resume={cursor}&block={wait_ms} HTTP/1.1\r\nHost: {host}\r\n\r\n")
            .into_bytes()
    }

    /// The number of the last event applied.
    pub fn last_cursor(&self) -> u64 {
        self.last_cursor
    }

    /// The network address of a worker in the list.
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.addresses.address(id)
    }

    /// Number of events so far that were ignored because they had been applied before.
    pub fn repeated_events(&self) -> u64 {
        self.repeated_events
    }

    /// Number of entries so far that were ignored because the list was full.
    pub fn ignored_workers(&self) -> u64 {
        self.ignored_workers
    }

    /// Whether the last event of a response is older than the last event applied. The server that sent it lags behind,
    /// so the response does not show that the list is up to date.
    pub fn is_behind(&self, batch: &EventBatch) -> bool {
        batch.cursor < self.last_cursor
    }

    /// Applies a batch of events as a whole and returns the updates in order: none, one, or two if a worker was gone
    /// and is back within the batch. If any part of the batch is malformed, nothing is
    /// applied. `wall_at_zero`: the Unix time at which the router's clock was 0, in microseconds. `max_age`: the
    /// longest time for which the batch may have waited in the channel before it was read, in microseconds.
    pub fn apply_batch(
        &mut self,
        batch: &EventBatch,
        names: &Names,
        wall_at_zero: Micros,
        max_age: Micros,
    ) -> Result<Vec<EndpointListUpdate>> {
        let context = EntryContext {
            names,
            wall_at_zero,
            drain_grace_expired: max_age > self.drain_grace / DRAIN_GRACE_DIVISOR,
        };
        let (mut changes, mut last_cursor, mut repeated) = (Vec::new(), self.last_cursor, 0);
        for event in &batch.events {
            if event.cursor <= last_cursor {
                repeated += 1;
                continue;
            }
            last_cursor = event.cursor;
            if let Some(worker_list) = &event.worker_list {
                changes.push(context.resolve_event(worker_list)?);
            }
        }
        self.last_cursor = last_cursor.max(batch.cursor);
        self.repeated_events += repeated;
        let updates = changes.into_iter().map(|change| self.apply(change));
        Ok(batch_merge::merge(updates.collect()))
    }

    fn apply(&mut self, change: ListChange) -> EndpointListUpdate {
        let workers = change.workers.iter();
        let named: HashSet<String> = workers
            .map(|worker| worker.listed.address.clone())
            .collect();
        let mut update = EndpointListUpdate {
            mode: change.mode,
            workers: Vec::new(),
            retired: Vec::new(),
        };
        if change.mode == EndpointListKind::Complete {
            update.retired = self.addresses.retain(&named);
        }
        for worker in change.workers {
            self.apply_entry(worker, &named, &mut update);
        }
        update
    }

    /// Applies one entry of an event that names these workers.
    fn apply_entry(
        &mut self,
        entry: ResolvedWorker,
        named: &HashSet<String>,
        update: &mut EndpointListUpdate,
    ) {
        let ResolvedWorker {
            mut listed,
            address,
        } = entry;
        let id = listed.address.clone();
        let Some(address) = address.filter(|_| listed.state != EndpointState::Gone) else {
            if self.addresses.remove(&id) {
                update.retired.push(id);
            }
            return update.workers.push(listed);
        };
        if self.is_full() && self.addresses.address(&id).is_none() {
            self.ignored_workers += 1;
            return;
        }
        let process = WorkerProcess {
            address,
            started_at: listed.started_at,
        };
        let is_in_service = listed.state == EndpointState::InService;
        match self.addresses.list(&id, process, is_in_service, named) {
            Effect::Listed => {}
            Effect::ProcessReplaced => update.retired.push(id),
            Effect::Followed => {
                update.retired.push(id);
                listed.state = EndpointState::Gone;
            }
            Effect::Follows {
                previous,
                process_replaced,
            } => {
                update.workers.push(gone(&previous));
                update.retired.push(previous);
                if process_replaced {
                    update.retired.push(id);
                }
            }
        }
        update.workers.push(listed);
    }

    fn is_full(&self) -> bool {
        self.addresses.len() >= self.max_workers
    }
}

/// The entry of a worker that has gone without an entry of its own.
fn gone(id: &str) -> ListedWorker {
    ListedWorker {
        address: id.to_owned(),
        zone: 0,
        machine_kind: 0,
        cell: 0,
        state: EndpointState::Gone,
        weight: 1.0,
        started_at: None,
    }
}

/// The values that are needed to resolve the entries of a batch.
struct EntryContext<'a> {
    names: &'a Names,
    /// The Unix time at which the router's clock was 0, in microseconds.
    wall_at_zero: Micros,
    /// Whether a drain in this batch may have been announced so long ago that none of its grace is left.
    drain_grace_expired: bool,
}

impl EntryContext<'_> {
    fn resolve_event(&self, event: &EndpointListEvent) -> Result<ListChange> {
        let workers = event.workers.iter().map(|entry| self.resolve_worker(entry));
        Ok(ListChange {
            mode: if event.is_complete {
                EndpointListKind::Complete
            } else {
                EndpointListKind::Changes
            },
            workers: workers.collect::<Result<_>>()?,
        })
    }

    fn resolve_worker(&self, entry: &WorkerEntry) -> Result<ResolvedWorker> {
        let state = self.state(entry)?;
        let address = entry.address.parse().ok();
        if address.is_none() && state != EndpointState::Gone {
            return Err(DiscoveryError::MalformedAddress {
                id: entry.id.clone(),
                address: entry.address.clone(),
            });
        }
        let started_at = Some(entry.started_ms)
            .filter(|&millis| millis > 0)
            .map(|millis| millis.saturating_mul(1_000))
            .map(|micros| micros.saturating_sub(self.wall_at_zero));
        let unnamed_zone = || fingerprint(&entry.zone) as u32 | UNNAMED_ZONE;
        // All kinds of machine that the settings do not name share the index after the last named kind.
        let unnamed_kind = self.names.machine_kinds.len() as u32;
        let listed = ListedWorker {
            address: entry.id.clone(),
            zone: index_of(&self.names.zones, &entry.zone).unwrap_or_else(unnamed_zone),
            machine_kind: index_of(&self.names.machine_kinds, &entry.kind).unwrap_or(unnamed_kind),
            cell: entry.cell,
            state,
            weight: entry.weight,
            started_at,
        };
        Ok(ResolvedWorker { listed, address })
    }

    fn state(&self, entry: &WorkerEntry) -> Result<EndpointState> {
        match entry.state.as_str() {
            "active" => Ok(EndpointState::InService),
            "leaving" if !self.drain_grace_expired => Ok(EndpointState::Draining),
            "leaving" | "left" => Ok(EndpointState::Gone),
            other => Err(DiscoveryError::UnknownState {
                id: entry.id.clone(),
                state: other.to_owned(),
            }),
        }
    }
}

fn index_of(names: &[String], name: &str) -> Option<u32> {
    names
        .iter()
        .position(|other| other == name)
        .map(|index| index as u32)
}
