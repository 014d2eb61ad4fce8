//! What this router believes of one function at one worker. It follows [`Change`]s in the order in which they happened,
//! as the balancer does; a report may correct it only if [`Belief::is_older_than`] the report.
//!
//! Mechanisms:
//! 1. Every change has its time: what was observed from before it tells nothing about it.
//! 2. A load is under way while an order is in flight, and from a dispatch to a cold copy until its first ending.
//! 3. Copies are believed for as long as the balancer believes in them, from their last use on.

use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::Micros;

/// Sessions retained for one function at one worker; the least recently used goes first.
const MAX_SESSIONS: usize = 256;
/// A load of which nothing was heard for this long counts as over: its ending was lost.
const LOAD_LOST_AFTER: Micros = 600_000_000;

/// What became known of a function at a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// An order to load was sent.
    LoadOrdered,
    /// An order to load ended.
    LoadOrderEnded {
        /// Copies are there, none are, or nobody knows.
        present: Option<bool>,
        /// How many, where it is known.
        copies: Option<u32>,
    },
    /// An invocation was dispatched to it.
    Dispatched,
    /// A dispatch ended.
    DispatchEnded {
        /// Copies are there, none are, or nobody knows.
        present: Option<bool>,
        /// The copy was there before the dispatch.
        was_present: bool,
        /// The size of a copy, 0 if unknown.
        copy_mb: f64,
    },
    /// A session's invocation succeeded there.
    SessionUsed {
        /// The session.
        id: Arc<str>,
        /// It was the last one of the session.
        is_last: bool,
    },
    /// This router had it unloaded.
    Unloaded,
    /// An injected fault, in tests: this many copies are believed from now on, whatever is true.
    Corrupted {
        /// The number that is believed.
        copies: u32,
    },
}

#[derive(Clone, Debug)]
pub struct Belief {
    present: Option<bool>,
    expires: Micros,
    copies: Option<u32>,
    changed: Micros,
    orders_in_flight: u32,
    dispatches_in_flight: u32,
    /// A dispatch met a cold copy, and none has ended since.
    cold_start: bool,
    load_seen: Micros,
    last_used: Option<Micros>,
    /// Uses, halved with each `lifetime`.
    uses: f64,
    copy_mb: f64,
    ordered_unused: bool,
    reported_absent: bool,
    /// By session, when its prefix was last known to be there.
    sessions: BTreeMap<Arc<str>, Micros>,
}

impl Default for Belief {
    /// Nothing was ever known.
    fn default() -> Self {
        Belief {
            present: None,
            expires: Micros::MIN,
            copies: None,
            changed: Micros::MIN,
            orders_in_flight: 0,
            dispatches_in_flight: 0,
            cold_start: false,
            load_seen: Micros::MIN,
            last_used: None,
            uses: 0.0,
            copy_mb: 0.0,
            ordered_unused: false,
            reported_absent: false,
            sessions: BTreeMap::new(),
        }
    }
}

impl Belief {
    /// True if the change refutes the worker's own last report. `lifetime`: how long copies are believed after a use.
    pub fn change(&mut self, now: Micros, lifetime: Micros, change: Change) -> bool {
        match change {
            Change::LoadOrdered => {
                self.orders_in_flight = self.orders_in_flight.saturating_add(1);
                (self.load_seen, self.changed) = (now, now);
            }
            Change::LoadOrderEnded { present, copies } => {
                self.orders_in_flight = self.orders_in_flight.saturating_sub(1);
                self.ordered_unused = present == Some(true);
                self.set(now, lifetime, present, copies);
            }
            Change::Dispatched => {
                if !self.is_believed(now) {
                    (self.cold_start, self.load_seen) = (true, now);
                }
                self.dispatches_in_flight = self.dispatches_in_flight.saturating_add(1);
            }
            Change::DispatchEnded {
                present,
                was_present,
                copy_mb,
            } => {
                let refuted = was_present && self.reported_absent && self.orders_in_flight == 0;
                self.on_dispatch_ended(now, lifetime, present, copy_mb);
                return refuted;
            }
            Change::SessionUsed { id, is_last } => self.on_session_used(now, id, is_last),
            Change::Unloaded => self.set(now, lifetime, Some(false), None),
            Change::Corrupted { copies } => self.set_copies(now, lifetime, copies),
        }
        false
    }

