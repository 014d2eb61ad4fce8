//! Classifies how an exchange with a worker ended. This is the only place that maps socket events and responses to the
//! [`DispatchOutcome`] that the balancer receives.
//!
//! The mapping follows three rules:
//! 1. If no byte of a request was sent, the invocation did not run.
//! 2. Once a byte was sent, the invocation may have run, whatever failure of the connection follows.
//! 3. A worker's rejection proves that the invocation did not run only if the response has the header
//!    `cedarpulley-ran: no`, which a worker sends only before it begins any work.

use cedarpulley::interface::{CopyStatus, DispatchOutcome, LoadOrderResult, LoadReport};
use http::{HeaderMap, StatusCode};

use crate::response_headers;
use crate::worker_requests::{JSON_LENGTH, VERSIONS};

/// Larger response bodies, in bytes, are not parsed for the name of the model that answered.
const MAX_BODY_SEARCHED_FOR_MODEL: usize = 64 * 1024;

/// How an exchange with a worker ended.
#[derive(Clone, Debug)]
pub enum ExchangeOutcome<'a> {
    /// No connection was established: it was refused, reset or timed out.
    Unreachable,
    /// This router has no descriptor left for a connection.
    NoConnection,
    /// The limit on connections to this worker is reached, and all of them are in use.
    ConnectionLimit,
    /// The connection failed before the response was complete.
    ConnectionLost {
        /// Whether at least one byte of the request was sent.
        bytes_sent: bool,
    },
    /// The response is not HTTP, or its headers or its body are incomplete.
    MalformedResponse,
    /// The response is larger than the size limit and was not read to its end.
    ResponseTooLarge,
    /// The worker sent a complete response.
    Responded {
        /// The status of the response.
        status: StatusCode,
        /// The headers of the response.
        headers: &'a HeaderMap,
        /// The body of the response.
        body: &'a [u8],
        /// The function that the request named.
        function: &'a str,
    },
}

/// The result of a dispatch, as it is passed to the balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct InferenceResult {
    /// How the dispatch ended.
    pub outcome: DispatchOutcome,
    /// The state of the copy that served the invocation, if reported.
    pub copy_status: CopyStatus,
    /// Number of invocations of the same function that were in flight at the worker when this invocation arrived, if
    /// reported.
    pub function_load: Option<u32>,
    /// The worker's load report; empty if the response has none.
    pub report: LoadReport,
}

impl InferenceResult {
    /// Returns the result of an exchange without a usable response.
    fn without_response(outcome: DispatchOutcome) -> Self {
        InferenceResult {
            outcome,
            copy_status: CopyStatus::Unreported,
            function_load: None,
            report: LoadReport::default(),
        }
    }
}

/// Classifies the exchange of an infer request.
pub fn classify_inference(exchange: &ExchangeOutcome) -> InferenceResult {
    match exchange {
        ExchangeOutcome::Unreachable => {
            InferenceResult::without_response(DispatchOutcome::Unreachable)
        }
        ExchangeOutcome::NoConnection => {
            InferenceResult::without_response(DispatchOutcome::NoConnection)
        }
        // Handled like a full queue at the worker: this router cannot send it any more requests.
        ExchangeOutcome::ConnectionLimit => {
            InferenceResult::without_response(DispatchOutcome::Rejected)
        }
        // Happens when the worker closes an idle connection just as a request is written to it.
        ExchangeOutcome::ConnectionLost { bytes_sent: false } => {
            InferenceResult::without_response(DispatchOutcome::NotSent)
        }
        ExchangeOutcome::ConnectionLost { bytes_sent: true }
        | ExchangeOutcome::MalformedResponse => {
            InferenceResult::without_response(DispatchOutcome::ConnectionLost)
        }
        ExchangeOutcome::ResponseTooLarge => {
            InferenceResult::without_response(DispatchOutcome::Errored)
        }
        ExchangeOutcome::Responded {
            status,
            headers,
            body,
            function,
        } => InferenceResult {
            outcome: response_outcome(*status, headers, body, function),
            copy_status: response_headers::copy_status(headers),
            function_load: response_headers::number(headers, response_headers::FUNCTION_LOAD),
            report: response_headers::load_report(headers),
        },
    }
}

