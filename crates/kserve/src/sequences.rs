//! The sequence extension of KServe v2: which session a request belongs to. A request's `parameters` name it by
//! `sequence_id` (a text, or a whole number above 0), `sequence_start` and `sequence_end`.

use cedarpulley_errors::Remedy;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

/// Header of requests to workers with the session's id, for messages whose body does not name it.
pub const SEQUENCE_ID: &str = "cedarpulley-sequence-id";
/// Header of requests to workers: `true` on the session's first request.
pub const SEQUENCE_START: &str = "cedarpulley-sequence-start";
/// Header of requests to workers: `true` on the session's last request.
pub const SEQUENCE_END: &str = "cedarpulley-sequence-end";

const MAX_ID_BYTES: usize = 255;

/// A request's place in its session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sequence {
    /// The session's id.
    pub id: String,
    /// This is the session's first request.
    pub start: bool,
    /// This is the session's last request.
    pub end: bool,
}

impl Sequence {
    /// An empty `id` means no session. Fails if `id` is too long or has control characters.
    pub fn new(id: &str, start: bool, end: bool) -> Result<Option<Sequence>, InvalidSequence> {
        match id.len() {
            0 => Ok(None),
            length if length > MAX_ID_BYTES || id.chars().any(char::is_control) => {
                Err(InvalidSequence::Id)
            }
            _ => Ok(Some(Sequence {
                id: id.to_owned(),
                start,
                end,
            })),
        }
    }
}

/// Why the parameters name no valid session; shown to the client.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidSequence {
    /// The id has a wrong type or length.
    #[error("sequence_id is not a text of 1 to {MAX_ID_BYTES} bytes or a whole number above 0")]
    Id,
    /// A flag is not a boolean.
    #[error("sequence_start and sequence_end are not true or false")]
    Flag,
}

impl Remedy for InvalidSequence {
    fn remedy(&self) -> &'static str {
        "have its client send the sequence's parameters as KServe v2 has them, or none"
    }
}

#[derive(Default, Deserialize)]
struct RequestHead {
    #[serde(default)]
    parameters: Parameters,
}

/// Kept as JSON values because the id may be a text or a number; other parameters are ignored.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Parameters {
    sequence_id: Value,
    sequence_start: Value,
    sequence_end: Value,
}

/// Reads the session from a request's JSON. A body that is not JSON belongs to no session: whether it can be read is
/// for the worker to say.
pub fn parse(json: &[u8]) -> Result<Option<Sequence>, InvalidSequence> {
    let Ok(RequestHead { parameters }) = serde_json::from_slice::<RequestHead>(json) else {
        return Ok(None);
    };
    let id = match &parameters.sequence_id {
        Value::Null => return Ok(None),
        Value::String(id) => id.clone(),
        // The extension defines 0 as "no sequence".
        Value::Number(number) => match number.as_u64() {
            Some(0) => return Ok(None),
            Some(id) => id.to_string(),
            None => return Err(InvalidSequence::Id),
        },
        _ => return Err(InvalidSequence::Id),
    };
    Sequence::new(
        &id,
        flag(&parameters.sequence_start)?,
        flag(&parameters.sequence_end)?,
    )
}

fn flag(value: &Value) -> Result<bool, InvalidSequence> {
    match value {
        Value::Null => Ok(false),
        Value::Bool(on) => Ok(*on),
        _ => Err(InvalidSequence::Flag),
    }
}
