//! A message arrives: it is answered at once, joins the open invocation for it, or becomes a new invocation.

use std::sync::Arc;

use cedarpulley::interface::{Effect, InvocationIndex, Micros, TriggerType};

use super::completion::AnsweredInvocation;
use super::state::admission::{ArrivedMessage, LimitExceeded};
use super::state::functions::FunctionProfile;
use super::state::invocation::{AcceptedRequest, Invocation};
use super::state::timers::Timer;
use super::{Output, Router};
use crate::admission_control::{AdmissionDecision, AdmissionRequest};
use crate::answer_registry::AnswerSlot;
use crate::idempotency_keys::{self, KeyStatus};
use crate::redelivery::{self, PriorDelivery, RedeliveryDecision};
use crate::replication::{self, Durability, Key, ReplicationState};
use crate::{Answer, AnswerReason, Delivery, FinalOutcome, IncomingInvocation};

/// Why a message becomes no invocation of its own.
enum Resolution {
    /// It is answered at once.
    Answer(Answer),
    /// The same message was accepted before.
    SameMessage(AnswerSlot),
    /// Another message with the same idempotency key is open; the answer is due to this one's client at `due`.
    SameKey { slot: AnswerSlot, due: Micros },
}

impl Resolution {
    fn bare(outcome: FinalOutcome, reason: AnswerReason) -> Self {
        Resolution::Answer(Answer::without_body(outcome, reason))
    }
}

/// What was decided of a message that becomes an invocation.
struct Acceptance {
    /// It was admitted before its body was read.
    admitted: bool,
    /// How long its client had waited.
    waited: Micros,
    /// When the final answer is due.
    answer_due_at: Micros,
    /// No attempt may be sent from then on.
    dispatch_until: Option<Micros>,
    idempotency_key: Option<idempotency_keys::Key>,
    replication: Option<ReplicationState>,
}

/// Requests that are decided upon before their body is read.
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

/// Whole messages.
impl Router {
    /// Handles a message that was received.
    pub(super) fn message_arrived(&mut self, message: IncomingInvocation, out: &mut Vec<Output>) {
        self.counts.arrived += 1;
        let admitted = self.admission.body_arrived(message.delivery);
        match self.check(&message, admitted) {
            Ok(acceptance) => self.accept(message, acceptance, out),
            Err(resolution) => self.resolve(&message, resolution, out),
        }
    }

    /// Applies all checks, in an order that matters: what is known of the message comes before what it would cost.
    fn check(
        &mut self,
        message: &IncomingInvocation,
        admitted: bool,
    ) -> Result<Acceptance, Resolution> {
        let trigger = self.triggers[message.trigger as usize];
        if let Some((outcome, reason)) = message.predetermined_answer {
            return Err(Resolution::bare(outcome, reason));
        }
        let waited = message.waited.max(0);
        let timeout = message.client_timeout.min(trigger.client_timeout);
        let answer_due_at = self.now + timeout - waited - self.settings.answer_margin;
        let durability = self.required_durability(message, &trigger);
        let dispatch_within =
            self.check_redelivery(message, &trigger, waited, durability.is_some())?;
        let idempotency_key = self.check_idempotency_key(message, answer_due_at)?;
        self.check_expiry(message, &trigger, answer_due_at)?;
        self.check_functions(message)?;
        self.check_limits(message, admitted)?;
        Ok(Acceptance {
            admitted,
            waited,
            answer_due_at,
            dispatch_until: dispatch_within.map(|left| self.now + left),
            idempotency_key,
            replication: durability.map(|(key, need)| ReplicationState::announced(key, need)),
        })
    }

    /// What has to be agreed with the group; nothing without one.
    fn required_durability(
        &self,
        message: &IncomingInvocation,
        trigger: &TriggerType,
    ) -> Option<(Key, Durability)> {
        self.settings.replication.as_ref()?;
        replication::required_durability(message, trigger, self.settings.clock_margin)
    }

    /// Whether the message may run, if it was delivered before, and within which time its attempts must be sent.
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
            // The group may know more than is known here.
            PriorDelivery::Nothing | PriorDelivery::NeverRan if replicated => {
                RedeliveryDecision::UNRESTRICTED
            }
            // It was rejected here after its channel was lost. Before it came here again it may have run at another
            // router, which the group knows: the old answer must not be repeated.
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
                Err(Resolution::bare(
                    FinalOutcome::Errored,
                    AnswerReason::MayHaveRun,
                ))
            }
        }
    }

    /// The message's idempotency key, unless it is a retry of what is open or was answered under the same one.
    fn check_idempotency_key(
        &mut self,
        message: &IncomingInvocation,
        due: Micros,
    ) -> Result<Option<idempotency_keys::Key>, Resolution> {
        let token = message
            .idempotency_key
            .as_deref()
            .filter(|_| !self.settings.balancer_only);
        let Some(token) = token else { return Ok(None) };
        let key = idempotency_keys::key(
            message.account,
            message.trigger,
            message.requested_name(),
            token,
        );
        match self.idempotency_keys.status(self.now, &key) {
            KeyStatus::InFlight(slot) => Err(Resolution::SameKey { slot, due }),
            KeyStatus::Answered(answer) => {
                self.counts.answered_from_cache += 1;
                Err(Resolution::Answer(answer))
            }
            KeyStatus::Unknown => Ok(Some(key)),
        }
    }

    /// Whether its client still waits. Its time may have run out while the message was queued at a broker; it is then
    /// never dispatched, but if it was delivered before it may have run.
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
        Err(Resolution::bare(outcome, AnswerReason::Expired))
    }

    fn check_functions(&self, message: &IncomingInvocation) -> Result<(), Resolution> {
        if self.functions.has_capacity_for(&message.function) {
            return Ok(());
        }
        Err(Resolution::bare(
            FinalOutcome::Errored,
            AnswerReason::Functions,
        ))
    }

    /// Whether its account and its body are within the limits; if so, it counts against them from now on.
    fn check_limits(
        &mut self,
        message: &IncomingInvocation,
        admitted: bool,
    ) -> Result<(), Resolution> {
        let arrived = ArrivedMessage {
            front: message.delivery.front,
            account: message.account,
            body_bytes: message.body.len(),
            admitted,
            share_applies: !admitted && !message.redelivered && !self.settings.balancer_only,
        };
        self.admission
            .accept(self.now, arrived)
            .map_err(|exceeded| match exceeded {
                LimitExceeded::Share => {
                    Resolution::bare(FinalOutcome::Throttled, AnswerReason::Share)
                }
                LimitExceeded::Memory if message.redelivered => {
                    Resolution::bare(FinalOutcome::Errored, AnswerReason::Size)
                }
                LimitExceeded::Memory => {
                    Resolution::bare(FinalOutcome::Throttled, AnswerReason::Size)
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

    /// Makes the message an invocation, of which the module is told now or after the group's verdict.
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
        let request = AcceptedRequest {
            front: message.delivery.front,
            admitted: acceptance.admitted,
            trigger: message.trigger,
            account: message.account,
            function_index: self.functions.register(&message.function, profile),
            function: message.function,
            token: message.idempotency_key,
            mark: message.name,
            cost_hint: message.cost_hint,
            load_hint: message.load_hint,
            copy_mb: message.copy_mb,
            lanes,
            session: message.session,
            preferred_worker: message.preferred_worker,
            body: message.body,
            waited: acceptance.waited,
            redelivered: message.redelivered,
            repeat: message.client_retry,
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

    /// Opens the record under which the invocation's answer is given, and registers its idempotency key.
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
            self.idempotency_keys.started(key.clone(), slot);
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
