//! Settings of a peer group and its members.

use std::net::SocketAddr;
use std::path::PathBuf;

use cedarpulley::interface::Micros;
use cedarpulley_membership::{self as membership, Group};
use cedarpulley_replica::{self as replica, SafetyCheck};

/// Settings of the group and of this router as its member. All times are in microseconds.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Address on which this router accepts connections of members and operators.
    pub listen: SocketAddr,
    /// The members of the group, and which of them this router is.
    pub group: Group,
    /// Address of each member as reached from this router, by member index.
    pub addresses: Vec<SocketAddr>,
    /// Folder of the store; if absent, no state is restored after a restart.
    pub state_folder: Option<PathBuf>,
    /// Time between two probes of other members.
    pub probe_interval: Micros,
    /// Time limit for the answer to a probe, after which the probe has failed.
    pub probe_timeout: Micros,
    /// Time after which a suspected member is considered dead unless it refutes the suspicion.
    pub suspicion_timeout: Micros,
    /// How long a change of the members that are detected as alive must last before the router acts on it.
    pub stable_view_delay: Micros,
    /// How long a record is retained after its last change.
    pub retention: Micros,
    /// Time limit for the replication of a record to a majority.
    pub replication_timeout: Micros,
    /// Limit on the bytes per second that are sent to a member that lacks records.
    pub catch_up_bytes_per_s: u64,
    /// Limit on the number of retained records.
    pub max_records: usize,
}

impl PeerSettings {
    /// How long a permission to dispatch an invocation stays valid, in microseconds. It ends before another member can
    /// consider this one dead and take over its invocations.
    pub fn send_lease(&self) -> Micros {
        self.suspicion_timeout / 2
    }

    /// Settings of the failure detector. `seed`: seed of its random numbers.
    pub(crate) fn membership_settings(&self, seed: u64) -> membership::FailureDetectorSettings {
        membership::FailureDetectorSettings {
            probe_interval: self.probe_interval,
            answer_timeout: self.probe_timeout,
            suspicion_timeout: self.suspicion_timeout,
            seed,
        }
    }

    /// Settings of the replicated state. `seed`: seed of its random numbers; `disabled_check`: a safety check that a test
    /// switches off.
    pub(crate) fn replica_settings(
        &self,
        seed: u64,
        disabled_check: Option<SafetyCheck>,
    ) -> replica::ReplicaSettings {
        replica::ReplicaSettings {
            max_records: self.max_records,
            catch_up_bytes_per_s: self.catch_up_bytes_per_s,
            is_persistent: self.state_folder.is_some(),
            disabled_check,
            ..replica::ReplicaSettings::with_defaults(
                self.retention,
                self.replication_timeout,
                seed,
            )
        }
    }
}
