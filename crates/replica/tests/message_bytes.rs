//! The bytes of every message between members, and the digests by which they compare records. Members of one version
//! read each other's bytes: whoever changes them raises `VERSION` and records them anew.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use cedarpulley_replica::record::Choice;
use cedarpulley_replica::store::{Origin, Store, leaf};
use cedarpulley_replica::votes::Views;
use cedarpulley_replica::wire::RejectionReason;
use cedarpulley_replica::{
    Ballot, DispatchIntent, IntentState, Invocation, Key, Message, Note, Record, RecordCopy,
    RecoveryState, StoredAnswer, VERSION,
};

/// By line: a name, and the encoded message.
const MESSAGES: &str = include_str!("fixtures/messages.hex");
/// By line: a name, and numbers.
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

fn shared(record: Record) -> RecordCopy {
    RecordCopy {
        record,
        origin: origin(),
        expires_in: 61_000_000,
        first_dispatch_ago: Some(1_500_000),
        proof_expires_in: Some(-7),
    }
}

fn sending(member: u16, state: IntentState, deduplication_scope: u32) -> DispatchIntent {
    DispatchIntent {
        member,
        state,
        deduplication_scope,
    }
}

fn effect(answer: Option<StoredAnswer>) -> Invocation {
    let mut effect = Invocation::default();
    effect.owner.ballot = ballot(1_000);
    effect.taken = true;
    effect
        .intents
        .insert((5, 6), sending(1, IntentState::Intended, 300));
    effect
        .intents
        .insert((5, 7), sending(2, IntentState::NotExecuted, 301));
    effect
        .intents
        .insert((8, 1), sending(3, IntentState::Indeterminate, 302));
    effect.answer = answer;
    effect
}

fn open_effect() -> Record {
    let mut effect = effect(Some(StoredAnswer::Stored(Bytes::from_static(b"yes"))));
    effect.may_lack_intents = true;
    Record::Invocation(effect)
}

fn faulty_effect() -> Record {
    let mut effect = effect(Some(StoredAnswer::TooLarge));
    effect.has_conflict = true;
    Record::Invocation(effect)
}

fn closed_effect() -> Record {
    let mut effect = effect(None);
    effect.owner.released = true;
    effect.close();
    Record::Invocation(effect)
}

