//! The server side of KServe v2 over gRPC, free of I/O: message frames, methods, time-outs and trailers. Calls have the
//! same `cedarpulley-` headers as requests over HTTP; [`crate::client_requests`] parses them for both protocols.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use bytes::{BufMut, Bytes, BytesMut};
use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use http::HeaderMap;
use prost::Message;
use thiserror::Error;

/// The messages of the protocol, generated from `proto/inference.proto`.
#[expect(missing_docs, reason = "generated code")]
pub mod inference {
    include!(concat!(env!("OUT_DIR"), "/inference.rs"));
}

/// The messages of gRPC's error details, generated from `proto/details.proto`.
mod details {
    include!(concat!(env!("OUT_DIR"), "/details.rs"));
}

/// Request header: the time for which the client waits for the response.
pub const TIMEOUT: &str = "grpc-timeout";
/// Trailer: the [`Code`].
pub const STATUS: &str = "grpc-status";
/// Trailer: the error message, percent-encoded.
pub const MESSAGE: &str = "grpc-message";
/// Trailer: the encoded `google.rpc.Status` with its details.
pub const DETAILS: &str = "grpc-status-details-bin";
/// Trailer: the number of milliseconds after which a client's retry policy may retry.
pub const RETRY_PUSHBACK_MS: &str = "grpc-retry-pushback-ms";
/// The content type of requests and responses.
pub const CONTENT_TYPE: &str = "application/grpc";
/// Length of the header before each message, in bytes: one byte of compression flag and four bytes of length.
pub const FRAME_HEADER_BYTES: usize = 5;

/// The gRPC status codes that this server uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// Success.
    Ok = 0,
    /// The invocation failed and may have run. Clients do not retry this code by default.
    Unknown = 2,
    /// The request is invalid.
    InvalidArgument = 3,
    /// The invocation timed out and may have run.
    DeadlineExceeded = 4,
    /// The invocation was rejected and did not run.
    ResourceExhausted = 8,
    /// The method does not exist.
    Unimplemented = 12,
    /// The response could not be built.
    Internal = 13,
}

/// The methods that this server offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Whether the server is alive.
    ServerLive,
    /// Whether the server accepts requests.
    ServerReady,
    /// Whether a model accepts requests.
    ModelReady,
    /// The server's name and extensions.
    ServerMetadata,
    /// The metadata of a model.
    ModelMetadata,
    /// Runs a model.
    ModelInfer,
    /// The list of models.
    RepositoryIndex,
}

/// Returns the method that a call's path names, or `None` if this server does not offer it.
pub fn parse_method(path: &str) -> Option<Method> {
    match path.strip_prefix("/inference.GRPCInferenceService/")? {
        "ServerLive" => Some(Method::ServerLive),
        "ServerReady" => Some(Method::ServerReady),
        "ModelReady" => Some(Method::ModelReady),
        "ServerMetadata" => Some(Method::ServerMetadata),
        "ModelMetadata" => Some(Method::ModelMetadata),
        "ModelInfer" => Some(Method::ModelInfer),
        "RepositoryIndex" => Some(Method::RepositoryIndex),
        _ => None,
    }
}

/// Why a call cannot be used: its body is not exactly one uncompressed message, or its time-out is malformed. Shown to
/// the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.cause())]
pub enum InvalidCall {
    /// The body is shorter than the message.
    Truncated,
    /// The message is compressed.
    Compressed,
    /// The body continues after the message.
    TrailingBytes,
    /// The time-out is malformed.
    Timeout,
}

impl InvalidCall {
    /// The text of the error.
    pub fn cause(self) -> &'static str {
        match self {
            InvalidCall::Truncated => "the message broke off",
            InvalidCall::Compressed => "compressed messages are not taken",
            InvalidCall::TrailingBytes => "more than one message came",
            InvalidCall::Timeout => "not up to eight digits and one of H, M, S, m, u, n",
        }
    }
}

impl Remedy for InvalidCall {
    fn remedy(&self) -> &'static str {
        match self {
            InvalidCall::Truncated => {
                "check whether the client cancelled the call or lost its connection"
            }
            InvalidCall::Compressed => "configure the client to send without compression",
            InvalidCall::TrailingBytes => "change the client to send one message per call",
            InvalidCall::Timeout => "change the client to send grpc-timeout in the format of gRPC",
        }
    }
}

