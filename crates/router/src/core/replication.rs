//! Sends requests to the group of routers, and handles the group's decisions and permissions.
//!
//! A replicated invocation is first announced to the group, which replies with a [`ReplicationDecision`]. If its
//! effect requires it, each of its attempts then waits for the group's permission to be sent ([`DispatchPermission`]).

use cedarpulley::interface::{Effect, Event, InvocationIndex, Micros};

use super::state::attempt::Attempt;
use super::state::invocation::Invocation;
use super::state::timers::Timer;
use super::{Output, Router};
use crate::replication::{
    DispatchPermission, Durability, Key, PermissionRefusal, ReplicationDecision, ReplicationEvent,
    ReplicationRequest, ReplicationStage, ReplicationState,
};
use crate::{Answer, AnswerReason, FinalOutcome, Ticket};

/// Announcements of invocations, and the group's decisions.
impl Router {
    /// Handles an event from the group. Events for invocations that are already over at this router are ignored.
    pub(super) fn replication_event(&mut self, event: ReplicationEvent, out: &mut Vec<Output>) {
        match event {
            ReplicationEvent::Permission { attempt, result } => {
                self.permission_answered(attempt, result, out)
            }
            ReplicationEvent::Decision { key, decision } => {
                self.decision_received(&key, decision, out)
            }
        }
    }

    /// Announces a new invocation to the group, which replies with a decision.
    pub(super) fn announce(
        &mut self,
        index: InvocationIndex,
        replication: &ReplicationState,
        out: &mut Vec<Output>,
    ) {
        let Some(invocation) = self.invocations.get(index) else {
            return;
        };
        let redelivered = invocation.request.redelivered;
        let key = replication.key.clone();
        self.replication
            .announce(key.clone(), self.invocations.handle(index));
        out.push(Output::Replication(ReplicationRequest::Announce {
            key,
            durability: replication.durability,
            redelivered,
        }));
    }

    /// Notifies the group that no delivery waits for the invocation at this router any more, unless the group has its
    /// successful answer.
    pub(super) fn leave_replication(
        &mut self,
        index: InvocationIndex,
        replication: ReplicationState,
        out: &mut Vec<Output>,
    ) {
        let key = replication.key;
        if self.replication.retract(&key, index) && !replication.answered {
            out.push(Output::Replication(ReplicationRequest::Abandoned { key }));
        }
    }

    fn decision_received(
        &mut self,
        key: &Key,
        decision: ReplicationDecision,
        out: &mut Vec<Output>,
    ) {
        let Some(handle) = self.replication.announced(key) else {
            return;
        };
        let invocation = self.invocations.find(handle);
        if !invocation.is_some_and(Invocation::awaits_replication_decision) {
            return;
        }
        let index = handle.index;
        match decision {
            ReplicationDecision::RunHere { first_attempt_ago } => {
                self.permit(index, first_attempt_ago, out)
            }
            ReplicationDecision::AwaitPeer => {
                self.counts.joined_elsewhere += 1;
                self.set_replication_stage(index, ReplicationStage::AwaitingPeer);
            }
            ReplicationDecision::Answer(answer) => self.answered_elsewhere(index, answer, out),
            ReplicationDecision::MayHaveRun => self.refuse_as_may_have_run(index, out),
            ReplicationDecision::NoMajority => self.handle_no_majority(index, out),
        }
    }

    fn set_replication_stage(&mut self, index: InvocationIndex, stage: ReplicationStage) {
        if let Some(invocation) = self.invocations.get_mut(index) {
            invocation.set_replication_stage(stage);
        }
    }

    /// Submits an invocation that may run at this router. `first_attempt_ago` as in [`ReplicationDecision::RunHere`].
    fn permit(
        &mut self,
        index: InvocationIndex,
        first_attempt_ago: Option<Micros>,
        out: &mut Vec<Output>,
    ) {
        let Some(invocation) = self.invocations.get(index) else {
            return;
        };
        let window_left = self.deduplication_window_left(invocation, first_attempt_ago);
        if window_left.is_some_and(|left| left <= 0) {
            return self.refuse_as_may_have_run(index, out);
        }
        self.set_replication_stage(index, ReplicationStage::Permitted);
        if let Some(left) = window_left {
            self.limit_dispatches(index, self.now + left);
        }
        self.submit_to_balancer(index, out);
    }

    /// Remaining time in which the workers are certain to recognise repeats of the invocation; `None` if the time is
    /// not limited.
    fn deduplication_window_left(
        &self,
        invocation: &Invocation,
        first_attempt_ago: Option<Micros>,
    ) -> Option<Micros> {
        let request = &invocation.request;
        let Effect::IdempotentByKey { window, .. } = self.triggers[request.trigger as usize].effect
        else {
            return None;
        };
        // The group's clocks measure how long ago the first attempt was sent.
        if let Some(ago) = first_attempt_ago {
            return Some(window - ago);
        }
        // Otherwise only the time at which the client sent the message bounds the time of the first attempt.
        let durability = invocation
            .replication()
            .map(|replication| replication.durability);
        let bounded_by_client = request.redelivered && durability == Some(Durability::Notified);
        bounded_by_client.then(|| window - request.waited - self.settings.clock_margin)
    }

