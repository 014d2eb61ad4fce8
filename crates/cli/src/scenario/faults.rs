//! Injects the faults of a scenario into the emulators and the routers.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use cedarpulley_emulators::lock;
use cedarpulley_emulators::worker::Worker;
use cedarpulley_errors::Remedy;
use cedarpulley_test_cluster::cluster::Cluster;
use cedarpulley_test_cluster::error::ClusterError;
use cedarpulley_test_cluster::links::LinkFault;
use cedarpulley_test_cluster::router_process::StateAtStart;
use cedarpulley_test_cluster::scenario::{FaultKind, ScenarioFault};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Time from the crash of a worker until it is removed from the endpoint list.
const CRASH_DETECTION_DELAY: Duration = Duration::from_millis(800);
/// How long a worker keeps running after the endpoint list has published that it drains.
const DRAIN_DURATION: Duration = Duration::from_secs(2);

/// One fault of a scenario, with the workers that it affects.
pub struct FaultInjection<'a> {
    cluster: &'a Arc<Cluster>,
    fault: &'a ScenarioFault,
    zones: &'a [String],
    duration: Duration,
    /// Indices of the affected workers.
    affected: Vec<usize>,
    random: Pcg64Mcg,
}

impl<'a> FaultInjection<'a> {
    /// Draws the affected workers at random, unless the scenario names them.
    pub fn new(
        cluster: &'a Arc<Cluster>,
        fault: &'a ScenarioFault,
        zones: &'a [String],
        mut random: Pcg64Mcg,
    ) -> Self {
        let affected = (0..cluster.workers.len())
            .filter(|worker| {
                fault.which.contains(worker)
                    || fault.which.is_empty() && random.random::<f64>() < fault.part
            })
            .collect();
        FaultInjection {
            cluster,
            fault,
            zones,
            duration: Duration::from_secs_f64(fault.for_s),
            affected,
            random,
        }
    }

    /// Starts the fault and, if it has a duration, ends it.
    pub async fn inject(mut self) {
        match self.fault.what {
            FaultKind::Hang => {
                self.apply_for_duration(
                    |worker| worker.set_hanging(true),
                    |worker| worker.set_hanging(false),
                )
                .await;
            }
            FaultKind::Slow => {
                let factor = self.fault.size;
                self.apply_for_duration(
                    |worker| worker.set_slowdown(factor),
                    |worker| worker.set_slowdown(1.0),
                )
                .await;
            }
            FaultKind::ClassFail => {
                let trigger = self.fault.trigger.as_deref();
                self.apply_for_duration(
                    |worker| worker.stop_answering(trigger),
                    |worker| worker.stop_answering(None),
                )
                .await;
            }
            FaultKind::Pauses => self.pause_workers_repeatedly().await,
            FaultKind::Crash => self.crash_workers().await,
            FaultKind::Preempt => self.preempt_workers().await,
            FaultKind::DrainWave => self.drain_workers_in_turn().await,
            FaultKind::ZoneCut => self.cut_zone().await,
            FaultKind::Flush => self.affected_workers().for_each(Worker::evict_all_idle),
            FaultKind::StoreSlow => self.slow_store().await,
            FaultKind::ListLate => self.delay_list().await,
            FaultKind::ChannelDrop => self.drop_channels(),
            FaultKind::ConnectionDrop => self.drop_connections(),
            FaultKind::BrokerRestart => self.restart_broker().await,
            FaultKind::BrokerBlock => self.block_broker().await,
            FaultKind::RouterKill => self.kill_routers().await,
            FaultKind::RouterPause => self.pause_routers().await,
            FaultKind::StaleState => self.restore_older_state().await,
            FaultKind::PeerCut | FaultKind::RegionCut => self.partition().await,
            // These faults are part of the generated arrivals.
            FaultKind::HotFunction
            | FaultKind::Scan
            | FaultKind::TrafficShift
            | FaultKind::RetryAbuse
            | FaultKind::Flood => {}
        }
    }

