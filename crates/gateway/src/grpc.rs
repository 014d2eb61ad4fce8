//! The KServe v2 front over gRPC. `cedarpulley_kserve::grpc` interprets calls, and
//! `cedarpulley_kserve::client_requests` their headers; this module handles HTTP/2 streams and limits. Code shared with
//! the REST front is in [`request_handling`](crate::request_handling) and [`request_parsing`](crate::request_parsing).

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_kserve::client_requests::{self, InvalidField, function_name};
use cedarpulley_kserve::grpc::inference as wire;
use cedarpulley_kserve::grpc::{self, Code, InvalidCall, Method};
use cedarpulley_kserve::sequences::InvalidSequence;
use cedarpulley_kserve::tensors::{self, ConversionError};
use cedarpulley_net::{Notifier, duration_from_micros};
use cedarpulley_router::admission_control::AdmissionDecision;
use cedarpulley_router::{
    Answer, AnswerReason, FinalOutcome, FrontIndex, IncomingInvocation, Payload,
};
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
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
use crate::client_connection::{ClientConnection, ServedRequest};
use crate::input_memory::CallInput;
use crate::outcome_names::{outcome_name, reason_name, rejection_name};
use crate::request_handling::{RequestHandler, serve_until_closed};
use crate::request_parsing::{BodyError, parse_head, parse_session, read_body, with_body_timeout};
use crate::task_owner::{Executor, TaskOwner};

mod queries;

/// Limit on the fields of a head, each of which counts with 32 bytes beside its name and value. Short fields take several
/// times these bytes of memory.
const MAX_HEADER_BYTES: u32 = 8 * 1024;
/// Limit on the message of a call that is not an inference: it contains the name and version of a model at most.
const MAX_QUERY_BYTES: u64 = 32 * 1024;
/// Flow-control windows in bytes, of one stream and of a connection: the peer may send this much before it is read. The
/// windows limit the unread data of each connection, however many requests are open.
const STREAM_WINDOW: u32 = 64 * 1024;
const CONNECTION_WINDOW: u32 = 1024 * 1024;
/// Limit on the bytes of one answer that are buffered until the peer accepts them.
const MAX_SEND_BYTES: usize = 64 * 1024;
/// Limit on streams that the peer resets before they are handled, and on streams reset by this router because of
/// errors; above it, the connection is closed.
const MAX_RESETS: usize = 32;
/// Most bytes that are read behind a call before it is passed on. A call behind which more lies is refused: its client may have
/// left. This includes a call beside long messages on the same connection, if they come as fast as they are read.
const MAX_BYTES_BEHIND: u64 = 4 << 20;
/// Interval of pings and time limit for their answers, in microseconds. A connection whose peer does not answer is
/// closed; without pings its streams would stay open until the kernel's time-outs.
const PING_INTERVAL: Micros = 20_000_000;
const PING_TIMEOUT: Micros = 10_000_000;

/// Runs HTTP/2 streams on the router's single thread.
#[derive(Clone)]
struct LocalTasks {
    executor: Executor,
    front: FrontIndex,
}

impl<F: Future + 'static> hyper::rt::Executor<F> for LocalTasks
where
    F::Output: 'static,
{
    fn execute(&self, future: F) {
        let owner = TaskOwner::Call(self.front);
        self.executor.spawn(owner, future).detach();
    }
}

/// Serves one HTTP/2 connection until it ends.
pub(crate) async fn serve(
    handler: Rc<RequestHandler>,
    client: Rc<ClientConnection>,
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    stop: Notifier,
) {
    let mut builder = http2::Builder::new(LocalTasks {
        executor: handler.context.executor.clone(),
        front: handler.front,
    });
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
        .keep_alive_interval(duration_from_micros(PING_INTERVAL))
        .keep_alive_timeout(duration_from_micros(PING_TIMEOUT));
    let input = Rc::new(handler.resources.input_memory.connection());
    let service = service_fn(|request| {
        let handled = handle(handler.clone(), client.clone(), input.call(), request);
        async move { Ok::<_, Infallible>(handled.await) }
    });
    let connection = pin!(builder.serve_connection(FuturesIo::new(stream), service));
    let served = serve_until_closed(connection, stop, |connection| {
        connection.graceful_shutdown()
    });
    served.or(input.closing()).await;
}

