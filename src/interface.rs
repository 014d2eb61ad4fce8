//! The interface of the decision module ([`crate::Balancer`]): the settings it is created with, the events it handles
//! and the actions it returns. The types are independent of any wire format.
//!
//! Times are whole microseconds ([`Micros`]); points in time are read from one monotonic clock. Workers, functions
//! and invocations are identified by small dense indices (see [`crate::ids`]), which are reused:
//!
//! * the index of an invocation, once the invocation has its final answer and all its dispatches have ended;
//! * the index of a function, after [`Action::ReleaseFunction`];
//! * the index of a worker, once the worker is gone and no invocation or order refers to it. An [`Endpoint`] with
//!   another fingerprint under the same index announces the new worker.

/// A duration or a point in time, in microseconds.
pub type Micros = i64;
/// Index of a worker.
pub type WorkerIndex = u32;
/// Index of a function (or model).
pub type FunctionIndex = u32;
/// Index of an invocation.
pub type InvocationIndex = u32;

/// The position of this router among all routers that share the same workers.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetPosition {
    /// Number of routers in the fleet, this one included.
    pub routers: u32,
    /// This router's number, from 0.
    pub position: u32,
    /// The zone this router runs in.
    pub zone: u32,
    /// Shortest interval between two calls that hand events to the balancer, in microseconds.
    pub granularity: Micros,
}

/// The set of workers that share a record of idempotency keys. If one worker of the set has run an invocation, every
/// worker of the set recognizes a repeat by its key and drops it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// The effect of running an invocation more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The same as running it once: it may be repeated anywhere.
    Idempotent,
    /// Workers drop repeats with the same idempotency key.
    IdempotentByKey {
        /// The workers that share the record of keys.
        scope: DeduplicationScope,
        /// How long a key is remembered after an attempt.
        window: Micros,
    },
    /// A further effect: it must not run twice.
    NonIdempotent,
}

/// The settings of one type (class) of invocations.
#[derive(Clone, Copy, Debug)]
pub struct TriggerType {
    /// The effect of running an invocation more than once.
    pub effect: Effect,
    /// Latency objective: an answer within this time earns the full value.
    pub latency_objective: Micros,
    /// The latency objective of an invocation is extended by this multiple of its cost hint.
    pub objective_work_multiple: f64,
    /// Time after which the client stops waiting, over all its retries.
    pub client_timeout: Micros,
    /// Value of an answer within the latency objective.
    pub billed_value: f64,
    /// Fraction of the billed value that an answer after the latency objective still earns, 0 to 1.
    pub late_value_fraction: f64,
    /// Whether answers are streamed.
    pub streamed: bool,
}

/// The settings of one account (tenant).
#[derive(Clone, Copy, Debug)]
pub struct Account {
    /// The account's quota, in invocations per second over all routers.
    pub quota_per_s: f64,
    /// The account's part of all quotas, 0 to 1.
    pub share: f64,
}

/// What the router may do to serve one invocation.
#[derive(Clone, Copy, Debug, Default)]
pub struct DispatchLimits {
    /// Maximum number of dispatches of one invocation, the first included.
    pub max_dispatches: u32,
    /// Whether hedged requests are allowed: two dispatches of one invocation in flight at a time.
    pub hedged_requests: bool,
    /// Whether dispatches may be cancelled.
    pub cancellation: bool,
    /// Whether health checks may be sent to workers.
    pub probes: bool,
    /// Time allowed for connecting to a worker.
    pub connect_timeout: Micros,
    /// Longest Retry-After that clients follow; 0 if none may be given.
    pub max_retry_after: Micros,
}

/// Limits that the safety rules impose.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuleLimits {
    /// How late a final answer may be after the client's timeout.
    pub answer_slack: Micros,
    /// How long a draining worker may still be given new work.
    pub drain_grace: Micros,
    /// Longest time that a request for the endpoint list takes, if the list is only sent on request.
    pub list_request_timeout: Micros,
    /// Whether the endpoint list is only sent on request.
    pub list_on_request: bool,
    /// Fraction of its full capacity that a worker has when its process starts, 0 to 1.
    pub slow_start_fraction: f64,
    /// Time after the start of its process until a worker has its full capacity.
    pub slow_start_duration: Micros,
    /// Dispatches to a worker in slow start are limited to this multiple of its present capacity.
    pub overload_multiple: f64,
    /// The window over which these dispatches are counted.
    pub overload_window: Micros,
}

