//! Encodes responses to clients.

use std::io::Write;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_router::FinalOutcome;

/// The HTTP status of a rejection. It tells the client that nothing ran, so that a retry is safe.
pub const STATUS_REJECTED: u16 = 503;

/// A response to a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// Time for which a rejected client should wait before a retry, in microseconds.
    pub retry_after: Option<Micros>,
    /// The body; with status 200, the unchanged body of the worker's answer.
    pub body: Bytes,
    /// Whether the connection is closed after the response.
    pub close: bool,
}

impl Response {
    /// A response without a body.
    pub fn bare(status: u16, close: bool) -> Self {
        Response {
            status,
            retry_after: None,
            body: Bytes::new(),
            close,
        }
    }
}

/// The HTTP status for the final outcome of a request.
pub fn status_of(outcome: FinalOutcome) -> u16 {
    match outcome {
        FinalOutcome::Succeeded => 200,
        FinalOutcome::Throttled => STATUS_REJECTED,
        FinalOutcome::Errored => 500,
    }
}

/// The HTTP status of the response to a health request. A router is not healthy while it shuts down.
pub fn health_status(shutting_down: bool) -> u16 {
    if shutting_down { STATUS_REJECTED } else { 200 }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        413 => "Content Too Large",
        417 => "Expectation Failed",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Internal Server Error",
    }
}

/// Encodes a response and appends it to `buffer`.
pub fn write_response(buffer: &mut Vec<u8>, response: &Response) {
    let status = response.status;
    let reason = reason_phrase(status);
    // The result is ignored because writing to a vector cannot fail.
    let _ = write!(
        buffer,
        "HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n",
        response.body.len()
    );
    if let Some(retry_after) = response.retry_after {
        // Rounded up to whole milliseconds: a client that retries earlier would be rejected again.
        let _ = write!(buffer, "Srv-Wait-Ms: {}\r\n", (retry_after + 999) / 1_000);
    }
    buffer.extend_from_slice(if response.close {
        b"Connection: close\r\n\r\n"
    } else {
        b"\r\n"
    });
    buffer.extend_from_slice(&response.body);
}
