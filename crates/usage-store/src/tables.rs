//! The tables of a ledger file, and the conversion between their rows and keys. `tests/file_rows.rs` checks that the
//! rows stay the same.

use std::sync::Arc;

use cedarpulley_usage_metering::usage::{Usage, UsageKey, UsageKind};
use cedarpulley_usage_metering::{Readings, Source};
use redb::{ReadableTable, Table, TableDefinition};

use crate::error::{StoreError, UnreadableReason, unwritten};

/// The number of this build's file format; files of a later format are rejected.
pub const FORMAT: u64 = 1;

/// The table with the file's format, under [`FORMAT_KEY`].
pub(crate) const ABOUT: TableDefinition<&str, u64> = TableDefinition::new("about");
/// Key of the format in [`ABOUT`].
pub(crate) const FORMAT_KEY: &str = "format";

/// The table of sources.
pub(crate) const SOURCES: TableDefinition<u128, SourceRow> = TableDefinition::new("sources");
/// The number of a source's last write, and the router's name.
pub(crate) type SourceRow = (u64, &'static str);

/// Key of a row of [`SUMS`]: source, hour, account, function and kind.
pub(crate) type SumKey<'a> = (u128, u32, &'a str, &'a str, u8);
/// Value of a row of [`SUMS`]: byte-microseconds and count.
pub(crate) type SumRow = (u128, u64);
/// The table of the usage that sources measured.
pub(crate) const SUMS: TableDefinition<SumKey, SumRow> = TableDefinition::new("sums");

/// Key of a row of [`READINGS`]: incarnation of a worker, hour, account, function and kind.
pub(crate) type ReadingKey<'a> = (u64, u32, &'a str, &'a str, u8);
/// The table of the largest totals that were read, in byte-microseconds.
pub(crate) const READINGS: TableDefinition<ReadingKey, u128> = TableDefinition::new("readings");

/// Returns a kind's number in rows: its position in [`UsageKind::ALL`].
fn kind_number(kind: UsageKind) -> u8 {
    UsageKind::ALL
        .iter()
        .position(|other| *other == kind)
        .unwrap_or(0) as u8
}

/// Returns the key of a row of [`SUMS`].
pub(crate) fn sum_key(source: Source, key: &UsageKey) -> SumKey<'_> {
    let kind = kind_number(key.kind);
    (source, key.hour, &key.account, &key.function, kind)
}

/// Returns the key of a row of [`READINGS`].
fn reading_key(incarnation: u64, key: &UsageKey) -> ReadingKey<'_> {
    let kind = kind_number(key.kind);
    (incarnation, key.hour, &key.account, &key.function, kind)
}

/// Converts the fields of a row's key. Fails if the kind's number is unknown.
pub(crate) fn key(
    hour: u32,
    account: &str,
    function: &str,
    kind: u8,
) -> Result<UsageKey, StoreError> {
    let kind = *UsageKind::ALL
        .get(usize::from(kind))
        .ok_or(UnreadableReason::UnknownKind)?;
    Ok(UsageKey {
        hour,
        account: Arc::from(account),
        function: Arc::from(function),
        kind,
    })
}

/// Converts the value of a row of [`SUMS`].
pub(crate) fn sum((byte_us, count): SumRow) -> Usage {
    Usage { byte_us, count }
}

/// Stores the readings that are larger than the stored ones.
pub(crate) fn merge_readings(
    table: &mut Table<ReadingKey<'static>, u128>,
    readings: &Readings,
) -> Result<(), StoreError> {
    for ((incarnation, key), total) in &readings.0 {
        let row = reading_key(*incarnation, key);
        let stored = table
            .get(row)
            .map_err(unwritten)?
            .map_or(0, |total| total.value());
        if *total > stored {
            table.insert(row, *total).map_err(unwritten)?;
        }
    }
    Ok(())
}
