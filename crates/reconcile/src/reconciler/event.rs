//! What goes into a reconciler, and what comes out.

use std::sync::Arc;

use cedarpulley::interface::Micros;

use super::ownership::Claims;
use crate::belief::Change;
use crate::drift::Drift;
use crate::observation::Observation;

/// The settings of a reconciler. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct ReconcilerSettings {
    /// The name by which the members and the workers know this router.
    pub router_name: Arc<str>,
    /// The usual time between two polls of a worker.
    pub poll_interval: Micros,
    /// What nobody claims is left alone for this long.
    pub grace_period: Micros,
    /// The balancer believes in a copy for this long after its last use.
    pub belief_lifetime: Micros,
    /// Polls a second, over all workers.
    pub polls_per_s: f64,
    /// Repairs a second, over all workers.
    pub repairs_per_s: f64,
    /// Of the random times.
    pub seed: u64,
}

/// A worker of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct PolledWorker {
    /// As this router knows it.
    pub worker: Arc<str>,
    /// As all members know it; another one once the list tells of another process.
    pub id: Arc<str>,
    /// 0: unknown.
    pub memory_mb: f64,
}

/// What happened.
#[derive(Debug)]
pub enum Input<'a> {
    /// The endpoint list, whole.
    Workers(Vec<PolledWorker>),
    /// The members that are believed alive, this one among them.
    Members(Vec<Arc<str>>),
    /// What this router's own orders and dispatches show; what it leads to comes with the next input.
    BeliefChanged {
        /// The worker.
        worker: &'a str,
        /// The function.
        function: &'a str,
        /// What became known.
        change: Change,
    },
    /// A worker's answer to a poll.
    Reported {
        /// The worker.
        worker: &'a str,
        /// When the poll was sent.
        began: Micros,
        /// What it reported.
        observation: Observation,
    },
    /// A worker did not answer a poll.
    Unresponsive {
        /// The worker.
        worker: &'a str,
    },
    /// Another member's note.
    NoteReceived {
        /// The worker, as all members know it.
        id: &'a str,
        /// A later note has a higher version.
        version: (u64, u64),
        /// The longest time it can have been under way.
        transit: Micros,
        /// The note's bytes.
        value: &'a [u8],
    },
    /// What plans claim now.
    Claims(Claims),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Poll a worker.
    Poll {
        /// The worker.
        worker: Arc<str>,
    },
    /// Correct the balancer: so many copies are there, whatever was believed.
    CorrectCopies {
        /// The worker.
        worker: Arc<str>,
        /// The function.
        function: Arc<str>,
        /// How many copies.
        copies: u32,
    },
    /// Ask the balancer for a load.
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
        /// Of the plan for which it was loaded.
        term: Option<Arc<str>>,
    },
    /// These sessions lose nothing by going elsewhere.
    PrefixLost {
        /// The worker.
        worker: Arc<str>,
        /// The function.
        function: Arc<str>,
        /// Sessions whose prefix is lost.
        sessions: Vec<Arc<str>>,
    },
    /// Send a note to the other members.
    SendNote {
        /// The worker, as all members know it.
        id: Arc<str>,
        /// A later note has a higher version.
        version: (u64, u64),
        /// The note's bytes.
        value: Vec<u8>,
    },
    /// A difference was found.
    DriftFound(Drift),
}
