//! The settings of one router, read from TOML and refused whole if anything is wrong. Each part of the program is
//! handed its own few of them; documented in docs/operate/settings.md.

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

use crate::front::Source;
use crate::listen::{Listen, Protocol};
use crate::peers::PeerSettings;
use crate::pool::Links;
use crate::reconciling::Reconcile;
use crate::recorder::Keep;
use crate::sheet::{Refused, Section, Sheet};
use crate::tls::{self, Files, Inward, Outward};
use crate::upgrading::{self, Ordered};

/// A day in milliseconds: no time in the file is longer.
const DAY: u64 = 86_400_000;
const MANY: f64 = 1e12;
const NEVER: Micros = i64::MAX / 8;
/// What a group remembers is kept for so long beyond the longest client timeout, where nothing else is said: a lost
/// channel is noticed and its messages are delivered again well within it.
const KEPT_BEYOND: Micros = 4_000_000;

/// What is known of a session is trusted for somewhat less than a majority keeps it; waiting must not eat that up.
const WAITS_IN_KEPT: Micros = 10;

/// What is kept of sessions where nothing is said of it. Three pauses of a person who reads; more at once than a router
/// has invocations in a minute; as many waiting as a majority answers in some tens of milliseconds.
const SESSIONS: sessions::Terms =
    sessions::Terms { kept: 600_000_000, patience: 1_000_000, most_known: 100_000, most_waiting: 1_000 };

#[derive(Clone, Debug)]
pub enum WorkerList {
    Fixed(Vec<Listed>),
    Watched(SocketAddr),
}

/// The file's parts, to be handed on one by one.
pub struct Parts {
    /// Without one each start draws differently.
    pub seed: Option<u64>,
    pub settings: StartupSettings,
    pub names: Names,
    pub terms: Terms,
    pub sources: Vec<Source>,
    pub listens: Vec<Listen>,
    pub list: WorkerList,
    pub links: Links,
    pub most_body: u64,
    pub speakers: Speakers,
    /// Where a trace is kept, if it is.
    pub keep: Option<Keep>,
    /// Where memory-seconds are kept, if they are.
    pub meter: Option<PathBuf>,
    /// Of the settings' text.
    pub digest: [u8; 32],
    /// By which the wall's clock is off; only where `[rig]` is allowed.
    pub clock_offset: Micros,
    /// The group that it shares what it takes with, if there is one.
    pub peers: Option<PeerSettings>,
    /// Models are upgraded in it.
    pub upgrade: Option<Ordered>,
    /// The warm index is held against what workers say.
    pub reconcile: Option<Reconcile>,
    /// Sessions are told apart, and kept so.
    pub sessions: Option<sessions::Terms>,
}

/// Reads the text, and the certificates that it names; `file` tells where those with relative paths lie. `rig`: of a
/// router under test, which may have `[rig]`.
pub fn read(file: &str, text: &str, rig: bool) -> Result<Parts, Refused> {
    let (sheet, table) = Sheet::parse(file, text)?;
    let folder = Path::new(file).parent().unwrap_or(Path::new(""));
    let root = Section::root(&sheet, &table);
    let mut parts = parts(&sheet, &root, folder);
    let r = root.section("rig");
    if r.is_present() && !rig {
        root.wrong("rig", "is for tests only; take it out, or start with --rig");
    }
    let day = DAY as f64;
    parts.clock_offset = (r.number("clock_offset_ms", -day..day, Some(0.0)) * 1000.0) as Micros;
    r.end();
    parts.digest = digest(text.as_bytes());
    sheet.whole(parts)
}

