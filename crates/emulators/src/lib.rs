//! Emulators of the servers that a router talks to: message broker, workers, function store and endpoint list. Each
//! emulator logs the traffic on its sockets before it acts on it, and supports faults that can be injected while it
//! runs. Emulators listen on loopback only and are never part of a router.
//!
//! [`Host`] runs them: it holds an executor with a few threads and the folder for their logs.

#![warn(missing_docs)]

pub mod broker;
pub mod endpoint_list;
pub mod http;
pub mod store;
pub mod worker;

use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

use async_executor::Executor;
use serde_json::Value;

/// Locks a mutex even if it is poisoned. A poisoned mutex only means that the task of another emulator panicked; the
/// checks after the scenario show the consequences.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// The current Unix time in microseconds.
pub fn unix_time_us() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as i64)
}

/// The environment that emulators run in: the threads of one executor and the folder for their logs.
#[derive(Clone)]
pub struct Host {
    /// The executor for the tasks of all emulators.
    pub executor: Arc<Executor<'static>>,
    logs: Option<PathBuf>,
}

impl Host {
    /// Starts the threads. Logs are written to the folder `logs`; without a folder nothing is logged.
    ///
    /// # Errors
    /// Fails if a thread cannot be started or the folder cannot be created.
    pub fn new(threads: usize, logs: Option<&Path>) -> std::io::Result<Self> {
        let executor = Arc::new(Executor::new());
        for n in 0..threads {
            let executor = executor.clone();
            std::thread::Builder::new()
                .name(format!("emulators-{n}"))
                .spawn(move || async_io::block_on(executor.run(std::future::pending::<()>())))?;
        }
        if let Some(folder) = logs {
            std::fs::create_dir_all(folder)?;
        }
        Ok(Host {
            executor,
            logs: logs.map(Path::to_owned),
        })
    }

    /// Creates the log file `NAME.ndjson` of one emulator.
    ///
    /// # Errors
    /// Fails if the file cannot be created.
    pub fn log(&self, name: &str) -> std::io::Result<Log> {
        let file = match &self.logs {
            Some(folder) => Some(BufWriter::new(File::create(
                folder.join(format!("{name}.ndjson")),
            )?)),
            None => None,
        };
        Ok(Log {
            file: Arc::new(Mutex::new(file)),
        })
    }
}

/// The log of one emulator: one line of JSON per event. Clones write to the same file.
#[derive(Clone)]
pub struct Log {
    file: Arc<Mutex<Option<BufWriter<File>>>>,
}

impl Log {
    /// Writes one event. `fields` is a JSON object, to which the name of the event (`what`) and its time (`t`, Unix
    /// time in microseconds) are added.
    ///
    /// # Panics
    /// Panics if the file cannot be written, because the invariants of such a run could not be checked.
    pub fn write(&self, event: &str, mut fields: Value) {
        let mut file = lock(&self.file);
        if let Some(file) = file.as_mut()
            && let Some(map) = fields.as_object_mut()
        {
            map.insert("t".into(), unix_time_us().into());
            map.insert("what".into(), event.into());
            serde_json::to_writer(&mut *file, &fields).expect("the traffic log can be written");
            file.write_all(b"\n")
                .expect("the traffic log can be written");
        }
    }

    /// Writes buffered lines to the file.
    ///
    /// # Panics
    /// Panics if the file cannot be written.
    pub fn flush(&self) {
        if let Some(file) = lock(&self.file).as_mut() {
            file.flush().expect("the traffic log can be written");
        }
    }
}

/// The zone of a source address. Routers connect from 127.0.(10 + zone).n; other addresses belong to no zone.
pub fn zone_of(ip: IpAddr) -> Option<u32> {
    match ip {
        IpAddr::V4(v4) if v4.octets()[..2] == [127, 0] && v4.octets()[2] >= 10 => {
            Some(u32::from(v4.octets()[2]) - 10)
        }
        _ => None,
    }
}

/// The source address of router number `n` in a zone; see [`zone_of`].
pub fn router_address(zone: u32, n: u32) -> IpAddr {
    IpAddr::from([127, 0, 10 + zone as u8, 1 + n as u8])
}
