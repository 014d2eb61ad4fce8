//! Stand-ins for what a router speaks to: broker, workers, store, worker list. Small and honest: each writes what
//! crosses its sockets to a log before it acts on it, and has faults that can be set while it runs. They listen on
//! loopback only and are never part of a router.
//!
//! [`Ground`] is what they stand on: an executor over a few threads, and the logs.

pub mod broker;
pub mod http;
pub mod list;
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

/// A poisoned lock only means that another stand-in's task panicked; the day's verdict will tell.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

pub fn wall_us() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as i64)
}

/// Where the threads of all stand-ins run, and where their logs go.
#[derive(Clone)]
pub struct Ground {
    pub executor: Arc<Executor<'static>>,
    logs: Option<PathBuf>,
}

impl Ground {
    /// Logs go into this folder, if one is given.
    pub fn new(threads: usize, logs: Option<&Path>) -> std::io::Result<Self> {
        let executor = Arc::new(Executor::new());
        for n in 0..threads {
            let executor = executor.clone();
            std::thread::Builder::new()
                .name(format!("standins-{n}"))
                .spawn(move || async_io::block_on(executor.run(std::future::pending::<()>())))?;
        }
        if let Some(folder) = logs {
            std::fs::create_dir_all(folder)?;
        }
        Ok(Ground {
            executor,
            logs: logs.map(Path::to_owned),
        })
    }

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

/// One stand-in's log, a line for each thing that crossed its sockets.
#[derive(Clone)]
pub struct Log {
    file: Arc<Mutex<Option<BufWriter<File>>>>,
}

impl Log {
    /// `fields` is an object; the time is put in.
    pub fn write(&self, what: &str, mut fields: Value) {
        let mut file = lock(&self.file);
        if let Some(file) = file.as_mut()
            && let Some(map) = fields.as_object_mut()
        {
            map.insert("t".into(), wall_us().into());
            map.insert("what".into(), what.into());
            // A log that cannot be written ends the day: nothing could be judged.
            serde_json::to_writer(&mut *file, &fields).expect("the traffic log can be written");
            file.write_all(b"\n")
                .expect("the traffic log can be written");
        }
    }

    pub fn flush(&self) {
        if let Some(file) = lock(&self.file).as_mut() {
            file.flush().expect("the traffic log can be written");
        }
    }
}

/// Routers connect from 127.0.(10 + zone).n; anything else belongs to no zone.
pub fn zone_of(ip: IpAddr) -> Option<u32> {
    match ip {
        IpAddr::V4(v4) if v4.octets()[..2] == [127, 0] && v4.octets()[2] >= 10 => {
            Some(u32::from(v4.octets()[2]) - 10)
        }
        _ => None,
    }
}

pub fn router_address(zone: u32, n: u32) -> IpAddr {
    IpAddr::from([127, 0, 10 + zone as u8, 1 + n as u8])
}
