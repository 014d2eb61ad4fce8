//! The functions that this router knows: their indices, names, and what was last seen of each.

use std::collections::HashSet;
use std::sync::Arc;

use cedarpulley::ids::Interner;
use cedarpulley::interface::FunctionIndex;

/// Functions known at once at most: the decision module keeps a few figures of each function for every
/// worker.
const MOST_FUNCTIONS: usize = 20_000;

/// What the last invocation of a function, or the one it was said to be like, told of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct FunctionProfile {
    pub(super) account: u32,
    /// Size of a copy, in megabytes.
    pub(super) copy_mb: f64,
    /// Invocations that one copy runs at a time.
    pub(super) lanes: u32,
    pub(super) trigger: u32,
}

impl FunctionProfile {
    /// Of an index that was never given to a function.
    const UNUSED: FunctionProfile = FunctionProfile {
        account: 0,
        copy_mb: 0.0,
        lanes: 1,
        trigger: 0,
    };
    /// Of a function that nobody has asked for.
    pub(super) const UNKNOWN: FunctionProfile = FunctionProfile {
        account: u32::MAX,
        ..FunctionProfile::UNUSED
    };
}

/// Functions by index; the index of a forgotten function is given out again.
#[derive(Default)]
pub(super) struct FunctionTable {
    indices: Interner<String>,
    /// By index; empty where the function was forgotten.
    names: Vec<Arc<str>>,
    profiles: Vec<FunctionProfile>,
    /// Functions that the decision module was told of by an invocation, and that it has not forgotten.
    met: HashSet<FunctionIndex>,
}

impl FunctionTable {
    pub(super) fn find(&self, name: &str) -> Option<FunctionIndex> {
        self.indices.find(name)
    }

    /// Whether this function is known, or another one may still be added.
    pub(super) fn has_room_for(&self, name: &str) -> bool {
        self.find(name).is_some() || self.indices.len() < MOST_FUNCTIONS
    }

    /// Adds the function if it is new, and notes its profile.
    pub(super) fn register(&mut self, name: &Arc<str>, profile: FunctionProfile) -> FunctionIndex {
        let func = self.indices.intern(name.as_ref());
        let index = func as usize;
        if self.names.len() <= index {
            self.names.resize(index + 1, Arc::from(""));
            self.profiles.resize(index + 1, FunctionProfile::UNUSED);
        }
        self.names[index] = name.clone();
        self.profiles[index] = profile;
        func
    }

    pub(super) fn profile(&self, func: FunctionIndex) -> Option<FunctionProfile> {
        self.profiles.get(func as usize).copied()
    }

    /// The name of a function that the decision module speaks of.
    pub(super) fn name(&self, func: FunctionIndex) -> Arc<str> {
        self.names[func as usize].clone()
    }

    /// All names by index; empty where the function was forgotten.
    pub(super) fn names(&self) -> &[Arc<str>] {
        &self.names
    }

    /// Notes that the decision module meets the function; true the first time.
    pub(super) fn meet(&mut self, func: FunctionIndex) -> bool {
        self.met.insert(func)
    }

    /// The decision module has forgotten the function; its index may be given out again.
    pub(super) fn forget(&mut self, func: FunctionIndex) {
        self.met.remove(&func);
        self.indices.release(func);
        self.names[func as usize] = Arc::from("");
    }
}
