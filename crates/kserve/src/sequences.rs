//! The sequence extension of KServe v2, which binds requests to a session. The `parameters` of a request contain
//! `sequence_id` (a string, or an integer above 0), `sequence_start` and `sequence_end`.

use cedarpulley_errors::Remedy;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

/// Header of requests to workers: the session's id, for requests whose body does not contain it.
pub const SEQUENCE_ID: &str = "cedarpulley-sequence-id";
/// Header of requests to workers: `true` in the session's first request.
pub const SEQUENCE_START: &str = "cedarpulley-sequence-start";
/// Header of requests to workers: `true` in the session's last request.
pub const SEQUENCE_END: &str = "cedarpulley-sequence-end";

const MAX_ID_BYTES: usize = 255;

/// The session that a request belongs to, and the request's position in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sequence {
    /// The session's id.
    pub id: String,
    /// Whether this is the session's first request.
    pub start: bool,
    /// Whether this is the session's last request.
    pub end: bool,
}

impl Sequence {
    /// Returns the session with this id, or `None` if `id` is empty. Fails if `id` is longer than 255 bytes or contains
    /// control characters.
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

/// Why the sequence parameters are invalid; shown to the client.
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
        "change the client to send the sequence parameters of KServe v2, or none"
    }
}

#[derive(Default, Deserialize)]
struct RequestParameters {
    #[serde(default)]
    parameters: Parameters,
}

/// The sequence parameters, as JSON values because the id may be a string or a number. Other parameters are ignored.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Parameters {
    sequence_id: Value,
    sequence_start: Value,
    sequence_end: Value,
}

/// Parses the session from a request's JSON. A body that is not JSON has no session and causes no error here: the
/// worker decides whether it accepts the body.
pub fn parse(json: &[u8]) -> Result<Option<Sequence>, InvalidSequence> {
    let Ok(RequestParameters { parameters }) = serde_json::from_slice::<RequestParameters>(json)
    else {
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
