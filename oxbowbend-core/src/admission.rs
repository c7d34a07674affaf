//! Whether a client account's request is let in.
//!
//! Two bounds stand side by side: the operator's window ([`crate::quota`]), which is a promise, and the
//! account's rate ([`crate::token_bucket`]), which spreads what the window allows over time. A request is counted
//! in both or in neither.

use std::time::{Duration, Instant};

use crate::ids::AccountId;
use crate::quota::{QuotaBounds, Quotas};
use crate::routes::Quota;
use crate::token_bucket::TokenBuckets;

/// Bounds on what an account may have executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Bound {
    /// The account's rate, or the room that is left to its more urgent requests.
    Rate,
    /// The window.
    Window,
}

/// A request would pass its account's quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaExceeded {
    /// Which bound it would pass.
    pub bound: Bound,
    /// Time until there will be room.
    pub retry_after: Duration,
}

/// The bounds of all client accounts.
#[derive(Debug)]
pub struct Admission {
    /// The windows.
    pub quotas: Quotas,
    buckets: TokenBuckets,
}

impl Admission {
    /// No accounts yet.
    pub fn new(bounds: QuotaBounds) -> Admission {
        Admission { quotas: Quotas::new(bounds), buckets: TokenBuckets::new(bounds) }
    }

    /// Puts the quotas of a configuration in force.
    pub fn set<'a>(&mut self, quotas: impl IntoIterator<Item = (&'a AccountId, Quota)>) {
        let quotas: Vec<_> = quotas.into_iter().collect();
        self.quotas.set(quotas.iter().copied());
        self.buckets.set(quotas);
    }

    /// Sets the share of the fleet that is heard, this instance included.
    pub fn set_share(&mut self, share: f64) {
        self.quotas.set_share(share);
        self.buckets.set_share(share);
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
        let exceeded = |bound| move |retry_after| QuotaExceeded { bound, retry_after };
        self.buckets.admit(now, account, units, rank).map_err(exceeded(Bound::Rate))?;
        let admitted = self.quotas.admit(now, account, units).map_err(exceeded(Bound::Window));
        admitted.inspect_err(|_| self.buckets.give_back(account, units))
    }

    /// Gives back the units of a request that has not run.
    pub fn give_back(&mut self, account: &str, units: u64) {
        self.quotas.give_back(account, units);
        self.buckets.give_back(account, units);
    }

    /// Adds what another instance has admitted, or another cell.
    pub fn draw(&mut self, now: Instant, account: &str, units: f64, is_near: bool) {
        self.quotas.draw(now, account, units, is_near);
        self.buckets.draw(now, account, units);
    }
}
