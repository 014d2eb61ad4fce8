//! Wakes one task from another.

use smol::channel::{Receiver, Sender, bounded};

/// Notifies a waiting task. Notifications that nobody waited for yet are merged into one. Clones share it.
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
    /// Wakes the task that waits, or else the next one that does.
    pub fn notify(&self) {
        // A full channel holds a notification that nobody has taken yet.
        let _ = self.sender.try_send(());
    }

    /// Waits for a notification and takes it: of several waiting tasks one is woken.
    pub async fn notified(&self) {
        let _ = self.receiver.recv().await;
    }
}
