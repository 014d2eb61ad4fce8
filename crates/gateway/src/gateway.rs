//! A running router: the core with all parts around it, and the way of an event into the core. What the core puts
//! out is carried out in `outputs.rs`; `wiring.rs` puts the parts together.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use cedarpulley::interface::{Micros, WorkerIndex};
use cedarpulley_net::DeadlineTimer;
use cedarpulley_router::{FrontIndex, Input, Router};

use crate::admission::Admission;
use crate::amqp_front::AmqpFront;
use crate::answer_times::AnswerTimes;
use crate::client_listener::ClientListener;
use crate::context::GatewayContext;
use crate::fault_injection::FaultInjector;
use crate::metering::Metering;
use crate::peer_group::PeerGroup;
use crate::pool::Pool;
use crate::reconciliation::Reconciliation;
use crate::request_handling::RequestHandler;
use crate::trace_recorder::TraceRecorder;
use crate::upgrades::Upgrades;

/// All parts of a running router.
pub(crate) struct Gateway {
    pub(crate) context: Rc<GatewayContext>,
    pub(crate) router: Rc<RefCell<Router>>,
    pub(crate) fault_injector: Rc<FaultInjector>,
    pub(crate) times: Rc<AnswerTimes>,
    pub(crate) trace_recorder: Option<TraceRecorder>,
    pub(crate) metering: Option<Metering>,
    pub(crate) fronts: Vec<Rc<AmqpFront>>,
    /// Their front indices follow those of `fronts`.
    pub(crate) client_listeners: Vec<Rc<ClientListener>>,
    pub(crate) pool: Rc<Pool>,
    pub(crate) peer_group: Option<PeerGroup>,
    pub(crate) upgrades: Option<Rc<Upgrades>>,
    pub(crate) admission: Option<Rc<Admission>>,
    pub(crate) reconciliation: Option<Rc<Reconciliation>>,
    pub(crate) alarm: DeadlineTimer,
}

/// The address of a worker, while the core knows it.
pub(crate) fn worker_address(router: &RefCell<Router>, worker: WorkerIndex) -> Option<SocketAddr> {
    // Not cached by index, as the index of a departed worker is reused.
    router.borrow().worker_name(worker)?.parse().ok()
}

impl Gateway {
    /// Hands an event to the core, through the admission if there is one, and carries out the outputs.
    pub(crate) fn feed(self: &Rc<Self>, input: Input) {
        let input = match &self.admission {
            None => input,
            Some(admission) => match admission.filter(input) {
                Some(input) => input,
                None => return,
            },
        };
        self.feed_core(input);
    }

    /// The same, past the admission.
    pub(crate) fn feed_core(self: &Rc<Self>, input: Input) {
        let mut outputs = Vec::new();
        let listed = match (&self.reconciliation, &input) {
            (Some(_), Input::EndpointList { kind, workers }) => Some((*kind, workers.clone())),
            _ => None,
        };
        let due = {
            let mut router = self.router.borrow_mut();
            router.handle(self.context.clock.now(), input, &mut outputs);
            router.next_due().unwrap_or(Micros::MAX)
        };
        self.alarm.set_deadline(due);
        for output in outputs {
            self.carry_out(output);
        }
        if let Some(admission) = &self.admission {
            admission.process_completed();
        }
        if let (Some(reconciliation), Some((kind, workers))) = (&self.reconciliation, listed) {
            reconciliation.list_applied(kind, &workers);
        }
    }

    /// The KServe front of this index; absent for an AMQP front.
    pub(crate) fn handler(&self, front: FrontIndex) -> Option<&Rc<RequestHandler>> {
        Some(
            &self
                .client_listeners
                .get((front as usize).checked_sub(self.fronts.len())?)?
                .handler,
        )
    }

    /// The address of a worker, while the core knows it.
    pub(crate) fn address(&self, worker: WorkerIndex) -> Option<SocketAddr> {
        worker_address(&self.router, worker)
    }

    /// Tells the core whenever something is due, for as long as the router runs.
    pub(crate) async fn run_timers(self: Rc<Self>) {
        loop {
            self.alarm.elapsed(&self.context.clock).await;
            self.feed(Input::Tick);
        }
    }
}
