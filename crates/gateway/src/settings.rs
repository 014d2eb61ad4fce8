//! The settings of one router, read from TOML and refused whole if anything is wrong. Each part of the program is
//! handed only its own; docs/operate/settings.md documents the keys. The sections are read in `core_settings.rs`,
//! `front_settings.rs` and `group_settings.rs`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use cedarpulley::interface::*;
use cedarpulley_certificates::ClientAccounts;
use cedarpulley_reconcile::asking::slowest;
use cedarpulley_router::CoreSettings;
use cedarpulley_router::endpoint_list::ListedWorker;
use cedarpulley_router::replication::ReplicationSettings;
pub use cedarpulley_startup::Names;
use cedarpulley_startup::StartupSettings;
use cedarpulley_trace::retention::RetentionLimits;
use cedarpulley_trace::start::digest;
use cedarpulley_upgrade::sessions;

use crate::amqp_front::AmqpSource;
use crate::client_listener::ListenerSettings;
use crate::config_reader::{ConfigDocument, ConfigErrors, Section};
use crate::core_settings::{self, NEVER, RouterSection};
use crate::front_settings::{self, References};
use crate::group_settings::{self, DEFAULT_SESSION_TERMS};
use crate::peer_settings::PeerSettings;
use crate::pool::PoolSettings;
use crate::reconciliation::ReconcileSettings;
use crate::trace_recorder::TraceSettings;
use crate::upgrades::UpgradeSettings;

/// A day in milliseconds: no time in the file is longer.
pub(crate) const DAY_MS: u64 = 86_400_000;
/// Larger than any number in the file that is not limited otherwise.
pub(crate) const MAX_NUMBER: f64 = 1e12;

/// Where the workers are listed.
#[derive(Clone, Debug)]
pub enum WorkerList {
    Fixed(Vec<ListedWorker>),
    Watched(SocketAddr),
}

/// All settings, handed on to the parts one by one.
pub struct RouterSettings {
    /// Without one each start draws differently.
    pub seed: Option<u64>,
    pub startup: StartupSettings,
    pub names: Names,
    pub core_terms: CoreSettings,
    pub amqp_sources: Vec<AmqpSource>,
    pub listeners: Vec<ListenerSettings>,
    pub workers: WorkerList,
    pub pool: PoolSettings,
    pub max_body_bytes: u64,
    pub certificate_accounts: ClientAccounts,
    /// Where a trace is kept, if it is.
    pub trace: Option<TraceSettings>,
    /// Where memory-seconds are kept, if they are.
    pub ledger_folder: Option<PathBuf>,
    /// Digest of the settings' text.
    pub digest: [u8; 32],
    /// Offset of the wall clock in microseconds; only where `[rig]` is allowed.
    pub clock_offset: Micros,
    /// The group that this router shares its records with, if any.
    pub peers: Option<PeerSettings>,
    /// Upgrades of models, if configured.
    pub upgrade: Option<UpgradeSettings>,
    /// Reconciliation of the warm index with the workers' reports, if configured.
    pub reconcile: Option<ReconcileSettings>,
    /// Tracking of sessions, if configured.
    pub sessions: Option<sessions::Terms>,
}

/// Reads the settings from `text`, and the certificates that it names relative to the folder of `file`.
/// `rig`: for a router under test, which may have `[rig]`. All errors are returned together.
pub fn read(file: &str, text: &str, rig: bool) -> Result<RouterSettings, ConfigErrors> {
    let (document, table) = ConfigDocument::parse(file, text)?;
    let folder = Path::new(file).parent().unwrap_or(Path::new(""));
    let root = Section::root(&document, &table);
    let mut settings = assemble(&root, folder);
    let r = root.section("rig");
    if r.is_present() && !rig {
        root.error("rig", "is for tests only; take it out, or start with --rig");
    }
    let day = DAY_MS as f64;
    settings.clock_offset = (r.number("clock_offset_ms", -day..day, Some(0.0)) * 1000.0) as Micros;
    r.finish();
    settings.digest = digest(text.as_bytes());
    document.finish(settings)
}

