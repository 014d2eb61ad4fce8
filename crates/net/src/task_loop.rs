//! [`run_tasks`]: runs the tasks of a process on one thread.

use async_io::block_on;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use smol::LocalExecutor;

/// Most tasks that run before sockets and timers are polled again.
const TASKS_PER_POLL: u32 = 32;

/// Runs a task, and all tasks that it spawns, on this thread until that first task ends. Sockets and timers are polled
/// each time a few tasks have run, also if some tasks are always ready.
pub fn run_tasks<T>(executor: &LocalExecutor, task: impl Future<Output = T>) -> T {
    let run_others = async {
        loop {
            for _ in 0..TASKS_PER_POLL {
                executor.tick().await;
            }
            yield_now().await;
        }
    };
    block_on(task.or(run_others))
}
