//! Network and time primitives shared by the processes of this project: TCP connections from a given local address, TCP
//! listeners, clocks, a notifier between tasks, a timer for the earliest of several deadlines, what one peer may take of
//! the event loop, and whether all that it has sent is read. The crate contains no decision logic.
//!
//! Start reading at [`connect`] and [`listen`]; then [`Clock`], [`Notifier`], [`DeadlineTimer`], [`LoopShare`], [`TaskExecutor`].
#![warn(missing_docs)]

mod clock;
mod loop_share;
mod measured_task;
mod notifier;
mod read_progress;
mod task_loop;
mod tcp;
mod timer;

pub use clock::{Clock, duration_from_micros};
pub use loop_share::{FairStream, LoopShare, STEPS_PER_TURN, TURN_TIME};
pub use measured_task::{TaskExecutor, TaskRun, measured};
pub use notifier::Notifier;
pub use read_progress::{ReadProgress, UnreadInput};
pub use task_loop::run_tasks;
pub use tcp::{PeerStream, Stream, close_queue, connect, is_out_of_resources, is_reset, listen};
pub use timer::DeadlineTimer;
