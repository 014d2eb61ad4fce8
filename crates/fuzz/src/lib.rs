//! One function for each reader of foreign bytes: it must take anything and keep to its bounds. The targets that
//! call them are in `tests/targets.rs`; docs/operate/fuzzing.md says how to hunt for longer.

use bytes::Bytes;
use cedarpulley_amqp::connection::Login;
use cedarpulley_amqp::frames::Reader as Frames;
use cedarpulley_amqp::{Connection, Role};
use cedarpulley_kserve::rpc::inference::{ModelInferRequest, ModelInferResponse};
use cedarpulley_kserve::tensors::{Rest, request, response};
use cedarpulley_kserve::{index, rpc, serving};
use cedarpulley_platform::client_protocol::{MOST_BODY, RequestQueue, RequestRules, TriggerRules};
use cedarpulley_platform::config::{self, Names};
use cedarpulley_platform::discovery::{Answers, WorkerListFollower};
use cedarpulley_platform::worker_protocol::AnswerReader;
use cedarpulley_trace::blocks::{Raw, unpack};
use cedarpulley_trace::reader::{Found, Reader};
use cedarpulley_trace::start::{Source, Start};
use cedarpulley_trace::writer::Sheet;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use prost::Message;
use std::io::Cursor;

/// Of a worker's answer: JSON, and raw tensors from `split` on.
pub fn rest_body(bytes: &[u8], split: Option<u16>) {
    let bytes = Bytes::copy_from_slice(bytes);
    let size = bytes.len();
    if let Ok(message) = response(&Rest {
        bytes,
        json: split.map(u32::from),
    }) {
        let raw: usize = message.raw_output_contents.iter().map(Bytes::len).sum();
        // Texts get four bytes of length each, whole numbers up to eight for one digit and its comma.
        assert!(raw <= 8 * size, "{raw} raw bytes from {size}");
    }
}

/// Of a worker that is asked what it holds: whatever it says, no more is kept than came.
pub fn worker_index(bytes: &[u8]) {
    if let Ok(index) = index::of(200, &HeaderMap::new(), bytes) {
        let kept = index.models.iter().map(|m| {
            m.function.len() + m.sequences.iter().flatten().map(String::len).sum::<usize>()
        });
        assert!(kept.sum::<usize>() <= 2 * bytes.len(), "more than it said");
    }
}

/// Any body of a call; what can be read of it has a form for workers that reads back as JSON.
pub fn grpc_body(bytes: &[u8]) {
    let Ok(message) = rpc::unframe(Bytes::copy_from_slice(bytes)) else {
        return;
    };
    let told = bytes[1..rpc::FRAME]
        .iter()
        .fold(0, |n, b| n << 8 | usize::from(*b));
    assert_eq!(
        (message.len(), message.len() + rpc::FRAME),
        (told, bytes.len())
    );
    grpc_message(&message);
}

pub fn grpc_message(bytes: &[u8]) {
    let Ok(message) = ModelInferRequest::decode(bytes) else {
        return;
    };
    if let Ok(rest) = request(&message) {
        let json = rest.json.map_or(rest.bytes.len(), |n| n as usize);
        assert_eq!(rest.bytes[..json].first(), Some(&b'{'));
        let raw: usize = message.raw_input_contents.iter().map(Bytes::len).sum();
        assert_eq!(rest.bytes.len() - json, raw);
    }
    let _ = ModelInferResponse::decode(bytes);
}

/// Paths and headers as HTTP lets them through.
pub fn head(path: &str, headers: &[(u8, Vec<u8>)]) {
    let _ = serving::asked(&Method::POST, path);
    const NAMES: [&str; 8] = [
        "cedarpulley-trigger-type",
        "cedarpulley-account",
        "cedarpulley-client-timeout-ms",
        "cedarpulley-sent-at-us",
        "cedarpulley-lanes",
        "inference-header-content-length",
        "idempotency-key",
        "grpc-timeout",
    ];
    let mut map = HeaderMap::new();
    for (n, value) in headers {
        if let Ok(value) = HeaderValue::from_bytes(value) {
            map.insert(
                HeaderName::from_static(NAMES[*n as usize % NAMES.len()]),
                value,
            );
        }
    }
    if let Ok(w) = serving::wanted(&map, 1_000_000) {
        assert!(w.lanes >= 1 && w.waited >= 0 && w.client_timeout.is_none_or(|t| t >= 0));
    }
    if let Ok(Some(t)) = rpc::timeout(&map) {
        assert!(t >= 0);
    }
}

