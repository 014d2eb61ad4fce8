//! What goes into the core and what comes out of it: [`Input`], [`Output`], the settings ([`Terms`]) and the
//! counters ([`Counts`]). All times are microseconds ([`Micros`]), all sizes bytes unless a name says
//! otherwise.

use std::collections::BTreeMap;
use std::sync::Arc;

use cedarpulley::interface::{
    CopyStatus, DispatchOutcome, EndpointListKind, LoadOrderResult, LoadReport, Micros, WorkerIndex,
};
use cedarpulley_usage_metering::Held;

use crate::admission_control::{Entry, Knock, Short};
use crate::concurrency_limit::FrontState;
use crate::endpoint_list::Listed;
use crate::replication::{Ask, Sharing, Told};
use crate::{
    Answer, Delivery, Fate, FrontIndex, OrderTicket, Payload, Reason, Session, Taken, Ticket,
};

/// Settings of the core beside those that the decision module is created with.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The final answer is due this long before the client's timeout: the front needs that time to send it.
    pub answer_margin: Micros,
    /// Largest difference expected between a client's clock and this router's.
    pub clock_margin: Micros,
    /// Limit for the bodies of all invocations that are open, in bytes.
    pub memory_bytes: u64,
    /// Weight of each front relative to the others, by front index.
    pub front_weights: Vec<f64>,
    /// Share of each account, by account index; empty if all invocations belong to one account.
    pub account_shares: Vec<f64>,
    /// An order without a result after this time ends as timed out.
    pub order_answered_within: Micros,
    /// Only the decision module chooses: no shares between accounts and no joining by token. Bounds on memory
    /// and functions still refuse.
    pub module_alone: bool,
    /// How long new dispatches may still leave for a worker after it was reported draining or gone.
    pub drain_grace: Micros,
    /// Set if this router is a member of a group that shares its invocations.
    pub sharing: Option<Sharing>,
}

