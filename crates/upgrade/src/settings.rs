//! Intervals and limits of upgrades, all times in microseconds.

use cedarpulley::interface::Micros;

/// An observation has to outlive the slowest poll interval by this part of it: a poll is delayed at random, and its
/// answer takes time.
const POLL_MARGIN_DIVISOR: Micros = 2;
/// Renewals within the time after which an idle copy is evicted: some may be declined.
const RENEWALS_PER_IDLE_TIME: Micros = 4;

/// Settings of a [`Planner`](crate::Planner).
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerSettings {
    /// How long a leader may act after its last step was proposed, once that was agreed; on its own clock.
    pub lease: Micros,
    /// Interval between two evaluations of the observed state.
    pub evaluation_interval: Micros,
    /// A request to a majority is repeated if it was not answered within this.
    pub majority_timeout: Micros,
    /// A load or unload request has reached its worker within this, or never does.
    pub order_delivery_timeout: Micros,
    /// How long an observation of a worker is valid.
    pub observation_lifetime: Micros,
    /// A session whose worker is gone is observed on another one within this, if it goes on; not below
    /// `observation_lifetime`.
    pub quiet_period: Micros,
    /// Concurrent loads of one plan, over all regions.
    pub concurrent_loads: u32,
    /// A load that takes longer has failed.
    pub load_timeout: Micros,
    /// Backoff of a worker after a load that failed there; doubled with each further one.
    pub load_backoff: Micros,
    /// Interval at which copies in use are renewed; well within the time after which idle ones are evicted.
    pub renewal_interval: Micros,
    /// How long a plan can be read before anything is done.
    pub announcement_time: Micros,
    /// Canaries are observed for at least this long.
    pub canary_min_time: Micros,
    /// Canaries are observed for at most this long where too few invocations come to compare the versions.
    pub canary_max_time: Micros,
    /// A slower new version is observed for this long before it is rolled back.
    pub pause_limit: Micros,
    /// A member that is away for longer routes nothing any more.
    pub member_gone_after: Micros,
    /// Interval at which the record of a finished plan is written again; records are retained for at least twice as long.
    pub record_refresh_interval: Micros,
}

impl Default for PlannerSettings {
    fn default() -> PlannerSettings {
        PlannerSettings {
            // Many times two rounds to a majority, and a dead leader is missed for no longer than a load takes.
            lease: 5_000_000,
            evaluation_interval: 500_000,
            majority_timeout: 10_000_000,
            order_delivery_timeout: 3_000_000,
            observation_lifetime: 10_000_000,
            quiet_period: 15_000_000,
            // One in progress while another one is waited for.
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
    /// The settings adjusted to workers that are polled within `polled_within` and evict idle copies after `idle_kept`.
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
