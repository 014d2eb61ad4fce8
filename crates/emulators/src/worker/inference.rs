//! An invocation on the worker, from its request to its response.
//!
//! Steps: read the body, check overload and draining, reserve the idempotency key, look up or load the function,
//! acquire a lane, execute, respond. [`OutcomeLog`] logs the outcome, whichever step ends the invocation.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::Timer;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use smol::lock::SemaphoreGuardArc;

use super::answers::answer_response;
use super::execution::draw_work;
use super::idempotency::{KeyReservation, KeyStatus};
use super::in_flight::{Counter, Occupancy, OutcomeLog};
use super::incarnation::{CopyState, Lookup};
use super::injected_faults::Malfunction;
use super::orders::Placement;
use super::prefix_cache::{self, PrefixMatch, Sequence};
use super::routes::{header, reject};
use super::usage::{ActiveUse, Usage, report};
use super::{InvocationProfile, TIME_STEP, WorkerShared};
use crate::http::{Body, response_with};
use crate::lock;

/// Header of the binary data extension of KServe: length in bytes of the leading JSON.
pub(super) const JSON_LENGTH_HEADER: &str = "inference-header-content-length";
const MAX_BODY_BYTES: usize = 128 << 20;
/// How long a repeated invocation waits for the answer of the first execution.
const REPEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// An inference request, as described by its path and headers.
pub(super) struct InferenceRequest {
    pub(super) id: String,
    dispatch: String,
    trigger_type: String,
    idempotency_key: String,
    account: String,
    pub(super) function: String,
    /// Length in bytes of the leading JSON if raw tensors follow it.
    pub(super) json_length: Option<usize>,
    peer: IpAddr,
}

impl InferenceRequest {
    fn new(request: &Request<Incoming>, peer: IpAddr, function: String) -> Self {
        InferenceRequest {
            id: header(request, "cedarpulley-invocation"),
            dispatch: header(request, "cedarpulley-dispatch"),
            trigger_type: header(request, "cedarpulley-trigger-type"),
            idempotency_key: header(request, "idempotency-key"),
            account: header(request, "cedarpulley-account"),
            function,
            json_length: header(request, JSON_LENGTH_HEADER).parse::<usize>().ok(),
            peer,
        }
    }

    fn log_received(&self, worker: &WorkerShared, work: Duration) {
        worker.log.write(
            "received",
            json!({
                "id": self.id, "dispatch": self.dispatch, "from": self.peer.to_string(),
                "type": self.trigger_type, "function": self.function, "work": work.as_micros() as u64,
                "held_since": worker.partition.held_since(self.peer),
            }),
        );
    }
}

/// A request whose body has been read and whose trigger type is known.
pub(super) struct Inference {
    pub(super) worker: Arc<WorkerShared>,
    pub(super) request: InferenceRequest,
    program: InvocationProfile,
    work: Duration,
    pub(super) body: Bytes,
    sequence: Option<Sequence>,
}

/// A lane of a ready function, with the guards that the invocation holds as long as it has the lane.
struct AcquiredLane {
    lane: SemaphoreGuardArc,
    copy: CopyState,
    /// Number of users that the function already had.
    concurrency: usize,
    usage: Arc<Mutex<Usage>>,
    user: Occupancy,
}

/// Responds to an inference request.
pub(super) async fn infer(
    worker: Arc<WorkerShared>,
    from: SocketAddr,
    function: String,
    http_request: Request<Incoming>,
) -> Response<Body> {
    let request = InferenceRequest::new(&http_request, from.ip(), function);
    let program = worker.programs.get(&request.trigger_type).cloned();
    let work = program.as_ref().map_or(Duration::ZERO, |program| {
        draw_work(worker.seed, &request.id, program.mean_work)
    });
    request.log_received(&worker, work);
    let mut outcome = OutcomeLog {
        log: worker.log.clone(),
        partition: worker.partition.clone(),
        peer: request.peer,
        id: request.id.clone(),
        dispatch: request.dispatch.clone(),
        outcome: "closed",
    };
    let (parts, body) = http_request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let (Some(program), Ok(body)) = (program, body) else {
        outcome.outcome = "refused";
        return reject(StatusCode::BAD_REQUEST);
    };
    let body = body.to_bytes();
    let json = request
        .json_length
        .and_then(|length| body.get(..length))
        .unwrap_or(&body);
    let sequence = prefix_cache::sequence_of(&parts.headers, json);
    let overloaded = worker
        .with_incarnation(|incarnation| incarnation.overloaded_by(work, &worker.profile))
        .unwrap_or(false);
    if overloaded {
        crash_by_overload(&worker).await;
    }
    let inference = Inference {
        worker,
        request,
        program,
        work,
        body,
        sequence,
    };
    inference.run(&mut outcome).await
}

