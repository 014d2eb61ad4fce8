//! Settings of what the routers of a group share: `[peers]` (the members), `[reconcile]`, and `[upgrade]` with the
//! limits of sessions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use cedarpulley::interface::Micros;
use cedarpulley_membership::group::MAX_WEIGHT;
use cedarpulley_membership::{Group, Member};
use cedarpulley_replica::retention_for;
use cedarpulley_upgrade::sessions;

use crate::config_reader::Section;
use crate::config_values::{DAY_MS, path_of};
use crate::peer_settings::PeerSettings;
use crate::reconciliation::ReconcileSettings;
use crate::upgrades::{self, UpgradeSettings};

/// By default, the group's records are retained for this long after the longest client timeout, in microseconds. The
/// loss of an AMQP channel is noticed, and the channel's messages are redelivered, in much less time.
const RETENTION_MARGIN: Micros = 4_000_000;

/// Smallest ratio of a session's retention to the time limit for a majority. A router relies on a session's binding for
/// somewhat less time than a majority retains it; waiting for the majority must not use up that time.
const MIN_RETENTION_TO_TIMEOUT_RATIO: Micros = 10;

/// Default limits of sessions; times in microseconds. The retention covers three pauses in which a user reads an answer.
/// The number of sessions is above the number of invocations that a router handles in a minute. The number of waiting
/// invocations is what a majority answers in some tens of milliseconds.
pub(crate) const DEFAULT_SESSION_SETTINGS: sessions::SessionSettings = sessions::SessionSettings {
    retention: 600_000_000,
    majority_timeout: 1_000_000,
    max_sessions: 100_000,
    max_waiting: 1_000,
};

/// Reads `[peers]`; absent if the router belongs to no group. `longest_client_timeout`: in microseconds.
pub(crate) fn peers(
    section: &Section,
    folder: &Path,
    longest_client_timeout: Micros,
) -> Option<PeerSettings> {
    if !section.is_present() {
        return None;
    }
    let (group_name, own_name) = (section.string("group", None), section.string("name", None));
    let listen = section.loopback_address("listen");
    let state_folder = path_of(section, "state", folder);
    let retention = record_retention(section, longest_client_timeout);
    let probe_interval = section.millis_as_micros("probe_ms", 10..DAY_MS, Some(250));
    let probe_timeout = section.millis_as_micros("answer_ms", 5..DAY_MS, Some(100));
    let suspicion_timeout = section.millis_as_micros("suspected_ms", 100..DAY_MS, Some(1_500));
    let stable_view_delay = section.millis_as_micros("believed_ms", 100..DAY_MS, Some(3_000));
    let replication_timeout = section.millis_as_micros("copied_within_ms", 10..DAY_MS, Some(500));
    let catch_up_kb_per_s = section.integer("catch_up_kb_per_s", 64..1 << 20, Some(16 << 10));
    let max_records = section.integer("most_records", 1_000..10_000_000, Some(200_000)) as usize;
    let (members, addresses) = members(section);
    section.check_unknown_keys();
    let group = match Group::new(&group_name, members, &own_name) {
        Ok(group) => group,
        Err(error) => {
            section.error("member", &format!("{error}; {}", error.remedy()));
            return None;
        }
    };
    let addresses = group
        .members
        .iter()
        .map(|member| addresses.get(&member.name).copied().unwrap_or(listen))
        .collect();
    Some(PeerSettings {
        listen,
        group,
        addresses,
        state_folder,
        probe_interval,
        probe_timeout,
        suspicion_timeout,
        stable_view_delay,
        retention,
        replication_timeout,
        catch_up_bytes_per_s: catch_up_kb_per_s << 10,
        max_records,
    })
}

/// Reads how long the group's records are retained, in microseconds. `longest_client_timeout`: in microseconds.
fn record_retention(section: &Section, longest_client_timeout: Micros) -> Micros {
    let default_retention = retention_for(longest_client_timeout + RETENTION_MARGIN);
    let retention = section.millis_as_micros(
        "kept_ms",
        1..DAY_MS,
        Some((default_retention as u64 / 1_000).min(DAY_MS)),
    );
    if retention < longest_client_timeout {
        section.error(
            "kept_ms",
            "is below the longest client timeout: records of invocations that clients still wait for would expire",
        );
    }
    retention
}

/// Reads the members, and the address of each member by its name.
fn members(section: &Section) -> (Vec<Member>, BTreeMap<String, SocketAddr>) {
    let (mut members, mut addresses) = (Vec::new(), BTreeMap::new());
    for entry in section.sections("member") {
        let member = Member {
            name: entry.string("name", None),
            region: entry.string("region", Some("")),
            weight: entry.integer("weight", 0..u64::from(MAX_WEIGHT), Some(1)) as u32,
            witness: entry.boolean("witness", Some(false)),
        };
        addresses.insert(member.name.clone(), entry.loopback_address("address"));
        members.push(member);
        entry.finish();
    }
    (members, addresses)
}

