//! The graceful shutdown of a router: it takes nothing new, answers what was taken, and ends in good order.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use cedarpulley::interface::Micros;
use cedarpulley_router::Input;

use crate::gateway::Gateway;

/// How long open requests have beyond the longest client timeout, in microseconds.
const STOP_MARGIN: Micros = 2_000_000;
/// How often it is checked whether everything is answered.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Gateway {
    /// Takes nothing new, answers what was taken, acknowledges, and ends. `longest`: the longest client timeout in
    /// microseconds. True if everything taken was answered.
    pub(crate) async fn stop(self: &Rc<Self>, longest: Micros) -> bool {
        tracing::info!("stopping: nothing new is taken");
        self.feed(Input::Stop);
        self.client_listeners.iter().for_each(|l| l.stop());
        let until = self.context.clock.now() + longest + STOP_MARGIN;
        while !self.is_drained() && self.context.clock.now() < until {
            // Repeated, as a connection to the broker that came up during the shutdown would otherwise
            // consume and never close in good order.
            self.fronts.iter().for_each(|f| f.grant(0));
            Timer::after(STOP_POLL_INTERVAL).await;
        }
        let clean = self.is_drained();
        self.fronts
            .iter()
            .for_each(|f| f.close(self.context.clock.now()));
        Timer::after(STOP_POLL_INTERVAL * 5).await;
        self.log_times();
        self.close_files();
        self.reconciliation.iter().for_each(|r| r.log_counts());
        let router = self.router.borrow();
        tracing::info!(clean, counts = ?router.counts, misunderstood = self.context.malformed_inputs.get(), "stopped");
        clean
    }

    /// No request is open in the core, waits for admission, or has an answer on its way.
    fn is_drained(&self) -> bool {
        self.router.borrow().unfinished() == 0
            && self.admission.as_ref().is_none_or(|a| a.is_empty())
            && self.fronts.iter().all(|f| f.is_drained())
            && self.client_listeners.iter().all(|l| l.handler.is_drained())
    }

    fn log_times(&self) {
        for (name, times) in [
            ("answered", &self.times.answered),
            ("safe", &self.times.committed),
        ] {
            let t = times.borrow();
            let (p50_us, p99_us) = (t.value_at_quantile(0.5), t.value_at_quantile(0.99));
            tracing::info!(p50_us, p99_us, max_us = t.max(), "time until {name}");
        }
    }

    fn close_files(&self) {
        if let Some(trace_recorder) = &self.trace_recorder {
            let ended = trace_recorder.close();
            tracing::info!(
                ended,
                lost_records = trace_recorder.lost_records(),
                "the trace was closed"
            );
        }
        if let Some(metering) = &self.metering {
            let written = metering.close(self.context.clock.now());
            tracing::info!(written, "the ledger was closed");
        }
    }
}
