//! Parses the head of a request: the kind of the request, the framing of its body, and whether the connection stays
//! open.

use cedarpulley_http_framing::BodyFraming;
use httparse::Status;

use super::call_fields::parse_call;
use super::{MAX_BODY_BYTES, MAX_HEAD_BYTES, Request, RequestError, RequestKind, RequestRules};

/// Most header fields of a request. The protocol defines about a dozen.
const MAX_FIELDS: usize = 48;

/// The path of a call is this prefix, the function's id, and [`CALL_PATH_END`].
const CALL_PATH_START: &str = "/api/v2/";
/// The end of the path of a call, after the function's id.
const CALL_PATH_END: &str = "/call";
/// The path of a question whether the router is healthy.
const HEALTH_PATH: &str = "/-/healthy";
/// The path of a request for the router's metrics.
const METRICS_PATH: &str = "/-/metrics";

/// The parsed head of a request.
#[derive(Debug)]
pub(super) struct Head {
    /// The request, with an empty body.
    pub request: Request,
    /// How the end of the body is determined.
    pub framing: BodyFraming,
    /// Length of the head, in bytes.
    pub length: usize,
}

/// Parses the head at the start of `bytes`; returns `None` while it is incomplete.
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
        ("GET", METRICS_PATH) => RequestKind::Metrics,
        ("POST", path) => {
            let function = path
                .strip_prefix(CALL_PATH_START)
                .and_then(|rest| rest.strip_suffix(CALL_PATH_END))
                .filter(|function| is_id(function))
                .ok_or(RequestError::UnknownPath)?;
            RequestKind::Call(parse_call(function, &fields, rules)?)
        }
        (_, HEALTH_PATH | METRICS_PATH) => return Err(RequestError::MethodNotAllowed),
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

/// Determines how the end of the body is found. A request with both a length and a transfer encoding may hide another
/// request in its body, so it is rejected.
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

/// Whether the connection is to be closed after the response: by default HTTP/1.1 keeps it open and HTTP/1.0 closes it,
/// and the field `Connection` overrides the default.
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

/// The header fields of a request.
pub(super) struct Fields<'a, 'b>(&'a [httparse::Header<'b>]);

impl<'b> Fields<'_, 'b> {
    /// The value of an optional field, which must be valid UTF-8 and must not be repeated. Spaces and tabs around the
    /// value are removed, as HTTP defines; any other whitespace is a part of the value.
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

    /// The value of a field that must be present exactly once.
    pub fn required(&self, name: &str) -> Result<&'b str, RequestError> {
        self.optional(name)?.ok_or(RequestError::InvalidField)
    }
}

/// Whether `text` is an id: 16 hex digits.
pub(super) fn is_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Parses a number that consists of decimal digits only.
fn parse_digits(text: &str) -> Option<u64> {
    (!text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit()))
        .then(|| text.parse().ok())?
}
