//! The functions that this router knows: their indices, names, and their last known properties.

use std::collections::HashSet;
use std::sync::Arc;

use cedarpulley::ids::Interner;
use cedarpulley::interface::{FunctionIndex, TableSize};

/// Maximum number of functions known at a time. It bounds the memory of the balancer, which stores a few figures of
/// each function for every worker.
const MAX_FUNCTIONS: usize = 20_000;

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

/// Functions by index; the index of a forgotten function is reused.
#[derive(Default)]
pub(crate) struct FunctionTable {
    indices: Interner<String>,
    /// Names by index; empty for a forgotten function.
    names: Vec<Arc<str>>,
    profiles: Vec<FunctionProfile>,
    /// Functions that the balancer knows from an invocation and has not released.
    known_to_balancer: HashSet<FunctionIndex>,
}

impl FunctionTable {
    /// The size of the table. Each name is held three times: as a key, by its index, and shared with its invocations.
    pub(crate) fn size(&self) -> TableSize {
        let names: usize = self.names.iter().map(|name| name.len()).sum();
        let per_index = size_of::<Arc<str>>() + size_of::<FunctionProfile>() + size_of::<String>();
        TableSize {
            name: "router functions",
            entries: self.indices.len(),
            bytes: 3 * names + self.names.len() * (per_index + size_of::<String>()),
        }
    }

    /// The index of the function with this name.
    pub(crate) fn find(&self, name: &str) -> Option<FunctionIndex> {
        self.indices.find(name)
    }

    /// Whether the function is known already, or can be added within the maximum number of functions.
    pub(crate) fn has_capacity_for(&self, name: &str) -> bool {
        self.find(name).is_some() || self.indices.len() < MAX_FUNCTIONS
    }

    /// Adds the function if it is new, and stores its profile.
    pub(crate) fn register(&mut self, name: &Arc<str>, profile: FunctionProfile) -> FunctionIndex {
        let function = self.indices.intern(name.as_ref());
        let index = function as usize;
        if self.names.len() <= index {
            self.names.resize(index + 1, Arc::from(""));
            self.profiles.resize(index + 1, FunctionProfile::UNUSED);
        }
        self.names[index] = name.clone();
        self.profiles[index] = profile;
        function
    }

    /// The last known properties of the function.
    pub(crate) fn profile(&self, function: FunctionIndex) -> Option<FunctionProfile> {
        self.profiles.get(function as usize).copied()
    }

    /// The name of a function that has an index.
    pub(crate) fn name(&self, function: FunctionIndex) -> Arc<str> {
        self.names[function as usize].clone()
    }

    /// All names by index; empty for a forgotten function.
    pub(crate) fn names(&self) -> &[Arc<str>] {
        &self.names
    }

    /// Records that the balancer receives an invocation of the function; returns true the first time.
    pub(crate) fn mark_known_to_balancer(&mut self, function: FunctionIndex) -> bool {
        self.known_to_balancer.insert(function)
    }

    /// Removes a function that the balancer has released; its index may be reused.
    pub(crate) fn forget(&mut self, function: FunctionIndex) {
        self.known_to_balancer.remove(&function);
        self.indices.release(function);
        self.names[function as usize] = Arc::from("");
    }
}
