//! Causes with their printed names.

use std::fmt;

use cedarpulley::interface::Micros;
use serde::Serialize;

/// What cost an invocation; the text is the subject that is to blame. Sorted and printed, as text and as JSON, under
/// the names given beside the variants.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case", tag = "cause", content = "subject")]
pub enum Cause {
    /// Rejected for the share of an account, a listener or a connection.
    #[serde(rename = "beyond-share")]
    ShareExceeded(String),
    /// Rejected by another limit of admission control.
    #[serde(rename = "door")]
    AdmissionLimit(String),
    /// Its client's timeout had passed before it arrived.
    #[serde(rename = "came-late")]
    ExpiredOnArrival(String),
    /// A worker stopped responding, closed the connection or could not be reached.
    #[serde(rename = "worker-silent")]
    WorkerUnresponsive(String),
    /// A worker answered with an error.
    WorkerErrored(String),
    /// A worker took far longer than usual for the trigger type.
    WorkerSlow(String),
    /// Workers rejected it.
    #[serde(rename = "workers-full")]
    WorkersOverloaded(String),
    /// No worker had capacity to load its function, or the load failed.
    #[serde(rename = "no-place")]
    NoLoadCapacity(String),
    /// It waited for a load of this function.
    #[serde(rename = "load")]
    FunctionLoad(String),
    /// Loads of many functions were waited for.
    #[serde(rename = "loads")]
    ManyFunctionLoads(String),
    /// Queued for a lane that did not become free in time.
    #[serde(rename = "held")]
    Queued(String),
    /// Delivered again after it may have been executed.
    Redelivered(String),
    /// Its own execution took that long.
    #[serde(rename = "own-work")]
    OwnExecution(String),
    /// Another reason of the router, by its name.
    Other(String),
}

impl Cause {
    /// The name printed in text, and the subject.
    fn printed(&self) -> (&'static str, &str) {
        match self {
            Cause::ShareExceeded(subject) => ("BeyondShare", subject),
            Cause::AdmissionLimit(subject) => ("Door", subject),
            Cause::ExpiredOnArrival(subject) => ("CameLate", subject),
            Cause::WorkerUnresponsive(subject) => ("WorkerSilent", subject),
            Cause::WorkerErrored(subject) => ("WorkerErrored", subject),
            Cause::WorkerSlow(subject) => ("WorkerSlow", subject),
            Cause::WorkersOverloaded(subject) => ("WorkersFull", subject),
            Cause::NoLoadCapacity(subject) => ("NoPlace", subject),
            Cause::FunctionLoad(subject) => ("Load", subject),
            Cause::ManyFunctionLoads(subject) => ("Loads", subject),
            Cause::Queued(subject) => ("Held", subject),
            Cause::Redelivered(subject) => ("Redelivered", subject),
            Cause::OwnExecution(subject) => ("OwnWork", subject),
            Cause::Other(subject) => ("Other", subject),
        }
    }
}

/// As `trace explain` prints it.
impl fmt::Debug for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, subject) = self.printed();
        f.debug_tuple(name).field(&subject).finish()
    }
}

/// A cause with what it cost in all.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct RankedCause {
    /// The cause.
    #[serde(flatten)]
    pub cause: Cause,
    /// Billed value lost.
    pub cost: f64,
    /// Invocations that ended without success.
    pub lost: u64,
    /// Invocations that succeeded late.
    pub late: u64,
    /// Wall clock of the first such answer, in microseconds.
    pub from_us: Micros,
    /// Wall clock of the last such answer, in microseconds.
    pub until_us: Micros,
}
