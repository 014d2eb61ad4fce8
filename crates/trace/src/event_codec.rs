//! Encodes events. Tags and the order of fields belong to the trace format: a new kind of event gets a new tag, and
//! tags are never reused.

use cedarpulley::interface::*;

use crate::codec::{DecodeError, Decoder, Encoder};
use crate::records::RecordedEvent;

/// Declares a table with the values of an enumeration in the order of their tags, and a match that fails to compile
/// when a new value of the enumeration is missing in the table: a value without a tag would make its block unreadable.
macro_rules! tag_table {
    ($table:ident: $enumeration:ident, $($value:ident),+) => {
        pub(crate) const $table: &[$enumeration] = &[$($enumeration::$value),+];
        const _: fn($enumeration) = |value| match value {
            $($enumeration::$value => {})+
        };
    };
}
pub(crate) use tag_table;

tag_table!(OUTCOMES: DispatchOutcome, Succeeded, Errored, Rejected, TimedOut, Unreachable, ConnectionLost, Cancelled, NotSent, NotLoaded, NoConnection);
tag_table!(COPY_STATUSES: CopyStatus, Unreported, Warm, LoadStarted, LoadAwaited, LoadFailed);
tag_table!(ORDER_RESULTS: LoadOrderResult, Loaded, NoCapacity, LoadFailed, ConnectionLost, Unreachable, TimedOut, NotSent);
tag_table!(LIST_KINDS: EndpointListKind, Changes, Complete, Cached, Failed);
tag_table!(ENDPOINT_STATES: EndpointState, InService, Draining, Gone);

const ENDPOINT_LIST: u8 = 0;
const INVOCATION: u8 = 1;
const CLIENT_LEFT: u8 = 2;
const ANSWER_STARTED: u8 = 3;
const DISPATCH_ENDED: u8 = 4;
const ORDER_ENDED: u8 = 5;
const PROBE_ENDED: u8 = 6;
const TIMER_FIRED: u8 = 7;
/// An invocation with a preferred worker; an invocation without one keeps the tag and bytes of format 1.
const INVOCATION_WITH_PREFERENCE: u8 = 8;
const COPY_WANTED: u8 = 9;
const COPIES_REPORTED: u8 = 10;
const ENDPOINT_LIST_LEASE: u8 = 11;
const DRAIN_LEASE: u8 = 12;

/// Writes the position of a value in its table. New values are only appended to a table.
pub(crate) fn encode_tag<T: PartialEq>(out: &mut Encoder, table: &[T], value: &T) {
    let position = table.iter().position(|entry| entry == value);
    out.byte(position.unwrap_or(usize::from(u8::MAX)) as u8);
}

/// Reads a value by its position in the table.
pub(crate) fn decode_tag<T: Copy>(input: &mut Decoder, table: &[T]) -> Result<T, DecodeError> {
    table
        .get(usize::from(input.byte()?))
        .copied()
        .ok_or(DecodeError::UnknownValue)
}

/// Writes indices as varints.
pub(crate) fn encode_indices<const N: usize>(out: &mut Encoder, indices: [u32; N]) {
    indices
        .into_iter()
        .for_each(|index| out.unsigned(index.into()));
}

/// Writes a tag, then indices.
pub(crate) fn encode_tagged<const N: usize>(out: &mut Encoder, tag: u8, indices: [u32; N]) {
    out.byte(tag);
    encode_indices(out, indices);
}

/// Writes a byte with a bit for each field that is present, then these fields.
fn encode_report(out: &mut Encoder, report: &LoadReport) {
    let fields = [
        report.in_flight,
        report.queued,
        report.utilization,
        report.loads_in_progress,
        report.memory_fraction,
    ];
    let present = fields.iter().enumerate();
    out.byte(
        present
            .map(|(n, field)| u8::from(field.is_some()) << n)
            .sum(),
    );
    fields
        .into_iter()
        .flatten()
        .for_each(|value| out.float(value));
}

fn decode_report(input: &mut Decoder) -> Result<LoadReport, DecodeError> {
    let present = input.byte()?;
    let mut field = |n: u8| {
        if present >> n & 1 == 1 {
            input.float().map(Some)
        } else {
            Ok(None)
        }
    };
    Ok(LoadReport {
        in_flight: field(0)?,
        queued: field(1)?,
        utilization: field(2)?,
        loads_in_progress: field(3)?,
        memory_fraction: field(4)?,
    })
}

