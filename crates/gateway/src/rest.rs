//! The KServe v2 front over HTTP/1.1. What a request means is in `cedarpulley_kserve::serving`; here are sockets and
//! bounds; what it has in common with gRPC is in `calls.rs`.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_kserve::requests::JSON_LENGTH;
use cedarpulley_kserve::serving::{self, Asked};
use cedarpulley_net::{Bell, micros};
use cedarpulley_router::entry::Entry;
use cedarpulley_router::{Answer, Fate};
use futures_lite::{AsyncRead, AsyncWrite};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::calls::{Calls, Line, Reply, Told, Unread, Unwhole, gather, session, to_its_end, understood};
use crate::words::{fate, reason, short};

/// A head comes whole within this time, and so does the next one on a kept connection.
const HEAD_WITHIN: Micros = 30_000_000;
const MOST_HEADERS: usize = 64;
const MOST_HEAD: usize = 32 * 1024;

fn reply(status: StatusCode, body: impl Into<Bytes>, unread: Option<Unread>) -> Reply {
    let mut reply = Response::new(Told::new(body.into(), None, unread));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

fn wrong(status: StatusCode, cause: &str) -> Reply {
    reply(status, serving::error(cause), None)
}

pub(crate) async fn serve(
    calls: Rc<Calls>,
    line: Rc<Line>,
    stream: impl AsyncRead + AsyncWrite + Unpin,
    stop: Bell,
) {
    let service = service_fn(|request| {
        let handled = handle(calls.clone(), line.clone(), request);
        async move { Ok::<_, Infallible>(handled.await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(SmolTimer::new()).header_read_timeout(micros(HEAD_WITHIN));
    builder.max_headers(MOST_HEADERS).max_buf_size(MOST_HEAD);
    let connection = pin!(builder.serve_connection(FuturesIo::new(stream), service));
    to_its_end(connection, stop, |c| c.graceful_shutdown()).await;
}

async fn handle(calls: Rc<Calls>, line: Rc<Line>, request: Request<Incoming>) -> Reply {
    match serving::asked(request.method(), request.uri().path()) {
        Asked::ServerLive => reply(StatusCode::OK, r#"{"live":true}"#, None),
        Asked::ServerReady if calls.ready() => reply(StatusCode::OK, r#"{"ready":true}"#, None),
        Asked::ServerReady => reply(StatusCode::SERVICE_UNAVAILABLE, r#"{"ready":false}"#, None),
        Asked::ServerMetadata => {
            let extensions = serving::EXTENSIONS;
            let version = env!("CARGO_PKG_VERSION");
            let body =
                serde_json::json!({"name": "cedarpulley", "version": version, "extensions": extensions});
            reply(StatusCode::OK, body.to_string(), None)
        }
        // Functions are loaded on demand: each may be asked for.
        Asked::ModelReady(_) => reply(StatusCode::OK, "", None),
        Asked::ModelMetadata(function) => reply(StatusCode::OK, serving::metadata(&function), None),
        Asked::Index => reply(StatusCode::OK, serving::index(&(calls.hall.functions)()), None),
        Asked::Infer(function) => infer(calls, line, function, request).await,
        Asked::Unknown => wrong(StatusCode::NOT_FOUND, "no such path"),
        Asked::WrongMethod => wrong(StatusCode::METHOD_NOT_ALLOWED, "another method is wanted"),
    }
}

async fn infer(calls: Rc<Calls>, line: Rc<Line>, function: String, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let mut taken = match understood(&calls, &line, &head.headers, function) {
        Ok(taken) => taken,
        Err(e) => {
            calls.context.count_malformed();
            return wrong(StatusCode::BAD_REQUEST, &format!("{}: {}", e.field, e.cause));
        }
    };
    if body.size_hint().lower() > calls.most_body {
        return wrong(StatusCode::PAYLOAD_TOO_LARGE, &format!("larger than {} bytes", calls.most_body));
    }
    // A body without a stated length may be as long as any.
    let promised = body.size_hint().exact().unwrap_or(calls.most_body);
    // Turned away before it is taken: nothing is owed but this, and nothing of it has run.
    let open = match calls.knock(&line, &taken, promised) {
        Ok(open) => open,
        Err(entry) => return turned_away(entry),
    };
    taken.body.bytes = match gather(body, Bytes::new(), calls.most_body).await {
        Ok(body) => body,
        Err(Unwhole::TooLarge) => {
            return wrong(StatusCode::PAYLOAD_TOO_LARGE, &format!("larger than {} bytes", calls.most_body));
        }
        Err(Unwhole::BrokeOff) => return wrong(StatusCode::BAD_REQUEST, "the body broke off"),
        Err(Unwhole::Slow) => {
            return wrong(StatusCode::REQUEST_TIMEOUT, "the body was not whole in time");
        }
    };
    if taken.body.first.is_some_and(|json| json as usize > taken.body.len()) {
        calls.context.count_malformed();
        return wrong(StatusCode::BAD_REQUEST, &format!("{JSON_LENGTH}: is beyond the body's end"));
    }
    taken.session = match session(&calls, &taken.body) {
        Ok(session) => session,
        Err(why) => {
            calls.context.count_malformed();
            return wrong(StatusCode::BAD_REQUEST, &why.to_string());
        }
    };
    // Each that is taken is answered; a sender that went away unheard would be a fault of the core.
    match open.answer(taken).await {
        Some((answer, unread)) => answer_of(answer, unread),
        None => wrong(StatusCode::INTERNAL_SERVER_ERROR, "no answer was found"),
    }
}

fn turned_away(entry: Entry) -> Reply {
    let Entry::TurnedAway { why, come_back } = entry else {
        return wrong(StatusCode::INTERNAL_SERVER_ERROR, "no entry was found");
    };
    let mut reply = wrong(StatusCode::TOO_MANY_REQUESTS, short(why));
    let headers = reply.headers_mut();
    headers.insert(serving::FATE, HeaderValue::from_static("throttled"));
    headers.insert(serving::REASON, HeaderValue::from_static(short(why)));
    headers.insert(RETRY_AFTER, HeaderValue::from(serving::retry_after(come_back)));
    reply
}

fn answer_of(answer: Answer, unread: Unread) -> Reply {
    let mut reply = match answer.fate {
        Fate::Succeeded => {
            let json = answer.body.first;
            let mut reply = reply(StatusCode::OK, answer.body.bytes, Some(unread));
            if let Some(json) = json {
                let headers = reply.headers_mut();
                headers.insert(JSON_LENGTH, HeaderValue::from(json));
                headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/octet-stream"));
            }
            reply
        }
        other => {
            let harmless = other == Fate::Throttled;
            wrong(serving::status(harmless), reason(answer.reason))
        }
    };
    let headers = reply.headers_mut();
    headers.insert(serving::FATE, HeaderValue::from_static(fate(answer.fate)));
    headers.insert(serving::REASON, HeaderValue::from_static(reason(answer.reason)));
    if let Some(advice) = answer.return_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(serving::retry_after(advice)));
    }
    reply
}
