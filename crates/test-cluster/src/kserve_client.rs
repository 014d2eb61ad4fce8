//! Clients that use KServe v2. Each invocation uses its own connection to a router that is chosen by the number of the
//! invocation; a router that cannot be connected to is skipped. Requests and responses are logged in the format of the
//! emulated broker.

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

use crate::amqp_client::{Answers, Arrival, FunctionOverride};

const CONNECT_TIMEOUT_US: i64 = 300_000;

/// Returns the body of the request, with the session in the parameters of the sequence extension.
fn body(arrival: &Arrival) -> Bytes {
    let plain = Bytes::copy_from_slice(arrival.body.as_bytes());
    let Some(turn) = &arrival.turn else {
        return plain;
    };
    let Ok(mut body) = serde_json::from_slice::<serde_json::Value>(&plain) else {
        return plain;
    };
    body["parameters"] = json!({
        "sequence_id": turn.session, "sequence_start": turn.start, "sequence_end": turn.end,
    });
    Bytes::from(body.to_string())
}

/// Clients that call routers over KServe v2.
pub struct KserveClients {
    /// Addresses of the routers' KServe listeners.
    pub routers: Vec<SocketAddr>,
    /// Source address of the connections.
    pub from: IpAddr,
    /// The log for requests and responses.
    pub log: Log,
    /// How long a client waits for an answer after its timeout.
    pub listen_after_timeout: Duration,
    /// Start of the traffic.
    pub began: Instant,
    /// Records answers, if present.
    pub answers: Option<Answers>,
    /// Overrides the functions of arrivals, if present.
    pub function_override: Option<FunctionOverride>,
}

/// Outcome in the answer of a router.
struct CallOutcome {
    outcome: String,
    reason: String,
}

impl KserveClients {
    /// Starts each call when it is due; returns once all calls are started, without waiting for their answers.
    pub async fn run(self: Arc<Self>, executor: Arc<Executor<'static>>, arrivals: Vec<Arrival>) {
        for (number, arrival) in arrivals.into_iter().enumerate() {
            Timer::at(self.began + arrival.at).await;
            executor.spawn(self.clone().call(arrival, number)).detach();
        }
    }

    async fn call(self: Arc<Self>, mut arrival: Arrival, number: usize) {
        loop {
            let function = self
                .function_override
                .as_ref()
                .map_or_else(|| arrival.function.clone(), |choose| choose(&arrival));
            let attempt = Arrival {
                function,
                ..arrival.clone()
            };
            let outcome = self.attempt(&attempt, number).await;
            if outcome.as_deref() == Some("succeeded") || arrival.retries == 0 {
                return;
            }
            arrival.retries -= 1;
            arrival.id = format!("{}+", arrival.id);
        }
    }

    /// Sends an invocation once, to the first router that can be connected to; returns the outcome in its answer.
    async fn attempt(&self, arrival: &Arrival, number: usize) -> Option<String> {
        let timeout_us = arrival.timeout_ms * 1000;
        self.log.write(
            "published",
            json!({
                "queue": "calls", "id": arrival.id, "from": self.from.to_string(), "type": arrival.trigger_type,
                "account": arrival.account, "function": arrival.function, "timeout": timeout_us,
            }),
        );
        let deadline =
            Instant::now() + Duration::from_micros(timeout_us) + self.listen_after_timeout;
        let count = self.routers.len();
        for router in (0..count).map(|skipped| self.routers[(number + skipped) % count]) {
            let Ok(stream) = connect(router, Some(self.from), CONNECT_TIMEOUT_US).await else {
                continue;
            };
            let timeout = async {
                Timer::at(deadline).await;
                None
            };
            let answer = self.exchange(arrival, stream, router).or(timeout).await;
            return self.record(arrival, router, answer);
        }
        None
    }

    fn record(
        &self,
        arrival: &Arrival,
        router: SocketAddr,
        answer: Option<CallOutcome>,
    ) -> Option<String> {
        let router = router.ip().to_string();
        let Some(CallOutcome { outcome, reason }) = answer else {
            self.log
                .write("lost", json!({"id": arrival.id, "to": router}));
            return None;
        };
        self.log.write(
            "published",
            json!({"queue": "answers", "id": arrival.id, "from": router, "fate": outcome, "reason": reason}),
        );
        if let Some(answers) = &self.answers {
            lock(answers)
                .entry(arrival.id.clone())
                .or_default()
                .push(outcome.clone());
        }
        Some(outcome)
    }

    async fn exchange(
        &self,
        arrival: &Arrival,
        stream: cedarpulley_net::Stream,
        router: SocketAddr,
    ) -> Option<CallOutcome> {
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(FuturesIo::new(stream))
                .await
                .ok()?;
        let path = format!("/v2/models/{}/infer", arrival.function.replace(':', "%3A"));
        let request = Request::post(path)
            .header("host", router.to_string())
            .header("cedarpulley-trigger-type", &arrival.trigger_type)
            .header("cedarpulley-account", &arrival.account)
            .header("cedarpulley-client-timeout-ms", arrival.timeout_ms)
            .header("cedarpulley-sent-at-us", unix_time_us())
            .header("cedarpulley-copy-mb", arrival.copy_mb as u64)
            .header("cedarpulley-lanes", arrival.lanes)
            .header("idempotency-key", &arrival.id)
            .header("x-request-id", &arrival.id)
            .body(Full::new(body(arrival)))
            .ok()?;
        let to = router.ip().to_string();
        self.log.write(
            "delivered",
            json!({"queue": "calls", "id": arrival.id, "to": to, "redelivered": false}),
        );
        let requesting = async {
            let answer = sender.send_request(request).await.ok()?;
            let header = |name: &str| {
                let value = answer.headers().get(name).and_then(|v| v.to_str().ok());
                value.unwrap_or("turned-away").to_owned()
            };
            let outcome = CallOutcome {
                outcome: header("cedarpulley-fate"),
                reason: header("cedarpulley-reason"),
            };
            answer.into_body().collect().await.ok()?;
            Some(outcome)
        };
        let driving = async {
            let _ = connection.await;
            std::future::pending().await
        };
        requesting.or(driving).await
    }
}
