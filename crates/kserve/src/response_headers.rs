//! Parses the headers of a worker's response: the state of the copy that served the request, the worker's load, and the
//! memory that it has used for the account and function.

use cedarpulley::interface::{CopyStatus, LoadReport};
use cedarpulley_usage_metering::MemoryTotals;
use http::HeaderMap;

/// Response header: state of the copy when the invocation arrived: `found` (warm), `began` (this invocation started
/// the load), `waited` (a load was in progress), `load-errored` or `absent`.
pub const COPY: &str = "cedarpulley-copy";
/// Response header: number of invocations of the same function that were in flight at the worker when this invocation
/// arrived.
pub const FUNCTION_LOAD: &str = "cedarpulley-crowd";
/// Response header: number of loaded copies.
pub const COPIES: &str = "cedarpulley-copies";
/// Response header: `no` means that the worker rejected the invocation before any work, so it did not run.
pub const RAN: &str = "cedarpulley-ran";
/// Response header: name of the model that sent the response.
pub const MODEL: &str = "cedarpulley-model";
/// Response header: load report in the text format of the Open Request Cost Aggregation (ORCA) standard.
pub const LOAD_METRICS: &str = "endpoint-load-metrics";

/// Response header: memory used in the worker's present incarnation for this account and function, in
/// byte-microseconds, for example
/// `life=9, running=3, loading=0, idle=7`.
pub const MEMORY_USAGE: &str = "cedarpulley-held";

/// Larger totals, in byte-microseconds, are discarded as implausible: this is about a terabyte over thirty years.
const MAX_MEMORY_USAGE: u128 = 1 << 90;

/// Returns a header's value, or `None` if the header is missing or not text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header's value, or `None` if the header is missing or not an unsigned integer.
pub fn number(headers: &HeaderMap, name: &str) -> Option<u32> {
    text(headers, name)?.trim().parse().ok()
}

/// Parses the state of the copy that served the request from [`COPY`].
pub fn copy_status(headers: &HeaderMap) -> CopyStatus {
    match text(headers, COPY) {
        Some("found") => CopyStatus::Warm,
        Some("began") => CopyStatus::LoadStarted,
        Some("waited") => CopyStatus::LoadAwaited,
        Some("load-errored") => CopyStatus::LoadFailed,
        _ => CopyStatus::Unreported,
    }
}

/// Parses the memory usage from [`MEMORY_USAGE`]. Returns `None` unless the incarnation and all three totals are valid.
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

/// Parses the worker's load from [`LOAD_METRICS`], for example
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
