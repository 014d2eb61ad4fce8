//! The settings, inputs and outputs of a reconciler.

use std::sync::Arc;

use cedarpulley::interface::Micros;

use super::ownership::Claims;
use crate::copy_record::CopyChange;
use crate::drift::Drift;
use crate::observation::Observation;

/// The settings of a reconciler. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct ReconcilerSettings {
    /// The name of this router, as the members and the workers know it.
    pub router_name: Arc<str>,
    /// The base interval between two polls of a worker.
    pub poll_interval: Micros,
    /// Shortest time for which an unclaimed copy is left loaded.
    pub grace_period: Micros,
    /// How long after its last use the balancer expects a copy to be warm.
    pub record_lifetime: Micros,
    /// Polls per second, over all workers.
    pub polls_per_s: f64,
    /// Repairs per second, over all workers.
    pub repairs_per_s: f64,
    /// Seed of the random times.
    pub seed: u64,
}

/// A worker of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct PolledWorker {
    /// This router's name for the worker.
    pub worker: Arc<str>,
    /// The id by which all members know the worker; it changes when the list shows a new process.
    pub id: Arc<str>,
    /// Memory in megabytes; 0 if unknown.
    pub memory_mb: f64,
}

/// An event for the reconciler.
#[derive(Debug)]
pub enum Input<'a> {
    /// The complete endpoint list.
    Workers(Vec<PolledWorker>),
    /// The members that are considered alive, including this router.
    Members(Vec<Arc<str>>),
    /// What the orders and dispatches of this router show about a function. It produces no output by itself; repairs
    /// and polls that follow from it are put out at the next input.
    RecordChanged {
        /// The worker.
        worker: &'a str,
        /// The function.
        function: &'a str,
        /// The change of the record.
        change: CopyChange,
    },
    /// A worker's answer to a poll.
    Reported {
        /// The worker.
        worker: &'a str,
        /// When the poll was sent.
        observation_began: Micros,
        /// The reported observation.
        observation: Observation,
    },
    /// A worker did not answer a poll.
    Unresponsive {
        /// The worker.
        worker: &'a str,
    },
    /// A note of another member was received.
    NoteReceived {
        /// The id by which all members know the worker.
        id: &'a str,
        /// The version of the note; a later note has a higher version.
        version: (u64, u64),
        /// The longest time for which the note can have been in transit, in microseconds.
        transit: Micros,
        /// The encoded note.
        value: &'a [u8],
    },
    /// The current claims of upgrade plans.
    Claims(Claims),
    /// Time has passed; [`super::Reconciler::next_due`] tells when this input is needed.
    Tick,
}

/// An action for the caller to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Poll a worker.
    Poll {
        /// The worker.
        worker: Arc<str>,
    },
    /// Set the number of copies in the balancer's record, whatever it was before.
    CorrectCopies {
        /// The worker.
        worker: Arc<str>,
        /// The function.
        function: Arc<str>,
        /// Number of loaded copies.
        copies: u32,
    },
    /// Request a load from the balancer.
    Load {
        /// The worker.
        worker: Arc<str>,
        /// The function.
        function: Arc<str>,
    },
    /// Order an unload.
    Unload {
        /// The worker.
        worker: Arc<str>,
        /// The function.
        function: Arc<str>,
        /// The term of the upgrade plan for which the function was loaded.
        term: Option<Arc<str>>,
    },
    /// Release sessions whose prefix is lost: they lose nothing by moving to another worker.
    PrefixLost {
        /// The worker.
        worker: Arc<str>,
        /// The function.
        function: Arc<str>,
        /// The released sessions.
        sessions: Vec<Arc<str>>,
    },
    /// Send a note to the other members.
    SendNote {
        /// The id by which all members know the worker.
        id: Arc<str>,
        /// The version of the note; a later note has a higher version.
        version: (u64, u64),
        /// The encoded note.
        value: Vec<u8>,
    },
    /// A drift was found.
    DriftFound(Drift),
}
