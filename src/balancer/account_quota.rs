//! Accounts' quotas: which invocations are beyond their account's quota (a token bucket an account).

use crate::interface::{Account, Micros};

/// A quota may be used this unevenly: so many seconds of it at once.
const BURST_SECONDS: f64 = 2.0;

/// This router's part of the accounts' quotas.
#[derive(Default)]
pub(super) struct AccountQuotas {
    buckets: Vec<TokenBucket>,
}

struct TokenBucket {
    /// This router's part of the quota.
    rate_per_s: f64,
    /// What is left, and when that was last brought up to date.
    available: f64,
    updated_at: Micros,
}

impl AccountQuotas {
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

    /// Uses the quota for one more invocation; true if that is beyond it. The quota comes in steadily.
    pub(super) fn use_one(&mut self, account: usize, now: Micros) -> bool {
        let Some(bucket) = self.buckets.get_mut(account) else {
            return false;
        };
        let rate = bucket.rate_per_s;
        let come = rate * (now - bucket.updated_at).max(0) as f64 / 1e6;
        bucket.available = (bucket.available + come).min((rate * BURST_SECONDS).max(1.0) + 1.0);
        bucket.updated_at = now;
        let over_quota = bucket.available < 1.0;
        bucket.available -= f64::from(u8::from(!over_quota));
        over_quota
    }
}

/// The chance that an invocation looks to be beyond its quota here and is within it elsewhere: clients fall on
/// the routers by chance, the more unevenly the fewer each one's part is.
pub(super) fn misjudged_fraction(accounts: &[Account], routers: u32) -> f64 {
    let rate: f64 = accounts
        .iter()
        .map(|account| account.quota_per_s)
        .sum::<f64>()
        / f64::from(routers.max(1));
    (rate * BURST_SECONDS).max(1.0).sqrt().recip()
}