fn parts(sheet: &Sheet, root: &Section, folder: &Path) -> Parts {
    let _ = sheet;
    let mut names = Names::default();

    let r = root.section("router");
    let seed = r.has("seed").then(|| r.count("seed", 0..1 << 53, None));
    names.zones = r.texts("zones");
    let zone = zone_of(&r, "zone", &names.zones);
    let fleet = FleetPosition {
        routers: r.count("routers", 1..10_000, Some(1)) as u32,
        position: r.count("position", 0..9_999, Some(0)) as u32,
        zone,
        granularity: r.millis("granularity_ms", 0..1000, Some(10)),
    };
    if fleet.position >= fleet.routers {
        r.wrong("position", "is not below the number of routers");
    }
    let from = match r.text("from", Some("")).as_str() {
        "" => None,
        text => match text.parse::<Ipv4Addr>() {
            Ok(ip) if ip.is_loopback() => Some(IpAddr::V4(ip)),
            _ => {
                r.wrong("from", "is not a loopback address");
                None
            }
        },
    };
    let answer_margin = r.millis("answer_margin_ms", 0..DAY, Some(100));
    let clock_margin = r.millis("clock_margin_ms", 0..DAY, Some(50));
    let memory_bytes = r.count("memory_mb", 1..1 << 20, Some(256)) << 20;
    let most_body = r.count("most_body_kb", 1..1 << 20, Some(16 * 1024)) << 10;
    r.end();

    let d = root.section("dispatch");
    let limits = DispatchLimits {
        max_dispatches: d.count("max_dispatches", 1..100, Some(4)) as u32,
        second_copies: d.flag("second_copies", Some(false)),
        withdrawals: d.flag("withdrawals", Some(true)),
        probes: d.flag("probes", Some(false)),
        connect_within: d.millis("connect_within_ms", 1..DAY, Some(250)),
        max_advice: d.millis("max_advice_ms", 0..DAY, Some(0)),
    };
    let links = Links {
        from,
        connect_within: limits.connect_within,
        most_connections: d.count("most_connections", 1..10_000, Some(128)) as usize,
        idle_kept: d.millis("connection_kept_ms", 1..DAY, Some(30_000)),
        most_answer: (d.count("most_answer_kb", 1..1 << 20, Some(16 * 1024)) << 10) as usize,
    };
    d.end();

    let u = root.section("rules");
    let rules = RuleTerms {
        answer_slack: u.millis("answer_slack_ms", 0..DAY, Some(0)),
        drain_grace: u.millis("drain_grace_ms", 0..DAY, Some(500)),
        ask_within: NEVER,
        list_on_request: false,
        cold_part: u.number("cold_part", 0.0..1.0, Some(1.0)),
        cold_for: u.millis("cold_for_ms", 0..DAY, Some(0)),
        overload_multiple: u.number("overload_multiple", 0.0..MANY, Some(MANY)),
        overload_window: u.millis("overload_window_ms", 1..DAY, Some(1_000)),
    };
    u.end();

    let kinds = root.sections("kind");
    let mut memory_mb = Vec::new();
    for k in kinds {
        names.kinds.push(k.text("name", None));
        memory_mb.push(k.number("memory_mb", 1.0..MANY, None));
        k.end();
    }

    let l = root.section("loads");
    let loads = LoadTerms {
        idle_kept: l.millis("idle_kept_ms", 1..DAY, Some(30_000)),
        orders: l.flag("orders", Some(false)),
        loads_when_absent: l.flag("loads_when_absent", Some(true)),
        order_answered_within: l.millis("order_answered_within_ms", 1..DAY, Some(10_000)),
        ration_window: l.millis("ration_window_ms", 0..DAY, Some(0)),
        ration_few: l.number("ration_few", 0.0..MANY, Some(0.0)),
        ration_part: l.number("ration_part", 0.0..1.0, Some(0.0)),
        notes: l.flag("notes", Some(true)),
        crowds: l.flag("crowds", Some(true)),
        memory_mb,
    };
    if !loads.orders && !loads.loads_when_absent {
        l.wrong("loads_when_absent", "without it and without orders nothing is ever loaded");
    }
    l.end();

    let p = root.section("prices");
    let prices = Prices {
        crossing: p.number("crossing", 0.0..MANY, Some(0.0)),
        fetch: p.number("fetch", 0.0..MANY, Some(0.0)),
        waste: p.number("waste", 0.0..MANY, Some(0.0)),
        probe: p.number("probe", 0.0..MANY, Some(0.0)),
        late_error: p.number("late_error", 0.0..MANY, Some(0.0)),
        over_share: p.number("over_share", 0.0..1.0, Some(1.0)),
    };
    p.end();

    let (mut triggers, mut alone) = (Vec::new(), Vec::new());
    for t in root.sections("trigger") {
        let name = t.text("name", None);
        if names.triggers.contains(&name) {
            t.wrong("name", &format!("'{name}' is named twice"));
        }
        names.triggers.push(name);
        triggers.push(trigger(&t, &limits));
        alone.push(goes_alone(&t));
        t.end();
    }
    if triggers.is_empty() {
        root.wrong("trigger", "no trigger type is given");
    }
    let shortest = triggers.iter().map(|t| t.client_timeout).min().unwrap_or(NEVER);
    if answer_margin >= shortest {
        root.section("router").wrong("answer_margin_ms", "is not below the shortest client timeout");
    }

    let mut accounts = Vec::new();
    let mut speakers = Speakers::default();
    for a in root.sections("account") {
        names.accounts.push(a.text("name", None));
        if a.has("certificate_names") {
            for name in a.texts("certificate_names") {
                if !speakers.give(name.clone(), accounts.len() as u32) {
                    a.wrong("certificate_names", &format!("'{name}' speaks for another account"));
                }
            }
        }
        accounts.push(Account {
            allowance_per_s: a.number("allowance_per_s", 0.0..MANY, Some(MANY)),
            share: a.number("share", 0.0..1.0, Some(1.0)),
        });
        a.end();
    }
    let all: f64 = accounts.iter().map(|a| a.share).sum();
    if accounts.len() > 1 && all > 1.0 + 1e-9 && root.has("account") {
        root.wrong("account", &format!("the shares sum to {all}, above 1"));
    }

    let (mut sources, mut weights) = (Vec::new(), Vec::new());
    for s in root.sections("amqp") {
        weights.push(weight_of(&s, &names, &accounts));
        sources.push(Source {
            name: s.text("name", Some("amqp")),
            broker: s.address("broker"),
            virtual_host: s.text("virtual_host", Some("/")),
            user: s.text("user", Some("guest")),
            password: s.text("password", Some("guest")),
            queue: s.text("queue", None),
            heartbeat_s: s.count("heartbeat_s", 0..65_535, Some(10)) as u16,
            tls: outward(&s, folder),
        });
        s.end();
    }
    let mut listens: Vec<Listen> = Vec::new();
    for s in root.sections("kserve") {
        weights.push(weight_of(&s, &names, &accounts));
        let protocol = match s.text("protocol", Some("rest")).as_str() {
            "rest" => Protocol::Rest,
            "grpc" => Protocol::Grpc,
            _ => {
                s.wrong("protocol", "is none of rest, grpc");
                Protocol::Rest
            }
        };
        let listen = Listen {
            name: s.text("name", Some("kserve")),
            address: s.address("listen"),
            protocol,
            tls: inward(&s, folder, protocol),
            most_streams: s.count("most_streams", 1..10_000, Some(100)) as u32,
            most_connections: s.count("most_connections", 1..1_000_000, Some(10_000)) as usize,
        };
        if listens.iter().any(|l| l.address == listen.address && l.address.port() != 0) {
            s.wrong("listen", "is given twice");
        }
        listens.push(listen);
        s.end();
    }
    let longest = triggers.iter().map(|t| t.client_timeout).max().unwrap_or(0);
    let peers = peers(&root.section("peers"), folder, longest);
    let witness = peers.as_ref().is_some_and(|p| p.group.members[p.group.me as usize].witness);
    match (sources.is_empty() && listens.is_empty(), witness) {
        (true, false) => root.wrong("amqp", "neither a broker's queue nor an address to listen on is given"),
        (false, true) => {
            root.wrong("peers", "a witness takes no invocations; it needs no amqp and no kserve")
        }
        _ => {}
    }
    let (upgrade, sessions) =
        upgrade(&root.section("upgrade"), folder, peers.as_ref(), root.has("reconcile"));
    let reconcile = reconcile(&root.section("reconcile"));
    let asked_within = reconcile.map_or(0, |r| slowest(r.every));
    let upgrade = upgrade.map(|ordered| Ordered {
        objectives: triggers.iter().map(|t| t.latency_objective).collect(),
        memory_mb: loads.memory_mb.clone(),
        terms: ordered.terms.beside(asked_within, loads.idle_kept),
        ..ordered
    });
    // Without upgrades a session is told apart for its worker alone.
    let sessions = sessions.or(reconcile.map(|_| SESSIONS));
    let sharing = peers.as_ref().map(|p| Sharing { alone: alone.clone(), leave_kept: p.send_lease() });

    let w = root.section("workers");
    let list = match (w.has("watch"), w.has("list")) {
        (true, false) => WorkerList::Watched(w.address("watch")),
        (false, true) => WorkerList::Fixed(fixed(&w, &names)),
        _ => {
            w.wrong("watch", "give either a list to watch or a list here");
            WorkerList::Fixed(Vec::new())
        }
    };
    w.end();

    let t = root.section("trace");
    let keep = t.is_present().then(|| {
        let bounds = Bounds {
            file_bytes: t.count("file_mb", 1..1 << 16, Some(64)) << 20,
            file_age: t.millis("file_minutes", 1..DAY / 60_000 + 1, Some(60)) * 60_000,
            budget: t.count("budget_mb", 2..1 << 24, Some(1024)) << 20,
        };
        if bounds.budget < bounds.file_bytes * 2 {
            t.wrong("budget_mb", "is below two files");
        }
        Keep { folder: folder.join(t.text("folder", None)), bounds }
    });
    t.end();
    let m = root.section("meter");
    let meter = m.is_present().then(|| folder.join(m.text("folder", None)));
    m.end();

    let reports = match root.text("reports", Some("answers")).as_str() {
        "answers" => ReportsIn::Answers,
        "probes" => ReportsIn::Probes,
        "nothing" => ReportsIn::Nothing,
        _ => {
            root.wrong("reports", "is none of answers, probes, nothing");
            ReportsIn::Nothing
        }
    };
    let terms = Terms {
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
    let settings = StartupSettings { fleet, limits, rules, triggers, accounts, loads, prices, reports };
    Parts {
        seed,
        settings,
        names,
        terms,
        sources,
        listens,
        list,
        links,
        most_body,
        speakers,
        keep,
        meter,
        digest: [0; 32],
        clock_offset: 0,
        peers,
        upgrade,
        reconcile,
        sessions,
    }
}

fn trigger(t: &Section, limits: &DispatchLimits) -> TriggerType {
    let group = match t.text("repeats_dropped_by", Some("all")).as_str() {
        "all" => RepeatGroup::All,
        "zone" => RepeatGroup::Zone,
        "cell" => RepeatGroup::Cell,
        _ => {
            t.wrong("repeats_dropped_by", "is none of all, zone, cell");
            RepeatGroup::Cell
        }
    };
    let effect = match t.text("effect", None).as_str() {
        "idempotent" => Effect::Idempotent,
        "tokened" => Effect::Tokened { group, window: t.millis("window_ms", 0..DAY, None) },
        "non-idempotent" => Effect::NonIdempotent,
        "" => Effect::NonIdempotent,
        _ => {
            t.wrong("effect", "is none of idempotent, tokened, non-idempotent");
            Effect::NonIdempotent
        }
    };
    if t.flag("second_copies", Some(false)) {
        if effect == Effect::NonIdempotent {
            t.wrong("second_copies", "what must never run twice may have no second copy");
        } else if !limits.second_copies {
            t.wrong("second_copies", "second copies are not allowed under [dispatch]");
        }
    }
    let latency_objective = t.millis("latency_objective_ms", 1..DAY, None);
    let client_timeout = t.millis("client_timeout_ms", 1..DAY, None);
    if latency_objective > client_timeout {
        t.wrong("latency_objective_ms", "is above the client timeout");
    }
    TriggerType {
        effect,
        latency_objective,
        objective_stretch: t.number("objective_stretch", 0.0..MANY, Some(0.0)),
        client_timeout,
        billed_value: t.number("billed_value", 0.0..MANY, Some(1.0)),
        late_part: t.number("late_part", 0.0..1.0, Some(0.0)),
        streamed: false,
    }
}

/// What a trigger type does where its group has no majority.
fn goes_alone(t: &Section) -> bool {
    match t.text("without_majority", Some("refuse")).as_str() {
        "refuse" => false,
        "alone" => true,
        _ => {
            t.wrong("without_majority", "is none of refuse, alone");
            false
        }
    }
}

/// The group, where there is one. `longest`: that any client waits.
fn peers(p: &Section, folder: &Path, longest: Micros) -> Option<PeerSettings> {
    if !p.is_present() {
        return None;
    }
    let (name, me) = (p.text("group", None), p.text("name", None));
    let listen = p.address("listen");
    let state_folder = named(p, "state", folder);
    let usual = kept_for(longest + KEPT_BEYOND);
    let retention = p.millis("kept_ms", 1..DAY, Some((usual as u64 / 1_000).min(DAY)));
    if retention < longest {
        p.wrong(
            "kept_ms",
            "is below the longest client timeout: what may still be waited for would be forgotten",
        );
    }
    let probe_interval = p.millis("probe_ms", 10..DAY, Some(250));
    let probe_timeout = p.millis("answer_ms", 5..DAY, Some(100));
    let suspicion_timeout = p.millis("suspected_ms", 100..DAY, Some(1_500));
    let belief_delay = p.millis("believed_ms", 100..DAY, Some(3_000));
    let replication_timeout = p.millis("copied_within_ms", 10..DAY, Some(500));
    let catch_up_bytes_per_s = p.count("catch_up_kb_per_s", 64..1 << 20, Some(16 << 10)) << 10;
    let max_records = p.count("most_records", 1_000..10_000_000, Some(200_000)) as usize;
    let (mut members, mut addresses) = (Vec::new(), BTreeMap::new());
    for m in p.sections("member") {
        let member = Member {
            name: m.text("name", None),
            region: m.text("region", Some("")),
            weight: m.count("weight", 0..u64::from(MOST_WEIGHT), Some(1)) as u32,
            witness: m.flag("witness", Some(false)),
        };
        addresses.insert(member.name.clone(), m.address("address"));
        members.push(member);
        m.end();
    }
    p.end_here();
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
            p.wrong("member", &format!("{unfit}; {}", unfit.remedy()));
            None
        }
    }
}

