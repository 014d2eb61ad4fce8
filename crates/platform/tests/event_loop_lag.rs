//! How late bytes may have been read.

use cedarpulley_platform::event_loop_lag::EventLoopLag;

const MS: i64 = 1_000;

/// Otherwise what arrived while the process was stopped passes for newly arrived: its deadline and a drain's grace would
/// count from when it was read.
#[test]
fn event_loop_lag_covers_a_pause_of_the_process() {
    let mut lag = EventLoopLag::new(50 * MS, 0);
    for n in 1..=10 {
        lag.beat(n * 50 * MS);
        assert_eq!(lag.lag(n * 50 * MS + 49 * MS), 0);
    }
    // It was stopped for a second: that is known before the next beat, at that beat, and until the one after it.
    assert_eq!(lag.lag(1_500 * MS), 950 * MS);
    lag.beat(1_500 * MS);
    assert_eq!(lag.lag(1_510 * MS), 910 * MS);
    lag.beat(1_550 * MS);
    assert_eq!(lag.lag(1_560 * MS), 0);
}
