//! Means of repeated runs with their confidence intervals, for benchmarks.

/// Two-sided 95 percent quantiles of Student's t distribution, by degrees of freedom from 1 on. For more than 19
/// degrees the last one is used, and the interval is slightly too wide.
const T_QUANTILES: [f64; 19] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093,
];

/// The mean and half the width of its 95 percent confidence interval, which is NaN for a single sample.
pub fn interval(samples: &[f64]) -> (f64, f64) {
    let n = samples.len() as f64;
    let mean = samples.iter().sum::<f64>() / n;
    let Some(index) = samples.len().checked_sub(2) else {
        return (mean, f64::NAN);
    };
    let variance = samples.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0);
    (
        mean,
        T_QUANTILES[index.min(T_QUANTILES.len() - 1)] * (variance / n).sqrt(),
    )
}
