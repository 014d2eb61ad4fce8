//! A crash-safe file of metered usage. Usage that [`Ledger::add`] has acknowledged survives a kill of the process or a
//! power failure at any time. The file is a redb database (copy-on-write pages with checksums, two roots).
//!
//! Start reading at [`Ledger`]. [`WriteSchedule`] decides, free of I/O, when to write and what to do after a failure. A
//! failed write never stops a router: the usage stays in memory, which is bounded, and is written later.

#![warn(missing_docs)]

mod error;
mod ledger;
mod tables;
mod write_schedule;

pub use error::{StoreError, UnreadableReason};
pub use ledger::Ledger;
pub use tables::FORMAT;
pub use write_schedule::WriteSchedule;
