//! What a router says of itself. What it did is judged from the stand-ins' logs: [`crate::fleet::Fleet::verdict`].

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use serde_json::Value;
use smol_hyper::rt::FuturesIo;

use crate::Plain;

const ANSWERED_WITHIN: Duration = Duration::from_secs(20);
const MOST_BODY: usize = 64 << 20;

/// `GET /state` of a router's listener for its peers.
pub fn state(address: SocketAddr) -> Plain<Value> {
    let request = Request::get("/state").header("host", address.to_string()).body(Full::default());
    let body = asked(address, request).map_err(|e| format!("the state of {e}"))?;
    serde_json::from_slice(&body).map_err(|e| format!("the state of {address}: {e}"))
}

/// One request on a connection of its own; the body of a good answer.
pub(crate) fn asked(address: SocketAddr, request: hyper::http::Result<Request<Full<Bytes>>>) -> Plain<Bytes> {
    let wrong = |e: &dyn std::fmt::Display| format!("{address}: {e}");
    let asking = async {
        let request = request.map_err(|e| wrong(&e))?;
        let stream = Async::<TcpStream>::connect(address).await.map_err(|e| wrong(&e))?;
        let (mut sender, connection) =
            http1::handshake(FuturesIo::new(stream)).await.map_err(|e| wrong(&e))?;
        let asked = async {
            let answer = sender.send_request(request).await.map_err(|e| wrong(&e))?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MOST_BODY).collect().await.map_err(|e| wrong(&e))?;
            if !status.is_success() {
                return Err(wrong(&status));
            }
            Ok(body.to_bytes())
        };
        let driving = async {
            let _ = connection.await;
            std::future::pending().await
        };
        asked.or(driving).await
    };
    let late = async {
        Timer::after(ANSWERED_WITHIN).await;
        Err(wrong(&"no answer"))
    };
    async_io::block_on(asking.or(late))
}
