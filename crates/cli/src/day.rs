//! Plays a day: starts the stand-ins in this process and the routers as processes of their own, sends the clients'
//! invocations, brings the troubles at their times, stops all of it and has it judged.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use cedarpulley_emulators::lock;
use cedarpulley_emulators::worker::Worker;
use cedarpulley_errors::Remedy;
use cedarpulley_invariant_checker::Verdict;
use cedarpulley_test_cluster::cluster::{Cluster, ClusterOptions};
use cedarpulley_test_cluster::error::ClusterError as Failed;
use cedarpulley_test_cluster::links::LinkFault;
use cedarpulley_test_cluster::router_process::StateAtStart;
use cedarpulley_test_cluster::scenario::{self, FaultKind, Scenario, ScenarioFault};
use cedarpulley_test_cluster::traffic::Traffic;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::wrong::Wrong;

/// Beyond the longest client timeout, until a router that was told to stop is gone.
const STOP_WITHIN: Duration = Duration::from_secs(6);
/// The list hears of a crash so much later.
const CRASH_SEEN: Duration = Duration::from_millis(800);
/// A drained worker stays up this long after it was told of.
const DRAIN_LASTS: Duration = Duration::from_secs(2);

pub fn show(verdict: &Verdict, json: bool) -> Result<(), Wrong> {
    if json {
        say!("{}", serde_json::to_string_pretty(verdict)?);
    } else {
        say!("{}", verdict.table().trim_end());
    }
    say!("{}", verdict.last_line());
    Ok(())
}

pub fn play(
    path: &Path,
    out: Option<PathBuf>,
    seed: Option<u64>,
    tamper: Option<String>,
    program: Option<PathBuf>,
    json: bool,
) -> Result<bool, Wrong> {
    let mut day = scenario::read(path)?;
    day.seed = seed.unwrap_or(day.seed);
    let out = out.unwrap_or_else(|| {
        std::env::temp_dir().join(format!("cedarpulley-day-{}", std::process::id()))
    });
    let trace = program.is_none();
    let program = program
        .map_or_else(std::env::current_exe, Ok)
        .map_err(Wrong::Router)?;
    let fleet = Arc::new(Cluster::prepare(
        &day,
        ClusterOptions {
            folder: out.clone(),
            program,
            tamper,
            trace,
        },
    )?);
    let stopped = async_io::block_on(run(&day, &fleet))?;
    let verdict = fleet.verdict()?;
    let text = serde_json::to_string_pretty(&verdict)?;
    let write = |name: &str, text: String| {
        let file = out.join(name);
        std::fs::write(&file, text).map_err(Wrong::file(&file))
    };
    write("audit.json", text)?;
    write(
        "summary.txt",
        format!("{}{}\n", verdict.table(), verdict.last_line()),
    )?;
    if !json {
        say!(
            "{} (seed {}), left in {}\n",
            path.display(),
            day.seed,
            out.display()
        );
    }
    show(&verdict, json)?;
    if !stopped && verdict.broken() == 0 {
        return Err(Wrong::Unended);
    }
    Ok(verdict.broken() == 0)
}

async fn run(day: &Scenario, fleet: &Arc<Cluster>) -> Result<bool, Wrong> {
    fleet.start_routers()?;
    let traffic = Traffic::begin(day, fleet);
    let began = traffic.began;
    let mut tasks = Vec::new();
    for (n, trouble) in day.faults.iter().cloned().enumerate() {
        let (executor, fleet, zones) = (&fleet.host.executor, fleet.clone(), day.zones.clone());
        let random = Pcg64Mcg::seed_from_u64(day.seed ^ (n as u64 + 1) << 32);
        let task = async move {
            Timer::at(began + Duration::from_secs_f64(trouble.at_s)).await;
            tracing::info!(what = ?trouble.what, "trouble begins");
            bring(&fleet, &trouble, &zones, random).await;
            tracing::info!(what = ?trouble.what, "trouble over");
        };
        tasks.push(executor.spawn(task));
    }
    Timer::at(began + Duration::from_secs_f64(day.seconds)).await;
    let longest = day
        .triggers
        .iter()
        .map(|t| t.client_timeout_ms)
        .max()
        .unwrap_or(0);
    Timer::after(Duration::from_millis(longest)).await;
    let stopped = fleet.stop(Duration::from_millis(longest) + STOP_WITHIN);
    drop((tasks, traffic));
    Ok(stopped)
}

