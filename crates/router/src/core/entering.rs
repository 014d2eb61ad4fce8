//! Requests that ask for entry before their body is read, and what they count for until they have left.

use std::collections::HashMap;

use super::{Output, Router};
use crate::Delivery;
use crate::entry::{self, Entry, Knock};

/// A request that may enter and has not left yet.
struct EnteredRequest {
    account: u32,
    /// Size of its body while that is still to come, in bytes; 0 once it is here.
    pending_bytes: u64,
}

/// The requests that may enter and have not left yet.
#[derive(Default)]
pub(super) struct EnteredRequests {
    requests: HashMap<Delivery, EnteredRequest>,
    /// Sum of the bodies that are still to come, in bytes.
    pending_bytes: u64,
}

impl EnteredRequests {
    fn enter(&mut self, delivery: Delivery, request: EnteredRequest) {
        self.pending_bytes += request.pending_bytes;
        self.requests.insert(delivery, request);
    }

    /// The request's body is here. Whether this delivery is such a request at all.
    pub(super) fn body_arrived(&mut self, delivery: Delivery) -> bool {
        let Some(request) = self.requests.get_mut(&delivery) else {
            return false;
        };
        self.pending_bytes -= std::mem::take(&mut request.pending_bytes);
        true
    }

    fn leave(&mut self, delivery: Delivery) -> Option<EnteredRequest> {
        let request = self.requests.remove(&delivery)?;
        self.pending_bytes -= request.pending_bytes;
        Some(request)
    }
}

impl Router {
    /// Decides whether a request may enter.
    pub(super) fn entry_requested(
        &mut self,
        delivery: Delivery,
        knock: &Knock,
        out: &mut Vec<Output>,
    ) {
        let trigger = &self.triggers[knock.trigger as usize];
        self.admission.came(self.now, delivery.front, knock.account);
        let pending_bytes = self.entered.pending_bytes;
        let fill = self
            .admission
            .fill(self.now, delivery.front, knock.account, pending_bytes);
        let worth = entry::worth(trigger, knock.waited, fill.usual);
        let entry = self.door.decide(self.now, knock, worth, &fill);
        match entry {
            Entry::Enter => {
                self.admission
                    .entered(self.now, delivery.front, knock.account);
                let request = EnteredRequest {
                    account: knock.account,
                    pending_bytes: knock.bytes,
                };
                self.entered.enter(delivery, request);
            }
            Entry::TurnedAway { why, .. } => {
                *self
                    .counts
                    .turned_away
                    .entry((delivery.front, why))
                    .or_default() += 1;
                for watch in &mut self.watch {
                    watch.turned_away(self.now, delivery.front, knock.trigger, knock.account, why);
                }
            }
        }
        out.push(Output::Entry { delivery, entry });
    }

    /// The request has left, answered or not, and no longer counts against the limits.
    pub(super) fn request_left(&mut self, delivery: Delivery) {
        if let Some(request) = self.entered.leave(delivery) {
            self.admission.left(delivery.front, request.account);
        }
    }
}
