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
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::Duration;

use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use redb::Database;
use thiserror::Error;

use crate::peer_store_file::{
    self, FILE, SetAsideCause, WriteBatch, create_tables, set_aside, write_batch,
};
use crate::stored_state::{RestoredState, StoreChanges};

/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Why the store cannot be opened.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Its folder cannot be made or written to.
    #[error("the group's folder {folder}: {source}")]
    Folder {
        /// The folder as configured.
        folder: String,
        /// The cause that the operating system gave.
        source: std::io::Error,
    },
    /// Another process has its file open.
    #[error("the group's file {file} is open in another process")]
    InUse {
        /// Path of the file.
        file: String,
    },
    /// A new file cannot be made.
    #[error("the group's file {file} cannot be begun: {source}")]
    Create {
        /// Path of the file.
        file: String,
        /// The cause that the database gave.
        source: Box<redb::Error>,
    },
}

impl StoreError {
    fn folder(folder: &Path, source: std::io::Error) -> Self {
        StoreError::Folder {
            folder: folder.display().to_string(),
            source,
        }
    }
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

/// The handle of the writing thread, which ends when this is dropped.
pub struct PeerStore {
    batches: SyncSender<WriteBatch>,
    /// Serial of the last batch handed over, and of the last one on disk.
    submitted: Cell<u64>,
    persisted: Arc<AtomicU64>,
    written: smol::channel::Receiver<()>,
}

/// Opens the file and reads its state; absent if it was set aside.
fn open_existing(
    file: &Path,
    identity: u64,
    wall: Micros,
    retention: Micros,
) -> Result<Option<(Database, RestoredState)>, StoreError> {
    let folder_error = |source| StoreError::folder(file.parent().unwrap_or(file), source);
    match Database::open(file) {
        Ok(database) => match peer_store_file::read(&database, identity, wall, retention) {
            Ok(restored) => return Ok(Some((database, restored))),
            Err(cause) => {
                drop(database);
                let to = set_aside(file, cause).map_err(folder_error)?;
                tracing::warn!(why = cause.name(), to = %to.display(), "the group's file was set aside");
            }
        },
        Err(redb::DatabaseError::DatabaseAlreadyOpen) => {
            let file = file.display().to_string();
            return Err(StoreError::InUse { file });
        }
        Err(e) => {
            let to = set_aside(file, SetAsideCause::Damaged).map_err(folder_error)?;
            tracing::warn!(cause = %e, to = %to.display(), "the group's file was set aside as damaged");
        }
    }
    Ok(None)
}

/// Creates an empty file. Creating under another name and renaming guards against a kill halfway, which would leave an
/// invalid file.
fn create(file: &Path, identity: u64) -> Result<Database, StoreError> {
    let create_error = |e: redb::Error| StoreError::Create {
        file: file.display().to_string(),
        source: Box::new(e),
    };
    let new_file = file.with_extension("new");
    let _ = std::fs::remove_file(&new_file);
    let database = Database::create(&new_file).map_err(|e| create_error(e.into()))?;
    create_tables(&database, identity).map_err(create_error)?;
    drop(database);
    let folder = file.parent().unwrap_or(file);
    std::fs::rename(&new_file, file).map_err(|source| StoreError::folder(folder, source))?;
    Database::open(file).map_err(|e| create_error(e.into()))
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
        let folder_error = |source| StoreError::folder(folder, source);
        std::fs::create_dir_all(folder).map_err(folder_error)?;
        let file = folder.join(FILE);
        let opened = match file.exists() {
            false => None,
            true => open_existing(&file, identity, wall, retention)?,
        };
        let (database, restored) = match opened {
            Some((database, restored)) => (database, Some(restored)),
            None => (create(&file, identity)?, None),
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

    /// Hands over changes; call it only while idle. `wall`: wall time in microseconds.
    pub fn write(&self, changes: StoreChanges, wall: Micros) {
        if !changes.records.is_empty() {
            self.submitted.set(changes.serial);
            // If the thread has ended, the store never becomes idle again and reports nothing more as
            // persisted.
            let _ = self.batches.try_send(WriteBatch { changes, wall });
        }
    }
}

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
        report(batch.changes.serial);
    }
}

#[cfg(test)]
mod tests;
