//! One query of a worker for the copies that it holds, in the form that the reconciler takes.

use std::net::SocketAddr;
use std::sync::Arc;

use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use cedarpulley_kserve::{repository_index, worker_requests};
use cedarpulley_reconcile::{FunctionReport, Observation};

use crate::pool::{ExchangeError, Pool};

/// A worker that does not respond within this time counts as silent. In microseconds.
const QUERY_TIMEOUT: Micros = 2_000_000;

/// A worker's report.
pub(crate) struct WorkerReport {
    /// Its memory in MB, absent if it states none.
    pub(crate) memory_mb: Option<f64>,
    pub(crate) observation: Observation,
}

/// Queries a worker; absent if it is silent, or responds with something else than a report, which is logged.
pub(crate) async fn query_worker(pool: &Pool, worker: &str) -> Option<WorkerReport> {
    let address = worker.parse::<SocketAddr>().ok()?;
    let request = worker_requests::index(&address.to_string());
    let response = pool.order(address, request, QUERY_TIMEOUT).await;
    let parsed = match response {
        Ok(reply) => repository_index::parse(reply.status.as_u16(), &reply.headers, &reply.body),
        Err(ExchangeError::MalformedAnswer | ExchangeError::TooLarge) => {
            Err(repository_index::InvalidIndex::Malformed)
        }
        Err(_) => return None,
    };
    match parsed {
        Ok(index) => Some(WorkerReport {
            memory_mb: (index.memory_mb > 0.0).then_some(index.memory_mb),
            observation: observation_of(index),
        }),
        Err(error) => {
            tracing::warn!(
                worker,
                cause = error.line(),
                "reconcile: a worker's report cannot be read"
            );
            None
        }
    }
}

fn observation_of(index: repository_index::RepositoryIndex) -> Observation {
    let arc = |text: String| Arc::from(text);
    let entry = |m: repository_index::ModelEntry| FunctionReport {
        function: Arc::from(m.function),
        copies: m.copies,
        loading: m.loading,
        busy: m.busy,
        idle: m.idle,
        ordered_by: m.ordered_by.map(arc),
        term: m.term.map(arc),
        sessions: m.sequences.map(|ids| ids.into_iter().map(arc).collect()),
    };
    Observation {
        incarnation: index.incarnation,
        entries: index.models.into_iter().map(entry).collect(),
        truncated: index.truncated,
    }
}
