//! Load shedding: measures how far the workers are overloaded (the pressure), estimates the value of an answer, and
//! rejects invocations whose expected value is too low for the pressure.

use super::Balancer;
use super::account_quota::{self, AccountQuotas};
use super::invocations::Invocation;
use crate::interface::*;

/// Workers are overloaded when more than this fraction of the answers are late or rejections.
const OVERLOAD_THRESHOLD: f64 = 0.2;
/// Upper bound of the number of answers over which the late fraction is averaged; over more answers it would follow
/// an overload too slowly. Values of invocations and successes of those with short timeouts are averaged over this
/// number.
const MAX_AVERAGED_ANSWERS: f64 = 32.0;
/// Lower bound of the number of answers over which the late fraction is averaged. The number used between these
/// bounds is large enough to resolve the smallest value fraction with which the late fraction is compared.
const MIN_AVERAGED_ANSWERS: f64 = 8.0;

/// The running fraction of answers that are late or rejections.
#[derive(Default)]
struct Pressure {
    late_fraction: f64,
    /// The number of answers over which `late_fraction` is averaged.
    averaged_answers: f64,
    last_answer_at: Micros,
}

/// Decides by expected value which invocations are served while workers are overloaded.
#[derive(Default)]
pub(super) struct LoadShedder {
    pressure: Pressure,
    quotas: AccountQuotas,
    /// The value of an invocation beyond its quota, as a fraction of the value within it.
    over_quota_value: f64,
    /// The mean value of the invocations that this router has recently accepted.
    mean_value: f64,
    /// The fraction of dispatches that were answered, among those whose client's timeout is shorter than the latency
    /// objective.
    short_timeout_success: f64,
}

impl LoadShedder {
    /// Creates a load shedder without measurements.
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

    /// Takes one invocation from the account's quota; true if the invocation is beyond it.
    pub(super) fn use_quota(&mut self, account: usize, now: Micros) -> bool {
        self.quotas.use_one(account, now)
    }

    /// Records that an invocation of this value was accepted.
    pub(super) fn record_value(&mut self, value: f64) {
        self.mean_value += (value - self.mean_value)
            / if self.mean_value > 0.0 {
                MAX_AVERAGED_ANSWERS
            } else {
                1.0
            };
    }

    /// Records an answer, where a rejection counts as late. Timeouts are not recorded: their causes are faults or
    /// impatient clients rather than load.
    pub(super) fn record_answer(&mut self, now: Micros, late: bool) {
        let pressure = &mut self.pressure;
        pressure.last_answer_at = now;
        pressure.late_fraction +=
            (f64::from(u8::from(late)) - pressure.late_fraction) / pressure.averaged_answers;
    }

    /// Records whether a dispatch was answered whose client's timeout is shorter than the latency objective.
    pub(super) fn record_short_timeout(&mut self, answered: bool) {
        self.short_timeout_success +=
            (f64::from(u8::from(answered)) - self.short_timeout_success) / MAX_AVERAGED_ANSWERS;
    }

    /// Resets the pressure after the idle retention time without any answer. Without this, a router that rejects all
    /// invocations because of the pressure gets no answers that could lower it.
    pub(super) fn expire_pressure(&mut self, now: Micros, retention: Micros) {
        if now - self.pressure.last_answer_at > retention {
            self.pressure.late_fraction = 0.0;
        }
    }

    /// Whether the pressure is low enough for exploratory loads.
    pub(super) fn allows_exploration(&self) -> bool {
        self.pressure.late_fraction < OVERLOAD_THRESHOLD
    }

    /// Whether the workers are overloaded.
    pub(super) fn is_overloaded(&self) -> bool {
        self.pressure.late_fraction > OVERLOAD_THRESHOLD
    }

    /// The expected value of an answer that is in time or late. The value of invocations whose client's timeout is
    /// shorter than the latency objective is multiplied by the fraction of them that is answered: clients that leave
    /// and retry would otherwise fill the workers with work whose answers are no longer awaited.
    fn expected_value(&self, trigger: &TriggerType, invocation: &Invocation, late: bool) -> f64 {
        let quota_factor = if invocation.over_quota {
            self.over_quota_value
        } else {
            1.0
        };
        let short_timeout_factor = if invocation.short_timeout {
            self.short_timeout_success
        } else {
            1.0
        };
        let lateness_factor = if late {
            trigger.late_value_fraction
        } else {
            1.0
        };
        trigger.billed_value * quota_factor * short_timeout_factor * lateness_factor
    }
}

impl Balancer {
    /// Whether serving the invocation is expected to cost more value than its answer has. Each served invocation may
    /// make another one late, with about the probability at which answers are late now; the other one is assumed to
    /// have the mean value. Without this check, invocations of low value displace those of high value under pressure.
    pub(super) fn cost_exceeds_value(&self, invocation: &Invocation, late: bool) -> bool {
        let shedder = &self.load_shedder;
        let trigger = &self.settings.triggers[invocation.trigger];
        shedder.pressure.late_fraction * shedder.mean_value
            > shedder.expected_value(trigger, invocation, late)
    }

    /// The expected value of an answer now, in thousandths. Queued invocations of the highest value are served first.
    pub(super) fn queue_priority(&self, invocation: &Invocation) -> i64 {
        let service = self.service_time(&self.functions[invocation.function]);
        let late = self.now + service.mean + service.deviation > invocation.objective_at;
        let trigger = &self.settings.triggers[invocation.trigger];
        (self.load_shedder.expected_value(trigger, invocation, late) * 1e3) as i64
    }
}
