//! What a worker reported at one moment. [`Observation::consistency`] takes out what contradicts itself.
//!
//! Mechanisms:
//! 1. A function that is named twice with different entries is left out: neither entry is believed.
//! 2. More copies than any worker holds, and busy copies where there are none, tell nothing about copies at all.
//! 3. Copies that need more memory than the worker has count as a contradiction, so that no part of the report is
//!    believed at once.

use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::Micros;
use serde::{Deserialize, Serialize};

/// No worker holds more copies of one function; a greater number is implausible.
const MAX_COPIES: u32 = 10_000;
/// The sizes of copies are what clients declare: a report is a contradiction only well above the worker's memory.
const MEMORY_SLACK: f64 = 1.5;

/// A worker's report of one function.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FunctionReport {
    /// The function's name.
    pub function: Arc<str>,
    /// 0: it is not there.
    pub copies: u32,
    /// A load is under way.
    pub loading: bool,
    /// Copies that execute something now, where the worker tells.
    pub busy: Option<u32>,
    /// For how long it has been idle, in microseconds, where the worker tells.
    pub idle: Option<Micros>,
    /// The router that ordered it last.
    pub ordered_by: Option<Arc<str>>,
    /// The term of the plan for which it was ordered.
    pub term: Option<Arc<str>>,
    /// Sessions whose prefix is cached; absent if the worker reports nothing of them.
    pub sessions: Option<Vec<Arc<str>>>,
}

impl FunctionReport {
    /// An entry that tells only the number of copies.
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
        self.copies > MAX_COPIES
            || self.copies == 0 && !self.loading && self.busy.is_some_and(|n| n > 0)
            || self.idle.is_some_and(|idle| idle < 0)
    }
}

/// What a worker reported at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The incarnation of the worker's process, where it tells one.
    pub incarnation: Option<u64>,
    /// One for each function.
    pub entries: Vec<FunctionReport>,
    /// Entries were left out: what is not named may be there all the same.
    pub truncated: bool,
}

/// What is consistent in an observation.
pub struct Consistency<'a> {
    /// The consistent entries, by function.
    pub entries: BTreeMap<&'a str, &'a FunctionReport>,
    /// Functions of which nothing is concluded.
    pub unclear: Vec<&'a str>,
    /// Number of contradictions.
    pub contradictions: u64,
}

impl Observation {
    /// Checks the observation against itself. `copy_mb`: the size of a function's copy, 0 if unknown; `memory_mb` of the
    /// worker, 0 if unknown.
    pub fn consistency(&self, copy_mb: impl Fn(&str) -> f64, memory_mb: f64) -> Consistency<'_> {
        let mut entries: BTreeMap<&str, &FunctionReport> = BTreeMap::new();
        let (mut unclear, mut contradictions) = (Vec::new(), 0);
        for entry in &self.entries {
            let differs = entries
                .get(&*entry.function)
                .is_some_and(|earlier| *earlier != entry);
            if differs || entry.is_implausible() {
                contradictions += 1;
                unclear.push(&*entry.function);
            }
            entries.insert(&entry.function, entry);
        }
        for function in &unclear {
            entries.remove(function);
        }
        let loaded_mb: f64 = entries
            .values()
            .map(|entry| f64::from(entry.copies) * copy_mb(&entry.function))
            .sum();
        if memory_mb > 0.0 && loaded_mb > memory_mb * MEMORY_SLACK {
            contradictions += 1;
        }
        Consistency {
            entries,
            unclear,
            contradictions,
        }
    }
}
