//! [`StartupSettings`]: the settings that the balancer starts with, converted from [`RawSettings`]. The simulator and
//! the platform use the same names and units for them.

use cedarpulley::Balancer;
use cedarpulley::interface::{
    Account, DeduplicationScope, DispatchLimits, Effect, FleetPosition, LoadSettings, Micros,
    Prices, ReportSource, RuleLimits, StateLimits, TriggerType,
};

use crate::error::{Result, unknown_value, wrong_type};
use crate::raw_settings::RawSettings;

/// A time, in microseconds, that is in effect unlimited, for rules that a site does not set. It is small enough for
/// several such times to be added without overflow.
const UNLIMITED_TIME: Micros = i64::MAX / 8;

/// The settings that the balancer starts with.
#[derive(Clone, Debug)]
pub struct StartupSettings {
    /// This router's position among all routers.
    pub fleet: FleetPosition,
    /// The attempts that are allowed.
    pub limits: DispatchLimits,
    /// The times and fractions in the site's rules.
    pub rules: RuleLimits,
    /// The trigger types, by index.
    pub triggers: Vec<TriggerType>,
    /// The accounts, by index; may be empty.
    pub accounts: Vec<Account>,
    /// How copies of functions are loaded.
    pub loads: LoadSettings,
    /// Costs of the actions that a site charges for.
    pub prices: Prices,
    /// The source of load reports.
    pub reports: ReportSource,
    /// Bounds of the balancer's state.
    pub state: StateLimits,
}

impl StartupSettings {
    /// Creates a balancer with these settings; `seed` seeds its random number generator.
    pub fn balancer(&self, seed: u64) -> Balancer {
        Balancer::new(
            seed,
            self.fleet,
            self.limits,
            self.rules,
            self.triggers.clone(),
            self.accounts.clone(),
            self.loads.clone(),
            self.prices,
            self.reports,
        )
        .with_state_limits(self.state)
    }

    /// Converts raw settings; the error describes the first invalid setting.
    pub fn read(raw: &RawSettings) -> Result<Self> {
        let fleet = fleet_position(raw)?;
        let limits = dispatch_limits(raw)?;
        let rules = rule_limits(raw)?;
        let triggers = (0..raw.count("services")?)
            .map(|index| trigger_type(raw, index))
            .collect::<Result<Vec<_>>>()?;
        let accounts = (0..raw.count("orgs")?)
            .map(|index| account(raw, index))
            .collect::<Result<Vec<_>>>()?;
        Ok(StartupSettings {
            loads: load_settings(raw, &triggers)?,
            prices: prices(raw)?,
            reports: report_source(raw)?,
            state: StateLimits::default(),
            fleet,
            limits,
            rules,
            triggers,
            accounts,
        })
    }
}

fn fleet_position(raw: &RawSettings) -> Result<FleetPosition> {
    Ok(FleetPosition {
        routers: raw.number("fleetSize", 1.0)?.max(1.0) as u32,
        position: raw.number("position", 0.0)?.max(0.0) as u32,
        zone: raw.number("zone", 0.0)?.max(0.0) as u32,
        granularity: raw.time("granularity", 1_000)?,
    })
}

fn dispatch_limits(raw: &RawSettings) -> Result<DispatchLimits> {
    Ok(DispatchLimits {
        max_dispatches: raw.number("permissions.sendCap", 1.0)?.max(1.0) as u32,
        hedged_requests: raw.flag("permissions.mayDuplicate", false)?,
        cancellation: raw.flag("permissions.cancel", false)?,
        probes: raw.flag("permissions.probes", false)?,
        connect_timeout: raw.time("permissions.connectTimeout", 0)?,
        max_retry_after: match raw.flag("permissions.retryAfter", false)? {
            true => raw.time("permissions.maxRetryAfter", 0)?,
            false => 0,
        },
    })
}

fn rule_limits(raw: &RawSettings) -> Result<RuleLimits> {
    Ok(RuleLimits {
        answer_slack: raw.time("rules.answerSlack", 0)?,
        drain_grace: raw.time("rules.stopSendingWithin", 0)?,
        list_request_timeout: raw.time("rules.askWithin", UNLIMITED_TIME)?,
        list_on_request: match raw.text("discovery") {
            Some("on_request") => true,
            Some("pushed") | None => false,
            Some(value) => return Err(unknown_value("discovery", value)),
        },
        slow_start_fraction: raw.number("rules.coldShare", 1.0)?,
        slow_start_duration: raw.time("rules.cold", 0)?,
        overload_multiple: raw.number("rules.overloadFactor", f64::MAX)?,
        overload_window: raw.time("rules.fall", 0)?,
    })
}

