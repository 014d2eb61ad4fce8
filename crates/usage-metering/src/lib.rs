//! Metering of memory-seconds by account, free of I/O.
//!
//! * [`meter`]: charges each dispatch and each load order to an account; start reading here.
//! * [`usage`]: exact sums of usage by hour, account, function and kind.
//! * [`readings`]: the totals that workers report.
//! * [`report`]: merges the measurements of many routers.
//!
//! Metering has no influence on admission or dispatching. `cedarpulley-usage-store` stores the usage.

#![warn(missing_docs)]

pub mod meter;
pub mod readings;
pub mod report;
pub mod usage;

pub use meter::{DispatchUsage, LoadUsage, MemoryTotals, Meter, UsageDelta};
pub use readings::Readings;
pub use report::{Source, UsageReport};
pub use usage::{Usage, UsageByKey, UsageKey, UsageKind};
