//! The settings of one router, read from TOML and rejected as a whole if they contain any error. Each component
//! receives only its own settings; docs/operate/settings.md documents the keys.
//!
//! This module reads all sections and checks them against each other. The sections are parsed in `core_settings`,
//! `front_settings`, `group_settings`, `storage_settings` and `worker_settings`, which use `config_values` and
//! [`config_reader`](crate::config_reader), but not this module.

use std::path::{Path, PathBuf};

use cedarpulley::interface::*;
use cedarpulley_certificates::ClientAccounts;
use cedarpulley_reconcile::polling::longest_interval;
use cedarpulley_router::CoreSettings;
use cedarpulley_router::replication::ReplicationSettings;
pub use cedarpulley_startup::Names;
use cedarpulley_startup::StartupSettings;
use cedarpulley_trace::start::digest;
use cedarpulley_upgrade::sessions;

use crate::amqp_front::AmqpSource;
use crate::client_listener::ListenerSettings;
use crate::config_reader::{ConfigDocument, ConfigErrors, Section};
use crate::config_values::{DAY_MS, NEVER};
use crate::core_settings::{self, RouterSection};
use crate::front_settings::{self, References};
use crate::group_settings::{self, DEFAULT_SESSION_SETTINGS};
use crate::peer_settings::PeerSettings;
use crate::pool::PoolSettings;
use crate::reconciliation::ReconcileSettings;
use crate::storage_settings;
use crate::trace_recorder::TraceSettings;
use crate::upgrades::UpgradeSettings;
use crate::worker_settings;
pub use crate::worker_settings::EndpointListSource;

/// All settings of a router.
pub struct RouterSettings {
    /// Seed of all random draws; without it, each start uses a different one.
    pub seed: Option<u64>,
    /// Initial settings of the balancer.
    pub startup: StartupSettings,
    /// The names of zones, kinds of workers, trigger types and accounts, by index.
    pub names: Names,
    /// Limits of the core.
    pub core_settings: CoreSettings,
    /// The queues to consume from.
    pub amqp_sources: Vec<AmqpSource>,
    /// The addresses to listen on for KServe clients.
    pub listeners: Vec<ListenerSettings>,
    /// Where the workers are listed.
    pub workers: EndpointListSource,
    /// Limits of the connections to workers.
    pub pool: PoolSettings,
    /// Size limit of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// The accounts that names in client certificates are bound to.
    pub certificate_accounts: ClientAccounts,
    /// Recording of a trace, if configured.
    pub trace: Option<TraceSettings>,
    /// Folder of the usage ledger (memory-seconds), if metering is configured.
    pub ledger_folder: Option<PathBuf>,
    /// Digest of the settings' text.
    pub digest: [u8; 32],
    /// Offset of the wall clock in microseconds, for tests; only `[rig]` can set it.
    pub clock_offset: Micros,
    /// The group whose members this router shares records with, if any.
    pub peers: Option<PeerSettings>,
    /// Upgrades of models, if configured.
    pub upgrade: Option<UpgradeSettings>,
    /// Reconciliation of the warm index with the workers' reports, if configured.
    pub reconcile: Option<ReconcileSettings>,
    /// Tracking of sessions, if configured.
    pub sessions: Option<sessions::SessionSettings>,
}

/// Reads the settings from `text`, and the certificates that they name; paths are relative to the folder of `file`.
/// `rig`: allows the section `[rig]`, for a router under test. All errors are returned together.
pub fn read(file: &str, text: &str, rig: bool) -> Result<RouterSettings, ConfigErrors> {
    let (document, table) = ConfigDocument::parse(file, text)?;
    let folder = Path::new(file).parent().unwrap_or(Path::new(""));
    let root = Section::root(&document, &table);
    let mut settings = assemble(&root, folder);
    let test_section = root.section("rig");
    if test_section.is_present() && !rig {
        root.error("rig", "is for tests only; take it out, or start with --rig");
    }
    let day = DAY_MS as f64;
    settings.clock_offset =
        (test_section.number("clock_offset_ms", -day..day, Some(0.0)) * 1000.0) as Micros;
    test_section.finish();
    root.check_unknown_keys();
    settings.digest = digest(text.as_bytes());
    document.finish(settings)
}

fn assemble(root: &Section, folder: &Path) -> RouterSettings {
    let core = CoreSections::read(root);
    let fronts = FrontSections::read(root, folder, &core);
    let peers = group_settings::peers(
        &root.section("peers"),
        folder,
        core.longest_client_timeout(),
    );
    check_fronts(root, fronts.is_empty(), peers.as_ref());
    let group = GroupSections::read(root, folder, peers.as_ref(), &core);
    let workers = worker_settings::workers(&root.section("workers"), &core.names);
    let trace = storage_settings::trace(&root.section("trace"), folder);
    let ledger_folder = storage_settings::ledger_folder(&root.section("meter"), folder);
    for known in [
        "router", "dispatch", "rules", "loads", "prices", "workers", "kind", "trace", "meter",
        "rig",
    ] {
        root.has(known);
    }
    RouterSettings {
        seed: core.router.seed,
        core_settings: core.core_settings(fronts.weights, peers.as_ref()),
        amqp_sources: fronts.amqp_sources,
        listeners: fronts.listeners,
        workers,
        max_body_bytes: core.router.max_body_bytes,
        trace,
        ledger_folder,
        digest: [0; 32],
        clock_offset: 0,
        peers,
        upgrade: group.upgrade,
        reconcile: group.reconcile,
        sessions: group.sessions,
        startup: StartupSettings {
            fleet: core.router.fleet,
            limits: core.limits,
            rules: core.rules,
            triggers: core.triggers,
            accounts: core.accounts,
            loads: core.loads,
            prices: core.prices,
            reports: core.reports,
            state: core.router.state_limits(),
        },
        names: core.names,
        pool: core.pool,
        certificate_accounts: core.certificate_accounts,
    }
}