fn encode_endpoint(out: &mut Encoder, endpoint: &Endpoint) {
    out.unsigned(endpoint.worker.into());
    out.unsigned(endpoint.fingerprint);
    encode_indices(out, [endpoint.zone, endpoint.machine_kind, endpoint.cell]);
    encode_tag(out, ENDPOINT_STATES, &endpoint.state);
    out.float(endpoint.weight);
    out.optional(endpoint.started_at, Encoder::signed);
}

fn decode_endpoint(input: &mut Decoder) -> Result<Endpoint, DecodeError> {
    Ok(Endpoint {
        worker: input.u32()?,
        fingerprint: input.unsigned()?,
        zone: input.u32()?,
        machine_kind: input.u32()?,
        cell: input.u32()?,
        state: decode_tag(input, ENDPOINT_STATES)?,
        weight: input.float()?,
        started_at: input.optional(Decoder::signed)?,
    })
}

fn encode_arrival(out: &mut Encoder, arrival: &Arrival) {
    out.byte(match arrival.preferred_worker {
        Some(_) => INVOCATION_WITH_PREFERENCE,
        None => INVOCATION,
    });
    encode_indices(
        out,
        [
            arrival.invocation,
            arrival.trigger,
            arrival.account,
            arrival.function,
        ],
    );
    out.optional(arrival.cost_hint, Encoder::signed);
    out.optional(arrival.load_hint, Encoder::signed);
    out.float(arrival.copy_mb);
    out.unsigned(arrival.lanes.into());
    out.signed(arrival.client_timeout_in);
    out.signed(arrival.waited);
    out.byte(u8::from(arrival.repeat));
    if let Some(worker) = arrival.preferred_worker {
        out.unsigned(worker.into());
    }
}

/// Reads an invocation without its preferred worker, which follows if the tag is [`INVOCATION_WITH_PREFERENCE`].
fn decode_arrival(
    input: &mut Decoder,
    fingerprint: &dyn Fn(u32) -> u64,
) -> Result<Arrival, DecodeError> {
    let (invocation, trigger, account, function) =
        (input.u32()?, input.u32()?, input.u32()?, input.u32()?);
    Ok(Arrival {
        invocation,
        trigger,
        account,
        function,
        fingerprint: fingerprint(function),
        cost_hint: input.optional(Decoder::signed)?,
        load_hint: input.optional(Decoder::signed)?,
        copy_mb: input.float()?,
        lanes: input.u32()?,
        client_timeout_in: input.signed()?,
        waited: input.signed()?,
        repeat: input.flag()?,
        preferred_worker: None,
    })
}

fn encode_dispatch_ended(out: &mut Encoder, ended: &DispatchEnded) {
    encode_tagged(
        out,
        DISPATCH_ENDED,
        [ended.invocation, ended.dispatch, ended.worker],
    );
    encode_tag(out, OUTCOMES, &ended.outcome);
    out.signed(ended.took);
    out.byte(u8::from(ended.answered));
    encode_tag(out, COPY_STATUSES, &ended.copy_status);
    out.optional(ended.function_load, |out, load| out.unsigned(load.into()));
    encode_report(out, &ended.report);
}

fn decode_dispatch_ended(input: &mut Decoder) -> Result<DispatchEnded, DecodeError> {
    Ok(DispatchEnded {
        invocation: input.u32()?,
        dispatch: input.u32()?,
        worker: input.u32()?,
        outcome: decode_tag(input, OUTCOMES)?,
        took: input.signed()?,
        answered: input.flag()?,
        copy_status: decode_tag(input, COPY_STATUSES)?,
        function_load: input.optional(Decoder::u32)?,
        report: decode_report(input)?,
    })
}

/// Writes an event with its tag.
pub fn encode_event(out: &mut Encoder, event: &Event) {
    match *event {
        Event::EndpointList { kind, endpoints } => {
            out.byte(ENDPOINT_LIST);
            encode_tag(out, LIST_KINDS, &kind);
            out.unsigned(endpoints.len() as u64);
            endpoints.iter().for_each(|e| encode_endpoint(out, e));
        }
        Event::Invocation(ref arrival) => encode_arrival(out, arrival),
        Event::ClientLeft { invocation } => {
            encode_tagged(out, CLIENT_LEFT, [invocation]);
        }
        Event::AnswerStarted {
            invocation,
            dispatch,
            worker,
        } => {
            encode_tagged(out, ANSWER_STARTED, [invocation, dispatch, worker]);
        }
        Event::DispatchEnded(ref ended) => encode_dispatch_ended(out, ended),
        Event::Timer { token } => {
            out.byte(TIMER_FIRED);
            out.unsigned(token);
        }
        Event::EndpointListLease { until } => {
            out.byte(ENDPOINT_LIST_LEASE);
            out.signed(until);
        }
        Event::DrainLease(lease) => {
            out.byte(DRAIN_LEASE);
            out.signed(lease.until);
            out.byte(lease.discovery_lost.into());
        }
        _ => encode_worker_event(out, event),
    }
}

