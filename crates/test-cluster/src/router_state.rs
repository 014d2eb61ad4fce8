//! HTTP requests to routers and workers, such as `GET /state` of a router. The behavior of routers is not checked here
//! but from the logs of the emulators: [`crate::cluster::Cluster::verdict`].

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

use crate::error::ClusterError;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_BODY_BYTES: usize = 64 << 20;

/// Requests `GET /state` from the peer listener of a router.
///
/// # Errors
/// Fails if the router does not respond in time with success and JSON.
pub fn fetch_state(address: SocketAddr) -> Result<Value, ClusterError> {
    let request = Request::get("/state")
        .header("host", address.to_string())
        .body(Full::default());
    let body = request_body(address, request)?;
    serde_json::from_slice(&body).map_err(|e| ClusterError::Request {
        address,
        source: e.into(),
    })
}

/// Sends one request on a new connection; returns the body of a successful response.
pub(crate) fn request_body(
    address: SocketAddr,
    request: hyper::http::Result<Request<Full<Bytes>>>,
) -> Result<Bytes, ClusterError> {
    let failed = |source: io::Error| ClusterError::Request { address, source };
    let http_failed = |e: hyper::Error| failed(io::Error::other(e));
    let requesting = async {
        let request = request.map_err(|e| failed(io::Error::other(e)))?;
        let stream = Async::<TcpStream>::connect(address).await.map_err(failed)?;
        let (mut sender, connection) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(http_failed)?;
        let exchange = async {
            let answer = sender.send_request(request).await.map_err(http_failed)?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_BODY_BYTES)
                .collect()
                .await;
            let body = body.map_err(|e| failed(io::Error::other(e)))?;
            if !status.is_success() {
                return Err(ClusterError::Status {
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
        exchange.or(driving).await
    };
    let timeout = async {
        Timer::after(REQUEST_TIMEOUT).await;
        Err(failed(io::ErrorKind::TimedOut.into()))
    };
    async_io::block_on(requesting.or(timeout))
}
