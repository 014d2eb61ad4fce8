//! Reads the settings of the core and its balancer: position in the fleet, dispatches, rules, loads, prices,
//! trigger types and accounts.

use std::net::{IpAddr, Ipv4Addr};

use cedarpulley::interface::*;
use cedarpulley_certificates::ClientAccounts;
use cedarpulley_startup::Names;

use crate::config_reader::Section;
use crate::config_values::{DAY_MS, MAX_NUMBER, NEVER, zone_index};
use crate::pool::PoolSettings;

/// Functions and their copies get this fraction of the memory for bodies, beside it.
const FUNCTION_MEMORY_DIVISOR: u64 = 8;

/// The values of section `[router]`. Durations are in microseconds.
pub(crate) struct RouterSection {
    pub(crate) seed: Option<u64>,
    pub(crate) fleet: FleetPosition,
    pub(crate) local_address: Option<IpAddr>,
    pub(crate) answer_margin: Micros,
    pub(crate) clock_margin: Micros,
    pub(crate) memory_bytes: u64,
    pub(crate) max_body_bytes: u64,
}

/// Reads `[router]`; adds the zones to `names`.
pub(crate) fn router(section: &Section, names: &mut Names) -> RouterSection {
    let seed = section
        .has("seed")
        .then(|| section.integer("seed", 0..1 << 53, None));
    names.zones = section.strings("zones");
    let zone = zone_index(section, "zone", &names.zones);
    let fleet = FleetPosition {
        routers: section.integer("routers", 1..10_000, Some(1)) as u32,
        position: section.integer("position", 0..9_999, Some(0)) as u32,
        zone,
        granularity: section.millis_as_micros("granularity_ms", 0..1000, Some(10)),
    };
    if fleet.position >= fleet.routers {
        section.error("position", "is not below the number of routers");
    }
    let local_address = match section.string("from", Some("")).as_str() {
        "" => None,
        text => match text.parse::<Ipv4Addr>() {
            Ok(ip) if ip.is_loopback() => Some(IpAddr::V4(ip)),
            _ => {
                section.error("from", "is not a loopback address");
                None
            }
        },
    };
    let answer_margin = section.millis_as_micros("answer_margin_ms", 0..DAY_MS, Some(100));
    let clock_margin = section.millis_as_micros("clock_margin_ms", 0..DAY_MS, Some(50));
    let memory_bytes = section.integer("memory_mb", 1..1 << 20, Some(256)) << 20;
    let max_body_bytes = section.integer("most_body_kb", 1..1 << 20, Some(16 * 1024)) << 10;
    section.check_unknown_keys();

    RouterSection {
        seed,
        fleet,
        local_address,
        answer_margin,
        clock_margin,
        memory_bytes,
        max_body_bytes,
    }
}

impl RouterSection {
    /// The bounds of the balancer's state.
    pub(crate) fn state_limits(&self) -> StateLimits {
        StateLimits {
            function_bytes: Some(self.memory_bytes / FUNCTION_MEMORY_DIVISOR),
        }
    }
}

/// Reads `[dispatch]`: the limits of dispatches and of the connections to workers.
pub(crate) fn dispatch(
    section: &Section,
    local_address: Option<IpAddr>,
) -> (DispatchLimits, PoolSettings) {
    let limits = DispatchLimits {
        max_dispatches: section.integer("max_dispatches", 1..100, Some(4)) as u32,
        hedged_requests: section.boolean("second_copies", Some(false)),
        cancellation: section.boolean("withdrawals", Some(true)),
        probes: section.boolean("probes", Some(false)),
        connect_timeout: section.millis_as_micros("connect_within_ms", 1..DAY_MS, Some(250)),
        max_retry_after: section.millis_as_micros("max_advice_ms", 0..DAY_MS, Some(0)),
    };
    let pool = PoolSettings {
        local_address,
        connect_timeout: limits.connect_timeout,
        max_connections: section.integer("most_connections", 1..10_000, Some(128)) as usize,
        idle_timeout: section.millis_as_micros("connection_kept_ms", 1..DAY_MS, Some(30_000)),
        max_answer_bytes: (section.integer("most_answer_kb", 1..1 << 20, Some(16 * 1024)) << 10)
            as usize,
    };
    section.check_unknown_keys();
    (limits, pool)
}

