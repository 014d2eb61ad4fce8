//! Observers of what the core receives and decides. They never decide anything themselves: the trace, the usage ledger.

use std::sync::Arc;

use cedarpulley::ids::Interner;
use cedarpulley::interface::{
    Action, CopyStatus, DispatchOutcome, Event, InvocationIndex, LoadOrderResult, Micros,
};
use cedarpulley_usage_metering::MemoryTotals;

use crate::admission_control::RejectionReason;
use crate::{AnswerReason, FinalOutcome, FrontIndex};

/// Names of the indices in events and actions.
#[derive(Clone, Copy)]
pub struct Names<'a> {
    pub(crate) functions: &'a [Arc<str>],
    pub(crate) workers: &'a Interner<String>,
}

impl<'a> Names<'a> {
    /// The function's name.
    pub fn function(&self, index: u32) -> Option<&'a str> {
        self.functions
            .get(index as usize)
            .map(|name| name.as_ref())
            .filter(|name| !name.is_empty())
    }

    /// The worker's name in the endpoint list.
    pub fn worker(&self, index: u32) -> Option<&'a str> {
        self.workers.id(index).map(String::as_str)
    }
}

/// A final answer that was sent to a delivery.
#[derive(Clone, Copy, Debug)]
pub struct AnswerGiven {
    /// Absent if it was answered without the decision module.
    pub invocation: Option<InvocationIndex>,
    /// The front of the delivery.
    pub front: FrontIndex,
    /// The outcome.
    pub outcome: FinalOutcome,
    /// Why.
    pub reason: AnswerReason,
    /// Index of the trigger type; `u32::MAX` where it is not known any more.
    pub trigger: u32,
    /// Index of the account; `u32::MAX` where it is not known any more.
    pub account: u32,
    /// Time since the invocation was accepted.
    pub took: Micros,
}

/// What one dispatch, or one load order, used of a worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerUsage<'a> {
    /// Index of the worker.
    pub worker: u32,
    /// The worker's name in the endpoint list.
    pub worker_name: &'a str,
    /// Name of the function.
    pub function: &'a str,
    /// The session it belongs to.
    pub session: Option<&'a str>,
    /// It was the last invocation of the session.
    pub ends_session: bool,
    /// Index of the trigger type.
    pub trigger: u32,
    /// The account of the invocation; of an order: the account that requested the function last.
    pub account: u32,
    /// What used the worker.
    pub source: UsageSource,
    /// How long it took.
    pub took: Micros,
    /// Size of a copy in megabytes.
    pub copy_mb: f64,
    /// Invocations that one copy runs at a time.
    pub lanes: u32,
    /// Memory held so far for the account and function, as the worker reports it.
    pub memory_held: Option<MemoryTotals>,
}

/// What used a worker, and how that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageSource {
    /// A dispatch.
    Dispatch(DispatchOutcome, CopyStatus),
    /// A load order.
    Order(LoadOrderResult),
}

/// Notified in the order in which things happened, on the deciding path: no method may wait for anything.
pub trait RouterObserver {
    /// The decision module was told of the event and asked for the actions.
    fn decided(&mut self, now: Micros, event: &Event, actions: &[Action], names: Names);
    /// An invocation was accepted; the module is told of it next. `mark`: its name as its client gave it.
    fn accepted(
        &mut self,
        now: Micros,
        inv: InvocationIndex,
        front: FrontIndex,
        mark: Option<&str>,
        redelivered: bool,
    );
    /// A final answer was sent.
    fn answered(&mut self, now: Micros, given: AnswerGiven);
    /// A request was rejected before its body was read.
    fn rejected(
        &mut self,
        now: Micros,
        front: FrontIndex,
        trigger: u32,
        account: u32,
        why: RejectionReason,
    );
    /// A dispatch or a load order ended.
    fn used(&mut self, now: Micros, used: WorkerUsage);
}
