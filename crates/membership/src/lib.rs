//! Membership of a group of routers: detects which members are alive, and debounces changes. It does no I/O and needs
//! no leader. Begin reading at [`Membership::handle`] in `failure_detector.rs`.
//!
//! * [`group`]: the members as configured, their weights, and the definition of a majority.
//! * [`message`]: the messages between members.
//! * [`failure_detector`]: probes, suspicion, refutation and indirect probes, as in SWIM.
//! * [`member_table`]: the state of each member, merged by incarnation and compared by digest.
//! * [`stable_view`]: debounces the table, so that a flapping link does not cause work to be reassigned repeatedly.
//!
//! The result is a hint and proves nothing: that a member is considered dead only shortens waiting, while the votes of
//! `cedarpulley-replica` decide what may be dispatched. This package stores no records of invocations.
#![warn(missing_docs)]

pub mod counts;
pub mod failure_detector;
pub mod group;
pub mod member_table;
pub mod message;
mod probe_schedule;
mod relayed_probes;
pub mod settings;
mod stable_hash;
pub mod stable_view;

pub use counts::MembershipCounts;
pub use failure_detector::{Input, Membership, Output};
pub use group::{Group, GroupError, Member, MemberIndex};
pub use member_table::{MemberStatus, StateReason};
pub use message::{Incarnation, MemberState, MemberUpdate, Message};
pub use settings::FailureDetectorSettings;
pub use stable_hash::stable_hash;
pub use stable_view::StableView;
