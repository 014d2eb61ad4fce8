//! The KServe v2 front over gRPC. What a call means is in `cedarpulley_kserve::rpc` and its headers in `serving`;
//! here are HTTP/2 streams and bounds; what it has in common with REST is in `calls.rs`.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;

use async_executor::LocalExecutor;
use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_kserve::rpc::inference as wire;
use cedarpulley_kserve::rpc::{self, Code, Method};
use cedarpulley_kserve::serving::{self, function};
use cedarpulley_kserve::tensors;
use cedarpulley_net::{Bell, micros};
use cedarpulley_router::entry::Entry;
use cedarpulley_router::{Answer, Fate, Payload, Reason};
use futures_lite::{AsyncRead, AsyncWrite};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use prost::Message;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::calls::{
    Calls, Line, Reply, Told, Unread, Unwhole, gather, session, to_its_end, understood, within,
};
use crate::words::{fate, reason, short};

const MOST_HEADERS: u32 = 32 * 1024;
/// What a peer may send of one stream, and of all its streams, before it is read: so much waits here at most for
/// each connection, whatever is at the door.
const STREAM_WINDOW: u32 = 64 * 1024;
const CONNECTION_WINDOW: u32 = 1024 * 1024;
/// Of one answer, handed over and not yet taken by the peer.
const MOST_SEND: usize = 64 * 1024;
/// Streams reset before they were looked at, and by our own errors: beyond, the connection is closed.
const MOST_RESETS: usize = 32;
/// A peer that answers no ping for so long has gone; else its streams would wait for the kernel's time-outs.
const PING_EVERY: Micros = 20_000_000;
const PING_WITHIN: Micros = 10_000_000;

/// HTTP/2 streams run on the router's one thread.
#[derive(Clone)]
struct Local(Rc<LocalExecutor<'static>>);

impl<F: Future + 'static> hyper::rt::Executor<F> for Local
where
    F::Output: 'static,
{
    fn execute(&self, future: F) {
        self.0.spawn(future).detach();
    }
}

pub(crate) async fn serve(
    calls: Rc<Calls>,
    line: Rc<Line>,
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    stop: Bell,
) {
    let mut builder = http2::Builder::new(Local(calls.context.executor.clone()));
    builder.timer(SmolTimer::new());
    builder.max_concurrent_streams(calls.most_streams).max_header_list_size(MOST_HEADERS);
    builder.initial_stream_window_size(STREAM_WINDOW).initial_connection_window_size(CONNECTION_WINDOW);
    builder.max_send_buf_size(MOST_SEND);
    builder.max_pending_accept_reset_streams(MOST_RESETS).max_local_error_reset_streams(MOST_RESETS);
    builder.keep_alive_interval(micros(PING_EVERY)).keep_alive_timeout(micros(PING_WITHIN));
    let service = service_fn(|request| {
        let handled = handle(calls.clone(), line.clone(), request);
        async move { Ok::<_, Infallible>(handled.await) }
    });
    let connection = pin!(builder.serve_connection(FuturesIo::new(stream), service));
    to_its_end(connection, stop, |c| c.graceful_shutdown()).await;
}

fn told(body: Bytes, trailers: HeaderMap, unread: Option<Unread>) -> Reply {
    let mut reply = if body.is_empty() {
        // All of it in one head, as the wire has it for calls that end without a message.
        let mut reply = Response::new(Told::new(body, None, unread));
        *reply.headers_mut() = trailers;
        reply
    } else {
        Response::new(Told::new(body, Some(trailers), unread))
    };
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(rpc::CONTENT));
    reply
}

fn good(message: &impl Message) -> Reply {
    told(rpc::frame(message), rpc::trailers(Code::Ok, "", None), None)
}

fn wrong(code: Code, cause: &str) -> Reply {
    told(Bytes::new(), rpc::trailers(code, cause, None), None)
}

