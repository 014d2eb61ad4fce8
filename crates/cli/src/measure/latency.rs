//! Histograms of latencies.

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// An empty histogram for latencies in microseconds, up to one minute, with three significant digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("these bounds are always valid")
}

/// Count, quantiles and maximum as printed, in microseconds.
pub fn quantiles(latencies: &Histogram<u64>) -> Value {
    let at = |quantile| latencies.value_at_quantile(quantile);
    json!({
        "count": latencies.len(),
        "p50_us": at(0.5),
        "p90_us": at(0.9),
        "p99_us": at(0.99),
        "max_us": latencies.max(),
    })
}

/// The difference between this quantile and that of the baseline, in microseconds.
pub fn added_us(latencies: &Histogram<u64>, baseline: &Histogram<u64>, quantile: f64) -> i64 {
    latencies.value_at_quantile(quantile) as i64 - baseline.value_at_quantile(quantile) as i64
}

/// A total divided by the number of latencies; 0 if there are none.
pub fn per_invocation(total: u64, latencies: &Histogram<u64>) -> f64 {
    if latencies.is_empty() {
        0.0
    } else {
        total as f64 / latencies.len() as f64
    }
}