    fn affected_workers(&self) -> impl Iterator<Item = &Worker> {
        self.affected
            .iter()
            .map(|worker| &self.cluster.workers[*worker])
    }

    /// Calls `start` for each affected worker, and `end` when the duration of the fault is over.
    async fn apply_for_duration(&self, start: impl Fn(&Worker), end: impl Fn(&Worker)) {
        self.affected_workers().for_each(start);
        Timer::after(self.duration).await;
        self.affected_workers().for_each(end);
    }

    /// Repeatedly pauses the workers for `size` seconds and lets them run for twice as long.
    async fn pause_workers_repeatedly(&self) {
        let until = Instant::now() + self.duration;
        while Instant::now() < until {
            self.affected_workers()
                .for_each(|worker| worker.set_paused(true));
            Timer::after(Duration::from_secs_f64(self.fault.size)).await;
            self.affected_workers()
                .for_each(|worker| worker.set_paused(false));
            Timer::after(Duration::from_secs_f64(self.fault.size * 2.0)).await;
        }
    }

    async fn crash_workers(&self) {
        self.affected_workers().for_each(Worker::crash);
        Timer::after(CRASH_DETECTION_DELAY.min(self.duration)).await;
        self.remove_from_list();
        Timer::after(self.duration.saturating_sub(CRASH_DETECTION_DELAY)).await;
        self.restart_workers();
    }

    /// Publishes the workers as draining, crashes them after the notice period (`size`, in milliseconds), and restarts
    /// them one duration of the fault later.
    async fn preempt_workers(&self) {
        for &worker in &self.affected {
            self.cluster
                .update_endpoint(worker, |entry| entry.draining = true);
        }
        Timer::after(Duration::from_secs_f64(self.fault.size / 1e3)).await;
        self.affected_workers().for_each(Worker::crash);
        self.remove_from_list();
        Timer::after(self.duration).await;
        self.restart_workers();
    }

    fn remove_from_list(&self) {
        self.affected
            .iter()
            .for_each(|worker| self.cluster.withdraw_worker(*worker));
    }

    fn restart_workers(&self) {
        self.affected
            .iter()
            .for_each(|worker| self.cluster.restart_worker(*worker));
    }

    /// Drains and restarts each affected worker; the workers begin to drain `size` seconds apart.
    async fn drain_workers_in_turn(&self) {
        for &worker in &self.affected {
            let (cluster, downtime) = (self.cluster.clone(), self.duration);
            let drain_and_restart = async move {
                cluster.update_endpoint(worker, |entry| entry.draining = true);
                Timer::after(DRAIN_DURATION / 2).await;
                cluster.workers[worker].drain();
                Timer::after(DRAIN_DURATION / 2).await;
                cluster.workers[worker].crash();
                cluster.withdraw_worker(worker);
                Timer::after(downtime).await;
                cluster.restart_worker(worker);
            };
            let executor = &self.cluster.host.executor;
            executor.spawn(drain_and_restart).detach();
            Timer::after(Duration::from_secs_f64(self.fault.size)).await;
        }
    }

    /// Partitions the workers in the zone from all routers outside of it.
    async fn cut_zone(&self) {
        let zone = self
            .fault
            .zone
            .as_ref()
            .and_then(|name| self.zones.iter().position(|zone| zone == name));
        let Some(zone) = zone else { return };
        let entries = lock(&self.cluster.rows).clone();
        let workers = &self.cluster.workers;
        let inside: Vec<usize> = (0..workers.len())
            .filter(|worker| entries[*worker].zone == self.zones[zone])
            .collect();
        inside
            .iter()
            .for_each(|worker| workers[*worker].partition_from(!(1 << zone)));
        Timer::after(self.duration).await;
        inside
            .iter()
            .for_each(|worker| workers[*worker].partition_from(0));
    }

    async fn slow_store(&self) {
        self.cluster.store.set_slowdown(self.fault.size);
        Timer::after(self.duration).await;
        self.cluster.store.set_slowdown(1.0);
    }

