//! Cut, merged, stripped: from the kept file of format 1, as no router writes it any more.

mod small;

use std::io::Cursor;

use cedarpulley::interface::Micros;
use cedarpulley_trace::blocks::BlockBuilder;
use cedarpulley_trace::merge::{Offsets, merge};
use cedarpulley_trace::reader::{BlockRead, Reader};
use cedarpulley_trace::records::{Record, RecordedEvent};
use cedarpulley_trace::replay::replay;
use cedarpulley_trace::rewrite::{cut, strip};
use cedarpulley_trace::selection::SelectionCriteria;
use cedarpulley_trace::start::{Provenance, Source, StartRecord};
use cedarpulley_trace::strip::Pseudonymizer;
use cedarpulley_trace::summary::{Summary, SummaryBuilder};
use cedarpulley_trace::writer::TraceFileWriter;

const MS: Micros = 1_000;
const KEPT: &[u8] = include_bytes!("kept/format-1.trace");

type Opened = Reader<Cursor<Vec<u8>>>;

fn open(bytes: &[u8]) -> Opened {
    Reader::open(Cursor::new(bytes.to_vec())).expect("a trace")
}

/// The kept one, as if another router had written it with its clock ahead by so much.
fn other(n: usize, ahead: Micros) -> Vec<u8> {
    let mut r = open(KEPT);
    let start = StartRecord {
        router: format!("router-{n}"),
        wall_at_zero: r.sources[0].start.wall_at_zero + ahead,
        ..r.sources[0].start.clone()
    };
    let mut sheet = TraceFileWriter::begin(Vec::new(), &[start.into()]).expect("written");
    for location in small::block_locations(KEPT) {
        let (head, packed) = r.packed(&location).expect("read").expect("whole");
        let sum = head.checksum_over(2, &packed);
        let head = cedarpulley_trace::blocks::BlockHeader {
            checksum: sum,
            ..head
        };
        sheet.write_packed(&head, &packed).expect("written");
    }
    sheet.finish().expect("written")
}

fn summary(bytes: &[u8]) -> Summary {
    let (mut r, mut counter) = (open(bytes), SummaryBuilder::default());
    counter.begin_file(&r.sources);
    while let Some(found) = r.next().expect("read") {
        match found {
            BlockRead::Block { location, records } => {
                let source: &Source = &r.sources[location.source as usize];
                records
                    .iter()
                    .for_each(|(at, x)| counter.record(location.source, source, *at, x));
            }
            BlockRead::Damaged { .. } => counter.damaged_block(),
        }
    }
    counter.finish()
}

fn merged(files: &[Vec<u8>], ahead: &[Micros]) -> Vec<u8> {
    let mut readers: Vec<Opened> = files.iter().map(|f| open(f)).collect();
    let mut out = Vec::new();
    assert_eq!(merge(&mut readers, ahead, &mut out).expect("merged"), 0);
    out
}

fn cut_of(bytes: &[u8], wanted: &SelectionCriteria) -> (Vec<u8>, u64) {
    let mut out = Vec::new();
    let done = cut(&mut open(bytes), wanted, &mut out).expect("cut");
    (out, done.blocks_read)
}

/// Without the names, which differ by design.
fn bare(s: &Summary) -> (Vec<String>, Vec<String>) {
    let mut workers: Vec<String> = s.by_worker.values().map(|w| format!("{w:?}")).collect();
    let mut accounts: Vec<String> = s.by_account.values().map(|f| format!("{f:?}")).collect();
    workers.sort();
    accounts.sort();
    let rest = Summary {
        by_worker: Default::default(),
        by_account: Default::default(),
        ..s.clone()
    };
    workers.push(format!("{rest:?}"));
    (workers, accounts)
}

