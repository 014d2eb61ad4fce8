//! The five rules, each checked from the log lines that concern it.

pub(crate) mod answers;
pub(crate) mod drains;
pub(crate) mod effects;
pub(crate) mod load_quota;
pub(crate) mod overload;

/// The rules. The discriminant is the number under which a verdict counts the violations of the rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rule {
    /// Each invocation gets exactly one final answer before the timeout of its client.
    Answers = 1,
    /// No invocation that is not idempotent takes effect twice.
    Effects = 2,
    /// Draining workers receive no new work.
    Drains = 3,
    /// Workers in slow start are not overloaded.
    Overload = 4,
    /// Each router stays within its quota of load orders.
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
