//! Files cut anywhere, damaged, unknown; records that round-trip; a replay that finds what was changed.

mod small;

use std::io::Cursor;

use cedarpulley::interface::*;
use cedarpulley_trace::blocks::BlockBuilder;
use cedarpulley_trace::codec::{Decoder, Encoder};
use cedarpulley_trace::reader::{BlockRead, FileEnd, Reader};
use cedarpulley_trace::record_codec;
use cedarpulley_trace::records::{NameKind, Record, RecordedEvent};
use cedarpulley_trace::replay::replay;
use cedarpulley_trace::retention::{AfterWrite, Retention, RetentionLimits};
use cedarpulley_trace::start::StartRecord;
use cedarpulley_trace::writer::{FileSeries, NameLock, WriterMessage, run_writer};
use proptest::prelude::*;
use small::{MS, block_locations, start, written};

/// Whole blocks, damaged ones, and how it ended.
fn read(bytes: &[u8]) -> Option<(usize, usize, Option<FileEnd>)> {
    let mut r = Reader::open(Cursor::new(bytes)).ok()?;
    let (mut whole, mut damaged) = (0, 0);
    while let Some(found) = r.next().expect("memory does not fail") {
        match found {
            BlockRead::Block { .. } => whole += 1,
            BlockRead::Damaged { .. } => damaged += 1,
        }
    }
    Some((whole, damaged, r.ended))
}

#[test]
fn a_file_truncated_at_any_byte_is_read_up_to_its_last_whole_block() {
    let bytes = written(4, |_, _| {});
    assert_eq!(read(&bytes), Some((4, 0, Some(FileEnd::Complete))));
    let index = block_locations(&bytes);
    let ends: Vec<u64> = index.iter().skip(1).map(|p| p.offset).collect();
    for cut in 0..bytes.len() {
        match read(&bytes[..cut]) {
            None => assert!((cut as u64) < index[0].offset, "{cut}"),
            Some((whole, damaged, ended)) => {
                let wanted = ends.iter().filter(|e| **e <= cut as u64).count();
                assert!(
                    damaged == 0 && (wanted..=wanted + 1).contains(&whole),
                    "{cut}: {whole}"
                );
                assert!(
                    matches!(ended, Some(FileEnd::Truncated { .. })),
                    "{cut}: {ended:?}"
                );
            }
        }
    }
}

#[test]
fn a_flipped_bit_costs_one_block_at_most() {
    let bytes = written(4, |_, _| {});
    let first = block_locations(&bytes)[0].offset as usize;
    for at in 0..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[at] ^= 1 << (at % 8);
        match read(&flipped) {
            None => assert!(at < first, "{at}: only a damaged head makes it unreadable"),
            Some((whole, damaged, _)) => {
                assert!(
                    whole + damaged >= 3 && whole >= 3 && damaged <= 1,
                    "{at}: {whole}, {damaged}"
                );
            }
        }
    }
}

#[test]
fn unknown_formats_and_other_files_are_rejected_in_one_line() {
    let mut bytes = written(1, |_, _| {});
    let why = |bytes: &[u8]| {
        Reader::open(Cursor::new(bytes))
            .err()
            .expect("refused")
            .to_string()
    };
    bytes[8] = 200;
    assert!(why(&bytes).contains("format 200"));
    assert_eq!(
        why(b"PNG, perhaps, and long enough"),
        "the file is not a trace"
    );
    assert!(why(b"").contains("too short"));
}

/// Symptom: the index of a gone worker goes to another within a block, and what the new one did bears the old
/// one's name.
#[test]
fn a_reassigned_index_is_named_again_within_its_block() {
    let mut g = BlockBuilder::default();
    ["a", "a", "b", "b", "a"]
        .iter()
        .for_each(|name| g.name(0, NameKind::Worker, 3, name));
    assert_eq!(g.records(), 3);
}

/// Kept from the day format 1 was made: it opens for ever.
#[test]
fn a_kept_file_of_format_1_opens() {
    let bytes = include_bytes!("kept/format-1.trace");
    assert_eq!(read(bytes), Some((4, 0, Some(FileEnd::Complete))));
    let mut r = Reader::open(Cursor::new(bytes)).expect("a trace");
    assert_eq!(
        (
            r.format,
            r.sources[0].start.seed,
            r.sources[0].start.router.as_str()
        ),
        (1, 9, "router-0")
    );
    let mut seen = 0;
    let touched = r
        .within(|_| (20 * MS, 21 * MS), |_| seen += 1)
        .expect("read");
    assert_eq!((touched, seen), (1, 1), "by its index, without the rest");
}

/// And one of format 2, with two sources.
#[test]
fn a_kept_file_of_format_2_opens() {
    let bytes = include_bytes!("kept/format-2.trace");
    assert_eq!(read(bytes), Some((6, 0, Some(FileEnd::Complete))));
    let r = Reader::open(Cursor::new(bytes)).expect("a trace");
    let names: Vec<&str> = r.sources.iter().map(|s| s.start.router.as_str()).collect();
    assert_eq!(
        (r.format, names, r.sources[1].clock_ahead),
        (2, vec!["router-0", "router-0"], 5 * MS)
    );
}

