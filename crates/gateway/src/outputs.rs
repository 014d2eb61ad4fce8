//! Carries out the core's outputs: passes answers to their fronts, sends dispatches and load orders to workers through
//! the pool, and passes requests for the group to the peer group. The results return to the core as events.

use std::rc::Rc;
use std::sync::Arc;

use cedarpulley::interface::{DispatchOutcome, LoadReport, Micros, WorkerIndex};
use cedarpulley_kserve::{outcomes, response_headers, worker_requests};
use cedarpulley_router::admission_control::AdmissionDecision;
use cedarpulley_router::core::DispatchRequest;
use cedarpulley_router::replication::ReplicationRequest;
use cedarpulley_router::{
    Answer, Delivery, FrontIndex, Input, LoadOrderTicket, Output, Payload, Ticket,
};

use crate::gateway::Gateway;
use crate::peer_group::PeerGroup;
use crate::pool::{ExchangeError, Reply, exchange_outcome};
use crate::task_owner::TaskOwner;

/// Time limit for a probe or an unload order, in microseconds.
const CONTROL_TIMEOUT: Micros = 2_000_000;

/// A dispatch to send to a worker; the fields are those of [`Output::Send`].
struct Dispatch {
    ticket: Ticket,
    worker: WorkerIndex,
    function: Arc<str>,
    trigger: u32,
    account: u32,
    request: DispatchRequest,
}

/// An order to load copies at a worker or, with `copies` 0, a query for the number of copies.
struct LoadOrder {
    ticket: LoadOrderTicket,
    function: Arc<str>,
    account: u32,
    copies: u32,
    timeout: Micros,
    term: Option<Arc<str>>,
}

