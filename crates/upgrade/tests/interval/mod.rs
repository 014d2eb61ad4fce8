//! Means of repeated plays with their intervals, for tests that measure.

/// Student's t for 95 of 100, by degrees of freedom from one on; beyond, the last one is a little too wide.
const T: [f64; 19] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093,
];

/// Mean, and half of the interval within which it lies in 95 of 100. One alone has no interval.
pub fn interval(of: &[f64]) -> (f64, f64) {
    let n = of.len() as f64;
    let mean = of.iter().sum::<f64>() / n;
    let Some(freedom) = of.len().checked_sub(2) else {
        return (mean, f64::NAN);
    };
    let variance = of.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0);
    (mean, T[freedom.min(T.len() - 1)] * (variance / n).sqrt())
}
