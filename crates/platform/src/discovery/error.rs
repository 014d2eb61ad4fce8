//! Why a response from discovery, or the events in the configuration, are not applied.

use cedarpulley_errors::Remedy;
use thiserror::Error;

use super::response_reader::MAX_RESPONSE_BYTES;

/// Why a response from discovery, or the events in the configuration, are not applied. An error rejects all of them.
/// The texts are listed in `docs/operate/errors.md` with their placeholders, `max_bytes` among them.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The protocol does not define the state of a worker.
    #[error("state '{state}' of worker '{id}' is unknown")]
    UnknownState {
        /// The worker's id.
        id: String,
        /// The state in the event.
        state: String,
    },
    /// A worker's address is malformed.
    #[error("address '{address}' of worker '{id}' is not an IP address with a port")]
    MalformedAddress {
        /// The worker's id.
        id: String,
        /// The address in the event.
        address: String,
    },
    /// The head of a response is malformed.
    #[error("the head of a discovery response is malformed")]
    MalformedHead(#[source] httparse::Error),
    /// The head of a response is longer than its limit.
    #[error("the head of a discovery response is too long")]
    HeadTooLong,
    /// The HTTP status of a response is not 200.
    #[error("discovery responded with HTTP status {status}")]
    Status {
        /// The status.
        status: u16,
    },
    /// The length of a response is not a number.
    #[error("the content-length of a discovery response is malformed")]
    MalformedLength,
    /// A response declares neither a length nor a transfer encoding, or both.
    #[error("a discovery response needs either a content-length or a transfer-encoding")]
    NoLength,
    /// The declared length of a response is above the limit.
    #[error("a discovery response of {size} bytes exceeds the limit of {max_bytes}", max_bytes = MAX_RESPONSE_BYTES)]
    TooLong {
        /// The declared length, in bytes.
        size: usize,
    },
    /// The chunks of a response are longer than the limit.
    #[error("a chunked discovery response exceeds the limit of {max_bytes} bytes", max_bytes = MAX_RESPONSE_BYTES)]
    ChunksTooLong,
    /// Further bytes follow a response.
    #[error("a discovery response is longer than its declared length")]
    LengthMismatch,
    /// The size or the end of a chunk is malformed.
    #[error("a chunk of a discovery response is malformed")]
    MalformedChunk,
    /// The events in a response are malformed.
    #[error("the events of a discovery response are malformed")]
    MalformedEvents(#[source] serde_json::Error),
}

impl Remedy for DiscoveryError {
    fn remedy(&self) -> &'static str {
        match self {
            DiscoveryError::UnknownState { .. } | DiscoveryError::MalformedAddress { .. } => {
                "correct the state or the address of this worker in the endpoint list"
            }
            DiscoveryError::TooLong { .. } | DiscoveryError::ChunksTooLong => {
                "make the discovery channel send fewer workers in one response"
            }
            _ => "check which service listens at the address of the channel",
        }
    }
}
