//! The published endpoint list, whose watch breaks, repeats and goes back in time.

mod world;

use EndpointState::{Draining, Gone, InService};
use cedarpulley::interface::{EndpointListKind, EndpointState};
use cedarpulley_router::endpoint_list::{Entry, News, Roster, Slice, Step};
use world::SECOND;

fn worker(port: u16, standing: EndpointState, mark: &str) -> Entry {
    let worker = world::listed(&format!("127.0.0.1:{port}"), standing);
    Entry {
        worker,
        start_mark: mark.into(),
    }
}

fn slice(name: &str, version: u64, entries: Vec<Entry>) -> Slice {
    Slice {
        name: name.into(),
        version,
        entries,
    }
}

fn listing(version: u64, slices: Vec<Slice>) -> News {
    News::Listing { version, slices }
}

fn told(steps: &[Step]) -> Vec<(EndpointListKind, Vec<(String, EndpointState)>)> {
    let tell = |s: &Step| match s {
        Step::Tell { mode, workers } => Some((
            *mode,
            workers
                .iter()
                .map(|w| (w.address.clone(), w.standing))
                .collect(),
        )),
        _ => None,
    };
    steps.iter().filter_map(tell).collect()
}

#[test]
fn worker_in_two_slices_has_the_state_of_the_newest() {
    let mut list = Roster::default();
    let a = slice("a", 5, vec![worker(1, InService, "x")]);
    let b = slice("b", 7, vec![worker(1, Draining, "x")]);
    let steps = list.news(0, listing(7, vec![a, b]));
    assert_eq!(
        told(&steps),
        [(
            EndpointListKind::Complete,
            vec![("127.0.0.1:1".into(), Draining)]
        )]
    );
    assert_eq!(steps[1], Step::Watch(7));
    // Equally new: the most cautious.
    let a = slice("a", 9, vec![worker(1, Draining, "x")]);
    let b = slice("b", 9, vec![worker(1, InService, "x")]);
    let steps = list.news(0, listing(9, vec![a, b]));
    assert_eq!(told(&steps)[0].1[0].1, Draining);
}

#[test]
fn empty_endpoint_list_is_accepted() {
    let mut list = Roster::default();
    list.news(
        0,
        listing(5, vec![slice("a", 5, vec![worker(1, InService, "x")])]),
    );
    assert_eq!(
        told(&list.news(0, listing(6, vec![]))),
        [(EndpointListKind::Complete, vec![])]
    );
}

#[test]
fn repeated_or_older_watch_events_change_nothing() {
    let mut list = Roster::default();
    list.news(
        0,
        listing(5, vec![slice("a", 5, vec![worker(1, InService, "x")])]),
    );
    let drains = News::Changed(slice("a", 8, vec![worker(1, Draining, "x")]));
    assert_eq!(told(&list.news(0, drains.clone()))[0].1[0].1, Draining);
    assert!(list.news(0, drains).is_empty());
    assert!(
        list.news(
            0,
            News::Changed(slice("a", 6, vec![worker(1, InService, "x")]))
        )
        .is_empty()
    );
    assert!(
        list.news(
            0,
            News::Removed {
                name: "a".into(),
                version: 7
            }
        )
        .is_empty()
    );
    // A lagging publisher lists an old state: asked again, and believed only when it insists.
    let old = || listing(4, vec![slice("a", 4, vec![worker(1, InService, "x")])]);
    assert_eq!(list.news(0, old()), [Step::List]);
    assert_eq!(list.news(0, old()), [Step::List]);
    assert_eq!(told(&list.news(0, old()))[0].0, EndpointListKind::Complete);
    assert_eq!(list.stale, 5);
}

#[test]
fn worker_restart_is_detected_by_its_start_mark() {
    let mut list = Roster::default();
    list.news(
        0,
        listing(5, vec![slice("a", 5, vec![worker(1, InService, "x")])]),
    );
    let mut again = worker(1, InService, "y");
    again.worker.started = Some(-100 * SECOND);
    let steps = list.news(9 * SECOND, News::Changed(slice("a", 6, vec![again])));
    assert!(
        matches!(&steps[0], Step::Tell { workers, .. } if workers[0].started == Some(9 * SECOND))
    );
}

#[test]
fn ended_watch_resumes_or_relists_when_too_old() {
    let mut list = Roster::default();
    assert_eq!(list.news(0, News::Broken { too_old: false })[1], Step::List);
    list.news(
        0,
        listing(5, vec![slice("a", 5, vec![worker(1, InService, "x")])]),
    );
    list.news(0, News::Bookmark(40));
    assert_eq!(
        list.news(0, News::Broken { too_old: false })[1],
        Step::Watch(40)
    );
    assert_eq!(list.news(0, News::Broken { too_old: true })[1], Step::List);
    let gone = list.news(
        0,
        News::Removed {
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
