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

/// Until the endpoint list has noticed that a worker crashed.
const CRASH_DETECTED: Duration = Duration::from_millis(800);
/// How long a worker stays up after the endpoint list said that it drains.
const DRAIN_LASTS: Duration = Duration::from_secs(2);

/// One fault of a scenario, with what it strikes.
pub struct FaultInjection<'a> {
    cluster: &'a Arc<Cluster>,
    fault: &'a ScenarioFault,
    zones: &'a [String],
    lasts: Duration,
    /// Indices of the workers that it strikes.
    struck: Vec<usize>,
    random: Pcg64Mcg,
}

impl<'a> FaultInjection<'a> {
    /// Draws the workers that the fault strikes, unless the scenario names them.
    pub fn new(
        cluster: &'a Arc<Cluster>,
        fault: &'a ScenarioFault,
        zones: &'a [String],
        mut random: Pcg64Mcg,
    ) -> Self {
        let struck = (0..cluster.workers.len())
            .filter(|worker| {
                fault.which.contains(worker)
                    || fault.which.is_empty() && random.random::<f64>() < fault.part
            })
            .collect();
        FaultInjection {
            cluster,
            fault,
            zones,
            lasts: Duration::from_secs_f64(fault.for_s),
            struck,
            random,
        }
    }

    /// Begins the fault and, if it lasts, ends it.
    pub async fn inject(mut self) {
        match self.fault.what {
            FaultKind::Hang => {
                self.while_it_lasts(
                    |worker| worker.set_hanging(true),
                    |worker| worker.set_hanging(false),
                )
                .await;
            }
            FaultKind::Slow => {
                let factor = self.fault.size;
                self.while_it_lasts(
                    |worker| worker.set_slowdown(factor),
                    |worker| worker.set_slowdown(1.0),
                )
                .await;
            }
            FaultKind::ClassFail => {
                let trigger = self.fault.trigger.as_deref();
                self.while_it_lasts(
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
            FaultKind::Flush => self.struck_workers().for_each(Worker::evict_all_idle),
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
            // These are in the arrivals.
            FaultKind::HotFunction
            | FaultKind::Scan
            | FaultKind::TrafficShift
            | FaultKind::RetryAbuse
            | FaultKind::Flood => {}
        }
    }

    fn struck_workers(&self) -> impl Iterator<Item = &Worker> {
        self.struck
            .iter()
            .map(|worker| &self.cluster.workers[*worker])
    }

    async fn while_it_lasts(&self, begin: impl Fn(&Worker), end: impl Fn(&Worker)) {
        self.struck_workers().for_each(begin);
        Timer::after(self.lasts).await;
        self.struck_workers().for_each(end);
    }

    async fn pause_workers_repeatedly(&self) {
        let until = Instant::now() + self.lasts;
        while Instant::now() < until {
            self.struck_workers()
                .for_each(|worker| worker.set_paused(true));
            Timer::after(Duration::from_secs_f64(self.fault.size)).await;
            self.struck_workers()
                .for_each(|worker| worker.set_paused(false));
            Timer::after(Duration::from_secs_f64(self.fault.size * 2.0)).await;
        }
    }

    async fn crash_workers(&self) {
        self.struck_workers().for_each(Worker::crash);
        Timer::after(CRASH_DETECTED.min(self.lasts)).await;
        self.remove_from_list();
        Timer::after(self.lasts.saturating_sub(CRASH_DETECTED)).await;
        self.start_workers_again();
    }

    /// They are said to drain, crash after the notice period, and come back.
    async fn preempt_workers(&self) {
        for &worker in &self.struck {
            self.cluster
                .update_endpoint(worker, |entry| entry.draining = true);
        }
        Timer::after(Duration::from_secs_f64(self.fault.size / 1e3)).await;
        self.struck_workers().for_each(Worker::crash);
        self.remove_from_list();
        Timer::after(self.lasts).await;
        self.start_workers_again();
    }

    fn remove_from_list(&self) {
        self.struck
            .iter()
            .for_each(|worker| self.cluster.withdraw_worker(*worker));
    }

    fn start_workers_again(&self) {
        self.struck
            .iter()
            .for_each(|worker| self.cluster.restart_worker(*worker));
    }

    async fn drain_workers_in_turn(&self) {
        for &worker in &self.struck {
            let (cluster, lasts) = (self.cluster.clone(), self.lasts);
            let drain_and_restart = async move {
                cluster.update_endpoint(worker, |entry| entry.draining = true);
                Timer::after(DRAIN_LASTS / 2).await;
                cluster.workers[worker].drain();
                Timer::after(DRAIN_LASTS / 2).await;
                cluster.workers[worker].crash();
                cluster.withdraw_worker(worker);
                Timer::after(lasts).await;
                cluster.restart_worker(worker);
            };
            let executor = &self.cluster.host.executor;
            executor.spawn(drain_and_restart).detach();
            Timer::after(Duration::from_secs_f64(self.fault.size)).await;
        }
    }

    /// Workers in the zone hear no router outside of it.
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
        Timer::after(self.lasts).await;
        inside
            .iter()
            .for_each(|worker| workers[*worker].partition_from(0));
    }

    async fn slow_store(&self) {
        self.cluster.store.set_slowdown(self.fault.size);
        Timer::after(self.lasts).await;
        self.cluster.store.set_slowdown(1.0);
    }

    async fn delay_list(&self) {
        let delay = Duration::from_secs_f64(self.fault.size);
        self.cluster.list.set_delay(delay);
        Timer::after(self.lasts).await;
        self.cluster.list.set_delay(Duration::ZERO);
    }

    async fn restart_broker(&self) {
        if let Err(error) = self.cluster.broker.restart(self.lasts).await {
            tracing::error!(cause = %error, "the broker did not come back");
        }
    }

    async fn block_broker(&self) {
        self.cluster.broker.set_blocked(true);
        Timer::after(self.lasts).await;
        self.cluster.broker.set_blocked(false);
    }

    fn drop_channels(&mut self) {
        let struck = self.draw_clients();
        self.cluster
            .broker
            .drop_channels(|client| struck[last_octet(client)]);
    }

    fn drop_connections(&mut self) {
        let struck = self.draw_clients();
        self.cluster
            .broker
            .drop_connections(|client| client.starts_with("127.0.1") && struck[last_octet(client)]);
    }

    /// Whether the fault strikes a client of the broker, by the last octet of the client's address.
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
        Timer::after(self.lasts).await;
        routers
            .iter()
            .for_each(|router| log_failure(cluster.start_router(*router, StateAtStart::Kept)));
    }

