//! What is expected of endpoints that have not responded yet.
//!
//! Only answers are measured. Where all answers take longer than requests are waited for, nothing is
//! measured, and every further request is abandoned too. So each wait in vain makes the next one twice
//! as long, as in TCP's retransmission timer (P. Karn and C. Partridge, "Improving Round-Trip Time
//! Estimates in Reliable Transport Protocols", 1987): at the same endpoint until it answers, and at all
//! others of its service until any of them does. What other services take is no expectation at all.

use std::time::{Duration, Instant};

use super::assign::median;
use super::choice::first_event_at;
use super::order::generation_time;
use super::Cell;
use crate::ids::{EndpointKey, ServiceId};
use crate::silence::Expectation;

/// Most doublings of a wait: 8 times as long.
const MAX_DOUBLINGS: u32 = 3;

/// Waits in vain for an endpoint, or for all endpoints of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Silence {
    doublings: u32,
    answered_at: Option<Instant>,
}

impl Silence {
    /// Records that a request sent at `sent_at` has been waited for in vain, with so many doublings.
    /// Requests that waited at the same time count once.
    fn record(&mut self, sent_at: Instant, doublings: u32) {
        let is_answered = self.answered_at.is_some_and(|at| at > sent_at);
        if !is_answered && self.doublings <= doublings {
            self.doublings = (doublings + 1).min(MAX_DOUBLINGS);
        }
    }
}

impl Cell {
    /// Returns what is expected of a request at an endpoint with `prompt_tokens` to read, by what has
    /// been measured there, or else at other endpoints of its service.
    pub fn expectation(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        prompt_tokens: u32,
    ) -> Expectation {
        self.refresh_latency_cache(now);
        let load = self.load(now, endpoint);
        let Some(state) = self.endpoints.get(&endpoint) else { return Expectation::default() };
        let (service, slots) = (&state.endpoint.service, state.endpoint.slots);
        let measured = self.latency_cache.ns_per_unit.get(&endpoint).copied();
        let ns_per_unit = measured.or_else(|| self.service_pace(service));
        Expectation {
            first_event: ns_per_unit.map(|ns| first_event_at(ns, prompt_tokens, load, slots)),
            doublings: self.service_doublings(service).max(state.silence.doublings),
        }
    }

    /// Returns what is expected of a request at an idle endpoint of a service.
    pub fn service_expectation(
        &mut self,
        now: Instant,
        service: &ServiceId,
        prompt_tokens: u32,
    ) -> Expectation {
        self.refresh_latency_cache(now);
        let ns_per_unit = self.service_pace(service);
        Expectation {
            first_event: ns_per_unit.map(|ns| first_event_at(ns, prompt_tokens, 0, 1)),
            doublings: self.service_doublings(service),
        }
    }

    /// Returns the time that a whole response of so many tokens is expected to take at an idle endpoint
    /// of a service; `None` if nothing has been measured or its length is not known.
    pub fn service_total(
        &mut self,
        now: Instant,
        service: &ServiceId,
        prompt_tokens: u32,
        output_tokens: u32,
    ) -> Option<Duration> {
        self.refresh_latency_cache(now);
        let ns_per_unit = self.service_pace(service).filter(|_| output_tokens > 0)?;
        let first_event = first_event_at(ns_per_unit, prompt_tokens, 0, 1);
        Some(first_event.saturating_add(generation_time(output_tokens, ns_per_unit)))
    }

    /// Records that a request sent at `sent_at` has been waited for in vain, for as long as `doublings`
    /// make it.
    pub fn record_silence(&mut self, endpoint: EndpointKey, sent_at: Instant, doublings: u32) {
        let Some(state) = self.endpoints.get_mut(&endpoint) else { return };
        state.silence.record(sent_at, doublings);
        let service = state.endpoint.service.clone();
        self.silences.entry(service).or_default().record(sent_at, doublings);
    }

    /// Records an answer of an endpoint.
    pub(super) fn end_silence(&mut self, now: Instant, endpoint: EndpointKey) {
        let Some(state) = self.endpoints.get_mut(&endpoint) else { return };
        state.silence = Silence { doublings: 0, answered_at: Some(now) };
        self.silences.insert(state.endpoint.service.clone(), state.silence);
    }

    fn service_doublings(&self, service: &ServiceId) -> u32 {
        self.silences.get(service).map_or(0, |silence| silence.doublings)
    }

    /// The median of what has been measured of a service.
    fn service_pace(&self, service: &ServiceId) -> Option<f64> {
        let of_service = self.endpoints.iter().filter(|(_, s)| s.endpoint.service == *service);
        median(of_service.filter_map(|(key, _)| self.latency_cache.ns_per_unit.get(key).copied()))
    }
}
