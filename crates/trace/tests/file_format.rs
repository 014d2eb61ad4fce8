//! Tests reading of truncated, damaged and unknown files, of files of earlier formats, round trips of records,
//! retention, recovery of the writer, and replay.

mod sample_trace;

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
use sample_trace::{MILLISECOND, block_locations, start, trace_file};

/// The numbers of whole and of damaged blocks, and how the file ended; absent if the file cannot be opened.
fn read(bytes: &[u8]) -> Option<(usize, usize, Option<FileEnd>)> {
    let mut reader = Reader::open(Cursor::new(bytes)).ok()?;
    let (mut whole, mut damaged) = (0, 0);
    while let Some(found) = reader.next().expect("reading from memory cannot fail") {
        match found {
            BlockRead::Block { .. } => whole += 1,
            BlockRead::Damaged { .. } => damaged += 1,
        }
    }
    Some((whole, damaged, reader.ended))
}

#[test]
fn a_file_truncated_at_any_byte_is_read_up_to_its_last_whole_block() {
    let bytes = trace_file(4, |_, _| {});
    assert_eq!(read(&bytes), Some((4, 0, Some(FileEnd::Complete))));
    let index = block_locations(&bytes);
    let ends: Vec<u64> = index.iter().skip(1).map(|p| p.offset).collect();
    for cut in 0..bytes.len() {
        match read(&bytes[..cut]) {
            None => assert!((cut as u64) < index[0].offset, "{cut}"),
            Some((whole, damaged, ended)) => {
                let complete = ends.iter().filter(|e| **e <= cut as u64).count();
                assert!(
                    damaged == 0 && (complete..=complete + 1).contains(&whole),
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
    let bytes = trace_file(4, |_, _| {});
    let first = block_locations(&bytes)[0].offset as usize;
    for at in 0..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[at] ^= 1 << (at % 8);
        match read(&flipped) {
            None => assert!(
                at < first,
                "{at}: only a damaged header makes the file unreadable"
            ),
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
    let mut bytes = trace_file(1, |_, _| {});
    let error = |bytes: &[u8]| {
        Reader::open(Cursor::new(bytes))
            .err()
            .expect("rejected")
            .to_string()
    };
    bytes[8] = 200;
    assert!(error(&bytes).contains("format 200"));
    assert_eq!(
        error(b"PNG, perhaps, and long enough"),
        "the file is not a trace"
    );
    assert!(error(b"").contains("too short"));
}

/// Guards against records with the name of the wrong worker, when the index of a removed worker is reused for another
/// worker within a block.
#[test]
fn a_reassigned_index_is_named_again_within_its_block() {
    let mut block = BlockBuilder::default();
    ["a", "a", "b", "b", "a"]
        .iter()
        .for_each(|name| block.name(0, NameKind::Worker, 3, name));
    assert_eq!(block.records(), 3);
}

/// The file was written when format 1 was current; later builds must be able to read it.
#[test]
fn a_kept_file_of_format_1_opens() {
    let bytes = include_bytes!("kept/format-1.trace");
    assert_eq!(read(bytes), Some((4, 0, Some(FileEnd::Complete))));
    let mut reader = Reader::open(Cursor::new(bytes)).expect("a trace");
    assert_eq!(
        (
            reader.format,
            reader.sources[0].start.seed,
            reader.sources[0].start.router.as_str()
        ),
        (1, 9, "router-0")
    );
    let mut passed = 0;
    let blocks_read = reader
        .within(|_| (20 * MILLISECOND, 21 * MILLISECOND), |_| passed += 1)
        .expect("read");
    assert_eq!(
        (blocks_read, passed),
        (1, 1),
        "only the block in the span is read, by the index"
    );
}

/// The file was written when format 2 was current, and has two sources.
#[test]
fn a_kept_file_of_format_2_opens() {
    let bytes = include_bytes!("kept/format-2.trace");
    assert_eq!(read(bytes), Some((6, 0, Some(FileEnd::Complete))));
    let reader = Reader::open(Cursor::new(bytes)).expect("a trace");
    let names: Vec<&str> = reader
        .sources
        .iter()
        .map(|s| s.start.router.as_str())
        .collect();
    assert_eq!(
        (reader.format, names, reader.sources[1].clock_ahead),
        (2, vec!["router-0", "router-0"], 5 * MILLISECOND)
    );
}

#[test]
fn a_replay_reports_no_difference_or_the_first_changed_decision() {
    let replay_file = |bytes: &[u8]| {
        replay(&mut [Reader::open(Cursor::new(bytes)).expect("a trace")]).expect("a series")
    };
    let same = replay_file(&trace_file(5, |_, _| {}));
    assert!(same.same_module && same.difference.is_none() && same.stopped.is_none());
    assert!(same.decisions > 30, "{}", same.decisions);
    let other = replay_file(&trace_file(5, |n, actions| {
        if n == 20 {
            actions.push(Action::RequestEndpointList { watch: false });
        }
    }));
    let found = other.difference.expect("the changed decision");
    assert_eq!(
        (found.decision, found.recorded.len()),
        (20, found.replayed.len() + 1)
    );
}

#[test]
fn files_end_by_size_and_age_and_old_files_are_deleted() {
    let limits = RetentionLimits {
        file_bytes: 100,
        file_age: 1000,
        budget_bytes: 350,
    };
    let mut retention = Retention::new(limits);
    retention.file_begun(0);
    assert_eq!(
        (retention.wrote(1, 60), retention.wrote(2, 60)),
        (AfterWrite::KeepFile, AfterWrite::EndFile)
    );
    retention.file_begun(2);
    assert_eq!(
        (retention.wrote(3, 10), retention.wrote(1002, 10)),
        (AfterWrite::KeepFile, AfterWrite::EndFile)
    );
    assert_eq!(
        (
            retention.files_to_delete(&[100, 100, 50]),
            retention.files_to_delete(&[100, 100, 51]),
            retention.files_to_delete(&[900])
        ),
        (0, 1, 1)
    );
    // After a disk failure, nothing is written until the backoff has passed; it doubles with each failure.
    retention.failed(0);
    assert!(!retention.may_write(999_999) && retention.may_write(1_000_000));
    retention.failed(1_000_000);
    assert!(!retention.may_write(2_999_999) && retention.may_write(3_000_000));
}

/// Guards against a trace that stops for good when a file name is in use, as after a disk created a file but could not
/// store its bytes. Writing must continue with the next number, and the lost records must be reported as a gap.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases in order"
)]
fn writing_continues_after_a_file_could_not_be_begun() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("spent");
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let series = FileSeries {
        folder,
        name: "r".into(),
        started_at_ms: 7,
    };
    std::fs::write(series.file(0), "spent").expect("written");
    let block = |at: Micros| {
        let mut builder = BlockBuilder::default();
        builder.record(
            at,
            &Record::Decided {
                event: RecordedEvent::Other(Event::Timer { token: 1 }),
                actions: vec![],
            },
        );
        WriterMessage::Block(at, builder.close())
    };
    let (messages, received) = std::sync::mpsc::channel();
    for message in [
        block(0),
        block(10 * MILLISECOND),
        block(2_000 * MILLISECOND),
        block(2_001 * MILLISECOND),
        WriterMessage::End,
    ] {
        messages.send(message).expect("sent");
    }
    let failures = std::cell::Cell::new(0);
    let limits = RetentionLimits {
        file_bytes: 1 << 20,
        file_age: Micros::MAX,
        budget_bytes: 8 << 20,
    };
    run_writer(series.clone(), start(), limits, received, |_| {
        failures.set(failures.get() + 1)
    });
    assert_eq!(failures.get(), 1);
    let mut reader =
        Reader::open(std::fs::File::open(series.file(1)).expect("a file")).expect("a trace");
    assert_eq!(
        reader.sources[0].start.file_number, 0,
        "it is still the first file of the series"
    );
    let mut read_records = Vec::new();
    while let Some(BlockRead::Block { records, .. }) = reader.next().expect("read") {
        read_records.extend(records.into_iter().map(|(_, record)| record));
    }
    assert!(
        matches!(
            read_records[0],
            Record::Gap {
                records: 2,
                from: 0,
                until: 10_000
            }
        ),
        "{read_records:?}"
    );
    assert_eq!(
        (read_records.len(), reader.ended),
        (3, Some(FileEnd::Complete))
    );
}

#[test]
fn two_writers_of_one_name_use_separate_files() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("one-name");
    std::fs::create_dir_all(&folder).expect("a folder");
    let one = NameLock::acquire(&folder, "r").expect("the name");
    let other = NameLock::acquire(&folder, "r").expect("another name");
    assert_eq!((one.name.as_str(), other.name.as_str()), ("r", "r_2"));
    std::fs::write(folder.join("r_2-0000000000001-00000.trace"), b"theirs").expect("written");
    let series = |lock: &NameLock| FileSeries {
        folder: folder.clone(),
        name: lock.name.clone(),
        started_at_ms: 5,
    };
    assert!(series(&one).earlier(0).expect("read").is_empty());
    assert_eq!(series(&other).earlier(0).expect("read").len(), 1);
    drop(one);
    assert_eq!(
        NameLock::acquire(&folder, "r").expect("free again").name,
        "r"
    );
}

fn report() -> impl Strategy<Value = LoadReport> {
    let field = || {
        prop::option::of(any::<f64>().prop_filter("NaN is not equal to itself", |f| !f.is_nan()))
    };
    (field(), field(), field(), field(), field()).prop_map(
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
    reason = "one scenario or table of cases in order"
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
        (t(), any::<bool>()).prop_map(|(until, discovery_lost)| {
            Event::DrainLease(DrainLease {
                until,
                discovery_lost,
            })
        }),
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
        let mut encoder = Encoder::default();
        record_codec::encode_decided(&mut encoder, &event, &actions);
        let mut decoder = Decoder::new(&encoder.bytes);
        let decoded = record_codec::decode_record(&mut decoder, &|_| 0).expect("readable");
        prop_assert!(decoder.is_empty());
        let Record::Decided { event: decoded_event, actions: decoded_actions } = decoded else { panic!("another record") };
        prop_assert_eq!(format!("{:?}", decoded_event.event()), format!("{event:?}"));
        prop_assert_eq!(decoded_actions, actions);
    }

    #[test]
    fn arbitrary_bytes_never_panic_the_reader(bytes in prop::collection::vec(any::<u8>(), 0..200), at in any::<prop::sample::Index>()) {
        let _ = StartRecord::decode(&bytes);
        let _ = cedarpulley_trace::blocks::unpack(&bytes, 0, 3);
        let mut whole = trace_file(2, |_, _| {});
        let at = at.index(whole.len());
        whole.splice(at..at, bytes);
        let _ = read(&whole);
    }
}
