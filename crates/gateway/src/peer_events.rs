//! Notifications that follow from messages of the group: to the core, and to the parts of this router that subscribed.
//! They are delivered one after the other: what a receiver causes is queued and delivered after it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use cedarpulley_replica as replica;
use cedarpulley_router::Input;
use cedarpulley_router::replication::ReplicationEvent;

use crate::context::GatewayContext;

/// What other parts of this router can learn about the group.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent {
    /// The outcome of a proposal of this router.
    Decided(replica::Key, replica::Outcome),
    /// Another member published a note or a choice under this key.
    Updated(replica::Key),
    /// The set of members believed to be alive has changed.
    BelievedMembersChanged,
}

/// Called for each event that it subscribed to.
pub type EventListener = Rc<dyn Fn(PeerEvent)>;

/// A queued notification.
enum Notification {
    Core(ReplicationEvent),
    Listeners(PeerEvent),
}

/// Notifications that wait to be delivered to the core and to listeners, in order.
#[derive(Default)]
pub(crate) struct NotificationQueue {
    waiting: RefCell<VecDeque<Notification>>,
    /// Listeners with the key prefix that each subscribed to.
    listeners: RefCell<Vec<(&'static str, EventListener)>>,
    is_delivering: Cell<bool>,
}

impl NotificationQueue {
    /// From now on `listener` receives events of keys with this prefix, and every change of the believed
    /// members.
    pub(crate) fn subscribe(&self, prefix: &'static str, listener: EventListener) {
        self.listeners.borrow_mut().push((prefix, listener));
    }

    /// Queues a notification for the core.
    pub(crate) fn push_for_core(&self, notification: ReplicationEvent) {
        let notification = Notification::Core(notification);
        self.waiting.borrow_mut().push_back(notification);
    }

    /// Queues an event for the listeners; without listeners it is dropped.
    pub(crate) fn push_event(&self, event: PeerEvent) {
        if !self.listeners.borrow().is_empty() {
            let notification = Notification::Listeners(event);
            self.waiting.borrow_mut().push_back(notification);
        }
    }

    /// Delivers what is queued. The core and listeners may make requests from within: whatever those queue is
    /// delivered by the loop that already runs.
    pub(crate) fn deliver(&self, context: &GatewayContext) {
        if self.is_delivering.replace(true) {
            return;
        }
        loop {
            let Some(next) = self.waiting.borrow_mut().pop_front() else {
                break;
            };
            match next {
                Notification::Core(notification) => context.feed(Input::Replication(notification)),
                Notification::Listeners(event) => self.call_listeners(&event),
            }
        }
        self.is_delivering.set(false);
    }

    fn call_listeners(&self, event: &PeerEvent) {
        let is_subscribed = |prefix: &str| match event {
            PeerEvent::Decided(key, _) | PeerEvent::Updated(key) => key.starts_with(prefix),
            PeerEvent::BelievedMembersChanged => true,
        };
        let listeners = self.listeners.borrow().clone();
        listeners
            .iter()
            .filter(|(prefix, _)| is_subscribed(prefix))
            .for_each(|(_, listener)| listener(event.clone()));
    }
}