    async fn delay_list(&self) {
        let delay = Duration::from_secs_f64(self.fault.size);
        self.cluster.list.set_delay(delay);
        Timer::after(self.duration).await;
        self.cluster.list.set_delay(Duration::ZERO);
    }

    async fn restart_broker(&self) {
        if let Err(error) = self.cluster.broker.restart(self.duration).await {
            tracing::error!(cause = %error, "the broker could not be restarted");
        }
    }

    async fn block_broker(&self) {
        self.cluster.broker.set_blocked(true);
        Timer::after(self.duration).await;
        self.cluster.broker.set_blocked(false);
    }

    fn drop_channels(&mut self) {
        let affected = self.draw_clients();
        self.cluster
            .broker
            .drop_channels(|client| affected[last_octet(client)]);
    }

    fn drop_connections(&mut self) {
        let affected = self.draw_clients();
        self.cluster.broker.drop_connections(|client| {
            client.starts_with("127.0.1") && affected[last_octet(client)]
        });
    }

    /// Draws whether the fault affects a client of the broker, for each last octet of a client's address.
    fn draw_clients(&mut self) -> Vec<bool> {
        (0..256)
            .map(|_| self.random.random::<f64>() < self.fault.part)
            .collect()
    }

    async fn kill_routers(&self) {
        let (cluster, routers) = (self.cluster, &self.fault.which);
        routers
            .iter()
            .for_each(|router| cluster.kill_router(*router));
        Timer::after(self.duration).await;
        routers
            .iter()
            .for_each(|router| log_failure(cluster.start_router(*router, StateAtStart::Kept)));
    }

    async fn pause_routers(&self) {
        let (cluster, routers) = (self.cluster, &self.fault.which);
        routers
            .iter()
            .for_each(|router| log_failure(cluster.pause_router(*router, true)));
        Timer::after(self.duration).await;
        routers
            .iter()
            .for_each(|router| log_failure(cluster.pause_router(*router, false)));
    }

    /// Copies the state of the routers when the fault starts, kills the routers after half of its duration, and starts
    /// them with the copied state at its end.
    async fn restore_older_state(&self) {
        let (cluster, routers) = (self.cluster, &self.fault.which);
        for &router in routers {
            let copied =
                lock(&cluster.routers[router]).copy_state(&self.older_state_folder(router));
            log_failure(copied.map_err(|source| ClusterError::Router {
                number: router,
                source,
            }));
        }
        Timer::after(self.duration / 2).await;
        routers
            .iter()
            .for_each(|router| cluster.kill_router(*router));
        Timer::after(self.duration / 2).await;
        for &router in routers {
            let copy = self.older_state_folder(router);
            log_failure(cluster.start_router(router, StateAtStart::Older(&copy)));
        }
    }

    /// The folder for the copied state of a router.
    fn older_state_folder(&self, router: usize) -> PathBuf {
        self.cluster
            .folder()
            .join(format!("routers/older-state-{router}"))
    }

    /// Holds or loses the messages on the links of a region, or between the routers of the group.
    async fn partition(&self) {
        let fault = self.fault;
        let set_links = |link_fault: LinkFault| match (fault.what, &fault.region) {
            (FaultKind::RegionCut, Some(region)) => {
                self.cluster.set_region_fault(region, link_fault)
            }
            _ => self
                .cluster
                .set_peer_faults(&fault.which, fault.one_way, link_fault),
        };
        set_links(if fault.lost {
            LinkFault::Lost
        } else {
            LinkFault::Held
        });
        Timer::after(self.duration).await;
        set_links(LinkFault::Pass);
    }
}

/// The last octet of an IPv4 address; 0 if there is none.
fn last_octet(address: &str) -> usize {
    address
        .rsplit('.')
        .next()
        .and_then(|octet| octet.parse::<u8>().ok())
        .unwrap_or(0) as usize
}

/// Logs that a fault could not be injected; the scenario continues, and its invariants are checked.
fn log_failure(result: Result<(), ClusterError>) {
    if let Err(error) = result {
        tracing::error!(cause = error.line(), "a fault could not be injected");
    }
}
