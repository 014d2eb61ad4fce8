//! Orders that an operator sends directly to workers, without a router, through the model repository extension of
//! KServe.

use std::net::SocketAddr;

use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;

use crate::error::ClusterError;
use crate::router_state::request_body;

/// Loads a function; the function is ready when this returns.
///
/// # Errors
/// Fails if the worker does not respond with success.
pub fn load(worker: SocketAddr, function: &str) -> Result<(), ClusterError> {
    order(worker, function, "load")
}

/// Unloads a function if it is idle.
///
/// # Errors
/// Fails if the worker does not respond with success. The response is success also for a busy function.
pub fn unload(worker: SocketAddr, function: &str) -> Result<(), ClusterError> {
    order(worker, function, "unload")
}

fn order(worker: SocketAddr, function: &str, action: &str) -> Result<(), ClusterError> {
    // The name `m/versions/2` of a version is also its path.
    let path = format!(
        "/v2/repository/models/{}/{action}",
        function.replace(':', "%3A")
    );
    let request = Request::post(path)
        .header("host", worker.to_string())
        .body(Full::<Bytes>::default());
    request_body(worker, request).map(drop)
}