async fn bring(fleet: &Arc<Cluster>, t: &ScenarioFault, zones: &[String], mut random: Pcg64Mcg) {
    let lasts = Duration::from_secs_f64(t.for_s);
    let zone = t
        .zone
        .as_ref()
        .and_then(|z| zones.iter().position(|n| n == z));
    let chosen: Vec<usize> = (0..fleet.workers.len())
        .filter(|w| t.which.contains(w) || t.which.is_empty() && random.random::<f64>() < t.part)
        .collect();
    let workers = || chosen.iter().map(|w| &fleet.workers[*w]);
    match t.what {
        FaultKind::Hang => {
            workers().for_each(|w| w.set_hanging(true));
            Timer::after(lasts).await;
            workers().for_each(|w| w.set_hanging(false));
        }
        FaultKind::Slow => {
            workers().for_each(|w| w.set_slowdown(t.size));
            Timer::after(lasts).await;
            workers().for_each(|w| w.set_slowdown(1.0));
        }
        FaultKind::Pauses => {
            let until = Instant::now() + lasts;
            while Instant::now() < until {
                workers().for_each(|w| w.set_paused(true));
                Timer::after(Duration::from_secs_f64(t.size)).await;
                workers().for_each(|w| w.set_paused(false));
                Timer::after(Duration::from_secs_f64(t.size * 2.0)).await;
            }
        }
        FaultKind::ClassFail => {
            workers().for_each(|w| w.stop_answering(t.trigger.as_deref()));
            Timer::after(lasts).await;
            workers().for_each(|w| w.stop_answering(None));
        }
        FaultKind::Crash => {
            workers().for_each(Worker::crash);
            Timer::after(CRASH_SEEN.min(lasts)).await;
            chosen.iter().for_each(|w| fleet.withdraw_worker(*w));
            Timer::after(lasts.saturating_sub(CRASH_SEEN)).await;
            chosen.iter().for_each(|w| fleet.restart_worker(*w));
        }
        FaultKind::Preempt => {
            for &w in &chosen {
                fleet.update_endpoint(w, |r| r.draining = true);
            }
            Timer::after(Duration::from_secs_f64(t.size / 1e3)).await;
            workers().for_each(Worker::crash);
            chosen.iter().for_each(|w| fleet.withdraw_worker(*w));
            Timer::after(lasts).await;
            chosen.iter().for_each(|w| fleet.restart_worker(*w));
        }
        FaultKind::DrainWave => {
            for &w in &chosen {
                let executor = fleet.host.executor.clone();
                let fleet = fleet.clone();
                let one = async move {
                    fleet.update_endpoint(w, |r| r.draining = true);
                    Timer::after(DRAIN_LASTS / 2).await;
                    fleet.workers[w].drain();
                    Timer::after(DRAIN_LASTS / 2).await;
                    fleet.workers[w].crash();
                    fleet.withdraw_worker(w);
                    Timer::after(lasts).await;
                    fleet.restart_worker(w);
                };
                executor.spawn(one).detach();
                Timer::after(Duration::from_secs_f64(t.size)).await;
            }
        }
        FaultKind::ZoneCut => {
            // Workers in the zone hear no router outside of it.
            let Some(zone) = zone else { return };
            let rows = lock(&fleet.rows).clone();
            let inside = |w: &usize| rows[*w].zone == zones[zone];
            let all: Vec<usize> = (0..fleet.workers.len()).filter(inside).collect();
            all.iter()
                .for_each(|w| fleet.workers[*w].partition_from(!(1 << zone)));
            Timer::after(lasts).await;
            all.iter().for_each(|w| fleet.workers[*w].partition_from(0));
        }
        FaultKind::StoreSlow => {
            fleet.store.set_slowdown(t.size);
            Timer::after(lasts).await;
            fleet.store.set_slowdown(1.0);
        }
        FaultKind::Flush => workers().for_each(Worker::evict_all_idle),
        FaultKind::ChannelDrop => {
            let hit: Vec<bool> = (0..256).map(|_| random.random::<f64>() < t.part).collect();
            fleet.broker.drop_channels(|from| hit[last_octet(from)]);
        }
        FaultKind::ConnectionDrop => {
            let hit: Vec<bool> = (0..256).map(|_| random.random::<f64>() < t.part).collect();
            fleet
                .broker
                .drop_connections(|from| from.starts_with("127.0.1") && hit[last_octet(from)]);
        }
        FaultKind::BrokerRestart => {
            if let Err(e) = fleet.broker.restart(lasts).await {
                tracing::error!(cause = %e, "the broker did not come back");
            }
        }
        FaultKind::BrokerBlock => {
            fleet.broker.set_blocked(true);
            Timer::after(lasts).await;
            fleet.broker.set_blocked(false);
        }
        FaultKind::RouterKill => {
            t.which.iter().for_each(|r| fleet.kill_router(*r));
            Timer::after(lasts).await;
            t.which
                .iter()
                .for_each(|r| well(fleet.start_router(*r, StateAtStart::Kept)));
        }
        FaultKind::RouterPause => {
            t.which
                .iter()
                .for_each(|r| well(fleet.pause_router(*r, true)));
            Timer::after(lasts).await;
            t.which
                .iter()
                .for_each(|r| well(fleet.pause_router(*r, false)));
        }
        FaultKind::StaleState => {
            // Copied as the trouble begins, killed half of its time later.
            let copy = |r: usize| fleet.folder().join(format!("routers/older-state-{r}"));
            for r in &t.which {
                let copied = lock(&fleet.routers[*r]).copy_state(&copy(*r));
                well(copied.map_err(|source| Failed::Router { number: *r, source }));
            }
            Timer::after(lasts / 2).await;
            t.which.iter().for_each(|r| fleet.kill_router(*r));
            Timer::after(lasts / 2).await;
            t.which
                .iter()
                .for_each(|r| well(fleet.start_router(*r, StateAtStart::Older(&copy(*r)))));
        }
        FaultKind::PeerCut | FaultKind::RegionCut => {
            let cut = |fault: LinkFault| match (t.what, &t.region) {
                (FaultKind::RegionCut, Some(region)) => fleet.set_region_fault(region, fault),
                _ => fleet.set_peer_faults(&t.which, t.one_way, fault),
            };
            cut(if t.lost {
                LinkFault::Lost
            } else {
                LinkFault::Held
            });
            Timer::after(lasts).await;
            cut(LinkFault::Pass);
        }
        FaultKind::ListLate => {
            fleet.list.set_delay(Duration::from_secs_f64(t.size));
            Timer::after(lasts).await;
            fleet.list.set_delay(Duration::ZERO);
        }
        // These are in the arrivals.
        FaultKind::HotFunction
        | FaultKind::Scan
        | FaultKind::TrafficShift
        | FaultKind::RetryAbuse
        | FaultKind::Flood => {}
    }
}

fn last_octet(from: &str) -> usize {
    from.rsplit('.')
        .next()
        .and_then(|o| o.parse::<u8>().ok())
        .unwrap_or(0) as usize
}

/// A trouble that could not be brought shows in the log; the day goes on and is judged.
fn well(done: Result<(), Failed>) {
    if let Err(why) = done {
        tracing::error!(cause = why.line(), "a trouble failed");
    }
}
