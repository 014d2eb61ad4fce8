//! Follows the events and actions of the router core for the reconciliation, and derives from them how the balancer's
//! record of warm copies at workers changes.

use std::rc::Rc;
use std::sync::Arc;

use cedarpulley::interface::{
    Action, CopyStatus, DispatchOutcome, Event, InvocationIndex, LoadOrderResult, Micros,
};
use cedarpulley_reconcile::CopyChange;
use cedarpulley_router::FrontIndex;
use cedarpulley_router::admission_control::RejectionReason;
use cedarpulley_router::observer::{Names, RouterObserver, SentAnswer, UsageSource, WorkerUsage};

use crate::reconciliation::Reconciliation;

/// The function of an open invocation, and the size of one copy of the function.
#[derive(Clone, Copy)]
struct OpenInvocation {
    /// Index of the function.
    function: u32,
    /// Size in MB.
    copy_mb: f64,
}

/// Placeholder for an invocation whose start was not observed.
const UNKNOWN_INVOCATION: OpenInvocation = OpenInvocation {
    function: u32::MAX,
    copy_mb: 0.0,
};

/// The observer of the router core.
struct CoreObserver {
    reconciliation: Rc<Reconciliation>,
    /// By invocation index.
    open: Vec<OpenInvocation>,
}

impl Reconciliation {
    /// Creates an observer, which the caller registers with the router core.
    pub fn observer(self: &Rc<Self>) -> Box<dyn RouterObserver> {
        Box::new(CoreObserver {
            reconciliation: self.clone(),
            open: Vec::new(),
        })
    }
}

impl CoreObserver {
    /// Reports a change of the recorded copies, if the worker and the function are known.
    fn change(
        &self,
        now: Micros,
        worker: Option<&str>,
        function: Option<&str>,
        change: CopyChange,
    ) {
        if let (Some(worker), Some(function)) = (worker, function) {
            self.reconciliation
                .recorded_copies_changed(now, worker, function, change);
        }
    }

    /// The open invocation with this index.
    fn invocation(&self, invocation: InvocationIndex) -> OpenInvocation {
        let open = self.open.get(invocation as usize).copied();
        open.unwrap_or(UNKNOWN_INVOCATION)
    }

    /// Derives changes of the recorded copies from an event of the router core.
    fn follow_event(&mut self, now: Micros, event: &Event, names: Names) {
        match event {
            Event::Invocation(invocation) => {
                let index = invocation.invocation as usize;
                if self.open.len() <= index {
                    self.open.resize(index + 1, UNKNOWN_INVOCATION);
                }
                self.open[index] = OpenInvocation {
                    function: invocation.function,
                    copy_mb: invocation.copy_mb,
                };
            }
            Event::DispatchEnded(end) => {
                let OpenInvocation { function, copy_mb } = self.invocation(end.invocation);
                let (present, was_present) = copy_evidence(end.outcome, end.copy_status);
                let ended = CopyChange::DispatchEnded {
                    present,
                    was_present,
                    copy_mb,
                };
                let (worker, function) = (names.worker(end.worker), names.function(function));
                self.change(now, worker, function, ended);
            }
            Event::OrderEnded {
                worker,
                function,
                result,
                copies,
                ..
            } => {
                let present = match result {
                    LoadOrderResult::Loaded
                    | LoadOrderResult::NoCapacity
                    | LoadOrderResult::LoadFailed => Some(*copies > 0),
                    LoadOrderResult::ConnectionLost
                    | LoadOrderResult::Unreachable
                    | LoadOrderResult::TimedOut
                    | LoadOrderResult::NotSent => None,
                };
                let ended = CopyChange::LoadOrderEnded {
                    present,
                    copies: (*copies > 0).then_some(*copies),
                };
                let (worker, function) = (names.worker(*worker), names.function(*function));
                self.change(now, worker, function, ended);
            }
            _ => {}
        }
    }

    /// Derives a change of the recorded copies from an action of the balancer.
    fn follow_action(&self, now: Micros, action: &Action, names: Names) {
        let (worker, function, change) = match action {
            Action::Dispatch {
                invocation, worker, ..
            } => (
                *worker,
                self.invocation(*invocation).function,
                CopyChange::Dispatched,
            ),
            Action::LoadOrder {
                worker, function, ..
            } => (*worker, *function, CopyChange::LoadOrdered),
            Action::Unload { worker, function } => (*worker, *function, CopyChange::Unloaded),
            _ => return,
        };
        self.change(now, names.worker(worker), names.function(function), change);
    }
}

/// What the end of a dispatch shows of the copy: whether it is loaded now (absent if unknown), and whether it certainly
/// was warm before.
fn copy_evidence(outcome: DispatchOutcome, status: CopyStatus) -> (Option<bool>, bool) {
    match (outcome, status) {
        (_, CopyStatus::LoadFailed) | (DispatchOutcome::NotLoaded, _) => (Some(false), false),
        (DispatchOutcome::Succeeded, status) => (Some(true), status == CopyStatus::Warm),
        (_, CopyStatus::Warm) => (Some(true), true),
        _ => (None, false),
    }
}

impl RouterObserver for CoreObserver {
    fn decided(&mut self, now: Micros, event: &Event, actions: &[Action], names: Names) {
        self.follow_event(now, event, names);
        for action in actions {
            self.follow_action(now, action, names);
        }
    }

    fn accepted(&mut self, _: Micros, _: InvocationIndex, _: FrontIndex, _: Option<&str>, _: bool) {
    }

    fn answered(&mut self, _: Micros, _: SentAnswer) {}

    fn rejected(&mut self, _: Micros, _: FrontIndex, _: u32, _: u32, _: RejectionReason) {}

    fn used(&mut self, now: Micros, used: WorkerUsage) {
        if let (Some(id), UsageSource::Dispatch(DispatchOutcome::Succeeded, _)) =
            (used.session, used.source)
        {
            let change = CopyChange::SessionUsed {
                id: Arc::from(id),
                is_last: used.ends_session,
            };
            self.change(now, Some(used.worker_name), Some(used.function), change);
        }
    }
}