/// Reads `[reconcile]`: how the recorded warm copies are reconciled with the workers' reports; absent if they are not.
pub(crate) fn reconcile(section: &Section) -> Option<ReconcileSettings> {
    let settings = section.is_present().then(|| ReconcileSettings {
        interval: section.millis_as_micros("every_ms", 50..DAY_MS, Some(2_000)),
        grace_period: section.millis_as_micros("grace_ms", 0..DAY_MS, Some(10_000)),
        queries_per_s: section.number("asks_per_s", 0.1..10_000.0, Some(50.0)),
        repairs_per_s: section.number("repairs_per_s", 0.1..10_000.0, Some(5.0)),
    });
    section.check_unknown_keys();
    settings
}

/// Reads `[upgrade]`: the settings of upgrades and the limits of sessions; both are absent if the section is.
/// `reconciles`: whether `[reconcile]` is configured.
pub(crate) fn upgrade(
    section: &Section,
    folder: &Path,
    peers: Option<&PeerSettings>,
    reconciles: bool,
) -> (Option<UpgradeSettings>, Option<sessions::SessionSettings>) {
    if !section.is_present() {
        return (None, None);
    }
    if !reconciles {
        section.error(
            "order",
            "upgrades need the workers' reports of their copies; configure [reconcile]",
        );
    }
    if peers.is_none() {
        section.error(
            "order",
            "upgrades need a group that agrees on their plans; configure [peers]",
        );
    }
    let file = folder.join(section.string("order", None));
    let orders = upgrades::read(&file).unwrap_or_else(|errors| {
        errors
            .0
            .iter()
            .for_each(|line| section.error("order", line));
        Vec::new()
    });
    let planner_settings = planner_settings(section);
    let sessions = session_settings(section, peers.map_or(0, |peers| peers.replication_timeout));
    let regions = regions(section);
    section.check_unknown_keys();
    let settings = UpgradeSettings {
        file,
        orders,
        planner_settings,
        regions,
        latency_objectives: Vec::new(),
        memory_mb: Vec::new(),
    };
    (Some(settings), Some(sessions))
}

/// Reads the limits and times of upgrades; an absent key has the planner's default.
fn planner_settings(section: &Section) -> cedarpulley_upgrade::PlannerSettings {
    let defaults = cedarpulley_upgrade::PlannerSettings::default();
    let time = |key, default: Micros| {
        section.millis_as_micros(key, 0..DAY_MS, Some((default / 1_000) as u64))
    };
    let default_lease_ms = (defaults.lease / 1_000) as u64;
    cedarpulley_upgrade::PlannerSettings {
        lease: section.millis_as_micros("lease_ms", 500..DAY_MS, Some(default_lease_ms)),
        concurrent_loads: section.integer(
            "loads_at_once",
            1..1_000,
            Some(u64::from(defaults.concurrent_loads)),
        ) as u32,
        load_timeout: time("load_within_ms", defaults.load_timeout),
        load_backoff: time("hold_back_ms", defaults.load_backoff),
        announcement_time: time("shown_ms", defaults.announcement_time),
        canary_min_time: time("canary_ms", defaults.canary_min_time),
        canary_max_time: time("canary_most_ms", defaults.canary_max_time),
        pause_limit: time("paused_most_ms", defaults.pause_limit),
        member_gone_after: time("gone_after_ms", defaults.member_gone_after),
        ..defaults
    }
}

/// Reads the limits of sessions. `replication_timeout`: the time limit for a majority, in microseconds.
fn session_settings(section: &Section, replication_timeout: Micros) -> sessions::SessionSettings {
    let majority_timeout = section.millis_as_micros(
        "session_wait_ms",
        10..DAY_MS,
        Some(
            (2 * replication_timeout).max(DEFAULT_SESSION_SETTINGS.majority_timeout) as u64 / 1_000,
        ),
    );
    let retention = section.millis_as_micros(
        "session_kept_ms",
        1_000..DAY_MS,
        Some(DEFAULT_SESSION_SETTINGS.retention as u64 / 1_000),
    );
    if retention < MIN_RETENTION_TO_TIMEOUT_RATIO * majority_timeout.max(replication_timeout) {
        section.error(
            "session_kept_ms",
            "is below ten times the longest time for which an invocation waits for a majority",
        );
    }
    let max_sessions = section.integer(
        "most_sessions",
        100..10_000_000,
        Some(DEFAULT_SESSION_SETTINGS.max_sessions as u64),
    ) as usize;
    let max_waiting = section.integer(
        "most_waiting",
        1..1_000_000,
        Some(DEFAULT_SESSION_SETTINGS.max_waiting as u64),
    ) as usize;
    sessions::SessionSettings {
        retention,
        majority_timeout,
        max_sessions,
        max_waiting,
    }
}

/// Reads the region of each zone.
fn regions(section: &Section) -> BTreeMap<String, String> {
    let mut regions = BTreeMap::new();
    for region in section.sections("region") {
        let name = region.string("name", None);
        for zone in region.strings("zones") {
            if regions.insert(zone.clone(), name.clone()).is_some() {
                region.error("zones", &format!("'{zone}' is in two regions"));
            }
        }
        region.finish();
    }
    regions
}
