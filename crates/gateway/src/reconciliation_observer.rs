//! Follows what the core decides, and with it what its module believes of copies at workers, for the reconciliation.

use std::rc::Rc;
use std::sync::Arc;

use cedarpulley::interface::{
    Action, CopyStatus, DispatchOutcome, Event, InvocationIndex, LoadOrderResult, Micros,
};
use cedarpulley_reconcile::{Change, Input as ReconcilerInput};
use cedarpulley_router::FrontIndex;
use cedarpulley_router::admission_control::RejectionReason;
use cedarpulley_router::observer::{AnswerGiven, Names, RouterObserver, UsageSource, WorkerUsage};

use crate::reconciliation::Reconciliation;

/// Follows what the core decides, and with it what its module believes.
pub(crate) struct CoreObserver {
    reconciliation: Rc<Reconciliation>,
    /// By index of an open invocation: its function, and the size of a copy in MB.
    open: Vec<(u32, f64)>,
}

impl CoreObserver {
    pub(crate) fn new(reconciliation: Rc<Reconciliation>) -> Self {
        CoreObserver {
            reconciliation,
            open: Vec::new(),
        }
    }

    fn change(&self, now: Micros, worker: Option<&str>, function: Option<&str>, change: Change) {
        if let (Some(worker), Some(function)) = (worker, function) {
            let input = ReconcilerInput::Believes {
                worker,
                function,
                change,
            };
            let mut state = self.reconciliation.state.borrow_mut();
            if state.logged_words.is_some() {
                tracing::info!(worker, function, "meddled: changed");
            }
            // This yields no outputs; what follows from it comes with the next report.
            state.reconciler.handle(now, input, &mut Vec::new());
        }
    }

    fn function(&self, inv: InvocationIndex) -> (u32, f64) {
        self.open
            .get(inv as usize)
            .copied()
            .unwrap_or((u32::MAX, 0.0))
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
        match event {
            Event::Invocation(a) => {
                let inv = a.invocation as usize;
                if self.open.len() <= inv {
                    self.open.resize(inv + 1, (u32::MAX, 0.0));
                }
                self.open[inv] = (a.function, a.copy_mb);
            }
            Event::DispatchEnded(e) => {
                let (func, copy_mb) = self.function(e.invocation);
                let (stands, found) = copy_evidence(e.outcome, e.copy_status);
                let ended = Change::Ended {
                    stands,
                    found,
                    copy_mb,
                };
                self.change(now, names.worker(e.worker), names.function(func), ended);
            }
            Event::OrderEnded {
                worker,
                function: func,
                result,
                copies,
                ..
            } => {
                let stands = match result {
                    LoadOrderResult::Loaded => Some(*copies > 0),
                    LoadOrderResult::NoCapacity | LoadOrderResult::LoadFailed => Some(*copies > 0),
                    LoadOrderResult::ConnectionLost
                    | LoadOrderResult::Unreachable
                    | LoadOrderResult::TimedOut => None,
                };
                let ended = Change::OrderEnded {
                    stands,
                    copies: (*copies > 0).then_some(*copies),
                };
                self.change(now, names.worker(*worker), names.function(*func), ended);
            }
            _ => {}
        }
        for action in actions {
            let (worker, func, change) = match action {
                Action::Dispatch {
                    invocation: inv,
                    worker,
                    ..
                } => (*worker, self.function(*inv).0, Change::Sent),
                Action::LoadOrder {
                    worker,
                    function: func,
                    ..
                } => (*worker, *func, Change::Ordered),
                Action::Unload {
                    worker,
                    function: func,
                } => (*worker, *func, Change::Unloaded),
                _ => continue,
            };
            self.change(now, names.worker(worker), names.function(func), change);
        }
    }

    fn accepted(&mut self, _: Micros, _: InvocationIndex, _: FrontIndex, _: Option<&str>, _: bool) {
    }

    fn answered(&mut self, _: Micros, _: AnswerGiven) {}

    fn rejected(&mut self, _: Micros, _: FrontIndex, _: u32, _: u32, _: RejectionReason) {}

    fn used(&mut self, now: Micros, u: WorkerUsage) {
        if let (Some(id), UsageSource::Dispatch(DispatchOutcome::Succeeded, _)) =
            (u.session, u.source)
        {
            let change = Change::Session {
                id: Arc::from(id),
                over: u.ends_session,
            };
            self.change(now, Some(u.worker_name), Some(u.function), change);
        }
    }
}
