//! Writes the fixtures of `tests/format_stability.rs`, and `causes.trace` of the command line's tests. Run it only
//! after the introduction of a new format, and give the fixtures new names.
//!
//! `cargo run -p cedarpulley-trace --example pinned_trace -- FOLDER`

#[path = "../tests/every_record/mod.rs"]
mod every_record;

#[path = "../tests/every_cause/mod.rs"]
mod every_cause;

use std::fs::File;
use std::io::Write;
use std::path::Path;

fn write(folder: &str, name: &str, bytes: &[u8]) {
    let path = Path::new(folder).join(name);
    let mut file = File::create_new(path).expect("no file of this name");
    file.write_all(bytes).expect("written");
}

fn main() {
    let folder = std::env::args().nth(1).expect("a folder");
    write(&folder, "format-3.trace", &every_record::file());
    write(&folder, "causes.trace", &every_cause::file());
    write(&folder, "records.hex", every_record::lines().as_bytes());
}
