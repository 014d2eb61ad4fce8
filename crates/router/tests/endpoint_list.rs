//! Tests of the endpoint list with a watch that breaks, repeats events or goes back in time.

mod harness;

use EndpointState::{Draining, Gone, InService};
use cedarpulley::interface::{EndpointListKind, EndpointState};
use cedarpulley_router::endpoint_list::{
    EndpointList, EndpointListAction, EndpointSlice, SliceEntry, WatchEvent,
};
use harness::SECOND;

fn entry(port: u16, state: EndpointState, process_id: &str) -> SliceEntry {
    let worker = harness::listed_worker(&format!("127.0.0.1:{port}"), state);
    SliceEntry {
        worker,
        process_id: process_id.into(),
    }
}

fn slice(name: &str, version: u64, entries: Vec<SliceEntry>) -> EndpointSlice {
    EndpointSlice {
        name: name.into(),
        version,
        entries,
    }
}

fn listing(version: u64, slices: Vec<EndpointSlice>) -> WatchEvent {
    WatchEvent::Listing { version, slices }
}

/// The updates passed to the core: their kind, and name and state of each worker.
fn updates(
    actions: &[EndpointListAction],
) -> Vec<(EndpointListKind, Vec<(String, EndpointState)>)> {
    let update = |action: &EndpointListAction| match action {
        EndpointListAction::UpdateRouter { kind, workers } => Some((
            *kind,
            workers
                .iter()
                .map(|worker| (worker.address.clone(), worker.state))
                .collect(),
        )),
        _ => None,
    };
    actions.iter().filter_map(update).collect()
}

#[test]
fn worker_in_two_slices_has_the_state_of_the_newest() {
    let mut list = EndpointList::default();
    let a = slice("a", 5, vec![entry(1, InService, "x")]);
    let b = slice("b", 7, vec![entry(1, Draining, "x")]);
    let actions = list.handle(0, listing(7, vec![a, b]));
    assert_eq!(
        updates(&actions),
        [(
            EndpointListKind::Complete,
            vec![("127.0.0.1:1".into(), Draining)]
        )]
    );
    assert_eq!(actions[1], EndpointListAction::Watch(7));
    // Of two equally new slices, the most cautious state counts.
    let a = slice("a", 9, vec![entry(1, Draining, "x")]);
    let b = slice("b", 9, vec![entry(1, InService, "x")]);
    let actions = list.handle(0, listing(9, vec![a, b]));
    assert_eq!(updates(&actions)[0].1[0].1, Draining);
}

#[test]
fn empty_endpoint_list_is_accepted() {
    let mut list = EndpointList::default();
    list.handle(
        0,
        listing(5, vec![slice("a", 5, vec![entry(1, InService, "x")])]),
    );
    assert_eq!(
        updates(&list.handle(0, listing(6, vec![]))),
        [(EndpointListKind::Complete, vec![])]
    );
}

#[test]
fn repeated_or_older_watch_events_change_nothing() {
    let mut list = EndpointList::default();
    list.handle(
        0,
        listing(5, vec![slice("a", 5, vec![entry(1, InService, "x")])]),
    );
    let draining = WatchEvent::Changed(slice("a", 8, vec![entry(1, Draining, "x")]));
    assert_eq!(
        updates(&list.handle(0, draining.clone()))[0].1[0].1,
        Draining
    );
    assert!(list.handle(0, draining).is_empty());
    assert!(
        list.handle(
            0,
            WatchEvent::Changed(slice("a", 6, vec![entry(1, InService, "x")]))
        )
        .is_empty()
    );
    assert!(
        list.handle(
            0,
            WatchEvent::Removed {
                name: "a".into(),
                version: 7
            }
        )
        .is_empty()
    );
    // A listing of an older version is requested again, and accepted only when it is the third in a row.
    let stale = || listing(4, vec![slice("a", 4, vec![entry(1, InService, "x")])]);
    assert_eq!(
        list.handle(0, stale()),
        [EndpointListAction::RequestListing]
    );
    assert_eq!(
        list.handle(0, stale()),
        [EndpointListAction::RequestListing]
    );
    assert_eq!(
        updates(&list.handle(0, stale()))[0].0,
        EndpointListKind::Complete
    );
    assert_eq!(list.ignored_events, 5);
}

#[test]
fn worker_restart_is_detected_by_its_start_mark() {
    let mut list = EndpointList::default();
    list.handle(
        0,
        listing(5, vec![slice("a", 5, vec![entry(1, InService, "x")])]),
    );
    let mut restarted = entry(1, InService, "y");
    restarted.worker.started_at = Some(-100 * SECOND);
    let actions = list.handle(
        9 * SECOND,
        WatchEvent::Changed(slice("a", 6, vec![restarted])),
    );
    assert!(
        matches!(&actions[0], EndpointListAction::UpdateRouter { workers, .. } if workers[0].started_at == Some(9 * SECOND))
    );
}

#[test]
fn ended_watch_resumes_or_relists_when_too_old() {
    let mut list = EndpointList::default();
    assert_eq!(
        list.handle(0, WatchEvent::WatchEnded { too_old: false })[1],
        EndpointListAction::RequestListing
    );
    list.handle(
        0,
        listing(5, vec![slice("a", 5, vec![entry(1, InService, "x")])]),
    );
    list.handle(0, WatchEvent::Bookmark(40));
    assert_eq!(
        list.handle(0, WatchEvent::WatchEnded { too_old: false })[1],
        EndpointListAction::Watch(40)
    );
    assert_eq!(
        list.handle(0, WatchEvent::WatchEnded { too_old: true })[1],
        EndpointListAction::RequestListing
    );
    let removal = list.handle(
        0,
        WatchEvent::Removed {
            name: "a".into(),
            version: 41,
        },
    );
    assert_eq!(
        updates(&removal),
        [(
            EndpointListKind::Changes,
            vec![("127.0.0.1:1".into(), Gone)]
        )]
    );
}
