//! Faults on directed links. All relays of a cluster share one table: [`Links::set`] sets the fault of the direction
//! from one name to another, and relays read it through their `LinkDirection`. The names are those in the logs of the
//! emulators: the address of a router, or the name of an emulator's log.
//!
//! Mechanisms:
//! 1. A fault belongs to a direction, not to a connection. A fault from A to B affects the requests on connections that
//!    A opened to B and the responses on connections that B opened to A.
//! 2. A fault that delays or hides data is logged before it begins and after it has ended. The invariant checker needs
//!    the `link` lines, which contain both names and the longest time for which data may be in flight.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use cedarpulley_emulators::{Log, lock};
use event_listener::{Event, EventListener};
use serde_json::json;

use crate::port::Port;

/// Fault on one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LinkFault {
    /// No fault: all data passes.
    #[default]
    Pass,
    /// Data is held back without either side noticing; it arrives when the link is healed.
    Held,
    /// Data is lost without either side noticing. A connection that lost data is reset when the link is healed.
    Lost,
    /// Data is delayed by `by` plus a random part of `spread`; the order is kept.
    Delayed {
        /// Shortest delay.
        by: Duration,
        /// Longest additional delay.
        spread: Duration,
    },
    /// The bandwidth is limited.
    Throttled {
        /// The limit, in bytes per second.
        bytes_per_s: u64,
    },
    /// Every connection of the link, including new ones, is reset on both sides. Connections that were open are reset
    /// even if the link is healed at once.
    Reset,
    /// The receiving side of the direction sees its connections reset at once; the sending side sees that only when the
    /// link is healed.
    HalfOpen,
    /// New connections in this direction are refused; open connections are not affected.
    Refused,
    /// Shares of the complete messages are dropped, duplicated and reordered. Relays that forward bytes are not
    /// affected.
    UnreliableMessages {
        /// Share that is dropped.
        drop: f64,
        /// Share that is sent twice.
        twice: f64,
        /// Share that is sent after a later message.
        after: f64,
    },
}

impl LinkFault {
    /// Whether the fault delays data; the inner value is the longest delay, if it is known.
    fn delays(self) -> Option<Option<Duration>> {
        match self {
            LinkFault::Held | LinkFault::Lost | LinkFault::Throttled { .. } => Some(None),
            LinkFault::Delayed { by, spread } => Some(Some(by + spread)),
            _ => None,
        }
    }

    /// Whether data that is sent during the fault is lost.
    pub(crate) fn loses(self) -> bool {
        matches!(self, LinkFault::Lost | LinkFault::HalfOpen)
    }
}

/// Names of both ends of a direction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Endpoints {
    from: String,
    to: String,
}

impl Endpoints {
    fn new(from: &str, to: &str) -> Self {
        Endpoints {
            from: from.to_owned(),
            to: to.to_owned(),
        }
    }
}

/// The faults of all directions, with the listeners that have to follow them.
#[derive(Default)]
struct FaultTable {
    faults: HashMap<Endpoints, LinkFault>,
    /// Number of resets of each direction.
    resets: HashMap<Endpoints, u64>,
    /// Ports on which relays accept connections in each direction.
    ports: HashMap<Endpoints, Vec<Weak<Port>>>,
}

/// The faults of all links; clones share the same table.
#[derive(Clone, Default)]
pub struct Links {
    table: Arc<Mutex<FaultTable>>,
    changed: Arc<Event>,
    log: Option<Log>,
}

impl Links {
    /// Creates a table without faults; changes are written to the log, if one is given.
    pub fn new(log: Option<Log>) -> Self {
        Links {
            log,
            ..Links::default()
        }
    }

    /// Replaces the fault of a direction. When this returns, new connections are already refused or accepted according
    /// to the new fault.
    pub fn set(&self, from: &str, to: &str, fault: LinkFault) {
        let endpoints = Endpoints::new(from, to);
        if let Some(max_delay) = fault.delays() {
            self.log_change(from, to, "held", true, max_delay);
        }
        if fault == LinkFault::HalfOpen {
            // The sending side does not see that the receiving side has closed, so the names are swapped.
            self.log_change(to, from, "half-open", true, None);
        }
        let before = {
            let mut table = lock(&self.table);
            for port in table
                .ports
                .get(&endpoints)
                .into_iter()
                .flatten()
                .filter_map(Weak::upgrade)
            {
                port.set_open(fault != LinkFault::Refused);
            }
            if fault == LinkFault::Reset {
                *table.resets.entry(endpoints.clone()).or_default() += 1;
            }
            table.faults.insert(endpoints, fault).unwrap_or_default()
        };
        self.changed.notify(usize::MAX);
        if before.delays().is_some() && fault.delays().is_none() {
            self.log_change(from, to, "held", false, None);
        }
        if before == LinkFault::HalfOpen && fault != LinkFault::HalfOpen {
            self.log_change(to, from, "half-open", false, None);
        }
    }

    /// Sets the fault of both directions.
    pub fn both(&self, one: &str, other: &str, fault: LinkFault) {
        self.set(one, other, fault);
        self.set(other, one, fault);
    }

    /// Removes all faults.
    pub fn heal(&self) {
        let faulty: Vec<Endpoints> = lock(&self.table).faults.keys().cloned().collect();
        for endpoints in &faulty {
            self.set(&endpoints.from, &endpoints.to, LinkFault::Pass);
        }
    }

    fn log_change(
        &self,
        from: &str,
        to: &str,
        reason: &str,
        on: bool,
        max_delay: Option<Duration>,
    ) {
        if let Some(log) = &self.log {
            let most_us = max_delay.map(|m| m.as_micros() as u64);
            log.write(
                "link",
                json!({"from": from, "to": to, "why": reason, "on": on, "most_us": most_us}),
            );
        }
    }

    pub(crate) fn direction(&self, from: &str, to: &str) -> LinkDirection {
        LinkDirection {
            links: self.clone(),
            endpoints: Endpoints::new(from, to),
        }
    }

    /// Registers a port, which from now on listens or refuses connections according to the fault of the direction.
    pub(crate) fn register(&self, from: &str, to: &str, port: &Arc<Port>) {
        let endpoints = Endpoints::new(from, to);
        let mut table = lock(&self.table);
        port.set_open(table.faults.get(&endpoints) != Some(&LinkFault::Refused));
        table
            .ports
            .entry(endpoints)
            .or_default()
            .push(Arc::downgrade(port));
    }
}

/// One direction of one link.
#[derive(Clone)]
pub(crate) struct LinkDirection {
    links: Links,
    endpoints: Endpoints,
}

impl LinkDirection {
    /// The current fault of the direction.
    pub(crate) fn fault(&self) -> LinkFault {
        lock(&self.links.table)
            .faults
            .get(&self.endpoints)
            .copied()
            .unwrap_or_default()
    }

    /// Number of resets of the direction.
    pub(crate) fn resets(&self) -> u64 {
        lock(&self.links.table)
            .resets
            .get(&self.endpoints)
            .copied()
            .unwrap_or_default()
    }

    /// Resolves with the next change of any fault. Callers create the listener before they read the fault, so that no
    /// change is missed.
    pub(crate) fn changed(&self) -> EventListener {
        self.links.changed.listen()
    }

    /// Waits while data is held back; returns false if the data is lost instead.
    pub(crate) async fn passes(&self) -> bool {
        loop {
            let changed = self.changed();
            match self.fault() {
                LinkFault::Held => changed.await,
                fault => return !fault.loses(),
            }
        }
    }
}
