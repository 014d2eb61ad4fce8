//! What each thing costs whom; parts that add up; books that join in any order.

use std::sync::Arc;

use cedarpulley::interface::{CopyNote, Outcome};
use cedarpulley_meter::books::{Book, Measured};
use cedarpulley_meter::sums::{HOUR, Key, Kind, OTHERS, Sum, Sums};
use cedarpulley_meter::{Ended, Held, Load, Meter};
use proptest::prelude::*;

const HELD: Held = Held { bytes: 100, running: 7, loading: 0, idle: 3 };

fn ended(outcome: Outcome, note: CopyNote, held: Option<Held>) -> Ended<'static> {
    let (account, function) = ("amber", "f");
    Ended { wall: 5 * HOUR + 1, account, function, outcome, note, took: 50, copy_bytes: 100, lanes: 2, held }
}

fn kinds(act: impl FnOnce(&mut Meter)) -> Vec<(Kind, u128)> {
    let mut meter = Meter::default();
    act(&mut meter);
    let sums = meter.take();
    assert!(meter.take().is_empty());
    sums.0.iter().map(|(k, s)| (k.kind, s.byte_us)).collect()
}

#[test]
fn what_is_reported_counts_and_what_is_not_is_uncertain() {
    let of = |outcome, note, held| kinds(|m| m.ended(ended(outcome, note, held)));
    let found = of(Outcome::Succeeded, CopyNote::Found, Some(HELD));
    assert_eq!(found, [(Kind::Running, 700), (Kind::Idle, 300)]);
    // An invocation that errored held what it held.
    assert_eq!(of(Outcome::Errored, CopyNote::Found, Some(HELD)), found);
    let began = Held { loading: 40, idle: 0, ..HELD };
    let loads = [(Kind::Running, 700), (Kind::Loading, 4_000)];
    assert_eq!(of(Outcome::Succeeded, CopyNote::Began, Some(began)), loads);
    // A load that another began: shown, and not charged again.
    let waited = [(Kind::Running, 700), (Kind::Idle, 300), (Kind::Shared, 0)];
    assert_eq!(of(Outcome::Succeeded, CopyNote::Waited, Some(HELD)), waited);
    // A repeat that the worker dropped.
    assert_eq!(of(Outcome::Succeeded, CopyNote::Untold, Some(Held::default())), [(Kind::Nothing, 0)]);
    for silent in [Outcome::TimedOut, Outcome::Broken, Outcome::Withdrawn] {
        assert_eq!(of(silent, CopyNote::Untold, None), [(Kind::Uncertain, 50 * 100 / 2)]);
    }
    for never in [Outcome::Throttled, Outcome::Unreachable, Outcome::NotSent, Outcome::Missed] {
        assert_eq!(of(never, CopyNote::Untold, None), [(Kind::Nothing, 0)]);
    }
}

#[test]
fn a_load_is_charged_once_to_who_caused_it() {
    let load = |known, held| {
        let (account, function) = ("birch", "f");
        kinds(|m| m.loaded(Load { wall: 1, account, function, took: 9, copy_bytes: 10, known, held }))
    };
    let held = Held { bytes: 10, loading: 8, ..Held::default() };
    assert_eq!(load(true, Some(held)), [(Kind::Loading, 80)]);
    assert_eq!(load(true, Some(Held { loading: 0, ..held })), []);
    assert_eq!(load(true, None), []);
    assert_eq!(load(false, None), [(Kind::Uncertain, 90)]);
}

fn sums() -> impl Strategy<Value = Sums> {
    let key = (0..3u32, 0..3usize, 0..3usize, 0..6usize);
    proptest::collection::vec((key, any::<u64>(), 0..9u64), 0..20).prop_map(|all| {
        let mut sums = Sums::default();
        for ((hour, account, function, kind), byte_us, count) in all {
            let name = |n: usize| Arc::from(["a", "b", "c"][n]);
            let key = Key { hour, account: name(account), function: name(function), kind: Kind::ALL[kind] };
            sums.add(key, Sum { byte_us: byte_us.into(), count });
        }
        sums
    })
}

proptest! {
    #[test]
    fn parts_add_up_to_the_last_digit(some in sums(), others in sums()) {
        let mut all = some.clone();
        all.add_all(&others);
        let mut total = some.total();
        total.add(others.total());
        prop_assert_eq!(all.total(), total);
        let parts = all.by(|k| (k.account.clone(), k.kind));
        let mut sum = Sum::default();
        parts.values().for_each(|s| sum.add(*s));
        prop_assert_eq!(sum, total);
    }

    #[test]
    fn books_join_in_any_order_and_twice(states in proptest::collection::vec((0..4u128, 0..5u64, sums()), 0..12)) {
        // Of one source a number stands for one state.
        let mut seen = std::collections::HashMap::new();
        let books: Vec<Book> = states
            .into_iter()
            .map(|(source, number, sums)| {
                let sums = seen.entry((source, number)).or_insert(sums).clone();
                let router = format!("r{source}");
                Book([(source, Measured { number, router, sums })].into())
            })
            .collect();
        let mut forth = Book::default();
        books.iter().cloned().for_each(|b| forth.join(b));
        let mut back = Book::default();
        books.iter().rev().chain(&books).cloned().for_each(|b| back.join(b));
        prop_assert_eq!(&forth, &back);
    }
}

#[test]
fn too_many_functions_lose_their_names_and_nothing_else() {
    let mut sums = Sums::default();
    for n in 0..100_010u64 {
        let key = Key { hour: 1, account: "a".into(), function: format!("f{n}").into(), kind: Kind::Idle };
        sums.add(key, Sum { byte_us: n.into(), count: 1 });
    }
    assert_eq!(sums.total(), Sum { byte_us: 100_010 * 100_009 / 2, count: 100_010 });
    assert_eq!(sums.by(|k| k.function.clone())[OTHERS].count, 10);
}
