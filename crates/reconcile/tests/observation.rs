//! Which entries of an observation are consistent.

use cedarpulley_reconcile::{Entry, Observation};

#[test]
fn inconsistent_entries_are_left_out() {
    let busy = Entry {
        busy: Some(1),
        ..Entry::plain("c", 0)
    };
    let entries = vec![
        Entry::plain("a", 1),
        Entry::plain("a", 2),
        Entry::plain("b", 1),
        busy,
        Entry::plain("d", 99_999),
    ];
    let said = Observation {
        entries,
        ..Observation::default()
    };
    let consistency = said.consistency(|_| 1.0, 0.0);
    assert_eq!(
        consistency.entries.keys().copied().collect::<Vec<_>>(),
        ["b"]
    );
    assert_eq!(
        (consistency.unclear, consistency.contradictions),
        (vec!["a", "c", "d"], 3)
    );
    // The same said twice is no contradiction; more than its memory is.
    let twice = Observation {
        entries: vec![Entry::plain("a", 2); 2],
        ..Observation::default()
    };
    assert_eq!(twice.consistency(|_| 50.0, 100.0).contradictions, 0);
    assert_eq!(twice.consistency(|_| 80.0, 100.0).contradictions, 1);
}
