//! The KServe v2 inference protocol, free of I/O, in both directions: the router as a client of its workers, and the
//! router as a server for its own clients.
//!
//! Requests to workers:
//! * [`worker_requests`]: builds the HTTP requests infer, load, unload, index, ready and live.
//! * [`outcomes`]: every way in which an exchange with a worker can end, and whether the worker may have run the
//!   invocation; start reading here.
//! * [`response_headers`]: parses copy status, load and memory usage from the headers of a worker's response.
//! * [`repository_index`]: the list of models that a worker has loaded.
//!
//! Requests of clients:
//! * [`client_requests`]: paths and headers of requests over HTTP, and the responses to them.
//! * [`grpc`]: framing, methods, time-outs and trailers of calls over gRPC; the messages are generated from `proto/`.
//! * [`tensors`]: conversion between gRPC messages and the JSON with raw tensors that workers use.
//! * [`sequences`]: parses which session a request belongs to.

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
