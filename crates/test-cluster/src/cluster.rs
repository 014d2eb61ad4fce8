//! A running cluster: emulators in this process, routers as processes, and relays between them where the scenario has
//! regions. [`Cluster::prepare`] sets all of it up, [`Cluster::start_routers`] starts the routers; then faults are put on
//! its parts, and [`Cluster::verdict`] has the traffic checked. Dropped, all of it is gone.
//!
//! Mechanisms:
//! 1. A router's links (to the broker, the worker list, each worker, each other router) have a relay each; the list
//!    publishes to every router its own relays' addresses, while the logs name the workers' own.
//! 2. What a router or a link was kept from is logged before it begins and after it has ended, for the checker.

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

/// Routers consume, and their group may vote, within this time of their start; else nothing is played.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Name of the broker in the logs and in the table of links.
pub const BROKER: &str = "broker";
/// Name of the worker list in the logs and in the table of links.
pub const LIST: &str = "list";
/// The file with upgrade orders, beside the routers' settings.
const UPGRADE: &str = "upgrade.toml";

/// How a cluster's routers are run.
pub struct ClusterOptions {
    /// The folder for logs of traffic, rules, settings and the routers' own logs.
    pub folder: PathBuf,
    /// The routers' program.
    pub program: PathBuf,
    /// Kind of invariant that one router, or all, break on purpose.
    pub tamper: Option<String>,
    /// They keep traces and usage ledgers; an earlier build may not know the settings for these.
    pub trace: bool,
}

/// A cluster.
pub struct Cluster {
    /// What the emulators run on.
    pub host: Host,
    /// The broker.
    pub broker: Broker,
    /// The function store.
    pub store: Store,
    /// The worker list.
    pub list: EndpointList,
    /// The workers, by number.
    pub workers: Vec<Worker>,
    /// What the list publishes of each worker, by number.
    pub rows: Mutex<Vec<EndpointRecord>>,
    /// The faults on links.
    pub links: Links,
    /// The log of faults, for the checker.
    pub log: Log,
    /// The routers, by number.
    pub routers: Vec<Mutex<RouterProcess>>,
    /// Source addresses of the routers, by number.
    addresses: Vec<IpAddr>,
    /// Regions of the routers, by number.
    regions: Vec<String>,
    /// Regions of the zones.
    zone_regions: HashMap<String, String>,
    kserve_ports: Vec<ReservedPort>,
    /// Empty if the routers form no group.
    peer_ports: Vec<ReservedPort>,
    _relays: Vec<Relay>,
    out: PathBuf,
    /// Consumers at the broker once all routers are ready.
    expected_consumers: usize,
}

fn worker_name(number: usize) -> String {
    format!("worker-{number:02}")
}

/// The queue of an account's triggers.
pub(crate) fn queue(account: &str) -> String {
    format!("triggers-{account}")
}

impl Cluster {
    /// Sets up all but the routers' processes. What an earlier run left in the folder is removed.
    ///
    /// # Errors
    /// When the folder cannot be written to, or loopback addresses cannot be bound.
    pub fn prepare(scenario: &Scenario, options: ClusterOptions) -> Result<Cluster, ClusterError> {
        let folder = options.folder.display().to_string();
        setup::set_up(scenario, &rule_settings(scenario), options)
            .map_err(|source| ClusterError::Setup { folder, source })
    }

    /// Starts all routers and waits until they consume and their group may vote.
    ///
    /// # Errors
    /// When a process cannot be started, or they are not ready in time.
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

    /// Whether each router that has a group may vote in it.
    pub fn all_may_vote(&self) -> bool {
        (0..self.peer_ports.len()).all(|number| self.may_vote(number))
    }

    /// Whether a router may vote: it has forgotten nothing that it promised.
    pub fn may_vote(&self, number: usize) -> bool {
        self.state(number).is_some_and(|s| s["memory"] == "whole")
    }

    /// A router's `/state`, if it answers.
    pub fn state(&self, number: usize) -> Option<serde_json::Value> {
        fetch_state(self.peer_address(number)?).ok()
    }

    /// A router's name in the table of links and in the logs: its source address.
    pub fn router_name(&self, number: usize) -> String {
        self.addresses[number].to_string()
    }

    /// A worker's name in the table of links and in the logs.
    pub fn worker_name(&self, number: usize) -> String {
        worker_name(number)
    }

    /// Where the routers listen for KServe v2, whether or not the scenario uses it.
    pub fn listens(&self) -> Vec<SocketAddr> {
        self.kserve_ports.iter().map(|r| r.address).collect()
    }

    /// Where a router listens for its peers; for [`crate::router_state::state`].
    pub fn peer_address(&self, number: usize) -> Option<SocketAddr> {
        self.peer_ports.get(number).map(|r| r.address)
    }