fn response(body: Bytes, trailers: HeaderMap, unread: Option<UnreadAnswer>) -> Reply {
    let mut reply = if body.is_empty() {
        // The protocol combines head and trailers for calls that end without a message (trailers-only response).
        let mut reply = Response::new(AnswerBody::new(body, None, unread));
        *reply.headers_mut() = trailers;
        reply
    } else {
        Response::new(AnswerBody::new(body, Some(trailers), unread))
    };
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(grpc::CONTENT_TYPE));
    reply
}

fn message_response(message: &impl Message) -> Reply {
    response(
        grpc::frame(message),
        grpc::trailers(Code::Ok, "", None),
        None,
    )
}

fn error_response(code: Code, cause: &str) -> Reply {
    response(Bytes::new(), grpc::trailers(code, cause, None), None)
}

/// Ends a call without a message, with outcome and reason in addition to the code. `retry_after`: in microseconds.
fn status_response(
    code: Code,
    outcome: &'static str,
    reason: &'static str,
    retry_after: Option<Micros>,
) -> Reply {
    let mut trailers = grpc::trailers(code, reason, retry_after);
    trailers.insert(client_requests::OUTCOME, HeaderValue::from_static(outcome));
    trailers.insert(client_requests::REASON, HeaderValue::from_static(reason));
    response(Bytes::new(), trailers, None)
}

