//! Use of a client account's permits, as known from a scheduler's own grants.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids;

/// Time for which an account is skipped after its owners denied it a permit.
const ACCOUNT_BACKOFF: Duration = Duration::from_millis(50);

/// Permits of one account used by this scheduler's grants, and owners that have none left.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountUsage {
    pub(super) in_use: BTreeMap<ids::InstanceId, u32>,
    pub(super) exhausted: BTreeSet<ids::InstanceId>,
    pub(super) backoff_until: Option<Instant>,
}

impl AccountUsage {
    pub(super) fn back_off(&mut self, now: Instant) {
        self.backoff_until = Some(now + ACCOUNT_BACKOFF);
        self.exhausted.clear();
    }

    /// Reverts the accounting of a failed grant.
    pub(super) fn undo_grant(&mut self, owner: &ids::InstanceId) {
        if let Some(n) = self.in_use.get_mut(owner) {
            *n = n.saturating_sub(1);
        }
    }

    /// Records the end of a run, which frees a permit.
    pub(super) fn release(&mut self, owner: &ids::InstanceId) {
        self.undo_grant(owner);
        self.exhausted.remove(owner);
        self.backoff_until = None;
    }

    /// Returns the owner with the most permits left, by this scheduler's accounting.
    pub(super) fn pick_owner(&self, shares: &[(ids::InstanceId, u32)]) -> Option<ids::InstanceId> {
        let left = |(owner, n): &(ids::InstanceId, u32)| {
            n.saturating_sub(self.in_use.get(owner).copied().unwrap_or(0))
        };
        let candidates = shares.iter().filter(|s| !self.exhausted.contains(&s.0) && left(s) > 0);
        candidates.max_by_key(|s| left(s)).map(|(owner, _)| owner.clone())
    }
}
