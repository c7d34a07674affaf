//! Quotas of client accounts, kept by all instances together without asking anybody.
//!
//! Each instance keeps a token bucket for every account and draws from it what it admits itself
//! and what the others report to have admitted. All buckets therefore tell nearly the same; what
//! was admitted while a report was on its way makes the level negative and is paid back.
//!
//! An instance that hears only some of the others takes only the same share of the rate, so that
//! the sides of a partition together stay within the quota. A bucket starts empty: what an earlier
//! life of the fleet has admitted is not known any more, and starting full would allow a second
//! burst. The price is that an account at its limit waits for a moment after a start.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::AccountId;
use crate::routes::Quota;

/// Share of the burst in a bucket at the start. An account sends well below its rate (the users'
/// sites: 1 / 1.8 of it), so a small part carries it over its first uneven moments.
const INITIAL_SHARE: f64 = 0.1;

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    level: f64,
    at: Instant,
    spent: u64,
}

/// The quotas of all accounts as one instance sees them.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: HashMap<AccountId, Bucket>,
    share: Option<f64>,
}

impl Quotas {
    /// Puts the quotas of a configuration in force.
    pub fn set<'a>(
        &mut self,
        now: Instant,
        quotas: impl IntoIterator<Item = (&'a AccountId, Quota)>,
    ) {
        let mut old = std::mem::take(&mut self.buckets);
        for (account, quota) in quotas {
            let bucket = match old.remove(account) {
                Some(mut bucket) => {
                    bucket.refill(now, self.share.unwrap_or(1.0));
                    bucket.quota = quota;
                    bucket.level = bucket.level.min(quota.burst);
                    bucket
                }
                None => Bucket { quota, level: quota.burst * INITIAL_SHARE, at: now, spent: 0 },
            };
            self.buckets.insert(account.clone(), bucket);
        }
    }

    /// Sets the share of the fleet that is heard, this instance included.
    pub fn set_share(&mut self, now: Instant, share: f64) {
        let before = self.share.replace(share).unwrap_or(1.0);
        if (before - share).abs() > f64::EPSILON {
            self.buckets.values_mut().for_each(|b| b.refill(now, before));
        }
    }

    /// Admits a request of so many units, or tells when to come back.
    ///
    /// # Errors
    ///
    /// Fails with the time until the bucket will hold enough.
    pub fn admit(&mut self, now: Instant, account: &str, units: u64) -> Result<(), Duration> {
        let share = self.share.unwrap_or(1.0);
        let Some(bucket) = self.buckets.get_mut(account) else { return Ok(()) };
        bucket.refill(now, share);
        // A request larger than the burst could never be admitted; it takes a full bucket.
        let needed = (units as f64).min(bucket.quota.burst * share);
        if bucket.level < needed {
            let rate = (bucket.quota.per_s * share).max(f64::MIN_POSITIVE);
            let seconds = ((needed - bucket.level) / rate).min(60.0);
            return Err(Duration::from_secs_f64(seconds));
        }
        bucket.level -= units as f64;
        bucket.spent += units;
        Ok(())
    }

    /// Gives back the units of a request that has not run.
    pub fn give_back(&mut self, account: &str, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level = (bucket.level + units as f64).min(bucket.quota.burst);
            bucket.spent = bucket.spent.saturating_sub(units);
        }
    }

    /// Draws what another instance has admitted.
    pub fn draw(&mut self, now: Instant, account: &str, units: f64) {
        let share = self.share.unwrap_or(1.0);
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.refill(now, share);
            bucket.level = (bucket.level - units).min(bucket.quota.burst);
        }
    }

    /// What this instance has admitted since its start, for each account.
    pub fn spent(&self) -> impl Iterator<Item = (&AccountId, u64)> {
        self.buckets.iter().map(|(account, b)| (account, b.spent))
    }
}

impl Bucket {
    fn refill(&mut self, now: Instant, share: f64) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let cap = self.quota.burst * share;
        if self.level < cap {
            self.level = (self.level + passed * self.quota.per_s * share).min(cap);
        }
    }
}
