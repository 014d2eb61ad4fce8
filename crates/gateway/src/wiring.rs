//! Builds the components of a router and connects them: each gets the context and the other components that it needs.
//! No task is started here.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::sync::Arc;

use cedarpulley::interface::Micros;
use cedarpulley_certificates::ClientAccounts;
use cedarpulley_kserve::client_requests;
use cedarpulley_net::DeadlineTimer;
use cedarpulley_reconcile::{Claims, FunctionReport, Observation};
use cedarpulley_router::{Input, Router};
use cedarpulley_upgrade::{FunctionCopies, ObservedWorker};

use crate::admission::Admission;
use crate::amqp_front::{AmqpFront, AmqpSource};
use crate::answer_times::AnswerTimes;
use crate::client_connection::HandlerResources;
use crate::client_listener::ClientListener;
use crate::context::GatewayContext;
use crate::fault_injection::{FaultInjector, InjectedFault};
use crate::gateway::{Gateway, worker_address};
use crate::input_memory::InputMemory;
use crate::listed_workers::ListedWorkers;
use crate::peer_group::PeerGroup;
use crate::pool::Pool;
use crate::reconciliation::Reconciliation;
use crate::request_handling::RequestHandler;
use crate::resources::{GroupResources, ListenerWithTls, Resources};
use crate::shared_state::SharedState;
use crate::task_owner::Executor;
use crate::upgrades::Upgrades;

/// Builds the gateway from its resources. The caller has to hold it until the executor has ended: events of tasks that
/// still run are dropped once the gateway is dropped.
pub(crate) fn build(resources: Resources, executor: &Executor) -> Rc<Gateway> {
    Rc::new_cyclic(|gateway| assemble(resources, executor, gateway))
}

fn assemble(resources: Resources, executor: &Executor, gateway: &Weak<Gateway>) -> Gateway {
    let context = context(&resources, executor, gateway.clone());
    let times = Rc::new(AnswerTimes::default());
    let router = Rc::new(RefCell::new(resources.router));
    let pool = Rc::new(Pool::new(executor.clone(), resources.clock, resources.pool));
    let kserve = KserveFronts {
        first_index: resources.amqp_sources.len(),
        context: context.clone(),
        shared: handler_resources(&router, resources.input_memory),
        max_body_bytes: resources.max_body_bytes,
        certificate_accounts: resources.certificate_accounts,
    };
    let fronts = amqp_fronts(
        resources.amqp_sources,
        resources.max_body_bytes,
        &context,
        &times,
    );
    let group = GroupComponents::build(resources.group, &context, &pool, gateway);
    let fault_injector = fault_injector(resources.fault, &context, &pool, &router);
    let gateway = Gateway {
        fault_injector,
        router,
        times,
        trace_recorder: resources.trace_recorder,
        metering: resources.metering,
        fronts,
        client_listeners: kserve.listeners(resources.listeners),
        pool,
        listed_workers: ListedWorkers::default(),
        peer_group: group.peer_group,
        upgrades: group.upgrades,
        admission: group.admission,
        reconciliation: group.reconciliation,
        alarm: DeadlineTimer::default(),
        context,
    };
    connect(&gateway, group.shared.as_ref());
    gateway
}

/// The components that depend on the peer group or on the workers' reports; each is present only if configured.
struct GroupComponents {
    peer_group: Option<PeerGroup>,
    shared: Option<SharedState>,
    upgrades: Option<Rc<Upgrades>>,
    admission: Option<Rc<Admission>>,
    reconciliation: Option<Rc<Reconciliation>>,
}

impl GroupComponents {
    fn build(
        resources: GroupResources,
        context: &Rc<GatewayContext>,
        pool: &Rc<Pool>,
        gateway: &Weak<Gateway>,
    ) -> GroupComponents {
        let peer_group = resources
            .peer_group
            .map(|group| PeerGroup::new(context, group));
        let shared = peer_group.as_ref().map(PeerGroup::shared_state);
        let upgrades = shared
            .clone()
            .zip(resources.upgrade)
            .map(|(shared, settings)| Upgrades::new(context.clone(), shared, settings));
        let admission = resources.sessions.map(|session_settings| {
            let (shared, upgrades) = (shared.clone(), upgrades.clone());
            let core = core_input_after_admission(gateway.clone());
            Admission::new(context.clone(), session_settings, shared, upgrades, core)
        });
        let reconciliation = resources.reconcile.map(|settings| {
            Reconciliation::new(
                context.clone(),
                pool.clone(),
                shared.clone(),
                settings,
                resources.idle_retention,
                resources.memory_mb,
            )
        });
        GroupComponents {
            peer_group,
            shared,
            upgrades,
            admission,
            reconciliation,
        }
    }
}

