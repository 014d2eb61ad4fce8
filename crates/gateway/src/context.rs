//! What every part of the process may use: clock, executor, the router's name, seed and address, the
//! configured names, and the input of the core. Each part gets this context and whatever else it needs
//! explicitly; only `wiring.rs` knows the whole, so that a part can be read, built and tested without the
//! others.

use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;

use async_executor::LocalExecutor;
use cedarpulley_net::Clock;
use cedarpulley_router::Input;
use cedarpulley_startup::Names;

/// Shared by all parts of one router.
pub struct GatewayContext {
    /// The router's clock; its zero is the router's start.
    pub clock: Clock,
    /// Runs all tasks, on the router's one thread.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The router's name.
    pub name: String,
    /// Seed of all random draws.
    pub seed: u64,
    /// Local address that outgoing connections are bound to; the system chooses if absent.
    pub local_address: Option<IpAddr>,
    /// The configured names, by their index.
    pub names: Names,
    /// Whether requests are assigned to sessions: models are upgraded here, or the warm index is reconciled.
    pub tracks_sessions: bool,
    /// Messages and requests that could not be parsed, on all fronts.
    pub malformed_inputs: Cell<u64>,
    /// The input of the core, used by [`GatewayContext::feed`].
    pub core_input: Box<dyn Fn(Input)>,
}

impl GatewayContext {
    /// Hands an event to the core. The outputs that follow from it have been started when this returns.
    pub fn feed(&self, input: Input) {
        (self.core_input)(input);
    }

    /// Counts an input that could not be parsed.
    pub fn count_malformed(&self) {
        self.malformed_inputs.set(self.malformed_inputs.get() + 1);
    }
}
