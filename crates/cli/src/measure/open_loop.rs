//! An open-loop client over REST or gRPC. It sends at a given rate regardless of the results of earlier calls, and
//! measures each latency from the time at which the call was due, so that a stalled router does not reduce the load with
//! which it is measured.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::{Async, Timer};
use cedarpulley_emulators::lock;
use cedarpulley_gateway::client_listener::Protocol;
use cedarpulley_kserve::grpc::frame;
use cedarpulley_kserve::grpc::inference::model_infer_request::InferInputTensor;
use cedarpulley_kserve::grpc::inference::{InferTensorContents, ModelInferRequest};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::{http1, http2};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::latency::histogram;
use super::{BODY, TRIGGER, function};

/// Number of connections over gRPC, as many as a client library would open; streams above their limit wait.
const GRPC_CONNECTIONS: usize = 4;

/// Lets hyper spawn its tasks on the emulators' executor.
#[derive(Clone)]
struct HyperExecutor(Arc<Executor<'static>>);

impl<F: Future<Output: Send> + Send + 'static> hyper::rt::Executor<F> for HyperExecutor {
    fn execute(&self, future: F) {
        self.0.spawn(future).detach();
    }
}

/// A connection to a listener.
enum Sender {
    Rest(http1::SendRequest<Full<Bytes>>),
    Grpc(http2::SendRequest<Full<Bytes>>),
}

/// Latencies of successful calls in microseconds, and the number of failed calls.
#[derive(Clone)]
struct Results {
    latencies: Histogram<u64>,
    failed: u64,
}

/// A client that sends calls to one listener of a router.
pub struct OpenLoopClient {
    protocol: Protocol,
    address: SocketAddr,
    /// Calls a second.
    rate: f64,
    lanes: u32,
    executor: Arc<Executor<'static>>,
    /// Idle connections over REST, or all connections over gRPC.
    connections: Mutex<Vec<Sender>>,
    results: Mutex<Results>,
}

impl OpenLoopClient {
    /// Creates a client, which connects when its first calls are due.
    pub fn new(
        protocol: Protocol,
        address: SocketAddr,
        rate: f64,
        lanes: u32,
        executor: &Arc<Executor<'static>>,
    ) -> Self {
        OpenLoopClient {
            protocol,
            address,
            rate,
            lanes,
            executor: executor.clone(),
            connections: Mutex::default(),
            results: Mutex::new(Results {
                latencies: histogram(),
                failed: 0,
            }),
        }
    }

    /// Sends calls for this duration. Returns the latencies in microseconds of the successful calls and the number of
    /// failed calls; only calls that are due at `counted_from` or later are counted.
    pub async fn run(
        self: Arc<Self>,
        duration: Duration,
        counted_from: Instant,
    ) -> (Histogram<u64>, u64) {
        let (began, mut number) = (Instant::now(), 0u64);
        loop {
            let due = began + Duration::from_secs_f64(number as f64 / self.rate);
            if due > began + duration {
                break;
            }
            Timer::at(due).await;
            let client = self.clone();
            let call = async move {
                let succeeded = client.call(number).await.is_some();
                if due >= counted_from {
                    let mut results = lock(&client.results);
                    match succeeded {
                        true => results
                            .latencies
                            .saturating_record(due.elapsed().as_micros() as u64),
                        false => results.failed += 1,
                    }
                }
            };
            self.executor.spawn(call).detach();
            number += 1;
        }
        Timer::after(Duration::from_secs(1)).await;
        let results = lock(&self.results);
        (results.latencies.clone(), results.failed)
    }

    async fn connect(&self) -> Option<Sender> {
        let stream = Async::<TcpStream>::connect(self.address).await.ok()?;
        stream.get_ref().set_nodelay(true).ok()?;
        let io = FuturesIo::new(stream);
        match self.protocol {
            Protocol::Rest => {
                let (sender, connection) = http1::handshake(io).await.ok()?;
                self.executor
                    .spawn(async move { drop(connection.await) })
                    .detach();
                Some(Sender::Rest(sender))
            }
            Protocol::Grpc => {
                let mut builder = http2::Builder::new(HyperExecutor(self.executor.clone()));
                let (sender, connection) =
                    builder.timer(SmolTimer::new()).handshake(io).await.ok()?;
                self.executor
                    .spawn(async move { drop(connection.await) })
                    .detach();
                Some(Sender::Grpc(sender))
            }
        }
    }

    /// Takes an idle connection (REST) or shares an open one (gRPC); none if a new connection is needed.
    fn open_connection(&self, number: u64) -> Option<Sender> {
        let mut connections = lock(&self.connections);
        match self.protocol {
            Protocol::Rest => connections.pop(),
            Protocol::Grpc => match connections.get(number as usize % GRPC_CONNECTIONS) {
                Some(Sender::Grpc(sender)) => Some(Sender::Grpc(sender.clone())),
                _ => None,
            },
        }
    }

    /// Sends one call; none if it failed.
    async fn call(&self, number: u64) -> Option<()> {
        let sender = match self.open_connection(number) {
            Some(sender) => sender,
            None => {
                let sender = self.connect().await?;
                if let Sender::Grpc(sender) = &sender {
                    lock(&self.connections).push(Sender::Grpc(sender.clone()));
                }
                sender
            }
        };
        match sender {
            Sender::Rest(sender) => self.call_rest(sender, number).await,
            Sender::Grpc(sender) => self.call_grpc(sender, number).await,
        }
    }

    fn request(
        &self,
        number: u64,
        path: String,
        content_type: &str,
        body: Bytes,
    ) -> Option<Request<Full<Bytes>>> {
        Request::post(path)
            .header("host", self.address.to_string())
            .header("content-type", content_type)
            .header("cedarpulley-trigger-type", TRIGGER)
            .header("cedarpulley-copy-mb", 1)
            .header("cedarpulley-lanes", self.lanes)
            .header("x-request-id", number)
            .body(Full::new(body))
            .ok()
    }

    async fn call_rest(
        &self,
        mut sender: http1::SendRequest<Full<Bytes>>,
        number: u64,
    ) -> Option<()> {
        let path = format!("/v2/models/{}/infer", function(number).replace(':', "%3A"));
        let request = self.request(number, path, "application/json", BODY.into())?;
        let response = sender.send_request(request).await.ok()?;
        let succeeded = response.status() == 200;
        response.into_body().collect().await.ok()?;
        sender.ready().await.ok()?;
        lock(&self.connections).push(Sender::Rest(sender));
        succeeded.then_some(())
    }

    async fn call_grpc(
        &self,
        mut sender: http2::SendRequest<Full<Bytes>>,
        number: u64,
    ) -> Option<()> {
        let input = InferInputTensor {
            name: "x".into(),
            datatype: "FP32".into(),
            shape: vec![4],
            contents: Some(InferTensorContents {
                fp32_contents: vec![0.1, 0.2, 0.3, 0.4],
                ..Default::default()
            }),
            ..Default::default()
        };
        let message = ModelInferRequest {
            model_name: function(number),
            inputs: vec![input],
            ..Default::default()
        };
        let path = format!(
            "http://{}/inference.GRPCInferenceService/ModelInfer",
            self.address
        );
        let request = self.request(number, path, "application/grpc", frame(&message))?;
        let response = sender.send_request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?;
        let succeeded = body
            .trailers()
            .and_then(|trailers| trailers.get("grpc-status"))
            .is_some_and(|status| status == "0");
        succeeded.then_some(())
    }
}
