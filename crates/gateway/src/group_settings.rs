//! The settings of what routers of a group share: its members, reconciliation, upgrades and sessions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use cedarpulley::interface::Micros;
use cedarpulley_membership::group::MAX_WEIGHT;
use cedarpulley_membership::{Group, Member};
use cedarpulley_replica::retention_for;
use cedarpulley_upgrade::sessions;

use crate::config_reader::Section;
use crate::peer_settings::PeerSettings;
use crate::reconciliation::ReconcileSettings;
use crate::settings::{DAY_MS, path_of};
use crate::upgrades::{self, UpgradeSettings};

/// By default, the group's records are retained this long beyond the longest client timeout (microseconds): a
/// lost channel is noticed, and its messages are delivered again, well within it.
const RETENTION_MARGIN: Micros = 4_000_000;

/// A session's binding is trusted for somewhat less than a majority retains it; waiting must not use that up.
const MIN_WAITS_IN_RETENTION: Micros = 10;

/// Defaults for sessions: retention for three pauses of a person who reads; more sessions than a router has
/// invocations in a minute; as many waiting as a majority answers in some tens of milliseconds.
pub(crate) const DEFAULT_SESSION_TERMS: sessions::Terms = sessions::Terms {
    kept: 600_000_000,
    patience: 1_000_000,
    most_known: 100_000,
    most_waiting: 1_000,
};

/// The group, if there is one. `longest`: the longest client timeout.
pub(crate) fn peers(p: &Section, folder: &Path, longest: Micros) -> Option<PeerSettings> {
    if !p.is_present() {
        return None;
    }
    let (name, me) = (p.string("group", None), p.string("name", None));
    let listen = p.loopback_address("listen");
    let state_folder = path_of(p, "state", folder);
    let usual = retention_for(longest + RETENTION_MARGIN);
    let retention = p.millis_as_micros(
        "kept_ms",
        1..DAY_MS,
        Some((usual as u64 / 1_000).min(DAY_MS)),
    );
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
    let (members, addresses) = members(p);
    p.check_unknown_keys();
    match Group::new(&name, members, &me) {
        Ok(group) => {
            let addresses = group
                .members
                .iter()
                .map(|m| addresses.get(&m.name).copied().unwrap_or(listen))
                .collect();
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

/// The members, and the address of each by its name.
fn members(p: &Section) -> (Vec<Member>, BTreeMap<String, SocketAddr>) {
    let (mut members, mut addresses) = (Vec::new(), BTreeMap::new());
    for m in p.sections("member") {
        let member = Member {
            name: m.string("name", None),
            region: m.string("region", Some("")),
            weight: m.integer("weight", 0..u64::from(MAX_WEIGHT), Some(1)) as u32,
            witness: m.boolean("witness", Some(false)),
        };
        addresses.insert(member.name.clone(), m.loopback_address("address"));
        members.push(member);
        m.finish();
    }
    (members, addresses)
}

/// Whether and how the warm index is reconciled with the workers' reports.
pub(crate) fn reconcile(r: &Section) -> Option<ReconcileSettings> {
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
pub(crate) fn upgrade(
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
        u.error(
            "order",
            "upgrades need to know what workers hold; give [reconcile]",
        );
    }
    if peers.is_none() {
        u.error(
            "order",
            "upgrades need a group that agrees on them; give [peers]",
        );
    }
    let file = folder.join(u.string("order", None));
    let orders = upgrades::read(&file).unwrap_or_else(|errors| {
        errors.0.iter().for_each(|line| u.error("order", line));
        Vec::new()
    });
    let usual = cedarpulley_upgrade::Terms::default();
    let time =
        |key, usual: Micros| u.millis_as_micros(key, 0..DAY_MS, Some((usual / 1_000) as u64));
    let terms = cedarpulley_upgrade::Terms {
        lease: u.millis_as_micros("lease_ms", 500..DAY_MS, Some((usual.lease / 1_000) as u64)),
        loads_at_once: u.integer(
            "loads_at_once",
            1..1_000,
            Some(u64::from(usual.loads_at_once)),
        ) as u32,
        load_within: time("load_within_ms", usual.load_within),
        hold_back: time("hold_back_ms", usual.hold_back),
        shown_for: time("shown_ms", usual.shown_for),
        canary_least: time("canary_ms", usual.canary_least),
        canary_most: time("canary_most_ms", usual.canary_most),
        paused_most: time("paused_most_ms", usual.paused_most),
        gone_after: time("gone_after_ms", usual.gone_after),
        ..usual
    };
    let sessions = session_terms(u, copied_within);
    let regions = regions(u);
    u.check_unknown_keys();
    let (latency_objectives, memory_mb) = (Vec::new(), Vec::new());
    let ordered = UpgradeSettings {
        file,
        orders,
        terms,
        regions,
        latency_objectives,
        memory_mb,
    };
    (Some(ordered), Some(sessions))
}

/// The terms of sessions. `copied_within`: the time limit for a majority, in microseconds.
fn session_terms(u: &Section, copied_within: Micros) -> sessions::Terms {
    let patience = u.millis_as_micros(
        "session_wait_ms",
        10..DAY_MS,
        Some((2 * copied_within).max(DEFAULT_SESSION_TERMS.patience) as u64 / 1_000),
    );
    let kept = u.millis_as_micros(
        "session_kept_ms",
        1_000..DAY_MS,
        Some(DEFAULT_SESSION_TERMS.kept as u64 / 1_000),
    );
    if kept < MIN_WAITS_IN_RETENTION * patience.max(copied_within) {
        u.error(
            "session_kept_ms",
            "is below ten times what an invocation waits for a majority",
        );
    }
    let most_known = u.integer(
        "most_sessions",
        100..10_000_000,
        Some(DEFAULT_SESSION_TERMS.most_known as u64),
    ) as usize;
    let most_waiting = u.integer(
        "most_waiting",
        1..1_000_000,
        Some(DEFAULT_SESSION_TERMS.most_waiting as u64),
    ) as usize;
    sessions::Terms {
        kept,
        patience,
        most_known,
        most_waiting,
    }
}

/// Region by zone.
fn regions(u: &Section) -> BTreeMap<String, String> {
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
    regions
}
