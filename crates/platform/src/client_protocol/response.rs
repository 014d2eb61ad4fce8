//! What goes back to a client.

use std::io::Write;

use cedarpulley::interface::Micros;
use cedarpulley_router::Fate;

/// The status of a refusal, which says that trying again is harmless.
pub const REFUSED: u16 = 503;

/// The status of a final answer.
pub fn status_of(fate: Fate) -> u16 {
    match fate {
        Fate::Succeeded => 200,
        Fate::Throttled => REFUSED,
        Fate::Errored => 500,
    }
}

/// The status of the answer to a question whether the router serves.
pub fn health_status(shutting_down: bool) -> u16 {
    if shutting_down { REFUSED } else { 200 }
}

fn reason(status: u16) -> &'static str {
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

/// Writes a response. Status 200 carries the body as the worker gave it. `retry_after`: on a refusal, the microseconds
/// for which the client is told to stay away. `close`: the connection closes after it.
pub fn write_response(
    out: &mut Vec<u8>,
    status: u16,
    retry_after: Option<Micros>,
    body: &[u8],
    close: bool,
) {
    let reason = reason(status);
    // Writing to memory cannot fail.
    let _ = write!(
        out,
        "HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n",
        body.len()
    );
    if let Some(wait) = retry_after {
        let _ = write!(out, "Srv-Wait-Ms: {}\r\n", (wait + 999) / 1_000);
    }
    out.extend_from_slice(if close {
        b"Connection: close\r\n\r\n"
    } else {
        b"\r\n"
    });
    out.extend_from_slice(body);
}
