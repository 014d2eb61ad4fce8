//! Decides which clients' connections stay. Call [`Doorkeeper::came`] for each new one, and say what it does:
//! [`Doorkeeper::began`], [`Doorkeeper::whole`], [`Doorkeeper::answering`], [`Doorkeeper::answered`],
//! [`Doorkeeper::leaving`], [`Doorkeeper::left`]; [`Doorkeeper::overdue`] names those whose time is over.
//!
//! Mechanisms:
//! 1. A connection must have sent a whole request soon after it came, each later one soon after its first
//!    byte, and take its answer as soon. Symptom: hundreds connect and send nothing, or send a byte now and
//!    then.
//! 2. With the table full, the one longest without an open request goes; those that should have sent theirs
//!    by now and have not go first, those that have only just come go last. Symptom: a crowd comes faster
//!    than silent ones can be found, and whoever has just connected is turned out before its request is read.
//! 3. One that has had its answer may stay idle for as long as clients keep theirs.

use std::collections::BTreeMap;

use cedarpulley::interface::Micros;

pub type CallerIx = u64;

/// A client sends its request in one go, and reads as fast; the protocol's worst client must have its refusal
/// or close 3 s after connecting.
const WHOLE_WITHIN: Micros = 2_000_000;
/// One that has its last answer closes at once, or is still sending what nobody wants.
const LINGERS: Micros = 1_500_000;
/// A request has come by then if it was sent with the connecting: some round trips, and this process's own
/// pauses.
const SENT_BY: Micros = 250_000;
/// Clients close what has been idle for 4 s; those that never do are closed a little later.
const IDLE_KEPT: Micros = 5_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Has never sent a whole request.
    Fresh,
    /// Between requests.
    Idle,
    /// A later request has begun.
    Sending,
    /// Owed an answer.
    Open,
    /// Its answer is being written.
    Answering,
    /// Its last answer is written; it is only read until it closes.
    Leaving,
}

#[derive(Debug)]
pub struct Doorkeeper {
    most: usize,
    callers: BTreeMap<CallerIx, (State, Micros)>,
    last: CallerIx,
    pub turned_out: u64,
}

impl Doorkeeper {
    pub fn new(most: usize) -> Self {
        Doorkeeper { most, callers: BTreeMap::new(), last: 0, turned_out: 0 }
    }

    /// A new connection: its number, and one that has to go for it. None if all that are here are owed an
    /// answer.
    pub fn came(&mut self, now: Micros) -> Option<(CallerIx, Option<CallerIx>)> {
        let mut out = None;
        if self.callers.len() >= self.most {
            let rank = |(_, (state, since)): &(&CallerIx, &(State, Micros))| match state {
                State::Fresh if now - since > SENT_BY => Some((0, *since)),
                State::Leaving => Some((1, *since)),
                State::Idle => Some((2, *since)),
                State::Answering | State::Sending | State::Fresh => Some((3, *since)),
                State::Open => None,
            };
            let first = self.callers.iter().filter(|c| rank(c).is_some()).min_by_key(rank);
            let ix = *first?.0;
            self.callers.remove(&ix);
            self.turned_out += 1;
            out = Some(ix);
        }
        self.last += 1;
        self.callers.insert(self.last, (State::Fresh, now));
        Some((self.last, out))
    }

    fn set(&mut self, ix: CallerIx, state: State, now: Micros) {
        if let Some(caller) = self.callers.get_mut(&ix) {
            *caller = (state, now);
        }
    }

    /// Bytes of a request came that is not whole.
    pub fn began(&mut self, now: Micros, ix: CallerIx) {
        if self.callers.get(&ix).is_some_and(|c| c.0 == State::Idle) {
            self.set(ix, State::Sending, now);
        }
    }

    /// A whole request came.
    pub fn whole(&mut self, now: Micros, ix: CallerIx) {
        self.set(ix, State::Open, now);
    }

    /// Its answer is written.
    pub fn answered(&mut self, now: Micros, ix: CallerIx) {
        self.set(ix, State::Idle, now);
    }

    pub fn answering(&mut self, now: Micros, ix: CallerIx) {
        self.set(ix, State::Answering, now);
    }

    pub fn leaving(&mut self, now: Micros, ix: CallerIx) {
        self.set(ix, State::Leaving, now);
    }

    pub fn left(&mut self, ix: CallerIx) {
        self.callers.remove(&ix);
    }

    pub fn overdue(&self, now: Micros) -> Vec<CallerIx> {
        let over = |&(state, since): &(State, Micros)| match state {
            State::Fresh | State::Sending | State::Answering => now - since > WHOLE_WITHIN,
            State::Leaving => now - since > LINGERS,
            State::Idle => now - since > IDLE_KEPT,
            State::Open => false,
        };
        self.callers.iter().filter(|(_, c)| over(c)).map(|(ix, _)| *ix).collect()
    }

    /// Idle ones, when nothing more is taken.
    pub fn idle(&self) -> Vec<CallerIx> {
        let idle = |s| matches!(s, State::Fresh | State::Idle);
        self.callers.iter().filter(|(_, c)| idle(c.0)).map(|(ix, _)| *ix).collect()
    }

    /// Somebody is owed an answer, or it is not out.
    pub fn owes(&self) -> bool {
        self.callers.values().any(|c| matches!(c.0, State::Open | State::Answering))
    }

    /// Connections there are.
    pub fn count(&self) -> usize {
        self.callers.len()
    }
}
