//! The published endpoint list, whose watch breaks, repeats and goes back in time.

mod world;

use EndpointState::{Draining, Gone, InService};
use cedarpulley::interface::{EndpointListKind, EndpointState};
use cedarpulley_router::endpoint_list::{
    EndpointList, EndpointSlice, ListAction, SliceEntry, WatchEvent,
};
use world::SECOND;

fn worker(port: u16, standing: EndpointState, mark: &str) -> SliceEntry {
    let worker = world::listed(&format!("127.0.0.1:{port}"), standing);
    SliceEntry {
        worker,
        start_mark: mark.into(),
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

fn told(steps: &[ListAction]) -> Vec<(EndpointListKind, Vec<(String, EndpointState)>)> {
    let tell = |s: &ListAction| match s {
        ListAction::UpdateRouter { kind, workers } => Some((
            *kind,
            workers
                .iter()
                .map(|w| (w.address.clone(), w.state))
                .collect(),
        )),
        _ => None,
    };
    steps.iter().filter_map(tell).collect()
}

#[test]
fn worker_in_two_slices_has_the_state_of_the_newest() {
    let mut list = EndpointList::default();
    let a = slice("a", 5, vec![worker(1, InService, "x")]);
    let b = slice("b", 7, vec![worker(1, Draining, "x")]);
    let steps = list.handle(0, listing(7, vec![a, b]));
    assert_eq!(
        told(&steps),
        [(
            EndpointListKind::Complete,
            vec![("127.0.0.1:1".into(), Draining)]
        )]
    );
    assert_eq!(steps[1], ListAction::Watch(7));
    // Equally new: the most cautious.
    let a = slice("a", 9, vec![worker(1, Draining, "x")]);
    let b = slice("b", 9, vec![worker(1, InService, "x")]);
    let steps = list.handle(0, listing(9, vec![a, b]));
    assert_eq!(told(&steps)[0].1[0].1, Draining);
}

#[test]
fn empty_endpoint_list_is_accepted() {
    let mut list = EndpointList::default();
    list.handle(
        0,
        listing(5, vec![slice("a", 5, vec![worker(1, InService, "x")])]),
    );
    assert_eq!(
        told(&list.handle(0, listing(6, vec![]))),
        [(EndpointListKind::Complete, vec![])]
    );
}

#[test]
fn repeated_or_older_watch_events_change_nothing() {
    let mut list = EndpointList::default();
    list.handle(
        0,
        listing(5, vec![slice("a", 5, vec![worker(1, InService, "x")])]),
    );
    let drains = WatchEvent::Changed(slice("a", 8, vec![worker(1, Draining, "x")]));
    assert_eq!(told(&list.handle(0, drains.clone()))[0].1[0].1, Draining);
    assert!(list.handle(0, drains).is_empty());
    assert!(
        list.handle(
            0,
            WatchEvent::Changed(slice("a", 6, vec![worker(1, InService, "x")]))
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
    // A lagging publisher lists an old state: asked again, and believed only when it insists.
    let old = || listing(4, vec![slice("a", 4, vec![worker(1, InService, "x")])]);
    assert_eq!(list.handle(0, old()), [ListAction::RequestListing]);
    assert_eq!(list.handle(0, old()), [ListAction::RequestListing]);
    assert_eq!(
        told(&list.handle(0, old()))[0].0,
        EndpointListKind::Complete
    );
    assert_eq!(list.stale, 5);
}

#[test]
fn worker_restart_is_detected_by_its_start_mark() {
    let mut list = EndpointList::default();
    list.handle(
        0,
        listing(5, vec![slice("a", 5, vec![worker(1, InService, "x")])]),
    );
    let mut again = worker(1, InService, "y");
    again.worker.started_at = Some(-100 * SECOND);
    let steps = list.handle(9 * SECOND, WatchEvent::Changed(slice("a", 6, vec![again])));
    assert!(
        matches!(&steps[0], ListAction::UpdateRouter { workers, .. } if workers[0].started_at == Some(9 * SECOND))
    );
}

#[test]
fn ended_watch_resumes_or_relists_when_too_old() {
    let mut list = EndpointList::default();
    assert_eq!(
        list.handle(0, WatchEvent::WatchEnded { too_old: false })[1],
        ListAction::RequestListing
    );
    list.handle(
        0,
        listing(5, vec![slice("a", 5, vec![worker(1, InService, "x")])]),
    );
    list.handle(0, WatchEvent::Bookmark(40));
    assert_eq!(
        list.handle(0, WatchEvent::WatchEnded { too_old: false })[1],
        ListAction::Watch(40)
    );
    assert_eq!(
        list.handle(0, WatchEvent::WatchEnded { too_old: true })[1],
        ListAction::RequestListing
    );
    let gone = list.handle(
        0,
        WatchEvent::Removed {
            name: "a".into(),
            version: 41,
        },
    );
    assert_eq!(
        told(&gone),
        [(
            EndpointListKind::Changes,
            vec![("127.0.0.1:1".into(), Gone)]
        )]
    );
}
