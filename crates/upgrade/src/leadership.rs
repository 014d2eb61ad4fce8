//! Which member leads the upgrade of one model, and for how long it may act.
//!
//! Mechanisms:
//! 1. The member with the lowest index of those considered alive leads, by a ballot that a majority has promised. Its
//!    ballot overtakes that of an earlier leader.
//! 2. A leader proposes each step to the majority and acts on it only once it is agreed.
//! 3. A leader acts for one lease from when it proposed its last agreed step. A new leader waits until the earlier
//!    leader's lease has expired and its last requests have been delivered, so that no two leaders act at once.

use cedarpulley::interface::Micros;

use crate::Name;
use crate::events::Output;
use crate::plan::{Ballot, Plan, plan_key};
use crate::rollout::ProposedStep;
use crate::settings::PlannerSettings;

/// Over the time of a lease, two clocks may drift apart by up to the lease divided by this number. Real clocks drift
/// much less.
const CLOCK_DRIFT_DIVISOR: Micros = 10;

/// The role of this member.
#[derive(Clone, Debug)]
enum Role {
    /// Leadership may be requested from `retry_at` on.
    Follower { retry_at: Micros },
    /// This member has asked a majority for leadership.
    Candidate { since: Micros },
    /// A majority granted leadership for this term.
    Leader(Box<Term>),
}

/// The last term in which this member led.
#[derive(Clone, Copy, Debug)]
struct LastTerm {
    ballot: Ballot,
    may_act_from: Micros,
}

/// The role of this member in the upgrade of one model.
#[derive(Clone, Debug)]
pub(crate) struct Leadership {
    role: Role,
    last_term: Option<LastTerm>,
}

/// A term in which this member leads.
#[derive(Clone, Debug)]
pub(crate) struct Term {
    ballot: Ballot,
    /// Until this time an earlier leader may still act.
    may_act_from: Micros,
    /// The last step that a majority agreed on.
    agreed: Option<Plan>,
    /// When the last step agreed in this term was proposed.
    confirmed_at: Option<Micros>,
    proposal: Option<Proposal>,
}

/// A step that was proposed and is not yet agreed.
#[derive(Clone, Debug)]
struct Proposal {
    since: Micros,
    step: ProposedStep,
}

impl Leadership {
    pub fn new(now: Micros) -> Leadership {
        Leadership {
            role: Role::Follower { retry_at: now },
            last_term: None,
        }
    }

    pub fn is_follower(&self) -> bool {
        matches!(self.role, Role::Follower { .. })
    }

    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    pub fn is_candidate(&self) -> bool {
        matches!(self.role, Role::Candidate { .. })
    }

    pub fn step_down(&mut self, retry_at: Micros) {
        self.role = Role::Follower { retry_at };
    }

    /// Steps down for half a lease, because another member leads or no majority can be reached.
    pub fn back_off(&mut self, now: Micros, settings: &PlannerSettings) {
        self.step_down(now.saturating_add(settings.lease / 2));
    }

    /// Steps down if another member has overtaken this one or a majority has not answered in time. Returns true if
    /// leadership has to be requested now. `known_ballot` is the ballot of the latest plan known here.
    pub fn update(
        &mut self,
        now: Micros,
        known_ballot: Ballot,
        has_work: bool,
        settings: &PlannerSettings,
    ) -> bool {
        if matches!(&self.role, Role::Leader(term) if known_ballot > term.ballot) {
            self.back_off(now, settings);
        }
        let timed_out = |since: Micros| now - since > settings.majority_timeout;
        match &self.role {
            Role::Follower { retry_at } if now >= *retry_at && has_work => {
                self.role = Role::Candidate { since: now };
                return true;
            }
            Role::Candidate { since } if timed_out(*since) => self.step_down(now),
            Role::Leader(term) if term.proposal.as_ref().is_some_and(|p| timed_out(p.since)) => {
                self.step_down(now);
            }
            _ => {}
        }
        false
    }

    /// A majority granted leadership. Returns the time from which this member may act. Without the wait, two leaders
    /// could each unload a copy and together take the lanes below the floor.
    pub fn granted(
        &mut self,
        now: Micros,
        ballot: Ballot,
        agreed: Option<Plan>,
        settings: &PlannerSettings,
    ) -> Micros {
        let wait =
            settings.lease + settings.lease / CLOCK_DRIFT_DIVISOR + settings.order_delivery_timeout;
        // If the last agreed step is this member's own, no other member may act.
        let own_term = self.last_term.filter(|term| {
            agreed
                .as_ref()
                .is_some_and(|plan| plan.proposed_by == term.ballot)
        });
        let may_act_from = match (&agreed, own_term) {
            (Some(plan), None) if !plan.phase.is_over() => now + wait,
            (_, own_term) => own_term.map_or(now, |term| term.may_act_from),
        };
        self.last_term = Some(LastTerm {
            ballot,
            may_act_from,
        });
        self.role = Role::Leader(Box::new(Term {
            ballot,
            may_act_from,
            agreed,
            confirmed_at: None,
            proposal: None,
        }));
        now.max(may_act_from)
    }

    /// A majority agreed on the value proposed with this ballot. Returns the step if it belongs to the current term.
    pub fn agreed(&mut self, ballot: Ballot) -> Option<ProposedStep> {
        let Role::Leader(term) = &mut self.role else {
            return None;
        };
        if ballot != term.ballot {
            return None;
        }
        let Proposal { since, step } = term.proposal.take()?;
        term.confirmed_at = Some(since);
        term.agreed = Some(step.plan.clone());
        Some(step)
    }

    /// The current term, while this member leads.
    pub fn term_mut(&mut self) -> Option<&mut Term> {
        match &mut self.role {
            Role::Leader(term) => Some(term),
            _ => None,
        }
    }
}

impl Term {
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    pub fn agreed_plan(&self) -> Option<Plan> {
        self.agreed.clone()
    }

    pub fn has_proposal(&self) -> bool {
        self.proposal.is_some()
    }

    /// Whether a step was agreed in this term.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_at.is_some()
    }

    pub fn may_act(&self, now: Micros) -> bool {
        now >= self.may_act_from
    }

    /// Remaining time of the lease; 0 or less once it has expired.
    pub fn lease_left(&self, now: Micros, settings: &PlannerSettings) -> Micros {
        self.confirmed_at
            .map_or(0, |at| at.saturating_add(settings.lease) - now)
    }

    /// Proposes a step to the majority.
    pub fn propose(
        &mut self,
        now: Micros,
        model: &Name,
        mut step: ProposedStep,
        out: &mut Vec<Output>,
    ) {
        step.plan.proposed_by = self.ballot;
        out.push(Output::Propose {
            key: plan_key(model),
            ballot: self.ballot,
            value: step.plan.encode(),
        });
        self.proposal = Some(Proposal { since: now, step });
    }
}
