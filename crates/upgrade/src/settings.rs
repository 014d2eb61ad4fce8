//! Intervals and limits of upgrades, all times in microseconds.

use cedarpulley::interface::Micros;

/// An observation stays valid for longer than the slowest poll interval, by the interval divided by this number: polls
/// are delayed at random, and an answer takes time.
const POLL_MARGIN_DIVISOR: Micros = 2;
/// Number of renewals within the time after which an idle copy is evicted: a worker may decline some of them.
const RENEWALS_PER_IDLE_TIME: Micros = 4;

/// Settings of a [`Planner`](crate::Planner).
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerSettings {
    /// How long a leader may act, by its own clock, from when it proposed its last agreed step.
    pub lease: Micros,
    /// Interval between two evaluations of the observed state.
    pub evaluation_interval: Micros,
    /// Time after which an unanswered request to a majority is repeated.
    pub majority_timeout: Micros,
    /// Longest time for which a load or unload request is in transit: later it cannot reach its worker any more.
    pub order_delivery_timeout: Micros,
    /// How long an observation of a worker is valid.
    pub observation_lifetime: Micros,
    /// Time within which a continuing session whose worker is gone is observed on another worker; at least
    /// `observation_lifetime`.
    pub quiet_period: Micros,
    /// Maximum number of concurrent loads of one plan, over all regions.
    pub concurrent_loads: u32,
    /// Time after which a load counts as failed.
    pub load_timeout: Micros,
    /// Backoff of a worker after a failed load; doubled with each further failure.
    pub load_backoff: Micros,
    /// Interval at which copies in use are renewed; much shorter than the time after which idle copies are evicted.
    pub renewal_interval: Micros,
    /// How long a plan is shown to operators before it begins.
    pub announcement_time: Micros,
    /// Minimum time for which canaries are observed.
    pub canary_min_time: Micros,
    /// Maximum time for which canaries are observed if too few invocations arrive to compare the versions.
    pub canary_max_time: Micros,
    /// How long a plan stays paused, with a new version that is slower, before it is rolled back.
    pub pause_limit: Micros,
    /// Time after which an absent member certainly routes nothing any more.
    pub member_gone_after: Micros,
    /// Interval at which the record of a finished plan is rewritten; records are retained for at least twice this time.
    pub record_refresh_interval: Micros,
}

impl Default for PlannerSettings {
    fn default() -> PlannerSettings {
        PlannerSettings {
            // Many times as long as two rounds to a majority. A dead leader delays the plan for no longer than a load
            // takes.
            lease: 5_000_000,
            evaluation_interval: 500_000,
            majority_timeout: 10_000_000,
            order_delivery_timeout: 3_000_000,
            observation_lifetime: 10_000_000,
            quiet_period: 15_000_000,
            // One load can run while another one is delayed.
            concurrent_loads: 2,
            load_timeout: 300_000_000,
            load_backoff: 5_000_000,
            renewal_interval: 5_000_000,
            announcement_time: 2_000_000,
            canary_min_time: 30_000_000,
            canary_max_time: 600_000_000,
            pause_limit: 60_000_000,
            member_gone_after: 60_000_000,
            record_refresh_interval: 600_000_000,
        }
    }
}

impl PlannerSettings {
    /// The settings adjusted to workers that are polled at least every `polled_within` and evict idle copies after
    /// `idle_kept`, both in microseconds.
    pub fn adjusted_to(self, polled_within: Micros, idle_kept: Micros) -> PlannerSettings {
        let observation_lifetime = self
            .observation_lifetime
            .max(polled_within.saturating_add(polled_within / POLL_MARGIN_DIVISOR));
        let quiet_period = self
            .quiet_period
            .max(observation_lifetime.saturating_add(observation_lifetime / POLL_MARGIN_DIVISOR));
        PlannerSettings {
            observation_lifetime,
            quiet_period,
            renewal_interval: self
                .renewal_interval
                .min(idle_kept / RENEWALS_PER_IDLE_TIME)
                .max(self.evaluation_interval),
            ..self
        }
    }
}
