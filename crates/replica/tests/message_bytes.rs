//! Pins the encoding of every message between members, and the digests by which members compare records. Members of the
//! same version exchange these bytes. A change of the encoding has to raise `VERSION` and to update the fixtures.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use cedarpulley_replica::record::Choice;
use cedarpulley_replica::store::{Origin, Store, leaf};
use cedarpulley_replica::votes::KnownProcesses;
use cedarpulley_replica::wire::RejectionReason;
use cedarpulley_replica::{
    Ballot, DispatchIntent, IntentState, Invocation, Key, Message, Note, Record, RecordCopy,
    RecoveryState, StoredAnswer, VERSION,
};

/// One message per line: its name and its encoding in hexadecimal.
const MESSAGES: &str = include_str!("fixtures/messages.hex");
/// One record per line: its key, its leaf, the two digests of its entry, and the digests of its leaf and its group.
const DIGESTS: &str = include_str!("fixtures/digests.txt");

fn key(name: &str) -> Key {
    Arc::from(name)
}

fn ballot(number: u32) -> Ballot {
    Ballot {
        number,
        member: 513,
        nonce: 0x1122_3344_5566_7788,
    }
}

fn origin() -> Origin {
    Origin {
        nonce: 0x0102_0304_0506_0708,
        serial: 77,
    }
}

fn copy_of(record: Record) -> RecordCopy {
    RecordCopy {
        record,
        origin: origin(),
        expires_in: 61_000_000,
        first_dispatch_ago: Some(1_500_000),
        proof_expires_in: Some(-7),
    }
}

fn intent(member: u16, state: IntentState, deduplication_scope: u32) -> DispatchIntent {
    DispatchIntent {
        member,
        state,
        deduplication_scope,
    }
}

fn invocation(answer: Option<StoredAnswer>) -> Invocation {
    let mut invocation = Invocation::default();
    invocation.owner.ballot = ballot(1_000);
    invocation.taken = true;
    invocation
        .intents
        .insert((5, 6), intent(1, IntentState::Intended, 300));
    invocation
        .intents
        .insert((5, 7), intent(2, IntentState::NotExecuted, 301));
    invocation
        .intents
        .insert((8, 1), intent(3, IntentState::Indeterminate, 302));
    invocation.answer = answer;
    invocation
}

fn open_invocation() -> Record {
    let mut invocation = invocation(Some(StoredAnswer::Stored(Bytes::from_static(b"yes"))));
    invocation.may_lack_intents = true;
    Record::Invocation(invocation)
}

fn conflicting_invocation() -> Record {
    let mut invocation = invocation(Some(StoredAnswer::TooLarge));
    invocation.has_conflict = true;
    Record::Invocation(invocation)
}

fn closed_invocation() -> Record {
    let mut invocation = invocation(None);
    invocation.owner.released = true;
    invocation.close();
    Record::Invocation(invocation)
}

fn choice_record() -> Choice {
    Choice {
        promised: ballot(9),
        accepted: Some((ballot(8), Bytes::from_static(b"plan"))),
    }
}

fn note() -> Record {
    Record::Note(Note {
        version: (12, 13),
        value: Bytes::from_static(b"seen"),
    })
}

fn views() -> KnownProcesses {
    KnownProcesses(vec![11, 4_000_000_000, 33])
}

fn rejected(reason: RejectionReason, dispatch: Option<u64>, record: Option<RecordCopy>) -> Message {
    let (key, ballot) = (key("k"), ballot(2));
    Message::Rejected {
        key,
        ballot,
        dispatch,
        reason,
        record,
    }
}

fn nack(reason: RejectionReason, choice: Option<Choice>) -> Message {
    let (key, ballot) = (key("k"), ballot(2));
    Message::Nack {
        key,
        ballot,
        choice,
        reason,
    }
}

fn update(record: Record) -> Message {
    let (key, record) = (key("k"), copy_of(record));
    Message::Update { key, record }
}

fn differing_groups(memory: RecoveryState) -> Message {
    Message::DifferingGroups {
        serial: 21,
        memory,
        your_process: 70_000,
        groups: BTreeMap::from([(1, vec![2, 3]), (300, vec![])]),
    }
}