/// Whether and how belief in what is loaded is held against what workers say.
fn reconcile(r: &Section) -> Option<Reconcile> {
    let terms = r.is_present().then(|| Reconcile {
        every: r.millis("every_ms", 50..DAY, Some(2_000)),
        grace: r.millis("grace_ms", 0..DAY, Some(10_000)),
        asks_per_s: r.number("asks_per_s", 0.1..10_000.0, Some(50.0)),
        repairs_per_s: r.number("repairs_per_s", 0.1..10_000.0, Some(5.0)),
    });
    r.end_here();
    terms
}

/// Upgrades of models, where there are any, and what is kept of sessions.
fn upgrade(
    u: &Section,
    folder: &Path,
    peers: Option<&PeerSettings>,
    reconciles: bool,
) -> (Option<Ordered>, Option<sessions::Terms>) {
    if !u.is_present() {
        return (None, None);
    }
    let copied_within = peers.map_or(0, |p| p.replication_timeout);
    if !reconciles {
        u.wrong("order", "upgrades need to know what workers hold; give [reconcile]");
    }
    if peers.is_none() {
        u.wrong("order", "upgrades need a group that agrees on them; give [peers]");
    }
    let file = folder.join(u.text("order", None));
    let orders = upgrading::read(&file).unwrap_or_else(|refused| {
        refused.0.iter().for_each(|line| u.wrong("order", line));
        Vec::new()
    });
    let usual = cedarpulley_upgrade::Terms::default();
    let time = |key, usual: Micros| u.millis(key, 0..DAY, Some((usual / 1_000) as u64));
    let terms = cedarpulley_upgrade::Terms {
        lease: u.millis("lease_ms", 500..DAY, Some((usual.lease / 1_000) as u64)),
        loads_at_once: u.count("loads_at_once", 1..1_000, Some(u64::from(usual.loads_at_once))) as u32,
        load_within: time("load_within_ms", usual.load_within),
        hold_back: time("hold_back_ms", usual.hold_back),
        shown_for: time("shown_ms", usual.shown_for),
        canary_least: time("canary_ms", usual.canary_least),
        canary_most: time("canary_most_ms", usual.canary_most),
        paused_most: time("paused_most_ms", usual.paused_most),
        gone_after: time("gone_after_ms", usual.gone_after),
        ..usual
    };
    let patience =
        u.millis("session_wait_ms", 10..DAY, Some((2 * copied_within).max(SESSIONS.patience) as u64 / 1_000));
    let kept = u.millis("session_kept_ms", 1_000..DAY, Some(SESSIONS.kept as u64 / 1_000));
    if kept < WAITS_IN_KEPT * patience.max(copied_within) {
        u.wrong("session_kept_ms", "is below ten times what an invocation waits for a majority");
    }
    let most_known = u.count("most_sessions", 100..10_000_000, Some(SESSIONS.most_known as u64)) as usize;
    let most_waiting = u.count("most_waiting", 1..1_000_000, Some(SESSIONS.most_waiting as u64)) as usize;
    let mut regions = BTreeMap::new();
    for r in u.sections("region") {
        let name = r.text("name", None);
        for zone in r.texts("zones") {
            if regions.insert(zone.clone(), name.clone()).is_some() {
                r.wrong("zones", &format!("'{zone}' is in two regions"));
            }
        }
        r.end();
    }
    u.end_here();
    let (objectives, memory_mb) = (Vec::new(), Vec::new());
    let ordered = Ordered { file, orders, terms, regions, objectives, memory_mb };
    (Some(ordered), Some(sessions::Terms { kept, patience, most_known, most_waiting }))
}

fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
}

fn refused(s: &Section, why: &certificates::Refused, clients: &str) {
    let key = match why.which {
        Which::Certificate => "certificate",
        Which::Key => "key",
        Which::Clients => clients,
    };
    s.wrong(key, &why.cause);
}

/// A file that is named, from the settings' folder.
fn named(s: &Section, key: &str, folder: &Path) -> Option<PathBuf> {
    s.has(key).then(|| folder.join(s.text(key, Some(""))))
}

fn inward(s: &Section, folder: &Path, protocol: Protocol) -> Option<Files> {
    let (certificate, key) = (named(s, "certificate", folder), named(s, "key", folder));
    let clients = named(s, "clients", folder);
    let (certificate, key) = match (certificate, key) {
        (Some(certificate), Some(key)) => (certificate, key),
        (None, None) if clients.is_none() => return None,
        _ => {
            s.wrong("certificate", "certificate and key belong together, and clients need both");
            return None;
        }
    };
    let alpn: &[u8] = if protocol == Protocol::Grpc { b"h2" } else { b"http/1.1" };
    let files = Files { certificate, key, clients, alpn };
    if let Err(why) = Inward::open(files.clone(), now()) {
        refused(s, &why, "clients");
    }
    Some(files)
}

fn outward(s: &Section, folder: &Path) -> Option<Outward> {
    let roots = named(s, "authorities", folder);
    let (certificate, key) = (named(s, "certificate", folder), named(s, "key", folder));
    let name = s.text("server_name", Some("localhost"));
    let Some(roots) = roots else {
        if certificate.is_some() || key.is_some() || s.has("server_name") {
            s.wrong("authorities", "TLS needs the authorities that the broker's certificate is from");
        }
        return None;
    };
    if certificate.is_some() != key.is_some() {
        s.wrong("certificate", "certificate and key belong together");
        return None;
    }
    let own = certificate.as_deref().zip(key.as_deref());
    match tls::outward(&roots, own, &name, now()) {
        Ok(outward) => Some(outward),
        Err(why) => {
            refused(s, &why, "authorities");
            None
        }
    }
}

