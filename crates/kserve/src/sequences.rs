//! The sequence extension, as a request's `parameters` say it: `sequence_id` (a text or a whole number above 0),
//! `sequence_start` and `sequence_end`. One table, for fronts; what a router makes of it is no matter of the wire.

use cedarpulley_errors::Remedy;
use serde::Deserialize;
use thiserror::Error;

/// In requests to workers, for messages whose body does not say it.
pub const SEQUENCE_ID: &str = "cedarpulley-sequence-id";
pub const SEQUENCE_START: &str = "cedarpulley-sequence-start";
pub const SEQUENCE_END: &str = "cedarpulley-sequence-end";

const MOST_ID: usize = 255;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sequence {
    pub id: String,
    pub start: bool,
    pub end: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NoSequence {
    #[error("sequence_id is not a text of 1 to {MOST_ID} bytes or a whole number above 0")]
    Id,
    #[error("sequence_start and sequence_end are not true or false")]
    Flag,
}

impl Remedy for NoSequence {
    fn remedy(&self) -> &'static str {
        "have its client send the sequence's parameters as KServe v2 has them, or none"
    }
}

#[derive(Default, Deserialize)]
struct Body {
    #[serde(default)]
    parameters: Parameters,
}

/// What else stands there is of no matter here; numbers are told apart from texts below.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Parameters {
    sequence_id: serde_json::Value,
    sequence_start: serde_json::Value,
    sequence_end: serde_json::Value,
}

/// Of a request's JSON. What is no JSON belongs to no sequence: whether a worker can read it is the worker's matter.
pub fn of(json: &[u8]) -> Result<Option<Sequence>, NoSequence> {
    let Ok(Body { parameters }) = serde_json::from_slice::<Body>(json) else {
        return Ok(None);
    };
    let flag = |value: &serde_json::Value| match value {
        serde_json::Value::Null => Ok(false),
        serde_json::Value::Bool(on) => Ok(*on),
        _ => Err(NoSequence::Flag),
    };
    let id = match &parameters.sequence_id {
        serde_json::Value::Null => return Ok(None),
        serde_json::Value::String(id) => id.clone(),
        // 0 means none, as the extension has it.
        serde_json::Value::Number(n) => match n.as_u64() {
            Some(0) => return Ok(None),
            Some(n) => n.to_string(),
            None => return Err(NoSequence::Id),
        },
        _ => return Err(NoSequence::Id),
    };
    sequence(
        &id,
        flag(&parameters.sequence_start)?,
        flag(&parameters.sequence_end)?,
    )
}

/// An empty id means none.
pub fn sequence(id: &str, start: bool, end: bool) -> Result<Option<Sequence>, NoSequence> {
    match id.len() {
        0 => Ok(None),
        n if n > MOST_ID || id.chars().any(char::is_control) => Err(NoSequence::Id),
        _ => Ok(Some(Sequence {
            id: id.to_owned(),
            start,
            end,
        })),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parameters_say_which_sequence_it_is() {
        let of = |text: &str| of(text.as_bytes());
        let is = |id: &str, start, end| {
            Ok(Some(Sequence {
                id: id.into(),
                start,
                end,
            }))
        };
        assert_eq!(
            of(r#"{"inputs":[],"parameters":{"sequence_id":"s1","sequence_start":true}}"#),
            is("s1", true, false)
        );
        assert_eq!(
            of(r#"{"parameters":{"sequence_id":7,"sequence_end":true,"other":[1]}}"#),
            is("7", false, true)
        );
        for none in [
            "{}",
            "no json",
            r#"{"parameters":{"sequence_id":0}}"#,
            r#"{"parameters":{"sequence_id":""}}"#,
        ] {
            assert_eq!(of(none), Ok(None), "{none}");
        }
        assert_eq!(
            of(r#"{"parameters":{"sequence_id":-1}}"#),
            Err(NoSequence::Id)
        );
        assert_eq!(
            of(r#"{"parameters":{"sequence_id":"a\nb"}}"#),
            Err(NoSequence::Id)
        );
        assert_eq!(
            of(r#"{"parameters":{"sequence_id":1,"sequence_end":"yes"}}"#),
            Err(NoSequence::Flag)
        );
    }
}
