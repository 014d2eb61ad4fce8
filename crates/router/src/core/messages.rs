//! What goes into the core and what comes out of it: [`Input`] and [`Output`]. All times are microseconds ([`Micros`]),
//! all sizes bytes unless a name says otherwise.

use std::sync::Arc;

use cedarpulley::interface::{
    CopyStatus, DispatchOutcome, EndpointListKind, LoadOrderResult, LoadReport, Micros, WorkerIndex,
};
use cedarpulley_usage_metering::MemoryTotals;

use crate::admission_control::{AdmissionDecision, AdmissionRequest};
use crate::concurrency_limit::FrontState;
use crate::endpoint_list::ListedWorker;
use crate::replication::{ReplicationEvent, ReplicationRequest};
use crate::{
    Answer, Delivery, FrontIndex, IncomingInvocation, OrderTicket, Payload, Session, Ticket,
};

/// An event that the core handles, see [`Router::handle`](super::Router::handle).
#[derive(Debug)]
pub enum Input {
    /// A front's connection changed its state.
    FrontChanged {
        /// Which front.
        front: FrontIndex,
        /// Its state from now on.
        state: FrontState,
    },
    /// A request arrived at a front that can reject it before its body is read. If it is admitted, an [`Input::Taken`] or
    /// [`Input::Departed`] with this delivery follows.
    RequestArrived {
        /// Identifies the request until it is answered or its client has left.
        delivery: Delivery,
        /// What is known of the request before its body was read.
        request: AdmissionRequest,
    },
    /// A whole message or request arrived.
    MessageArrived(IncomingInvocation),
    /// The answer to this delivery was delivered and cannot be lost any more.
    AnswerDelivered(Delivery),
    /// The client has left; no answer is owed.
    ClientLeft(Delivery),
    /// The endpoint list, or a change of it.
    EndpointList {
        /// What `workers` holds.
        kind: EndpointListKind,
        /// The workers.
        workers: Vec<ListedWorker>,
    },
    /// The endpoint list is up to date, and may be relied on until then although nothing more is heard. A front that never
    /// says so has its list relied on always.
    EndpointListLease {
        /// When the lease ends, unless it is renewed.
        until: Micros,
    },
    /// A dispatch ended, with the worker's answer or without.
    DispatchEnded {
        /// The dispatch, as in [`Output::Send`].
        ticket: Ticket,
        /// How it ended.
        outcome: DispatchOutcome,
        /// What the answer says of the copy that served it.
        copy_status: CopyStatus,
        /// Invocations of the same function in flight at the worker when this one arrived, if reported.
        function_load: Option<u32>,
        /// The worker's load report.
        report: LoadReport,
        /// Memory held so far for its account and function, as the worker reports it.
        memory_held: Option<MemoryTotals>,
        /// Body of the worker's answer; used only if it succeeded.
        body: Payload,
    },
    /// A load order, or a query for the number of copies, ended.
    OrderEnded {
        /// The order, as in [`Output::Order`].
        ticket: OrderTicket,
        /// How it ended.
        result: LoadOrderResult,
        /// Copies that are loaded at the worker now.
        copies: u32,
        /// Memory held so far for the account and function, as the worker reports it.
        memory_held: Option<MemoryTotals>,
    },
    /// A health check ended.
    ProbeEnded {
        /// The worker that was checked.
        worker: WorkerIndex,
        /// How the health check ended.
        outcome: DispatchOutcome,
        /// How long it took.
        took: Micros,
        /// The worker's load report.
        report: LoadReport,
    },
    /// An event from the group of routers.
    Replication(ReplicationEvent),
    /// A copy is wanted at a worker beside those that invocations need. The decision module may order it or not.
    CopyWanted {
        /// The worker, by its name in the endpoint list.
        worker: Arc<str>,
        /// The function to load.
        function: Arc<str>,
        /// A known function with similar invocations; used if `function` itself is not known yet.
        like: Arc<str>,
        /// The term of the upgrade plan that wants it, if one does.
        term: Option<Arc<str>>,
    },
    /// Idle copies of a function are to be unloaded from a worker.
    CopyUnwanted {
        /// The worker, by its name in the endpoint list.
        worker: Arc<str>,
        /// The function to unload.
        function: Arc<str>,
        /// The term of the upgrade plan that wants it, if one does.
        term: Option<Arc<str>>,
    },
    /// The copies that a worker reports.
    CopiesReported {
        /// The worker, by its name in the endpoint list.
        worker: Arc<str>,
        /// The function.
        function: Arc<str>,
        /// Number of its copies.
        copies: u32,
    },
    /// Only time has passed.
    Tick,
    /// Graceful shutdown: accept nothing new and answer what was accepted.
    Stop,
}

