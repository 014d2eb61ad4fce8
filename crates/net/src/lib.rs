//! What every process of this product uses of the network and the clock: connecting from a given address, listening,
//! clocks, a notifier between tasks and a timer for the next deadline. It decides nothing.
//!
//! Begin reading at [`connect`] and [`listen`]; then [`Clock`], [`Notifier`], [`DeadlineTimer`].
#![warn(missing_docs)]

mod clock;
mod notifier;
mod tcp;
mod timer;

pub use clock::{Clock, duration_from_micros};
pub use notifier::Notifier;
pub use tcp::{Stream, connect, listen};
pub use timer::DeadlineTimer;
