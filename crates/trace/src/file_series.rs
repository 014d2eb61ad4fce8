//! Names of the trace files in a folder, and the lock on a router's name.

use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

use crate::Error;

/// The files of one router incarnation: `NAME-START-NUMBER.trace`, where `START` is the wall clock at the router's
/// start in milliseconds. A number is missing where a file could not be begun.
#[derive(Clone, Debug)]
pub struct FileSeries {
    /// The folder that contains the files.
    pub folder: PathBuf,
    /// The router's name.
    pub name: String,
    /// Wall clock in milliseconds at the router's start, so that series sort by age.
    pub started_at_ms: u64,
}

impl FileSeries {
    /// The path of the file with this number.
    pub fn file(&self, number: u64) -> PathBuf {
        self.folder.join(format!(
            "{}-{:013}-{number:05}.trace",
            self.name, self.started_at_ms
        ))
    }

    /// The files of this router's current and earlier incarnations except the one with the number `except`, oldest
    /// first, each with its size in bytes.
    pub fn earlier(&self, except: u64) -> io::Result<Vec<(PathBuf, u64)>> {
        let excluded = self.file(except);
        let mut files = Vec::new();
        for entry in std::fs::read_dir(&self.folder)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if self.has_file_named(&name) && entry.path() != excluded {
                files.push((entry.path(), entry.metadata()?.len()));
            }
        }
        files.sort();
        Ok(files)
    }

    fn has_file_named(&self, name: &str) -> bool {
        let numbers = name
            .strip_prefix(&self.name)
            .and_then(|rest| rest.strip_prefix('-'))
            .and_then(|rest| rest.strip_suffix(".trace"));
        numbers.is_some_and(|n| n.bytes().all(|b| b.is_ascii_digit() || b == b'-'))
    }
}

/// A name that only one writer in a folder uses as long as this value exists. The lock is released when the process
/// ends.
#[derive(Debug)]
pub struct NameLock {
    /// The requested name, followed by a number if another writer already uses it.
    pub name: String,
    _lock: File,
}

/// Largest number of writers with the same name in a folder.
const MAX_WRITERS_OF_A_NAME: u32 = 16;

impl NameLock {
    /// Locks the first free name.
    ///
    /// Without the lock, two routers with the same name and folder would each delete the files of the other to make
    /// room.
    pub fn acquire(folder: &Path, name: &str) -> Result<NameLock, Error> {
        for n in 1..=MAX_WRITERS_OF_A_NAME {
            let candidate = if n == 1 {
                name.to_owned()
            } else {
                format!("{name}_{n}")
            };
            let lock = File::options()
                .create(true)
                .append(true)
                .open(folder.join(format!("{candidate}.lock")))?;
            match lock.try_lock() {
                Ok(()) => {
                    return Ok(NameLock {
                        name: candidate,
                        _lock: lock,
                    });
                }
                Err(TryLockError::WouldBlock) => {}
                Err(TryLockError::Error(e)) => return Err(e.into()),
            }
        }
        Err(Error::NameInUse {
            name: name.to_owned(),
            most: MAX_WRITERS_OF_A_NAME,
        })
    }
}

/// All files of a folder with the extension `trace`, sorted by name.
pub fn trace_files(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let mut traces: Vec<PathBuf> = std::fs::read_dir(folder)?
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|path| path.extension().is_some_and(|e| e == "trace"))
        .collect();
    traces.sort();
    Ok(traces)
}