    /// Prevents attempts of the invocation from being sent at or after `until`.
    fn limit_dispatches(&mut self, index: InvocationIndex, until: Micros) {
        if let Some(invocation) = self.invocations.get_mut(index) {
            invocation.limit_dispatches(until);
            let handle = self.invocations.handle(index);
            self.set_timer(until, Timer::DispatchWindowEnds(handle));
        }
    }

    fn answered_elsewhere(
        &mut self,
        index: InvocationIndex,
        answer: Answer,
        out: &mut Vec<Output>,
    ) {
        self.counts.answered_elsewhere += 1;
        if let Some(invocation) = self.invocations.get_mut(index) {
            invocation.mark_answer_shared();
        }
        self.give_answer(index, answer, out);
        self.release(index, out);
    }

    fn refuse_as_may_have_run(&mut self, index: InvocationIndex, out: &mut Vec<Output>) {
        self.counts.refused_redelivered += 1;
        self.final_answer(index, FinalOutcome::Errored, AnswerReason::MayHaveRun, out);
    }

    /// Handles that the group has no majority. The invocation runs without the group if the operator allows it and no
    /// other router can have received the message. Otherwise it is answered, and no further attempt is sent.
    fn handle_no_majority(&mut self, index: InvocationIndex, out: &mut Vec<Output>) {
        let Some(invocation) = self.invocations.get(index) else {
            return;
        };
        let redelivered = invocation.request.redelivered;
        let first_delivery =
            !redelivered && invocation.replication_stage() == Some(ReplicationStage::Announced);
        if first_delivery && self.may_go_unreplicated(invocation.request.trigger) {
            self.set_replication_stage(index, ReplicationStage::Unreplicated);
            return self.submit_to_balancer(index, out);
        }
        let may_have_run = redelivered || invocation.may_have_run();
        let outcome = if may_have_run {
            FinalOutcome::Errored
        } else {
            FinalOutcome::Throttled
        };
        self.final_answer(index, outcome, AnswerReason::NoMajority, out);
    }

    /// Whether the operator allows invocations of this trigger type to run without a majority.
    pub(super) fn may_go_unreplicated(&self, trigger: u32) -> bool {
        let settings = self.settings.replication.as_ref();
        let allowed = settings.and_then(|settings| settings.without_majority.get(trigger as usize));
        allowed == Some(&true)
    }
}

/// Permission to send attempts.
impl Router {
    /// Handles the group's reply to [`ReplicationRequest::RequestPermission`].
    fn permission_answered(
        &mut self,
        serial: u64,
        result: Result<bool, PermissionRefusal>,
        out: &mut Vec<Output>,
    ) {
        let Some(ticket) = self.replication.end_request(serial) else {
            return;
        };
        if self.invocations.attempt_in_flight(ticket).is_none() {
            return;
        }
        match result {
            Ok(without_majority) => self.permission_granted(ticket, without_majority, out),
            Err(refusal) => self.permission_refused(ticket.invocation, refusal, out),
        }
    }

    /// Sends an attempt that was permitted. `without_majority`: the operator allows it to be sent without a majority,
    /// and the group has none.
    fn permission_granted(
        &mut self,
        ticket: Ticket,
        without_majority: bool,
        out: &mut Vec<Output>,
    ) {
        if let Some(invocation) = self.invocations.find_mut(ticket.into()) {
            invocation.grant_permission(ticket.dispatch, self.now);
            if without_majority
                && invocation.replication_stage() == Some(ReplicationStage::Permitted)
            {
                invocation.set_replication_stage(ReplicationStage::Unreplicated);
            }
        }
        self.send(ticket, out);
    }

    fn permission_refused(
        &mut self,
        index: InvocationIndex,
        refusal: PermissionRefusal,
        out: &mut Vec<Output>,
    ) {
        self.counts.permissions_refused += 1;
        match refusal {
            PermissionRefusal::Elsewhere => {
                self.set_replication_stage(index, ReplicationStage::AwaitingPeer);
                self.withdraw_from_balancer(index, out);
            }
            PermissionRefusal::NoMajority => {
                self.withdraw_from_balancer(index, out);
                self.handle_no_majority(index, out);
            }
        }
    }

    /// Reports to the balancer that the client left. Attempts that wait for permission end as not sent.
    pub(super) fn withdraw_from_balancer(&mut self, index: InvocationIndex, out: &mut Vec<Output>) {
        let Some(invocation) = self.invocations.get_mut(index) else {
            return;
        };
        if !invocation.set_known_to_balancer(false) {
            return;
        }
        self.decide(&Event::ClientLeft { invocation: index }, out);
        let handle = self.invocations.handle(index);
        let invocation = self.invocations.get(index);
        let waiting = invocation.map(|found| found.attempts_where(Attempt::awaits_permission));
        for attempt in waiting.unwrap_or_default() {
            self.dispatch_not_sent(handle.ticket(attempt), out);
        }
    }

    /// Whether an attempt needs no permission, or has one that has not expired. Permissions expire because a process
    /// that is paused while it holds one may resume after other routers have answered the invocation.
    pub(super) fn is_permitted(&self, now: Micros, permission: DispatchPermission) -> bool {
        match permission {
            DispatchPermission::NotNeeded => true,
            DispatchPermission::Requested => false,
            DispatchPermission::Granted(at) => self
                .settings
                .replication
                .as_ref()
                .is_some_and(|settings| now - at <= settings.permission_validity),
        }
    }
}
