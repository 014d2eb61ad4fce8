//! The functions that this router knows: their indices, names, and their last known properties.

use std::collections::HashSet;
use std::sync::Arc;

use cedarpulley::ids::Interner;
use cedarpulley::interface::FunctionIndex;

/// Functions known at once at most: the decision module stores a few figures of each function for
/// every worker.
const MAX_FUNCTIONS: usize = 20_000;

/// Properties of a function, as of its last invocation or of the function that it was said to be like.
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
    /// Of an index that was never given to a function.
    const UNUSED: FunctionProfile = FunctionProfile {
        account: 0,
        copy_mb: 0.0,
        lanes: 1,
        trigger: 0,
    };
    /// Of a function that no invocation has requested.
    pub(crate) const UNKNOWN: FunctionProfile = FunctionProfile {
        account: u32::MAX,
        ..FunctionProfile::UNUSED
    };
}

/// Functions by index; the index of a forgotten function is given out again.
#[derive(Default)]
pub(crate) struct FunctionTable {
    indices: Interner<String>,
    /// By index; empty where the function was forgotten.
    names: Vec<Arc<str>>,
    profiles: Vec<FunctionProfile>,
    /// Functions that the decision module was told of by an invocation, and that it has not forgotten.
    known_to_balancer: HashSet<FunctionIndex>,
}

impl FunctionTable {
    /// The index of the function with this name.
    pub(crate) fn find(&self, name: &str) -> Option<FunctionIndex> {
        self.indices.find(name)
    }

    /// Whether this function is known, or another one may still be added.
    pub(crate) fn has_capacity_for(&self, name: &str) -> bool {
        self.find(name).is_some() || self.indices.len() < MAX_FUNCTIONS
    }

    /// Adds the function if it is new, and notes its profile.
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

    /// The name of a function that the decision module speaks of.
    pub(crate) fn name(&self, function: FunctionIndex) -> Arc<str> {
        self.names[function as usize].clone()
    }

    /// All names by index; empty where the function was forgotten.
    pub(crate) fn names(&self) -> &[Arc<str>] {
        &self.names
    }

    /// Notes that the decision module is told of the function by an invocation; true the first time.
    pub(crate) fn mark_known_to_balancer(&mut self, function: FunctionIndex) -> bool {
        self.known_to_balancer.insert(function)
    }

    /// The decision module has forgotten the function; its index may be given out again.
    pub(crate) fn forget(&mut self, function: FunctionIndex) {
        self.known_to_balancer.remove(&function);
        self.indices.release(function);
        self.names[function as usize] = Arc::from("");
    }
}