    async fn pause_routers(&self) {
        let (cluster, routers) = (self.cluster, &self.fault.which);
        routers
            .iter()
            .for_each(|router| log_failure(cluster.pause_router(*router, true)));
        Timer::after(self.lasts).await;
        routers
            .iter()
            .for_each(|router| log_failure(cluster.pause_router(*router, false)));
    }

    /// Copies the routers' state as the fault begins, kills them half of its time later, and starts them with the
    /// copy at its end.
    async fn restore_older_state(&self) {
        let (cluster, routers) = (self.cluster, &self.fault.which);
        for &router in routers {
            let copied = lock(&cluster.routers[router]).copy_state(&self.older_state(router));
            log_failure(copied.map_err(|source| ClusterError::Router {
                number: router,
                source,
            }));
        }
        Timer::after(self.lasts / 2).await;
        routers
            .iter()
            .for_each(|router| cluster.kill_router(*router));
        Timer::after(self.lasts / 2).await;
        for &router in routers {
            let copy = self.older_state(router);
            log_failure(cluster.start_router(router, StateAtStart::Older(&copy)));
        }
    }

    fn older_state(&self, router: usize) -> PathBuf {
        self.cluster
            .folder()
            .join(format!("routers/older-state-{router}"))
    }

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
        Timer::after(self.lasts).await;
        set_links(LinkFault::Pass);
    }
}

fn last_octet(address: &str) -> usize {
    address
        .rsplit('.')
        .next()
        .and_then(|octet| octet.parse::<u8>().ok())
        .unwrap_or(0) as usize
}

/// A fault that cannot be injected is logged; the scenario goes on and is judged.
fn log_failure(result: Result<(), ClusterError>) {
    if let Err(error) = result {
        tracing::error!(cause = error.line(), "a fault could not be injected");
    }
}
