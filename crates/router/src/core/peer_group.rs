//! What the core asks of the group of routers, and what it does with the group's verdicts and permissions.
//!
//! A shared invocation is first announced to the group, which gives a [`Verdict`]. Where the effect demands
//! it, each of its dispatches then waits for the group's permission to leave ([`Leave`]).

use std::collections::HashMap;

use cedarpulley::interface::{Effect, Event, InvocationIndex, Micros};

use super::invocation::{Dispatch, Invocation, InvocationHandle};
use super::timers::Timer;
use super::{Output, Router};
use crate::group::{Ask, Key, Leave, Need, Part, Refusal, Stage, Told, Verdict};
use crate::{Answer, Fate, Reason, Ticket};

/// What the group was asked about and may still speak of.
#[derive(Default)]
pub(super) struct GroupRequests {
    /// Dispatches that wait for permission, by the number under which the group knows them.
    pub(super) waiting_for_leave: HashMap<u64, Ticket>,
    /// The last invocation that was announced under each key.
    pub(super) announced: HashMap<Key, InvocationHandle>,
}

impl Router {
    /// What the group says. It may speak of an invocation that is over here by now.
    pub(super) fn group_told(&mut self, told: Told, out: &mut Vec<Output>) {
        match told {
            Told::Leave { sending, left } => self.leave_answered(sending, left, out),
            Told::Verdict { key, verdict } => {
                let Some(&handle) = self.group_requests.announced.get(&key) else {
                    return;
                };
                let invocation = self.invocations.get(handle.inv);
                if self.is_current(handle) && invocation.is_some_and(awaits_verdict) {
                    self.apply_verdict(handle.inv, verdict, out);
                }
            }
        }
    }

    /// Announces a new invocation to the group, upon which a verdict follows.
    pub(super) fn announce(
        &mut self,
        inv: InvocationIndex,
        part: &Part,
        redelivered: bool,
        out: &mut Vec<Output>,
    ) {
        let handle = self.handle_of(inv);
        let key = part.key.clone();
        self.group_requests.announced.insert(key.clone(), handle);
        out.push(Output::Group(Ask::Take {
            key,
            need: part.need,
            redelivered,
        }));
    }

    /// Tells the group that nobody waits for the invocation here any more, unless a success was shared.
    pub(super) fn leave_group(&mut self, inv: InvocationIndex, part: Part, out: &mut Vec<Output>) {
        // A later invocation may have been announced under its key by now.
        let announced = &mut self.group_requests.announced;
        if announced
            .get(&part.key)
            .is_none_or(|handle| handle.inv != inv)
        {
            return;
        }
        announced.remove(&part.key);
        if !part.answered {
            out.push(Output::Group(Ask::Dropped { key: part.key }));
        }
    }

    fn set_group_stage(&mut self, inv: InvocationIndex, stage: Stage) {
        if let Some(part) = self
            .invocations
            .get_mut(inv)
            .and_then(|i| i.group_part.as_mut())
        {
            part.stage = stage;
        }
    }

    fn apply_verdict(&mut self, inv: InvocationIndex, verdict: Verdict, out: &mut Vec<Output>) {
        match verdict {
            Verdict::Go { first_ago } => self.verdict_go(inv, first_ago, out),
            Verdict::Waits => {
                self.counts.joined_elsewhere += 1;
                self.set_group_stage(inv, Stage::Waits);
            }
            Verdict::Answer(answer) => self.answered_elsewhere(inv, answer, out),
            Verdict::MayHaveRun => self.refuse_as_may_have_run(inv, out),
            Verdict::NoMajority => self.without_majority(inv, out),
        }
    }

    /// It may go. `first_ago` as in [`Verdict::Go`].
    fn verdict_go(
        &mut self,
        inv: InvocationIndex,
        first_ago: Option<Micros>,
        out: &mut Vec<Output>,
    ) {
        let Some(invocation) = self.invocations.get(inv) else {
            return;
        };
        let window_left = self.repeat_window_left(invocation, first_ago);
        if window_left.is_some_and(|left| left <= 0) {
            return self.refuse_as_may_have_run(inv, out);
        }
        self.set_group_stage(inv, Stage::Goes);
        if let Some(left) = window_left {
            self.bound_dispatches(inv, self.now + left);
        }
        self.admit(inv, out);
    }

    /// For how long workers surely recognise repeats of it; absent where they need not.
    fn repeat_window_left(
        &self,
        invocation: &Invocation,
        first_ago: Option<Micros>,
    ) -> Option<Micros> {
        let Effect::IdempotentByKey { window, .. } =
            self.triggers[invocation.trigger as usize].effect
        else {
            return None;
        };
        // The group's clocks tell how long ago the first sending was.
        if let Some(ago) = first_ago {
            return Some(window - ago);
        }
        // Without them only the client's clock bounds it.
        let need = invocation.group_part.as_ref().map(|part| part.need);
        let by_client = invocation.redelivered && need == Some(Need::Known);
        by_client.then(|| window - invocation.waited - self.terms.clock_margin)
    }