/// A dozen routers' files of one span, merged, a part cut out of it, stripped: the same counts as before stripping.
#[test]
fn merging_cutting_and_stripping_keep_the_counts() {
    let files: Vec<Vec<u8>> = (0..12).map(|n| other(n, n as Micros * MS)).collect();
    let whole = merged(&files, &[]);
    let one = summary(KEPT);
    let all = summary(&whole);
    assert_eq!((all.routers, all.invocations), (12, 12 * one.invocations));
    assert_eq!(all.outcomes.succeeded, 12 * one.outcomes.succeeded);
    let wall = open(KEPT).sources[0].start.wall_at_zero;
    let span = SelectionCriteria {
        from: Some(wall + 20 * MS),
        until: Some(wall + 40 * MS),
        ..SelectionCriteria::default()
    };
    let (part, read) = cut_of(&whole, &span);
    let counted = summary(&part);
    assert!(
        counted.invocations > 12 && counted.invocations < all.invocations,
        "{counted:?}"
    );
    assert!(
        read < small::block_locations(&whole).len() as u64,
        "blocks outside were not read"
    );
    let mut out = Vec::new();
    let mut secret = Pseudonymizer::new(b"a key");
    strip(&mut open(&part), &mut secret, &mut out).expect("stripped");
    assert_eq!(bare(&summary(&out)), bare(&counted));
    for original in ["quote:7", "127.0.0.1:1", "router-3", "amber"] {
        assert!(
            !String::from_utf8_lossy(&out).contains(original),
            "{original}"
        );
        let mut r = open(&out);
        assert!(!format!("{:?}", r.sources).contains(original), "{original}");
        while let Some(BlockRead::Block { records, .. }) = r.next().expect("read") {
            assert!(!format!("{records:?}").contains(original), "{original}");
        }
    }
    // The same name is the same pseudonym in every file, by the same key; by another it is another.
    let names = |bytes: &[u8], key: &[u8]| {
        let mut out = Vec::new();
        strip(&mut open(bytes), &mut Pseudonymizer::new(key), &mut out).expect("stripped");
        summary(&out).by_worker.into_keys().collect::<Vec<_>>()
    };
    assert_eq!(names(&files[0], b"k"), names(&files[5], b"k"));
    assert_ne!(names(&files[0], b"k"), names(&files[0], b"l"));
}

#[test]
fn a_merged_file_replays_by_source_and_a_cut_one_does_not() {
    let files: Vec<Vec<u8>> = (0..3).map(|n| other(n, 0)).collect();
    let whole = merged(&files, &[]);
    for source in 0..3 {
        let mut r = open(&whole);
        r.only_source = Some(source);
        let done = replay(&mut [r]).expect("a row");
        // Of an earlier module, perhaps: whatever differs, all or a first difference is told.
        assert!(done.decisions > 0 && done.stopped.is_none());
    }
    let (part, _) = cut_of(
        &whole,
        &SelectionCriteria {
            correlation_id: Some("x".into()),
            ..SelectionCriteria::default()
        },
    );
    assert_eq!(open(&part).sources[1].provenance, Provenance::Cut);
    let done = replay(&mut [open(&part)]).expect("told");
    assert!(done.stopped.is_some_and(|why| why.contains("whole")));
}

#[test]
fn a_cut_by_criterion_follows_whole_invocations() {
    let whole = summary(KEPT);
    let (name, at) = whole
        .by_worker
        .iter()
        .find(|(_, w)| w.dispatches > 0)
        .expect("one that was used");
    let worker = SelectionCriteria {
        worker: Some(name.clone()),
        ..SelectionCriteria::default()
    };
    let (part, _) = cut_of(KEPT, &worker);
    let counted = summary(&part);
    assert_eq!(&counted.by_worker[name], at);
    assert_eq!(counted.outcomes.succeeded, at.succeeded);
    let nobody = SelectionCriteria {
        account: Some("nobody".into()),
        ..SelectionCriteria::default()
    };
    assert_eq!(summary(&cut_of(KEPT, &nobody).0).invocations, 0);
    let all = SelectionCriteria {
        account: Some("amber".into()),
        function: Some("quote:7".into()),
        ..SelectionCriteria::default()
    };
    assert_eq!(
        summary(&cut_of(KEPT, &all).0).invocations,
        summary(KEPT).invocations
    );
}

