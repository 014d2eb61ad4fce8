//! The configuration of a peer group.

use std::net::SocketAddr;
use std::path::PathBuf;

use cedarpulley::interface::Micros;
use cedarpulley_membership::{self as membership, Group};
use cedarpulley_replica::{self as replica, SafetyCheck};

/// Configuration of the group and of this router's place in it. All times are in microseconds.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Address that members and operators connect to.
    pub listen: SocketAddr,
    /// The group's members, and which of them this router is.
    pub group: Group,
    /// Address of each member as reached from this router, by member index.
    pub addresses: Vec<SocketAddr>,
    /// Folder of the store; absent: nothing outlasts the process.
    pub state_folder: Option<PathBuf>,
    /// Between two probes of other members.
    pub probe_interval: Micros,
    /// A probe that is not answered in this time has failed.
    pub probe_timeout: Micros,
    /// A suspected member that does not refute it in this time is considered dead.
    pub suspicion_timeout: Micros,
    /// A change in who is alive is acted upon only after it has lasted this long.
    pub belief_delay: Micros,
    /// How long a record is retained after its last change.
    pub retention: Micros,
    /// How long the replication of a record is waited for.
    pub replication_timeout: Micros,
    /// Bytes per second sent to a member that lacks records.
    pub catch_up_bytes_per_s: u64,
    /// Records retained at once.
    pub max_records: usize,
}

impl PeerSettings {
    /// How long a permission to send an invocation stays valid. It ends before another member can consider
    /// this one dead and take its invocations over.
    pub fn send_lease(&self) -> Micros {
        self.suspicion_timeout / 2
    }

    /// Settings of the failure detector. `seed`: of its random draws.
    pub(crate) fn membership_terms(&self, seed: u64) -> membership::FailureDetectorSettings {
        membership::FailureDetectorSettings {
            probe_interval: self.probe_interval,
            answer_timeout: self.probe_timeout,
            suspicion_timeout: self.suspicion_timeout,
            seed,
        }
    }

    /// Settings of the replicated state. `seed`: of its random draws; `disabled`: a guard that a test switches off.
    pub(crate) fn replica_terms(
        &self,
        seed: u64,
        disabled: Option<SafetyCheck>,
    ) -> replica::ReplicaSettings {
        replica::ReplicaSettings {
            max_records: self.max_records,
            catch_up_bytes_per_s: self.catch_up_bytes_per_s,
            is_persistent: self.state_folder.is_some(),
            disabled_check: disabled,
            ..replica::ReplicaSettings::with_defaults(
                self.retention,
                self.replication_timeout,
                seed,
            )
        }
    }
}
