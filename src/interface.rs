//! The types that the decision module ([`crate::Balancer`]) speaks: the settings it starts with, the events it is
//! told of and the actions it asks for. They are free of any wire format.
//!
//! Times are whole microseconds ([`Micros`]); points in time are read from one monotonic clock. Workers, functions
//! and invocations are named by small dense indices (see [`crate::ids`]), which are reused:
//!
//! * the index of an invocation, once it has its final answer and all its dispatches have ended;
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
    /// Shortest time between two calls of the module with events.
    pub granularity: Micros,
}

/// The set of workers that recognize a repeat by its idempotency key: a repeat is dropped by every worker of the set
/// that ran the first one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// What running an invocation twice does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing more than running it once: it may be repeated anywhere.
    Idempotent,
    /// Workers drop repeats with the same idempotency key.
    IdempotentByKey {
        /// The workers that share the record of keys.
        scope: DeduplicationScope,
        /// How long a key is remembered after an attempt.
        window: Micros,
    },
    /// Another effect: it must not run twice.
    NonIdempotent,
}

/// The settings of one type (class) of invocations.
#[derive(Clone, Copy, Debug)]
pub struct TriggerType {
    /// What running an invocation twice does.
    pub effect: Effect,
    /// Latency objective: an answer within this time earns the full value.
    pub latency_objective: Micros,
    /// The latency objective grows by this multiple of the invocation's own work.
    pub objective_work_multiple: f64,
    /// The client stops waiting after this time, over all its retries.
    pub client_timeout: Micros,
    /// Value of an answer within the latency objective.
    pub billed_value: f64,
    /// Fraction of the billed value that an answer after the latency objective still earns, 0 to 1.
    pub late_value_fraction: f64,
    /// Answers are streamed.
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
    /// Dispatches of one invocation at most, the first included.
    pub max_dispatches: u32,
    /// Hedged requests are allowed: two dispatches of one invocation in flight at a time.
    pub hedged_requests: bool,
    /// Dispatches may be cancelled.
    pub cancellation: bool,
    /// Health checks may be sent to workers.
    pub probes: bool,
    /// Time allowed for connecting to a worker.
    pub connect_timeout: Micros,
    /// Longest Retry-After that clients heed; 0 where none may be given.
    pub max_retry_after: Micros,
}

/// Bounds that the safety rules set.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuleLimits {
    /// How late a final answer may be after the client's timeout.
    pub answer_slack: Micros,
    /// How long a draining worker may still be given work.
    pub drain_grace: Micros,
    /// Where the endpoint list comes only on request: a request for it takes at most this long.
    pub list_request_timeout: Micros,
    /// The endpoint list comes only on request.
    pub list_on_request: bool,
    /// Fraction of its full capacity that a worker has when its process starts, 0 to 1.
    pub slow_start_fraction: f64,
    /// After this time since its start a worker has its full capacity.
    pub slow_start_duration: Micros,
    /// A worker in slow start may be sent this multiple of its present capacity.
    pub overload_multiple: f64,
    /// The window over which that is counted.
    pub overload_window: Micros,
}

/// How workers load copies of functions, and what loading may cost.
#[derive(Clone, Debug, Default)]
pub struct LoadSettings {
    /// An idle copy stays loaded at least this long.
    pub idle_retention: Micros,
    /// Copies may be ordered ([`Action::LoadOrder`]).
    pub load_orders: bool,
    /// A worker that is sent an invocation of a function it lacks loads the function by itself.
    pub loads_when_absent: bool,
    /// An order without a result ends after this time.
    pub order_timeout: Micros,
    /// Quota of load orders: within any window of this length at most `order_quota_base` +
    /// `order_quota_per_invocation` × invocations accepted in it. 0: no quota.
    pub order_quota_window: Micros,
    /// Orders allowed in each window whatever the traffic.
    pub order_quota_base: f64,
    /// Further orders allowed for each accepted invocation.
    pub order_quota_per_invocation: f64,
    /// Answers say whether the copy was warm ([`CopyStatus`]).
    pub reports_copy_status: bool,
    /// Answers say how many invocations of the function were in flight at the worker.
    pub reports_function_load: bool,
    /// Memory of a worker in megabytes, by machine kind.
    pub memory_mb: Vec<f64>,
}

/// Costs, as fractions of the value that is served.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prices {
    /// Of a dispatch to another zone.
    pub crossing: f64,
    /// Of fetching a function from the store.
    pub fetch: f64,
    /// Of worker time that served no answer.
    pub waste: f64,
    /// Of a health check.
    pub probe: f64,
    /// Of an error after the latency objective.
    pub late_error: f64,
    /// Value of an invocation beyond its account's quota, as a fraction of one within it.
    pub over_quota: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// They come with answers.
    Answers,
    /// They come with health checks.
    Probes,
    /// There are none.
    Nothing,
}

/// A worker's load report; what the worker does not report is absent.
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
    /// It takes new work.
    InService,
    /// It finishes what it has and is then removed.
    Draining,
    /// It is not in the list (any more).
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

