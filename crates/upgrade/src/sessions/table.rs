//! The sessions known here, by key and in the order of their last use.

use std::collections::{BTreeSet, HashMap};

use cedarpulley::interface::Micros;

use super::events::{Output, SessionPlacement};
use crate::Name;

/// The version to which a session is bound.
#[derive(Clone, Debug)]
pub(super) struct Binding {
    pub version: Name,
    /// The time until which the majority's record certainly exists.
    pub valid_until: Micros,
}

/// An invocation that waits for a majority.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingInvocation {
    pub ticket: u64,
    pub deadline: Micros,
}

/// One session.
#[derive(Clone, Debug, Default)]
pub(super) struct Session {
    pub binding: Option<Binding>,
    /// When the binding was first requested from a majority that has not answered yet.
    pub requested_at: Option<Micros>,
    /// An answer is overdue, so the next invocation repeats the request.
    pub request_again: bool,
    pub waiting: Vec<WaitingInvocation>,
    pub placement: SessionPlacement,
    /// The placement was published by another router, and this router has not forwarded an invocation there since then.
    pub placed_by_other: bool,
    last_used: Micros,
}

impl Session {
    pub fn preferred_worker(&self) -> Option<Name> {
        Some(&self.placement.worker)
            .filter(|worker| !worker.is_empty())
            .cloned()
    }

    pub fn take_placed_by_other(&mut self) -> bool {
        std::mem::take(&mut self.placed_by_other)
    }

    /// Forwards an invocation; `version` is absent if the session is not bound.
    pub fn forward(&mut self, ticket: u64, version: Option<Name>) -> Output {
        Output::Forward {
            ticket,
            version,
            preferred_worker: self.preferred_worker(),
            placed_by_other_router: self.take_placed_by_other(),
        }
    }

    /// The version to request from a majority: the version known here, even if the plan has changed, else the proposed
    /// one. Absent if no request has to be sent now.
    pub fn request_binding(&mut self, now: Micros, proposed: Name) -> Option<Name> {
        if self.requested_at.is_some() && !std::mem::take(&mut self.request_again) {
            return None;
        }
        self.requested_at.get_or_insert(now);
        let known = self.binding.as_ref();
        Some(known.map_or(proposed, |binding| binding.version.clone()))
    }

    pub fn stop_waiting(&mut self, ticket: u64) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }
}

/// All sessions, by the key of their binding's record.
#[derive(Clone, Debug, Default)]
pub(super) struct SessionTable {
    sessions: HashMap<Name, Session>,
    by_last_use: BTreeSet<(Micros, Name)>,
}

impl SessionTable {
    pub fn get(&self, key: &str) -> Option<&Session> {
        self.sessions.get(key)
    }

    pub fn get_mut(&mut self, key: &str) -> Option<&mut Session> {
        self.sessions.get_mut(key)
    }

    pub fn values(&self) -> impl Iterator<Item = &Session> {
        self.sessions.values()
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Session> {
        self.sessions.values_mut()
    }

    /// Evicts the least recently used sessions until there is room for this one, and returns their number. Sessions
    /// with waiting invocations are not evicted.
    pub fn make_room(&mut self, key: &Name, capacity: usize) -> u64 {
        let mut evicted = 0;
        while self.sessions.len() >= capacity.max(1) && !self.sessions.contains_key(key) {
            let is_idle = |entry: &&(Micros, Name)| !self.is_waiting(&entry.1);
            let Some(oldest) = self.by_last_use.iter().find(is_idle).cloned() else {
                break;
            };
            self.by_last_use.remove(&oldest);
            self.sessions.remove(&oldest.1);
            evicted += 1;
        }
        evicted
    }

    fn is_waiting(&self, key: &Name) -> bool {
        self.sessions
            .get(key)
            .is_some_and(|session| !session.waiting.is_empty())
    }

    /// Returns the session, created if it is not known, and sets its last use to `now`.
    pub fn touch(&mut self, now: Micros, key: &Name) -> &mut Session {
        if let Some(known) = self.sessions.get(key) {
            self.by_last_use.remove(&(known.last_used, key.clone()));
        }
        self.by_last_use.insert((now, key.clone()));
        let session = self.sessions.entry(key.clone()).or_default();
        session.last_used = now;
        session
    }

    /// Forgets the sessions that were unused for longer than the retention, in the order of their last use, up to the
    /// first session with waiting invocations.
    pub fn expire(&mut self, now: Micros, retention: Micros) {
        while let Some((last_used, key)) = self.by_last_use.first().cloned()
            && now.saturating_sub(last_used) > retention
            && !self.is_waiting(&key)
        {
            self.by_last_use.pop_first();
            self.sessions.remove(&key);
        }
    }
}
