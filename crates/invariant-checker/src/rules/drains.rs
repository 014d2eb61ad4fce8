//! Rule 3: a router sends a draining worker nothing new once the grace after its notification is over.

use std::collections::HashMap;

use super::Rule;
use crate::check::Evidence;
use crate::history::{CLOCK_TOLERANCE_US, held_since};
use crate::traffic_log::LogLine;
use crate::verdict::Verdict;

/// What the worker list has notified routers of.
#[derive(Default)]
struct Notifications {
    /// Addresses of the workers, by the names of their logs.
    addresses: HashMap<String, String>,
    /// By router and worker address: since when the worker is published to it as draining or gone.
    draining: HashMap<(String, String), i64>,
}

impl Notifications {
    fn record_sent(&mut self, line: &LogLine) {
        let key = (line.text("to").to_owned(), line.text("worker").to_owned());
        if line.flag("gone") || line.flag("draining") {
            self.draining.entry(key).or_insert(line.at);
        } else {
            self.draining.remove(&key);
        }
    }

    /// Workers that a complete listing leaves out are gone.
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

    /// A new process has been notified of nothing.
    fn forget_router(&mut self, router: &str) {
        self.draining.retain(|(to, _), _| to != router);
    }

    /// Since when the sender of a line is notified that its worker is draining or gone.
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
            "told" => notifications.record_sent(line),
            "router-up" => notifications.forget_router(line.text("address")),
            "listed" => notifications.record_listing(line),
            // When it was sent is not known: a fault held it back.
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
                    verdict.add_break(
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
