//! Guards against a change of the group's store file under the same format version, after which a build could not read
//! the file of another build. The tests compare the written rows with expected rows, and read a whole file that an earlier
//! build wrote.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use bytes::Bytes;
use cedarpulley::interface::Micros;
use cedarpulley_gateway::peer_store::{PeerStore, StoreError};
use cedarpulley_gateway::peers::{RestoredState, StoreChanges};
use cedarpulley_replica::record::Choice;
use cedarpulley_replica::store::Origin;
use cedarpulley_replica::{
    Ballot, DispatchIntent, IntentState, Invocation, Key, Note, Record, RecordCopy, StoredAnswer,
};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

/// A file that an earlier build wrote.
const STORE_FILE: &[u8] = include_bytes!("fixtures/group.redb");
/// The expected rows of its tables.
const ROWS: &str = include_str!("fixtures/group_rows.txt");

const ABOUT: TableDefinition<&str, u64> = TableDefinition::new("about");
const RECORDS: TableDefinition<&str, (i64, &[u8])> = TableDefinition::new("records");

/// Microseconds in a second.
const SECOND: Micros = 1_000_000;
/// Wall time at which the file was written, in microseconds.
const WALL_TIME: Micros = 1_700_000_000 * SECOND;
/// Longest retention of an invocation, in microseconds.
const RETENTION: Micros = 100 * SECOND;
/// Identifies the member and its group.
const IDENTITY: u64 = 0x0102_0304_0506_0708;

fn ballot(number: u32) -> Ballot {
    Ballot {
        number,
        member: 513,
        nonce: 0x1122_3344_5566_7788,
    }
}

/// A copy of a record. `expires_in`: in microseconds.
fn record_copy(record: Record, expires_in: Micros) -> RecordCopy {
    RecordCopy {
        record,
        origin: Origin {
            nonce: 99,
            serial: 77,
        },
        expires_in,
        first_dispatch_ago: Some(3 * SECOND),
        proof_expires_in: Some(40 * SECOND),
    }
}

/// An invocation with an intent in each state.
fn invocation(answer: Option<StoredAnswer>) -> Invocation {
    let mut invocation = Invocation::default();
    invocation.owner.ballot = ballot(1_000);
    invocation.taken = true;
    let states = [
        IntentState::Intended,
        IntentState::NotExecuted,
        IntentState::Indeterminate,
    ];
    for (state, n) in states.into_iter().zip(1..) {
        let (member, deduplication_scope) = (n, 300 + u32::from(n));
        let intent = DispatchIntent {
            member,
            state,
            deduplication_scope,
        };
        invocation.intents.insert((5, u64::from(n)), intent);
    }
    invocation.answer = answer;
    invocation
}

fn closed_invocation() -> Invocation {
    let mut invocation = invocation(None);
    invocation.owner.released = true;
    invocation.close();
    invocation
}

fn invocation_that_may_lack_intents() -> Invocation {
    Invocation {
        may_lack_intents: true,
        ..invocation(Some(StoredAnswer::Stored(Bytes::from_static(b"yes"))))
    }
}

fn conflicting_invocation() -> Invocation {
    Invocation {
        has_conflict: true,
        ..invocation(Some(StoredAnswer::TooLarge))
    }
}

fn choice() -> Choice {
    Choice {
        promised: ballot(9),
        accepted: Some((ballot(8), Bytes::from_static(b"plan"))),
    }
}

fn note() -> Note {
    Note {
        version: (12, 13),
        value: Bytes::from_static(b"seen"),
    }
}

/// One record of each kind and form, in the order of the keys.
fn records() -> Vec<(Key, RecordCopy)> {
    let records = [
        (
            "choice",
            record_copy(Record::Choice(choice()), 600 * SECOND),
        ),
        (
            "closed",
            record_copy(Record::Invocation(closed_invocation()), 50 * SECOND),
        ),
        (
            "doubtful",
            record_copy(
                Record::Invocation(invocation_that_may_lack_intents()),
                60 * SECOND,
            ),
        ),
        (
            "empty",
            record_copy(Record::Choice(Choice::default()), 700 * SECOND),
        ),
        (
            "faulty",
            record_copy(Record::Invocation(conflicting_invocation()), 70 * SECOND),
        ),
        ("note", record_copy(Record::Note(note()), 800 * SECOND)),
    ];
    records
        .map(|(key, record)| (Arc::from(key), record))
        .to_vec()
}

