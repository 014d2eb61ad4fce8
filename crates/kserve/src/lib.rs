//! The KServe v2 inference protocol, free of I/O, in both directions: the router as a client of its workers, and the
//! router as a server for its own clients.
//!
//! Towards workers:
//! * [`worker_requests`]: infer, load, unload, index, ready and live, as HTTP requests.
//! * [`outcomes`]: every way in which an exchange with a worker can end, and whether the worker may have run the
//!   invocation; begin reading here.
//! * [`response_headers`]: what a worker's response headers report: copy status, load, memory usage.
//! * [`repository_index`]: the list of models that a worker has loaded.
//!
//! Towards clients:
//! * [`client_requests`]: paths and headers of requests over HTTP, and the responses to them.
//! * [`grpc`]: framing, methods, time-outs and trailers of calls over gRPC; its messages are generated from `proto/`.
//! * [`tensors`]: conversion between gRPC messages and the JSON with raw tensors that workers speak.
//! * [`sequences`]: the session that a request belongs to.

#![warn(missing_docs)]

pub mod client_requests;
pub mod grpc;
pub mod outcomes;
pub mod repository_index;
pub mod response_headers;
pub mod sequences;
pub mod tensors;
pub mod worker_requests;

pub use outcomes::{ExchangeOutcome, InferenceResult};
