//! Who waits for the answer of an open invocation: deliveries join it, and leave it as their client or their front's
//! connection is lost.

use cedarpulley::interface::{InvocationIndex, Micros};

use super::completion::AnsweredInvocation;
use super::state::invocation::Invocation;
use super::state::timers::Timer;
use super::{Output, Router};
use crate::answer_registry::AnswerSlot;
use crate::concurrency_limit::{FrontState, LoadSignal};
use crate::replication::ReplicationRequest;
use crate::{Answer, AnswerReason, Delivery, FinalOutcome, FrontIndex};

/// Deliveries that join.
impl Router {
    /// The same message is delivered again after its delivery was lost with a front's connection.
    pub(super) fn rejoin(&mut self, slot: AnswerSlot, delivery: Delivery, out: &mut Vec<Output>) {
        if !self.answers.rejoin(slot, delivery) {
            self.counts.discarded += 1;
            return out.push(Output::Discard(delivery));
        }
        if let Some(answer) = self.answers.answer(slot).cloned() {
            // The very same answer; it was counted the first time.
            self.counts.repeated += 1;
            return out.push(Output::Answer { delivery, answer });
        }
        self.counts.joined += 1;
        if let Some(invocation) = self.invocation_of(slot) {
            invocation.rejoin();
        }
    }

    /// A client's own retry joins the open invocation that has its idempotency key: it waits for the same answer, until
    /// its own is due.
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

    /// The open invocation whose answer is registered there.
    fn invocation_of(&mut self, slot: AnswerSlot) -> Option<&mut Invocation> {
        let index = self.answers.invocation(slot)?;
        self.invocations.get_mut(index)
    }

    /// Answers a delivery that still waits for the invocation it joined, whose own client has more time: that invocation
    /// goes on and may run.
    pub(super) fn joined_answer_overdue(&mut self, delivery: Delivery, out: &mut Vec<Output>) {
        if self.answers.is_waiting(delivery) {
            self.answers.remove_waiter(delivery);
            let answer = Answer::without_body(FinalOutcome::Errored, AnswerReason::Overdue);
            self.answer(delivery, answer, AnsweredInvocation::unknown(self.now), out);
        }
    }
}

/// Deliveries that leave.
impl Router {
    /// The delivery's answer cannot be lost any more.
    pub(super) fn answer_delivered(&mut self, delivery: Delivery, out: &mut Vec<Output>) {
        self.admission.request_left(delivery);
        if let Some(key) = self.answers.delivered(delivery) {
            out.push(Output::Replication(ReplicationRequest::AnswerDelivered {
                key,
            }));
        }
    }

    /// The delivery's client has left. The invocation goes on while another delivery waits for the same answer.
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

    /// A front's connection changed its state. As it drops, its broker delivers what was open to whoever is next, perhaps
    /// to this router again. What may be on its way to a worker is waited for, in case it comes back here; what is not is
    /// over, and known never to have run.
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
        for index in lost.forgotten {
            self.answer_record_forgotten(index);
        }
        for index in lost.open {
            self.orphan(index, out);
        }
    }

    /// There was no room for the invocation's answer record.
    fn answer_record_forgotten(&mut self, index: InvocationIndex) {
        let Some(invocation) = self.invocations.get_mut(index) else {
            return;
        };
        invocation.set_answer_slot(None);
        if let Some(key) = invocation.take_idempotency_key() {
            self.idempotency_keys.ended(self.now, &key);
        }
    }

    /// No delivery waits for the invocation any more, and its message may be delivered again.
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

    /// The answer record ends without an answer; it retains whether the invocation may have run.
    pub(super) fn end_answer_record(&mut self, index: InvocationIndex) {
        if let Some(invocation) = self.invocations.get(index)
            && let Some(slot) = invocation.answer_slot()
        {
            self.answers.end(slot, invocation.may_have_run());
        }
    }

    /// Ends an invocation whose answer nobody is owed: nothing more is to be sent for it.
    fn abandon(&mut self, index: InvocationIndex, out: &mut Vec<Output>) {
        if self.conclude(index, LoadSignal::Neutral) {
            self.withdraw_from_balancer(index, out);
        }
        self.release(index, out);
    }
}
