//! The rate at which the cell hands out slots of a service.
//!
//! Dispatches alone do not tell what the slots could do: a service that is half idle hands out as
//! many as requests arrive. The rate is therefore the dispatches of the last second per second that
//! a slot was taken, times the slots that are available now (Little's law). So endpoints that are
//! added, drain or are removed change it at once, and it is right as soon as a burst has filled
//! the slots.
//!
//! While the number of taken slots rises, requests that have just started are counted with little
//! of their time. The rate is too high then, and too few requests are refused rather than too many.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::report::{CountsByRank, Report};
use super::shedding::WINDOW;
use super::{Cell, ReportDetail};
use crate::ids::{EndpointKey, ServiceId};
use crate::saturating;

/// Shortest time between two samples. Requests hold a slot for 15 ms to some seconds, and sampling
/// costs a pass over all endpoints and reports.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Fewest dispatches of the cell from which a rate is computed. Four are off by half on average.
const MIN_DISPATCHES: u32 = 4;
/// Least fraction of the rate that is assumed to be left for a rank: what the floor of 0.2 for all
/// but the first rank gives each of two.
const MIN_RANK_SHARE: f64 = 0.1;

/// Taken slots of each service within the last second.
#[derive(Debug, Default)]
pub(super) struct SlotUse {
    samples: HashMap<ServiceId, VecDeque<(Instant, u32)>>,
    sampled_at: Option<Instant>,
}

impl SlotUse {
    fn is_due(&self, now: Instant) -> bool {
        self.sampled_at.is_none_or(|at| now.saturating_duration_since(at) >= SAMPLE_INTERVAL)
    }

    fn record(&mut self, now: Instant, taken: HashMap<ServiceId, u32>) {
        self.sampled_at = Some(now);
        for (service, samples) in &mut self.samples {
            if !taken.contains_key(service) {
                samples.push_back((now, 0));
            }
        }
        for (service, taken) in taken {
            self.samples.entry(service).or_default().push_back((now, taken));
        }
        // The last sample before the window is the state at its start.
        let is_past = |at: &Instant| now.saturating_duration_since(*at) >= WINDOW;
        for samples in self.samples.values_mut() {
            while samples.get(1).is_some_and(|(at, _)| is_past(at)) {
                samples.pop_front();
            }
        }
        self.samples.retain(|_, samples| samples.iter().any(|(_, taken)| *taken > 0));
    }

    /// Time for which slots of a service were taken within the last second, in slot seconds.
    fn taken_s(&self, now: Instant, service: &ServiceId) -> f64 {
        let Some(samples) = self.samples.get(service) else { return 0.0 };
        let ends = samples.iter().skip(1).map(|(at, _)| *at).chain([now]);
        let age = |at: Instant| now.saturating_duration_since(at).min(WINDOW);
        let taken = |((from, n), to): (&(Instant, u32), Instant)| {
            age(*from).saturating_sub(age(to)).as_secs_f64() * f64::from(*n)
        };
        samples.iter().zip(ends).map(taken).sum()
    }
}

/// Rate at which the cell hands out slots of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct SlotRate {
    /// Slots handed out per second to all ranks.
    pub(super) total_per_s: f64,
    /// The part that more urgent ranks leave.
    pub(super) left_per_s: f64,
    /// Slots that are free now.
    pub(super) free_slots: u32,
}

/// Slots of a service now.
#[derive(Clone, Copy, Debug, Default)]
struct Slots {
    available: u32,
    /// Taken slots, also of endpoints that accept no more requests.
    taken: u32,
    free: u32,
}

impl Cell {
    /// Records how many slots of each service are taken, if a sample is due.
    pub(super) fn sample_slots(&mut self, now: Instant) {
        if !self.forecasts.is_enabled || !self.forecasts.slot_use.is_due(now) {
            return;
        }
        let slots = self.slots(now, |_| true);
        let taken = slots.into_iter().map(|(service, slots)| (service.clone(), slots.taken));
        let taken = taken.collect();
        self.forecasts.slot_use.record(now, taken);
    }

