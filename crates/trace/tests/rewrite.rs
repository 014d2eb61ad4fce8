//! Tests cutting, merging and stripping with the kept file of format 1, which current routers no longer write.

mod sample_trace;

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

/// Microseconds in a millisecond.
const MILLISECOND: Micros = 1_000;
/// A trace in format 1.
const FORMAT_1_TRACE: &[u8] = include_bytes!("kept/format-1.trace");

type OpenedTrace = Reader<Cursor<Vec<u8>>>;

fn open(bytes: &[u8]) -> OpenedTrace {
    Reader::open(Cursor::new(bytes.to_vec())).expect("a trace")
}

/// The kept file, as if router `n` had written it with its clock ahead by this time.
fn trace_of_router(n: usize, ahead: Micros) -> Vec<u8> {
    let mut reader = open(FORMAT_1_TRACE);
    let start = StartRecord {
        router: format!("router-{n}"),
        wall_at_zero: reader.sources[0].start.wall_at_zero + ahead,
        ..reader.sources[0].start.clone()
    };
    let mut file = TraceFileWriter::begin(Vec::new(), &[start.into()]).expect("written");
    for location in sample_trace::block_locations(FORMAT_1_TRACE) {
        let (header, packed) = reader.packed(&location).expect("read").expect("whole");
        let checksum = header.checksum_over(2, &packed);
        let header = cedarpulley_trace::blocks::BlockHeader { checksum, ..header };
        file.write_packed(&header, &packed).expect("written");
    }
    file.finish().expect("written")
}

fn summary(bytes: &[u8]) -> Summary {
    let (mut reader, mut builder) = (open(bytes), SummaryBuilder::default());
    builder.begin_file(&reader.sources);
    while let Some(found) = reader.next().expect("read") {
        match found {
            BlockRead::Block { location, records } => {
                let source: &Source = &reader.sources[location.source as usize];
                records
                    .iter()
                    .for_each(|(at, record)| builder.record(location.source, source, *at, record));
            }
            BlockRead::Damaged { .. } => builder.damaged_block(),
        }
    }
    builder.finish()
}

fn merged(files: &[Vec<u8>], ahead: &[Micros]) -> Vec<u8> {
    let mut readers: Vec<OpenedTrace> = files.iter().map(|f| open(f)).collect();
    let mut out = Vec::new();
    assert_eq!(merge(&mut readers, ahead, &mut out).expect("merged"), 0);
    out
}

/// The file with the wanted records, and the number of blocks read.
fn cut_of(bytes: &[u8], wanted: &SelectionCriteria) -> (Vec<u8>, u64) {
    let mut out = Vec::new();
    let result = cut(&mut open(bytes), wanted, &mut out).expect("cut");
    (out, result.blocks_read)
}

/// The counts of a summary without the names of workers and accounts, which stripping replaces.
fn without_names(summary: &Summary) -> (Vec<String>, Vec<String>) {
    let mut workers: Vec<String> = summary
        .by_worker
        .values()
        .map(|w| format!("{w:?}"))
        .collect();
    let mut accounts: Vec<String> = summary
        .by_account
        .values()
        .map(|o| format!("{o:?}"))
        .collect();
    workers.sort();
    accounts.sort();
    let rest = Summary {
        by_worker: Default::default(),
        by_account: Default::default(),
        ..summary.clone()
    };
    workers.push(format!("{rest:?}"));
    (workers, accounts)
}

