//! Requests to a worker: the KServe v2 inference protocol with its model repository extension, over HTTP. Headers
//! beyond the protocol begin with `cedarpulley-`; a worker that knows none of them still works.

use bytes::Bytes;
use cedarpulley::interface::Micros;
use http::header::{CONTENT_TYPE, HOST, HeaderValue};
use http::{Method, Request};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

use crate::sequences::{SEQUENCE_END, SEQUENCE_ID, SEQUENCE_START};

/// Id of the invocation, for the worker's logs.
pub const INVOCATION: &str = "cedarpulley-invocation";
/// Number of the dispatch within its invocation, from 0.
pub const DISPATCH: &str = "cedarpulley-dispatch";
/// Name of the invocation's trigger type.
pub const TRIGGER_TYPE: &str = "cedarpulley-trigger-type";
/// Name of the account that the invocation is billed to.
pub const ACCOUNT: &str = "cedarpulley-account";
/// Microseconds until the final answer is due.
pub const TIME_LEFT_US: &str = "cedarpulley-time-left-us";
/// Header of the binary-data extension: length of the JSON in bytes; raw tensors follow it.
pub const JSON_LENGTH: &str = "inference-header-content-length";
/// Separates name and version in a function's name, as it does in paths.
pub const VERSIONS: &str = "/versions/";
/// The router that orders a load or unload, where several routers share the workers.
pub const ROUTER: &str = "cedarpulley-router";
/// The term of the upgrade plan under which a load or unload is ordered.
pub const TERM: &str = "cedarpulley-term";
/// As in the IETF draft on the idempotency key: a worker recognizes a repeat by it.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Escaped in a path segment: everything but the unreserved characters of a URI.
const PATH_SEGMENT: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// What the headers of an infer request say beside its body.
#[derive(Clone, Copy, Debug)]
pub struct InvocationHeaders<'a> {
    /// Id of the invocation, if it has one.
    pub invocation: Option<&'a str>,
    /// Number of the dispatch within its invocation, from 0.
    pub dispatch: u32,
    /// The idempotency key, if the invocation has one.
    pub idempotency_key: Option<&'a str>,
    /// Name of the trigger type.
    pub trigger_type: &'a str,
    /// Name of the account, if there is one.
    pub account: Option<&'a str>,
    /// Time until the final answer is due.
    pub time_left: Micros,
    /// The session's id, and whether this request is its first and its last.
    pub session: Option<(&'a str, bool, bool)>,
}

fn request(method: Method, host: &str, path: &str, body: Bytes) -> Request<Bytes> {
    let mut request = Request::new(body);
    *request.method_mut() = method;
    // The paths built here always parse; the fallback `/` is a path that no worker acts on.
    *request.uri_mut() = path.parse().unwrap_or_default();
    set_header(&mut request, HOST.as_str(), host);
    request
}

/// Leaves out a value that is not allowed in a header.
fn set_header(request: &mut Request<Bytes>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
        request.headers_mut().insert(name, value);
    }
}

fn set_content_type(request: &mut Request<Bytes>, content_type: &'static str) {
    request
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
}

/// The function's name, with its version if it has one, escaped for a path.
fn model_path(function: &str) -> String {
    let escape = |segment| utf8_percent_encode(segment, PATH_SEGMENT).to_string();
    match function.split_once(VERSIONS) {
        Some((name, version)) => format!("{}{VERSIONS}{}", escape(name), escape(version)),
        None => escape(function),
    }
}

/// A request to run `function`. `json_length`: where raw tensors follow the JSON in `body`, the length of the JSON.
pub fn infer(
    host: &str,
    function: &str,
    marks: InvocationHeaders,
    body: Bytes,
    json_length: Option<u32>,
) -> Request<Bytes> {
    let path = format!("/v2/models/{}/infer", model_path(function));
    let mut request = request(Method::POST, host, &path, body);
    match json_length {
        Some(json_length) => {
            set_content_type(&mut request, "application/octet-stream");
            request
                .headers_mut()
                .insert(JSON_LENGTH, HeaderValue::from(json_length));
        }
        None => set_content_type(&mut request, "application/json"),
    }
    set_header(&mut request, DISPATCH, &marks.dispatch.to_string());
    set_header(&mut request, TRIGGER_TYPE, marks.trigger_type);
    set_header(&mut request, TIME_LEFT_US, &marks.time_left.to_string());
    let optional = [
        (INVOCATION, marks.invocation),
        (IDEMPOTENCY_KEY, marks.idempotency_key),
        (ACCOUNT, marks.account),
    ];
    for (name, value) in optional {
        if let Some(value) = value {
            // Derived identities separate their fields by line ends, which no header may contain.
            set_header(&mut request, name, &value.replace('\n', "|"));
        }
    }
    if let Some((id, start, end)) = marks.session {
        set_header(&mut request, SEQUENCE_ID, id);
        for (name, on) in [(SEQUENCE_START, start), (SEQUENCE_END, end)] {
            if on {
                set_header(&mut request, name, "true");
            }
        }
    }
    request
}

/// Who gives a load or unload order, where several routers share the workers.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderIssuer<'a> {
    /// Name of the router.
    pub router: Option<&'a str>,
    /// Term of the upgrade plan.
    pub term: Option<&'a str>,
}

fn set_orderer(request: &mut Request<Bytes>, orderer: OrderIssuer) {
    for (name, value) in [(ROUTER, orderer.router), (TERM, orderer.term)] {
        if let Some(value) = value {
            set_header(request, name, value);
        }
    }
}

/// An order to have at least `copies` copies loaded. `account`: the account whose invocation calls for them.
pub fn load(
    host: &str,
    function: &str,
    copies: u32,
    account: Option<&str>,
    orderer: OrderIssuer,
) -> Request<Bytes> {
    let path = format!("/v2/repository/models/{}/load", model_path(function));
    let body = format!("{{\"parameters\":{{\"copies\":{copies}}}}}");
    let mut request = request(Method::POST, host, &path, Bytes::from(body));
    set_content_type(&mut request, "application/json");
    if let Some(account) = account.and_then(|account| HeaderValue::from_str(account).ok()) {
        request.headers_mut().insert(ACCOUNT, account);
    }
    set_orderer(&mut request, orderer);
    request
}

/// An order to unload all copies.
pub fn unload(host: &str, function: &str, orderer: OrderIssuer) -> Request<Bytes> {
    let path = format!("/v2/repository/models/{}/unload", model_path(function));
    let mut request = request(Method::POST, host, &path, Bytes::new());
    set_orderer(&mut request, orderer);
    request
}

/// A query for the list of loaded models; see [`crate::repository_index`].
pub fn index(host: &str) -> Request<Bytes> {
    let body = Bytes::from_static(b"{}");
    let mut request = request(Method::POST, host, "/v2/repository/index", body);
    set_content_type(&mut request, "application/json");
    request
}

/// A query whether `function` is loaded, and in how many copies.
pub fn ready(host: &str, function: &str) -> Request<Bytes> {
    let path = format!("/v2/models/{}/ready", model_path(function));
    request(Method::GET, host, &path, Bytes::new())
}

/// A health check.
pub fn live(host: &str) -> Request<Bytes> {
    request(Method::GET, host, "/v2/health/live", Bytes::new())
}
