//! The configuration of a peer group.

use std::net::SocketAddr;
use std::path::PathBuf;

use cedarpulley::interface::Micros;
use cedarpulley_membership::Group;

/// Configuration of the group and of this router's place in it. All times are in microseconds.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    pub listen: SocketAddr,
    pub group: Group,
    /// Address of each member as reached from this router, by member index.
    pub addresses: Vec<SocketAddr>,
    pub state_folder: Option<PathBuf>,
    pub probe_interval: Micros,
    pub probe_timeout: Micros,
    pub suspicion_timeout: Micros,
    /// A change in who is alive is acted upon only after it has lasted this long.
    pub belief_delay: Micros,
    pub retention: Micros,
    pub replication_timeout: Micros,
    pub catch_up_bytes_per_s: u64,
    pub max_records: usize,
}

impl PeerSettings {
    /// How long a permission to send an invocation stays valid. It ends before another member can consider
    /// this one dead and take its invocations over.
    pub fn send_lease(&self) -> Micros {
        self.suspicion_timeout / 2
    }
}