/// Most pieces become whole frames by their first two bytes, so that more is reached than the first check.
fn framed(piece: &[u8]) -> Vec<u8> {
    match piece {
        [kind, channel, payload @ ..] if kind % 8 != 0 => {
            let mut frame = vec![[1, 1, 1, 2, 3, 8, 9, 1][*kind as usize % 8], 0, channel % 3];
            frame.extend((payload.len() as u32).to_be_bytes());
            frame.extend(payload);
            frame.push(0xce);
            frame
        }
        raw => raw.to_vec(),
    }
}

/// A broker's bytes, in the pieces in which they come. What is kept of them stays within the frame's bound.
pub fn amqp_frames(pieces: &[Vec<u8>]) {
    let mut reader = Frames::new(8192);
    for piece in pieces {
        reader.feed(&framed(piece));
        loop {
            match reader.next_frame() {
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(_) => return,
            }
        }
    }
}

/// The same, before a connection that answers triggers.
pub fn amqp_connection(pieces: &[Vec<u8>]) {
    let login = Login {
        virtual_host: "/".into(),
        user: "u".into(),
        password: "p".into(),
        heartbeat_s: 4,
        name: "fuzz".into(),
        most_body: 1_000,
    };
    let mut connection = Connection::new(
        0,
        Role::Answers {
            queue: "q".into(),
            prefetch: 5,
        },
        login,
    );
    for (n, piece) in pieces.iter().enumerate() {
        let mut events = Vec::new();
        if connection
            .receive(n as i64, &framed(piece), &mut events)
            .is_err()
        {
            return;
        }
        let _ = connection.output(n as i64);
    }
}

/// A file of drawn bytes, and one whose blocks are whole but hold drawn records.
pub fn trace_file(bytes: &[u8], head: Option<&Source>) {
    let file = match head {
        None => bytes.to_vec(),
        Some(start) => {
            let Ok(mut sheet) = Sheet::begin(Vec::new(), std::slice::from_ref(start)) else {
                return;
            };
            let raw = Raw {
                bytes: bytes.to_vec(),
                records: 1 + bytes.len() as u32 / 8,
                first: 0,
                last: 9,
            };
            let _ = sheet.block(0, &raw);
            sheet.end().unwrap_or_default()
        }
    };
    let size = file.len();
    let Ok(mut reader) = Reader::open(Cursor::new(file)) else {
        return;
    };
    let mut found = 0;
    while let Ok(Some(block)) = reader.next() {
        found += 1;
        assert!(found <= size, "more blocks than bytes");
        if let Found::Block { records, place } = block {
            assert_eq!(records.len(), place.records as usize);
        }
    }
    let _ = Start::get(bytes);
    let _ = unpack(bytes, 0, 1);
}

/// Of a client of the platform, in pieces: nothing comes after a request that cannot be read, and what is kept is bounded
/// however much is sent ahead.
pub fn platform_client(pieces: &[Vec<u8>]) {
    let names = Names {
        triggers: vec!["a".into()],
        accounts: vec!["b".into()],
        ..Names::default()
    };
    let triggers = vec![TriggerRules {
        longest_wait: 1_000_000,
        needs_token: false,
    }];
    let rules = RequestRules {
        names,
        triggers,
        largest_mb: 1e3,
    };
    let mut queue = RequestQueue::default();
    for piece in pieces.iter().take_while(|p| p.len() < 1 << 16) {
        queue.put(0, piece, &rules);
        // Those kept, one that is being received, and its chunks or its head.
        assert!(queue.bytes() <= 4 * MOST_BODY + piece.len());
    }
    let mut ended = false;
    while let Some(next) = queue.take() {
        assert!(!ended);
        ended = next
            .request
            .is_err_and(|error| !error.leaves_stream_readable());
    }
}

/// Of a worker of the platform: what is read is no longer than what came.
pub fn platform_worker(bytes: &[u8]) {
    let mut reader = AnswerReader::default();
    reader.put(bytes);
    let mut size = 0;
    while let Ok(Some(answer)) = reader.next(&[]) {
        size += answer.id.len() + answer.body.len();
    }
    assert!(size <= bytes.len());
}

/// Of the command channel, and the configuration: what was understood is not told again.
pub fn platform_channel(bytes: &[u8]) {
    let mut answers = Answers::default();
    answers.put(bytes);
    let (mut follower, names) = (WorkerListFollower::default(), Names::default());
    while let Ok(Some(batch)) = answers.whole() {
        if follower.batch(&batch, &names, 0, 0).is_ok() {
            assert!(
                follower
                    .batch(&batch, &names, 0, 0)
                    .is_ok_and(|again| again.is_empty())
            );
        }
    }
    let _ = config::Start::read(&String::from_utf8_lossy(bytes));
}
