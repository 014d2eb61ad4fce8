//! A map from small, dense, reusable indices to values. Each index has a generation, which distinguishes the values that
//! were stored under it one after another.

#[derive(Debug)]
struct Slot<T> {
    /// Incremented each time a value is removed.
    generation: u32,
    value: Option<T>,
}

/// A map from small, dense, reusable indices to values.
#[derive(Debug)]
pub(crate) struct SlotMap<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
}

impl<T> Default for SlotMap<T> {
    fn default() -> Self {
        SlotMap {
            slots: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> SlotMap<T> {
    /// Adds a value and returns its index.
    pub(crate) fn insert(&mut self, value: T) -> u32 {
        let index = self.free.pop().unwrap_or(self.slots.len() as u32);
        if index as usize == self.slots.len() {
            self.slots.push(Slot {
                generation: 0,
                value: None,
            });
        }
        self.slots[index as usize].value = Some(value);
        index
    }

    /// Returns the value at this index, if there is one.
    pub(crate) fn get(&self, index: u32) -> Option<&T> {
        self.slots.get(index as usize)?.value.as_ref()
    }

    /// Returns a mutable reference to the value at this index, if there is one.
    pub(crate) fn get_mut(&mut self, index: u32) -> Option<&mut T> {
        self.slots.get_mut(index as usize)?.value.as_mut()
    }

    /// The generation of the index: how many values were removed from it, modulo 2³².
    pub(crate) fn generation(&self, index: u32) -> u32 {
        self.slots
            .get(index as usize)
            .map_or(0, |slot| slot.generation)
    }

    /// Removes and returns the value; its index may be reused.
    pub(crate) fn remove(&mut self, index: u32) -> Option<T> {
        let slot = self.slots.get_mut(index as usize)?;
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(index);
        Some(value)
    }

    /// Number of values.
    pub(crate) fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }
}
