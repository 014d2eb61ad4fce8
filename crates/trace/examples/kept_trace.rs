//! Writes a trace in the current format for `tests/kept`, which the tests of later formats read. Run it only after the
//! introduction of a new format, and give the file a new name.
//!
//! `cargo run -p cedarpulley-trace --example kept_trace -- crates/trace/tests/kept/format-N.trace`

#[path = "../tests/sample_trace/mod.rs"]
mod sample_trace;

use std::io::Cursor;

use cedarpulley_trace::merge::merge;
use cedarpulley_trace::reader::Reader;
use sample_trace::{MILLISECOND, trace_file};

/// How far the clock of the second file is ahead of the first file's, in microseconds.
const CLOCK_AHEAD: i64 = 5 * MILLISECOND;

fn main() {
    let path = std::env::args().nth(1).expect("the path of a new file");
    let files = [trace_file(4, |_, _| {}), trace_file(2, |_, _| {})];
    let mut readers = files.map(|f| Reader::open(Cursor::new(f)).expect("a trace"));
    let mut merged = Vec::new();
    merge(&mut readers, &[0, CLOCK_AHEAD], &mut merged).expect("merged");
    let mut file = std::fs::File::create_new(&path).expect("no file of this name");
    std::io::Write::write_all(&mut file, &merged).expect("written");
}
