//! What the other routers of a group are asked and told of an invocation, before it can do harm. The core asks [`need`]
//! once for each message; how the group agrees is not known here (`cedarpulley-replica`).
//!
//! Mechanisms:
//! 1. An attempt of an invocation that must not run twice and can be delivered again at another router is sent only with
//!    the group's permission, each time.
//! 2. Invocations with an idempotency key need no permission where every repeat comes within the workers' window; the
//!    group is told all the same.
//! 3. A permission is valid for a short time: a process that was stopped requests it again.

use std::sync::Arc;

use cedarpulley::interface::{DeduplicationScope, Effect, Micros, TriggerType};

use crate::{Answer, IncomingInvocation, idempotency_keys};

/// By which a group knows an invocation: the same at all its routers.
pub type Key = Arc<str>;

/// How a router shares its invocations with its group.
#[derive(Clone, Debug)]
pub struct ReplicationSettings {
    /// By trigger type: whether invocations run without the group where it has no majority, as the operator accepts.
    pub without_majority: Vec<bool>,
    /// How long a permission is valid.
    pub permission_validity: Micros,
}

/// How far the group must have recorded an attempt before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// The group is told, and nothing is waited for.
    Notified,
    /// A majority stores each intent before the attempt is sent.
    MajorityStored,
}

/// Under which key an invocation is replicated, and how far. Nothing if it may run again, or no other router can ever
/// know it.
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
            let token = message.idempotency_key.as_deref()?;
            let key = idempotency_keys::key(
                message.account,
                message.trigger,
                message.requested_name(),
                token,
            );
            let repeats_recognised =
                scope == DeduplicationScope::All && trigger.client_timeout + clock_margin < window;
            let need = if repeats_recognised {
                Durability::Notified
            } else {
                Durability::MajorityStored
            };
            Some((Arc::from(format!("t\n{key}")), need))
        }
    }
}

/// What the group is asked or told.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicationRequest {
    /// An invocation was accepted here; a [`ReplicationDecision`] follows.
    Announce {
        /// The invocation.
        key: Key,
        /// How far its attempts must be recorded.
        durability: Durability,
        /// Its message was delivered before.
        redelivered: bool,
    },
    /// A request for permission to send an attempt.
    RequestPermission {
        /// The invocation.
        key: Key,
        /// Number of the attempt, unlike any other of this process.
        attempt: u64,
        /// The workers that recognise repeats of the attempt.
        deduplication_domain: u32,
        /// It may be sent without a majority.
        without_majority: bool,
    },
    /// An attempt was sent without permission.
    AttemptSent {
        /// The invocation.
        key: Key,
        /// Number of the attempt, unlike any other of this process.
        attempt: u64,
        /// The workers that recognise repeats of the attempt.
        deduplication_domain: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The invocation.
        key: Key,
        /// Number of the attempt.
        attempt: u64,
        /// The worker may have run it.
        may_have_run: bool,
    },
    /// The invocation succeeded.
    Answered {
        /// The invocation.
        key: Key,
        /// Its answer.
        answer: Answer,
    },
    /// The answer was delivered: the message cannot be delivered again.
    AnswerDelivered {
        /// The invocation.
        key: Key,
    },
    /// Nobody waits for the invocation at this router any more.
    Abandoned {
        /// The invocation.
        key: Key,
    },
}

/// Why the group gives no permission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PermissionRefusal {
    /// There is no majority.
    NoMajority,
    /// Another router has the invocation; a verdict follows.
    Elsewhere,
}

/// What becomes of an invocation that was announced.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicationDecision {
    /// It may run here.
    RunHere {
        /// If an attempt of it may have run: how long ago the first one was sent.
        first_attempt_ago: Option<Micros>,
    },
    /// It is in flight at another router; another verdict follows.
    AwaitPeer,
    /// It was answered before, with this answer.
    Answer(Answer),
    /// It may have run: it must not run again.
    MayHaveRun,
    /// The group has no majority.
    NoMajority,
}

/// What the group says.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicationEvent {
    /// What becomes of an invocation.
    Decision {
        /// The invocation.
        key: Key,
        /// The verdict.
        decision: ReplicationDecision,
    },
    /// The answer to [`ReplicationRequest::Leave`].
    Permission {
        /// Number of the attempt.
        attempt: u64,
        /// Whether it may be sent; `Ok(true)`: without a majority, as the operator accepts.
        result: Result<bool, PermissionRefusal>,
    },
}

/// How far the group has agreed on an invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplicationStage {
    /// It was announced; the module does not know of it yet.
    Announced,
    /// It may run here.
    Permitted,
    /// It runs without the group.
    Unreplicated,
    /// It is in flight at another router.
    AwaitingPeer,
}

/// What is agreed with the group on one invocation.
#[derive(Clone, Debug)]
pub(crate) struct ReplicationState {
    /// By which the group knows it.
    pub(crate) key: Key,
    pub(crate) need: Durability,
    pub(crate) stage: ReplicationStage,
    /// Its success was sent to the group, or came from it.
    pub(crate) answered: bool,
}

impl ReplicationState {
    /// Of an invocation that is being announced.
    pub(crate) fn announced(key: Key, need: Durability) -> Self {
        ReplicationState {
            key,
            need,
            stage: ReplicationStage::Announced,
            answered: false,
        }
    }
}

/// Whether the group permits an attempt to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DispatchPermission {
    /// No permission is needed (any more).
    NotNeeded,
    /// It was requested and has not been answered.
    Requested,
    /// It was granted at this time.
    Granted(Micros),
}
