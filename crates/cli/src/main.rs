//! The command line `cedarpulley`.
//!
//! Exit codes: 0 on success; 1 if an invariant does not hold or a comparison found a difference; 2 if arguments,
//! settings or input are invalid, with one line for each cause on standard error.

/// Prints a line on standard output. Write errors are ignored: a reader that has closed its end of the pipe does not
/// change the exit code.
macro_rules! print_line {
    ($($text:tt)*) => {{
        let line = format!($($text)*);
        let _ = std::io::Write::write_all(&mut std::io::stdout(), format!("{line}\n").as_bytes());
    }};
}

mod emulator;
mod error;
mod measure;
mod scenario;
mod trace;
mod usage;

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use cedarpulley_errors::Remedy;
use cedarpulley_gateway::fault_injection::InjectedFault;
use cedarpulley_gateway::settings::{self, RouterSettings};
use clap::{Parser, Subcommand, ValueEnum};
use error::CliError;
use tracing_subscriber::EnvFilter;

/// Runs calls on workers that load functions or models on demand.
#[derive(Parser)]
#[command(name = "cedarpulley", version)]
struct CommandLine {
    /// How logs are written; text on a terminal, JSON otherwise.
    #[arg(long, global = true)]
    log: Option<LogFormat>,
    /// What is logged, as in RUST_LOG.
    #[arg(long, global = true, default_value = "info")]
    level: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
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
        kind: emulator::EmulatorCommand,
    },
    /// Plays a scripted day on loopback and judges it.
    Day(scenario::ScenarioArgs),
    /// Measures what one router adds on the warm path.
    Measure(measure::MeasureArgs),
    /// Trace files: verify, summary, show, replay.
    Trace {
        #[command(subcommand)]
        command: trace::TraceCommand,
    },
    /// Memory-seconds by tenant: report, merge, reconcile.
    Meter {
        #[command(subcommand)]
        command: usage::MeterCommand,
    },
    /// Judges a kept run again.
    Audit {
        folder: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    let Ok(filter) = EnvFilter::try_new(&command_line.level) else {
        return fail(&CliError::InvalidLogFilter {
            level: command_line.level,
        });
    };
    start_logging(command_line.log, filter);
    match execute(command_line.command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => fail(&error),
    }
}

fn start_logging(format: Option<LogFormat>, filter: EnvFilter) {
    let json = match format {
        Some(LogFormat::Json) => true,
        Some(LogFormat::Text) => false,
        None => !std::io::stderr().is_terminal(),
    };
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    // Without this setting, the process ends when the disk of the log is full: the report of the failed write goes to
    // the same log, and panics because it cannot be written either.
    let subscriber = subscriber.log_internal_errors(false);
    if json {
        subscriber.json().init()
    } else {
        subscriber.init()
    }
}

/// Runs a command. Returns false if the command checks something that does not hold (exit code 1).
fn execute(command: Command) -> Result<bool, CliError> {
    match command {
        Command::Serve {
            settings,
            tamper,
            rig,
        } => serve(&settings, tamper, rig),
        Command::Node => cedarpulley_platform_node::run()
            .map(|()| true)
            .map_err(CliError::Node),
        Command::Check { settings } => read_settings(&settings, false).map(|_| {
            print_line!("{}: good", settings.display());
            true
        }),
        Command::Standin { kind } => emulator::run(kind).map(|()| true),
        Command::Day(args) => {
            injected_fault(&args.tamper)?;
            scenario::play(args)
        }
        Command::Measure(args) => measure::run(&args).map(|()| true),
        Command::Trace { command } => trace::run(command),
        Command::Meter { command } => usage::run(command),
        Command::Audit { folder, json } => audit(&folder, json),
    }
}

fn fail(error: &CliError) -> ExitCode {
    match error {
        // The text of this error already has one complete line for each cause.
        CliError::Settings(_) => eprintln!("{error}"),
        _ => eprintln!("{}", error.line()),
    }
    ExitCode::from(2)
}

/// Reads a settings file; with `rig`, settings that only tests write are accepted too.
fn read_settings(path: &Path, rig: bool) -> Result<RouterSettings, CliError> {
    let text = std::fs::read_to_string(path).map_err(CliError::file(path))?;
    settings::read(&path.display().to_string(), &text, rig).map_err(CliError::Settings)
}

/// The fault that `--tamper` names; `None` if the option is absent.
fn injected_fault(tamper: &Option<String>) -> Result<Option<InjectedFault>, CliError> {
    match tamper {
        None => Ok(None),
        Some(name) => InjectedFault::from_name(name)
            .map(Some)
            .ok_or_else(|| CliError::UnknownFault { name: name.clone() }),
    }
}

fn serve(path: &Path, tamper: Option<String>, rig: bool) -> Result<bool, CliError> {
    let (settings, fault) = (read_settings(path, rig)?, injected_fault(&tamper)?);
    let router_name = path
        .file_stem()
        .map(|stem| stem.to_string_lossy().into_owned())
        .unwrap_or_default();
    cedarpulley_gateway::serve::run(&router_name, settings, fault).map_err(|source| {
        CliError::Serve {
            file: path.display().to_string(),
            source,
        }
    })
}

/// Checks the invariants of an earlier run from the files in its folder.
fn audit(folder: &Path, json: bool) -> Result<bool, CliError> {
    let verdict = cedarpulley_invariant_checker::check(folder)?;
    scenario::print_verdict(&verdict, json)?;
    Ok(verdict.broken() == 0)
}
