//! The bytes of the present trace format, 3, are those of the build that wrote `fixtures/format-3.trace` (a whole file
//! with sources, blocks, index and footer) and `fixtures/records.hex` (a line for each kind of record, event and
//! action, and for each value of their enumerations). Both were written once; `every_record` has the values.
//! That files of formats 1 and 2 open is tested in `files.rs`.

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

fn bytes(line: &str) -> Vec<u8> {
    let pairs = line.as_bytes().chunks(2);
    let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).expect("ASCII"), 16);
    pairs.map(|pair| byte(pair).expect("two digits")).collect()
}

/// A record with its source and time.
type Sourced = (u32, Micros, Record);

/// All records of a file.
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

/// Writes what was read.
fn written_again(sources: &[Source], records: &[Sourced]) -> Vec<u8> {
    let mut sheet = TraceFileWriter::begin(Vec::new(), sources).expect("written");
    for block in records.chunk_by(|a, b| a.0 == b.0) {
        let mut gather = BlockBuilder::default();
        block.iter().for_each(|(_, at, r)| gather.record(*at, r));
        sheet
            .write_block(block[0].0, &gather.close())
            .expect("written");
    }
    sheet.finish().expect("written")
}

#[test]
fn every_record_keeps_its_bytes() {
    let all = every_record::all();
    assert_eq!(RECORDS.lines().count(), all.len());
    let function = fingerprint("quote:7");
    for (line, record) in RECORDS.lines().zip(&all) {
        let (kept, mut put) = (bytes(line), Encoder::default());
        record_codec::encode_record(&mut put, record);
        assert_eq!(put.bytes, kept, "{record:?}");
        let mut get = Decoder::new(&kept);
        let decoded = record_codec::decode_record(&mut get, &|_| function).expect("readable");
        assert!(get.is_empty(), "{record:?}");
        assert_eq!(format!("{decoded:?}"), format!("{record:?}"));
    }
}

#[test]
fn a_decision_without_copying_its_event_has_the_same_bytes() {
    let lines = RECORDS.lines().zip(every_record::all());
    let mut decisions = 0;
    for (line, record) in lines {
        if let Record::Decided { event, actions } = record {
            let mut put = Encoder::default();
            record_codec::encode_decided(&mut put, &event.event(), &actions);
            assert_eq!(put.bytes, bytes(line), "{event:?}, {actions:?}");
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
        "the values are written as they were"
    );
    let (reader, records) = read(FILE);
    assert_eq!(
        (reader.format, reader.ended.clone()),
        (3, Some(FileEnd::Complete))
    );
    assert!(
        written_again(&reader.sources, &records) == FILE,
        "what was read is written as it was"
    );
}

#[test]
fn the_records_of_a_whole_file_keep_their_meaning() {
    let (_, records) = read(FILE);
    let told = |records: &[(Micros, Record)]| format!("{records:#?}");
    let first = records.iter().filter(|(source, ..)| *source == 0);
    let first: Vec<_> = first.map(|(_, at, r)| (*at, r.clone())).collect();
    assert_eq!(told(&first), told(&every_record::timed()));
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
    let kept = &FILE[16..16 + size];
    let values = every_record::sources();
    assert_eq!(encode_sources(&values), kept);
    assert_eq!(
        encode_sources(&decode_sources(FORMAT, kept).expect("sources")),
        kept
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
