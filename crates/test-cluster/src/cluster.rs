//! A cluster: emulators in this process, routers as processes and, if the scenario has regions, relays between them.
//! [`Cluster::prepare`] sets up the cluster and [`Cluster::start_routers`] starts the routers. Then faults can be
//! injected, and [`Cluster::verdict`] checks the traffic. Dropping the cluster stops all of its components.
//!
//! Mechanisms:
//! 1. Each link of a router (to the broker, the endpoint list, each worker and each other router) has its own relay.
//!    The endpoint list publishes to each router the addresses of that router's relays; the logs contain the addresses
//!    of the workers.
//! 2. A fault on a router or a link is logged before it begins and after it has ended, so that the invariant checker
//!    can take it into account.

mod router_settings;
mod rules;
mod setup;

pub use rules::rule_settings;

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use cedarpulley_emulators::broker::Broker;
use cedarpulley_emulators::endpoint_list::{EndpointList, EndpointRecord};
use cedarpulley_emulators::store::Store;
use cedarpulley_emulators::worker::Worker;
use cedarpulley_emulators::{Host, Log, lock};
use cedarpulley_errors::Remedy;
use cedarpulley_invariant_checker::Verdict;
use serde_json::json;

use crate::error::ClusterError;
use crate::links::{LinkFault, Links};
use crate::relay::{Relay, ReservedPort};
use crate::router_process::{RouterProcess, StateAtStart};
use crate::router_state::fetch_state;
use crate::scenario::Scenario;
use crate::until;

/// Time within which the routers have to consume from the broker, and their group has to be ready to vote, after the
/// start. Otherwise the scenario is not run.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Name of the broker in the logs and in [`Links`].
pub const BROKER: &str = "broker";
/// Name of the endpoint list in the logs and in [`Links`].
pub const LIST: &str = "list";
/// Name of the file with upgrade orders, in the folder of the routers' settings.
const UPGRADE_FILE: &str = "upgrade.toml";

/// How the routers of a cluster are run.
pub struct ClusterOptions {
    /// The folder for traffic logs, checker rules, settings files and the logs of the routers.
    pub folder: PathBuf,
    /// The program of the routers.
    pub program: PathBuf,
    /// Kind of invariant that one router or all routers violate on purpose; absent for none.
    pub tamper: Option<String>,
    /// Whether the routers write traces and usage ledgers. An earlier build may not support these settings.
    pub trace: bool,
}

/// A cluster of routers and emulators.
pub struct Cluster {
    /// The environment that the emulators run in.
    pub host: Host,
    /// The emulated broker.
    pub broker: Broker,
    /// The emulated function store.
    pub store: Store,
    /// The emulated endpoint list.
    pub list: EndpointList,
    /// The emulated workers, by number.
    pub workers: Vec<Worker>,
    /// The entries of the workers in the endpoint list, by number.
    pub rows: Mutex<Vec<EndpointRecord>>,
    /// The faults on links.
    pub links: Links,
    /// The log of faults, which the invariant checker reads.
    pub log: Log,
    /// The routers, by number.
    pub routers: Vec<Mutex<RouterProcess>>,
    /// Source addresses of the routers, by number.
    addresses: Vec<IpAddr>,
    /// Regions of the routers, by number.
    regions: Vec<String>,
    /// Regions of the zones, by name of the zone.
    zone_regions: HashMap<String, String>,
    kserve_ports: Vec<ReservedPort>,
    /// Empty if the routers form no group.
    peer_ports: Vec<ReservedPort>,
    _relays: Vec<Relay>,
    folder: PathBuf,
    /// Number of consumers at the broker once all routers are ready.
    expected_consumers: usize,
}

fn worker_name(number: usize) -> String {
    format!("worker-{number:02}")
}

/// Name of the queue for the triggers of an account.
pub(crate) fn queue(account: &str) -> String {
    format!("triggers-{account}")
}

impl Cluster {
    /// Sets up the cluster without starting the routers. Files of an earlier run in the folder are removed.
    ///
    /// # Errors
    /// Fails if the folder cannot be written to, or loopback addresses cannot be bound.
    pub fn prepare(scenario: &Scenario, options: ClusterOptions) -> Result<Cluster, ClusterError> {
        let folder = options.folder.display().to_string();
        setup::set_up(scenario, &rule_settings(scenario), options)
            .map_err(|source| ClusterError::Setup { folder, source })
    }

