//! Rule 4: all routers together do not send to a worker in slow start more than a given multiple of its capacity.

use std::collections::{HashMap, VecDeque};

use super::Rule;
use crate::check::Evidence;
use crate::settings::RuleSettings;
use crate::traffic_log::LogLine;
use crate::verdict::Verdict;

/// A dispatch that a worker received.
struct Arrival {
    at: i64,
    /// Processor time that it needs, in microseconds.
    work_us: f64,
}

/// One process of a worker, from its start to its next restart.
#[derive(Default)]
struct WorkerProcess {
    cores: f64,
    slow_start_since: Option<i64>,
    arrivals: VecDeque<Arrival>,
    /// A violation by this process was reported; each process is reported at most once.
    reported: bool,
}

impl WorkerProcess {
    /// Records a dispatch. Returns the work within the window as a multiple of the capacity of the worker if it exceeds
    /// the allowed multiple.
    fn record_dispatch(&mut self, line: &LogLine, settings: &RuleSettings) -> Option<f64> {
        let since = self
            .slow_start_since
            .filter(|since| line.at - since < settings.slow_start_us)?;
        self.arrivals.push_back(Arrival {
            at: line.at,
            work_us: line.float("work"),
        });
        while self
            .arrivals
            .front()
            .is_some_and(|arrival| line.at - arrival.at > settings.overload_window_us)
        {
            self.arrivals.pop_front();
        }
        let age = (line.at - since) as f64 / settings.slow_start_us.max(1) as f64;
        let progress = settings.slow_start_share + (1.0 - settings.slow_start_share) * age;
        let capacity = self.cores * progress * settings.overload_window_us as f64;
        let sent: f64 = self.arrivals.iter().map(|arrival| arrival.work_us).sum();
        if self.reported || sent <= settings.overload_multiple * capacity {
            return None;
        }
        self.reported = true;
        Some(sent / capacity)
    }
}

pub(crate) fn check(evidence: &Evidence, verdict: &mut Verdict) {
    let mut processes: HashMap<&str, WorkerProcess> = HashMap::new();
    for line in evidence.lines {
        match line.event.as_str() {
            "up" => {
                let process = WorkerProcess {
                    cores: line.float("cores"),
                    slow_start_since: line.flag("cold").then_some(line.at),
                    ..WorkerProcess::default()
                };
                processes.insert(&line.source, process);
            }
            "received" => {
                let overload = processes
                    .get_mut(line.source.as_str())
                    .and_then(|process| process.record_dispatch(line, evidence.settings));
                if let Some(times) = overload {
                    let worker = &line.source;
                    verdict.add_violation(
                        Rule::Overload,
                        format!("{worker} was sent {times:.1} times what it could do"),
                    );
                }
            }
            _ => {}
        }
    }
}
