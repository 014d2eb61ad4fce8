//! The server side of KServe v2 over HTTP, free of I/O: parses the paths and headers of clients' requests and builds
//! the bodies of the responses. `docs/operate/kserve-requests.md` lists the headers for operators.

use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use http::{HeaderMap, Method, StatusCode};
use percent_encoding::percent_decode_str;
use serde_json::json;

use crate::response_headers::text;
use crate::worker_requests::{ACCOUNT, IDEMPOTENCY_KEY, JSON_LENGTH, TRIGGER_TYPE, VERSIONS};

/// Request header: time after which the client stops waiting, in milliseconds.
pub const CLIENT_TIMEOUT_MS: &str = "cedarpulley-client-timeout-ms";
/// Request header: when the client sent the request, in microseconds since 1970.
pub const SENT_AT_US: &str = "cedarpulley-sent-at-us";
/// Request header: expected duration of the work, in microseconds.
pub const COST_HINT_US: &str = "cedarpulley-cost-hint-us";
/// Request header: expected time to load a copy, in microseconds.
pub const LOAD_HINT_US: &str = "cedarpulley-load-hint-us";
/// Request header: size of a copy, in megabytes.
pub const COPY_MB: &str = "cedarpulley-copy-mb";
/// Request header: number of invocations that one copy runs at a time.
pub const LANES: &str = "cedarpulley-lanes";
/// Request header: `true` marks the request as the client's own retry.
pub const CLIENT_RETRY: &str = "cedarpulley-repeat";
/// Response header: the final outcome.
pub const OUTCOME: &str = "cedarpulley-fate";
/// Response header: the reason for the outcome.
pub const REASON: &str = "cedarpulley-reason";

/// One day, in microseconds: longer time-outs and hints are rejected, and a longer time since sending is clamped to it.
const MAX_DURATION_US: i64 = 86_400_000_000;
const MAX_LANES: i64 = 10_000;
const MAX_NAME_BYTES: usize = 255;
const MAX_COPY_MB: i64 = 1 << 30;

/// The kind of a client's request, by method and path. Functions are named with their version, if any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientRequest {
    /// Whether the server is alive.
    ServerLive,
    /// Whether the server accepts requests.
    ServerReady,
    /// The server's name and extensions.
    ServerMetadata,
    /// The list of models.
    RepositoryIndex,
    /// Whether a model accepts requests.
    ModelReady(String),
    /// The metadata of a model.
    ModelMetadata(String),
    /// Runs a model.
    Infer(String),
    /// The path does not exist.
    Unknown,
    /// The path exists, but not for this method.
    WrongMethod,
}

/// Returns the name of the function for a model's name and version. Returns `None` if the model's name is empty, if a
/// name is longer than 255 bytes, or if the model's name or version contains the separator [`VERSIONS`].
pub fn function_name(name: &str, version: &str) -> Option<String> {
    let is_valid = |text: &str| text.len() <= MAX_NAME_BYTES && !text.contains(VERSIONS);
    match (name, version) {
        ("", _) => None,
        (name, "") => is_valid(name).then(|| name.to_owned()),
        (name, version) => {
            let function = format!("{name}{VERSIONS}{version}");
            (is_valid(name) && is_valid(version) && function.len() <= MAX_NAME_BYTES)
                .then_some(function)
        }
    }
}

/// Splits the name of a function into the model's name and version; the version is empty if the function has none.
pub fn split_version(function: &str) -> (&str, &str) {
    function.split_once(VERSIONS).unwrap_or((function, ""))
}

/// Parses a request's method and path.
pub fn parse_path(method: &Method, path: &str) -> ClientRequest {
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let decode = |segment: &str| {
        percent_decode_str(segment)
            .decode_utf8()
            .ok()
            .map(|text| text.into_owned())
    };
    let named = |name: &str, request: fn(String) -> ClientRequest| {
        decode(name)
            .and_then(|name| function_name(&name, ""))
            .map_or(ClientRequest::Unknown, request)
    };
    let versioned = |name: &str, version: &str, request: fn(String) -> ClientRequest| {
        decode(name)
            .zip(decode(version))
            .filter(|(_, version)| !version.is_empty())
            .and_then(|(name, version)| function_name(&name, &version))
            .map_or(ClientRequest::Unknown, request)
    };
    let found = match segments.as_slice() {
        ["v2"] => ClientRequest::ServerMetadata,
        ["v2", "health", "live"] => ClientRequest::ServerLive,
        ["v2", "health", "ready"] => ClientRequest::ServerReady,
        ["v2", "models", name] => named(name, ClientRequest::ModelMetadata),
        ["v2", "models", name, "ready"] => named(name, ClientRequest::ModelReady),
        ["v2", "models", name, "infer"] => named(name, ClientRequest::Infer),
        ["v2", "models", name, "versions", v] => versioned(name, v, ClientRequest::ModelMetadata),
        ["v2", "models", name, "versions", v, "ready"] => {
            versioned(name, v, ClientRequest::ModelReady)
        }
        ["v2", "models", name, "versions", v, "infer"] => versioned(name, v, ClientRequest::Infer),
        ["v2", "repository", "index"] => ClientRequest::RepositoryIndex,
        _ => ClientRequest::Unknown,
    };
    let is_post = matches!(
        found,
        ClientRequest::Infer(_) | ClientRequest::RepositoryIndex
    );
    let allowed_method = if is_post { Method::POST } else { Method::GET };
    match found {
        ClientRequest::Unknown => ClientRequest::Unknown,
        _ if *method != allowed_method => ClientRequest::WrongMethod,
        found => found,
    }
}

