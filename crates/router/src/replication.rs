//! The requests and events that the core exchanges with its group of routers, so that an invocation that must not run
//! twice does not run at two routers. The core calls [`required_durability`] once for each message. How the group
//! reaches agreement is implemented in `cedarpulley-replica`.
//!
//! Mechanisms:
//! 1. If an invocation must not run twice and its message can be redelivered to another router, each of its attempts is
//!    sent only with the group's permission.
//! 2. An invocation with an idempotency key needs no permission if every repeat arrives within the time in which the
//!    workers recognise repeats; the group is still notified of its attempts.
//! 3. A permission is valid for a short time only, so that a process that was paused must request a new one.

use std::sync::Arc;

use cedarpulley::interface::{DeduplicationScope, Effect, Micros, TriggerType};

use crate::{Answer, IncomingInvocation, idempotency_keys};

/// Key under which a group replicates an invocation; the same at all routers of the group.
pub type Key = Arc<str>;

/// Settings for the replication of invocations to the group.
#[derive(Clone, Debug)]
pub struct ReplicationSettings {
    /// By trigger type: whether the operator allows invocations to run without a majority of the group.
    pub without_majority: Vec<bool>,
    /// How long a permission to send is valid.
    pub permission_validity: Micros,
}

/// How durably the group must have recorded an attempt before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// The group is notified; the attempt is sent without waiting for a reply.
    Notified,
    /// A majority of the group stores the intent before the attempt is sent.
    MajorityStored,
}

/// Returns the key under which an invocation is replicated, and the required durability. Returns `None` if the
/// invocation may run more than once, or if it has nothing by which another router could recognise it.
pub fn required_durability(
    message: &IncomingInvocation,
    trigger: &TriggerType,
    clock_margin: Micros,
) -> Option<(Key, Durability)> {
    match trigger.effect {
        Effect::Idempotent => None,
        Effect::NonIdempotent => {
            let identity = message.identity.as_deref()?;
            Some((
                Arc::from(format!("i\n{identity}")),
                Durability::MajorityStored,
            ))
        }
        Effect::IdempotentByKey { scope, window } => {
            let idempotency_key = message.idempotency_key.as_deref()?;
            let key = idempotency_keys::key(
                message.account,
                message.trigger,
                message.requested_name(),
                idempotency_key,
            );
            let repeats_recognised =
                scope == DeduplicationScope::All && trigger.client_timeout + clock_margin < window;
            let durability = if repeats_recognised {
                Durability::Notified
            } else {
                Durability::MajorityStored
            };
            Some((Arc::from(format!("t\n{key}")), durability))
        }
    }
}

/// A request or notification to the group.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicationRequest {
    /// An invocation was accepted at this router; the group replies with a [`ReplicationDecision`].
    Announce {
        /// The invocation.
        key: Key,
        /// How durably its attempts must be recorded.
        durability: Durability,
        /// Whether its message was delivered before.
        redelivered: bool,
    },
    /// A request for permission to send an attempt.
    RequestPermission {
        /// The invocation.
        key: Key,
        /// Number of the attempt, unique within this process.
        attempt: u64,
        /// The workers that recognise repeats of the attempt.
        deduplication_scope: u32,
        /// Whether the attempt may be sent without a majority.
        without_majority: bool,
    },
    /// An attempt that needs no permission was sent.
    AttemptSent {
        /// The invocation.
        key: Key,
        /// Number of the attempt, unique within this process.
        attempt: u64,
        /// The workers that recognise repeats of the attempt.
        deduplication_scope: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The invocation.
        key: Key,
        /// Number of the attempt.
        attempt: u64,
        /// Whether the worker may have run the attempt.
        may_have_run: bool,
    },
    /// The invocation succeeded.
    Answered {
        /// The invocation.
        key: Key,
        /// Its answer.
        answer: Answer,
    },
    /// The answer was delivered; the message will not be delivered again.
    AnswerDelivered {
        /// The invocation.
        key: Key,
    },
    /// No delivery waits for the invocation at this router any more.
    Abandoned {
        /// The invocation.
        key: Key,
    },
}

/// Why the group refuses permission to send an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PermissionRefusal {
    /// The group has no majority.
    NoMajority,
    /// Another router owns the invocation; a [`ReplicationDecision`] follows.
    Elsewhere,
}

/// The group's decision on an invocation that was announced.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicationDecision {
    /// The invocation may run at this router.
    RunHere {
        /// How long ago the first attempt was sent, if an attempt may have run.
        first_attempt_ago: Option<Micros>,
    },
    /// The invocation is in flight at another router; another decision follows.
    AwaitPeer,
    /// The invocation was already answered, with this answer.
    Answer(Answer),
    /// The invocation may have run, and must not run again.
    MayHaveRun,
    /// The group has no majority.
    NoMajority,
}

/// An event from the group.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicationEvent {
    /// The decision on an invocation that was announced.
    Decision {
        /// The invocation.
        key: Key,
        /// The decision.
        decision: ReplicationDecision,
    },
    /// The reply to [`ReplicationRequest::RequestPermission`].
    Permission {
        /// Number of the attempt.
        attempt: u64,
        /// `Ok(false)`: the attempt may be sent. `Ok(true)`: it may be sent without a majority, which the operator's
        /// settings allow.
        result: Result<bool, PermissionRefusal>,
    },
}

/// Stage of the replication of an invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplicationStage {
    /// The invocation was announced, and the group has not decided yet. It is not yet submitted to the balancer.
    Announced,
    /// The group permits the invocation to run at this router.
    Permitted,
    /// The invocation runs without the group.
    Unreplicated,
    /// The invocation is in flight at another router.
    AwaitingPeer,
}

/// State of the replication of one invocation.
#[derive(Clone, Debug)]
pub(crate) struct ReplicationState {
    /// Key under which the group replicates the invocation.
    pub(crate) key: Key,
    /// How durably its attempts must be recorded.
    pub(crate) durability: Durability,
    pub(crate) stage: ReplicationStage,
    /// Whether its successful answer was sent to the group or received from it.
    pub(crate) answered: bool,
}

impl ReplicationState {
    /// Creates the state of an invocation that is being announced.
    pub(crate) fn announced(key: Key, durability: Durability) -> Self {
        ReplicationState {
            key,
            durability,
            stage: ReplicationStage::Announced,
            answered: false,
        }
    }
}

/// State of the group's permission to send an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DispatchPermission {
    /// No permission is needed, or the attempt has ended.
    NotNeeded,
    /// Permission was requested, and the group has not replied.
    Requested,
    /// Permission was granted at this time.
    Granted(Micros),
}
