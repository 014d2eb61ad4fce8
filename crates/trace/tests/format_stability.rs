//! Guards against unintended changes of the trace format 3: records must be encoded as in `fixtures/format-3.trace` (a
//! whole file with sources, blocks, index and footer) and `fixtures/records.hex` (a line for each kind of record, event
//! and action, and for each value of their enumerations then). Both were written once; `every_record` has the values.
//! `file_format.rs` tests that files of formats 1 and 2 can be read.

mod every_record;

use std::io::Cursor;

use cedarpulley::ids::fingerprint;
use cedarpulley::interface::*;
use cedarpulley_router::{AnswerReason, FinalOutcome};
use cedarpulley_trace::blocks::{BlockBuilder, FORMAT};
use cedarpulley_trace::codec::{Decoder, Encoder};
use cedarpulley_trace::reader::{BlockRead, FileEnd, Reader};
use cedarpulley_trace::record_codec;
use cedarpulley_trace::records::{Record, RecordedEvent};
use cedarpulley_trace::start::Source;
use cedarpulley_trace::start_codec::{decode_sources, encode_sources};
use cedarpulley_trace::writer::TraceFileWriter;

const FILE: &[u8] = include_bytes!("fixtures/format-3.trace");
const RECORDS: &str = include_str!("fixtures/records.hex");

/// Decodes a line of hexadecimal digits.
fn bytes(line: &str) -> Vec<u8> {
    let pairs = line.as_bytes().chunks(2);
    let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).expect("ASCII"), 16);
    pairs.map(|pair| byte(pair).expect("two digits")).collect()
}

/// A record with the number of its source and its router time.
type Sourced = (u32, Micros, Record);

/// Reads all records of a file.
fn read(file: &[u8]) -> (Reader<Cursor<&[u8]>>, Vec<Sourced>) {
    let mut reader = Reader::open(Cursor::new(file)).expect("a trace");
    let mut all = Vec::new();
    while let Some(found) = reader.next().expect("read") {
        let BlockRead::Block { location, records } = found else {
            panic!("a damaged block");
        };
        all.extend(records.into_iter().map(|(at, r)| (location.source, at, r)));
    }
    (reader, all)
}

/// Writes the records to a new file.
fn written_again(sources: &[Source], records: &[Sourced]) -> Vec<u8> {
    let mut file = TraceFileWriter::begin(Vec::new(), sources).expect("written");
    for records in records.chunk_by(|a, b| a.0 == b.0) {
        let mut block = BlockBuilder::default();
        records.iter().for_each(|(_, at, r)| block.record(*at, r));
        file.write_block(records[0].0, &block.close())
            .expect("written");
    }
    file.finish().expect("written")
}

#[test]
fn every_record_keeps_its_bytes() {
    let all = every_record::all();
    assert_eq!(RECORDS.lines().count(), all.len());
    let function = fingerprint("quote:7");
    for (line, record) in RECORDS.lines().zip(&all) {
        let (expected, mut encoder) = (bytes(line), Encoder::default());
        record_codec::encode_record(&mut encoder, record);
        assert_eq!(encoder.bytes, expected, "{record:?}");
        let mut decoder = Decoder::new(&expected);
        let decoded = record_codec::decode_record(&mut decoder, &|_| function).expect("readable");
        assert!(decoder.is_empty(), "{record:?}");
        assert_eq!(format!("{decoded:?}"), format!("{record:?}"));
    }
}

#[test]
fn a_decision_encoded_without_copying_its_event_has_the_same_bytes() {
    let lines = RECORDS.lines().zip(every_record::all());
    let mut decisions = 0;
    for (line, record) in lines {
        if let Record::Decided { event, actions } = record {
            let mut encoder = Encoder::default();
            record_codec::encode_decided(&mut encoder, &event.event(), &actions);
            assert_eq!(encoder.bytes, bytes(line), "{event:?}, {actions:?}");
            decisions += 1;
        }
    }
    assert!(decisions > 60, "{decisions}");
}

#[test]
fn a_whole_file_keeps_its_bytes() {
    assert_eq!(FORMAT, 3);
    assert!(
        every_record::file() == FILE,
        "the values are encoded as in the fixture"
    );
    let (reader, records) = read(FILE);
    assert_eq!(
        (reader.format, reader.ended.clone()),
        (3, Some(FileEnd::Complete))
    );
    assert!(
        written_again(&reader.sources, &records) == FILE,
        "records that were read are encoded as in the fixture"
    );
}

