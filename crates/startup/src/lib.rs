//! Reads the settings that a router's module is born with, in either of the two forms in which the users give
//! them: pairs of path and value ([`RawSettings::pairs`]) or nested JSON ([`RawSettings::nested`]), under the same names
//! and in the same units. [`StartupSettings::read`] makes of them what the module takes; whoever needs more asks the
//! sheet.

use std::borrow::Cow;
use std::collections::HashMap;

use cedarpulley::Balancer;
use cedarpulley::interface::*;
use cedarpulley_errors::Remedy;
use serde_json::Value;
use thiserror::Error;

/// Settings nested deeper than this are none of ours.
const DEEPEST: usize = 16;
const NANOS_PER_MICRO: i64 = 1_000;

/// Why nobody is born with these settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    #[error("the settings are no object")]
    NoObject,
    #[error("setting '{part}' has no =")]
    NoPair { part: String },
    #[error("setting {path} lies too deep")]
    TooDeep { path: String },
    #[error("setting {path}={value} is not {wanted}")]
    Misread {
        path: String,
        value: String,
        wanted: &'static str,
    },
    #[error("setting {path}={value} is a word that has no meaning here")]
    Unknown { path: String, value: String },
    #[error("setting {path}={value} does not fit the settings that were given")]
    Miscounted { path: String, value: String },
}

impl Remedy for SettingsError {
    fn remedy(&self) -> &'static str {
        match self {
            SettingsError::NoObject => "give the settings as one JSON object",
            SettingsError::NoPair { .. } => "give each setting as PATH=VALUE, set apart by blanks",
            SettingsError::TooDeep { .. } => {
                "take it out: no setting that counts here nests so deep"
            }
            SettingsError::Misread { .. } => {
                "give it what the cause names; times are whole nanoseconds, flags true or false"
            }
            SettingsError::Unknown { .. } => {
                "give one of the words that this build knows, or run a newer build"
            }
            SettingsError::Miscounted { .. } => "give as many entries as the count says",
        }
    }
}

type Result<T> = std::result::Result<T, SettingsError>;

/// Outside time in whole microseconds; what is left of a span is rounded down.
pub fn micros(nanos: i64) -> Micros {
    nanos.div_euclid(NANOS_PER_MICRO)
}

/// The names of the values in a load report, in the order of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    Held,
    Waiting,
    Busy,
    Loads,
    MemoryPart,
    Other,
}

/// Every value under its path, as in `services.0.aim`; a list of objects has its length under `.count`.
#[derive(Debug, Default)]
pub struct RawSettings<'a> {
    /// None: given as absent, which pairs write as `-` and JSON as null.
    values: HashMap<Cow<'a, str>, Option<Cow<'a, str>>>,
    /// Plain lists of the nested form. Their values may hold commas: joined like those of pairs, they could not be told
    /// apart again.
    lists: HashMap<String, Vec<String>>,
}

impl<'a> RawSettings<'a> {
    /// `path=value`, set apart by blanks.
    pub fn pairs(text: &'a str) -> Result<Self> {
        let mut values = HashMap::new();
        for part in text.split(' ').filter(|p| !p.is_empty()) {
            let (path, value) = part.split_once('=').ok_or_else(|| SettingsError::NoPair {
                part: part.to_owned(),
            })?;
            let value = Some(Cow::Borrowed(value)).filter(|value| value != "-");
            values.insert(Cow::Borrowed(path), value);
        }
        Ok(Self {
            values,
            lists: HashMap::new(),
        })
    }

    /// The same as nested JSON.
    pub fn nested(settings: &Value) -> Result<Self> {
        if !settings.is_object() {
            return Err(SettingsError::NoObject);
        }
        let mut sheet = Self::default();
        sheet.flatten(String::new(), settings, 0)?;
        Ok(sheet)
    }

