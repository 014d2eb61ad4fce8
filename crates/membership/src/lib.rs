//! Membership of a group of routers: which members are alive, and when a change of that is acted upon. Free of I/O and
//! without a leader. Begin reading at [`Membership::handle`] in `failure_detector.rs`.
//!
//! * [`group`]: the members as configured, their weights, and what a majority is.
//! * [`message`]: what members send each other.
//! * [`failure_detector`]: probes, suspicion, refutation and indirect probes, as in SWIM.
//! * [`member_table`]: the state of each member, merged by incarnation and compared by digest.
//! * [`stable_view`]: debounces the table, so that a flapping link does not move work around.
//!
//! The result is a hint, never a proof: that a member is considered dead shortens waiting, while what may be dispatched
//! is decided by the votes of `cedarpulley-replica`. This package holds no record of any invocation.
#![warn(missing_docs)]

pub mod counts;
pub mod failure_detector;
pub mod group;
pub mod member_table;
pub mod message;
mod probe_schedule;
mod relayed_probes;
pub mod settings;
pub mod stable_view;

pub use counts::MembershipCounts;
pub use failure_detector::{Input, Membership, Output};
pub use group::{Group, GroupError, Member, MemberIndex};
pub use member_table::{MemberStatus, StateReason};
pub use message::{Incarnation, MemberState, MemberUpdate, Message};
pub use settings::FailureDetectorSettings;
pub use stable_view::StableView;
