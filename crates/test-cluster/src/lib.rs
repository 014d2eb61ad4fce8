//! Clusters for tests and scenarios: routers run as separate processes, emulators run in this process, and with regions
//! every link between them has a relay. This crate is never part of a router. It only injects faults; the crate
//! `cedarpulley-invariant-checker` checks from the logs of the emulators which invariants were violated.
//!
//! [`cluster`] is the entry point. Other modules: [`links`] (faults on links), [`relay`] (forwards bytes),
//! [`message_relay`] (forwards complete requests), [`router_process`] (one router), [`scenario`] (scenario files),
//! [`script`] (timed actions), [`traffic`] with [`amqp_client`] and [`kserve_client`] (clients), [`operator`] (manual
//! orders), [`router_state`] (state requests) and [`error`].

#![warn(missing_docs)]

pub mod amqp_client;
pub mod cluster;
pub mod error;
pub mod kserve_client;
pub mod links;
pub mod message_relay;
pub mod operator;
mod port;
pub mod relay;
pub mod router_process;
pub mod router_state;
pub mod scenario;
pub mod script;
pub mod traffic;

use std::time::{Duration, Instant};

/// Interval at which [`until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until the condition holds; returns false if it does not hold within the timeout.
pub fn until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() > deadline {
            return false;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
