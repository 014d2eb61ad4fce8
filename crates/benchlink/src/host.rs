//! Hosts the instances of the process: parses batches of lines and hands each event to its instance.

use std::collections::BTreeMap;

use cedarpulley::interface::*;

use crate::decoder::{BalancerEvent, EventKind, decode_list_header};
use crate::error::{ProtocolError, Result};
use crate::field_reader::FieldReader;
use crate::instance::Instance;

/// The error for a message that is not allowed at this place.
fn unexpected(word: &str, place: &'static str) -> ProtocolError {
    ProtocolError::UnexpectedMessage {
        word: word.to_owned(),
        place,
    }
}

/// An endpoint list whose entries have not all been read.
struct PartialList {
    router: u32,
    kind: EndpointListKind,
    /// Number of entries that have not been read.
    entries_left: usize,
    endpoints: Vec<Endpoint>,
}

/// Processes the lines of the input, one after the other.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    /// The time of the batch that is being read; `None` between batches.
    batch_time: Option<Micros>,
    partial_list: Option<PartialList>,
}

impl Host {
    /// Checks that the input ends between batches.
    pub fn end_of_input(&self) -> Result<()> {
        if self.batch_time.is_some() {
            Err(ProtocolError::TruncatedBatch)
        } else {
            Ok(())
        }
    }

    /// Processes one line; true if the line ended a batch, so that `reply` is complete.
    pub fn handle_line(&mut self, line: &str, reply: &mut Vec<u8>) -> Result<bool> {
        let mut fields = FieldReader::new(line);
        let word = fields.text("message")?;
        if let Some(list) = self.partial_list.take() {
            if word != "m" {
                return Err(unexpected(word, "where a list entry is expected"));
            }
            self.handle_list_entry(list, fields, reply)?;
            return Ok(false);
        }
        if word == "clock" {
            if self.batch_time.is_some() {
                return Err(unexpected(word, "within a batch"));
            }
            self.batch_time = Some(fields.time("clock")?);
            fields.finish()?;
            return Ok(false);
        }
        let Some(now) = self.batch_time else {
            return Err(unexpected(word, "outside a batch"));
        };
        if word == "commit" {
            fields.finish()?;
            self.batch_time = None;
            reply.extend_from_slice(b"eor\n");
            return Ok(true);
        }
        self.handle_event(now, EventKind::from_word(word)?, fields, reply)?;
        Ok(false)
    }

    /// The running instance with this id.
    fn instance(&mut self, router: u32) -> Result<&mut Instance> {
        self.instances
            .get_mut(&router)
            .ok_or(ProtocolError::NoSuchInstance { router })
    }

    /// Processes an event within a batch.
    fn handle_event(
        &mut self,
        now: Micros,
        kind: EventKind,
        mut fields: FieldReader,
        reply: &mut Vec<u8>,
    ) -> Result<()> {
        let router: u32 = fields.required("routerId")?;
        match kind {
            EventKind::StartInstance => {
                let seed = fields.required("seed")?;
                let instance = Instance::start(router, seed, &fields.rest())?;
                self.instances.insert(router, instance);
                Ok(())
            }
            EventKind::StopInstance => {
                fields.finish()?;
                self.instances
                    .remove(&router)
                    .map(|_| ())
                    .ok_or(ProtocolError::NoSuchInstance { router })
            }
            EventKind::EndpointList => {
                self.instance(router)?;
                let (kind, entries) = decode_list_header(fields)?;
                let list = PartialList {
                    router,
                    kind,
                    entries_left: entries,
                    endpoints: Vec::new(),
                };
                self.handle_list(now, list, reply)
            }
            EventKind::ForBalancer(event) => self.forward(now, router, event, fields, reply),
        }
    }

    /// Decodes an event and hands it to the balancer of its instance.
    fn forward(
        &mut self,
        now: Micros,
        router: u32,
        event: BalancerEvent,
        fields: FieldReader,
        reply: &mut Vec<u8>,
    ) -> Result<()> {
        let instance = self.instance(router)?;
        match instance.decode(event, fields)? {
            Some(event) => instance.handle(now, &event, reply),
            None => Ok(()),
        }
    }

    /// Adds an entry to the endpoint list that is being read.
    fn handle_list_entry(
        &mut self,
        mut list: PartialList,
        fields: FieldReader,
        reply: &mut Vec<u8>,
    ) -> Result<()> {
        let Some(now) = self.batch_time else {
            return Err(unexpected("m", "outside a list"));
        };
        let endpoint = self.instance(list.router)?.decode_endpoint(fields)?;
        list.endpoints.push(endpoint);
        list.entries_left -= 1;
        self.handle_list(now, list, reply)
    }

    /// Hands the list to its instance if it is complete; otherwise keeps it until its next entry.
    fn handle_list(&mut self, now: Micros, list: PartialList, reply: &mut Vec<u8>) -> Result<()> {
        if list.entries_left > 0 {
            self.partial_list = Some(list);
            return Ok(());
        }
        let event = Event::EndpointList {
            kind: list.kind,
            endpoints: &list.endpoints,
        };
        self.instance(list.router)?.handle(now, &event, reply)
    }
}
