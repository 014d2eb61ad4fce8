//! A running router: the core with all components around it, and the input of events into the core. `outputs.rs`
//! carries out the core's outputs; `wiring.rs` builds and connects the components.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use cedarpulley::interface::{EndpointListKind, Micros, WorkerIndex};
use cedarpulley_net::DeadlineTimer;
use cedarpulley_router::endpoint_list::ListedWorker;
use cedarpulley_router::{FrontIndex, Input, Router};

use crate::admission::Admission;
use crate::amqp_front::AmqpFront;
use crate::answer_times::AnswerTimes;
use crate::client_listener::ClientListener;
use crate::context::GatewayContext;
use crate::fault_injection::FaultInjector;
use crate::listed_workers::ListedWorkers;
use crate::metering::Metering;
use crate::peer_group::PeerGroup;
use crate::pool::Pool;
use crate::reconciliation::Reconciliation;
use crate::request_handling::RequestHandler;
use crate::trace_recorder::TraceRecorder;
use crate::upgrades::Upgrades;

/// All components of a running router.
pub(crate) struct Gateway {
    pub(crate) context: Rc<GatewayContext>,
    pub(crate) router: Rc<RefCell<Router>>,
    pub(crate) fault_injector: Rc<FaultInjector>,
    pub(crate) times: Rc<AnswerTimes>,
    pub(crate) trace_recorder: Option<TraceRecorder>,
    pub(crate) metering: Option<Metering>,
    pub(crate) fronts: Vec<Rc<AmqpFront>>,
    /// The KServe listeners; their front indices follow those of `fronts`.
    pub(crate) client_listeners: Vec<Rc<ClientListener>>,
    pub(crate) pool: Rc<Pool>,
    /// The workers of the list, by which replaced processes are noticed.
    pub(crate) listed_workers: ListedWorkers,
    pub(crate) peer_group: Option<PeerGroup>,
    pub(crate) upgrades: Option<Rc<Upgrades>>,
    pub(crate) admission: Option<Rc<Admission>>,
    pub(crate) reconciliation: Option<Rc<Reconciliation>>,
    pub(crate) alarm: DeadlineTimer,
}

/// The address of a worker, while the core knows it.
pub(crate) fn worker_address(router: &RefCell<Router>, worker: WorkerIndex) -> Option<SocketAddr> {
    // Not cached by index, as the index of a removed worker is reused.
    router.borrow().worker_name(worker)?.parse().ok()
}

impl Gateway {
    /// Hands an event to the core, through the admission if configured, and carries out the outputs.
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

    /// Hands an event to the core without passing through the admission, and carries out the outputs.
    pub(crate) fn feed_core(self: &Rc<Self>, input: Input) {
        let mut outputs = Vec::new();
        if let Input::EndpointList { kind, workers } = &input {
            self.retire_replaced(*kind, workers);
        }
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
            self.execute(output);
        }
        if let Some(admission) = &self.admission {
            admission.process_completed();
        }
        if let (Some(reconciliation), Some((kind, workers))) = (&self.reconciliation, listed) {
            reconciliation.list_applied(kind, &workers);
        }
    }

    /// Retires the connections to workers that this update of the list replaces or removes.
    fn retire_replaced(&self, kind: EndpointListKind, workers: &[ListedWorker]) {
        for name in self.listed_workers.apply_update(kind, workers) {
            if let Ok(address) = name.parse() {
                self.pool.retire(address);
            }
        }
    }

    /// The handler of the KServe front with this index; `None` for an AMQP front.
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

    /// Notifies the core whenever one of its timers is due; runs until the router stops.
    pub(crate) async fn run_timers(self: Rc<Self>) {
        loop {
            self.alarm.elapsed(&self.context.clock).await;
            self.feed(Input::Tick);
        }
    }
}
