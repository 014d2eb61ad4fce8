//! Interning of external ids (names of workers, functions) as small dense indices.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash};

/// Hashes an external id. The hash is the same at every router, unlike the index of the id.
pub fn fingerprint(id: &str) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(id)
}

/// A mapping between external ids and indices. The index of a released id is reused.
#[derive(Debug, Default)]
pub struct Interner<K> {
    indices: HashMap<K, u32>,
    ids: Vec<Option<K>>,
    free: Vec<u32>,
}

impl<K: Eq + Hash + Clone> Interner<K> {
    /// Returns the index of an id; assigns one first if the id has none.
    pub fn intern<Q>(&mut self, id: &Q) -> u32
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ToOwned<Owned = K> + ?Sized,
    {
        if let Some(&index) = self.indices.get(id) {
            return index;
        }
        let index = self.free.pop().unwrap_or(self.ids.len() as u32);
        if index as usize == self.ids.len() {
            self.ids.push(None);
        }
        self.ids[index as usize] = Some(id.to_owned());
        self.indices.insert(id.to_owned(), index);
        index
    }

    /// Returns the index of an id, if it has one.
    pub fn find<Q>(&self, id: &Q) -> Option<u32>
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.indices.get(id).copied()
    }

    /// Returns the id that has this index, if any.
    pub fn id(&self, index: u32) -> Option<&K> {
        self.ids.get(index as usize)?.as_ref()
    }

    /// Removes the id that has this index, so that the index can be assigned to another id. Has no effect if the index
    /// is already free.
    pub fn release(&mut self, index: u32) {
        if let Some(id) = self.ids.get_mut(index as usize).and_then(Option::take) {
            self.indices.remove(&id);
            self.free.push(index);
        }
    }

    /// Number of ids that have an index.
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    /// Whether no id has an index.
    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }
}
