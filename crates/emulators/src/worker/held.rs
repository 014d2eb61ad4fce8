//! What invocations and orders held of a worker: running, loading and idle times of copies, told in the log and in
//! the answers.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use hyper::Response;
use hyper::header::HeaderValue;
use serde_json::json;

use super::{Inner, Life};
use crate::http::Body;
use crate::{Log, lock};

/// Who used a copy: its time at work is parted among those it works for at once.
pub(super) struct Use {
    /// Time at work, each moment divided by how many it worked for.
    pub(super) parted: f64,
    pub(super) at_work: usize,
    pub(super) since: Instant,
}

impl Use {
    fn pass(&mut self) -> f64 {
        let now = Instant::now();
        let gone = (now - self.since).as_secs_f64();
        self.since = now;
        if self.at_work > 0 {
            self.parted += gone / self.at_work as f64;
        }
        gone
    }

    /// Where this one's part begins, and for how long nobody was there before it.
    pub(super) fn join(&mut self) -> (f64, f64) {
        let idle = self.at_work == 0;
        let gone = self.pass();
        self.at_work += 1;
        (self.parted, if idle { gone } else { 0.0 })
    }

    pub(super) fn leave(&mut self, began: f64) -> f64 {
        self.pass();
        self.at_work = self.at_work.saturating_sub(1);
        self.parted - began
    }
}

/// What one invocation, or one order, held; said in the log however it ends.
pub(super) struct Holds {
    pub(super) it: Arc<Inner>,
    pub(super) log: Log,
    pub(super) id: String,
    pub(super) account: String,
    pub(super) function: String,
    pub(super) bytes: u64,
    pub(super) running: u64,
    pub(super) loading: u64,
    pub(super) idle: u64,
    pub(super) reported: bool,
}

impl Holds {
    /// Into the totals of this process's life for its account and function.
    pub(super) fn add(&mut self, life: &mut Life, running: f64, loading: f64, idle: f64) {
        let totals = life
            .totals
            .entry((self.account.clone(), self.function.clone()))
            .or_default();
        let parts = [
            (running, &mut self.running),
            (loading, &mut self.loading),
            (idle, &mut self.idle),
        ];
        for ((seconds, own), total) in parts.into_iter().zip(totals) {
            let time = (seconds * 1e6) as u64;
            *own += time;
            *total += u128::from(self.bytes) * u128::from(time);
        }
    }
}

impl Drop for Holds {
    fn drop(&mut self) {
        self.log.write(
            "held",
            json!({
                "id": self.id, "account": self.account, "function": self.function, "bytes": self.bytes,
                "running": self.running, "loading": self.loading, "idle": self.idle,
                "reported": self.reported,
            }),
        );
    }
}

pub(super) const HELD: &str = "cedarpulley-held";

/// Works for one invocation until it is dropped.
pub(super) struct AtWork {
    pub(super) it: Arc<Inner>,
    pub(super) function: String,
    pub(super) began: f64,
    pub(super) holds: Arc<Mutex<Holds>>,
}

impl Drop for AtWork {
    fn drop(&mut self) {
        if let Some(life) = lock(&self.it.life).as_mut()
            && let Some(copy) = life.copies.get_mut(&self.function)
        {
            let running = copy.use_of.leave(self.began);
            lock(&self.holds).add(life, running, 0.0, 0.0);
        }
    }
}

/// Tells what was held so far for its account and function. Locks one after the other: who ends its work holds the
/// process's while it takes this one's.
pub(super) fn report(response: &mut Response<Body>, holds: &Mutex<Holds>) {
    let (it, key) = {
        let holds = lock(holds);
        (
            holds.it.clone(),
            (holds.account.clone(), holds.function.clone()),
        )
    };
    let told = lock(&it.life).as_ref().map(|life| {
        let [running, loading, idle] = life.totals.get(&key).copied().unwrap_or_default();
        format!(
            "life={}, running={running}, loading={loading}, idle={idle}",
            life.number
        )
    });
    if let Some(held) = told.and_then(|h| HeaderValue::from_str(&h).ok()) {
        response.headers_mut().insert(HELD, held);
        lock(holds).reported = true;
    }
}
