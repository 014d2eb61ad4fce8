//! Decodes the events of the protocol, which names things differently than the balancer.

use cedarpulley::interface::*;
use cedarpulley_startup::micros_from_nanos;

use crate::codec::{self, unknown_word};
use crate::error::Result;
use crate::field_reader::FieldReader;
use crate::instance::Instance;

/// Mask in an invocation's field `bits`: the field `costGuess` is valid.
const HAS_COST_HINT: u32 = 1;
/// Mask in an invocation's field `bits`: the client has marked the invocation as a retry.
const IS_CLIENT_RETRY: u32 = 2;

/// The kinds of events that are decoded for the balancer of a running instance.
#[derive(Clone, Copy)]
pub enum BalancerEvent {
    Invocation,
    ClientLeft,
    AnswerStarted,
    /// A message from another router, which is checked and ignored.
    PeerMessage,
    Timer,
    OrderEnded,
    DispatchEnded,
    ProbeEnded,
}

/// The kinds of lines within a batch.
#[derive(Clone, Copy)]
pub enum EventKind {
    StartInstance,
    StopInstance,
    /// The header of an endpoint list; each entry follows on a line of its own.
    EndpointList,
    ForBalancer(BalancerEvent),
}

impl EventKind {
    /// Returns the kind for the first word of a line.
    pub fn from_word(word: &str) -> Result<Self> {
        Ok(match word {
            "born" => EventKind::StartInstance,
            "power_off" => EventKind::StopInstance,
            "sync" => EventKind::EndpointList,
            "query" => EventKind::ForBalancer(BalancerEvent::Invocation),
            "vanished" => EventKind::ForBalancer(BalancerEvent::ClientLeft),
            "under_way" => EventKind::ForBalancer(BalancerEvent::AnswerStarted),
            "datagram" => EventKind::ForBalancer(BalancerEvent::PeerMessage),
            "bell" => EventKind::ForBalancer(BalancerEvent::Timer),
            "loaded" => EventKind::ForBalancer(BalancerEvent::OrderEnded),
            "response" => EventKind::ForBalancer(BalancerEvent::DispatchEnded),
            "echo" => EventKind::ForBalancer(BalancerEvent::ProbeEnded),
            _ => return Err(unknown_word("event", word)),
        })
    }
}

/// Decodes the header of an endpoint list: its kind and the number of its entries.
pub fn decode_list_header(mut fields: FieldReader) -> Result<(EndpointListKind, usize)> {
    let _epoch: Option<i64> = fields.optional("epoch")?;
    let kind = codec::list_kind(fields.text("mode")?)?;
    let entries = fields.optional("membersList")?.unwrap_or(0);
    fields.finish()?;
    Ok((kind, entries))
}

