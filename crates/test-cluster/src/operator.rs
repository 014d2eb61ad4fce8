//! What an operator orders from workers by hand, past the routers: KServe's model repository extension. [`load`] comes
//! back when the copy stands.

use std::net::SocketAddr;

use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;

use crate::verdict::asked;
use crate::wrong::Wrong;

pub fn load(worker: SocketAddr, function: &str) -> Result<(), Wrong> {
    order(worker, function, "load")
}

/// A copy that is at work stays: ask again.
pub fn unload(worker: SocketAddr, function: &str) -> Result<(), Wrong> {
    order(worker, function, "unload")
}

fn order(worker: SocketAddr, function: &str, what: &str) -> Result<(), Wrong> {
    // `m/versions/2` parts model and version as paths do.
    let path = format!(
        "/v2/repository/models/{}/{what}",
        function.replace(':', "%3A")
    );
    let request = Request::post(path)
        .header("host", worker.to_string())
        .body(Full::<Bytes>::default());
    asked(worker, request).map(drop)
}
