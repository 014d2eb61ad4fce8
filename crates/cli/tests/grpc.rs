//! Tests the KServe v2 front over gRPC of a running router with an emulated worker.

use std::convert::Infallible;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use cedarpulley_kserve::grpc::inference::model_infer_request::InferInputTensor;
use cedarpulley_kserve::grpc::inference::*;
use cedarpulley_kserve::grpc::{frame, unframe};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Bytes, Frame};
use hyper::client::conn::http2::{self, SendRequest};
use hyper::{HeaderMap, Request};
use prost::Message;
use smol_hyper::rt::{FuturesIo, SmolTimer};

mod running;
use running::{Running, eventually, start, start_with};

/// Settings of the gRPC front.
const GRPC: &str = "protocol = \"grpc\"\nmost_streams = 200\n";

/// Spawns the tasks of hyper on the executor of the test.
#[derive(Clone)]
struct Local(Rc<LocalExecutor<'static>>);

impl<F: Future<Output = ()> + 'static> hyper::rt::Executor<F> for Local {
    fn execute(&self, future: F) {
        self.0.spawn(future).detach();
    }
}

type Sender = SendRequest<Full<Bytes>>;

fn run<T>(test: impl AsyncFnOnce(Local) -> T) -> T {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(test(Local(executor.clone()))))
}

async fn connect(local: &Local, r: &Running) -> Sender {
    let stream = Async::<TcpStream>::connect(r.address)
        .await
        .expect("the router listens");
    let mut builder = http2::Builder::new(local.clone());
    let io = FuturesIo::new(stream);
    let (sender, connection) = builder
        .timer(SmolTimer::new())
        .handshake(io)
        .await
        .expect("HTTP/2");
    local
        .0
        .spawn(async move { drop(connection.await) })
        .detach();
    sender
}

fn request(
    r: &Running,
    method: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Request<Full<Bytes>> {
    let uri = format!(
        "http://{}/inference.GRPCInferenceService/{method}",
        r.address
    );
    let mut request = Request::post(uri)
        .header("content-type", "application/grpc")
        .header("te", "trailers");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Full::new(body)).expect("a request")
}

/// Sends a request; returns the message, and the headers and trailers in one map.
async fn call(sender: &mut Sender, request: Request<Full<Bytes>>) -> Option<(Bytes, HeaderMap)> {
    let answer = sender.send_request(request).await.ok()?;
    let mut headers = answer.headers().clone();
    let body = answer.into_body().collect().await.ok()?;
    if let Some(trailers) = body.trailers() {
        headers.extend(trailers.clone());
    }
    Some((body.to_bytes(), headers))
}

/// Waits until the condition holds, while the tasks of the connections keep running.
async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let start_time = Instant::now();
    while !holds().await {
        assert!(start_time.elapsed() < Duration::from_secs(20), "{what}");
        Timer::after(Duration::from_millis(20)).await;
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or("")
}

/// Headers of requests that must not end by the client timeout, however slow the machine is.
const LONG_TIMEOUT: [(&str, &str); 2] = [
    ("cedarpulley-trigger-type", "patient"),
    ("cedarpulley-lanes", "50"),
];
/// Headers of non-idempotent requests with the usual client timeout.
const NON_IDEMPOTENT: [(&str, &str); 2] = [
    ("cedarpulley-trigger-type", "once"),
    ("cedarpulley-lanes", "50"),
];

