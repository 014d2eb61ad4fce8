//! Workers and their copies as they were last reported. A stale observation counts neither as capacity nor as proof
//! that a copy is gone.

use cedarpulley::interface::Micros;

use crate::Name;

/// A worker and its copies as last observed.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedWorker {
    /// Its name.
    pub name: Name,
    /// Its region.
    pub region: Name,
    /// Whether the worker is on the endpoint list and accepts copies and invocations.
    pub accepts_copies: bool,
    /// When the worker was polled, by this router's clock in microseconds: the earliest time for which the observation
    /// is true.
    pub observed_at: Micros,
    /// Memory for copies, in MB; 0: unknown.
    pub memory_mb: u32,
    /// Memory that copies use, in MB.
    pub used_mb: u32,
    /// Its copies, by function.
    pub copies: Vec<FunctionCopies>,
}

/// The copies of one function on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct FunctionCopies {
    /// The function.
    pub function: Name,
    /// Number of warm copies.
    pub copies: u32,
    /// Lanes of all these copies together.
    pub lanes: u32,
    /// Lanes in use.
    pub busy_lanes: u32,
    /// Whether a copy is being loaded.
    pub loading: bool,
    /// Number of active sessions whose prefix is cached in these copies.
    pub sessions: u32,
    /// Memory of one copy, in MB; 0: unknown.
    pub copy_mb: u32,
}

impl ObservedWorker {
    /// The copies of a function, warm or loading.
    pub(crate) fn copies_of(&self, function: &str) -> Option<&FunctionCopies> {
        self.copies.iter().find(|held| *held.function == *function)
    }

    /// The copies of a function if at least one of them is warm.
    pub(crate) fn warm_copies_of(&self, function: &str) -> Option<&FunctionCopies> {
        self.copies_of(function).filter(|held| held.copies > 0)
    }

    /// Whether a copy of any function is being loaded.
    pub(crate) fn is_loading(&self) -> bool {
        self.copies.iter().any(|held| held.loading)
    }

    /// Whether a copy of `mb` MB fits; true if the worker's memory is unknown.
    pub(crate) fn has_memory_for(&self, mb: u32) -> bool {
        self.memory_mb == 0 || self.free_mb() >= mb
    }

    /// Memory that no copy uses, in MB.
    pub(crate) fn free_mb(&self) -> u32 {
        self.memory_mb.saturating_sub(self.used_mb)
    }
}
