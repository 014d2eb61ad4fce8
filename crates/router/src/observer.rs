//! Observers of the core, such as the trace and the usage ledger: they are notified of what the core receives and
//! decides, and have no influence on its decisions.

use std::sync::Arc;

use cedarpulley::ids::Interner;
use cedarpulley::interface::{
    Action, CopyStatus, DispatchOutcome, Event, InvocationIndex, LoadOrderResult, Micros,
};
use cedarpulley_usage_metering::MemoryTotals;

use crate::admission_control::RejectionReason;
use crate::{AnswerReason, FinalOutcome, FrontIndex};

/// Looks up the names that belong to the function and worker indices in events and actions.
#[derive(Clone, Copy)]
pub struct Names<'a> {
    pub(crate) functions: &'a [Arc<str>],
    pub(crate) workers: &'a Interner<String>,
}

impl<'a> Names<'a> {
    /// Name of the function, if a function has this index.
    pub fn function(&self, index: u32) -> Option<&'a str> {
        self.functions
            .get(index as usize)
            .map(|name| name.as_ref())
            .filter(|name| !name.is_empty())
    }

    /// Name of the worker in the endpoint list, if a worker has this index.
    pub fn worker(&self, index: u32) -> Option<&'a str> {
        self.workers.id(index).map(String::as_str)
    }
}

/// A final answer that was sent to a delivery.
#[derive(Clone, Copy, Debug)]
pub struct SentAnswer {
    /// Index of the invocation; absent if it was answered without the balancer.
    pub invocation: Option<InvocationIndex>,
    /// The front that the answer is sent to.
    pub front: FrontIndex,
    /// The outcome.
    pub outcome: FinalOutcome,
    /// The reason for the outcome.
    pub reason: AnswerReason,
    /// Index of the trigger type; `u32::MAX` if it is no longer known.
    pub trigger: u32,
    /// Index of the account; `u32::MAX` if it is no longer known.
    pub account: u32,
    /// Time since the invocation was accepted.
    pub took: Micros,
}

/// The use of a worker by one dispatch or one load order.
#[derive(Clone, Copy, Debug)]
pub struct WorkerUsage<'a> {
    /// Index of the worker.
    pub worker: u32,
    /// The worker's name in the endpoint list.
    pub worker_name: &'a str,
    /// Name of the function.
    pub function: &'a str,
    /// The session that the invocation belongs to; absent for a load order.
    pub session: Option<&'a str>,
    /// Whether the invocation is the last one of the session.
    pub ends_session: bool,
    /// Index of the trigger type.
    pub trigger: u32,
    /// Index of the account of the invocation; for a load order, of the account that requested the function last.
    pub account: u32,
    /// Whether a dispatch or a load order used the worker, and how it ended.
    pub source: UsageSource,
    /// Duration of the dispatch or load order.
    pub took: Micros,
    /// Size of a copy in megabytes.
    pub copy_mb: f64,
    /// Invocations that one copy runs at a time.
    pub lanes: u32,
    /// Memory that the worker has held so far for the account and function, as reported by the worker.
    pub memory_held: Option<MemoryTotals>,
}

/// What used a worker, and how it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageSource {
    /// A dispatch, with its outcome and the status of the copy that served it.
    Dispatch(DispatchOutcome, CopyStatus),
    /// A load order, with its result.
    LoadOrder(LoadOrderResult),
}

/// Receives notifications in the order of the events. The methods are called on the decision path, within
/// [`Router::handle`], so none of them may block.
///
/// [`Router::handle`]: crate::Router::handle
pub trait RouterObserver {
    /// The balancer handled the event and returned the actions.
    fn decided(&mut self, now: Micros, event: &Event, actions: &[Action], names: Names);
    /// An invocation was accepted and is submitted to the balancer next. `name` is the name that its client gave it.
    fn accepted(
        &mut self,
        now: Micros,
        invocation: InvocationIndex,
        front: FrontIndex,
        name: Option<&str>,
        redelivered: bool,
    );
    /// A final answer was sent.
    fn answered(&mut self, now: Micros, answer: SentAnswer);
    /// A request was rejected before its body was read.
    fn rejected(
        &mut self,
        now: Micros,
        front: FrontIndex,
        trigger: u32,
        account: u32,
        reason: RejectionReason,
    );
    /// A dispatch or a load order ended.
    fn used(&mut self, now: Micros, usage: WorkerUsage);
}
