//! Sliding-window quotas of client accounts, enforced by all instances without coordination.
//!
//! Each instance adds the units that the other instances report to those that it admits itself.
//! Units admitted while a report is in transit are covered by the configured overage.
//!
//! An instance that receives reports from only part of the fleet uses only that share of the limit,
//! so the sides of a network partition together stay within it. An instance that has just started
//! restores the window from the last snapshot in the store, which one of the instances writes
//! several times a second, and assumes that usage continued at the rate of the snapshot's last
//! second. It also restores the window from its peers' reports, because the snapshot is lost if all
//! instances that could write it stop.
//!
//! Part of the configured overage is admitted as well; the rest covers reports in transit.
//!
//! After a start without a snapshot no usage is assumed: where all instances restart within a few
//! seconds, that would refuse most of what is owed. Usage up to the overage is admitted like the rest;
//! admitting it after everything else costs more than it gains.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::admission::AccountUsage;
use crate::fair_share::{AccountLoad, USAGE_PERIOD};
use crate::ids::AccountId;
use crate::routes::Quota;

/// Age of a snapshot when it is read: the interval between writes plus the latency of the store.
const SNAPSHOT_DELAY: Duration = Duration::from_millis(600);
/// Length of the slots of a snapshot.
const SNAPSHOT_SLOT: Duration = Duration::from_secs(1);
/// Length of the slots of a [`RecentUsage`].
pub const RECENT_SLOT: Duration = Duration::from_millis(250);
/// Slots of a [`RecentUsage`]; must cover the 1.5 s for which the previous representative of a cell
/// may have been silent.
const RECENT_SLOTS: u32 = 12;
/// Number of slices of the window; units admitted in the same slice are merged.
const WINDOW_SLICES: u32 = 32;
/// Share of the configured overage that is admitted; the rest covers reports in transit.
pub(crate) const USABLE_OVERAGE_SHARE: f64 = 0.6;
/// Share of the limit above which admitted units are reported at once, since the limit may be
/// reached before the next heartbeat.
const NEAR_LIMIT_SHARE: f64 = 0.6;

/// The age of a snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SnapshotAge {
    /// At most the usual delay of snapshots.
    Fresh,
    /// Unknown, since the snapshot comes from an older copy of the store. Usage is assumed to have
    /// continued for a whole window.
    Old,
}

/// Units that an account used in each of the last seconds, newest first.
pub type WindowUsage = Vec<u64>;

/// Units admitted in each of the last slots of length [`RECENT_SLOT`], newest first.
pub type RecentUsage = Vec<u64>;

/// Returns the units admitted within the last `time`.
pub fn admitted_within(recent: &[u64], time: Duration) -> f64 {
    let slots = time.as_secs_f64() / RECENT_SLOT.as_secs_f64();
    let part = |(n, units): (usize, &u64)| *units as f64 * (slots - n as f64).clamp(0.0, 1.0);
    recent.iter().enumerate().map(part).sum()
}

/// Settings that apply to all quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaPolicy {
    /// Length of the window.
    pub window: Duration,
    /// Share of the limit by which it may be exceeded.
    pub overage: f64,
    /// Units by which it may be exceeded in addition.
    pub slack: f64,
}

#[derive(Debug)]
struct Usage {
    quota: Quota,
    /// Units admitted by this instance since it started.
    local_total: u64,
    /// Units reported by the other instances of this cell since then.
    cell_peers_total: u64,
    /// Units reported by other cells since then.
    other_cells_total: u64,
    /// Units admitted recently in this cell.
    cell_recent: TimedUnits,
    /// Units admitted recently in other cells.
    other_cells_recent: TimedUnits,
    /// Units in the window admitted since this instance started, including reported ones.
    admitted: TimedUnits,
    /// Units in the window admitted before this instance started.
    restored: TimedUnits,
}

/// Units with the times of their admission, oldest first.
#[derive(Debug, Default)]
struct TimedUnits {
    entries: VecDeque<(Instant, f64)>,
    total: f64,
}

/// The quotas of all accounts as known to one instance.
#[derive(Debug)]
pub struct Quotas {
    policy: QuotaPolicy,
    usages: HashMap<AccountId, Usage>,
    reachable_share: f64,
}

