//! Who waits for the answer of an open invocation: deliveries join it, and leave it as their client or their
//! front's connection is lost.

use cedarpulley::interface::{InvocationIndex, Micros};

use super::finishing::AnswerSubject;
use super::invocation::NO_CLAIM;
use super::timers::Timer;
use super::{Output, Router};
use crate::admission::{FrontState, Pace};
use crate::claims::ClaimIndex;
use crate::group::Ask;
use crate::{Answer, Delivery, Fate, FrontIndex, Reason};

impl Router {
    /// The same message is delivered again after its delivery was lost with a front's connection.
    pub(super) fn rejoin(&mut self, claim: ClaimIndex, delivery: Delivery, out: &mut Vec<Output>) {
        if !self.claims.rejoin(claim, delivery) {
            self.counts.discarded += 1;
            return out.push(Output::Discard(delivery));
        }
        if let Some(answer) = self.claims.answer(claim).cloned() {
            // The very same answer; it was counted the first time.
            self.counts.repeated += 1;
            return out.push(Output::Answer { delivery, answer });
        }
        self.counts.joined += 1;
        let inv = self.claims.inv(claim);
        if let Some(invocation) = inv.and_then(|inv| self.invocations.get_mut(inv)) {
            invocation.orphaned = false;
            invocation.was_away = invocation.group_part.is_some();
        }
    }

    /// A client's own retry joins the open invocation that has its token: it waits for the same answer, until
    /// its own is due.
    pub(super) fn join(
        &mut self,
        claim: ClaimIndex,
        delivery: Delivery,
        due: Micros,
        out: &mut Vec<Output>,
    ) {
        if due <= self.now || !self.claims.join(claim, delivery) {
            let answer = Answer::bare(Fate::Errored, Reason::MayHaveRun);
            return self.answer(
                delivery,
                answer,
                None,
                AnswerSubject::unknown(self.now),
                out,
            );
        }
        self.counts.joined_by_token += 1;
        self.set_timer(due, Timer::JoinedAnswerDue(delivery));
        let inv = self.claims.inv(claim);
        if let Some(invocation) = inv.and_then(|inv| self.invocations.get_mut(inv)) {
            invocation.orphaned = false;
        }
    }

    /// The delivery's answer cannot be lost any more.
    pub(super) fn answer_delivered(&mut self, delivery: Delivery, out: &mut Vec<Output>) {
        self.request_left(delivery);
        if let Some(key) = self.claims.safe(delivery) {
            out.push(Output::Group(Ask::Closed { key }));
        }
    }

    /// The delivery's client has gone. The invocation goes on while another delivery waits for the same
    /// answer.
    pub(super) fn client_departed(&mut self, delivery: Delivery, out: &mut Vec<Output>) {
        self.request_left(delivery);
        let Some((claim, true)) = self.claims.let_go(delivery) else {
            return;
        };
        let inv = self.claims.inv(claim);
        self.claims.forget(claim);
        if let Some(inv) = inv {
            self.abandon(inv, out);
        }
    }

    /// A front's connection changed its state. As it drops, its broker gives what was open to whoever is
    /// next, perhaps to this router again. What may be under way is waited for, in case it comes back here;
    /// what is not under way is over, and known never to have run.
    pub(super) fn front_changed(
        &mut self,
        front: FrontIndex,
        state: FrontState,
        out: &mut Vec<Output>,
    ) {
        self.admission.front(front, state);
        if state != FrontState::Down {
            return;
        }
        let (open, forgotten) = self.claims.front_lost(front);
        for inv in forgotten {
            self.claim_forgotten(inv);
        }
        for inv in open {
            self.orphan(inv, out);
        }
    }

    /// There was no room for the invocation's claim.
    fn claim_forgotten(&mut self, inv: InvocationIndex) {
        let Some(invocation) = self.invocations.get_mut(inv) else {
            return;
        };
        invocation.claim = NO_CLAIM;
        if let Some(key) = invocation.token_key.take() {
            self.tokens.ended(self.now, &key, None);
        }
    }

    /// No delivery waits for the invocation any more, and its message may be delivered again.
    fn orphan(&mut self, inv: InvocationIndex, out: &mut Vec<Output>) {
        let Some(invocation) = self.invocations.get_mut(inv) else {
            return;
        };
        invocation.orphaned = true;
        let claim = invocation.claim;
        let under_way = invocation.has_dispatch_under_way();
        self.counts.orphaned += 1;
        if !under_way {
            self.end_claim(inv, claim);
            self.abandon(inv, out);
        }
    }

    /// The claim ends without an answer; it keeps whether the invocation may have run.
    pub(super) fn end_claim(&mut self, inv: InvocationIndex, claim: ClaimIndex) {
        if let Some(invocation) = self.invocations.get(inv) {
            self.claims.end(claim, invocation.may_have_run());
        }
    }

    /// Ends an invocation that nobody is to be answered for: nothing more is to be sent for it.
    fn abandon(&mut self, inv: InvocationIndex, out: &mut Vec<Output>) {
        if self.conclude(inv, Pace::Neither) {
            self.withdraw_from_module(inv, out);
        }
        self.release(inv, out);
    }
}
