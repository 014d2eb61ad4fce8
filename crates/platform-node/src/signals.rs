//! Signals: SIGHUP reloads the configuration file, SIGTERM and SIGINT shut the router down. All of them are handled until
//! the process exits: discovery may move while the router shuts down.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use async_signal::{Signal, Signals};
use cedarpulley_errors::Remedy;
use cedarpulley_net::{Notifier, duration_from_micros};
use cedarpulley_platform::config::{MAX_RELOADS, RELOAD_PAUSE};
use futures_lite::{FutureExt, StreamExt};

use crate::config_file::ConfigFile;
use crate::node::Node;

/// After a failure of the stream of signals, so that the process does not spin.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Handles signals for as long as the router runs; rings `stop` on a signal to shut down.
pub(crate) async fn handle_signals(
    node: Rc<Node>,
    mut signals: Signals,
    file: ConfigFile,
    stop: Notifier,
) {
    let reload_requested = Notifier::default();
    let reloading = async {
        loop {
            reload_requested.notified().await;
            reload(&node, &file).await;
        }
    };
    let receiving = async {
        loop {
            match signals.next().await {
                Some(Ok(Signal::Hup)) => reload_requested.notify(),
                Some(Ok(_)) => stop.notify(),
                // Neither a failure nor the end of the stream is a signal to stop: requests are still served.
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

/// Follows discovery to the address in the replaced file. If none can be read, the old address stays.
async fn reload(node: &Node, file: &ConfigFile) {
    for _ in 0..MAX_RELOADS {
        match file.discovery_address() {
            Ok(address) => {
                tracing::info!(%address, "configuration reloaded");
                node.discovery.move_to(address);
                return;
            }
            Err(error) => {
                tracing::warn!(error = error.line(), "reloading the configuration failed");
            }
        }
        Timer::after(duration_from_micros(RELOAD_PAUSE)).await;
    }
}
