//! What a trace contains, record by record. Their bytes: [`crate::record_codec`], described in
//! `docs/design/trace-format.md`.

use cedarpulley::interface::*;
use cedarpulley_router::admission_control::RejectionReason;
use cedarpulley_router::{AnswerReason, FinalOutcome, FrontIndex};

/// Which kind of index a name belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum NameKind {
    /// A [`FunctionIndex`].
    Function,
    /// A [`WorkerIndex`].
    Worker,
}

/// An event as the decision module received it, owned.
#[derive(Clone, Debug)]
pub enum RecordedEvent {
    /// [`Event::EndpointList`] with its endpoints copied.
    List {
        /// Whether the list is whole, a change, cached, or could not be fetched.
        kind: EndpointListKind,
        /// The endpoints in the order received.
        endpoints: Vec<Endpoint>,
    },
    /// Any other event; these borrow nothing.
    Other(Event<'static>),
}

impl RecordedEvent {
    /// The event as the decision module takes it.
    pub fn event(&self) -> Event<'_> {
        match self {
            RecordedEvent::List { kind, endpoints } => Event::EndpointList {
                kind: *kind,
                endpoints,
            },
            RecordedEvent::Other(event) => *event,
        }
    }
}

/// One record of a trace; each has a time of its own in its block.
#[derive(Clone, Debug)]
pub enum Record {
    /// Gives an index its name; comes in each block before the first record that uses the index.
    Name {
        /// What the index counts.
        kind: NameKind,
        /// The index that is named.
        index: u32,
        /// Function name or worker address.
        name: String,
    },
    /// The decision module received this event and returned these actions.
    Decided {
        /// The event.
        event: RecordedEvent,
        /// The actions, in order.
        actions: Vec<Action>,
    },
    /// Where the invocation of the next recorded event came from.
    Accepted {
        /// The invocation.
        invocation: InvocationIndex,
        /// The listener or queue it came from.
        front: FrontIndex,
        /// Hash of the correlation id that its client gave it.
        correlation_hash: Option<u64>,
        /// Delivered before, to this router or another.
        redelivered: bool,
    },
    /// A final answer left the router core.
    Answered {
        /// Absent: it was answered at once and never reached the decision module.
        invocation: Option<InvocationIndex>,
        /// Where it came from.
        front: FrontIndex,
        /// Its outcome.
        outcome: FinalOutcome,
        /// Why it ended so.
        reason: AnswerReason,
        /// Index of its trigger type; `u32::MAX`: not known.
        trigger: u32,
        /// Index of its account; `u32::MAX`: not known.
        account: u32,
        /// From accepting it to the answer, in microseconds.
        took: Micros,
    },
    /// Rejected by admission control.
    Rejected {
        /// Where it came from.
        front: FrontIndex,
        /// Index of its trigger type.
        trigger: u32,
        /// Index of its account.
        account: u32,
        /// The limit that was reached.
        reason: RejectionReason,
    },
    /// Records lost here because the disk did not keep up.
    Gap {
        /// How many.
        records: u64,
        /// Time of the first lost record.
        from: Micros,
        /// Time of the last lost record.
        until: Micros,
    },
}

/// Whether the event's actions dispatch or end this invocation.
pub(crate) fn is_settled(invocation: InvocationIndex, actions: &[Action]) -> bool {
    actions.iter().any(|action| match action {
        Action::Dispatch { invocation: of, .. }
        | Action::Reject { invocation: of, .. }
        | Action::Fail { invocation: of } => *of == invocation,
        _ => false,
    })
}
