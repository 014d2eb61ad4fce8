//! Notifications about the group, for the router core and for the components of this router that subscribed to them.
//! They are delivered one at a time: a notification that a receiver causes is queued and delivered later.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use cedarpulley_replica as replica;
use cedarpulley_router::Input;
use cedarpulley_router::replication::ReplicationEvent;

use crate::context::GatewayContext;

/// An event of the group, for the other components of this router.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent {
    /// A proposal of this router for this key has ended with this outcome.
    Decided(replica::Key, replica::Outcome),
    /// Another member published a note or a choice under this key.
    Updated(replica::Key),
    /// The set of members that are considered alive has changed.
    AliveMembersChanged,
}

/// A function that is called for each event of its subscription.
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
    /// The listeners, each with the key prefix of its subscription.
    listeners: RefCell<Vec<(&'static str, EventListener)>>,
    /// Whether [`NotificationQueue::deliver`] is running.
    is_delivering: Cell<bool>,
}

impl NotificationQueue {
    /// Subscribes `listener` to events of keys with this prefix, and to every change of the members that are considered
    /// alive.
    pub(crate) fn subscribe(&self, prefix: &'static str, listener: EventListener) {
        self.listeners.borrow_mut().push((prefix, listener));
    }

    /// Queues a notification for the router core.
    pub(crate) fn push_for_core(&self, notification: ReplicationEvent) {
        let notification = Notification::Core(notification);
        self.waiting.borrow_mut().push_back(notification);
    }

    /// Queues an event for the listeners; drops it if there are no listeners.
    pub(crate) fn push_event(&self, event: PeerEvent) {
        if !self.listeners.borrow().is_empty() {
            let notification = Notification::Listeners(event);
            self.waiting.borrow_mut().push_back(notification);
        }
    }

    /// Delivers all queued notifications. The core and the listeners may send requests to the group while they are
    /// called; the notifications that these requests queue are delivered by the loop that is already running.
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

    /// Calls every listener whose subscription includes the event.
    fn call_listeners(&self, event: &PeerEvent) {
        let is_subscribed = |prefix: &str| match event {
            PeerEvent::Decided(key, _) | PeerEvent::Updated(key) => key.starts_with(prefix),
            PeerEvent::AliveMembersChanged => true,
        };
        let listeners = self.listeners.borrow().clone();
        listeners
            .iter()
            .filter(|(prefix, _)| is_subscribed(prefix))
            .for_each(|(_, listener)| listener(event.clone()));
    }
}
