//! Token buckets that spread the quotas of client accounts over time.
//!
//! With a sliding window alone, an account that sends several times its rate uses the quota of the
//! whole window in one burst, and all of its requests are refused until the burst leaves the
//! window. A token bucket refills at the account's rate and holds at most its burst, so usage in
//! any second is limited as well. An account that was idle cannot use the quota of a whole window
//! at once.
//!
//! An instance that hears only a part of the fleet uses that part of a bucket. The rest is withheld, not
//! lost: a fleet that starts is heard in part for a moment, and its accounts have used nothing yet.
//!
//! A request is admitted only if it leaves a reserve for more urgent ones. The reserve is
//! proportional to the size of the request rather than to the bucket, so that small requests, which
//! have little effect, still pass.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::admission::AccountUsage;
use crate::ids::AccountId;
use crate::quota::{QuotaPolicy, USABLE_OVERAGE_SHARE};
use crate::routes::Quota;
use crate::saturating;

/// Reserve left by a request for each rank below the highest, in multiples of its own units.
const RESERVE_PER_RANK: f64 = 10.0;

/// Refill rate and capacity of a bucket.
#[derive(Clone, Copy, Debug)]
struct BucketParams {
    refill_per_s: f64,
    capacity: f64,
    /// Capacity if all of the fleet is heard.
    full_capacity: f64,
}

/// What is in a bucket.
#[derive(Clone, Copy, Debug)]
struct Level {
    units: f64,
    /// Units that may not be used while only a part of the fleet is heard.
    withheld: f64,
    /// Capacity at the last refill.
    capacity: f64,
    refilled_at: Instant,
    /// Units that the bucket would have refilled by during a suspension beyond its capacity.
    unheld: f64,
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    /// `None` if the bucket was never used and is full.
    level: Option<Level>,
}

/// The token buckets of all accounts as known to one instance.
#[derive(Debug)]
pub struct TokenBuckets {
    policy: QuotaPolicy,
    buckets: HashMap<AccountId, Bucket>,
    reachable_share: f64,
}

impl TokenBuckets {
    /// Creates an empty set of buckets.
    pub fn new(policy: QuotaPolicy) -> TokenBuckets {
        TokenBuckets { policy, buckets: HashMap::new(), reachable_share: 1.0 }
    }

    /// Replaces the quotas, keeping the levels of accounts that remain.
    pub fn configure<'a>(&mut self, quotas: impl IntoIterator<Item = (&'a AccountId, Quota)>) {
        let mut old = std::mem::take(&mut self.buckets);
        for (account, quota) in quotas {
            let level = old.remove(account).and_then(|bucket| bucket.level);
            self.buckets.insert(account.clone(), Bucket { quota, level });
        }
    }

    /// Sets the share of the fleet, including this instance, from which reports arrive.
    pub fn set_reachable_share(&mut self, reachable_share: f64) {
        self.reachable_share = reachable_share.clamp(0.0, 1.0);
    }

    /// Admits a request of `units`. `rank` is its priority among the account's requests; 0 is the
    /// most urgent.
    ///
    /// # Errors
    ///
    /// Returns the time until the bucket holds enough units.
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
        bucket.drop_unheld();
        let level = bucket.refill(now, params);
        let required = units as f64 * (1.0 + RESERVE_PER_RANK * f64::from(rank));
        let deficit = required.min(params.capacity) - *level;
        if deficit > 0.0 {
            return Err(saturating::seconds(deficit / params.refill_per_s.max(1.0)));
        }
        *level -= units as f64;
        Ok(())
    }

    /// Refills all buckets at the present share after a suspension. What a bucket does not hold is kept
    /// for what other instances admitted meanwhile and report only now, until the next admission.
    pub fn resume(&mut self, now: Instant) {
        let (policy, reachable_share) = (self.policy, self.reachable_share);
        for bucket in self.buckets.values_mut() {
            let params = bucket.params(&policy, reachable_share);
            let Some(before) = bucket.level else { continue };
            let elapsed = now.saturating_duration_since(before.refilled_at).as_secs_f64();
            let refilled = before.units + elapsed * params.refill_per_s;
            let unheld = (refilled - *bucket.refill(now, params)).max(0.0);
            bucket.level = bucket.level.map(|level| Level { unheld, ..level });
        }
    }

    /// Removes units that other instances admitted.
    pub fn record_remote(&mut self, now: Instant, account: &str, units: f64) {
        let (policy, reachable_share) = (self.policy, self.reachable_share);
        if let Some(bucket) = self.buckets.get_mut(account) {
            let params = bucket.params(&policy, reachable_share);
            let units = bucket.take_unheld(units);
            *bucket.refill(now, params) -= units;
        }
    }

    /// Adds the state of an account's bucket to `usage`.
    pub(crate) fn add_usage(&self, account: &str, usage: &mut AccountUsage) {
        if let Some(bucket) = self.buckets.get(account) {
            usage.bucket_level = bucket.level.map_or(0.0, |level| level.units);
            usage.refill_per_s = bucket.params(&self.policy, self.reachable_share).refill_per_s;
        }
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, account: &str, units: u64) {
        let bucket = self.buckets.get_mut(account);
        if let Some(level) = bucket.and_then(|bucket| bucket.level.as_mut()) {
            level.units += units as f64;
        }
    }
}

impl Bucket {
    /// Returns the parameters of the bucket if reports arrive from this share of the fleet.
    fn params(&self, policy: &QuotaPolicy, reachable_share: f64) -> BucketParams {
        let overage_factor = 1.0 + policy.overage * USABLE_OVERAGE_SHARE;
        let slack = policy.slack * USABLE_OVERAGE_SHARE;
        let full_capacity = self.quota.burst * overage_factor + slack;
        BucketParams {
            refill_per_s: reachable_share * self.quota.per_s * overage_factor,
            capacity: reachable_share * full_capacity,
            full_capacity,
        }
    }

    fn drop_unheld(&mut self) {
        self.level = self.level.map(|level| Level { unheld: 0.0, ..level });
    }

    /// Takes units from those that the bucket does not hold; returns the rest.
    fn take_unheld(&mut self, units: f64) -> f64 {
        let Some(level) = &mut self.level else { return units };
        let taken = level.unheld.min(units);
        level.unheld -= taken;
        units - taken
    }

    /// Refills the bucket and returns its level.
    fn refill(&mut self, now: Instant, params: BucketParams) -> &mut f64 {
        let BucketParams { refill_per_s, capacity, full_capacity } = params;
        let level = self.level.get_or_insert(Level {
            units: capacity,
            withheld: full_capacity - capacity,
            capacity,
            refilled_at: now,
            unheld: 0.0,
        });
        let returned = (capacity - level.capacity).clamp(0.0, level.withheld.max(0.0));
        level.units += returned;
        level.withheld = (level.withheld - returned + (level.units - capacity).max(0.0))
            .min(full_capacity - capacity);
        let elapsed = now.saturating_duration_since(level.refilled_at).as_secs_f64();
        level.units = (level.units + elapsed * refill_per_s).min(capacity);
        (level.capacity, level.refilled_at) = (capacity, now.max(level.refilled_at));
        &mut level.units
    }
}
