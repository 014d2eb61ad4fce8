//! The functions that this router knows: their indices, names, and their last known properties.

use std::collections::HashMap;
use std::sync::Arc;

use cedarpulley::interface::FunctionIndex;
use cedarpulley::table_size::TableSize;

/// Properties of a function, taken from its last invocation or from the similar function named in a request for a copy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FunctionProfile {
    pub(crate) account: u32,
    /// Size of a copy, in megabytes.
    pub(crate) copy_mb: f64,
    /// Invocations that one copy runs at a time.
    pub(crate) lanes: u32,
    pub(crate) trigger: u32,
}

impl FunctionProfile {
    /// Profile for an index that was never assigned to a function.
    const UNUSED: FunctionProfile = FunctionProfile {
        account: 0,
        copy_mb: 0.0,
        lanes: 1,
        trigger: 0,
    };
    /// Profile of a function that no invocation has requested.
    pub(crate) const UNKNOWN: FunctionProfile = FunctionProfile {
        account: u32::MAX,
        ..FunctionProfile::UNUSED
    };
}

/// What the table holds of a function besides its name.
#[derive(Clone, Copy, Debug)]
struct FunctionEntry {
    profile: FunctionProfile,
    /// Number of invocations that are not over and refer to the function by its index.
    references: u32,
    /// Whether the balancer has received an invocation of it since it last released it.
    known_to_balancer: bool,
}

impl FunctionEntry {
    const UNUSED: FunctionEntry = FunctionEntry {
        profile: FunctionProfile::UNUSED,
        references: 0,
        known_to_balancer: false,
    };
}

/// Functions by index; the index of a forgotten function is reused.
pub(crate) struct FunctionTable {
    indices: HashMap<Arc<str>, FunctionIndex>,
    /// Names by index; empty for a forgotten function.
    names: Vec<Arc<str>>,
    /// By index.
    entries: Vec<FunctionEntry>,
    free: Vec<FunctionIndex>,
    no_name: Arc<str>,
}

impl Default for FunctionTable {
    fn default() -> Self {
        FunctionTable {
            indices: HashMap::new(),
            names: Vec::new(),
            entries: Vec::new(),
            free: Vec::new(),
            no_name: Arc::from(""),
        }
    }
}

impl FunctionTable {
    /// The size of the table.
    pub(crate) fn size(&self) -> TableSize {
        let names: usize = self.names.iter().map(|name| name.len()).sum();
        let per_name = size_of::<(Arc<str>, FunctionIndex)>();
        let per_index =
            size_of::<Arc<str>>() + size_of::<FunctionEntry>() + size_of::<FunctionIndex>();
        TableSize {
            name: "router functions",
            entries: self.indices.len(),
            bytes: names + self.indices.capacity() * per_name + self.names.capacity() * per_index,
        }
    }

    /// The index of the function with this name.
    pub(crate) fn find(&self, name: &str) -> Option<FunctionIndex> {
        self.indices.get(name).copied()
    }

    /// Adds the function if it is new, and stores its profile.
    pub(crate) fn register(&mut self, name: &Arc<str>, profile: FunctionProfile) -> FunctionIndex {
        let function = self.find(name).unwrap_or_else(|| self.add(name.clone()));
        self.entries[function as usize].profile = profile;
        function
    }

    fn add(&mut self, name: Arc<str>) -> FunctionIndex {
        let function = self.free.pop().unwrap_or_else(|| {
            self.names.push(self.no_name.clone());
            self.entries.push(FunctionEntry::UNUSED);
            self.names.len() as FunctionIndex - 1
        });
        self.names[function as usize] = name.clone();
        self.entries[function as usize] = FunctionEntry::UNUSED;
        self.indices.insert(name, function);
        function
    }

    /// The last known properties of the function.
    pub(crate) fn profile(&self, function: FunctionIndex) -> Option<FunctionProfile> {
        let entry = self.entries.get(function as usize)?;
        Some(entry.profile)
    }

    /// The name of a function that has an index.
    pub(crate) fn name(&self, function: FunctionIndex) -> Arc<str> {
        self.names[function as usize].clone()
    }

    /// All names by index; empty for a forgotten function.
    pub(crate) fn names(&self) -> &[Arc<str>] {
        &self.names
    }

    /// Counts an invocation that refers to the function. Its index is not reused until [`FunctionTable::unreserve`].
    pub(crate) fn reserve(&mut self, function: FunctionIndex) {
        self.entries[function as usize].references += 1;
    }

    /// Removes a reference that [`FunctionTable::reserve`] counted.
    pub(crate) fn unreserve(&mut self, function: FunctionIndex) {
        let entry = &mut self.entries[function as usize];
        entry.references = entry.references.saturating_sub(1);
    }

    /// Records that the balancer receives an invocation of the function; returns true the first time.
    pub(crate) fn mark_known_to_balancer(&mut self, function: FunctionIndex) -> bool {
        let known = &mut self.entries[function as usize].known_to_balancer;
        !std::mem::replace(known, true)
    }

    /// Records that the balancer has released the function.
    pub(crate) fn released_by_balancer(&mut self, function: FunctionIndex) {
        self.entries[function as usize].known_to_balancer = false;
    }

    /// Removes a function that the balancer does not know, unless an invocation refers to it; its index may be reused.
    pub(crate) fn forget_if_unused(&mut self, function: FunctionIndex) {
        let index = function as usize;
        if self.entries[index].references > 0 || self.names[index].is_empty() {
            return;
        }
        let name = std::mem::replace(&mut self.names[index], self.no_name.clone());
        self.indices.remove(&name);
        self.entries[index] = FunctionEntry::UNUSED;
        self.free.push(function);
    }
}