/// The settings of the fronts.
struct FrontSections {
    amqp_sources: Vec<AmqpSource>,
    listeners: Vec<ListenerSettings>,
    /// Weights by front index, AMQP before KServe.
    weights: Vec<f64>,
}

impl FrontSections {
    fn read(root: &Section, folder: &Path, core: &CoreSections) -> FrontSections {
        let references = References {
            folder,
            names: &core.names,
            accounts: &core.accounts,
        };
        let mut weights = Vec::new();
        let amqp_sources = front_settings::amqp_sources(root, &references, &mut weights);
        let listeners = front_settings::kserve_listeners(root, &references, &mut weights);
        FrontSections {
            amqp_sources,
            listeners,
            weights,
        }
    }

    fn is_empty(&self) -> bool {
        self.amqp_sources.is_empty() && self.listeners.is_empty()
    }
}

/// The settings of the core and its balancer.
struct CoreSections {
    names: Names,
    router: RouterSection,
    limits: DispatchLimits,
    pool: PoolSettings,
    rules: RuleLimits,
    loads: LoadSettings,
    prices: Prices,
    triggers: Vec<TriggerType>,
    /// By trigger type: whether its invocations are sent without a majority of the group.
    sends_without_majority: Vec<bool>,
    accounts: Vec<Account>,
    certificate_accounts: ClientAccounts,
    reports: ReportSource,
}

impl CoreSections {
    fn read(root: &Section) -> CoreSections {
        let mut names = Names::default();
        let router = core_settings::router(&root.section("router"), &mut names);
        let (limits, pool) =
            core_settings::dispatch(&root.section("dispatch"), router.local_address);
        let rules = core_settings::rules(&root.section("rules"));
        let memory_mb = core_settings::kinds(root, &mut names);
        let loads = core_settings::loads(&root.section("loads"), memory_mb);
        let prices = core_settings::prices(&root.section("prices"));
        let (triggers, sends_without_majority) = core_settings::triggers(root, &limits, &mut names);
        let shortest_client_timeout = triggers
            .iter()
            .map(|trigger| trigger.client_timeout)
            .min()
            .unwrap_or(NEVER);
        if router.answer_margin >= shortest_client_timeout {
            root.section("router").error(
                "answer_margin_ms",
                "is not below the shortest client timeout",
            );
        }
        let (accounts, certificate_accounts) = core_settings::accounts(root, &mut names);
        let reports = core_settings::reports(root);
        CoreSections {
            names,
            router,
            limits,
            pool,
            rules,
            loads,
            prices,
            triggers,
            sends_without_majority,
            accounts,
            certificate_accounts,
            reports,
        }
    }

    fn longest_client_timeout(&self) -> Micros {
        self.triggers
            .iter()
            .map(|trigger| trigger.client_timeout)
            .max()
            .unwrap_or(0)
    }

    /// The limits of the core. `front_weights`: weights by front index, AMQP before KServe.
    fn core_settings(&self, front_weights: Vec<f64>, peers: Option<&PeerSettings>) -> CoreSettings {
        CoreSettings {
            answer_margin: self.router.answer_margin,
            clock_margin: self.router.clock_margin,
            memory_bytes: self.router.memory_bytes,
            front_weights,
            account_shares: self.accounts.iter().map(|account| account.share).collect(),
            order_timeout: self.loads.order_timeout,
            balancer_only: false,
            replication: peers.map(|peers| ReplicationSettings {
                without_majority: self.sends_without_majority.clone(),
                permission_validity: peers.send_lease(),
            }),
            drain_grace: self.rules.drain_grace,
        }
    }
}

/// Checks that the router has at least one front, or none if it is a witness.
fn check_fronts(root: &Section, no_front: bool, peers: Option<&PeerSettings>) {
    let is_witness =
        peers.is_some_and(|peers| peers.group.members[peers.group.own_index as usize].witness);
    match (no_front, is_witness) {
        (true, false) => root.error(
            "amqp",
            "no front is configured; set at least one amqp or kserve section",
        ),
        (false, true) => root.error(
            "peers",
            "a witness accepts no invocations; remove its amqp and kserve sections",
        ),
        _ => {}
    }
}

/// The settings of the components that depend on the workers' reports or on the group.
struct GroupSections {
    upgrade: Option<UpgradeSettings>,
    reconcile: Option<ReconcileSettings>,
    sessions: Option<sessions::SessionSettings>,
}

impl GroupSections {
    fn read(
        root: &Section,
        folder: &Path,
        peers: Option<&PeerSettings>,
        core: &CoreSections,
    ) -> GroupSections {
        let (upgrade, sessions) = group_settings::upgrade(
            &root.section("upgrade"),
            folder,
            peers,
            root.has("reconcile"),
        );
        let reconcile = group_settings::reconcile(&root.section("reconcile"));
        let longest_poll_interval =
            reconcile.map_or(0, |reconcile| longest_interval(reconcile.interval));
        let upgrade = upgrade.map(|upgrade| UpgradeSettings {
            latency_objectives: core
                .triggers
                .iter()
                .map(|trigger| trigger.latency_objective)
                .collect(),
            memory_mb: core.loads.memory_mb.clone(),
            planner_settings: upgrade
                .planner_settings
                .adjusted_to(longest_poll_interval, core.loads.idle_retention),
            ..upgrade
        });
        // Without upgrades, sessions are tracked only to prefer their workers.
        let sessions = sessions.or(reconcile.map(|_| DEFAULT_SESSION_SETTINGS));
        GroupSections {
            upgrade,
            reconcile,
            sessions,
        }
    }
}
