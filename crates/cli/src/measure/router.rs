//! Settings and processes of the measured router and of the witnesses in its group.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use cedarpulley_emulators::worker::Worker;
use cedarpulley_gateway::client_listener::Protocol;
use rustix::process::{Pid, Signal, kill_process};

use super::{ANY_PORT, QUEUE, TIMEOUT_MS, TRIGGER};
use crate::error::CliError;

/// Time for which the group retains records, in milliseconds.
pub const RETAINED_MS: u64 = 6_000;
/// Time that a router has to stop before it is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// A loopback address with a port that is free at the time of the call.
pub fn free_address() -> Result<SocketAddr, CliError> {
    TcpListener::bind(ANY_PORT)
        .and_then(|listener| listener.local_addr())
        .map_err(CliError::RouterStart)
}

/// A router that runs in its own process and is stopped when dropped.
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

    /// Process id of the router.
    pub fn pid(&self) -> u32 {
        self.0.id()
    }
}

impl Drop for RouterProcess {
    /// Requests a graceful shutdown, at which the router writes its counts into its log, and kills the router if it has
    /// not stopped in time.
    fn drop(&mut self) {
        if let Some(pid) = Pid::from_raw(self.0.id() as i32) {
            let _ = kill_process(pid, Signal::TERM);
        }
        let until = Instant::now() + STOP_TIMEOUT;
        while Instant::now() < until && matches!(self.0.try_wait(), Ok(None)) {
            std::thread::sleep(Duration::from_millis(10));
        }
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Contents of the settings file of a router.
pub struct RouterSettings<'a> {
    /// Address of the broker; none if the router does not consume from it.
    pub broker: Option<SocketAddr>,
    /// The endpoint list.
    pub workers: &'a [Worker],
    /// Listeners for clients over KServe v2.
    pub client_listeners: &'a [(Protocol, SocketAddr)],
    /// Effect of all invocations: `idempotent` or `non-idempotent`.
    pub effect: &'a str,
    /// Addresses of the members of the group, and the index of this router among them. All members except the first are
    /// witnesses.
    pub group: Option<(&'a [SocketAddr], usize)>,
    /// Whether the router writes a trace.
    pub trace: bool,
}

impl RouterSettings<'_> {
    /// Formats the settings as the text of a settings file.
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
        if let Some((members, own_index)) = self.group {
            text.push('\n');
            text.push_str(&group_settings(members, own_index));
        }
        if self.trace {
            text.push_str("\n[trace]\nfolder = \"traces\"\n");
        }
        text
    }
}

fn group_settings(members: &[SocketAddr], own_index: usize) -> String {
    let mut text = format!(
        "[peers]\nlisten = \"{}\"\ngroup = \"measured\"\nname = \"r{own_index}\"\nkept_ms = {RETAINED_MS}\n\n",
        members[own_index]
    );
    for (index, address) in members.iter().enumerate() {
        let witness = index > 0;
        text.push_str(&format!(
            "[[peers.member]]\nname = \"r{index}\"\naddress = \"{address}\"\nwitness = {witness}\n\n"
        ));
    }
    text
}
