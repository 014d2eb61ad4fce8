//! The settings of one router, read from TOML and refused whole if anything is wrong. Each part of the
//! program is handed only its own; docs/operate/settings.md documents the keys.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use cedarpulley::interface::*;
use cedarpulley_certificates::{self as certificates, Speakers, Which};
use cedarpulley_membership::group::MOST_WEIGHT;
use cedarpulley_membership::{Group, Member};
use cedarpulley_reconcile::asking::slowest;
use cedarpulley_replica::kept_for;
use cedarpulley_router::Terms;
use cedarpulley_router::group::Sharing;
use cedarpulley_router::roster::Listed;
pub use cedarpulley_startup::Names;
use cedarpulley_startup::StartupSettings;
use cedarpulley_trace::keeping::Bounds;
use cedarpulley_trace::start::digest;
use cedarpulley_upgrade::sessions;

use crate::amqp_front::AmqpSource;
use crate::client_listener::{ListenerSettings, Protocol};
use crate::config_reader::{ConfigDocument, ConfigErrors, Section};
use crate::peers::PeerSettings;
use crate::pool::PoolSettings;
use crate::reconciliation::ReconcileSettings;
use crate::tls::{self, ClientTls, ServerTls, TlsFiles};
use crate::trace_recorder::TraceSettings;
use crate::upgrades::{self, UpgradeSettings};

/// A day in milliseconds: no time in the file is longer.
const DAY_MS: u64 = 86_400_000;
const MAX_NUMBER: f64 = 1e12;
const NEVER: Micros = i64::MAX / 8;
/// By default, the group's records are retained this long beyond the longest client timeout (microseconds): a
/// lost channel is noticed, and its messages are delivered again, well within it.
const RETENTION_MARGIN: Micros = 4_000_000;

/// A session's binding is trusted for somewhat less than a majority retains it; waiting must not use that up.
const MIN_WAITS_IN_RETENTION: Micros = 10;

/// Defaults for sessions: retention for three pauses of a person who reads; more sessions than a router has
/// invocations in a minute; as many waiting as a majority answers in some tens of milliseconds.
const DEFAULT_SESSION_TERMS: sessions::Terms =
    sessions::Terms { kept: 600_000_000, patience: 1_000_000, most_known: 100_000, most_waiting: 1_000 };

/// Where the workers are listed.
#[derive(Clone, Debug)]
pub enum WorkerList {
    Fixed(Vec<Listed>),
    Watched(SocketAddr),
}

/// All settings, handed on to the parts one by one.
pub struct RouterSettings {
    /// Without one each start draws differently.
    pub seed: Option<u64>,
    pub startup: StartupSettings,
    pub names: Names,
    pub core_terms: Terms,
    pub amqp_sources: Vec<AmqpSource>,
    pub listeners: Vec<ListenerSettings>,
    pub workers: WorkerList,
    pub pool: PoolSettings,
    pub max_body_bytes: u64,
    pub certificate_accounts: Speakers,
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
    let mut parts = parts(&document, &root, folder);
    let r = root.section("rig");
    if r.is_present() && !rig {
        root.error("rig", "is for tests only; take it out, or start with --rig");
    }
    let day = DAY_MS as f64;
    parts.clock_offset = (r.number("clock_offset_ms", -day..day, Some(0.0)) * 1000.0) as Micros;
    r.finish();
    parts.digest = digest(text.as_bytes());
    document.finish(parts)
}

