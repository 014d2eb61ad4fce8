//! What an answer tells of the copy it ran on and of the worker's load.

use cedarpulley::interface::{CopyNote, Report};
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

pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

pub fn number(headers: &HeaderMap, name: &str) -> Option<u32> {
    text(headers, name)?.trim().parse().ok()
}

pub fn note(headers: &HeaderMap) -> CopyNote {
    match text(headers, COPY) {
        Some("found") => CopyNote::Found,
        Some("began") => CopyNote::Began,
        Some("waited") => CopyNote::Waited,
        Some("load-errored") => CopyNote::LoadErrored,
        _ => CopyNote::Untold,
    }
}

/// `TEXT cpu_utilization=0.3, mem_utilization=0.5, named_metrics.held=4`; what cannot be read is absent.
pub fn load(headers: &HeaderMap) -> Report {
    let mut report = Report::default();
    let Some(list) = text(headers, LOAD_METRICS).and_then(|t| t.strip_prefix("TEXT ")) else { return report };
    for (name, value) in list.split(',').filter_map(|p| p.trim().split_once('=')) {
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
        match name.trim() {
            "cpu_utilization" => report.busy = value,
            "mem_utilization" => report.memory_part = value,
            "named_metrics.held" => report.held = value,
            "named_metrics.waiting" => report.waiting = value,
            "named_metrics.loads" => report.loads = value,
            _ => {}
        }
    }
    report
}
