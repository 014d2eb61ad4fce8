//! A file of sums that survives crashes: what [`Ledger::add`] has acknowledged is there after a kill or a power cut at any
//! moment. It rests on redb (copy-on-write pages with checksums, two roots). Begin reading at [`Ledger`]; how often and
//! after which failures it is written [`Writing`] decides, free of I/O.
//!
//! It never stops a router: what cannot be written stays in memory, bounded, and is tried again.

mod writing;

use std::path::Path;
use std::sync::Arc;

use cedarpulley_errors::Remedy;
use cedarpulley_usage_metering::Part;
use cedarpulley_usage_metering::books::{Book, Measured, Source};
use cedarpulley_usage_metering::sums::{Key, Kind, Readings, Sum, Sums};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, WriteTransaction};
use thiserror::Error;

pub use writing::Writing;

/// A later one is refused.
pub const FORMAT: u64 = 1;
const ABOUT: TableDefinition<&str, u64> = TableDefinition::new("about");
/// By source: the number of its last writing, and its name.
const SOURCES: TableDefinition<u128, (u64, &str)> = TableDefinition::new("sources");
type Row<'a> = (u128, u32, &'a str, &'a str, u8);
/// By source, hour, account, function and kind: byte-microseconds and count.
const SUMS: TableDefinition<Row, (u128, u64)> = TableDefinition::new("sums");

/// By life of a worker, hour, account, function and kind: the largest total that was read, in byte-microseconds.
const READINGS: TableDefinition<(u64, u32, &str, &str, u8), u128> =
    TableDefinition::new("readings");

/// Why a ledger could not be read or written.
#[derive(Debug, Error)]
pub enum Failed {
    /// It is left as it is.
    #[error("the ledger cannot be read: {0}")]
    Unreadable(Unreadable),
    #[error("another process has the ledger open")]
    InUse,
    /// What was acknowledged before still stands.
    #[error("the disk did not take it: {0}")]
    Unwritten(redb::Error),
}

#[derive(Debug, Error)]
pub enum Unreadable {
    #[error("it is of format {format}; this build reads up to {most}", most = FORMAT)]
    Later { format: u64 },
    #[error("it is damaged")]
    Damaged,
    #[error("it has a kind of no meaning")]
    NoKind,
    #[error("it has sums of no source")]
    NoSource,
    #[error("{0}")]
    Store(redb::Error),
}

impl Remedy for Failed {
    fn remedy(&self) -> &'static str {
        match self {
            Failed::Unreadable(Unreadable::Later { .. }) => "take a newer build",
            Failed::Unreadable(_) => {
                "put a copy in its place; a router sets it aside by itself and begins a new one"
            }
            Failed::InUse => "stop the other, or read a copy of the file",
            Failed::Unwritten(_) => {
                "make room, and see that the folder is there and may be written to"
            }
        }
    }
}

fn unreadable(why: impl Into<redb::Error>) -> Failed {
    Failed::Unreadable(Unreadable::Store(why.into()))
}

/// One that another process has open, or that this one may not touch, is not damaged.
fn unopened(why: redb::DatabaseError) -> Failed {
    match &why {
        redb::DatabaseError::DatabaseAlreadyOpen => Failed::InUse,
        redb::DatabaseError::Storage(redb::StorageError::Io(e))
            if !matches!(
                e.kind(),
                std::io::ErrorKind::InvalidData | std::io::ErrorKind::UnexpectedEof
            ) =>
        {
            unwritten(why)
        }
        _ => unreadable(why),
    }
}

fn unwritten(why: impl Into<redb::Error>) -> Failed {
    Failed::Unwritten(why.into())
}

fn untouched(why: std::io::Error) -> Failed {
    Failed::Unwritten(redb::Error::Io(why))
}

/// One file, open for writing by one process.
pub struct Ledger {
    database: Database,
}

fn kind_byte(kind: Kind) -> u8 {
    Kind::ALL.iter().position(|k| *k == kind).unwrap_or(0) as u8
}

impl Ledger {
    /// Begins it if there is none. A killed process's file is mended on opening; all of it is checked.
    pub fn open(path: &Path) -> Result<Ledger, Failed> {
        if !path.exists() {
            // Symptom: a kill between the first bytes of a new file leaves one that is no ledger.
            let beside = path.with_extension("new");
            if let Err(e) = std::fs::remove_file(&beside)
                && e.kind() != std::io::ErrorKind::NotFound
            {
                return Err(untouched(e));
            }
            drop(Ledger::begun(
                Database::create(&beside).map_err(unwritten)?,
            )?);
            std::fs::rename(&beside, path).map_err(untouched)?;
            let folder = path
                .parent()
                .filter(|p| !p.as_os_str().is_empty())
                .unwrap_or(Path::new("."));
            std::fs::File::open(folder)
                .and_then(|f| f.sync_all())
                .map_err(untouched)?;
        }
        // Symptom: a flipped bit in the middle, at which the store's own checks end in a panic.
        let checked = std::panic::catch_unwind(|| {
            let mut database = Database::open(path).map_err(unopened)?;
            database.check_integrity().map_err(unreadable)?;
            Ok(database)
        });
        Ledger::begun(checked.unwrap_or_else(|_| Err(Failed::Unreadable(Unreadable::Damaged)))?)
    }

