//! Injects the faults of a scenario into the emulators and the routers.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use cedarpulley_emulators::lock;
use cedarpulley_emulators::worker::Worker;
use cedarpulley_errors::Remedy;
use cedarpulley_test_cluster::fleet::Fleet;
use cedarpulley_test_cluster::links::Fault as LinkFault;
use cedarpulley_test_cluster::plan::{Trouble, What};
use cedarpulley_test_cluster::process::State;
use cedarpulley_test_cluster::wrong::Wrong as ClusterError;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Until the endpoint list has noticed that a worker crashed.
const CRASH_DETECTED: Duration = Duration::from_millis(800);
/// How long a worker stays up after the endpoint list said that it drains.
const DRAIN_LASTS: Duration = Duration::from_secs(2);

/// One fault of a scenario, with what it strikes.
pub struct FaultInjection<'a> {
    cluster: &'a Arc<Fleet>,
    fault: &'a Trouble,
    zones: &'a [String],
    lasts: Duration,
    /// Indices of the workers that it strikes.
    struck: Vec<usize>,
    random: Pcg64Mcg,
}

impl<'a> FaultInjection<'a> {
    /// Draws the workers that the fault strikes, unless the scenario names them.
    pub fn new(
        cluster: &'a Arc<Fleet>,
        fault: &'a Trouble,
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
            What::Hang => {
                self.while_it_lasts(|worker| worker.hang(true), |worker| worker.hang(false))
                    .await;
            }
            What::Slow => {
                let factor = self.fault.size;
                self.while_it_lasts(|worker| worker.slow(factor), |worker| worker.slow(1.0))
                    .await;
            }
            What::ClassFail => {
                let trigger = self.fault.trigger.as_deref();
                self.while_it_lasts(|worker| worker.mute(trigger), |worker| worker.mute(None))
                    .await;
            }
            What::Pauses => self.pause_workers_repeatedly().await,
            What::Crash => self.crash_workers().await,
            What::Preempt => self.preempt_workers().await,
            What::DrainWave => self.drain_workers_in_turn().await,
            What::ZoneCut => self.cut_zone().await,
            What::Flush => self.struck_workers().for_each(Worker::flush_copies),
            What::StoreSlow => self.slow_store().await,
            What::ListLate => self.delay_list().await,
            What::ChannelDrop => self.drop_channels(),
            What::ConnectionDrop => self.drop_connections(),
            What::BrokerRestart => self.restart_broker().await,
            What::BrokerBlock => self.block_broker().await,
            What::RouterKill => self.kill_routers().await,
            What::RouterPause => self.pause_routers().await,
            What::StaleState => self.restore_older_state().await,
            What::PeerCut | What::RegionCut => self.partition().await,
            // These are in the arrivals.
            What::HotFunction
            | What::Scan
            | What::TrafficShift
            | What::RetryAbuse
            | What::Flood => {}
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
            self.struck_workers().for_each(|worker| worker.pause(true));
            Timer::after(Duration::from_secs_f64(self.fault.size)).await;
            self.struck_workers().for_each(|worker| worker.pause(false));
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
            self.cluster.row(worker, |entry| entry.draining = true);
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
            .for_each(|worker| self.cluster.gone(*worker));
    }

    fn start_workers_again(&self) {
        self.struck
            .iter()
            .for_each(|worker| self.cluster.starts_again(*worker));
    }

    async fn drain_workers_in_turn(&self) {
        for &worker in &self.struck {
            let (cluster, lasts) = (self.cluster.clone(), self.lasts);
            let drain_and_restart = async move {
                cluster.row(worker, |entry| entry.draining = true);
                Timer::after(DRAIN_LASTS / 2).await;
                cluster.workers[worker].drain();
                Timer::after(DRAIN_LASTS / 2).await;
                cluster.workers[worker].crash();
                cluster.gone(worker);
                Timer::after(lasts).await;
                cluster.starts_again(worker);
            };
            let executor = &self.cluster.ground.executor;
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
            .for_each(|worker| workers[*worker].cut(!(1 << zone)));
        Timer::after(self.lasts).await;
        inside.iter().for_each(|worker| workers[*worker].cut(0));
    }

    async fn slow_store(&self) {
        self.cluster.store.slow(self.fault.size);
        Timer::after(self.lasts).await;
        self.cluster.store.slow(1.0);
    }

    async fn delay_list(&self) {
        let delay = Duration::from_secs_f64(self.fault.size);
        self.cluster.list.late(delay);
        Timer::after(self.lasts).await;
        self.cluster.list.late(Duration::ZERO);
    }

    async fn restart_broker(&self) {
        if let Err(error) = self.cluster.broker.restart(self.lasts).await {
            tracing::error!(cause = %error, "the broker did not come back");
        }
    }

    async fn block_broker(&self) {
        self.cluster.broker.block(true);
        Timer::after(self.lasts).await;
        self.cluster.broker.block(false);
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
            .for_each(|router| log_failure(cluster.start_router(*router, State::Kept)));
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
            log_failure(cluster.start_router(router, State::Older(&copy)));
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
            (What::RegionCut, Some(region)) => self.cluster.cut_region(region, link_fault),
            _ => self
                .cluster
                .cut_peers(&fault.which, fault.one_way, link_fault),
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
