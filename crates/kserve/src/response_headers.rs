//! What the headers of a worker's response report: the copy that served the request, the worker's load, and the
//! memory it has used for the account and function.

use cedarpulley::interface::{CopyStatus, LoadReport};
use cedarpulley_usage_metering::MemoryTotals;
use http::HeaderMap;

/// State of the copy when the invocation came: `found` (warm), `began` (this invocation started the load), `waited`
/// (a load was in progress), `load-errored` or `absent`.
pub const COPY: &str = "cedarpulley-copy";
/// Invocations of the same function that were in flight at the worker when this one came.
pub const FUNCTION_LOAD: &str = "cedarpulley-crowd";
/// Number of loaded copies.
pub const COPIES: &str = "cedarpulley-copies";
/// `no`: the worker states, before any work, that it will not run the invocation.
pub const RAN: &str = "cedarpulley-ran";
/// The model that answered.
pub const MODEL: &str = "cedarpulley-model";
/// Load reports in the text form of the Open Request Cost Aggregation (ORCA) standard.
pub const LOAD_METRICS: &str = "endpoint-load-metrics";

/// Memory used in the worker's present incarnation for this account and function, in byte-microseconds:
/// `life=9, running=3, loading=0, idle=7`.
pub const MEMORY_USAGE: &str = "cedarpulley-held";

/// Totals above this are discarded as nonsense: about a terabyte over thirty years, in byte-microseconds.
const MAX_MEMORY_USAGE: u128 = 1 << 90;

/// A header's value, if it is there and is text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A header's value, if it is there and is a whole number.
pub fn number(headers: &HeaderMap, name: &str) -> Option<u32> {
    text(headers, name)?.trim().parse().ok()
}

/// State of the copy that served the request, from [`COPY`].
pub fn copy_status(headers: &HeaderMap) -> CopyStatus {
    match text(headers, COPY) {
        Some("found") => CopyStatus::Warm,
        Some("began") => CopyStatus::LoadStarted,
        Some("waited") => CopyStatus::LoadAwaited,
        Some("load-errored") => CopyStatus::LoadFailed,
        _ => CopyStatus::Unreported,
    }
}

/// Memory usage, from [`MEMORY_USAGE`]; absent unless the incarnation and all three totals are reported.
pub fn memory_usage(headers: &HeaderMap) -> Option<MemoryTotals> {
    let (mut incarnation, mut running, mut loading, mut idle) = (None, None, None, None);
    for (name, value) in text(headers, MEMORY_USAGE)?
        .split(',')
        .filter_map(|part| part.trim().split_once('='))
    {
        let total = value
            .trim()
            .parse::<u128>()
            .ok()
            .filter(|total| *total <= MAX_MEMORY_USAGE);
        match name.trim() {
            "life" => incarnation = value.trim().parse().ok(),
            "running" => running = total,
            "loading" => loading = total,
            "idle" => idle = total,
            _ => {}
        }
    }
    Some(MemoryTotals {
        incarnation: incarnation?,
        running: running?,
        loading: loading?,
        idle: idle?,
    })
}

/// The worker's load, from [`LOAD_METRICS`], for example
/// `TEXT cpu_utilization=0.3, mem_utilization=0.5, named_metrics.held=4`. Malformed values count as not reported.
pub fn load_report(headers: &HeaderMap) -> LoadReport {
    let mut report = LoadReport::default();
    let Some(metrics) = text(headers, LOAD_METRICS).and_then(|text| text.strip_prefix("TEXT "))
    else {
        return report;
    };
    for (name, value) in metrics
        .split(',')
        .filter_map(|part| part.trim().split_once('='))
    {
        let value = value
            .trim()
            .parse::<f64>()
            .ok()
            .filter(|value| value.is_finite() && *value >= 0.0);
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
