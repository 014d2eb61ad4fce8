//! The clients of a scenario: they send its arrivals and collect the answers.

mod arrivals;

pub use arrivals::arrivals;

use std::sync::Arc;
use std::time::{Duration, Instant};

use cedarpulley_emulators::lock;
use smol::Task;

use crate::amqp_client::{AmqpClient, Answers, Arrival, FunctionOverride};
use crate::cluster::Cluster;
use crate::kserve_client::Callers;
use crate::scenario::Scenario;
use crate::until;

/// Clients over AMQP.
const CLIENTS: u32 = 3;
/// Clients listen this long after they have given up, to see that no answer comes.
const LISTEN_AFTER_TIMEOUT: Duration = Duration::from_secs(1);
/// The running clients of a scenario; they end when this is dropped.
pub struct Traffic {
    /// When they began.
    pub began: Instant,
    /// All that they send.
    pub sent: Vec<Arrival>,
    /// What was answered so far.
    pub answers: Answers,
    _tasks: Vec<Task<()>>,
}

impl Traffic {
    /// Starts the clients.
    pub fn begin(scenario: &Scenario, cluster: &Cluster) -> Traffic {
        Self::begin_with(scenario, cluster, None)
    }

    /// Starts clients that ask for the functions that `asks` says, where it is given.
    pub fn begin_with(
        scenario: &Scenario,
        cluster: &Cluster,
        asks: Option<FunctionOverride>,
    ) -> Traffic {
        let (began, sent, answers) = (Instant::now(), arrivals(scenario), Answers::default());
        let mut clients: Vec<Vec<Arrival>> = (0..CLIENTS).map(|_| Vec::new()).collect();
        let mut calls = Vec::new();
        for (n, arrival) in sent.iter().cloned().enumerate() {
            if arrival.over_kserve {
                calls.push(arrival);
            } else {
                clients[n % CLIENTS as usize].push(arrival);
            }
        }
        let callers = Callers {
            routers: cluster.listens(),
            from: [127, 0, 2, 200].into(),
            log: cluster.log.clone(),
            listens_on: LISTEN_AFTER_TIMEOUT + Duration::from_millis(scenario.leeway_ms),
            began,
            answers: Some(answers.clone()),
            asks: asks.clone(),
        };
        let executor = &cluster.host.executor;
        let mut tasks = vec![executor.spawn(Arc::new(callers).run(executor.clone(), calls))];
        for (n, arrivals) in clients.into_iter().enumerate() {
            let client = AmqpClient {
                broker: cluster.broker.address,
                from: [127, 0, 2, 1 + n as u8].into(),
                reply_queue: format!("replies-{n}"),
                began,
                arrivals,
                latencies: None,
                answers: Some(answers.clone()),
                function_override: asks.clone(),
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

    /// Waits until each invocation is answered; false if some are not within this time after the last is due.
    pub fn wait_until_answered(&self, timeout: Duration) -> bool {
        let last = self.sent.last().map_or(Duration::ZERO, |a| a.at);
        until(last.saturating_sub(self.began.elapsed()) + timeout, || {
            let answers = lock(&self.answers);
            self.sent.iter().all(|a| answers.contains_key(&a.id))
        })
    }
}
