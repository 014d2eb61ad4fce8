//! What a router says of itself. What it did is judged from the stand-ins' logs: [`crate::fleet::Fleet::verdict`].

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use serde_json::Value;
use smol_hyper::rt::FuturesIo;

use crate::wrong::Wrong;

const ANSWERED_WITHIN: Duration = Duration::from_secs(20);
const MOST_BODY: usize = 64 << 20;

/// `GET /state` of a router's listener for its peers.
pub fn state(address: SocketAddr) -> Result<Value, Wrong> {
    let wrong = |source: io::Error| Wrong::State { address, source };
    let other = |e: hyper::Error| wrong(io::Error::other(e));
    let asking = async {
        let stream = Async::<TcpStream>::connect(address).await.map_err(wrong)?;
        let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await.map_err(other)?;
        let request = Request::get("/state").header("host", address.to_string());
        let request = request.body(Empty::<Bytes>::new()).map_err(|e| wrong(io::Error::other(e)))?;
        let asked = async {
            let answer = sender.send_request(request).await.map_err(other)?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MOST_BODY).collect().await;
            let body = body.map_err(|e| wrong(io::Error::other(e)))?;
            if !status.is_success() {
                return Err(Wrong::Status { address, status: status.as_u16() });
            }
            serde_json::from_slice(&body.to_bytes()).map_err(|e| wrong(e.into()))
        };
        let driving = async {
            let _ = connection.await;
            std::future::pending().await
        };
        asked.or(driving).await
    };
    let late = async {
        Timer::after(ANSWERED_WITHIN).await;
        Err(wrong(io::ErrorKind::TimedOut.into()))
    };
    async_io::block_on(asking.or(late))
}
