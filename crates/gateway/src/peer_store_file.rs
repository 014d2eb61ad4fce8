//! The file of the group's store, a `redb` database: its tables, and functions that read and write them.

use std::path::{Path, PathBuf};

use cedarpulley::interface::Micros;
use cedarpulley_replica::{Key, Record, RecordCopy};
use redb::{
    Database, ReadOnlyTable, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition,
};

use crate::stored_state::{RestoredState, StoreChanges};

/// Name of the file in the store's folder.
pub(crate) const FILE_NAME: &str = "group.redb";
/// Version of the encoding of a record. Raise it with every change of the encoding, which a test detects; files of
/// another version are renamed and not used. Records once gained a field while the version stayed at 1: the new build
/// reported a file of the previous build as damaged, or the previous build misread a new file.
pub(crate) const FORMAT_VERSION: u64 = 2;
/// Numbers by name: `format` (the version of the format), `group` (identifies the member and its group) and `turn` (the
/// incarnation).
pub(crate) const METADATA: TableDefinition<&str, u64> = TableDefinition::new("about");
/// By key: the expiry time by the wall clock in microseconds, and the encoded record.
const RECORDS: TableDefinition<&str, (i64, &[u8])> = TableDefinition::new("records");
/// Limit on the number of renamed files for each cause; when it is reached, the last of them is overwritten.
const MAX_RENAMED_FILES: u32 = 8;

/// Why an existing file cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnusableFileCause {
    /// It cannot be read, or lacks a row that every file has.
    Damaged,
    /// It was written by an earlier build, in another format.
    EarlierFormat,
    /// It was written by a later build, in another format.
    LaterFormat,
    /// It belongs to another member, or to a group with other members.
    Foreign,
}

impl UnusableFileCause {
    /// The name of the cause in logs and file names.
    pub(crate) fn name(self) -> &'static str {
        match self {
            UnusableFileCause::Damaged => "damaged",
            UnusableFileCause::EarlierFormat => "earlier-format",
            UnusableFileCause::LaterFormat => "later-format",
            UnusableFileCause::Foreign => "foreign",
        }
    }
}

/// Changes to write in one transaction.
pub(crate) struct WriteBatch {
    /// The changes.
    pub(crate) changes: StoreChanges,
    /// Wall time of the changes, in microseconds.
    pub(crate) wall_time: Micros,
}

impl From<redb::Error> for UnusableFileCause {
    fn from(_: redb::Error) -> Self {
        UnusableFileCause::Damaged
    }
}

/// Creates the tables of a new file. `identity`: identifies this member and its group.
pub(crate) fn create_tables(database: &Database, identity: u64) -> Result<(), redb::Error> {
    let write = database.begin_write()?;
    write.open_table(RECORDS)?;
    {
        let mut metadata = write.open_table(METADATA)?;
        metadata.insert("format", FORMAT_VERSION)?;
        metadata.insert("group", identity)?;
    }
    write.commit()?;
    Ok(())
}

/// Reads the state in the file; fails with the cause if the file cannot be used. `identity`: identifies this member and
/// its group; `wall_time`: in microseconds; `retention`: longest retention of an invocation, in microseconds.
pub(crate) fn read(
    database: &Database,
    identity: u64,
    wall_time: Micros,
    retention: Micros,
) -> Result<RestoredState, UnusableFileCause> {
    let snapshot = database.begin_read().map_err(redb::Error::from)?;
    let metadata = snapshot.open_table(METADATA).map_err(redb::Error::from)?;
    match read_number(&metadata, "format")? {
        None => return Err(UnusableFileCause::Damaged),
        Some(format) if format < FORMAT_VERSION => return Err(UnusableFileCause::EarlierFormat),
        Some(format) if format > FORMAT_VERSION => return Err(UnusableFileCause::LaterFormat),
        Some(_) => {}
    }
    if read_number(&metadata, "group")? != Some(identity) {
        return Err(UnusableFileCause::Foreign);
    }
    let incarnation = read_number(&metadata, "turn")?.unwrap_or(0);
    let records = read_records(&snapshot, wall_time, retention)?;
    Ok(RestoredState {
        incarnation,
        records,
    })
}

fn read_number(
    metadata: &ReadOnlyTable<&'static str, u64>,
    name: &str,
) -> Result<Option<u64>, redb::Error> {
    Ok(metadata.get(name)?.map(|number| number.value()))
}

/// Reads the records that have not expired, and the choices that have: their promises still bind this member.
fn read_records(
    snapshot: &ReadTransaction,
    wall_time: Micros,
    retention: Micros,
) -> Result<Vec<(Key, RecordCopy)>, UnusableFileCause> {
    let mut records = Vec::new();
    let table = snapshot.open_table(RECORDS).map_err(redb::Error::from)?;
    for row in table.iter().map_err(redb::Error::from)? {
        let (key, value) = row.map_err(redb::Error::from)?;
        let (expires_at, bytes) = value.value();
        let mut record_copy: RecordCopy =
            postcard::from_bytes(bytes).map_err(|_| UnusableFileCause::Damaged)?;
        let left = expires_at - wall_time;
        // Sessions and upgrade plans are retained for longer than any invocation: the limit on the retention of
        // invocations must not drop them at each start.
        let is_retained = match record_copy.record {
            Record::Invocation(_) => left > 0 && left <= retention,
            Record::Note(_) => left > 0,
            Record::Choice(_) => true,
        };
        if is_retained {
            age(&mut record_copy, left);
            records.push((Key::from(key.value()), record_copy));
        }
    }
    Ok(records)
}

/// Adds the time in which no process ran to the age of a record. Otherwise the first dispatch with an idempotency key
/// would seem as recent as at the shutdown, and a retry would be sent to workers that no longer have a record of the
/// key. `left`: time until the record expires, in microseconds.
fn age(record_copy: &mut RecordCopy, left: Micros) {
    let elapsed = record_copy.expires_in.saturating_sub(left).max(0);
    record_copy.expires_in = left;
    record_copy.first_dispatch_ago = record_copy
        .first_dispatch_ago
        .map(|ago| ago.saturating_add(elapsed));
    record_copy.proof_expires_in = record_copy
        .proof_expires_in
        .map(|left| left.saturating_sub(elapsed));
}

/// Renames a file that cannot be used; returns its new path.
pub(crate) fn rename_unusable(file: &Path, cause: UnusableFileCause) -> std::io::Result<PathBuf> {
    let path = |n| file.with_extension(format!("{}-{n}", cause.name()));
    let to = (1..MAX_RENAMED_FILES)
        .map(path)
        .find(|p| !p.exists())
        .unwrap_or_else(|| path(MAX_RENAMED_FILES));
    std::fs::rename(file, &to)?;
    Ok(to)
}

/// Writes a batch in one transaction.
pub(crate) fn write_batch(database: &Database, batch: &WriteBatch) -> Result<(), redb::Error> {
    let write = database.begin_write()?;
    {
        write
            .open_table(METADATA)?
            .insert("turn", batch.changes.incarnation)?;
        let mut records = write.open_table(RECORDS)?;
        for (key, record_copy) in &batch.changes.records {
            match record_copy {
                None => {
                    records.remove(&**key)?;
                }
                Some(record_copy) => {
                    let Ok(bytes) = postcard::to_stdvec(record_copy) else {
                        continue;
                    };
                    records.insert(
                        &**key,
                        (
                            batch.wall_time.saturating_add(record_copy.expires_in),
                            bytes.as_slice(),
                        ),
                    )?;
                }
            }
        }
    }
    write.commit()?;
    Ok(())
}
