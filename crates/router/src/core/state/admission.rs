//! The limits on accepted work: on requests that are admitted or rejected before their body is read, on messages from
//! brokers, and on the memory for their bodies.

use std::collections::HashMap;

use cedarpulley::interface::{Micros, TriggerType};

use crate::admission_control::{self, AdmissionControl, AdmissionDecision, AdmissionRequest};
use crate::concurrency_limit::{BodyTooLarge, ConcurrencyLimiter, EndedInvocation, FrontState};
use crate::{Delivery, FrontIndex};

/// A request that was admitted before its body was read, and has not left yet.
struct AdmittedRequest {
    account: u32,
    /// Size of its body in bytes while the body has not arrived; 0 from then on.
    pending_bytes: u64,
}

/// The requests that were admitted before their body was read and have not left yet.
#[derive(Default)]
struct AdmittedRequests {
    requests: HashMap<Delivery, AdmittedRequest>,
    /// Sum of `pending_bytes` over all requests, in bytes.
    pending_bytes: u64,
}

impl AdmittedRequests {
    fn insert(&mut self, delivery: Delivery, request: AdmittedRequest) {
        self.pending_bytes += request.pending_bytes;
        self.requests.insert(delivery, request);
    }

    fn body_arrived(&mut self, delivery: Delivery) -> bool {
        let Some(request) = self.requests.get_mut(&delivery) else {
            return false;
        };
        self.pending_bytes -= std::mem::take(&mut request.pending_bytes);
        true
    }

    fn remove(&mut self, delivery: Delivery) -> Option<AdmittedRequest> {
        let request = self.requests.remove(&delivery)?;
        self.pending_bytes -= request.pending_bytes;
        Some(request)
    }
}

/// A message whose body has arrived, as far as the limits are concerned.
#[derive(Clone, Copy)]
pub(crate) struct ArrivedMessage {
    pub(crate) front: FrontIndex,
    pub(crate) account: u32,
    pub(crate) body_bytes: usize,
    /// Whether it was admitted before its body was read, and already counts against the limits.
    pub(crate) admitted: bool,
    /// Whether the message is rejected if its account or front exceeds its share.
    pub(crate) share_applies: bool,
}

/// The limit that a message exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitExceeded {
    /// The share of its account or front.
    Share,
    /// The memory for bodies.
    Memory,
}

impl From<BodyTooLarge> for LimitExceeded {
    fn from(_: BodyTooLarge) -> Self {
        LimitExceeded::Memory
    }
}

/// All limits on what the router accepts.
pub(crate) struct Admission {
    limiter: ConcurrencyLimiter,
    control: AdmissionControl,
    admitted: AdmittedRequests,
}

impl Admission {
    /// Creates the limits. The arguments are those of [`ConcurrencyLimiter::new`].
    pub(crate) fn new(front_weights: &[f64], account_weights: &[f64], memory_bytes: u64) -> Self {
        Admission {
            limiter: ConcurrencyLimiter::new(front_weights, account_weights, memory_bytes),
            control: AdmissionControl::default(),
            admitted: AdmittedRequests::default(),
        }
    }

    /// Decides whether to admit a request before its body is read.
    pub(crate) fn decide(
        &mut self,
        now: Micros,
        delivery: Delivery,
        request: &AdmissionRequest,
        trigger: &TriggerType,
    ) -> AdmissionDecision {
        let (front, account) = (delivery.front, request.account);
        self.limiter.arrived(now, front, account);
        let pending_bytes = self.admitted.pending_bytes;
        let occupancy = self.limiter.occupancy(now, front, account, pending_bytes);
        let expected_value =
            admission_control::expected_value(trigger, request.waited, occupancy.typical_latency);
        let decision = self
            .control
            .decide(now, request, expected_value, &occupancy);
        if decision == AdmissionDecision::Admitted {
            self.limiter.admitted(now, front, account);
            let admitted = AdmittedRequest {
                account,
                pending_bytes: request.bytes,
            };
            self.admitted.insert(delivery, admitted);
        }
        decision
    }

    /// Records that the body of a message has arrived. Returns whether the request was admitted before its body was
    /// read.
    pub(crate) fn body_arrived(&mut self, delivery: Delivery) -> bool {
        self.admitted.body_arrived(delivery)
    }

    /// Handles that a request was answered or its client left; it no longer counts against the limits.
    pub(crate) fn request_left(&mut self, delivery: Delivery) {
        if let Some(request) = self.admitted.remove(delivery) {
            self.limiter.departed(delivery.front, request.account);
        }
    }

    /// Checks a message against the limits; if it is within them, it counts against them from now on.
    pub(crate) fn accept(
        &mut self,
        now: Micros,
        message: ArrivedMessage,
    ) -> Result<(), LimitExceeded> {
        let ArrivedMessage { front, account, .. } = message;
        if !message.admitted {
            self.limiter.arrived(now, front, account);
        }
        // Without this check, an account that floods the router fills the queue, and the messages of all other accounts
        // behind it are late.
        if message.share_applies && self.limiter.over_share(now, front, account) {
            return Err(LimitExceeded::Share);
        }
        self.limiter.reserve_body(message.body_bytes)?;
        if !message.admitted {
            self.limiter.admitted(now, front, account);
        }
        Ok(())
    }

    /// Handles the end of an accepted invocation. If it was `admitted` before its body was read, it counts against the
    /// limits until its request has left.
    pub(crate) fn ended(&mut self, now: Micros, ended: EndedInvocation, admitted: bool) {
        if !admitted {
            self.limiter.departed(ended.front, ended.account);
        }
        self.limiter.ended(now, ended);
        self.control.answered(now);
    }

    /// Handles a change of the state of a front's connection.
    pub(crate) fn front_changed(&mut self, front: FrontIndex, state: FrontState) {
        self.limiter.front_changed(front, state);
    }

    /// Starts the graceful shutdown: nothing new is accepted from now on.
    pub(crate) fn stop(&mut self) {
        self.limiter.stop();
    }

    /// Calls `notify` for each changed grant, see [`ConcurrencyLimiter::changed_grants`].
    pub(crate) fn changed_grants(&mut self, notify: impl FnMut(FrontIndex, u32)) {
        self.limiter.changed_grants(notify);
    }

    /// The current limit on invocations in flight.
    pub(crate) fn limit(&self) -> f64 {
        self.limiter.limit()
    }

    /// Total size of all bodies held, in bytes.
    pub(crate) fn body_bytes(&self) -> u64 {
        self.limiter.body_bytes()
    }
}
