//! [`Notifier`]: wakes one task from another.

use smol::channel::{Receiver, Sender, bounded};

/// Notifies a waiting task. Notifications that arrive while no task waits are merged into one, which the next waiting
/// task receives. Clones of a notifier share its state.
#[derive(Clone, Debug)]
pub struct Notifier {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Notifier {
    fn default() -> Self {
        let (sender, receiver) = bounded(1);
        Notifier { sender, receiver }
    }
}

impl Notifier {
    /// Wakes one waiting task, or the next task that waits if there is none.
    pub fn notify(&self) {
        // If the channel is full, a notification is pending already.
        let _ = self.sender.try_send(());
    }

    /// Waits for a notification and consumes it. If several tasks wait, one of them is woken.
    pub async fn notified(&self) {
        let _ = self.receiver.recv().await;
    }
}
