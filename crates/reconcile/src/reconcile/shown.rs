//! What is counted, and what is shown to whoever operates it: [`Counts`] grow as things happen,
//! [`Reconciler::shown`] tells of each worker. Nothing here is read back by a decision.
//!
//! Mechanisms:
//! 1. Each kind of difference has its count; what was left alone is counted by why it was.
//! 2. Of a worker with many functions, the first by name are shown.

use std::collections::BTreeMap;

use cedarpulley::interface::Micros;
use serde::Serialize;

use super::Reconciler;
use crate::drift::{KINDS, Kind};

/// Functions that are shown of a worker.
const MOST_SHOWN: usize = 100;

/// All that was seen and done; nothing here is read back by a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub asks: u64,
    /// For another member that was not heard of.
    pub asks_for_another: u64,
    pub asks_put_off: u64,
    pub answers: u64,
    pub silences: u64,
    pub notes: u64,
    pub notes_unreadable: u64,
    pub notes_old: u64,
    pub void_older: u64,
    pub void_of_earlier_process: u64,
    pub left_belief_newer: u64,
    pub left_under_load: u64,
    pub left_doubted: u64,
    pub contradictions: u64,
    pub refuted: u64,
    pub phantom: u64,
    pub unseen: u64,
    pub older_version: u64,
    pub other_incarnation: u64,
    pub miscounted: u64,
    pub prefix_lost: u64,
    pub orphan: u64,
    pub corrected: u64,
    pub renewed: u64,
    pub wanted: u64,
    pub unloaded: u64,
    pub sessions_let_go: u64,
    pub repairs_dropped: u64,
    pub beliefs_left_out: u64,
}

impl Counts {
    pub(super) fn found(&mut self, kind: Kind) {
        let count = match kind {
            Kind::Phantom => &mut self.phantom,
            Kind::Unseen => &mut self.unseen,
            Kind::OlderVersion => &mut self.older_version,
            Kind::OtherIncarnation => &mut self.other_incarnation,
            Kind::Miscounted => &mut self.miscounted,
            Kind::PrefixLost => &mut self.prefix_lost,
            Kind::Orphan => &mut self.orphan,
        };
        *count += 1;
    }
}

/// One worker, as an operator sees it.
#[derive(Debug, Serialize)]
pub struct Shown<'a> {
    pub worker: &'a str,
    pub id: &'a str,
    /// 0: this router asks it.
    pub rank: u32,
    pub life: Option<u64>,
    pub doubt: u8,
    pub heard_us_ago: Micros,
    /// The first of them by name.
    pub believes: Vec<&'a str>,
    /// Its answers that were taken in, its own or as others noted them.
    pub answers: u64,
    pub found: BTreeMap<Kind, u64>,
    /// By which answer each kind was found last.
    pub found_by: BTreeMap<Kind, u64>,
}

impl Reconciler {
    /// For whoever operates it.
    pub fn shown(&self) -> impl Iterator<Item = Shown<'_>> {
        self.places.iter().map(|(worker, p)| Shown {
            worker,
            id: &p.id,
            rank: p.rank,
            life: p.life,
            doubt: p.doubt,
            heard_us_ago: self.now - p.heard,
            believes: p
                .beliefs
                .iter()
                .filter(|(_, b)| b.believed(self.now))
                .map(|(f, _)| &**f)
                .take(MOST_SHOWN)
                .collect(),
            answers: p.answers,
            found: KINDS
                .iter()
                .map(|k| (*k, p.found[k.ix()]))
                .filter(|f| f.1 > 0)
                .collect(),
            found_by: KINDS
                .iter()
                .map(|k| (*k, p.found_by[k.ix()]))
                .filter(|f| f.1 > 0)
                .collect(),
        })
    }
}
