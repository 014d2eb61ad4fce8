//! Builds the requests to workers: the KServe v2 inference protocol with its model repository extension, over HTTP.
//! Most headers that the router adds to the protocol begin with `cedarpulley-`; a worker may ignore all of them.

use bytes::Bytes;
use cedarpulley::interface::Micros;
use http::header::{CONTENT_TYPE, HOST, HeaderValue};
use http::{Method, Request};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

use crate::sequences::{SEQUENCE_END, SEQUENCE_ID, SEQUENCE_START};

/// Request header: id of the invocation, for the worker's logs.
pub const INVOCATION: &str = "cedarpulley-invocation";
/// Request header: number of the dispatch within its invocation, starting at 0.
pub const DISPATCH: &str = "cedarpulley-dispatch";
/// Request header: name of the invocation's trigger type.
pub const TRIGGER_TYPE: &str = "cedarpulley-trigger-type";
/// Request header: name of the account that the invocation is billed to.
pub const ACCOUNT: &str = "cedarpulley-account";
/// Request header: time until the final answer is due, in microseconds.
pub const TIME_LEFT_US: &str = "cedarpulley-time-left-us";
/// Header of the binary-data extension: length of the JSON in bytes. Raw tensors follow the JSON in the body.
pub const JSON_LENGTH: &str = "inference-header-content-length";
/// Separates model name and version in a function's name, as in the paths of KServe v2.
pub const VERSIONS: &str = "/versions/";
/// Request header: name of the router that issues a load or unload order, if several routers share the workers.
pub const ROUTER: &str = "cedarpulley-router";
/// Request header: term of the upgrade plan under which a load or unload order is issued.
pub const TERM: &str = "cedarpulley-term";
/// Request header: the idempotency key, by which a worker recognizes a repeat. Defined by the IETF draft
/// `Idempotency-Key`.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Characters that are percent-encoded in a path segment: all but the unreserved characters of a URI.
const PATH_SEGMENT: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// The contents of the headers of an infer request.
#[derive(Clone, Copy, Debug)]
pub struct InvocationHeaders<'a> {
    /// Id of the invocation, if it has one.
    pub invocation: Option<&'a str>,
    /// Number of the dispatch within its invocation, starting at 0.
    pub dispatch: u32,
    /// The idempotency key, if the invocation has one.
    pub idempotency_key: Option<&'a str>,
    /// Name of the trigger type.
    pub trigger_type: &'a str,
    /// Name of the account, if the invocation has one.
    pub account: Option<&'a str>,
    /// Time until the final answer is due, in microseconds.
    pub time_left: Micros,
    /// The session's id, whether this request is the session's first, and whether it is its last.
    pub session: Option<(&'a str, bool, bool)>,
}

fn request(method: Method, host: &str, path: &str, body: Bytes) -> Request<Bytes> {
    let mut request = Request::new(body);
    *request.method_mut() = method;
    // The paths built in this module always parse. The fallback `/` is a path that workers do not serve.
    *request.uri_mut() = path.parse().unwrap_or_default();
    set_header(&mut request, HOST.as_str(), host);
    request
}

/// Sets a header, unless its value contains bytes that are not allowed in headers.
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

/// Returns the function's name, and its version if it has one, percent-encoded for a path.
fn model_path(function: &str) -> String {
    let escape = |segment| utf8_percent_encode(segment, PATH_SEGMENT).to_string();
    match function.split_once(VERSIONS) {
        Some((name, version)) => format!("{}{VERSIONS}{}", escape(name), escape(version)),
        None => escape(function),
    }
}

/// Builds a request to run `function`. `json_length`: the length of the JSON in bytes if raw tensors follow it in
/// `body`; otherwise `None`.
pub fn infer(
    host: &str,
    function: &str,
    headers: InvocationHeaders,
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
    set_header(&mut request, DISPATCH, &headers.dispatch.to_string());
    set_header(&mut request, TRIGGER_TYPE, headers.trigger_type);
    set_header(&mut request, TIME_LEFT_US, &headers.time_left.to_string());
    let optional = [
        (INVOCATION, headers.invocation),
        (IDEMPOTENCY_KEY, headers.idempotency_key),
        (ACCOUNT, headers.account),
    ];
    for (name, value) in optional {
        if let Some(value) = value {
            // Invocation ids that are derived from message properties contain line feeds, which headers may not
            // contain.
            set_header(&mut request, name, &value.replace('\n', "|"));
        }
    }
    if let Some((id, start, end)) = headers.session {
        set_header(&mut request, SEQUENCE_ID, id);
        for (name, on) in [(SEQUENCE_START, start), (SEQUENCE_END, end)] {
            if on {
                set_header(&mut request, name, "true");
            }
        }
    }
    request
}

/// The issuer of a load or unload order, if several routers share the workers.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderIssuer<'a> {
    /// Name of the issuing router.
    pub router: Option<&'a str>,
    /// Term of the upgrade plan under which the order is issued.
    pub term: Option<&'a str>,
}

fn set_issuer(request: &mut Request<Bytes>, issuer: OrderIssuer) {
    for (name, value) in [(ROUTER, issuer.router), (TERM, issuer.term)] {
        if let Some(value) = value {
            set_header(request, name, value);
        }
    }
}

/// Builds a load order: the worker shall have at least `copies` copies loaded. `account`: the account whose invocation
/// requires them.
pub fn load(
    host: &str,
    function: &str,
    copies: u32,
    account: Option<&str>,
    issuer: OrderIssuer,
) -> Request<Bytes> {
    let path = format!("/v2/repository/models/{}/load", model_path(function));
    let body = format!("{{\"parameters\":{{\"copies\":{copies}}}}}");
    let mut request = request(Method::POST, host, &path, Bytes::from(body));
    set_content_type(&mut request, "application/json");
    if let Some(account) = account.and_then(|account| HeaderValue::from_str(account).ok()) {
        request.headers_mut().insert(ACCOUNT, account);
    }
    set_issuer(&mut request, issuer);
    request
}

/// Builds an order to unload all copies of `function`.
pub fn unload(host: &str, function: &str, issuer: OrderIssuer) -> Request<Bytes> {
    let path = format!("/v2/repository/models/{}/unload", model_path(function));
    let mut request = request(Method::POST, host, &path, Bytes::new());
    set_issuer(&mut request, issuer);
    request
}

/// Builds a query for the list of loaded models; [`crate::repository_index`] parses the response.
pub fn index(host: &str) -> Request<Bytes> {
    let body = Bytes::from_static(b"{}");
    let mut request = request(Method::POST, host, "/v2/repository/index", body);
    set_content_type(&mut request, "application/json");
    request
}

/// Builds a query of whether `function` is loaded, and in how many copies.
pub fn ready(host: &str, function: &str) -> Request<Bytes> {
    let path = format!("/v2/models/{}/ready", model_path(function));
    request(Method::GET, host, &path, Bytes::new())
}

/// Builds a health check.
pub fn live(host: &str) -> Request<Bytes> {
    request(Method::GET, host, "/v2/health/live", Bytes::new())
}
