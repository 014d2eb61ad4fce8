//! Tests of the reuse of the indices of removed workers.

mod harness;

use cedarpulley::interface::{
    DispatchOutcome, Endpoint, EndpointListKind, EndpointState, WorkerIndex,
};
use cedarpulley_router::worker_index_allocator::WorkerIndexAllocator;
use harness::{IDEMPOTENT, RouterHarness};

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

/// Guards against unbounded growth of the state that is stored by worker index while new workers replace old ones.
#[test]
fn index_of_a_removed_worker_is_reused_once_unreferenced() {
    let mut router = RouterHarness::balancer_only(1);
    router.receive("a", IDEMPOTENT, 0, 1);
    let (ticket, old) = (
        router.sent_tickets()[0],
        router.core.worker_index("127.0.0.1:9000"),
    );
    router.update_endpoints(&[
        ("127.0.0.1:9000", EndpointState::Gone),
        ("s-1", EndpointState::InService),
    ]);
    // A dispatch to the old worker is still in flight.
    assert_eq!(router.core.worker_index("127.0.0.1:9000"), old);
    assert_ne!(router.core.worker_index("s-1"), old);
    router.end_dispatch(ticket, DispatchOutcome::Succeeded);
    assert_eq!(router.core.worker_index("127.0.0.1:9000"), None);
    for n in 2..500 {
        let (previous, current) = (format!("s-{}", n - 1), format!("s-{n}"));
        router.update_endpoints(&[
            (&current, EndpointState::InService),
            (&previous, EndpointState::Gone),
        ]);
        assert!(router.core.worker_index(&current).expect("listed") < 3);
        router.receive(&current, IDEMPOTENT, 0, n);
        let ticket = router.sent_tickets()[0];
        router.end_dispatch(ticket, DispatchOutcome::Succeeded);
    }
}

#[test]
fn complete_list_releases_indices_of_workers_it_does_not_name() {
    let mut indices = WorkerIndexAllocator::default();
    indices.update(
        EndpointListKind::Complete,
        &[
            endpoint(0, EndpointState::InService),
            endpoint(1, EndpointState::InService),
        ],
    );
    indices.reserve(1);
    indices.reserve(1);
    indices.update(EndpointListKind::Complete, &[]);
    assert_eq!(indices.take_released(), [0]);
    indices.unreserve(1);
    assert!(indices.take_released().is_empty());
    indices.unreserve(1);
    assert_eq!(indices.take_released(), [1]);
    // The worker is reported as gone again, under an index that is free: the index is released again, once.
    indices.update(
        EndpointListKind::Changes,
        &[endpoint(1, EndpointState::Gone)],
    );
    assert_eq!(indices.take_released(), [1]);
    indices.update(EndpointListKind::Failed, &[]);
    assert!(indices.take_released().is_empty());
}
