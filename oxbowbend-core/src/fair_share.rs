//! Which client accounts use more than their fair share while requests compete for slots.
//!
//! Accounts share slots in proportion to their quotas. An account that sends several times its usual
//! load stays within its quota for a while, and would take the slots of all other accounts of its
//! rank if requests were ordered by deadline alone. Requests of accounts over their share therefore
//! go after all others of their rank.
//!
//! The comparison is with the other accounts and not with a fixed part of the quota, since all
//! accounts together may use little of their quotas while there are still too few slots.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::AccountId;

/// Time over which the usage of accounts is compared. It covers the 0.3 s in which other cells learn
/// of usage several times.
pub const USAGE_PERIOD: Duration = Duration::from_secs(2);
/// Ratio of an account's usage to the mean above which it is over its share. Usage in
/// [`USAGE_PERIOD`] varies by a tenth to a fifth without a change of the load.
pub const OVER_SHARE_RATIO: f64 = 1.25;
/// Maximum age of the cached result.
const CACHE_TTL: Duration = Duration::from_millis(100);
/// Minimum time between two reported changes of one account.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// The recent usage of an account with a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountLoad {
    /// The account.
    pub account: AccountId,
    /// Units admitted by all instances within [`USAGE_PERIOD`].
    pub units: f64,
    /// Quota in units per second.
    pub quota_per_s: f64,
}

impl AccountLoad {
    /// Used part of the quota; `None` if the account used nothing or may use nothing.
    fn used_share(&self) -> Option<f64> {
        (self.units > 0.0 && self.quota_per_s > 0.0)
            .then(|| self.units / (self.quota_per_s * USAGE_PERIOD.as_secs_f64()))
    }
}

/// Mean of the used part of the quota over all accounts that used anything.
fn mean_used_share(loads: &[AccountLoad]) -> f64 {
    let shares: Vec<_> = loads.iter().filter_map(AccountLoad::used_share).collect();
    shares.iter().sum::<f64>() / shares.len().max(1) as f64
}

/// Returns the accounts whose used part of their quota exceeds the mean by more than
/// [`OVER_SHARE_RATIO`].
///
/// # Examples
///
/// ```
/// use oxbowbend_core::fair_share::{over_share, AccountLoad};
///
/// let load = |account: &str, units| AccountLoad {
///     account: account.into(),
///     units,
///     quota_per_s: 100.0,
/// };
/// let over = over_share(&[load("a", 100.0), load("b", 110.0), load("c", 180.0)]);
/// assert_eq!(over.into_iter().collect::<Vec<_>>(), ["c".into()]);
/// ```
pub fn over_share(loads: &[AccountLoad]) -> BTreeSet<AccountId> {
    let limit = mean_used_share(loads) * OVER_SHARE_RATIO;
    let is_over = |load: &&AccountLoad| load.used_share().is_some_and(|share| share > limit);
    loads.iter().filter(is_over).map(|load| load.account.clone()).collect()
}

/// An account that went over or under its share, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// The account.
    pub account: AccountId,
    /// Whether it is over its share.
    pub is_over: bool,
    /// Part of its quota that it used within [`USAGE_PERIOD`].
    pub used_share: f64,
    /// Mean of this part over all accounts that used anything.
    pub mean_used_share: f64,
}

/// The accounts over their share, recomputed at most every 100 ms.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use oxbowbend_core::fair_share::{AccountLoad, FairShares};
///
/// let load = |account: &str, units| AccountLoad {
///     account: account.into(),
///     units,
///     quota_per_s: 100.0,
/// };
/// let mut shares = FairShares::default();
/// shares.refresh(Instant::now(), || vec![load("a", 20.0), load("b", 180.0)]);
/// assert!(shares.is_over("b") && !shares.is_over("a"));
/// assert_eq!(shares.take_changes().len(), 1);
/// ```
#[derive(Debug, Default)]
pub struct FairShares {
    over: BTreeSet<AccountId>,
    computed_at: Option<Instant>,
    /// Last change of each account that was returned, and its time.
    reported: BTreeMap<AccountId, (Instant, bool)>,
    changes: Vec<ShareChange>,
}

impl FairShares {
    /// Recomputes the accounts over their share from `loads` if the last result has expired.
    /// Returns whether it had.
    pub fn refresh(&mut self, now: Instant, loads: impl FnOnce() -> Vec<AccountLoad>) -> bool {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < CACHE_TTL;
        if self.computed_at.is_some_and(is_fresh) {
            return false;
        }
        self.computed_at = Some(now);
        let loads = loads();
        self.over = over_share(&loads);
        self.record_changes(now, &loads);
        true
    }

    /// Whether an account is over its share.
    pub fn is_over(&self, account: &str) -> bool {
        self.over.contains(account)
    }

    /// Number of accounts over their share.
    pub fn over_count(&self) -> usize {
        self.over.len()
    }

    /// Returns the changes since the last call, at most one for each account and second. A change
    /// that is undone within this second is left out.
    pub fn take_changes(&mut self) -> Vec<ShareChange> {
        std::mem::take(&mut self.changes)
    }

    fn record_changes(&mut self, now: Instant, loads: &[AccountLoad]) {
        let mean_used_share = mean_used_share(loads);
        for load in loads {
            let is_over = self.over.contains(&load.account);
            let is_due = match self.reported.get(&load.account) {
                None => is_over,
                Some((at, was_over)) => {
                    *was_over != is_over
                        && now.saturating_duration_since(*at) >= MIN_CHANGE_INTERVAL
                }
            };
            if is_due {
                self.reported.insert(load.account.clone(), (now, is_over));
                self.changes.push(ShareChange {
                    account: load.account.clone(),
                    is_over,
                    used_share: load.used_share().unwrap_or(0.0),
                    mean_used_share,
                });
            }
        }
    }
}
