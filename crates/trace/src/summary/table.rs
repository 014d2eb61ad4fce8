//! Formats a summary as text.

use std::fmt::{self, Write};

use super::{OutcomeCounts, Summary};

impl Summary {
    /// The text that `trace summary` prints: a line of totals, then tables of outcomes and workers.
    pub fn table(&self) -> String {
        let mut text = String::new();
        // Writing into a string cannot fail.
        let _ = self.write_totals(&mut text);
        let _ = self.write_outcomes(&mut text);
        let _ = self.write_workers(&mut text);
        let _ = self.write_findings(&mut text);
        text
    }

    fn write_totals(&self, out: &mut String) -> fmt::Result {
        writeln!(
            out,
            "{} files of {} router lives, {} invocations, {} decisions, {} dispatches, {} orders, {} held, {} withdrawn",
            self.files,
            self.routers,
            self.invocations,
            self.decisions,
            self.dispatches,
            self.orders,
            self.queued,
            self.cancelled
        )
    }

    fn write_outcomes(&self, out: &mut String) -> fmt::Result {
        writeln!(
            out,
            "{:<24} {:>10} {:>10} {:>10} {:>11}",
            "", "succeeded", "throttled", "errored", "turned away"
        )?;
        write_outcome_row(out, "all", &self.outcomes)?;
        for (name, counts) in self.by_trigger.iter().chain(&self.by_account) {
            write_outcome_row(out, name, counts)?;
        }
        let latencies = &self.succeeded_in;
        writeln!(
            out,
            "succeeded in: p50 {:.1} ms, p90 {:.1} ms, p99 {:.1} ms, at most {:.1} ms",
            latencies.p50_us as f64 / 1e3,
            latencies.p90_us as f64 / 1e3,
            latencies.p99_us as f64 / 1e3,
            latencies.max_us as f64 / 1e3
        )?;
        let reasons: Vec<String> = self
            .by_reason
            .iter()
            .map(|(reason, count)| format!("{reason} {count}"))
            .collect();
        writeln!(out, "by reason: {}", reasons.join(", "))
    }

    fn write_workers(&self, out: &mut String) -> fmt::Result {
        writeln!(
            out,
            "{:<24} {:>10} {:>10} {:>10} {:>11}",
            "worker", "dispatches", "succeeded", "failed", "orders"
        )?;
        for (name, worker) in &self.by_worker {
            writeln!(
                out,
                "{name:<24} {:>10} {:>10} {:>10} {:>11}",
                worker.dispatches, worker.succeeded, worker.failed, worker.orders
            )?;
        }
        Ok(())
    }

    fn write_findings(&self, out: &mut String) -> fmt::Result {
        if let Some((at, failures)) = self.worst {
            writeln!(
                out,
                "worst ten seconds: from {at} s on (wall), {failures} of {} without success",
                self.outcomes.without_success()
            )?;
        }
        for (one, other) in &self.same_position {
            writeln!(
                out,
                "{one} and {other} stood at the same place at the same time"
            )?;
        }
        if self.lost_records + self.damaged_blocks > 0 {
            writeln!(
                out,
                "incomplete: {} records lost to gaps, {} blocks damaged",
                self.lost_records, self.damaged_blocks
            )?;
        }
        Ok(())
    }
}

fn write_outcome_row(out: &mut String, name: &str, counts: &OutcomeCounts) -> fmt::Result {
    writeln!(
        out,
        "{name:<24} {:>10} {:>10} {:>10} {:>11}",
        counts.succeeded, counts.throttled, counts.errored, counts.rejected
    )
}
