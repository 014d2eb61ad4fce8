//! [`CoreLoop`]: the router core with the queue of its inputs and the timer for its next deadline.

use std::cell::{Ref, RefCell, RefMut};
use std::rc::Rc;

use cedarpulley::interface::Micros;
use cedarpulley_net::{Clock, DeadlineTimer, Notifier};
use cedarpulley_platform::input_queue::{AfterTurn, InputQueue};
use cedarpulley_platform::loop_activity::{Activity, LoopActivity};
use cedarpulley_router::{Input, Output, Router};

/// Passes inputs to the router core, one at a time.
pub(crate) struct CoreLoop {
    router: RefCell<Router>,
    /// Inputs that the core has not processed yet.
    inputs: RefCell<InputQueue<Input>>,
    /// Notified when inputs are left after a turn.
    inputs_left: Notifier,
    /// Elapses when the next of the core's timers is due.
    deadline_timer: DeadlineTimer,
    activity: Rc<RefCell<LoopActivity>>,
}

impl CoreLoop {
    /// `now` is the time at which the loop starts, in microseconds of the router's clock.
    pub fn new(router: Router, now: Micros) -> Self {
        CoreLoop {
            router: RefCell::new(router),
            inputs: RefCell::default(),
            inputs_left: Notifier::default(),
            deadline_timer: DeadlineTimer::default(),
            activity: Rc::new(RefCell::new(LoopActivity::new(now))),
        }
    }

    /// Processes an input, and passes the core's outputs to `execute` in order. Executing an output may call this
    /// function again with a further input: that input is queued, and processed before the outermost call returns,
    /// unless the turn has processed its largest number of inputs. The rest is then left to further turns
    /// ([`CoreLoop::inputs_left`]).
    pub fn feed(&self, clock: &Clock, input: Input, execute: impl FnMut(Output)) {
        self.inputs.borrow_mut().push(input);
        self.run_turn(clock, execute);
    }

    /// Processes the queued inputs, up to the number that one turn processes. Does nothing within a turn.
    pub fn run_turn(&self, clock: &Clock, mut execute: impl FnMut(Output)) {
        if !self.inputs.borrow_mut().begin_turn() {
            return;
        }
        self.activity.borrow_mut().turn_began(clock.now());
        let mut outputs = Vec::new();
        while let Some(input) = self.next_input() {
            self.record(activity_of(&input));
            let due = {
                let mut router = self.router.borrow_mut();
                router.handle(clock.now(), input, &mut outputs);
                router.next_due().unwrap_or(Micros::MAX)
            };
            self.deadline_timer.set_deadline(due);
            outputs.drain(..).for_each(&mut execute);
        }
        self.activity.borrow_mut().turn_ended(clock.now());
        if self.inputs.borrow_mut().end_turn() == AfterTurn::InputsLeft {
            self.inputs_left.notify();
        }
    }

    /// Waits until inputs are left after a turn, for which [`CoreLoop::run_turn`] has to be called.
    pub async fn inputs_left(&self) {
        self.inputs_left.notified().await;
    }

    /// Whether all inputs have been processed.
    pub fn is_idle(&self) -> bool {
        self.inputs.borrow().is_empty()
    }

    /// Records an activity of the loop.
    pub fn record(&self, activity: Activity) {
        self.activity.borrow_mut().record(activity);
    }

    /// What the loop has done.
    pub fn activity(&self) -> RefMut<'_, LoopActivity> {
        self.activity.borrow_mut()
    }

    /// The record of what the loop does, for tasks that add to it.
    pub fn shared_activity(&self) -> Rc<RefCell<LoopActivity>> {
        self.activity.clone()
    }

    fn next_input(&self) -> Option<Input> {
        self.inputs.borrow_mut().next_in_turn()
    }

    /// Waits until a timer of the core is due.
    pub async fn wait_for_timer(&self, clock: &Clock) {
        self.deadline_timer.elapsed(clock).await;
    }

    /// Borrows the core for queries. The borrow must end before [`CoreLoop::feed`] is called, which borrows the core
    /// mutably.
    pub fn router(&self) -> Ref<'_, Router> {
        self.router.borrow()
    }
}

/// The activity that an input of the core counts as. The other inputs do not occur on this platform.
fn activity_of(input: &Input) -> Activity {
    match input {
        Input::DispatchEnded { .. } => Activity::AttemptEnded,
        Input::OrderEnded { .. } => Activity::LoadOrderEnded,
        Input::ProbeEnded { .. } => Activity::HealthCheckEnded,
        Input::EndpointList { .. } | Input::EndpointListLease { .. } | Input::DrainLease(_) => {
            Activity::EndpointList
        }
        Input::Tick => Activity::Timer,
        _ => Activity::Request,
    }
}