#[test]
fn a_replay_reports_no_difference_or_the_first_changed_decision() {
    let rerun = |bytes: &[u8]| {
        replay(&mut [Reader::open(Cursor::new(bytes)).expect("a trace")]).expect("a row")
    };
    let same = rerun(&written(5, |_, _| {}));
    assert!(same.same_module && same.difference.is_none() && same.stopped.is_none());
    assert!(same.decisions > 30, "{}", same.decisions);
    let other = rerun(&written(5, |n, actions| {
        if n == 20 {
            actions.push(Action::RequestEndpointList { watch: false });
        }
    }));
    let found = other.difference.expect("it was changed");
    assert_eq!(
        (found.decision, found.recorded.len()),
        (20, found.replayed.len() + 1)
    );
}

#[test]
fn files_end_by_size_and_age_and_old_files_are_deleted() {
    let bounds = RetentionLimits {
        file_bytes: 100,
        file_age: 1000,
        budget_bytes: 350,
    };
    let mut k = Retention::new(bounds);
    k.began(0);
    assert_eq!(
        (k.wrote(1, 60), k.wrote(2, 60)),
        (AfterWrite::KeepFile, AfterWrite::EndFile)
    );
    k.began(2);
    assert_eq!(
        (k.wrote(3, 10), k.wrote(1002, 10)),
        (AfterWrite::KeepFile, AfterWrite::EndFile)
    );
    assert_eq!(
        (
            k.files_to_delete(&[100, 100, 50]),
            k.files_to_delete(&[100, 100, 51]),
            k.files_to_delete(&[900])
        ),
        (0, 1, 1)
    );
    // A disk that fails is left alone for a while, longer each time.
    k.failed(0);
    assert!(!k.may_write(999_999) && k.may_write(1_000_000));
    k.failed(1_000_000);
    assert!(!k.may_write(2_999_999) && k.may_write(3_000_000));
}

/// Symptom: a disk takes a name and no bytes. The name is spent; the row goes on under the next, and its loss is told.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn writing_goes_on_after_a_file_that_could_not_be_begun() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("spent");
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let row = FileSeries {
        folder,
        name: "r".into(),
        started_at_ms: 7,
    };
    std::fs::write(row.file(0), "spent").expect("written");
    let block = |at: Micros| {
        let mut g = BlockBuilder::default();
        g.record(
            at,
            &Record::Decided {
                event: RecordedEvent::Other(Event::Timer { token: 1 }),
                actions: vec![],
            },
        );
        WriterMessage::Block(at, g.close())
    };
    let (notes, received) = std::sync::mpsc::channel();
    for note in [
        block(0),
        block(10 * MS),
        block(2_000 * MS),
        block(2_001 * MS),
        WriterMessage::End,
    ] {
        notes.send(note).expect("sent");
    }
    let complaints = std::cell::Cell::new(0);
    let bounds = RetentionLimits {
        file_bytes: 1 << 20,
        file_age: Micros::MAX,
        budget_bytes: 8 << 20,
    };
    run_writer(row.clone(), start(), bounds, received, |_| {
        complaints.set(complaints.get() + 1)
    });
    assert_eq!(complaints.get(), 1);
    let mut r = Reader::open(std::fs::File::open(row.file(1)).expect("there")).expect("a trace");
    assert_eq!(
        r.sources[0].start.file_number, 0,
        "the first of its row all the same"
    );
    let mut told = Vec::new();
    while let Some(BlockRead::Block { records, .. }) = r.next().expect("read") {
        told.extend(records.into_iter().map(|(_, record)| record));
    }
    assert!(
        matches!(
            told[0],
            Record::Gap {
                records: 2,
                from: 0,
                until: 10_000
            }
        ),
        "{told:?}"
    );
    assert_eq!((told.len(), r.ended), (3, Some(FileEnd::Complete)));
}

#[test]
fn two_writers_of_one_name_use_separate_files() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("one-name");
    std::fs::create_dir_all(&folder).expect("a folder");
    let one = NameLock::acquire(&folder, "r").expect("the name");
    let other = NameLock::acquire(&folder, "r").expect("another");
    assert_eq!((one.name.as_str(), other.name.as_str()), ("r", "r_2"));
    std::fs::write(folder.join("r_2-0000000000001-00000.trace"), b"theirs").expect("written");
    let row = |own: &NameLock| FileSeries {
        folder: folder.clone(),
        name: own.name.clone(),
        started_at_ms: 5,
    };
    assert!(row(&one).earlier(0).expect("read").is_empty());
    assert_eq!(row(&other).earlier(0).expect("read").len(), 1);
    drop(one);
    assert_eq!(
        NameLock::acquire(&folder, "r").expect("free again").name,
        "r"
    );
}

