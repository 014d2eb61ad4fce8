//! The state that the core keeps of each invocation and of each of its dispatches.

use std::sync::Arc;

use cedarpulley::interface::{FunctionIndex, InvocationIndex, Micros, WorkerIndex};

use crate::claims::ClaimIndex;
use crate::group::{Leave, Part, Stage};
use crate::tokens;
use crate::{FrontIndex, Payload, Session, Ticket};

/// Stands for the claim of an invocation whose claim was forgotten.
pub(super) const NO_CLAIM: ClaimIndex = ClaimIndex::MAX;

/// Refers to one invocation, even after its index was given to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct InvocationHandle {
    pub(super) inv: InvocationIndex,
    /// Generation of the index.
    pub(super) generation: u32,
}

impl InvocationHandle {
    /// The ticket of one of the invocation's dispatches.
    pub(super) fn ticket(self, dispatch: u32) -> Ticket {
        Ticket {
            inv: self.inv,
            dispatch,
            generation: self.generation,
        }
    }
}

impl From<Ticket> for InvocationHandle {
    fn from(ticket: Ticket) -> Self {
        InvocationHandle {
            inv: ticket.inv,
            generation: ticket.generation,
        }
    }
}

/// How far a dispatch is, and what its ending proves.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Sent {
    /// It has not ended: it is at the worker, on its way there, or waits for permission to leave.
    Out,
    /// It ended, and the worker never ran it.
    NeverRan,
    /// It ended, and the worker may have run it.
    MayHaveRun,
}

/// One attempt to have a worker run the invocation.
pub(super) struct Dispatch {
    pub(super) worker: WorkerIndex,
    /// When the module decided it.
    pub(super) decided_at: Micros,
    pub(super) state: Sent,
    /// Time-out counted from `decided_at`; absent: it ends when the answer is due.
    pub(super) time_out: Option<Micros>,
    /// Number by which the group knows this dispatch.
    pub(super) sending: u64,
    /// Whether the group's permission is needed, asked for or given.
    pub(super) leave: Leave,
}

impl Dispatch {
    pub(super) fn is_out(&self) -> bool {
        self.state == Sent::Out
    }

    /// It waits for the group's permission: nothing of it can have reached a worker.
    pub(super) fn waits_for_leave(&self) -> bool {
        self.is_out() && self.leave == Leave::Asked
    }
}

/// One invocation that this router has accepted, until it is answered and all its dispatches have ended.
pub(super) struct Invocation {
    /// Its claim, or [`NO_CLAIM`].
    pub(super) claim: ClaimIndex,
    /// Under which retries of its client are recognised.
    pub(super) token_key: Option<tokens::Key>,
    pub(super) front: FrontIndex,
    /// It asked for entry before it was taken; it then counts against the limits until its front says that it
    /// has left, not until it is answered.
    pub(super) entered: bool,
    pub(super) trigger: u32,
    pub(super) account: u32,
    pub(super) function: Arc<str>,
    pub(super) func: FunctionIndex,
    /// By which workers recognise repeats.
    pub(super) token: Option<Arc<str>>,
    /// The invocation's name as its client gave it.
    pub(super) mark: Option<Arc<str>>,
    pub(super) cost_hint: Option<Micros>,
    pub(super) load_hint: Option<Micros>,
    /// Size of a copy of its function, in megabytes.
    pub(super) copy_mb: f64,
    /// Invocations that one copy runs at a time; at least 1.
    pub(super) lanes: u32,
    pub(super) session: Option<Session>,
    /// Name of the worker where its session is warm.
    pub(super) prefers: Option<Arc<str>>,
    pub(super) body: Payload,
    pub(super) taken_at: Micros,
    /// When the final answer is due.
    pub(super) gives_up_at: Micros,
    /// No dispatch may leave from then on, where workers forget repeats by that time.
    pub(super) dispatch_until: Option<Micros>,
    /// It has its final answer, or none is owed any more.
    pub(super) concluded: bool,
    /// Its front lost its connection and the message has not been delivered again yet.
    pub(super) orphaned: bool,
    /// It was orphaned once while shared with the group, which may have given it to another router.
    pub(super) was_away: bool,
    /// How long its client had waited when it was taken.
    pub(super) waited: Micros,
    /// The message was delivered before.
    pub(super) redelivered: bool,
    /// Its client says that this is a repeat.
    pub(super) repeat: bool,
    /// The decision module was told of it, and not that it departed.
    pub(super) known_to_module: bool,
    /// State of its agreement with the group; absent if it is not shared.
    pub(super) group_part: Option<Part>,
    pub(super) dispatches: Vec<Dispatch>,
}

impl Invocation {
    /// A dispatch has not ended.
    pub(super) fn has_dispatch_out(&self) -> bool {
        self.dispatches.iter().any(Dispatch::is_out)
    }

    /// A dispatch has not ended and may be on its way to a worker.
    pub(super) fn has_dispatch_under_way(&self) -> bool {
        self.dispatches
            .iter()
            .any(|d| d.is_out() && !d.waits_for_leave())
    }

    /// A dispatch may have run at a worker, or may run yet.
    pub(super) fn may_have_run(&self) -> bool {
        self.dispatches
            .iter()
            .any(|d| d.state != Sent::NeverRan && d.leave != Leave::Asked)
    }

    pub(super) fn group_stage(&self) -> Option<Stage> {
        self.group_part.as_ref().map(|part| part.stage)
    }

    /// Indices of the dispatches for which this holds, in the order in which they were decided.
    pub(super) fn dispatches_where(&self, holds: fn(&Dispatch) -> bool) -> Vec<u32> {
        let indices = 0..self.dispatches.len();
        indices
            .filter(|&index| holds(&self.dispatches[index]))
            .map(|index| index as u32)
            .collect()
    }
}
