//! What the decision module is told and what it asks for: plain types, free of any wire.
//!
//! Times are whole microseconds; points in time are on a clock that only advances. Workers, functions and
//! invocations go by small dense indices (see [`crate::ids`]). The index of an invocation is given out again
//! once it is ended and all its dispatches have; that of a function after [`Action::Forget`]; that of a
//! worker once it is gone and no invocation or order refers to it: a list entry with another fingerprint
//! tells of the new one.

pub type Micros = i64;
pub type WorkerIx = u32;
pub type FnIx = u32;
pub type InvIx = u32;

/// Where this router stands among those before the same workers.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetPosition {
    pub routers: u32,
    pub position: u32,
    pub zone: u32,
    /// Least time between two calls with news.
    pub granularity: Micros,
}

/// Who drops a repeat of a tokened invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Tokened { group: RepeatGroup, window: Micros },
    NonIdempotent,
}

#[derive(Clone, Copy, Debug)]
pub struct TriggerType {
    pub effect: Effect,
    /// The answer is wanted within this time.
    pub latency_objective: Micros,
    /// The objective grows by this multiple of the invocation's own work.
    pub objective_stretch: f64,
    /// The client gives up after this time, over all its tries.
    pub client_timeout: Micros,
    pub billed_value: f64,
    /// Part of the billed value that an answer after the latency objective still earns.
    pub late_part: f64,
    pub streamed: bool,
}

#[derive(Clone, Copy, Debug)]
pub struct Account {
    /// Invocations a second over all routers that are within its share.
    pub allowance_per_s: f64,
    pub share: f64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct DispatchLimits {
    pub max_dispatches: u32,
    pub second_copies: bool,
    pub withdrawals: bool,
    pub probes: bool,
    pub connect_within: Micros,
    /// Longest advice on when to return that clients heed; 0 where none may be given.
    pub max_advice: Micros,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct RuleTerms {
    pub answer_slack: Micros,
    pub drain_grace: Micros,
    /// Where the list comes only when asked for: it counts as known after this time.
    pub ask_within: Micros,
    pub list_on_request: bool,
    pub cold_part: f64,
    pub cold_for: Micros,
    pub overload_multiple: f64,
    pub overload_window: Micros,
}

#[derive(Clone, Debug, Default)]
pub struct LoadTerms {
    /// An idle copy stays at least this long.
    pub idle_kept: Micros,
    pub orders: bool,
    /// A worker that lacks the function loads it by itself.
    pub loads_when_absent: bool,
    pub order_answered_within: Micros,
    /// Ration of load orders: in any `ration_window`, at most `ration_few` + `ration_part` x invocations taken.
    pub ration_window: Micros,
    pub ration_few: f64,
    pub ration_part: f64,
    pub notes: bool,
    pub crowds: bool,
    /// By machine kind.
    pub memory_mb: Vec<f64>,
}

/// Points taken off the result.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prices {
    pub crossing: f64,
    pub fetch: f64,
    pub waste: f64,
    pub probe: f64,
    pub late_error: f64,
    /// What an invocation beyond its account's share is worth.
    pub over_share: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportsIn {
    Answers,
    Probes,
    Nothing,
}

/// A load report; what a worker does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub held: Option<f64>,
    pub waiting: Option<f64>,
    pub busy: Option<f64>,
    pub loads: Option<f64>,
    pub memory_part: Option<f64>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    InService,
    Draining,
    #[default]
    Gone,
}

#[derive(Clone, Copy, Debug)]
pub struct ListEntry {
    pub worker: WorkerIx,
    /// The same at every router.
    pub fingerprint: u64,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub standing: Standing,
    pub weight: f64,
    pub started: Option<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    Changes,
    /// Complete: a worker not named is gone.
    Complete,
    /// Complete, as last held before a restart; perhaps stale.
    Saved,
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    Errored,
    /// Turned away unseen.
    Throttled,
    TimedOut,
    Unreachable,
    Broken,
    Withdrawn,
    NotSent,
    /// Not loaded there and no load in progress, or the awaited load failed.
    Missed,
}

impl Outcome {
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Throttled | Outcome::Unreachable | Outcome::NotSent | Outcome::Missed
        )
    }
}

