//! Handles an arriving message: it is answered at once, joins an open invocation, or becomes a new invocation.

use std::sync::Arc;

use cedarpulley::interface::{Effect, InvocationIndex, Micros, TriggerType};

use super::completion::{AnsweredInvocation, key_use};
use super::state::admission::{ArrivedMessage, LimitExceeded};
use super::state::functions::FunctionProfile;
use super::state::invocation::{AcceptedRequest, INVOCATION_BYTES, Invocation};
use super::state::timers::Timer;
use super::{Output, Router};
use crate::admission_control::{AdmissionDecision, AdmissionRequest};
use crate::answer_registry::AnswerSlot;
use crate::idempotency_keys::{self, KeyStatus};
use crate::redelivery::{self, PriorDelivery, RedeliveryDecision};
use crate::replication::{self, Durability, Key, ReplicationState};
use crate::{Answer, AnswerReason, Delivery, FinalOutcome, IncomingInvocation};

/// What is done with a message that does not become a new invocation.
enum Resolution {
    /// The message is answered at once.
    Answer(Answer),
    /// The same message was accepted before; the delivery waits for its answer, or gets the stored one.
    SameMessage(AnswerSlot),
    /// An invocation with the same idempotency key is open, and the delivery joins it. Its own client must be answered
    /// by `due`.
    SameKey { slot: AnswerSlot, due: Micros },
}

impl Resolution {
    fn without_body(outcome: FinalOutcome, reason: AnswerReason) -> Self {
        Resolution::Answer(Answer::without_body(outcome, reason))
    }
}

/// Properties of a new invocation that the checks of its message determined.
struct Acceptance {
    /// Whether it was admitted before its body was read.
    admitted: bool,
    /// How long its client had waited before the message arrived.
    waited: Micros,
    /// When the final answer is due.
    answer_due_at: Micros,
    /// Time from which on no attempt may be sent, if there is one.
    dispatch_until: Option<Micros>,
    idempotency_key: Option<idempotency_keys::Key>,
    replication: Option<ReplicationState>,
}

/// Admission of requests before their body is read.
impl Router {
    /// Decides whether a request is admitted.
    pub(super) fn request_arrived(
        &mut self,
        delivery: Delivery,
        request: &AdmissionRequest,
        out: &mut Vec<Output>,
    ) {
        let trigger = &self.triggers[request.trigger as usize];
        let decision = self.admission.decide(self.now, delivery, request, trigger);
        if let AdmissionDecision::Rejected { reason, .. } = decision {
            let (front, account) = (delivery.front, request.account);
            *self.counts.rejected.entry((front, reason)).or_default() += 1;
            self.observers
                .rejected(self.now, front, request.trigger, account, reason);
        }
        out.push(Output::Admission { delivery, decision });
    }
}

/// Acceptance of whole messages.
impl Router {
    /// Handles a message whose body has been read.
    pub(super) fn message_arrived(&mut self, message: IncomingInvocation, out: &mut Vec<Output>) {
        self.counts.arrived += 1;
        let admitted = self.admission.body_arrived(message.delivery);
        match self.check(&message, admitted) {
            Ok(acceptance) => self.accept(message, acceptance, out),
            Err(resolution) => self.resolve(&message, resolution, out),
        }
    }

    /// Applies all checks. The order matters: an answer or invocation that already exists for the message takes
    /// precedence over the limits.
    fn check(
        &mut self,
        message: &IncomingInvocation,
        admitted: bool,
    ) -> Result<Acceptance, Resolution> {
        let trigger = self.triggers[message.trigger as usize];
        if let Some((outcome, reason)) = message.predetermined_answer {
            return Err(Resolution::without_body(outcome, reason));
        }
        let waited = message.waited.max(0);
        let timeout = message.client_timeout.min(trigger.client_timeout);
        let answer_due_at = self.now + timeout - waited - self.settings.answer_margin;
        let durability = self.required_durability(message, &trigger);
        let dispatch_within =
            self.check_redelivery(message, &trigger, waited, durability.is_some())?;
        let idempotency_key = self.check_idempotency_key(message, &trigger, answer_due_at)?;
        self.check_expiry(message, &trigger, answer_due_at)?;
        self.check_functions(message)?;
        self.check_limits(message, admitted)?;
        Ok(Acceptance {
            admitted,
            waited,
            answer_due_at,
            dispatch_until: dispatch_within.map(|left| self.now + left),
            idempotency_key,
            replication: durability
                .map(|(key, durability)| ReplicationState::announced(key, durability)),
        })
    }

    /// Key and durability with which the invocation is replicated; `None` if it is not, or if there is no group.
    fn required_durability(
        &self,
        message: &IncomingInvocation,
        trigger: &TriggerType,
    ) -> Option<(Key, Durability)> {
        self.settings.replication.as_ref()?;
        replication::required_durability(message, trigger, self.settings.clock_margin)
    }

