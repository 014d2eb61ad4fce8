//! When the index of a removed worker may be reused.

mod world;

use cedarpulley::interface::{
    DispatchOutcome, Endpoint, EndpointListKind, EndpointState, WorkerIndex,
};
use cedarpulley_router::worker_index_allocator::WorkerIndexAllocator;
use world::{IDEMPOTENT, World};

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

/// Symptom: over a long day new workers take the place of old ones, and all that is kept by worker grows for
/// ever.
#[test]
fn index_of_a_removed_worker_is_reused_once_unreferenced() {
    let mut w = World::alone(1);
    w.take("a", IDEMPOTENT, 0, 1);
    let (ticket, old) = (w.sent()[0], w.router.worker_index("127.0.0.1:9000"));
    w.list(&[
        ("127.0.0.1:9000", EndpointState::Gone),
        ("s-1", EndpointState::InService),
    ]);
    // A dispatch is still out there.
    assert_eq!(w.router.worker_index("127.0.0.1:9000"), old);
    assert_ne!(w.router.worker_index("s-1"), old);
    w.end(ticket, DispatchOutcome::Succeeded);
    assert_eq!(w.router.worker_index("127.0.0.1:9000"), None);
    for n in 2..500 {
        let (was, is) = (format!("s-{}", n - 1), format!("s-{n}"));
        w.list(&[(&is, EndpointState::InService), (&was, EndpointState::Gone)]);
        assert!(w.router.worker_index(&is).expect("listed") < 3);
        w.take(&is, IDEMPOTENT, 0, n);
        let ticket = w.sent()[0];
        w.end(ticket, DispatchOutcome::Succeeded);
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
    // Told again that it is gone, under an index that was free: freed again, once.
    indices.update(
        EndpointListKind::Changes,
        &[endpoint(1, EndpointState::Gone)],
    );
    assert_eq!(indices.take_released(), [1]);
    indices.update(EndpointListKind::Failed, &[]);
    assert!(indices.take_released().is_empty());
}
