//! Merging different copies of a record gives the same result in any order and for any number of repetitions. Guards
//! against members whose records never converge after messages were reordered or duplicated.

use bytes::Bytes;
use cedarpulley_replica::record::{Choice, DispatchIntent, Owner};
use cedarpulley_replica::{Ballot, IntentState, Invocation, Note, Record, StoredAnswer};
use proptest::prelude::*;

fn ballot() -> impl Strategy<Value = Ballot> {
    (0u32..3, 0u16..3, 1u64..3).prop_map(|(number, member, nonce)| Ballot {
        number,
        member,
        nonce,
    })
}

fn value() -> impl Strategy<Value = Bytes> {
    prop::sample::select(vec![
        Bytes::from_static(b"a"),
        Bytes::from_static(b"b"),
        Bytes::new(),
    ])
}

fn intent_state() -> impl Strategy<Value = IntentState> {
    prop::sample::select(vec![
        IntentState::Intended,
        IntentState::NotExecuted,
        IntentState::Indeterminate,
    ])
}

fn invocation() -> impl Strategy<Value = Record> {
    let intent = intent_state().prop_map(|state| DispatchIntent {
        member: 0,
        state,
        deduplication_scope: 0,
    });
    let intents = prop::collection::btree_map((1u64..3, 0u64..3), intent, 0..4);
    let answer = prop::option::of(prop_oneof![
        value().prop_map(StoredAnswer::Stored),
        Just(StoredAnswer::TooLarge)
    ]);
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    (ballot(), flags, intents, answer).prop_map(
        |(ballot, (released, taken, may_lack_intents, closed), intents, answer)| {
            let owner = Owner { ballot, released };
            let mut invocation = Invocation {
                owner,
                taken,
                may_lack_intents,
                intents,
                answer,
                ..Invocation::default()
            };
            if closed {
                invocation.close();
            }
            Record::Invocation(invocation)
        },
    )
}

fn record() -> impl Strategy<Value = [Record; 3]> {
    let choice = || {
        (ballot(), prop::option::of((ballot(), value())))
            .prop_map(|(promised, accepted)| Record::Choice(Choice { promised, accepted }))
    };
    let note = || {
        ((0u64..3, 0u64..3), value())
            .prop_map(|(version, value)| Record::Note(Note { version, value }))
    };
    prop_oneof![
        [invocation(), invocation(), invocation()],
        [choice(), choice(), choice()],
        [note(), note(), note()],
    ]
}

fn merged(a: &Record, b: &Record) -> Record {
    let mut a = a.clone();
    a.merge(b);
    a
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn merge_is_commutative_associative_and_idempotent([a, b, c] in record()) {
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        let ab = merged(&a, &b);
        prop_assert_eq!(&merged(&ab, &b), &ab);
        prop_assert_eq!(&merged(&ab, &ab), &ab);
    }

    /// Guards against a merge that returns a dispatch to an earlier state, loses an answer or lowers a ballot.
    #[test]
    fn states_only_advance([a, b, _] in record()) {
        let ab = merged(&a, &b);
        if let (Record::Invocation(a), Record::Invocation(ab)) = (&a, &ab) {
            prop_assert!(ab.owner >= a.owner && ab.taken >= a.taken && ab.closed >= a.closed);
            prop_assert!(ab.closed || a.answer.is_none() || ab.answer.is_some());
            prop_assert!(ab.closed || a.intents.iter().all(|(id, s)| ab.intents[id].state >= s.state));
        }
    }
}

/// A choice is retained for longer than invocations are. Guards against a choice that is rejected as expired because a
/// later invocation of the same process has expired.
#[test]
fn a_choice_is_learned_though_later_invocations_of_its_process_have_expired() {
    use cedarpulley_replica::RecordCopy;
    use cedarpulley_replica::store::{MergeOutcome, Origin, Store};
    let copy_of = |record: Record, serial, expires_in| {
        let origin = Origin { nonce: 7, serial };
        RecordCopy {
            record,
            origin,
            expires_in,
            first_dispatch_ago: None,
            proof_expires_in: None,
        }
    };
    let mut store = Store::new(10, false);
    let invocation = || Record::Invocation(Invocation::default());
    assert_eq!(
        store.merge(0, &"i".into(), &copy_of(invocation(), 5, 10), 0),
        MergeOutcome::Changed
    );
    store.expire(20);
    assert_eq!(
        store.merge(20, &"j".into(), &copy_of(invocation(), 4, 10), 0),
        MergeOutcome::Expired
    );
    let choice = Record::Choice(Choice::default());
    assert_eq!(
        store.merge(20, &"u".into(), &copy_of(choice, 3, 10), 0),
        MergeOutcome::Changed
    );
}