#[expect(clippy::too_many_lines, reason = "one table of messages")]
fn messages_on_invocations() -> Vec<(&'static str, Message)> {
    let (key, ballot) = (key("k"), ballot(2));
    let store_intent = Message::StoreIntent {
        key: key.clone(),
        ballot,
        dispatch: 200,
        is_first_ballot: true,
        record: copy_of(open_invocation()),
    };
    let intent_stored = Message::IntentStored {
        key: key.clone(),
        ballot,
        dispatch: 200,
        views: views(),
    };
    let fence = Message::Fence {
        key: key.clone(),
        ballot,
        origin: origin(),
        lifetime: -300,
    };
    let fenced = |record| Message::Fenced {
        key: key.clone(),
        ballot,
        record,
        views: views(),
    };
    vec![
        ("store_intent", store_intent),
        ("intent_stored", intent_stored),
        ("fence", fence),
        ("fenced", fenced(Some(copy_of(open_invocation())))),
        ("fenced-nothing", fenced(None)),
        (
            "rejected-higher_ballot",
            rejected(
                RejectionReason::HigherBallot,
                Some(200),
                Some(copy_of(open_invocation())),
            ),
        ),
        (
            "rejected-store_full",
            rejected(RejectionReason::StoreFull, Some(200), None),
        ),
        (
            "rejected-recovering",
            rejected(
                RejectionReason::Recovering,
                None,
                Some(copy_of(closed_invocation())),
            ),
        ),
        (
            "rejected-expired",
            rejected(RejectionReason::Expired, None, None),
        ),
        (
            "rejected-too_late",
            rejected(RejectionReason::TooLate, Some(0), None),
        ),
    ]
}

fn messages_on_choices() -> Vec<(&'static str, Message)> {
    let (key, ballot) = (key("k"), ballot(2));
    let prepare = Message::Prepare {
        key: key.clone(),
        ballot,
        lifetime: 9_000_000,
    };
    let promise = Message::Promise {
        key: key.clone(),
        ballot,
        choice: choice_record(),
        views: views(),
    };
    let accept = Message::Accept {
        key: key.clone(),
        ballot,
        value: Bytes::from_static(b"plan"),
        lifetime: 9_000_001,
    };
    let accepted = Message::Accepted {
        key,
        ballot,
        value_hash: 0xFFEE_DDCC_BBAA_9988,
        views: views(),
    };
    vec![
        ("prepare", prepare),
        ("promise", promise),
        ("accept", accept),
        ("accepted", accepted),
        (
            "nack",
            nack(RejectionReason::HigherBallot, Some(choice_record())),
        ),
        ("nack-too_late", nack(RejectionReason::TooLate, None)),
    ]
}

fn messages_on_comparing() -> Vec<(&'static str, Message)> {
    let compare_digests = Message::CompareDigests {
        serial: 20,
        groups: vec![0, 1, u64::MAX],
    };
    let fetch_records = |after| Message::FetchRecords {
        serial: 22,
        leaves: vec![(7, None), (4_000, Some(BTreeMap::from([(1, 2), (3, 4)])))],
        after,
    };
    let fetched_records = |more| Message::FetchedRecords {
        serial: 23,
        records: vec![
            (key("a"), copy_of(open_invocation())),
            (key("b"), copy_of(Record::Choice(choice_record()))),
            (key("c"), copy_of(note())),
        ],
        more,
    };
    vec![
        ("compare_digests", compare_digests),
        (
            "differing_groups-empty",
            differing_groups(RecoveryState::Empty),
        ),
        (
            "differing_groups-restored",
            differing_groups(RecoveryState::Restored),
        ),
        (
            "differing_groups-complete",
            differing_groups(RecoveryState::Complete),
        ),
        ("fetch_records", fetch_records(None)),
        (
            "fetch_records-after",
            fetch_records(Some((4_000, key("a")))),
        ),
        ("fetched_records", fetched_records(None)),
        (
            "fetched_records-more",
            fetched_records(Some((4_000, key("c")))),
        ),
    ]
}

