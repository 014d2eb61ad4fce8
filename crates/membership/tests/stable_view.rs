//! The debounced view of which members are alive. Guards against a flapping link that changes the view, and with it
//! shares and placement, at every flap.

use cedarpulley_membership::StableView;

/// Microseconds in a second.
const SECOND: i64 = 1_000_000;

#[test]
fn a_flapping_member_changes_the_view_only_once_it_is_quiet() {
    let mut view = StableView::new(0, 2, SECOND);
    let mut now = 0;
    assert!(!view.observe(now, |m| m == 0));
    now += SECOND;
    assert!(view.observe(now, |m| m == 0) && view.alive_members() == [0] && view.version() == 2);
    // A link that flaps every second for a minute changes the view at most once.
    let mut changes = 0;
    for n in 0..60 {
        now += SECOND;
        changes += u32::from(view.observe(now, |m| m == 0 || n % 2 == 0));
    }
    assert!(changes <= 1, "{changes}");
    now += 64 * SECOND;
    view.observe(now, |_| true);
    now += 64 * SECOND;
    view.observe(now, |_| true);
    assert_eq!(
        (view.alive_members(), view.next_due()),
        (vec![0, 1], i64::MAX)
    );
}