/// What an endpoint list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Only the workers that changed.
    Changes,
    /// All workers: one that is not named is gone.
    Complete,
    /// All workers, as cached before a restart of the router; it may be stale.
    Cached,
    /// Nothing: the list could not be had.
    Failed,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The worker answered with success.
    Succeeded,
    /// The worker answered with an error; it may have run.
    Errored,
    /// The worker was full and rejected it unread.
    Rejected,
    /// There was no answer within the time allowed.
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// The connection was lost after the request had begun to leave.
    ConnectionLost,
    /// The router cancelled it.
    Cancelled,
    /// It never left the router.
    NotSent,
    /// The worker had no copy and was loading none, or the load that it awaited failed.
    NotLoaded,
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
        )
    }
}

/// What an answer says of the copy that served it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyStatus {
    /// Nothing.
    Unreported,
    /// The copy was loaded when the invocation came.
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
    /// The worker has no capacity for all of them, or is draining.
    NoCapacity,
    /// A load failed.
    LoadFailed,
    /// The connection was lost.
    ConnectionLost,
    /// No connection could be made.
    Unreachable,
    /// There was no result within the time allowed.
    TimedOut,
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
    /// How long the client had been waiting when this arrived; its latency objective counts from its sending.
    pub waited: Micros,
    /// The client marks it as a retry of its own.
    pub repeat: bool,
    /// The worker where the earlier invocations of its session left their state.
    pub preferred_worker: Option<WorkerIndex>,
}

/// What the module has to know of a function that no invocation may have asked for yet.
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
    /// The worker it went to.
    pub worker: WorkerIndex,
    /// How it ended.
    pub outcome: DispatchOutcome,
    /// Time since the module asked for it.
    pub took: Micros,
    /// The invocation has its final answer.
    pub answered: bool,
    /// What the answer says of the copy that served it.
    pub copy_status: CopyStatus,
    /// Invocations of the same function in flight at the worker when this one came, if reported.
    pub function_load: Option<u32>,
    /// The worker's load report.
    pub report: LoadReport,
}

/// Something that happened, of which the module is told.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The endpoint list, or a change of it.
    EndpointList {
        /// What `endpoints` holds.
        kind: EndpointListKind,
        /// The workers.
        endpoints: &'a [Endpoint],
    },
    /// The endpoint list is up to date. Until the time given it may be relied on although nothing more is heard of it;
    /// without any such event it always is.
    EndpointListLease {
        /// When the lease ends, unless it is renewed.
        until: Micros,
    },
    /// An invocation was accepted.
    Invocation(Arrival),
    /// The client has left: no answer is owed.
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
        /// The worker that was to load them.
        worker: WorkerIndex,
        /// The function.
        function: FunctionIndex,
        /// How the order ended.
        result: LoadOrderResult,
        /// Time since the module asked for it.
        took: Micros,
        /// Copies loaded at the worker now.
        copies: u32,
    },
    /// A health check ended.
    ProbeEnded {
        /// The worker that was checked.
        worker: WorkerIndex,
        /// How it ended.
        outcome: DispatchOutcome,
        /// How long it took.
        took: Micros,
        /// The worker's load report.
        report: LoadReport,
    },
    /// A timer that the module set is due.
    Timer {
        /// The timer's token.
        token: u64,
    },
    /// A copy is wanted in addition to what invocations ask for, or its idle time is to be renewed: an upgrade's plan
    /// says so, or a copy that was believed loaded is gone.
    CopyWanted {
        /// The worker where it is wanted.
        worker: WorkerIndex,
        /// The function.
        function: FunctionInfo,
    },
    /// A worker reports the copies that it holds of a function.
    CopiesReported {
        /// The worker.
        worker: WorkerIndex,
        /// The function.
        function: FunctionIndex,
        /// Copies loaded there; 0: none.
        copies: u32,
    },
}

/// Something that the module asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send the invocation to a worker.
    Dispatch {
        /// The invocation.
        invocation: InvocationIndex,
        /// Where it goes.
        worker: WorkerIndex,
        /// Timeout of this attempt; absent: it ends when the final answer is due.
        timeout: Option<Micros>,
    },
    /// Cancel a dispatch.
    Cancel {
        /// The invocation.
        invocation: InvocationIndex,
        /// Number of the dispatch within its invocation.
        dispatch: u32,
    },
    /// Final answer: it did not run, and a retry by the client is harmless.
    Reject {
        /// The invocation.
        invocation: InvocationIndex,
        /// When the client should retry (Retry-After).
        retry_after: Option<Micros>,
    },
    /// Final answer: an error; it may have run.
    Fail {
        /// The invocation.
        invocation: InvocationIndex,
    },
    /// Order a worker to hold at least this many copies.
    LoadOrder {
        /// The worker.
        worker: WorkerIndex,
        /// The function.
        function: FunctionIndex,
        /// Copies to hold; 0 only asks how many are loaded.
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
        /// Names the timer.
        token: u64,
        /// When it is due, from now.
        after: Micros,
    },
    /// Request the endpoint list.
    RequestEndpointList {
        /// Keep watching it for changes; otherwise only once.
        watch: bool,
    },
    /// The function's index may be reused.
    ReleaseFunction {
        /// The function.
        function: FunctionIndex,
    },
}
