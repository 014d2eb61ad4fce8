//! Persistence of the group's state over a restart: one `redb` file, written asynchronously. For invocations
//! it only makes a restart cheaper and proves nothing. Votes on choices rest on it: they wait until the state
//! they stand for is on disk.
//!
//! Mechanisms:
//! 1. Changes are gathered and written together, one batch at a time on a separate thread, which reports the
//!    serial up to which everything is on disk. On a slow or full disk a batch is retried until it succeeds;
//!    meanwhile the file grows stale and votes on choices wait, and nothing else does.
//! 2. A file that is damaged, of another format, or of another member or group is recognized and renamed; the
//!    router starts without it, and the other members have what it lacks.
//! 3. Expiry times are stored by the wall clock. Expired records are skipped, and so are invocations that
//!    would last longer than any invocation is retained.

use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::Duration;

use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use cedarpulley_replica::{Key, Record, RecordCopy};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use thiserror::Error;

use crate::peers::RestoredState;

const FILE: &str = "group.redb";
/// Version of the encoding of a record. Raise it with every change, which a test below detects; files of
/// another version are set aside. It once stayed at 1 when records gained a field: the previous build's file
/// was reported as damaged, or the previous build misread the new one.
const FORMAT: u64 = 2;
const METADATA: TableDefinition<&str, u64> = TableDefinition::new("about");
/// By key: expiry by the wall clock in microseconds, and the encoded record.
const RECORDS: TableDefinition<&str, (i64, &[u8])> = TableDefinition::new("records");
/// Files set aside for one cause; beyond, the last of them is overwritten.
const MAX_SET_ASIDE: u32 = 8;

/// Why the store cannot be opened.
#[derive(Debug, Error)]
pub enum StoreError {
    #[error("the group's folder {folder}: {source}")]
    Folder {
        folder: String,
        source: std::io::Error,
    },
    #[error("the group's file {file} is open in another process")]
    InUse { file: String },
    #[error("the group's file {file} cannot be begun: {source}")]
    Create {
        file: String,
        source: Box<redb::Error>,
    },
}

impl Remedy for StoreError {
    fn remedy(&self) -> &'static str {
        match self {
            StoreError::Folder { .. } => {
                "see that the folder named by peers.state can be made and written to"
            }
            StoreError::InUse { .. } => {
                "give each router a folder of its own, or end the other process"
            }
            StoreError::Create { .. } => {
                "make room on the disk, or take peers.state out of the settings"
            }
        }
    }
}

/// Why an existing file was not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetAsideCause {
    Damaged,
    EarlierFormat,
    LaterFormat,
    /// It belongs to another member, or to a group with other members.
    Foreign,
}

impl SetAsideCause {
    fn name(self) -> &'static str {
        match self {
            SetAsideCause::Damaged => "damaged",
            SetAsideCause::EarlierFormat => "earlier-format",
            SetAsideCause::LaterFormat => "later-format",
            SetAsideCause::Foreign => "foreign",
        }
    }
}

/// Records as they are now; absent ones were removed.
type Changes = Vec<(Key, Option<RecordCopy>)>;

/// One batch with this process's incarnation and the wall time in microseconds.
struct WriteBatch {
    turn: u64,
    serial: u64,
    wall: Micros,
    records: Changes,
}

/// The handle of the writing thread, which ends when this is dropped.
pub struct PeerStore {
    batches: SyncSender<WriteBatch>,
    /// Serial of the last batch handed over, and of the last one on disk.
    submitted: Cell<u64>,
    persisted: Arc<AtomicU64>,
    written: smol::channel::Receiver<()>,
}

