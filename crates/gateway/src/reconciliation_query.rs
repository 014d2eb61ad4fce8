//! Queries a worker for its loaded copies, and converts the report into the reconciler's form.

use std::net::SocketAddr;
use std::sync::Arc;

use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use cedarpulley_kserve::{repository_index, worker_requests};
use cedarpulley_reconcile::{FunctionReport, Observation};

use crate::pool::{ExchangeError, Pool};

/// Time limit for a worker's response, in microseconds, after which the worker counts as unresponsive.
const QUERY_TIMEOUT: Micros = 2_000_000;

/// A worker's report on itself.
pub(crate) struct WorkerReport {
    /// Its memory in MB, absent if it states none.
    pub(crate) memory_mb: Option<f64>,
    /// Its copies.
    pub(crate) observation: Observation,
}

/// Queries a worker. Absent if it does not respond, or if its response is not a valid report, which is logged.
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

/// The reconciler's form of a worker's repository index.
fn observation_of(index: repository_index::RepositoryIndex) -> Observation {
    let shared_text = |text: String| Arc::from(text);
    let entry = |model: repository_index::ModelEntry| FunctionReport {
        function: Arc::from(model.function),
        copies: model.copies,
        loading: model.loading,
        busy: model.busy,
        idle: model.idle,
        ordered_by: model.ordered_by.map(shared_text),
        term: model.term.map(shared_text),
        sessions: model
            .sequences
            .map(|ids| ids.into_iter().map(shared_text).collect()),
    };
    Observation {
        incarnation: index.incarnation,
        entries: index.models.into_iter().map(entry).collect(),
        truncated: index.truncated,
    }
}