    fn flatten(&mut self, path: String, value: &Value, depth: usize) -> Result<()> {
        if depth >= DEEPEST {
            return Err(SettingsError::TooDeep { path });
        }
        let below = |name: &str| {
            if path.is_empty() {
                name.to_owned()
            } else {
                format!("{path}.{name}")
            }
        };
        match value {
            Value::Object(fields) => {
                for (name, value) in fields {
                    self.flatten(below(name), value, depth + 1)?;
                }
            }
            Value::Array(items) if items.iter().any(|i| i.is_object() || i.is_array()) => {
                self.values
                    .insert(below("count").into(), Some(items.len().to_string().into()));
                for (n, item) in items.iter().enumerate() {
                    self.flatten(below(&n.to_string()), item, depth + 1)?;
                }
            }
            Value::Array(items) => {
                let items: Vec<String> = items.iter().map(plain).collect();
                // Where one value belongs a list is found, and refused.
                self.values
                    .insert(path.clone().into(), Some(items.join(",").into()));
                self.lists.insert(path, items);
            }
            value => {
                let value = Some(value).filter(|value| !value.is_null());
                self.values
                    .insert(path.into(), value.map(|value| plain(value).into()));
            }
        }
        Ok(())
    }

    /// The value, or none if it is absent.
    pub fn text(&self, path: &str) -> Option<&str> {
        self.values.get(path)?.as_deref()
    }

    /// The values of a plain list.
    pub fn list(&self, path: &str) -> impl Iterator<Item = &str> {
        let nested = self.lists.get(path);
        let joined = self.text(path).filter(|_| nested.is_none());
        let joined = joined
            .into_iter()
            .flat_map(|v| v.split(','))
            .filter(|v| !v.is_empty());
        nested
            .into_iter()
            .flatten()
            .map(String::as_str)
            .chain(joined)
    }

    /// A number, or `absent` where there is none.
    pub fn number(&self, path: &str, absent: f64) -> Result<f64> {
        match self.text(path) {
            None => Ok(absent),
            Some(v) => match v.parse::<f64>() {
                Ok(x) if x.is_finite() => Ok(x),
                _ => Err(misread(path, v, "a number")),
            },
        }
    }

    /// A time in microseconds (in the settings: whole nanoseconds), or `absent` where there is none.
    pub fn time(&self, path: &str, absent: Micros) -> Result<Micros> {
        match self.text(path) {
            None => Ok(absent),
            Some(v) => v
                .parse::<i64>()
                .map(micros)
                .map_err(|_| misread(path, v, "a time")),
        }
    }

    /// A flag, or `absent` where there is none.
    pub fn flag(&self, path: &str, absent: bool) -> Result<bool> {
        match self.text(path) {
            None => Ok(absent),
            Some("true" | "1") => Ok(true),
            Some("false" | "0") => Ok(false),
            Some(v) => Err(misread(path, v, "a bool")),
        }
    }

    /// The length of a list of objects; a length beyond the pairs given is a fault.
    pub fn count(&self, list: &str) -> Result<usize> {
        let n = self.number(&format!("{list}.count"), 0.0)?;
        if n < 0.0 || n.fract() != 0.0 || n > self.values.len() as f64 {
            return Err(SettingsError::Miscounted {
                path: format!("{list}.count"),
                value: n.to_string(),
            });
        }
        Ok(n as usize)
    }
}

/// An unlimited time, for rules that a site leaves out.
const NEVER: Micros = i64::MAX / 8;

fn misread(path: &str, value: &str, wanted: &'static str) -> SettingsError {
    SettingsError::Misread {
        path: path.to_owned(),
        value: value.to_owned(),
        wanted,
    }
}

fn unknown<T>(path: &str, value: &str) -> Result<T> {
    Err(SettingsError::Unknown {
        path: path.to_owned(),
        value: value.to_owned(),
    })
}

fn plain(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// The longest that any client waits.
fn longest_wait(triggers: &[TriggerType]) -> Micros {
    triggers
        .iter()
        .map(|trigger| trigger.client_timeout)
        .max()
        .unwrap_or(NEVER)
}

/// Names on the sockets; their places in the lists are the module's indices.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Of trigger types.
    pub triggers: Vec<String>,
    /// Of accounts; may be empty.
    pub accounts: Vec<String>,
    /// Of zones.
    pub zones: Vec<String>,
    /// Of kinds of machines.
    pub kinds: Vec<String>,
}