#[test]
fn the_records_of_a_whole_file_keep_their_meaning() {
    let (_, records) = read(FILE);
    let text = |records: &[(Micros, Record)]| format!("{records:#?}");
    let first = records.iter().filter(|(source, ..)| *source == 0);
    let first: Vec<_> = first.map(|(_, at, r)| (*at, r.clone())).collect();
    assert_eq!(text(&first), text(&every_record::timed()));
    let Some((
        3,
        9_000,
        Record::Answered {
            invocation,
            outcome,
            reason,
            took,
            ..
        },
    )) = records.last()
    else {
        panic!("{:?}", records.last());
    };
    assert_eq!(
        (*invocation, *outcome, *reason, *took),
        (
            Some(12),
            FinalOutcome::Errored,
            AnswerReason::Overdue,
            2_400
        )
    );
    let arrival = records.iter().find_map(|(_, _, r)| match r {
        Record::Decided {
            event: RecordedEvent::Other(Event::Invocation(a)),
            ..
        } => Some(*a),
        _ => None,
    });
    let arrival = arrival.expect("an arrival");
    assert_eq!(
        (
            arrival.invocation,
            arrival.trigger,
            arrival.account,
            arrival.function
        ),
        (11, 1, 2, 0)
    );
    assert_eq!(
        (arrival.copy_mb, arrival.lanes, arrival.waited),
        (12.5, 8, 15)
    );
}

#[test]
fn start_records_keep_their_bytes() {
    let (reader, _) = read(FILE);
    let size = u32::from_le_bytes(FILE[12..16].try_into().expect("four bytes")) as usize;
    let expected = &FILE[16..16 + size];
    let values = every_record::sources();
    assert_eq!(encode_sources(&values), expected);
    assert_eq!(
        encode_sources(&decode_sources(FORMAT, expected).expect("sources")),
        expected
    );
    assert_eq!(format!("{:#?}", reader.sources), format!("{values:#?}"));
    let (source, fleet) = (&reader.sources[2], reader.sources[2].start.startup.fleet);
    assert_eq!(
        (
            source.clock_ahead,
            source.start.router.as_str(),
            source.start.seed
        ),
        (3_000, "router-2", 9)
    );
    assert_eq!((fleet.routers, fleet.position, fleet.zone), (5, 3, 1));
}

/// Encodes a record.
fn encoded(record: &Record) -> Vec<u8> {
    let mut encoder = Encoder::default();
    record_codec::encode_record(&mut encoder, record);
    encoder.bytes
}

/// Replaces the last outcome or result that the fixtures contain by the one that was added after it, and returns the
/// record with the tag of the added value; `None` for other records.
fn with_added_value(record: &Record) -> Option<(Record, u8)> {
    let Record::Decided { event, actions } = record else {
        return None;
    };
    let RecordedEvent::Other(mut event) = event.clone() else {
        return None;
    };
    let tag = match &mut event {
        Event::DispatchEnded(DispatchEnded { outcome, .. }) | Event::ProbeEnded { outcome, .. }
            if *outcome == DispatchOutcome::NotLoaded =>
        {
            *outcome = DispatchOutcome::NoConnection;
            9
        }
        Event::OrderEnded { result, .. } if *result == LoadOrderResult::TimedOut => {
            *result = LoadOrderResult::NotSent;
            6
        }
        _ => return None,
    };
    let record = Record::Decided {
        event: RecordedEvent::Other(event),
        actions: actions.clone(),
    };
    Some((record, tag))
}

/// Values that were added after the fixtures had been written take the next tags; the other bytes stay the same.
#[test]
fn values_added_since_have_the_next_tags() {
    let function = fingerprint("quote:7");
    let mut added = 0;
    for record in every_record::all() {
        let Some((record_with_value, tag)) = with_added_value(&record) else {
            continue;
        };
        let (before, after) = (encoded(&record), encoded(&record_with_value));
        let changes: Vec<(u8, u8)> = before
            .iter()
            .zip(&after)
            .filter(|(old, new)| old != new)
            .map(|(old, new)| (*old, *new))
            .collect();
        assert_eq!(before.len(), after.len());
        assert_eq!(changes, [(tag - 1, tag)]);
        let decoded = record_codec::decode_record(&mut Decoder::new(&after), &|_| function)
            .expect("readable");
        assert_eq!(format!("{decoded:?}"), format!("{record_with_value:?}"));
        added += 1;
    }
    assert_eq!(added, 3);
}
