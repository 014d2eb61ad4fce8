//! Decides which client connections stay open, and which one is closed when there are too many.
//!
//! Call [`ConnectionLimiter::connected`] for each new connection and report its progress: [`receiving`], [`pending`],
//! [`responding`], [`idle`], [`closing`], [`closed`]. [`ConnectionLimiter::overdue`] returns the connections to close.
//!
//! * The first request of a connection must be complete soon after the client connected, each later one soon after its
//!   first byte. Otherwise hundreds of clients that send nothing, or a byte now and then, would use up all descriptors.
//! * When the table is full, a new connection evicts another one, in this order: connections that have sent nothing for
//!   longer than a request takes to arrive, connections that got their last response a while ago, idle connections, and
//!   connections that are new, sending or reading. In each group the one longest in its state goes first. A connection
//!   that waits for a response, or on which a complete request has arrived, whether the process has read it or not, is
//!   never evicted.
//! * When no connection can be evicted, the new one is rejected. A few rejected connections stay open until the client
//!   has read the rejection: closing a connection with an unread request resets it, and the client loses the response.
//! * After a response, a connection may stay idle a little longer than clients keep theirs open.
//!
//! [`receiving`]: ConnectionLimiter::receiving
//! [`pending`]: ConnectionLimiter::pending
//! [`responding`]: ConnectionLimiter::responding
//! [`idle`]: ConnectionLimiter::idle
//! [`closing`]: ConnectionLimiter::closing
//! [`closed`]: ConnectionLimiter::closed

use std::collections::BTreeMap;

use cedarpulley::interface::Micros;

/// Identifies a client connection. Ids are never reused.
pub type ClientId = u64;

/// Time within which a request must be complete, in microseconds. Clients send a request in one piece, and the protocol
/// requires that a misbehaving client is rejected or closed within 3 s of connecting. A response must be read within
/// the same time, unless the client's own deadline is later.
pub(crate) const REQUEST_TIMEOUT: Micros = 2_000_000;
/// Time after the last response at which a connection is closed, in microseconds. A well-behaved client closes it at
/// once; any other may still be sending input, which is discarded.
const LINGER_TIMEOUT: Micros = 1_500_000;
/// Time, in microseconds, within which a request that was sent right after connecting has arrived, and a client has
/// read its last response: a few round trips, and the pauses of this process.
const EVICTION_GRACE: Micros = 250_000;
/// Time after which an idle connection is closed, in microseconds. Clients close theirs after 4 s; this timeout is for
/// clients that do not.
const IDLE_TIMEOUT: Micros = 5_000_000;
/// Most rejected connections that stay open until their rejection is read. They use reserved descriptors.
pub const MAX_REJECTED: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The client has connected, and the process has read nothing from it yet.
    New,
    /// The last response is written, and the process has read no byte of the next request yet.
    Idle,
    /// A part of a request has arrived.
    Receiving,
    /// A complete request waits for its response.
    Pending,
    /// The response is being written; the client must have read it at `until`.
    Responding { until: Micros },
    /// The last response is written; input is discarded until the client closes the connection.
    Closing,
    /// The client was rejected when it connected; input is discarded until the client closes the connection.
    Rejected,
}

#[derive(Clone, Copy, Debug)]
struct Client {
    state: State,
    /// Time at which the connection entered its state; for the first request, time at which the client connected.
    since: Micros,
}

/// What connections are on which nothing has arrived when no further requests are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewConnections {
    /// The request of a client that has just connected may be on its way, as its connect was dropped before.
    MayRequest,
    /// They are not waited for.
    Unused,
}

/// The decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// The id of the new connection.
    pub id: ClientId,
    /// Whether the new connection gets a rejection and is served no request.
    pub rejected: bool,
    /// The connection that has to be closed at once to free its descriptor, if any.
    pub evicts: Option<ClientId>,
}

