//! The day's clients that call over KServe v2: each invocation on a connection of its own, to a router drawn by its
//! number; a router that is not there is passed over. What crosses is logged as the broker logs its messages.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use cedarpulley_emulators::{Log, lock, unix_time_us};
use cedarpulley_net::connect;
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Bytes;
use serde_json::json;
use smol_hyper::rt::FuturesIo;

use crate::client::{Answers, Arrival, Asks};

const CONNECT_WITHIN: i64 = 300_000;

/// With its session, as the protocol's sequence extension has it.
fn body(a: &Arrival) -> Bytes {
    let plain = Bytes::copy_from_slice(a.body.as_bytes());
    let Some(turn) = &a.turn else { return plain };
    let Ok(mut body) = serde_json::from_slice::<serde_json::Value>(&plain) else {
        return plain;
    };
    body["parameters"] = json!({
        "sequence_id": turn.session, "sequence_start": turn.start, "sequence_end": turn.end,
    });
    Bytes::from(body.to_string())
}

pub struct Callers {
    pub routers: Vec<SocketAddr>,
    pub from: IpAddr,
    pub log: Log,
    /// Beyond the time at which the client gives up.
    pub listens_on: Duration,
    pub began: Instant,
    pub answers: Option<Answers>,
    pub asks: Option<Asks>,
}

impl Callers {
    /// Starts each call at its time, until all are begun; calls end by themselves.
    pub async fn run(self: Arc<Self>, executor: Arc<Executor<'static>>, arrivals: Vec<Arrival>) {
        for (n, arrival) in arrivals.into_iter().enumerate() {
            Timer::at(self.began + arrival.at).await;
            executor.spawn(self.clone().call(arrival, n)).detach();
        }
    }

    async fn call(self: Arc<Self>, mut a: Arrival, n: usize) {
        loop {
            let function = self
                .asks
                .as_ref()
                .map_or_else(|| a.function.clone(), |asks| asks(&a));
            let fate = self
                .once(
                    &Arrival {
                        function,
                        ..a.clone()
                    },
                    n,
                )
                .await;
            if fate.as_deref() == Some("succeeded") || a.retries == 0 {
                return;
            }
            a.retries -= 1;
            a.id = format!("{}+", a.id);
        }
    }

    /// One try, to the first router that is there; the fate that it was told.
    async fn once(&self, a: &Arrival, n: usize) -> Option<String> {
        let timeout = a.timeout_ms * 1000;
        self.log.write(
            "published",
            json!({
                "queue": "calls", "id": a.id, "from": self.from.to_string(), "type": a.kind,
                "account": a.account, "function": a.function, "timeout": timeout,
            }),
        );
        let patience = Duration::from_micros(timeout) + self.listens_on;
        let until = Instant::now() + patience;
        for k in 0..self.routers.len() {
            let router = self.routers[(n + k) % self.routers.len()];
            let Ok(stream) = connect(router, Some(self.from), CONNECT_WITHIN).await else {
                continue;
            };
            let to = router.ip().to_string();
            let late = async {
                Timer::at(until).await;
                None
            };
            let told = self.exchange(a, stream, router).or(late).await;
            match told {
                Some((fate, reason)) => {
                    let answer = json!({"queue": "answers", "id": a.id, "from": to, "fate": fate, "reason": reason});
                    self.log.write("published", answer);
                    if let Some(answers) = &self.answers {
                        lock(answers)
                            .entry(a.id.clone())
                            .or_default()
                            .push(fate.clone());
                    }
                    return Some(fate);
                }
                None => {
                    self.log.write("lost", json!({"id": a.id, "to": to}));
                    return None;
                }
            }
        }
        None
    }

    async fn exchange(
        &self,
        a: &Arrival,
        stream: cedarpulley_net::Stream,
        router: SocketAddr,
    ) -> Option<(String, String)> {
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(FuturesIo::new(stream))
                .await
                .ok()?;
        let path = format!("/v2/models/{}/infer", a.function.replace(':', "%3A"));
        let request = Request::post(path)
            .header("host", router.to_string())
            .header("cedarpulley-trigger-type", &a.kind)
            .header("cedarpulley-account", &a.account)
            .header("cedarpulley-client-timeout-ms", a.timeout_ms)
            .header("cedarpulley-sent-at-us", unix_time_us())
            .header("cedarpulley-copy-mb", a.copy_mb as u64)
            .header("cedarpulley-lanes", a.lanes)
            .header("idempotency-key", &a.id)
            .header("x-request-id", &a.id)
            .body(Full::new(body(a)))
            .ok()?;
        let to = router.ip().to_string();
        self.log.write(
            "delivered",
            json!({"queue": "calls", "id": a.id, "to": to, "redelivered": false}),
        );
        let asking = async {
            let answer = sender.send_request(request).await.ok()?;
            let said = |name: &str| {
                let value = answer.headers().get(name).and_then(|v| v.to_str().ok());
                value.unwrap_or("turned-away").to_owned()
            };
            let told = (said("cedarpulley-fate"), said("cedarpulley-reason"));
            answer.into_body().collect().await.ok()?;
            Some(told)
        };
        let driving = async {
            let _ = connection.await;
            std::future::pending().await
        };
        asking.or(driving).await
    }
}
