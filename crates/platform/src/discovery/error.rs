//! Why a response of discovery, or the events in the configuration, are not applied.

use cedarpulley_errors::Remedy;
use thiserror::Error;

use super::response_reader::MAX_RESPONSE_BYTES;

/// Why nothing of a response of discovery, or of the events in the configuration, is applied. The texts stand in
/// `docs/operate/errors.md` with their placeholders, `MOST_ANSWER` among them.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// A worker's state is not one of the protocol.
    #[error("state '{state}' of worker '{id}' is unknown")]
    UnknownState {
        /// The worker's id.
        id: String,
        /// The state given.
        state: String,
    },
    /// A worker's address is malformed.
    #[error("address '{address}' of worker '{id}' cannot be read")]
    MalformedAddress {
        /// The worker's id.
        id: String,
        /// The address given.
        address: String,
    },
    /// The head of a response is malformed.
    #[error("the head of an answer cannot be read")]
    MalformedHead(#[source] httparse::Error),
    /// The head of a response goes beyond its limit.
    #[error("the head of an answer has no end")]
    HeadTooLong,
    /// A response has another HTTP status than 200.
    #[error("an answer of status {status}")]
    Status {
        /// The status.
        status: u16,
    },
    /// The length of a response is no number.
    #[error("the content-length of an answer cannot be read")]
    MalformedLength,
    /// A response has neither a length nor chunks, or both.
    #[error("an answer without a length")]
    NoLength,
    /// The length of a response is beyond the limit.
    #[error("an answer of {size} bytes, more than {MOST_ANSWER}", MOST_ANSWER = MAX_RESPONSE_BYTES)]
    TooLong {
        /// The length, in bytes.
        size: usize,
    },
    /// The chunks of a response go beyond the limit.
    #[error("an answer in chunks goes beyond {MOST_ANSWER} bytes", MOST_ANSWER = MAX_RESPONSE_BYTES)]
    ChunksTooLong,
    /// A chunk has no size or no end.
    #[error("a chunk of an answer cannot be read")]
    MalformedChunk,
    /// The events in a response are malformed.
    #[error("the events of an answer cannot be read")]
    MalformedEvents(#[source] serde_json::Error),
}

impl Remedy for DiscoveryError {
    fn remedy(&self) -> &'static str {
        match self {
            DiscoveryError::UnknownState { .. } | DiscoveryError::MalformedAddress { .. } => {
                "have the list of workers say it as the platform has it"
            }
            DiscoveryError::TooLong { .. } | DiscoveryError::ChunksTooLong => {
                "have the channel tell fewer workers at once"
            }
            _ => "see what listens at the channel's address",
        }
    }
}