/// Groups of connections, in the order in which they are evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// The client has sent nothing for longer than [`EVICTION_GRACE`].
    Silent,
    /// The last response was written more than [`EVICTION_GRACE`] ago.
    Answered,
    /// The connection is between two requests.
    Idle,
    /// The client has just connected, is sending a request, or may still be reading its last response.
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
    /// `max_connections`: most connections open at once, not counting at most [`MAX_REJECTED`] rejected ones.
    pub fn new(max_connections: usize) -> Self {
        ConnectionLimiter {
            max_connections,
            clients: BTreeMap::new(),
            last_id: 0,
            evicted: 0,
            rejected: 0,
        }
    }

    /// Decides on a new connection. `has_request`: whether a complete request has arrived on a connection, read by the
    /// process or not.
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

    /// Whether a new connection would be admitted now. `has_request`: as for [`ConnectionLimiter::connected`].
    pub fn has_capacity(&self, now: Micros, has_request: impl Fn(ClientId) -> bool) -> bool {
        self.count() < self.max_connections || self.eviction_candidate(now, has_request).is_some()
    }

    fn eviction_candidate(
        &self,
        now: Micros,
        has_request: impl Fn(ClientId) -> bool,
    ) -> Option<ClientId> {
        let class = |client: &Client| match client.state {
            State::New if now - client.since > EVICTION_GRACE => Some(EvictionClass::Silent),
            State::Closing if now - client.since > EVICTION_GRACE => Some(EvictionClass::Answered),
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
        // Requests that a client sends after its last response are not served.
        let may_request = |id: &ClientId| {
            self.clients
                .get(id)
                .is_some_and(|client| client.state != State::Closing)
        };
        let awaits_response = |id: &ClientId| may_request(id) && has_request(*id);
        candidates
            .into_iter()
            .map(|(_, _, id)| id)
            .find(|id| !awaits_response(id))
    }

    /// The rejected connection that has been open the longest, if there are [`MAX_REJECTED`] of them.
    fn oldest_rejected(&self) -> Option<ClientId> {
        let mut rejected = self
            .clients
            .iter()
            .filter(|(_, client)| client.state == State::Rejected);
        let oldest = rejected.next().map(|(id, _)| *id);
        oldest.filter(|_| rejected.count() + 1 >= MAX_REJECTED)
    }

    fn set_state(&mut self, id: ClientId, state: State, now: Micros) {
        if let Some(client) = self
            .clients
            .get_mut(&id)
            .filter(|client| client.state != State::Rejected)
        {
            *client = Client { state, since: now };
        }
    }

    /// Records that a part of a request arrived. The time limit for the first request counts from connecting.
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

    /// Records that a complete request arrived.
    pub fn pending(&mut self, now: Micros, id: ClientId) {
        self.set_state(id, State::Pending, now);
    }

    /// Records that the response is being written. `deadline`: the time until which the client waits for it, if known.
    pub fn responding(&mut self, now: Micros, id: ClientId, deadline: Option<Micros>) {
        let earliest = now + REQUEST_TIMEOUT;
        let until = deadline.map_or(earliest, |deadline| deadline.max(earliest));
        self.set_state(id, State::Responding { until }, now);
    }

    /// Records that the response is written and that the connection stays open.
    pub fn idle(&mut self, now: Micros, id: ClientId) {
        self.set_state(id, State::Idle, now);
    }

    /// Records that the last response is written.
    pub fn closing(&mut self, now: Micros, id: ClientId) {
        self.set_state(id, State::Closing, now);
    }

    /// Removes a closed connection from the table.
    pub fn closed(&mut self, id: ClientId) {
        self.clients.remove(&id);
    }

    /// The connections to close now. A connection on which a complete request has arrived is not overdue: the delay is
    /// in this process, which has not read the request yet.
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

    /// The connections on which no request is in progress. They are closed when no further requests are accepted.
    pub fn without_request(
        &self,
        now: Micros,
        expected: NewConnections,
        has_request: impl Fn(ClientId) -> bool,
    ) -> Vec<ClientId> {
        let is_unused = |client: &Client| match client.state {
            State::New if expected == NewConnections::MayRequest => {
                now - client.since > EVICTION_GRACE
            }
            State::New => true,
            state => state == State::Idle,
        };
        self.clients
            .iter()
            .filter(|(_, client)| is_unused(client))
            .map(|(id, _)| *id)
            .filter(|id| !has_request(*id))
            .collect()
    }

    /// Whether any request is partly received or unanswered, or any response is not completely written.
    pub fn has_unfinished(&self) -> bool {
        self.clients.values().any(|client| {
            matches!(
                client.state,
                State::Receiving | State::Pending | State::Responding { .. }
            )
        })
    }

    /// Number of connections in the table, without rejected ones.
    pub fn count(&self) -> usize {
        self.clients.len() - self.count_rejected()
    }

    /// Number of rejected connections that are still open.
    pub fn count_rejected(&self) -> usize {
        self.clients
            .values()
            .filter(|client| client.state == State::Rejected)
            .count()
    }

    /// Number of connections so far that were closed to free a descriptor for another.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Number of connections so far that were rejected.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}
