//! The record that this router keeps of one function at one worker: whether copies are warm, and what is loading. It
//! applies [`CopyChange`]s in the order in which they happened, as the balancer does. A report may correct the record
//! only if the record [`CopyRecord::is_older_than`] the report.
//!
//! Mechanisms:
//! 1. Every change has a time: an observation that began before a change says nothing about it.
//! 2. A load is in progress while a load order is in flight, and from a dispatch to a worker without a warm copy until
//!    the end of a dispatch shows whether copies are loaded, or no dispatch is in flight any more.
//! 3. Copies are recorded as warm for as long as the balancer expects them to be: one lifetime after the last use.

use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::Micros;

/// Most sessions retained for one function at one worker; the least recently used is removed first.
const MAX_SESSIONS: usize = 256;
/// A load without any news for this long (microseconds) counts as ended: the message about its end was lost.
const LOAD_LOST_AFTER_US: Micros = 600_000_000;

/// An event that changes what this router knows of a function at a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum CopyChange {
    /// A load order was sent.
    LoadOrdered,
    /// A load order ended.
    LoadOrderEnded {
        /// Whether copies are loaded; `None` if unknown.
        present: Option<bool>,
        /// Number of copies, if known.
        copies: Option<u32>,
    },
    /// An invocation was dispatched to the worker.
    Dispatched,
    /// A dispatch ended.
    DispatchEnded {
        /// Whether copies are loaded; `None` if unknown.
        present: Option<bool>,
        /// The copy was loaded before the dispatch.
        was_present: bool,
        /// The size of a copy in megabytes, 0 if unknown.
        copy_mb: f64,
    },
    /// An invocation of a session succeeded at the worker.
    SessionUsed {
        /// The session.
        id: Arc<str>,
        /// It was the last invocation of the session.
        is_last: bool,
    },
    /// This router ordered the unload of the function.
    Unloaded,
    /// An injected fault, in tests: from now on this number of copies is recorded, whether it is true or not.
    Corrupted {
        /// The number of copies that is recorded.
        copies: u32,
    },
}

/// What this router knows of one function at one worker.
#[derive(Clone, Debug)]
pub struct CopyRecord {
    /// Whether copies are loaded; `None` if unknown.
    present: Option<bool>,
    /// When copies are no longer recorded as warm.
    expires_at: Micros,
    copies: Option<u32>,
    /// When the record last changed; after a correction, when the observation began.
    changed_at: Micros,
    orders_in_flight: u32,
    dispatches_in_flight: u32,
    /// A dispatch was sent while no copy was recorded as warm. Cleared when a dispatch ends that shows whether copies
    /// are loaded, or when no dispatch is in flight any more.
    cold_start: bool,
    /// When the last load began, by an order or by a dispatch.
    load_seen_at: Micros,
    last_used_at: Option<Micros>,
    /// Number of uses, halved with each `lifetime` that passes.
    uses: f64,
    /// The size of a copy in megabytes, 0 if unknown.
    copy_mb: f64,
    /// The copies come from a load order, and no use has confirmed them since.
    ordered_unused: bool,
    /// The state of the copies was last set by a report without copies.
    reported_absent: bool,
    /// By session, when its prefix was last known to be cached.
    sessions: BTreeMap<Arc<str>, Micros>,
}

impl Default for CopyRecord {
    /// A record of which nothing is known yet.
    fn default() -> Self {
        CopyRecord {
            present: None,
            expires_at: Micros::MIN,
            copies: None,
            changed_at: Micros::MIN,
            orders_in_flight: 0,
            dispatches_in_flight: 0,
            cold_start: false,
            load_seen_at: Micros::MIN,
            last_used_at: None,
            uses: 0.0,
            copy_mb: 0.0,
            ordered_unused: false,
            reported_absent: false,
            sessions: BTreeMap::new(),
        }
    }
}

