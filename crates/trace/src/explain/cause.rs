//! Causes and their printed names.

use std::fmt;

use cedarpulley::interface::Micros;
use serde::Serialize;

/// Why an invocation failed or was late; the text is the subject that caused it. The order of the variants is the sort
/// order. The serialized names are those of the attributes, the names in text those of [`fmt::Debug`].
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case", tag = "cause", content = "subject")]
pub enum Cause {
    /// Rejected because an account, a listener or a connection had exceeded its share.
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
    /// Workers rejected the invocation.
    #[serde(rename = "workers-full")]
    WorkersOverloaded(String),
    /// No worker had capacity to load the function, or the load failed.
    #[serde(rename = "no-place")]
    NoLoadCapacity(String),
    /// The invocation waited for a load of this function.
    #[serde(rename = "load")]
    FunctionLoad(String),
    /// Invocations waited for loads of many functions.
    #[serde(rename = "loads")]
    ManyFunctionLoads(String),
    /// Queued for a lane that did not become free in time.
    #[serde(rename = "held")]
    Queued(String),
    /// Delivered again after it may have been executed.
    Redelivered(String),
    /// The execution of the invocation itself took too long.
    #[serde(rename = "own-work")]
    OwnExecution(String),
    /// Another reason of the router, by name.
    Other(String),
}

impl Cause {
    /// The name that is printed in text, and the subject.
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

/// Writes the name that `trace explain` prints.
impl fmt::Debug for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, subject) = self.printed();
        f.debug_tuple(name).field(&subject).finish()
    }
}

/// A cause with its total cost.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct RankedCause {
    /// The cause.
    #[serde(flatten)]
    pub cause: Cause,
    /// Lost billed value.
    pub cost: f64,
    /// Invocations that ended without success.
    pub lost: u64,
    /// Invocations that succeeded after their latency objective.
    pub late: u64,
    /// Wall clock of the first of these answers, in microseconds since 1970.
    pub from_us: Micros,
    /// Wall clock of the last of these answers, in microseconds since 1970.
    pub until_us: Micros,
}
