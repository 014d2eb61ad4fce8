//! Resources that processes and groups of routers have used so far.

use std::net::SocketAddr;

use cedarpulley_test_cluster::router_state::fetch_state;
use serde_json::Value;

/// Resource usage of a process since its start.
#[derive(Clone, Copy)]
pub struct ProcessUsage {
    /// CPU time of all threads in user and kernel mode, in microseconds.
    pub cpu_us: u64,
    /// Resident memory at the time of the reading, in KiB.
    pub resident_kb: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process; `None` if it cannot be read, for example because the process does not exist.
    pub fn of(pid: u32) -> Option<Self> {
        let stat = procfs::process::Process::new(pid as i32)
            .and_then(|process| process.stat())
            .ok()?;
        Some(ProcessUsage {
            cpu_us: (stat.utime + stat.stime) * 1_000_000 / procfs::ticks_per_second(),
            resident_kb: stat.rss * procfs::page_size() / 1024,
        })
    }
}

/// CPU time between two readings, in microseconds; 0 if a reading failed.
pub fn cpu_between_us(before: Option<ProcessUsage>, after: Option<ProcessUsage>) -> u64 {
    before
        .zip(after)
        .map_or(0, |(before, after)| after.cpu_us - before.cpu_us)
}

/// Traffic that all members of a group have sent to each other so far.
#[derive(Clone, Copy, Default)]
pub struct GroupTraffic {
    /// Bytes sent.
    pub bytes: u64,
    /// POST requests sent.
    pub posts: u64,
}

impl GroupTraffic {
    /// Sums the traffic of the members whose state can be fetched; the others count as 0.
    pub fn of(members: &[SocketAddr]) -> Self {
        let states = members
            .iter()
            .filter_map(|member| fetch_state(*member).ok());
        let count = |state: &Value, name: &str| state["counts"][name].as_u64().unwrap_or(0);
        states.fold(GroupTraffic::default(), |sum, state| GroupTraffic {
            bytes: sum.bytes + count(&state, "bytes_sent"),
            posts: sum.posts + count(&state, "posts"),
        })
    }

    /// The traffic since `earlier`.
    pub fn since(self, earlier: GroupTraffic) -> GroupTraffic {
        GroupTraffic {
            bytes: self.bytes.saturating_sub(earlier.bytes),
            posts: self.posts.saturating_sub(earlier.posts),
        }
    }
}