fn create_tables(database: &Database, identity: u64) -> Result<(), redb::Error> {
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

/// Reads the file's state, or tells why it cannot be used.
fn read(
    database: &Database,
    identity: u64,
    wall: Micros,
    retention: Micros,
) -> Result<RestoredState, SetAsideCause> {
    let damaged = |_: redb::Error| SetAsideCause::Damaged;
    let snapshot = database.begin_read().map_err(|e| damaged(e.into()))?;
    let metadata = snapshot
        .open_table(METADATA)
        .map_err(|e| damaged(e.into()))?;
    let number = |name: &str| {
        Ok(metadata
            .get(name)
            .map_err(|e| damaged(e.into()))?
            .map(|v| v.value()))
    };
    match number("format")? {
        None => return Err(SetAsideCause::Damaged),
        Some(format) if format < FORMAT => return Err(SetAsideCause::EarlierFormat),
        Some(format) if format > FORMAT => return Err(SetAsideCause::LaterFormat),
        Some(_) => {}
    }
    if number("group")? != Some(identity) {
        return Err(SetAsideCause::Foreign);
    }
    let turn = number("turn")?.unwrap_or(0);
    let mut records = Vec::new();
    let table = snapshot
        .open_table(RECORDS)
        .map_err(|e| damaged(e.into()))?;
    for row in table.iter().map_err(|e| damaged(e.into()))? {
        let (key, value) = row.map_err(|e| damaged(e.into()))?;
        let (until, bytes) = value.value();
        let mut shared: RecordCopy =
            postcard::from_bytes(bytes).map_err(|_| SetAsideCause::Damaged)?;
        let left = until - wall;
        // Sessions and upgrade plans are retained for longer than any invocation: the limit on retention must
        // not drop them at each start.
        let is_not_an_invocation = !matches!(shared.record, Record::Invocation(_));
        if left > 0 && (left <= retention || is_not_an_invocation) {
            // The time that no process ran counts for the record's age: otherwise a token's first sending
            // would look as young as at the shutdown, and its retry would go to workers that have forgotten
            // it.
            let elapsed = shared.expires_in.saturating_sub(left).max(0);
            shared.expires_in = left;
            shared.first_dispatch_ago = shared
                .first_dispatch_ago
                .map(|ago| ago.saturating_add(elapsed));
            shared.proof_expires_in = shared
                .proof_expires_in
                .map(|left| left.saturating_sub(elapsed));
            records.push((Key::from(key.value()), shared));
        }
    }
    Ok(RestoredState { turn, records })
}

fn set_aside(file: &Path, why: SetAsideCause) -> std::io::Result<PathBuf> {
    let name = |n| file.with_extension(format!("{}-{n}", why.name()));
    let to = (1..MAX_SET_ASIDE)
        .map(name)
        .find(|p| !p.exists())
        .unwrap_or_else(|| name(MAX_SET_ASIDE));
    std::fs::rename(file, &to)?;
    Ok(to)
}

impl PeerStore {
    /// Opens the store in `folder`, or creates it. `identity`: of this member and its group; `wall`: wall
    /// time; `retention`: the longest time that an invocation is retained; both in microseconds. Returns the
    /// stored state unless there is none or it was set aside.
    pub fn open(
        folder: &Path,
        identity: u64,
        wall: Micros,
        retention: Micros,
    ) -> Result<(PeerStore, Option<RestoredState>), StoreError> {
        let folder_error = |source| StoreError::Folder {
            folder: folder.display().to_string(),
            source,
        };
        std::fs::create_dir_all(folder).map_err(folder_error)?;
        let file = folder.join(FILE);
        let named = || file.display().to_string();
        let create_error = |e: redb::Error| StoreError::Create {
            file: named(),
            source: Box::new(e),
        };
        let opened = match file.exists() {
            false => None,
            true => match Database::open(&file) {
                Ok(database) => match read(&database, identity, wall, retention) {
                    Ok(restored) => Some((database, restored)),
                    Err(why) => {
                        drop(database);
                        let to = set_aside(&file, why).map_err(folder_error)?;
                        tracing::warn!(why = why.name(), to = %to.display(), "the group's file was set aside");
                        None
                    }
                },
                Err(redb::DatabaseError::DatabaseAlreadyOpen) => {
                    return Err(StoreError::InUse { file: named() });
                }
                Err(e) => {
                    let to = set_aside(&file, SetAsideCause::Damaged).map_err(folder_error)?;
                    tracing::warn!(cause = %e, to = %to.display(), "the group's file was set aside as damaged");
                    None
                }
            },
        };
        let (database, restored) = match opened {
            Some((database, restored)) => (database, Some(restored)),
            None => {
                // Creating under another name and renaming guards against a kill halfway, which would leave
                // an invalid file.
                let new_file = file.with_extension("new");
                let _ = std::fs::remove_file(&new_file);
                let database = Database::create(&new_file).map_err(|e| create_error(e.into()))?;
                create_tables(&database, identity).map_err(create_error)?;
                drop(database);
                std::fs::rename(&new_file, &file).map_err(folder_error)?;
                (
                    Database::open(&file).map_err(|e| create_error(e.into()))?,
                    None,
                )
            }
        };
        let (batches, incoming) = sync_channel(1);
        let (report, written) = smol::channel::bounded(1);
        let persisted = Arc::new(AtomicU64::new(0));
        let on_disk = persisted.clone();
        let run = move || {
            write_loop(&file, database, &incoming, |serial| {
                on_disk.store(serial, Ordering::Release);
                // A full channel already carries the signal.
                let _ = report.try_send(());
            })
        };
        std::thread::Builder::new()
            .name("group".into())
            .spawn(run)
            .map_err(folder_error)?;
        Ok((
            PeerStore {
                batches,
                submitted: Cell::new(0),
                persisted,
                written,
            },
            restored,
        ))
    }

    /// Everything up to this serial is on disk.
    pub fn persisted_serial(&self) -> u64 {
        self.persisted.load(Ordering::Acquire)
    }

    /// No batch is on its way to the disk.
    pub fn is_idle(&self) -> bool {
        self.persisted_serial() == self.submitted.get()
    }

    /// Returns once a batch has reached the disk since the last call; never, if the writing thread has ended.
    pub async fn write_finished(&self) {
        if self.written.recv().await.is_err() {
            std::future::pending().await
        }
    }

    /// Hands over a batch; call it only while idle. `serial`: of these changes, above those of all earlier
    /// batches; `wall`: wall time in microseconds.
    pub fn write(&self, turn: u64, serial: u64, wall: Micros, records: Changes) {
        if !records.is_empty() {
            // If the thread has ended, the store never becomes idle again and reports nothing more as
            // persisted.
            let _ = self.batches.try_send(WriteBatch {
                turn,
                serial,
                wall,
                records,
            });
            self.submitted.set(serial);
        }
    }
}

/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(500);

fn write_loop(
    file: &Path,
    database: Database,
    incoming: &Receiver<WriteBatch>,
    report: impl Fn(u64),
) {
    let mut open = Some(database);
    while let Ok(batch) = incoming.recv() {
        let mut failing = false;
        // After one failure, such as a disk that is full for a moment, `redb` refuses everything until the
        // file is opened again: so it is reopened for each retry.
        let mut attempt = || -> Result<(), redb::Error> {
            let database = open.take().map_or_else(|| Database::open(file), Ok)?;
            write_batch(&database, &batch)?;
            open = Some(database);
            Ok(())
        };
        while let Err(e) = attempt() {
            // The router goes on with a stale file, and the write is retried.
            if !std::mem::replace(&mut failing, true) {
                tracing::warn!(cause = %e, "the group's file cannot be written");
            }
            // No other batch comes while this one is under way: this waits, or learns that the router ends.
            if let Err(RecvTimeoutError::Disconnected) = incoming.recv_timeout(RETRY_DELAY) {
                return;
            }
        }
        report(batch.serial);
    }
}

fn write_batch(database: &Database, batch: &WriteBatch) -> Result<(), redb::Error> {
    let write = database.begin_write()?;
    {
        write.open_table(METADATA)?.insert("turn", batch.turn)?;
        let mut records = write.open_table(RECORDS)?;
        for (key, shared) in &batch.records {
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

#[cfg(test)]
mod tests {
    use bytes::Bytes;
    use cedarpulley_replica::record::Choice;
    use cedarpulley_replica::{DispatchIntent, IntentState, Invocation, StoredAnswer};

    use super::*;

    const RECORD: [u8; 26] = [
        0, 0, 0, 0, 0, 1, 1, 1, 5, 6, 7, 2, 8, 1, 0, 1, 57, 0, 0, 0, 0, 2, 1, 4, 1, 6,
    ];

    /// Fails when a record's encoding changes: raise [`FORMAT`], then record the new bytes.
    #[test]
    fn a_records_bytes_are_those_of_the_format() {
        let mut effect = Invocation {
            taken: true,
            may_lack_intents: true,
            ..Invocation::default()
        };
        effect.intents.insert(
            (5, 6),
            DispatchIntent {
                member: 7,
                state: IntentState::Indeterminate,
                deduplication_scope: 8,
            },
        );
        effect.answer = Some(StoredAnswer::Stored(Bytes::from_static(b"9")));
        let shared = RecordCopy {
            record: Record::Invocation(effect),
            origin: Default::default(),
            expires_in: 1,
            first_dispatch_ago: Some(2),
            proof_expires_in: Some(3),
        };
        let bytes = postcard::to_stdvec(&shared).expect("encoded");
        assert_eq!((FORMAT, &bytes[..]), (2, &RECORD[..]));
    }

    #[test]
    fn a_file_of_another_format_is_set_aside_by_its_name() {
        for (format, name) in [
            (FORMAT - 1, "group.earlier-format-1"),
            (FORMAT + 1, "group.later-format-1"),
        ] {
            let folder = tempfile::tempdir().expect("a folder");
            let database = Database::create(folder.path().join(FILE)).expect("begun");
            create_tables(&database, 1).expect("written");
            let write = database.begin_write().expect("begun");
            write
                .open_table(METADATA)
                .expect("opened")
                .insert("format", format)
                .expect("written");
            write.commit().expect("written");
            drop(database);
            let (_, kept) = PeerStore::open(folder.path(), 1, 0, 1).expect("opened");
            assert!(
                kept.is_none() && folder.path().join(name).exists(),
                "{name}"
            );
        }
    }

    #[test]
    fn what_was_kept_has_grown_older_by_the_time_that_nobody_ran() {
        const S: Micros = 1_000_000;
        let folder = tempfile::tempdir().expect("a folder");
        let record = Record::Invocation(Invocation {
            taken: true,
            ..Invocation::default()
        });
        let shared = RecordCopy {
            record,
            origin: Default::default(),
            expires_in: 50 * S,
            first_dispatch_ago: Some(S),
            proof_expires_in: Some(30 * S),
        };
        // Choices are retained for longer than any invocation.
        let record = Record::Choice(Choice::default());
        let choice = RecordCopy {
            record,
            expires_in: 600 * S,
            first_dispatch_ago: None,
            proof_expires_in: None,
            ..shared.clone()
        };
        let (store, _) = PeerStore::open(folder.path(), 1, 0, 60 * S).expect("opened");
        store.write(
            1,
            1,
            1_000 * S,
            vec![
                (Key::from("t"), Some(shared)),
                (Key::from("c"), Some(choice)),
            ],
        );
        smol::block_on(store.write_finished());
        assert!(store.is_idle() && store.persisted_serial() == 1);
        // The writing thread holds the file until everything is written.
        drop(store);
        let restored = loop {
            match PeerStore::open(folder.path(), 1, 1_020 * S, 60 * S) {
                Err(StoreError::InUse { .. }) => std::thread::yield_now(),
                opened => break opened.expect("opened").1.expect("it was kept"),
            }
        };
        let [(_, choice), (_, at)] = &restored.records[..] else {
            panic!("both records")
        };
        assert_eq!(choice.expires_in, 600 * S - 20 * S);
        assert_eq!(
            (at.expires_in, at.first_dispatch_ago, at.proof_expires_in),
            (30 * S, Some(21 * S), Some(10 * S))
        );
    }
}
