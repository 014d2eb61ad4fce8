//! Requests towards a worker: the KServe v2 inference protocol with its model repository extension, over HTTP.
//! Headers of our own begin with `cedarpulley-`; a worker that knows none of them still works.

use bytes::Bytes;
use cedarpulley::interface::Micros;
use http::header::{CONTENT_TYPE, HOST, HeaderValue};
use http::{Method, Request};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

use crate::sequences::{SEQUENCE_END, SEQUENCE_ID, SEQUENCE_START};

pub const INVOCATION: &str = "cedarpulley-invocation";
pub const DISPATCH: &str = "cedarpulley-dispatch";
pub const TRIGGER_TYPE: &str = "cedarpulley-trigger-type";
pub const ACCOUNT: &str = "cedarpulley-account";
pub const TIME_LEFT_US: &str = "cedarpulley-time-left-us";
/// Of the binary-data extension: the JSON's length; raw tensors follow it.
pub const JSON_LENGTH: &str = "inference-header-content-length";
/// Parts the version from the name in a function's name, as it does in paths.
pub const VERSIONS: &str = "/versions/";
/// By whom an order to load or unload is, where routers share one index, and in which term of an upgrade's plan.
pub const ROUTER: &str = "cedarpulley-router";
pub const TERM: &str = "cedarpulley-term";
/// As in the IETF draft on the idempotency key: by it a worker knows a repeat.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Unreserved characters of a URI stay as they are.
const PART: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// What an infer request bears beside its body.
#[derive(Clone, Copy, Debug)]
pub struct Marks<'a> {
    pub invocation: Option<&'a str>,
    pub dispatch: u32,
    pub token: Option<&'a str>,
    pub trigger: &'a str,
    pub account: Option<&'a str>,
    pub time_left: Micros,
    /// Its session, and whether it begins or ends with this.
    pub session: Option<(&'a str, bool, bool)>,
}

fn request(method: Method, host: &str, path: &str, body: Bytes) -> Request<Bytes> {
    let mut request = Request::new(body);
    *request.method_mut() = method;
    // Both are made of characters that are allowed there; the fallback is never sent anywhere harmful.
    *request.uri_mut() = path.parse().unwrap_or_default();
    put(&mut request, HOST.as_str(), host);
    request
}

/// A value that no header may carry is left out.
fn put(request: &mut Request<Bytes>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
        request.headers_mut().insert(name, value);
    }
}

/// As it stands in a path, with its version if it has one.
fn model(function: &str) -> String {
    let part = |text| utf8_percent_encode(text, PART).to_string();
    match function.split_once(VERSIONS) {
        Some((name, version)) => format!("{}{VERSIONS}{}", part(name), part(version)),
        None => part(function),
    }
}

/// `json`: where raw tensors follow in the body, the length of what is JSON.
pub fn infer(
    host: &str,
    function: &str,
    marks: Marks,
    body: Bytes,
    json: Option<u32>,
) -> Request<Bytes> {
    let path = format!("/v2/models/{}/infer", model(function));
    let mut r = request(Method::POST, host, &path, body);
    let kind = if json.is_some() {
        "application/octet-stream"
    } else {
        "application/json"
    };
    r.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    if let Some(json) = json {
        r.headers_mut().insert(JSON_LENGTH, HeaderValue::from(json));
    }
    put(&mut r, DISPATCH, &marks.dispatch.to_string());
    put(&mut r, TRIGGER_TYPE, marks.trigger);
    put(&mut r, TIME_LEFT_US, &marks.time_left.to_string());
    let maybe = [
        (INVOCATION, marks.invocation),
        (IDEMPOTENCY_KEY, marks.token),
        (ACCOUNT, marks.account),
    ];
    for (name, value) in maybe {
        if let Some(value) = value {
            // Line ends part an identity's fields; no header may carry them.
            put(&mut r, name, &value.replace('\n', "|"));
        }
    }
    if let Some((id, start, end)) = marks.session {
        put(&mut r, SEQUENCE_ID, id);
        for (name, on) in [(SEQUENCE_START, start), (SEQUENCE_END, end)] {
            if on {
                put(&mut r, name, "true");
            }
        }
    }
    r
}

/// Who orders, where routers are told apart, and in which term of a plan.
#[derive(Clone, Copy, Debug, Default)]
pub struct Orderer<'a> {
    pub router: Option<&'a str>,
    pub term: Option<&'a str>,
}

fn ordered_by(r: &mut Request<Bytes>, by: Orderer) {
    for (name, value) in [(ROUTER, by.router), (TERM, by.term)] {
        if let Some(value) = value {
            put(r, name, value);
        }
    }
}

/// Hold at least so many copies.
/// `account`: for whose invocation.
pub fn load(
    host: &str,
    function: &str,
    copies: u32,
    account: Option<&str>,
    by: Orderer,
) -> Request<Bytes> {
    let path = format!("/v2/repository/models/{}/load", model(function));
    let body = format!("{{\"parameters\":{{\"copies\":{copies}}}}}");
    let mut r = request(Method::POST, host, &path, Bytes::from(body));
    r.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(account) = account.and_then(|a| HeaderValue::from_str(a).ok()) {
        r.headers_mut().insert(ACCOUNT, account);
    }
    ordered_by(&mut r, by);
    r
}

pub fn unload(host: &str, function: &str, by: Orderer) -> Request<Bytes> {
    let path = format!("/v2/repository/models/{}/unload", model(function));
    let mut r = request(Method::POST, host, &path, Bytes::new());
    ordered_by(&mut r, by);
    r
}

/// What is loaded there.
pub fn index(host: &str) -> Request<Bytes> {
    let mut r = request(
        Method::POST,
        host,
        "/v2/repository/index",
        Bytes::from_static(b"{}"),
    );
    r.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    r
}

/// Whether copies stand, and how many.
pub fn ready(host: &str, function: &str) -> Request<Bytes> {
    request(
        Method::GET,
        host,
        &format!("/v2/models/{}/ready", model(function)),
        Bytes::new(),
    )
}

pub fn live(host: &str) -> Request<Bytes> {
    request(Method::GET, host, "/v2/health/live", Bytes::new())
}