/// A front's weight: its own, or the share of an account.
fn weight_of(s: &Section, names: &Names, accounts: &[Account]) -> f64 {
    match s.text("share_of", Some("")).as_str() {
        "" => s.number("weight", 1e-3..1e3, Some(1.0)),
        name => match names.accounts.iter().position(|n| n == name) {
            Some(i) => accounts[i].share.max(1e-3),
            None => {
                s.wrong("share_of", &format!("there is no account '{name}'"));
                1.0
            }
        },
    }
}

fn zone_of(s: &Section, key: &str, zones: &[String]) -> u32 {
    let name = s.text(key, Some(""));
    if name.is_empty() {
        return 0;
    }
    zones.iter().position(|z| *z == name).map_or_else(
        || {
            s.wrong(key, &format!("'{name}' is not among the zones"));
            0
        },
        |i| i as u32,
    )
}

fn fixed(w: &Section, names: &Names) -> Vec<Listed> {
    let mut list: Vec<Listed> = Vec::new();
    for s in w.sections("list") {
        let address = s.address("address").to_string();
        if list.iter().any(|l| l.address == address) {
            s.wrong("address", &format!("{address} is named twice"));
        }
        let kind = s.text("kind", Some(""));
        let kind = match names.kinds.iter().position(|k| *k == kind) {
            Some(i) => i as u32,
            None if kind.is_empty() => 0,
            None => {
                s.wrong("kind", &format!("there is no kind '{kind}'"));
                0
            }
        };
        list.push(Listed {
            address,
            zone: zone_of(&s, "zone", &names.zones),
            kind,
            cell: s.count("cell", 0..1 << 30, Some(0)) as u32,
            standing: Standing::InService,
            weight: s.number("weight", 0.0..MANY, Some(1.0)),
            started: None,
        });
        s.end();
    }
    list
}