fn parts(document: &ConfigDocument, root: &Section, folder: &Path) -> RouterSettings {
    let _ = document;
    let mut names = Names::default();

    let r = root.section("router");
    let seed = r.has("seed").then(|| r.integer("seed", 0..1 << 53, None));
    names.zones = r.strings("zones");
    let zone = zone_index(&r, "zone", &names.zones);
    let fleet = FleetPosition {
        routers: r.integer("routers", 1..10_000, Some(1)) as u32,
        position: r.integer("position", 0..9_999, Some(0)) as u32,
        zone,
        granularity: r.millis_as_micros("granularity_ms", 0..1000, Some(10)),
    };
    if fleet.position >= fleet.routers {
        r.error("position", "is not below the number of routers");
    }
    let local_address = match r.string("from", Some("")).as_str() {
        "" => None,
        text => match text.parse::<Ipv4Addr>() {
            Ok(ip) if ip.is_loopback() => Some(IpAddr::V4(ip)),
            _ => {
                r.error("from", "is not a loopback address");
                None
            }
        },
    };
    let answer_margin = r.millis_as_micros("answer_margin_ms", 0..DAY_MS, Some(100));
    let clock_margin = r.millis_as_micros("clock_margin_ms", 0..DAY_MS, Some(50));
    let memory_bytes = r.integer("memory_mb", 1..1 << 20, Some(256)) << 20;
    let max_body_bytes = r.integer("most_body_kb", 1..1 << 20, Some(16 * 1024)) << 10;
    r.finish();

    let d = root.section("dispatch");
    let limits = DispatchLimits {
        max_dispatches: d.integer("max_dispatches", 1..100, Some(4)) as u32,
        second_copies: d.boolean("second_copies", Some(false)),
        withdrawals: d.boolean("withdrawals", Some(true)),
        probes: d.boolean("probes", Some(false)),
        connect_within: d.millis_as_micros("connect_within_ms", 1..DAY_MS, Some(250)),
        max_advice: d.millis_as_micros("max_advice_ms", 0..DAY_MS, Some(0)),
    };
    let pool = PoolSettings {
        local_address,
        connect_timeout: limits.connect_within,
        max_connections: d.integer("most_connections", 1..10_000, Some(128)) as usize,
        idle_timeout: d.millis_as_micros("connection_kept_ms", 1..DAY_MS, Some(30_000)),
        max_answer_bytes: (d.integer("most_answer_kb", 1..1 << 20, Some(16 * 1024)) << 10) as usize,
    };
    d.finish();

    let u = root.section("rules");
    let rules = RuleTerms {
        answer_slack: u.millis_as_micros("answer_slack_ms", 0..DAY_MS, Some(0)),
        drain_grace: u.millis_as_micros("drain_grace_ms", 0..DAY_MS, Some(500)),
        ask_within: NEVER,
        list_on_request: false,
        cold_part: u.number("cold_part", 0.0..1.0, Some(1.0)),
        cold_for: u.millis_as_micros("cold_for_ms", 0..DAY_MS, Some(0)),
        overload_multiple: u.number("overload_multiple", 0.0..MAX_NUMBER, Some(MAX_NUMBER)),
        overload_window: u.millis_as_micros("overload_window_ms", 1..DAY_MS, Some(1_000)),
    };
    u.finish();

    let kinds = root.sections("kind");
    let mut memory_mb = Vec::new();
    for k in kinds {
        names.kinds.push(k.string("name", None));
        memory_mb.push(k.number("memory_mb", 1.0..MAX_NUMBER, None));
        k.finish();
    }

    let l = root.section("loads");
    let loads = LoadTerms {
        idle_kept: l.millis_as_micros("idle_kept_ms", 1..DAY_MS, Some(30_000)),
        orders: l.boolean("orders", Some(false)),
        loads_when_absent: l.boolean("loads_when_absent", Some(true)),
        order_answered_within: l.millis_as_micros("order_answered_within_ms", 1..DAY_MS, Some(10_000)),
        ration_window: l.millis_as_micros("ration_window_ms", 0..DAY_MS, Some(0)),
        ration_few: l.number("ration_few", 0.0..MAX_NUMBER, Some(0.0)),
        ration_part: l.number("ration_part", 0.0..1.0, Some(0.0)),
        notes: l.boolean("notes", Some(true)),
        crowds: l.boolean("crowds", Some(true)),
        memory_mb,
    };
    if !loads.orders && !loads.loads_when_absent {
        l.error("loads_when_absent", "without it and without orders nothing is ever loaded");
    }
    l.finish();

    let p = root.section("prices");
    let prices = Prices {
        crossing: p.number("crossing", 0.0..MAX_NUMBER, Some(0.0)),
        fetch: p.number("fetch", 0.0..MAX_NUMBER, Some(0.0)),
        waste: p.number("waste", 0.0..MAX_NUMBER, Some(0.0)),
        probe: p.number("probe", 0.0..MAX_NUMBER, Some(0.0)),
        late_error: p.number("late_error", 0.0..MAX_NUMBER, Some(0.0)),
        over_share: p.number("over_share", 0.0..1.0, Some(1.0)),
    };
    p.finish();

    let (mut triggers, mut alone) = (Vec::new(), Vec::new());
    for t in root.sections("trigger") {
        let name = t.string("name", None);
        if names.triggers.contains(&name) {
            t.error("name", &format!("'{name}' is named twice"));
        }
        names.triggers.push(name);
        triggers.push(trigger(&t, &limits));
        alone.push(sends_without_majority(&t));
        t.finish();
    }
    if triggers.is_empty() {
        root.error("trigger", "no trigger type is given");
    }
    let shortest = triggers.iter().map(|t| t.client_timeout).min().unwrap_or(NEVER);
    if answer_margin >= shortest {
        root.section("router").error("answer_margin_ms", "is not below the shortest client timeout");
    }

    let mut accounts = Vec::new();
    let mut certificate_accounts = Speakers::default();
    for a in root.sections("account") {
        names.accounts.push(a.string("name", None));
        if a.has("certificate_names") {
            for name in a.strings("certificate_names") {
                if !certificate_accounts.give(name.clone(), accounts.len() as u32) {
                    a.error("certificate_names", &format!("'{name}' speaks for another account"));
                }
            }
        }
        accounts.push(Account {
            allowance_per_s: a.number("allowance_per_s", 0.0..MAX_NUMBER, Some(MAX_NUMBER)),
            share: a.number("share", 0.0..1.0, Some(1.0)),
        });
        a.finish();
    }
    let all: f64 = accounts.iter().map(|a| a.share).sum();
    if accounts.len() > 1 && all > 1.0 + 1e-9 && root.has("account") {
        root.error("account", &format!("the shares sum to {all}, above 1"));
    }

    let (mut amqp_sources, mut weights) = (Vec::new(), Vec::new());
    for s in root.sections("amqp") {
        weights.push(front_weight(&s, &names, &accounts));
        amqp_sources.push(AmqpSource {
            name: s.string("name", Some("amqp")),
            broker: s.loopback_address("broker"),
            virtual_host: s.string("virtual_host", Some("/")),
            user: s.string("user", Some("guest")),
            password: s.string("password", Some("guest")),
            queue: s.string("queue", None),
            heartbeat_s: s.integer("heartbeat_s", 0..65_535, Some(10)) as u16,
            tls: client_tls(&s, folder),
        });
        s.finish();
    }
    let mut listeners: Vec<ListenerSettings> = Vec::new();
    for s in root.sections("kserve") {
        weights.push(front_weight(&s, &names, &accounts));
        let protocol = match s.string("protocol", Some("rest")).as_str() {
            "rest" => Protocol::Rest,
            "grpc" => Protocol::Grpc,
            _ => {
                s.error("protocol", "is none of rest, grpc");
                Protocol::Rest
            }
        };
        let listen = ListenerSettings {
            name: s.string("name", Some("kserve")),
            address: s.loopback_address("listen"),
            protocol,
            tls: server_tls_files(&s, folder, protocol),
            max_streams: s.integer("most_streams", 1..10_000, Some(100)) as u32,
            max_connections: s.integer("most_connections", 1..1_000_000, Some(10_000)) as usize,
        };
        if listeners.iter().any(|l| l.address == listen.address && l.address.port() != 0) {
            s.error("listen", "is given twice");
        }
        listeners.push(listen);
        s.finish();
    }
    let longest = triggers.iter().map(|t| t.client_timeout).max().unwrap_or(0);
    let peers = peers(&root.section("peers"), folder, longest);
    let witness = peers.as_ref().is_some_and(|p| p.group.members[p.group.me as usize].witness);
    match (amqp_sources.is_empty() && listeners.is_empty(), witness) {
        (true, false) => root.error("amqp", "neither a broker's queue nor an address to listen on is given"),
        (false, true) => {
            root.error("peers", "a witness takes no invocations; it needs no amqp and no kserve")
        }
        _ => {}
    }
    let (upgrade, sessions) =
        upgrade(&root.section("upgrade"), folder, peers.as_ref(), root.has("reconcile"));
    let reconcile = reconcile(&root.section("reconcile"));
    let asked_within = reconcile.map_or(0, |r| slowest(r.interval));
    let upgrade = upgrade.map(|ordered| UpgradeSettings {
        latency_objectives: triggers.iter().map(|t| t.latency_objective).collect(),
        memory_mb: loads.memory_mb.clone(),
        terms: ordered.terms.beside(asked_within, loads.idle_kept),
        ..ordered
    });
    // Without upgrades, sessions are tracked only for their workers.
    let sessions = sessions.or(reconcile.map(|_| DEFAULT_SESSION_TERMS));
    let sharing = peers.as_ref().map(|p| Sharing { alone: alone.clone(), leave_kept: p.send_lease() });

    let w = root.section("workers");
    let workers = match (w.has("watch"), w.has("list")) {
        (true, false) => WorkerList::Watched(w.loopback_address("watch")),
        (false, true) => WorkerList::Fixed(fixed_workers(&w, &names)),
        _ => {
            w.error("watch", "give either a list to watch or a list here");
            WorkerList::Fixed(Vec::new())
        }
    };
    w.finish();

    let t = root.section("trace");
    let trace = t.is_present().then(|| {
        let bounds = Bounds {
            file_bytes: t.integer("file_mb", 1..1 << 16, Some(64)) << 20,
            file_age: t.millis_as_micros("file_minutes", 1..DAY_MS / 60_000 + 1, Some(60)) * 60_000,
            budget: t.integer("budget_mb", 2..1 << 24, Some(1024)) << 20,
        };
        if bounds.budget < bounds.file_bytes * 2 {
            t.error("budget_mb", "is below two files");
        }
        TraceSettings { folder: folder.join(t.string("folder", None)), bounds }
    });
    t.finish();
    let m = root.section("meter");
    let ledger_folder = m.is_present().then(|| folder.join(m.string("folder", None)));
    m.finish();

    let reports = match root.string("reports", Some("answers")).as_str() {
        "answers" => ReportsIn::Answers,
        "probes" => ReportsIn::Probes,
        "nothing" => ReportsIn::Nothing,
        _ => {
            root.error("reports", "is none of answers, probes, nothing");
            ReportsIn::Nothing
        }
    };
    let core_terms = Terms {
        answer_margin,
        clock_margin,
        memory_bytes,
        front_weights: weights,
        account_shares: accounts.iter().map(|a| a.share).collect(),
        order_answered_within: loads.order_answered_within,
        module_alone: false,
        sharing,
        drain_grace: rules.drain_grace,
    };
    for known in
        ["router", "dispatch", "rules", "loads", "prices", "workers", "kind", "trace", "meter", "rig"]
    {
        root.has(known);
    }
    let startup = StartupSettings { fleet, limits, rules, triggers, accounts, loads, prices, reports };
    RouterSettings {
        seed,
        startup,
        names,
        core_terms,
        amqp_sources,
        listeners,
        workers,
        pool,
        max_body_bytes,
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

fn trigger(t: &Section, limits: &DispatchLimits) -> TriggerType {
    let group = match t.string("repeats_dropped_by", Some("all")).as_str() {
        "all" => RepeatGroup::All,
        "zone" => RepeatGroup::Zone,
        "cell" => RepeatGroup::Cell,
        _ => {
            t.error("repeats_dropped_by", "is none of all, zone, cell");
            RepeatGroup::Cell
        }
    };
    let effect = match t.string("effect", None).as_str() {
        "idempotent" => Effect::Idempotent,
        "tokened" => Effect::Tokened { group, window: t.millis_as_micros("window_ms", 0..DAY_MS, None) },
        "non-idempotent" => Effect::NonIdempotent,
        "" => Effect::NonIdempotent,
        _ => {
            t.error("effect", "is none of idempotent, tokened, non-idempotent");
            Effect::NonIdempotent
        }
    };
    if t.boolean("second_copies", Some(false)) {
        if effect == Effect::NonIdempotent {
            t.error("second_copies", "what must never run twice may have no second copy");
        } else if !limits.second_copies {
            t.error("second_copies", "second copies are not allowed under [dispatch]");
        }
    }
    let latency_objective = t.millis_as_micros("latency_objective_ms", 1..DAY_MS, None);
    let client_timeout = t.millis_as_micros("client_timeout_ms", 1..DAY_MS, None);
    if latency_objective > client_timeout {
        t.error("latency_objective_ms", "is above the client timeout");
    }
    TriggerType {
        effect,
        latency_objective,
        objective_stretch: t.number("objective_stretch", 0.0..MAX_NUMBER, Some(0.0)),
        client_timeout,
        billed_value: t.number("billed_value", 0.0..MAX_NUMBER, Some(1.0)),
        late_part: t.number("late_part", 0.0..1.0, Some(0.0)),
        streamed: false,
    }
}

/// Whether a trigger type is sent without a majority of the group.
fn sends_without_majority(t: &Section) -> bool {
    match t.string("without_majority", Some("refuse")).as_str() {
        "refuse" => false,
        "alone" => true,
        _ => {
            t.error("without_majority", "is none of refuse, alone");
            false
        }
    }
}

/// The group, if there is one. `longest`: the longest client timeout.
fn peers(p: &Section, folder: &Path, longest: Micros) -> Option<PeerSettings> {
    if !p.is_present() {
        return None;
    }
    let (name, me) = (p.string("group", None), p.string("name", None));
    let listen = p.loopback_address("listen");
    let state_folder = path_of(p, "state", folder);
    let usual = kept_for(longest + RETENTION_MARGIN);
    let retention = p.millis_as_micros("kept_ms", 1..DAY_MS, Some((usual as u64 / 1_000).min(DAY_MS)));
    if retention < longest {
        p.error(
            "kept_ms",
            "is below the longest client timeout: what may still be waited for would be forgotten",
        );
    }
    let probe_interval = p.millis_as_micros("probe_ms", 10..DAY_MS, Some(250));
    let probe_timeout = p.millis_as_micros("answer_ms", 5..DAY_MS, Some(100));
    let suspicion_timeout = p.millis_as_micros("suspected_ms", 100..DAY_MS, Some(1_500));
    let belief_delay = p.millis_as_micros("believed_ms", 100..DAY_MS, Some(3_000));
    let replication_timeout = p.millis_as_micros("copied_within_ms", 10..DAY_MS, Some(500));
    let catch_up_bytes_per_s = p.integer("catch_up_kb_per_s", 64..1 << 20, Some(16 << 10)) << 10;
    let max_records = p.integer("most_records", 1_000..10_000_000, Some(200_000)) as usize;
    let (mut members, mut addresses) = (Vec::new(), BTreeMap::new());
    for m in p.sections("member") {
        let member = Member {
            name: m.string("name", None),
            region: m.string("region", Some("")),
            weight: m.integer("weight", 0..u64::from(MOST_WEIGHT), Some(1)) as u32,
            witness: m.boolean("witness", Some(false)),
        };
        addresses.insert(member.name.clone(), m.loopback_address("address"));
        members.push(member);
        m.finish();
    }
    p.check_unknown_keys();
    match Group::new(&name, members, &me) {
        Ok(group) => {
            let addresses =
                group.members.iter().map(|m| addresses.get(&m.name).copied().unwrap_or(listen)).collect();
            Some(PeerSettings {
                listen,
                group,
                addresses,
                state_folder,
                probe_interval,
                probe_timeout,
                suspicion_timeout,
                belief_delay,
                retention,
                replication_timeout,
                catch_up_bytes_per_s,
                max_records,
            })
        }
        Err(unfit) => {
            p.error("member", &format!("{unfit}; {}", unfit.remedy()));
            None
        }
    }
}

/// Whether and how the warm index is reconciled with the workers' reports.
fn reconcile(r: &Section) -> Option<ReconcileSettings> {
    let terms = r.is_present().then(|| ReconcileSettings {
        interval: r.millis_as_micros("every_ms", 50..DAY_MS, Some(2_000)),
        grace_period: r.millis_as_micros("grace_ms", 0..DAY_MS, Some(10_000)),
        queries_per_s: r.number("asks_per_s", 0.1..10_000.0, Some(50.0)),
        repairs_per_s: r.number("repairs_per_s", 0.1..10_000.0, Some(5.0)),
    });
    r.check_unknown_keys();
    terms
}

/// Upgrades of models, if any, and the terms of sessions.
fn upgrade(
    u: &Section,
    folder: &Path,
    peers: Option<&PeerSettings>,
    reconciles: bool,
) -> (Option<UpgradeSettings>, Option<sessions::Terms>) {
    if !u.is_present() {
        return (None, None);
    }
    let copied_within = peers.map_or(0, |p| p.replication_timeout);
    if !reconciles {
        u.error("order", "upgrades need to know what workers hold; give [reconcile]");
    }
    if peers.is_none() {
        u.error("order", "upgrades need a group that agrees on them; give [peers]");
    }
    let file = folder.join(u.string("order", None));
    let orders = upgrades::read(&file).unwrap_or_else(|errors| {
        errors.0.iter().for_each(|line| u.error("order", line));
        Vec::new()
    });
    let usual = cedarpulley_upgrade::Terms::default();
    let time = |key, usual: Micros| u.millis_as_micros(key, 0..DAY_MS, Some((usual / 1_000) as u64));
    let terms = cedarpulley_upgrade::Terms {
        lease: u.millis_as_micros("lease_ms", 500..DAY_MS, Some((usual.lease / 1_000) as u64)),
        loads_at_once: u.integer("loads_at_once", 1..1_000, Some(u64::from(usual.loads_at_once))) as u32,
        load_within: time("load_within_ms", usual.load_within),
        hold_back: time("hold_back_ms", usual.hold_back),
        shown_for: time("shown_ms", usual.shown_for),
        canary_least: time("canary_ms", usual.canary_least),
        canary_most: time("canary_most_ms", usual.canary_most),
        paused_most: time("paused_most_ms", usual.paused_most),
        gone_after: time("gone_after_ms", usual.gone_after),
        ..usual
    };
    let patience = u.millis_as_micros(
        "session_wait_ms",
        10..DAY_MS,
        Some((2 * copied_within).max(DEFAULT_SESSION_TERMS.patience) as u64 / 1_000),
    );
    let kept =
        u.millis_as_micros("session_kept_ms", 1_000..DAY_MS, Some(DEFAULT_SESSION_TERMS.kept as u64 / 1_000));
    if kept < MIN_WAITS_IN_RETENTION * patience.max(copied_within) {
        u.error("session_kept_ms", "is below ten times what an invocation waits for a majority");
    }
    let most_known =
        u.integer("most_sessions", 100..10_000_000, Some(DEFAULT_SESSION_TERMS.most_known as u64)) as usize;
    let most_waiting =
        u.integer("most_waiting", 1..1_000_000, Some(DEFAULT_SESSION_TERMS.most_waiting as u64)) as usize;
    let mut regions = BTreeMap::new();
    for r in u.sections("region") {
        let name = r.string("name", None);
        for zone in r.strings("zones") {
            if regions.insert(zone.clone(), name.clone()).is_some() {
                r.error("zones", &format!("'{zone}' is in two regions"));
            }
        }
        r.finish();
    }
    u.check_unknown_keys();
    let (latency_objectives, memory_mb) = (Vec::new(), Vec::new());
    let ordered = UpgradeSettings { file, orders, terms, regions, latency_objectives, memory_mb };
    (Some(ordered), Some(sessions::Terms { kept, patience, most_known, most_waiting }))
}

fn wall_time() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
}

fn report_certificate(s: &Section, why: &certificates::Refused, clients: &str) {
    let key = match why.which {
        Which::Certificate => "certificate",
        Which::Key => "key",
        Which::Clients => clients,
    };
    s.error(key, &why.cause);
}

/// A path given in the settings, relative to their folder.
fn path_of(s: &Section, key: &str, folder: &Path) -> Option<PathBuf> {
    s.has(key).then(|| folder.join(s.string(key, Some(""))))
}

fn server_tls_files(s: &Section, folder: &Path, protocol: Protocol) -> Option<TlsFiles> {
    let (certificate, key) = (path_of(s, "certificate", folder), path_of(s, "key", folder));
    let clients = path_of(s, "clients", folder);
    let (certificate, key) = match (certificate, key) {
        (Some(certificate), Some(key)) => (certificate, key),
        (None, None) if clients.is_none() => return None,
        _ => {
            s.error("certificate", "certificate and key belong together, and clients need both");
            return None;
        }
    };
    let alpn: &[u8] = if protocol == Protocol::Grpc { b"h2" } else { b"http/1.1" };
    let files = TlsFiles { certificate, key, clients, alpn };
    if let Err(why) = ServerTls::open(files.clone(), wall_time()) {
        report_certificate(s, &why, "clients");
    }
    Some(files)
}

fn client_tls(s: &Section, folder: &Path) -> Option<ClientTls> {
    let roots = path_of(s, "authorities", folder);
    let (certificate, key) = (path_of(s, "certificate", folder), path_of(s, "key", folder));
    let name = s.string("server_name", Some("localhost"));
    let Some(roots) = roots else {
        if certificate.is_some() || key.is_some() || s.has("server_name") {
            s.error("authorities", "TLS needs the authorities that the broker's certificate is from");
        }
        return None;
    };
    if certificate.is_some() != key.is_some() {
        s.error("certificate", "certificate and key belong together");
        return None;
    }
    let own = certificate.as_deref().zip(key.as_deref());
    match tls::client_tls(&roots, own, &name, wall_time()) {
        Ok(config) => Some(config),
        Err(why) => {
            report_certificate(s, &why, "authorities");
            None
        }
    }
}

/// A front's weight: its own, or an account's share.
fn front_weight(s: &Section, names: &Names, accounts: &[Account]) -> f64 {
    match s.string("share_of", Some("")).as_str() {
        "" => s.number("weight", 1e-3..1e3, Some(1.0)),
        name => match names.accounts.iter().position(|n| n == name) {
            Some(i) => accounts[i].share.max(1e-3),
            None => {
                s.error("share_of", &format!("there is no account '{name}'"));
                1.0
            }
        },
    }
}

fn zone_index(s: &Section, key: &str, zones: &[String]) -> u32 {
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

fn fixed_workers(w: &Section, names: &Names) -> Vec<Listed> {
    let mut list: Vec<Listed> = Vec::new();
    for s in w.sections("list") {
        let address = s.loopback_address("address").to_string();
        if list.iter().any(|l| l.address == address) {
            s.error("address", &format!("{address} is named twice"));
        }
        let kind = s.string("kind", Some(""));
        let kind = match names.kinds.iter().position(|k| *k == kind) {
            Some(i) => i as u32,
            None if kind.is_empty() => 0,
            None => {
                s.error("kind", &format!("there is no kind '{kind}'"));
                0
            }
        };
        list.push(Listed {
            address,
            zone: zone_index(&s, "zone", &names.zones),
            kind,
            cell: s.integer("cell", 0..1 << 30, Some(0)) as u32,
            standing: Standing::InService,
            weight: s.number("weight", 0.0..MAX_NUMBER, Some(1.0)),
            started: None,
        });
        s.finish();
    }
    list
}
