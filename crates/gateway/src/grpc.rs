//! The KServe v2 front over gRPC. `cedarpulley_kserve::rpc` interprets calls and `serving` their headers;
//! here are HTTP/2 streams and limits; what this shares with REST is in [`request_handling`](crate::request_handling) and
//! [`request_parsing`](crate::request_parsing).

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;

use async_executor::LocalExecutor;
use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_kserve::rpc::inference as wire;
use cedarpulley_kserve::rpc::{self, Code, InvalidCall, Method};
use cedarpulley_kserve::sequences::NoSequence;
use cedarpulley_kserve::serving::{self, Misunderstood, function};
use cedarpulley_kserve::tensors::{self, ConversionError};
use cedarpulley_net::{Bell, micros};
use cedarpulley_router::entry::Entry;
use cedarpulley_router::{Answer, Fate, Payload, Reason, Taken};
use futures_lite::{AsyncRead, AsyncWrite};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use prost::Message;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use thiserror::Error;

use crate::answer_body::{AnswerBody, Reply, UnreadAnswer};
use crate::client_connection::ClientConnection;
use crate::outcome_names::{fate_name, reason_name, rejection_name};
use crate::request_handling::{RequestHandler, serve_until_closed};
use crate::request_parsing::{BodyError, parse_head, parse_session, read_body, with_body_timeout};

mod queries;

const MAX_HEADER_BYTES: u32 = 32 * 1024;
/// Bytes that a peer may send on one stream, and on all its streams, before they are read. This bounds what
/// waits for each connection, however many requests are open.
const STREAM_WINDOW: u32 = 64 * 1024;
const CONNECTION_WINDOW: u32 = 1024 * 1024;
/// Bytes of one answer handed over and not yet taken by the peer.
const MAX_SEND_BYTES: usize = 64 * 1024;
/// Streams reset before they were handled, or reset for our own errors; beyond, the connection is closed.
const MAX_RESETS: usize = 32;
/// A peer that answers no ping in time is gone; otherwise its streams would wait for the kernel's time-outs.
/// In microseconds.
const PING_INTERVAL: Micros = 20_000_000;
const PING_TIMEOUT: Micros = 10_000_000;

/// Runs HTTP/2 streams on the router's one thread.
#[derive(Clone)]
struct LocalTasks(Rc<LocalExecutor<'static>>);

impl<F: Future + 'static> hyper::rt::Executor<F> for LocalTasks
where
    F::Output: 'static,
{
    fn execute(&self, future: F) {
        self.0.spawn(future).detach();
    }
}

/// Serves one HTTP/2 connection until it ends.
pub(crate) async fn serve(
    handler: Rc<RequestHandler>,
    client: Rc<ClientConnection>,
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    stop: Bell,
) {
    let mut builder = http2::Builder::new(LocalTasks(handler.context.executor.clone()));
    builder.timer(SmolTimer::new());
    builder
        .max_concurrent_streams(handler.max_streams)
        .max_header_list_size(MAX_HEADER_BYTES);
    builder
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW);
    builder.max_send_buf_size(MAX_SEND_BYTES);
    builder
        .max_pending_accept_reset_streams(MAX_RESETS)
        .max_local_error_reset_streams(MAX_RESETS);
    builder
        .keep_alive_interval(micros(PING_INTERVAL))
        .keep_alive_timeout(micros(PING_TIMEOUT));
    let service = service_fn(|request| {
        let handled = handle(handler.clone(), client.clone(), request);
        async move { Ok::<_, Infallible>(handled.await) }
    });
    let connection = pin!(builder.serve_connection(FuturesIo::new(stream), service));
    serve_until_closed(connection, stop, |connection| {
        connection.graceful_shutdown()
    })
    .await;
}

fn response(body: Bytes, trailers: HeaderMap, unread: Option<UnreadAnswer>) -> Reply {
    let mut reply = if body.is_empty() {
        // Head and trailers in one, as the protocol has it for calls that end without a message.
        let mut reply = Response::new(AnswerBody::new(body, None, unread));
        *reply.headers_mut() = trailers;
        reply
    } else {
        Response::new(AnswerBody::new(body, Some(trailers), unread))
    };
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(rpc::CONTENT));
    reply
}

