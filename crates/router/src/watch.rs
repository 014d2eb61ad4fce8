//! Who listens to what the core sees and does, and never decides: a trace, later a ledger.

use cedarpulley::ids::Interner;
use cedarpulley::interface::{
    Action, CopyStatus, DispatchOutcome, Event, InvocationIndex, LoadOrderResult, Micros,
};
use cedarpulley_usage_metering::Held;

use crate::entry::Short;
use crate::{Fate, FrontIndex, Reason};
use std::sync::Arc;

/// Names of the indices that events and actions speak of.
#[derive(Clone, Copy)]
pub struct Names<'a> {
    pub(crate) functions: &'a [Arc<str>],
    pub(crate) workers: &'a Interner<String>,
}

impl<'a> Names<'a> {
    pub fn function(&self, ix: u32) -> Option<&'a str> {
        self.functions
            .get(ix as usize)
            .map(|n| n.as_ref())
            .filter(|n| !n.is_empty())
    }

    pub fn worker(&self, ix: u32) -> Option<&'a str> {
        self.workers.id(ix).map(String::as_str)
    }
}

/// A final answer that left the core.
#[derive(Clone, Copy, Debug)]
pub struct Given {
    /// Absent if it was answered at once.
    pub inv: Option<InvocationIndex>,
    pub front: FrontIndex,
    pub fate: Fate,
    pub reason: Reason,
    /// `u32::MAX` where it is no longer known.
    pub trigger: u32,
    pub account: u32,
    pub took: Micros,
}

/// What one dispatch, or one order to load, used of a worker.
#[derive(Clone, Copy, Debug)]
pub struct Used<'a> {
    pub worker: u32,
    /// In the list.
    pub worker_name: &'a str,
    pub function: &'a str,
    pub session: Option<&'a str>,
    /// It was the session's last one.
    pub ends: bool,
    pub trigger: u32,
    /// Whose invocation it was; of an order: of the last that asked for the function.
    pub account: u32,
    pub by: By,
    pub took: Micros,
    pub copy_mb: f64,
    pub lanes: u32,
    /// As the worker reports it.
    pub held: Option<Held>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum By {
    Dispatch(DispatchOutcome, CopyStatus),
    Order(LoadOrderResult),
}

/// Called in the order in which things happened, on the deciding path: it must not wait for anything.
pub trait Watch {
    /// The module was told this and asked for that.
    fn decided(&mut self, now: Micros, event: &Event, actions: &[Action], names: Names);
    /// The next arrival that the module is told of; `mark` as its client gave it.
    fn taken(
        &mut self,
        now: Micros,
        inv: InvocationIndex,
        front: FrontIndex,
        mark: Option<&str>,
        redelivered: bool,
    );
    fn answered(&mut self, now: Micros, given: Given);
    fn turned_away(
        &mut self,
        now: Micros,
        front: FrontIndex,
        trigger: u32,
        account: u32,
        why: Short,
    );
    fn used(&mut self, now: Micros, used: Used);
}
