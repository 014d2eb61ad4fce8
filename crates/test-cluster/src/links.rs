//! Which fault stands on which directed link: one table for all relays of a rig. [`Links::set`] puts a fault on the
//! direction from one name to another; relays ask through their [`Way`]. Names are those that the stand-ins' logs
//! have: a router's address, a stand-in's log.
//!
//! Mechanisms:
//! 1. A fault belongs to a direction, not to a connection: set from A to B it holds the requests on A's connections
//!    to B and the answers on B's connections to A.
//! 2. What a fault keeps from being seen is logged before it begins and after it has ended, for the judge: a
//!    `link` line tells from where to where, and how long things are on their way at most.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use cedarpulley_emulators::{Log, lock};
use event_listener::{Event, EventListener};
use serde_json::json;

use crate::relay::Port;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    #[default]
    Pass,
    /// Nothing passes and nobody is told; it comes through when healed.
    Held,
    /// Likewise, but what came is lost: a connection that lost something is reset when healed.
    Lost,
    /// Later by so much, and by a drawn part of the spread; in order.
    Late {
        by: Duration,
        spread: Duration,
    },
    Throttled {
        bytes_per_s: u64,
    },
    /// Every connection of the link is reset on both sides, new ones as they come. Healed at once, those that stood
    /// are reset all the same.
    Reset,
    /// Its connections are dead towards the direction's end, which sees them reset; its beginning hears of it when
    /// healed.
    HalfOpen,
    /// New connections in this direction are refused; those that stand go on.
    Refused,
    /// Of whole messages these parts are dropped, sent twice, sent after a later one. Bytes pass.
    Unruly {
        drop: f64,
        twice: f64,
        after: f64,
    },
}

impl Fault {
    /// What comes may have been sent a while before: for how long at most, where that is known.
    fn holds(self) -> Option<Option<Duration>> {
        match self {
            Fault::Held | Fault::Lost | Fault::Throttled { .. } => Some(None),
            Fault::Late { by, spread } => Some(Some(by + spread)),
            _ => None,
        }
    }

    pub(crate) fn loses(self) -> bool {
        matches!(self, Fault::Lost | Fault::HalfOpen)
    }
}

type Pair = (String, String);

#[derive(Default)]
struct Table {
    faults: HashMap<Pair, Fault>,
    /// How often each was set to be reset.
    resets: HashMap<Pair, u64>,
    ports: HashMap<Pair, Vec<Weak<Port>>>,
}

#[derive(Clone, Default)]
pub struct Links {
    table: Arc<Mutex<Table>>,
    changed: Arc<Event>,
    log: Option<Log>,
}

impl Links {
    pub fn new(log: Option<Log>) -> Self {
        Links {
            log,
            ..Links::default()
        }
    }

    /// From now on, whatever stood there before. New connections are refused, or taken, when this returns.
    pub fn set(&self, from: &str, to: &str, fault: Fault) {
        let pair = (from.to_owned(), to.to_owned());
        if let Some(most) = fault.holds() {
            self.tell(from, to, "held", true, most);
        }
        if fault == Fault::HalfOpen {
            // That the other one has hung up is what is not seen.
            self.tell(to, from, "half-open", true, None);
        }
        let before = {
            let mut table = lock(&self.table);
            for port in table
                .ports
                .get(&pair)
                .into_iter()
                .flatten()
                .filter_map(Weak::upgrade)
            {
                port.open(fault != Fault::Refused);
            }
            if fault == Fault::Reset {
                *table.resets.entry(pair.clone()).or_default() += 1;
            }
            table.faults.insert(pair, fault).unwrap_or_default()
        };
        self.changed.notify(usize::MAX);
        if before.holds().is_some() && fault.holds().is_none() {
            self.tell(from, to, "held", false, None);
        }
        if before == Fault::HalfOpen && fault != Fault::HalfOpen {
            self.tell(to, from, "half-open", false, None);
        }
    }

    pub fn both(&self, one: &str, other: &str, fault: Fault) {
        self.set(one, other, fault);
        self.set(other, one, fault);
    }

    /// All links are whole again.
    pub fn heal(&self) {
        let pairs: Vec<Pair> = lock(&self.table).faults.keys().cloned().collect();
        pairs
            .iter()
            .for_each(|(from, to)| self.set(from, to, Fault::Pass));
    }

    fn tell(&self, from: &str, to: &str, why: &str, on: bool, most: Option<Duration>) {
        if let Some(log) = &self.log {
            let most = most.map(|m| m.as_micros() as u64);
            log.write(
                "link",
                json!({"from": from, "to": to, "why": why, "on": on, "most_us": most}),
            );
        }
    }

    pub(crate) fn way(&self, from: &str, to: &str) -> Way {
        Way {
            links: self.clone(),
            pair: (from.to_owned(), to.to_owned()),
        }
    }

    /// Its new connections follow what is set for the direction.
    pub(crate) fn register(&self, from: &str, to: &str, port: &Arc<Port>) {
        let pair = (from.to_owned(), to.to_owned());
        let mut table = lock(&self.table);
        port.open(table.faults.get(&pair) != Some(&Fault::Refused));
        table
            .ports
            .entry(pair)
            .or_default()
            .push(Arc::downgrade(port));
    }
}

/// One direction of one link.
#[derive(Clone)]
pub(crate) struct Way {
    links: Links,
    pair: Pair,
}

impl Way {
    pub fn fault(&self) -> Fault {
        lock(&self.links.table)
            .faults
            .get(&self.pair)
            .copied()
            .unwrap_or_default()
    }

    pub fn resets(&self) -> u64 {
        lock(&self.links.table)
            .resets
            .get(&self.pair)
            .copied()
            .unwrap_or_default()
    }

    /// To be taken before the fault is looked at, so that no change is missed.
    pub fn change(&self) -> EventListener {
        self.links.changed.listen()
    }

    /// Waits while it is held; false if what passes here is lost instead.
    pub async fn lets(&self) -> bool {
        loop {
            let change = self.change();
            match self.fault() {
                Fault::Held => change.await,
                fault => return !fault.loses(),
            }
        }
    }
}
