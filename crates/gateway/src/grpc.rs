//! The KServe v2 front over gRPC. `cedarpulley_kserve::rpc` interprets calls and `serving` their headers;
//! here are HTTP/2 streams and limits; what this shares with REST is in `request_handling.rs`.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;

use async_executor::LocalExecutor;
use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_kserve::client_requests::{self, function_name};
use cedarpulley_kserve::grpc::inference as wire;
use cedarpulley_kserve::grpc::{self, Code, Method};
use cedarpulley_kserve::tensors;
use cedarpulley_net::{Notifier, duration_from_micros};
use cedarpulley_router::admission_control::AdmissionDecision;
use cedarpulley_router::{Answer, AnswerReason, FinalOutcome, Payload};
use futures_lite::{AsyncRead, AsyncWrite};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use prost::Message;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::outcome_names::{fate_name, reason_name, rejection_name};
use crate::request_handling::{
    AnswerBody, BodyError, ClientConnection, Reply, RequestHandler, UnreadAnswer, parse_head,
    parse_session, read_body, serve_until_closed, with_body_timeout,
};

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

pub(crate) async fn serve(
    handler: Rc<RequestHandler>,
    client: Rc<ClientConnection>,
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    stop: Notifier,
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
        .keep_alive_interval(duration_from_micros(PING_INTERVAL))
        .keep_alive_timeout(duration_from_micros(PING_TIMEOUT));
    let service = service_fn(|request| {
        let handled = handle(handler.clone(), client.clone(), request);
        async move { Ok::<_, Infallible>(handled.await) }
    });
    let connection = pin!(builder.serve_connection(FuturesIo::new(stream), service));
    serve_until_closed(connection, stop, |c| c.graceful_shutdown()).await;
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

/// Ends a call without a message, with fate and reason beside the code.
fn status_response(
    code: Code,
    fate: &'static str,
    why: &'static str,
    come_back: Option<Micros>,
) -> Reply {
    let mut trailers = grpc::trailers(code, why, come_back);
    trailers.insert(client_requests::OUTCOME, HeaderValue::from_static(fate));
    trailers.insert(client_requests::REASON, HeaderValue::from_static(why));
    response(Bytes::new(), trailers, None)
}

async fn handle(
    handler: Rc<RequestHandler>,
    client: Rc<ClientConnection>,
    request: Request<Incoming>,
) -> Reply {
    let content = request
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default();
    if !content.starts_with(grpc::CONTENT_TYPE) || request.method() != hyper::Method::POST {
        let mut reply = Response::new(AnswerBody::new(Bytes::new(), None, None));
        *reply.status_mut() = StatusCode::UNSUPPORTED_MEDIA_TYPE;
        return reply;
    }
    let method = match grpc::method(request.uri().path()) {
        Some(Method::ModelInfer) => return infer(handler, client, request).await,
        Some(method) => method,
        None => return error_response(Code::Unimplemented, "no such method"),
    };
    // None of these requests carries more than a name.
    let body = match read_body(
        request.into_body(),
        Bytes::new(),
        u64::from(MAX_HEADER_BYTES),
    )
    .await
    {
        Ok(body) => body,
        Err(why) => return body_error_response(why),
    };
    let message = match grpc::unframe(body) {
        Ok(message) => message,
        Err(why) => return error_response(Code::InvalidArgument, why.cause()),
    };
    let named = |message: Bytes| match wire::ModelReadyRequest::decode(message) {
        Ok(m) => function_name(&m.name, &m.version).ok_or("no model has such a name"),
        Err(_) => Err("the message cannot be read"),
    };
    match method {
        Method::ServerLive => message_response(&wire::ServerLiveResponse { live: true }),
        Method::ServerReady => message_response(&wire::ServerReadyResponse {
            ready: handler.is_ready(),
        }),
        Method::ServerMetadata => message_response(&wire::ServerMetadataResponse {
            name: "cedarpulley".into(),
            version: env!("CARGO_PKG_VERSION").into(),
            extensions: client_requests::EXTENSIONS.map(str::to_owned).to_vec(),
        }),
        Method::ModelReady => match named(message) {
            // Functions are loaded on demand: any may be asked for.
            Ok(_) => message_response(&wire::ModelReadyResponse { ready: true }),
            Err(why) => error_response(Code::InvalidArgument, why),
        },
        // Its request message is the same as that of readiness.
        Method::ModelMetadata => match named(message) {
            Ok(function) => {
                let (name, version) = client_requests::split_version(&function);
                let versions = if version.is_empty() {
                    vec![]
                } else {
                    vec![version.to_owned()]
                };
                let name = name.to_owned();
                message_response(&wire::ModelMetadataResponse {
                    name,
                    versions,
                    ..Default::default()
                })
            }
            Err(why) => error_response(Code::InvalidArgument, why),
        },
        Method::RepositoryIndex => {
            let models = (handler.resources.functions)().into_iter().map(|f| {
                let (name, version) = client_requests::split_version(&f);
                wire::repository_index_response::ModelIndex {
                    name: name.into(),
                    version: version.into(),
                    state: "READY".into(),
                    reason: String::new(),
                }
            });
            message_response(&wire::RepositoryIndexResponse {
                models: models.collect(),
            })
        }
        Method::ModelInfer => error_response(Code::Internal, "not here"),
    }
}

fn body_error_response(why: BodyError) -> Reply {
    match why {
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
    client: Rc<ClientConnection>,
    request: Request<Incoming>,
) -> Reply {
    let (head, mut body) = request.into_parts();
    let misunderstood = |cause: &str| {
        handler.context.count_malformed();
        error_response(Code::InvalidArgument, cause)
    };
    let mut taken = match parse_head(&handler, &client, &head.headers, String::new()) {
        Ok(taken) => taken,
        Err(e) => return misunderstood(&format!("{}: {}", e.field, e.cause)),
    };
    match grpc::timeout(&head.headers) {
        Ok(None) => {}
        Ok(Some(timeout)) => taken.client_timeout = taken.client_timeout.min(timeout),
        Err(cause) => return misunderstood(&format!("{}: {cause}", grpc::TIMEOUT)),
    }
    let began = handler.context.clock.now();
    let first = match read_length(&mut body).await {
        Ok(first) => first,
        Err(why) => return body_error_response(why),
    };
    let message_length = u32::from_be_bytes([first[1], first[2], first[3], first[4]]);
    let announced_bytes = grpc::FRAME_HEADER_BYTES as u64 + u64::from(message_length);
    if announced_bytes > handler.max_body_bytes {
        return misunderstood(&format!("larger than {} bytes", handler.max_body_bytes));
    }
    taken.waited += handler.context.clock.now() - began;
    // Turned away before it is taken: no other answer is owed, and nothing of it has run.
    let open = match handler.admit(&client, &taken, announced_bytes) {
        Ok(open) => open,
        Err(AdmissionDecision::Rejected {
            reason: why,
            retry_after: come_back,
        }) => {
            return status_response(
                Code::ResourceExhausted,
                "throttled",
                rejection_name(why),
                Some(come_back),
            );
        }
        Err(AdmissionDecision::Admitted) => {
            return error_response(Code::Internal, "no entry was found");
        }
    };
    let body = match read_body(body, first, announced_bytes).await {
        Ok(body) => body,
        Err(why) => return body_error_response(why),
    };
    let message = match grpc::unframe(body) {
        Ok(message) => message,
        Err(why) => return misunderstood(why.cause()),
    };
    let Ok(message) = wire::ModelInferRequest::decode(message) else {
        return misunderstood("the message cannot be read");
    };
    let Some(function) = function_name(&message.model_name, &message.model_version) else {
        return misunderstood("model_name: no model has such a name");
    };
    let rest = match tensors::encode_request(&message) {
        Ok(rest) => rest,
        Err(cause) => return misunderstood(&cause.to_string()),
    };
    taken.function = Arc::from(function);
    taken.body = Payload {
        bytes: rest.bytes,
        first_part_length: rest.json_length,
    };
    taken.session = match parse_session(&handler, &taken.body) {
        Ok(session) => session,
        Err(why) => return misunderstood(&why.to_string()),
    };
    match open.answer(taken).await {
        Some((answer, unread)) => answer_response(answer, unread),
        None => error_response(Code::Internal, "no answer was found"),
    }
}

fn answer_response(answer: Answer, unread: UnreadAnswer) -> Reply {
    let why = reason_name(answer.reason);
    match answer.outcome {
        FinalOutcome::Succeeded => {
            let rest = tensors::InferenceBody {
                bytes: answer.body.bytes,
                json_length: answer.body.first_part_length,
            };
            match tensors::decode_response(&rest) {
                Ok(message) => {
                    let mut trailers = grpc::trailers(Code::Ok, "", None);
                    trailers.insert(
                        client_requests::OUTCOME,
                        HeaderValue::from_static(fate_name(answer.outcome)),
                    );
                    trailers.insert(client_requests::REASON, HeaderValue::from_static(why));
                    response(grpc::frame(&message), trailers, Some(unread))
                }
                // It has run, but its result cannot be expressed here.
                Err(cause) => {
                    error_response(Code::Unknown, &format!("the worker's answer: {cause}"))
                }
            }
        }
        FinalOutcome::Throttled => status_response(
            Code::ResourceExhausted,
            "throttled",
            why,
            answer.retry_after,
        ),
        FinalOutcome::Errored if answer.reason == AnswerReason::Overdue => {
            status_response(Code::DeadlineExceeded, "errored", why, None)
        }
        FinalOutcome::Errored => status_response(Code::Unknown, "errored", why, None),
    }
}
