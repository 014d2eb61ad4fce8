//! Notifications that follow from messages of the group: to the core, and to the parts of this router that subscribed.
//! They are delivered one after the other: what a receiver causes is queued and delivered after it.

use std::rc::Rc;

use cedarpulley_replica as replica;
use cedarpulley_router::Input;
use cedarpulley_router::replication::ReplicationEvent;

use crate::peers::Peers;

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
pub(crate) enum Notification {
    Core(ReplicationEvent),
    Listeners(PeerEvent),
}

impl Peers {
    /// Queues an event for the listeners; without listeners it is dropped.
    pub(crate) fn queue_event(&self, event: PeerEvent) {
        if !self.listeners.borrow().is_empty() {
            self.notifications
                .borrow_mut()
                .push_back(Notification::Listeners(event));
        }
    }

    /// Delivers what is queued. The core and listeners may make requests from within: whatever those queue is
    /// delivered by the loop that already runs.
    pub(crate) fn notify(&self) {
        if self.is_notifying.replace(true) {
            return;
        }
        loop {
            let Some(next) = self.notifications.borrow_mut().pop_front() else {
                break;
            };
            match next {
                Notification::Core(message) => self.context.feed(Input::Replication(message)),
                Notification::Listeners(event) => {
                    let subscribed = |prefix: &str| match &event {
                        PeerEvent::Decided(key, _) | PeerEvent::Updated(key) => {
                            key.starts_with(prefix)
                        }
                        PeerEvent::BelievedMembersChanged => true,
                    };
                    let listeners = self.listeners.borrow().clone();
                    listeners
                        .iter()
                        .filter(|(p, _)| subscribed(p))
                        .for_each(|(_, listener)| listener(event.clone()));
                }
            }
        }
        self.is_notifying.set(false);
    }

    /// From now on `listener` receives events of keys with this prefix, and every change of the believed
    /// members.
    pub fn subscribe(&self, prefix: &'static str, listener: EventListener) {
        self.listeners.borrow_mut().push((prefix, listener));
    }
}
