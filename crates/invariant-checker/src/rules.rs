//! The five rules, each checked from the lines that show it.

pub(crate) mod answers;
pub(crate) mod drains;
pub(crate) mod effects;
pub(crate) mod load_quota;
pub(crate) mod overload;

/// The rules by the numbers under which verdicts count their breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rule {
    /// Exactly one final answer before the client's timeout.
    Answers = 1,
    /// No effect twice.
    Effects = 2,
    /// Nothing new for a draining worker.
    Drains = 3,
    /// No overload of a worker in slow start.
    Overload = 4,
    /// Load orders within their quota.
    LoadQuota = 5,
}

impl Rule {
    pub(crate) const ALL: [Rule; 5] = [
        Rule::Answers,
        Rule::Effects,
        Rule::Drains,
        Rule::Overload,
        Rule::LoadQuota,
    ];

    pub(crate) fn number(self) -> u8 {
        self as u8
    }
}
