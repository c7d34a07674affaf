//! Whether a client account's request is let in.
//!
//! Two bounds stand side by side: the operator's window ([`crate::quota`]), which is a promise, and the
//! account's rate ([`crate::token_bucket`]), which spreads what the window allows over time. A request is counted
//! in both or in neither.

use std::time::{Duration, Instant};

use crate::ids::AccountId;
use crate::quota::{QuotaPolicy, Quotas};
use crate::routes::Quota;
use crate::token_bucket::TokenBuckets;

/// Bounds on what an account may have executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaKind {
    /// The account's rate, or the room that is left to its more urgent requests.
    Rate,
    /// The window.
    Window,
}

/// A request would pass its account's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaExceeded {
    /// Which bound it would pass.
    pub kind: QuotaKind,
    /// Time until there will be room.
    pub retry_after: Duration,
    /// What it was decided from.
    pub usage: AccountUsage,
}

/// What an instance knows of an account's usage.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AccountUsage {
    /// Units admitted in the window by this instance, and by others as they told.
    pub admitted_units: f64,
    /// Units that were in the window before this instance's start, as was noted or told.
    pub restored_units: f64,
    /// Units that this instance may use of the window.
    pub limit: f64,
    /// Units left in the bucket; below 0, what others have taken beyond it.
    pub bucket_level: f64,
    /// Units a second that the bucket gets.
    pub refill_per_s: f64,
    /// Share of the fleet that is heard.
    pub reachable_share: f64,
}

/// The bounds of all client accounts.
#[derive(Debug)]
pub struct AdmissionController {
    /// The windows.
    pub quotas: Quotas,
    buckets: TokenBuckets,
}

impl AdmissionController {
    /// No accounts yet.
    pub fn new(policy: QuotaPolicy) -> AdmissionController {
        AdmissionController { quotas: Quotas::new(policy), buckets: TokenBuckets::new(policy) }
    }

    /// Puts the quotas of a configuration in force.
    pub fn configure<'a>(&mut self, quotas: impl IntoIterator<Item = (&'a AccountId, Quota)>) {
        let quotas: Vec<_> = quotas.into_iter().collect();
        self.quotas.configure(quotas.iter().copied());
        self.buckets.configure(quotas);
    }

    /// Sets the share of the fleet that is heard, this instance included.
    pub fn set_reachable_share(&mut self, reachable_share: f64) {
        self.quotas.set_reachable_share(reachable_share);
        self.buckets.set_reachable_share(reachable_share);
    }

    /// Admits a request of so many units, or tells why not. `rank` is that among the account's
    /// requests; 0 is the most urgent.
    ///
    /// # Errors
    ///
    /// Fails with the time until the window or the rate will have room.
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

    /// What is known of an account's usage.
    pub fn usage(&self, account: &str) -> AccountUsage {
        let mut usage = self.quotas.usage(account);
        self.buckets.add_usage(account, &mut usage);
        usage
    }

    /// Gives back the units of a request that has not run.
    pub fn refund(&mut self, account: &str, units: u64) {
        self.quotas.refund(account, units);
        self.buckets.refund(account, units);
    }

    /// Adds what another instance has admitted, or another cell.
    pub fn record_remote(&mut self, now: Instant, account: &str, units: f64, same_cell: bool) {
        self.quotas.record_remote(now, account, units, same_cell);
        self.buckets.record_remote(now, account, units);
    }
}