    /// Adds what peers need for the expected wait to a report: the requests that wait here if it
    /// does not list all of them, and the dispatches of the last second. Only heartbeats of fleets
    /// of several cells contain it. With three ranks of a service each takes some 40 bytes, and a
    /// further service of one rank 20.
    pub(super) fn report_slot_use(&self, now: Instant, detail: ReportDetail, report: &mut Report) {
        if !self.forecasts.is_enabled || detail == ReportDetail::Loads {
            return;
        }
        if self.waiting.len() > report.waiting.len() {
            let waiting = self.waiting.values().map(|w| (w.service.clone(), w.rank, 1));
            report.waiting_counts = counts_by_rank(waiting);
        }
        report.dispatched = counts_by_rank(self.shedding.dispatched(now));
    }

    /// Rate at which the cell hands out slots of a service and, of these, to a rank. `None` if
    /// too few were handed out within the last second, or none is available.
    pub(super) fn slot_rate(
        &mut self,
        now: Instant,
        service: &ServiceId,
        rank: u16,
    ) -> Option<SlotRate> {
        self.sample_slots(now);
        let slots = self.slots(now, |s| s == service).remove(service)?;
        let dispatched = self.dispatched_by_rank(now, service);
        let total = saturating::sum(dispatched.values().copied());
        let taken_s = self.forecasts.slot_use.taken_s(now, service);
        if total < MIN_DISPATCHES || slots.available == 0 || taken_s <= 0.0 {
            return None;
        }
        let total_per_s = f64::from(total) / taken_s * f64::from(slots.available);
        let urgent = saturating::sum(dispatched.range(..rank).map(|(_, n)| *n));
        let left_per_s = total_per_s - f64::from(urgent) / WINDOW.as_secs_f64();
        let left_per_s = left_per_s.max(total_per_s * MIN_RANK_SHARE);
        Some(SlotRate { total_per_s, left_per_s, free_slots: slots.free })
    }

    /// Dispatches of the cell within the last second, by rank.
    fn dispatched_by_rank(&self, now: Instant, service: &ServiceId) -> BTreeMap<u16, u32> {
        let own = self.shedding.dispatched(now).filter(|(s, _, _)| s == service);
        let mut all = BTreeMap::new();
        own.for_each(|(_, rank, n)| saturating::add(all.entry(rank).or_default(), n));
        let reported = self.live_reports(now).flat_map(|r| &r.dispatched);
        for (rank, n) in reported.filter(|(s, _)| s == service).flat_map(|(_, counts)| counts) {
            saturating::add(all.entry(*rank).or_default(), *n);
        }
        all
    }

    fn slots(
        &self,
        now: Instant,
        filter: impl Fn(&ServiceId) -> bool,
    ) -> HashMap<&ServiceId, Slots> {
        let mut reported: HashMap<EndpointKey, u32> = HashMap::new();
        for load in self.live_reports(now).flat_map(|r| &r.loads) {
            saturating::add(reported.entry(load.endpoint).or_default(), load.running);
        }
        let mut slots: HashMap<&ServiceId, Slots> = HashMap::new();
        for (key, state) in self.endpoints.iter().filter(|(_, s)| filter(&s.endpoint.service)) {
            let load = state.running.saturating_add(reported.get(key).copied().unwrap_or(0));
            let usable = (f64::from(state.endpoint.slots) * self.visible_share).ceil() as u32;
            let slots = slots.entry(&state.endpoint.service).or_default();
            saturating::add(&mut slots.taken, load.min(usable));
            if self.is_available(now, *key, state) {
                let usable = if state.health.is_on_probation() { 1 } else { usable };
                saturating::add(&mut slots.available, usable);
                saturating::add(&mut slots.free, usable.saturating_sub(load));
            }
        }
        slots
    }
}

/// Adds up counts of the same service and rank.
fn counts_by_rank(counts: impl Iterator<Item = (ServiceId, u16, u32)>) -> CountsByRank {
    let mut all: BTreeMap<ServiceId, BTreeMap<u16, u32>> = BTreeMap::new();
    for (service, rank, n) in counts {
        saturating::add(all.entry(service).or_default().entry(rank).or_default(), n);
    }
    all.into_iter().map(|(service, ranks)| (service, ranks.into_iter().collect())).collect()
}