/// The wall's clocks differ by minutes; what the list told both routers shows by how much.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn clock_offsets_are_estimated_from_endpoint_list_changes() {
    use cedarpulley::interface::{Endpoint, EndpointListKind, EndpointState};
    use cedarpulley_trace::blocks::BlockBuilder;
    let listed = |ahead: Micros, late: &[Micros]| {
        let start = open(KEPT).sources[0].start.clone();
        let start = StartRecord {
            wall_at_zero: start.wall_at_zero + ahead,
            ..start
        };
        let mut sheet = TraceFileWriter::begin(Vec::new(), &[start.into()]).expect("written");
        let mut g = BlockBuilder::default();
        for n in 0..9usize {
            for (change, state) in [
                EndpointState::InService,
                EndpointState::Draining,
                EndpointState::Gone,
            ]
            .into_iter()
            .enumerate()
            {
                let entry = Endpoint {
                    worker: n as u32,
                    fingerprint: 1000 + n as u64,
                    zone: 0,
                    machine_kind: 0,
                    cell: 0,
                    state,
                    weight: 1.0,
                    started_at: None,
                };
                let at = (n * 3 + change) as Micros * 1000 * MS + late.get(n).copied().unwrap_or(0);
                let event = RecordedEvent::List {
                    kind: EndpointListKind::Changes,
                    endpoints: vec![entry],
                };
                g.record(
                    at,
                    &Record::Decided {
                        event,
                        actions: Vec::new(),
                    },
                );
            }
        }
        sheet.write_block(0, &g.close()).expect("written");
        sheet.finish().expect("written")
    };
    let files = [
        listed(0, &[]),
        listed(180_000 * MS, &[0, 400 * MS]),
        KEPT.to_vec(),
    ];
    let mut offsets = Offsets::default();
    files
        .iter()
        .for_each(|f| offsets.file(&mut open(f)).expect("read"));
    let estimate = offsets.estimate();
    assert_eq!(estimate[0], Some((0, 18)));
    assert_eq!(
        estimate[1].map(|e| e.0),
        Some(180_000 * MS),
        "one late delivery moves no median"
    );
    assert_eq!(estimate[2], None, "too few changes in common");
    let both = merged(&files[..2], &[0, 180_000 * MS]);
    let s = summary(&both);
    assert!(
        s.until_wall_us
            .zip(s.from_wall_us)
            .is_some_and(|(b, a)| b - a < 30_000 * MS)
    );
}

#[test]
fn two_routers_with_one_fleet_position_are_reported() {
    let start = |router: &str, position: u32| {
        let mut start = open(KEPT).sources[0].start.clone();
        (
            start.router,
            start.startup.fleet.position,
            start.startup.fleet.routers,
        ) = (router.into(), position, 3);
        start
    };
    let file = |router: &str, position: u32, from: Micros, until: Micros| {
        let mut sheet =
            TraceFileWriter::begin(Vec::new(), &[start(router, position).into()]).expect("written");
        for at in [from, until] {
            let mut g = BlockBuilder::default();
            g.record(
                at,
                &Record::Gap {
                    records: 1,
                    from: at,
                    until: at,
                },
            );
            sheet.write_block(0, &g.close()).expect("written");
        }
        sheet.finish().expect("written")
    };
    let (minute, told) = (60_000 * MS, |files: &[Vec<u8>]| {
        summary(&merged(files, &[])).same_position
    });
    let (one, other) = (
        file("r-0", 0, 0, minute),
        file("r-1", 0, minute / 2, minute),
    );
    assert_eq!(
        told(&[one.clone(), other]),
        [("r-0".to_owned(), "r-1".to_owned())]
    );
    // Another place, or one after the other.
    assert!(told(&[one.clone(), file("r-1", 1, 0, minute)]).is_empty());
    assert!(told(&[one, file("r-1", 0, minute, 2 * minute)]).is_empty());
}
