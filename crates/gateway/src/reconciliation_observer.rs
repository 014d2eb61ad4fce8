//! Follows what the core decides, and with it what its module believes of copies at workers, for the reconciliation.

use std::rc::Rc;
use std::sync::Arc;

use cedarpulley::interface::{
    Action, CopyStatus, DispatchOutcome, Event, InvocationIndex, LoadOrderResult, Micros,
};
use cedarpulley_reconcile::Change;
use cedarpulley_router::FrontIndex;
use cedarpulley_router::admission_control::RejectionReason;
use cedarpulley_router::observer::{AnswerGiven, Names, RouterObserver, UsageSource, WorkerUsage};

use crate::reconciliation::Reconciliation;

/// An open invocation's function, and the size of a copy of it.
#[derive(Clone, Copy)]
struct OpenInvocation {
    function: u32,
    copy_mb: f64,
}

/// Stands for an invocation whose beginning was not observed.
const UNKNOWN_INVOCATION: OpenInvocation = OpenInvocation {
    function: u32::MAX,
    copy_mb: 0.0,
};

/// Follows what the core decides, and with it what its module believes.
struct CoreObserver {
    reconciliation: Rc<Reconciliation>,
    /// By invocation index.
    open: Vec<OpenInvocation>,
}

impl Reconciliation {
    /// To be registered with the core, which reports its decisions.
    pub fn watch(self: &Rc<Self>) -> Box<dyn RouterObserver> {
        Box::new(CoreObserver {
            reconciliation: self.clone(),
            open: Vec::new(),
        })
    }
}

impl CoreObserver {
    fn change(&self, now: Micros, worker: Option<&str>, function: Option<&str>, change: Change) {
        if let (Some(worker), Some(function)) = (worker, function) {
            self.reconciliation
                .belief_changed(now, worker, function, change);
        }
    }

    fn invocation(&self, invocation: InvocationIndex) -> OpenInvocation {
        let open = self.open.get(invocation as usize).copied();
        open.unwrap_or(UNKNOWN_INVOCATION)
    }

    /// What an event of the core shows of copies.
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
                let ended = Change::DispatchEnded {
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
                    | LoadOrderResult::TimedOut => None,
                };
                let ended = Change::LoadOrderEnded {
                    present,
                    copies: (*copies > 0).then_some(*copies),
                };
                let (worker, function) = (names.worker(*worker), names.function(*function));
                self.change(now, worker, function, ended);
            }
            _ => {}
        }
    }

    /// What an action of the module says of copies.
    fn follow_action(&self, now: Micros, action: &Action, names: Names) {
        let (worker, function, change) = match action {
            Action::Dispatch {
                invocation, worker, ..
            } => (
                *worker,
                self.invocation(*invocation).function,
                Change::Dispatched,
            ),
            Action::LoadOrder {
                worker, function, ..
            } => (*worker, *function, Change::LoadOrdered),
            Action::Unload { worker, function } => (*worker, *function, Change::Unloaded),
            _ => return,
        };
        self.change(now, names.worker(worker), names.function(function), change);
    }
}

/// What the end of a dispatch shows of the copy: whether it exists now, and whether it existed before.
fn copy_evidence(outcome: DispatchOutcome, note: CopyStatus) -> (Option<bool>, bool) {
    match (outcome, note) {
        (_, CopyStatus::LoadFailed) | (DispatchOutcome::NotLoaded, _) => (Some(false), false),
        (DispatchOutcome::Succeeded, note) => (Some(true), note == CopyStatus::Warm),
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

    fn answered(&mut self, _: Micros, _: AnswerGiven) {}

    fn rejected(&mut self, _: Micros, _: FrontIndex, _: u32, _: u32, _: RejectionReason) {}

    fn used(&mut self, now: Micros, used: WorkerUsage) {
        if let (Some(id), UsageSource::Dispatch(DispatchOutcome::Succeeded, _)) =
            (used.session, used.source)
        {
            let change = Change::SessionUsed {
                id: Arc::from(id),
                is_last: used.ends_session,
            };
            self.change(now, Some(used.worker_name), Some(used.function), change);
        }
    }
}