/// The contents of the headers of an infer request.
#[derive(Clone, Debug, PartialEq)]
pub struct InferHeaders {
    /// Name of the trigger type.
    pub trigger_type: String,
    /// Name of the account.
    pub account: Option<String>,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// Time since the client sent the request, in microseconds: 0 if the client does not state when it sent the
    /// request, and at most a day.
    pub waited: Micros,
    /// Time after which the client stops waiting, in microseconds.
    pub client_timeout: Option<Micros>,
    /// Expected duration of the work, in microseconds.
    pub cost_hint: Option<Micros>,
    /// Expected time to load a copy, in microseconds.
    pub load_hint: Option<Micros>,
    /// Size of a copy in megabytes; 0 if unknown.
    pub copy_mb: f64,
    /// Number of invocations that one copy runs at a time; at least 1.
    pub lanes: u32,
    /// Whether the client marked the request as its own retry.
    pub client_retry: bool,
    /// Length of the JSON in bytes if raw tensors follow it in the body.
    pub json_length: Option<u32>,
}

/// An invalid header; shown to the client.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {cause}")]
pub struct InvalidField {
    /// Name of the header.
    pub field: &'static str,
    /// Why the value is invalid.
    pub cause: String,
}

impl Remedy for InvalidField {
    fn remedy(&self) -> &'static str {
        "change the client to send the header as described in docs/operate/kserve-requests.md"
    }
}

/// Parses the headers of an infer request. `wall`: the time by this router's clock, in microseconds since 1970.
pub fn parse_infer_headers(
    headers: &HeaderMap,
    wall: Micros,
) -> Result<InferHeaders, InvalidField> {
    let text = |name| short_text(headers, name);
    let number = |name, max| whole_number(headers, name, max);
    let trigger_type = text(TRIGGER_TYPE)?.ok_or_else(|| InvalidField {
        field: TRIGGER_TYPE,
        cause: "no trigger type is named".into(),
    })?;
    let sent_at = number(SENT_AT_US, i64::MAX)?;
    Ok(InferHeaders {
        trigger_type,
        account: text(ACCOUNT)?,
        idempotency_key: text(IDEMPOTENCY_KEY)?,
        waited: sent_at.map_or(0, |sent_at| {
            wall.saturating_sub(sent_at).clamp(0, MAX_DURATION_US)
        }),
        client_timeout: number(CLIENT_TIMEOUT_MS, MAX_DURATION_US / 1000)?.map(|ms| ms * 1000),
        cost_hint: number(COST_HINT_US, MAX_DURATION_US)?,
        load_hint: number(LOAD_HINT_US, MAX_DURATION_US)?,
        copy_mb: number(COPY_MB, MAX_COPY_MB)?.unwrap_or(0) as f64,
        lanes: number(LANES, MAX_LANES)?.unwrap_or(1).max(1) as u32,
        client_retry: text(CLIENT_RETRY)?.as_deref() == Some("true"),
        json_length: number(JSON_LENGTH, i64::from(u32::MAX))?.map(|length| length as u32),
    })
}

/// Returns the value of a header if it is text of 1 to 255 bytes.
fn short_text(headers: &HeaderMap, name: &'static str) -> Result<Option<String>, InvalidField> {
    if !headers.contains_key(name) {
        return Ok(None);
    }
    match text(headers, name).filter(|text| !text.is_empty() && text.len() <= MAX_NAME_BYTES) {
        Some(text) => Ok(Some(text.to_owned())),
        None => Err(InvalidField {
            field: name,
            cause: "not a text of 1 to 255 bytes".into(),
        }),
    }
}

/// Returns the value of a header if it is an integer from 0 to `max`.
fn whole_number(
    headers: &HeaderMap,
    name: &'static str,
    max: i64,
) -> Result<Option<i64>, InvalidField> {
    let Some(text) = short_text(headers, name)? else {
        return Ok(None);
    };
    match text.parse::<i64>() {
        Ok(number) if (0..=max).contains(&number) => Ok(Some(number)),
        _ => Err(InvalidField {
            field: name,
            cause: format!("'{text}' is not within 0 to {max}"),
        }),
    }
}

/// Returns the status of the response to a failed invocation. `not_executed`: the invocation certainly did not run,
/// so the client may safely retry; otherwise it may have run.
pub fn failure_status(not_executed: bool) -> StatusCode {
    if not_executed {
        StatusCode::TOO_MANY_REQUESTS
    } else {
        StatusCode::BAD_GATEWAY
    }
}

/// Returns the value of the `Retry-After` header, in seconds. It is rounded up so that no client retries too early.
pub fn retry_after(wait: Micros) -> i64 {
    (wait.max(0) + 999_999) / 1_000_000
}

/// The protocol extensions that this server offers.
pub const EXTENSIONS: [&str; 2] = ["binary_tensor_data", "model_repository"];

/// Builds the body of the response with a model's metadata. Inputs and outputs are empty because only the workers know
/// them.
pub fn metadata(function: &str) -> String {
    let (name, version) = split_version(function);
    let versions: Vec<&str> = if version.is_empty() {
        vec![]
    } else {
        vec![version]
    };
    json!({"name": name, "versions": versions, "platform": "", "inputs": [], "outputs": []})
        .to_string()
}

/// Builds the body of the response with the list of models, for the functions that clients requested recently. All of
/// them are reported as ready, because they are loaded on demand.
pub fn index(functions: &[String]) -> String {
    let entry = |function: &String| {
        let (name, version) = split_version(function);
        json!({"name": name, "version": version, "state": "READY", "reason": ""})
    };
    serde_json::Value::Array(functions.iter().map(entry).collect()).to_string()
}

/// Builds the body of the response to a failed request.
pub fn error(cause: &str) -> String {
    json!({ "error": cause }).to_string()
}
