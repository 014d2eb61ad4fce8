//! The life of a dispatch: decided, permitted by the group where that is needed, sent, and ended.

use cedarpulley::interface::{
    CopyStatus, DispatchEnded, DispatchOutcome, Effect, Event, InvocationIndex, LoadReport, Micros,
    WorkerIndex,
};
use cedarpulley_usage_metering::Held;

use super::decisions::EndedAtOnce;
use super::invocation::{Dispatch, Invocation, Sent};
use super::timers::Timer;
use super::{Call, Output, Router};
use crate::admission::Pace;
use crate::group::{Ask, Leave, Need, Stage};
use crate::watch::{By, Used};
use crate::{Answer, Fate, Payload, Reason, Ticket};

/// How a dispatch ended, and what its worker said; the fields are those of [`Input::DispatchEnded`].
///
/// [`Input::DispatchEnded`]: super::Input::DispatchEnded
pub(super) struct DispatchResult {
    pub(super) outcome: DispatchOutcome,
    pub(super) note: CopyStatus,
    pub(super) crowd: Option<u32>,
    pub(super) report: LoadReport,
    pub(super) held: Option<Held>,
    pub(super) body: Payload,
}

impl DispatchResult {
    /// Of a dispatch whose worker said nothing.
    pub(super) fn without_answer(outcome: DispatchOutcome) -> Self {
        DispatchResult {
            outcome,
            note: CopyStatus::Unreported,
            crowd: None,
            report: LoadReport::default(),
            held: None,
            body: Payload::default(),
        }
    }
}

/// What is known of a dispatch that has just ended.
#[derive(Clone, Copy)]
struct EndedDispatch {
    worker: WorkerIndex,
    took: Micros,
    /// Number by which the group knows it.
    sending: u64,
    may_have_run: bool,
}

impl Router {
    /// The dispatch, if it has not ended.
    pub(super) fn dispatch_out(&mut self, ticket: Ticket) -> Option<&mut Dispatch> {
        if !self.is_current(ticket.into()) {
            return None;
        }
        let invocation = self.invocations.get_mut(ticket.inv)?;
        invocation
            .dispatches
            .get_mut(ticket.dispatch as usize)
            .filter(|dispatch| dispatch.is_out())
    }

    /// The module wants the invocation sent to a worker.
    pub(super) fn dispatch(
        &mut self,
        inv: InvocationIndex,
        worker: WorkerIndex,
        time_out: Option<Micros>,
        ended: &mut Vec<EndedAtOnce>,
        out: &mut Vec<Output>,
    ) {
        let Some(ticket) = self.add_dispatch(inv, worker, time_out) else {
            return;
        };
        self.tenure.hold(worker);
        let Some(invocation) = self.invocations.get(inv) else {
            return;
        };
        // An answer is out, or the workers no longer recognise repeats: the module is told that it did not
        // leave.
        if invocation.concluded
            || invocation
                .dispatch_until
                .is_some_and(|until| self.now >= until)
        {
            return ended.push(EndedAtOnce {
                ticket,
                outcome: DispatchOutcome::NotSent,
            });
        }
        // Without a time-out of its own the dispatch ends when the answer is due.
        let time_left = invocation.gives_up_at - self.now;
        if let Some(time_out) = time_out.filter(|&time_out| time_out < time_left) {
            self.set_timer(self.now + time_out, Timer::DispatchTimeOut(ticket));
        }
        if self.ask_group_for_leave(ticket, out) {
            return;
        }
        self.send(ticket, out);
    }

    /// Adds a dispatch to the invocation; nothing if there is no such invocation.
    fn add_dispatch(
        &mut self,
        inv: InvocationIndex,
        worker: WorkerIndex,
        time_out: Option<Micros>,
    ) -> Option<Ticket> {
        let needs_leave = needs_leave(self.invocations.get(inv)?);
        let dispatch = Dispatch {
            worker,
            decided_at: self.now,
            state: Sent::Out,
            time_out,
            sending: self.next_serial(),
            leave: if needs_leave {
                Leave::Asked
            } else {
                Leave::NotNeeded
            },
        };
        let handle = self.handle_of(inv);
        let dispatches = &mut self.invocations.get_mut(inv)?.dispatches;
        dispatches.push(dispatch);
        Some(handle.ticket(dispatches.len() as u32 - 1))
    }

