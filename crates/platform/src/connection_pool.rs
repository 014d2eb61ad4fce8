//! Decides which connection to a worker carries what, when one is opened, and when one is given up. Call
//! [`ConnectionPool::place`] for each exchange, and report what became of it: [`ConnectionPool::opened`],
//! [`ConnectionPool::heard`], [`ConnectionPool::ended`], [`ConnectionPool::broke`], [`ConnectionPool::closed`];
//! [`ConnectionPool::stale`] names those to close now.
//!
//! 1. Each exchange has a connection of its own, as long as descriptors allow: what goes wrong with one answer takes no
//!    other with it. Beyond that the one with the fewest exchanges is shared, up to the streams allowed.
//! 2. The idle connection used last is used next: it is the least likely to have been closed meanwhile.
//! 3. A connection on which an exchange ended without its answer takes nothing more: a late answer cannot be taken for
//!    that of a later attempt with the same id. Besides, when a worker's machine vanishes, its connections stay open and
//!    swallow whatever is sent, while a new one does not come up and so proves that nothing ran.
//! 4. An idle connection is trusted only for as long as idle ones were found alive. Otherwise, where a worker drops idle
//!    ones early and without a word, the next request on one is reset, and may have run for all that is proven.

use std::collections::BTreeMap;

use cedarpulley::interface::{Micros, WorkerIndex};

/// Identifies a connection to a worker; never used again.
pub type ConnectionId = u64;

/// An idle connection is closed from here somewhat before the worker closes it, or a request may cross that.
const IDLE_PART: (Micros, Micros) = (4, 5);
/// A dropped connection answers the first bytes with a reset, one round trip after the use: sooner than most
/// work is done, later than the network takes.
const AT_ONCE: Micros = 8_000;
/// After such a reset, connections are trusted for this part of the time that this one had been idle.
const TRUSTED_PART: Micros = 2;
/// Each answer on a connection that had been idle for half the trusted time or more adds one part in so many.
const TRUST_GROWS: Micros = 32;
/// From less, the trusted time could not grow again.
const LEAST_TRUSTED: Micros = 1_000;

/// Where an exchange goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// On a connection that there is.
    Existing(ConnectionId),
    /// On a new connection, which has this number from now on.
    New(ConnectionId),
    /// Neither may another be opened nor one be shared further.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct Conn {
    worker: WorkerIndex,
    out: usize,
    up: bool,
    /// When something was last sent or ended.
    used: Micros,
    /// For how long it had been idle when it was last used, until something is heard on it.
    idle_before: Option<Micros>,
    /// Since when an answer has been coming that is not whole.
    midway: Option<Micros>,
    /// It is only waited for until all on it has ended.
    retired: bool,
}

/// The table of all connections to workers; times are microseconds of the router's clock.
#[derive(Debug)]
pub struct ConnectionPool {
    most: usize,
    streams: usize,
    idle_kept: Micros,
    half_answer: Micros,
    /// Idle connections are used until they have been so for this long.
    trusted: Micros,
    conns: BTreeMap<ConnectionId, Conn>,
    by_worker: BTreeMap<WorkerIndex, Vec<ConnectionId>>,
    last: ConnectionId,
    /// Exchanges for which there was no place.
    pub full: u64,
}

impl ConnectionPool {
    /// `most`: connections at once to all workers; `streams`: exchanges at once on one; `idle_kept`: for how long workers
    /// keep idle connections; `half_answer`: the rest of an answer that has begun comes within this time.
    pub fn new(most: usize, streams: usize, idle_kept: Micros, half_answer: Micros) -> Self {
        let idle_kept = idle_kept * IDLE_PART.0 / IDLE_PART.1;
        ConnectionPool {
            most,
            streams,
            idle_kept,
            half_answer,
            trusted: idle_kept,
            conns: BTreeMap::new(),
            by_worker: BTreeMap::new(),
            last: 0,
            full: 0,
        }
    }

