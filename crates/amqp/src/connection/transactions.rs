//! Answers and acknowledgements, which are collected and sent in transactions. At most one transaction is in flight;
//! answers that are collected in the meantime are part of the next one.

use amq_protocol::protocol::basic::AMQPProperties;

use super::{CHANNEL, methods};
use crate::frames::{write_message, write_method};

/// The answers and acknowledgements that are not committed.
#[derive(Debug, Default)]
pub(super) struct Transactions {
    /// Encoded frames of the next transaction.
    collected_frames: Vec<u8>,
    /// Delivery tags that the next transaction acknowledges or rejects.
    collected_tags: Vec<u64>,
    /// Delivery tags of the transaction in flight.
    in_flight_tags: Vec<u64>,
}

impl Transactions {
    /// Collects an answer that is to be published to the queue `reply_to`. The caller calls [`Self::acknowledge`] next,
    /// so that the answer and the acknowledgement are in the same transaction.
    pub(super) fn publish(
        &mut self,
        reply_to: &str,
        properties: AMQPProperties,
        body: &[u8],
        frame_max: u32,
    ) {
        let publish = methods::publish(reply_to);
        write_message(
            &mut self.collected_frames,
            CHANNEL,
            publish,
            properties,
            body,
            frame_max,
        );
    }

    pub(super) fn acknowledge(&mut self, tag: u64) {
        write_method(
            &mut self.collected_frames,
            CHANNEL,
            methods::acknowledge(tag),
        );
        self.collected_tags.push(tag);
    }

    pub(super) fn reject(&mut self, tag: u64) {
        write_method(&mut self.collected_frames, CHANNEL, methods::reject(tag));
        self.collected_tags.push(tag);
    }

    /// Appends the collected frames to `out`; they become the transaction in flight. Returns false, without effect, if
    /// nothing has been collected or a transaction is already in flight.
    pub(super) fn send(&mut self, out: &mut Vec<u8>) -> bool {
        if !self.in_flight_tags.is_empty() || self.collected_tags.is_empty() {
            return false;
        }
        out.append(&mut self.collected_frames);
        self.in_flight_tags = std::mem::take(&mut self.collected_tags);
        true
    }

    pub(super) fn is_in_flight(&self) -> bool {
        !self.in_flight_tags.is_empty()
    }

    /// Ends the transaction in flight, which the broker has committed. Returns its delivery tags.
    pub(super) fn on_committed(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.in_flight_tags)
    }

    /// Discards everything that is not committed, as the channel is lost.
    pub(super) fn clear(&mut self) {
        self.collected_frames.clear();
        self.collected_tags.clear();
        self.in_flight_tags.clear();
    }

    /// Returns the number of deliveries whose answers are not committed.
    pub(super) fn uncommitted(&self) -> usize {
        self.collected_tags.len() + self.in_flight_tags.len()
    }

    pub(super) fn collected_bytes(&self) -> usize {
        self.collected_frames.len()
    }
}