fn message_response(message: &impl Message) -> Reply {
    response(rpc::frame(message), rpc::trailers(Code::Ok, "", None), None)
}

fn error_response(code: Code, cause: &str) -> Reply {
    response(Bytes::new(), rpc::trailers(code, cause, None), None)
}

/// Ends a call without a message, with outcome and reason beside the code. `retry_after`: in microseconds.
fn status_response(
    code: Code,
    outcome: &'static str,
    reason: &'static str,
    retry_after: Option<Micros>,
) -> Reply {
    let mut trailers = rpc::trailers(code, reason, retry_after);
    trailers.insert(serving::FATE, HeaderValue::from_static(outcome));
    trailers.insert(serving::REASON, HeaderValue::from_static(reason));
    response(Bytes::new(), trailers, None)
}

/// Why an inference call cannot be used; shown to the client.
#[derive(Debug, Error)]
enum MalformedCall {
    #[error(transparent)]
    Header(#[from] Misunderstood),
    #[error("{}: {}", rpc::TIMEOUT, .0.cause())]
    Timeout(InvalidCall),
    #[error("larger than {max_bytes} bytes")]
    TooLarge { max_bytes: u64 },
    #[error("{}", .0.cause())]
    Frame(InvalidCall),
    #[error("the message cannot be read")]
    Message(#[from] prost::DecodeError),
    #[error("model_name: no model has such a name")]
    ModelName,
    #[error(transparent)]
    Tensors(#[from] ConversionError),
    #[error(transparent)]
    Session(#[from] NoSequence),
}

/// Rejects a malformed call, and counts it.
fn malformed_response(handler: &RequestHandler, malformed: &MalformedCall) -> Reply {
    handler.context.count_malformed();
    error_response(Code::InvalidArgument, &malformed.to_string())
}

async fn handle(
    handler: Rc<RequestHandler>,
    client: Rc<ClientConnection>,
    request: Request<Incoming>,
) -> Reply {
    let content = request
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    if !content.starts_with(rpc::CONTENT) || request.method() != hyper::Method::POST {
        let mut reply = Response::new(AnswerBody::new(Bytes::new(), None, None));
        *reply.status_mut() = StatusCode::UNSUPPORTED_MEDIA_TYPE;
        return reply;
    }
    let method = match rpc::method(request.uri().path()) {
        Some(Method::ModelInfer) => return infer(handler, client, request).await,
        Some(method) => method,
        None => return error_response(Code::Unimplemented, "no such method"),
    };
    // None of these requests carries more than a name.
    let max_bytes = u64::from(MAX_HEADER_BYTES);
    let body = match read_body(request.into_body(), Bytes::new(), max_bytes).await {
        Ok(body) => body,
        Err(error) => return body_error_response(error),
    };
    match rpc::unframe(body) {
        Ok(message) => queries::query_response(&handler, method, message),
        Err(error) => error_response(Code::InvalidArgument, error.cause()),
    }
}

fn body_error_response(error: BodyError) -> Reply {
    match error {
        BodyError::TooLarge => error_response(Code::InvalidArgument, "the message is too large"),
        BodyError::Interrupted => error_response(Code::InvalidArgument, "the message broke off"),
        BodyError::TimedOut => {
            error_response(Code::InvalidArgument, "the message was not whole in time")
        }
    }
}

/// Reads as much as contains the message's length.
async fn read_length(body: &mut Incoming) -> Result<Bytes, BodyError> {
    with_body_timeout(async {
        let mut first = Vec::new();
        while first.len() < rpc::FRAME {
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        first.extend_from_slice(&data);
                    }
                }
                Some(Err(_)) | None => return Err(BodyError::Interrupted),
            }
        }
        Ok(Bytes::from(first))
    })
    .await
}

async fn infer(
    handler: Rc<RequestHandler>,
    client: Rc<ClientConnection>,
    request: Request<Incoming>,
) -> Reply {
    let (head, mut body) = request.into_parts();
    let mut taken = match parse_infer_head(&handler, &client, &head.headers) {
        Ok(taken) => taken,
        Err(malformed) => return malformed_response(&handler, &malformed),
    };
    let began = handler.context.clock.now();
    let first = match read_length(&mut body).await {
        Ok(first) => first,
        Err(error) => return body_error_response(error),
    };
    let message_length = u32::from_be_bytes([first[1], first[2], first[3], first[4]]);
    let announced_bytes = rpc::FRAME as u64 + u64::from(message_length);
    if announced_bytes > handler.max_body_bytes {
        let malformed = MalformedCall::TooLarge {
            max_bytes: handler.max_body_bytes,
        };
        return malformed_response(&handler, &malformed);
    }
    taken.waited += handler.context.clock.now() - began;
    // Rejected before it is taken: no other answer is owed, and nothing of it was executed.
    let open = match handler.admit(&client, &taken, announced_bytes) {
        Ok(open) => open,
        Err(entry) => return rejection_response(entry),
    };
    let body = match read_body(body, first, announced_bytes).await {
        Ok(body) => body,
        Err(error) => return body_error_response(error),
    };
    if let Err(malformed) = parse_infer_body(&handler, body, &mut taken) {
        return malformed_response(&handler, &malformed);
    }
    match open.answer(taken).await {
        Some((answer, unread)) => answer_response(answer, unread),
        None => error_response(Code::Internal, "no answer was found"),
    }
}

/// Parses the headers of an inference call.
fn parse_infer_head(
    handler: &RequestHandler,
    client: &ClientConnection,
    headers: &HeaderMap,
) -> Result<Taken, MalformedCall> {
    let mut taken = parse_head(handler, client, headers, String::new())?;
    if let Some(timeout) = rpc::timeout(headers).map_err(MalformedCall::Timeout)? {
        taken.client_timeout = taken.client_timeout.min(timeout);
    }
    Ok(taken)
}

/// Parses the message of an inference call into `taken`.
fn parse_infer_body(
    handler: &RequestHandler,
    body: Bytes,
    taken: &mut Taken,
) -> Result<(), MalformedCall> {
    let message = rpc::unframe(body).map_err(MalformedCall::Frame)?;
    let message = wire::ModelInferRequest::decode(message)?;
    let function =
        function(&message.model_name, &message.model_version).ok_or(MalformedCall::ModelName)?;
    let rest_body = tensors::request(&message)?;
    taken.function = Arc::from(function);
    taken.body = Payload {
        bytes: rest_body.bytes,
        first: rest_body.json,
    };
    taken.session = parse_session(handler, &taken.body)?;
    Ok(())
}

fn rejection_response(entry: Entry) -> Reply {
    match entry {
        Entry::TurnedAway { why, come_back } => status_response(
            Code::ResourceExhausted,
            "throttled",
            rejection_name(why),
            Some(come_back),
        ),
        Entry::Enter => error_response(Code::Internal, "no entry was found"),
    }
}

fn answer_response(answer: Answer, unread: UnreadAnswer) -> Reply {
    let reason = reason_name(answer.reason);
    match answer.fate {
        Fate::Succeeded => {
            let rest_body = tensors::Rest {
                bytes: answer.body.bytes,
                json: answer.body.first,
            };
            match tensors::response(&rest_body) {
                Ok(message) => {
                    let mut trailers = rpc::trailers(Code::Ok, "", None);
                    trailers.insert(
                        serving::FATE,
                        HeaderValue::from_static(fate_name(answer.fate)),
                    );
                    trailers.insert(serving::REASON, HeaderValue::from_static(reason));
                    response(rpc::frame(&message), trailers, Some(unread))
                }
                // It was executed, but its result cannot be expressed here.
                Err(cause) => {
                    error_response(Code::Unknown, &format!("the worker's answer: {cause}"))
                }
            }
        }
        Fate::Throttled => status_response(
            Code::ResourceExhausted,
            "throttled",
            reason,
            answer.return_after,
        ),
        Fate::Errored if answer.reason == Reason::Overdue => {
            status_response(Code::DeadlineExceeded, "errored", reason, None)
        }
        Fate::Errored => status_response(Code::Unknown, "errored", reason, None),
    }
}
