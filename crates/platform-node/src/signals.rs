//! Signals: SIGHUP reloads the configuration file, SIGTERM and SIGINT shut the router down. All of them are handled
//! until the process exits, because the address of discovery may change while the router shuts down.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use async_signal::{Signal, Signals};
use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use cedarpulley_net::{Notifier, duration_from_micros};
use cedarpulley_platform::config::{MAX_RELOADS, RELOAD_INTERVAL};
use futures_lite::{FutureExt, StreamExt};

use crate::config_file::ConfigFile;
use crate::node::Node;

/// Pause after a failure of the stream of signals. Without it, a lasting failure would make the process loop at full
/// speed.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Handles signals while the router runs; notifies `stop` of a signal to shut down.
pub(crate) async fn handle_signals(
    node: Rc<Node>,
    mut signals: Signals,
    file: ConfigFile,
    stop: Notifier,
) {
    let reload_requested = Notifier::default();
    // When the first signal to reload arrived that has not been handled yet.
    let signalled_at = Cell::new(None);
    let reloading = async {
        loop {
            reload_requested.notified().await;
            let signalled_at = signalled_at.take().unwrap_or_else(|| node.arrival_time());
            reload(&node, &file, signalled_at).await;
        }
    };
    let receiving = async {
        loop {
            match signals.next().await {
                Some(Ok(Signal::Hup)) => {
                    signalled_at.set(signalled_at.get().or_else(|| Some(node.arrival_time())));
                    reload_requested.notify();
                }
                Some(Ok(_)) => stop.notify(),
                // A failure or the end of the stream is not a signal to stop: the router continues to serve requests.
                Some(Err(error)) => {
                    tracing::warn!(%error, "reading a signal failed");
                    Timer::after(FAILURE_PAUSE).await;
                }
                None => std::future::pending().await,
            }
        }
    };
    receiving.or(reloading).await
}

/// Reads the address of discovery from the file again, and follows discovery at that address. If no attempt to read it
/// succeeds, the previous address is kept.
async fn reload(node: &Node, file: &ConfigFile, signalled_at: Micros) {
    for _ in 0..MAX_RELOADS {
        match file.discovery_address() {
            Ok(address) => {
                tracing::info!(%address, "configuration reloaded");
                node.discovery.set_address(address, signalled_at);
                return;
            }
            Err(error) => {
                tracing::warn!(error = error.line(), "reloading the configuration failed");
            }
        }
        Timer::after(duration_from_micros(RELOAD_INTERVAL)).await;
    }
}
