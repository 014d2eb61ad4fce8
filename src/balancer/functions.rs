//! The state that this router keeps for each function, within a bound of memory.
//!
//! Callers can name any number of functions, and workers can be given a copy of each. Above the bound, the functions
//! that have been unused the longest are released; if all functions are in use, it is forgotten where their copies are
//! expected.

use std::collections::BTreeSet;
use std::ops::{Index, IndexMut};

use super::copies::{CopyTable, WorkerProcess};
use super::estimates::{DecayingSum, LatencyEstimate};
use super::workers::WorkerState;
use crate::interface::*;

/// Memory that a function may take apart from its copies, in bytes: its state here, and its name and properties in the
/// tables of the caller, where a name has at most 255 bytes.
const FUNCTION_BYTES: usize = 1 << 10;

/// The state of a function or model.
#[derive(Default)]
pub(super) struct Function {
    /// A hash of the function's name, the same at every router.
    pub(super) fingerprint: u64,
    /// Invocations that one copy runs at a time.
    pub(super) lanes: u32,
    /// Index of the [`TriggerType`] of its invocations.
    pub(super) trigger: usize,
    last_used_at: Micros,
    /// Its invocations that are not finished.
    open_invocations: u32,
    pub(super) service_time: LatencyEstimate,
    pub(super) load_time: LatencyEstimate,
    /// Number of accepted invocations, decaying with the idle retention time.
    pub(super) accepted: DecayingSum,
    /// How many of the first workers in the rendezvous order are preferred workers.
    pub(super) preferred_workers: usize,
    /// When `preferred_workers` last changed.
    pub(super) preferred_since: Micros,
    /// The worker process in which a load was in progress last, unless its end is known.
    pub(super) loading: Option<WorkerProcess>,
    /// No load of this function starts before this time.
    pub(super) no_load_before: Micros,
    orders_in_flight: u32,
    /// Its copies; changed with [`Functions::edit_copies`] only.
    copies: CopyTable,
}

impl Function {
    /// Estimates the load time from a client's hint, unless a load has already been measured.
    pub(super) fn hint_load_time(&mut self, hint: Option<Micros>) {
        if let Some(hint) = hint.filter(|_| self.load_time.mean == 0) {
            self.load_time = LatencyEstimate::from_hint(hint);
        }
    }

    /// Its copies.
    pub(super) fn copies(&self) -> &CopyTable {
        &self.copies
    }

    /// The worker where a load is in progress; the process of that worker has not been replaced since.
    pub(super) fn loading_on(&self, workers: &[WorkerState]) -> Option<usize> {
        let WorkerProcess {
            worker,
            incarnation,
        } = self.loading?;
        let is_same = workers[worker as usize].incarnation == incarnation;
        is_same.then_some(worker as usize)
    }

    /// Whether a load is in progress at this worker.
    pub(super) fn is_loading_on(&self, workers: &[WorkerState], worker: usize) -> bool {
        self.loading_on(workers) == Some(worker)
    }

    fn is_idle(&self) -> bool {
        self.open_invocations == 0 && self.orders_in_flight == 0
    }
}

/// All functions that this router knows, by function index.
pub(super) struct Functions {
    slots: Vec<Option<Box<Function>>>,
    known: usize,
    /// Number of entries in the copy tables of all functions.
    copies: usize,
    /// The functions without invocations and orders, in the order of their last use.
    idle: BTreeSet<(Micros, FunctionIndex)>,
    max_bytes: usize,
}

impl Default for Functions {
    fn default() -> Self {
        Functions::bounded(usize::MAX)
    }
}

impl Functions {
    /// Creates an empty table that may take this much memory, in bytes.
    pub(super) fn bounded(max_bytes: usize) -> Self {
        Functions {
            slots: Vec::new(),
            known: 0,
            copies: 0,
            idle: BTreeSet::new(),
            max_bytes,
        }
    }

    /// Number of functions.
    pub(super) fn len(&self) -> usize {
        self.known
    }

