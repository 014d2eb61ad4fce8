//! The baseline of the measurement: the same call, sent directly to a worker.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use smol_hyper::rt::FuturesIo;

use super::BODY;
use super::latency::histogram;

/// Number of calls in one run.
const CALLS: usize = 3000;

/// Measures calls to a worker without a router, one after the other, spread over the time of the run; returns their
/// latencies in microseconds. Calls that fail or that are still running at the end of the run are left out, which shows
/// only in the lower count.
pub async fn latencies(worker: SocketAddr, seconds: f64) -> Histogram<u64> {
    let mut latencies = histogram();
    let calls = call_repeatedly(worker, seconds, &mut latencies);
    let end_of_run = async {
        Timer::after(Duration::from_secs_f64(seconds)).await;
        None
    };
    let _ = calls.or(end_of_run).await;
    latencies
}

/// Records the latency of each call, and ends early if a call fails or the connection is closed.
async fn call_repeatedly(
    worker: SocketAddr,
    seconds: f64,
    latencies: &mut Histogram<u64>,
) -> Option<()> {
    let stream = Async::<TcpStream>::connect(worker).await.ok()?;
    stream.get_ref().set_nodelay(true).ok()?;
    let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await.ok()?;
    let calls = async {
        let pause = Duration::from_secs_f64(seconds / CALLS as f64 * 0.8);
        for number in 0..CALLS {
            let request = Request::post("/v2/models/warm:0/infer")
                .header("host", worker.to_string())
                .header("cedarpulley-trigger-type", "warm")
                .header("cedarpulley-invocation", format!("d|d{number}"))
                .body(Full::new(Bytes::from_static(BODY.as_bytes())))
                .ok()?;
            let began = Instant::now();
            let response = sender.send_request(request).await.ok()?;
            response.into_body().collect().await.ok()?;
            latencies.saturating_record(began.elapsed().as_micros() as u64);
            Timer::after(pause).await;
        }
        Some(())
    };
    let drive_connection = async {
        let _ = connection.await;
        None
    };
    calls.or(drive_connection).await
}