impl Instance {
    /// Decodes the fields after the instance's id. Returns `None` if the balancer need not be notified.
    pub fn decode(
        &mut self,
        event: BalancerEvent,
        fields: FieldReader,
    ) -> Result<Option<Event<'static>>> {
        match event {
            BalancerEvent::Invocation => self.decode_invocation(fields).map(Some),
            BalancerEvent::ClientLeft => self.decode_client_left(fields),
            BalancerEvent::AnswerStarted => self.decode_answer_started(fields),
            BalancerEvent::PeerMessage => check_peer_message(fields).map(|()| None),
            BalancerEvent::Timer => decode_timer(fields).map(Some),
            BalancerEvent::OrderEnded => self.decode_order_ended(fields),
            BalancerEvent::DispatchEnded => self.decode_dispatch_ended(fields),
            BalancerEvent::ProbeEnded => self.decode_probe_ended(fields).map(Some),
        }
    }

    fn decode_invocation(&mut self, mut fields: FieldReader) -> Result<Event<'static>> {
        let id = fields.text("requestId")?;
        let cost_hint: Option<i64> = fields.optional("costGuess")?;
        let load_ms: Option<f64> = fields.optional("loadTimeMs")?;
        let account = fields.optional("realm")?.unwrap_or(0);
        let copy_mb = fields.optional("residentMb")?.unwrap_or(0.0);
        let client_timeout_in = fields.time("expiresIn")?;
        let bits: u32 = fields.optional("bits")?.unwrap_or(0);
        let name = fields.text("fn")?;
        let trigger: u32 = fields.required("category")?;
        let lanes: Option<f64> = fields.optional("atOnce")?;
        fields.finish()?;
        if trigger >= self.trigger_count() {
            return Err(unknown_word("category", &trigger.to_string()));
        }
        let invocation = self.new_invocation(id)?;
        let (function, fingerprint) = self.intern_function(name);
        Ok(Event::Invocation(Arrival {
            invocation,
            trigger,
            account,
            function,
            fingerprint,
            cost_hint: cost_hint
                .filter(|_| bits & HAS_COST_HINT != 0)
                .map(micros_from_nanos),
            load_hint: load_ms.map(|ms| (ms * 1e3) as Micros),
            copy_mb,
            lanes: lanes.unwrap_or(1.0).max(1.0) as u32,
            client_timeout_in,
            waited: 0,
            repeat: bits & IS_CLIENT_RETRY != 0,
            preferred_worker: None,
        }))
    }

    fn decode_client_left(&self, mut fields: FieldReader) -> Result<Option<Event<'static>>> {
        let id = fields.text("requestId")?;
        fields.finish()?;
        let invocation = self.find_invocation(id);
        Ok(invocation.map(|invocation| Event::ClientLeft { invocation }))
    }

    fn decode_answer_started(&self, mut fields: FieldReader) -> Result<Option<Event<'static>>> {
        let id = fields.text("requestId")?;
        let dispatch = fields.required("n")?;
        let worker = self.known_worker(fields.text("worker")?)?;
        fields.time("lag")?;
        fields.finish()?;
        let invocation = self.find_invocation(id);
        Ok(invocation.map(|invocation| Event::AnswerStarted {
            invocation,
            dispatch,
            worker,
        }))
    }

    fn decode_order_ended(&self, mut fields: FieldReader) -> Result<Option<Event<'static>>> {
        let name = fields.text("fn")?;
        let result = codec::load_order_result(fields.text("result")?)?;
        let took = fields.time("lag")?;
        let copies = fields.optional("unitsHeld")?.unwrap_or(0);
        let worker = self.known_worker(fields.text("worker")?)?;
        fields.finish()?;
        let function = self.find_function(name);
        Ok(function.map(|function| Event::OrderEnded {
            worker,
            function,
            result,
            took,
            copies,
        }))
    }

    fn decode_dispatch_ended(&self, mut fields: FieldReader) -> Result<Option<Event<'static>>> {
        let id = fields.text("requestId")?;
        let answered = fields.flag("complete")?;
        let took = fields.time("lag")?;
        let dispatch = fields.required("n")?;
        let worker = self.known_worker(fields.text("worker")?)?;
        let remark = fields.optional("remark")?;
        let outcome = codec::dispatch_outcome(fields.text("result")?)?;
        let report = codec::load_report(fields.text("serverStats")?, self.report_fields())?;
        fields.finish()?;
        let (copy_status, function_load) =
            codec::remark(remark, outcome, self.reports_function_load());
        let invocation = self.find_invocation(id);
        Ok(invocation.map(|invocation| {
            Event::DispatchEnded(DispatchEnded {
                invocation,
                dispatch,
                worker,
                outcome,
                took,
                answered,
                copy_status,
                function_load,
                report,
            })
        }))
    }

    fn decode_probe_ended(&self, mut fields: FieldReader) -> Result<Event<'static>> {
        let worker = self.known_worker(fields.text("worker")?)?;
        let outcome = codec::dispatch_outcome(fields.text("result")?)?;
        let took = fields.time("lag")?;
        let report = codec::load_report(fields.text("serverStats")?, self.report_fields())?;
        fields.finish()?;
        Ok(Event::ProbeEnded {
            worker,
            outcome,
            took,
            report,
        })
    }

    /// Decodes an entry of an endpoint list.
    pub fn decode_endpoint(&mut self, mut fields: FieldReader) -> Result<Endpoint> {
        let (worker, fingerprint) = self.list_worker(fields.text("worker")?);
        let endpoint = Endpoint {
            worker,
            fingerprint,
            zone: fields.optional("dc")?.unwrap_or(0),
            machine_kind: fields.optional("model")?.unwrap_or(0),
            cell: fields.optional("group")?.unwrap_or(0),
            state: codec::endpoint_state(fields.text("readiness")?)?,
            weight: fields.optional("powerHint")?.unwrap_or(1.0),
            started_at: fields
                .optional::<i64>("startTime")?
                .filter(|nanos| *nanos != 0)
                .map(micros_from_nanos),
        };
        fields.finish()?;
        Ok(endpoint)
    }
}

fn decode_timer(mut fields: FieldReader) -> Result<Event<'static>> {
    let token = fields.required("token")?;
    fields.finish()?;
    Ok(Event::Timer { token })
}

/// Checks the fields of a message from another router. The message is otherwise ignored, as the balancer exchanges no
/// messages with other routers.
fn check_peer_message(mut fields: FieldReader) -> Result<()> {
    fields.required::<u32>("srcPeer")?;
    fields.text("payload")?;
    fields.finish()
}