    /// Checks whether a message that was delivered before may run. Returns the time within which its attempts must be
    /// sent, if that is limited.
    fn check_redelivery(
        &mut self,
        message: &IncomingInvocation,
        trigger: &TriggerType,
        waited: Micros,
        replicated: bool,
    ) -> Result<Option<Micros>, Resolution> {
        let (prior, slot) = self.answers.lookup(message.identity.as_deref());
        let margin = self.settings.clock_margin;
        let decision = match prior {
            // The group decides: another router may have run it.
            PriorDelivery::Nothing | PriorDelivery::NeverRan if replicated => {
                RedeliveryDecision::UNRESTRICTED
            }
            // The message was rejected here after its channel was lost. Another router may have run it before it was
            // delivered here again, so the old answer must not be repeated. The group knows whether it ran.
            PriorDelivery::Answered
                if replicated && slot.is_some_and(|slot| self.answers.was_retracted(slot)) =>
            {
                RedeliveryDecision::UNRESTRICTED
            }
            _ => redelivery::decide(prior, message.redelivered, trigger.effect, waited, margin),
        };
        match (decision, slot) {
            (RedeliveryDecision::Join | RedeliveryDecision::Repeat, Some(slot)) => {
                Err(Resolution::SameMessage(slot))
            }
            (RedeliveryDecision::Join | RedeliveryDecision::Repeat, None) => Ok(None),
            (RedeliveryDecision::Accept { dispatch_within }, _) => Ok(dispatch_within),
            (RedeliveryDecision::Refuse, _) => {
                self.counts.refused_redelivered += 1;
                Err(Resolution::without_body(
                    FinalOutcome::Errored,
                    AnswerReason::MayHaveRun,
                ))
            }
        }
    }

    /// Returns the message's idempotency key, if it has one. A retry of an open or answered invocation with the same
    /// key is resolved instead.
    fn check_idempotency_key(
        &mut self,
        message: &IncomingInvocation,
        trigger: &TriggerType,
        due: Micros,
    ) -> Result<Option<idempotency_keys::Key>, Resolution> {
        let idempotency_key = message
            .idempotency_key
            .as_deref()
            .filter(|_| !self.settings.balancer_only);
        let Some(idempotency_key) = idempotency_key else {
            return Ok(None);
        };
        let key = idempotency_keys::key(
            message.account,
            message.trigger,
            message.requested_name(),
            idempotency_key,
        );
        match self.idempotency_keys.status(self.now, &key) {
            KeyStatus::InFlight(slot) => Err(Resolution::SameKey { slot, due }),
            KeyStatus::Answered(answer) => {
                self.counts.answered_from_cache += 1;
                Err(Resolution::Answer(answer))
            }
            KeyStatus::MayHaveRun => {
                self.counts.refused_redelivered += 1;
                Err(Resolution::without_body(
                    FinalOutcome::Errored,
                    AnswerReason::MayHaveRun,
                ))
            }
            KeyStatus::Unknown => self.reserve_key(key, trigger.effect),
        }
    }

    /// Checks whether there is memory for what the key of a new invocation proves once it may have run.
    fn reserve_key(
        &mut self,
        key: idempotency_keys::Key,
        effect: Effect,
    ) -> Result<Option<idempotency_keys::Key>, Resolution> {
        let key_use = key_use(effect);
        match self.idempotency_keys.has_room_for(self.now, &key, key_use) {
            true => Ok(Some(key)),
            false => Err(Resolution::without_body(
                FinalOutcome::Throttled,
                AnswerReason::Size,
            )),
        }
    }

    /// Checks whether the client still waits for an answer. The client timeout may have passed while the message was
    /// queued at a broker. Such a message is never dispatched, but if it was delivered before, it may have run.
    fn check_expiry(
        &self,
        message: &IncomingInvocation,
        trigger: &TriggerType,
        answer_due_at: Micros,
    ) -> Result<(), Resolution> {
        if answer_due_at > self.now {
            return Ok(());
        }
        let may_have_run = message.redelivered && trigger.effect != Effect::Idempotent;
        let outcome = if may_have_run {
            FinalOutcome::Errored
        } else {
            FinalOutcome::Throttled
        };
        Err(Resolution::without_body(outcome, AnswerReason::Expired))
    }

    /// Checks whether there is memory for the function of the message, if it is new.
    fn check_functions(&self, message: &IncomingInvocation) -> Result<(), Resolution> {
        if self.has_room_for(&message.function) {
            return Ok(());
        }
        Err(Resolution::without_body(
            FinalOutcome::Errored,
            AnswerReason::Functions,
        ))
    }

