//! Writes a trace that tests of later formats read, under `tests/kept`: only for a new format, under a new name.
//!
//! `cargo run -p cedarpulley-trace --example kept_trace -- crates/trace/tests/kept/format-N.trace`

#[path = "../tests/small/mod.rs"]
mod small;

use std::io::Cursor;

use cedarpulley_trace::merge::merge;
use cedarpulley_trace::reader::Reader;
use small::{MS, written};

/// Of the second file's clock before the first one's.
const AHEAD: i64 = 5 * MS;

fn main() {
    let path = std::env::args().nth(1).expect("the path of a new file");
    let files = [written(4, |_, _| {}), written(2, |_, _| {})];
    let mut readers = files.map(|f| Reader::open(Cursor::new(f)).expect("a trace"));
    let mut merged = Vec::new();
    merge(&mut readers, &[0, AHEAD], &mut merged).expect("merged");
    let mut file = std::fs::File::create_new(&path).expect("no file of this name");
    std::io::Write::write_all(&mut file, &merged).expect("written");
}
