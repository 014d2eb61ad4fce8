//! What a router says of itself. What it did is judged from the stand-ins' logs: [`crate::fleet::Fleet::verdict`].

use std::io;
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

use crate::wrong::Wrong;

const ANSWERED_WITHIN: Duration = Duration::from_secs(20);
const MOST_BODY: usize = 64 << 20;

/// `GET /state` of a router's listener for its peers.
pub fn state(address: SocketAddr) -> Result<Value, Wrong> {
    let request = Request::get("/state")
        .header("host", address.to_string())
        .body(Full::default());
    let body = asked(address, request)?;
    serde_json::from_slice(&body).map_err(|e| Wrong::Asked {
        address,
        source: e.into(),
    })
}

/// One request on a connection of its own; the body of a good answer.
pub(crate) fn asked(
    address: SocketAddr,
    request: hyper::http::Result<Request<Full<Bytes>>>,
) -> Result<Bytes, Wrong> {
    let wrong = |source: io::Error| Wrong::Asked { address, source };
    let other = |e: hyper::Error| wrong(io::Error::other(e));
    let asking = async {
        let request = request.map_err(|e| wrong(io::Error::other(e)))?;
        let stream = Async::<TcpStream>::connect(address).await.map_err(wrong)?;
        let (mut sender, connection) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(other)?;
        let asked = async {
            let answer = sender.send_request(request).await.map_err(other)?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MOST_BODY).collect().await;
            let body = body.map_err(|e| wrong(io::Error::other(e)))?;
            if !status.is_success() {
                return Err(Wrong::Status {
                    address,
                    status: status.as_u16(),
                });
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
        Err(wrong(io::ErrorKind::TimedOut.into()))
    };
    async_io::block_on(asking.or(late))
}
