//! Orders from routers to load and unload functions, and the execution of loads.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use async_io::{Async, Timer};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use smol_hyper::rt::FuturesIo;

use super::incarnation::{CopyState, Lookup};
use super::index::{OrderIssuer, VERSION_SEPARATOR};
use super::injected_faults::OrderKind;
use super::routes::header;
use super::usage::{Usage, report};
use super::{InvocationProfile, WorkerShared};
use crate::http::{Body, response_with};
use crate::lock;

/// The result of a lookup, and the load that the caller has to spawn if the lookup began one.
pub(super) struct Placement {
    pub(super) lookup: Lookup,
    /// Id of the incarnation that the function is loaded into; absent if no load was begun.
    pub(super) load_into: Option<u64>,
}

impl WorkerShared {
    pub(super) fn is_ready(&self, function: &str) -> bool {
        self.with_incarnation(|incarnation| incarnation.is_ready(function))
            .unwrap_or(false)
    }

    /// Finds a function to run on, or begins its load if `may_load` is set and there is capacity.
    pub(super) fn place(
        &self,
        function: &str,
        program: &InvocationProfile,
        may_load: bool,
    ) -> Placement {
        self.with_incarnation(|incarnation| {
            let lookup = incarnation.find_or_begin_load(
                function,
                program,
                may_load,
                &self.profile,
                &self.log,
            );
            let begun = matches!(
                lookup,
                Lookup::Found {
                    state: CopyState::LoadBegun,
                    ..
                }
            );
            Placement {
                lookup,
                load_into: begun.then(|| incarnation.id()),
            }
        })
        .unwrap_or(Placement {
            lookup: Lookup::NoCapacity,
            load_into: None,
        })
    }

    /// Loads a function in the background. The loading time is added to `usage`.
    pub(super) fn spawn_load(
        self: &Arc<Self>,
        into: u64,
        function: &str,
        program: &InvocationProfile,
        usage: &Arc<Mutex<Usage>>,
    ) {
        let loading = self
            .clone()
            .load(into, function.to_owned(), program.clone(), usage.clone());
        self.host.executor.spawn(loading).detach();
    }

    /// Fetches a function from the store, waits for its start-up time and wakes the tasks that wait for it.
    async fn load(
        self: Arc<Self>,
        into: u64,
        function: String,
        program: InvocationProfile,
        usage: Arc<Mutex<Usage>>,
    ) {
        let began = Instant::now();
        self.log.write("loading", json!({"function": function}));
        let fetched = fetch(self.store, &function, program.copy_mb).await;
        if fetched {
            Timer::after(program.start_up_time).await;
        }
        self.with_incarnation(|incarnation| {
            // Without this check, a load of a crashed process makes the copy of the next process ready before that
            // copy is loaded.
            if incarnation.id() != into {
                return;
            }
            incarnation.count_load_ended();
            lock(&usage).add_loading(incarnation, began.elapsed().as_secs_f64());
            let concluded =
                incarnation.conclude_load(&function, &program, fetched, &self.profile);
            if let Some((lanes, ordered_by)) = concluded {
                self.log.write(
                    "loaded",
                    json!({
                        "function": function, "stands": fetched, "lanes": lanes, "router": ordered_by.router,
                        "term": ordered_by.term,
                    }),
                );
            }
        });
    }

    /// Removes the selected functions that are idle and logs `event` for each; returns their number.
    pub(super) fn remove_idle(
        &self,
        event: &str,
        selects: impl Fn(&str) -> bool,
        fields: &Value,
    ) -> usize {
        self.with_incarnation(|incarnation| {
            let removed = incarnation.remove_idle(selects);
            for name in &removed {
                let mut fields = fields.clone();
                fields["function"] = name.as_str().into();
                self.log.write(event, fields);
            }
            removed.len()
        })
        .unwrap_or(0)
    }
}

