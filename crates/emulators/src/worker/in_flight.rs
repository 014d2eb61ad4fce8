//! Guards that live as long as an invocation is in flight. They correct the counts of the worker and log the outcome,
//! however the invocation ends.

use std::net::IpAddr;
use std::sync::Arc;

use serde_json::json;

use super::WorkerShared;
use crate::Log;
use crate::http::Partition;

/// Logs the outcome of an invocation when dropped, also if its connection was closed.
pub(super) struct OutcomeLog {
    pub(super) log: Log,
    pub(super) partition: Partition,
    pub(super) peer: IpAddr,
    pub(super) id: String,
    pub(super) dispatch: String,
    pub(super) outcome: &'static str,
}

impl Drop for OutcomeLog {
    fn drop(&mut self) {
        self.log.write(
            "left",
            json!({
                "id": self.id, "dispatch": self.dispatch, "from": self.peer.to_string(), "how": self.outcome,
                "unseen_since": self.partition.unseen_since(self.peer),
            }),
        );
    }
}

/// Counts an invocation in one of the counts of the worker until it is dropped.
pub(super) struct Occupancy {
    worker: Arc<WorkerShared>,
    counter: Counter,
}

/// A count of the worker.
pub(super) enum Counter {
    Waiting,
    Running,
    UserOf(String),
}

impl Occupancy {
    /// Creates the guard for a count that the caller has just incremented.
    pub(super) fn new(worker: &Arc<WorkerShared>, counter: Counter) -> Self {
        Occupancy {
            worker: worker.clone(),
            counter,
        }
    }
}

impl Drop for Occupancy {
    fn drop(&mut self) {
        self.worker
            .with_incarnation(|incarnation| match &self.counter {
                Counter::Waiting => incarnation.dequeue(),
                Counter::Running => incarnation.end_running(),
                Counter::UserOf(function) => incarnation.remove_user(function),
            });
    }
}
