//! Workers and their copies, as far as they are known here. What was not seen for long counts as not there where it
//! would help, and as there where it would do harm.

use cedarpulley::interface::Micros;

use crate::Name;

/// What a worker was last known to hold.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerSeen {
    pub name: Name,
    pub region: Name,
    /// It is on the list and takes copies and invocations.
    pub takes_new: bool,
    /// When what is said here was true at the earliest, by this router's clock: an answer's asking.
    pub seen_at: Micros,
    /// 0: not known.
    pub memory_mb: u32,
    pub used_mb: u32,
    pub holds: Vec<Held>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    pub function: Name,
    /// That stand warm.
    pub copies: u32,
    /// Of all these copies together.
    pub lanes: u32,
    /// Lanes in use.
    pub busy: u32,
    /// A copy is being loaded.
    pub loading: bool,
    /// Active sessions whose prefix is warm here.
    pub sessions: u32,
    /// Of one copy; 0: not known.
    pub copy_mb: u32,
}

impl WorkerSeen {
    pub(crate) fn held(&self, function: &str) -> Option<&Held> {
        self.holds.iter().find(|h| *h.function == *function)
    }

    pub(crate) fn stands(&self, function: &str) -> Option<&Held> {
        self.held(function).filter(|h| h.copies > 0)
    }

    pub(crate) fn loads(&self) -> bool {
        self.holds.iter().any(|h| h.loading)
    }

    pub(crate) fn has_room(&self, mb: u32) -> bool {
        self.memory_mb == 0 || self.memory_mb.saturating_sub(self.used_mb) >= mb
    }
}

/// Of one function in one region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Stands {
    /// Warm, seen lately, and not ordered to go.
    pub lanes: u32,
    /// Copies of any kind, even those ordered to go.
    pub copies: u32,
    /// Workers that load one.
    pub loading: u32,
    pub sessions: u32,
}
