//! Encodes a record as a tag and its fields. [`crate::blocks`] writes the time of the record before it. Tests open
//! files of all earlier formats.

use cedarpulley::interface::{Action, Event};
use cedarpulley_router::admission_control::RejectionReason;
use cedarpulley_router::{AnswerReason, FinalOutcome};

use crate::action_codec::{decode_action, encode_action};
use crate::codec::{DecodeError, Decoder, Encoder};
use crate::event_codec::{
    decode_event, decode_tag, encode_event, encode_indices, encode_tag, tag_table,
};
use crate::records::{NameKind, Record};

tag_table!(REASONS: AnswerReason, Worker, GivenUp, Expired, MayHaveRun, Overdue, Functions, Size, Share, NoMajority, SessionOver, Alone, DrainsUnknown);
tag_table!(OUTCOMES: FinalOutcome, Succeeded, Throttled, Errored);
tag_table!(REJECTION_REASONS: RejectionReason, Stopping, Memory, All, Front, Account, Connection, Worth);

// Tags of the kinds of records; the high bits of the tag are reserved.
const NAME: u8 = 1;
const DECIDED: u8 = 2;
const ACCEPTED: u8 = 3;
const ANSWERED: u8 = 4;
const REJECTED: u8 = 5;
const GAP: u8 = 6;

/// Writes a [`Record::Decided`] without copying the event.
pub fn encode_decided(out: &mut Encoder, event: &Event, actions: &[Action]) {
    out.byte(DECIDED);
    encode_event(out, event);
    out.unsigned(actions.len() as u64);
    actions.iter().for_each(|action| encode_action(out, action));
}

/// Writes a record with its tag.
pub fn encode_record(out: &mut Encoder, record: &Record) {
    match record {
        Record::Name { kind, index, name } => {
            out.byte(NAME);
            out.byte(u8::from(*kind == NameKind::Worker));
            out.unsigned((*index).into());
            out.text(name);
        }
        Record::Decided { event, actions } => encode_decided(out, &event.event(), actions),
        Record::Accepted {
            invocation,
            front,
            correlation_hash,
            redelivered,
        } => {
            out.byte(ACCEPTED);
            out.unsigned((*invocation).into());
            out.unsigned((*front).into());
            out.optional(*correlation_hash, |out, correlation_hash| {
                out.bytes.extend(correlation_hash.to_le_bytes())
            });
            out.byte(u8::from(*redelivered));
        }
        Record::Answered { .. } => encode_answered(out, record),
        Record::Rejected {
            front,
            trigger,
            account,
            reason,
        } => {
            out.byte(REJECTED);
            encode_indices(out, [*front, *trigger, *account]);
            encode_tag(out, REJECTION_REASONS, reason);
        }
        Record::Gap {
            records,
            from,
            until,
        } => {
            out.byte(GAP);
            out.unsigned(*records);
            out.signed(*from);
            out.signed(*until);
        }
    }
}

/// Writes a [`Record::Answered`]; writes nothing for other records.
fn encode_answered(out: &mut Encoder, record: &Record) {
    let Record::Answered {
        invocation,
        front,
        outcome,
        reason,
        trigger,
        account,
        took,
    } = record
    else {
        return;
    };
    out.byte(ANSWERED);
    out.optional(*invocation, |out, invocation| {
        out.unsigned(invocation.into())
    });
    out.unsigned((*front).into());
    encode_tag(out, OUTCOMES, outcome);
    encode_tag(out, REASONS, reason);
    out.unsigned((*trigger).into());
    out.unsigned((*account).into());
    out.signed(*took);
}

/// Reads a record. `fingerprint` returns the fingerprint of the function with the given index.
pub fn decode_record(
    input: &mut Decoder,
    fingerprint: &dyn Fn(u32) -> u64,
) -> Result<Record, DecodeError> {
    Ok(match input.byte()? {
        NAME => Record::Name {
            kind: if input.flag()? {
                NameKind::Worker
            } else {
                NameKind::Function
            },
            index: input.u32()?,
            name: input.text()?.to_owned(),
        },
        DECIDED => Record::Decided {
            event: decode_event(input, fingerprint)?,
            actions: input.list(decode_action)?,
        },
        ACCEPTED => Record::Accepted {
            invocation: input.u32()?,
            front: input.u32()?,
            correlation_hash: input.optional(decode_hash)?,
            redelivered: input.flag()?,
        },
        ANSWERED => Record::Answered {
            invocation: input.optional(Decoder::u32)?,
            front: input.u32()?,
            outcome: decode_tag(input, OUTCOMES)?,
            reason: decode_tag(input, REASONS)?,
            trigger: input.u32()?,
            account: input.u32()?,
            took: input.signed()?,
        },
        REJECTED => Record::Rejected {
            front: input.u32()?,
            trigger: input.u32()?,
            account: input.u32()?,
            reason: decode_tag(input, REJECTION_REASONS)?,
        },
        GAP => Record::Gap {
            records: input.unsigned()?,
            from: input.signed()?,
            until: input.signed()?,
        },
        _ => return Err(DecodeError::UnknownValue),
    })
}

fn decode_hash(input: &mut Decoder) -> Result<u64, DecodeError> {
    let bytes = input.take(8)?.try_into();
    bytes
        .map(u64::from_le_bytes)
        .map_err(|_| DecodeError::Truncated)
}