/// How workers load copies of functions, and what loading may cost.
#[derive(Clone, Debug, Default)]
pub struct LoadSettings {
    /// Shortest time for which an idle copy stays loaded.
    pub idle_retention: Micros,
    /// Whether load orders may be sent ([`Action::LoadOrder`]).
    pub load_orders: bool,
    /// Whether a worker loads a function on demand when it is sent an invocation and has no copy.
    pub loads_when_absent: bool,
    /// Time after which a load order without a result ends.
    pub order_timeout: Micros,
    /// Quota of load orders: within any window of this length at most `order_quota_base` +
    /// `order_quota_per_invocation` × invocations accepted in it. 0: no quota.
    pub order_quota_window: Micros,
    /// Number of orders allowed in each window regardless of traffic.
    pub order_quota_base: f64,
    /// Number of further orders allowed for each accepted invocation.
    pub order_quota_per_invocation: f64,
    /// Whether answers report the status of the copy ([`CopyStatus`]).
    pub reports_copy_status: bool,
    /// Whether answers report how many invocations of the function were in flight at the worker.
    pub reports_function_load: bool,
    /// Memory of a worker in megabytes, by machine kind.
    pub memory_mb: Vec<f64>,
}

/// Bounds of the state that grows with what callers name and workers answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateLimits {
    /// Memory for the functions and their copies, in bytes; `None`: no bound. Functions that are not in use are released
    /// above it.
    pub function_bytes: Option<u64>,
}

/// Costs, as fractions of the value of the served invocations.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prices {
    /// Cost of a dispatch to another zone.
    pub crossing: f64,
    /// Cost of fetching a function from the store.
    pub fetch: f64,
    /// Cost of worker time that produced no answer.
    pub waste: f64,
    /// Cost of a health check.
    pub probe: f64,
    /// Cost of an error after the latency objective.
    pub late_error: f64,
    /// Value of an invocation beyond its account's quota, as a fraction of one within it.
    pub over_quota: f64,
}

/// The source of load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// Answers contain load reports.
    Answers,
    /// Results of health checks contain load reports.
    Probes,
    /// Workers send no load reports.
    Nothing,
}

/// A worker's load report; values that the worker does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Invocations at the worker, running or queued.
    pub in_flight: Option<f64>,
    /// Invocations queued at the worker.
    pub queued: Option<f64>,
    /// Fraction of its cores in use, 0 to 1.
    pub utilization: Option<f64>,
    /// Loads of copies in progress or queued.
    pub loads_in_progress: Option<f64>,
    /// Fraction of its memory that cannot be freed, 0 to 1.
    pub memory_fraction: Option<f64>,
}

/// The state of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The worker accepts new work.
    InService,
    /// The worker finishes its present work and is then removed.
    Draining,
    /// The worker is not in the list, or no longer.
    #[default]
    Gone,
}

/// One worker in the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// Its index at this router.
    pub worker: WorkerIndex,
    /// A hash of the worker's name: the same at every router.
    pub fingerprint: u64,
    /// The zone it runs in.
    pub zone: u32,
    /// The kind of machine it runs on.
    pub machine_kind: u32,
    /// The cell it belongs to.
    pub cell: u32,
    /// Its state.
    pub state: EndpointState,
    /// Its weight relative to other workers.
    pub weight: f64,
    /// When its process started, if known.
    pub started_at: Option<Micros>,
}

/// The contents of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Only the workers that changed.
    Changes,
    /// All workers; a worker that is missing from the list is gone.
    Complete,
    /// All workers, as cached before a restart of the router; the list may be stale.
    Cached,
    /// No workers, as the list could not be obtained.
    Failed,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The worker answered with success.
    Succeeded,
    /// The worker answered with an error; the invocation may have run.
    Errored,
    /// The worker had no capacity and rejected the invocation without reading it.
    Rejected,
    /// There was no answer within the time allowed.
    TimedOut,
    /// No connection to the worker could be made.
    Unreachable,
    /// The connection was lost after part of the request had been sent.
    ConnectionLost,
    /// The router cancelled the dispatch.
    Cancelled,
    /// No part of the request was sent.
    NotSent,
    /// The worker had no copy and was loading none, or the load for which the invocation waited failed.
    NotLoaded,
    /// This router had no connection for it: it can open no further one, and no open one was free. No part of the
    /// request was sent.
    NoConnection,
}

