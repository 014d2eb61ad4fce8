//! Deliveries, assembled from their frames: method, header, and body in parts.

use amq_protocol::protocol::basic::{self, AMQPProperties};

use super::Message;
use crate::ProtocolError;

/// A delivery of which frames are still missing.
#[derive(Debug)]
struct PartialDelivery {
    tag: u64,
    redelivered: bool,
    routing_key: String,
    /// Size of the body, and the properties.
    header: Option<(u64, AMQPProperties)>,
    /// Bytes of the body that have arrived.
    received: u64,
    body: Vec<u8>,
}

impl PartialDelivery {
    fn is_complete(&self) -> bool {
        self.header
            .as_ref()
            .is_some_and(|(size, _)| self.received >= *size)
    }
}

/// Puts the frames of one delivery after the other together.
#[derive(Debug)]
pub(super) struct DeliveryAssembler {
    /// Larger bodies are discarded while they arrive.
    max_body: u64,
    partial: Option<PartialDelivery>,
}

impl DeliveryAssembler {
    pub(super) fn new(max_body: u64) -> Self {
        DeliveryAssembler {
            max_body,
            partial: None,
        }
    }

    /// Forgets the delivery that was arriving.
    pub(super) fn clear(&mut self) {
        self.partial = None;
    }

    /// The method that begins a delivery.
    pub(super) fn on_deliver(&mut self, deliver: &basic::Deliver) -> Result<(), ProtocolError> {
        if self.partial.is_some() {
            return Err(ProtocolError::unexpected("a delivery within another"));
        }
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

    /// The header frame. Returns the message if its body is empty.
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

    /// A body frame. Returns the message if this was its last part.
    pub(super) fn on_body(&mut self, part: &[u8]) -> Result<Option<Message>, ProtocolError> {
        let Some((size, partial)) = self
            .partial
            .as_mut()
            .and_then(|partial| Some((partial.header.as_ref()?.0, partial)))
        else {
            return Err(ProtocolError::unexpected("a body without its header"));
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
