//! Parses the head of a request: what it asks for, how its body is framed, whether the connection stays open.

use httparse::Status;

use super::call_fields::parse_call;
use super::{MAX_BODY_BYTES, MAX_HEAD_BYTES, Request, RequestError, RequestKind, RequestRules};

/// Most fields of a head; the protocol has a dozen.
const MAX_FIELDS: usize = 48;

/// A call's path: the function's id stands between these two.
const CALL_PATH_START: &str = "/api/v2/";
const CALL_PATH_END: &str = "/call";
const HEALTH_PATH: &str = "/-/healthy";

/// How the end of a request's body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFraming {
    /// After so many bytes.
    Sized(usize),
    /// After the last chunk.
    Chunked,
}

/// A complete head.
#[derive(Debug)]
pub(super) struct Head {
    /// The request, still without its body.
    pub request: Request,
    pub framing: BodyFraming,
    /// Bytes of the head.
    pub length: usize,
}

/// Parses the head that `bytes` begin with; `None` while it is incomplete.
pub(super) fn parse_head(bytes: &[u8], rules: &RequestRules) -> Result<Option<Head>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(bytes) {
        Ok(Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadTooLong),
        Err(_) => return Err(RequestError::MalformedHead),
    };
    let fields = Fields(head.headers);
    let version = head.version;
    let framing = body_framing(&fields, version)?;
    if fields.optional("expect")?.is_some() {
        return Err(RequestError::UnsupportedExpectation);
    }
    let close = closes_connection(&fields, version)?;
    let method = head.method.unwrap_or("");
    let kind = match (method, head.path.unwrap_or("")) {
        ("GET", HEALTH_PATH) => RequestKind::Health,
        ("POST", path) => {
            let function = path
                .strip_prefix(CALL_PATH_START)
                .and_then(|rest| rest.strip_suffix(CALL_PATH_END))
                .filter(|function| is_id(function))
                .ok_or(RequestError::UnknownPath)?;
            RequestKind::Call(parse_call(function, &fields, rules)?)
        }
        (_, HEALTH_PATH) => return Err(RequestError::MethodNotAllowed),
        (_, path) if path.starts_with(CALL_PATH_START) => {
            return Err(RequestError::MethodNotAllowed);
        }
        _ => return Err(RequestError::UnknownPath),
    };
    Ok(Some(Head {
        request: Request { kind, close },
        framing,
        length,
    }))
}

/// A request with both kinds of length may hide another request in its body, so it is rejected.
fn body_framing(fields: &Fields, version: Option<u8>) -> Result<BodyFraming, RequestError> {
    let field = |name| {
        fields
            .optional(name)
            .map_err(|_| RequestError::InvalidLength)
    };
    let length = match (field("content-length")?, field("transfer-encoding")?) {
        (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") && version == Some(1) => {
            return Ok(BodyFraming::Chunked);
        }
        (_, Some(_)) => return Err(RequestError::InvalidLength),
        (Some(length), None) => parse_digits(length).ok_or(RequestError::InvalidLength)?,
        (None, None) => 0,
    };
    if length > MAX_BODY_BYTES as u64 {
        return Err(RequestError::BodyTooLong);
    }
    Ok(BodyFraming::Sized(length as usize))
}

/// Whether the client keeps the connection for no further request: HTTP/1.1 keeps it unless told otherwise, HTTP/1.0
/// closes it unless told otherwise.
fn closes_connection(fields: &Fields, version: Option<u8>) -> Result<bool, RequestError> {
    let connection = fields.optional("connection")?;
    let has_option = |option: &str| {
        connection.is_some_and(|options| {
            options
                .split(',')
                .any(|named| named.trim().eq_ignore_ascii_case(option))
        })
    };
    Ok(has_option("close") || version == Some(0) && !has_option("keep-alive"))
}

/// The fields of a head.
pub(super) struct Fields<'a, 'b>(&'a [httparse::Header<'b>]);

impl<'b> Fields<'_, 'b> {
    /// The value of a field that comes at most once and is text. HTTP allows blanks and tabs around it; any other space
    /// is a part of the value.
    pub fn optional(&self, name: &str) -> Result<Option<&'b str>, RequestError> {
        let mut found = self
            .0
            .iter()
            .filter(|header| header.name.eq_ignore_ascii_case(name));
        let Some(header) = found.next() else {
            return Ok(None);
        };
        if found.next().is_some() {
            return Err(RequestError::InvalidField);
        }
        let text = std::str::from_utf8(header.value).map_err(|_| RequestError::InvalidField)?;
        Ok(Some(text.trim_matches([' ', '\t'])))
    }

    /// The value of a field that must come exactly once.
    pub fn required(&self, name: &str) -> Result<&'b str, RequestError> {
        self.optional(name)?.ok_or(RequestError::InvalidField)
    }
}

/// Whether a text is 16 hex digits.
pub(super) fn is_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn parse_digits(text: &str) -> Option<u64> {
    (!text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit()))
        .then(|| text.parse().ok())?
}