impl DispatchOutcome {
    /// Whether the outcome proves that the worker did not run the invocation.
    pub fn not_executed(self) -> bool {
        matches!(
            self,
            DispatchOutcome::Rejected
                | DispatchOutcome::Unreachable
                | DispatchOutcome::NotSent
                | DispatchOutcome::NotLoaded
                | DispatchOutcome::NoConnection
        )
    }
}

/// The status of the copy that served an invocation, as reported by the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyStatus {
    /// The answer reports no status.
    Unreported,
    /// The copy was loaded when the invocation arrived.
    Warm,
    /// This invocation started the load.
    LoadStarted,
    /// A load was in progress, and the invocation waited for it.
    LoadAwaited,
    /// The load failed.
    LoadFailed,
}

/// How an order to load copies ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadOrderResult {
    /// The copies are loaded.
    Loaded,
    /// The worker has no capacity for all of the copies, or is draining.
    NoCapacity,
    /// A load failed.
    LoadFailed,
    /// The connection was lost.
    ConnectionLost,
    /// No connection could be made.
    Unreachable,
    /// There was no result within the time allowed.
    TimedOut,
    /// No part of the order was sent, for a reason that tells nothing about the worker.
    NotSent,
}

/// An invocation that this router has accepted.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its index.
    pub invocation: InvocationIndex,
    /// Index of its [`TriggerType`].
    pub trigger: u32,
    /// Index of its [`Account`].
    pub account: u32,
    /// The function to run.
    pub function: FunctionIndex,
    /// A hash of the function's name: the same at every router.
    pub fingerprint: u64,
    /// Expected work, if the client gives a hint.
    pub cost_hint: Option<Micros>,
    /// Expected time to load a copy, if the client gives a hint.
    pub load_hint: Option<Micros>,
    /// Size of a copy in megabytes.
    pub copy_mb: f64,
    /// Invocations that one copy runs at a time.
    pub lanes: u32,
    /// Time left until the final answer is due.
    pub client_timeout_in: Micros,
    /// How long the client had been waiting when the invocation arrived; the latency objective counts from the time at
    /// which the client sent it.
    pub waited: Micros,
    /// Whether the client has marked the invocation as a retry.
    pub repeat: bool,
    /// The worker that has the state of the invocation's session.
    pub preferred_worker: Option<WorkerIndex>,
}

/// A function for which no invocation may have arrived yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FunctionInfo {
    /// Its index.
    pub function: FunctionIndex,
    /// A hash of its name: the same at every router.
    pub fingerprint: u64,
    /// Index of the [`TriggerType`] of its invocations.
    pub trigger: u32,
    /// Invocations that one copy runs at a time.
    pub lanes: u32,
}

/// The end of a dispatch; each dispatch has exactly one.
#[derive(Clone, Copy, Debug)]
pub struct DispatchEnded {
    /// The invocation.
    pub invocation: InvocationIndex,
    /// Number of the dispatch within its invocation, from 0.
    pub dispatch: u32,
    /// The worker that the invocation was sent to.
    pub worker: WorkerIndex,
    /// How the dispatch ended.
    pub outcome: DispatchOutcome,
    /// Time since the balancer returned the dispatch action.
    pub took: Micros,
    /// Whether the invocation has its final answer.
    pub answered: bool,
    /// The status of the copy that served the invocation.
    pub copy_status: CopyStatus,
    /// Invocations of the same function in flight at the worker when this one arrived, if reported.
    pub function_load: Option<u32>,
    /// The worker's load report.
    pub report: LoadReport,
}

/// A lease of the endpoint list for drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainLease {
    /// When the lease ends, unless it is renewed.
    pub until: Micros,
    /// Whether discovery is unreachable. Otherwise, a lease that has ended is about to be renewed: the router stood still,
    /// and has not read the latest response yet.
    pub discovery_lost: bool,
}

