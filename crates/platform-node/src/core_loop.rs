//! [`CoreLoop`]: the router's core with the queue of its inputs and the alarm for its timers.

use std::cell::{Cell, Ref, RefCell};
use std::collections::VecDeque;

use cedarpulley::interface::Micros;
use cedarpulley_net::{Clock, DeadlineTimer};
use cedarpulley_router::{Input, Output, Router};

/// Hands inputs to the core, one after the other.
pub(crate) struct CoreLoop {
    router: RefCell<Router>,
    /// Inputs that the core has not processed yet.
    inputs: RefCell<VecDeque<Input>>,
    is_running: Cell<bool>,
    alarm: DeadlineTimer,
}

impl CoreLoop {
    pub fn new(router: Router) -> Self {
        CoreLoop {
            router: RefCell::new(router),
            inputs: RefCell::default(),
            is_running: Cell::new(false),
            alarm: DeadlineTimer::default(),
        }
    }

    /// Processes an input and carries out the core's outputs in order. Carrying one out may bring a further input: that
    /// is queued, and processed before the outermost call returns.
    pub fn feed(&self, clock: &Clock, input: Input, mut carry_out: impl FnMut(Output)) {
        self.inputs.borrow_mut().push_back(input);
        if self.is_running.replace(true) {
            return;
        }
        let mut outputs = Vec::new();
        while let Some(input) = self.next_input() {
            let due = {
                let mut router = self.router.borrow_mut();
                router.handle(clock.now(), input, &mut outputs);
                router.next_due().unwrap_or(Micros::MAX)
            };
            self.alarm.set_deadline(due);
            outputs.drain(..).for_each(&mut carry_out);
        }
        self.is_running.set(false);
    }

    fn next_input(&self) -> Option<Input> {
        self.inputs.borrow_mut().pop_front()
    }

    /// Waits until one of the core's timers is due.
    pub async fn timer(&self, clock: &Clock) {
        self.alarm.elapsed(clock).await;
    }

    /// The core, to query it. It must not be borrowed while an input is fed.
    pub fn router(&self) -> Ref<'_, Router> {
        self.router.borrow()
    }
}
