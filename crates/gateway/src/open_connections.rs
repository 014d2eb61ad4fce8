//! [`OpenConnections`]: the open connections of a listener, and which of them is closed when there are too many.
//!
//! The rule that this type keeps: no client keeps others out by connections on which no request has arrived completely,
//! however many it opens. At the limit a new connection takes the place of another one: of those of the address that has
//! most, first one on which no request has arrived for longer than [`ARRIVAL_TIME`], then one between two requests, then one
//! whose request has arrived only in part for longer than that, and of these the one that has been so for longest. A
//! connection with a complete request in progress is never closed for another one; if all have one, the new connection is
//! closed.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;

use cedarpulley::interface::Micros;
use cedarpulley_net::Notifier;

use crate::client_connection::ClientConnection;

/// Time, in microseconds, within which the first request of a client has arrived, and the rest of a request: a few round
/// trips, those of a TLS handshake among them.
const ARRIVAL_TIME: Micros = 250_000;

/// Identifies a connection; numbers are never reused.
pub(crate) type ConnectionNumber = u64;

/// The open connections of a listener.
pub(crate) struct OpenConnections {
    max_connections: usize,
    open: RefCell<HashMap<ConnectionNumber, OpenConnection>>,
    /// Number of connections of each address.
    by_address: RefCell<HashMap<IpAddr, usize>>,
    last_number: Cell<ConnectionNumber>,
    evicted: Cell<u64>,
    refused: Cell<u64>,
}

/// A connection that is open.
struct OpenConnection {
    address: IpAddr,
    client: Rc<ClientConnection>,
    signals: ConnectionSignals,
}

/// What the listener tells the task of a connection.
#[derive(Clone, Default)]
pub(crate) struct ConnectionSignals {
    /// Notified when the connection has to accept no further request and to complete the open ones.
    pub stop: Notifier,
    /// Notified when the connection has to be closed at once.
    pub evict: Notifier,
}

/// What happens to a new connection.
pub(crate) enum Admission {
    /// There is room for it.
    Open(ConnectionNumber, ConnectionSignals),
    /// It takes the place of another connection, which has yet to be closed by its task.
    InPlaceOfAnother(ConnectionNumber, ConnectionSignals),
    /// It has to be closed.
    Refused,
}

/// Groups of connections, in the order in which they are closed for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// No complete request has arrived for longer than [`ARRIVAL_TIME`].
    Silent,
    /// The connection is between two requests, or new.
    Idle,
    /// A part of a request has arrived, and the rest has not for longer than [`ARRIVAL_TIME`].
    Receiving,
}

impl OpenConnections {
    /// A table without connections. `max_connections`: most connections at once.
    pub fn new(max_connections: usize) -> Self {
        OpenConnections {
            max_connections,
            open: RefCell::default(),
            by_address: RefCell::default(),
            last_number: Cell::new(0),
            evicted: Cell::new(0),
            refused: Cell::new(0),
        }
    }

    /// Decides on a new connection from an address. `now`: in microseconds.
    pub fn connected(
        &self,
        now: Micros,
        address: IpAddr,
        client: Rc<ClientConnection>,
    ) -> Admission {
        let is_full = self.open.borrow().len() >= self.max_connections;
        if is_full && !self.evict_one(now) {
            self.refused.set(self.refused.get() + 1);
            return Admission::Refused;
        }
        let (number, signals) = self.add(address, client);
        match is_full {
            true => Admission::InPlaceOfAnother(number, signals),
            false => Admission::Open(number, signals),
        }
    }

    fn add(
        &self,
        address: IpAddr,
        client: Rc<ClientConnection>,
    ) -> (ConnectionNumber, ConnectionSignals) {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let signals = ConnectionSignals::default();
        let connection = OpenConnection {
            address,
            client,
            signals: signals.clone(),
        };
        self.open.borrow_mut().insert(number, connection);
        *self.by_address.borrow_mut().entry(address).or_default() += 1;
        (number, signals)
    }

    /// Closes a connection to make room; returns false if all have a request in progress.
    fn evict_one(&self, now: Micros) -> bool {
        let Some((number, class)) = self.eviction_candidate(now) else {
            return false;
        };
        let Some(evicted) = self.remove(number) else {
            return false;
        };
        evicted.signals.evict.notify();
        self.evicted.set(self.evicted.get() + 1);
        let address = evicted.address;
        tracing::debug!(connection = number, %address, ?class, "client connection evicted");
        true
    }

    fn eviction_candidate(&self, now: Micros) -> Option<(ConnectionNumber, EvictionClass)> {
        let (open, by_address) = (self.open.borrow(), self.by_address.borrow());
        let candidates = open.iter().filter_map(|(number, connection)| {
            let class = eviction_class(now, &connection.client)?;
            let of_address = by_address.get(&connection.address).copied();
            let last_progress = connection.client.last_progress();
            Some((Reverse(of_address), class, last_progress, *number))
        });
        candidates
            .min()
            .map(|(_, class, _, number)| (number, class))
    }

    /// Removes a connection that has ended.
    pub fn ended(&self, number: ConnectionNumber) {
        self.remove(number);
    }

    fn remove(&self, number: ConnectionNumber) -> Option<OpenConnection> {
        let removed = self.open.borrow_mut().remove(&number)?;
        let mut by_address = self.by_address.borrow_mut();
        if let Some(count) = by_address.get_mut(&removed.address) {
            *count -= 1;
            if *count == 0 {
                by_address.remove(&removed.address);
            }
        }
        Some(removed)
    }

    /// Tells all connections to accept no further request and to complete the open ones.
    pub fn stop(&self) {
        let open = self.open.borrow();
        open.values()
            .for_each(|connection| connection.signals.stop.notify());
    }

    /// The numbers of connections that were closed to make room for others, and at once as there was no room.
    pub fn closed_counts(&self) -> (u64, u64) {
        (self.evicted.get(), self.refused.get())
    }
}

/// The group of a connection; `None` if it must stay open.
fn eviction_class(now: Micros, client: &ClientConnection) -> Option<EvictionClass> {
    let is_slow = now - client.last_progress() > ARRIVAL_TIME;
    if client.is_serving() || client.is_receiving() && !is_slow {
        None
    } else if client.is_receiving() {
        Some(EvictionClass::Receiving)
    } else if is_slow && !client.has_sent_request() {
        Some(EvictionClass::Silent)
    } else {
        Some(EvictionClass::Idle)
    }
}
