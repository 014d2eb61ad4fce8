//! Callers that send at a given rate, whatever becomes of the earlier calls, over REST or gRPC; each call is timed
//! from when it was due. For measuring.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::{Async, Timer};
use cedarpulley_emulators::lock;
use cedarpulley_gateway::client_listener::Protocol as Way;
use cedarpulley_kserve::rpc::frame;
use cedarpulley_kserve::rpc::inference::model_infer_request::InferInputTensor;
use cedarpulley_kserve::rpc::inference::{InferTensorContents, ModelInferRequest};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::{http1, http2};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::measure::histogram;

/// As a client library would keep them; more streams than these bear wait.
const GRPC_CONNECTIONS: usize = 4;

#[derive(Clone)]
struct Tasks(Arc<Executor<'static>>);

impl<F: Future<Output: Send> + Send + 'static> hyper::rt::Executor<F> for Tasks {
    fn execute(&self, future: F) {
        self.0.spawn(future).detach();
    }
}

enum Sender {
    Rest(http1::SendRequest<Full<Bytes>>),
    Grpc(http2::SendRequest<Full<Bytes>>),
}

pub struct Callers {
    pub way: Way,
    pub at: SocketAddr,
    pub rate: f64,
    pub lanes: u32,
    pub body: &'static str,
    executor: Arc<Executor<'static>>,
    idle: Mutex<Vec<Sender>>,
    times: Mutex<(Histogram<u64>, u64)>,
}

impl Callers {
    pub fn new(
        way: Way,
        at: SocketAddr,
        rate: f64,
        lanes: u32,
        body: &'static str,
        on: &Arc<Executor<'static>>,
    ) -> Self {
        let times = Mutex::new((histogram(), 0));
        Callers {
            way,
            at,
            rate,
            lanes,
            body,
            executor: on.clone(),
            idle: Mutex::default(),
            times,
        }
    }

    /// Sends for so long, from this call's number on; counts only from `counted` on.
    pub async fn run(self: Arc<Self>, lasts: Duration, counted: Instant) -> (Histogram<u64>, u64) {
        let (began, mut n) = (Instant::now(), 0u64);
        loop {
            let due = began + Duration::from_secs_f64(n as f64 / self.rate);
            if due > began + lasts {
                break;
            }
            Timer::at(due).await;
            let it = self.clone();
            let call = async move {
                let good = it.call(n).await.is_some();
                if due >= counted {
                    let mut times = lock(&it.times);
                    match good {
                        true => times.0.saturating_record(due.elapsed().as_micros() as u64),
                        false => times.1 += 1,
                    }
                }
            };
            self.executor.spawn(call).detach();
            n += 1;
        }
        Timer::after(Duration::from_secs(1)).await;
        let times = lock(&self.times);
        (times.0.clone(), times.1)
    }

    async fn connect(&self) -> Option<Sender> {
        let stream = Async::<TcpStream>::connect(self.at).await.ok()?;
        stream.get_ref().set_nodelay(true).ok()?;
        let io = FuturesIo::new(stream);
        match self.way {
            Way::Rest => {
                let (sender, connection) = http1::handshake(io).await.ok()?;
                self.executor
                    .spawn(async move { drop(connection.await) })
                    .detach();
                Some(Sender::Rest(sender))
            }
            Way::Grpc => {
                let mut builder = http2::Builder::new(Tasks(self.executor.clone()));
                let (sender, connection) =
                    builder.timer(SmolTimer::new()).handshake(io).await.ok()?;
                self.executor
                    .spawn(async move { drop(connection.await) })
                    .detach();
                Some(Sender::Grpc(sender))
            }
        }
    }

    async fn call(&self, n: u64) -> Option<()> {
        let function = format!("warm:{}", n % 8);
        let ready = match self.way {
            Way::Rest => lock(&self.idle).pop(),
            Way::Grpc => {
                let idle = lock(&self.idle);
                let at = n as usize % GRPC_CONNECTIONS;
                match idle.get(at) {
                    Some(Sender::Grpc(s)) => Some(Sender::Grpc(s.clone())),
                    _ => None,
                }
            }
        };
        let mut sender = match ready {
            Some(sender) => sender,
            None => {
                let sender = self.connect().await?;
                if let Sender::Grpc(s) = &sender {
                    lock(&self.idle).push(Sender::Grpc(s.clone()));
                }
                sender
            }
        };
        let request = |path: String, kind: &str, body: Bytes| {
            Request::post(path)
                .header("host", self.at.to_string())
                .header("content-type", kind)
                .header("cedarpulley-trigger-type", "warm")
                .header("cedarpulley-copy-mb", 1)
                .header("cedarpulley-lanes", self.lanes)
                .header("x-request-id", n)
                .body(Full::new(body))
                .ok()
        };
        match &mut sender {
            Sender::Rest(s) => {
                let path = format!("/v2/models/{}/infer", function.replace(':', "%3A"));
                let answer = s
                    .send_request(request(path, "application/json", self.body.into())?)
                    .await
                    .ok()?;
                let good = answer.status() == 200;
                answer.into_body().collect().await.ok()?;
                s.ready().await.ok()?;
                lock(&self.idle).push(sender);
                good.then_some(())
            }
            Sender::Grpc(s) => {
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
                    model_name: function,
                    inputs: vec![input],
                    ..Default::default()
                };
                let path = format!(
                    "http://{}/inference.GRPCInferenceService/ModelInfer",
                    self.at
                );
                let answer = s
                    .send_request(request(path, "application/grpc", frame(&message))?)
                    .await
                    .ok()?;
                let whole = answer.into_body().collect().await.ok()?;
                let good = whole
                    .trailers()
                    .and_then(|t| t.get("grpc-status"))
                    .is_some_and(|s| s == "0");
                good.then_some(())
            }
        }
    }
}
