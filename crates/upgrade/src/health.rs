//! The new version against the old one.

use serde::{Deserialize, Serialize};

use crate::Name;

/// What one member has seen of one version by one trigger type since its process began; counts only grow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Empty: without a version.
    pub version: Name,
    pub trigger: Name,
    pub ended: u64,
    pub errored: u64,
    pub late: u64,
}