fn assemble(root: &Section, folder: &Path) -> RouterSettings {
    let mut names = Names::default();
    let router = core_settings::router(&root.section("router"), &mut names);
    let (limits, pool) = core_settings::dispatch(&root.section("dispatch"), router.local_address);
    let rules = core_settings::rules(&root.section("rules"));
    let memory_mb = core_settings::kinds(root, &mut names);
    let loads = core_settings::loads(&root.section("loads"), memory_mb);
    let prices = core_settings::prices(&root.section("prices"));
    let (triggers, alone) = core_settings::triggers(root, &limits, &mut names);
    let shortest = triggers
        .iter()
        .map(|t| t.client_timeout)
        .min()
        .unwrap_or(NEVER);
    if router.answer_margin >= shortest {
        root.section("router").error(
            "answer_margin_ms",
            "is not below the shortest client timeout",
        );
    }
    let (accounts, certificate_accounts) = core_settings::accounts(root, &mut names);

    let mut front_weights = Vec::new();
    let references = References {
        folder,
        names: &names,
        accounts: &accounts,
    };
    let amqp_sources = front_settings::amqp_sources(root, &references, &mut front_weights);
    let listeners = front_settings::kserve_listeners(root, &references, &mut front_weights);
    let longest = triggers.iter().map(|t| t.client_timeout).max().unwrap_or(0);
    let peers = group_settings::peers(&root.section("peers"), folder, longest);
    check_fronts(
        root,
        amqp_sources.is_empty() && listeners.is_empty(),
        peers.as_ref(),
    );
    let Shared {
        upgrade,
        reconcile,
        sessions,
    } = shared(root, folder, peers.as_ref(), &triggers, &loads);
    let sharing = peers.as_ref().map(|p| ReplicationSettings {
        without_majority: alone,
        permission_validity: p.send_lease(),
    });
    let workers = workers(&root.section("workers"), &names);
    let trace = trace(&root.section("trace"), folder);
    let ledger_folder = ledger_folder(&root.section("meter"), folder);
    let reports = core_settings::reports(root);
    let core_terms = core_terms(
        &router,
        &accounts,
        &loads,
        front_weights,
        sharing,
        rules.drain_grace,
    );
    for known in [
        "router", "dispatch", "rules", "loads", "prices", "workers", "kind", "trace", "meter",
        "rig",
    ] {
        root.has(known);
    }
    let fleet = router.fleet;
    let startup = StartupSettings {
        fleet,
        limits,
        rules,
        triggers,
        accounts,
        loads,
        prices,
        reports,
    };
    RouterSettings {
        seed: router.seed,
        startup,
        names,
        core_terms,
        amqp_sources,
        listeners,
        workers,
        pool,
        max_body_bytes: router.max_body_bytes,
        certificate_accounts,
        trace,
        ledger_folder,
        digest: [0; 32],
        clock_offset: 0,
        peers,
        upgrade,
        reconcile,
        sessions,
    }
}

fn core_terms(
    router: &RouterSection,
    accounts: &[Account],
    loads: &LoadSettings,
    front_weights: Vec<f64>,
    sharing: Option<ReplicationSettings>,
    drain_grace: Micros,
) -> CoreSettings {
    CoreSettings {
        answer_margin: router.answer_margin,
        clock_margin: router.clock_margin,
        memory_bytes: router.memory_bytes,
        front_weights,
        account_shares: accounts.iter().map(|a| a.share).collect(),
        order_timeout: loads.order_timeout,
        balancer_only: false,
        replication: sharing,
        drain_grace,
    }
}

fn check_fronts(root: &Section, no_front: bool, peers: Option<&PeerSettings>) {
    let witness = peers.is_some_and(|p| p.group.members[p.group.own_index as usize].witness);
    match (no_front, witness) {
        (true, false) => root.error(
            "amqp",
            "neither a broker's queue nor an address to listen on is given",
        ),
        (false, true) => root.error(
            "peers",
            "a witness takes no invocations; it needs no amqp and no kserve",
        ),
        _ => {}
    }
}

/// What rests on the workers' reports and on the group.
struct Shared {
    upgrade: Option<UpgradeSettings>,
    reconcile: Option<ReconcileSettings>,
    sessions: Option<sessions::Terms>,
}

