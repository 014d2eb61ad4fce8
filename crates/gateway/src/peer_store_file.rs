//! The file of the group's store, a `redb` database: its tables, and what is read from and written to them.

use std::path::{Path, PathBuf};

use cedarpulley::interface::Micros;
use cedarpulley_replica::{Key, Record, RecordCopy};
use redb::{
    Database, ReadOnlyTable, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition,
};

use crate::stored_state::{RestoredState, StoreChanges};

/// Name of the file in the store's folder.
pub(crate) const FILE: &str = "group.redb";
/// Version of the encoding of a record. Raise it with every change, which a test detects; files of
/// another version are set aside. It once stayed at 1 when records gained a field: the previous build's file
/// was reported as damaged, or the previous build misread the new one.
pub(crate) const FORMAT: u64 = 2;
/// Numbers by name: `format`, `group` (the identity of member and group) and `turn` (the incarnation).
pub(crate) const METADATA: TableDefinition<&str, u64> = TableDefinition::new("about");
/// By key: expiry by the wall clock in microseconds, and the encoded record.
const RECORDS: TableDefinition<&str, (i64, &[u8])> = TableDefinition::new("records");
/// Files set aside for one cause; beyond, the last of them is overwritten.
const MAX_SET_ASIDE: u32 = 8;

/// Why an existing file was not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SetAsideCause {
    /// It cannot be read, or lacks what every file has.
    Damaged,
    /// It was written by an earlier build, in another format.
    EarlierFormat,
    /// It was written by a later build, in another format.
    LaterFormat,
    /// It belongs to another member, or to a group with other members.
    Foreign,
}

impl SetAsideCause {
    /// As it appears in logs and file names.
    pub(crate) fn name(self) -> &'static str {
        match self {
            SetAsideCause::Damaged => "damaged",
            SetAsideCause::EarlierFormat => "earlier-format",
            SetAsideCause::LaterFormat => "later-format",
            SetAsideCause::Foreign => "foreign",
        }
    }
}

/// Changes to write, with the wall time in microseconds.
pub(crate) struct WriteBatch {
    pub(crate) changes: StoreChanges,
    pub(crate) wall: Micros,
}

impl From<redb::Error> for SetAsideCause {
    fn from(_: redb::Error) -> Self {
        SetAsideCause::Damaged
    }
}

/// Makes the tables of a new file. `identity`: of this member and its group.
pub(crate) fn create_tables(database: &Database, identity: u64) -> Result<(), redb::Error> {
    let write = database.begin_write()?;
    write.open_table(RECORDS)?;
    {
        let mut metadata = write.open_table(METADATA)?;
        metadata.insert("format", FORMAT)?;
        metadata.insert("group", identity)?;
    }
    write.commit()?;
    Ok(())
}

/// Reads the file's state, or tells why it cannot be used. `wall`: wall time; `retention`: the longest time that an
/// invocation is retained; both in microseconds.
pub(crate) fn read(
    database: &Database,
    identity: u64,
    wall: Micros,
    retention: Micros,
) -> Result<RestoredState, SetAsideCause> {
    let snapshot = database.begin_read().map_err(redb::Error::from)?;
    let metadata = snapshot.open_table(METADATA).map_err(redb::Error::from)?;
    match read_number(&metadata, "format")? {
        None => return Err(SetAsideCause::Damaged),
        Some(format) if format < FORMAT => return Err(SetAsideCause::EarlierFormat),
        Some(format) if format > FORMAT => return Err(SetAsideCause::LaterFormat),
        Some(_) => {}
    }
    if read_number(&metadata, "group")? != Some(identity) {
        return Err(SetAsideCause::Foreign);
    }
    let incarnation = read_number(&metadata, "turn")?.unwrap_or(0);
    let records = read_records(&snapshot, wall, retention)?;
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

fn read_records(
    snapshot: &ReadTransaction,
    wall: Micros,
    retention: Micros,
) -> Result<Vec<(Key, RecordCopy)>, SetAsideCause> {
    let mut records = Vec::new();
    let table = snapshot.open_table(RECORDS).map_err(redb::Error::from)?;
    for row in table.iter().map_err(redb::Error::from)? {
        let (key, value) = row.map_err(redb::Error::from)?;
        let (expires_at, bytes) = value.value();
        let mut shared: RecordCopy =
            postcard::from_bytes(bytes).map_err(|_| SetAsideCause::Damaged)?;
        let left = expires_at - wall;
        // Sessions and upgrade plans are retained for longer than any invocation: the limit on retention must
        // not drop them at each start.
        let is_not_an_invocation = !matches!(shared.record, Record::Invocation(_));
        if left > 0 && (left <= retention || is_not_an_invocation) {
            age(&mut shared, left);
            records.push((Key::from(key.value()), shared));
        }
    }
    Ok(records)
}

/// The time that no process ran counts for the record's age: otherwise a token's first sending would look as young as
/// at the shutdown, and its retry would go to workers that have forgotten it. `left`: until it expires, in microseconds.
fn age(shared: &mut RecordCopy, left: Micros) {
    let elapsed = shared.expires_in.saturating_sub(left).max(0);
    shared.expires_in = left;
    shared.first_dispatch_ago = shared
        .first_dispatch_ago
        .map(|ago| ago.saturating_add(elapsed));
    shared.proof_expires_in = shared
        .proof_expires_in
        .map(|left| left.saturating_sub(elapsed));
}

/// Renames a file that cannot be used; returns its new path.
pub(crate) fn set_aside(file: &Path, cause: SetAsideCause) -> std::io::Result<PathBuf> {
    let path = |n| file.with_extension(format!("{}-{n}", cause.name()));
    let to = (1..MAX_SET_ASIDE)
        .map(path)
        .find(|p| !p.exists())
        .unwrap_or_else(|| path(MAX_SET_ASIDE));
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
        for (key, shared) in &batch.changes.records {
            match shared {
                None => {
                    records.remove(&**key)?;
                }
                Some(shared) => {
                    let Ok(bytes) = postcard::to_stdvec(shared) else {
                        continue;
                    };
                    records.insert(
                        &**key,
                        (
                            batch.wall.saturating_add(shared.expires_in),
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
