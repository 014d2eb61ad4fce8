//! Metering of memory-seconds by account, free of I/O. Begin reading at [`meter`], which says what each dispatch and
//! each load order costs whom; [`usage`] adds it up exactly, [`readings`] holds the totals that workers report, and
//! [`report`] merges what many routers measured. Nothing here decides what is admitted or dispatched; storing is the
//! task of `cedarpulley-usage-store`.

#![warn(missing_docs)]

pub mod meter;
pub mod readings;
pub mod report;
pub mod usage;

pub use meter::{DispatchUsage, LoadUsage, MemoryTotals, Meter, UsageDelta};
pub use readings::Readings;
pub use report::{Source, UsageReport};
pub use usage::{Usage, UsageByKey, UsageKey, UsageKind};
