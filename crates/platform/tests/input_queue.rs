//! Tests the queue of inputs for the router core.

use cedarpulley_platform::input_queue::{AfterTurn, InputQueue, MAX_INPUTS_PER_TURN};

/// Handles one turn, in which each input adds `follow_ups` further ones; returns the number of inputs handled.
fn turn(queue: &mut InputQueue<usize>, follow_ups: usize) -> (usize, AfterTurn) {
    assert!(queue.begin_turn());
    let mut handled = 0;
    while let Some(input) = queue.next_in_turn() {
        handled += 1;
        for _ in 0..follow_ups {
            queue.push(input);
            assert!(!queue.begin_turn(), "a turn within a turn");
        }
    }
    (handled, queue.end_turn())
}

#[test]
fn inputs_are_handled_in_order_within_one_turn() {
    let mut queue = InputQueue::default();
    (0..10).for_each(|input| queue.push(input));
    assert!(queue.begin_turn());
    let handled: Vec<usize> = std::iter::from_fn(|| queue.next_in_turn()).collect();
    assert_eq!(handled, (0..10).collect::<Vec<_>>());
    assert_eq!(queue.end_turn(), AfterTurn::Done);
    assert_eq!(queue.next_in_turn(), None);
}

/// Guards against a router that stands still because what it does in a turn fails at once and is done again: 445,044
/// load orders ended within one turn.
#[test]
fn a_turn_is_bounded_even_if_each_input_adds_another() {
    let mut queue = InputQueue::default();
    queue.push(0);
    for _ in 0..3 {
        assert_eq!(
            turn(&mut queue, 1),
            (MAX_INPUTS_PER_TURN, AfterTurn::InputsLeft)
        );
    }
    // A turn that was not asked for takes nothing.
    assert_eq!(queue.next_in_turn(), None);
    assert_eq!(turn(&mut queue, 0), (1, AfterTurn::Done));
    assert!(queue.is_empty());
}
