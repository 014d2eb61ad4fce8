//! What every part of the process may have from it, below all of them: clock, executor, its own name, seed and address,
//! the names of the settings, and the way into the core. Each part gets this and what else it needs by itself; the
//! whole is known to `serve.rs` alone, so that a part added below it can be read and built without the others.

use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;

use async_executor::LocalExecutor;
use cedarpulley_net::Clock;
use cedarpulley_router::Input;
use cedarpulley_startup::Names;

pub struct Desk {
    pub clock: Clock,
    pub executor: Rc<LocalExecutor<'static>>,
    pub name: String,
    pub seed: u64,
    /// Own address to connect from.
    pub from: Option<IpAddr>,
    pub names: Names,
    /// Sessions are told apart: models are upgraded here, or the index is reconciled.
    pub sessions: bool,
    /// Messages and requests that could not be understood, on all fronts.
    pub misunderstood: Cell<u64>,
    /// The way into the core, for `feed`.
    pub core: Box<dyn Fn(Input)>,
}

impl Desk {
    /// Hands the core what happened; what it wants has been begun when this returns.
    pub fn feed(&self, input: Input) {
        (self.core)(input);
    }

    pub fn not_understood(&self) {
        self.misunderstood.set(self.misunderstood.get() + 1);
    }
}
