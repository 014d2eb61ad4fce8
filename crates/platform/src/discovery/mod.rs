//! The discovery channel: numbered watch events that change the endpoint list, fetched by long polling.
//! [`WorkerListFollower`] takes the events in the configuration and those of each response, and returns the updates for
//! the router core, each event once and in order. [`WorkerListFollower::poll_request`] encodes the next poll,
//! [`ResponseReader`] decodes responses from the bytes received.
//!
//! 1. An event whose number is not above that of the last event applied changes nothing.
//! 2. If a part of a response is malformed, nothing of the response is applied, and the same poll is sent again.
//! 3. A worker is identified by its id. A new worker may have the address of one that is gone, and a worker may move to
//!    another address: a connection to the earlier worker or address must not be used afterwards. To whom an address
//!    belongs, `address_table` says.
//! 4. The drain grace counts from the announcement of the drain, not from when the announcement was read. If it may
//!    have been read late, because the channel was not connected or this process was not running, no grace is left.
//! 5. The events of a response are in force as a whole before anything is decided on them: every worker that the router
//!    core may choose has an address.

mod address_table;
mod batch_merge;
mod contact;
mod drain_lease;
mod error;
mod events;
mod follower;
mod response_reader;

use cedarpulley::interface::Micros;

pub use contact::{DiscoveryContact, Silence};
pub use drain_lease::{DiscoveryLoss, DrainLeaseTracker};
pub use error::DiscoveryError;
pub use events::{
    Command as WatchEvent, EventBatch, Nodes as EndpointListEvent, Server as WorkerEntry,
};
pub use follower::{EndpointListUpdate, WorkerListFollower};
pub use response_reader::ResponseReader;

/// Longest time for which discovery may hold a poll open while there are no events, in microseconds. The protocol
/// allows 5 s; with less, a channel that stops responding while its connection stays open is detected sooner: after
/// this time and [`RESPONSE_MARGIN`].
pub const POLL_WAIT: Micros = 1_000_000;
/// Longest time for which discovery may hold the first poll on a connection open, in microseconds. It is short so that
/// the router learns at once which events it missed while it was not connected, or that there were none.
pub const FIRST_POLL_WAIT: Micros = 1_000;
/// Time after [`POLL_WAIT`] at which a response that has not arrived counts as missing, in microseconds.
pub const RESPONSE_MARGIN: Micros = 500_000;
/// Longest backoff before the router connects to discovery again, in microseconds: events must be known within two
/// seconds of a disconnection.
pub const MAX_BACKOFF: Micros = 320_000;

/// Lease of the endpoint list after a response, in microseconds. By the protocol, a router must know an event at the
/// latest this long after the connection to discovery broke. This is the shortest such term in the protocol, and it
/// applies to every silence because a broken connection cannot at first be distinguished from a silent one.
pub const LIST_LEASE: Micros = 2_000_000;

type Result<T> = std::result::Result<T, DiscoveryError>;
