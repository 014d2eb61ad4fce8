//! Account quotas: one token bucket per account tells which invocations are beyond their account's quota.

use crate::interface::{Account, Micros};

/// Burst allowance of a bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;

/// This router's part of the accounts' quotas.
#[derive(Default)]
pub(super) struct AccountQuotas {
    /// By account index.
    buckets: Vec<TokenBucket>,
}

/// The token bucket of one account; a token admits one invocation.
struct TokenBucket {
    /// This router's part of the quota, in invocations per second.
    rate_per_s: f64,
    /// Tokens left at `updated_at`.
    available: f64,
    updated_at: Micros,
}

impl AccountQuotas {
    /// Creates full buckets with an equal part of each quota for each of the routers.
    pub(super) fn new(accounts: &[Account], routers: u32) -> Self {
        let bucket = |account: &Account| TokenBucket {
            rate_per_s: account.quota_per_s / f64::from(routers.max(1)),
            available: f64::MAX,
            updated_at: 0,
        };
        AccountQuotas {
            buckets: accounts.iter().map(bucket).collect(),
        }
    }

    /// Takes a token for one more invocation; true if the invocation is beyond the quota.
    pub(super) fn use_one(&mut self, account: usize, now: Micros) -> bool {
        let Some(bucket) = self.buckets.get_mut(account) else {
            return false;
        };
        let rate = bucket.rate_per_s;
        let refill = rate * (now - bucket.updated_at).max(0) as f64 / 1e6;
        bucket.available = (bucket.available + refill).min((rate * BURST_SECONDS).max(1.0) + 1.0);
        bucket.updated_at = now;
        let over_quota = bucket.available < 1.0;
        bucket.available -= f64::from(u8::from(!over_quota));
        over_quota
    }
}

/// Estimates the probability that an invocation is beyond this router's part of the quota although the account is
/// within its whole quota. Clients choose routers at random, so the smaller the number of invocations in a router's
/// part, the larger the relative deviation from an equal distribution.
pub(super) fn misjudged_fraction(accounts: &[Account], routers: u32) -> f64 {
    let rate: f64 = accounts
        .iter()
        .map(|account| account.quota_per_s)
        .sum::<f64>()
        / f64::from(routers.max(1));
    (rate * BURST_SECONDS).max(1.0).sqrt().recip()
}