    /// Of this format, or made so if it is empty.
    fn begun(database: Database) -> Result<Ledger, Failed> {
        let ledger = Ledger { database };
        let format = {
            let reading = ledger.database.begin_read().map_err(unreadable)?;
            match reading.open_table(ABOUT) {
                Ok(about) => about.get("format").map_err(unreadable)?.map(|f| f.value()),
                Err(redb::TableError::TableDoesNotExist(_)) => None,
                Err(e) => return Err(unreadable(e)),
            }
        };
        match format {
            Some(FORMAT) => Ok(ledger),
            Some(format) => Err(Failed::Unreadable(Unreadable::Later { format })),
            None => {
                let writing = ledger.database.begin_write().map_err(unwritten)?;
                {
                    let mut about = writing.open_table(ABOUT).map_err(unwritten)?;
                    about.insert("format", FORMAT).map_err(unwritten)?;
                    writing.open_table(SOURCES).map_err(unwritten)?;
                    writing.open_table(SUMS).map_err(unwritten)?;
                    writing.open_table(READINGS).map_err(unwritten)?;
                }
                writing.commit().map_err(unwritten)?;
                Ok(ledger)
            }
        }
    }

    /// Adds to what this source measured, and joins what it read; on return it is on the disk. The number of this
    /// writing.
    pub fn add(&self, source: Source, router: &str, more: &Part) -> Result<u64, Failed> {
        let writing = self.database.begin_write().map_err(unwritten)?;
        let number;
        {
            let mut sources = writing.open_table(SOURCES).map_err(unwritten)?;
            number = sources
                .get(source)
                .map_err(unwritten)?
                .map_or(0, |s| s.value().0)
                + 1;
            sources
                .insert(source, (number, router))
                .map_err(unwritten)?;
            let mut sums = writing.open_table(SUMS).map_err(unwritten)?;
            for (key, more) in &more.sums.0 {
                let row = (
                    source,
                    key.hour,
                    key.account.as_ref(),
                    key.function.as_ref(),
                    kind_byte(key.kind),
                );
                let mut sum = match sums.get(row).map_err(unwritten)? {
                    Some(was) => Sum {
                        byte_us: was.value().0,
                        count: was.value().1,
                    },
                    None => Sum::default(),
                };
                sum.add(*more);
                sums.insert(row, (sum.byte_us, sum.count))
                    .map_err(unwritten)?;
            }
            read(&writing, &more.readings)?;
        }
        writing.commit().map_err(unwritten)?;
        Ok(number)
    }

    /// All that is in it, as of one moment.
    pub fn book(&self) -> Result<Book, Failed> {
        let reading = self.database.begin_read().map_err(unreadable)?;
        let mut book = Book::default();
        let sources = reading.open_table(SOURCES).map_err(unreadable)?;
        for row in sources.iter().map_err(unreadable)? {
            let (source, about) = row.map_err(unreadable)?;
            let (number, router) = about.value();
            let measured = Measured {
                number,
                router: router.to_owned(),
                sums: Sums::default(),
            };
            book.measured.insert(source.value(), measured);
        }
        let sums = reading.open_table(SUMS).map_err(unreadable)?;
        for row in sums.iter().map_err(unreadable)? {
            let (row, sum) = row.map_err(unreadable)?;
            let (source, hour, account, function, kind) = row.value();
            let kind = *Kind::ALL
                .get(usize::from(kind))
                .ok_or_else(|| Failed::Unreadable(Unreadable::NoKind))?;
            let key = Key {
                hour,
                account: Arc::from(account),
                function: Arc::from(function),
                kind,
            };
            let (byte_us, count) = sum.value();
            let measured = book
                .measured
                .get_mut(&source)
                .ok_or_else(|| Failed::Unreadable(Unreadable::NoSource))?;
            measured.sums.0.insert(key, Sum { byte_us, count });
        }
        let readings = reading.open_table(READINGS).map_err(unreadable)?;
        for row in readings.iter().map_err(unreadable)? {
            let (row, total) = row.map_err(unreadable)?;
            let (life, hour, account, function, kind) = row.value();
            let kind = *Kind::ALL
                .get(usize::from(kind))
                .ok_or_else(|| Failed::Unreadable(Unreadable::NoKind))?;
            let key = Key {
                hour,
                account: Arc::from(account),
                function: Arc::from(function),
                kind,
            };
            book.readings.0.insert((life, key), total.value());
        }
        Ok(book)
    }

    /// Puts in what other ledgers have: of each source the later state counts.
    pub fn join(&self, other: &Book) -> Result<(), Failed> {
        let mut all = self.book()?;
        let before = all.clone();
        all.join(other.clone());
        let writing = self.database.begin_write().map_err(unwritten)?;
        {
            let mut sources = writing.open_table(SOURCES).map_err(unwritten)?;
            let mut sums = writing.open_table(SUMS).map_err(unwritten)?;
            for (source, m) in all
                .measured
                .iter()
                .filter(|(s, m)| before.measured.get(s) != Some(m))
            {
                sources
                    .insert(source, (m.number, m.router.as_str()))
                    .map_err(unwritten)?;
                for (key, sum) in &m.sums.0 {
                    let row = (
                        *source,
                        key.hour,
                        key.account.as_ref(),
                        key.function.as_ref(),
                        kind_byte(key.kind),
                    );
                    sums.insert(row, (sum.byte_us, sum.count))
                        .map_err(unwritten)?;
                }
            }
            read(&writing, &other.readings)?;
        }
        writing.commit().map_err(unwritten)
    }
}

fn read(writing: &WriteTransaction, readings: &Readings) -> Result<(), Failed> {
    let mut known = writing.open_table(READINGS).map_err(unwritten)?;
    for ((life, key), total) in &readings.0 {
        let row = (
            *life,
            key.hour,
            key.account.as_ref(),
            key.function.as_ref(),
            kind_byte(key.kind),
        );
        let before = known.get(row).map_err(unwritten)?.map_or(0, |t| t.value());
        if *total > before {
            known.insert(row, *total).map_err(unwritten)?;
        }
    }
    Ok(())
}
