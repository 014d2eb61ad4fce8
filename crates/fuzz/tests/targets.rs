//! Each runs for a fixed number of inputs, drawn by the seed in `.cargo/config.toml`, on every test; `cargo bolero`
//! hunts with the same targets.

use bolero::check;
use cedarpulley_fuzz::*;

/// Some seconds for all of them in a debug build.
const INPUTS: usize = 20_000;

#[test]
fn fuzz_rest_body() {
    check!()
        .with_type::<(Vec<u8>, Option<u16>)>()
        .with_iterations(INPUTS)
        .for_each(|(b, s)| rest_body(b, *s));
}

/// Bytes drawn freely seldom are JSON: shapes of answers with drawn numbers and ends.
#[test]
fn fuzz_binary_extension() {
    check!().with_type::<(u8, i16, u16, Vec<u8>, u8)>().with_iterations(INPUTS).for_each(
        |(kind, size, split, raw, cut)| {
            let types = ["FP32", "INT8", "BYTES", "BOOL", "UINT64", "no"];
            let datatype = types[*kind as usize % types.len()];
            let head = format!(
                r#"{{"outputs":[{{"datatype":"{datatype}","shape":[{size}],"parameters":{{"binary_data_size":{size}}}}},
                {{"datatype":"{datatype}","data":[[{size}],["{kind}"]]}}]}}"#
            );
            let mut body = [head.as_bytes(), raw].concat();
            let split = if *kind < 128 { head.len() as u16 } else { *split };
            body.truncate(body.len() - (*cut as usize).min(body.len()) / 8);
            rest_body(&body, Some(split));
        },
    );
}

#[test]
fn fuzz_grpc_frame() {
    check!().with_type::<Vec<u8>>().with_iterations(INPUTS).for_each(|b| grpc_body(b));
}

#[test]
fn fuzz_grpc_message() {
    check!().with_type::<Vec<u8>>().with_iterations(INPUTS).for_each(|b| grpc_message(b));
}

#[test]
fn fuzz_head() {
    check!()
        .with_type::<(String, Vec<(u8, Vec<u8>)>)>()
        .with_iterations(INPUTS)
        .for_each(|(path, headers)| head(path, headers));
}

#[test]
fn fuzz_amqp_frame() {
    check!().with_type::<Vec<Vec<u8>>>().with_iterations(INPUTS).for_each(|p| amqp_frames(p));
}

#[test]
fn fuzz_amqp_connection() {
    check!().with_type::<Vec<Vec<u8>>>().with_iterations(INPUTS).for_each(|p| amqp_connection(p));
}

#[test]
fn fuzz_trace_file() {
    let kept = std::io::Cursor::new(include_bytes!("../../trace/tests/kept/format-1.trace"));
    let start = cedarpulley_trace::reader::Reader::open(kept).expect("a trace").sources.swap_remove(0);
    check!().with_type::<(Vec<u8>, bool)>().with_iterations(INPUTS / 4).for_each(|(bytes, inside)| {
        trace_file(bytes, inside.then_some(&start));
    });
}
