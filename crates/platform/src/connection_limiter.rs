//! Decides which client connections are kept, and which one is closed when there are too many.
//!
//! Call [`ConnectionLimiter::connected`] for each new connection and report what it does: [`receiving`], [`pending`],
//! [`responding`], [`idle`], [`closing`], [`closed`]. [`ConnectionLimiter::overdue`] names those whose time is over.
//!
//! * A connection must have sent a whole request soon after it came, each later one soon after its first byte.
//!   Otherwise hundreds that connect and send nothing, or a byte now and then, would use up all descriptors.
//! * With the table full one is evicted: those that should have sent their request by now and have not, then those that
//!   have had their last answer for a while, then the one idle for longest, then whoever is still sending. A
//!   connection that is owed an answer, or of which a whole request has arrived, read or not, is never evicted.
//! * When nobody can be evicted the new one is refused. A few refused ones are kept open until the client has read the
//!   refusal: closing with its request unread would reset the connection and destroy the answer.
//! * A connection that has had its answer may stay idle for as long as clients keep theirs.
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

/// A client sends its request in one go, and the protocol's worst client must have its refusal or close 3 s after
/// connecting. An answer without a deadline of its own may take as long to be read.
const REQUEST_WITHIN: Micros = 2_000_000;
/// A client that has had its last answer closes at once, or is still sending what nobody wants.
const LINGERS: Micros = 1_500_000;
/// A request that was sent together with the connection has come by then: some round trips, and the pauses of this
/// process. A client that has had its last answer has read it by then.
const EXPECTED_BY: Micros = 250_000;
/// Clients close what has been idle for 4 s; those that never do are closed a little later.
const IDLE_KEPT: Micros = 5_000_000;
/// Refused connections that are kept open until their refusal is read: a part of the reserved descriptors.
pub const MOST_REFUSED: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Has sent nothing yet.
    New,
    /// Between two requests.
    Idle,
    /// A part of a request has come.
    Receiving,
    /// Is owed an answer.
    Pending,
    /// Its answer is being written, and may be until then.
    Responding { until: Micros },
    /// Its last answer is written; it is only read until it closes.
    Closing,
    /// Was refused as it came, and is only read until it closes.
    Refused,
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
    /// It gets a refusal and nothing else.
    pub refused: bool,
    /// This one has to be closed at once to make room.
    pub evicts: Option<ClientId>,
}

/// The table of all client connections; times are microseconds of the router's clock.
#[derive(Debug)]
pub struct ConnectionLimiter {
    most: usize,
    clients: BTreeMap<ClientId, Client>,
    last_id: ClientId,
    evicted: u64,
    refused: u64,
}

impl ConnectionLimiter {
    /// `most`: connections at once, beside at most [`MOST_REFUSED`] refused ones.
    pub fn new(most: usize) -> Self {
        ConnectionLimiter {
            most,
            clients: BTreeMap::new(),
            last_id: 0,
            evicted: 0,
            refused: 0,
        }
    }

    /// A new connection. `has_request`: whether a whole request of this client has arrived, read so far or not.
    pub fn connected(&mut self, now: Micros, has_request: impl Fn(ClientId) -> bool) -> Admission {
        let full = self.count() >= self.most;
        let evicts = if full {
            self.eviction(now, has_request)
        } else {
            None
        };
        let refused = full && evicts.is_none();
        let evicts = if refused {
            self.oldest_refused()
        } else {
            evicts
        };
        if let Some(id) = evicts {
            self.clients.remove(&id);
        }
        self.evicted += u64::from(evicts.is_some());
        self.refused += u64::from(refused);
        self.last_id += 1;
        let state = if refused { State::Refused } else { State::New };
        self.clients
            .insert(self.last_id, Client { state, since: now });
        Admission {
            id: self.last_id,
            refused,
            evicts,
        }
    }

    /// Whether a new connection would be admitted now.
    pub fn has_room(&self, now: Micros, has_request: impl Fn(ClientId) -> bool) -> bool {
        self.count() < self.most || self.eviction(now, has_request).is_some()
    }