    fn on_dispatch_ended(
        &mut self,
        now: Micros,
        lifetime: Micros,
        present: Option<bool>,
        copy_mb: f64,
    ) {
        self.dispatches_in_flight = self.dispatches_in_flight.saturating_sub(1);
        self.cold_start &= self.dispatches_in_flight > 0 && present.is_none();
        if copy_mb > 0.0 {
            self.copy_mb = copy_mb;
        }
        if present.is_some() {
            self.ordered_unused = false;
            self.uses = self.uses_at(now, lifetime) + 1.0;
            self.last_used = Some(now);
            self.set(now, lifetime, present, self.copies);
        }
    }

    fn on_session_used(&mut self, now: Micros, id: Arc<str>, over: bool) {
        self.sessions.remove(&id);
        if over {
            return;
        }
        while self.sessions.len() >= MAX_SESSIONS {
            let oldest = self
                .sessions
                .iter()
                .min_by_key(|(_, used)| **used)
                .map(|(id, _)| id.clone());
            oldest.map(|id| self.sessions.remove(&id));
        }
        self.sessions.insert(id, now);
    }

    fn set(&mut self, now: Micros, lifetime: Micros, present: Option<bool>, copies: Option<u32>) {
        (self.present, self.copies, self.changed) = (present, copies, now);
        self.expires = now.saturating_add(lifetime);
        self.reported_absent = false;
        if present != Some(true) {
            (self.copies, self.ordered_unused) = (None, false);
            self.sessions.clear();
        }
    }

    fn set_copies(&mut self, now: Micros, lifetime: Micros, copies: u32) {
        let present = copies > 0;
        self.set(now, lifetime, Some(present), present.then_some(copies));
    }

    /// As a worker reported, in an observation that began at `began`.
    pub fn correct(&mut self, now: Micros, began: Micros, lifetime: Micros, copies: u32) {
        let sessions = std::mem::take(&mut self.sessions);
        self.set_copies(now, lifetime, copies);
        if copies > 0 {
            self.sessions = sessions;
        }
        self.reported_absent = copies == 0;
        self.changed = began;
    }

    /// Notes the number of copies; that they are there was believed already.
    pub fn note_copies(&mut self, copies: u32) {
        self.copies = Some(copies);
    }

    /// Forgets sessions whose prefix is lost.
    pub fn forget_sessions(&mut self, lost: &[Arc<str>]) {
        self.sessions.retain(|id, _| !lost.contains(id));
    }

    /// Whether copies are believed to be there.
    pub fn is_believed(&self, now: Micros) -> bool {
        self.present == Some(true) && now < self.expires
    }

    /// For how much longer copies will be believed to be there; 0 if they are not.
    pub fn remaining(&self, now: Micros) -> Micros {
        if self.is_believed(now) {
            self.expires - now
        } else {
            0
        }
    }

    /// Whether a load is under way.
    pub fn is_loading(&self, now: Micros) -> bool {
        (self.orders_in_flight > 0 || self.cold_start)
            && now.saturating_sub(self.load_seen) < LOAD_LOST_AFTER
    }

    /// Whether an observation that began at `began` may correct it.
    pub fn is_older_than(&self, began: Micros) -> bool {
        self.changed < began
    }

    /// Whether a repair from an observation that began at `began` may still go: nothing has happened here since.
    pub fn allows_repair(&self, now: Micros, began: Micros) -> bool {
        self.changed <= began && !self.is_loading(now) && !self.is_believed(now)
    }

    /// How many copies, where it is known.
    pub fn copies(&self) -> Option<u32> {
        self.copies
    }

    /// The size of a copy, 0 if unknown.
    pub fn copy_mb(&self) -> f64 {
        self.copy_mb
    }

    /// Whether the last that is known comes from an order, and no use has confirmed it.
    pub fn is_ordered_unused(&self) -> bool {
        self.ordered_unused
    }

    /// Whether this router used it within the last `time`.
    pub fn used_within(&self, now: Micros, time: Micros) -> bool {
        self.last_used.is_some_and(|used| now - used < time)
    }

    /// The sessions, and when their prefixes were last known to be there.
    pub fn sessions(&self) -> impl Iterator<Item = (&Arc<str>, Micros)> {
        self.sessions.iter().map(|(id, used)| (id, *used))
    }

    /// Uses, halved with each `lifetime` that has passed.
    pub fn uses_at(&self, now: Micros, lifetime: Micros) -> f64 {
        let ago = self.last_used.map_or(Micros::MAX / 2, |used| now - used);
        self.uses * 0.5f64.powf(ago as f64 / lifetime.max(1) as f64)
    }

    /// Nothing is lost if it is forgotten.
    pub fn is_idle(&self, now: Micros, lifetime: Micros) -> bool {
        !self.is_believed(now)
            && self.orders_in_flight == 0
            && self.dispatches_in_flight == 0
            && now.saturating_sub(self.changed) > lifetime
    }
}