fn shared(
    root: &Section,
    folder: &Path,
    peers: Option<&PeerSettings>,
    triggers: &[TriggerType],
    loads: &LoadSettings,
) -> Shared {
    let (upgrade, sessions) = group_settings::upgrade(
        &root.section("upgrade"),
        folder,
        peers,
        root.has("reconcile"),
    );
    let reconcile = group_settings::reconcile(&root.section("reconcile"));
    let asked_within = reconcile.map_or(0, |r| slowest(r.interval));
    let upgrade = upgrade.map(|ordered| UpgradeSettings {
        latency_objectives: triggers.iter().map(|t| t.latency_objective).collect(),
        memory_mb: loads.memory_mb.clone(),
        terms: ordered.terms.beside(asked_within, loads.idle_retention),
        ..ordered
    });
    // Without upgrades, sessions are tracked only for their workers.
    let sessions = sessions.or(reconcile.map(|_| DEFAULT_SESSION_TERMS));
    Shared {
        upgrade,
        reconcile,
        sessions,
    }
}

fn workers(section: &Section, names: &Names) -> WorkerList {
    let workers = match (section.has("watch"), section.has("list")) {
        (true, false) => WorkerList::Watched(section.loopback_address("watch")),
        (false, true) => WorkerList::Fixed(fixed_workers(section, names)),
        _ => {
            section.error("watch", "give either a list to watch or a list here");
            WorkerList::Fixed(Vec::new())
        }
    };
    section.check_unknown_keys();
    workers
}

fn trace(section: &Section, folder: &Path) -> Option<TraceSettings> {
    let trace = section.is_present().then(|| {
        let bounds = RetentionLimits {
            file_bytes: section.integer("file_mb", 1..1 << 16, Some(64)) << 20,
            file_age: section.millis_as_micros("file_minutes", 1..DAY_MS / 60_000 + 1, Some(60))
                * 60_000,
            budget_bytes: section.integer("budget_mb", 2..1 << 24, Some(1024)) << 20,
        };
        if bounds.budget_bytes < bounds.file_bytes * 2 {
            section.error("budget_mb", "is below two files");
        }
        TraceSettings {
            folder: folder.join(section.string("folder", None)),
            bounds,
        }
    });
    section.check_unknown_keys();
    trace
}

fn ledger_folder(section: &Section, folder: &Path) -> Option<PathBuf> {
    let ledger_folder = section
        .is_present()
        .then(|| folder.join(section.string("folder", None)));
    section.check_unknown_keys();
    ledger_folder
}

/// A path given in the settings, relative to their folder.
pub(crate) fn path_of(s: &Section, key: &str, folder: &Path) -> Option<PathBuf> {
    s.has(key).then(|| folder.join(s.string(key, Some(""))))
}

pub(crate) fn zone_index(s: &Section, key: &str, zones: &[String]) -> u32 {
    let name = s.string(key, Some(""));
    if name.is_empty() {
        return 0;
    }
    zones.iter().position(|z| *z == name).map_or_else(
        || {
            s.error(key, &format!("'{name}' is not among the zones"));
            0
        },
        |i| i as u32,
    )
}

fn fixed_workers(w: &Section, names: &Names) -> Vec<ListedWorker> {
    let mut list: Vec<ListedWorker> = Vec::new();
    for s in w.sections("list") {
        let address = s.loopback_address("address").to_string();
        if list.iter().any(|l| l.address == address) {
            s.error("address", &format!("{address} is named twice"));
        }
        let kind = s.string("kind", Some(""));
        let kind = match names.machine_kinds.iter().position(|k| *k == kind) {
            Some(i) => i as u32,
            None if kind.is_empty() => 0,
            None => {
                s.error("kind", &format!("there is no kind '{kind}'"));
                0
            }
        };
        list.push(ListedWorker {
            address,
            zone: zone_index(&s, "zone", &names.zones),
            machine_kind: kind,
            cell: s.integer("cell", 0..1 << 30, Some(0)) as u32,
            state: EndpointState::InService,
            weight: s.number("weight", 0.0..MAX_NUMBER, Some(1.0)),
            started_at: None,
        });
        s.finish();
    }
    list
}