fn messages_on_records() -> Vec<(&'static str, Message)> {
    let empty_copy = RecordCopy {
        record: Record::Choice(Choice::default()),
        origin: Origin::default(),
        expires_in: 0,
        first_dispatch_ago: None,
        proof_expires_in: None,
    };
    let update_without_content = Message::Update {
        key: key(""),
        record: empty_copy,
    };
    vec![
        ("update-open_invocation", update(open_invocation())),
        (
            "update-conflicting_invocation",
            update(conflicting_invocation()),
        ),
        ("update-closed_invocation", update(closed_invocation())),
        ("update-choice", update(Record::Choice(choice_record()))),
        ("update-note", update(note())),
        ("update-empty", update_without_content),
    ]
}

fn messages() -> Vec<(&'static str, Message)> {
    [
        messages_on_invocations(),
        messages_on_choices(),
        messages_on_comparing(),
        messages_on_records(),
    ]
    .concat()
}

/// Name of a variant. A new variant does not compile here until it has a name, and then needs a line in the fixtures.
fn variant(message: &Message) -> &'static str {
    match message {
        Message::StoreIntent { .. } => "store_intent",
        Message::IntentStored { .. } => "intent_stored",
        Message::Fence { .. } => "fence",
        Message::Fenced { .. } => "fenced",
        Message::Rejected { .. } => "rejected",
        Message::Prepare { .. } => "prepare",
        Message::Promise { .. } => "promise",
        Message::Accept { .. } => "accept",
        Message::Accepted { .. } => "accepted",
        Message::Nack { .. } => "nack",
        Message::Update { .. } => "update",
        Message::CompareDigests { .. } => "compare_digests",
        Message::DifferingGroups { .. } => "differing_groups",
        Message::FetchRecords { .. } => "fetch_records",
        Message::FetchedRecords { .. } => "fetched_records",
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = |at| &hex[at..at + 2];
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(digits(at), 16).expect("hexadecimal"))
        .collect()
}

#[test]
fn peer_messages_keep_their_bytes() {
    assert_eq!(VERSION, 3);
    let written: String = messages()
        .iter()
        .map(|(name, message)| {
            let bytes = postcard::to_stdvec(message).expect("encoded");
            format!("{name} {}\n", hex(&bytes))
        })
        .collect();
    assert_eq!(written, MESSAGES);
}

#[test]
fn pinned_bytes_are_decoded_to_the_original_messages() {
    let messages = messages();
    assert_eq!(MESSAGES.lines().count(), messages.len());
    for (line, (name, message)) in MESSAGES.lines().zip(&messages) {
        let encoded = line
            .strip_prefix(&format!("{name} "))
            .expect("the line starts with the name of the message");
        let read: Message = postcard::from_bytes(&bytes(encoded)).expect("decoded");
        assert_eq!(read, *message, "{name}");
    }
}

#[test]
fn every_variant_of_a_message_is_pinned() {
    let messages = messages();
    let pinned: BTreeSet<&str> = messages.iter().map(|(_, m)| variant(m)).collect();
    assert_eq!(pinned.len(), 15);
    for (name, message) in &messages {
        assert_eq!(name.split('-').next(), Some(variant(message)), "{name}");
    }
}

fn store() -> Store {
    let mut store = Store::new(100, false);
    let records = [
        ("a", open_invocation()),
        ("b", conflicting_invocation()),
        ("c", closed_invocation()),
        ("d", Record::Choice(choice_record())),
        ("e", note()),
    ];
    for (name, record) in records {
        store.merge(0, &key(name), &copy_of(record), 0);
    }
    store
}

#[test]
fn digests_that_members_compare_keep_their_values() {
    let store = store();
    let groups = store.group_digests();
    let lines = store.all().map(|(key, slot)| {
        let leaf = leaf(key);
        let entry = Store::entry(key, slot);
        let (of_leaf, of_group) = (store.leaf_digest(leaf), groups[usize::from(leaf) / 64]);
        format!(
            "{key} {leaf} {:016x} {:016x} {of_leaf:016x} {of_group:016x}\n",
            entry.0, entry.1
        )
    });
    let written: String = lines.collect();
    assert_eq!((groups.len(), written.as_str()), (64, DIGESTS));
}
