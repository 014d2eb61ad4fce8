//! A share of the process's memory that many owners use together, such as the buffers of all client connections.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the bytes that all owners of a share hold, and compares them with its limit.
#[derive(Clone, Debug)]
pub struct MemoryShare {
    max_bytes: usize,
    held: Rc<Cell<usize>>,
}

impl MemoryShare {
    /// A share of which no owner holds anything. `max_bytes`: its limit, in bytes.
    pub fn new(max_bytes: usize) -> Self {
        MemoryShare {
            max_bytes,
            held: Rc::default(),
        }
    }

    /// Bytes that all owners hold together.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Whether the owners hold more than the limit.
    pub fn is_exceeded(&self) -> bool {
        self.held() > self.max_bytes
    }

    /// Whether this many bytes more are within the limit.
    pub fn has_room_for(&self, bytes: usize) -> bool {
        self.held().saturating_add(bytes) <= self.max_bytes
    }

    /// A new owner, which holds nothing.
    pub fn owner(&self) -> MemoryOwner {
        MemoryOwner {
            held: self.held.clone(),
            bytes: Cell::new(0),
        }
    }
}

/// What one owner holds of a [`MemoryShare`]; nothing once it is dropped.
#[derive(Debug)]
pub struct MemoryOwner {
    held: Rc<Cell<usize>>,
    bytes: Cell<usize>,
}

impl MemoryOwner {
    /// Records that the owner holds this many bytes now.
    pub fn set(&self, bytes: usize) {
        let others = self.held.get() - self.bytes.replace(bytes);
        self.held.set(others + bytes);
    }

    /// Bytes that the owner holds.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }
}

impl Drop for MemoryOwner {
    fn drop(&mut self) {
        self.set(0);
    }
}
