//! The ledger: a file of metered usage.

use std::path::Path;

use cedarpulley_usage_metering::report::{Source, SourceUsage, UsageReport};
use cedarpulley_usage_metering::usage::{Usage, UsageByKey};
use cedarpulley_usage_metering::{Readings, UsageDelta};
use redb::{Database, ReadTransaction, ReadableDatabase, ReadableTable};

use crate::error::{StoreError, UnreadableReason, unopened, unreadable, unwritten};
use crate::tables::{self, ABOUT, FORMAT, FORMAT_KEY, READINGS, SOURCES, SUMS};

/// A ledger file that this process has open for writing. No other process can open it at the same time.
pub struct Ledger {
    database: Database,
}

impl Ledger {
    /// Opens the file, or creates it if it does not exist. Repairs the file if its last process was killed, and
    /// checks the integrity of the whole file.
    pub fn open(path: &Path) -> Result<Ledger, StoreError> {
        if !path.exists() {
            create(path)?;
        }
        // The integrity checks of redb panic on some damaged files, for example after a bit flip in the middle.
        let checked = std::panic::catch_unwind(|| -> Result<Database, StoreError> {
            let mut database = Database::open(path).map_err(unopened)?;
            database.check_integrity().map_err(unreadable)?;
            Ok(database)
        });
        let database = checked.unwrap_or_else(|_| Err(UnreadableReason::Damaged.into()))?;
        Ledger::with_format(database)
    }

    /// Checks that the database has this build's format. Initializes an empty database with it.
    fn with_format(database: Database) -> Result<Ledger, StoreError> {
        match stored_format(&database)? {
            Some(FORMAT) => {}
            Some(format) => return Err(UnreadableReason::LaterFormat { format }.into()),
            None => initialize(&database)?,
        }
        Ok(Ledger { database })
    }

    /// Adds usage to that of `source`, and merges the readings. The usage is on disk when this function returns.
    /// Returns the number of the source's write.
    pub fn add(&self, source: Source, router: &str, delta: &UsageDelta) -> Result<u64, StoreError> {
        let writing = self.database.begin_write().map_err(unwritten)?;
        let number;
        {
            let mut sources = writing.open_table(SOURCES).map_err(unwritten)?;
            number = sources
                .get(source)
                .map_err(unwritten)?
                .map_or(0, |row| row.value().0)
                + 1;
            sources
                .insert(source, (number, router))
                .map_err(unwritten)?;
            let mut sums = writing.open_table(SUMS).map_err(unwritten)?;
            for (key, added) in &delta.sums.0 {
                let row = tables::sum_key(source, key);
                let mut sum = sums
                    .get(row)
                    .map_err(unwritten)?
                    .map_or_else(Usage::default, |stored| tables::sum(stored.value()));
                sum.add(*added);
                sums.insert(row, (sum.byte_us, sum.count))
                    .map_err(unwritten)?;
            }
            let mut readings = writing.open_table(READINGS).map_err(unwritten)?;
            tables::merge_readings(&mut readings, &delta.readings)?;
        }
        writing.commit().map_err(unwritten)?;
        Ok(number)
    }

    /// Reads all usage in the file, from one snapshot.
    pub fn report(&self) -> Result<UsageReport, StoreError> {
        let reading = self.database.begin_read().map_err(unreadable)?;
        let mut report = UsageReport::default();
        read_sources(&reading, &mut report)?;
        read_sums(&reading, &mut report)?;
        read_readings(&reading, &mut report.readings)?;
        Ok(report)
    }

    /// Merges the usage of other ledgers into this one. The later state of each source applies.
    pub fn merge(&self, other: &UsageReport) -> Result<(), StoreError> {
        let before = self.report()?;
        let mut merged = before.clone();
        merged.merge(other.clone());
        let writing = self.database.begin_write().map_err(unwritten)?;
        {
            let mut sources = writing.open_table(SOURCES).map_err(unwritten)?;
            let mut sums = writing.open_table(SUMS).map_err(unwritten)?;
            for (source, usage) in &merged.by_source {
                if before.by_source.get(source) == Some(usage) {
                    continue;
                }
                sources
                    .insert(source, (usage.number, usage.router.as_str()))
                    .map_err(unwritten)?;
                for (key, sum) in &usage.sums.0 {
                    sums.insert(tables::sum_key(*source, key), (sum.byte_us, sum.count))
                        .map_err(unwritten)?;
                }
            }
            let mut readings = writing.open_table(READINGS).map_err(unwritten)?;
            tables::merge_readings(&mut readings, &other.readings)?;
        }
        writing.commit().map_err(unwritten)
    }
}

