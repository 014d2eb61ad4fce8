//! [`RequestIds`]: what the id of a request proves, and for how long.
//!
//! An id names one request: clients use a new one for each request, also for a retry. The rule that this type keeps:
//!
//! 1. While a request is open, no other request with its id is accepted.
//! 2. Once an attempt of a request may have run, no request with its id is accepted for [`RETENTION`], whether the request
//!    was answered or its client has left: it might run a second time.
//! 3. A request that was rejected, or of which no attempt was sent, proves nothing: it may come again at once.
//! 4. The ids take limited memory. When they fill it, the oldest is forgotten, but none before its client has certainly
//!    stopped to wait; until then, no further request is accepted.
//! 5. While several addresses have recent ids, none of them fills that memory for the others: once half of it is taken by ids whose clients may still wait, no further
//!    request is accepted from an address that has its equal part of it.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::IpAddr;

use cedarpulley::interface::Micros;

/// Time for which the id of a request that may have run is not accepted again, in microseconds.
pub const RETENTION: Micros = 60_000_000;
/// Memory of one retained id in both tables, in bytes; they grow by doubling.
const ENTRY_BYTES: usize = 64;
/// Part of the memory from which on each address is limited to its equal part.
const SCARCE_DIVISOR: usize = 2;

/// The id of a request: 16 hex digits, as a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId(u64);

impl RequestId {
    /// The id with these digits; `None` if they are not hex digits or too many.
    pub fn from_hex(digits: &str) -> Option<Self> {
        u64::from_str_radix(digits, 16).ok().map(RequestId)
    }
}

/// Whether a request with an id may be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdStatus {
    /// Nothing with this id is open or may have run.
    Unused,
    /// A request with this id is open.
    Open,
    /// A request with this id has ended, and may have run.
    MayHaveRun,
    /// There is no memory for a further id.
    NoMemory,
}

/// The ids of open requests, and of those that may have run; times are microseconds of the router's clock.
#[derive(Debug)]
pub struct RequestIds {
    max_retained: usize,
    /// The shortest time for which an id is retained.
    min_retention: Micros,
    open: HashSet<RequestId>,
    may_have_run: HashSet<RequestId>,
    /// The ids in `may_have_run` whose clients may still wait, in the order in which their requests ended.
    recent: VecDeque<RecentId>,
    /// Number of the recent ids from each address.
    recent_by_address: HashMap<IpAddr, usize>,
    /// The other ids in `may_have_run`, with the times at which their requests ended, in ascending order.
    older: VecDeque<(Micros, RequestId)>,
}

/// The id of a request that may have run, and whose client may still wait.
#[derive(Clone, Copy, Debug)]
struct RecentId {
    ended: Micros,
    id: RequestId,
    address: IpAddr,
}

impl RequestIds {
    /// `max_bytes`: most memory for ids that are retained. `longest_wait`: the longest time for which a client waits, in
    /// microseconds.
    pub fn new(max_bytes: usize, longest_wait: Micros) -> Self {
        RequestIds {
            max_retained: (max_bytes / ENTRY_BYTES).max(1),
            min_retention: longest_wait.min(RETENTION),
            open: HashSet::new(),
            may_have_run: HashSet::new(),
            recent: VecDeque::new(),
            recent_by_address: HashMap::new(),
            older: VecDeque::new(),
        }
    }

    /// Whether a request with this id from this address may be accepted now.
    pub fn status(&mut self, now: Micros, address: IpAddr, id: RequestId) -> IdStatus {
        self.age(now);
        if self.open.contains(&id) {
            return IdStatus::Open;
        }
        if self.may_have_run.contains(&id) {
            return IdStatus::MayHaveRun;
        }
        if self.is_full_for(address) {
            return IdStatus::NoMemory;
        }
        while self.open.len() + self.retained() >= self.max_retained {
            self.forget_oldest();
        }
        IdStatus::Unused
    }

    /// Records that a request with this id is open.
    pub fn opened(&mut self, id: RequestId) {
        self.open.insert(id);
    }

    /// Records that the request with this id, which came from this address, has ended. `may_have_run`: whether it may have
    /// run and was not rejected.
    pub fn ended(&mut self, now: Micros, address: IpAddr, id: RequestId, may_have_run: bool) {
        self.open.remove(&id);
        if may_have_run && self.may_have_run.insert(id) {
            *self.recent_by_address.entry(address).or_default() += 1;
            self.recent.push_back(RecentId {
                ended: now,
                id,
                address,
            });
        }
    }

    /// Number of retained ids.
    pub fn retained(&self) -> usize {
        self.recent.len() + self.older.len()
    }

    /// Memory of the retained ids, in bytes.
    pub fn memory(&self) -> usize {
        self.retained() * ENTRY_BYTES
    }

    /// Whether the ids that may not be forgotten leave no room for a further one from this address.
    fn is_full_for(&self, address: IpAddr) -> bool {
        let taken = self.open.len() + self.recent.len();
        let is_scarce = taken >= self.max_retained.div_ceil(SCARCE_DIVISOR);
        taken >= self.max_retained || is_scarce && self.has_equal_part(address)
    }

    /// Whether an address has as much of the memory as each of those with recent ids may have.
    fn has_equal_part(&self, address: IpAddr) -> bool {
        let Some(of_address) = self.recent_by_address.get(&address) else {
            return false;
        };
        let equal_part = self.max_retained / self.recent_by_address.len();
        *of_address >= equal_part.max(1)
    }

    /// Moves ids whose clients have stopped to wait to the older ones, and forgets those whose retention is over.
    fn age(&mut self, now: Micros) {
        let until = now - self.min_retention;
        while let Some(aged) = self.recent.pop_front_if(|recent| recent.ended <= until) {
            self.older.push_back((aged.ended, aged.id));
            if let Some(count) = self.recent_by_address.get_mut(&aged.address) {
                *count -= 1;
                if *count == 0 {
                    self.recent_by_address.remove(&aged.address);
                }
            }
        }
        let until = now - RETENTION;
        while let Some((_, id)) = self.older.pop_front_if(|(ended, _)| *ended <= until) {
            self.may_have_run.remove(&id);
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.older.pop_front() {
            self.may_have_run.remove(&id);
        }
    }
}
