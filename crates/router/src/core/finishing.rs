//! How an invocation ends: its one final answer, what the limits and watchers learn of it, and when its index
//! becomes free.

use cedarpulley::interface::{Effect, InvocationIndex, Micros};

use super::invocation::{Dispatch, Invocation, InvocationHandle};
use super::{Output, Router};
use crate::admission::Pace;
use crate::group::{Ask, Stage};
use crate::watch::Given;
use crate::{Answer, Delivery, Fate, Reason};

/// What an answer is about, as its watchers are told.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerSubject {
    /// Trigger type; `u32::MAX` where it is not known any more.
    pub(super) trigger: u32,
    /// Account; `u32::MAX` where it is not known any more.
    pub(super) account: u32,
    pub(super) taken_at: Micros,
}

impl AnswerSubject {
    /// Of a delivery of which nothing is known any more.
    pub(super) fn unknown(now: Micros) -> Self {
        AnswerSubject {
            trigger: u32::MAX,
            account: u32::MAX,
            taken_at: now,
        }
    }
}

impl Router {
    /// Sends the answer to one delivery and counts it. `inv` is absent where the module knows no invocation
    /// for it.
    pub(super) fn answer(
        &mut self,
        delivery: Delivery,
        answer: Answer,
        inv: Option<InvocationIndex>,
        subject: AnswerSubject,
        out: &mut Vec<Output>,
    ) {
        let given = Given {
            inv,
            front: delivery.front,
            fate: answer.fate,
            reason: answer.reason,
            trigger: subject.trigger,
            account: subject.account,
            took: self.now - subject.taken_at,
        };
        self.watch
            .iter_mut()
            .for_each(|watch| watch.answered(self.now, given));
        *self
            .counts
            .answers
            .entry((answer.fate, answer.reason))
            .or_default() += 1;
        out.push(Output::Answer { delivery, answer });
    }

    /// Gives the invocation its final answer. All deliveries that hold its claim get it; only the first call
    /// has an effect.
    pub(super) fn give_answer(
        &mut self,
        inv: InvocationIndex,
        answer: Answer,
        out: &mut Vec<Output>,
    ) {
        let Some(invocation) = self.invocations.get(inv).filter(|i| !i.concluded) else {
            return;
        };
        let claim = invocation.claim;
        let subject = AnswerSubject {
            trigger: invocation.trigger,
            account: invocation.account,
            taken_at: invocation.taken_at,
        };
        let pace = self.pace(invocation, answer.fate);
        self.remember_answer(inv, &answer);
        let answer = self.adjust_answer(inv, answer);
        self.share_answer(inv, &answer, out);
        self.conclude(inv, pace);
        let holders = self.claims.give(claim, &answer);
        // With no front to answer, a success is kept for when the message is delivered again. A failure is
        // not: nobody may be promised that it did not run, or told an error, on behalf of whoever has the
        // message now.
        if holders.is_empty() && answer.fate != Fate::Succeeded {
            self.end_claim(inv, claim);
        }
        // An invocation that the module does not know, or no longer, counts as answered at once.
        let known = self
            .invocations
            .get(inv)
            .is_some_and(|i| i.known_to_module)
            .then_some(inv);
        for delivery in holders {
            self.answer(delivery, answer.clone(), known, subject, out);
        }
    }

    /// What the limits learn from an answer of this fate, given now.
    fn pace(&self, invocation: &Invocation, fate: Fate) -> Pace {
        match fate {
            Fate::Succeeded if self.is_late(invocation) => Pace::Late,
            Fate::Succeeded => Pace::InTime,
            Fate::Throttled => Pace::GivenUp,
            Fate::Errored => Pace::Neither,
        }
    }

    /// Whether its latency objective, stretched for long calls, has passed since it was taken.
    fn is_late(&self, invocation: &Invocation) -> bool {
        let trigger = &self.triggers[invocation.trigger as usize];
        let expected = invocation.cost_hint.unwrap_or(0) as f64;
        let stretch = (expected * trigger.objective_work_multiple) as Micros;
        self.now - invocation.taken_at > trigger.latency_objective + stretch
    }

    /// Remembers a success under its token, for its client's retries.
    fn remember_answer(&mut self, inv: InvocationIndex, answer: &Answer) {
        let Some(invocation) = self.invocations.get(inv) else {
            return;
        };
        let effect = self.triggers[invocation.trigger as usize].effect;
        if let Some(key) = &invocation.token_key
            && answer.fate == Fate::Succeeded
            && let Effect::IdempotentByKey { window, .. } = effect
        {
            self.tokens
                .ended(self.now, key, Some((answer.clone(), self.now + window)));
        }
    }

    /// What is told instead of this answer, as the group was lost or not asked.
    fn adjust_answer(&self, inv: InvocationIndex, answer: Answer) -> Answer {
        let Some(invocation) = self.invocations.get(inv) else {
            return answer;
        };
        // While it was away from here another router may have run it: nobody can promise that it did not run.
        if answer.fate == Fate::Throttled && invocation.was_away {
            return Answer::bare(Fate::Errored, Reason::MayHaveRun);
        }
        if answer.reason == Reason::Worker && invocation.group_stage() == Some(Stage::Alone) {
            return Answer {
                reason: Reason::Alone,
                ..answer
            };
        }
        answer
    }

