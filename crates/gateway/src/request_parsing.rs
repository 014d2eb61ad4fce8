//! Parses requests of KServe clients: heads, whose names are resolved, and sessions. Reads bodies within limits of size
//! and time.

use std::sync::Arc;

use async_io::Timer;
use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_kserve::client_requests::{self, InvalidField};
use cedarpulley_kserve::sequences;
use cedarpulley_net::duration_from_micros;
use cedarpulley_router::{IncomingInvocation, Payload, Session};
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::Incoming;

use crate::body_buffer::BodyBuffer;
use crate::client_connection::ClientConnection;
use crate::request_handling::RequestHandler;

/// Time limit for reading a body after its head, in microseconds.
const BODY_TIMEOUT: Micros = 10_000_000;
/// Header whose value correlates the logs of clients, routers and workers.
const REQUEST_ID: &str = "x-request-id";

/// Why a body could not be read completely.
pub enum BodyError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The client disconnected, or violated the protocol.
    Interrupted,
    /// The body was not complete within the time limit.
    TimedOut,
}

/// Runs `reading` with the time limit for a body.
pub(crate) async fn with_body_timeout<T>(
    reading: impl Future<Output = Result<T, BodyError>>,
) -> Result<T, BodyError> {
    let timeout = async {
        Timer::after(duration_from_micros(BODY_TIMEOUT)).await;
        Err(BodyError::TimedOut)
    };
    reading.or(timeout).await
}

/// Reads a complete body of up to `max_bytes`; `first` contains the bytes already read. `count` is called with the length of
/// each chunk.
pub(crate) async fn read_body(
    mut body: Incoming,
    first: Bytes,
    max_bytes: u64,
    mut count: impl FnMut(usize),
) -> Result<Bytes, BodyError> {
    with_body_timeout(async {
        let mut buffer = BodyBuffer::default();
        buffer.push(first);
        loop {
            if buffer.len() as u64 > max_bytes {
                return Err(BodyError::TooLarge);
            }
            match body.frame().await {
                None => return Ok(buffer.into_bytes()),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        count(data.len());
                        buffer.push(data);
                    }
                }
                Some(Err(_)) => return Err(BodyError::Interrupted),
            }
        }
    })
    .await
}

/// Parses a request's head and resolves all names; the body is read later.
pub(crate) fn parse_head(
    handler: &RequestHandler,
    client: &ClientConnection,
    headers: &HeaderMap,
    function: String,
) -> Result<IncomingInvocation, InvalidField> {
    let context = &handler.context;
    let metadata = client_requests::parse_infer_headers(headers, context.clock.wall_time())?;
    let trigger = context
        .names
        .trigger_index(&metadata.trigger_type)
        .ok_or_else(|| unknown("cedarpulley-trigger-type", &metadata.trigger_type))?;
    let account = account(handler, client, metadata.account.as_deref())?;
    Ok(IncomingInvocation {
        delivery: handler.delivery(),
        identity: None,
        name: headers
            .get(REQUEST_ID)
            .and_then(|value| value.to_str().ok())
            .map(Arc::from),
        redelivered: false,
        client_retry: metadata.client_retry,
        trigger,
        account,
        function: Arc::from(function),
        idempotency_key: metadata.idempotency_key.map(Arc::from),
        waited: metadata.waited,
        client_timeout: metadata.client_timeout.unwrap_or(Micros::MAX / 8),
        cost_hint: metadata.cost_hint,
        load_hint: metadata.load_hint,
        copy_mb: metadata.copy_mb,
        lanes: metadata.lanes,
        session: None,
        requested_function: None,
        preferred_worker: None,
        predetermined_answer: None,
        body: Payload {
            bytes: Bytes::new(),
            first_part_length: metadata.json_length,
        },
    })
}

/// The account of a request: that of the client's certificate, if it is bound to one, otherwise the account that the
/// request names. A request may not name an account other than that of its certificate.
fn account(
    handler: &RequestHandler,
    client: &ClientConnection,
    named: Option<&str>,
) -> Result<u32, InvalidField> {
    let claimed = handler
        .context
        .names
        .account_index(named)
        .ok_or_else(|| unknown("cedarpulley-account", named.unwrap_or_default()))?;
    match client.account() {
        None => Ok(claimed),
        Some(own) if named.is_none() || claimed == own => Ok(own),
        Some(_) => Err(InvalidField {
            field: "cedarpulley-account",
            cause: "is not the one that the client's certificate speaks for".to_owned(),
        }),
    }
}

fn unknown(field: &'static str, name: &str) -> InvalidField {
    InvalidField {
        field,
        cause: format!("'{name}' is unknown"),
    }
}

/// Parses the session in a request's body, if sessions are tracked.
pub(crate) fn parse_session(
    handler: &RequestHandler,
    body: &Payload,
) -> Result<Option<Session>, sequences::InvalidSequence> {
    if !handler.context.tracks_sessions {
        return Ok(None);
    }
    let json = body.first_part_length.map_or(&body.bytes[..], |length| {
        body.bytes.get(..length as usize).unwrap_or_default()
    });
    let to_session = |sequence: sequences::Sequence| Session {
        id: Arc::from(sequence.id),
        is_first: sequence.start,
        is_last: sequence.end,
    };
    Ok(sequences::parse(json)?.map(to_session))
}