    /// Starts all routers and waits until they consume from the broker and their group may vote.
    ///
    /// # Errors
    /// Fails if a process cannot be started, or the routers are not ready in time.
    pub fn start_routers(&self) -> Result<(), ClusterError> {
        for number in 0..self.routers.len() {
            self.start_router(number, StateAtStart::Kept)?;
        }
        let consuming = || self.broker.consumers() >= self.expected_consumers;
        if !until(READY_TIMEOUT, consuming) {
            return Err(ClusterError::RoutersNotReady);
        }
        if !until(READY_TIMEOUT, || self.all_may_vote()) {
            return Err(ClusterError::GroupNotReady);
        }
        Ok(())
    }

    /// Whether each router of the group may vote; true without a group.
    pub fn all_may_vote(&self) -> bool {
        (0..self.peer_ports.len()).all(|number| self.may_vote(number))
    }

    /// Whether a router may vote, which requires that it has all records of its earlier promises.
    pub fn may_vote(&self, number: usize) -> bool {
        self.state(number).is_some_and(|s| s["memory"] == "whole")
    }

    /// The response of a router to `GET /state`; absent if the request fails.
    pub fn state(&self, number: usize) -> Option<serde_json::Value> {
        fetch_state(self.peer_address(number)?).ok()
    }

    /// Name of a router in [`Links`] and in the logs, which is its source address.
    pub fn router_name(&self, number: usize) -> String {
        self.addresses[number].to_string()
    }

    /// Name of a worker in [`Links`] and in the logs.
    pub fn worker_name(&self, number: usize) -> String {
        worker_name(number)
    }

    /// Addresses that the routers listen on for KServe v2, whether or not the scenario uses it.
    pub fn kserve_addresses(&self) -> Vec<SocketAddr> {
        self.kserve_ports.iter().map(|r| r.address).collect()
    }

    /// The address that a router listens on for its peers, for [`fetch_state`]; absent without a group.
    pub fn peer_address(&self, number: usize) -> Option<SocketAddr> {
        self.peer_ports.get(number).map(|r| r.address)
    }

    /// Starts a router if it is not running.
    ///
    /// # Errors
    /// Fails if its process cannot be started.
    pub fn start_router(&self, number: usize, state: StateAtStart) -> Result<(), ClusterError> {
        let mut router = lock(&self.routers[number]);
        // Two overlapping faults may have killed the router, and both restart it; the second restart has no effect.
        if router.is_up() {
            return Ok(());
        }
        self.log
            .write("router-up", json!({"address": self.router_name(number)}));
        router
            .start(state)
            .map_err(|source| ClusterError::Router { number, source })
    }

    /// Kills a router if it is running.
    pub fn kill_router(&self, number: usize) {
        let mut router = lock(&self.routers[number]);
        if router.is_up() {
            self.log
                .write("router-down", json!({"address": self.router_name(number)}));
            router.kill();
        }
    }

    /// Pauses or resumes a router.
    ///
    /// # Errors
    /// Fails if its process cannot be signalled, or does not stop in time.
    pub fn pause_router(&self, number: usize, on: bool) -> Result<(), ClusterError> {
        let mut router = lock(&self.routers[number]);
        if !router.is_up() || router.is_paused() == on {
            return Ok(());
        }
        let log_change = || {
            self.log.write(
                "router-paused",
                json!({"address": self.router_name(number), "on": on}),
            )
        };
        let failed = |source| ClusterError::Router { number, source };
        if on {
            log_change();
            return router.pause().map_err(failed);
        }
        router.resume().map_err(failed)?;
        log_change();
        Ok(())
    }

    /// The file for upgrade orders; the settings of the routers refer to it as `upgrade.toml`.
    pub fn upgrade_file(&self) -> PathBuf {
        self.folder.join("routers").join(UPGRADE_FILE)
    }

