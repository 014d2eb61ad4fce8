//! The records of a trace. [`crate::record_codec`] encodes them; `docs/design/trace-format.md` describes the bytes.

use cedarpulley::interface::*;
use cedarpulley_router::admission_control::RejectionReason;
use cedarpulley_router::{AnswerReason, FinalOutcome, FrontIndex};

/// The kind of index that a name belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum NameKind {
    /// A [`FunctionIndex`].
    Function,
    /// A [`WorkerIndex`].
    Worker,
}

/// An owned copy of an event that the balancer received.
#[derive(Clone, Debug)]
pub enum RecordedEvent {
    /// [`Event::EndpointList`] with its endpoints copied.
    List {
        /// Whether the list is complete, contains changes only, is cached, or could not be fetched.
        kind: EndpointListKind,
        /// The endpoints in the order in which they were received.
        endpoints: Vec<Endpoint>,
    },
    /// Any other event; these borrow no data.
    Other(Event<'static>),
}

impl RecordedEvent {
    /// The event in the form that the balancer handles.
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

/// One record of a trace. Its time is stored with it in the block.
#[derive(Clone, Debug)]
pub enum Record {
    /// Assigns a name to an index. Each block contains it before the first record that uses the index.
    Name {
        /// The kind of the index.
        kind: NameKind,
        /// The index that the name is assigned to.
        index: u32,
        /// Function name or worker address.
        name: String,
    },
    /// The balancer received this event and returned these actions.
    Decided {
        /// The event.
        event: RecordedEvent,
        /// The actions, in order.
        actions: Vec<Action>,
    },
    /// The origin of the invocation of the next recorded event.
    Accepted {
        /// The invocation.
        invocation: InvocationIndex,
        /// The listener or queue that received it.
        front: FrontIndex,
        /// Hash of the correlation id that the client assigned.
        correlation_hash: Option<u64>,
        /// Whether the message was delivered before, to this router or another.
        redelivered: bool,
    },
    /// The router core gave the final answer to an invocation.
    Answered {
        /// The invocation; absent if it was answered immediately and never reached the balancer.
        invocation: Option<InvocationIndex>,
        /// The listener or queue that received it.
        front: FrontIndex,
        /// The final outcome.
        outcome: FinalOutcome,
        /// Why the invocation had this outcome.
        reason: AnswerReason,
        /// Index of its trigger type; `u32::MAX` if unknown.
        trigger: u32,
        /// Index of its account; `u32::MAX` if unknown.
        account: u32,
        /// Time from accepting the invocation to its answer, in microseconds.
        took: Micros,
    },
    /// Admission control rejected an invocation.
    Rejected {
        /// The listener or queue that received it.
        front: FrontIndex,
        /// Index of its trigger type.
        trigger: u32,
        /// Index of its account.
        account: u32,
        /// The limit that was reached.
        reason: RejectionReason,
    },
    /// Records were lost here, because the disk was too slow or failed.
    Gap {
        /// Number of lost records.
        records: u64,
        /// Router time of the first lost record.
        from: Micros,
        /// Router time of the last lost record.
        until: Micros,
    },
}

/// Whether one of the actions dispatches or ends this invocation.
pub(crate) fn is_settled(invocation: InvocationIndex, actions: &[Action]) -> bool {
    actions.iter().any(|action| match action {
        Action::Dispatch {
            invocation: settled,
            ..
        }
        | Action::Reject {
            invocation: settled,
            ..
        }
        | Action::Fail {
            invocation: settled,
        } => *settled == invocation,
        _ => false,
    })
}
