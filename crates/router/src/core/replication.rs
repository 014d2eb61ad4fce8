//! What the core asks of the group of routers, and what it does with the group's verdicts and permissions.
//!
//! A replicated invocation is first announced to the group, which gives a [`Verdict`]. Where the effect demands it, each
//! of its attempts then waits for the group's permission to be sent ([`DispatchPermission`]).

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

/// Announcements and verdicts.
impl Router {
    /// Handles what the group says. It may speak of an invocation that is over here by now.
    pub(super) fn replication_event(&mut self, event: ReplicationEvent, out: &mut Vec<Output>) {
        match event {
            ReplicationEvent::Permission { attempt, result } => {
                self.permission_answered(attempt, result, out)
            }
            ReplicationEvent::Decision { key, decision } => self.verdict_given(&key, decision, out),
        }
    }

    /// Announces a new invocation to the group, upon which a verdict follows.
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
            durability: replication.need,
            redelivered,
        }));
    }

    /// Tells the group that nobody waits for the invocation here any more, unless a success was shared.
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

    fn verdict_given(&mut self, key: &Key, verdict: ReplicationDecision, out: &mut Vec<Output>) {
        let Some(handle) = self.replication.announced(key) else {
            return;
        };
        let invocation = self.invocations.find(handle);
        if !invocation.is_some_and(Invocation::awaits_verdict) {
            return;
        }
        let index = handle.index;
        match verdict {
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

    /// The invocation may run here. `first_ago` as in [`Verdict::Go`].
    fn permit(&mut self, index: InvocationIndex, first_ago: Option<Micros>, out: &mut Vec<Output>) {
        let Some(invocation) = self.invocations.get(index) else {
            return;
        };
        let window_left = self.deduplication_window_left(invocation, first_ago);
        if window_left.is_some_and(|left| left <= 0) {
            return self.refuse_as_may_have_run(index, out);
        }
        self.set_replication_stage(index, ReplicationStage::Permitted);
        if let Some(left) = window_left {
            self.limit_dispatches(index, self.now + left);
        }
        self.submit_to_balancer(index, out);
    }

    /// For how long workers surely recognise repeats of it; absent where they need not.
    fn deduplication_window_left(
        &self,
        invocation: &Invocation,
        first_ago: Option<Micros>,
    ) -> Option<Micros> {
        let request = &invocation.request;
        let Effect::IdempotentByKey { window, .. } = self.triggers[request.trigger as usize].effect
        else {
            return None;
        };
        // The group's clocks tell how long ago the first attempt was sent.
        if let Some(ago) = first_ago {
            return Some(window - ago);
        }
        // Without them only the client's clock bounds it.
        let need = invocation.replication().map(|replication| replication.need);
        let by_client = request.redelivered && need == Some(Durability::Notified);
        by_client.then(|| window - request.waited - self.settings.clock_margin)
    }

    /// No attempt of the invocation may be sent from `until` on.
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

    /// The group has no majority: the invocation runs without it if its operator accepts that and no other router can
    /// have had it; otherwise not at all.
    fn handle_no_majority(&mut self, index: InvocationIndex, out: &mut Vec<Output>) {
        let Some(invocation) = self.invocations.get(index) else {
            return;
        };
        let redelivered = invocation.request.redelivered;
        let first_here =
            !redelivered && invocation.replication_stage() == Some(ReplicationStage::Announced);
        if first_here && self.may_go_unreplicated(invocation.request.trigger) {
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

    /// Whether invocations of this trigger type run without a majority, as the operator accepts.
    pub(super) fn may_go_unreplicated(&self, trigger: u32) -> bool {
        let sharing = self.settings.replication.as_ref();
        let alone = sharing.and_then(|sharing| sharing.without_majority.get(trigger as usize));
        alone == Some(&true)
    }
}

/// Permission to send attempts.
impl Router {
    /// The group's answer to [`Ask::Leave`].
    fn permission_answered(
        &mut self,
        serial: u64,
        answer: Result<bool, PermissionRefusal>,
        out: &mut Vec<Output>,
    ) {
        let Some(ticket) = self.replication.end_request(serial) else {
            return;
        };
        if self.invocations.attempt_in_flight(ticket).is_none() {
            return;
        }
        match answer {
            Ok(alone) => self.permission_granted(ticket, alone, out),
            Err(refusal) => self.permission_refused(ticket.invocation, refusal, out),
        }
    }

    /// `alone`: without a majority, as the operator accepts.
    fn permission_granted(&mut self, ticket: Ticket, alone: bool, out: &mut Vec<Output>) {
        if let Some(invocation) = self.invocations.find_mut(ticket.into()) {
            invocation.grant_permission(ticket.dispatch, self.now);
            if alone && invocation.replication_stage() == Some(ReplicationStage::Permitted) {
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

    /// Tells the module that the client left. Attempts that wait for permission were never sent.
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

    /// Whether permission is not needed (any more), or was granted and has not expired. A process that was stopped with
    /// a permission may resume when other routers have long answered.
    pub(super) fn is_permitted(&self, now: Micros, permission: DispatchPermission) -> bool {
        match permission {
            DispatchPermission::NotNeeded => true,
            DispatchPermission::Requested => false,
            DispatchPermission::Granted(at) => self
                .settings
                .replication
                .as_ref()
                .is_some_and(|sharing| now - at <= sharing.permission_validity),
        }
    }
}