    /// Starts a router unless it runs.
    ///
    /// # Errors
    /// When its process cannot be started.
    pub fn start_router(&self, number: usize, state: StateAtStart) -> Result<(), ClusterError> {
        let mut router = lock(&self.routers[number]);
        // Two faults may have killed it; it is started once.
        if router.is_up() {
            return Ok(());
        }
        self.log
            .write("router-up", json!({"address": self.router_name(number)}));
        router
            .start(state)
            .map_err(|source| ClusterError::Router { number, source })
    }

    /// Kills a router if it runs.
    pub fn kill_router(&self, number: usize) {
        let mut router = lock(&self.routers[number]);
        if router.is_up() {
            self.log
                .write("router-down", json!({"address": self.router_name(number)}));
            router.kill();
        }
    }

    /// Pauses a router, or resumes it.
    ///
    /// # Errors
    /// When its process cannot be signalled, or does not stop in time.
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

    /// The file that upgrade orders are written to; the routers' settings name it `upgrade.toml`.
    pub fn upgrade_file(&self) -> PathBuf {
        self.out.join("routers").join(UPGRADE)
    }

    /// Replaces the upgrade orders atomically. Routers read them at their start, or when signalled.
    ///
    /// # Errors
    /// When the file cannot be written.
    pub fn write_upgrade(&self, text: &str) -> Result<(), ClusterError> {
        let (file, new) = (
            self.upgrade_file(),
            self.upgrade_file().with_extension("new"),
        );
        let written = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, &file));
        written.map_err(ClusterError::file(&file))
    }

    /// Signals a router to read its orders again, if it runs.
    ///
    /// # Errors
    /// When it cannot be signalled.
    pub fn signal_reload(&self, number: usize) -> Result<(), ClusterError> {
        let router = lock(&self.routers[number]);
        if !router.is_up() {
            return Ok(());
        }
        router
            .hang_up()
            .map_err(|source| ClusterError::Router { number, source })
    }

    /// Writes upgrade orders and signals all routers. For the checker, the capacity that these models have now is what
    /// their floors are a share of.
    ///
    /// # Errors
    /// When the file cannot be written or a router cannot be signalled.
    pub fn order_upgrade(&self, models: &[&str], text: &str) -> Result<(), ClusterError> {
        self.write_upgrade(text)?;
        self.log.write("upgrade", json!({"models": models}));
        (0..self.routers.len()).try_for_each(|number| self.signal_reload(number))
    }

    /// Tells the checker that these models' floors need to hold no longer.
    pub fn end_upgrade(&self, models: &[&str]) {
        self.log.write("upgrade-over", json!({"models": models}));
    }

    /// Sets a fault on the links between all routers that are named, or one way from the first to the others.
    pub fn set_peer_faults(&self, which: &[usize], one_way: bool, fault: LinkFault) {
        for (position, one) in which.iter().enumerate() {
            for other in &which[position + 1..] {
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

    /// Sets a fault on all links that cross a region's border, both ways. Broker, list and store are in no region.
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

    /// Changes what the list publishes of a worker.
    pub fn update_endpoint(&self, worker: usize, change: impl FnOnce(&mut EndpointRecord)) {
        let mut rows = lock(&self.rows);
        change(&mut rows[worker]);
        self.list
            .publish(&worker_name(worker), rows[worker].clone());
    }

    /// Withdraws a worker from the list.
    pub fn withdraw_worker(&self, worker: usize) {
        self.list.remove(&worker_name(worker));
    }

    /// Starts a worker that is down, and publishes its new process.
    pub fn restart_worker(&self, worker: usize) {
        if self.workers[worker].is_up() || self.workers[worker].restart().is_err() {
            return;
        }
        let (start, started_us) = (
            self.workers[worker].starts(),
            self.workers[worker].began_us(),
        );
        self.update_endpoint(worker, |r| {
            (r.draining, r.start, r.started_us) = (false, start, started_us)
        });
    }

    /// Heals all links, resumes all routers and shuts them down; true if each ended gracefully and in time.
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
        // No router outlives the scenario, however it went.
        self.routers.iter().for_each(|r| lock(r).kill());
        graceful
    }

    /// Has the invariants checked on what has crossed the sockets so far.
    ///
    /// # Errors
    /// When the logs cannot be read.
    pub fn verdict(&self) -> Result<Verdict, ClusterError> {
        self.log.flush();
        self.broker.flush();
        self.store.flush();
        self.list.flush();
        self.workers.iter().for_each(Worker::flush);
        Ok(cedarpulley_invariant_checker::check(&self.out)?)
    }

    /// The folder that the cluster writes to.
    pub fn folder(&self) -> &Path {
        &self.out
    }
}
