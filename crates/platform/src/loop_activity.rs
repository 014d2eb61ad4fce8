//! Records what fills the turns of the core loop, so that an operator of a router that stood still sees why.
//!
//! A turn begins when the event loop passes an input to the router core, and ends when the core has handled it and all
//! inputs that followed from executing its outputs. No connection is served during a turn. Call
//! [`LoopActivity::turn_began`] and [`LoopActivity::turn_ended`] around each turn, and [`LoopActivity::record`] for
//! each input. Call [`LoopActivity::task_ran`] each time a task of the event loop has run until it gave way: no other
//! task runs meanwhile. [`LoopActivity::take_report`] returns what has happened since its last call.

use cedarpulley::interface::Micros;

use crate::connection_limiter::ClientId;
use crate::connection_pool::ConnectionId;

/// A turn, or a delay of the event loop, from this length on is reported, in microseconds: the router may be this late
/// by the platform's time limits.
pub const LONG_TURN: Micros = 50_000;

/// What the core loop did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// A request arrived, or its client left.
    Request,
    /// An attempt ended.
    AttemptEnded,
    /// A load order ended.
    LoadOrderEnded,
    /// A health check ended.
    HealthCheckEnded,
    /// The endpoint list or its lease changed.
    EndpointList,
    /// A timer of the core was due.
    Timer,
    /// An exchange with a worker ended within the call that started it: the address of the worker is unknown.
    UnknownAddress,
    /// An exchange with a worker ended within the call that started it: no connection was available.
    NoConnection,
    /// A connection to a worker could not be established.
    ConnectFailed,
    /// A client connected.
    ClientConnected,
    /// A request of a client was taken from its connection, also one that does not reach the core: a health check, or a
    /// request that is rejected.
    ClientRequest,
}

/// The owner of a task of the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskOwner {
    /// Accepts connections of clients.
    Accepting,
    /// Serves this connection of a client.
    Client(ClientId),
    /// Serves this connection to a worker.
    Worker(ConnectionId),
    /// Follows discovery.
    Discovery,
    /// Handles signals.
    Signals,
    /// Passes timers and queued inputs to the core.
    Core,
    /// Closes overdue connections.
    Sweeping,
}

/// A time in which one task ran without giving way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskRun {
    /// Whose task it was.
    pub owner: TaskOwner,
    /// How long it ran, in microseconds.
    pub duration: Micros,
}

/// The longer of two runs; the first one if they are equal.
fn longer(first: Option<TaskRun>, second: TaskRun) -> Option<TaskRun> {
    first
        .filter(|first| first.duration >= second.duration)
        .or(Some(second))
}

/// How often each activity happened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ActivityCounts {
    /// Requests that arrived, and clients that left.
    pub requests: u64,
    /// Ends of attempts.
    pub attempts_ended: u64,
    /// Ends of load orders.
    pub load_orders_ended: u64,
    /// Ends of health checks.
    pub health_checks_ended: u64,
    /// Changes of the endpoint list and of its lease.
    pub endpoint_lists: u64,
    /// Timers of the core that were due.
    pub timers: u64,
    /// Exchanges that ended at once because the address of the worker is unknown.
    pub unknown_address: u64,
    /// Exchanges that ended at once because no connection was available.
    pub no_connection: u64,
    /// Connections to workers that could not be established.
    pub connect_failed: u64,
    /// Clients that connected.
    pub clients_connected: u64,
    /// Requests that were taken from the connections of clients.
    pub client_requests: u64,
}

