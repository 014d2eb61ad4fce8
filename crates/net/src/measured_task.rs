//! Measures how long tasks run before they give way to the others: [`measured`] for one task, [`TaskExecutor`] for all tasks
//! of a process.

use std::cell::RefCell;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;

use cedarpulley::interface::Micros;
use smol::{LocalExecutor, Task};

use crate::clock::Clock;
use crate::task_loop::run_tasks;

/// Runs `task`, and calls `record` with the length of each of its runs, in microseconds.
pub async fn measured<T>(
    clock: Clock,
    record: impl Fn(Micros),
    task: impl Future<Output = T>,
) -> T {
    let mut task = pin!(task);
    poll_fn(|context| {
        let began = clock.now();
        let polled = task.as_mut().poll(context);
        record(clock.now() - began);
        polled
    })
    .await
}

/// A time in which one task ran without giving way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskRun<O> {
    /// Whose task it was.
    pub owner: O,
    /// How long it ran, in microseconds.
    pub duration: Micros,
}

/// Runs the tasks of a process on one thread, and measures how long each of them holds it. Clones share the tasks.
#[derive(Debug)]
pub struct TaskExecutor<O> {
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    /// The longest run since the last report.
    longest: Rc<RefCell<Option<TaskRun<O>>>>,
}

impl<O> Clone for TaskExecutor<O> {
    fn clone(&self) -> Self {
        TaskExecutor {
            executor: self.executor.clone(),
            clock: self.clock,
            longest: self.longest.clone(),
        }
    }
}

impl<O: Copy + 'static> TaskExecutor<O> {
    /// An executor without tasks.
    pub fn new(clock: Clock) -> Self {
        TaskExecutor {
            executor: Rc::new(LocalExecutor::new()),
            clock,
            longest: Rc::default(),
        }
    }

    /// Starts a task that runs concurrently with the others.
    pub fn spawn<T: 'static>(&self, owner: O, task: impl Future<Output = T> + 'static) -> Task<T> {
        let longest = self.longest.clone();
        let record = move |duration| record_run(&longest, TaskRun { owner, duration });
        // Boxed, as it would be stored twice, in the future that measures it and in its argument.
        self.executor
            .spawn(measured(self.clock, record, Box::pin(task)))
    }

    /// Runs a task, and all tasks that it spawns, on this thread until that first task ends.
    pub fn run<T>(&self, task: impl Future<Output = T>) -> T {
        run_tasks(&self.executor, task)
    }

    /// The longest run since the last call; `None` if no task has run.
    pub fn take_longest_run(&self) -> Option<TaskRun<O>> {
        self.longest.borrow_mut().take()
    }
}

fn record_run<O>(longest: &RefCell<Option<TaskRun<O>>>, run: TaskRun<O>) {
    let mut longest = longest.borrow_mut();
    let is_longer = longest
        .as_ref()
        .is_none_or(|longest| run.duration > longest.duration);
    if is_longer {
        *longest = Some(run);
    }
}