/// Ends the process because of an overload. This never returns: the task of the caller is dropped with the process.
async fn crash_by_overload(worker: &Arc<WorkerShared>) {
    worker.log.write("fell", json!({}));
    let crashing = worker.clone();
    let crash = async move {
        let server = lock(&crashing.server).take();
        drop(server);
    };
    worker.host.executor.spawn(crash).detach();
    std::future::pending::<()>().await;
}

impl Inference {
    async fn run(&self, outcome: &mut OutcomeLog) -> Response<Body> {
        let (worker, request) = (&self.worker, &self.request);
        if self.is_rejected() {
            outcome.outcome = "refused";
            return reject(StatusCode::SERVICE_UNAVAILABLE);
        }
        let key_window = self
            .program
            .idempotency_window
            .filter(|_| !request.idempotency_key.is_empty());
        let mut reservation = None;
        if let Some(window) = key_window {
            reservation = worker.idempotency.reserve(&request.idempotency_key, window);
            if reservation.is_none() {
                outcome.outcome = "repeat";
                return self.answer_repeat(window).await;
            }
        }
        let AcquiredLane {
            lane,
            copy,
            concurrency,
            usage,
            user: _user,
        } = match self.acquire_lane(outcome).await {
            Ok(acquired) => acquired,
            Err(rejection) => return rejection,
        };
        outcome.outcome = "ran";
        let (prefix, malfunction) = self.execute(lane, &usage, reservation.as_mut()).await;
        let answer = self.echo();
        // The answer of a failed execution is not stored for repeats.
        if key_window.is_some() && !malfunction.fails {
            worker
                .idempotency
                .store_answer(&request.idempotency_key, &answer);
        }
        if self.is_unanswered() {
            outcome.outcome = "silent";
            std::future::pending::<()>().await;
        }
        outcome.outcome = "answered";
        let mut response = if malfunction.fails {
            response_with(
                StatusCode::INTERNAL_SERVER_ERROR,
                r#"{"error":"this version errs"}"#,
            )
        } else {
            answer_response(answer)
        };
        self.add_headers(&mut response, copy, concurrency, prefix);
        report(&mut response, &usage);
        response
    }

    /// Whether a fault suppresses the answer: the worker hangs or does not answer this trigger type.
    fn is_unanswered(&self) -> bool {
        let faults = self.worker.faults();
        faults.hanging || faults.unanswered_type.as_deref() == Some(&self.request.trigger_type)
    }

    /// Whether the worker rejects the invocation because it is draining, down, or has too many waiting invocations.
    fn is_rejected(&self) -> bool {
        let worker = &self.worker;
        let is_full = worker
            .with_incarnation(|incarnation| incarnation.waiting() >= worker.profile.max_waiting)
            .unwrap_or(true);
        worker.faults().draining || is_full
    }

    fn begin_usage(&self) -> Arc<Mutex<Usage>> {
        let request = &self.request;
        Usage::begin(
            &self.worker,
            &request.id,
            &request.account,
            &request.function,
            &self.program,
        )
    }

    /// Responds to an invocation whose idempotency key is already known.
    async fn answer_repeat(&self, window: Duration) -> Response<Body> {
        let (worker, request) = (&self.worker, &self.request);
        worker.log.write(
            "repeat",
            json!({"id": request.id, "token": request.idempotency_key}),
        );
        let mut response = None;
        let deadline = Instant::now() + REPEAT_TIMEOUT;
        while Instant::now() < deadline {
            match worker.idempotency.status(&request.idempotency_key, window) {
                KeyStatus::Answered(answer) => {
                    response = Some(answer_response(answer));
                    break;
                }
                KeyStatus::Executing => Timer::after(TIME_STEP).await,
                KeyStatus::Unknown => break,
            };
        }
        let mut response = response.unwrap_or_else(|| {
            response_with(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the first one has not ended",
            )
        });
        // A repeat has no usage of its own.
        report(&mut response, &self.begin_usage());
        response
    }

