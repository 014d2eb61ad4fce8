//! The resources that a router acquires before it runs: its files, sockets and core. They are acquired in a fixed
//! order, so that a router that cannot start fails with the same error each time.

use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;

use async_io::Async;
use cedarpulley::interface::Micros;
use cedarpulley_certificates::ClientAccounts;
use cedarpulley_net::{Clock, listen};
use cedarpulley_router::Router;
use cedarpulley_startup::Names;
use cedarpulley_trace::start::{StartRecord, module_digest};
use cedarpulley_upgrade::sessions;

use crate::amqp_front::AmqpSource;
use crate::client_listener::ListenerSettings;
use crate::fault_injection::InjectedFault;
use crate::input_memory::InputMemory;
use crate::metering::Metering;
use crate::peer_group::PeerGroupResources;
use crate::pool::PoolSettings;
use crate::reconciliation::ReconcileSettings;
use crate::serve::StartError;
use crate::settings::RouterSettings;
use crate::tls::ServerTls;
use crate::trace_recorder::TraceRecorder;
use crate::upgrades::UpgradeSettings;

/// A KServe listener with its TLS configuration, if it has one.
pub(crate) type ListenerWithTls = (ListenerSettings, Option<Rc<ServerTls>>);

/// The resources that the components of a router are built from.
pub(crate) struct Resources {
    pub(crate) name: String,
    pub(crate) clock: Clock,
    pub(crate) seed: u64,
    pub(crate) names: Names,
    pub(crate) router: Router,
    pub(crate) trace_recorder: Option<TraceRecorder>,
    pub(crate) metering: Option<Metering>,
    pub(crate) amqp_sources: Vec<AmqpSource>,
    pub(crate) listeners: Vec<ListenerWithTls>,
    /// The bound sockets of `listeners`, in the same order.
    pub(crate) sockets: Vec<Async<TcpListener>>,
    pub(crate) certificate_accounts: Rc<ClientAccounts>,
    pub(crate) max_body_bytes: u64,
    pub(crate) input_memory: Rc<InputMemory>,
    pub(crate) pool: PoolSettings,
    pub(crate) group: GroupResources,
    pub(crate) fault: Option<InjectedFault>,
}

/// The resources of the components that depend on the peer group or on the workers' reports.
pub(crate) struct GroupResources {
    pub(crate) peer_group: Option<PeerGroupResources>,
    pub(crate) upgrade: Option<UpgradeSettings>,
    pub(crate) reconcile: Option<ReconcileSettings>,
    pub(crate) sessions: Option<sessions::SessionSettings>,
    /// Time after a copy's last use in which the balancer assumes that the copy still exists, in microseconds.
    pub(crate) idle_retention: Micros,
    /// Memory in MB, by index of the kind of worker.
    pub(crate) memory_mb: Vec<f64>,
}

impl Resources {
    /// Opens files and binds sockets. Fails if an address is in use, or a file or folder cannot be used.
    pub(crate) fn acquire(
        name: &str,
        settings: RouterSettings,
        fault: Option<InjectedFault>,
    ) -> Result<Resources, StartError> {
        let clock = Clock::with_wall_offset(settings.clock_offset);
        let seed = settings.seed.unwrap_or_else(|| fresh_seed(&clock));
        let trace_recorder = begin_trace(name, &settings, &clock, seed)?;
        let disabled_check = fault.and_then(InjectedFault::disabled_check);
        let peer_group = match settings.peers {
            Some(peers) => Some(PeerGroupResources::acquire(peers, &clock, disabled_check)?),
            None => None,
        };
        let sockets = bind(&settings.listeners)?;
        let listeners = with_tls(settings.listeners, &clock)?;
        let metering = begin_metering(name, settings.ledger_folder, &settings.names, &clock)?;
        let balancer = settings.startup.balancer(seed);
        let loads = settings.startup.loads;
        let input_memory = Rc::new(InputMemory::of(settings.core_settings.memory_bytes));
        let mut router = Router::new(balancer, settings.startup.triggers, settings.core_settings);
        register_observers(&mut router, trace_recorder.as_ref(), metering.as_ref());
        Ok(Resources {
            name: name.to_owned(),
            clock,
            seed,
            names: settings.names,
            router,
            trace_recorder,
            metering,
            amqp_sources: settings.amqp_sources,
            listeners,
            sockets,
            certificate_accounts: Rc::new(settings.certificate_accounts),
            max_body_bytes: settings.max_body_bytes,
            input_memory,
            pool: settings.pool,
            group: GroupResources {
                peer_group,
                upgrade: settings.upgrade,
                reconcile: settings.reconcile,
                sessions: settings.sessions,
                idle_retention: loads.idle_retention,
                memory_mb: loads.memory_mb,
            },
            fault,
        })
    }
}

/// A seed that differs between starts, for routers without a configured seed.
fn fresh_seed(clock: &Clock) -> u64 {
    clock.wall_time() as u64 ^ u64::from(std::process::id()) << 40
}

/// Binds the sockets of the listeners, in their order.
fn bind(listeners: &[ListenerSettings]) -> Result<Vec<Async<TcpListener>>, StartError> {
    let sockets = listeners.iter().map(|listener| listen(listener.address));
    Ok(sockets.collect::<Result<_, _>>()?)
}

/// Registers the trace recorder and the metering, if configured, with the core.
fn register_observers(
    router: &mut Router,
    trace_recorder: Option<&TraceRecorder>,
    metering: Option<&Metering>,
) {
    if let Some(trace_recorder) = trace_recorder {
        router.add_observer(Box::new(trace_recorder.clone()));
    }
    if let Some(metering) = metering {
        router.add_observer(Box::new(metering.clone()));
    }
}

fn begin_trace(
    name: &str,
    settings: &RouterSettings,
    clock: &Clock,
    seed: u64,
) -> std::io::Result<Option<TraceRecorder>> {
    let Some(trace) = settings.trace.clone() else {
        return Ok(None);
    };
    let sources = settings
        .amqp_sources
        .iter()
        .map(|source| source.name.clone());
    let start = StartRecord {
        router: name.to_owned(),
        module_digest: module_digest(),
        settings_digest: settings.digest,
        file_number: 0,
        wall_at_zero: clock.wall_time() - clock.now(),
        trigger_names: settings.names.triggers.clone(),
        account_names: settings.names.accounts.clone(),
        front_names: sources
            .chain(
                settings
                    .listeners
                    .iter()
                    .map(|listener| listener.name.clone()),
            )
            .collect(),
        seed,
        startup: settings.startup.clone(),
    };
    TraceRecorder::begin(trace, name, start).map(Some)
}

fn with_tls(
    listeners: Vec<ListenerSettings>,
    clock: &Clock,
) -> std::io::Result<Vec<ListenerWithTls>> {
    let mut all = Vec::new();
    for listener in listeners {
        let tls = match &listener.tls {
            None => None,
            Some(files) => {
                let opened = ServerTls::open(files.clone(), clock.wall_time());
                Some(opened.map_err(|rejected| std::io::Error::other(rejected.cause))?)
            }
        };
        all.push((listener, tls));
    }
    Ok(all)
}

fn begin_metering(
    name: &str,
    folder: Option<PathBuf>,
    names: &Names,
    clock: &Clock,
) -> std::io::Result<Option<Metering>> {
    let Some(folder) = folder else {
        return Ok(None);
    };
    // A random UUID, so that it is unique to this process.
    let source = uuid::Uuid::new_v4().as_u128();
    let wall_at_zero = clock.wall_time() - clock.now();
    Metering::begin(folder, name, source, names.accounts.clone(), wall_at_zero).map(Some)
}
