//! The debounced view of which members are alive.

use cedarpulley_membership::Believed;

const SECOND: i64 = 1_000_000;

#[test]
fn a_flapping_member_changes_the_view_only_once_it_is_quiet() {
    let mut view = Believed::new(0, 2, SECOND);
    let mut now = 0;
    assert!(!view.see(now, |m| m == 0));
    now += SECOND;
    assert!(view.see(now, |m| m == 0) && view.alive() == [0] && view.version() == 2);
    // A link that flaps each second for a minute changes it at most once.
    let mut changes = 0;
    for n in 0..60 {
        now += SECOND;
        changes += u32::from(view.see(now, |m| m == 0 || n % 2 == 0));
    }
    assert!(changes <= 1, "{changes}");
    now += 64 * SECOND;
    view.see(now, |_| true);
    now += 64 * SECOND;
    view.see(now, |_| true);
    assert_eq!((view.alive(), view.next_due()), (vec![0, 1], i64::MAX));
}
