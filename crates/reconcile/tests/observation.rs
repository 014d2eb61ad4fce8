//! Tests which entries of an observation are considered consistent.

use cedarpulley_reconcile::{FunctionReport, Observation};

/// Guards against using entries that contradict each other, are implausible, or exceed the memory of the worker.
#[test]
fn inconsistent_entries_are_left_out() {
    let busy = FunctionReport {
        busy: Some(1),
        ..FunctionReport::with_copies("c", 0)
    };
    let entries = vec![
        FunctionReport::with_copies("a", 1),
        FunctionReport::with_copies("a", 2),
        FunctionReport::with_copies("b", 1),
        busy,
        FunctionReport::with_copies("d", 99_999),
    ];
    let observation = Observation {
        entries,
        ..Observation::default()
    };
    let consistency = observation.consistency(|_| 1.0, 0.0);
    assert_eq!(
        consistency.entries.keys().copied().collect::<Vec<_>>(),
        ["b"]
    );
    assert_eq!(
        (consistency.contradictory, consistency.contradictions),
        (vec!["a", "c", "d"], 3)
    );
    // An identical entry listed twice is not a contradiction; copies that exceed the worker's memory are.
    let duplicate = Observation {
        entries: vec![FunctionReport::with_copies("a", 2); 2],
        ..Observation::default()
    };
    assert_eq!(duplicate.consistency(|_| 50.0, 100.0).contradictions, 0);
    assert_eq!(duplicate.consistency(|_| 80.0, 100.0).contradictions, 1);
}
