//! gRPC as a front, free of I/O: messages within their frames, methods, time-outs, and how an answer is told. The
//! headers beside a message are those of `serving.rs`: they are one table for both protocols.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use bytes::{BufMut, Bytes, BytesMut};
use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use http::HeaderMap;
use prost::Message;
use thiserror::Error;

/// Made from `proto/`.
#[allow(missing_docs, clippy::all)]
pub mod inference {
    include!(concat!(env!("OUT_DIR"), "/inference.rs"));
}

#[allow(missing_docs, clippy::all)]
mod details {
    include!(concat!(env!("OUT_DIR"), "/details.rs"));
}

pub const TIMEOUT: &str = "grpc-timeout";
pub const STATUS: &str = "grpc-status";
pub const MESSAGE: &str = "grpc-message";
pub const DETAILS: &str = "grpc-status-details-bin";
/// Milliseconds after which a client's retry policy may come back.
pub const PUSHBACK: &str = "grpc-retry-pushback-ms";
pub const CONTENT: &str = "application/grpc";
/// Before each message: a flag and four bytes of length.
pub const FRAME: usize = 5;

/// The codes that this front answers with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    Ok = 0,
    /// Errored: it may have run. No client's default retries it.
    Unknown = 2,
    InvalidArgument = 3,
    /// Errored as its time ran out: it may have run.
    DeadlineExceeded = 4,
    /// Throttled: it did not run.
    ResourceExhausted = 8,
    Unimplemented = 12,
    Internal = 13,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    ServerLive,
    ServerReady,
    ModelReady,
    ServerMetadata,
    ModelMetadata,
    ModelInfer,
    RepositoryIndex,
}

pub fn method(path: &str) -> Option<Method> {
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

/// Why a call is not one message with a time-out that counts; for the client to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.cause())]
pub enum Misframed {
    Short,
    Compressed,
    /// Beyond the message's told length.
    Long,
    Timeout,
}

impl Misframed {
    pub fn cause(self) -> &'static str {
        match self {
            Misframed::Short => "the message broke off",
            Misframed::Compressed => "compressed messages are not taken",
            Misframed::Long => "more than one message came",
            Misframed::Timeout => "not up to eight digits and one of H, M, S, m, u, n",
        }
    }
}

impl Remedy for Misframed {
    fn remedy(&self) -> &'static str {
        match self {
            Misframed::Short => "see whether its client gave up, or lost its connection",
            Misframed::Compressed => "have its client send without compression",
            Misframed::Long => "have its client send one message a call",
            Misframed::Timeout => "have its client write the time-out as gRPC does",
        }
    }
}

/// The one message of a unary call.
pub fn unframe(body: Bytes) -> Result<Bytes, Misframed> {
    if body.len() < FRAME {
        return Err(Misframed::Short);
    }
    if body[0] != 0 {
        return Err(Misframed::Compressed);
    }
    let length = u32::from_be_bytes([body[1], body[2], body[3], body[4]]) as usize;
    match (body.len() - FRAME).cmp(&length) {
        std::cmp::Ordering::Less => Err(Misframed::Short),
        std::cmp::Ordering::Greater => Err(Misframed::Long),
        std::cmp::Ordering::Equal => Ok(body.slice(FRAME..)),
    }
}

/// A message within its frame; nothing for one that no frame can tell the length of.
pub fn frame(message: &impl Message) -> Bytes {
    let Ok(length) = u32::try_from(message.encoded_len()) else {
        return Bytes::new();
    };
    let mut out = BytesMut::with_capacity(FRAME + length as usize);
    out.put_u8(0);
    out.put_u32(length);
    // Room for all of it was made.
    let _ = message.encode(&mut out);
    out.freeze()
}

/// `grpc-timeout`: up to eight digits and a unit; absent if there is none.
pub fn timeout(headers: &HeaderMap) -> Result<Option<Micros>, Misframed> {
    let Some(value) = headers.get(TIMEOUT) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Misframed::Timeout)?;
    let Some(unit) = text.chars().last() else {
        return Err(Misframed::Timeout);
    };
    let digits = &text[..text.len() - unit.len_utf8()];
    if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return Err(Misframed::Timeout);
    }
    let n: Micros = digits.parse().map_err(|_| Misframed::Timeout)?;
    let micros = match unit {
        'H' => n * 3_600_000_000,
        'M' => n * 60_000_000,
        'S' => n * 1_000_000,
        'm' => n * 1_000,
        'u' => n,
        // Rounded down: never later than the client's own.
        'n' => n / 1_000,
        _ => return Err(Misframed::Timeout),
    };
    Ok(Some(micros))
}

/// How a call ended, as its trailers tell it; `come_back` only where coming back is harmless.
pub fn trailers(code: Code, message: &str, come_back: Option<Micros>) -> HeaderMap {
    let mut map = HeaderMap::new();
    map.insert(STATUS, (code as u32).into());
    if !message.is_empty() {
        let escaped = escape(message);
        if let Ok(value) = escaped.parse() {
            map.insert(MESSAGE, value);
        }
    }
    if let Some(wait) = come_back {
        let wait = wait.max(0);
        map.insert(
            PUSHBACK,
            (wait.div_euclid(1_000) + i64::from(wait % 1_000 > 0)).into(),
        );
        let delay = details::Span {
            seconds: wait / 1_000_000,
            nanos: (wait % 1_000_000 * 1_000) as i32,
        };
        let info = details::RetryInfo {
            retry_delay: Some(delay),
        };
        let any = details::Any {
            type_url: "type.googleapis.com/google.rpc.RetryInfo".to_owned(),
            value: info.encode_to_vec().into(),
        };
        let status = details::Status {
            code: code as i32,
            message: message.to_owned(),
            details: vec![any],
        };
        if let Ok(value) = STANDARD_NO_PAD.encode(status.encode_to_vec()).parse() {
            map.insert(DETAILS, value);
        }
    }
    map
}

/// Percent-encoded outside printable ASCII, as the wire wants it.
fn escape(text: &str) -> String {
    const KEPT: percent_encoding::AsciiSet = percent_encoding::CONTROLS.add(b'%');
    percent_encoding::utf8_percent_encode(text, &KEPT).to_string()
}
