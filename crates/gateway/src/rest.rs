//! The KServe v2 front over HTTP/1.1. `cedarpulley_kserve::client_requests` interprets requests; this module handles
//! connections and limits. Code shared with the gRPC front is in [`request_handling`](crate::request_handling) and
//! [`request_parsing`](crate::request_parsing).

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_kserve::client_requests::{self, ClientRequest};
use cedarpulley_kserve::worker_requests::JSON_LENGTH;
use cedarpulley_net::{Notifier, duration_from_micros};
use cedarpulley_router::admission_control::AdmissionDecision;
use cedarpulley_router::{Answer, FinalOutcome, IncomingInvocation};
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::answer_body::{AnswerBody, Reply, UnreadAnswer};
use crate::client_connection::{ClientConnection, ServedRequest};
use crate::outcome_names::{outcome_name, reason_name, rejection_name};
use crate::read_ahead::{ClientInput, Departure, ReadAhead, departure};
use crate::request_framing::{LengthMismatch, RequestFraming};
use crate::request_handling::{OpenRequest, RequestHandler, serve_until_closed};
use crate::request_parsing::{BodyError, parse_head, parse_session, read_body};

/// Time limit for receiving a request head, also for the next one on a kept-alive connection. In microseconds.
const HEADER_TIMEOUT: Micros = 30_000_000;
const MAX_HEADERS: usize = 64;
const MAX_HEAD_BYTES: usize = 32 * 1024;

