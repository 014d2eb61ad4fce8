//! The clients of a scenario, which send the arrivals and collect the answers.

mod arrivals;

pub use arrivals::arrivals;

use std::sync::Arc;
use std::time::{Duration, Instant};

use cedarpulley_emulators::lock;
use smol::Task;

use crate::amqp_client::{AmqpClient, Answers, Arrival, FunctionOverride};
use crate::cluster::Cluster;
use crate::kserve_client::KserveClients;
use crate::scenario::Scenario;
use crate::until;

/// Number of AMQP clients.
const AMQP_CLIENTS: u32 = 3;
/// How long KServe clients wait for an answer after their timeout, so that an answer that arrives too late is
/// recorded.
const LISTEN_AFTER_TIMEOUT: Duration = Duration::from_secs(1);
/// The running clients of a scenario; they end when this is dropped.
pub struct Traffic {
    /// Start of the traffic.
    pub began: Instant,
    /// All arrivals of the scenario.
    pub sent: Vec<Arrival>,
    /// The answers so far.
    pub answers: Answers,
    _tasks: Vec<Task<()>>,
}

impl Traffic {
    /// Starts the clients.
    pub fn begin(scenario: &Scenario, cluster: &Cluster) -> Traffic {
        Self::begin_with(scenario, cluster, None)
    }

    /// Starts the clients; `function_override`, if present, chooses the functions that they call.
    pub fn begin_with(
        scenario: &Scenario,
        cluster: &Cluster,
        function_override: Option<FunctionOverride>,
    ) -> Traffic {
        let (began, sent, answers) = (Instant::now(), arrivals(scenario), Answers::default());
        let mut clients: Vec<Vec<Arrival>> = (0..AMQP_CLIENTS).map(|_| Vec::new()).collect();
        let mut calls = Vec::new();
        for (n, arrival) in sent.iter().cloned().enumerate() {
            if arrival.over_kserve {
                calls.push(arrival);
            } else {
                clients[n % AMQP_CLIENTS as usize].push(arrival);
            }
        }
        let kserve_clients = KserveClients {
            routers: cluster.kserve_addresses(),
            from: [127, 0, 2, 200].into(),
            log: cluster.log.clone(),
            listen_after_timeout: LISTEN_AFTER_TIMEOUT + Duration::from_millis(scenario.leeway_ms),
            began,
            answers: Some(answers.clone()),
            function_override: function_override.clone(),
        };
        let executor = &cluster.host.executor;
        let mut tasks = vec![executor.spawn(Arc::new(kserve_clients).run(executor.clone(), calls))];
        for (n, arrivals) in clients.into_iter().enumerate() {
            let client = AmqpClient {
                broker: cluster.broker.address,
                from: [127, 0, 2, 1 + n as u8].into(),
                reply_queue: format!("replies-{n}"),
                began,
                arrivals,
                latencies: None,
                answers: Some(answers.clone()),
                function_override: function_override.clone(),
            };
            tasks.push(executor.spawn(client.run()));
        }
        Traffic {
            began,
            sent,
            answers,
            _tasks: tasks,
        }
    }

    /// Waits until all invocations are answered; returns false if some are not answered within the timeout after the
    /// last arrival is due.
    pub fn wait_until_answered(&self, timeout: Duration) -> bool {
        let last = self.sent.last().map_or(Duration::ZERO, |a| a.at);
        until(last.saturating_sub(self.began.elapsed()) + timeout, || {
            let answers = lock(&self.answers);
            self.sent.iter().all(|a| answers.contains_key(&a.id))
        })
    }
}
