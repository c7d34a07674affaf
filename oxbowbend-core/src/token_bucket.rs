//! Token buckets beside the quotas' windows: an account that sends far more than its rate gets its quota
//! evenly.
//!
//! The load that this answers: one account sends several times its usual for seconds. A sliding window
//! alone lets it spend the quota of the whole window at once, as a burst that all other accounts bear, and
//! then refuses whatever it asks, urgent or not, until that burst leaves the window; then the same again.
//! A bucket fills at the account's rate and holds its burst, so what passes in any second is what the
//! operator allowed for a second.
//!
//! A less urgent request leaves room for several like itself, so that what is left goes to the urgent
//! ones. The room goes by the request's own size: a share of the bucket would keep out small requests
//! that hardly matter.
//!
//! What was traded: an account that was silent may not spend all of its window at once.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::admission::AccountUsage;
use crate::ids::AccountId;
use crate::quota::{QuotaPolicy, USABLE_OVERAGE_SHARE};
use crate::routes::Quota;

/// Requests like itself for which one leaves room, for each rank below the highest. An account at six
/// times its usual sends some 40 requests a second, so this is the room for a quarter second of them.
const RESERVE_PER_RANK: f64 = 10.0;
/// How fast a bucket fills, in units a second, and how many units it holds.
#[derive(Clone, Copy, Debug)]
struct BucketParams {
    refill_per_s: f64,
    capacity: f64,
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    /// Units in it, and when that was so. Full if nothing was ever taken.
    level: Option<(f64, Instant)>,
}

/// The buckets of all accounts as one instance sees them.
#[derive(Debug)]
pub struct TokenBuckets {
    policy: QuotaPolicy,
    buckets: HashMap<AccountId, Bucket>,
    reachable_share: f64,
}

impl TokenBuckets {
    /// No buckets yet.
    pub fn new(policy: QuotaPolicy) -> TokenBuckets {
        TokenBuckets { policy, buckets: HashMap::new(), reachable_share: 1.0 }
    }

    /// Puts the quotas of a configuration in force. Levels stay.
    pub fn configure<'a>(&mut self, quotas: impl IntoIterator<Item = (&'a AccountId, Quota)>) {
        let mut old = std::mem::take(&mut self.buckets);
        for (account, quota) in quotas {
            let level = old.remove(account).and_then(|bucket| bucket.level);
            self.buckets.insert(account.clone(), Bucket { quota, level });
        }
    }

    /// Sets the share of the fleet that is heard, this instance included.
    pub fn set_reachable_share(&mut self, reachable_share: f64) {
        self.reachable_share = reachable_share.clamp(0.0, 1.0);
    }

    /// Lets a request of so many units pass, or tells when to come back. `rank` is that among the
    /// account's requests; 0 is the most urgent.
    ///
    /// # Errors
    ///
    /// Fails with the time until the bucket will have room.
    pub fn admit(
        &mut self,
        now: Instant,
        account: &str,
        units: u64,
        rank: u8,
    ) -> Result<(), Duration> {
        let (policy, reachable_share) = (self.policy, self.reachable_share);
        let Some(bucket) = self.buckets.get_mut(account) else { return Ok(()) };
        let params = bucket.params(&policy, reachable_share);
        let level = bucket.refill(now, params);
        let required = units as f64 * (1.0 + RESERVE_PER_RANK * f64::from(rank));
        let deficit = required.min(params.capacity) - *level;
        if deficit > 0.0 {
            return Err(Duration::from_secs_f64(deficit / params.refill_per_s.max(1.0)));
        }
        *level -= units as f64;
        Ok(())
    }

    /// Takes out what others have admitted.
    pub fn record_remote(&mut self, now: Instant, account: &str, units: f64) {
        let (policy, reachable_share) = (self.policy, self.reachable_share);
        if let Some(bucket) = self.buckets.get_mut(account) {
            let params = bucket.params(&policy, reachable_share);
            *bucket.refill(now, params) -= units;
        }
    }

    /// Adds what is known of an account's bucket.
    pub(crate) fn add_usage(&self, account: &str, usage: &mut AccountUsage) {
        if let Some(bucket) = self.buckets.get(account) {
            usage.bucket_level = bucket.level.map_or(0.0, |(level, _)| level);
            usage.refill_per_s = bucket.params(&self.policy, self.reachable_share).refill_per_s;
        }
    }

    /// Gives back the units of a request that has not run.
    pub fn refund(&mut self, account: &str, units: u64) {
        let bucket = self.buckets.get_mut(account);
        if let Some((level, _)) = bucket.and_then(|bucket| bucket.level.as_mut()) {
            *level += units as f64;
        }
    }
}

impl Bucket {
    /// How the bucket fills where this share of the fleet is heard.
    fn params(&self, policy: &QuotaPolicy, reachable_share: f64) -> BucketParams {
        let overage_factor = 1.0 + policy.overage * USABLE_OVERAGE_SHARE;
        let slack = policy.slack * USABLE_OVERAGE_SHARE;
        BucketParams {
            refill_per_s: reachable_share * self.quota.per_s * overage_factor,
            capacity: reachable_share * (self.quota.burst * overage_factor + slack),
        }
    }

    /// The level after what has come in until `now`.
    fn refill(&mut self, now: Instant, params: BucketParams) -> &mut f64 {
        let (level, at) = self.level.get_or_insert((params.capacity, now));
        let elapsed = now.saturating_duration_since(*at).as_secs_f64();
        *level = (*level + elapsed * params.refill_per_s).min(params.capacity);
        *at = now.max(*at);
        level
    }
}
