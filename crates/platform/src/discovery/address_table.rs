//! [`AddressTable`]: to which worker of the list an address belongs.
//!
//! What an address proves once the process there, or its entry, has gone. The rules that this type keeps:
//!
//! 1. An address belongs to one worker: the one that was listed in service there last. A worker that another one has
//!    followed at its address has gone, whether discovery has told so or not, and whatever is told of it later, until it
//!    is listed at another address. Workers that one event lists at the same address share it: discovery says so.
//! 2. A worker that is listed with another address or another start time has another process. Connections that were open
//!    before lead to the earlier process, or to nothing.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use cedarpulley::interface::Micros;

/// Where a worker's process listens, and when it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WorkerProcess {
    pub address: SocketAddr,
    /// In microseconds of the router's clock; `None` if it is not known.
    pub started_at: Option<Micros>,
}

/// The effect of an entry on the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Effect {
    /// The worker is new, or its process is the same as before.
    Listed,
    /// The worker has another process than before.
    ProcessReplaced,
    /// The worker has followed another one at its address.
    Follows {
        /// The worker that has gone.
        previous: String,
        /// Whether the worker had another process before.
        process_replaced: bool,
    },
    /// Another worker has followed this one at its address, so it has gone.
    Followed,
}

/// The addresses of all workers in the list.
#[derive(Debug, Default)]
pub(super) struct AddressTable {
    processes: BTreeMap<String, WorkerProcess>,
    /// The worker to which each address belongs.
    owners: HashMap<SocketAddr, String>,
    /// Workers that others have followed, with their last addresses.
    followed: HashMap<String, SocketAddr>,
}

impl AddressTable {
    /// The address of a worker.
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.processes.get(id).map(|process| process.address)
    }

    /// Number of workers with an address.
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// Records the entry of a worker that is not gone. `named`: all workers that the event names.
    pub fn list(
        &mut self,
        id: &str,
        process: WorkerProcess,
        is_in_service: bool,
        named: &HashSet<String>,
    ) -> Effect {
        let address = process.address;
        let previous = self.owner_beside(id, address, named);
        let was_followed = self.followed.get(id) == Some(&address);
        let is_new_there = self.address(id) != Some(address) && !was_followed;
        if previous.is_some() && !(is_in_service && is_new_there) {
            self.remove(id);
            self.followed.insert(id.to_owned(), address);
            return Effect::Followed;
        }
        let process_replaced = self.set(id, process);
        match previous {
            Some(previous) => {
                self.remove(&previous);
                self.owners.insert(address, id.to_owned());
                self.followed.insert(previous.clone(), address);
                Effect::Follows {
                    previous,
                    process_replaced,
                }
            }
            None if process_replaced => Effect::ProcessReplaced,
            None => Effect::Listed,
        }
    }

    /// The other worker to which the address belongs, unless the same event names it, too.
    fn owner_beside(
        &self,
        id: &str,
        address: SocketAddr,
        named: &HashSet<String>,
    ) -> Option<String> {
        let owner = self.owners.get(&address)?;
        (owner != id && !named.contains(owner)).then(|| owner.clone())
    }

    /// Sets the process of a worker; returns whether it had another one.
    fn set(&mut self, id: &str, process: WorkerProcess) -> bool {
        let replaced = self
            .processes
            .get(id)
            .is_some_and(|known| *known != process);
        if replaced {
            self.remove(id);
        }
        self.followed.remove(id);
        self.processes.insert(id.to_owned(), process);
        self.owners.insert(process.address, id.to_owned());
        replaced
    }

    /// Removes a worker that is gone; returns whether it had an address.
    pub fn remove(&mut self, id: &str) -> bool {
        self.followed.remove(id);
        let Some(process) = self.processes.remove(id) else {
            return false;
        };
        if self
            .owners
            .get(&process.address)
            .is_some_and(|owner| owner == id)
        {
            self.owners.remove(&process.address);
        }
        true
    }

    /// Removes the workers that a complete list does not name, and returns those that had an address.
    pub fn retain(&mut self, named: &HashSet<String>) -> Vec<String> {
        self.followed.retain(|id, _| named.contains(id));
        let gone: Vec<String> = self
            .processes
            .keys()
            .filter(|id| !named.contains(*id))
            .cloned()
            .collect();
        for id in &gone {
            self.remove(id);
        }
        gone
    }
}