    /// Memory of all functions, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.known * FUNCTION_BYTES
            + self.copies * CopyTable::BYTES_PER_ENTRY
            + self.slots.len() * size_of::<Option<Box<Function>>>()
    }

    /// Whether one more function can be added within the bound, if necessary in place of one that is not in use.
    pub(super) fn has_room(&self) -> bool {
        !self.idle.is_empty() || self.bytes() + FUNCTION_BYTES <= self.max_bytes
    }

    /// The function with this index, unless it is unknown.
    pub(super) fn get(&self, function: FunctionIndex) -> Option<&Function> {
        self.slots.get(function as usize)?.as_deref()
    }

    /// Adds a function if it is new, and records that it is used at `now`. Returns whether it is new.
    pub(super) fn register(&mut self, info: &FunctionInfo, now: Micros) -> bool {
        let index = info.function as usize;
        if self.slots.len() <= index {
            self.slots.resize_with(index + 1, || None);
        }
        let is_new = self.slots[index].is_none();
        self.known += usize::from(is_new);
        let function = self.slots[index].get_or_insert_default();
        self.idle.remove(&(function.last_used_at, info.function));
        function.fingerprint = info.fingerprint;
        function.trigger = info.trigger as usize;
        function.lanes = info.lanes.max(1);
        function.last_used_at = now;
        self.note_if_idle(info.function);
        is_new
    }

    fn note_if_idle(&mut self, function: FunctionIndex) {
        let state = &self[function];
        if state.is_idle() {
            self.idle.insert((state.last_used_at, function));
        }
    }

    /// Changes the number of its invocations or orders.
    fn change_use(&mut self, function: FunctionIndex, change: impl FnOnce(&mut Function)) {
        let state = &mut self[function];
        let last_used_at = state.last_used_at;
        change(state);
        self.idle.remove(&(last_used_at, function));
        self.note_if_idle(function);
    }

    /// Records that an invocation of the function was accepted.
    pub(super) fn invocation_accepted(&mut self, function: FunctionIndex) {
        self.change_use(function, |state| state.open_invocations += 1);
    }

    /// Records that an invocation of the function is finished.
    pub(super) fn invocation_finished(&mut self, function: FunctionIndex) {
        self.change_use(function, |state| state.open_invocations -= 1);
    }

    /// Records that a load order for the function was sent.
    pub(super) fn order_sent(&mut self, function: FunctionIndex) {
        self.change_use(function, |state| state.orders_in_flight += 1);
    }

    /// Records that a load order for the function ended.
    pub(super) fn order_ended(&mut self, function: FunctionIndex) {
        self.change_use(function, |state| {
            state.orders_in_flight = state.orders_in_flight.saturating_sub(1);
        });
    }

    /// Changes the copies of a function.
    pub(super) fn edit_copies(
        &mut self,
        function: FunctionIndex,
        edit: impl FnOnce(&mut CopyTable),
    ) {
        let copies = &mut self[function].copies;
        let before = copies.len();
        edit(copies);
        let after = copies.len();
        self.copies = self.copies + after - before;
    }

    /// Releases the function that has been unused the longest, if it was last used before `used_before` or the bound is
    /// exceeded.
    pub(super) fn release_unused(&mut self, used_before: Micros) -> Option<FunctionIndex> {
        let &(last_used_at, function) = self.idle.first()?;
        let is_due = last_used_at < used_before || self.bytes() > self.max_bytes;
        is_due.then(|| {
            self.release(function);
            function
        })
    }

    fn release(&mut self, function: FunctionIndex) {
        if let Some(released) = self.slots[function as usize].take() {
            self.idle.remove(&(released.last_used_at, function));
            self.known -= 1;
            self.copies -= released.copies.len();
        }
    }

    /// If the functions exceed the bound, forgets where copies are expected, except where dispatches are in flight.
    pub(super) fn forget_copies_above_bound(&mut self) {
        if self.bytes() <= self.max_bytes {
            return;
        }
        for function in self.slots.iter_mut().flatten() {
            function.copies.keep_in_flight();
        }
        let remaining = self.slots.iter().flatten();
        self.copies = remaining.map(|function| function.copies.len()).sum();
    }
}

impl Index<FunctionIndex> for Functions {
    type Output = Function;

    fn index(&self, function: FunctionIndex) -> &Function {
        self.slots[function as usize]
            .as_deref()
            .expect("a function with an open invocation or order is not released")
    }
}

impl IndexMut<FunctionIndex> for Functions {
    fn index_mut(&mut self, function: FunctionIndex) -> &mut Function {
        self.slots[function as usize]
            .as_deref_mut()
            .expect("a function with an open invocation or order is not released")
    }
}