/// Ends without a message, with fate and reason beside the code.
fn ended(code: Code, fate: &'static str, why: &'static str, come_back: Option<Micros>) -> Reply {
    let mut trailers = rpc::trailers(code, why, come_back);
    trailers.insert(serving::FATE, HeaderValue::from_static(fate));
    trailers.insert(serving::REASON, HeaderValue::from_static(why));
    told(Bytes::new(), trailers, None)
}

async fn handle(calls: Rc<Calls>, line: Rc<Line>, request: Request<Incoming>) -> Reply {
    let content = request.headers().get(CONTENT_TYPE).and_then(|v| v.to_str().ok()).unwrap_or_default();
    if !content.starts_with(rpc::CONTENT) || request.method() != hyper::Method::POST {
        let mut reply = Response::new(Told::new(Bytes::new(), None, None));
        *reply.status_mut() = StatusCode::UNSUPPORTED_MEDIA_TYPE;
        return reply;
    }
    let method = match rpc::method(request.uri().path()) {
        Some(Method::ModelInfer) => return infer(calls, line, request).await,
        Some(method) => method,
        None => return wrong(Code::Unimplemented, "no such method"),
    };
    // None of these bears more than a name.
    let body = match gather(request.into_body(), Bytes::new(), u64::from(MOST_HEADERS)).await {
        Ok(body) => body,
        Err(why) => return unwhole(why),
    };
    let message = match rpc::unframe(body) {
        Ok(message) => message,
        Err(why) => return wrong(Code::InvalidArgument, why.cause()),
    };
    let named = |message: Bytes| match wire::ModelReadyRequest::decode(message) {
        Ok(m) => function(&m.name, &m.version).ok_or("no model has such a name"),
        Err(_) => Err("the message cannot be read"),
    };
    match method {
        Method::ServerLive => good(&wire::ServerLiveResponse { live: true }),
        Method::ServerReady => good(&wire::ServerReadyResponse { ready: calls.ready() }),
        Method::ServerMetadata => good(&wire::ServerMetadataResponse {
            name: "cedarpulley".into(),
            version: env!("CARGO_PKG_VERSION").into(),
            extensions: serving::EXTENSIONS.map(str::to_owned).to_vec(),
        }),
        Method::ModelReady => match named(message) {
            // Functions are loaded on demand: each may be asked for.
            Ok(_) => good(&wire::ModelReadyResponse { ready: true }),
            Err(why) => wrong(Code::InvalidArgument, why),
        },
        // Its request is the same as that of readiness.
        Method::ModelMetadata => match named(message) {
            Ok(function) => {
                let (name, version) = serving::model(&function);
                let versions = if version.is_empty() { vec![] } else { vec![version.to_owned()] };
                let name = name.to_owned();
                good(&wire::ModelMetadataResponse { name, versions, ..Default::default() })
            }
            Err(why) => wrong(Code::InvalidArgument, why),
        },
        Method::RepositoryIndex => {
            let models = (calls.hall.functions)().into_iter().map(|f| {
                let (name, version) = serving::model(&f);
                wire::repository_index_response::ModelIndex {
                    name: name.into(),
                    version: version.into(),
                    state: "READY".into(),
                    reason: String::new(),
                }
            });
            good(&wire::RepositoryIndexResponse { models: models.collect() })
        }
        Method::ModelInfer => wrong(Code::Internal, "not here"),
    }
}

fn unwhole(why: Unwhole) -> Reply {
    match why {
        Unwhole::TooLarge => wrong(Code::InvalidArgument, "the message is too large"),
        Unwhole::BrokeOff => wrong(Code::InvalidArgument, "the message broke off"),
        Unwhole::Slow => wrong(Code::InvalidArgument, "the message was not whole in time"),
    }
}

/// As much as tells the message's length.
async fn begin(body: &mut Incoming) -> Result<Bytes, Unwhole> {
    within(async {
        let mut first = Vec::new();
        while first.len() < rpc::FRAME {
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        first.extend_from_slice(&data);
                    }
                }
                Some(Err(_)) | None => return Err(Unwhole::BrokeOff),
            }
        }
        Ok(Bytes::from(first))
    })
    .await
}

