//! The HTTP endpoints of the worker: dispatches paths to handlers.

use std::net::SocketAddr;
use std::sync::Weak;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use percent_encoding::percent_decode_str;

use super::index::VERSION_SEPARATOR;
use super::{WorkerShared, index, inference, orders};
use crate::http::{Body, response_with};

/// Responds to one request of a router.
pub(super) async fn serve(
    worker: Weak<WorkerShared>,
    from: SocketAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    let Some(worker) = worker.upgrade() else {
        return response_with(StatusCode::SERVICE_UNAVAILABLE, "");
    };
    let path = request.uri().path().to_owned();
    let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match segments.as_slice() {
        ["v2", "health", "live" | "ready"] => response_with(StatusCode::OK, ""),
        ["v2", "models", model @ .., "ready"] => {
            let ready = function_name(model).is_some_and(|function| worker.is_ready(&function));
            response_with(
                if ready {
                    StatusCode::OK
                } else {
                    StatusCode::NOT_FOUND
                },
                "",
            )
        }
        ["v2", "models", model @ .., "infer"] => match function_name(model) {
            Some(function) => inference::infer(worker, from, function, request).await,
            None => response_with(StatusCode::NOT_FOUND, ""),
        },
        ["v2", "repository", "index"] => {
            index::answer(worker, from.ip().to_string(), request).await
        }
        ["v2", "repository", "models", model @ .., "load"] => match function_name(model) {
            Some(function) => orders::load(worker, from.ip(), function, request).await,
            None => response_with(StatusCode::NOT_FOUND, ""),
        },
        ["v2", "repository", "models", model @ .., "unload"] => match function_name(model) {
            Some(function) => orders::unload(&worker, from.ip(), &function, &request),
            None => response_with(StatusCode::NOT_FOUND, ""),
        },
        _ => response_with(StatusCode::NOT_FOUND, ""),
    }
}

/// The name of the function for the path segments `NAME` or `NAME/versions/VERSION`.
fn function_name(segments: &[&str]) -> Option<String> {
    let decoded = |segment: &str| percent_decode_str(segment).decode_utf8_lossy().into_owned();
    match segments {
        [name] => Some(decoded(name)),
        [name, "versions", version] => Some(format!(
            "{}{VERSION_SEPARATOR}{}",
            decoded(name),
            decoded(version)
        )),
        _ => None,
    }
}

/// A response that tells the router that the invocation was not executed.
pub(super) fn reject(status: StatusCode) -> Response<Body> {
    let mut response = response_with(status, "");
    response
        .headers_mut()
        .insert("cedarpulley-ran", HeaderValue::from_static("no"));
    response
}

/// The value of a request header; empty if the header is absent or not text.
pub(super) fn header(request: &Request<Incoming>, name: &str) -> String {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
