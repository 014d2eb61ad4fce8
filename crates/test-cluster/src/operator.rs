//! What an operator orders from workers by hand, past the routers: KServe's model repository extension.

use std::net::SocketAddr;

use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;

use crate::error::ClusterError;
use crate::router_state::request_body;

/// Loads a function; it is ready when this returns.
///
/// # Errors
/// When the worker does not answer with success.
pub fn load(worker: SocketAddr, function: &str) -> Result<(), ClusterError> {
    order(worker, function, "load")
}

/// Unloads a function unless it is busy.
///
/// # Errors
/// When the worker does not answer with success; it does so also for a busy function.
pub fn unload(worker: SocketAddr, function: &str) -> Result<(), ClusterError> {
    order(worker, function, "unload")
}

fn order(worker: SocketAddr, function: &str, action: &str) -> Result<(), ClusterError> {
    // `m/versions/2` separates model and version as paths do.
    let path = format!(
        "/v2/repository/models/{}/{action}",
        function.replace(':', "%3A")
    );
    let request = Request::post(path)
        .header("host", worker.to_string())
        .body(Full::<Bytes>::default());
    request_body(worker, request).map(drop)
}
