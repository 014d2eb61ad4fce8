//! Follows the list of workers from event to event.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::{EndpointListKind, EndpointState, Micros};
use cedarpulley_router::endpoint_list::ListedWorker;

use super::{DiscoveryError, EventBatch, Result, WorkerEntry, WorkerListEvent};
use crate::config::Names;

/// A drain that is read later than this part of its grace has none left: the policy module and the last check before
/// sending use up all but this part.
const GRACE_DIVISOR: Micros = 4;
/// Most workers in the list; further ones are ignored and counted.
const MAX_WORKERS: usize = 20_000;
/// Set in the number of a zone that the settings do not name, so that it is like none that they do.
const UNNAMED_ZONE: u32 = 1 << 31;

/// A change of the list of workers, in the terms of the router's core.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// Whether it is the complete list or changes of it.
    pub mode: EndpointListKind,
    /// The workers, by their ids.
    pub workers: Vec<ListedWorker>,
    /// Ids of workers that have gone or moved: nothing more is sent on connections that are open to them.
    pub retired: Vec<String>,
}

/// An entry of an event, understood.
struct ResolvedWorker {
    listed: ListedWorker,
    address: Option<SocketAddr>,
}

/// What an event does to the list.
struct ListChange {
    mode: EndpointListKind,
    workers: Vec<ResolvedWorker>,
}

/// Follows the list of workers from event to event.
#[derive(Debug, Default)]
pub struct WorkerListFollower {
    last_cursor: u64,
    addresses: BTreeMap<String, SocketAddr>,
    drain_grace: Micros,
    repeated_events: u64,
    ignored_workers: u64,
}

impl WorkerListFollower {
    /// `drain_grace`: for how long after the announcement a draining worker may get new requests, in microseconds.
    pub fn new(drain_grace: Micros) -> Self {
        WorkerListFollower {
            drain_grace,
            ..WorkerListFollower::default()
        }
    }

    /// The poll for the events after the last one applied, encoded. `wait`: for how long it may be held open, in
    /// microseconds.
    pub fn poll_request(&self, host: &str, wait: Micros) -> Vec<u8> {
        let (cursor, wait_ms) = (self.last_cursor, wait / 1_000);
        format!("GET /cmd/next?resume={cursor}&block={wait_ms} HTTP/1.1\r\nHost: {host}\r\n\r\n")
            .into_bytes()
    }

    /// The number of the last event applied.
    pub fn last_cursor(&self) -> u64 {
        self.last_cursor
    }

    /// Where a listed worker listens.
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.addresses.get(id).copied()
    }

    /// Events that had been applied before and were ignored, so far.
    pub fn repeated_events(&self) -> u64 {
        self.repeated_events
    }

    /// Workers that were ignored because the list was full, so far.
    pub fn ignored_workers(&self) -> u64 {
        self.ignored_workers
    }

    /// Whether a response comes from a server that has fewer events than were applied already: it does not show that the
    /// list is up to date.
    pub fn is_behind(&self, batch: &EventBatch) -> bool {
        batch.cursor < self.last_cursor
    }

    /// The updates in a batch, in order; all of them or, where a part is malformed, nothing. `wall_at_zero`: the Unix time
    /// at which the router's clock began, in microseconds. `unheard_for`: the batch may have been in the channel for so
    /// many microseconds before it was read.
    pub fn apply_batch(
        &mut self,
        batch: &EventBatch,
        names: &Names,
        wall_at_zero: Micros,
        unheard_for: Micros,
    ) -> Result<Vec<ListUpdate>> {
        let context = EntryContext {
            names,
            wall_at_zero,
            grace_is_over: unheard_for > self.drain_grace / GRACE_DIVISOR,
        };
        let (mut changes, mut last_cursor, mut repeated) = (Vec::new(), self.last_cursor, 0);
        for event in &batch.events {
            if event.cursor <= last_cursor {
                repeated += 1;
                continue;
            }
            last_cursor = event.cursor;
            if let Some(worker_list) = &event.worker_list {
                changes.push(context.understand_event(worker_list)?);
            }
        }
        self.last_cursor = last_cursor.max(batch.cursor);
        self.repeated_events += repeated;
        Ok(changes
            .into_iter()
            .map(|change| self.apply(change))
            .collect())
    }

    fn apply(&mut self, change: ListChange) -> ListUpdate {
        let mut retired = Vec::new();
        if change.mode == EndpointListKind::Complete {
            let is_named = |id: &String| {
                let mut named = change.workers.iter();
                named.any(|worker| worker.listed.address == *id)
            };
            let gone = self.addresses.extract_if(.., |id, _| !is_named(id));
            retired.extend(gone.map(|(id, _)| id));
        }
        let mut workers = Vec::new();
        for ResolvedWorker { listed, address } in change.workers {
            let id = &listed.address;
            let former = match address.filter(|_| listed.state != EndpointState::Gone) {
                None => self.addresses.remove(id),
                Some(_) if self.is_full() && !self.addresses.contains_key(id) => {
                    self.ignored_workers += 1;
                    continue;
                }
                Some(address) => self
                    .addresses
                    .insert(id.clone(), address)
                    .filter(|former| *former != address),
            };
            if former.is_some() {
                retired.push(id.clone());
            }
            workers.push(listed);
        }
        ListUpdate {
            mode: change.mode,
            workers,
            retired,
        }
    }

    fn is_full(&self) -> bool {
        self.addresses.len() >= MAX_WORKERS
    }
}

/// What the entries of a batch are understood by.
struct EntryContext<'a> {
    names: &'a Names,
    /// The Unix time at which the router's clock began, in microseconds.
    wall_at_zero: Micros,
    /// A drain in this batch may have been announced so long ago that it has no grace left.
    grace_is_over: bool,
}

impl EntryContext<'_> {
    fn understand_event(&self, event: &WorkerListEvent) -> Result<ListChange> {
        let workers = event.workers.iter().map(|entry| self.understand(entry));
        Ok(ListChange {
            mode: if event.is_complete {
                EndpointListKind::Complete
            } else {
                EndpointListKind::Changes
            },
            workers: workers.collect::<Result<_>>()?,
        })
    }

    fn understand(&self, entry: &WorkerEntry) -> Result<ResolvedWorker> {
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
        // All kinds that the settings do not name count as one kind more.
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
            "leaving" if !self.grace_is_over => Ok(EndpointState::Draining),
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