    /// Tells the group of a new dispatch, if it has to know. True if the dispatch must wait for the group's
    /// permission.
    fn ask_group_for_leave(&mut self, ticket: Ticket, out: &mut Vec<Output>) -> bool {
        let Some(invocation) = self.invocations.get(ticket.inv) else {
            return false;
        };
        let Some(dispatch) = invocation.dispatches.get(ticket.dispatch as usize) else {
            return false;
        };
        let Some(part) = &invocation.group_part else {
            return false;
        };
        let trigger = invocation.trigger as usize;
        let (key, sending) = (part.key.clone(), dispatch.sending);
        let place = self.repeat_place(trigger, dispatch.worker);
        if !dispatch.waits_for_leave() {
            out.push(Output::Group(Ask::Left {
                key,
                sending,
                place,
            }));
            return false;
        }
        let alone = self.may_go_alone(trigger);
        self.group_requests
            .waiting_for_leave
            .insert(sending, ticket);
        out.push(Output::Group(Ask::Leave {
            key,
            sending,
            place,
            alone,
        }));
        true
    }

    /// Sends the dispatch now.
    pub(super) fn send(&mut self, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(invocation) = self.invocations.get(ticket.inv) else {
            return;
        };
        let Some(dispatch) = invocation.dispatches.get(ticket.dispatch as usize) else {
            return;
        };
        out.push(Output::Send {
            ticket,
            worker: dispatch.worker,
            function: invocation.function.clone(),
            trigger: invocation.trigger,
            account: invocation.account,
            call: call(invocation, dispatch, self.now),
        });
        self.counts.dispatches += 1;
    }

    /// Whether a dispatch may still leave: asked again right before its first byte, as connecting takes time.
    pub fn may_leave(&self, now: Micros, ticket: Ticket) -> bool {
        let found = self.invocations.get(ticket.inv);
        let found = found.filter(|_| self.invocations.generation(ticket.inv) == ticket.generation);
        let open = found.filter(|invocation| !invocation.concluded && now < invocation.gives_up_at);
        let Some(invocation) = open else { return false };
        let dispatch = invocation.dispatches.get(ticket.dispatch as usize);
        dispatch
            .filter(|dispatch| dispatch.state == Sent::Out)
            .is_some_and(|dispatch| {
                self.service.takes_new(now, dispatch.worker)
                    && self.has_leave(now, dispatch.leave)
                    && self.within_repeat_window(now, invocation)
            })
    }

    /// Rule 2 at the moment of sending: workers drop repeats of a tokened invocation only within their window, counted from
    /// each attempt that may have run. Connecting may take longer than what was left of it when the attempt was decided.
    fn within_repeat_window(&self, now: Micros, invocation: &Invocation) -> bool {
        let Effect::IdempotentByKey { window, .. } =
            self.triggers[invocation.trigger as usize].effect
        else {
            return true;
        };
        let mut may_have_run = invocation
            .dispatches
            .iter()
            .filter(|d| d.state == Sent::MayHaveRun);
        may_have_run.all(|dispatch| now - dispatch.decided_at < window)
    }

    /// The dispatch has its time-out, or its invocation's answer is due.
    pub(super) fn dispatch_timed_out(&mut self, ticket: Ticket, out: &mut Vec<Output>) {
        let Some(dispatch) = self.dispatch_out(ticket) else {
            return;
        };
        if dispatch.waits_for_leave() {
            // It waited for permission all the time: nothing can have run.
            return self.dispatch_not_sent(ticket, out);
        }
        out.push(Output::Withdraw(ticket));
        self.dispatch_ended(
            ticket,
            DispatchResult::without_answer(DispatchOutcome::TimedOut),
            out,
        );
    }

    /// The dispatch ended before it left.
    pub(super) fn dispatch_not_sent(&mut self, ticket: Ticket, out: &mut Vec<Output>) {
        self.dispatch_ended(
            ticket,
            DispatchResult::without_answer(DispatchOutcome::NotSent),
            out,
        );
    }

    /// Ends a dispatch. A success is the invocation's answer; anything else the module decides upon.
    pub(super) fn dispatch_ended(
        &mut self,
        ticket: Ticket,
        result: DispatchResult,
        out: &mut Vec<Output>,
    ) {
        let Some(ended) = self.end_dispatch(ticket, result.outcome) else {
            // A worker may answer after the dispatch timed out or was withdrawn; that ending was told then.
            self.counts.too_late += 1;
            return;
        };
        let inv = ticket.inv;
        self.tell_group_of_ending(inv, ended, out);
        self.report_dispatch_use(inv, ended, &result);
        let succeeded = result.outcome == DispatchOutcome::Succeeded;
        if succeeded && result.note == CopyStatus::Warm {
            self.note_copy_found(inv);
        }
        if succeeded {
            let body = result.body;
            let answer = Answer {
                fate: Fate::Succeeded,
                reason: Reason::Worker,
                return_after: None,
                body,
            };
            self.give_answer(inv, answer, out);
        } else {
            self.conclude_orphaned(inv);
        }
        let ending = DispatchEnded {
            invocation: inv,
            dispatch: ticket.dispatch,
            worker: ended.worker,
            outcome: result.outcome,
            took: ended.took,
            answered: self.invocations.get(inv).is_none_or(|i| i.concluded),
            copy_status: result.note,
            function_load: result.crowd,
            report: result.report,
        };
        self.decide(&Event::DispatchEnded(ending), out);
        self.release(inv, out);
    }