/// Guards against records that are lost when files are rewritten: the files of twelve routers are merged, a part is cut
/// out and stripped, and the counts must be the same before and after stripping.
#[test]
fn merging_cutting_and_stripping_keep_the_counts() {
    let files: Vec<Vec<u8>> = (0..12)
        .map(|n| trace_of_router(n, n as Micros * MILLISECOND))
        .collect();
    let whole = merged(&files, &[]);
    let one = summary(FORMAT_1_TRACE);
    let all = summary(&whole);
    assert_eq!((all.routers, all.invocations), (12, 12 * one.invocations));
    assert_eq!(all.outcomes.succeeded, 12 * one.outcomes.succeeded);
    let wall = open(FORMAT_1_TRACE).sources[0].start.wall_at_zero;
    let span = SelectionCriteria {
        from: Some(wall + 20 * MILLISECOND),
        until: Some(wall + 40 * MILLISECOND),
        ..SelectionCriteria::default()
    };
    let (part, read) = cut_of(&whole, &span);
    let part_summary = summary(&part);
    assert!(
        part_summary.invocations > 12 && part_summary.invocations < all.invocations,
        "{part_summary:?}"
    );
    assert!(
        read < sample_trace::block_locations(&whole).len() as u64,
        "blocks outside the span are not read"
    );
    let mut out = Vec::new();
    let mut pseudonymizer = Pseudonymizer::new(b"a key");
    strip(&mut open(&part), &mut pseudonymizer, &mut out).expect("stripped");
    assert_eq!(without_names(&summary(&out)), without_names(&part_summary));
    for original in ["quote:7", "127.0.0.1:1", "router-3", "amber"] {
        assert!(
            !String::from_utf8_lossy(&out).contains(original),
            "{original}"
        );
        let mut reader = open(&out);
        assert!(
            !format!("{:?}", reader.sources).contains(original),
            "{original}"
        );
        while let Some(BlockRead::Block { records, .. }) = reader.next().expect("read") {
            assert!(!format!("{records:?}").contains(original), "{original}");
        }
    }
    // With the same key, a name has the same pseudonym in every file; with another key, it has another one.
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
    let files: Vec<Vec<u8>> = (0..3).map(|n| trace_of_router(n, 0)).collect();
    let whole = merged(&files, &[]);
    for source in 0..3 {
        let mut reader = open(&whole);
        reader.only_source = Some(source);
        let result = replay(&mut [reader]).expect("a series");
        // The kept file may be from an earlier balancer: the replay may end at a first difference.
        assert!(result.decisions > 0 && result.stopped.is_none());
    }
    let (part, _) = cut_of(
        &whole,
        &SelectionCriteria {
            correlation_id: Some("x".into()),
            ..SelectionCriteria::default()
        },
    );
    assert_eq!(open(&part).sources[1].provenance, Provenance::Cut);
    let result = replay(&mut [open(&part)]).expect("a result");
    assert!(result.stopped.is_some_and(|why| why.contains("whole")));
}

#[test]
fn a_cut_by_criterion_follows_whole_invocations() {
    let whole = summary(FORMAT_1_TRACE);
    let (name, counts) = whole
        .by_worker
        .iter()
        .find(|(_, w)| w.dispatches > 0)
        .expect("a worker with a dispatch");
    let worker = SelectionCriteria {
        worker: Some(name.clone()),
        ..SelectionCriteria::default()
    };
    let (part, _) = cut_of(FORMAT_1_TRACE, &worker);
    let part_summary = summary(&part);
    assert_eq!(&part_summary.by_worker[name], counts);
    assert_eq!(part_summary.outcomes.succeeded, counts.succeeded);
    let unknown_account = SelectionCriteria {
        account: Some("nobody".into()),
        ..SelectionCriteria::default()
    };
    assert_eq!(
        summary(&cut_of(FORMAT_1_TRACE, &unknown_account).0).invocations,
        0
    );
    let all = SelectionCriteria {
        account: Some("amber".into()),
        function: Some("quote:7".into()),
        ..SelectionCriteria::default()
    };
    assert_eq!(
        summary(&cut_of(FORMAT_1_TRACE, &all).0).invocations,
        summary(FORMAT_1_TRACE).invocations
    );
}

