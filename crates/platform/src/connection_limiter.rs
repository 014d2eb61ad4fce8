//! Decides which client connections stay open, and which one is closed when there are too many.
//!
//! Call [`ConnectionLimiter::connected`] for each new connection and report its progress: [`receiving`], [`pending`],
//! [`responding`], [`idle`], [`closing`], [`closed`]. [`ConnectionLimiter::overdue`] names those that are to be closed.
//!
//! * The first request of a connection must be complete soon after the client connected, each later one soon after its
//!   first byte. Otherwise hundreds that connect and send nothing, or a byte now and then, would use up all descriptors.
//! * With the table full one is evicted: those that should have sent their request by now and have not, then those that
//!   got their last answer a while ago, then the one idle for longest, then whoever is still sending. A
//!   connection that waits for an answer, or of which a complete request has arrived, read or not, is never evicted.
//! * When nobody can be evicted the new one is rejected. A few rejected ones stay open until the client has read the
//!   rejection: closing with its request unread would reset the connection and destroy the answer.
//! * A connection that has had its answer may stay idle for as long as clients keep theirs open.
//!
//! [`receiving`]: ConnectionLimiter::receiving
//! [`pending`]: ConnectionLimiter::pending
//! [`responding`]: ConnectionLimiter::responding
//! [`idle`]: ConnectionLimiter::idle
//! [`closing`]: ConnectionLimiter::closing
//! [`closed`]: ConnectionLimiter::closed

use std::collections::BTreeMap;

use cedarpulley::interface::Micros;

/// Identifies a client's connection; never used again.
pub type ClientId = u64;

/// A client sends its request in one go, and the protocol's worst client must be rejected or closed within 3 s of
/// connecting. An answer without a deadline of its own may take as long to be read.
const REQUEST_TIMEOUT: Micros = 2_000_000;
/// A client that got its last answer closes at once, or is still sending what nobody reads.
const LINGER_TIMEOUT: Micros = 1_500_000;
/// A request that was sent together with the connection has arrived by then: some round trips, and the pauses of this
/// process. A client that got its last answer has read it by then.
const EVICTABLE_AFTER: Micros = 250_000;
/// Clients close what has been idle for 4 s; those that never do are closed a little later.
const IDLE_TIMEOUT: Micros = 5_000_000;
/// Rejected connections that stay open until their rejection is read: a part of the reserved descriptors.
pub const MAX_REJECTED: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Has sent nothing yet.
    New,
    /// Between two requests.
    Idle,
    /// A part of a request has arrived.
    Receiving,
    /// Waits for an answer.
    Pending,
    /// Its answer is being written, and has until then to be read.
    Responding { until: Micros },
    /// Its last answer is written; input is discarded until the client closes.
    Closing,
    /// Was rejected when it connected; input is discarded until the client closes.
    Rejected,
}

#[derive(Clone, Copy, Debug)]
struct Client {
    state: State,
    since: Micros,
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// The new connection.
    pub id: ClientId,
    /// It gets a rejection and nothing else.
    pub rejected: bool,
    /// This one has to be closed at once to free its descriptor.
    pub evicts: Option<ClientId>,
}

/// The order in which connections are evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// Should have sent its request by now.
    Silent,
    /// Should have read its last answer by now.
    Answered,
    Idle,
    /// Just connected, or still sending or reading.
    Active,
}

/// The table of all client connections; times are microseconds of the router's clock.
#[derive(Debug)]
pub struct ConnectionLimiter {
    max_connections: usize,
    clients: BTreeMap<ClientId, Client>,
    last_id: ClientId,
    evicted: u64,
    rejected: u64,
}

impl ConnectionLimiter {
    /// `max_connections`: open at once, beside at most [`MAX_REJECTED`] rejected ones.
    pub fn new(max_connections: usize) -> Self {
        ConnectionLimiter {
            max_connections,
            clients: BTreeMap::new(),
            last_id: 0,
            evicted: 0,
            rejected: 0,
        }
    }

    /// A client connected. `has_request`: whether a complete request of a client has arrived, read so far or not.
    pub fn connected(&mut self, now: Micros, has_request: impl Fn(ClientId) -> bool) -> Admission {
        let full = self.count() >= self.max_connections;
        let evictable = if full {
            self.eviction_candidate(now, has_request)
        } else {
            None
        };
        let rejected = full && evictable.is_none();
        let evicts = if rejected {
            self.oldest_rejected()
        } else {
            evictable
        };
        if let Some(id) = evicts {
            self.clients.remove(&id);
        }
        self.evicted += u64::from(evicts.is_some());
        self.rejected += u64::from(rejected);
        self.last_id += 1;
        let state = if rejected {
            State::Rejected
        } else {
            State::New
        };
        self.clients
            .insert(self.last_id, Client { state, since: now });
        Admission {
            id: self.last_id,
            rejected,
            evicts,
        }
    }

    /// Whether a new connection would be admitted now.
    pub fn has_capacity(&self, now: Micros, has_request: impl Fn(ClientId) -> bool) -> bool {
        self.count() < self.max_connections || self.eviction_candidate(now, has_request).is_some()
    }