fn ask(raw: Option<&'static [u8]>) -> Bytes {
    let input = InferInputTensor {
        name: "x".into(),
        datatype: "FP32".into(),
        shape: vec![1],
        contents: raw.is_none().then(|| InferTensorContents {
            fp32_contents: vec![0.5],
            ..Default::default()
        }),
        ..Default::default()
    };
    frame(&ModelInferRequest {
        model_name: "once:f".into(),
        id: "7".into(),
        inputs: vec![input],
        raw_input_contents: raw.into_iter().map(Bytes::from_static).collect(),
        ..Default::default()
    })
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn methods_answer_and_invalid_calls_are_rejected_with_the_cause() {
    let r = start_with("grpc-plain", Duration::from_millis(5), 64, 1, GRPC);
    run(async |local| {
        let mut s = connect(&local, &r).await;
        let (body, _) = call(
            &mut s,
            request(&r, "ServerReady", &[], frame(&ServerReadyRequest {})),
        )
        .await
        .unwrap();
        assert!(
            ServerReadyResponse::decode(unframe(body).unwrap())
                .unwrap()
                .ready
        );
        // Typed and raw tensors.
        let (body, h) = call(
            &mut s,
            request(&r, "ModelInfer", &NON_IDEMPOTENT, ask(None)),
        )
        .await
        .unwrap();
        assert_eq!(
            (header(&h, "grpc-status"), header(&h, "cedarpulley-fate")),
            ("0", "succeeded"),
            "{h:?}"
        );
        assert_eq!(
            ModelInferResponse::decode(unframe(body).unwrap())
                .unwrap()
                .model_name,
            "once:f"
        );
        let (body, h) = call(
            &mut s,
            request(
                &r,
                "ModelInfer",
                &NON_IDEMPOTENT,
                ask(Some(&[1, 2, 3, 255])),
            ),
        )
        .await
        .unwrap();
        assert_eq!(header(&h, "grpc-status"), "0", "{h:?}");
        let answer = ModelInferResponse::decode(unframe(body).unwrap()).unwrap();
        assert_eq!(
            answer.raw_output_contents,
            [Bytes::from_static(&[1, 2, 3, 255])]
        );
        assert_eq!(answer.outputs[0].name, "x");
        let index = request(
            &r,
            "RepositoryIndex",
            &[],
            frame(&RepositoryIndexRequest::default()),
        );
        let (body, _) = call(&mut s, index).await.unwrap();
        let index = RepositoryIndexResponse::decode(unframe(body).unwrap()).unwrap();
        assert_eq!(index.models[0].name, "once:f");
        let metadata = frame(&ModelMetadataRequest {
            name: "m".into(),
            version: "3".into(),
        });
        let (body, _) = call(&mut s, request(&r, "ModelMetadata", &[], metadata))
            .await
            .unwrap();
        assert_eq!(
            ModelMetadataResponse::decode(unframe(body).unwrap())
                .unwrap()
                .versions,
            ["3"]
        );
        // Invalid requests are rejected with the cause, and none of them reaches a worker.
        let before = r.received();
        let long = Bytes::from([&[0, 0, 0, 0, 1], [7u8; 9].as_slice()].concat());
        let packed = Bytes::from_static(&[1, 0, 0, 0, 1, 7]);
        for (headers, body, cause) in [
            (&[][..], ask(None), "no trigger type"),
            (
                &[("cedarpulley-trigger-type", "no")],
                ask(None),
                "'no' is unknown",
            ),
            (
                &[NON_IDEMPOTENT[0], ("grpc-timeout", "5x")],
                ask(None),
                "grpc-timeout",
            ),
            (&NON_IDEMPOTENT, long, "too large"),
            (&NON_IDEMPOTENT, packed, "compressed"),
            (
                &NON_IDEMPOTENT,
                Bytes::from_static(&[0, 0, 0, 0, 1, 255]),
                "cannot be read",
            ),
            (
                &NON_IDEMPOTENT,
                frame(&ModelInferRequest::default()),
                "model_name",
            ),
            (
                &NON_IDEMPOTENT,
                Bytes::from_static(&[0, 255, 255, 255, 255, 0]),
                "larger",
            ),
        ] {
            let (_, h) = call(&mut s, request(&r, "ModelInfer", headers, body))
                .await
                .unwrap();
            assert_eq!(header(&h, "grpc-status"), "3", "{h:?}");
            assert!(header(&h, "grpc-message").contains(cause), "{h:?}");
        }
        let (_, h) = call(
            &mut s,
            request(&r, "ModelStream", &NON_IDEMPOTENT, ask(None)),
        )
        .await
        .unwrap();
        assert_eq!(header(&h, "grpc-status"), "12");
        assert_eq!(r.received(), before);
    });
}

/// An expired request was certainly not executed and ends as throttled; an invocation that was dispatched when its client
/// timeout ended may have run and ends as errored, without a hint to retry.
#[test]
fn expired_and_possibly_executed_requests_are_distinguished() {
    let r = start_with("grpc-fates", Duration::from_millis(1500), 64, 1, GRPC);
    run(async |local| {
        let mut s = connect(&local, &r).await;
        let late = [
            NON_IDEMPOTENT[0],
            NON_IDEMPOTENT[1],
            ("cedarpulley-sent-at-us", "1000"),
        ];
        let (_, h) = call(&mut s, request(&r, "ModelInfer", &late, ask(None)))
            .await
            .unwrap();
        assert_eq!(
            (header(&h, "grpc-status"), header(&h, "cedarpulley-reason")),
            ("8", "expired"),
            "{h:?}"
        );
        let short = [
            NON_IDEMPOTENT[0],
            NON_IDEMPOTENT[1],
            ("grpc-timeout", "600m"),
        ];
        let (_, h) = call(&mut s, request(&r, "ModelInfer", &short, ask(None)))
            .await
            .unwrap();
        assert_eq!(header(&h, "cedarpulley-fate"), "errored", "{h:?}");
        assert!(["2", "4"].contains(&header(&h, "grpc-status")), "{h:?}");
        assert!(h.get("grpc-retry-pushback-ms").is_none());
    });
}

/// A client resets its streams as fast as it can: the number of its dispatches is bounded, and other clients are served.
#[test]
fn stream_resets_cause_few_dispatches_and_others_are_served() {
    let r = start_with("grpc-resets", Duration::from_millis(400), 64, 1, GRPC);
    run(async |local| {
        let mut s = connect(&local, &r).await;
        let mut reset = 0;
        for _ in 0..600 {
            if s.ready().await.is_err() {
                s = connect(&local, &r).await;
            }
            // After the first poll the request is sent; dropping the future resets the stream.
            let sent = s.send_request(request(&r, "ModelInfer", &NON_IDEMPOTENT, ask(None)));
            let now = async {
                Timer::after(Duration::from_millis(3)).await;
                None
            };
            let done = futures_lite::FutureExt::or(async { Some(sent.await) }, now).await;
            reset += usize::from(done.is_none());
        }
        let mut other = connect(&local, &r).await;
        let (_, h) = call(
            &mut other,
            request(&r, "ModelInfer", &NON_IDEMPOTENT, ask(None)),
        )
        .await
        .unwrap();
        assert_eq!(header(&h, "grpc-status"), "0", "{h:?}");
        let received = r.received();
        println!("{reset} resets, {received} dispatches");
        assert!(
            reset > 200 && received < 100,
            "{reset} resets, {received} dispatches"
        );
    });
}

/// During shutdown the connection accepts no further streams, and all accepted streams are answered.
#[test]
fn shutdown_rejects_new_streams_and_answers_accepted_ones() {
    let mut r = start_with("grpc-stop", Duration::from_secs(3), 64, 1, GRPC);
    run(async |local| {
        let s = connect(&local, &r).await;
        let calls: Vec<_> = (0..20)
            .map(|_| {
                let (mut s, request) = (
                    s.clone(),
                    request(&r, "ModelInfer", &LONG_TIMEOUT, ask(None)),
                );
                local.0.spawn(async move { call(&mut s, request).await })
            })
            .collect();
        until("all requests are accepted", async || r.received() == 20).await;
        r.request_stop();
        // After GOAWAY no new stream starts on the connection.
        let late = async || {
            let mut late = s.clone();
            let refused = async {
                call(
                    &mut late,
                    request(&r, "ModelInfer", &LONG_TIMEOUT, ask(None)),
                )
                .await
                .is_none()
            };
            let taken = async {
                Timer::after(Duration::from_millis(100)).await;
                false
            };
            futures_lite::FutureExt::or(refused, taken).await
        };
        until("the connection accepts no new streams", late).await;
        // The rejection must come before all requests are answered and the connection has ended.
        assert!(
            calls.iter().any(|c| !c.is_finished()),
            "the router rejected requests only after its work was done"
        );
        for answer in calls {
            let (_, h) = answer.await.expect("answered");
            assert_eq!(header(&h, "grpc-status"), "0", "{h:?}");
        }
    });
    assert!(r.exits_successfully());
}

/// Bodies that arrive byte by byte each occupy a stream, and do not delay other clients.
#[test]
fn slow_bodies_delay_no_other_client() {
    let r = start_with("grpc-slow", Duration::from_millis(5), 64, 1, GRPC);
    run(async |local| {
        let stream = Async::<TcpStream>::connect(r.address)
            .await
            .expect("the router listens");
        let io = FuturesIo::new(stream);
        let (s, connection) = http2::handshake(local.clone(), io).await.expect("HTTP/2");
        local
            .0
            .spawn(async move { drop(connection.await) })
            .detach();
        let slow: Vec<_> = (0..50)
            .map(|_| {
                let bytes = futures_lite::stream::unfold(0u8, |n| async move {
                    Timer::after(Duration::from_millis(50)).await;
                    Some((
                        Ok::<_, Infallible>(Frame::data(Bytes::copy_from_slice(&[0]))),
                        n,
                    ))
                });
                let request = request(&r, "ModelInfer", &NON_IDEMPOTENT, Bytes::new());
                let request = request.map(|_| StreamBody::new(Box::pin(bytes)));
                let mut s = s.clone();
                local
                    .0
                    .spawn(async move { s.send_request(request).await.is_ok() })
            })
            .collect();
        Timer::after(Duration::from_millis(300)).await;
        let mut other = connect(&local, &r).await;
        let (_, h) = call(
            &mut other,
            request(&r, "ModelInfer", &NON_IDEMPOTENT, ask(None)),
        )
        .await
        .unwrap();
        assert_eq!(header(&h, "grpc-status"), "0", "{h:?}");
        drop(slow);
    });
}

/// Input that is not HTTP/2 closes only its own connection.
#[test]
fn invalid_input_closes_only_its_connection() {
    let r = start_with("grpc-garbage", Duration::from_millis(5), 64, 1, GRPC);
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    let floods: [&[u8]; 4] = [
        b"GET / HTTP/1.1\r\n\r\n",
        &[0xff; 4096],
        // A frame above the maximum length; endless headers.
        &[0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 1],
        &[0, 0, 0, 1, 0, 0, 0, 0, 1, 0, 0, 0, 9, 0, 0, 0, 0, 2],
    ];
    for flood in floods {
        for before in [&b""[..], preface] {
            let mut stream = TcpStream::connect(r.address).expect("the router listens");
            stream
                .set_read_timeout(Some(Duration::from_secs(5)))
                .expect("set");
            let _ = stream
                .write_all(before)
                .and_then(|()| stream.write_all(flood));
            let _ = stream.shutdown(std::net::Shutdown::Write);
            let mut answer = Vec::new();
            let _ = stream.read_to_end(&mut answer);
        }
    }
    run(async |local| {
        let mut s = connect(&local, &r).await;
        let (_, h) = call(
            &mut s,
            request(&r, "ModelInfer", &NON_IDEMPOTENT, ask(None)),
        )
        .await
        .unwrap();
        assert_eq!(header(&h, "grpc-status"), "0", "{h:?}");
    });
    // The front over REST also survives this input.
    let plain = start("grpc-garbage-rest", Duration::from_millis(5));
    for flood in floods {
        let mut stream = TcpStream::connect(plain.address).expect("the router listens");
        let _ = stream.write_all(flood);
    }
    assert!(eventually(|| plain
        .ask("GET", "/v2/health/live", "", b"")
        .0
        == 200));
}

/// Guards against executing a call of which a declared length cuts off a part: the length of the message, or the
/// content-length. A message that protobuf could read without its last field would be served otherwise.
#[test]
fn a_call_longer_than_its_length_is_not_served() {
    let r = start_with("grpc-cut-off", Duration::from_millis(5), 64, 1, GRPC);
    run(async |local| {
        let mut longer = ask(None).to_vec();
        longer.push(0);
        let mut cut_off = ask(None).to_vec();
        let length = u32::from_be_bytes([cut_off[1], cut_off[2], cut_off[3], cut_off[4]]);
        cut_off[1..5].copy_from_slice(&(length - 1).to_be_bytes());
        let short_length = (ask(None).len() - 1).to_string();
        for (body, content_length) in [
            (Bytes::from(longer), None),
            (Bytes::from(cut_off), None),
            (ask(None), Some(&*short_length)),
        ] {
            let mut headers = LONG_TIMEOUT.to_vec();
            headers.extend(content_length.map(|length| ("content-length", length)));
            let mut sender = connect(&local, &r).await;
            let answer = call(&mut sender, request(&r, "ModelInfer", &headers, body)).await;
            // A call that breaks the framing of HTTP/2 has its stream reset.
            let is_served =
                answer.is_some_and(|(_, headers)| header(&headers, "grpc-status") == "0");
            assert!(!is_served);
        }
        assert_eq!(r.received(), 0);
        let mut sender = connect(&local, &r).await;
        let good = request(&r, "ModelInfer", &LONG_TIMEOUT, ask(None));
        let (_, headers) = call(&mut sender, good).await.expect("an answer");
        assert_eq!(header(&headers, "grpc-status"), "0");
    });
}