    /// Tells the group of a success, once: other routers may be delivered the same message, and answer alike.
    fn share_answer(&mut self, inv: InvocationIndex, answer: &Answer, out: &mut Vec<Output>) {
        let part = self
            .invocations
            .get_mut(inv)
            .and_then(|i| i.group_part.as_mut());
        if answer.fate == Fate::Succeeded
            && let Some(part) = part.filter(|part| !part.answered)
        {
            part.answered = true;
            out.push(Output::Group(Ask::Answered {
                key: part.key.clone(),
                answer: answer.clone(),
            }));
        }
    }

    /// A final answer that the core itself decides; the module is told that the invocation departed.
    pub(super) fn final_answer(
        &mut self,
        inv: InvocationIndex,
        fate: Fate,
        reason: Reason,
        out: &mut Vec<Output>,
    ) {
        self.give_answer(inv, Answer::bare(fate, reason), out);
        self.withdraw_from_module(inv, out);
        self.release(inv, out);
    }

    /// The final answer is due. All dispatches that are out time out now, upon which the module can answer;
    /// if it does not, the core does. That happens to a held invocation whose turn did not come between two
    /// of the module's timers.
    pub(super) fn answer_overdue(&mut self, handle: InvocationHandle, out: &mut Vec<Output>) {
        let inv = handle.inv;
        let dispatches = self
            .invocations
            .get(inv)
            .map(|i| i.dispatches_where(Dispatch::is_out));
        for dispatch in dispatches.unwrap_or_default() {
            self.dispatch_timed_out(handle.ticket(dispatch), out);
        }
        if !self.is_current(handle) {
            return;
        }
        let Some(invocation) = self.invocations.get(inv).filter(|i| !i.concluded) else {
            return;
        };
        let harmless = self.may_be_tried_again(invocation) && !may_run_elsewhere(invocation);
        let fate = if harmless {
            Fate::Throttled
        } else {
            Fate::Errored
        };
        self.final_answer(inv, fate, Reason::Overdue, out);
    }

    /// As far as this router's own dispatches are concerned.
    fn may_be_tried_again(&self, invocation: &Invocation) -> bool {
        let effect = self.triggers[invocation.trigger as usize].effect;
        effect == Effect::Idempotent || !invocation.may_have_run()
    }

    /// Marks the invocation as over, and tells the limits; true the first time.
    pub(super) fn conclude(&mut self, inv: InvocationIndex, pace: Pace) -> bool {
        let Some(invocation) = self.invocations.get_mut(inv).filter(|i| !i.concluded) else {
            return false;
        };
        invocation.concluded = true;
        if let Some(key) = invocation.token_key.take() {
            self.tokens.ended(self.now, &key, None);
        }
        self.report_to_limits(inv, pace);
        self.door.noted(self.now);
        true
    }

    fn report_to_limits(&mut self, inv: InvocationIndex, pace: Pace) {
        let Some(invocation) = self.invocations.get(inv) else {
            return;
        };
        let (front, account) = (invocation.front, invocation.account);
        let bytes = invocation.body.len();
        let taken_at = invocation.taken_at;
        let took = self.now - taken_at;
        let held = invocation
            .dispatches
            .first()
            .map_or(took, |first| first.decided_at - taken_at);
        let objective = self.triggers[invocation.trigger as usize].latency_objective;
        // What waited for a load was not crowded out: otherwise a slow store makes all invocations wait, and
        // whoever has more of them open is limited for it.
        let waited_for_load = self.waits.for_load(invocation.func, taken_at);
        let (held, pace) = match pace {
            Pace::GivenUp if waited_for_load => (0, Pace::Neither),
            pace if waited_for_load => (0, pace),
            pace => (held, pace),
        };
        if !invocation.entered {
            self.admission.left(front, account);
        }
        self.admission
            .ended(self.now, front, account, bytes, took, held, objective, pace);
    }

    /// Frees the index of an invocation that is over and whose dispatches have all ended.
    pub(super) fn release(&mut self, inv: InvocationIndex, out: &mut Vec<Output>) {
        if !self
            .invocations
            .get(inv)
            .is_some_and(|i| i.concluded && !i.has_dispatch_out())
        {
            return;
        }
        let Some(invocation) = self.invocations.remove(inv) else {
            return;
        };
        for dispatch in &invocation.dispatches {
            self.tenure.let_go(dispatch.worker);
        }
        if let Some(part) = invocation.group_part {
            self.leave_group(inv, part, out);
        }
    }
}

/// Another router may have run it, or may run it yet.
fn may_run_elsewhere(invocation: &Invocation) -> bool {
    let stage = invocation.group_stage();
    let asked_again = stage == Some(Stage::Asked) && invocation.redelivered;
    asked_again || stage == Some(Stage::Waits) || invocation.dispatch_until.is_some()
}
