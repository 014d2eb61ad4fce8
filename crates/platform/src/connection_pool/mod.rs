//! Decides which connection to a worker carries what, when one is opened, and when one is closed. Call
//! [`ConnectionPool::place`] for each exchange, and report what became of it: [`ConnectionPool::connected`],
//! [`ConnectionPool::received`], [`ConnectionPool::exchange_ended`], [`ConnectionPool::lost`],
//! [`ConnectionPool::closed`]; [`ConnectionPool::due_for_close`] names those to close now.
//!
//! 1. Each exchange has a connection of its own, as long as descriptors allow: a malformed answer to one affects no
//!    other. Beyond that the connection with the fewest exchanges is shared, up to the streams allowed.
//! 2. The idle connection used last is used next: it is the least likely to have been closed meanwhile.
//! 3. A connection on which an exchange ended without its answer takes no further exchange: a late answer cannot be
//!    taken for that of a later attempt with the same id. Besides, when a worker's machine vanishes, its connections
//!    stay open and lose whatever is sent, while a new one is not established and so proves that nothing ran.
//! 4. An idle connection is reused only for as long as idle ones were found alive ([`idle_trust`]). Otherwise, where a
//!    worker drops idle ones early and without closing them, the next request on one is reset, and nothing proves that
//!    it has not run.

mod idle_trust;

use std::collections::BTreeMap;

use cedarpulley::interface::{Micros, WorkerIndex};

use idle_trust::IdleTrust;

/// Identifies a connection to a worker; never used again.
pub type ConnectionId = u64;

/// Where an exchange goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// On this connection, which is open or being established.
    Existing(ConnectionId),
    /// On a new connection, which has this number from now on and is to be established.
    New(ConnectionId),
    /// Nowhere: no further connection may be opened, and none may be shared further.
    Exhausted,
}

/// Whether the worker may still answer an exchange that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateAnswer {
    /// It has answered, it answers no message of this kind, or it was sent nothing.
    Impossible,
    /// It may answer at any time.
    Possible,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    worker: WorkerIndex,
    /// Exchanges in flight.
    in_flight: usize,
    established: bool,
    /// When an exchange last began or ended.
    last_used: Micros,
    /// For how long it had been idle when it was last used; `None` once bytes have arrived since.
    idle_before: Option<Micros>,
    /// Since when an answer has been received in part.
    partial_since: Option<Micros>,
    /// It takes no further exchange, and closes once all on it have ended.
    retired: bool,
}

impl Connection {
    fn new(worker: WorkerIndex, now: Micros) -> Self {
        Connection {
            worker,
            in_flight: 1,
            established: false,
            last_used: now,
            idle_before: None,
            partial_since: None,
            retired: false,
        }
    }

    fn is_idle(&self) -> bool {
        self.established && self.in_flight == 0
    }
}

/// The table of all connections to workers; times are microseconds of the router's clock.
#[derive(Debug)]
pub struct ConnectionPool {
    max_connections: usize,
    max_streams: usize,
    answer_timeout: Micros,
    idle_trust: IdleTrust,
    connections: BTreeMap<ConnectionId, Connection>,
    by_worker: BTreeMap<WorkerIndex, Vec<ConnectionId>>,
    last_id: ConnectionId,
    exhausted: u64,
}

impl ConnectionPool {
    /// `max_connections`: open at once to all workers; `max_streams`: exchanges at once on one connection; `keepalive`:
    /// for how long workers keep idle connections; `answer_timeout`: within which the rest of an answer arrives once its
    /// first byte has.
    pub fn new(
        max_connections: usize,
        max_streams: usize,
        keepalive: Micros,
        answer_timeout: Micros,
    ) -> Self {
        ConnectionPool {
            max_connections,
            max_streams,
            answer_timeout,
            idle_trust: IdleTrust::new(keepalive),
            connections: BTreeMap::new(),
            by_worker: BTreeMap::new(),
            last_id: 0,
            exhausted: 0,
        }
    }