/// An event that the balancer handles.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The endpoint list, or a change of it.
    EndpointList {
        /// The contents of `endpoints`.
        kind: EndpointListKind,
        /// The workers.
        endpoints: &'a [Endpoint],
    },
    /// The endpoint list is up to date, and can be relied on until the lease ends even if no update arrives. If there
    /// has never been a lease, the list can always be relied on.
    EndpointListLease {
        /// When the lease ends, unless it is renewed.
        until: Micros,
    },
    /// No drain that the endpoint list lacks counts as announced before the end of this lease. Used where health checks are not allowed:
    /// once the drain grace after the lease is over, no worker gets new work until the lease is renewed. If there has
    /// never been such a lease, the list is relied on for drains.
    DrainLease(DrainLease),
    /// An invocation was accepted.
    Invocation(Arrival),
    /// The client has left: the invocation needs no answer any longer.
    ClientLeft {
        /// The client's invocation.
        invocation: InvocationIndex,
    },
    /// A streamed answer has begun.
    AnswerStarted {
        /// The invocation being answered.
        invocation: InvocationIndex,
        /// Number of the dispatch within its invocation.
        dispatch: u32,
        /// The worker that answers.
        worker: WorkerIndex,
    },
    /// A dispatch ended.
    DispatchEnded(DispatchEnded),
    /// An order to load copies ended.
    OrderEnded {
        /// The worker that the order was sent to.
        worker: WorkerIndex,
        /// The function.
        function: FunctionIndex,
        /// How the order ended.
        result: LoadOrderResult,
        /// Time since the balancer returned the order.
        took: Micros,
        /// Copies of the function that are loaded at the worker now.
        copies: u32,
    },
    /// A health check ended.
    ProbeEnded {
        /// The worker that was checked.
        worker: WorkerIndex,
        /// How the health check ended.
        outcome: DispatchOutcome,
        /// How long the health check took.
        took: Micros,
        /// The worker's load report.
        report: LoadReport,
    },
    /// A timer that the balancer has set ([`Action::Timer`]) is due.
    Timer {
        /// The timer's token.
        token: u64,
    },
    /// A copy is wanted that no invocation needs yet, or the idle retention of a copy is to be renewed. This follows
    /// from the plan of an upgrade, or from the loss of a copy that was expected to be loaded.
    CopyWanted {
        /// The worker where the copy is wanted.
        worker: WorkerIndex,
        /// The function.
        function: FunctionInfo,
    },
    /// A worker has reported how many copies of a function it has.
    CopiesReported {
        /// The worker.
        worker: WorkerIndex,
        /// The function.
        function: FunctionIndex,
        /// Number of copies that are loaded there; 0 if none is.
        copies: u32,
    },
}

/// An action that the caller of the balancer has to carry out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send the invocation to a worker.
    Dispatch {
        /// The invocation.
        invocation: InvocationIndex,
        /// The worker that the invocation is sent to.
        worker: WorkerIndex,
        /// Timeout of this attempt; if absent, the attempt ends when the final answer is due.
        timeout: Option<Micros>,
    },
    /// Cancel a dispatch.
    Cancel {
        /// The invocation.
        invocation: InvocationIndex,
        /// Number of the dispatch within its invocation.
        dispatch: u32,
    },
    /// Give the final answer: a rejection. The invocation did not run, or a retry by the client is harmless.
    Reject {
        /// The invocation.
        invocation: InvocationIndex,
        /// When the client should retry (Retry-After).
        retry_after: Option<Micros>,
    },
    /// Give the final answer: an error. The invocation may have run.
    Fail {
        /// The invocation.
        invocation: InvocationIndex,
    },
    /// Order a worker to have at least this many copies loaded.
    LoadOrder {
        /// The worker.
        worker: WorkerIndex,
        /// The function.
        function: FunctionIndex,
        /// Number of copies; with 0 the order only queries how many are loaded.
        copies: u32,
    },
    /// Unload idle copies.
    Unload {
        /// The worker.
        worker: WorkerIndex,
        /// The function.
        function: FunctionIndex,
    },
    /// Send a health check.
    Probe {
        /// The worker.
        worker: WorkerIndex,
    },
    /// Set a timer: [`Event::Timer`] follows.
    Timer {
        /// Identifies the timer.
        token: u64,
        /// Time from now until the timer is due.
        after: Micros,
    },
    /// Request the endpoint list.
    RequestEndpointList {
        /// Whether to keep watching the list for changes; otherwise it is requested once.
        watch: bool,
    },
    /// Release the index of a function: it may be reused.
    ReleaseFunction {
        /// The function.
        function: FunctionIndex,
    },
}
