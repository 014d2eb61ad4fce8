//! Responses to invocations: echoed tensors, the load report, and whether the function was loaded and the prefix
//! cached.

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use serde_json::json;

use super::idempotency::StoredAnswer;
use super::incarnation::CopyState;
use super::inference::{Inference, JSON_LENGTH_HEADER};
use super::prefix_cache::PrefixMatch;
use crate::http::{Body, response_with};

impl Inference {
    /// Builds the answer. Raw tensors of the request are echoed; without raw tensors the answer has no outputs.
    pub(super) fn echo(&self) -> StoredAnswer {
        let (request, body) = (&self.request, &self.body);
        let mut outputs = json!([]);
        let raw = request
            .json_length
            .filter(|length| length < &body.len())
            .map(|length| (length, body.slice(length..)));
        if let Some((length, _)) = &raw {
            let request_json =
                serde_json::from_slice::<serde_json::Value>(&body[..*length]).unwrap_or_default();
            outputs = request_json.get("inputs").cloned().unwrap_or(outputs);
        }
        let response_json =
            json!({"model_name": request.function, "id": request.id, "outputs": outputs})
                .to_string();
        match raw {
            None => StoredAnswer {
                body: Bytes::from(response_json),
                json_length: None,
            },
            Some((_, raw)) => StoredAnswer {
                body: Bytes::from([response_json.as_bytes(), &raw].concat()),
                json_length: Some(response_json.len()),
            },
        }
    }

    pub(super) fn add_headers(
        &self,
        response: &mut Response<Body>,
        copy: CopyState,
        concurrency: usize,
        prefix: Option<PrefixMatch>,
    ) {
        let profile = &self.worker.profile;
        let (utilization, in_flight) = self
            .worker
            .with_incarnation(|incarnation| {
                (incarnation.utilization(profile), incarnation.in_flight())
            })
            .unwrap_or((0.0, 0));
        let load_report =
            format!("TEXT cpu_utilization={utilization:.2}, named_metrics.held={in_flight}");
        let headers = response.headers_mut();
        if let Some(prefix) = prefix {
            headers.insert(
                "cedarpulley-prefix",
                HeaderValue::from_static(prefix.as_str()),
            );
        }
        headers.insert("content-type", HeaderValue::from_static("application/json"));
        headers.insert("cedarpulley-copy", HeaderValue::from_static(copy.as_str()));
        headers.insert("cedarpulley-crowd", HeaderValue::from(concurrency));
        if let Ok(load_report) = HeaderValue::from_str(&load_report) {
            headers.insert("endpoint-load-metrics", load_report);
        }
    }
}

pub(super) fn answer_response(answer: StoredAnswer) -> Response<Body> {
    let mut response = response_with(StatusCode::OK, answer.body);
    if let Some(length) = answer.json_length {
        response
            .headers_mut()
            .insert(JSON_LENGTH_HEADER, HeaderValue::from(length));
    }
    response
}
