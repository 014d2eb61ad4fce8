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
use cedarpulley_test_cluster::fleet::{Fleet, Launch};
use cedarpulley_test_cluster::links::Fault;
use cedarpulley_test_cluster::plan::{self, Day, Trouble, What};
use cedarpulley_test_cluster::process::State;
use cedarpulley_test_cluster::traffic::Traffic;
use cedarpulley_test_cluster::wrong::Wrong as Failed;
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
    let mut day = plan::read(path)?;
    day.seed = seed.unwrap_or(day.seed);
    let out = out.unwrap_or_else(|| {
        std::env::temp_dir().join(format!("cedarpulley-day-{}", std::process::id()))
    });
    let trace = program.is_none();
    let program = program
        .map_or_else(std::env::current_exe, Ok)
        .map_err(Wrong::Router)?;
    let fleet = Arc::new(Fleet::prepare(
        &day,
        Launch {
            out: out.clone(),
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

async fn run(day: &Day, fleet: &Arc<Fleet>) -> Result<bool, Wrong> {
    fleet.start_routers()?;
    let traffic = Traffic::begin(day, fleet);
    let began = traffic.began;
    let mut tasks = Vec::new();
    for (n, trouble) in day.troubles.iter().cloned().enumerate() {
        let (executor, fleet, zones) = (&fleet.ground.executor, fleet.clone(), day.zones.clone());
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

async fn bring(fleet: &Arc<Fleet>, t: &Trouble, zones: &[String], mut random: Pcg64Mcg) {
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
        What::Hang => {
            workers().for_each(|w| w.hang(true));
            Timer::after(lasts).await;
            workers().for_each(|w| w.hang(false));
        }
        What::Slow => {
            workers().for_each(|w| w.slow(t.size));
            Timer::after(lasts).await;
            workers().for_each(|w| w.slow(1.0));
        }
        What::Pauses => {
            let until = Instant::now() + lasts;
            while Instant::now() < until {
                workers().for_each(|w| w.pause(true));
                Timer::after(Duration::from_secs_f64(t.size)).await;
                workers().for_each(|w| w.pause(false));
                Timer::after(Duration::from_secs_f64(t.size * 2.0)).await;
            }
        }
        What::ClassFail => {
            workers().for_each(|w| w.mute(t.trigger.as_deref()));
            Timer::after(lasts).await;
            workers().for_each(|w| w.mute(None));
        }
        What::Crash => {
            workers().for_each(Worker::crash);
            Timer::after(CRASH_SEEN.min(lasts)).await;
            chosen.iter().for_each(|w| fleet.gone(*w));
            Timer::after(lasts.saturating_sub(CRASH_SEEN)).await;
            chosen.iter().for_each(|w| fleet.starts_again(*w));
        }
        What::Preempt => {
            for &w in &chosen {
                fleet.row(w, |r| r.draining = true);
            }
            Timer::after(Duration::from_secs_f64(t.size / 1e3)).await;
            workers().for_each(Worker::crash);
            chosen.iter().for_each(|w| fleet.gone(*w));
            Timer::after(lasts).await;
            chosen.iter().for_each(|w| fleet.starts_again(*w));
        }
        What::DrainWave => {
            for &w in &chosen {
                let executor = fleet.ground.executor.clone();
                let fleet = fleet.clone();
                let one = async move {
                    fleet.row(w, |r| r.draining = true);
                    Timer::after(DRAIN_LASTS / 2).await;
                    fleet.workers[w].drain();
                    Timer::after(DRAIN_LASTS / 2).await;
                    fleet.workers[w].crash();
                    fleet.gone(w);
                    Timer::after(lasts).await;
                    fleet.starts_again(w);
                };
                executor.spawn(one).detach();
                Timer::after(Duration::from_secs_f64(t.size)).await;
            }
        }
        What::ZoneCut => {
            // Workers in the zone hear no router outside of it.
            let Some(zone) = zone else { return };
            let rows = lock(&fleet.rows).clone();
            let inside = |w: &usize| rows[*w].zone == zones[zone];
            let all: Vec<usize> = (0..fleet.workers.len()).filter(inside).collect();
            all.iter().for_each(|w| fleet.workers[*w].cut(!(1 << zone)));
            Timer::after(lasts).await;
            all.iter().for_each(|w| fleet.workers[*w].cut(0));
        }
        What::StoreSlow => {
            fleet.store.slow(t.size);
            Timer::after(lasts).await;
            fleet.store.slow(1.0);
        }
        What::Flush => workers().for_each(Worker::flush_copies),
        What::ChannelDrop => {
            let hit: Vec<bool> = (0..256).map(|_| random.random::<f64>() < t.part).collect();
            fleet.broker.drop_channels(|from| hit[last_octet(from)]);
        }
        What::ConnectionDrop => {
            let hit: Vec<bool> = (0..256).map(|_| random.random::<f64>() < t.part).collect();
            fleet
                .broker
                .drop_connections(|from| from.starts_with("127.0.1") && hit[last_octet(from)]);
        }
        What::BrokerRestart => {
            if let Err(e) = fleet.broker.restart(lasts).await {
                tracing::error!(cause = %e, "the broker did not come back");
            }
        }
        What::BrokerBlock => {
            fleet.broker.block(true);
            Timer::after(lasts).await;
            fleet.broker.block(false);
        }
        What::RouterKill => {
            t.which.iter().for_each(|r| fleet.kill_router(*r));
            Timer::after(lasts).await;
            t.which
                .iter()
                .for_each(|r| well(fleet.start_router(*r, State::Kept)));
        }
        What::RouterPause => {
            t.which
                .iter()
                .for_each(|r| well(fleet.pause_router(*r, true)));
            Timer::after(lasts).await;
            t.which
                .iter()
                .for_each(|r| well(fleet.pause_router(*r, false)));
        }
        What::StaleState => {
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
                .for_each(|r| well(fleet.start_router(*r, State::Older(&copy(*r)))));
        }
        What::PeerCut | What::RegionCut => {
            let cut = |fault: Fault| match (t.what, &t.region) {
                (What::RegionCut, Some(region)) => fleet.cut_region(region, fault),
                _ => fleet.cut_peers(&t.which, t.one_way, fault),
            };
            cut(if t.lost { Fault::Lost } else { Fault::Held });
            Timer::after(lasts).await;
            cut(Fault::Pass);
        }
        What::ListLate => {
            fleet.list.late(Duration::from_secs_f64(t.size));
            Timer::after(lasts).await;
            fleet.list.late(Duration::ZERO);
        }
        // These are in the arrivals.
        What::HotFunction | What::Scan | What::TrafficShift | What::RetryAbuse | What::Flood => {}
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
