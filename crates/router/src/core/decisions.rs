//! Calls the decision module and carries out its actions.

use cedarpulley::interface::{Action, DispatchOutcome, Event, InvocationIndex, Micros};

use super::dispatching::DispatchResult;
use super::timers::Timer;
use super::{Output, Router};
use crate::group::Leave;
use crate::watch::Names;
use crate::{Answer, Fate, Reason, Ticket};

/// A dispatch that ended within the step that decided it.
pub(super) struct EndedAtOnce {
    pub(super) ticket: Ticket,
    pub(super) outcome: DispatchOutcome,
}

impl Router {
    /// Calls the module and carries out its actions, in order. Dispatches that end at once are told to the
    /// module as further events, after all actions of this step.
    pub(super) fn decide(&mut self, event: &Event, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        self.control.handle(self.now, event, &mut actions);
        let names = Names {
            functions: self.functions.names(),
            workers: &self.workers,
        };
        for watch in &mut self.watch {
            watch.decided(self.now, event, &actions, names);
        }
        let mut ended = Vec::new();
        for action in actions {
            self.carry_out(action, &mut ended, out);
        }
        for EndedAtOnce { ticket, outcome } in ended {
            self.dispatch_ended(ticket, DispatchResult::without_answer(outcome), out);
        }
    }

    fn carry_out(&mut self, action: Action, ended: &mut Vec<EndedAtOnce>, out: &mut Vec<Output>) {
        match action {
            Action::Dispatch {
                invocation: inv,
                worker,
                timeout: time_out,
            } => self.dispatch(inv, worker, time_out, ended, out),
            Action::Cancel {
                invocation: inv,
                dispatch,
            } => self.withdraw(inv, dispatch, ended, out),
            Action::Reject {
                invocation: inv,
                retry_after: return_after,
            } => self.throttle(inv, return_after, out),
            Action::Fail { invocation: inv } => {
                self.give_answer(inv, Answer::bare(Fate::Errored, Reason::GivenUp), out);
                self.release(inv, out);
            }
            Action::LoadOrder {
                worker,
                function: func,
                copies,
            } => self.order(worker, func, copies, out),
            Action::Unload {
                worker,
                function: func,
            } => {
                let function = self.functions.name(func);
                out.push(Output::Unload {
                    worker,
                    function,
                    term: self.plan_term.clone(),
                });
            }
            Action::Probe { worker } => out.push(Output::Probe { worker }),
            Action::Timer { token, after } => {
                self.set_timer(self.now + after, Timer::Module(token))
            }
            Action::RequestEndpointList { .. } => out.push(Output::AskList),
            Action::ReleaseFunction { function: func } => {
                self.waits.forget(func);
                self.functions.forget(func);
            }
        }
    }

    fn withdraw(
        &mut self,
        inv: InvocationIndex,
        dispatch: u32,
        ended: &mut Vec<EndedAtOnce>,
        out: &mut Vec<Output>,
    ) {
        let ticket = self.handle_of(inv).ticket(dispatch);
        let Some(sent) = self.dispatch_out(ticket) else {
            return;
        };
        let waits_for_leave = sent.leave == Leave::Asked;
        self.counts.withdrawn += 1;
        if waits_for_leave {
            return ended.push(EndedAtOnce {
                ticket,
                outcome: DispatchOutcome::NotSent,
            });
        }
        out.push(Output::Withdraw(ticket));
        ended.push(EndedAtOnce {
            ticket,
            outcome: DispatchOutcome::Cancelled,
        });
    }

    fn throttle(
        &mut self,
        inv: InvocationIndex,
        return_after: Option<Micros>,
        out: &mut Vec<Output>,
    ) {
        // A redelivered invocation may have run elsewhere, which the module cannot know.
        let elsewhere = self
            .invocations
            .get(inv)
            .is_some_and(|i| i.dispatch_until.is_some());
        let fate = if elsewhere {
            Fate::Errored
        } else {
            Fate::Throttled
        };
        let answer = Answer {
            return_after,
            ..Answer::bare(fate, Reason::GivenUp)
        };
        self.give_answer(inv, answer, out);
        self.release(inv, out);
    }
}
