//! Finds routers that had the same fleet position at the same time.

use std::collections::BTreeMap;

use cedarpulley::interface::Micros;

use crate::start::Source;

/// Incarnations that overlap for less than this ran one after the other, with slightly different clocks.
const MIN_OVERLAP: Micros = 2_000_000;
/// Largest number of reported pairs.
const MAX_PAIRS: usize = 20;

/// One router incarnation.
struct Incarnation {
    position: u32,
    routers: u32,
    /// Wall clocks of its first and last record; absent before the first record.
    span: Option<(Micros, Micros)>,
}

/// All router incarnations, by name and start.
#[derive(Default)]
pub(super) struct RouterPositions {
    incarnations: BTreeMap<(String, Micros), Incarnation>,
}

fn key(source: &Source) -> (String, Micros) {
    (source.start.router.clone(), source.start.wall_at_zero)
}

impl RouterPositions {
    pub fn add(&mut self, source: &Source) {
        let fleet = &source.start.startup.fleet;
        self.incarnations.entry(key(source)).or_insert(Incarnation {
            position: fleet.position,
            routers: fleet.routers,
            span: None,
        });
    }

    pub fn seen(&mut self, source: &Source, wall: Micros) {
        if let Some(incarnation) = self.incarnations.get_mut(&key(source)) {
            let (from, until) = incarnation.span.unwrap_or((wall, wall));
            incarnation.span = Some((from.min(wall), until.max(wall)));
        }
    }

    pub fn count(&self) -> u64 {
        self.incarnations.len() as u64
    }

    /// Router names of the pairs of incarnations that have the same position and overlap in time.
    pub fn overlapping(&self) -> Vec<(String, String)> {
        let mut pairs = Vec::new();
        let all: Vec<_> = self.incarnations.iter().collect();
        for (n, ((one_name, _), one)) in all.iter().enumerate() {
            let later = all[n + 1..].iter().filter(|(_, other)| {
                (other.position, other.routers) == (one.position, one.routers)
            });
            for ((other_name, _), other) in later {
                let (Some(a), Some(b)) = (one.span, other.span) else {
                    continue;
                };
                if a.1.min(b.1) - a.0.max(b.0) >= MIN_OVERLAP && pairs.len() < MAX_PAIRS {
                    pairs.push((one_name.clone(), other_name.clone()));
                }
            }
        }
        pairs
    }
}