    /// Checks whether the message is within the share of its account and front and the memory for bodies. If so, it
    /// counts against both from now on.
    fn check_limits(
        &mut self,
        message: &IncomingInvocation,
        admitted: bool,
    ) -> Result<(), Resolution> {
        let arrived = ArrivedMessage {
            front: message.delivery.front,
            account: message.account,
            body_bytes: message.body.len() + INVOCATION_BYTES,
            admitted,
            share_applies: !admitted && !message.redelivered && !self.settings.balancer_only,
        };
        self.admission
            .accept(self.now, arrived)
            .map_err(|exceeded| match exceeded {
                LimitExceeded::Share => {
                    Resolution::without_body(FinalOutcome::Throttled, AnswerReason::Share)
                }
                LimitExceeded::Memory if message.redelivered => {
                    Resolution::without_body(FinalOutcome::Errored, AnswerReason::Size)
                }
                LimitExceeded::Memory => {
                    Resolution::without_body(FinalOutcome::Throttled, AnswerReason::Size)
                }
            })
    }

    fn resolve(
        &mut self,
        message: &IncomingInvocation,
        resolution: Resolution,
        out: &mut Vec<Output>,
    ) {
        match resolution {
            Resolution::Answer(answer) => {
                let answered = AnsweredInvocation {
                    index: None,
                    trigger: message.trigger,
                    account: message.account,
                    accepted_at: self.now,
                };
                self.answer(message.delivery, answer, answered, out);
            }
            Resolution::SameMessage(slot) => self.rejoin(slot, message.delivery, out),
            Resolution::SameKey { slot, due } => self.join(slot, message.delivery, due, out),
        }
    }

    /// Creates an invocation from the message. It is submitted to the balancer at once, or, if it is replicated, after
    /// the group's decision.
    fn accept(
        &mut self,
        message: IncomingInvocation,
        acceptance: Acceptance,
        out: &mut Vec<Output>,
    ) {
        let (delivery, identity) = (message.delivery, message.identity.clone());
        let replication = acceptance.replication.clone();
        let index = self.add_invocation(message, acceptance);
        let slot = self.open_answer_record(index, identity, delivery);
        self.set_invocation_timers(index);
        let Some(replication) = replication else {
            return self.submit_to_balancer(index, out);
        };
        if let Some(slot) = slot {
            self.answers.share(slot, replication.key.clone());
        }
        self.announce(index, &replication, out);
    }

    fn add_invocation(
        &mut self,
        message: IncomingInvocation,
        acceptance: Acceptance,
    ) -> InvocationIndex {
        let lanes = message.lanes.max(1);
        let profile = FunctionProfile {
            account: message.account,
            copy_mb: message.copy_mb,
            lanes,
            trigger: message.trigger,
        };
        let function_index = self.functions.register(&message.function, profile);
        self.functions.reserve(function_index);
        let request = AcceptedRequest {
            front: message.delivery.front,
            admitted: acceptance.admitted,
            trigger: message.trigger,
            account: message.account,
            function_index,
            function: message.function,
            idempotency_key: message.idempotency_key,
            name: message.name,
            cost_hint: message.cost_hint,
            load_hint: message.load_hint,
            copy_mb: message.copy_mb,
            lanes,
            session: message.session,
            preferred_worker: message.preferred_worker,
            body: message.body,
            waited: acceptance.waited,
            redelivered: message.redelivered,
            client_retry: message.client_retry,
            accepted_at: self.now,
            answer_due_at: acceptance.answer_due_at,
        };
        self.invocations.insert(Invocation::new(
            request,
            acceptance.idempotency_key,
            acceptance.dispatch_until,
            acceptance.replication,
        ))
    }

    /// Opens the record of the invocation's answer, and registers its idempotency key.
    fn open_answer_record(
        &mut self,
        index: InvocationIndex,
        identity: Option<Arc<str>>,
        delivery: Delivery,
    ) -> Option<AnswerSlot> {
        let invocation = self.invocations.get_mut(index)?;
        let client_gives_up_at = invocation.request.answer_due_at + self.settings.answer_margin;
        let slot = self
            .answers
            .open(identity, delivery, index, client_gives_up_at);
        invocation.set_answer_slot(Some(slot));
        if let Some(key) = invocation.idempotency_key() {
            let effect = self.triggers[invocation.request.trigger as usize].effect;
            let key = key.clone();
            self.idempotency_keys.started(key, slot, key_use(effect));
        }
        Some(slot)
    }

    fn set_invocation_timers(&mut self, index: InvocationIndex) {
        let handle = self.invocations.handle(index);
        let Some(invocation) = self.invocations.get(index) else {
            return;
        };
        let answer_due_at = invocation.request.answer_due_at;
        let dispatch_until = invocation.dispatch_until();
        self.set_timer(answer_due_at, Timer::AnswerDue(handle));
        if let Some(until) = dispatch_until.filter(|&until| until < answer_due_at) {
            self.set_timer(until, Timer::DispatchWindowEnds(handle));
        }
    }
}