/// Creates a file with empty tables. The file has a temporary name until it is complete, because a kill while its first
/// bytes are written would leave a file that is not a ledger.
fn create(path: &Path) -> Result<(), StoreError> {
    let temporary = path.with_extension("new");
    if let Err(error) = std::fs::remove_file(&temporary)
        && error.kind() != std::io::ErrorKind::NotFound
    {
        return Err(io_failed(error));
    }
    drop(Ledger::with_format(
        Database::create(&temporary).map_err(unwritten)?,
    )?);
    std::fs::rename(&temporary, path).map_err(io_failed)?;
    let folder = path
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    std::fs::File::open(folder)
        .and_then(|folder| folder.sync_all())
        .map_err(io_failed)
}

fn io_failed(error: std::io::Error) -> StoreError {
    StoreError::Unwritten(redb::Error::Io(error))
}

/// Returns the format of the file, or `None` if the database is empty.
fn stored_format(database: &Database) -> Result<Option<u64>, StoreError> {
    let reading = database.begin_read().map_err(unreadable)?;
    match reading.open_table(ABOUT) {
        Ok(about) => {
            let format = about.get(FORMAT_KEY).map_err(unreadable)?;
            Ok(format.map(|format| format.value()))
        }
        Err(redb::TableError::TableDoesNotExist(_)) => Ok(None),
        Err(error) => Err(unreadable(error)),
    }
}

/// Writes the format, and creates the tables.
fn initialize(database: &Database) -> Result<(), StoreError> {
    let writing = database.begin_write().map_err(unwritten)?;
    {
        let mut about = writing.open_table(ABOUT).map_err(unwritten)?;
        about.insert(FORMAT_KEY, FORMAT).map_err(unwritten)?;
        writing.open_table(SOURCES).map_err(unwritten)?;
        writing.open_table(SUMS).map_err(unwritten)?;
        writing.open_table(READINGS).map_err(unwritten)?;
    }
    writing.commit().map_err(unwritten)
}

fn read_sources(reading: &ReadTransaction, report: &mut UsageReport) -> Result<(), StoreError> {
    let table = reading.open_table(SOURCES).map_err(unreadable)?;
    for row in table.iter().map_err(unreadable)? {
        let (source, value) = row.map_err(unreadable)?;
        let (number, router) = value.value();
        let usage = SourceUsage {
            number,
            router: router.to_owned(),
            sums: UsageByKey::default(),
        };
        report.by_source.insert(source.value(), usage);
    }
    Ok(())
}

fn read_sums(reading: &ReadTransaction, report: &mut UsageReport) -> Result<(), StoreError> {
    let table = reading.open_table(SUMS).map_err(unreadable)?;
    for row in table.iter().map_err(unreadable)? {
        let (row, value) = row.map_err(unreadable)?;
        let (source, hour, account, function, kind) = row.value();
        let key = tables::key(hour, account, function, kind)?;
        let usage = report
            .by_source
            .get_mut(&source)
            .ok_or(UnreadableReason::UnknownSource)?;
        usage.sums.0.insert(key, tables::sum(value.value()));
    }
    Ok(())
}

fn read_readings(reading: &ReadTransaction, readings: &mut Readings) -> Result<(), StoreError> {
    let table = reading.open_table(READINGS).map_err(unreadable)?;
    for row in table.iter().map_err(unreadable)? {
        let (row, total) = row.map_err(unreadable)?;
        let (incarnation, hour, account, function, kind) = row.value();
        let key = tables::key(hour, account, function, kind)?;
        readings.0.insert((incarnation, key), total.value());
    }
    Ok(())
}
