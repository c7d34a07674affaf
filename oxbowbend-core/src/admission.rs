//! Admission control for the requests of client accounts.
//!
//! An account has two limits: a sliding-window quota ([`crate::quota`]) and a token bucket
//! ([`crate::token_bucket`]) that spreads the quota over time. A request is charged to both or to
//! neither.

use std::time::{Duration, Instant};

use crate::ids::AccountId;
use crate::quota::{QuotaPolicy, Quotas};
use crate::routes::Quota;
use crate::token_bucket::TokenBuckets;

/// The limits of an account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaKind {
    /// The token bucket, including the reserve for more urgent requests.
    Rate,
    /// The sliding-window quota.
    Window,
}

/// The error returned for a request that exceeds a limit of its account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaExceeded {
    /// The limit that the request exceeds.
    pub kind: QuotaKind,
    /// Time after which the request can be admitted.
    pub retry_after: Duration,
    /// The usage that the decision is based on.
    pub usage: AccountUsage,
}

/// The usage of an account as known to one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AccountUsage {
    /// Units admitted in the window since this instance started, including those that other
    /// instances reported.
    pub admitted_units: f64,
    /// Units admitted in the window before this instance started, restored from a snapshot or a
    /// peer.
    pub restored_units: f64,
    /// Units that this instance may admit in the window.
    pub limit: f64,
    /// Units left in the bucket; negative if other instances admitted more than it held.
    pub bucket_level: f64,
    /// Refill rate of the bucket, in units per second.
    pub refill_per_s: f64,
    /// Share of the fleet from which this instance receives reports.
    pub reachable_share: f64,
}

/// The limits of all client accounts.
#[derive(Debug)]
pub struct AdmissionController {
    /// The sliding-window quotas.
    pub quotas: Quotas,
    buckets: TokenBuckets,
}

impl AdmissionController {
    /// Creates a controller without accounts.
    pub fn new(policy: QuotaPolicy) -> AdmissionController {
        AdmissionController { quotas: Quotas::new(policy), buckets: TokenBuckets::new(policy) }
    }

    /// Replaces the quotas, keeping the usage of accounts that remain.
    pub fn configure<'a>(&mut self, quotas: impl IntoIterator<Item = (&'a AccountId, Quota)>) {
        let quotas: Vec<_> = quotas.into_iter().collect();
        self.quotas.configure(quotas.iter().copied());
        self.buckets.configure(quotas);
    }

    /// Sets the share of the fleet, including this instance, from which reports arrive.
    pub fn set_reachable_share(&mut self, reachable_share: f64) {
        self.quotas.set_reachable_share(reachable_share);
        self.buckets.set_reachable_share(reachable_share);
    }

    /// Admits a request of `units`. `rank` is its priority among the account's requests; 0 is the
    /// most urgent.
    ///
    /// # Errors
    ///
    /// Returns the exceeded limit and the time after which the request can be admitted.
    pub fn admit(
        &mut self,
        now: Instant,
        account: &str,
        units: u64,
        rank: u8,
    ) -> Result<(), QuotaExceeded> {
        if let Err(retry_after) = self.buckets.admit(now, account, units, rank) {
            let usage = self.usage(account);
            return Err(QuotaExceeded { kind: QuotaKind::Rate, retry_after, usage });
        }
        self.quotas.admit(now, account, units).map_err(|retry_after| {
            self.buckets.refund(account, units);
            QuotaExceeded { kind: QuotaKind::Window, retry_after, usage: self.usage(account) }
        })
    }

    /// Returns the usage of an account.
    pub fn usage(&self, account: &str) -> AccountUsage {
        let mut usage = self.quotas.usage(account);
        self.buckets.add_usage(account, &mut usage);
        usage
    }

    /// Notes that this process was suspended until `now`. The buckets refill for that time by the share
    /// of the fleet that was heard before, and without regard to their capacity: others will report at
    /// once all that they admitted meanwhile, which would leave the buckets of accounts empty that keep
    /// to their quota.
    pub fn resume(&mut self, now: Instant) {
        self.buckets.resume(now);
    }

    /// Whether an account has a quota.
    pub fn is_limited(&self, account: &str) -> bool {
        self.quotas.is_limited(account)
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, account: &str, units: u64) {
        self.quotas.refund(account, units);
        self.buckets.refund(account, units);
    }

    /// Records units admitted by another instance of this cell or by another cell.
    pub fn record_remote(&mut self, now: Instant, account: &str, units: f64, same_cell: bool) {
        self.quotas.record_remote(now, account, units, same_cell);
        self.buckets.record_remote(now, account, units);
    }
}
