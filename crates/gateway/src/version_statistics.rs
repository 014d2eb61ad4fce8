//! This router's statistics on the versions of models that are being upgraded: collects them, and determines when they
//! are due to be published to the group.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use cedarpulley::interface::{CopyStatus, DispatchOutcome, Micros};
use cedarpulley_kserve::client_requests;
use cedarpulley_router::observer::WorkerUsage;
use cedarpulley_upgrade::{Name, RoutingRule, VersionCounters};
use serde::{Deserialize, Serialize};

use crate::context::GatewayContext;

/// Time after which unchanged statistics are published again, in microseconds.
const REPUBLISH_INTERVAL: Micros = 300_000_000;

/// A member's statistics on the versions of a model, as encoded in the shared state. The order of fields is
/// the format.
#[derive(Serialize, Deserialize, PartialEq)]
pub(crate) struct VersionStats {
    /// The rule by which the member routes requests of the model.
    pub(crate) routing_rule: RoutingRule,
    /// The counts by version and trigger type.
    pub(crate) counts: Vec<VersionCounters>,
}

/// The statistics of a model that were published last.
#[derive(Default)]
struct PublishedStats {
    /// Their encoding.
    value: Bytes,
    /// When they were published, in microseconds.
    at: Micros,
}

/// A note with statistics to publish.
pub(crate) struct StatisticsNote {
    /// Version of the note.
    pub(crate) version: (u64, u64),
    /// The encoded statistics.
    pub(crate) value: Bytes,
}

/// A model, its version, and the index of a trigger type.
type CountKey = (Name, Name, u32);

/// Counts the dispatches to each version, by trigger type.
pub(crate) struct VersionStatistics {
    context: Rc<GatewayContext>,
    /// Latency objective by trigger type, in microseconds.
    latency_objectives: Vec<Micros>,
    counts: RefCell<BTreeMap<CountKey, VersionCounters>>,
    /// By model.
    published: RefCell<BTreeMap<Name, PublishedStats>>,
    /// Wall time of this process's start in microseconds: the first part of the version of each note, so that the
    /// statistics supersede those of an earlier process.
    started_at: u64,
    /// Number of published notes: the second part of the version.
    serial: Cell<u64>,
}

impl VersionStatistics {
    /// Creates empty statistics. `latency_objectives`: by trigger type, in microseconds.
    pub(crate) fn new(context: Rc<GatewayContext>, latency_objectives: Vec<Micros>) -> Self {
        VersionStatistics {
            started_at: context.clock.wall_time().max(0) as u64,
            context,
            latency_objectives,
            counts: RefCell::default(),
            published: RefCell::default(),
            serial: Cell::new(0),
        }
    }

    /// Records the end of a dispatch. Other outcomes than success, error and timeout, such as the failure of a connection
    /// or a full worker, are not counted, as they do not depend on the version.
    pub(crate) fn record(&self, used: &WorkerUsage, outcome: DispatchOutcome, status: CopyStatus) {
        use DispatchOutcome::{Errored, Succeeded, TimedOut};
        if !matches!(outcome, Succeeded | Errored | TimedOut) {
            return;
        }
        let (model, version) = client_requests::split_version(used.function);
        let (version, trigger) = (Name::from(version), used.trigger as usize);
        let mut counts = self.counts.borrow_mut();
        let count = counts
            .entry((Name::from(model), version.clone(), used.trigger))
            .or_insert_with(|| {
                let trigger = self.context.names.triggers.get(trigger);
                VersionCounters {
                    version,
                    trigger: Name::from(trigger.map_or("", String::as_str)),
                    ..VersionCounters::default()
                }
            });
        let objective = self.latency_objectives.get(trigger).copied();
        // A dispatch that waited for a load is not counted as late, as the load delayed it.
        let late =
            status != CopyStatus::LoadStarted && used.took > objective.unwrap_or(Micros::MAX);
        count.completed += 1;
        count.errored += u64::from(outcome != Succeeded);
        count.late += u64::from(outcome == Succeeded && late);
    }

    /// The counts of a model, by version and trigger type.
    pub(crate) fn of_model(&self, model: &Name) -> Vec<VersionCounters> {
        let counts = self.counts.borrow();
        let first: CountKey = (model.clone(), Name::default(), 0);
        let of_model = counts.range(first..).take_while(|((m, ..), _)| m == model);
        of_model.map(|(_, count)| count.clone()).collect()
    }

    /// The note to publish for a model; absent if the same statistics were published recently.
    pub(crate) fn due_note(
        &self,
        now: Micros,
        model: &Name,
        stats: &VersionStats,
    ) -> Option<StatisticsNote> {
        let value = postcard::to_stdvec(stats).map(Bytes::from).ok()?;
        let mut published = self.published.borrow_mut();
        let last = published.entry(model.clone()).or_default();
        if last.value == value && now - last.at < REPUBLISH_INTERVAL {
            return None;
        }
        *last = PublishedStats {
            value: value.clone(),
            at: now,
        };
        self.serial.set(self.serial.get() + 1);
        let version = (self.started_at, self.serial.get());
        Some(StatisticsNote { version, value })
    }
}
