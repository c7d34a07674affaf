//! What this instance does right after it was suspended: callers' requests wait in its sockets beside the
//! reports of others, and may be read first.

use std::time::{Duration, Instant};

use oxbowbend_clock as clock;

use crate::shared::{Shared, State};

impl State {
    /// Records that the process runs.
    pub(crate) fn record_step(&mut self, now: Instant) {
        if let Some(gap) = self.continuity.record_step(now) {
            self.admission.resume(now);
            self.rollouts.resume();
            log::warn!(
                "event=resumed suspended_ms={} peers={} instances={}",
                gap.as_millis(),
                self.heard(now),
                self.instances
            );
        }
    }
}

impl Shared {
    /// Time until it is known again what others have admitted for an account; zero unless this instance was
    /// just suspended and the account has a quota.
    pub(crate) fn usage_known_in(&self, account: &str) -> Duration {
        let left = self.catch_up_left();
        let state = self.lock();
        // Alone, an instance has nobody to hear.
        match state.instances > 1 && state.admission.is_limited(account) {
            true => left,
            false => Duration::ZERO,
        }
    }

    /// Time until this instance has heard again what happened while it was suspended; zero unless it just was.
    pub(crate) fn catch_up_left(&self) -> Duration {
        let (now, mut state) = (clock::now(), self.lock());
        state.record_step(now);
        state.continuity.catch_up_left(now).unwrap_or_default()
    }
}