    fn eviction_candidate(
        &self,
        now: Micros,
        has_request: impl Fn(ClientId) -> bool,
    ) -> Option<ClientId> {
        let class = |client: &Client| match client.state {
            State::New if now - client.since > EVICTABLE_AFTER => Some(EvictionClass::Silent),
            State::Closing if now - client.since > EVICTABLE_AFTER => Some(EvictionClass::Answered),
            State::Idle => Some(EvictionClass::Idle),
            State::New | State::Receiving | State::Closing => Some(EvictionClass::Active),
            State::Pending | State::Responding { .. } | State::Rejected => None,
        };
        let mut candidates: Vec<(EvictionClass, Micros, ClientId)> = self
            .clients
            .iter()
            .filter_map(|(id, client)| Some((class(client)?, client.since, *id)))
            .collect();
        candidates.sort_unstable();
        // What a client sends after its last answer is not served.
        let may_request = |id: &ClientId| {
            self.clients
                .get(id)
                .is_some_and(|client| client.state != State::Closing)
        };
        let awaits_answer = |id: &ClientId| may_request(id) && has_request(*id);
        candidates
            .into_iter()
            .map(|(_, _, id)| id)
            .find(|id| !awaits_answer(id))
    }

    /// The rejected connection that has been open for longest, once there are as many as may be.
    fn oldest_rejected(&self) -> Option<ClientId> {
        let mut rejected = self
            .clients
            .iter()
            .filter(|(_, client)| client.state == State::Rejected);
        let oldest = rejected.next().map(|(id, _)| *id);
        oldest.filter(|_| rejected.count() + 1 >= MAX_REJECTED)
    }

    fn set(&mut self, id: ClientId, state: State, now: Micros) {
        if let Some(client) = self
            .clients
            .get_mut(&id)
            .filter(|client| client.state != State::Rejected)
        {
            *client = Client { state, since: now };
        }
    }

    /// A part of a request arrived. The time limit of a connection's first request counts from connecting.
    pub fn receiving(&mut self, now: Micros, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        match client.state {
            State::New => client.state = State::Receiving,
            State::Idle => {
                *client = Client {
                    state: State::Receiving,
                    since: now,
                }
            }
            _ => {}
        }
    }

    /// A complete request arrived.
    pub fn pending(&mut self, now: Micros, id: ClientId) {
        self.set(id, State::Pending, now);
    }

    /// Its answer is being written; the client waits for it until `deadline`, if it has given one.
    pub fn responding(&mut self, now: Micros, id: ClientId, deadline: Option<Micros>) {
        let earliest = now + REQUEST_TIMEOUT;
        let until = deadline.map_or(earliest, |deadline| deadline.max(earliest));
        self.set(id, State::Responding { until }, now);
    }

    /// Its answer is written, and the connection stays open.
    pub fn idle(&mut self, now: Micros, id: ClientId) {
        self.set(id, State::Idle, now);
    }

    /// Its last answer is written.
    pub fn closing(&mut self, now: Micros, id: ClientId) {
        self.set(id, State::Closing, now);
    }

    /// The connection is closed.
    pub fn closed(&mut self, id: ClientId) {
        self.clients.remove(&id);
    }

    /// Connections that are to be closed now. One of which a complete request has arrived is not: it is this process that
    /// has not read it in time.
    pub fn overdue(&self, now: Micros, has_request: impl Fn(ClientId) -> bool) -> Vec<ClientId> {
        let is_overdue = |id: ClientId, client: &Client| match client.state {
            State::New | State::Receiving => {
                now - client.since > REQUEST_TIMEOUT && !has_request(id)
            }
            State::Idle => now - client.since > IDLE_TIMEOUT && !has_request(id),
            State::Responding { until } => now > until,
            State::Closing | State::Rejected => now - client.since > LINGER_TIMEOUT,
            State::Pending => false,
        };
        self.clients
            .iter()
            .filter(|(id, client)| is_overdue(**id, client))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Connections on which nothing is in progress: closed when no further requests are accepted.
    pub fn without_request(&self, has_request: impl Fn(ClientId) -> bool) -> Vec<ClientId> {
        self.clients
            .iter()
            .filter(|(_, client)| matches!(client.state, State::New | State::Idle))
            .map(|(id, _)| *id)
            .filter(|id| !has_request(*id))
            .collect()
    }

    /// Whether a request is partly received, unanswered, or its answer not completely written.
    pub fn has_unfinished(&self) -> bool {
        self.clients.values().any(|client| {
            matches!(
                client.state,
                State::Receiving | State::Pending | State::Responding { .. }
            )
        })
    }

    /// Connections in the table, without rejected ones.
    pub fn count(&self) -> usize {
        self.clients.len() - self.count_rejected()
    }

    /// Rejected connections that are still open.
    pub fn count_rejected(&self) -> usize {
        self.clients
            .values()
            .filter(|client| client.state == State::Rejected)
            .count()
    }

    /// Connections that were closed to make room for another so far.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Connections that were rejected so far.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}