    /// Where the next exchange with this worker goes; it counts as in flight there from now on.
    pub fn place(&mut self, now: Micros, worker: WorkerIndex) -> Placement {
        let can_open = self.connections.len() < self.max_connections;
        let reused = self
            .trusted_idle(now, worker)
            .or_else(|| self.least_shared(worker).filter(|_| !can_open));
        match reused {
            Some(id) => {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.idle_before =
                        (connection.in_flight == 0).then_some(now - connection.last_used);
                    connection.in_flight += 1;
                    connection.last_used = now;
                }
                Placement::Existing(id)
            }
            None if can_open => Placement::New(self.open(now, worker)),
            None => {
                self.exhausted += 1;
                Placement::Exhausted
            }
        }
    }

    /// This worker's connections that may take another exchange, by rising id.
    fn usable(&self, worker: WorkerIndex) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        self.ids_of(worker)
            .iter()
            .filter_map(|id| Some((*id, self.connections.get(id)?)))
            .filter(|(_, connection)| !connection.retired)
    }

    fn ids_of(&self, worker: WorkerIndex) -> &[ConnectionId] {
        self.by_worker.get(&worker).map_or(&[][..], Vec::as_slice)
    }

    /// The idle connection used last, if it is trusted to be alive.
    fn trusted_idle(&self, now: Micros, worker: WorkerIndex) -> Option<ConnectionId> {
        self.usable(worker)
            .filter(|(_, connection)| connection.is_idle())
            .max_by_key(|(_, connection)| connection.last_used)
            .filter(|(_, connection)| self.idle_trust.allows(now - connection.last_used))
            .map(|(id, _)| id)
    }

    /// The connection with the fewest exchanges in flight that has a stream left.
    fn least_shared(&self, worker: WorkerIndex) -> Option<ConnectionId> {
        self.usable(worker)
            .filter(|(_, connection)| connection.in_flight < self.max_streams)
            .min_by_key(|(_, connection)| connection.in_flight)
            .map(|(id, _)| id)
    }

    fn open(&mut self, now: Micros, worker: WorkerIndex) -> ConnectionId {
        self.last_id += 1;
        self.connections
            .insert(self.last_id, Connection::new(worker, now));
        self.by_worker.entry(worker).or_default().push(self.last_id);
        self.last_id
    }

    /// The connection is established.
    pub fn connected(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.established = true;
        }
    }

    /// Bytes arrived. `partial`: the last of them belong to an answer that is not complete yet.
    pub fn received(&mut self, now: Micros, id: ConnectionId, partial: bool) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.partial_since = if partial {
            connection.partial_since.or(Some(now))
        } else {
            None
        };
        if let Some(idle) = connection.idle_before.take() {
            self.idle_trust.found_alive(idle);
        }
    }

    /// One exchange has ended; true if the connection is to be closed now.
    pub fn exchange_ended(&mut self, now: Micros, id: ConnectionId, late: LateAnswer) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        connection.in_flight = connection.in_flight.saturating_sub(1);
        connection.last_used = now;
        connection.retired |= late == LateAnswer::Possible;
        connection.retired && connection.in_flight == 0
    }

    /// The connection ended without being closed from here.
    pub fn lost(&mut self, now: Micros, id: ConnectionId) {
        if let Some(connection) = self.connections.get(&id)
            && connection.in_flight > 0
            && let Some(idle) = connection.idle_before
        {
            self.idle_trust.lost(idle, now - connection.last_used);
        }
        self.closed(id);
    }

    /// The connection is closed, and no longer counts.
    pub fn closed(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id)
            && let Some(ids) = self.by_worker.get_mut(&connection.worker)
        {
            ids.retain(|other| *other != id);
            if ids.is_empty() {
                self.by_worker.remove(&connection.worker);
            }
        }
    }

    /// Nothing new goes to this worker at its present address: its connections close once they are idle. Those that are
    /// not established yet are returned, to be closed at once: the address may belong to another worker by then.
    pub fn retire(&mut self, worker: WorkerIndex) -> Vec<ConnectionId> {
        let mut connecting = Vec::new();
        for id in self.by_worker.get(&worker).into_iter().flatten() {
            if let Some(connection) = self.connections.get_mut(id) {
                connection.retired = true;
                if !connection.established {
                    connecting.push(*id);
                }
            }
        }
        connecting
    }

    /// Whether nothing more may be sent on this connection.
    pub fn is_retired(&self, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_none_or(|connection| connection.retired)
    }

    /// Connections to be closed now: retired and idle, idle for too long, or with an answer that stopped half-way.
    pub fn due_for_close(&self, now: Micros) -> Vec<ConnectionId> {
        let is_due = |connection: &Connection| {
            let unused = connection.is_idle()
                && (connection.retired || !self.idle_trust.allows(now - connection.last_used));
            let stopped = connection
                .partial_since
                .is_some_and(|since| now - since > self.answer_timeout);
            unused || stopped
        };
        self.connections
            .iter()
            .filter(|(_, connection)| is_due(connection))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Connections in the table, established or not.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Exchanges that could not be placed so far.
    pub fn exhausted(&self) -> u64 {
        self.exhausted
    }
}
