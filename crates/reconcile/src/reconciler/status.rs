//! Counts and status for operators: [`Counts`] only grow, and [`WorkerStatus`] is the part of `/state` about one
//! worker. No decision reads them.
//!
//! Mechanisms:
//! 1. Each kind of drift has its own count; differences that are not corrected are counted by reason.
//! 2. If a worker has many functions, only the first ones by name are shown.

use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::Micros;
use serde::Serialize;

use super::schedule::PollSchedule;
use super::worker_state::{DriftTally, WorkerState};
use crate::drift::{DRIFT_KINDS, DriftKind};

/// Most functions that are shown for a worker.
const MAX_SHOWN_FUNCTIONS: usize = 100;

/// Counts since the start. The field names are part of metric names and keys of `/state`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Polls sent.
    pub asks: u64,
    /// Polls sent in place of a member with a lower rank position.
    pub asks_for_another: u64,
    /// Times that due polls were delayed by the rate limit.
    pub asks_put_off: u64,
    /// Polls that were answered.
    pub answers: u64,
    /// Polls without an answer.
    pub silences: u64,
    /// Notes received from other members.
    pub notes: u64,
    /// Malformed notes.
    pub notes_unreadable: u64,
    /// Notes with a version that is not newer than the last accepted one.
    pub notes_old: u64,
    /// Reports that did not begin after the last accepted report.
    pub void_older: u64,
    /// Void reports of an earlier or unconfirmed incarnation.
    pub void_of_earlier_process: u64,
    /// Differences not corrected because the record changed after the report began.
    pub left_belief_newer: u64,
    /// Differences not corrected because a load was in progress.
    pub left_under_load: u64,
    /// Differences not corrected because the worker is doubted.
    pub left_doubted: u64,
    /// Contradictions within reports.
    pub contradictions: u64,
    /// Reports refuted by the outcome of an invocation.
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
    /// Records corrected.
    pub corrected: u64,
    /// Records renewed.
    pub renewed: u64,
    /// Loads requested.
    pub wanted: u64,
    /// Unloads ordered.
    pub unloaded: u64,
    /// Sessions released because their prefix is lost.
    pub sessions_let_go: u64,
    /// Repairs dropped because the queue was full.
    pub repairs_dropped: u64,
    /// Changes and reported entries that were ignored because the number of records is at its limit.
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

/// The status of one worker, for operators.
#[derive(Debug, Serialize)]
pub struct WorkerStatus<'a> {
    /// This router's name for the worker.
    pub worker: &'a str,
    /// The id by which all members know the worker.
    pub id: &'a str,
    /// The position of this router in the ranking; at 0 it polls the worker.
    pub rank: u32,
    /// The incarnation of the worker process, if reported.
    #[serde(rename = "life")]
    pub incarnation: Option<u64>,
    /// The level of doubt; at 0 differences in reports are accepted at once.
    pub doubt: u8,
    /// Microseconds since the last result of a poll of the worker, from this router or in a note.
    #[serde(rename = "heard_us_ago")]
    pub last_poll_result_us_ago: Micros,
    /// Functions that are recorded as warm; the first ones by name if there are many.
    #[serde(rename = "believes")]
    pub recorded_warm: Vec<&'a str>,
    /// Number of reports, from own polls and from notes of other members, without those older than the last accepted
    /// one.
    #[serde(rename = "answers")]
    pub reports: u64,
    /// Number of drifts found, by kind.
    #[serde(rename = "found")]
    pub drifts: BTreeMap<DriftKind, u64>,
    /// The number of the report in which each kind was last found.
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
            last_poll_result_us_ago: now - schedule.last_poll_result_at(worker).unwrap_or(now),
            recorded_warm: state
                .recorded_warm(now)
                .map(|(function, _)| &**function)
                .take(MAX_SHOWN_FUNCTIONS)
                .collect(),
            reports: state.reports(),
            drifts: by_kind(|tally| tally.found),
            last_found_by: by_kind(|tally| tally.last_report),
        }
    }
}
