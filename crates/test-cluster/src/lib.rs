//! The rig: routers as processes of their own before stand-ins in this one, in regions, with a relay on every link
//! between them. For tests and scripted days; never part of a router. It only brings faults about; what they broke
//! is judged by `cedarpulley-invariant-checker` from the stand-ins' logs.
//!
//! Begin reading at [`fleet`]; then [`links`] (the faults), [`relay`] (bytes), [`messages`] (whole requests),
//! [`process`] (one router),
//! [`wrong`] (what goes wrong outside of what is tried).

pub mod client;
pub mod fleet;
pub mod links;
pub mod messages;
pub mod operator;
pub mod plan;
pub mod process;
pub mod relay;
pub mod rest_client;
pub mod script;
pub mod traffic;
pub mod verdict;
pub mod wrong;

use std::time::{Duration, Instant};

/// How often [`until`] looks.
const LOOK: Duration = Duration::from_millis(10);

/// Waits for it to have come about; false if it does not in this time.
pub fn until(patience: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + patience;
    loop {
        if holds() {
            return true;
        }
        if Instant::now() > end {
            return false;
        }
        std::thread::sleep(LOOK);
    }
}
