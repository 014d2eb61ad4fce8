//! The observers of a router, notified in the order in which they were added.

use cedarpulley::interface::{Action, Event, InvocationIndex, Micros};

use super::invocation::AcceptedRequest;
use crate::FrontIndex;
use crate::admission_control::RejectionReason;
use crate::observer::{Names, RouterObserver, SentAnswer, WorkerUsage};

/// All observers of one router.
#[derive(Default)]
pub(crate) struct Observers {
    observers: Vec<Box<dyn RouterObserver>>,
}

impl Observers {
    pub(crate) fn add(&mut self, observer: Box<dyn RouterObserver>) {
        self.observers.push(observer);
    }

    pub(crate) fn decided(&mut self, now: Micros, event: &Event, actions: &[Action], names: Names) {
        for observer in &mut self.observers {
            observer.decided(now, event, actions, names);
        }
    }

    pub(crate) fn accepted(
        &mut self,
        now: Micros,
        index: InvocationIndex,
        request: &AcceptedRequest,
    ) {
        let name = request.name.as_deref();
        for observer in &mut self.observers {
            observer.accepted(now, index, request.front, name, request.redelivered);
        }
    }

    pub(crate) fn answered(&mut self, now: Micros, answer: SentAnswer) {
        for observer in &mut self.observers {
            observer.answered(now, answer);
        }
    }

    pub(crate) fn rejected(
        &mut self,
        now: Micros,
        front: FrontIndex,
        trigger: u32,
        account: u32,
        reason: RejectionReason,
    ) {
        for observer in &mut self.observers {
            observer.rejected(now, front, trigger, account, reason);
        }
    }

    pub(crate) fn used(&mut self, now: Micros, usage: WorkerUsage) {
        for observer in &mut self.observers {
            observer.used(now, usage);
        }
    }
}