/// An event that the core is told of, see [`Router::handle`](super::Router::handle).
#[derive(Debug)]
pub enum Input {
    /// A front's connection changed its state.
    Front {
        /// Which front.
        front: FrontIndex,
        /// Its state from now on.
        state: FrontState,
    },
    /// A request asks for entry, at a front that can turn requests away before their body is read. If it may
    /// enter, an [`Input::Taken`] or [`Input::Departed`] with this delivery follows.
    Knock {
        /// Identifies the request until it was answered or has departed.
        delivery: Delivery,
        /// What is known of the request before its body was read.
        knock: Knock,
    },
    /// A whole message or request was received.
    Taken(Taken),
    /// The answer to this delivery has reached its client's side and cannot be lost any more.
    Safe(Delivery),
    /// The client has gone; no answer is owed.
    Departed(Delivery),
    /// News of the worker list.
    List {
        /// Whether `workers` is the whole list or only what changed.
        mode: EndpointListKind,
        /// The workers of which there is news.
        workers: Vec<Listed>,
    },
    /// A dispatch ended, with the worker's answer or without.
    DispatchEnded {
        /// The dispatch, as in [`Output::Send`].
        ticket: Ticket,
        /// How it ended.
        outcome: DispatchOutcome,
        /// What the worker said of the copy that ran it.
        note: CopyStatus,
        /// Invocations of the same function that the worker held when this one arrived, if reported.
        crowd: Option<u32>,
        /// The worker's load report.
        report: LoadReport,
        /// Memory held so far for its account and function, as the worker reports it.
        held: Option<Held>,
        /// Body of the worker's answer; used only if it succeeded.
        body: Payload,
    },
    /// An order to load copies, or a question for how many stand, ended.
    OrderEnded {
        /// The order, as in [`Output::Order`].
        ticket: OrderTicket,
        /// How it ended.
        result: LoadOrderResult,
        /// Copies that stand at the worker now.
        copies: u32,
        /// Memory held so far for the account and function, as the worker reports it.
        held: Option<Held>,
    },
    /// A probe ended.
    Probed {
        /// The worker that was probed.
        worker: WorkerIndex,
        /// How the probe ended.
        outcome: DispatchOutcome,
        /// How long it took.
        took: Micros,
        /// The worker's load report.
        report: LoadReport,
    },
    /// What the group says.
    Group(Told),
    /// A copy is wanted at a worker in addition to what invocations ask for. The decision module may order it
    /// or not.
    Wanted {
        /// The worker, by its name in the list.
        worker: Arc<str>,
        /// The function to load.
        function: Arc<str>,
        /// A known function whose invocations look alike; used if `function` itself is not known yet.
        like: Arc<str>,
        /// The term of the upgrade plan that wants it, if one does.
        term: Option<Arc<str>>,
    },
    /// Idle copies of a function are to be unloaded from a worker.
    Unwanted {
        /// The worker, by its name in the list.
        worker: Arc<str>,
        /// The function to unload.
        function: Arc<str>,
        /// The term of the upgrade plan that wants it, if one does.
        term: Option<Arc<str>>,
    },
    /// What a worker itself reports that it holds.
    Held {
        /// The worker, by its name in the list.
        worker: Arc<str>,
        /// The function.
        function: Arc<str>,
        /// Copies of it; 0: none.
        copies: u32,
    },
    /// Only time has passed.
    Tick,
    /// Graceful shutdown: take nothing new and answer what was taken.
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
    /// Whether a request that asked for entry may enter.
    Entry {
        /// As in [`Input::Knock`].
        delivery: Delivery,
        /// The decision.
        entry: Entry,
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
        call: Call,
    },
    /// Cancel a dispatch. The module is told of its ending in the same step; what the worker still answers is
    /// ignored.
    Withdraw(Ticket),
    /// Ask a worker to load copies of a function, or with `copies` 0 only how many stand.
    Order {
        /// Identifies the order in [`Input::OrderEnded`].
        ticket: OrderTicket,
        /// The function to load.
        function: Arc<str>,
        /// The account whose invocation asked for the function last.
        account: u32,
        /// Copies that are to stand; 0 only asks.
        copies: u32,
        /// The result is waited for so long.
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
    /// Read the worker list again.
    AskList,
    /// A question or news for the group.
    Group(Ask),
    /// How many invocations a front may have open.
    Grant {
        /// Which front.
        front: FrontIndex,
        /// The limit; 0: nothing new.
        most: u32,
    },
}

/// What a dispatch carries.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The invocation's name as its client gave it.
    pub mark: Option<Arc<str>>,
    /// By which the worker recognises a repeat.
    pub token: Option<Arc<str>>,
    /// Time until the final answer is due.
    pub time_left: Micros,
    /// How long this dispatch is waited for; not more than `time_left`.
    pub waited_for: Micros,
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

/// Counters of what was decided, since the start. No decision reads them back.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages taken, whatever became of them.
    pub taken: u64,
    /// Invocations that the module neither dispatched nor answered at once.
    pub held: u64,
    /// Dispatches sent.
    pub dispatches: u64,
    /// Orders to load that left.
    pub orders: u64,
    /// Dispatches that the module withdrew.
    pub withdrawn: u64,
    /// Messages delivered again while their invocation was open: they join it.
    pub joined: u64,
    /// Retries of a client that joined an open invocation by their token.
    pub joined_by_token: u64,
    /// Retries of a client that were given the answer remembered for their token.
    pub remembered: u64,
    /// Messages delivered again that were given the same answer again.
    pub repeated: u64,
    /// Redelivered messages that were refused, as they may have run.
    pub refused_redelivered: u64,
    /// Messages delivered twice at once, see [`Output::Discard`].
    pub discarded: u64,
    /// Open invocations whose front lost its connection.
    pub orphaned: u64,
    /// Endings that came after the dispatch had been given up, or for an unknown dispatch.
    pub too_late: u64,
    /// Invocations that waited for their answer at another router.
    pub joined_elsewhere: u64,
    /// Invocations answered as another router had answered them.
    pub answered_elsewhere: u64,
    /// Permissions to send that the group refused.
    pub leave_refused: u64,
    /// Permissions to send that expired before they were used.
    pub leave_too_old: u64,
    /// Final answers, by what they say and why.
    pub answers: BTreeMap<(Fate, Reason), u64>,
    /// Requests turned away before they were taken, by front and cause.
    pub turned_away: BTreeMap<(FrontIndex, Short), u64>,
}
