//! Decides which connection to a worker carries an exchange, when a connection is opened, and when it is closed. Call
//! [`ConnectionPool::place`] for each exchange, and report its progress: [`ConnectionPool::connected`],
//! [`ConnectionPool::received`], [`ConnectionPool::exchange_ended`], [`ConnectionPool::lost`],
//! [`ConnectionPool::closed`]. [`ConnectionPool::due_for_close`] returns the connections to close now.
//!
//! 1. Each exchange has its own connection while the connection limit allows it, so that a malformed answer affects no
//!    other exchange. At the limit, the connection with the fewest exchanges is shared, up to the configured number of
//!    streams.
//! 2. The most recently used idle connection is reused first: it is the least likely to have been closed meanwhile.
//! 3. A connection on which an exchange ended without its answer takes no further exchange. Otherwise a late answer
//!    could be attributed to a later attempt with the same id. Also, when the machine of a worker vanishes, its
//!    connections stay open and lose everything that is sent, while a new connection is not established, which proves
//!    that nothing ran.
//! 4. An idle connection is reused only after idle times for which connections were found alive ([`idle_reuse`]). If a
//!    worker drops idle connections early without closing them, the next request on one is reset, and nothing proves
//!    that the request did not run.
//! 5. At the limit, an exchange with a worker without connections gets the place of the connection, to any worker, that
//!    has been idle for longest.
//! 6. After the process had no descriptor left for a connection, none is opened for a short time: exchanges share open
//!    connections, or wait.

mod idle_reuse;

use std::collections::BTreeMap;

use cedarpulley::interface::{Micros, WorkerIndex};

use idle_reuse::IdleReuseLimit;

/// Time for which no connection is opened after the process had no descriptor left for one, in microseconds.
const OPEN_PAUSE: Micros = 10_000;

/// Identifies a connection to a worker. Ids are never reused.
pub type ConnectionId = u64;

/// The connection that carries an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// This connection, which is open or being established.
    Existing(ConnectionId),
    /// A new connection with this id, which the caller has to establish.
    New(ConnectionId),
    /// A new connection in place of an idle one to another worker, as no further connection may be opened. The caller
    /// has to close the idle one, which is no longer in the table, and then establish the new one.
    Replacement {
        /// The connection to close.
        evicted: ConnectionId,
        /// The connection to establish.
        id: ConnectionId,
    },
    /// No connection: no further connection may be opened, and no existing one has a free stream or is idle.
    Exhausted,
}

/// Whether the worker may still answer an exchange that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateAnswer {
    /// The worker has answered, sends no answer to this kind of message, or was sent nothing.
    Impossible,
    /// The worker may still answer at any time.
    Possible,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    worker: WorkerIndex,
    /// Number of exchanges in flight.
    in_flight: usize,
    established: bool,
    /// Time at which an exchange last began or ended.
    last_used: Micros,
    /// Time for which the connection had been idle before its current use; `None` if it was not idle, or once bytes
    /// have arrived since.
    idle_before: Option<Micros>,
    /// Time since which the last answer has been incomplete; `None` if no answer is partly received.
    partial_since: Option<Micros>,
    /// The connection takes no further exchange, and is closed when all exchanges on it have ended.
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
    idle_reuse_limit: IdleReuseLimit,
    connections: BTreeMap<ConnectionId, Connection>,
    by_worker: BTreeMap<WorkerIndex, Vec<ConnectionId>>,
    last_id: ConnectionId,
    exhausted: u64,
    /// The earliest time at which a connection is opened.
    no_open_before: Micros,
}

