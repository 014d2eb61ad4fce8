//! The inputs and outputs of the core: [`Input`] and [`Output`]. All times are in microseconds ([`Micros`]), and all
//! sizes in bytes unless a name says otherwise.

use std::sync::Arc;

use cedarpulley::interface::{
    CopyStatus, DispatchOutcome, DrainLease, EndpointListKind, LoadOrderResult, LoadReport, Micros,
    WorkerIndex,
};
use cedarpulley_usage_metering::MemoryTotals;

use crate::admission_control::{AdmissionDecision, AdmissionRequest};
use crate::concurrency_limit::FrontState;
use crate::endpoint_list::ListedWorker;
use crate::replication::{ReplicationEvent, ReplicationRequest};
use crate::{
    Answer, Delivery, FrontIndex, IncomingInvocation, LoadOrderTicket, Payload, Session, Ticket,
};

/// An event that the core handles, see [`Router::handle`](super::Router::handle).
#[derive(Debug)]
pub enum Input {
    /// A front's connection changed its state.
    FrontChanged {
        /// The front.
        front: FrontIndex,
        /// Its new state.
        state: FrontState,
    },
    /// A request arrived at a front that can reject it before its body is read. If it is admitted, an
    /// [`Input::MessageArrived`] or [`Input::ClientLeft`] with this delivery follows.
    RequestArrived {
        /// Identifies the request until it is answered or its client has left.
        delivery: Delivery,
        /// What is known of the request before its body is read.
        request: AdmissionRequest,
    },
    /// A whole message or request arrived.
    MessageArrived(IncomingInvocation),
    /// The answer to this delivery was delivered and can no longer be lost.
    AnswerDelivered(Delivery),
    /// The client of this delivery has left and needs no answer.
    ClientLeft(Delivery),
    /// The endpoint list, or changes of it.
    EndpointList {
        /// Whether `workers` is the complete list, a cached one or only the changes, or the list could not be obtained.
        kind: EndpointListKind,
        /// The workers.
        workers: Vec<ListedWorker>,
    },
    /// The endpoint list is up to date, and remains valid until the end of the lease even without further updates. If
    /// no lease is ever granted, the list is always valid.
    EndpointListLease {
        /// When the lease ends, unless it is renewed.
        until: Micros,
    },
    /// No drain that the endpoint list lacks counts as announced before the end of this lease. Ignored where health checks
    /// are allowed: there, [`Input::EndpointListLease`] limits how long the list is relied on for drains.
    DrainLease(DrainLease),
    /// A dispatch ended, with or without an answer from the worker.
    DispatchEnded {
        /// The dispatch, as in [`Output::Send`].
        ticket: Ticket,
        /// How it ended.
        outcome: DispatchOutcome,
        /// Status of the copy that served the dispatch, as reported in the answer.
        copy_status: CopyStatus,
        /// Number of invocations of the same function in flight at the worker when this one arrived, if reported.
        function_load: Option<u32>,
        /// The worker's load report.
        report: LoadReport,
        /// Memory held so far for the account and function, as reported by the worker.
        memory_held: Option<MemoryTotals>,
        /// Body of the worker's answer; used only if the dispatch succeeded.
        body: Payload,
    },
    /// A load order, or a query for the number of loaded copies, ended.
    OrderEnded {
        /// The order, as in [`Output::LoadOrder`].
        ticket: LoadOrderTicket,
        /// How it ended.
        result: LoadOrderResult,
        /// Number of copies that are loaded at the worker now.
        copies: u32,
        /// Memory held so far for the account and function, as reported by the worker.
        memory_held: Option<MemoryTotals>,
    },
    /// A health check ended.
    ProbeEnded {
        /// The worker that was checked.
        worker: WorkerIndex,
        /// How the health check ended.
        outcome: DispatchOutcome,
        /// Duration of the health check.
        took: Micros,
        /// The worker's load report.
        report: LoadReport,
    },
    /// An event from the group of routers.
    Replication(ReplicationEvent),
    /// A copy of a function is requested at a worker, independently of any invocation. The balancer decides whether to
    /// order it.
    CopyWanted {
        /// The worker, by its name in the endpoint list.
        worker: Arc<str>,
        /// The function to load.
        function: Arc<str>,
        /// A known function with similar invocations, whose properties are used if `function` itself is not known yet.
        similar_function: Arc<str>,
        /// Term of the upgrade plan that requested it, if one did.
        term: Option<Arc<str>>,
    },
    /// Idle copies of a function must be unloaded from a worker.
    CopyUnwanted {
        /// The worker, by its name in the endpoint list.
        worker: Arc<str>,
        /// The function to unload.
        function: Arc<str>,
        /// Term of the upgrade plan that requested it, if one did.
        term: Option<Arc<str>>,
    },
    /// A worker reported the number of its copies of a function.
    CopiesReported {
        /// The worker, by its name in the endpoint list.
        worker: Arc<str>,
        /// The function.
        function: Arc<str>,
        /// Number of copies.
        copies: u32,
    },
    /// No event; handles the timers that are due.
    Tick,
    /// Graceful shutdown: nothing new is accepted, and accepted invocations are still answered.
    Stop,
}

