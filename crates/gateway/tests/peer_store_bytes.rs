//! The tables of a group's file, row by row, and a whole file that an earlier build wrote. A later build of the same
//! format must read both, and write the same rows.

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

/// A whole file, as it was written once.
const FILE: &[u8] = include_bytes!("fixtures/group.redb");
const ROWS: &str = include_str!("fixtures/group_rows.txt");

const ABOUT: TableDefinition<&str, u64> = TableDefinition::new("about");
const RECORDS: TableDefinition<&str, (i64, &[u8])> = TableDefinition::new("records");

const S: Micros = 1_000_000;
/// When the file was written, by the wall clock that the test gives.
const WALL: Micros = 1_700_000_000 * S;
const RETENTION: Micros = 100 * S;
const IDENTITY: u64 = 0x0102_0304_0506_0708;

fn ballot(number: u32) -> Ballot {
    Ballot {
        number,
        member: 513,
        nonce: 0x1122_3344_5566_7788,
    }
}

fn shared(record: Record, left: Micros) -> RecordCopy {
    RecordCopy {
        record,
        origin: Origin {
            nonce: 99,
            serial: 77,
        },
        expires_in: left,
        first_dispatch_ago: Some(3 * S),
        proof_expires_in: Some(40 * S),
    }
}

fn effect(answer: Option<StoredAnswer>) -> Invocation {
    let mut effect = Invocation::default();
    effect.owner.ballot = ballot(1_000);
    effect.taken = true;
    let states = [
        IntentState::Intended,
        IntentState::NotExecuted,
        IntentState::Indeterminate,
    ];
    for (state, n) in states.into_iter().zip(1..) {
        let (member, place) = (n, 300 + u32::from(n));
        let sending = DispatchIntent {
            member,
            state,
            deduplication_scope: place,
        };
        effect.intents.insert((5, u64::from(n)), sending);
    }
    effect.answer = answer;
    effect
}

fn closed() -> Invocation {
    let mut effect = effect(None);
    effect.owner.released = true;
    effect.close();
    effect
}

fn doubtful() -> Invocation {
    Invocation {
        may_lack_intents: true,
        ..effect(Some(StoredAnswer::Stored(Bytes::from_static(b"yes"))))
    }
}

fn faulty() -> Invocation {
    Invocation {
        has_conflict: true,
        ..effect(Some(StoredAnswer::TooLarge))
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

/// One record of each kind and form, in the order of their keys.
fn records() -> Vec<(Key, RecordCopy)> {
    let records = [
        ("choice", shared(Record::Choice(choice()), 600 * S)),
        ("closed", shared(Record::Invocation(closed()), 50 * S)),
        ("doubtful", shared(Record::Invocation(doubtful()), 60 * S)),
        ("empty", shared(Record::Choice(Choice::default()), 700 * S)),
        ("faulty", shared(Record::Invocation(faulty()), 70 * S)),
        ("note", shared(Record::Note(note()), 800 * S)),
    ];
    records.map(|(key, s)| (Arc::from(key), s)).to_vec()
}

/// The same by a process that starts 20 seconds later.
fn later(shared: &RecordCopy) -> RecordCopy {
    RecordCopy {
        expires_in: shared.expires_in - 20 * S,
        first_dispatch_ago: Some(23 * S),
        proof_expires_in: Some(20 * S),
        ..shared.clone()
    }
}

fn open(folder: &Path, wall: Micros) -> (PeerStore, Option<RestoredState>) {
    loop {
        match PeerStore::open(folder, IDENTITY, wall, RETENTION) {
            // The writing thread of the store before has not ended yet.
            Err(StoreError::InUse { .. }) => std::thread::yield_now(),
            opened => return opened.unwrap_or_else(|e| panic!("{e}")),
        }
    }
}

fn write(folder: &Path) {
    let (store, restored) = open(folder, WALL);
    assert!(restored.is_none());
    let records = records().into_iter().map(|(key, s)| (key, Some(s)));
    let changes = StoreChanges {
        incarnation: 41,
        serial: 1,
        records: records.collect(),
    };
    store.write(changes, WALL);
    smol::block_on(store.write_finished());
    assert_eq!(store.persisted_serial(), 1);
    drop(store);
    // Once it opens again, the writing thread has ended.
    drop(open(folder, WALL));
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn open_file(file: &Path) -> Database {
    loop {
        match Database::open(file) {
            Err(redb::DatabaseError::DatabaseAlreadyOpen) => std::thread::yield_now(),
            opened => return opened.expect("it opens"),
        }
    }
}

/// All rows of a file, by tables whose names and types are those of this test.
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
        let (until, bytes) = value.value();
        lines.push(format!("records {} {until} {}\n", key.value(), hex(bytes)));
    }
    lines.concat()
}

/// A copy of the pinned file.
fn pinned_file(folder: &Path) -> PathBuf {
    let file = folder.join("group.redb");
    std::fs::write(&file, FILE).expect("written");
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
    assert_eq!(rows(&pinned_file(folder.path())), ROWS);
    let restored = open(folder.path(), WALL + 20 * S).1.expect("restored");
    let expected: Vec<_> = records()
        .iter()
        .map(|(k, s)| (k.clone(), later(s)))
        .collect();
    assert_eq!((restored.incarnation, restored.records), (41, expected));
}

#[test]
fn store_file_of_format_2_is_not_set_aside() {
    let folder = tempfile::tempdir().expect("a folder");
    pinned_file(folder.path());
    drop(open(folder.path(), WALL));
    let files = std::fs::read_dir(folder.path()).expect("read");
    let names: Vec<_> = files
        .map(|file| file.expect("a file").file_name())
        .collect();
    assert_eq!(names, ["group.redb"]);
}