/// Returns the message of a unary call without its frame.
pub fn unframe(body: Bytes) -> Result<Bytes, InvalidCall> {
    if body.len() < FRAME_HEADER_BYTES {
        return Err(InvalidCall::Truncated);
    }
    if body[0] != 0 {
        return Err(InvalidCall::Compressed);
    }
    let length = u32::from_be_bytes([body[1], body[2], body[3], body[4]]) as usize;
    match (body.len() - FRAME_HEADER_BYTES).cmp(&length) {
        std::cmp::Ordering::Less => Err(InvalidCall::Truncated),
        std::cmp::Ordering::Greater => Err(InvalidCall::TrailingBytes),
        std::cmp::Ordering::Equal => Ok(body.slice(FRAME_HEADER_BYTES..)),
    }
}

/// Encodes a message with its frame. Returns no bytes if the message is too long for a frame.
pub fn frame(message: &impl Message) -> Bytes {
    let Ok(length) = u32::try_from(message.encoded_len()) else {
        return Bytes::new();
    };
    let mut out = BytesMut::with_capacity(FRAME_HEADER_BYTES + length as usize);
    out.put_u8(0);
    out.put_u32(length);
    // Encoding fails only if the buffer is too small, and this buffer has the message's length.
    let _ = message.encode(&mut out);
    out.freeze()
}

/// Parses the header [`TIMEOUT`]: one to eight digits and a unit. Returns `None` if there is no such header.
pub fn timeout(headers: &HeaderMap) -> Result<Option<Micros>, InvalidCall> {
    let Some(value) = headers.get(TIMEOUT) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| InvalidCall::Timeout)?;
    let Some(unit) = text.chars().last() else {
        return Err(InvalidCall::Timeout);
    };
    let digits = &text[..text.len() - unit.len_utf8()];
    if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return Err(InvalidCall::Timeout);
    }
    let count: Micros = digits.parse().map_err(|_| InvalidCall::Timeout)?;
    let micros = match unit {
        'H' => count * 3_600_000_000,
        'M' => count * 60_000_000,
        'S' => count * 1_000_000,
        'm' => count * 1_000,
        'u' => count,
        // Rounded down, so that the time-out here is never longer than the client's own.
        'n' => count / 1_000,
        _ => return Err(InvalidCall::Timeout),
    };
    Ok(Some(micros))
}

/// Builds the trailers of a response. `retry_after`: the wait before a retry; given only if a retry is safe.
pub fn trailers(code: Code, message: &str, retry_after: Option<Micros>) -> HeaderMap {
    let mut trailers = HeaderMap::new();
    trailers.insert(STATUS, (code as u32).into());
    if !message.is_empty()
        && let Ok(value) = percent_encode(message).parse()
    {
        trailers.insert(MESSAGE, value);
    }
    if let Some(wait) = retry_after {
        let wait = wait.max(0);
        trailers.insert(
            RETRY_PUSHBACK_MS,
            (wait.div_euclid(1_000) + i64::from(wait % 1_000 > 0)).into(),
        );
        let status = retry_status(code, message, wait);
        if let Ok(value) = STANDARD_NO_PAD.encode(status.encode_to_vec()).parse() {
            trailers.insert(DETAILS, value);
        }
    }
    trailers
}

/// Builds a `google.rpc.Status` with a `RetryInfo` as its only detail.
fn retry_status(code: Code, message: &str, wait: Micros) -> details::Status {
    let info = details::RetryInfo {
        retry_delay: Some(details::Span {
            seconds: wait / 1_000_000,
            nanos: (wait % 1_000_000 * 1_000) as i32,
        }),
    };
    let detail = details::Any {
        type_url: "type.googleapis.com/google.rpc.RetryInfo".to_owned(),
        value: info.encode_to_vec().into(),
    };
    details::Status {
        code: code as i32,
        message: message.to_owned(),
        details: vec![detail],
    }
}

/// Percent-encodes the percent sign and everything that is not printable ASCII, as gRPC requires for [`MESSAGE`].
fn percent_encode(text: &str) -> String {
    const ESCAPED: percent_encoding::AsciiSet = percent_encoding::CONTROLS.add(b'%');
    percent_encoding::utf8_percent_encode(text, &ESCAPED).to_string()
}
