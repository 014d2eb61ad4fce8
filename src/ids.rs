//! Maps outside ids to small dense indices, at the door of any front.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash};

/// A number for an outside id that is the same at every router (the indices are not).
pub fn fingerprint(id: &str) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(id)
}

/// Outside ids and their indices; the index of a released id is given out again.
#[derive(Debug, Default)]
pub struct Ids<K> {
    index: HashMap<K, u32>,
    ids: Vec<Option<K>>,
    free: Vec<u32>,
}

impl<K: Eq + Hash + Clone> Ids<K> {
    /// The index of an id, given out now if it has none.
    pub fn enter<Q>(&mut self, id: &Q) -> u32
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ToOwned<Owned = K> + ?Sized,
    {
        if let Some(&ix) = self.index.get(id) {
            return ix;
        }
        let ix = self.free.pop().unwrap_or(self.ids.len() as u32);
        if ix as usize == self.ids.len() {
            self.ids.push(None);
        }
        self.ids[ix as usize] = Some(id.to_owned());
        self.index.insert(id.to_owned(), ix);
        ix
    }

    pub fn find<Q>(&self, id: &Q) -> Option<u32>
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.index.get(id).copied()
    }

    pub fn id(&self, ix: u32) -> Option<&K> {
        self.ids.get(ix as usize)?.as_ref()
    }

    pub fn release(&mut self, ix: u32) {
        if let Some(id) = self.ids.get_mut(ix as usize).and_then(Option::take) {
            self.index.remove(&id);
            self.free.push(ix);
        }
    }

    pub fn len(&self) -> usize {
        self.index.len()
    }

    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }
}
