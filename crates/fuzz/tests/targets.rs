//! Runs each fuzz target with a fixed number of inputs, which are generated from the seed in `.cargo/config.toml`.
//! `cargo bolero` runs the same targets for longer. Guards against parsers that panic or exceed their bounds on
//! malformed input.

use bolero::check;
use cedarpulley_fuzz::amqp::{amqp_connection, amqp_frames};
use cedarpulley_fuzz::http_framing::{http_requests, http_responses};
use cedarpulley_fuzz::kserve::{
    grpc_body, grpc_message, infer_response, request_head, worker_index,
};
use cedarpulley_fuzz::platform::{platform_channel, platform_client, platform_worker};
use cedarpulley_fuzz::trace::trace_file;

/// Number of inputs of a target. All targets together take some seconds in a debug build.
const INPUTS_PER_TARGET: usize = 20_000;

#[test]
fn fuzz_infer_response() {
    check!()
        .with_type::<(Vec<u8>, Option<u16>)>()
        .with_iterations(INPUTS_PER_TARGET)
        .for_each(|(bytes, json_length)| infer_response(bytes, *json_length));
}

#[test]
fn fuzz_worker_index() {
    check!().with_type::<(Vec<u8>, u8, i64, u8)>().with_iterations(INPUTS_PER_TARGET).for_each(|(raw, kind, n, cut)| {
        worker_index(raw);
        let states = ["READY", "LOADING", "UNAVAILABLE", "no"];
        let state = states[*kind as usize % states.len()];
        let body = format!(
            r#"[{{"name":"a","version":"{kind}","state":"{state}","parameters":{{"copies":{n},"idle_us":{n},"sequences":["{n}"]}}}},
            {{"name":"b","parameters":{{"busy":"{n}","sequences":{n}}}}}]"#
        );
        worker_index(&body.as_bytes()[..body.len() - *cut as usize % body.len()]);
    });
}

/// Random bytes are seldom JSON, so this test generates well-formed responses with random numbers and truncates them.
#[test]
fn fuzz_binary_extension() {
    check!().with_type::<(u8, i16, u16, Vec<u8>, u8)>().with_iterations(INPUTS_PER_TARGET).for_each(
        |(kind, size, split, raw, cut)| {
            let types = ["FP32", "INT8", "BYTES", "BOOL", "UINT64", "no"];
            let datatype = types[*kind as usize % types.len()];
            let json = format!(
                r#"{{"outputs":[{{"datatype":"{datatype}","shape":[{size}],"parameters":{{"binary_data_size":{size}}}}},
                {{"datatype":"{datatype}","data":[[{size}],["{kind}"]]}}]}}"#
            );
            let mut body = [json.as_bytes(), raw].concat();
            let split = if *kind < 128 { json.len() as u16 } else { *split };
            body.truncate(body.len() - (*cut as usize).min(body.len()) / 8);
            infer_response(&body, Some(split));
        },
    );
}

#[test]
fn fuzz_grpc_frame() {
    check!()
        .with_type::<Vec<u8>>()
        .with_iterations(INPUTS_PER_TARGET)
        .for_each(|bytes| grpc_body(bytes));
}

#[test]
fn fuzz_grpc_message() {
    check!()
        .with_type::<Vec<u8>>()
        .with_iterations(INPUTS_PER_TARGET)
        .for_each(|bytes| grpc_message(bytes));
}

#[test]
fn fuzz_request_head() {
    check!()
        .with_type::<(String, Vec<(u8, Vec<u8>)>)>()
        .with_iterations(INPUTS_PER_TARGET)
        .for_each(|(path, headers)| request_head(path, headers));
}

#[test]
fn fuzz_amqp_frame() {
    check!()
        .with_type::<Vec<Vec<u8>>>()
        .with_iterations(INPUTS_PER_TARGET)
        .for_each(|pieces| amqp_frames(pieces));
}

