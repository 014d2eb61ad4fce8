//! A file of metered usage that survives crashes: what [`Ledger::add`] has acknowledged is there after a kill or a
//! power cut at any moment. It rests on redb (copy-on-write pages with checksums, two roots).
//!
//! Begin reading at [`Ledger`]. The write schedule decides, free of I/O, when to write and what to do after a
//! failure. A failure never stops a router: usage that cannot be written stays in memory, bounded, and is written later.

#![warn(missing_docs)]

mod error;
mod ledger;
mod tables;
mod write_schedule;

pub use error::{StoreError, UnreadableReason};
pub use ledger::Ledger;
pub use tables::FORMAT;
pub use write_schedule::WriteSchedule;
