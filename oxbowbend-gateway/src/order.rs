//! What the order of waiting requests depends on besides the requests, with its log and metrics.

use std::time::Instant;

use oxbowbend_core::cell::FloorChange;
use oxbowbend_core::fair_share::ShareChange;
use oxbowbend_core::ids::AccountId;

use crate::observe;
use crate::shared::{Shared, State};

impl Shared {
    /// Whether an account is over its fair share. Always `false` without the floor of ranks.
    pub(crate) fn is_over_share(&self, now: Instant, account: Option<&AccountId>) -> bool {
        let mut state = self.lock();
        let state = &mut *state;
        let Some(account) = account.filter(|_| state.features().rank_floor) else { return false };
        if state.fair_shares.refresh(now, || state.admission.quotas.recent_loads(now)) {
            observe::over_share(state.fair_shares.over_count());
            state.fair_shares.take_changes().iter().for_each(log_share_change);
        }
        state.fair_shares.is_over(account)
    }
}

impl State {
    /// Logs where the floor of a rank has begun or ended to act, and counts the requests that it
    /// moved.
    pub(crate) fn log_floor(&mut self, now: Instant) {
        self.cell.take_floor_changes(now).iter().for_each(log_floor_change);
        match self.cell.take_floor_placed_count() {
            0 => {}
            moved => observe::moved_by_floor(moved),
        }
    }
}

fn log_floor_change(change: &FloorChange) {
    let FloorChange { service, rank, is_acting, handed_out, share } = change;
    log::info!(
        "event=rank_floor service={service} rank={rank} is_acting={is_acting} share={share:.2} \
         handed_out_ms={}",
        handed_out.as_millis()
    );
}

fn log_share_change(change: &ShareChange) {
    let ShareChange { account, is_over, used_share, mean_used_share } = change;
    log::info!(
        "event=account_share account={account} is_over={is_over} used_share={used_share:.3} \
         mean_used_share={mean_used_share:.3}"
    );
}
