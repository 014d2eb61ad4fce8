//! The KServe v2 front over HTTP/1.1. `cedarpulley_kserve::serving` interprets requests; here are sockets and
//! limits; what this shares with gRPC is in `request_handling.rs`.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_kserve::client_requests::{self, ClientRequest};
use cedarpulley_kserve::worker_requests::JSON_LENGTH;
use cedarpulley_net::{Notifier, duration_from_micros};
use cedarpulley_router::admission_control::AdmissionDecision;
use cedarpulley_router::{Answer, FinalOutcome};
use futures_lite::{AsyncRead, AsyncWrite};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::outcome_names::{fate_name, reason_name, rejection_name};
use crate::request_handling::{
    AnswerBody, BodyError, ClientConnection, Reply, RequestHandler, UnreadAnswer, parse_head,
    parse_session, read_body, serve_until_closed,
};

/// Time limit for a head, and for the next one on a kept-alive connection. In microseconds.
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

pub(crate) async fn serve(
    handler: Rc<RequestHandler>,
    client: Rc<ClientConnection>,
    stream: impl AsyncRead + AsyncWrite + Unpin,
    stop: Notifier,
) {
    let service = service_fn(|request| {
        let handled = handle(handler.clone(), client.clone(), request);
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
    serve_until_closed(connection, stop, |c| c.graceful_shutdown()).await;
}

async fn handle(
    handler: Rc<RequestHandler>,
    client: Rc<ClientConnection>,
    request: Request<Incoming>,
) -> Reply {
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
        // Functions are loaded on demand: any may be asked for.
        ClientRequest::ModelReady(_) => reply(StatusCode::OK, "", None),
        ClientRequest::ModelMetadata(function) => {
            reply(StatusCode::OK, client_requests::metadata(&function), None)
        }
        ClientRequest::RepositoryIndex => reply(
            StatusCode::OK,
            client_requests::index(&(handler.resources.functions)()),
            None,
        ),
        ClientRequest::Infer(function) => infer(handler, client, function, request).await,
        ClientRequest::Unknown => error_response(StatusCode::NOT_FOUND, "no such path"),
        ClientRequest::WrongMethod => {
            error_response(StatusCode::METHOD_NOT_ALLOWED, "another method is wanted")
        }
    }
}

async fn infer(
    handler: Rc<RequestHandler>,
    client: Rc<ClientConnection>,
    function: String,
    request: Request<Incoming>,
) -> Reply {
    let (head, body) = request.into_parts();
    let mut taken = match parse_head(&handler, &client, &head.headers, function) {
        Ok(taken) => taken,
        Err(e) => {
            handler.context.count_malformed();
            return error_response(
                StatusCode::BAD_REQUEST,
                &format!("{}: {}", e.field, e.cause),
            );
        }
    };
    if body.size_hint().lower() > handler.max_body_bytes {
        return error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            &format!("larger than {} bytes", handler.max_body_bytes),
        );
    }
    // A body without a content length may be as long as the limit.
    let announced_bytes = body.size_hint().exact().unwrap_or(handler.max_body_bytes);
    // Turned away before it is taken: no other answer is owed, and nothing of it has run.
    let open = match handler.admit(&client, &taken, announced_bytes) {
        Ok(open) => open,
        Err(entry) => return rejection_response(entry),
    };
    taken.body.bytes = match read_body(body, Bytes::new(), handler.max_body_bytes).await {
        Ok(body) => body,
        Err(BodyError::TooLarge) => {
            return error_response(
                StatusCode::PAYLOAD_TOO_LARGE,
                &format!("larger than {} bytes", handler.max_body_bytes),
            );
        }
        Err(BodyError::Interrupted) => {
            return error_response(StatusCode::BAD_REQUEST, "the body broke off");
        }
        Err(BodyError::TimedOut) => {
            return error_response(
                StatusCode::REQUEST_TIMEOUT,
                "the body was not whole in time",
            );
        }
    };
    if taken
        .body
        .first_part_length
        .is_some_and(|json| json as usize > taken.body.len())
    {
        handler.context.count_malformed();
        return error_response(
            StatusCode::BAD_REQUEST,
            &format!("{JSON_LENGTH}: is beyond the body's end"),
        );
    }
    taken.session = match parse_session(&handler, &taken.body) {
        Ok(session) => session,
        Err(why) => {
            handler.context.count_malformed();
            return error_response(StatusCode::BAD_REQUEST, &why.to_string());
        }
    };
    // Every request taken is answered; a missing answer would be a defect of the core.
    match open.answer(taken).await {
        Some((answer, unread)) => answer_response(answer, unread),
        None => error_response(StatusCode::INTERNAL_SERVER_ERROR, "no answer was found"),
    }
}

fn rejection_response(entry: AdmissionDecision) -> Reply {
    let AdmissionDecision::Rejected {
        reason: why,
        retry_after: come_back,
    } = entry
    else {
        return error_response(StatusCode::INTERNAL_SERVER_ERROR, "no entry was found");
    };
    let mut reply = error_response(StatusCode::TOO_MANY_REQUESTS, rejection_name(why));
    let headers = reply.headers_mut();
    headers.insert(
        client_requests::OUTCOME,
        HeaderValue::from_static("throttled"),
    );
    headers.insert(
        client_requests::REASON,
        HeaderValue::from_static(rejection_name(why)),
    );
    headers.insert(
        RETRY_AFTER,
        HeaderValue::from(client_requests::retry_after(come_back)),
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
        HeaderValue::from_static(fate_name(answer.outcome)),
    );
    headers.insert(
        client_requests::REASON,
        HeaderValue::from_static(reason_name(answer.reason)),
    );
    if let Some(advice) = answer.retry_after {
        headers.insert(
            RETRY_AFTER,
            HeaderValue::from(client_requests::retry_after(advice)),
        );
    }
    reply
}
