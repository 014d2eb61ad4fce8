//! Signals: SIGHUP has the configuration read again, SIGTERM and SIGINT shut the router down. All of them are heard until
//! the process exits: discovery may move while the router shuts down.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use async_signal::{Signal, Signals};
use cedarpulley_errors::Remedy;
use cedarpulley_net::{Bell, micros};
use cedarpulley_platform::config::{MOST_RELOADS, RELOAD_PAUSE};
use futures_lite::{FutureExt, StreamExt};

use crate::node::Node;
use crate::startup::ConfigFile;

/// After a failure of the stream of signals, so that the process does not spin.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Hears signals for as long as the router runs; rings `stop` when it is told to shut down.
pub async fn listen(node: Rc<Node>, mut signals: Signals, file: ConfigFile, stop: Bell) {
    let reload = Bell::default();
    let reloading = async {
        loop {
            reload.heard().await;
            read_again(&node, &file).await;
        }
    };
    let hearing = async {
        loop {
            match signals.next().await {
                Some(Ok(Signal::Hup)) => reload.ring(),
                Some(Ok(_)) => stop.ring(),
                // Neither is an order to stop: requests go on being served.
                Some(Err(error)) => {
                    tracing::warn!("a signal could not be read: {error}");
                    Timer::after(FAILURE_PAUSE).await;
                }
                None => std::future::pending().await,
            }
        }
    };
    hearing.or(reloading).await
}

/// Follows discovery to the address that the replaced file names. Without a readable one the old address stays.
async fn read_again(node: &Node, file: &ConfigFile) {
    for _ in 0..MOST_RELOADS {
        match file.discovery_address() {
            Ok(address) => {
                tracing::info!(%address, "the configuration was read again");
                node.discovery_address.set(address);
                node.discovery_moved.ring();
                return;
            }
            Err(error) => tracing::warn!(
                why = error.line(),
                "the configuration could not be read again"
            ),
        }
        Timer::after(micros(RELOAD_PAUSE)).await;
    }
}