/// The wall clocks of two routers differ by minutes; the offset is estimated from the endpoint list changes that both
/// recorded.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases in order"
)]
fn clock_offsets_are_estimated_from_endpoint_list_changes() {
    use cedarpulley::interface::{Endpoint, EndpointListKind, EndpointState};
    use cedarpulley_trace::blocks::BlockBuilder;
    let trace_with_changes = |ahead: Micros, delays: &[Micros]| {
        let start = open(FORMAT_1_TRACE).sources[0].start.clone();
        let start = StartRecord {
            wall_at_zero: start.wall_at_zero + ahead,
            ..start
        };
        let mut file = TraceFileWriter::begin(Vec::new(), &[start.into()]).expect("written");
        let mut block = BlockBuilder::default();
        for n in 0..9usize {
            for (change, state) in [
                EndpointState::InService,
                EndpointState::Draining,
                EndpointState::Gone,
            ]
            .into_iter()
            .enumerate()
            {
                let endpoint = Endpoint {
                    worker: n as u32,
                    fingerprint: 1000 + n as u64,
                    zone: 0,
                    machine_kind: 0,
                    cell: 0,
                    state,
                    weight: 1.0,
                    started_at: None,
                };
                let at = (n * 3 + change) as Micros * 1000 * MILLISECOND
                    + delays.get(n).copied().unwrap_or(0);
                let event = RecordedEvent::List {
                    kind: EndpointListKind::Changes,
                    endpoints: vec![endpoint],
                };
                block.record(
                    at,
                    &Record::Decided {
                        event,
                        actions: Vec::new(),
                    },
                );
            }
        }
        file.write_block(0, &block.close()).expect("written");
        file.finish().expect("written")
    };
    let files = [
        trace_with_changes(0, &[]),
        trace_with_changes(180_000 * MILLISECOND, &[0, 400 * MILLISECOND]),
        FORMAT_1_TRACE.to_vec(),
    ];
    let mut offsets = Offsets::default();
    files
        .iter()
        .for_each(|f| offsets.file(&mut open(f)).expect("read"));
    let estimate = offsets.estimate();
    assert_eq!(estimate[0], Some((0, 18)));
    assert_eq!(
        estimate[1].map(|e| e.0),
        Some(180_000 * MILLISECOND),
        "one delayed delivery does not change the median"
    );
    assert_eq!(
        estimate[2], None,
        "the files have too few changes in common"
    );
    let both = merged(&files[..2], &[0, 180_000 * MILLISECOND]);
    let summary = summary(&both);
    assert!(
        summary
            .until_wall_us
            .zip(summary.from_wall_us)
            .is_some_and(|(until, from)| until - from < 30_000 * MILLISECOND)
    );
}

#[test]
fn two_routers_with_one_fleet_position_are_reported() {
    let start = |router: &str, position: u32| {
        let mut start = open(FORMAT_1_TRACE).sources[0].start.clone();
        (
            start.router,
            start.startup.fleet.position,
            start.startup.fleet.routers,
        ) = (router.into(), position, 3);
        start
    };
    let file = |router: &str, position: u32, from: Micros, until: Micros| {
        let mut file =
            TraceFileWriter::begin(Vec::new(), &[start(router, position).into()]).expect("written");
        for at in [from, until] {
            let mut block = BlockBuilder::default();
            block.record(
                at,
                &Record::Gap {
                    records: 1,
                    from: at,
                    until: at,
                },
            );
            file.write_block(0, &block.close()).expect("written");
        }
        file.finish().expect("written")
    };
    let (minute, reported) = (60_000 * MILLISECOND, |files: &[Vec<u8>]| {
        summary(&merged(files, &[])).same_position
    });
    let (one, other) = (
        file("r-0", 0, 0, minute),
        file("r-1", 0, minute / 2, minute),
    );
    assert_eq!(
        reported(&[one.clone(), other]),
        [("r-0".to_owned(), "r-1".to_owned())]
    );
    // Another position, or the same position one after the other.
    assert!(reported(&[one.clone(), file("r-1", 1, 0, minute)]).is_empty());
    assert!(reported(&[one, file("r-1", 0, minute, 2 * minute)]).is_empty());
}
