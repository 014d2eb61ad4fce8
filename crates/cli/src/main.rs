//! The command line. Exit codes: 0 all well; 1 a rule broken or a comparison lost; 2 bad arguments, settings or
//! input, with one plain line a cause on standard error.

/// A line to standard output. Whoever has closed it wants no more: that is no fault, and changes no verdict.
macro_rules! say {
    ($($text:tt)*) => {{
        let line = format!($($text)*);
        let _ = std::io::Write::write_all(&mut std::io::stdout(), format!("{line}\n").as_bytes());
    }};
}

mod day;
mod measure;
mod meter;
mod open_loop;
mod standin;
mod trace;
mod wrong;

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use cedarpulley_errors::Remedy;
use cedarpulley_gateway::fault_injection::InjectedFault;
use cedarpulley_gateway::settings::{self, RouterSettings};
use clap::{Parser, Subcommand, ValueEnum};
use tracing_subscriber::EnvFilter;
use wrong::Wrong;

/// Runs calls on workers that load functions or models on demand.
#[derive(Parser)]
#[command(name = "cedarpulley", version)]
struct Line {
    /// How logs are written; text on a terminal, JSON otherwise.
    #[arg(long, global = true)]
    log: Option<LogForm>,
    /// What is logged, as in RUST_LOG.
    #[arg(long, global = true, default_value = "info")]
    level: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one router until SIGTERM or SIGINT.
    Serve {
        settings: PathBuf,
        /// Breaks a rule on purpose, for tests of the judge.
        #[arg(long, hide = true)]
        tamper: Option<String>,
        /// Takes what a rig of tests writes into the settings.
        #[arg(long, hide = true)]
        rig: bool,
    },
    /// Runs one router on the users' platform, as its environment says, until SIGTERM or SIGINT.
    Node,
    /// Reads the settings and says all that is wrong; starts nothing.
    Check { settings: PathBuf },
    /// Runs one stand-in in the foreground.
    Standin {
        #[command(subcommand)]
        kind: standin::Kind,
    },
    /// Plays a scripted day on loopback and judges it.
    Day {
        day: PathBuf,
        /// Where traffic, verdict and table are left.
        #[arg(long)]
        out: Option<PathBuf>,
        #[arg(long)]
        seed: Option<u64>,
        /// One of late, lost, double, repeat, deaf, push, orders: one router breaks a rule on purpose.
        #[arg(long)]
        tamper: Option<String>,
        /// Another build of this program to run as the routers, to be compared with this one.
        #[arg(long)]
        router: Option<PathBuf>,
        /// Prints the verdict as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Measures what one router adds on the warm path.
    Measure {
        #[arg(long, default_value_t = 1000.0)]
        rate: f64,
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        #[arg(long, default_value_t = 0.0)]
        work_ms: f64,
        /// Of each copy of a function.
        #[arg(long, default_value_t = 10_000)]
        lanes: u32,
        #[arg(long, default_value = "target/measure")]
        folder: PathBuf,
        /// The router keeps a trace.
        #[arg(long)]
        trace: bool,
        /// Of its invocations: idempotent, non-idempotent.
        #[arg(long, default_value = "idempotent")]
        effect: String,
        /// Members of its group, the others as witnesses; 0: it has none.
        #[arg(long, default_value_t = 0)]
        peers: usize,
    },
    /// Trace files: verify, summary, show, replay.
    Trace {
        #[command(subcommand)]
        what: trace::Trace,
    },
    /// Memory-seconds by tenant: report, merge, reconcile.
    Meter {
        #[command(subcommand)]
        what: meter::Meter,
    },
    /// Judges a kept run again.
    Audit {
        folder: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

fn main() -> ExitCode {
    let line = Line::parse();
    let json = match line.log {
        Some(LogForm::Json) => true,
        Some(LogForm::Text) => false,
        None => !std::io::stderr().is_terminal(),
    };
    let Ok(filter) = EnvFilter::try_new(&line.level) else {
        return fail(&Wrong::Level { level: line.level });
    };
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    // Symptom: the disk of the log is full, saying so on the same log fails too, and the process ends by a panic.
    let log = log.log_internal_errors(false);
    if json {
        log.json().init()
    } else {
        log.init()
    }
    let done = match line.command {
        Command::Serve {
            settings,
            tamper,
            rig,
        } => serve(&settings, tamper, rig),
        Command::Node => cedarpulley_platform_node::run()
            .map(|()| true)
            .map_err(Wrong::Node),
        Command::Check { settings } => read(&settings, false).map(|_| {
            say!("{}: good", settings.display());
            true
        }),
        Command::Standin { kind } => standin::run(kind).map(|()| true),
        Command::Day {
            day,
            out,
            seed,
            tamper,
            router,
            json,
        } => {
            let known = named(&tamper);
            known.and_then(|_| day::play(&day, out, seed, tamper, router, json))
        }
        Command::Measure {
            rate,
            seconds,
            work_ms,
            lanes,
            folder,
            trace,
            effect,
            peers,
        } => {
            let what = measure::What {
                work_ms,
                lanes,
                trace,
                effect: &effect,
                peers,
            };
            measure::run(rate, seconds, &what, &folder).map(|()| true)
        }
        Command::Trace { what } => trace::run(what),
        Command::Meter { what } => meter::run(what),
        Command::Audit { folder, json } => audit(&folder, json),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(why) => fail(&why),
    }
}

fn fail(why: &Wrong) -> ExitCode {
    match why {
        // Whole lines already.
        Wrong::Settings(_) => eprintln!("{why}"),
        _ => eprintln!("{}", why.line()),
    }
    ExitCode::from(2)
}

fn read(path: &Path, rig: bool) -> Result<RouterSettings, Wrong> {
    let text = std::fs::read_to_string(path).map_err(Wrong::file(path))?;
    settings::read(&path.display().to_string(), &text, rig).map_err(Wrong::Settings)
}

fn named(tamper: &Option<String>) -> Result<Option<InjectedFault>, Wrong> {
    match tamper {
        None => Ok(None),
        Some(name) => InjectedFault::from_name(name)
            .map(Some)
            .ok_or_else(|| Wrong::Tamper { name: name.clone() }),
    }
}

fn serve(path: &Path, tamper: Option<String>, rig: bool) -> Result<bool, Wrong> {
    let (settings, fault) = (read(path, rig)?, named(&tamper)?);
    let name = path
        .file_stem()
        .map(|s| s.to_string_lossy().into_owned())
        .unwrap_or_default();
    let wrong = |source| Wrong::Serve {
        file: path.display().to_string(),
        source,
    };
    cedarpulley_gateway::serve::run(&name, settings, fault).map_err(wrong)
}

fn audit(folder: &Path, json: bool) -> Result<bool, Wrong> {
    let verdict = cedarpulley_invariant_checker::check(folder)?;
    day::show(&verdict, json)?;
    Ok(verdict.broken() == 0)
}
