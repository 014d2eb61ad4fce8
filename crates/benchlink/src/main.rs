//! Hosts cedarpulley instances on the bench's wire: news in on standard input, actions out on standard output.

mod codec;
mod host;
mod refused;

use std::io::{BufRead, Write};
use std::process::ExitCode;

use cedarpulley_errors::Remedy;
use host::Host;
use refused::{Refused, Result};

/// Longest buffer kept between batches.
const KEPT_BYTES: usize = 1 << 20;

fn at(line: u64, why: Refused) -> Refused {
    Refused::At {
        line,
        why: Box::new(why),
    }
}

fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<()> {
    let mut host = Host::default();
    let mut line = Vec::new();
    let mut reply = Vec::new();
    let mut number = 0u64;
    loop {
        line.clear();
        number += 1;
        if input.read_until(b'\n', &mut line)? == 0 {
            return host.at_end().map_err(|why| at(number, why));
        }
        let text = std::str::from_utf8(&line).map_err(|_| at(number, Refused::NoText))?;
        let text = text.strip_suffix('\n').unwrap_or(text);
        let text = text.strip_suffix('\r').unwrap_or(text);
        if host.line(text, &mut reply).map_err(|why| at(number, why))? {
            output.write_all(&reply)?;
            output.flush()?;
            reply.clear();
            reply.shrink_to(KEPT_BYTES);
        }
    }
}

fn main() -> ExitCode {
    match serve(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("cedarpulley-benchlink: {}", why.line());
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