    /// Finds or loads the function and waits for one of its lanes; the error is the response that rejects the
    /// invocation.
    async fn acquire_lane(&self, outcome: &mut OutcomeLog) -> Result<AcquiredLane, Response<Body>> {
        let (worker, function) = (&self.worker, &self.request.function);
        let Some(concurrency) =
            worker.with_incarnation(|incarnation| incarnation.enqueue(function))
        else {
            return Err(reject(StatusCode::SERVICE_UNAVAILABLE));
        };
        let waiting = Occupancy::new(worker, Counter::Waiting);
        let Placement { lookup, load_into } =
            worker.place(function, &self.program, worker.profile.loads_when_absent);
        let usage = self.begin_usage();
        if let Some(into) = load_into {
            worker.spawn_load(into, function, &self.program, &usage);
            worker.with_incarnation(|incarnation| incarnation.add_user(function));
        }
        let user = Occupancy::new(worker, Counter::UserOf(function.clone()));
        let (lanes, copy) = match lookup {
            Lookup::Found { lanes, state } => (lanes, state),
            Lookup::NoCapacity => {
                outcome.outcome = "refused";
                return Err(reject(StatusCode::SERVICE_UNAVAILABLE));
            }
            Lookup::Absent => {
                outcome.outcome = "refused";
                return Err(reject(StatusCode::NOT_FOUND));
            }
        };
        let lane = lanes.acquire_arc().await;
        if copy != CopyState::Ready && !worker.is_ready(function) {
            outcome.outcome = "refused";
            let mut response = reject(StatusCode::NOT_FOUND);
            response
                .headers_mut()
                .insert("cedarpulley-copy", HeaderValue::from_static("load-errored"));
            return Err(response);
        }
        drop(waiting);
        Ok(AcquiredLane {
            lane,
            copy,
            concurrency,
            usage,
            user,
        })
    }

    /// Executes the invocation on its lane.
    async fn execute(
        &self,
        lane: SemaphoreGuardArc,
        usage: &Arc<Mutex<Usage>>,
        reservation: Option<&mut KeyReservation>,
    ) -> (Option<PrefixMatch>, Malfunction) {
        let (worker, request) = (&self.worker, &self.request);
        let session = self.sequence.as_ref().map(|s| s.id.as_str());
        worker.log.write(
            "ran",
            json!({
                "id": request.id, "type": request.trigger_type, "token": request.idempotency_key,
                "function": request.function, "session": session,
            }),
        );
        // The prefix counts as found if it is cached when the work starts.
        let prefix = self.sequence.as_ref().and_then(|s| self.match_prefix(s));
        let rebuilding = if prefix == Some(PrefixMatch::Rebuilt) {
            self.program.prefix_rebuild_work
        } else {
            Duration::ZERO
        };
        let malfunction = worker.malfunction_of(&request.function, &request.id);
        if let Some(reservation) = reservation {
            reservation.keep();
        }
        worker.with_incarnation(|incarnation| incarnation.begin_running());
        let running = Occupancy::new(worker, Counter::Running);
        let active = ActiveUse::begin(worker, &request.function, usage);
        worker
            .execute((self.work + rebuilding).mul_f64(malfunction.slowdown))
            .await;
        drop(active);
        if let Some(sequence) = &self.sequence {
            worker.with_incarnation(|incarnation| {
                incarnation.store_prefix(&request.function, sequence)
            });
        }
        drop(running);
        drop(lane);
        (prefix, malfunction)
    }

    /// Looks up the prefix of the sequence and logs the result; returns nothing if the worker has no process.
    fn match_prefix(&self, sequence: &Sequence) -> Option<PrefixMatch> {
        let request = &self.request;
        let found = self.worker.with_incarnation(|incarnation| {
            incarnation
                .match_prefix(&request.function, sequence)
                .unwrap_or(PrefixMatch::Rebuilt)
        })?;
        self.worker.log.write(
            "prefix",
            json!({
                "id": request.id, "session": sequence.id, "function": request.function, "how": found.as_str(),
                "end": sequence.end, "from": request.peer.to_string(),
            }),
        );
        Some(found)
    }
}
