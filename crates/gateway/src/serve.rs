//! Runs one router until a signal stops it. All tasks run on one thread, so that the core needs no locks.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use cedarpulley::interface::{EndpointListKind, Micros};
use cedarpulley_errors::Remedy;
use cedarpulley_router::{FrontIndex, Input};
use futures_lite::StreamExt;
use thiserror::Error;

use crate::fault_injection::InjectedFault;
use crate::gateway::Gateway;
use crate::peer_group::PeerGroupError;
use crate::resources::Resources;
use crate::settings::{EndpointListSource, RouterSettings};
use crate::task_owner::{Executor, TaskOwner};
use crate::{endpoint_list, wiring};

/// Interval at which idle connections to workers are closed.
const CLOSE_IDLE_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which old trace blocks and usage sums are written. Without it, a router that receives no further events
/// would keep them in memory, and a kill would lose data that is minutes old.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the longest run of a task is looked at.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// A run of a task of this length is logged, in microseconds: all answers were this late.
const LONG_RUN: Micros = 50_000;

/// Why a router does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A file, a socket or another resource of the operating system is not available.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// The peer group cannot be joined.
    #[error(transparent)]
    Group(#[from] PeerGroupError),
}

impl Remedy for StartError {
    fn remedy(&self) -> &'static str {
        match self {
            StartError::System(_) => {
                "check that the router's addresses are free and its folders are writable"
            }
            StartError::Group(failed) => failed.remedy(),
        }
    }
}

/// Runs one router until SIGTERM or SIGINT. Returns true if every accepted request was answered.
pub fn run(
    name: &str,
    settings: RouterSettings,
    fault: Option<InjectedFault>,
) -> Result<bool, StartError> {
    let longest_client_timeout = settings
        .startup
        .triggers
        .iter()
        .map(|trigger| trigger.client_timeout)
        .max()
        .unwrap_or(0);
    let workers = settings.workers.clone();
    let mut resources = Resources::acquire(name, settings, fault)?;
    let sockets = std::mem::take(&mut resources.sockets);
    let executor = Executor::new(resources.clock);
    let gateway = wiring::build(resources, &executor);
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    executor.run(async {
        start_tasks(&gateway, workers, sockets);
        tracing::info!(router = name, "running");
        signals.next().await;
        Ok(gateway.stop(longest_client_timeout).await)
    })
}

fn start_tasks(
    gateway: &Rc<Gateway>,
    workers: EndpointListSource,
    sockets: Vec<Async<TcpListener>>,
) {
    let executor = &gateway.context.executor;
    executor
        .spawn(TaskOwner::Timers, gateway.clone().run_timers())
        .detach();
    start_endpoint_list(gateway, workers);
    for (index, front) in gateway.fronts.iter().enumerate() {
        let owner = TaskOwner::Broker(index as FrontIndex);
        executor.spawn(owner, front.clone().run()).detach();
    }
    for (client_listener, socket) in gateway.client_listeners.iter().zip(sockets) {
        let owner = TaskOwner::Accepting(client_listener.handler.front);
        executor
            .spawn(owner, client_listener.clone().run(socket))
            .detach();
    }
    executor
        .spawn(TaskOwner::Housekeeping, close_idle(gateway.clone()))
        .detach();
    let reporting = report_long_runs(executor.clone());
    executor.spawn(TaskOwner::Housekeeping, reporting).detach();
    start_group_tasks(gateway);
    executor
        .spawn(TaskOwner::Housekeeping, flush(gateway.clone()))
        .detach();
}

/// Starts the tasks of what routers of a group share, and of the faults that tests inject.
fn start_group_tasks(gateway: &Rc<Gateway>) {
    let executor = &gateway.context.executor;
    gateway
        .peer_group
        .iter()
        .for_each(|peer_group| peer_group.run(&gateway.context));
    gateway.admission.iter().for_each(|admission| {
        executor
            .spawn(TaskOwner::Admission, admission.clone().run())
            .detach();
    });
    if let Some(upgrades) = &gateway.upgrades {
        executor
            .spawn(TaskOwner::Upgrades, upgrades.clone().run())
            .detach();
        let reloading = upgrades.clone().reload_on_sighup();
        executor.spawn(TaskOwner::Upgrades, reloading).detach();
    }
    gateway
        .reconciliation
        .iter()
        .for_each(|reconciliation| reconciliation.run());
    let corrupting = gateway
        .fault_injector
        .clone()
        .corrupt_records(gateway.reconciliation.clone());
    executor
        .spawn(TaskOwner::FaultInjection, corrupting)
        .detach();
}

fn start_endpoint_list(gateway: &Rc<Gateway>, workers: EndpointListSource) {
    match workers {
        EndpointListSource::Fixed(workers) => gateway.feed(Input::EndpointList {
            kind: EndpointListKind::Complete,
            workers,
        }),
        EndpointListSource::Watched(address) => {
            let fault_injector = gateway.fault_injector.clone();
            let reconciliation = gateway.reconciliation.clone();
            let filter = move |event| {
                let event = fault_injector.filter_list_event(event);
                reconciliation
                    .iter()
                    .for_each(|reconciliation| reconciliation.observe_list_event(&event));
                event
            };
            let watch = endpoint_list::watch(gateway.context.clone(), address, filter);
            let executor = &gateway.context.executor;
            executor.spawn(TaskOwner::EndpointList, watch).detach();
        }
    }
}

async fn close_idle(gateway: Rc<Gateway>) {
    loop {
        Timer::after(CLOSE_IDLE_INTERVAL).await;
        gateway.pool.close_idle();
    }
}

/// Logs which task held the event loop for long: meanwhile no other task ran, and no client was served.
async fn report_long_runs(executor: Executor) {
    loop {
        Timer::after(REPORT_INTERVAL).await;
        let longest = executor.take_longest_run();
        if let Some(run) = longest.filter(|run| run.duration >= LONG_RUN) {
            let (held_by, held_ms) = (run.owner, run.duration / 1_000);
            tracing::warn!(?held_by, held_ms, "a task held the event loop");
        }
    }
}

async fn flush(gateway: Rc<Gateway>) {
    loop {
        Timer::after(FLUSH_INTERVAL).await;
        let now = gateway.context.clock.now();
        gateway
            .trace_recorder
            .iter()
            .for_each(|recorder| recorder.flush_old(now));
        gateway
            .metering
            .iter()
            .for_each(|metering| metering.flush_due(now));
    }
}
