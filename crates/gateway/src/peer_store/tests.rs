//! The store's file: its format, files of other formats, and the age of restored records.

use bytes::Bytes;
use cedarpulley_replica::record::Choice;
use cedarpulley_replica::{
    DispatchIntent, IntentState, Invocation, Key, Record, RecordCopy, StoredAnswer,
};

use redb::Database;

use super::*;
use crate::peer_store_file::{FILE, FORMAT, METADATA, create_tables};

const RECORD: [u8; 26] = [
    0, 0, 0, 0, 0, 1, 1, 1, 5, 6, 7, 2, 8, 1, 0, 1, 57, 0, 0, 0, 0, 2, 1, 4, 1, 6,
];

/// Fails when a record's encoding changes: raise [`FORMAT`], then record the new bytes.
#[test]
fn record_bytes_match_the_format_version() {
    let mut effect = Invocation {
        taken: true,
        may_lack_intents: true,
        ..Invocation::default()
    };
    effect.intents.insert(
        (5, 6),
        DispatchIntent {
            member: 7,
            state: IntentState::Indeterminate,
            deduplication_scope: 8,
        },
    );
    effect.answer = Some(StoredAnswer::Stored(Bytes::from_static(b"9")));
    let shared = RecordCopy {
        record: Record::Invocation(effect),
        origin: Default::default(),
        expires_in: 1,
        first_dispatch_ago: Some(2),
        proof_expires_in: Some(3),
    };
    let bytes = postcard::to_stdvec(&shared).expect("encoded");
    assert_eq!((FORMAT, &bytes[..]), (2, &RECORD[..]));
}

#[test]
fn file_of_another_format_is_set_aside_under_the_name_of_its_cause() {
    for (format, name) in [
        (FORMAT - 1, "group.earlier-format-1"),
        (FORMAT + 1, "group.later-format-1"),
    ] {
        let folder = tempfile::tempdir().expect("a folder");
        let database = Database::create(folder.path().join(FILE)).expect("begun");
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
fn restored_records_age_by_the_time_without_a_process() {
    const SECOND: Micros = 1_000_000;
    let folder = tempfile::tempdir().expect("a folder");
    let record = Record::Invocation(Invocation {
        taken: true,
        ..Invocation::default()
    });
    let shared = RecordCopy {
        record,
        origin: Default::default(),
        expires_in: 50 * SECOND,
        first_dispatch_ago: Some(SECOND),
        proof_expires_in: Some(30 * SECOND),
    };
    // Choices are retained for longer than any invocation.
    let record = Record::Choice(Choice::default());
    let choice = RecordCopy {
        record,
        expires_in: 600 * SECOND,
        first_dispatch_ago: None,
        proof_expires_in: None,
        ..shared.clone()
    };
    let (store, _) = PeerStore::open(folder.path(), 1, 0, 60 * SECOND).expect("opened");
    let changes = StoreChanges {
        incarnation: 1,
        serial: 1,
        records: vec![
            (Key::from("t"), Some(shared)),
            (Key::from("c"), Some(choice)),
        ],
    };
    store.write(changes, 1_000 * SECOND);
    smol::block_on(store.write_finished());
    assert!(store.is_idle() && store.persisted_serial() == 1);
    // The writing thread holds the file until everything is written.
    drop(store);
    let restored = loop {
        match PeerStore::open(folder.path(), 1, 1_020 * SECOND, 60 * SECOND) {
            Err(StoreError::InUse { .. }) => std::thread::yield_now(),
            opened => break opened.expect("opened").1.expect("it was kept"),
        }
    };
    let [(_, choice), (_, effect)] = &restored.records[..] else {
        panic!("both records")
    };
    assert_eq!(choice.expires_in, 600 * SECOND - 20 * SECOND);
    assert_eq!(
        (
            effect.expires_in,
            effect.first_dispatch_ago,
            effect.proof_expires_in
        ),
        (30 * SECOND, Some(21 * SECOND), Some(10 * SECOND))
    );
}
