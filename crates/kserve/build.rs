//! Generates the gRPC message types from `proto/` with a compiler written in Rust, so that no `protoc` is needed.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = ["proto/inference.proto", "proto/details.proto"];
    for file in files {
        println!("cargo::rerun-if-changed={file}");
    }
    let descriptors = protox::compile(files, ["proto"])?;
    // Sorted maps make the encoding deterministic: equal messages have equal bytes.
    prost_build::Config::new()
        .btree_map(["."])
        .bytes(["."])
        .compile_fds(descriptors)?;
    Ok(())
}