impl ActivityCounts {
    fn add(&mut self, activity: Activity) {
        let count = match activity {
            Activity::Request => &mut self.requests,
            Activity::AttemptEnded => &mut self.attempts_ended,
            Activity::LoadOrderEnded => &mut self.load_orders_ended,
            Activity::HealthCheckEnded => &mut self.health_checks_ended,
            Activity::EndpointList => &mut self.endpoint_lists,
            Activity::Timer => &mut self.timers,
            Activity::UnknownAddress => &mut self.unknown_address,
            Activity::NoConnection => &mut self.no_connection,
            Activity::ConnectFailed => &mut self.connect_failed,
            Activity::ClientConnected => &mut self.clients_connected,
            Activity::ClientRequest => &mut self.client_requests,
        };
        *count += 1;
    }
}

/// One turn of the core loop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TurnActivity {
    /// How long it lasted, in microseconds.
    pub duration: Micros,
    /// What filled it.
    pub counts: ActivityCounts,
}

/// What has happened since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ActivityReport {
    /// Time since the last report, in microseconds.
    pub duration: Micros,
    /// Number of turns.
    pub turns: u64,
    /// The longest turn.
    pub longest_turn: TurnActivity,
    /// What filled all turns, and what happened between them.
    pub counts: ActivityCounts,
    /// The longest time in which one task ran without giving way; `None` if no task ended its run.
    pub longest_run: Option<TaskRun>,
}

impl ActivityReport {
    /// Whether the router stood still for long enough that an operator should know: within one turn or one run of a task,
    /// or over many short ones. `period`: the time after which the report was due, in microseconds.
    pub fn is_notable(&self, period: Micros) -> bool {
        let held = self.longest_run.map_or(0, |run| run.duration);
        let longest = self.longest_turn.duration.max(held);
        longest.max(self.duration - period) >= LONG_TURN
    }
}

/// Measures the turns of the core loop.
#[derive(Debug)]
pub struct LoopActivity {
    /// When the present turn began, and its counts so far; `None` between two turns.
    turn: Option<(Micros, ActivityCounts)>,
    report: ActivityReport,
    reported_at: Micros,
    longest_turn: TurnActivity,
    longest_run: Option<TaskRun>,
}

impl LoopActivity {
    /// Measures from `now` on, in microseconds.
    pub fn new(now: Micros) -> Self {
        LoopActivity {
            turn: None,
            report: ActivityReport::default(),
            reported_at: now,
            longest_turn: TurnActivity::default(),
            longest_run: None,
        }
    }

    /// Records that a task ran for `duration` microseconds and gave way.
    pub fn task_ran(&mut self, owner: TaskOwner, duration: Micros) {
        let run = TaskRun { owner, duration };
        self.report.longest_run = longer(self.report.longest_run, run);
        self.longest_run = longer(self.longest_run, run);
    }

    /// Records that a turn began at `now`, in microseconds.
    pub fn turn_began(&mut self, now: Micros) {
        self.turn = Some((now, ActivityCounts::default()));
    }

    /// Records an activity, which belongs to the present turn if there is one.
    pub fn record(&mut self, activity: Activity) {
        self.report.counts.add(activity);
        if let Some((_, counts)) = &mut self.turn {
            counts.add(activity);
        }
    }

    /// Records that the turn ended at `now`, in microseconds.
    pub fn turn_ended(&mut self, now: Micros) {
        let Some((began, counts)) = self.turn.take() else {
            return;
        };
        let turn = TurnActivity {
            duration: now - began,
            counts,
        };
        self.report.turns += 1;
        for longest in [&mut self.report.longest_turn, &mut self.longest_turn] {
            if turn.duration > longest.duration {
                *longest = turn;
            }
        }
    }

    /// Returns what has happened since the last call. `now` is in microseconds.
    pub fn take_report(&mut self, now: Micros) -> ActivityReport {
        self.report.duration = now - std::mem::replace(&mut self.reported_at, now);
        std::mem::take(&mut self.report)
    }

    /// The longest turn since the start.
    pub fn longest_turn(&self) -> TurnActivity {
        self.longest_turn
    }

    /// The longest time since the start in which one task ran without giving way.
    pub fn longest_run(&self) -> Option<TaskRun> {
        self.longest_run
    }
}
