//! The graceful shutdown of a router: rejects new requests, answers accepted ones, and closes connections and files.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use cedarpulley::interface::Micros;
use cedarpulley_router::Input;

use crate::gateway::Gateway;

/// Additional time for open requests after the longest client timeout, in microseconds.
const STOP_MARGIN: Micros = 2_000_000;
/// Interval at which the shutdown checks whether all requests are answered.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Gateway {
    /// Shuts the router down: rejects new requests, answers and acknowledges accepted ones, and closes connections and
    /// files. `longest_client_timeout`: in microseconds. Returns true if every accepted request was answered.
    pub(crate) async fn stop(self: &Rc<Self>, longest_client_timeout: Micros) -> bool {
        tracing::info!("graceful shutdown began");
        self.feed(Input::Stop);
        self.client_listeners
            .iter()
            .for_each(|listener| listener.stop());
        let until = self.context.clock.now() + longest_client_timeout + STOP_MARGIN;
        while !self.is_drained() && self.context.clock.now() < until {
            // Repeated, as a connection to the broker that is established during the shutdown would otherwise
            // consume messages and not be closed normally.
            self.fronts.iter().for_each(|front| front.grant(0));
            Timer::after(STOP_POLL_INTERVAL).await;
        }
        let clean = self.is_drained();
        self.fronts
            .iter()
            .for_each(|front| front.close(self.context.clock.now()));
        Timer::after(STOP_POLL_INTERVAL * 5).await;
        self.log_times();
        self.close_files();
        self.client_listeners
            .iter()
            .for_each(|listener| listener.log_counts());
        self.reconciliation
            .iter()
            .for_each(|reconciliation| reconciliation.log_counts());
        let router = self.router.borrow();
        tracing::info!(
            clean,
            counts = ?router.counts,
            malformed_inputs = self.context.malformed_inputs.get(),
            "stopped"
        );
        clean
    }

    /// Returns whether no request is open in the core, waits for admission, or has an undelivered answer.
    fn is_drained(&self) -> bool {
        self.router.borrow().unfinished() == 0
            && self
                .admission
                .as_ref()
                .is_none_or(|admission| admission.is_empty())
            && self.fronts.iter().all(|front| front.is_drained())
            && self
                .client_listeners
                .iter()
                .all(|listener| listener.handler.is_drained())
    }

    fn log_times(&self) {
        for (event, times) in [
            ("answered", &self.times.answered),
            ("committed", &self.times.committed),
        ] {
            let times = times.borrow();
            tracing::info!(
                event,
                p50_us = times.value_at_quantile(0.5),
                p99_us = times.value_at_quantile(0.99),
                max_us = times.max(),
                "answer times of the AMQP fronts"
            );
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
            tracing::info!(written, "the usage ledger was closed");
        }
    }
}
