//! The router under measure and the witnesses of its group: settings and processes.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use cedarpulley_emulators::worker::Worker;
use cedarpulley_gateway::client_listener::Protocol;
use rustix::process::{Pid, Signal, kill_process};

use super::{ANY_PORT, QUEUE, TIMEOUT_MS, TRIGGER};
use crate::error::CliError;

/// How long records of the group are retained.
pub const RETAINED_MS: u64 = 6_000;
const STOP_WITHIN: Duration = Duration::from_secs(3);

/// A loopback address with a port that is free now.
pub fn free_address() -> Result<SocketAddr, CliError> {
    TcpListener::bind(ANY_PORT)
        .and_then(|listener| listener.local_addr())
        .map_err(CliError::RouterStart)
}

/// A router in a process of its own, stopped when dropped.
pub struct RouterProcess(Child);

impl RouterProcess {
    /// Runs `serve` of this program with a settings file.
    pub fn start(settings: &Path, log: &Path) -> Result<Self, CliError> {
        let log = std::fs::File::create(log).map_err(CliError::file(log))?;
        let program = std::env::current_exe().map_err(CliError::RouterStart)?;
        Command::new(program)
            .arg("serve")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map(RouterProcess)
            .map_err(CliError::RouterStart)
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.0.id()
    }
}

impl Drop for RouterProcess {
    /// Gracefully if it ends by itself soon, as its log then has its counts.
    fn drop(&mut self) {
        if let Some(pid) = Pid::from_raw(self.0.id() as i32) {
            let _ = kill_process(pid, Signal::TERM);
        }
        let until = Instant::now() + STOP_WITHIN;
        while Instant::now() < until && matches!(self.0.try_wait(), Ok(None)) {
            std::thread::sleep(Duration::from_millis(10));
        }
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// What goes into a router's settings file.
pub struct RouterSettings<'a> {
    /// None: it does not consume from the broker.
    pub broker: Option<SocketAddr>,
    /// The endpoint list.
    pub workers: &'a [Worker],
    /// Listeners for clients over KServe v2.
    pub client_listeners: &'a [(Protocol, SocketAddr)],
    /// Of all invocations: `idempotent` or `non-idempotent`.
    pub effect: &'a str,
    /// The members' addresses, and which of them it is; the first is no witness.
    pub group: Option<(&'a [SocketAddr], usize)>,
    /// Whether it writes a trace.
    pub trace: bool,
}

impl RouterSettings<'_> {
    /// The file's text.
    pub fn to_toml(&self) -> String {
        let effect = self.effect;
        let mut text = format!(
            "[router]\nseed = 1\nanswer_margin_ms = 100\n\n[loads]\nidle_kept_ms = 600000\n\n[dispatch]\n\
             most_connections = 4000\n\n[[trigger]]\nname = \"{TRIGGER}\"\neffect = \"{effect}\"\n\
             latency_objective_ms = {TIMEOUT_MS}\nclient_timeout_ms = {TIMEOUT_MS}\n\n"
        );
        if let Some(broker) = self.broker {
            text.push_str(&format!(
                "[[amqp]]\nbroker = \"{broker}\"\nqueue = \"{QUEUE}\"\n\n"
            ));
        }
        for (protocol, address) in self.client_listeners {
            let protocol = if *protocol == Protocol::Grpc {
                "grpc"
            } else {
                "rest"
            };
            text.push_str(&format!(
                "[[kserve]]\nlisten = \"{address}\"\nprotocol = \"{protocol}\"\nmost_streams = 1000\n\n"
            ));
        }
        text.push_str("[workers]\nlist = [\n");
        for worker in self.workers {
            text.push_str(&format!("  {{ address = \"{}\" }},\n", worker.address));
        }
        text.push_str("]\n");
        if let Some((members, own)) = self.group {
            text.push('\n');
            text.push_str(&group_settings(members, own));
        }
        if self.trace {
            text.push_str("\n[trace]\nfolder = \"traces\"\n");
        }
        text
    }
}

fn group_settings(members: &[SocketAddr], own: usize) -> String {
    let mut text = format!(
        "[peers]\nlisten = \"{}\"\ngroup = \"measured\"\nname = \"r{own}\"\nkept_ms = {RETAINED_MS}\n\n",
        members[own]
    );
    for (index, address) in members.iter().enumerate() {
        let witness = index > 0;
        text.push_str(&format!(
            "[[peers.member]]\nname = \"r{index}\"\naddress = \"{address}\"\nwitness = {witness}\n\n"
        ));
    }
    text
}