async fn infer(calls: Rc<Calls>, line: Rc<Line>, request: Request<Incoming>) -> Reply {
    let (head, mut body) = request.into_parts();
    let misunderstood = |cause: &str| {
        calls.context.count_malformed();
        wrong(Code::InvalidArgument, cause)
    };
    let mut taken = match understood(&calls, &line, &head.headers, String::new()) {
        Ok(taken) => taken,
        Err(e) => return misunderstood(&format!("{}: {}", e.field, e.cause)),
    };
    match rpc::timeout(&head.headers) {
        Ok(None) => {}
        Ok(Some(timeout)) => taken.client_timeout = taken.client_timeout.min(timeout),
        Err(cause) => return misunderstood(&format!("{}: {cause}", rpc::TIMEOUT)),
    }
    let began = calls.context.clock.now();
    let first = match begin(&mut body).await {
        Ok(first) => first,
        Err(why) => return unwhole(why),
    };
    let told_length = u32::from_be_bytes([first[1], first[2], first[3], first[4]]);
    let promised = rpc::FRAME as u64 + u64::from(told_length);
    if promised > calls.most_body {
        return misunderstood(&format!("larger than {} bytes", calls.most_body));
    }
    taken.waited += calls.context.clock.now() - began;
    // Turned away before it is taken: nothing is owed but this, and nothing of it has run.
    let open = match calls.knock(&line, &taken, promised) {
        Ok(open) => open,
        Err(Entry::TurnedAway { why, come_back }) => {
            return ended(Code::ResourceExhausted, "throttled", short(why), Some(come_back));
        }
        Err(Entry::Enter) => return wrong(Code::Internal, "no entry was found"),
    };
    let body = match gather(body, first, promised).await {
        Ok(body) => body,
        Err(why) => return unwhole(why),
    };
    let message = match rpc::unframe(body) {
        Ok(message) => message,
        Err(why) => return misunderstood(why.cause()),
    };
    let Ok(message) = wire::ModelInferRequest::decode(message) else {
        return misunderstood("the message cannot be read");
    };
    let Some(function) = function(&message.model_name, &message.model_version) else {
        return misunderstood("model_name: no model has such a name");
    };
    let rest = match tensors::request(&message) {
        Ok(rest) => rest,
        Err(cause) => return misunderstood(&cause.to_string()),
    };
    taken.function = Arc::from(function);
    taken.body = Payload { bytes: rest.bytes, first: rest.json };
    taken.session = match session(&calls, &taken.body) {
        Ok(session) => session,
        Err(why) => return misunderstood(&why.to_string()),
    };
    match open.answer(taken).await {
        Some((answer, unread)) => answer_of(answer, unread),
        None => wrong(Code::Internal, "no answer was found"),
    }
}

fn answer_of(answer: Answer, unread: Unread) -> Reply {
    let why = reason(answer.reason);
    match answer.fate {
        Fate::Succeeded => {
            let rest = tensors::Rest { bytes: answer.body.bytes, json: answer.body.first };
            match tensors::response(&rest) {
                Ok(message) => {
                    let mut trailers = rpc::trailers(Code::Ok, "", None);
                    trailers.insert(serving::FATE, HeaderValue::from_static(fate(answer.fate)));
                    trailers.insert(serving::REASON, HeaderValue::from_static(why));
                    told(rpc::frame(&message), trailers, Some(unread))
                }
                // It has run; what came of it has no form here.
                Err(cause) => wrong(Code::Unknown, &format!("the worker's answer: {cause}")),
            }
        }
        Fate::Throttled => ended(Code::ResourceExhausted, "throttled", why, answer.return_after),
        Fate::Errored if answer.reason == Reason::Overdue => {
            ended(Code::DeadlineExceeded, "errored", why, None)
        }
        Fate::Errored => ended(Code::Unknown, "errored", why, None),
    }
}