impl Gateway {
    /// Starts to execute one output; requests to workers run as tasks.
    pub(crate) fn execute(self: &Rc<Self>, output: Output) {
        self.fault_injector.observe(&output);
        match output {
            Output::Answer { delivery, answer } => self.deliver(delivery, answer),
            Output::Admission { delivery, decision } => self.decide_admission(delivery, decision),
            Output::Discard(delivery) => self.discard(delivery),
            Output::Grant { front, limit } => self.grant(front, limit),
            Output::Send {
                ticket,
                worker,
                function,
                trigger,
                account,
                request,
            } => self.begin_dispatch(Dispatch {
                ticket,
                worker,
                function,
                trigger,
                account,
                request,
            }),
            Output::Cancel(ticket) => self.pool.cancel(ticket),
            Output::LoadOrder {
                ticket,
                function,
                account,
                copies,
                timeout,
                term,
            } => self.spawn(self.clone().order_load(LoadOrder {
                ticket,
                function,
                account,
                copies,
                timeout,
                term,
            })),
            Output::Unload {
                worker,
                function,
                term,
            } => self.spawn(self.clone().order_unload(worker, function, term)),
            Output::Probe { worker } => self.spawn(self.clone().probe(worker)),
            // The watch of the endpoint list retries by itself, with randomized delays.
            Output::RequestEndpointList => {}
            Output::Replication(request) => self.request_from_group(request),
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let executor = &self.context.executor;
        executor.spawn(TaskOwner::Dispatch, task).detach();
    }

    fn decide_admission(&self, delivery: Delivery, decision: AdmissionDecision) {
        if let Some(handler) = self.handler(delivery.front) {
            handler.set_decision(decision);
        }
    }

    fn discard(&self, delivery: Delivery) {
        if let Some(front) = self.fronts.get(delivery.front as usize) {
            front.discard(delivery);
        }
    }

    fn request_from_group(&self, request: ReplicationRequest) {
        if let Some(peer_group) = &self.peer_group {
            peer_group.request(request);
        }
    }

    fn deliver(&self, delivery: Delivery, answer: Answer) {
        tracing::debug!(outcome = ?answer.outcome, reason = ?answer.reason, "request answered");
        if let Some(front) = self.fronts.get(delivery.front as usize) {
            return self.fault_injector.answer(front, delivery, answer);
        }
        let handler = self
            .handler(delivery.front)
            .filter(|_| !self.fault_injector.loses_answer());
        if let Some(handler) = handler {
            handler.deliver(delivery, answer);
        }
    }

    fn grant(&self, front: FrontIndex, limit: u32) {
        match self.fronts.get(front as usize) {
            Some(front) => front.grant(limit),
            None => {
                if let Some(handler) = self.handler(front) {
                    handler.grant(limit);
                }
            }
        }
    }

    fn begin_dispatch(self: &Rc<Self>, dispatch: Dispatch) {
        let ticket = dispatch.ticket;
        let dispatch = self.clone().dispatch(dispatch);
        let executor = &self.context.executor;
        let task = executor.spawn(TaskOwner::Dispatch, dispatch);
        self.pool.track(ticket, task);
    }

    async fn dispatch(self: Rc<Self>, dispatch: Dispatch) {
        let (ticket, worker, function) =
            (dispatch.ticket, dispatch.worker, dispatch.function.clone());
        let result = self.exchange(dispatch).await;
        let observed = outcomes::classify_inference(&exchange_outcome(&result, &function));
        let memory_held = result
            .as_ref()
            .ok()
            .and_then(|r| response_headers::memory_usage(&r.headers));
        let body = match result {
            Ok(reply) if observed.outcome == DispatchOutcome::Succeeded => {
                let json_length = outcomes::json_length(&reply.headers, &reply.body);
                let first_part_length = json_length
                    .filter(|length| *length < reply.body.len())
                    .map(|length| length as u32);
                Payload {
                    bytes: reply.body,
                    first_part_length,
                }
            }
            _ => Payload::default(),
        };
        tracing::debug!(
            invocation = ticket.invocation,
            dispatch = ticket.dispatch,
            worker,
            outcome = ?observed.outcome,
            "dispatch ended"
        );
        self.pool.finished(ticket);
        self.feed(Input::DispatchEnded {
            ticket,
            outcome: observed.outcome,
            copy_status: observed.copy_status,
            function_load: observed.function_load,
            report: observed.report,
            memory_held,
            body,
        });
    }

    async fn exchange(&self, dispatch: Dispatch) -> Result<Reply, ExchangeError> {
        let Dispatch {
            ticket,
            worker,
            function,
            trigger,
            account,
            request,
        } = dispatch;
        let names = &self.context.names;
        let headers = worker_requests::InvocationHeaders {
            invocation: request.name.as_deref(),
            dispatch: ticket.dispatch,
            idempotency_key: request.idempotency_key.as_deref(),
            trigger_type: names
                .triggers
                .get(trigger as usize)
                .map_or("", String::as_str),
            account: names.accounts.get(account as usize).map(String::as_str),
            time_left: request.time_left,
            session: request
                .session
                .as_ref()
                .map(|session| (&*session.id, session.is_first, session.is_last)),
        };
        let Some(address) = self.address(worker) else {
            return Err(ExchangeError::Unreachable);
        };
        let (host, body) = (address.to_string(), request.body);
        let http_request = worker_requests::infer(
            &host,
            &function,
            headers,
            body.bytes,
            body.first_part_length,
        );
        let may_send = || {
            self.router
                .borrow()
                .may_send(self.context.clock.now(), ticket)
        };
        self.pool
            .exchange(address, http_request, false, may_send)
            .await
    }

    async fn order_load(self: Rc<Self>, order: LoadOrder) {
        let LoadOrder {
            ticket,
            function,
            account,
            copies,
            timeout,
            term,
        } = order;
        let Some(address) = self.address(ticket.worker) else {
            return;
        };
        let host = address.to_string();
        let request = match copies {
            0 => worker_requests::ready(&host, &function),
            copies => {
                let account = self
                    .context
                    .names
                    .accounts
                    .get(account as usize)
                    .map(String::as_str);
                worker_requests::load(
                    &host,
                    &function,
                    copies,
                    account,
                    self.order_issuer(term.as_deref()),
                )
            }
        };
        let result = self.pool.order(address, request, timeout).await;
        let memory_held = result
            .as_ref()
            .ok()
            .and_then(|r| response_headers::memory_usage(&r.headers));
        let (result, copies) = outcomes::classify_load_order(&exchange_outcome(&result, &function));
        self.feed(Input::OrderEnded {
            ticket,
            result,
            copies,
            memory_held,
        });
    }

    async fn order_unload(
        self: Rc<Self>,
        worker: WorkerIndex,
        function: Arc<str>,
        term: Option<Arc<str>>,
    ) {
        let Some(address) = self.address(worker) else {
            return;
        };
        let request = worker_requests::unload(
            &address.to_string(),
            &function,
            self.order_issuer(term.as_deref()),
        );
        // The answer is ignored: the order only has to reach the worker.
        let _ = self.pool.order(address, request, CONTROL_TIMEOUT).await;
    }

    async fn probe(self: Rc<Self>, worker: WorkerIndex) {
        let began = self.context.clock.now();
        let (outcome, report) = match self.address(worker) {
            Some(address) => {
                let request = worker_requests::live(&address.to_string());
                let result = self.pool.order(address, request, CONTROL_TIMEOUT).await;
                outcomes::classify_health_check(&exchange_outcome(&result, ""))
            }
            None => (DispatchOutcome::Unreachable, LoadReport::default()),
        };
        let took = self.context.clock.now() - began;
        self.feed(Input::ProbeEnded {
            worker,
            outcome,
            took,
            report,
        });
    }

    /// The issuer that load and unload orders name; contains the router's name only in a group.
    fn order_issuer<'a>(&'a self, term: Option<&'a str>) -> worker_requests::OrderIssuer<'a> {
        worker_requests::OrderIssuer {
            router: self.peer_group.as_ref().map(PeerGroup::name),
            term,
        }
    }
}
