//! Faults on directed links: one table for all relays of a cluster. [`Links::set`] puts a fault on the direction from
//! one name to another; relays consult it through their `LinkDirection`. Names are those of the emulators' logs: a
//! router's address, the name of an emulator's log.
//!
//! Mechanisms:
//! 1. A fault belongs to a direction, not to a connection: set from A to B it holds the requests on A's connections
//!    to B and the answers on B's connections to A.
//! 2. What a fault keeps from being seen is logged before it begins and after it has ended, for the checker: a `link`
//!    line says from where to where, and how long things are in flight at most.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use cedarpulley_emulators::{Log, lock};
use event_listener::{Event, EventListener};
use serde_json::json;

use crate::port::Port;

/// What happens on one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LinkFault {
    /// Nothing: everything passes.
    #[default]
    Pass,
    /// Nothing passes and neither side notices; it arrives when the link is healed.
    Held,
    /// Likewise, but what came is lost: a connection that lost something is reset when healed.
    Lost,
    /// Delayed by `by` and a drawn part of `spread`; in order.
    Delayed {
        /// Least delay.
        by: Duration,
        /// Most delay beyond it.
        spread: Duration,
    },
    /// Limited in bandwidth.
    Throttled {
        /// The limit.
        bytes_per_s: u64,
    },
    /// Every connection of the link is reset on both sides, new ones as they come. Even if it is healed at once, those
    /// that were open are reset.
    Reset,
    /// Its connections are dead towards the direction's end, which sees them reset; its beginning sees it when the
    /// link is healed.
    HalfOpen,
    /// New connections in this direction are refused; those that are open go on.
    Refused,
    /// Of whole messages, shares are dropped, duplicated and reordered. Bytes pass.
    UnreliableMessages {
        /// Share dropped.
        drop: f64,
        /// Share sent twice.
        twice: f64,
        /// Share sent after a later one.
        after: f64,
    },
}

impl LinkFault {
    /// Whether what arrives may have been sent a while before, and if so for how long at most, where that is known.
    fn delays(self) -> Option<Option<Duration>> {
        match self {
            LinkFault::Held | LinkFault::Lost | LinkFault::Throttled { .. } => Some(None),
            LinkFault::Delayed { by, spread } => Some(Some(by + spread)),
            _ => None,
        }
    }

    /// What comes while it lasts is lost.
    pub(crate) fn loses(self) -> bool {
        matches!(self, LinkFault::Lost | LinkFault::HalfOpen)
    }
}

/// From one name to another.
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

#[derive(Default)]
struct FaultTable {
    faults: HashMap<Endpoints, LinkFault>,
    /// How often each direction was reset.
    resets: HashMap<Endpoints, u64>,
    /// Where relays listen for connections in each direction.
    ports: HashMap<Endpoints, Vec<Weak<Port>>>,
}

/// The faults of all links; clones share them.
#[derive(Clone, Default)]
pub struct Links {
    table: Arc<Mutex<FaultTable>>,
    changed: Arc<Event>,
    log: Option<Log>,
}

impl Links {
    /// Without faults; changes are logged where a log is given.
    pub fn new(log: Option<Log>) -> Self {
        Links {
            log,
            ..Links::default()
        }
    }

    /// Sets the fault of a direction in place of the one before. New connections are refused, or accepted, when this
    /// returns.
    pub fn set(&self, from: &str, to: &str, fault: LinkFault) {
        let endpoints = Endpoints::new(from, to);
        if let Some(most_delay) = fault.delays() {
            self.log_change(from, to, "held", true, most_delay);
        }
        if fault == LinkFault::HalfOpen {
            // What is not seen is that the other side has closed.
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
        most_delay: Option<Duration>,
    ) {
        if let Some(log) = &self.log {
            let most_us = most_delay.map(|m| m.as_micros() as u64);
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

    /// From now on the port listens or refuses as the direction's fault says.
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
    /// Its present fault.
    pub(crate) fn fault(&self) -> LinkFault {
        lock(&self.links.table)
            .faults
            .get(&self.endpoints)
            .copied()
            .unwrap_or_default()
    }

    /// How often it was reset.
    pub(crate) fn resets(&self) -> u64 {
        lock(&self.links.table)
            .resets
            .get(&self.endpoints)
            .copied()
            .unwrap_or_default()
    }

    /// Resolves with the next change of any fault. To be taken before the fault is read, so that no change is missed.
    pub(crate) fn changed(&self) -> EventListener {
        self.links.changed.listen()
    }

    /// Waits while it is held; false if what passes here is lost instead.
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