/// Reads `[rules]`.
pub(crate) fn rules(section: &Section) -> RuleLimits {
    let rules = RuleLimits {
        answer_slack: section.millis_as_micros("answer_slack_ms", 0..DAY_MS, Some(0)),
        drain_grace: section.millis_as_micros("drain_grace_ms", 0..DAY_MS, Some(500)),
        list_request_timeout: NEVER,
        list_on_request: false,
        slow_start_fraction: section.number("cold_part", 0.0..1.0, Some(1.0)),
        slow_start_duration: section.millis_as_micros("cold_for_ms", 0..DAY_MS, Some(0)),
        overload_multiple: section.number("overload_multiple", 0.0..MAX_NUMBER, Some(MAX_NUMBER)),
        overload_window: section.millis_as_micros("overload_window_ms", 1..DAY_MS, Some(1_000)),
    };
    section.check_unknown_keys();
    rules
}

/// Reads the kinds of workers: adds their names to `names` and returns their memory in MB.
pub(crate) fn kinds(root: &Section, names: &mut Names) -> Vec<f64> {
    let mut memory_mb = Vec::new();
    for kind in root.sections("kind") {
        names.machine_kinds.push(kind.string("name", None));
        memory_mb.push(kind.number("memory_mb", 1.0..MAX_NUMBER, None));
        kind.finish();
    }
    memory_mb
}

/// Reads `[loads]`. `memory_mb`: memory by kind of worker.
pub(crate) fn loads(section: &Section, memory_mb: Vec<f64>) -> LoadSettings {
    let loads = LoadSettings {
        idle_retention: section.millis_as_micros("idle_kept_ms", 1..DAY_MS, Some(30_000)),
        load_orders: section.boolean("orders", Some(false)),
        loads_when_absent: section.boolean("loads_when_absent", Some(true)),
        order_timeout: section.millis_as_micros(
            "order_answered_within_ms",
            1..DAY_MS,
            Some(10_000),
        ),
        order_quota_window: section.millis_as_micros("ration_window_ms", 0..DAY_MS, Some(0)),
        order_quota_base: section.number("ration_few", 0.0..MAX_NUMBER, Some(0.0)),
        order_quota_per_invocation: section.number("ration_part", 0.0..1.0, Some(0.0)),
        reports_copy_status: section.boolean("notes", Some(true)),
        reports_function_load: section.boolean("crowds", Some(true)),
        memory_mb,
    };
    if !loads.load_orders && !loads.loads_when_absent {
        section.error(
            "loads_when_absent",
            "is off, and so is orders: no copy would ever be loaded",
        );
    }
    section.check_unknown_keys();
    loads
}

/// Reads `[prices]`.
pub(crate) fn prices(section: &Section) -> Prices {
    let prices = Prices {
        crossing: section.number("crossing", 0.0..MAX_NUMBER, Some(0.0)),
        fetch: section.number("fetch", 0.0..MAX_NUMBER, Some(0.0)),
        waste: section.number("waste", 0.0..MAX_NUMBER, Some(0.0)),
        probe: section.number("probe", 0.0..MAX_NUMBER, Some(0.0)),
        late_error: section.number("late_error", 0.0..MAX_NUMBER, Some(0.0)),
        over_quota: section.number("over_share", 0.0..1.0, Some(1.0)),
    };
    section.check_unknown_keys();
    prices
}

/// Reads the trigger types, and for each whether its invocations are sent without a majority of the group; adds their
/// names to `names`.
pub(crate) fn triggers(
    root: &Section,
    limits: &DispatchLimits,
    names: &mut Names,
) -> (Vec<TriggerType>, Vec<bool>) {
    let (mut triggers, mut without_majority) = (Vec::new(), Vec::new());
    for section in root.sections("trigger") {
        let name = section.string("name", None);
        if names.triggers.contains(&name) {
            section.error("name", &format!("'{name}' is named twice"));
        }
        names.triggers.push(name);
        triggers.push(trigger(&section, limits));
        without_majority.push(sends_without_majority(&section));
        section.finish();
    }
    if triggers.is_empty() {
        root.error("trigger", "no trigger type is given");
    }
    (triggers, without_majority)
}

