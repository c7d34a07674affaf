//! The watches of the store: what each is for at the moment, and when it is given up. The decisions are
//! [`oxbowbend_core::subscription`]'s; here they meet what other instances report.

use std::time::{Duration, Instant};

use oxbowbend_core::cell::Report;
use oxbowbend_core::subscription::{CancelReason, Role, Subscription, WatchParams};

use crate::observe;
use crate::seam::{Part, Position};
use crate::shared::{Shared, State};

/// Time for which others must have had a newer configuration before that is logged.
const LAG_LOGGED: Duration = Duration::from_millis(500);

/// Age from which a configuration is not confirmed, as a multiple of the time within which changes must be in
/// force. Instances verify it more often than once in that time, and take over from each other within twice of it.
const CONFIRMED_WITHIN: u32 = 2;

/// The watches of both parts of the store.
#[derive(Default)]
pub(crate) struct Subscriptions {
    config: Subscription,
    endpoints: Subscription,
}

impl Subscriptions {
    /// Notes that everything was read anew.
    pub(crate) fn listed(&mut self, now: Instant) {
        self.config.reset(now);
        self.endpoints.reset(now);
    }

    pub(crate) fn get(&mut self, part: Part) -> &mut Subscription {
        match part {
            Part::Config => &mut self.config,
            Part::Endpoints => &mut self.endpoints,
        }
    }
}

impl State {
    /// What this instance's watch of a part is for. In a fleet of several cells others copy this one's
    /// endpoints, and are told of changes later than it; so these are verified more often.
    pub(crate) fn role(&self, now: Instant, part: Part) -> Role {
        let is_before = |r: &&Report| r.has_store && r.instance < self.me;
        let all = self.cell.live_reports(now).chain(self.cell.remote_reports(now));
        let rank = all.filter(is_before).count();
        let role = Role::new(rank, self.sources.in_force());
        match part {
            Part::Endpoints if self.group.cell_count > 1 => {
                Role { verify_interval: self.sources.watch(), ..role }
            }
            _ => role,
        }
    }

    /// Gives a watch up that is not to be relied on.
    fn give_up(&mut self, now: Instant, part: Part) -> Option<CancelReason> {
        let role = self.role(now, part);
        self.subscriptions.get(part).check_cancel(now, role)
    }

    /// Whether the store has told this instance, or one that knows the same, lately that there is no newer
    /// configuration.
    pub(crate) fn is_config_confirmed(&self, now: Instant) -> bool {
        let max_age = self.sources.in_force() * CONFIRMED_WITHIN;
        self.subscriptions.config.age(now).is_some_and(|age| age <= max_age)
    }

    /// Milliseconds since the store last told this instance that there is no newer configuration; none while
    /// it does not follow it.
    pub(crate) fn config_ms(&mut self, now: Instant) -> Option<u32> {
        let age = self.subscriptions.config.own_age(now).filter(|_| self.sources.is_store())?;
        Some(age.as_millis().min(u32::MAX.into()) as u32)
    }

    /// Milliseconds since the store told this instance, or one that knows the same, that there is no newer
    /// list of endpoints; none while it is no source for others.
    pub(crate) fn list_ms(&self, now: Instant) -> Option<u32> {
        let age = self.subscriptions.endpoints.age(now);
        self.sources.offered_age_ms(self.world.is_store_away(), age)
    }

    /// Compares what this instance knows with what another one does.
    pub(crate) fn compare(&mut self, now: Instant, report: &Report) {
        let as_of = |ms: u32| now.checked_sub(Duration::from_millis(ms.into()));
        // In another epoch nothing that is known of the store holds, even if it looks the same.
        let is_same_epoch = report.epoch == self.world.epoch();
        if let Some(as_of) = report.store_age_ms.and_then(as_of) {
            let is_same = report.endpoints_digest == self.world.digest() && is_same_epoch;
            self.subscriptions.endpoints.record_peer(now, as_of, is_same);
        }
        let version = self.world.table().map_or(0, |t| t.version());
        self.config_lag.record(now, version, report.config_version);
        let as_of =
            report.config_age_ms.and_then(as_of).filter(|_| report.config_version >= version);
        if let Some(as_of) = as_of {
            let is_same = report.config_version == version && is_same_epoch;
            self.subscriptions.config.record_peer(now, as_of, is_same);
        }
    }

    /// Whether a report shows that its sender has another list of endpoints, which is not older.
    pub(crate) fn has_other_endpoints(&self, report: &Report) -> bool {
        let position = Position { epoch: report.epoch, revision: report.revision };
        report.endpoints_digest != self.world.digest() && position >= self.world.position()
    }

    /// Whether a report shows a configuration newer than this instance's.
    pub(crate) fn has_newer_config(&self, report: &Report) -> bool {
        report.config_version > self.world.table().map_or(0, |t| t.version())
    }

    /// Whether a report shows newer lists than this instance's, which the store will not soon tell.
    pub(crate) fn has_newer_lists(&self, report: &Report) -> bool {
        let position = Position { epoch: report.epoch, revision: report.revision };
        let is_newer = position > self.world.position()
            || (report.has_store && self.has_other_endpoints(report));
        self.world.is_cut_off() && is_newer
    }
}

impl Shared {
    /// Gives watches up that are not to be relied on.
    pub(crate) fn give_up(&self, now: Instant) {
        for part in [Part::Config, Part::Endpoints] {
            if let Some(why) = self.lock().give_up(now, part) {
                // A full channel means that it was given up already.
                let _ = self.given_up[part as usize].0.try_send(why);
            }
        }
    }

    /// Shows for how long others have had a newer configuration than this instance.
    pub(crate) fn report_config_lag(&self, now: Instant) {
        let state = self.lock();
        let version = state.world.table().map_or(0, |t| t.version());
        let behind = state.config_lag.behind(now, version);
        drop(state);
        observe::config_behind(behind.map_or(Duration::ZERO, |(_, time)| time));
        if let Some((newest, time)) = behind.filter(|(_, time)| *time >= LAG_LOGGED) {
            log::warn!(
                "event=config_behind version={version} newest={newest} behind_ms={}",
                time.as_millis()
            );
        }
    }

    /// Begins a watch of a part.
    pub(crate) fn begin_watch(&self, now: Instant, part: Part) -> WatchParams {
        // A watch can be answered in the moment in which it is given up.
        let _ = self.given_up[part as usize].1.try_recv();
        let mut state = self.lock();
        let role = state.role(now, part);
        state.subscriptions.get(part).start_watch(now, role)
    }

    /// Waits until the watch of a part is given up.
    pub(crate) async fn given_up(&self, part: Part) -> CancelReason {
        match self.given_up[part as usize].1.recv().await {
            Ok(why) => why,
            // This instance holds the sender as well.
            Err(_) => std::future::pending().await,
        }
    }
}
