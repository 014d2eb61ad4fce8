//! Slots under small indices that are given out again, each with a generation.

#[derive(Debug)]
pub struct Table<T> {
    slots: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Table {
            slots: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Table<T> {
    pub fn insert(&mut self, value: T) -> u32 {
        let ix = self.free.pop().unwrap_or(self.slots.len() as u32);
        if ix as usize == self.slots.len() {
            self.slots.push((0, None));
        }
        self.slots[ix as usize].1 = Some(value);
        ix
    }

    pub fn get(&self, ix: u32) -> Option<&T> {
        self.slots.get(ix as usize)?.1.as_ref()
    }

    pub fn get_mut(&mut self, ix: u32) -> Option<&mut T> {
        self.slots.get_mut(ix as usize)?.1.as_mut()
    }

    pub fn generation(&self, ix: u32) -> u32 {
        self.slots.get(ix as usize).map_or(0, |s| s.0)
    }

    pub fn remove(&mut self, ix: u32) -> Option<T> {
        let slot = self.slots.get_mut(ix as usize)?;
        let value = slot.1.take()?;
        slot.0 = slot.0.wrapping_add(1);
        self.free.push(ix);
        Some(value)
    }

    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }
}