/// The record as restored by a process that starts 20 seconds after the file was written.
fn restored_after_20_seconds(record: &RecordCopy) -> RecordCopy {
    RecordCopy {
        expires_in: record.expires_in - 20 * SECOND,
        first_dispatch_ago: Some(23 * SECOND),
        proof_expires_in: Some(20 * SECOND),
        ..record.clone()
    }
}

/// Opens the store, once the writing thread of an earlier one has ended.
fn open(folder: &Path, wall_time: Micros) -> (PeerStore, Option<RestoredState>) {
    loop {
        match PeerStore::open(folder, IDENTITY, wall_time, RETENTION) {
            // The writing thread of the earlier store has not ended yet.
            Err(StoreError::InUse { .. }) => std::thread::yield_now(),
            opened => return opened.unwrap_or_else(|e| panic!("{e}")),
        }
    }
}

/// Writes all records to a new file.
fn write(folder: &Path) {
    let (store, restored) = open(folder, WALL_TIME);
    assert!(restored.is_none());
    let records = records()
        .into_iter()
        .map(|(key, record)| (key, Some(record)));
    let changes = StoreChanges {
        incarnation: 41,
        serial: 1,
        records: records.collect(),
    };
    store.write(changes, WALL_TIME);
    smol::block_on(store.write_finished());
    assert_eq!(store.persisted_serial(), 1);
    drop(store);
    // When the store can be opened again, the writing thread has ended.
    drop(open(folder, WALL_TIME));
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Opens the file, once the writing thread has ended.
fn open_file(file: &Path) -> Database {
    loop {
        match Database::open(file) {
            Err(redb::DatabaseError::DatabaseAlreadyOpen) => std::thread::yield_now(),
            opened => return opened.expect("it opens"),
        }
    }
}

/// All rows of a file. The table names and types are written out in this test, not taken from the code under test.
fn rows(file: &Path) -> String {
    let database = open_file(file);
    let snapshot = database.begin_read().expect("begun");
    let mut lines = Vec::new();
    let about = snapshot.open_table(ABOUT).expect("about");
    for row in about.iter().expect("rows") {
        let (name, value) = row.expect("a row");
        lines.push(format!("about {} {}\n", name.value(), value.value()));
    }
    let records = snapshot.open_table(RECORDS).expect("records");
    for row in records.iter().expect("rows") {
        let (key, value) = row.expect("a row");
        let (expires_at, bytes) = value.value();
        lines.push(format!(
            "records {} {expires_at} {}\n",
            key.value(),
            hex(bytes)
        ));
    }
    lines.concat()
}

/// Writes the file of the earlier build into a folder.
fn write_earlier_file(folder: &Path) -> PathBuf {
    let file = folder.join("group.redb");
    std::fs::write(&file, STORE_FILE).expect("written");
    file
}

#[test]
fn store_file_rows_are_pinned() {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path());
    assert_eq!(rows(&folder.path().join("group.redb")), ROWS);
}

#[test]
fn store_file_of_format_2_is_restored_with_each_kind_of_record() {
    let folder = tempfile::tempdir().expect("a folder");
    assert_eq!(rows(&write_earlier_file(folder.path())), ROWS);
    let restored = open(folder.path(), WALL_TIME + 20 * SECOND)
        .1
        .expect("restored");
    let expected: Vec<_> = records()
        .iter()
        .map(|(key, record)| (key.clone(), restored_after_20_seconds(record)))
        .collect();
    assert_eq!((restored.incarnation, restored.records), (41, expected));
}

#[test]
fn store_file_of_format_2_is_not_renamed() {
    let folder = tempfile::tempdir().expect("a folder");
    write_earlier_file(folder.path());
    drop(open(folder.path(), WALL_TIME));
    let files = std::fs::read_dir(folder.path()).expect("read");
    let names: Vec<_> = files
        .map(|file| file.expect("a file").file_name())
        .collect();
    assert_eq!(names, ["group.redb"]);
}