/// A task for the caller of the core. The outputs of one input must be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// The final answer to a delivery.
    Answer {
        /// The delivery to answer.
        delivery: Delivery,
        /// The answer.
        answer: Answer,
    },
    /// The decision whether a request is admitted.
    Admission {
        /// The request, as in [`Input::RequestArrived`].
        delivery: Delivery,
        /// The decision.
        decision: AdmissionDecision,
    },
    /// Acknowledge this delivery without an answer: the same message was delivered a second time while its first
    /// delivery still waits.
    Discard(Delivery),
    /// Send a dispatch to a worker.
    Send {
        /// Identifies the dispatch in [`Input::DispatchEnded`] and [`Output::Cancel`].
        ticket: Ticket,
        /// The worker to send it to.
        worker: WorkerIndex,
        /// The function to run.
        function: Arc<str>,
        /// Trigger type of the invocation.
        trigger: u32,
        /// Account of the invocation.
        account: u32,
        /// Content of the dispatch.
        request: DispatchRequest,
    },
    /// Cancel a dispatch. The balancer is notified of its end in the same step, and an answer that the worker still
    /// sends is ignored.
    Cancel(Ticket),
    /// Order a worker to load copies of a function, or, if `copies` is 0, query how many are loaded.
    LoadOrder {
        /// Identifies the order in [`Input::OrderEnded`].
        ticket: LoadOrderTicket,
        /// The function to load.
        function: Arc<str>,
        /// The account whose invocation requested the function last.
        account: u32,
        /// Number of copies to load; 0 only queries how many are loaded.
        copies: u32,
        /// Timeout of the order.
        timeout: Micros,
        /// Term of the upgrade plan that requested it, if one did.
        term: Option<Arc<str>>,
    },
    /// Order a worker to unload idle copies of a function.
    Unload {
        /// The worker.
        worker: WorkerIndex,
        /// The function.
        function: Arc<str>,
        /// Term of the upgrade plan that requested it, if one did.
        term: Option<Arc<str>>,
    },
    /// Send a health check to a worker, which answers with its load report.
    Probe {
        /// The worker.
        worker: WorkerIndex,
    },
    /// Request the endpoint list.
    RequestEndpointList,
    /// A request or event for the group of routers.
    Replication(ReplicationRequest),
    /// Set the limit on the number of invocations that a front may have in flight.
    Grant {
        /// The front.
        front: FrontIndex,
        /// The limit; 0 means that the front must accept nothing new.
        limit: u32,
    },
}

/// The content of a dispatch.
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
    /// Expected execution time, if the client gave a hint.
    pub cost_hint: Option<Micros>,
    /// Expected time to load a copy, if the client gave a hint.
    pub load_hint: Option<Micros>,
    /// Size of a copy in megabytes.
    pub copy_mb: f64,
    /// Invocations that one copy runs at a time.
    pub lanes: u32,
    /// The session that the invocation belongs to.
    pub session: Option<Session>,
    /// The request's body.
    pub body: Payload,
}
