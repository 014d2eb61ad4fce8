//! Passes the completions that the core reports to the admission.

use std::rc::Rc;

use cedarpulley::interface::{Action, Event, InvocationIndex, Micros};
use cedarpulley_router::FrontIndex;
use cedarpulley_router::admission_control::RejectionReason;
use cedarpulley_router::observer::{Names, RouterObserver, SentAnswer, WorkerUsage};

use crate::admission::Admission;

/// Observer of the core that records completions in the admission.
struct CoreObserver(Rc<Admission>);

impl Admission {
    /// Returns an observer to register with the core; it records the ends of dispatches and load orders.
    pub fn observer(self: &Rc<Self>) -> Box<dyn RouterObserver> {
        Box::new(CoreObserver(self.clone()))
    }
}

impl RouterObserver for CoreObserver {
    fn decided(&mut self, _: Micros, _: &Event, _: &[Action], _: Names) {}

    fn accepted(&mut self, _: Micros, _: InvocationIndex, _: FrontIndex, _: Option<&str>, _: bool) {
    }

    fn answered(&mut self, _: Micros, _: SentAnswer) {}

    fn rejected(&mut self, _: Micros, _: FrontIndex, _: u32, _: u32, _: RejectionReason) {}

    fn used(&mut self, _: Micros, used: WorkerUsage) {
        self.0.record_completion(&used);
    }
}
