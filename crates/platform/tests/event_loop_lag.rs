//! Tests the estimate of how late bytes may have been read.

use cedarpulley_platform::event_loop_lag::EventLoopLag;

/// Microseconds in a millisecond.
const MILLISECOND: i64 = 1_000;

/// Guards against treating bytes that arrived while the process was stopped as newly arrived: the deadline of a request
/// and the drain grace of a worker would then count from the time of the read.
#[test]
fn event_loop_lag_covers_a_pause_of_the_process() {
    let mut lag = EventLoopLag::new(50 * MILLISECOND, 0);
    for n in 1..=10 {
        lag.timer_ran(n * 50 * MILLISECOND);
        assert_eq!(lag.lag(n * 50 * MILLISECOND + 49 * MILLISECOND), 0);
    }
    // The process was stopped for a second. The lag is reported before the next run of the timer, at that run, and
    // until the run after it.
    assert_eq!(lag.lag(1_500 * MILLISECOND), 950 * MILLISECOND);
    lag.timer_ran(1_500 * MILLISECOND);
    assert_eq!(lag.lag(1_510 * MILLISECOND), 910 * MILLISECOND);
    lag.timer_ran(1_550 * MILLISECOND);
    assert_eq!(lag.lag(1_560 * MILLISECOND), 0);
}
