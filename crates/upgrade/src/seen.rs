//! Workers and their copies, as far as they are known here.

use cedarpulley::interface::Micros;

use crate::Name;

/// What a worker was last known to hold.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerSeen {
    pub name: Name,
    pub region: Name,
    /// It is on the list and takes copies and invocations.
    pub takes_new: bool,
    /// When what is said here was true at the earliest, by this router's clock.
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
