//! Assembly of deliveries from their frames: method, content header, and the body in parts.

use amq_protocol::protocol::basic::{self, AMQPProperties};

use super::Message;
use crate::ProtocolError;

/// A delivery of which frames are still missing.
#[derive(Debug)]
struct PartialDelivery {
    tag: u64,
    redelivered: bool,
    routing_key: String,
    /// Size of the body in bytes, and the properties; `None` until the content header arrives.
    header: Option<(u64, AMQPProperties)>,
    /// Number of bytes of the body that have arrived.
    received: u64,
    /// The body so far; stays empty if the body is oversized.
    body: Vec<u8>,
}

impl PartialDelivery {
    fn is_complete(&self) -> bool {
        self.header
            .as_ref()
            .is_some_and(|(size, _)| self.received >= *size)
    }
}

/// Assembles the frames of deliveries, which arrive one delivery after the other.
#[derive(Debug)]
pub(super) struct DeliveryAssembler {
    /// Size limit of a body in bytes; larger bodies are discarded while they arrive.
    max_body: u64,
    partial: Option<PartialDelivery>,
    /// Tag of the last complete delivery, until the next one starts.
    completed: Option<u64>,
}

impl DeliveryAssembler {
    pub(super) fn new(max_body: u64) -> Self {
        DeliveryAssembler {
            max_body,
            partial: None,
            completed: None,
        }
    }

    /// Forgets all deliveries, the incomplete one included.
    pub(super) fn clear(&mut self) {
        self.partial = None;
        self.completed = None;
    }

    /// Tag of the last complete delivery; `None` once the next one has started.
    pub(super) fn completed(&self) -> Option<u64> {
        self.completed
    }

    /// Handles the method `basic.deliver`, which starts a delivery.
    pub(super) fn on_deliver(&mut self, deliver: &basic::Deliver) -> Result<(), ProtocolError> {
        if self.partial.is_some() {
            return Err(ProtocolError::unexpected("a delivery within another"));
        }
        self.completed = None;
        self.partial = Some(PartialDelivery {
            tag: deliver.delivery_tag,
            redelivered: deliver.redelivered,
            routing_key: deliver.routing_key.as_str().to_owned(),
            header: None,
            received: 0,
            body: Vec::new(),
        });
        Ok(())
    }

    /// Handles a content header frame. Returns the message if its body is empty.
    pub(super) fn on_header(
        &mut self,
        size: u64,
        properties: AMQPProperties,
    ) -> Result<Option<Message>, ProtocolError> {
        let Some(partial) = self.partial.as_mut().filter(|p| p.header.is_none()) else {
            return Err(ProtocolError::unexpected(
                "a content header without its method",
            ));
        };
        partial.header = Some((size, properties));
        Ok(self.take_complete())
    }

    /// Handles a body frame. Returns the message if it is complete.
    pub(super) fn on_body(&mut self, part: &[u8]) -> Result<Option<Message>, ProtocolError> {
        let Some((size, partial)) = self
            .partial
            .as_mut()
            .and_then(|partial| Some((partial.header.as_ref()?.0, partial)))
        else {
            return Err(match self.completed {
                Some(_) => ProtocolError::BodyTooLong,
                None => ProtocolError::unexpected("a body without its header"),
            });
        };
        partial.received += part.len() as u64;
        if partial.received > size {
            return Err(ProtocolError::BodyTooLong);
        }
        if size <= self.max_body {
            partial.body.extend_from_slice(part);
        }
        Ok(self.take_complete())
    }

    fn take_complete(&mut self) -> Option<Message> {
        let complete = self.partial.take_if(|partial| partial.is_complete())?;
        let (size, properties) = complete.header?;
        self.completed = Some(complete.tag);
        Some(Message {
            delivery_tag: complete.tag,
            redelivered: complete.redelivered,
            routing_key: complete.routing_key,
            properties,
            body: complete.body,
            oversized: size > self.max_body,
        })
    }
}
