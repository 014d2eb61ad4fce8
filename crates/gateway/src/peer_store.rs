//! Persistence of the group's state over a restart: one `redb` file, written asynchronously. For invocations the file
//! only makes a restart cheaper; it proves nothing about them. Votes on choices rely on it: each vote waits until the
//! state that backs it is on disk.
//!
//! Mechanisms:
//! 1. Changes are collected and written in batches, one batch at a time, by a separate thread. The thread reports the
//!    serial up to which all changes are on disk. On a slow or full disk a batch is retried until it succeeds;
//!    meanwhile the file becomes stale and votes on choices wait, but nothing else waits.
//! 2. A file that is damaged, has another format, or belongs to another member or group is recognized and renamed. The
//!    router starts without it and obtains the missing records from the other members.
//! 3. Expiry times are stored by the wall clock. Expired records are skipped when the file is read, and so are
//!    invocations that would expire later than the longest retention of an invocation allows.

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
    self, FILE_NAME, UnusableFileCause, WriteBatch, create_tables, rename_unusable, write_batch,
};
use crate::stored_state::{RestoredState, StoreChanges};

/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Why the store cannot be opened.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The store's folder cannot be created or written to.
    #[error("the group's folder {folder}: {source}")]
    Folder {
        /// Path of the folder.
        folder: String,
        /// The cause that the operating system gave.
        source: std::io::Error,
    },
    /// Another process has the store's file open.
    #[error("the group's file {file} is open in another process")]
    InUse {
        /// Path of the file.
        file: String,
    },
    /// A new file cannot be created.
    #[error("the group's file {file} cannot be created: {source}")]
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
                "make sure that the folder given by peers.state can be created and written to"
            }
            StoreError::InUse { .. } => {
                "give each router its own folder, or stop the other process"
            }
            StoreError::Create { .. } => {
                "free space on the disk, or remove peers.state from the settings"
            }
        }
    }
}

/// Handle of the store's writing thread, which ends when the handle is dropped.
pub struct PeerStore {
    batches: SyncSender<WriteBatch>,
    /// Serial of the last batch that was passed to the thread.
    submitted: Cell<u64>,
    /// Serial of the last batch that is on disk.
    persisted: Arc<AtomicU64>,
    /// Receives a signal when a batch has been written.
    written: smol::channel::Receiver<()>,
}

/// Opens the file and reads its state; absent if the file cannot be used and was renamed.
fn open_existing(
    file: &Path,
    identity: u64,
    wall_time: Micros,
    retention: Micros,
) -> Result<Option<(Database, RestoredState)>, StoreError> {
    let folder_error = |source| StoreError::folder(file.parent().unwrap_or(file), source);
    match Database::open(file) {
        Ok(database) => match peer_store_file::read(&database, identity, wall_time, retention) {
            Ok(restored) => return Ok(Some((database, restored))),
            Err(cause) => {
                drop(database);
                let to = rename_unusable(file, cause).map_err(folder_error)?;
                tracing::warn!(why = cause.name(), to = %to.display(), "the group's file was set aside");
            }
        },
        Err(redb::DatabaseError::DatabaseAlreadyOpen) => {
            let file = file.display().to_string();
            return Err(StoreError::InUse { file });
        }
        Err(e) => {
            let to = rename_unusable(file, UnusableFileCause::Damaged).map_err(folder_error)?;
            tracing::warn!(cause = %e, to = %to.display(), "the group's file was set aside as damaged");
        }
    }
    Ok(None)
}

/// Creates an empty file. It is created under another name and then renamed: a process that is killed in between would
/// otherwise leave an invalid file.
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
    /// Opens the store in `folder`, or creates it, and returns it with the stored state. The state is absent if there is
    /// no file or the file cannot be used and was renamed. `identity`: identifies this member and its group;
    /// `wall_time`: in microseconds; `retention`: longest retention of an invocation, in microseconds.
    pub fn open(
        folder: &Path,
        identity: u64,
        wall_time: Micros,
        retention: Micros,
    ) -> Result<(PeerStore, Option<RestoredState>), StoreError> {
        let folder_error = |source| StoreError::folder(folder, source);
        std::fs::create_dir_all(folder).map_err(folder_error)?;
        let file = folder.join(FILE_NAME);
        let opened = match file.exists() {
            false => None,
            true => open_existing(&file, identity, wall_time, retention)?,
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
                // If the channel is full, a signal is already pending.
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

    /// The serial up to which all changes are on disk.
    pub fn persisted_serial(&self) -> u64 {
        self.persisted.load(Ordering::Acquire)
    }

    /// Whether all batches that were passed to the thread are on disk.
    pub fn is_idle(&self) -> bool {
        self.persisted_serial() == self.submitted.get()
    }

    /// Returns when a batch has been written since the last call; never returns once the writing thread has ended.
    pub async fn write_finished(&self) {
        if self.written.recv().await.is_err() {
            std::future::pending().await
        }
    }

    /// Passes changes to the writing thread; must only be called while the store is idle. `wall_time`: in microseconds.
    pub fn write(&self, changes: StoreChanges, wall_time: Micros) {
        if !changes.records.is_empty() {
            self.submitted.set(changes.serial);
            // If the thread has ended, the store stays busy forever and reports no further changes as persisted.
            let _ = self.batches.try_send(WriteBatch { changes, wall_time });
        }
    }
}

/// Writes each batch, and reports its serial once it is on disk; returns when the handle of the store is dropped.
fn write_loop(
    file: &Path,
    database: Database,
    incoming: &Receiver<WriteBatch>,
    report: impl Fn(u64),
) {
    let mut open = Some(database);
    while let Ok(batch) = incoming.recv() {
        let mut failing = false;
        // After any failure, such as a disk that is briefly full, `redb` rejects all operations until the file is
        // reopened. So it is reopened for each retry.
        let mut attempt = || -> Result<(), redb::Error> {
            let database = open.take().map_or_else(|| Database::open(file), Ok)?;
            write_batch(&database, &batch)?;
            open = Some(database);
            Ok(())
        };
        while let Err(e) = attempt() {
            // The router continues with a stale file while the write is retried.
            if !std::mem::replace(&mut failing, true) {
                tracing::warn!(cause = %e, "the group's file cannot be written");
            }
            // No other batch is sent while this one is being written: this call waits for the delay, or fails because
            // the router ends.
            if let Err(RecvTimeoutError::Disconnected) = incoming.recv_timeout(RETRY_DELAY) {
                return;
            }
        }
        report(batch.changes.serial);
    }
}

#[cfg(test)]
mod tests;