#[test]
fn fuzz_amqp_connection() {
    check!()
        .with_type::<Vec<Vec<u8>>>()
        .with_iterations(INPUTS_PER_TARGET)
        .for_each(|pieces| amqp_connection(pieces));
}

#[test]
fn fuzz_trace_file() {
    let file = std::io::Cursor::new(include_bytes!("../../trace/tests/kept/format-1.trace"));
    let source = cedarpulley_trace::reader::Reader::open(file)
        .expect("a trace")
        .sources
        .swap_remove(0);
    check!()
        .with_type::<(Vec<u8>, bool)>()
        .with_iterations(INPUTS_PER_TARGET / 4)
        .for_each(|(bytes, in_block)| {
            trace_file(bytes, in_block.then_some(&source));
        });
}

/// Random bytes are seldom messages of HTTP, so this test joins parts of them in random order, mixed with random bytes.
#[test]
fn fuzz_http_observers() {
    const PARTS: [&[u8]; 11] = [
        b"POST /x HTTP/1.1\r\n",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"Content-Length: 3\r\n",
        b"Content-Length: 18446744073709551615\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"\r\n",
        b"3\r\nabc\r\n",
        b"ffffffffffffffff\r\n",
        b"0\r\n\r\n",
        b"abc",
    ];
    check!()
        .with_type::<Vec<(u8, Vec<u8>)>>()
        .with_iterations(INPUTS_PER_TARGET)
        .for_each(|choices| {
            let piece = |(n, random): &(u8, Vec<u8>)| match PARTS.get(*n as usize % 13) {
                Some(part) => part.to_vec(),
                None => random.clone(),
            };
            let pieces = choices.iter().map(piece).collect::<Vec<_>>();
            http_requests(&pieces);
            http_responses(&pieces);
        });
}

/// Random bytes are seldom requests, so this test joins parts of requests in random order, mixed with random bytes.
#[test]
fn fuzz_platform_client() {
    const PARTS: [&[u8]; 12] = [
        b"POST /api/v2/00000000000000aa/call HTTP/1.1\r\n",
        b"GET /-/healthy HTTP/1.1\r\n\r\n",
        b"X-Class: a\r\nReq-Owner: b\r\nReq-Wait-Ms: 900\r\nReq-Id: 00000000000000ab\r\n",
        b"Content-Length: 3\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"X-Extras: lanes:2;memory_mb:1\r\n",
        b"Req-Cost: 1e999\r\n",
        b"\r\n",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"abc",
        b"Content-Length: -3\r\n",
    ];
    check!()
        .with_type::<Vec<(u8, Vec<u8>)>>()
        .with_iterations(INPUTS_PER_TARGET)
        .for_each(|choices| {
            let piece = |(n, random): &(u8, Vec<u8>)| match PARTS.get(*n as usize % 14) {
                Some(part) => part.to_vec(),
                None => random.clone(),
            };
            platform_client(&choices.iter().map(piece).collect::<Vec<_>>());
        });
}

#[test]
fn fuzz_platform_worker() {
    check!()
        .with_type::<(Vec<u8>, u16, Vec<u8>)>()
        .with_iterations(INPUTS_PER_TARGET)
        .for_each(|(id, length, rest)| {
            platform_worker(rest);
            let header = format!(" ok same=1 {}\r\n", length % 64);
            platform_worker(&[id, header.as_bytes(), rest].concat());
        });
}

#[test]
fn fuzz_platform_channel() {
    check!().with_type::<(Vec<u8>, u8, u8)>().with_iterations(INPUTS_PER_TARGET).for_each(|(rest, cursor, cut)| {
        platform_channel(rest);
        let server = r#"{"id":"s","state":"leaving","addr":"127.0.0.1:1"}"#;
        let body =
            format!(r#"{{"cursor":{cursor},"cmds":[{{"cursor":{cut},"nodes":{{"servers":[{server}]}}}}]}}"#);
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        platform_channel(&[&text.as_bytes()[..text.len().min(*cut as usize)], rest].concat());
        platform_channel(&[text.as_bytes(), text.as_bytes(), rest].concat());
    });
}