    /// Where the next exchange with this worker goes; it counts as open there from now on.
    pub fn place(&mut self, now: Micros, worker: WorkerIndex) -> Placement {
        let of = self.by_worker.get(&worker).map_or(&[][..], Vec::as_slice);
        let open = || {
            of.iter()
                .filter_map(|ix| Some((*ix, self.conns.get(ix)?)))
                .filter(|(_, c)| !c.retired)
        };
        let idle = open()
            .filter(|(_, c)| c.up && c.out == 0)
            .max_by_key(|(_, c)| c.used);
        let trusted = idle.filter(|(_, c)| now - c.used <= self.trusted);
        let shared = open()
            .filter(|(_, c)| c.out < self.streams)
            .min_by_key(|(_, c)| c.out);
        let room = self.conns.len() < self.most;
        let Some((ix, _)) = trusted.or(shared.filter(|_| !room)) else {
            if !room {
                self.full += 1;
                return Placement::Full;
            }
            self.last += 1;
            let conn = Conn {
                worker,
                out: 1,
                up: false,
                used: now,
                idle_before: None,
                midway: None,
                retired: false,
            };
            self.conns.insert(self.last, conn);
            self.by_worker.entry(worker).or_default().push(self.last);
            return Placement::New(self.last);
        };
        if let Some(conn) = self.conns.get_mut(&ix) {
            conn.idle_before = (conn.out == 0).then_some(now - conn.used);
            conn.out += 1;
            conn.used = now;
        }
        Placement::Existing(ix)
    }

    /// The connection is up.
    pub fn opened(&mut self, ix: ConnectionId) {
        if let Some(conn) = self.conns.get_mut(&ix) {
            conn.up = true;
        }
    }

    /// Bytes came; `midway`: the answer they belong to is not whole yet.
    pub fn heard(&mut self, now: Micros, ix: ConnectionId, midway: bool) {
        let Some(conn) = self.conns.get_mut(&ix) else {
            return;
        };
        conn.midway = if midway {
            conn.midway.or(Some(now))
        } else {
            None
        };
        if conn
            .idle_before
            .take()
            .is_some_and(|idle| idle >= self.trusted / 2)
        {
            self.trusted = (self.trusted + self.trusted / TRUST_GROWS).min(self.idle_kept);
        }
    }

    /// One exchange has ended; true if the connection is to be closed now. `answered`: by an answer, or nothing of it had
    /// been sent.
    pub fn ended(&mut self, now: Micros, ix: ConnectionId, answered: bool) -> bool {
        let Some(conn) = self.conns.get_mut(&ix) else {
            return false;
        };
        conn.out = conn.out.saturating_sub(1);
        conn.used = now;
        // Its answer may still come, or never; nothing more is entrusted to this connection.
        conn.retired |= !answered;
        conn.retired && conn.out == 0
    }

    /// It ended without being closed from here.
    pub fn broke(&mut self, now: Micros, ix: ConnectionId) {
        if let Some(conn) = self.conns.get(&ix)
            && let Some(idle) = conn
                .idle_before
                .filter(|_| conn.out > 0 && now - conn.used <= AT_ONCE)
        {
            self.trusted = self.trusted.min(idle / TRUSTED_PART).max(LEAST_TRUSTED);
        }
        self.closed(ix);
    }

    /// It is closed, and no longer counts.
    pub fn closed(&mut self, ix: ConnectionId) {
        if let Some(conn) = self.conns.remove(&ix)
            && let Some(of) = self.by_worker.get_mut(&conn.worker)
        {
            of.retain(|c| *c != ix);
            if of.is_empty() {
                self.by_worker.remove(&conn.worker);
            }
        }
    }

    /// Nothing new goes to this worker at its present address: its connections close as they fall idle. Those that have
    /// not come up yet are returned, to be closed at once: the address may belong to another worker by then.
    pub fn retire(&mut self, worker: WorkerIndex) -> Vec<ConnectionId> {
        let mut connecting = Vec::new();
        for ix in self.by_worker.get(&worker).map_or(&[][..], Vec::as_slice) {
            if let Some(conn) = self.conns.get_mut(ix) {
                conn.retired = true;
                connecting.extend((!conn.up).then_some(*ix));
            }
        }
        connecting
    }

    /// Nothing more may be sent on this connection.
    pub fn is_retired(&self, ix: ConnectionId) -> bool {
        self.conns.get(&ix).is_none_or(|conn| conn.retired)
    }

    /// Connections to be closed now: idle for too long or retired, or stuck in the middle of an answer.
    pub fn stale(&self, now: Micros) -> Vec<ConnectionId> {
        let stale = |c: &Conn| {
            let idle = c.up && c.out == 0 && (c.retired || now - c.used > self.trusted);
            idle || c.midway.is_some_and(|since| now - since > self.half_answer)
        };
        self.conns
            .iter()
            .filter(|(_, c)| stale(c))
            .map(|(ix, _)| *ix)
            .collect()
    }

    /// Connections there are.
    pub fn count(&self) -> usize {
        self.conns.len()
    }
}