    /// No dispatch of the invocation may leave from `until` on.
    fn bound_dispatches(&mut self, inv: InvocationIndex, until: Micros) {
        if let Some(invocation) = self.invocations.get_mut(inv) {
            invocation.dispatch_until = Some(until);
            self.set_timer(until, Timer::DispatchWindowEnds(self.handle_of(inv)));
        }
    }

    fn answered_elsewhere(&mut self, inv: InvocationIndex, answer: Answer, out: &mut Vec<Output>) {
        self.counts.answered_elsewhere += 1;
        if let Some(part) = self
            .invocations
            .get_mut(inv)
            .and_then(|i| i.group_part.as_mut())
        {
            part.answered = true;
        }
        self.give_answer(inv, answer, out);
        self.release(inv, out);
    }

    fn refuse_as_may_have_run(&mut self, inv: InvocationIndex, out: &mut Vec<Output>) {
        self.counts.refused_redelivered += 1;
        self.final_answer(inv, Fate::Errored, Reason::MayHaveRun, out);
    }

    /// The group has no majority: the invocation goes alone if its operator accepts that and no other router
    /// can have had it; otherwise not at all.
    fn without_majority(&mut self, inv: InvocationIndex, out: &mut Vec<Output>) {
        let Some(invocation) = self.invocations.get(inv) else {
            return;
        };
        let first_here = !invocation.redelivered && invocation.group_stage() == Some(Stage::Asked);
        if first_here && self.may_go_alone(invocation.trigger as usize) {
            self.set_group_stage(inv, Stage::Alone);
            return self.admit(inv, out);
        }
        let ran = invocation.redelivered || invocation.may_have_run();
        let fate = if ran { Fate::Errored } else { Fate::Throttled };
        self.final_answer(inv, fate, Reason::NoMajority, out);
    }

    /// Whether invocations of this trigger type go without a majority, as the operator accepts.
    pub(super) fn may_go_alone(&self, trigger: usize) -> bool {
        let alone = self
            .terms
            .sharing
            .as_ref()
            .and_then(|sharing| sharing.alone.get(trigger));
        alone == Some(&true)
    }

    /// The group's answer to [`Ask::Leave`].
    fn leave_answered(
        &mut self,
        sending: u64,
        answer: Result<bool, Refusal>,
        out: &mut Vec<Output>,
    ) {
        let Some(ticket) = self.group_requests.waiting_for_leave.remove(&sending) else {
            return;
        };
        if self.dispatch_out(ticket).is_none() {
            return;
        }
        match answer {
            Ok(alone) => self.leave_given(ticket, alone, out),
            Err(refusal) => self.leave_refused(ticket.inv, refusal, out),
        }
    }

    /// `alone`: without a majority, as the operator accepts.
    fn leave_given(&mut self, ticket: Ticket, alone: bool, out: &mut Vec<Output>) {
        let now = self.now;
        if let Some(dispatch) = self.dispatch_out(ticket) {
            dispatch.leave = Leave::Given(now);
        }
        let stage = self
            .invocations
            .get(ticket.inv)
            .and_then(Invocation::group_stage);
        if alone && stage == Some(Stage::Goes) {
            self.set_group_stage(ticket.inv, Stage::Alone);
        }
        self.send(ticket, out);
    }

    fn leave_refused(&mut self, inv: InvocationIndex, refusal: Refusal, out: &mut Vec<Output>) {
        self.counts.leave_refused += 1;
        match refusal {
            Refusal::Elsewhere => {
                self.set_group_stage(inv, Stage::Waits);
                self.withdraw_from_module(inv, out);
            }
            Refusal::NoMajority => {
                self.withdraw_from_module(inv, out);
                self.without_majority(inv, out);
            }
        }
    }

    /// Tells the module that the invocation departed. Dispatches that wait for permission never left.
    pub(super) fn withdraw_from_module(&mut self, inv: InvocationIndex, out: &mut Vec<Output>) {
        let Some(invocation) = self.invocations.get_mut(inv) else {
            return;
        };
        if !std::mem::take(&mut invocation.known_to_module) {
            return;
        }
        self.decide(&Event::ClientLeft { invocation: inv }, out);
        let handle = self.handle_of(inv);
        let waiting = self
            .invocations
            .get(inv)
            .map(|i| i.dispatches_where(Dispatch::waits_for_leave));
        for dispatch in waiting.unwrap_or_default() {
            self.dispatch_not_sent(handle.ticket(dispatch), out);
        }
    }

    /// Whether permission to leave is needed no more, or was given and has not expired. A process that was
    /// stopped with a permission may wake when other routers have long answered.
    pub(super) fn has_leave(&self, now: Micros, leave: Leave) -> bool {
        match leave {
            Leave::NotNeeded => true,
            Leave::Asked => false,
            Leave::Given(at) => self
                .terms
                .sharing
                .as_ref()
                .is_some_and(|sharing| now - at <= sharing.leave_kept),
        }
    }
}

/// Whether the group has yet to say what becomes of it.
fn awaits_verdict(invocation: &Invocation) -> bool {
    !invocation.concluded && matches!(invocation.group_stage(), Some(Stage::Asked | Stage::Waits))
}
