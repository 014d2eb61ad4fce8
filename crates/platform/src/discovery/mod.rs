//! The discovery channel: numbered watch events that change the list of workers, fetched by long polling. Give
//! [`WorkerListFollower`] the events in the configuration and those of each response; it returns the updates for the
//! router's core, each event once and in order. [`WorkerListFollower::poll_request`] encodes the next poll, [`ResponseReader`]
//! cuts responses out of the bytes that arrive.
//!
//! 1. An event whose number is not above the last one applied changes nothing.
//! 2. A malformed part voids its response: nothing of it is applied, and the same poll is sent again.
//! 3. A worker is identified by its id. A new one may have the address of one that has gone, or one may move: connections
//!    to the old one must not be used for the new one.
//! 4. A drain that may have been announced a while ago, because the channel was not connected meanwhile or this process
//!    was not running, has no grace left: the grace counts from when it was announced, not from when it was read.

mod contact;
mod error;
mod events;
mod follower;
mod response_reader;

use cedarpulley::interface::Micros;

pub use contact::{DiscoveryContact, Silence};
pub use error::DiscoveryError;
pub use events::{
    Command as WatchEvent, EventBatch, Nodes as WorkerListEvent, Server as WorkerEntry,
};
pub use follower::{ListUpdate, WorkerListFollower};
pub use response_reader::ResponseReader;

/// How long discovery may hold a poll open until there are events, in microseconds, of the 5 s that the protocol allows:
/// that a channel has stopped while its connection stays open is noticed after this and [`RESPONSE_MARGIN`].
pub const POLL_WAIT: Micros = 1_000_000;
/// The first poll on a connection is held open for no longer than this, in microseconds: what was announced while nobody
/// was connected, and that this is all of it, is to be known at once.
pub const FIRST_POLL_WAIT: Micros = 1_000;
/// A response that has not arrived so long after [`POLL_WAIT`] counts as missing, in microseconds.
pub const RESPONSE_MARGIN: Micros = 500_000;
/// Longest backoff before connecting again, in microseconds: events must be known within two seconds of a disconnection.
pub const MAX_BACKOFF: Micros = 320_000;

/// What discovery announces counts as known at the latest so long after its connection broke, by the protocol. A broken
/// connection and a silent one cannot be told apart at first, and of the protocol's terms this is the shortest: the list
/// is relied on for so long after a response, in microseconds.
pub const LIST_LEASE: Micros = 2_000_000;

type Result<T> = std::result::Result<T, DiscoveryError>;
