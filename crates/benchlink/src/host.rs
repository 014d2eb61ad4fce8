//! Hosts the instances of one process: reads batches of lines and hands each event to its instance.

use std::collections::BTreeMap;

use cedarpulley::interface::*;

use crate::decoder::{BalancerEvent, EventKind, list_head};
use crate::error::{ProtocolError, Result};
use crate::field_reader::FieldReader;
use crate::instance::Instance;

fn unexpected(word: &str, place: &'static str) -> ProtocolError {
    ProtocolError::UnexpectedMessage {
        word: word.to_owned(),
        place,
    }
}

/// An endpoint list of which entries are still to come.
struct PartialList {
    router: u32,
    kind: EndpointListKind,
    missing: usize,
    endpoints: Vec<Endpoint>,
}

/// Reads the lines of the input, one after the other.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    /// The time of the batch that is being read.
    batch_time: Option<Micros>,
    partial_list: Option<PartialList>,
}

impl Host {
    /// Input may end between batches only.
    pub fn end_of_input(&self) -> Result<()> {
        if self.batch_time.is_some() {
            Err(ProtocolError::TruncatedBatch)
        } else {
            Ok(())
        }
    }

    /// Takes one line; true if it closed a batch, whose reply is then complete.
    pub fn handle_line(&mut self, line: &str, reply: &mut Vec<u8>) -> Result<bool> {
        let mut fields = FieldReader::new(line);
        let word = fields.text("message")?;
        if let Some(list) = self.partial_list.take() {
            if word != "m" {
                return Err(unexpected(word, "where a list entry is due"));
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

    fn instance(&mut self, router: u32) -> Result<&mut Instance> {
        self.instances
            .get_mut(&router)
            .ok_or(ProtocolError::NoSuchInstance { router })
    }

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
                let (kind, entries) = list_head(fields)?;
                let list = PartialList {
                    router,
                    kind,
                    missing: entries,
                    endpoints: Vec::new(),
                };
                self.handle_list(now, list, reply)
            }
            EventKind::ForBalancer(event) => self.forward(now, router, event, fields, reply),
        }
    }

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
        list.missing -= 1;
        self.handle_list(now, list, reply)
    }

    /// Hands a complete list to its instance, and keeps a partial one for its next entry.
    fn handle_list(&mut self, now: Micros, list: PartialList, reply: &mut Vec<u8>) -> Result<()> {
        if list.missing > 0 {
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