    /// Marks the dispatch as ended; nothing if it had ended before.
    fn end_dispatch(&mut self, ticket: Ticket, outcome: DispatchOutcome) -> Option<EndedDispatch> {
        let now = self.now;
        let dispatch = self.dispatch_out(ticket)?;
        dispatch.state = if outcome.not_executed() {
            Sent::NeverRan
        } else {
            Sent::MayHaveRun
        };
        dispatch.leave = Leave::NotNeeded;
        let ended = EndedDispatch {
            worker: dispatch.worker,
            took: now - dispatch.decided_at,
            sending: dispatch.sending,
            may_have_run: dispatch.state == Sent::MayHaveRun,
        };
        self.group_requests.waiting_for_leave.remove(&ended.sending);
        Some(ended)
    }

    fn tell_group_of_ending(
        &self,
        inv: InvocationIndex,
        ended: EndedDispatch,
        out: &mut Vec<Output>,
    ) {
        let EndedDispatch {
            sending,
            may_have_run,
            ..
        } = ended;
        if let Some(part) = self
            .invocations
            .get(inv)
            .and_then(|i| i.group_part.as_ref())
        {
            out.push(Output::Group(Ask::Ended {
                key: part.key.clone(),
                sending,
                may_have_run,
            }));
        }
    }

    /// Tells the watchers what the dispatch used of its worker.
    fn report_dispatch_use(
        &mut self,
        inv: InvocationIndex,
        ended: EndedDispatch,
        result: &DispatchResult,
    ) {
        let Some(invocation) = self.invocations.get(inv) else {
            return;
        };
        let session = invocation.session.as_ref();
        let used = Used {
            worker: ended.worker,
            worker_name: self.workers.id(ended.worker).map_or("", String::as_str),
            function: &invocation.function,
            session: session.map(|session| &*session.id),
            ends: session.is_some_and(|session| session.end),
            trigger: invocation.trigger,
            account: invocation.account,
            by: By::Dispatch(result.outcome, result.note),
            took: ended.took,
            copy_mb: invocation.copy_mb,
            lanes: invocation.lanes,
            held: result.held,
        };
        self.watch
            .iter_mut()
            .for_each(|watch| watch.used(self.now, used));
    }

    fn note_copy_found(&mut self, inv: InvocationIndex) {
        if let Some(invocation) = self.invocations.get(inv) {
            self.waits.found(self.now, invocation.func);
        }
    }

    /// Nobody waits here for an orphaned invocation whose dispatch failed; whoever has the message now
    /// decides what comes next.
    fn conclude_orphaned(&mut self, inv: InvocationIndex) {
        let Some(invocation) = self
            .invocations
            .get(inv)
            .filter(|i| i.orphaned && !i.concluded)
        else {
            return;
        };
        let claim = invocation.claim;
        self.end_claim(inv, claim);
        self.conclude(inv, Pace::Neither);
    }
}

/// Whether each dispatch of the invocation needs the group's permission to leave.
fn needs_leave(invocation: &Invocation) -> bool {
    let part = invocation.group_part.as_ref();
    part.is_some_and(|part| part.need == Need::Held && part.stage == Stage::Goes)
}

fn call(invocation: &Invocation, dispatch: &Dispatch, now: Micros) -> Call {
    let time_left = invocation.gives_up_at - now;
    let already_waited = now - dispatch.decided_at;
    let until_time_out = |time_out: Micros| (time_out - already_waited).clamp(0, time_left.max(0));
    Call {
        mark: invocation.mark.clone(),
        token: invocation.token.clone(),
        time_left,
        waited_for: dispatch.time_out.map_or(time_left, until_time_out),
        cost_hint: invocation.cost_hint,
        load_hint: invocation.load_hint,
        copy_mb: invocation.copy_mb,
        lanes: invocation.lanes,
        session: invocation.session.clone(),
        body: invocation.body.clone(),
    }
}
