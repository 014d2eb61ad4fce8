//! Targets for the parsers of KServe v2: requests of clients over HTTP and gRPC, and responses of workers.

use bytes::Bytes;
use cedarpulley_kserve::grpc::inference::{ModelInferRequest, ModelInferResponse};
use cedarpulley_kserve::tensors::{InferenceBody, decode_response, encode_request};
use cedarpulley_kserve::{client_requests, grpc, repository_index};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use prost::Message;

/// Maximum length of the raw tensors that are converted from a response, as a multiple of the length of the response. A
/// text gets a length of four bytes, and an integer, which takes at least one digit and a comma in JSON, becomes up to
/// eight bytes.
const MAX_RAW_GROWTH: usize = 8;

/// The body of a worker's response to an infer request: JSON, followed by raw tensors from `json_length` on. The size
/// of the converted response is bounded.
pub fn infer_response(bytes: &[u8], json_length: Option<u16>) {
    let bytes = Bytes::copy_from_slice(bytes);
    let size = bytes.len();
    if let Ok(message) = decode_response(&InferenceBody {
        bytes,
        json_length: json_length.map(u32::from),
    }) {
        let raw: usize = message.raw_output_contents.iter().map(Bytes::len).sum();
        assert!(raw <= MAX_RAW_GROWTH * size, "{raw} raw bytes from {size}");
    }
}

/// The repository index of a worker. The retained names are at most twice as long as the received bytes.
pub fn worker_index(bytes: &[u8]) {
    if let Ok(index) = repository_index::parse(200, &HeaderMap::new(), bytes) {
        let retained: usize = index
            .models
            .iter()
            .map(|model| {
                let sequences = model.sequences.iter().flatten();
                model.function.len() + sequences.map(String::len).sum::<usize>()
            })
            .sum();
        assert!(
            retained <= 2 * bytes.len(),
            "retained more than twice the received bytes"
        );
    }
}

/// The body of a gRPC call. The message in its frame has the length that the frame header states.
pub fn grpc_body(bytes: &[u8]) {
    let Ok(message) = grpc::unframe(Bytes::copy_from_slice(bytes)) else {
        return;
    };
    let stated_length = bytes[1..grpc::FRAME_HEADER_BYTES]
        .iter()
        .fold(0, |length, byte| length << 8 | usize::from(*byte));
    assert_eq!(
        (message.len(), message.len() + grpc::FRAME_HEADER_BYTES),
        (stated_length, bytes.len())
    );
    grpc_message(&message);
}

/// A gRPC message. A request that can be converted becomes JSON followed by all its raw tensors.
pub fn grpc_message(bytes: &[u8]) {
    let Ok(message) = ModelInferRequest::decode(bytes) else {
        return;
    };
    if let Ok(body) = encode_request(&message) {
        let json_length = body
            .json_length
            .map_or(body.bytes.len(), |length| length as usize);
        assert_eq!(body.bytes[..json_length].first(), Some(&b'{'));
        let raw: usize = message.raw_input_contents.iter().map(Bytes::len).sum();
        assert_eq!(body.bytes.len() - json_length, raw);
    }
    let _ = ModelInferResponse::decode(bytes);
}

/// The path and the headers of a request. Each header is given as the index of its name and its value. The parsed
/// values are within their bounds.
pub fn request_head(path: &str, headers: &[(u8, Vec<u8>)]) {
    const HEADER_NAMES: [&str; 8] = [
        "cedarpulley-trigger-type",
        "cedarpulley-account",
        "cedarpulley-client-timeout-ms",
        "cedarpulley-sent-at-us",
        "cedarpulley-lanes",
        "inference-header-content-length",
        "idempotency-key",
        "grpc-timeout",
    ];
    let _ = client_requests::parse_path(&Method::POST, path);
    let mut map = HeaderMap::new();
    for (number, value) in headers {
        if let Ok(value) = HeaderValue::from_bytes(value) {
            let name = HEADER_NAMES[*number as usize % HEADER_NAMES.len()];
            map.insert(HeaderName::from_static(name), value);
        }
    }
    if let Ok(parsed) = client_requests::parse_infer_headers(&map, 1_000_000) {
        assert!(
            parsed.lanes >= 1
                && parsed.waited >= 0
                && parsed.client_timeout.is_none_or(|timeout| timeout >= 0)
        );
    }
    if let Ok(Some(timeout)) = grpc::timeout(&map) {
        assert!(timeout >= 0);
    }
}
