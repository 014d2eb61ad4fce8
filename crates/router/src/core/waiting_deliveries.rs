//! Deliveries that wait for the answer of an open invocation: they join it when a message is delivered again or
//! retried, and leave it when their client leaves or their front loses its connection.

use cedarpulley::interface::{InvocationIndex, Micros};

use super::completion::{AnsweredInvocation, key_use};
use super::state::invocation::Invocation;
use super::state::timers::Timer;
use super::{Output, Router};
use crate::answer_registry::{AnswerSlot, LostDeliveries};
use crate::concurrency_limit::{FrontState, LoadSignal};
use crate::idempotency_keys::KeyUse;
use crate::replication::ReplicationRequest;
use crate::{Answer, AnswerReason, Delivery, FinalOutcome, FrontIndex};

/// Deliveries that join an invocation.
impl Router {
    /// Handles another delivery of a message that was accepted before, usually after a front lost its connection and
    /// with it the earlier delivery.
    pub(super) fn rejoin(&mut self, slot: AnswerSlot, delivery: Delivery, out: &mut Vec<Output>) {
        if !self.answers.rejoin(slot, delivery) {
            self.counts.discarded += 1;
            return out.push(Output::Discard(delivery));
        }
        if let Some(answer) = self.answers.answer(slot).cloned() {
            // The stored answer, which was counted when it was first given.
            self.counts.repeated += 1;
            return out.push(Output::Answer { delivery, answer });
        }
        self.counts.joined += 1;
        if let Some(invocation) = self.invocation_of(slot) {
            invocation.rejoin();
        }
    }

    /// Handles a client's retry of an open invocation with the same idempotency key. The delivery waits for the answer
    /// of that invocation, at most until `due`.
    pub(super) fn join(
        &mut self,
        slot: AnswerSlot,
        delivery: Delivery,
        due: Micros,
        out: &mut Vec<Output>,
    ) {
        if due <= self.now || !self.answers.join(slot, delivery) {
            let answer = Answer::without_body(FinalOutcome::Errored, AnswerReason::MayHaveRun);
            return self.answer(delivery, answer, AnsweredInvocation::unknown(self.now), out);
        }
        self.counts.joined_by_idempotency_key += 1;
        self.set_timer(due, Timer::JoinedAnswerDue(delivery));
        if let Some(invocation) = self.invocation_of(slot) {
            invocation.join();
        }
    }

    /// The open invocation whose answer is registered in this slot.
    fn invocation_of(&mut self, slot: AnswerSlot) -> Option<&mut Invocation> {
        let index = self.answers.invocation(slot)?;
        self.invocations.get_mut(index)
    }

    /// Answers a delivery that joined an invocation and whose own answer is now due. The invocation's first client may
    /// wait longer, so the invocation continues and may still run, unless its message's own delivery was lost.
    pub(super) fn joined_answer_overdue(&mut self, delivery: Delivery, out: &mut Vec<Output>) {
        if self.answers.is_waiting(delivery) {
            let lost = self.answers.joined_answer_overdue(delivery);
            let answer = Answer::without_body(FinalOutcome::Errored, AnswerReason::Overdue);
            self.answer(delivery, answer, AnsweredInvocation::unknown(self.now), out);
            self.deliveries_lost(lost, out);
        }
    }
}

/// Deliveries that leave an invocation.
impl Router {
    /// Handles that the answer to the delivery was delivered and can no longer be lost.
    pub(super) fn answer_delivered(&mut self, delivery: Delivery, out: &mut Vec<Output>) {
        self.admission.request_left(delivery);
        if let Some(key) = self.answers.delivered(delivery) {
            out.push(Output::Replication(ReplicationRequest::AnswerDelivered {
                key,
            }));
        }
    }

    /// Handles that the delivery's client has left. The invocation continues only while another delivery waits for the
    /// same answer.
    pub(super) fn client_left(&mut self, delivery: Delivery, out: &mut Vec<Output>) {
        self.admission.request_left(delivery);
        let Some((slot, true)) = self.answers.remove_waiter(delivery) else {
            return;
        };
        let index = self.answers.invocation(slot);
        self.answers.forget(slot);
        if let Some(index) = index {
            self.abandon(index, out);
        }
    }

    /// Handles a change of the state of a front's connection. When the connection is lost, the broker redelivers the
    /// unanswered messages to any router, possibly to this one. Invocations with an attempt that may be on its way to a
    /// worker stay open, in case their message is redelivered here. All others end; their answer records retain whether
    /// they may have run.
    pub(super) fn front_changed(
        &mut self,
        front: FrontIndex,
        state: FrontState,
        out: &mut Vec<Output>,
    ) {
        self.admission.front_changed(front, state);
        if state != FrontState::Down {
            return;
        }
        let lost = self.answers.front_lost(front);
        self.deliveries_lost(lost, out);
    }

    /// Handles that invocations lost waiting deliveries.
    fn deliveries_lost(&mut self, lost: LostDeliveries, out: &mut Vec<Output>) {
        for index in lost.evicted {
            self.answer_record_evicted(index);
        }
        for index in lost.open {
            self.orphan(index, out);
        }
    }

    /// Handles that the invocation's answer record was evicted, as there were too many without a waiting delivery.
    fn answer_record_evicted(&mut self, index: InvocationIndex) {
        let Some(invocation) = self.invocations.get_mut(index) else {
            return;
        };
        invocation.set_answer_slot(None);
        let effect = self.triggers[invocation.request.trigger as usize].effect;
        match (invocation.take_idempotency_key(), key_use(effect)) {
            // The invocation may still run.
            (Some(key), KeyUse::RunsOnce) => self.idempotency_keys.may_have_run(self.now, &key),
            (Some(key), KeyUse::Repeatable) => self.idempotency_keys.ended(self.now, &key),
            (None, _) => {}
        }
    }

    /// Handles that the invocation lost its last waiting delivery, and its message may be delivered again.
    fn orphan(&mut self, index: InvocationIndex, out: &mut Vec<Output>) {
        let Some(invocation) = self.invocations.get_mut(index) else {
            return;
        };
        invocation.orphan();
        let sent = invocation.has_attempt_sent();
        self.counts.orphaned += 1;
        if !sent {
            self.end_answer_record(index);
            self.abandon(index, out);
        }
    }

    /// Ends the answer record without an answer; the record retains whether the invocation may have run.
    pub(super) fn end_answer_record(&mut self, index: InvocationIndex) {
        if let Some(invocation) = self.invocations.get(index)
            && let Some(slot) = invocation.answer_slot()
        {
            self.answers.end(slot, invocation.may_have_run());
        }
    }

    /// Ends an invocation for which no delivery waits: no further attempts are sent for it.
    fn abandon(&mut self, index: InvocationIndex, out: &mut Vec<Output>) {
        if self.conclude(index, LoadSignal::Neutral) {
            self.withdraw_from_balancer(index, out);
        }
        self.release(index, out);
    }
}