fn reply(status: StatusCode, body: impl Into<Bytes>, unread: Option<UnreadAnswer>) -> Reply {
    let mut reply = Response::new(AnswerBody::new(body.into(), None, unread));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

fn error_response(status: StatusCode, cause: &str) -> Reply {
    reply(status, client_requests::error(cause), None)
}

/// What the requests of one connection share.
#[derive(Clone)]
struct Session {
    handler: Rc<RequestHandler>,
    client: Rc<ClientConnection>,
    framing: Rc<RequestFraming>,
    input: Rc<dyn ClientInput>,
}

/// Serves one HTTP/1.1 connection until it ends.
pub(crate) async fn serve(
    handler: Rc<RequestHandler>,
    client: Rc<ClientConnection>,
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    stop: Notifier,
) {
    let input = handler.resources.input_memory.connection();
    let framing = Rc::new(RequestFraming::new(input));
    let stream = ReadAhead::new(stream, framing.clone());
    let session = Session {
        handler,
        client,
        framing: framing.clone(),
        input: Rc::new(stream.share()),
    };
    let service = service_fn(|request| {
        // Boxed, because hyper keeps room for it in each idle connection.
        let handled = Box::pin(handle(session.clone(), request));
        async move { Ok::<_, Infallible>(handled.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(duration_from_micros(HEADER_TIMEOUT));
    builder
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES);
    let connection = pin!(builder.serve_connection(FuturesIo::new(stream), service));
    let served = serve_until_closed(connection, stop, |connection| {
        connection.graceful_shutdown()
    });
    served.or(framing.closing()).await;
}

async fn handle(session: Session, request: Request<Incoming>) -> Reply {
    let number = session.framing.begin_request();
    let handler = &session.handler;
    let served = session.client.serve(handler.context.clock);
    match client_requests::parse_path(request.method(), request.uri().path()) {
        ClientRequest::ServerLive => reply(StatusCode::OK, r#"{"live":true}"#, None),
        ClientRequest::ServerReady if handler.is_ready() => {
            reply(StatusCode::OK, r#"{"ready":true}"#, None)
        }
        ClientRequest::ServerReady => {
            reply(StatusCode::SERVICE_UNAVAILABLE, r#"{"ready":false}"#, None)
        }
        ClientRequest::ServerMetadata => {
            let extensions = client_requests::EXTENSIONS;
            let version = env!("CARGO_PKG_VERSION");
            let body = serde_json::json!({"name": "cedarpulley", "version": version, "extensions": extensions});
            reply(StatusCode::OK, body.to_string(), None)
        }
        // Functions are loaded on demand, so every function is ready.
        ClientRequest::ModelReady(_) => reply(StatusCode::OK, "", None),
        ClientRequest::ModelMetadata(function) => {
            reply(StatusCode::OK, client_requests::metadata(&function), None)
        }
        ClientRequest::RepositoryIndex => reply(
            StatusCode::OK,
            client_requests::index(&(handler.resources.functions)()),
            None,
        ),
        ClientRequest::Infer(function) => infer(&session, &served, number, function, request).await,
        ClientRequest::Unknown => error_response(StatusCode::NOT_FOUND, "no such path"),
        ClientRequest::WrongMethod => {
            error_response(StatusCode::METHOD_NOT_ALLOWED, "another method is wanted")
        }
    }
}

/// Serves an inference request, which is the request with this number on its connection.
async fn infer(
    session: &Session,
    served: &ServedRequest,
    number: u64,
    function: String,
    request: Request<Incoming>,
) -> Reply {
    let Session {
        handler, client, ..
    } = session;
    let (head, body) = request.into_parts();
    let mut invocation = match parse_head(handler, client, &head.headers, function) {
        Ok(invocation) => invocation,
        Err(malformed) => {
            let cause = format!("{}: {}", malformed.field, malformed.cause);
            return malformed_response(handler, &cause);
        }
    };
    if body.size_hint().lower() > handler.max_body_bytes {
        return body_error_response(BodyError::TooLarge, handler.max_body_bytes);
    }
    // The limit is assumed for a body without content length.
    let announced_bytes = body.size_hint().exact().unwrap_or(handler.max_body_bytes);
    // A request rejected here has not been accepted: nothing was executed, and the rejection is its only answer.
    let open = match handler.admit(client, &invocation, announced_bytes) {
        Ok(open) => open,
        Err(decision) => return rejection_response(decision),
    };
    invocation.body.bytes =
        match read_body(body, Bytes::new(), handler.max_body_bytes, |_| {}).await {
            Ok(body) => body,
            Err(error) => return body_error_response(error, handler.max_body_bytes),
        };
    served.completed();
    let json_length = invocation
        .body
        .first_part_length
        .map(|length| length as usize);
    if json_length.is_some_and(|length| length > invocation.body.len()) {
        let cause = format!("{JSON_LENGTH}: is beyond the body's end");
        return malformed_response(handler, &cause);
    }
    invocation.session = match parse_session(handler, &invocation.body) {
        Ok(session) => session,
        Err(malformed) => return malformed_response(handler, &malformed.to_string()),
    };
    execute(session, number, open, invocation).await
}

/// Hands an admitted request to the core and waits for its answer, as long as its length proves right and its client is
/// there.
async fn execute(
    session: &Session,
    number: u64,
    open: OpenRequest,
    invocation: IncomingInvocation,
) -> Reply {
    let departed = async { Err(departure(&*session.input).await) };
    let served = async { Ok(open.answer(invocation).await) };
    let answered = session
        .framing
        .while_whole(number, departed.or(served))
        .await;
    match answered {
        Ok(Ok(Some((answer, unread)))) => answer_response(answer, unread),
        // Every accepted request is answered; a missing answer would be a defect of the core.
        Ok(Ok(None)) => error_response(StatusCode::INTERNAL_SERVER_ERROR, "no answer was found"),
        Ok(Err(departure)) => departure_response(&session.handler, departure),
        Err(LengthMismatch) => length_mismatch_response(&session.handler),
    }
}

/// Ends a request whose client has left or goes on sending, and closes the connection.
fn departure_response(handler: &RequestHandler, departure: Departure) -> Reply {
    tracing::debug!(?departure, "request withdrawn before the answer");
    let mut reply = match departure {
        Departure::Left => error_response(StatusCode::BAD_REQUEST, "the client has left"),
        Departure::TooMuchInput => {
            malformed_response(handler, "too much was sent ahead of the answer")
        }
    };
    reply
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

/// Rejects a request whose body is longer than its declared length, and closes the connection: what follows cannot be
/// parsed.
fn length_mismatch_response(handler: &RequestHandler) -> Reply {
    let mut reply = malformed_response(handler, "content-length: is shorter than the body");
    reply
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

/// Rejects a malformed request, and counts it.
fn malformed_response(handler: &RequestHandler, cause: &str) -> Reply {
    handler.context.count_malformed();
    error_response(StatusCode::BAD_REQUEST, cause)
}

fn body_error_response(error: BodyError, max_body_bytes: u64) -> Reply {
    match error {
        BodyError::TooLarge => error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            &format!("larger than {max_body_bytes} bytes"),
        ),
        BodyError::Interrupted => error_response(StatusCode::BAD_REQUEST, "the body broke off"),
        BodyError::TimedOut => error_response(
            StatusCode::REQUEST_TIMEOUT,
            "the body was not whole in time",
        ),
    }
}

fn rejection_response(decision: AdmissionDecision) -> Reply {
    let AdmissionDecision::Rejected {
        reason,
        retry_after,
    } = decision
    else {
        return error_response(StatusCode::INTERNAL_SERVER_ERROR, "no entry was found");
    };
    let mut reply = error_response(StatusCode::TOO_MANY_REQUESTS, rejection_name(reason));
    let headers = reply.headers_mut();
    headers.insert(
        client_requests::OUTCOME,
        HeaderValue::from_static("throttled"),
    );
    headers.insert(
        client_requests::REASON,
        HeaderValue::from_static(rejection_name(reason)),
    );
    headers.insert(
        RETRY_AFTER,
        HeaderValue::from(client_requests::retry_after(retry_after)),
    );
    reply
}

fn answer_response(answer: Answer, unread: UnreadAnswer) -> Reply {
    let mut reply = match answer.outcome {
        FinalOutcome::Succeeded => {
            let json = answer.body.first_part_length;
            let mut reply = reply(StatusCode::OK, answer.body.bytes, Some(unread));
            if let Some(json) = json {
                let headers = reply.headers_mut();
                headers.insert(JSON_LENGTH, HeaderValue::from(json));
                headers.insert(
                    CONTENT_TYPE,
                    HeaderValue::from_static("application/octet-stream"),
                );
            }
            reply
        }
        other => {
            let is_safe_to_retry = other == FinalOutcome::Throttled;
            error_response(
                client_requests::failure_status(is_safe_to_retry),
                reason_name(answer.reason),
            )
        }
    };
    let headers = reply.headers_mut();
    headers.insert(
        client_requests::OUTCOME,
        HeaderValue::from_static(outcome_name(answer.outcome)),
    );
    headers.insert(
        client_requests::REASON,
        HeaderValue::from_static(reason_name(answer.reason)),
    );
    if let Some(delay) = answer.retry_after {
        headers.insert(
            RETRY_AFTER,
            HeaderValue::from(client_requests::retry_after(delay)),
        );
    }
    reply
}
