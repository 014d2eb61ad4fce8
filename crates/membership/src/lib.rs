//! Who is in a group of routers, who of them is alive, and when a change of that is believed; free of I/O, and without
//! anyone in charge. Begin reading at [`Membership::handle`] in `alive.rs`.
//!
//! * [`group`]: the members as the settings fix them, weights, majorities.
//! * [`alive`]: probes, suspicion, refutation, asking through others; a table with a version.
//! * [`believed`]: when a change of the table has lasted long enough to act on it.
//!
//! It never decides what is sent where, holds no record of any invocation and is no proof of anything: that a member is
//! held for dead shortens waiting, never a proof (`cedarpulley-replica`).

pub mod alive;
pub mod believed;
pub mod group;

pub use alive::{
    Counts, Input, Known, Membership, Message, Output, Process, Row, Standing, Terms, Why,
};
pub use believed::Believed;
pub use group::{Group, Member, MemberIndex, Unfit};