fn response_outcome(
    status: StatusCode,
    headers: &HeaderMap,
    body: &[u8],
    function: &str,
) -> DispatchOutcome {
    let not_executed = response_headers::text(headers, response_headers::RAN) == Some("no");
    match status.as_u16() {
        // Detects headers that announce raw tensors which the body does not contain.
        200 if json_length(headers, body).is_none() => DispatchOutcome::Errored,
        200 if is_from_other_model(headers, body, function) => DispatchOutcome::Errored,
        200 => DispatchOutcome::Succeeded,
        404 if not_executed => DispatchOutcome::NotLoaded,
        429 | 503 if not_executed => DispatchOutcome::Rejected,
        _ => DispatchOutcome::Errored,
    }
}

/// Returns the length of the JSON in a response's body, in bytes: the whole body, unless the header of the binary-data
/// extension states a shorter length. Returns `None` if that header is malformed or exceeds the length of the body.
pub fn json_length(headers: &HeaderMap, body: &[u8]) -> Option<usize> {
    match headers.get(JSON_LENGTH) {
        None => Some(body.len()),
        Some(_) => response_headers::number(headers, JSON_LENGTH)
            .map(|length| length as usize)
            .filter(|length| *length <= body.len()),
    }
}

/// Classifies the exchange of a load order or of a readiness query. Returns the result and the number of copies that
/// are loaded at the worker now.
pub fn classify_load_order(exchange: &ExchangeOutcome) -> (LoadOrderResult, u32) {
    match exchange {
        ExchangeOutcome::Unreachable => (LoadOrderResult::Unreachable, 0),
        // The worker was sent nothing, for a reason of this router.
        ExchangeOutcome::NoConnection
        | ExchangeOutcome::ConnectionLimit
        | ExchangeOutcome::ConnectionLost { bytes_sent: false } => (LoadOrderResult::NotSent, 0),
        ExchangeOutcome::ConnectionLost { bytes_sent: true }
        | ExchangeOutcome::MalformedResponse
        | ExchangeOutcome::ResponseTooLarge => (LoadOrderResult::ConnectionLost, 0),
        ExchangeOutcome::Responded {
            status, headers, ..
        } => {
            let copies = response_headers::number(headers, response_headers::COPIES);
            match status.as_u16() {
                200 => (LoadOrderResult::Loaded, copies.unwrap_or(1)),
                // The answer to a readiness query for a function that is not loaded.
                404 => (LoadOrderResult::Loaded, 0),
                429 | 503 | 507 => (LoadOrderResult::NoCapacity, copies.unwrap_or(0)),
                _ => (LoadOrderResult::LoadFailed, copies.unwrap_or(0)),
            }
        }
    }
}

/// Classifies the exchange of a health check. Returns the outcome and the worker's load report.
pub fn classify_health_check(exchange: &ExchangeOutcome) -> (DispatchOutcome, LoadReport) {
    match exchange {
        ExchangeOutcome::Responded {
            status, headers, ..
        } => {
            let outcome = if status.is_success() {
                DispatchOutcome::Succeeded
            } else {
                DispatchOutcome::Errored
            };
            (outcome, response_headers::load_report(headers))
        }
        ExchangeOutcome::ConnectionLimit => (DispatchOutcome::NoConnection, LoadReport::default()),
        other => (classify_inference(other).outcome, LoadReport::default()),
    }
}

/// Whether the response names another model than the requested one. Without this check, the wrong response of a worker,
/// or of a proxy in front of it, would be passed to the client as a success.
fn is_from_other_model(headers: &HeaderMap, body: &[u8], function: &str) -> bool {
    #[derive(serde::Deserialize)]
    struct ResponseModel {
        model_name: Option<String>,
    }
    if let Some(name) = response_headers::text(headers, response_headers::MODEL) {
        return name != function;
    }
    let body = &body[..json_length(headers, body).unwrap_or(0)];
    if body.len() > MAX_BODY_SEARCHED_FOR_MODEL || body.first() != Some(&b'{') {
        return false;
    }
    let answering_model = serde_json::from_slice::<ResponseModel>(body)
        .ok()
        .and_then(|response| response.model_name);
    // A response names the model without the version, also where the request named a version.
    let unversioned = function
        .split_once(VERSIONS)
        .map_or(function, |(name, _)| name);
    answering_model.is_some_and(|name| name != function && name != unversioned)
}