fn report() -> impl Strategy<Value = LoadReport> {
    let f = || {
        prop::option::of(any::<f64>().prop_filter("no NaN, as it equals nothing", |f| !f.is_nan()))
    };
    (f(), f(), f(), f(), f()).prop_map(
        |(in_flight, queued, utilization, loads_in_progress, memory_fraction)| LoadReport {
            in_flight,
            queued,
            utilization,
            loads_in_progress,
            memory_fraction,
        },
    )
}

#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn event() -> impl Strategy<Value = Event<'static>> {
    let n = any::<u32>;
    let t = any::<i64>;
    prop_oneof![
        (
            n(),
            n(),
            n(),
            prop::option::of(t()),
            any::<f64>(),
            t(),
            t(),
            any::<bool>()
        )
            .prop_map(
                |(
                    invocation,
                    trigger,
                    lanes,
                    cost_hint,
                    copy_mb,
                    client_timeout_in,
                    waited,
                    repeat,
                )| {
                    Event::Invocation(Arrival {
                        invocation,
                        trigger,
                        account: 3,
                        function: 4,
                        fingerprint: 0,
                        cost_hint,
                        load_hint: None,
                        copy_mb,
                        lanes,
                        client_timeout_in,
                        waited,
                        repeat,
                        preferred_worker: (invocation % 3 == 0).then_some(lanes),
                    })
                }
            ),
        n().prop_map(|invocation| Event::ClientLeft { invocation }),
        (n(), n(), n()).prop_map(|(invocation, dispatch, worker)| Event::AnswerStarted {
            invocation,
            dispatch,
            worker
        }),
        (
            n(),
            n(),
            t(),
            any::<bool>(),
            prop::option::of(n()),
            report()
        )
            .prop_map(
                |(invocation, worker, took, answered, function_load, report)| {
                    let (outcome, copy_status) =
                        (DispatchOutcome::NotLoaded, CopyStatus::LoadFailed);
                    Event::DispatchEnded(DispatchEnded {
                        invocation,
                        dispatch: 1,
                        worker,
                        outcome,
                        took,
                        answered,
                        copy_status,
                        function_load,
                        report,
                    })
                }
            ),
        (n(), n(), t()).prop_map(|(worker, function, took)| Event::OrderEnded {
            worker,
            function,
            result: LoadOrderResult::NoCapacity,
            took,
            copies: 2,
        }),
        (n(), t(), report()).prop_map(|(worker, took, report)| Event::ProbeEnded {
            worker,
            outcome: DispatchOutcome::TimedOut,
            took,
            report
        }),
        any::<u64>().prop_map(|token| Event::Timer { token }),
        t().prop_map(|until| Event::EndpointListLease { until }),
    ]
}

fn action() -> impl Strategy<Value = Action> {
    let n = any::<u32>;
    prop_oneof![
        (n(), n(), prop::option::of(any::<i64>())).prop_map(|(invocation, worker, timeout)| {
            Action::Dispatch {
                invocation,
                worker,
                timeout,
            }
        }),
        (n(), n()).prop_map(|(invocation, dispatch)| Action::Cancel {
            invocation,
            dispatch
        }),
        (n(), prop::option::of(any::<i64>())).prop_map(|(invocation, retry_after)| {
            Action::Reject {
                invocation,
                retry_after,
            }
        }),
        (n(), n(), n()).prop_map(|(worker, function, copies)| Action::LoadOrder {
            worker,
            function,
            copies
        }),
        (any::<u64>(), any::<i64>()).prop_map(|(token, after)| Action::Timer { token, after }),
        any::<bool>().prop_map(|watch| Action::RequestEndpointList { watch }),
        n().prop_map(|function| Action::ReleaseFunction { function }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_decision_round_trips(event in event(), actions in prop::collection::vec(action(), 0..6)) {
        let mut p = Encoder::default();
        record_codec::encode_decided(&mut p, &event, &actions);
        let mut g = Decoder::new(&p.bytes);
        let back = record_codec::decode_record(&mut g, &|_| 0).expect("readable");
        prop_assert!(g.is_empty());
        let Record::Decided { event: happened, actions: read } = back else { panic!("another record") };
        prop_assert_eq!(format!("{:?}", happened.event()), format!("{event:?}"));
        prop_assert_eq!(read, actions);
    }

    #[test]
    fn arbitrary_bytes_never_panic_the_reader(bytes in prop::collection::vec(any::<u8>(), 0..200), at in any::<prop::sample::Index>()) {
        let _ = StartRecord::decode(&bytes);
        let _ = cedarpulley_trace::blocks::unpack(&bytes, 0, 3);
        let mut whole = written(2, |_, _| {});
        let at = at.index(whole.len());
        whole.splice(at..at, bytes);
        let _ = read(&whole);
    }
}