impl ConnectionPool {
    /// `max_connections`: most connections open at once, to all workers together. `max_streams`: most concurrent
    /// exchanges on one connection. `keepalive`: time after which workers close idle connections. `answer_timeout`:
    /// time within which an answer must be complete after its first bytes. Both times are in microseconds.
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
            idle_reuse_limit: IdleReuseLimit::new(keepalive),
            connections: BTreeMap::new(),
            by_worker: BTreeMap::new(),
            last_id: 0,
            exhausted: 0,
            no_open_before: Micros::MIN,
        }
    }

    /// Chooses the connection for the next exchange with this worker. The exchange counts as in flight from now on.
    pub fn place(&mut self, now: Micros, worker: WorkerIndex) -> Placement {
        let can_open = self.connections.len() < self.max_connections && now >= self.no_open_before;
        let reused = self
            .reusable_idle(now, worker)
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
            None => self.replace_idle(now, worker),
        }
    }

    /// Opens a connection in place of the one that has been idle for longest.
    fn replace_idle(&mut self, now: Micros, worker: WorkerIndex) -> Placement {
        let idle = self.connections.iter().filter(|(_, c)| c.is_idle());
        let Some(evicted) = idle.min_by_key(|(_, c)| c.last_used).map(|(id, _)| *id) else {
            self.exhausted += 1;
            return Placement::Exhausted;
        };
        self.closed(evicted);
        Placement::Replacement {
            evicted,
            id: self.open(now, worker),
        }
    }

    /// The connections of this worker that are not retired, in ascending order of their ids.
    fn usable(&self, worker: WorkerIndex) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        self.ids_of(worker)
            .iter()
            .filter_map(|id| Some((*id, self.connections.get(id)?)))
            .filter(|(_, connection)| !connection.retired)
    }

    fn ids_of(&self, worker: WorkerIndex) -> &[ConnectionId] {
        self.by_worker.get(&worker).map_or(&[][..], Vec::as_slice)
    }

    /// The most recently used idle connection, if it has not been idle for longer than the reuse limit.
    fn reusable_idle(&self, now: Micros, worker: WorkerIndex) -> Option<ConnectionId> {
        self.usable(worker)
            .filter(|(_, connection)| connection.is_idle())
            .max_by_key(|(_, connection)| connection.last_used)
            .filter(|(_, connection)| self.idle_reuse_limit.allows(now - connection.last_used))
            .map(|(id, _)| id)
    }

    /// The connection with the fewest exchanges in flight, if it has a free stream.
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

    /// Records that the process had no descriptor left for a connection.
    pub fn out_of_descriptors(&mut self, now: Micros) {
        self.no_open_before = now + OPEN_PAUSE;
    }

    /// Records that the connection is established.
    pub fn connected(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.established = true;
        }
    }

    /// Records that bytes arrived. `partial`: the last of them belong to an answer that is not complete yet.
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
            self.idle_reuse_limit.found_alive(idle);
        }
    }

    /// Records the end of an exchange; returns true if the connection has to be closed now.
    pub fn exchange_ended(&mut self, now: Micros, id: ConnectionId, late: LateAnswer) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        connection.in_flight = connection.in_flight.saturating_sub(1);
        connection.last_used = now;
        connection.retired |= late == LateAnswer::Possible;
        connection.retired && connection.in_flight == 0
    }

    /// Records that the connection ended without being closed by this router, and removes it from the table.
    pub fn lost(&mut self, now: Micros, id: ConnectionId) {
        if let Some(connection) = self.connections.get(&id)
            && connection.in_flight > 0
            && let Some(idle) = connection.idle_before
        {
            self.idle_reuse_limit.lost(idle, now - connection.last_used);
        }
        self.closed(id);
    }

    /// Removes a closed connection from the table.
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

    /// Retires all connections to this worker because its address is no longer valid: they take no further exchange and
    /// are closed once they are idle. Returns the connections that are not established yet. They have to be closed at
    /// once: the address may belong to another worker by the time that they are established.
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

    /// Whether the connection takes no further exchange, because it is retired or no longer in the table.
    pub fn is_retired(&self, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_none_or(|connection| connection.retired)
    }

    /// The connections to close now: retired and idle ones, those that have been idle for too long, and those on which
    /// an answer has been incomplete for too long.
    pub fn due_for_close(&self, now: Micros) -> Vec<ConnectionId> {
        let is_due = |connection: &Connection| {
            let unused = connection.is_idle()
                && (connection.retired
                    || !self.idle_reuse_limit.allows(now - connection.last_used));
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

    /// Number of connections in the table, established or not.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Number of exchanges so far for which no connection was available.
    pub fn exhausted(&self) -> u64 {
        self.exhausted
    }
}
