//! Detects times at which the machine did not run threads that were ready. A rule that depends on time cannot be judged
//! then.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time for which the watching thread sleeps in each round.
const SLEEP_INTERVAL: Duration = Duration::from_millis(10);
/// If the watching thread wakes up only after this time, other threads may have been delayed too.
const STALL_THRESHOLD: Duration = Duration::from_millis(150);

/// Start and end of a time in which a thread that was ready did not run.
pub type Stall = (Instant, Instant);

/// Records stalls until the stop flag is set.
pub fn watch(stop: &Arc<AtomicBool>) -> JoinHandle<Vec<Stall>> {
    let stop = stop.clone();
    thread::spawn(move || {
        let mut stalls = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let began = Instant::now();
            thread::sleep(SLEEP_INTERVAL);
            if began.elapsed() > STALL_THRESHOLD {
                stalls.push((began, Instant::now()));
            }
        }
        stalls
    })
}
