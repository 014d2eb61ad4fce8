//! What is counted, and what is shown to whoever operates the router: [`Counts`] grow as things happen,
//! [`WorkerStatus`] is one worker's part of `/state`. No decision reads anything of it back.
//!
//! Mechanisms:
//! 1. Each kind of difference has its count; what was left alone is counted by the reason.
//! 2. Of a worker with many functions, the first by name are shown.

use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::Micros;
use serde::Serialize;

use super::schedule::PollSchedule;
use super::worker_state::{DriftTally, WorkerState};
use crate::drift::{DRIFT_KINDS, DriftKind};

/// Functions that are shown of a worker.
const MAX_SHOWN: usize = 100;

/// All that was seen and done since the start. The fields' names are metric names and keys of `/state`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Polls sent.
    pub asks: u64,
    /// Polls in place of a member before this one in rank.
    pub asks_for_another: u64,
    /// Times that a poll waited for the rate limit.
    pub asks_put_off: u64,
    /// Polls that were answered.
    pub answers: u64,
    /// Polls without an answer.
    pub silences: u64,
    /// Notes of other members.
    pub notes: u64,
    /// Notes that are malformed.
    pub notes_unreadable: u64,
    /// Notes older than what was taken already.
    pub notes_old: u64,
    /// Reports that began before the last that was taken.
    pub void_older: u64,
    /// Reports of an earlier incarnation.
    pub void_of_earlier_process: u64,
    /// Differences left alone because the belief changed after the report began.
    pub left_belief_newer: u64,
    /// Differences left alone because a load was under way.
    pub left_under_load: u64,
    /// Differences left alone because the worker is doubted.
    pub left_doubted: u64,
    /// Contradictions within reports.
    pub contradictions: u64,
    /// Reports refuted by an invocation's outcome.
    pub refuted: u64,
    /// Drifts of [`DriftKind::Phantom`].
    pub phantom: u64,
    /// Drifts of [`DriftKind::Unseen`].
    pub unseen: u64,
    /// Drifts of [`DriftKind::OlderVersion`].
    pub older_version: u64,
    /// Drifts of [`DriftKind::OtherIncarnation`].
    pub other_incarnation: u64,
    /// Drifts of [`DriftKind::Miscounted`].
    pub miscounted: u64,
    /// Drifts of [`DriftKind::PrefixLost`].
    pub prefix_lost: u64,
    /// Drifts of [`DriftKind::Orphan`].
    pub orphan: u64,
    /// Beliefs corrected.
    pub corrected: u64,
    /// Beliefs renewed.
    pub renewed: u64,
    /// Loads asked for.
    pub wanted: u64,
    /// Unloads ordered.
    pub unloaded: u64,
    /// Sessions released because their prefix is lost.
    pub sessions_let_go: u64,
    /// Repairs dropped because the queue was full.
    pub repairs_dropped: u64,
    /// Beliefs beyond the bound.
    pub beliefs_left_out: u64,
}

impl Counts {
    pub(super) fn count_drift(&mut self, kind: DriftKind) {
        let count = match kind {
            DriftKind::Phantom => &mut self.phantom,
            DriftKind::Unseen => &mut self.unseen,
            DriftKind::OlderVersion => &mut self.older_version,
            DriftKind::OtherIncarnation => &mut self.other_incarnation,
            DriftKind::Miscounted => &mut self.miscounted,
            DriftKind::PrefixLost => &mut self.prefix_lost,
            DriftKind::Orphan => &mut self.orphan,
        };
        *count += 1;
    }
}

/// One worker, as an operator sees it.
#[derive(Debug, Serialize)]
pub struct WorkerStatus<'a> {
    /// As this router knows it.
    pub worker: &'a str,
    /// As all members know it.
    pub id: &'a str,
    /// 0: this router polls it.
    pub rank: u32,
    /// Of its process, where it tells one.
    #[serde(rename = "life")]
    pub incarnation: Option<u64>,
    /// 0: its reports are believed at once.
    pub doubt: u8,
    /// Microseconds since something was heard of it.
    #[serde(rename = "heard_us_ago")]
    pub last_heard_us_ago: Micros,
    /// Functions of which copies are believed to be there, the first of them by name.
    #[serde(rename = "believes")]
    pub believed: Vec<&'a str>,
    /// Its reports that were taken in, from own polls or as others noted them.
    #[serde(rename = "answers")]
    pub reports: u64,
    /// Drifts found, by kind.
    #[serde(rename = "found")]
    pub drifts: BTreeMap<DriftKind, u64>,
    /// By which report each kind was found last.
    #[serde(rename = "found_by")]
    pub last_found_by: BTreeMap<DriftKind, u64>,
}

impl<'a> WorkerStatus<'a> {
    pub(super) fn new(
        now: Micros,
        worker: &'a Arc<str>,
        state: &'a WorkerState,
        schedule: &PollSchedule,
    ) -> Self {
        let by_kind = |value: fn(DriftTally) -> u64| {
            DRIFT_KINDS
                .iter()
                .map(|kind| (*kind, value(state.drift_tally(*kind))))
                .filter(|(_, value)| *value > 0)
                .collect()
        };
        WorkerStatus {
            worker,
            id: state.id(),
            rank: schedule.rank(worker).map_or(0, |rank| rank.position()),
            incarnation: state.incarnation(),
            doubt: state.doubt(),
            last_heard_us_ago: now - schedule.last_heard(worker).unwrap_or(now),
            believed: state
                .believed(now)
                .map(|(function, _)| &**function)
                .take(MAX_SHOWN)
                .collect(),
            reports: state.reports(),
            drifts: by_kind(|tally| tally.found),
            last_found_by: by_kind(|tally| tally.last_report),
        }
    }
}
