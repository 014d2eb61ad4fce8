//! Compares the key paths of `GET /state` and the metric and label names of `GET /metrics` of a running group, with upgrades
//! and reconciliation, with `fixtures/running-state-names.txt` and `fixtures/running-metric-names.txt`. Objects whose keys
//! are data are not followed; `crates/gateway/tests/state_names.rs` checks the names of states.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use cedarpulley_test_cluster::cluster::{Cluster, ClusterOptions};
use cedarpulley_test_cluster::traffic::Traffic;
use cedarpulley_test_cluster::until;

mod fleets;
mod pinned;
mod upgrading;
use fleets::{PATIENCE, PROGRAM, TURNS};
use pinned::{assert_equals_fixture, fixtures, lines, paths};
use upgrading::{order, orders_nothing, upgrading};

const STATE: &str = "running-state-names.txt";
const METRICS: &str = "running-metric-names.txt";
/// Time within which all names must be seen. They are normally seen within seconds of the upgrade order; only a failing
/// test waits this long.
const NAMES_TIMEOUT: Duration = Duration::from_secs(60);
/// Objects whose keys are data: stages of records, members, functions and kinds.
const DATA_KEYED: [&str; 6] = [
    "records",
    "open",
    "claims",
    "upgrade.sessions.bound",
    "reconcile.workers[].found",
    "reconcile.workers[].found_by",
];

/// Returns the names in a fixture.
fn expected(name: &str) -> BTreeSet<String> {
    let text = std::fs::read_to_string(fixtures().join(name)).expect("a fixture");
    text.lines().map(str::to_owned).collect()
}

/// Returns the metrics text of a router, if it answers.
fn metrics(fleet: &Cluster, n: usize) -> Option<String> {
    let mut stream = TcpStream::connect(fleet.peer_address(n)?).ok()?;
    let request = b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    stream.write_all(request).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer.split_once("\r\n\r\n")?.1.to_owned())
}

/// Returns the name of the metric in a line, with the names of its labels.
fn metric(line: &str) -> Option<String> {
    let name = line.rsplit_once(' ')?.0;
    let Some((name, labels)) = name.trim_end_matches('}').split_once('{') else {
        return name.starts_with("cedarpulley").then(|| name.to_owned());
    };
    let labels = labels.split(',').filter_map(|l| l.split_once('='));
    let labels: Vec<&str> = labels.map(|(key, _)| key).collect();
    Some(format!("{name}{{{}}}", labels.join(",")))
}

/// The names that the routers have shown so far.
#[derive(Default)]
struct CollectedNames {
    state: BTreeSet<String>,
    metrics: BTreeSet<String>,
}

impl CollectedNames {
    /// Adds the names that the routers show now.
    fn collect(&mut self, fleet: &Cluster) {
        for n in 0..fleet.routers.len() {
            if let Some(state) = fleet.state(n) {
                paths(&state, "", &DATA_KEYED, &mut self.state);
            }
            let text = metrics(fleet, n).unwrap_or_default();
            let values = text.lines().filter(|l| !l.starts_with('#'));
            self.metrics.extend(values.filter_map(metric));
        }
    }
}

#[test]
fn a_running_group_keeps_the_names_of_its_state_and_metrics() {
    let _turn = TURNS.acquire_blocking();
    let folder = tempfile::tempdir().expect("a folder");
    let launch = ClusterOptions {
        folder: folder.path().to_owned(),
        program: PROGRAM.into(),
        tamper: None,
        trace: false,
    };
    let day = upgrading(|day| day.seconds = 15.0);
    let fleet = Cluster::prepare(&day, launch).expect("a cluster");
    orders_nothing(&fleet);
    fleet.start_routers().expect("the routers start");
    let _traffic = Traffic::begin(&day, &fleet);
    order(&fleet, 5_000);
    let (state, metrics, mut seen) = (
        expected(STATE),
        expected(METRICS),
        CollectedNames::default(),
    );
    until(NAMES_TIMEOUT, || {
        std::thread::sleep(Duration::from_millis(100));
        seen.collect(&fleet);
        state.is_subset(&seen.state) && metrics.is_subset(&seen.metrics)
    });
    assert!(fleet.stop(PATIENCE), "the routers exit successfully");
    assert_equals_fixture(STATE, &lines(&seen.state));
    assert_equals_fixture(METRICS, &lines(&seen.metrics));
}