/// Why an inference call is malformed; the texts are sent to the client.
#[derive(Debug, Error)]
enum MalformedCall {
    #[error(transparent)]
    Header(#[from] InvalidField),
    #[error("{}: {}", grpc::TIMEOUT, .0.cause())]
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
    Session(#[from] InvalidSequence),
}

/// Rejects a malformed call, and counts it.
fn malformed_response(handler: &RequestHandler, malformed: &MalformedCall) -> Reply {
    handler.context.count_malformed();
    error_response(Code::InvalidArgument, &malformed.to_string())
}

async fn handle(
    handler: Rc<RequestHandler>,
    client: Rc<ClientConnection>,
    mut call: CallInput,
    request: Request<Incoming>,
) -> Reply {
    let served = client.serve(handler.context.clock);
    let content = request
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    if !content.starts_with(grpc::CONTENT_TYPE) || request.method() != hyper::Method::POST {
        let mut reply = Response::new(AnswerBody::new(Bytes::new(), None, None));
        *reply.status_mut() = StatusCode::UNSUPPORTED_MEDIA_TYPE;
        return reply;
    }
    let method = match grpc::parse_method(request.uri().path()) {
        Some(Method::ModelInfer) => return infer(handler, &served, call, request).await,
        Some(method) => method,
        None => return error_response(Code::Unimplemented, "no such method"),
    };
    let count = |bytes| call.add(bytes);
    let body = read_body(request.into_body(), Bytes::new(), MAX_QUERY_BYTES, count).await;
    let body = match body {
        Ok(body) => body,
        Err(error) => return body_error_response(error),
    };
    served.completed();
    match grpc::unframe(body) {
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

/// Reads the start of a body, at least the frame header that contains the message's length.
async fn read_length(body: &mut Incoming) -> Result<Bytes, BodyError> {
    with_body_timeout(async {
        let mut first = Vec::new();
        while first.len() < grpc::FRAME_HEADER_BYTES {
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
    served: &ServedRequest,
    mut call: CallInput,
    request: Request<Incoming>,
) -> Reply {
    let client = served.client();
    let (head, mut body) = request.into_parts();
    let mut invocation = match parse_infer_head(&handler, client, &head.headers) {
        Ok(invocation) => invocation,
        Err(malformed) => return malformed_response(&handler, &malformed),
    };
    // The head may be far larger than all that is needed of it, and the message may take long to arrive.
    drop(head);
    let began = handler.context.clock.now();
    let first = match read_length(&mut body).await {
        Ok(first) => first,
        Err(error) => return body_error_response(error),
    };
    let message_length = u32::from_be_bytes([first[1], first[2], first[3], first[4]]);
    let announced_bytes = grpc::FRAME_HEADER_BYTES as u64 + u64::from(message_length);
    if announced_bytes > handler.max_body_bytes {
        let malformed = MalformedCall::TooLarge {
            max_bytes: handler.max_body_bytes,
        };
        return malformed_response(&handler, &malformed);
    }
    invocation.waited += handler.context.clock.now() - began;
    // A call rejected here has not been accepted: nothing was executed, and the rejection is its only answer.
    let open = match handler.admit(client, &invocation, announced_bytes) {
        Ok(open) => open,
        Err(decision) => return rejection_response(decision),
    };
    call.admitted();
    let body = match read_body(body, first, announced_bytes, |_| {}).await {
        Ok(body) => body,
        Err(error) => return body_error_response(error),
    };
    served.completed();
    if let Err(malformed) = parse_infer_body(&handler, body, &mut invocation) {
        return malformed_response(&handler, &malformed);
    }
    if let Err(reply) = read_to_end(client).await {
        return reply;
    }
    match open.answer(invocation).await {
        Some((answer, unread)) => answer_response(answer, unread),
        None => error_response(Code::Internal, "no answer was found"),
    }
}

/// Waits until all that the client has sent is read, as it may have left behind the call; fails with the reply to the call.
async fn read_to_end(client: &ClientConnection) -> Result<(), Reply> {
    let progress = client.read_progress();
    let caught_up = async { Ok(progress.caught_up(MAX_BYTES_BEHIND).await) };
    match with_body_timeout(caught_up).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(unread)) => Err(error_response(Code::ResourceExhausted, &unread.to_string())),
        Err(error) => Err(body_error_response(error)),
    }
}

/// Parses the headers of an inference call.
fn parse_infer_head(
    handler: &RequestHandler,
    client: &ClientConnection,
    headers: &HeaderMap,
) -> Result<IncomingInvocation, MalformedCall> {
    let mut invocation = parse_head(handler, client, headers, String::new())?;
    if let Some(timeout) = grpc::timeout(headers).map_err(MalformedCall::Timeout)? {
        invocation.client_timeout = invocation.client_timeout.min(timeout);
    }
    Ok(invocation)
}

/// Parses the message of an inference call into `invocation`.
fn parse_infer_body(
    handler: &RequestHandler,
    body: Bytes,
    invocation: &mut IncomingInvocation,
) -> Result<(), MalformedCall> {
    let message = grpc::unframe(body).map_err(MalformedCall::Frame)?;
    let message = wire::ModelInferRequest::decode(message)?;
    let function = function_name(&message.model_name, &message.model_version)
        .ok_or(MalformedCall::ModelName)?;
    let rest_body = tensors::encode_request(&message)?;
    invocation.function = Arc::from(function);
    invocation.body = Payload {
        bytes: rest_body.bytes,
        first_part_length: rest_body.json_length,
    };
    invocation.session = parse_session(handler, &invocation.body)?;
    Ok(())
}

fn rejection_response(decision: AdmissionDecision) -> Reply {
    match decision {
        AdmissionDecision::Rejected {
            reason,
            retry_after,
        } => status_response(
            Code::ResourceExhausted,
            "throttled",
            rejection_name(reason),
            Some(retry_after),
        ),
        AdmissionDecision::Admitted => error_response(Code::Internal, "no entry was found"),
    }
}

fn answer_response(answer: Answer, unread: UnreadAnswer) -> Reply {
    let reason = reason_name(answer.reason);
    match answer.outcome {
        FinalOutcome::Succeeded => {
            let rest_body = tensors::InferenceBody {
                bytes: answer.body.bytes,
                json_length: answer.body.first_part_length,
            };
            match tensors::decode_response(&rest_body) {
                Ok(message) => {
                    let mut trailers = grpc::trailers(Code::Ok, "", None);
                    trailers.insert(
                        client_requests::OUTCOME,
                        HeaderValue::from_static(outcome_name(answer.outcome)),
                    );
                    trailers.insert(client_requests::REASON, HeaderValue::from_static(reason));
                    response(grpc::frame(&message), trailers, Some(unread))
                }
                // The invocation was executed, but its result cannot be represented in gRPC.
                Err(cause) => {
                    error_response(Code::Unknown, &format!("the worker's answer: {cause}"))
                }
            }
        }
        FinalOutcome::Throttled => status_response(
            Code::ResourceExhausted,
            "throttled",
            reason,
            answer.retry_after,
        ),
        FinalOutcome::Errored if answer.reason == AnswerReason::Overdue => {
            status_response(Code::DeadlineExceeded, "errored", reason, None)
        }
        FinalOutcome::Errored => status_response(Code::Unknown, "errored", reason, None),
    }
}