fn chosen() -> Choice {
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

fn views() -> Views {
    Views(vec![11, 4_000_000_000, 33])
}

fn refused(reason: RejectionReason, dispatch: Option<u64>, shared: Option<RecordCopy>) -> Message {
    let (key, ballot) = (key("k"), ballot(2));
    Message::Rejected {
        key,
        ballot,
        dispatch,
        reason,
        record: shared,
    }
}

fn overtaken(reason: RejectionReason, choice: Option<Choice>) -> Message {
    let (key, ballot) = (key("k"), ballot(2));
    Message::Nack {
        key,
        ballot,
        choice,
        reason,
    }
}

fn tell(record: Record) -> Message {
    let (key, shared) = (key("k"), shared(record));
    Message::Update {
        key,
        record: shared,
    }
}

fn differ(memory: RecoveryState) -> Message {
    Message::DifferingGroups {
        serial: 21,
        memory,
        your_process: 70_000,
        groups: BTreeMap::from([(1, vec![2, 3]), (300, vec![])]),
    }
}

#[expect(
    clippy::too_many_lines,
    reason = "one scenario or table of cases, told in order"
)]
fn messages_on_invocations() -> Vec<(&'static str, Message)> {
    let (key, ballot) = (key("k"), ballot(2));
    let intend = Message::StoreIntent {
        key: key.clone(),
        ballot,
        dispatch: 200,
        is_first_ballot: true,
        record: shared(open_effect()),
    };
    let holds = Message::IntentStored {
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
    let fenced = |shared| Message::Fenced {
        key: key.clone(),
        ballot,
        record: shared,
        views: views(),
    };
    vec![
        ("intend", intend),
        ("holds", holds),
        ("fence", fence),
        ("fenced", fenced(Some(shared(open_effect())))),
        ("fenced-nothing", fenced(None)),
        (
            "refused-owned",
            refused(
                RejectionReason::HigherBallot,
                Some(200),
                Some(shared(open_effect())),
            ),
        ),
        (
            "refused-full",
            refused(RejectionReason::StoreFull, Some(200), None),
        ),
        (
            "refused-returning",
            refused(
                RejectionReason::Recovering,
                None,
                Some(shared(closed_effect())),
            ),
        ),
        (
            "refused-forgotten",
            refused(RejectionReason::Expired, None, None),
        ),
        (
            "refused-late",
            refused(RejectionReason::TooLate, Some(0), None),
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
    let prepared = Message::Promise {
        key: key.clone(),
        ballot,
        choice: chosen(),
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
        ("prepared", prepared),
        ("accept", accept),
        ("accepted", accepted),
        (
            "overtaken",
            overtaken(RejectionReason::HigherBallot, Some(chosen())),
        ),
        (
            "overtaken-unknown",
            overtaken(RejectionReason::TooLate, None),
        ),
    ]
}

fn messages_on_comparing() -> Vec<(&'static str, Message)> {
    let compare = Message::CompareDigests {
        serial: 20,
        groups: vec![0, 1, u64::MAX],
    };
    let want = |after| Message::FetchRecords {
        serial: 22,
        leaves: vec![(7, None), (4_000, Some(BTreeMap::from([(1, 2), (3, 4)])))],
        after,
    };
    let have = |more| Message::FetchedRecords {
        serial: 23,
        records: vec![
            (key("a"), shared(open_effect())),
            (key("b"), shared(Record::Choice(chosen()))),
            (key("c"), shared(note())),
        ],
        more,
    };
    vec![
        ("compare", compare),
        ("differ-lost", differ(RecoveryState::Empty)),
        ("differ-kept", differ(RecoveryState::Restored)),
        ("differ-whole", differ(RecoveryState::Complete)),
        ("want", want(None)),
        ("want-after", want(Some((4_000, key("a"))))),
        ("have", have(None)),
        ("have-more", have(Some((4_000, key("c"))))),
    ]
}

fn messages_on_records() -> Vec<(&'static str, Message)> {
    let bare = RecordCopy {
        record: Record::Choice(Choice::default()),
        origin: Origin::default(),
        expires_in: 0,
        first_dispatch_ago: None,
        proof_expires_in: None,
    };
    let tell_bare = Message::Update {
        key: key(""),
        record: bare,
    };
    vec![
        ("tell-effect", tell(open_effect())),
        ("tell-faulty-effect", tell(faulty_effect())),
        ("tell-closed-effect", tell(closed_effect())),
        ("tell-choice", tell(Record::Choice(chosen()))),
        ("tell-note", tell(note())),
        ("tell-bare", tell_bare),
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

/// A further variant does not compile here until it has a name, and then needs a line among the fixtures.
fn variant(message: &Message) -> &'static str {
    match message {
        Message::StoreIntent { .. } => "intend",
        Message::IntentStored { .. } => "holds",
        Message::Fence { .. } => "fence",
        Message::Fenced { .. } => "fenced",
        Message::Rejected { .. } => "refused",
        Message::Prepare { .. } => "prepare",
        Message::Promise { .. } => "prepared",
        Message::Accept { .. } => "accept",
        Message::Accepted { .. } => "accepted",
        Message::Nack { .. } => "overtaken",
        Message::Update { .. } => "tell",
        Message::CompareDigests { .. } => "compare",
        Message::DifferingGroups { .. } => "differ",
        Message::FetchRecords { .. } => "want",
        Message::FetchedRecords { .. } => "have",
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
fn pinned_bytes_are_read_as_the_messages_they_were() {
    let messages = messages();
    assert_eq!(MESSAGES.lines().count(), messages.len());
    for (line, (name, message)) in MESSAGES.lines().zip(&messages) {
        let encoded = line.strip_prefix(&format!("{name} ")).expect("its name");
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
        ("a", open_effect()),
        ("b", faulty_effect()),
        ("c", closed_effect()),
        ("d", Record::Choice(chosen())),
        ("e", note()),
    ];
    for (name, record) in records {
        store.merge(0, &key(name), &shared(record), 0);
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
