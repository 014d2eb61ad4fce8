//! Encodes actions. Tags and the order of fields belong to the trace format: a new kind of action gets a new tag, and
//! tags are never reused.

use cedarpulley::interface::Action;

use crate::codec::{DecodeError, Decoder, Encoder};
use crate::event_codec::encode_tagged;

const DISPATCH: u8 = 0;
const CANCEL: u8 = 1;
const REJECT: u8 = 2;
const FAIL: u8 = 3;
const LOAD_ORDER: u8 = 4;
const UNLOAD: u8 = 5;
const PROBE: u8 = 6;
const SET_TIMER: u8 = 7;
const REQUEST_ENDPOINT_LIST: u8 = 8;
const RELEASE_FUNCTION: u8 = 9;

/// Writes an action with its tag.
pub fn encode_action(out: &mut Encoder, action: &Action) {
    match *action {
        Action::Dispatch {
            invocation,
            worker,
            timeout,
        } => {
            encode_tagged(out, DISPATCH, [invocation, worker]);
            out.optional(timeout, Encoder::signed);
        }
        Action::Cancel {
            invocation,
            dispatch,
        } => encode_tagged(out, CANCEL, [invocation, dispatch]),
        Action::Reject {
            invocation,
            retry_after,
        } => {
            encode_tagged(out, REJECT, [invocation]);
            out.optional(retry_after, Encoder::signed);
        }
        Action::Fail { invocation } => encode_tagged(out, FAIL, [invocation]),
        Action::LoadOrder {
            worker,
            function,
            copies,
        } => encode_tagged(out, LOAD_ORDER, [worker, function, copies]),
        Action::Unload { worker, function } => encode_tagged(out, UNLOAD, [worker, function]),
        Action::Probe { worker } => encode_tagged(out, PROBE, [worker]),
        Action::Timer { token, after } => {
            out.byte(SET_TIMER);
            out.unsigned(token);
            out.signed(after);
        }
        Action::RequestEndpointList { watch } => {
            out.byte(REQUEST_ENDPOINT_LIST);
            out.byte(u8::from(watch));
        }
        Action::ReleaseFunction { function } => encode_tagged(out, RELEASE_FUNCTION, [function]),
    }
}

/// Reads an action with its tag.
pub fn decode_action(input: &mut Decoder) -> Result<Action, DecodeError> {
    Ok(match input.byte()? {
        DISPATCH => Action::Dispatch {
            invocation: input.u32()?,
            worker: input.u32()?,
            timeout: input.optional(Decoder::signed)?,
        },
        CANCEL => Action::Cancel {
            invocation: input.u32()?,
            dispatch: input.u32()?,
        },
        REJECT => Action::Reject {
            invocation: input.u32()?,
            retry_after: input.optional(Decoder::signed)?,
        },
        FAIL => Action::Fail {
            invocation: input.u32()?,
        },
        LOAD_ORDER => Action::LoadOrder {
            worker: input.u32()?,
            function: input.u32()?,
            copies: input.u32()?,
        },
        UNLOAD => Action::Unload {
            worker: input.u32()?,
            function: input.u32()?,
        },
        PROBE => Action::Probe {
            worker: input.u32()?,
        },
        SET_TIMER => Action::Timer {
            token: input.unsigned()?,
            after: input.signed()?,
        },
        REQUEST_ENDPOINT_LIST => Action::RequestEndpointList {
            watch: input.flag()?,
        },
        RELEASE_FUNCTION => Action::ReleaseFunction {
            function: input.u32()?,
        },
        _ => return Err(DecodeError::UnknownValue),
    })
}
