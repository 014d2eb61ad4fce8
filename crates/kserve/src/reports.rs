//! What an answer tells of the copy it ran on and of the worker's load.

use cedarpulley::interface::{CopyStatus, LoadReport};
use cedarpulley_usage_metering::Held;
use http::HeaderMap;

/// The copy that an invocation found: `found`, `began`, `waited`, `load-errored`, `absent`.
pub const COPY: &str = "cedarpulley-copy";
/// Invocations of the same function that the worker held when this one came.
pub const CROWD: &str = "cedarpulley-crowd";
/// Copies that stand.
pub const COPIES: &str = "cedarpulley-copies";
/// `no`: the worker says, before any work, that it will not run it.
pub const RAN: &str = "cedarpulley-ran";
/// The model that answered.
pub const MODEL: &str = "cedarpulley-model";
/// Load reports in the text form of the Open Request Cost Aggregation standard.
pub const LOAD_METRICS: &str = "endpoint-load-metrics";

/// What a worker's present life has held so far for this account and function, in byte-microseconds:
/// `life=9, running=3, loading=0, idle=7`.
pub const HELD: &str = "cedarpulley-held";

/// A worker that tells more than a terabyte for some thirty years tells nonsense.
const MOST_TOLD: u128 = 1 << 90;

pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

pub fn number(headers: &HeaderMap, name: &str) -> Option<u32> {
    text(headers, name)?.trim().parse().ok()
}

pub fn note(headers: &HeaderMap) -> CopyStatus {
    match text(headers, COPY) {
        Some("found") => CopyStatus::Warm,
        Some("began") => CopyStatus::LoadStarted,
        Some("waited") => CopyStatus::LoadAwaited,
        Some("load-errored") => CopyStatus::LoadFailed,
        _ => CopyStatus::Unreported,
    }
}

/// Absent unless all four are told.
pub fn held(headers: &HeaderMap) -> Option<Held> {
    let (mut life, mut told) = (None, [None; 3]);
    for (name, value) in text(headers, HELD)?
        .split(',')
        .filter_map(|p| p.trim().split_once('='))
    {
        let total = value
            .trim()
            .parse::<u128>()
            .ok()
            .filter(|v| *v <= MOST_TOLD);
        match name.trim() {
            "life" => life = value.trim().parse().ok(),
            "running" => told[0] = total,
            "loading" => told[1] = total,
            "idle" => told[2] = total,
            _ => {}
        }
    }
    let [Some(running), Some(loading), Some(idle)] = told else {
        return None;
    };
    Some(Held {
        life: life?,
        running,
        loading,
        idle,
    })
}

/// `TEXT cpu_utilization=0.3, mem_utilization=0.5, named_metrics.held=4`; what cannot be read is absent.
pub fn load(headers: &HeaderMap) -> LoadReport {
    let mut report = LoadReport::default();
    let Some(list) = text(headers, LOAD_METRICS).and_then(|t| t.strip_prefix("TEXT ")) else {
        return report;
    };
    for (name, value) in list.split(',').filter_map(|p| p.trim().split_once('=')) {
        let value = value
            .trim()
            .parse::<f64>()
            .ok()
            .filter(|v| v.is_finite() && *v >= 0.0);
        match name.trim() {
            "cpu_utilization" => report.utilization = value,
            "mem_utilization" => report.memory_fraction = value,
            "named_metrics.held" => report.in_flight = value,
            "named_metrics.waiting" => report.queued = value,
            "named_metrics.loads" => report.loads_in_progress = value,
            _ => {}
        }
    }
    report
}
