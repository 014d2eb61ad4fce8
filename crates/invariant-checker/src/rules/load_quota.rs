//! Rule 5: each router stays within its quota of load orders.

use std::collections::{HashMap, VecDeque};

use super::Rule;
use crate::check::Evidence;
use crate::history::{CLOCK_TOLERANCE_US, held_since};
use crate::settings::RuleSettings;
use crate::verdict::Verdict;

/// Times of the invocations that one router process accepted and of the load orders that it issued.
#[derive(Default)]
struct RouterProcess {
    accepted: VecDeque<i64>,
    ordered: VecDeque<i64>,
}

impl RouterProcess {
    /// Records a load order. Returns the number of allowed orders if this order exceeds it.
    fn record_order(&mut self, at: i64, settings: &RuleSettings) -> Option<f64> {
        self.ordered.push_back(at);
        // Timestamps are inexact, so at the edge of the window orders are dropped slightly earlier and invocations
        // slightly later than exactly at its end.
        let window = settings.load_quota_window_us;
        let tolerance = CLOCK_TOLERANCE_US + settings.leeway_us;
        let older_than = |window: i64| move |t: &i64| at - t > window;
        while self
            .ordered
            .front()
            .is_some_and(older_than(window - tolerance))
        {
            self.ordered.pop_front();
        }
        while self
            .accepted
            .front()
            .is_some_and(older_than(window + tolerance))
        {
            self.accepted.pop_front();
        }
        let allowed = settings.load_quota_base
            + settings.load_quota_per_invocation * self.accepted.len() as f64;
        (self.ordered.len() as f64 > allowed).then_some(allowed)
    }
}

pub(crate) fn check(evidence: &Evidence, verdict: &mut Verdict) {
    if evidence.settings.load_quota_window_us <= 0 {
        return;
    }
    let mut routers: HashMap<&str, RouterProcess> = HashMap::new();
    for line in evidence.lines {
        match line.event.as_str() {
            // A new process does not know which orders the previous process issued and which invocations it accepted.
            "router-up" => {
                routers.remove(line.text("address"));
            }
            "delivered" => {
                let router = line.text("to");
                let seen = evidence.excused.processed_at(router, line.at);
                routers.entry(router).or_default().accepted.push_back(seen);
            }
            "ordered" if held_since(line, evidence.excused).is_some() => {}
            "ordered" => {
                let router = line.text("from");
                let process = routers.entry(router).or_default();
                if let Some(allowed) = process.record_order(line.at, evidence.settings) {
                    let count = process.ordered.len();
                    verdict.add_violation(
                        Rule::LoadQuota,
                        format!("{router} gave {count} orders where {allowed:.1} are allowed"),
                    );
                }
            }
            _ => {}
        }
    }
}
