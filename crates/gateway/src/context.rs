//! The context shared by all components of a router: clock, executor, the router's name, seed and address, the
//! configured names, and the input of the core. Each component gets this context and its other dependencies
//! explicitly; only `wiring.rs` knows all components, so that each of them can be read, built and tested without
//! the others.

use std::cell::Cell;
use std::net::IpAddr;

use cedarpulley_net::Clock;
use cedarpulley_router::Input;
use cedarpulley_startup::Names;

use crate::task_owner::Executor;

/// The context shared by all components of one router.
pub struct GatewayContext {
    /// The router's clock, which starts at 0 when the router starts.
    pub clock: Clock,
    /// Runs all tasks on the router's single thread.
    pub executor: Executor,
    /// The router's name.
    pub name: String,
    /// Seed of all random draws.
    pub seed: u64,
    /// Local address that outgoing connections are bound to; the operating system chooses one if absent.
    pub local_address: Option<IpAddr>,
    /// The configured names, by their index.
    pub names: Names,
    /// Whether requests are assigned to sessions; required for model upgrades and for reconciliation of the warm index.
    pub tracks_sessions: bool,
    /// Number of messages and requests that could not be parsed, on all fronts.
    pub malformed_inputs: Cell<u64>,
    /// The input of the core, used by [`GatewayContext::feed`].
    pub core_input: Box<dyn Fn(Input)>,
}

impl GatewayContext {
    /// Hands an event to the core. When this returns, carrying out the resulting outputs has begun.
    pub fn feed(&self, input: Input) {
        (self.core_input)(input);
    }

    /// Counts an input that could not be parsed.
    pub fn count_malformed(&self) {
        self.malformed_inputs.set(self.malformed_inputs.get() + 1);
    }
}