impl Quotas {
    /// Creates an empty set of quotas.
    pub fn new(policy: QuotaPolicy) -> Quotas {
        Quotas { policy, usages: HashMap::new(), reachable_share: 1.0 }
    }

    /// Replaces the quotas, keeping the usage of accounts that remain.
    pub fn configure<'a>(&mut self, quotas: impl IntoIterator<Item = (&'a AccountId, Quota)>) {
        let mut old = std::mem::take(&mut self.usages);
        for (account, quota) in quotas {
            let usage = match old.remove(account) {
                Some(usage) => Usage { quota, ..usage },
                None => Usage {
                    quota,
                    local_total: 0,
                    cell_peers_total: 0,
                    other_cells_total: 0,
                    cell_recent: TimedUnits::default(),
                    other_cells_recent: TimedUnits::default(),
                    admitted: TimedUnits::default(),
                    restored: TimedUnits::default(),
                },
            };
            self.usages.insert(account.clone(), usage);
        }
    }

    /// Sets the share of the fleet, including this instance, from which reports arrive.
    pub fn set_reachable_share(&mut self, reachable_share: f64) {
        self.reachable_share = reachable_share.clamp(0.0, 1.0);
    }

    /// Admits a request of `units`.
    ///
    /// # Errors
    ///
    /// Returns the time until the window has room for the request.
    pub fn admit(&mut self, now: Instant, account: &str, units: u64) -> Result<(), Duration> {
        let Some(usage) = self.usages.get_mut(account) else { return Ok(()) };
        usage.expire(now, self.policy.window);
        let limit = usage.usable_limit(&self.policy, self.reachable_share);
        if usage.admitted.total + units as f64 > limit {
            return Err(usage.retry_after(now, limit, units as f64, self.policy.window));
        }
        usage.admitted.add_merged(now, units as f64, self.policy.window / WINDOW_SLICES);
        usage.cell_recent.add_recent(now, units as f64);
        usage.local_total = usage.local_total.saturating_add(units);
        Ok(())
    }

    /// Whether an account has a quota.
    pub fn is_limited(&self, account: &str) -> bool {
        self.usages.contains_key(account)
    }

    /// Returns the usage of an account's window.
    pub fn usage(&self, account: &str) -> AccountUsage {
        let Some(usage) = self.usages.get(account) else { return AccountUsage::default() };
        AccountUsage {
            admitted_units: usage.admitted.total,
            restored_units: usage.restored.total,
            limit: usage.usable_limit(&self.policy, self.reachable_share),
            reachable_share: self.reachable_share,
            ..AccountUsage::default()
        }
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, account: &str, units: u64) {
        if let Some(usage) = self.usages.get_mut(account) {
            usage.admitted.remove_newest(units as f64);
            usage.cell_recent.remove_newest(units as f64);
            usage.local_total = usage.local_total.saturating_sub(units);
        }
    }

    /// Records units admitted by another instance of this cell or by another cell.
    pub fn record_remote(&mut self, now: Instant, account: &str, units: f64, same_cell: bool) {
        if let Some(usage) = self.usages.get_mut(account) {
            match same_cell {
                true => {
                    usage.cell_peers_total = usage.cell_peers_total.saturating_add(units as u64);
                    usage.cell_recent.add_recent(now, units);
                }
                false => {
                    usage.other_cells_total = usage.other_cells_total.saturating_add(units as u64);
                    usage.other_cells_recent.add_recent(now, units);
                }
            }
            usage.admitted.add_merged(now, units, self.policy.window / WINDOW_SLICES);
        }
    }

    /// Returns whether the usage of any account must be reported to the other instances at once.
    pub fn is_near_limit(&self) -> bool {
        self.usages.values().any(|u| {
            let limit = (u.limit(&self.policy) - u.restored.total) * self.reachable_share;
            u.admitted.total > limit * NEAR_LIMIT_SHARE
        })
    }

    /// Returns the window usage of all accounts that have any.
    pub fn window_usage(&mut self, now: Instant) -> Vec<(AccountId, WindowUsage)> {
        let window = self.policy.window;
        let windows = self.usages.iter_mut().filter_map(|(account, usage)| {
            usage.expire(now, window);
            (usage.total() >= 1.0).then(|| (account.clone(), usage.units_per_second(now)))
        });
        let mut windows: Vec<_> = windows.collect();
        windows.sort();
        windows
    }

    /// Restores an account's window from a snapshot. Of several snapshots, the one with the highest
    /// usage is kept.
    pub fn restore(
        &mut self,
        now: Instant,
        account: &str,
        window: &[u64],
        snapshot_age: SnapshotAge,
    ) {
        let Some(usage) = self.usages.get_mut(account) else { return };
        let delay = match snapshot_age {
            SnapshotAge::Fresh => SNAPSHOT_DELAY,
            SnapshotAge::Old => self.policy.window,
        };
        let estimated = window.first().map_or(0.0, |last| *last as f64) * delay.as_secs_f64();
        let restored = total(window) + estimated;
        if restored <= usage.restored.total {
            return;
        }
        usage.restored = TimedUnits::default();
        for (age, units) in window.iter().enumerate().rev() {
            // Use the newest end of the slot, so that no units expire too early.
            let at = now.checked_sub(SNAPSHOT_SLOT * age as u32).unwrap_or(now);
            usage.restored.add(at, *units as f64);
        }
        usage.restored.add(now, estimated);
    }

    /// Restores an account's window from a peer's report that arrives shortly after the start. The
    /// report includes the units admitted since then.
    pub fn restore_from_peer(&mut self, now: Instant, account: &str, window: &[u64]) {
        let Some(usage) = self.usages.get_mut(account) else { return };
        let reported = total(window);
        if reported - usage.admitted.total <= usage.restored.total {
            return;
        }
        let mut since_start = usage.admitted.total;
        usage.restored = TimedUnits::default();
        for (age, units) in window.iter().enumerate() {
            let before_start = (*units as f64 - since_start).max(0.0);
            since_start -= *units as f64 - before_start;
            let at = now.checked_sub(SNAPSHOT_SLOT * age as u32).unwrap_or(now);
            usage.restored.add_oldest(at, before_start);
        }
    }

    /// Returns the units admitted by this instance since it started, by account.
    pub fn local_totals(&self) -> impl Iterator<Item = (&AccountId, u64)> {
        self.usages.iter().map(|(account, u)| (account, u.local_total))
    }

    /// Returns the units that other cells reported since this instance started, by account.
    pub fn other_cells_totals(&self) -> impl Iterator<Item = (&AccountId, u64)> {
        self.usages.iter().map(|(account, u)| (account, u.other_cells_total))
    }

    /// Returns the units admitted recently in this cell, by account.
    pub fn cell_recent(&self, now: Instant) -> Vec<(AccountId, RecentUsage)> {
        let recent = self.usages.iter().map(|(a, u)| (a.clone(), u.cell_recent.recent(now)));
        recent.filter(|(_, slots)| !slots.is_empty()).collect()
    }

    /// Returns the units admitted recently in other cells, by account.
    pub fn other_cells_recent(&self, now: Instant) -> Vec<(AccountId, RecentUsage)> {
        let recent = self.usages.iter().map(|(a, u)| (a.clone(), u.other_cells_recent.recent(now)));
        recent.filter(|(_, slots)| !slots.is_empty()).collect()
    }

    /// Returns the units that all instances admitted within [`USAGE_PERIOD`], by account.
    pub fn recent_loads(&self, now: Instant) -> Vec<AccountLoad> {
        let units = |units: &TimedUnits| admitted_within(&units.recent(now), USAGE_PERIOD);
        let load = |(account, u): (&AccountId, &Usage)| AccountLoad {
            account: account.clone(),
            units: units(&u.cell_recent) + units(&u.other_cells_recent),
            quota_per_s: u.quota.per_s,
        };
        self.usages.iter().map(load).collect()
    }

    /// Returns the units admitted in this cell since this instance started, by account.
    pub fn cell_totals(&self) -> impl Iterator<Item = (&AccountId, u64)> {
        self.usages
            .iter()
            .map(|(account, u)| (account, u.local_total.saturating_add(u.cell_peers_total)))
    }
}