/// Writes the events about copies and probes of a worker.
fn encode_worker_event(out: &mut Encoder, event: &Event) {
    match *event {
        Event::OrderEnded {
            worker,
            function,
            result,
            took,
            copies,
        } => {
            encode_tagged(out, ORDER_ENDED, [worker, function]);
            encode_tag(out, ORDER_RESULTS, &result);
            out.signed(took);
            out.unsigned(copies.into());
        }
        Event::ProbeEnded {
            worker,
            outcome,
            took,
            ref report,
        } => {
            encode_tagged(out, PROBE_ENDED, [worker]);
            encode_tag(out, OUTCOMES, &outcome);
            out.signed(took);
            encode_report(out, report);
        }
        Event::CopyWanted {
            worker,
            ref function,
        } => {
            encode_tagged(
                out,
                COPY_WANTED,
                [worker, function.function, function.trigger, function.lanes],
            );
        }
        Event::CopiesReported {
            worker,
            function,
            copies,
        } => {
            encode_tagged(out, COPIES_REPORTED, [worker, function, copies]);
        }
        Event::EndpointList { .. }
        | Event::Invocation(_)
        | Event::ClientLeft { .. }
        | Event::AnswerStarted { .. }
        | Event::DispatchEnded(_)
        | Event::EndpointListLease { .. }
        | Event::DrainLease(_)
        | Event::Timer { .. } => {}
    }
}

/// Reads an event. `fingerprint` returns the fingerprint of the function with the given index: fingerprints are not
/// stored, but computed from the function's name, as every router does.
pub fn decode_event(
    input: &mut Decoder,
    fingerprint: &dyn Fn(u32) -> u64,
) -> Result<RecordedEvent, DecodeError> {
    let event = match input.byte()? {
        ENDPOINT_LIST => {
            return Ok(RecordedEvent::List {
                kind: decode_tag(input, LIST_KINDS)?,
                endpoints: input.list(decode_endpoint)?,
            });
        }
        INVOCATION => Event::Invocation(decode_arrival(input, fingerprint)?),
        INVOCATION_WITH_PREFERENCE => {
            let arrival = decode_arrival(input, fingerprint)?;
            Event::Invocation(Arrival {
                preferred_worker: Some(input.u32()?),
                ..arrival
            })
        }
        CLIENT_LEFT => Event::ClientLeft {
            invocation: input.u32()?,
        },
        ANSWER_STARTED => Event::AnswerStarted {
            invocation: input.u32()?,
            dispatch: input.u32()?,
            worker: input.u32()?,
        },
        DISPATCH_ENDED => Event::DispatchEnded(decode_dispatch_ended(input)?),
        TIMER_FIRED => Event::Timer {
            token: input.unsigned()?,
        },
        ENDPOINT_LIST_LEASE => Event::EndpointListLease {
            until: input.signed()?,
        },
        DRAIN_LEASE => Event::DrainLease(DrainLease {
            until: input.signed()?,
            discovery_lost: input.flag()?,
        }),
        tag => decode_worker_event(tag, input, fingerprint)?,
    };
    Ok(RecordedEvent::Other(event))
}

fn decode_worker_event(
    tag: u8,
    input: &mut Decoder,
    fingerprint: &dyn Fn(u32) -> u64,
) -> Result<Event<'static>, DecodeError> {
    Ok(match tag {
        ORDER_ENDED => Event::OrderEnded {
            worker: input.u32()?,
            function: input.u32()?,
            result: decode_tag(input, ORDER_RESULTS)?,
            took: input.signed()?,
            copies: input.u32()?,
        },
        PROBE_ENDED => Event::ProbeEnded {
            worker: input.u32()?,
            outcome: decode_tag(input, OUTCOMES)?,
            took: input.signed()?,
            report: decode_report(input)?,
        },
        COPY_WANTED => {
            let (worker, function) = (input.u32()?, input.u32()?);
            Event::CopyWanted {
                worker,
                function: FunctionInfo {
                    function,
                    fingerprint: fingerprint(function),
                    trigger: input.u32()?,
                    lanes: input.u32()?,
                },
            }
        }
        COPIES_REPORTED => Event::CopiesReported {
            worker: input.u32()?,
            function: input.u32()?,
            copies: input.u32()?,
        },
        _ => return Err(DecodeError::UnknownValue),
    })
}
