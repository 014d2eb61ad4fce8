//! Answers and acknowledgements, gathered and sent in transactions: at most one is in flight, and what is gathered
//! meanwhile goes out with the next.

use amq_protocol::protocol::basic::AMQPProperties;

use super::{CHANNEL, methods};
use crate::frames::{write_message, write_method};

/// The answers that are not committed.
#[derive(Debug, Default)]
pub(super) struct Transactions {
    /// Frames of the next transaction.
    gathered: Vec<u8>,
    /// Delivery tags that these settle.
    gathered_tags: Vec<u64>,
    /// Delivery tags of the transaction in flight.
    in_flight_tags: Vec<u64>,
}

impl Transactions {
    /// Publishes an answer to the queue `reply_to`, together with what [`Self::acknowledge`] adds next.
    pub(super) fn publish(
        &mut self,
        reply_to: &str,
        properties: AMQPProperties,
        body: &[u8],
        frame_max: u32,
    ) {
        let publish = methods::publish(reply_to);
        write_message(
            &mut self.gathered,
            CHANNEL,
            publish,
            properties,
            body,
            frame_max,
        );
    }

    pub(super) fn acknowledge(&mut self, tag: u64) {
        write_method(&mut self.gathered, CHANNEL, methods::acknowledge(tag));
        self.gathered_tags.push(tag);
    }

    pub(super) fn reject(&mut self, tag: u64) {
        write_method(&mut self.gathered, CHANNEL, methods::reject(tag));
        self.gathered_tags.push(tag);
    }

    /// Appends what has been gathered to `out`, as the transaction in flight. False if nothing has been gathered or
    /// a transaction is in flight already.
    pub(super) fn send(&mut self, out: &mut Vec<u8>) -> bool {
        if !self.in_flight_tags.is_empty() || self.gathered_tags.is_empty() {
            return false;
        }
        out.append(&mut self.gathered);
        self.in_flight_tags = std::mem::take(&mut self.gathered_tags);
        true
    }

    pub(super) fn is_in_flight(&self) -> bool {
        !self.in_flight_tags.is_empty()
    }

    /// The transaction in flight is committed. Returns its delivery tags.
    pub(super) fn on_committed(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.in_flight_tags)
    }

    /// The channel is lost, and with it whatever was not committed.
    pub(super) fn clear(&mut self) {
        self.gathered.clear();
        self.gathered_tags.clear();
        self.in_flight_tags.clear();
    }

    /// Number of deliveries whose answers are not committed.
    pub(super) fn uncommitted(&self) -> usize {
        self.gathered_tags.len() + self.in_flight_tags.len()
    }

    pub(super) fn gathered_bytes(&self) -> usize {
        self.gathered.len()
    }
}
