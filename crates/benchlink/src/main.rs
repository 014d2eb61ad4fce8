//! Hosts balancer instances for a benchmark over a line protocol: reads batches of events from standard input and
//! writes the resulting actions to standard output.

mod codec;
mod decoder;
mod error;
mod field_reader;
mod host;
mod instance;

use std::io::{BufRead, Write};
use std::process::ExitCode;

use cedarpulley_errors::Remedy;
use error::{ProtocolError, Result};
use host::Host;

/// Largest reply buffer, in bytes, that is kept for the next batch.
const MAX_REUSED_BYTES: usize = 1 << 20;

/// Serves batches until the input ends. The reply to each batch is written before the next batch is read.
fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<()> {
    let mut host = Host::default();
    let mut line = Vec::new();
    let mut reply = Vec::new();
    let mut line_number = 0u64;
    loop {
        line.clear();
        line_number += 1;
        let in_line = |source| ProtocolError::InLine {
            line: line_number,
            source: Box::new(source),
        };
        if input.read_until(b'\n', &mut line)? == 0 {
            return host.end_of_input().map_err(in_line);
        }
        let text = std::str::from_utf8(&line).map_err(|_| in_line(ProtocolError::InvalidUtf8))?;
        let text = text.strip_suffix('\n').unwrap_or(text);
        let text = text.strip_suffix('\r').unwrap_or(text);
        if host.handle_line(text, &mut reply).map_err(in_line)? {
            output.write_all(&reply)?;
            output.flush()?;
            reply.clear();
            reply.shrink_to(MAX_REUSED_BYTES);
        }
    }
}

fn main() -> ExitCode {
    match serve(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cedarpulley-benchlink: {}", error.line());
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
