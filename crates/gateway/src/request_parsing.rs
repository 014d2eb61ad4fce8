//! Parses requests of KServe clients: heads with all names resolved, sessions, and bodies within their limits of size
//! and time.

use std::sync::Arc;

use async_io::Timer;
use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_kserve::sequences;
use cedarpulley_kserve::serving::{self, Misunderstood};
use cedarpulley_net::micros;
use cedarpulley_router::{Payload, Session, Taken};
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::Incoming;

use crate::client_connection::ClientConnection;
use crate::request_handling::RequestHandler;

/// A body has to be complete within this time after its head, in microseconds.
const BODY_TIMEOUT: Micros = 10_000_000;
/// Correlates the logs of clients, routers and workers.
const REQUEST_ID: &str = "x-request-id";

/// Why a body could not be read whole.
pub enum BodyError {
    /// It is longer than allowed.
    TooLarge,
    /// The client disconnected, or broke the protocol.
    Interrupted,
    /// It was not complete in time.
    TimedOut,
}

/// Limits the time for reading a body.
pub(crate) async fn with_body_timeout<T>(
    reading: impl Future<Output = Result<T, BodyError>>,
) -> Result<T, BodyError> {
    let timeout = async {
        Timer::after(micros(BODY_TIMEOUT)).await;
        Err(BodyError::TimedOut)
    };
    reading.or(timeout).await
}

/// Reads a whole body of up to `max_bytes`; `first` are the bytes already read.
pub(crate) async fn read_body(
    mut body: Incoming,
    first: Bytes,
    max_bytes: u64,
) -> Result<Bytes, BodyError> {
    with_body_timeout(async {
        let mut size = first.len() as u64;
        let mut chunks = vec![first];
        loop {
            if size > max_bytes {
                return Err(BodyError::TooLarge);
            }
            match body.frame().await {
                None => break,
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        size += data.len() as u64;
                        chunks.push(data);
                    }
                }
                Some(Err(_)) => return Err(BodyError::Interrupted),
            }
        }
        Ok(
            match chunks.iter().filter(|chunk| !chunk.is_empty()).count() {
                1 => chunks
                    .into_iter()
                    .find(|chunk| !chunk.is_empty())
                    .unwrap_or_default(),
                _ => Bytes::from(chunks.concat()),
            },
        )
    })
    .await
}

/// Parses a request's head and resolves all names; the body is read later.
pub(crate) fn parse_head(
    handler: &RequestHandler,
    client: &ClientConnection,
    headers: &HeaderMap,
    function: String,
) -> Result<Taken, Misunderstood> {
    let context = &handler.context;
    let metadata = serving::wanted(headers, context.clock.wall())?;
    let trigger = context
        .names
        .trigger(&metadata.kind)
        .ok_or_else(|| unknown("cedarpulley-trigger-type", &metadata.kind))?;
    let account = account(handler, client, metadata.account.as_deref())?;
    Ok(Taken {
        delivery: handler.delivery(),
        identity: None,
        mark: headers
            .get(REQUEST_ID)
            .and_then(|value| value.to_str().ok())
            .map(Arc::from),
        redelivered: false,
        repeat: metadata.repeat,
        trigger,
        account,
        function: Arc::from(function),
        token: metadata.token.map(Arc::from),
        waited: metadata.waited,
        client_timeout: metadata.client_timeout.unwrap_or(Micros::MAX / 8),
        cost_hint: metadata.cost_hint,
        load_hint: metadata.load_hint,
        copy_mb: metadata.copy_mb,
        lanes: metadata.lanes,
        session: None,
        named: None,
        prefers: None,
        refused: None,
        body: Payload {
            bytes: Bytes::new(),
            first: metadata.json,
        },
    })
}

/// The account of a request: the one that it names, which has to be that of the client's certificate, if there is one.
fn account(
    handler: &RequestHandler,
    client: &ClientConnection,
    named: Option<&str>,
) -> Result<u32, Misunderstood> {
    let claimed = handler
        .context
        .names
        .account(named)
        .ok_or_else(|| unknown("cedarpulley-account", named.unwrap_or_default()))?;
    match client.account() {
        None => Ok(claimed),
        Some(own) if named.is_none() || claimed == own => Ok(own),
        Some(_) => Err(Misunderstood {
            field: "cedarpulley-account",
            cause: "is not the one that the client's certificate speaks for".to_owned(),
        }),
    }
}

fn unknown(field: &'static str, name: &str) -> Misunderstood {
    Misunderstood {
        field,
        cause: format!("'{name}' is unknown"),
    }
}

/// The session given in a request's body, if sessions are tracked.
pub(crate) fn parse_session(
    handler: &RequestHandler,
    body: &Payload,
) -> Result<Option<Session>, sequences::NoSequence> {
    if !handler.context.tracks_sessions {
        return Ok(None);
    }
    let json = body.first.map_or(&body.bytes[..], |length| {
        body.bytes.get(..length as usize).unwrap_or_default()
    });
    let to_session = |sequence: sequences::Sequence| Session {
        id: Arc::from(sequence.id),
        start: sequence.start,
        end: sequence.end,
    };
    Ok(sequences::of(json)?.map(to_session))
}