    fn eviction(&self, now: Micros, has_request: impl Fn(ClientId) -> bool) -> Option<ClientId> {
        let rank = |client: &Client| match client.state {
            State::New if now - client.since > EXPECTED_BY => Some(0),
            State::Closing if now - client.since > EXPECTED_BY => Some(1),
            State::Idle => Some(2),
            State::New | State::Receiving | State::Closing => Some(3),
            State::Pending | State::Responding { .. } | State::Refused => None,
        };
        let ranked = self
            .clients
            .iter()
            .filter_map(|(id, c)| Some((rank(c)?, c.since, *id)));
        let mut candidates: Vec<(u8, Micros, ClientId)> = ranked.collect();
        candidates.sort_unstable();
        // What one sends that has had its last answer is wanted no more.
        let may_ask = |id: &ClientId| {
            self.clients
                .get(id)
                .is_some_and(|c| c.state != State::Closing)
        };
        let is_owed = |id: &ClientId| may_ask(id) && has_request(*id);
        candidates
            .into_iter()
            .map(|(_, _, id)| id)
            .find(|id| !is_owed(id))
    }

    fn oldest_refused(&self) -> Option<ClientId> {
        let mut refused = self
            .clients
            .iter()
            .filter(|(_, c)| c.state == State::Refused);
        let oldest = refused.next().map(|(id, _)| *id);
        oldest.filter(|_| refused.count() + 1 >= MOST_REFUSED)
    }

    fn set(&mut self, id: ClientId, state: State, now: Micros) {
        if let Some(client) = self
            .clients
            .get_mut(&id)
            .filter(|c| c.state != State::Refused)
        {
            *client = Client { state, since: now };
        }
    }

    /// A part of a request came. The first request of a connection counts from the connecting.
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

    /// A whole request came.
    pub fn pending(&mut self, now: Micros, id: ClientId) {
        self.set(id, State::Pending, now);
    }

    /// Its answer is being written; the client waits for it until `deadline`, if it has told one.
    pub fn responding(&mut self, now: Micros, id: ClientId, deadline: Option<Micros>) {
        let least = now + REQUEST_WITHIN;
        let until = deadline.map_or(least, |deadline| deadline.max(least));
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

    /// Connections that are to be closed now. One of which a whole request has arrived is not: this process was too slow to
    /// read it.
    pub fn overdue(&self, now: Micros, has_request: impl Fn(ClientId) -> bool) -> Vec<ClientId> {
        let over = |id: ClientId, client: &Client| match client.state {
            State::New | State::Receiving => {
                now - client.since > REQUEST_WITHIN && !has_request(id)
            }
            State::Idle => now - client.since > IDLE_KEPT && !has_request(id),
            State::Responding { until } => now > until,
            State::Closing | State::Refused => now - client.since > LINGERS,
            State::Pending => false,
        };
        self.clients
            .iter()
            .filter(|(id, client)| over(**id, client))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Connections on which nothing is in progress: closed when no further requests are accepted.
    pub fn without_request(&self, has_request: impl Fn(ClientId) -> bool) -> Vec<ClientId> {
        let free = |client: &Client| matches!(client.state, State::New | State::Idle);
        let ids = self
            .clients
            .iter()
            .filter(|(_, client)| free(client))
            .map(|(id, _)| *id);
        ids.filter(|id| !has_request(*id)).collect()
    }

    /// A request is partly received, unanswered, or its answer not completely written.
    pub fn has_unfinished(&self) -> bool {
        let unfinished = |client: &Client| {
            matches!(
                client.state,
                State::Receiving | State::Pending | State::Responding { .. }
            )
        };
        self.clients.values().any(unfinished)
    }

    /// Connections in the table, without refused ones.
    pub fn count(&self) -> usize {
        self.clients.len() - self.count_refused()
    }

    /// Refused connections that are still open.
    pub fn count_refused(&self) -> usize {
        self.clients
            .values()
            .filter(|client| client.state == State::Refused)
            .count()
    }

    /// Connections that were closed to make room so far.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Connections that were refused so far.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
