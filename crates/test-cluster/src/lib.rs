//! A cluster for tests: routers as processes of their own before emulators in this process, in regions, with a relay
//! on every link between them. For tests and scenarios; never part of a router. It only brings faults about; which
//! invariants they broke is checked by `cedarpulley-invariant-checker` from the emulators' logs.
//!
//! Begin reading at [`cluster`]; then [`links`] (the faults), [`relay`] (bytes), [`message_relay`] (whole requests),
//! [`router_process`] (one router), [`scenario`] (what is played), [`error`].

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

/// How often [`until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until the condition holds; false if it does not within this time.
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