fn trigger_type(raw: &RawSettings, index: usize) -> Result<TriggerType> {
    let key = |name: &str| format!("services.{index}.{name}");
    let scope = match raw.text(&key("keyScope")) {
        Some("all") | None => DeduplicationScope::All,
        Some("zone") => DeduplicationScope::Zone,
        Some("cell") => DeduplicationScope::Cell,
        Some(value) => return Err(unknown_value(&key("keyScope"), value)),
    };
    let client_timeout = raw.time(&key("hardLimit"), UNLIMITED_TIME)?;
    Ok(TriggerType {
        effect: match raw.text(&key("effect")) {
            Some("retryable") => Effect::Idempotent,
            Some("dedup") => Effect::IdempotentByKey {
                scope,
                window: raw.time(&key("window"), 0)?,
            },
            Some("fragile") | None => Effect::NonIdempotent,
            Some(value) => return Err(unknown_value(&key("effect"), value)),
        },
        // Without an objective, an answer is in time until the client timeout. An unlimited objective would be wrong:
        // the balancer's first estimate of an invocation's work is a fraction of the objective, and the balancer
        // rejects invocations that cannot be answered in time.
        latency_objective: raw.time(&key("aim"), client_timeout)?,
        objective_work_multiple: raw.number(&key("aimStretch"), 0.0)?,
        client_timeout,
        billed_value: raw.number(&key("value"), 1.0)?,
        late_value_fraction: raw.number(&key("lateValue"), 0.0)?,
        streamed: raw.flag(&key("streamed"), false)?,
    })
}

fn account(raw: &RawSettings, index: usize) -> Result<Account> {
    Ok(Account {
        quota_per_s: raw.number(&format!("orgs.{index}.allowancePerS"), f64::MAX)?,
        share: raw.number(&format!("orgs.{index}.share"), 1.0)?,
    })
}

fn load_settings(raw: &RawSettings, triggers: &[TriggerType]) -> Result<LoadSettings> {
    let machine_memory_mb = raw
        .list("familyInfo.machineMb")
        .map(|value| {
            let number = value.parse();
            number.map_err(|_| wrong_type("familyInfo.machineMb", value, "a list of numbers"))
        })
        .collect::<Result<_>>()?;
    Ok(LoadSettings {
        idle_retention: raw.time("familyInfo.staysLoaded", 0)?,
        load_orders: raw.flag("familyInfo.mayLoad", false)?,
        loads_when_absent: match raw.text("familyInfo.whenAbsent") {
            Some("load") | None => true,
            Some("miss") => false,
            Some(value) => return Err(unknown_value("familyInfo.whenAbsent", value)),
        },
        // Without a configured timeout, load orders have the longest client timeout. With a timeout of 0, each of them
        // would time out at once, and the balancer would count that as a failure of the worker.
        order_timeout: raw.time("familyInfo.answerWithin", longest_client_timeout(triggers))?,
        order_quota_window: raw.time("familyInfo.loadWindow", 0)?,
        order_quota_base: raw.number("familyInfo.freeLoads", 0.0)?,
        order_quota_per_invocation: raw.number("familyInfo.loadPart", 0.0)?,
        reports_copy_status: raw.flag("familyInfo.warmNotes", false)?,
        reports_function_load: raw.flag("familyInfo.tellsCrowd", false)?,
        memory_mb: machine_memory_mb,
    })
}

fn prices(raw: &RawSettings) -> Result<Prices> {
    Ok(Prices {
        crossing: raw.number("tariffs.crossZone", 0.0)?,
        fetch: raw.number("tariffs.origin", 0.0)?,
        waste: raw.number("tariffs.waste", 0.0)?,
        probe: raw.number("tariffs.probe", 0.0)?,
        late_error: raw.number("tariffs.lateFail", 0.0)?,
        over_quota: raw.number("overShareWorth", 1.0)?,
    })
}

fn report_source(raw: &RawSettings) -> Result<ReportSource> {
    Ok(match raw.text("stats.how") {
        Some("answers") => ReportSource::Answers,
        Some("probe") => ReportSource::Probes,
        Some("none") | None => ReportSource::Nothing,
        Some(value) => return Err(unknown_value("stats.how", value)),
    })
}

fn longest_client_timeout(triggers: &[TriggerType]) -> Micros {
    triggers
        .iter()
        .map(|trigger| trigger.client_timeout)
        .max()
        .unwrap_or(UNLIMITED_TIME)
}
