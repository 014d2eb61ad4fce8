//! Tests the store's file: its format version, files of other formats, and the age of restored records.

use bytes::Bytes;
use cedarpulley_replica::record::Choice;
use cedarpulley_replica::{
    DispatchIntent, IntentState, Invocation, Key, Record, RecordCopy, StoredAnswer,
};

use redb::Database;

use super::*;
use crate::peer_store_file::{FILE_NAME, FORMAT_VERSION, METADATA, create_tables};

/// Encoding of the record in the following test, in format [`FORMAT_VERSION`].
const RECORD_BYTES: [u8; 26] = [
    0, 0, 0, 0, 0, 1, 1, 1, 5, 6, 7, 2, 8, 1, 0, 1, 57, 0, 0, 0, 0, 2, 1, 4, 1, 6,
];

/// Guards against a change of a record's encoding under an unchanged format version, after which one build would misread
/// the files of another. On failure, raise [`FORMAT_VERSION`], then update the expected bytes.
#[test]
fn record_bytes_match_the_format_version() {
    let mut invocation = Invocation {
        taken: true,
        may_lack_intents: true,
        ..Invocation::default()
    };
    invocation.intents.insert(
        (5, 6),
        DispatchIntent {
            member: 7,
            state: IntentState::Indeterminate,
            deduplication_scope: 8,
        },
    );
    invocation.answer = Some(StoredAnswer::Stored(Bytes::from_static(b"9")));
    let record_copy = RecordCopy {
        record: Record::Invocation(invocation),
        origin: Default::default(),
        expires_in: 1,
        first_dispatch_ago: Some(2),
        proof_expires_in: Some(3),
    };
    let bytes = postcard::to_stdvec(&record_copy).expect("encoded");
    assert_eq!((FORMAT_VERSION, &bytes[..]), (2, &RECORD_BYTES[..]));
}

#[test]
fn file_of_another_format_is_renamed_after_its_cause() {
    for (format, name) in [
        (FORMAT_VERSION - 1, "group.earlier-format-1"),
        (FORMAT_VERSION + 1, "group.later-format-1"),
    ] {
        let folder = tempfile::tempdir().expect("a folder");
        let database = Database::create(folder.path().join(FILE_NAME)).expect("begun");
        create_tables(&database, 1).expect("written");
        let write = database.begin_write().expect("begun");
        write
            .open_table(METADATA)
            .expect("opened")
            .insert("format", format)
            .expect("written");
        write.commit().expect("written");
        drop(database);
        let (_, restored) = PeerStore::open(folder.path(), 1, 0, 1).expect("opened");
        assert!(
            restored.is_none() && folder.path().join(name).exists(),
            "{name}"
        );
    }
}

#[test]
fn an_expired_choice_is_restored_because_its_promise_still_binds() {
    const SECOND: Micros = 1_000_000;
    let folder = tempfile::tempdir().expect("a folder");
    let copy_of = |record| RecordCopy {
        record,
        origin: Default::default(),
        expires_in: 50 * SECOND,
        first_dispatch_ago: None,
        proof_expires_in: None,
    };
    let (choice, invocation) = (Choice::default(), Invocation::default());
    let (store, _) = PeerStore::open(folder.path(), 1, 0, 60 * SECOND).expect("opened");
    let changes = StoreChanges {
        incarnation: 1,
        serial: 1,
        records: vec![
            (Key::from("c"), Some(copy_of(Record::Choice(choice)))),
            (
                Key::from("t"),
                Some(copy_of(Record::Invocation(invocation))),
            ),
        ],
    };
    store.write(changes, 1_000 * SECOND);
    smol::block_on(store.write_finished());
    drop(store);
    let restored = reopen(folder.path(), 1_080 * SECOND);
    let [(key, choice)] = &restored.records[..] else {
        panic!("only the choice is restored")
    };
    assert_eq!((&**key, choice.expires_in), ("c", -30 * SECOND));
}

/// Opens the store again; the writing thread keeps the file open until all changes are written. `wall_time`: in
/// microseconds.
fn reopen(folder: &std::path::Path, wall_time: Micros) -> RestoredState {
    loop {
        match PeerStore::open(folder, 1, wall_time, 60_000_000) {
            Err(StoreError::InUse { .. }) => std::thread::yield_now(),
            opened => return opened.expect("opened").1.expect("the state is restored"),
        }
    }
}

#[test]
fn restored_records_age_by_the_time_without_a_process() {
    const SECOND: Micros = 1_000_000;
    let folder = tempfile::tempdir().expect("a folder");
    let record = Record::Invocation(Invocation {
        taken: true,
        ..Invocation::default()
    });
    let record_copy = RecordCopy {
        record,
        origin: Default::default(),
        expires_in: 50 * SECOND,
        first_dispatch_ago: Some(SECOND),
        proof_expires_in: Some(30 * SECOND),
    };
    // Choices are retained for longer than any invocation, and must be restored nevertheless.
    let record = Record::Choice(Choice::default());
    let choice = RecordCopy {
        record,
        expires_in: 600 * SECOND,
        first_dispatch_ago: None,
        proof_expires_in: None,
        ..record_copy.clone()
    };
    let (store, _) = PeerStore::open(folder.path(), 1, 0, 60 * SECOND).expect("opened");
    let changes = StoreChanges {
        incarnation: 1,
        serial: 1,
        records: vec![
            (Key::from("t"), Some(record_copy)),
            (Key::from("c"), Some(choice)),
        ],
    };
    store.write(changes, 1_000 * SECOND);
    smol::block_on(store.write_finished());
    assert!(store.is_idle() && store.persisted_serial() == 1);
    drop(store);
    let restored = reopen(folder.path(), 1_020 * SECOND);
    let [(_, choice), (_, invocation)] = &restored.records[..] else {
        panic!("both records are restored")
    };
    assert_eq!(choice.expires_in, 600 * SECOND - 20 * SECOND);
    assert_eq!(
        (
            invocation.expires_in,
            invocation.first_dispatch_ago,
            invocation.proof_expires_in
        ),
        (30 * SECOND, Some(21 * SECOND), Some(10 * SECOND))
    );
}
