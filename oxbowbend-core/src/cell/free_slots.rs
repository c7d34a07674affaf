//! Free slots of a cell, for requests of other cells.
//!
//! A representative reports them to other cells, which then hand requests over that they have no
//! slot for ([`crate::overflow`]). Requests that wait in this cell go first, so a service reports
//! none while any of its requests wait. Endpoints with limits are left out: what they accept is
//! shared out among the instances of this cell, and a handover would add to it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::choice::Target;
use super::{Cell, QueuedRequest};
use crate::ids::{EndpointKey, ServiceId};
use crate::saturating;

/// Period over which freed slots are counted. An engine frees one to four slots a second, and an
/// instance uses about one engine's worth.
const FREED_WINDOW: Duration = Duration::from_secs(2);

/// The queue of a service in this cell as a new request finds it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueOutlook {
    /// Free slots that this cell may use for the service.
    pub free: u32,
    /// Waiting requests that go before the new one.
    pub ahead: u32,
    /// Slots of the service that the cell frees per second; 0 if it has freed none recently.
    pub freed_per_s: f64,
}

/// Times at which requests of this instance have freed slots, by service.
#[derive(Debug, Default)]
pub(super) struct FreedSlots {
    times: HashMap<ServiceId, VecDeque<Instant>>,
}

impl FreedSlots {
    /// Records that a request has ended.
    pub(super) fn record(&mut self, now: Instant, service: &ServiceId) {
        match self.times.get_mut(service) {
            Some(times) => {
                discard_old(now, times);
                times.push_back(now);
            }
            None => {
                self.times.insert(service.clone(), VecDeque::from([now]));
            }
        }
    }

    /// Slots freed per second.
    fn per_s(&mut self, now: Instant, service: &ServiceId) -> f64 {
        let Some(times) = self.times.get_mut(service) else { return 0.0 };
        discard_old(now, times);
        times.len() as f64 / FREED_WINDOW.as_secs_f64()
    }
}

fn discard_old(now: Instant, times: &mut VecDeque<Instant>) {
    while times.front().is_some_and(|t| now.saturating_duration_since(*t) > FREED_WINDOW) {
        times.pop_front();
    }
}

impl Cell {
    /// Free slots for requests of other cells, by service; only services of which no request waits
    /// here and whose endpoints belong to this cell alone.
    pub fn free_slots(&mut self, now: Instant) -> Vec<(ServiceId, u32)> {
        let (allowances, admissions) = (self.allowances(now), self.brittle_admissions(now));
        let mut free: BTreeMap<&ServiceId, u32> = BTreeMap::new();
        for target in self.targets(now, &allowances, admissions) {
            if is_unlimited(&target) && !self.shared_services.contains(&target.endpoint.service) {
                saturating::add(
                    free.entry(&target.endpoint.service).or_default(),
                    target.free_slots,
                );
            }
        }
        for candidate in self.candidates(now) {
            free.remove(candidate.service);
        }
        let free = free.into_iter().filter(|(_, slots)| *slots > 0);
        free.map(|(service, slots)| (service.clone(), slots)).collect()
    }

    /// Whether there is a free slot of `service` for a request of another cell beside those that the
    /// waiting requests of this cell will take.
    pub fn admits_overflow(&mut self, now: Instant, service: &ServiceId) -> bool {
        let (allowances, admissions) = (self.allowances(now), self.brittle_admissions(now));
        let targets = self.targets(now, &allowances, admissions);
        let suitable = targets.iter().filter(|t| t.endpoint.service == *service && is_unlimited(t));
        let free = saturating::sum(suitable.map(|t| t.free_slots));
        let waiting = self.candidates(now).iter().filter(|c| c.service == service).count();
        free as usize > waiting
    }

    /// Describes the queue that `request` would find in this cell.
    pub fn queue_outlook(&mut self, now: Instant, request: &QueuedRequest) -> QueueOutlook {
        let service = &request.service;
        let freed_per_s =
            self.freed_slots.per_s(now, service) * self.cell_to_own_requests(now, service);
        let allowances = self.allowances(now);
        let targets = self.targets(now, &allowances, HashMap::new());
        let of_service = targets.iter().filter(|t| t.endpoint.service == *service);
        let usable = of_service.map(|t| t.free_slots.min(t.allowance.unwrap_or(u32::MAX)));
        let free = saturating::sum(usable);
        let priority = self.unmoved_priority(now, request);
        let candidates = self.candidates(now);
        let before = candidates.iter().filter(|c| c.service == service && c.priority <= priority);
        QueueOutlook { free, ahead: before.count() as u32, freed_per_s }
    }

    /// Running requests of a service in the cell per running request of this instance. An instance that
    /// gets many more requests than its peers frees most of the cell's slots by itself. It is at most
    /// the number of instances, since few running requests tell little.
    fn cell_to_own_requests(&self, now: Instant, service: &ServiceId) -> f64 {
        let instances = f64::from(self.reachable_count.max(1));
        let is_of_service = |key: &EndpointKey| {
            self.endpoints.get(key).is_some_and(|s| s.endpoint.service == *service)
        };
        let own = self.endpoints.values().filter(|s| s.endpoint.service == *service);
        let own = saturating::sum(own.map(|s| s.running));
        if own == 0 {
            return instances;
        }
        let reported = self.live_reports(now).flat_map(|r| &r.loads);
        let reported = reported.filter(|load| is_of_service(&load.endpoint));
        let others = saturating::sum(reported.map(|load| load.running));
        (f64::from(own.saturating_add(others)) / f64::from(own)).min(instances)
    }
}

/// Whether the endpoint has neither a rate limit, a backoff nor a limit on rejections.
fn is_unlimited(target: &Target<'_>) -> bool {
    target.allowance.is_none() && target.admission.is_none()
}
