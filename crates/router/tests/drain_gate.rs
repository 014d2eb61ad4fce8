//! Tests of the check whether new work may still be sent to a worker.

mod harness;

use cedarpulley::interface::{Endpoint, EndpointListKind, EndpointState, WorkerIndex};
use cedarpulley_router::drain_gate::{DrainBasis, DrainGate};
use harness::{MILLISECOND, SECOND};

fn endpoint(worker: WorkerIndex, state: EndpointState) -> Endpoint {
    Endpoint {
        worker,
        fingerprint: 1,
        zone: 0,
        machine_kind: 0,
        cell: 0,
        state,
        weight: 1.0,
        started_at: None,
    }
}

#[test]
fn drain_grace_counts_from_the_first_report() {
    let mut gate = DrainGate::new(500 * MILLISECOND);
    assert!(!gate.accepts(0, 0));
    gate.update(
        0,
        EndpointListKind::Complete,
        &[endpoint(0, EndpointState::InService)],
    );
    gate.update(
        SECOND,
        EndpointListKind::Changes,
        &[endpoint(0, EndpointState::Draining)],
    );
    gate.update(
        SECOND + 300 * MILLISECOND,
        EndpointListKind::Changes,
        &[endpoint(0, EndpointState::Draining)],
    );
    gate.update(
        SECOND + 400 * MILLISECOND,
        EndpointListKind::Complete,
        &[endpoint(0, EndpointState::Draining)],
    );
    assert!(
        gate.accepts(SECOND + 499 * MILLISECOND, 0) && !gate.accepts(SECOND + 500 * MILLISECOND, 0)
    );
    gate.update(3 * SECOND, EndpointListKind::Failed, &[]);
    gate.update(
        3 * SECOND,
        EndpointListKind::Changes,
        &[endpoint(0, EndpointState::InService)],
    );
    assert!(gate.accepts(9 * SECOND, 0));
    gate.forget(0);
    assert!(!gate.accepts(9 * SECOND, 0));
    // For a worker that is already draining when it is first listed, the grace starts with that list.
    gate.update(
        10 * SECOND,
        EndpointListKind::Changes,
        &[endpoint(0, EndpointState::Draining)],
    );
    assert!(gate.accepts(10 * SECOND + 499 * MILLISECOND, 0) && !gate.accepts(11 * SECOND, 0));
}

#[test]
fn removed_worker_accepts_no_dispatch_within_its_drain_grace() {
    let mut gate = DrainGate::new(500 * MILLISECOND);
    gate.update(
        0,
        EndpointListKind::Complete,
        &[
            endpoint(0, EndpointState::InService),
            endpoint(1, EndpointState::Draining),
        ],
    );
    assert!(gate.accepts(MILLISECOND, 0) && gate.accepts(MILLISECOND, 1));
    gate.update(
        MILLISECOND,
        EndpointListKind::Changes,
        &[
            endpoint(0, EndpointState::Gone),
            endpoint(1, EndpointState::Gone),
        ],
    );
    assert!(!gate.accepts(MILLISECOND, 0) && !gate.accepts(MILLISECOND, 1));
}

/// Guards against a dispatch to a drained worker during a discovery outage: the dispatch was decided in time, but the lease
/// of the endpoint list ends while the dispatch waits for its connection.
#[test]
fn expired_list_lease_blocks_workers_without_a_recent_health_check() {
    let mut gate = DrainGate::new(500 * MILLISECOND);
    let listed = [0, 1].map(|worker| endpoint(worker, EndpointState::InService));
    gate.update(0, EndpointListKind::Complete, &listed);
    assert!(
        gate.accepts(60 * SECOND, 0),
        "without a lease the list is relied on"
    );
    gate.renew_lease(SECOND);
    assert!(gate.accepts(1_499 * MILLISECOND, 0) && !gate.accepts(1_500 * MILLISECOND, 0));
    gate.passed_health_check(0, 2 * SECOND);
    assert!(gate.accepts(2_499 * MILLISECOND, 0) && !gate.accepts(2_500 * MILLISECOND, 0));
    assert!(
        !gate.accepts(2_100 * MILLISECOND, 1),
        "a health check counts for its own worker only"
    );
    gate.renew_lease(9 * SECOND);
    assert!(gate.accepts(9 * SECOND, 1));
    gate.update(
        9 * SECOND,
        EndpointListKind::Changes,
        &[endpoint(0, EndpointState::Gone)],
    );
    gate.passed_health_check(0, 9 * SECOND);
    assert!(
        !gate.accepts(9 * SECOND, 0),
        "a removed worker accepts nothing, even if it passes a health check"
    );
    gate.forget(1);
    assert!(!gate.accepts(9 * SECOND, 1));
}

/// Guards against dispatches to a worker that is missing from a complete list received after an outage. The worker may be
/// gone for long, so dispatches that wait for a connection to it must not be sent within a drain grace that starts with
/// that list.
#[test]
fn worker_missing_from_a_complete_list_accepts_no_dispatch() {
    let mut gate = DrainGate::new(500 * MILLISECOND);
    gate.update(
        0,
        EndpointListKind::Complete,
        &[
            endpoint(0, EndpointState::InService),
            endpoint(1, EndpointState::Draining),
        ],
    );
    assert!(gate.accepts(MILLISECOND, 0) && gate.accepts(MILLISECOND, 1));
    gate.update(
        MILLISECOND,
        EndpointListKind::Complete,
        &[endpoint(2, EndpointState::InService)],
    );
    assert!(
        !gate.accepts(MILLISECOND, 0)
            && !gate.accepts(MILLISECOND, 1)
            && gate.accepts(MILLISECOND, 2)
    );
}

/// The log must tell why work was sent to a worker, or held back from it.
#[test]
fn the_basis_of_a_decision_is_told() {
    let mut gate = DrainGate::new(500 * MILLISECOND);
    let listed = [0, 1].map(|worker| endpoint(worker, EndpointState::InService));
    gate.update(0, EndpointListKind::Complete, &listed);
    let at = |gate: &DrainGate, now| gate.basis(now, 0);
    assert_eq!(at(&gate, 9 * SECOND), DrainBasis::ListWithoutLease);
    gate.renew_lease(SECOND);
    assert_eq!(at(&gate, SECOND - 1), DrainBasis::CurrentList);
    assert_eq!(at(&gate, SECOND), DrainBasis::DrainGrace);
    assert_eq!(at(&gate, 2 * SECOND), DrainBasis::Unknown);
    gate.passed_health_check(0, 2 * SECOND);
    let age = 3 * MILLISECOND;
    assert_eq!(at(&gate, 2 * SECOND + age), DrainBasis::HealthCheck { age });
    gate.update(0, EndpointListKind::Complete, &listed[1..]);
    assert_eq!(at(&gate, 0), DrainBasis::Listed);
}
