//! Types of the gRPC messages, made from our own files by a compiler written in Rust: no `protoc` is needed.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = ["proto/inference.proto", "proto/details.proto"];
    files
        .iter()
        .for_each(|f| println!("cargo::rerun-if-changed={f}"));
    let set = protox::compile(files, ["proto"])?;
    // Sorted maps: the same message always makes the same bytes.
    prost_build::Config::new()
        .btree_map(["."])
        .bytes(["."])
        .compile_fds(set)?;
    Ok(())
}
