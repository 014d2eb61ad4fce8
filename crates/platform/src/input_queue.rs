//! The inputs that wait for the router core. Handling an input may add further ones: executing an output that fails at
//! once reports the failure as an input. A turn handles the inputs up to a limit, so that connections are served between
//! two turns whatever fails and however fast.

use std::collections::VecDeque;

/// Most inputs that one turn handles. A turn then takes a few milliseconds, well within the time limits of the platform.
pub const MAX_INPUTS_PER_TURN: usize = 256;

/// What follows a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterTurn {
    /// All inputs have been handled.
    Done,
    /// Inputs are left, for which the caller has to begin another turn after it has served its connections.
    InputsLeft,
}

/// The queue of inputs, and the turn in progress.
#[derive(Debug)]
pub struct InputQueue<T> {
    inputs: VecDeque<T>,
    /// Number of inputs that the turn in progress may still take; `None` between two turns.
    left_in_turn: Option<usize>,
}

impl<T> Default for InputQueue<T> {
    fn default() -> Self {
        InputQueue {
            inputs: VecDeque::new(),
            left_in_turn: None,
        }
    }
}

impl<T> InputQueue<T> {
    /// Adds an input at the end.
    pub fn push(&mut self, input: T) {
        self.inputs.push_back(input);
    }

    /// Begins a turn; false if one is in progress, which will handle the inputs.
    pub fn begin_turn(&mut self) -> bool {
        let begins = self.left_in_turn.is_none();
        self.left_in_turn.get_or_insert(MAX_INPUTS_PER_TURN);
        begins
    }

    /// Takes the next input of the turn in progress; `None` if there is none, or if the turn has handled enough inputs.
    pub fn next_in_turn(&mut self) -> Option<T> {
        let left = self.left_in_turn.as_mut().filter(|left| **left > 0)?;
        let input = self.inputs.pop_front()?;
        *left -= 1;
        Some(input)
    }

    /// Ends the turn in progress.
    pub fn end_turn(&mut self) -> AfterTurn {
        self.left_in_turn = None;
        if self.is_empty() {
            AfterTurn::Done
        } else {
            AfterTurn::InputsLeft
        }
    }

    /// Whether no input waits.
    pub fn is_empty(&self) -> bool {
        self.inputs.is_empty()
    }
}
