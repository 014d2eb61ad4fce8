//! Follows the completions that the core reports, for the admission.

use std::rc::Rc;

use cedarpulley::interface::{Action, Event, InvocationIndex, Micros};
use cedarpulley_router::FrontIndex;
use cedarpulley_router::entry::Short;
use cedarpulley_router::watch::{Given, Names, Used, Watch};

use crate::admission::Admission;

/// Records the completions that the core reports.
struct CoreObserver(Rc<Admission>);

impl Admission {
    /// To be registered with the core, which reports the completions of dispatches.
    pub fn observer(self: &Rc<Self>) -> Box<dyn Watch> {
        Box::new(CoreObserver(self.clone()))
    }
}

impl Watch for CoreObserver {
    fn decided(&mut self, _: Micros, _: &Event, _: &[Action], _: Names) {}

    fn taken(&mut self, _: Micros, _: InvocationIndex, _: FrontIndex, _: Option<&str>, _: bool) {}

    fn answered(&mut self, _: Micros, _: Given) {}

    fn turned_away(&mut self, _: Micros, _: FrontIndex, _: u32, _: u32, _: Short) {}

    fn used(&mut self, _: Micros, used: Used) {
        self.0.record_completion(&used);
    }
}