/// Fetches a function from the store; returns whether that succeeded.
async fn fetch(store: SocketAddr, function: &str, mb: f64) -> bool {
    let fetching = async {
        let stream = Async::<std::net::TcpStream>::connect(store).await.ok()?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(FuturesIo::new(stream))
                .await
                .ok()?;
        let path = format!("/{}?mb={mb}", function.replace(['/', '?', ' '], "_"));
        let request = Request::get(path)
            .header("host", store.to_string())
            .body(Empty::<Bytes>::new())
            .ok()?;
        let answer = async {
            let answer = sender.send_request(request).await.ok()?;
            let ok = answer.status().is_success();
            answer.into_body().collect().await.ok()?;
            Some(ok)
        };
        let driver = async {
            let _ = connection.await;
            std::future::pending::<Option<bool>>().await
        };
        futures_lite::FutureExt::or(answer, driver).await
    };
    fetching.await.unwrap_or(false)
}

/// Returns the trigger type of a function, which is the part of its name before the colon.
fn trigger_type_of(function: &str) -> &str {
    let name = function
        .split_once(VERSION_SEPARATOR)
        .map_or(function, |(name, _)| name);
    name.split(':').next().unwrap_or("")
}

/// The response to a load order that succeeded.
fn loaded() -> Response<Body> {
    let mut response = response_with(StatusCode::OK, "");
    response
        .headers_mut()
        .insert("cedarpulley-copies", HeaderValue::from_static("1"));
    response
}

/// Executes an order to unload a function: the function is removed if it is idle.
pub(super) fn unload(
    worker: &WorkerShared,
    from: IpAddr,
    function: &str,
    request: &Request<Incoming>,
) -> Response<Body> {
    let ordered_by = OrderIssuer::of(request);
    let fields =
        json!({"from": from.to_string(), "router": ordered_by.router, "term": ordered_by.term});
    worker.log.write(
        "unload",
        json!({"function": function, "from": from.to_string(), "router": ordered_by.router}),
    );
    if !worker.loses_order(function, OrderKind::Unload) {
        worker.remove_idle("unloaded", |name| name == function, &fields);
    }
    response_with(StatusCode::OK, "")
}

fn log_order(worker: &WorkerShared, from: IpAddr, function: &str, ordered_by: &OrderIssuer) {
    worker.log.write(
        "ordered",
        json!({
            "function": function, "from": from.to_string(), "held_since": worker.partition.held_since(from),
            "router": ordered_by.router, "term": ordered_by.term,
        }),
    );
}

/// Executes an order to load a function and responds once the function is ready or its load has failed.
pub(super) async fn load(
    worker: Arc<WorkerShared>,
    from: IpAddr,
    function: String,
    request: Request<Incoming>,
) -> Response<Body> {
    let ordered_by = OrderIssuer::of(&request);
    let account = header(&request, "cedarpulley-account");
    log_order(&worker, from, &function, &ordered_by);
    let rejected = |status| {
        worker.log.write(
            "order-refused",
            json!({"function": function, "from": from.to_string()}),
        );
        response_with(status, "")
    };
    if worker.faults().draining {
        return rejected(StatusCode::SERVICE_UNAVAILABLE);
    }
    // An order does not contain the trigger type; it is derived from the name of the function.
    let Some(program) = worker.programs.get(trigger_type_of(&function)) else {
        return rejected(StatusCode::BAD_REQUEST);
    };
    if worker.loses_order(&function, OrderKind::Load) {
        return loaded();
    }
    let Placement { lookup, load_into } = worker.place(&function, program, true);
    if ordered_by != OrderIssuer::default() {
        worker.with_incarnation(|incarnation| incarnation.set_order_issuer(&function, ordered_by));
    }
    let usage = Usage::begin(&worker, "", &account, &function, program);
    if let Some(into) = load_into {
        worker.spawn_load(into, &function, program, &usage);
    }
    let Lookup::Found { lanes, .. } = lookup else {
        return rejected(StatusCode::INSUFFICIENT_STORAGE);
    };
    // A lane can be acquired once the function is ready or its load has failed; it is released at once.
    drop(lanes.acquire().await);
    let mut response = if worker.is_ready(&function) {
        loaded()
    } else {
        response_with(StatusCode::INTERNAL_SERVER_ERROR, "")
    };
    report(&mut response, &usage);
    response
}