/// Units of a window.
fn total(window: &[u64]) -> f64 {
    window.iter().map(|units| *units as f64).sum()
}

impl Usage {
    fn limit(&self, policy: &QuotaPolicy) -> f64 {
        self.quota.per_s * policy.window.as_secs_f64() + self.quota.burst
    }

    /// Returns the part of the limit that an instance may use if it receives reports from this
    /// share of the fleet.
    fn usable_limit(&self, policy: &QuotaPolicy, reachable_share: f64) -> f64 {
        let limit = self.limit(policy);
        let overage = (limit * policy.overage + policy.slack) * USABLE_OVERAGE_SHARE;
        reachable_share * (limit + overage - self.restored.total)
    }

    fn total(&self) -> f64 {
        self.admitted.total + self.restored.total
    }

    fn units_per_second(&self, now: Instant) -> WindowUsage {
        let mut slots = WindowUsage::new();
        for (at, units) in self.admitted.entries.iter().chain(&self.restored.entries) {
            let age = now.saturating_duration_since(*at).as_secs() as usize;
            if slots.len() <= age {
                slots.resize(age + 1, 0);
            }
            slots[age] = slots[age].saturating_add(*units as u64);
        }
        slots
    }

    /// Removes slices whose newest units have left the window.
    fn expire(&mut self, now: Instant, window: Duration) {
        self.admitted.expire(now, window + window / WINDOW_SLICES);
        self.restored.expire(now, window + window / WINDOW_SLICES);
    }