impl CopyRecord {
    /// Applies a change. Returns true if the change refutes the last report of the worker. `lifetime`: how long copies
    /// are recorded as warm after a use, in microseconds.
    pub fn apply(&mut self, now: Micros, lifetime: Micros, change: CopyChange) -> bool {
        match change {
            CopyChange::LoadOrdered => {
                self.orders_in_flight = self.orders_in_flight.saturating_add(1);
                (self.load_seen_at, self.changed_at) = (now, now);
            }
            CopyChange::LoadOrderEnded { present, copies } => {
                self.orders_in_flight = self.orders_in_flight.saturating_sub(1);
                self.ordered_unused = present == Some(true);
                self.set(now, lifetime, present, copies);
            }
            CopyChange::Dispatched => {
                if !self.is_warm(now) {
                    (self.cold_start, self.load_seen_at) = (true, now);
                }
                self.dispatches_in_flight = self.dispatches_in_flight.saturating_add(1);
            }
            CopyChange::DispatchEnded {
                present,
                was_present,
                copy_mb,
            } => {
                let refuted = was_present && self.reported_absent && self.orders_in_flight == 0;
                self.on_dispatch_ended(now, lifetime, present, copy_mb);
                return refuted;
            }
            CopyChange::SessionUsed { id, is_last } => self.on_session_used(now, id, is_last),
            CopyChange::Unloaded => self.set(now, lifetime, Some(false), None),
            CopyChange::Corrupted { copies } => self.set_copies(now, lifetime, copies),
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
            self.last_used_at = Some(now);
            self.set(now, lifetime, present, self.copies);
        }
    }

    fn on_session_used(&mut self, now: Micros, id: Arc<str>, is_last: bool) {
        self.sessions.remove(&id);
        if is_last {
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
        (self.present, self.copies, self.changed_at) = (present, copies, now);
        self.expires_at = now.saturating_add(lifetime);
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

    /// Sets the number of copies to what a worker reported in an observation that began at `began`.
    pub fn correct(&mut self, now: Micros, began: Micros, lifetime: Micros, copies: u32) {
        let sessions = std::mem::take(&mut self.sessions);
        self.set_copies(now, lifetime, copies);
        if copies > 0 {
            self.sessions = sessions;
        }
        self.reported_absent = copies == 0;
        self.changed_at = began;
    }

    /// Sets the number of copies of a function that is already recorded as warm.
    pub fn set_copy_count(&mut self, copies: u32) {
        self.copies = Some(copies);
    }

    /// Removes the sessions whose prefix is lost.
    pub fn remove_sessions(&mut self, lost: &[Arc<str>]) {
        self.sessions.retain(|id, _| !lost.contains(id));
    }

    /// Whether copies are recorded as warm.
    pub fn is_warm(&self, now: Micros) -> bool {
        self.present == Some(true) && now < self.expires_at
    }

    /// Microseconds until the copies are no longer recorded as warm; 0 if they are not.
    pub fn remaining(&self, now: Micros) -> Micros {
        if self.is_warm(now) {
            self.expires_at - now
        } else {
            0
        }
    }

    /// Whether a load is in progress.
    pub fn is_loading(&self, now: Micros) -> bool {
        (self.orders_in_flight > 0 || self.cold_start)
            && now.saturating_sub(self.load_seen_at) < LOAD_LOST_AFTER_US
    }

    /// Whether the record last changed before `began`, so that an observation that began then may correct it.
    pub fn is_older_than(&self, began: Micros) -> bool {
        self.changed_at < began
    }

    /// Whether a repair that follows from an observation that began at `began` may still be sent: the record has not
    /// changed since, no load is in progress, and no copy is recorded as warm.
    pub fn allows_repair(&self, now: Micros, began: Micros) -> bool {
        self.changed_at <= began && !self.is_loading(now) && !self.is_warm(now)
    }

    /// The number of copies, if known.
    pub fn copies(&self) -> Option<u32> {
        self.copies
    }

    /// The size of a copy in megabytes, 0 if unknown.
    pub fn copy_mb(&self) -> f64 {
        self.copy_mb
    }

    /// Whether the copies come from a load order and no use has confirmed them since.
    pub fn is_ordered_unused(&self) -> bool {
        self.ordered_unused
    }

    /// Whether this router used the function within the last `time` microseconds.
    pub fn used_within(&self, now: Micros, time: Micros) -> bool {
        self.last_used_at.is_some_and(|used| now - used < time)
    }

    /// The sessions, and when their prefixes were last known to be cached.
    pub fn sessions(&self) -> impl Iterator<Item = (&Arc<str>, Micros)> {
        self.sessions.iter().map(|(id, used)| (id, *used))
    }

    /// The number of uses at `now`, halved with each `lifetime` since the last use.
    pub fn uses_at(&self, now: Micros, lifetime: Micros) -> f64 {
        let ago = self.last_used_at.map_or(Micros::MAX / 2, |used| now - used);
        self.uses * 0.5f64.powf(ago as f64 / lifetime.max(1) as f64)
    }

    /// Whether the record can be removed without losing information.
    pub fn is_idle(&self, now: Micros, lifetime: Micros) -> bool {
        !self.is_warm(now)
            && self.orders_in_flight == 0
            && self.dispatches_in_flight == 0
            && now.saturating_sub(self.changed_at) > lifetime
    }
}
