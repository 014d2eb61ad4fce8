//! Encodes responses to clients.

use std::io::Write;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_router::FinalOutcome;

/// The status of a rejection, which says that a retry is harmless.
pub const STATUS_REJECTED: u16 = 503;

/// A response to a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// For how long a rejected client is told to stay away, in microseconds.
    pub retry_after: Option<Micros>,
    /// The body; with status 200 as the worker gave it.
    pub body: Bytes,
    /// Whether the connection closes after it.
    pub close: bool,
}

impl Response {
    /// A response of a status only.
    pub fn bare(status: u16, close: bool) -> Self {
        Response {
            status,
            retry_after: None,
            body: Bytes::new(),
            close,
        }
    }
}

/// The status for a request's final outcome.
pub fn status_of(outcome: FinalOutcome) -> u16 {
    match outcome {
        FinalOutcome::Succeeded => 200,
        FinalOutcome::Throttled => STATUS_REJECTED,
        FinalOutcome::Errored => 500,
    }
}

/// The status of the router's health: not healthy while it shuts down.
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

/// Appends an encoded response.
pub fn write_response(buffer: &mut Vec<u8>, response: &Response) {
    let status = response.status;
    let reason = reason_phrase(status);
    // Writing to memory cannot fail.
    let _ = write!(
        buffer,
        "HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n",
        response.body.len()
    );
    if let Some(retry_after) = response.retry_after {
        // Rounded up: a client that comes back earlier would be rejected again.
        let _ = write!(buffer, "Srv-Wait-Ms: {}\r\n", (retry_after + 999) / 1_000);
    }
    buffer.extend_from_slice(if response.close {
        b"Connection: close\r\n\r\n"
    } else {
        b"\r\n"
    });
    buffer.extend_from_slice(&response.body);
}
