//! What a worker said at one moment. [`Observation::sound`] takes out what contradicts itself.
//!
//! Mechanisms:
//! 1. A function that is named twice with different words is left out: neither word is believed.
//! 2. More copies than any worker holds, and copies at work where none stand, are no word about copies at all.
//! 3. Copies that need more memory than the worker has: it says so much that nothing of it is believed at once.

use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::Micros;
use serde::{Deserialize, Serialize};

/// No worker holds more copies of one function; a greater number is nonsense.
const MOST_COPIES: u32 = 10_000;
/// The sizes of copies are what clients say: a worker is called a liar only well above its memory.
const MEMORY_SLACK: f64 = 1.5;

/// About one function.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub function: Arc<str>,
    /// 0: it is not there.
    pub copies: u32,
    pub loading: bool,
    pub busy: Option<u32>,
    pub idle: Option<Micros>,
    /// The router that ordered it last, and the term of the plan for which it did.
    pub ordered_by: Option<Arc<str>>,
    pub term: Option<Arc<str>>,
    /// Sessions whose prefix is held; absent if the worker says nothing of them.
    pub sequences: Option<Vec<Arc<str>>>,
}

impl Entry {
    /// One of which no more is known than that copies stand.
    pub fn plain(function: &str, copies: u32) -> Entry {
        Entry {
            function: Arc::from(function),
            copies,
            loading: false,
            busy: None,
            idle: None,
            ordered_by: None,
            term: None,
            sequences: None,
        }
    }

    fn nonsense(&self) -> bool {
        self.copies > MOST_COPIES
            || self.copies == 0 && !self.loading && self.busy.is_some_and(|n| n > 0)
            || self.idle.is_some_and(|idle| idle < 0)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Of the worker's process, where it says one.
    pub life: Option<u64>,
    pub entries: Vec<Entry>,
    /// Something was left out: what is not named may be there all the same.
    pub cut: bool,
}

/// What is believable of an observation.
pub struct Sound<'a> {
    pub entries: BTreeMap<&'a str, &'a Entry>,
    /// Nothing is concluded about these.
    pub unclear: Vec<&'a str>,
    /// It contradicted itself so often.
    pub contradictions: u64,
}

impl Observation {
    /// `mb`: the size of a copy, where it is known; `memory_mb` of the worker, 0 if unknown.
    pub fn sound(&self, mb: impl Fn(&str) -> f64, memory_mb: f64) -> Sound<'_> {
        let mut entries: BTreeMap<&str, &Entry> = BTreeMap::new();
        let (mut unclear, mut contradictions) = (Vec::new(), 0);
        for e in &self.entries {
            let other = entries.get(&*e.function).is_some_and(|before| *before != e);
            if other || e.nonsense() {
                contradictions += 1;
                unclear.push(&*e.function);
            }
            entries.insert(&e.function, e);
        }
        unclear.iter().for_each(|f| {
            entries.remove(f);
        });
        let held: f64 = entries
            .values()
            .map(|e| f64::from(e.copies) * mb(&e.function))
            .sum();
        if memory_mb > 0.0 && held > memory_mb * MEMORY_SLACK {
            contradictions += 1;
        }
        Sound {
            entries,
            unclear,
            contradictions,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_contradicts_itself_is_left_out() {
        let busy = Entry {
            busy: Some(1),
            ..Entry::plain("c", 0)
        };
        let entries = vec![
            Entry::plain("a", 1),
            Entry::plain("a", 2),
            Entry::plain("b", 1),
            busy,
            Entry::plain("d", 99_999),
        ];
        let said = Observation {
            entries,
            ..Observation::default()
        };
        let sound = said.sound(|_| 1.0, 0.0);
        assert_eq!(sound.entries.keys().copied().collect::<Vec<_>>(), ["b"]);
        assert_eq!(
            (sound.unclear, sound.contradictions),
            (vec!["a", "c", "d"], 3)
        );
        // The same said twice is no contradiction; more than its memory is.
        let twice = Observation {
            entries: vec![Entry::plain("a", 2); 2],
            ..Observation::default()
        };
        assert_eq!(twice.sound(|_| 50.0, 100.0).contradictions, 0);
        assert_eq!(twice.sound(|_| 80.0, 100.0).contradictions, 1);
    }
}
