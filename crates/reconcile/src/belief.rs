//! What this router believes of one worker. It is told by [`Change`]s, in the order in which they happened, and follows
//! what the module makes of them; what is compared with it asks [`Belief::settled`] first.
//!
//! Mechanisms:
//! 1. Every change has its time: what was observed from before it says nothing about it.
//! 2. A load is under way while an order is out, and from a dispatch to a cold copy until its first ending.
//! 3. What stands is believed for as long as the module believes it, from its last use on.

use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::Micros;

/// Sessions that are kept for one function at one worker; the one that was used longest ago goes first.
const MOST_SESSIONS: usize = 256;
/// A load of which nothing was heard for so long is taken for over: its ending was lost.
const LOAD_LOST: Micros = 600_000_000;

/// What became known of a function at a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// An order to load left.
    Ordered,
    /// It ended: copies stand, none do, or nobody knows.
    OrderEnded {
        stands: Option<bool>,
        copies: Option<u32>,
    },
    /// A dispatch left for it.
    Sent,
    /// A dispatch ended; `found`: the copy stood before.
    Ended {
        stands: Option<bool>,
        found: bool,
        copy_mb: f64,
    },
    /// The session's invocation succeeded there; `over`: it was the last one.
    Session { id: Arc<str>, over: bool },
    /// This router had it unloaded.
    Unloaded,
    /// A meddler's, in tests: so many are believed from now on, whatever is true.
    Spoilt { copies: u32 },
}

#[derive(Clone, Debug)]
pub struct Belief {
    stands: Option<bool>,
    until: Micros,
    pub copies: Option<u32>,
    pub changed: Micros,
    orders: u32,
    out: u32,
    cold: bool,
    load_seen: Micros,
    pub used: Option<Micros>,
    /// Uses, halved with each time that copies are kept.
    uses: f64,
    pub copy_mb: f64,
    /// The last word is an order's, and no use has confirmed it.
    pub by_order: bool,
    /// A worker's word said that it is gone.
    pub gone_by_word: bool,
    /// By session, when its prefix was last known to be there.
    pub sessions: BTreeMap<Arc<str>, Micros>,
}

impl Default for Belief {
    /// Nothing was ever known.
    fn default() -> Self {
        Belief {
            stands: None,
            until: Micros::MIN,
            copies: None,
            changed: Micros::MIN,
            orders: 0,
            out: 0,
            cold: false,
            load_seen: Micros::MIN,
            used: None,
            uses: 0.0,
            copy_mb: 0.0,
            by_order: false,
            gone_by_word: false,
            sessions: BTreeMap::new(),
        }
    }
}

impl Belief {
    /// True if what it says refutes the worker's own last word.
    pub fn change(&mut self, now: Micros, kept: Micros, change: Change) -> bool {
        let mut refuted = false;
        match change {
            Change::Ordered => {
                self.orders = self.orders.saturating_add(1);
                (self.load_seen, self.changed) = (now, now);
            }
            Change::OrderEnded { stands, copies } => {
                self.orders = self.orders.saturating_sub(1);
                self.by_order = stands == Some(true);
                self.say(now, kept, stands, copies);
            }
            Change::Sent => {
                if !self.believed(now) {
                    (self.cold, self.load_seen) = (true, now);
                }
                self.out = self.out.saturating_add(1);
            }
            Change::Ended {
                stands,
                found,
                copy_mb,
            } => {
                self.out = self.out.saturating_sub(1);
                self.cold &= self.out > 0 && stands.is_none();
                refuted = found && self.gone_by_word && self.orders == 0;
                if copy_mb > 0.0 {
                    self.copy_mb = copy_mb;
                }
                if stands.is_some() {
                    self.by_order = false;
                    self.uses = self.uses_at(now, kept) + 1.0;
                    self.used = Some(now);
                    self.say(now, kept, stands, self.copies);
                }
            }
            Change::Session { id, over } => {
                self.sessions.remove(&id);
                if !over {
                    while self.sessions.len() >= MOST_SESSIONS {
                        let oldest = self
                            .sessions
                            .iter()
                            .min_by_key(|s| s.1)
                            .map(|s| s.0.clone());
                        oldest.map(|id| self.sessions.remove(&id));
                    }
                    self.sessions.insert(id, now);
                }
            }
            Change::Unloaded => self.say(now, kept, Some(false), None),
            Change::Spoilt { copies } => {
                self.say(now, kept, Some(copies > 0), (copies > 0).then_some(copies));
            }
        }
        refuted
    }

    fn say(&mut self, now: Micros, kept: Micros, stands: Option<bool>, copies: Option<u32>) {
        (self.stands, self.copies, self.changed) = (stands, copies, now);
        self.until = now.saturating_add(kept);
        self.gone_by_word = false;
        if stands != Some(true) {
            (self.copies, self.by_order) = (None, false);
            self.sessions.clear();
        }
    }

    /// As a worker said, in an observation that began at `began`.
    pub fn correct(&mut self, now: Micros, began: Micros, kept: Micros, copies: u32) {
        let sessions = std::mem::take(&mut self.sessions);
        self.say(now, kept, Some(copies > 0), (copies > 0).then_some(copies));
        if copies > 0 {
            self.sessions = sessions;
        }
        self.gone_by_word = copies == 0;
        self.changed = began;
    }

    pub fn believed(&self, now: Micros) -> bool {
        self.stands == Some(true) && now < self.until
    }

    /// It will be believed for so long.
    pub fn left(&self, now: Micros) -> Micros {
        if self.believed(now) {
            self.until - now
        } else {
            0
        }
    }

    pub fn under_way(&self, now: Micros) -> bool {
        (self.orders > 0 || self.cold) && now.saturating_sub(self.load_seen) < LOAD_LOST
    }

    /// An observation that began then may say something about it.
    pub fn settled(&self, began: Micros) -> bool {
        self.changed < began
    }

    pub fn uses_at(&self, now: Micros, kept: Micros) -> f64 {
        let ago = self.used.map_or(Micros::MAX / 2, |at| now - at);
        self.uses * 0.5f64.powf(ago as f64 / kept.max(1) as f64)
    }

    /// Nothing is lost if it is forgotten.
    pub fn is_idle(&self, now: Micros, kept: Micros) -> bool {
        !self.believed(now)
            && self.orders == 0
            && self.out == 0
            && now.saturating_sub(self.changed) > kept
    }
}