/// Reads the accounts and the certificate names bound to them; adds the accounts' names to `names`.
pub(crate) fn accounts(root: &Section, names: &mut Names) -> (Vec<Account>, ClientAccounts) {
    let mut accounts = Vec::new();
    let mut certificate_accounts = ClientAccounts::default();
    for section in root.sections("account") {
        names.accounts.push(section.string("name", None));
        if section.has("certificate_names") {
            for name in section.strings("certificate_names") {
                if !certificate_accounts.bind(name.clone(), accounts.len() as u32) {
                    section.error(
                        "certificate_names",
                        &format!("'{name}' is already bound to another account"),
                    );
                }
            }
        }
        accounts.push(Account {
            quota_per_s: section.number("allowance_per_s", 0.0..MAX_NUMBER, Some(MAX_NUMBER)),
            share: section.number("share", 0.0..1.0, Some(1.0)),
        });
        section.finish();
    }
    let share_sum: f64 = accounts.iter().map(|account| account.share).sum();
    if accounts.len() > 1 && share_sum > 1.0 + 1e-9 && root.has("account") {
        root.error(
            "account",
            &format!("the shares sum to {share_sum}, above 1"),
        );
    }

    (accounts, certificate_accounts)
}

/// Reads the source of the workers' load reports.
pub(crate) fn reports(root: &Section) -> ReportSource {
    match root.string("reports", Some("answers")).as_str() {
        "answers" => ReportSource::Answers,
        "probes" => ReportSource::Probes,
        "nothing" => ReportSource::Nothing,
        _ => {
            root.error("reports", "is none of answers, probes, nothing");
            ReportSource::Nothing
        }
    }
}

/// Reads one trigger type, without its name.
fn trigger(section: &Section, limits: &DispatchLimits) -> TriggerType {
    let effect = effect(section);
    check_hedging(section, effect, limits);
    let latency_objective = section.millis_as_micros("latency_objective_ms", 1..DAY_MS, None);
    let client_timeout = section.millis_as_micros("client_timeout_ms", 1..DAY_MS, None);
    if latency_objective > client_timeout {
        section.error("latency_objective_ms", "is above the client timeout");
    }
    TriggerType {
        effect,
        latency_objective,
        objective_work_multiple: section.number("objective_stretch", 0.0..MAX_NUMBER, Some(0.0)),
        client_timeout,
        billed_value: section.number("billed_value", 0.0..MAX_NUMBER, Some(1.0)),
        late_value_fraction: section.number("late_part", 0.0..1.0, Some(0.0)),
        streamed: false,
    }
}

/// Reads the effect of executing an invocation twice, and the scope in which duplicates are dropped.
fn effect(section: &Section) -> Effect {
    let scope = match section.string("repeats_dropped_by", Some("all")).as_str() {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Cell,
        _ => {
            section.error("repeats_dropped_by", "is none of all, zone, cell");
            DeduplicationScope::Cell
        }
    };
    match section.string("effect", None).as_str() {
        "idempotent" => Effect::Idempotent,
        "tokened" => Effect::IdempotentByKey {
            scope,
            window: section.millis_as_micros("window_ms", 0..DAY_MS, None),
        },
        // The empty string: the key is absent, which has already been reported.
        "non-idempotent" | "" => Effect::NonIdempotent,
        _ => {
            section.error("effect", "is none of idempotent, tokened, non-idempotent");
            Effect::NonIdempotent
        }
    }
}

/// Checks that hedged requests, if requested, are safe for the trigger type and allowed by `[dispatch]`.
fn check_hedging(section: &Section, effect: Effect, limits: &DispatchLimits) {
    if !section.boolean("second_copies", Some(false)) {
        return;
    }
    if effect == Effect::NonIdempotent {
        section.error(
            "second_copies",
            "what must never run twice may have no second copy",
        );
    } else if !limits.hedged_requests {
        section.error(
            "second_copies",
            "second copies are not allowed under [dispatch]",
        );
    }
}

/// Reads whether invocations of a trigger type are sent without a majority of the group.
fn sends_without_majority(section: &Section) -> bool {
    match section.string("without_majority", Some("refuse")).as_str() {
        "refuse" => false,
        "alone" => true,
        _ => {
            section.error("without_majority", "is none of refuse, alone");
            false
        }
    }
}
