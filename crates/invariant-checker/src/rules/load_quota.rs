//! Rule 5: each router gives load orders within its quota.

use std::collections::{HashMap, VecDeque};

use super::Rule;
use crate::check::Evidence;
use crate::history::{CLOCK_TOLERANCE_US, held_since};
use crate::settings::RuleSettings;
use crate::verdict::Verdict;

/// What one router process took and ordered, by time.
#[derive(Default)]
struct RouterProcess {
    taken: VecDeque<i64>,
    ordered: VecDeque<i64>,
}

impl RouterProcess {
    /// Records an order; how many orders are allowed, where it is one too many.
    fn order(&mut self, at: i64, settings: &RuleSettings) -> Option<f64> {
        self.ordered.push_back(at);
        // At the edge of the window an order counts a little less long, an invocation a little longer.
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
            .taken
            .front()
            .is_some_and(older_than(window + tolerance))
        {
            self.taken.pop_front();
        }
        let allowed =
            settings.load_quota_base + settings.load_quota_per_invocation * self.taken.len() as f64;
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
            // A new process knows nothing of what the one before ordered or took.
            "router-up" => {
                routers.remove(line.text("address"));
            }
            "delivered" => {
                let router = line.text("to");
                let seen = evidence.excused.seen_at(router, line.at);
                routers.entry(router).or_default().taken.push_back(seen);
            }
            "ordered" if held_since(line, evidence.excused).is_some() => {}
            "ordered" => {
                let router = line.text("from");
                let process = routers.entry(router).or_default();
                if let Some(allowed) = process.order(line.at, evidence.settings) {
                    let count = process.ordered.len();
                    verdict.add_break(
                        Rule::LoadQuota,
                        format!("{router} gave {count} orders where {allowed:.1} are allowed"),
                    );
                }
            }
            _ => {}
        }
    }
}
