//! Rule 3: a router sends no new work to a draining worker once the drain grace has passed since the router was
//! notified.

use std::collections::HashMap;

use super::Rule;
use crate::check::Evidence;
use crate::history::{CLOCK_TOLERANCE_US, held_since};
use crate::traffic_log::LogLine;
use crate::verdict::Verdict;

/// Draining workers of which the endpoint list has notified the routers.
#[derive(Default)]
struct Notifications {
    /// Address of each worker, by the name of its log.
    addresses: HashMap<String, String>,
    /// By addresses of router and worker: when the router was first notified that the worker is draining or gone.
    draining: HashMap<(String, String), i64>,
}

impl Notifications {
    /// Records a notification about one worker.
    fn record_notification(&mut self, line: &LogLine) {
        let key = (line.text("to").to_owned(), line.text("worker").to_owned());
        if line.flag("gone") || line.flag("draining") {
            self.draining.entry(key).or_insert(line.at);
        } else {
            self.draining.remove(&key);
        }
    }

    /// Records a complete listing: workers that are absent from it are gone.
    fn record_listing(&mut self, line: &LogLine) {
        let listed = line.texts("workers");
        for worker in self.addresses.values() {
            if !listed.contains(&worker.as_str()) {
                self.draining
                    .entry((line.text("to").to_owned(), worker.clone()))
                    .or_insert(line.at);
            }
        }
    }

    /// Removes the notifications of a router whose process was replaced: the new process has received none.
    fn forget_router(&mut self, router: &str) {
        self.draining.retain(|(to, _), _| to != router);
    }

    /// Returns when the router that sent the message on this line was notified that the receiving worker is draining or
    /// gone.
    fn draining_since(&self, line: &LogLine) -> Option<i64> {
        let worker = self.addresses.get(&line.source)?;
        let key = (line.text("from").to_owned(), worker.clone());
        self.draining.get(&key).copied()
    }
}

pub(crate) fn check(evidence: &Evidence, verdict: &mut Verdict) {
    let settings = evidence.settings;
    let grace = settings.drain_grace_us + CLOCK_TOLERANCE_US + settings.leeway_us;
    let mut notifications = Notifications::default();
    for line in evidence.lines {
        match line.event.as_str() {
            "up" => {
                notifications
                    .addresses
                    .insert(line.source.clone(), line.text("address").to_owned());
            }
            "told" => notifications.record_notification(line),
            "router-up" => notifications.forget_router(line.text("address")),
            "listed" => notifications.record_listing(line),
            // A fault delayed the message, so the time at which it was sent is unknown.
            "received" | "ordered" if held_since(line, evidence.excused).is_some() => {}
            "received" | "ordered" => {
                let Some(sent) = notifications.draining_since(line) else {
                    continue;
                };
                let router = line.text("from");
                let notified = evidence.excused.notified_at(router, sent, grace);
                if line.at.saturating_sub(notified) > grace {
                    let late_ms = (line.at - notified) / 1000;
                    let worker = &line.source;
                    verdict.add_violation(
                        Rule::Drains,
                        format!(
                            "{worker} got something from {router} {late_ms} ms after it was told"
                        ),
                    );
                }
            }
            _ => {}
        }
    }
}