fn amqp_fronts(
    sources: Vec<AmqpSource>,
    max_body_bytes: u64,
    context: &Rc<GatewayContext>,
    times: &Rc<AnswerTimes>,
) -> Vec<Rc<AmqpFront>> {
    let front = |(index, source): (usize, AmqpSource)| {
        let (context, times) = (context.clone(), times.clone());
        let index = index as u32;
        Rc::new(AmqpFront::new(
            index,
            source,
            max_body_bytes,
            context,
            times,
        ))
    };
    sources.into_iter().enumerate().map(front).collect()
}

fn fault_injector(
    fault: Option<InjectedFault>,
    context: &Rc<GatewayContext>,
    pool: &Rc<Pool>,
    router: &Rc<RefCell<Router>>,
) -> Rc<FaultInjector> {
    let router = router.clone();
    let address = Rc::new(move |worker| worker_address(&router, worker));
    let (context, pool) = (context.clone(), pool.clone());
    Rc::new(FaultInjector::new(fault, context, pool, address))
}

fn context(
    resources: &Resources,
    executor: &Executor,
    gateway: Weak<Gateway>,
) -> Rc<GatewayContext> {
    Rc::new(GatewayContext {
        clock: resources.clock,
        executor: executor.clone(),
        name: resources.name.clone(),
        seed: resources.seed,
        local_address: resources.pool.local_address,
        names: resources.names.clone(),
        tracks_sessions: resources.group.sessions.is_some() || resources.group.reconcile.is_some(),
        malformed_inputs: Cell::new(0),
        core_input: Box::new(move |input| {
            if let Some(gateway) = gateway.upgrade() {
                gateway.feed(input);
            }
        }),
    })
}

fn core_input_after_admission(gateway: Weak<Gateway>) -> Box<dyn Fn(Input)> {
    Box::new(move |input| {
        if let Some(gateway) = gateway.upgrade() {
            gateway.feed_core(input);
        }
    })
}

fn handler_resources(
    router: &Rc<RefCell<Router>>,
    input_memory: Rc<InputMemory>,
) -> Rc<HandlerResources> {
    let router = router.clone();
    Rc::new(HandlerResources {
        unread_bytes: Cell::new(0),
        input_memory,
        functions: Box::new(move || router.borrow().functions().map(str::to_owned).collect()),
    })
}

/// The settings and resources from which all KServe fronts are built.
struct KserveFronts {
    /// Index of the first KServe front; the AMQP fronts have the indices below it.
    first_index: usize,
    context: Rc<GatewayContext>,
    shared: Rc<HandlerResources>,
    max_body_bytes: u64,
    certificate_accounts: Rc<ClientAccounts>,
}

impl KserveFronts {
    fn listeners(&self, listeners: Vec<ListenerWithTls>) -> Vec<Rc<ClientListener>> {
        let listener = |(position, (settings, tls)): (usize, ListenerWithTls)| {
            let index = (self.first_index + position) as u32;
            let (context, shared) = (self.context.clone(), self.shared.clone());
            let handler = RequestHandler::new(
                index,
                context,
                shared,
                self.max_body_bytes,
                settings.max_streams,
            );
            let accounts = self.certificate_accounts.clone();
            Rc::new(ClientListener::new(
                Rc::new(handler),
                settings,
                tls,
                accounts,
            ))
        };
        listeners.into_iter().enumerate().map(listener).collect()
    }
}