    /// Replaces the upgrade orders atomically. Routers read them when they start or receive a reload signal.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn write_upgrade(&self, text: &str) -> Result<(), ClusterError> {
        let (file, new) = (
            self.upgrade_file(),
            self.upgrade_file().with_extension("new"),
        );
        let written = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, &file));
        written.map_err(ClusterError::file(&file))
    }

    /// Signals a router, if it is running, to read the upgrade orders again.
    ///
    /// # Errors
    /// Fails if the router cannot be signalled.
    pub fn signal_reload(&self, number: usize) -> Result<(), ClusterError> {
        let router = lock(&self.routers[number]);
        if !router.is_up() {
            return Ok(());
        }
        router
            .request_reload()
            .map_err(|source| ClusterError::Router { number, source })
    }

    /// Writes upgrade orders and signals all routers. The invariant checker computes the capacity floors of these
    /// models as a share of their current capacity.
    ///
    /// # Errors
    /// Fails if the file cannot be written or a router cannot be signalled.
    pub fn order_upgrade(&self, models: &[&str], text: &str) -> Result<(), ClusterError> {
        self.write_upgrade(text)?;
        self.log.write("upgrade", json!({"models": models}));
        (0..self.routers.len()).try_for_each(|number| self.signal_reload(number))
    }

    /// Logs that the capacity floors of these models do not have to hold any longer.
    pub fn end_upgrade(&self, models: &[&str]) {
        self.log.write("upgrade-over", json!({"models": models}));
    }

    /// Sets a fault on all links between the given routers. With `one_way`, only the directions from the first of
    /// them to the others get the fault.
    pub fn set_peer_faults(&self, routers: &[usize], one_way: bool, fault: LinkFault) {
        for (position, one) in routers.iter().enumerate() {
            for other in &routers[position + 1..] {
                if one_way && position == 0 {
                    self.links
                        .set(&self.router_name(*one), &self.router_name(*other), fault);
                } else if !one_way {
                    self.links
                        .both(&self.router_name(*one), &self.router_name(*other), fault);
                }
            }
        }
    }

    /// Sets a fault on both directions of all links that cross the border of a region. Broker, endpoint list and store
    /// belong to no region.
    pub fn set_region_fault(&self, region: &str, fault: LinkFault) {
        let rows = lock(&self.rows).clone();
        for (router, own) in self.regions.iter().enumerate() {
            for (worker, row) in rows.iter().enumerate() {
                let in_region = self
                    .zone_regions
                    .get(&row.zone)
                    .is_some_and(|r| r == region);
                if in_region != (own == region) {
                    self.links
                        .both(&self.router_name(router), &worker_name(worker), fault);
                }
            }
            for (peer, other) in self.regions.iter().enumerate().skip(router + 1) {
                if (own == region) != (other == region) {
                    self.links
                        .both(&self.router_name(router), &self.router_name(peer), fault);
                }
            }
        }
    }

    /// Changes the entry of a worker in the endpoint list.
    pub fn update_endpoint(&self, worker: usize, change: impl FnOnce(&mut EndpointRecord)) {
        let mut rows = lock(&self.rows);
        change(&mut rows[worker]);
        self.list
            .publish(&worker_name(worker), rows[worker].clone());
    }

    /// Removes a worker from the endpoint list.
    pub fn withdraw_worker(&self, worker: usize) {
        self.list.remove(&worker_name(worker));
    }

    /// Restarts a worker that is down and publishes its new process.
    pub fn restart_worker(&self, worker: usize) {
        if self.workers[worker].is_up() || self.workers[worker].restart().is_err() {
            return;
        }
        let (start, started_us) = (
            self.workers[worker].starts(),
            self.workers[worker].started_us(),
        );
        self.update_endpoint(worker, |r| {
            (r.draining, r.start, r.started_us) = (false, start, started_us)
        });
    }

    /// Heals all links, resumes all routers and shuts them down; returns true if all of them exit gracefully
    /// within the duration `within`.
    pub fn stop(&self, within: Duration) -> bool {
        self.links.heal();
        for number in 0..self.routers.len() {
            if let Err(e) = self.pause_router(number, false) {
                tracing::error!("{}", e.line());
            }
        }
        for router in &self.routers {
            let _ = lock(router).terminate();
        }
        let deadline = Instant::now() + within;
        let mut graceful = true;
        for router in &self.routers {
            let mut router = lock(router);
            if router.is_up() {
                let ended = router.wait(deadline.saturating_duration_since(Instant::now()));
                graceful &= ended.is_some_and(|status| status.success());
            }
        }
        // Routers that did not end in time are killed, so that no process outlives the scenario.
        self.routers.iter().for_each(|r| lock(r).kill());
        graceful
    }

    /// Checks the invariants on the traffic that is logged so far.
    ///
    /// # Errors
    /// Fails if the logs cannot be read.
    pub fn verdict(&self) -> Result<Verdict, ClusterError> {
        self.log.flush();
        self.broker.flush();
        self.store.flush();
        self.list.flush();
        self.workers.iter().for_each(Worker::flush);
        Ok(cedarpulley_invariant_checker::check(&self.folder)?)
    }

    /// The folder that the cluster writes to.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}
