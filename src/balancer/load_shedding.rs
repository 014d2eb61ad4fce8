//! Load shedding: how far the workers are overloaded, what an answer is expected to earn, and what is therefore
//! not begun.

use super::Balancer;
use super::account_quota::{self, AccountQuotas};
use super::invocations::Invocation;
use crate::interface::*;

/// Workers are overloaded when over this part of the answers is late or a rejection.
const OVERLOAD_THRESHOLD: f64 = 0.2;
/// That part is averaged over as many answers as it takes to tell the least that is compared with it, but no more
/// than would see it too late. Values are averaged over as many.
const MAX_AVERAGED_ANSWERS: f64 = 32.0;
const MIN_AVERAGED_ANSWERS: f64 = 8.0;

/// The part of the answers that are late or a rejection.
#[derive(Default)]
struct Pressure {
    late_fraction: f64,
    /// Averaged over so many answers.
    averaged_answers: f64,
    last_answer_at: Micros,
}

/// Decides by expected value what is begun while workers are overloaded.
#[derive(Default)]
pub(super) struct LoadShedder {
    pressure: Pressure,
    quotas: AccountQuotas,
    /// What an invocation beyond its quota is worth, as a fraction of one within it.
    over_quota_value: f64,
    /// What invocations are worth here on average, by those accepted lately.
    mean_value: f64,
    /// Fraction that is answered of the dispatches whose clients leave before the objective.
    short_timeout_success: f64,
}

impl LoadShedder {
    pub(super) fn new(
        triggers: &[TriggerType],
        accounts: &[Account],
        routers: u32,
        prices: &Prices,
    ) -> Self {
        let misjudged = account_quota::misjudged_fraction(accounts, routers);
        let over_quota_value = prices.over_quota.max(0.0) * (1.0 - misjudged) + misjudged;
        let over_quota = accounts.first().map(|_| over_quota_value);
        let averaged_answers = triggers
            .iter()
            .map(|trigger| trigger.late_value_fraction)
            .chain(over_quota)
            .filter(|&fraction| fraction > 0.0)
            .fold(MIN_AVERAGED_ANSWERS, |answers, fraction| {
                answers.max(1.0 / fraction)
            })
            .min(MAX_AVERAGED_ANSWERS);
        LoadShedder {
            pressure: Pressure {
                averaged_answers,
                ..Pressure::default()
            },
            quotas: AccountQuotas::new(accounts, routers),
            over_quota_value,
            mean_value: 0.0,
            short_timeout_success: 1.0,
        }
    }

    /// Uses the account's quota for one more invocation; true if that is beyond it.
    pub(super) fn use_quota(&mut self, account: usize, now: Micros) -> bool {
        self.quotas.use_one(account, now)
    }

    /// An invocation of this value was accepted.
    pub(super) fn record_value(&mut self, value: f64) {
        self.mean_value += (value - self.mean_value)
            / if self.mean_value > 0.0 {
                MAX_AVERAGED_ANSWERS
            } else {
                1.0
            };
    }

    /// An answer came: late (or a rejection), or in time. Timeouts do not count: they tell of faults or of
    /// clients, not of load.
    pub(super) fn record_answer(&mut self, now: Micros, late: bool) {
        let pressure = &mut self.pressure;
        pressure.last_answer_at = now;
        pressure.late_fraction +=
            (f64::from(u8::from(late)) - pressure.late_fraction) / pressure.averaged_answers;
    }

    /// A dispatch whose client leaves before the objective was answered, or not.
    pub(super) fn record_short_timeout(&mut self, answered: bool) {
        self.short_timeout_success +=
            (f64::from(u8::from(answered)) - self.short_timeout_success) / MAX_AVERAGED_ANSWERS;
    }

    /// Symptom: with all rejected under pressure, no answer comes that could tell of its end.
    pub(super) fn expire_pressure(&mut self, now: Micros, retention: Micros) {
        if now - self.pressure.last_answer_at > retention {
            self.pressure.late_fraction = 0.0;
        }
    }

    /// Whether workers can spare the loads of exploration.
    pub(super) fn allows_exploration(&self) -> bool {
        self.pressure.late_fraction < OVERLOAD_THRESHOLD
    }

    /// Whether the workers are overloaded.
    pub(super) fn is_overloaded(&self) -> bool {
        self.pressure.late_fraction > OVERLOAD_THRESHOLD
    }

    /// What an answer earns, in time or late. Symptom: clients that leave before the objective, and come
    /// again, fill the workers with what nobody waits for. Theirs earn the part of such that is answered.
    fn expected_value(&self, trigger: &TriggerType, invocation: &Invocation, late: bool) -> f64 {
        let of_quota = if invocation.over_quota {
            self.over_quota_value
        } else {
            1.0
        };
        let of_short_timeout = if invocation.short_timeout {
            self.short_timeout_success
        } else {
            1.0
        };
        let of_lateness = if late {
            trigger.late_value_fraction
        } else {
            1.0
        };
        trigger.billed_value * of_quota * of_short_timeout * of_lateness
    }
}

impl Balancer {
    /// Symptom: under pressure, what counts little takes the place of what counts much. An invocation
    /// costs more than it earns if it makes another late, with about the chance at which answers are late
    /// now, and that other is worth what invocations are worth here on average.
    pub(super) fn costs_more_than_it_earns(&self, invocation: &Invocation, late: bool) -> bool {
        let shedder = &self.load_shedder;
        let trigger = &self.settings.triggers[invocation.trigger];
        shedder.pressure.late_fraction * shedder.mean_value
            > shedder.expected_value(trigger, invocation, late)
    }

    /// What an answer still earns, in thousandths; nothing is lost by serving the dearest first.
    pub(super) fn queue_priority(&self, invocation: &Invocation) -> i64 {
        let service = self.service_time(&self.functions[invocation.function as usize]);
        let late = self.now + service.mean + service.deviation > invocation.objective_at;
        let trigger = &self.settings.triggers[invocation.trigger];
        (self.load_shedder.expected_value(trigger, invocation, late) * 1e3) as i64
    }
}