/// Registers the components with the core, the state endpoint and each other.
fn connect(gateway: &Gateway, shared: Option<&SharedState>) {
    let Gateway {
        router,
        upgrades,
        admission,
        reconciliation,
        ..
    } = gateway;
    if let Some(admission) = admission {
        router.borrow_mut().add_observer(admission.observer());
    }
    if let Some(reconciliation) = reconciliation {
        router.borrow_mut().add_observer(reconciliation.observer());
        if let Some(shared) = shared {
            let source = reconciliation.clone();
            shared.add_state_provider("reconcile", move || source.state());
        }
        if let Some(upgrades) = upgrades {
            connect_upgrades(reconciliation, upgrades);
        }
        if let Some(admission) = admission {
            connect_admission(reconciliation, admission);
        }
    }
    if let (Some(shared), Some(upgrades), Some(admission)) = (shared, upgrades, admission) {
        let (upgrades, admission) = (upgrades.clone(), admission.clone());
        shared.add_state_provider("upgrade", move || upgrades.state(admission.state()));
    }
}

fn connect_upgrades(reconciliation: &Rc<Reconciliation>, upgrades: &Rc<Upgrades>) {
    let source = reconciliation.clone();
    upgrades.set_holdings_source(Box::new(move || source.last_reports(to_observed_worker)));
    let claiming_plans = upgrades.clone();
    reconciliation.set_claims_provider(Box::new(move |functions| {
        claims(&claiming_plans, functions)
    }));
    let upgrades = upgrades.clone();
    // Includes retired versions, so that the reconciliation does not load their copies again.
    let managed_or_retired = move |function: &str| {
        let (model, version) = client_requests::split_version(function);
        upgrades.manages(function) || upgrades.is_retired(model, version)
    };
    reconciliation.set_plan_check(Box::new(managed_or_retired));
}

fn connect_admission(reconciliation: &Rc<Reconciliation>, admission: &Rc<Admission>) {
    let (ids, workers) = (reconciliation.clone(), reconciliation.clone());
    let (id_of, worker_of) = (
        move |worker: &str| ids.id_of(worker),
        move |id: &str| workers.worker_of(id),
    );
    admission.set_worker_ids(Box::new(id_of), Box::new(worker_of));
    let uses = reconciliation.clone();
    let recently_used = move |worker: &str, function: &str| uses.used_recently(worker, function);
    admission.set_recent_use_check(Box::new(recently_used));
    let admission = admission.clone();
    let prefix_lost = move |worker: &str, function: &str, sessions: &[Arc<str>]| {
        admission.prefix_lost(worker, function, sessions);
    };
    reconciliation.on_prefix_lost(Box::new(prefix_lost));
}

/// The claims of upgrade plans, and those of `functions` whose version a plan has retired. Functions managed by a plan
/// in progress are not reported as retired: a version that is retired here may still be needed elsewhere to maintain
/// the plan's minimum number of copies.
fn claims(upgrades: &Upgrades, functions: &[Arc<str>]) -> Claims {
    let retired = |function: &&Arc<str>| {
        let (model, version) = client_requests::split_version(function);
        upgrades.is_retired(model, version) && !upgrades.manages(function)
    };
    let claims = upgrades.claims();
    Claims {
        terms: claims
            .iter()
            .filter_map(|claim| claim.term.clone())
            .collect(),
        retired: functions.iter().filter(retired).cloned().collect(),
        functions: claims.into_iter().map(|claim| claim.function).collect(),
    }
}

/// Converts a worker's last report to the planner's type. The worker's region and state and the copies' sizes are not
/// part of the report; `CopyInventory` adds them.
fn to_observed_worker(
    worker: &Arc<str>,
    observed_at: Micros,
    memory_mb: f64,
    observation: &Observation,
) -> ObservedWorker {
    let to_copies = |entry: &FunctionReport| FunctionCopies {
        function: entry.function.clone(),
        copies: entry.copies,
        lanes: entry.copies,
        busy_lanes: entry.busy.unwrap_or(0),
        loading: entry.loading,
        sessions: entry.sessions.as_ref().map_or(0, |ids| ids.len() as u32),
        copy_mb: 0,
    };
    ObservedWorker {
        name: worker.clone(),
        region: Arc::from(""),
        accepts_copies: false,
        observed_at,
        memory_mb: memory_mb as u32,
        used_mb: 0,
        copies: observation.entries.iter().map(to_copies).collect(),
    }
}
