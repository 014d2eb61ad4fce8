//! What a worker reported at one moment. [`Observation::consistency`] separates consistent entries from contradictory
//! ones.
//!
//! Mechanisms:
//! 1. A function that is listed twice with different entries is left out: neither entry is used.
//! 2. An entry with more copies than any worker holds, or with busy copies but no loaded copy, is left out.
//! 3. Copies that need more memory than the worker has count as a contradiction, so that no difference in the report
//!    is accepted before a second report confirms it.

use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::Micros;
use serde::{Deserialize, Serialize};

/// Most copies of one function that a worker can plausibly hold.
const MAX_PLAUSIBLE_COPIES: u32 = 10_000;
/// A report is contradictory only if its copies exceed the worker's memory by this factor, because the sizes of copies
/// are declared by clients and are not exact.
const MEMORY_TOLERANCE_FACTOR: f64 = 1.5;

/// A worker's report of one function.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FunctionReport {
    /// The function's name.
    pub function: Arc<str>,
    /// Number of loaded copies; 0 if the function is not loaded.
    pub copies: u32,
    /// A load is in progress.
    pub loading: bool,
    /// Copies that are executing an invocation, if the worker reports it.
    pub busy: Option<u32>,
    /// Microseconds for which the function has been idle, if the worker reports it.
    pub idle: Option<Micros>,
    /// The router that last ordered a load of the function.
    pub ordered_by: Option<Arc<str>>,
    /// The term of the upgrade plan for which the load was ordered.
    pub term: Option<Arc<str>>,
    /// Sessions whose prefix is cached; absent if the worker does not report sessions.
    pub sessions: Option<Vec<Arc<str>>>,
}

impl FunctionReport {
    /// An entry that contains only the number of copies.
    pub fn with_copies(function: &str, copies: u32) -> FunctionReport {
        FunctionReport {
            function: Arc::from(function),
            copies,
            loading: false,
            busy: None,
            idle: None,
            ordered_by: None,
            term: None,
            sessions: None,
        }
    }

    fn is_implausible(&self) -> bool {
        self.copies > MAX_PLAUSIBLE_COPIES
            || self.copies == 0 && !self.loading && self.busy.is_some_and(|n| n > 0)
            || self.idle.is_some_and(|idle| idle < 0)
    }
}

/// What a worker reported at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The incarnation of the worker process, if reported.
    pub incarnation: Option<u64>,
    /// One entry for each function.
    pub entries: Vec<FunctionReport>,
    /// Entries were left out: a function that is not listed may still be loaded.
    pub truncated: bool,
}

/// The result of checking an observation for contradictions.
pub struct Consistency<'a> {
    /// The consistent entries, by function.
    pub entries: BTreeMap<&'a str, &'a FunctionReport>,
    /// Functions with contradictory entries, from which nothing is concluded.
    pub contradictory: Vec<&'a str>,
    /// Number of contradictions.
    pub contradictions: u64,
}

impl Observation {
    /// Checks the observation for contradictions. `copy_mb`: the size of a copy of a function in megabytes, 0 if
    /// unknown; `memory_mb`: the memory of the worker in megabytes, 0 if unknown.
    pub fn consistency(&self, copy_mb: impl Fn(&str) -> f64, memory_mb: f64) -> Consistency<'_> {
        let mut entries: BTreeMap<&str, &FunctionReport> = BTreeMap::new();
        let (mut contradictory, mut contradictions) = (Vec::new(), 0);
        for entry in &self.entries {
            let differs = entries
                .get(&*entry.function)
                .is_some_and(|earlier| *earlier != entry);
            if differs || entry.is_implausible() {
                contradictions += 1;
                contradictory.push(&*entry.function);
            }
            entries.insert(&entry.function, entry);
        }
        for function in &contradictory {
            entries.remove(function);
        }
        let loaded_mb: f64 = entries
            .values()
            .map(|entry| f64::from(entry.copies) * copy_mb(&entry.function))
            .sum();
        if memory_mb > 0.0 && loaded_mb > memory_mb * MEMORY_TOLERANCE_FACTOR {
            contradictions += 1;
        }
        Consistency {
            entries,
            contradictory,
            contradictions,
        }
    }
}
