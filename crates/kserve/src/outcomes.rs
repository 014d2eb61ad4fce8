//! How an exchange with a worker ended, and what the decision module is told of it: the one table from socket events
//! to a [`DispatchOutcome`].
//!
//! It rests on three rules. A request of which no byte was sent did not run. Once a byte was sent, any failure of the
//! connection leaves open whether it ran. And a worker's rejection proves that it did not run only if the worker
//! states so explicitly (`cedarpulley-ran: no`), which it does before it begins any work.

use cedarpulley::interface::{CopyStatus, DispatchOutcome, LoadOrderResult, LoadReport};
use http::{HeaderMap, StatusCode};

use crate::response_headers;
use crate::worker_requests::{JSON_LENGTH, VERSIONS};

/// Bodies up to this many bytes are searched for the name of the model that answered.
const MAX_BODY_SEARCHED_FOR_MODEL: usize = 64 * 1024;

/// How an exchange with a worker ended.
#[derive(Clone, Debug)]
pub enum ExchangeOutcome<'a> {
    /// The connection was refused, reset or not accepted in time.
    Unreachable,
    /// All connections that are allowed to this worker are in use.
    ConnectionLimit,
    /// The connection failed before the response was complete.
    ConnectionLost {
        /// At least one byte of the request was sent.
        bytes_sent: bool,
    },
    /// The response is not HTTP, its head has no end, or its body broke off.
    MalformedResponse,
    /// The response exceeds the size limit and was not read to its end.
    ResponseTooLarge,
    /// The worker sent a complete response.
    Responded {
        /// Its status.
        status: StatusCode,
        /// Its headers.
        headers: &'a HeaderMap,
        /// Its body.
        body: &'a [u8],
        /// The function that the request was for.
        function: &'a str,
    },
}

/// What an exchange for an invocation means to the decision module.
#[derive(Clone, Debug, PartialEq)]
pub struct InferenceResult {
    /// How the dispatch ended.
    pub outcome: DispatchOutcome,
    /// The state of the copy that served it, if reported.
    pub copy_status: CopyStatus,
    /// Invocations of the same function that were in flight at the worker when this one came, if reported.
    pub function_load: Option<u32>,
    /// The worker's load report; empty if there is none.
    pub report: LoadReport,
}

impl InferenceResult {
    /// The result of an exchange without a usable response.
    fn without_response(outcome: DispatchOutcome) -> Self {
        InferenceResult {
            outcome,
            copy_status: CopyStatus::Unreported,
            function_load: None,
            report: LoadReport::default(),
        }
    }
}

/// Interprets the exchange of an infer request.
pub fn classify_inference(exchange: &ExchangeOutcome) -> InferenceResult {
    match exchange {
        ExchangeOutcome::Unreachable => {
            InferenceResult::without_response(DispatchOutcome::Unreachable)
        }
        // For this router the worker is full, as if its queue were.
        ExchangeOutcome::ConnectionLimit => {
            InferenceResult::without_response(DispatchOutcome::Rejected)
        }
        // Symptom: the worker closes an idle connection just as a request is written to it.
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
        // Symptom: the headers announce raw tensors that the body does not have.
        200 if json_length(headers, body).is_none() => DispatchOutcome::Errored,
        200 if is_from_other_model(headers, body, function) => DispatchOutcome::Errored,
        200 => DispatchOutcome::Succeeded,
        404 if not_executed => DispatchOutcome::NotLoaded,
        429 | 503 if not_executed => DispatchOutcome::Rejected,
        _ => DispatchOutcome::Errored,
    }
}

/// How many bytes of a response's body are JSON: all of them, unless the header of the binary-data extension names
/// fewer. Absent if that header is malformed or names more than there are.
pub fn json_length(headers: &HeaderMap, body: &[u8]) -> Option<usize> {
    match headers.get(JSON_LENGTH) {
        None => Some(body.len()),
        Some(_) => response_headers::number(headers, JSON_LENGTH)
            .map(|length| length as usize)
            .filter(|length| *length <= body.len()),
    }
}

/// Interprets the exchange of a load order or of a readiness query. Returns the result and the number of copies
/// loaded at the worker now.
pub fn classify_load_order(exchange: &ExchangeOutcome) -> (LoadOrderResult, u32) {
    match exchange {
        ExchangeOutcome::Unreachable => (LoadOrderResult::Unreachable, 0),
        ExchangeOutcome::ConnectionLimit
        | ExchangeOutcome::ConnectionLost { .. }
        | ExchangeOutcome::MalformedResponse
        | ExchangeOutcome::ResponseTooLarge => (LoadOrderResult::ConnectionLost, 0),
        ExchangeOutcome::Responded {
            status, headers, ..
        } => {
            let copies = response_headers::number(headers, response_headers::COPIES);
            match status.as_u16() {
                200 => (LoadOrderResult::Loaded, copies.unwrap_or(1)),
                // A readiness query's "not ready".
                404 => (LoadOrderResult::Loaded, 0),
                429 | 503 | 507 => (LoadOrderResult::NoCapacity, copies.unwrap_or(0)),
                _ => (LoadOrderResult::LoadFailed, copies.unwrap_or(0)),
            }
        }
    }
}

/// Interprets the exchange of a health check. Returns its outcome and the worker's load report.
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
        other => (classify_inference(other).outcome, LoadReport::default()),
    }
}

/// Symptom: a worker, or a proxy in front of it, answers for a model that was not asked for.
fn is_from_other_model(headers: &HeaderMap, body: &[u8], function: &str) -> bool {
    #[derive(serde::Deserialize)]
    struct ResponseHead {
        model_name: Option<String>,
    }
    if let Some(name) = response_headers::text(headers, response_headers::MODEL) {
        return name != function;
    }
    let body = &body[..json_length(headers, body).unwrap_or(0)];
    if body.len() > MAX_BODY_SEARCHED_FOR_MODEL || body.first() != Some(&b'{') {
        return false;
    }
    let answering_model = serde_json::from_slice::<ResponseHead>(body)
        .ok()
        .and_then(|head| head.model_name);
    // A worker names a model of a given version without the version.
    let unversioned = function
        .split_once(VERSIONS)
        .map_or(function, |(name, _)| name);
    answering_model.is_some_and(|name| name != function && name != unversioned)
}