    /// Returns the time until the window has room for `units`.
    fn retry_after(&self, now: Instant, limit: f64, units: f64, window: Duration) -> Duration {
        let mut excess = self.admitted.total + units - limit;
        let mut entries: Vec<_> =
            self.admitted.entries.iter().chain(&self.restored.entries).collect();
        entries.sort_by_key(|(at, _)| *at);
        for (at, sum) in entries {
            excess -= sum;
            if excess <= 0.0 {
                return (*at + window + window / WINDOW_SLICES).saturating_duration_since(now);
            }
        }
        window
    }
}

impl TimedUnits {
    fn add(&mut self, now: Instant, units: f64) {
        self.entries.push_back((now, units));
        self.total += units;
    }

    /// Adds units that are older than all others.
    fn add_oldest(&mut self, at: Instant, units: f64) {
        self.entries.push_front((at, units));
        self.total += units;
    }

    /// Adds units to the newest entry if it is younger than `slice`, or else as a new entry.
    fn add_merged(&mut self, now: Instant, units: f64, slice: Duration) {
        match self.entries.back_mut() {
            Some((at, sum)) if now.saturating_duration_since(*at) < slice => {
                *sum += units;
                self.total += units;
            }
            _ => self.add(now, units),
        }
    }

    /// Adds units and removes those that are no longer reported as recent.
    fn add_recent(&mut self, now: Instant, units: f64) {
        self.expire(now, RECENT_SLOT * RECENT_SLOTS);
        self.add_merged(now, units, RECENT_SLOT / 4);
    }

    /// Returns the recent slots up to the oldest non-empty one.
    fn recent(&self, now: Instant) -> RecentUsage {
        let mut slots = RecentUsage::new();
        for (at, units) in &self.entries {
            let slot = now.saturating_duration_since(*at).as_millis() / RECENT_SLOT.as_millis();
            let slot = slot as usize;
            if slot < RECENT_SLOTS as usize && *units > 0.0 {
                slots.resize(slots.len().max(slot + 1), 0);
                slots[slot] = slots[slot].saturating_add(*units as u64);
            }
        }
        slots
    }

    fn remove_newest(&mut self, units: f64) {
        let mut remaining = units;
        for (_, sum) in self.entries.iter_mut().rev() {
            let taken = remaining.min(*sum);
            *sum -= taken;
            self.total -= taken;
            remaining -= taken;
        }
    }

    fn expire(&mut self, now: Instant, retention: Duration) {
        while let Some((at, sum)) = self.entries.front() {
            if now.saturating_duration_since(*at) < retention {
                break;
            }
            self.total -= sum;
            self.entries.pop_front();
        }
    }
}