/// What is to be done; the outputs of one input are to be carried out in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// The final answer to a delivery.
    Answer {
        /// The delivery it answers.
        delivery: Delivery,
        /// The answer.
        answer: Answer,
    },
    /// Whether a request is admitted.
    Admission {
        /// As in [`Input::Knock`].
        delivery: Delivery,
        /// The decision.
        decision: AdmissionDecision,
    },
    /// The same message was delivered twice at once: acknowledge this delivery without an answer of its own.
    Discard(Delivery),
    /// Send a dispatch to a worker.
    Send {
        /// Identifies the dispatch in [`Input::DispatchEnded`] and [`Output::Withdraw`].
        ticket: Ticket,
        /// Where it goes.
        worker: WorkerIndex,
        /// The function it calls.
        function: Arc<str>,
        /// Trigger type of the invocation.
        trigger: u32,
        /// Account of the invocation.
        account: u32,
        /// What the dispatch carries.
        call: DispatchRequest,
    },
    /// Cancel a dispatch. The module is told of its end in the same step; what the worker still answers is
    /// ignored.
    Cancel(Ticket),
    /// Ask a worker to load copies of a function, or with `copies` 0 only how many are loaded.
    Order {
        /// Identifies the order in [`Input::OrderEnded`].
        ticket: OrderTicket,
        /// The function to load.
        function: Arc<str>,
        /// The account whose invocation requested the function last.
        account: u32,
        /// Copies that are to be loaded; 0 only queries their number.
        copies: u32,
        /// The order times out after this time.
        within: Micros,
        /// The term of the upgrade plan that wants it, if one does.
        term: Option<Arc<str>>,
    },
    /// Ask a worker to unload idle copies of a function.
    Unload {
        /// The worker.
        worker: WorkerIndex,
        /// The function.
        function: Arc<str>,
        /// The term of the upgrade plan that wants it, if one does.
        term: Option<Arc<str>>,
    },
    /// Ask a worker for its load report.
    Probe {
        /// The worker.
        worker: WorkerIndex,
    },
    /// Request the endpoint list.
    RequestEndpointList,
    /// A request or event for the group of routers.
    Replication(ReplicationRequest),
    /// How many invocations a front may have in flight.
    Grant {
        /// Which front.
        front: FrontIndex,
        /// The limit; 0: nothing new.
        limit: u32,
    },
}

/// What a dispatch carries.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchRequest {
    /// The invocation's name as its client gave it.
    pub name: Option<Arc<str>>,
    /// The idempotency key, by which the worker recognises a repeat.
    pub idempotency_key: Option<Arc<str>>,
    /// Time until the final answer is due.
    pub time_left: Micros,
    /// Timeout of this dispatch; not more than `time_left`.
    pub timeout: Micros,
    /// How long the invocation will run, as its client expects.
    pub cost_hint: Option<Micros>,
    /// How long a copy takes to load, as the client expects.
    pub load_hint: Option<Micros>,
    /// Size of a copy in megabytes.
    pub copy_mb: f64,
    /// Invocations that one copy runs at a time.
    pub lanes: u32,
    /// The session it belongs to.
    pub session: Option<Session>,
    /// The request's body.
    pub body: Payload,
}