impl Names {
    /// The index of a trigger type.
    pub fn trigger(&self, name: &str) -> Option<u32> {
        self.triggers
            .iter()
            .position(|n| n == name)
            .map(|i| i as u32)
    }

    /// Without accounts all belong to one.
    pub fn account(&self, name: Option<&str>) -> Option<u32> {
        match name {
            None => Some(0),
            Some(_) if self.accounts.is_empty() => Some(0),
            Some(name) => self
                .accounts
                .iter()
                .position(|n| n == name)
                .map(|i| i as u32),
        }
    }
}

/// What the module is born with.
#[derive(Clone, Debug)]
pub struct StartupSettings {
    /// This router's place among all.
    pub fleet: FleetPosition,
    /// What attempts are allowed.
    pub limits: DispatchLimits,
    /// The figures of the rules.
    pub rules: RuleLimits,
    /// By index.
    pub triggers: Vec<TriggerType>,
    /// By index.
    pub accounts: Vec<Account>,
    /// Of copies and orders to load.
    pub loads: LoadSettings,
    /// What things cost.
    pub prices: Prices,
    /// Where load reports come.
    pub reports: ReportSource,
}

impl StartupSettings {
    /// A policy module with these settings.
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
    }

    /// Reads the settings; names the first one that is wrong.
    pub fn read(p: &RawSettings) -> Result<Self> {
        let fleet = FleetPosition {
            routers: p.number("fleetSize", 1.0)?.max(1.0) as u32,
            position: p.number("position", 0.0)?.max(0.0) as u32,
            zone: p.number("zone", 0.0)?.max(0.0) as u32,
            granularity: p.time("granularity", 1_000)?,
        };
        let limits = DispatchLimits {
            max_dispatches: p.number("permissions.sendCap", 1.0)?.max(1.0) as u32,
            hedged_requests: p.flag("permissions.mayDuplicate", false)?,
            cancellation: p.flag("permissions.cancel", false)?,
            probes: p.flag("permissions.probes", false)?,
            connect_timeout: p.time("permissions.connectTimeout", 0)?,
            max_retry_after: match p.flag("permissions.retryAfter", false)? {
                true => p.time("permissions.maxRetryAfter", 0)?,
                false => 0,
            },
        };
        let rules = RuleLimits {
            answer_slack: p.time("rules.answerSlack", 0)?,
            drain_grace: p.time("rules.stopSendingWithin", 0)?,
            list_request_timeout: p.time("rules.askWithin", NEVER)?,
            list_on_request: match p.text("discovery") {
                Some("on_request") => true,
                Some("pushed") | None => false,
                Some(v) => return unknown("discovery", v),
            },
            slow_start_fraction: p.number("rules.coldShare", 1.0)?,
            slow_start_duration: p.time("rules.cold", 0)?,
            overload_multiple: p.number("rules.overloadFactor", f64::MAX)?,
            overload_window: p.time("rules.fall", 0)?,
        };
        let mut triggers = Vec::new();
        for i in 0..p.count("services")? {
            let key = |k: &str| format!("services.{i}.{k}");
            let group = match p.text(&key("keyScope")) {
                Some("all") | None => DeduplicationScope::All,
                Some("zone") => DeduplicationScope::Zone,
                Some("cell") => DeduplicationScope::Cell,
                Some(v) => return unknown(&key("keyScope"), v),
            };
            let client_timeout = p.time(&key("hardLimit"), NEVER)?;
            triggers.push(TriggerType {
                effect: match p.text(&key("effect")) {
                    Some("retryable") => Effect::Idempotent,
                    Some("dedup") => Effect::IdempotentByKey {
                        scope: group,
                        window: p.time(&key("window"), 0)?,
                    },
                    Some("fragile") | None => Effect::NonIdempotent,
                    Some(v) => return unknown(&key("effect"), v),
                },
                // Without an aim an answer is in time until the client gives up. It must not be endless: the module
                // takes the work for a part of it until it has seen some, and gives up what cannot be in time.
                latency_objective: p.time(&key("aim"), client_timeout)?,
                objective_work_multiple: p.number(&key("aimStretch"), 0.0)?,
                client_timeout,
                billed_value: p.number(&key("value"), 1.0)?,
                late_value_fraction: p.number(&key("lateValue"), 0.0)?,
                streamed: p.flag(&key("streamed"), false)?,
            });
        }
        let mut accounts = Vec::new();
        for i in 0..p.count("orgs")? {
            accounts.push(Account {
                quota_per_s: p.number(&format!("orgs.{i}.allowancePerS"), f64::MAX)?,
                share: p.number(&format!("orgs.{i}.share"), 1.0)?,
            });
        }
        let mut memory_mb = Vec::new();
        for v in p.list("familyInfo.machineMb") {
            memory_mb.push(
                v.parse()
                    .map_err(|_| misread("familyInfo.machineMb", v, "a list of numbers"))?,
            );
        }
        let loads = LoadSettings {
            idle_retention: p.time("familyInfo.staysLoaded", 0)?,
            load_orders: p.flag("familyInfo.mayLoad", false)?,
            loads_when_absent: match p.text("familyInfo.whenAbsent") {
                Some("load") | None => true,
                Some("miss") => false,
                Some(v) => return unknown("familyInfo.whenAbsent", v),
            },
            // Without a time of its own, an order is waited for as long as any client waits. At 0 it would be over as
            // soon as it is given, and the worker blamed for it.
            order_timeout: p.time("familyInfo.answerWithin", longest_wait(&triggers))?,
            order_quota_window: p.time("familyInfo.loadWindow", 0)?,
            order_quota_base: p.number("familyInfo.freeLoads", 0.0)?,
            order_quota_per_invocation: p.number("familyInfo.loadPart", 0.0)?,
            reports_copy_status: p.flag("familyInfo.warmNotes", false)?,
            reports_function_load: p.flag("familyInfo.tellsCrowd", false)?,
            memory_mb,
        };
        let prices = Prices {
            crossing: p.number("tariffs.crossZone", 0.0)?,
            fetch: p.number("tariffs.origin", 0.0)?,
            waste: p.number("tariffs.waste", 0.0)?,
            probe: p.number("tariffs.probe", 0.0)?,
            late_error: p.number("tariffs.lateFail", 0.0)?,
            over_quota: p.number("overShareWorth", 1.0)?,
        };
        let reports = match p.text("stats.how") {
            Some("answers") => ReportSource::Answers,
            Some("probe") => ReportSource::Probes,
            Some("none") | None => ReportSource::Nothing,
            Some(v) => return unknown("stats.how", v),
        };
        Ok(StartupSettings {
            fleet,
            limits,
            rules,
            triggers,
            accounts,
            loads,
            prices,
            reports,
        })
    }
}

impl ReportField {
    /// Those that the settings name, in their order.
    pub fn named(p: &RawSettings) -> Vec<Self> {
        p.list("stats.fields").map(Self::of).collect()
    }

    fn of(name: &str) -> Self {
        match name {
            "rif" => ReportField::Held,
            "q" => ReportField::Waiting,
            "busy" => ReportField::Busy,
            "x1" => ReportField::Loads,
            "x0" => ReportField::MemoryPart,
            _ => ReportField::Other,
        }
    }

    /// Puts a value into the report, if it is one of those named.
    pub fn tell(report: &mut LoadReport, fields: &[Self], name: &str, value: f64) {
        let of = Self::of(name);
        let place = match of {
            ReportField::Held => &mut report.in_flight,
            ReportField::Waiting => &mut report.queued,
            ReportField::Busy => &mut report.utilization,
            ReportField::Loads => &mut report.loads_in_progress,
            ReportField::MemoryPart => &mut report.memory_fraction,
            ReportField::Other => return,
        };
        if fields.contains(&of) {
            *place = Some(value);
        }
    }
}