/// What an answer tells of the copy that it ran on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyNote {
    Untold,
    Found,
    Began,
    Waited,
    LoadErrored,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    Stand,
    NoRoom,
    LoadErrored,
    Broken,
    Unreachable,
    TimedOut,
}

/// An invocation that this router has taken.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub inv: InvIx,
    pub trigger: u32,
    pub account: u32,
    pub func: FnIx,
    /// The function's fingerprint, the same at every router.
    pub fingerprint: u64,
    pub cost_hint: Option<Micros>,
    pub load_hint: Option<Micros>,
    pub copy_mb: f64,
    /// Invocations that one copy runs at a time.
    pub lanes: u32,
    pub client_gives_up_in: Micros,
    /// For how long the client had waited when this came; its latency objective runs from its sending.
    pub waited: Micros,
    pub repeat: bool,
    /// Where what came before in its session is warm.
    pub prefers: Option<WorkerIx>,
}

/// What the module has to know of a function that nobody may have asked for yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Asked {
    pub func: FnIx,
    pub fingerprint: u64,
    pub trigger: u32,
    pub lanes: u32,
}

/// How a dispatch ended; each has exactly one.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    pub inv: InvIx,
    pub dispatch: u32,
    pub worker: WorkerIx,
    pub outcome: Outcome,
    pub took: Micros,
    /// The invocation has its final answer.
    pub concluded: bool,
    pub note: CopyNote,
    /// Invocations of the same function that the worker held when this one came.
    pub crowd: Option<u32>,
    pub report: Report,
}

#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    List {
        mode: ListMode,
        entries: &'a [ListEntry],
    },
    Invocation(Arrival),
    /// The client has left: no answer is owed.
    Departed {
        inv: InvIx,
    },
    /// A streamed answer has begun.
    Answering {
        inv: InvIx,
        dispatch: u32,
        worker: WorkerIx,
    },
    DispatchEnded(Ending),
    OrderEnded {
        worker: WorkerIx,
        func: FnIx,
        result: OrderResult,
        took: Micros,
        copies: u32,
    },
    Probed {
        worker: WorkerIx,
        outcome: Outcome,
        took: Micros,
        report: Report,
    },
    Timer {
        token: u64,
    },
    /// A copy is wanted there beside what invocations ask for, or its idle time renewed: by an upgrade's plan, or as one
    /// that was believed there is gone.
    Wanted {
        worker: WorkerIx,
        asked: Asked,
    },
    /// What a worker itself says that it holds of a function; 0: nothing.
    Held {
        worker: WorkerIx,
        func: FnIx,
        copies: u32,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Sends the invocation; `time_out` absent: until the client gives up.
    Dispatch {
        inv: InvIx,
        worker: WorkerIx,
        time_out: Option<Micros>,
    },
    Withdraw {
        inv: InvIx,
        dispatch: u32,
    },
    /// Final answer: did not run, trying again is harmless.
    Throttle {
        inv: InvIx,
        return_after: Option<Micros>,
    },
    /// Final answer that promises nothing.
    Error {
        inv: InvIx,
    },
    /// Hold at least so many copies; 0 only asks how many stand.
    Order {
        worker: WorkerIx,
        func: FnIx,
        copies: u32,
    },
    Unload {
        worker: WorkerIx,
        func: FnIx,
    },
    Probe {
        worker: WorkerIx,
    },
    Timer {
        token: u64,
        after: Micros,
    },
    /// Ask for the list: kept up to date from now on, or once.
    AskList {
        follow: bool,
    },
    /// This function's index may be given out again.
    Forget {
        func: FnIx,
    },
}
