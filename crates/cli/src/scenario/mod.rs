//! `cedarpulley day`: plays a scenario. Starts the emulators in this process and each router in a process of its own,
//! sends the invocations of the clients, injects the faults at their times, stops everything and checks the invariants.

mod faults;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use cedarpulley_invariant_checker::Verdict;
use cedarpulley_test_cluster::cluster::{Cluster, ClusterOptions};
use cedarpulley_test_cluster::scenario::{self, Scenario};
use cedarpulley_test_cluster::traffic::Traffic;
use clap::Args;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::error::CliError;
use faults::FaultInjection;

/// Time that a router has to stop, in addition to the longest client timeout.
const STOP_MARGIN: Duration = Duration::from_secs(6);

// No doc comment: clap would print it as the help of the subcommand.
#[derive(Args)]
pub struct ScenarioArgs {
    #[arg(value_name = "DAY")]
    scenario: PathBuf,
    /// Where traffic, verdict and table are left.
    #[arg(long)]
    out: Option<PathBuf>,
    #[arg(long)]
    seed: Option<u64>,
    /// One of late, lost, double, repeat, deaf, push, orders: one router breaks a rule on purpose.
    #[arg(long)]
    pub tamper: Option<String>,
    /// Another build of this program to run as the routers, to be compared with this one.
    #[arg(long)]
    router: Option<PathBuf>,
    /// Prints the verdict as JSON.
    #[arg(long)]
    json: bool,
}

/// Prints a verdict as a table or as JSON, followed by a line that summarizes it.
pub fn print_verdict(verdict: &Verdict, json: bool) -> Result<(), CliError> {
    if json {
        print_line!("{}", serde_json::to_string_pretty(verdict)?);
    } else {
        print_line!("{}", verdict.table().trim_end());
    }
    print_line!("{}", verdict.last_line());
    Ok(())
}

/// Plays a scenario and writes its logs and the verdict into the folder for its results; true if every invariant holds.
pub fn play(args: ScenarioArgs) -> Result<bool, CliError> {
    let mut scenario = scenario::read(&args.scenario)?;
    scenario.seed = args.seed.unwrap_or(scenario.seed);
    let out = args.out.unwrap_or_else(|| {
        std::env::temp_dir().join(format!("cedarpulley-day-{}", std::process::id()))
    });
    let trace = args.router.is_none();
    let program = args
        .router
        .map_or_else(std::env::current_exe, Ok)
        .map_err(CliError::RouterStart)?;
    let cluster = Arc::new(Cluster::prepare(
        &scenario,
        ClusterOptions {
            folder: out.clone(),
            program,
            tamper: args.tamper,
            trace,
        },
    )?);
    let stopped_gracefully = async_io::block_on(run(&scenario, &cluster))?;
    let verdict = cluster.verdict()?;
    let verdict_json = serde_json::to_string_pretty(&verdict)?;
    let write = |name: &str, text: String| {
        let file = out.join(name);
        std::fs::write(&file, text).map_err(CliError::file(&file))
    };
    write("audit.json", verdict_json)?;
    write(
        "summary.txt",
        format!("{}{}\n", verdict.table(), verdict.last_line()),
    )?;
    if !args.json {
        print_line!(
            "{} (seed {}), left in {}\n",
            args.scenario.display(),
            scenario.seed,
            out.display()
        );
    }
    print_verdict(&verdict, args.json)?;
    let invariants_hold = verdict.broken() == 0;
    if !stopped_gracefully && invariants_hold {
        return Err(CliError::UncleanShutdown);
    }
    Ok(invariants_hold)
}

/// Runs traffic and faults to their end and stops the routers; false if a router had to be killed.
async fn run(scenario: &Scenario, cluster: &Arc<Cluster>) -> Result<bool, CliError> {
    cluster.start_routers()?;
    let traffic = Traffic::begin(scenario, cluster);
    let began = traffic.began;
    let mut fault_tasks = Vec::new();
    for (index, fault) in scenario.faults.iter().cloned().enumerate() {
        let (cluster, zones) = (cluster.clone(), scenario.zones.clone());
        let executor = cluster.host.executor.clone();
        let random = Pcg64Mcg::seed_from_u64(scenario.seed ^ (index as u64 + 1) << 32);
        let task = async move {
            Timer::at(began + Duration::from_secs_f64(fault.at_s)).await;
            tracing::info!(what = ?fault.what, "fault begins");
            FaultInjection::new(&cluster, &fault, &zones, random)
                .inject()
                .await;
            tracing::info!(what = ?fault.what, "fault ends");
        };
        fault_tasks.push(executor.spawn(task));
    }
    Timer::at(began + Duration::from_secs_f64(scenario.seconds)).await;
    let longest_timeout_ms = scenario
        .triggers
        .iter()
        .map(|trigger| trigger.client_timeout_ms)
        .max()
        .unwrap_or(0);
    Timer::after(Duration::from_millis(longest_timeout_ms)).await;
    let stopped = cluster.stop(Duration::from_millis(longest_timeout_ms) + STOP_MARGIN);
    drop((fault_tasks, traffic));
    Ok(stopped)
}
