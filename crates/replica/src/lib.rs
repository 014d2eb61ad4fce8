//! The replicated state of a group of routers: which router owns an invocation, which of its dispatches may have been
//! sent and which answer it got; values that a majority agreed on; and observations that members published.
//!
//! The crate does no I/O. [`Replica::handle`] takes an event with the time and produces messages, decisions and
//! permissions. Start reading at [`replica`]; the design and its reasons are described in docs/design/replica.md.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`replica`] | the entry point; owns the state of one member |
//! | [`events`], [`settings`] | inputs, outputs, counters; limits and intervals |
//! | `roles` | dispatches each event to the role that handles it |
//! | `member`, `context` | state shared by all roles: the group, the records, the outputs of one event |
//! | [`record`] | record kinds and their merge rule |
//! | [`store`] | all records of a member, their expiry and their digests |
//! | [`wire`], [`votes`] | messages between members; which votes may be counted together |
//! | `acceptor` | this member's votes: stored intents, promises and accepted values |
//! | [`ownership`] | who may dispatch an invocation: replicated intents and fenced takeovers |
//! | [`consensus`] | single-value agreement with ballots, and leadership in terms |
//! | [`persistence`] | votes that wait until the state that backs them is on disk |
//! | [`recovery`], `recovery_marker` | when a restarted member may vote again; the mark on its disk until then |
//! | [`catch_up`], `record_server`, `byte_budget` | anti-entropy between two members at a bounded rate |
//! | `broadcast` | the queue of changed records for the other members |
//!
//! Three rules hold throughout the crate: a dispatch that must not run twice is sent only after a majority has stored
//! its intent; a member votes only if it remembers its earlier votes; no proof relies on synchronized clocks.
#![warn(missing_docs)]

mod acceptor;
mod broadcast;
mod byte_budget;
pub mod catch_up;
pub mod consensus;
mod context;
pub mod events;
mod member;
pub mod ownership;
pub mod persistence;
pub mod record;
mod record_server;
pub mod recovery;
mod recovery_marker;
pub mod replica;
mod roles;
pub mod settings;
pub mod store;
pub mod votes;
pub mod wire;

pub use consensus::Outcome;
pub use events::{Counts, Input, Output};
pub use ownership::{Durability, IndeterminateReason, NoMajorityReason, OwnershipDecision};
pub use record::{Ballot, DispatchIntent, IntentState, Invocation, Note, Record, StoredAnswer};
pub use replica::Replica;
pub use settings::{ReplicaSettings, SafetyCheck, retention_for};
pub use store::{Key, RecordCopy};
pub use wire::{Message, RecoveryState, VERSION};

pub(crate) use cedarpulley_membership::stable_hash as hashed;
