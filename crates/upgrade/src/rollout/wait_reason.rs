//! Why a plan does not advance at the moment.

/// The first reason noted since the last clearing; empty if there is none.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitReason(String);

impl WaitReason {
    /// Keeps the reason unless one was noted before.
    pub fn note(&mut self, reason: impl Into<String>) {
        if self.0.is_empty() {
            self.0 = reason.into();
        }
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }

    pub fn take(&mut self) -> String {
        std::mem::take(&mut self.0)
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}
