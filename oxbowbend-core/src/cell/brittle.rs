//! Brittle endpoints: they fall over if all instances together make them reject too many requests
//! in a second.
//!
//! Until a sent request has its first event, or for [`CONFIRM_TIME`], it may still be rejected. Each
//! instance has a share of the rejections that an endpoint tolerates, and never has more requests
//! at risk or rejected within [`REJECTION_WINDOW`] than its share. So the sum of all rejections
//! stays within the tolerance, whatever instances know of each other.
//!
//! Where an endpoint tolerates fewer rejections than there are instances, only the first ones in its
//! order have a share. The others send one request at a time, and only if they know the load of all
//! instances, enough free slots for all others without a share, and of no recent rejection. That
//! makes rejections rare, but does not rule them out.
//!
//! The requests at risk also bound how fast an empty endpoint fills after a restart, and how fast
//! the load of one that has ended moves to others. An endpoint that has just started counts as
//! brittle if others of its service do.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::announced::{AnnouncedLimits, LimitChange, ReportedLimit, MAX_REPORTED};
use super::sharing::{Scope, SharingInstances};
use super::signals::{Audience, Origin, SignalValue};
use crate::ids::{EndpointKey, ServiceId};

/// Time after which a request without an answer counts as accepted: a full endpoint rejects it
/// within a round trip.
const CONFIRM_TIME: Duration = Duration::from_millis(50);
/// Time for which a rejection counts: the second in which endpoints count, and a margin for the
/// rates of clocks.
const REJECTION_WINDOW: Duration = Duration::from_millis(1050);
/// Time after a rejection in which an instance without a share sends nothing to the endpoint.
const PAUSE_WITHOUT_SHARE: Duration = Duration::from_secs(4);
/// Age of another instance's last report from which its load is not known: some heartbeats.
pub(super) const CURRENT_REPORT_AGE: Duration = Duration::from_millis(300);
/// Number of free slots that an instance without a share must know of at least.
const MIN_MARGIN_SLOTS: usize = 2;

/// Tolerance from which an endpoint is not treated as brittle; bounds what is kept.
const MAX_TOLERANCE: f64 = 1000.0;
/// Time for which a service counts as brittle after the last sign that one of its endpoints is.
const SERVICE_TTL: Duration = Duration::from_secs(10);

/// Requests that this instance has sent to a brittle endpoint.
#[derive(Clone, Debug, Default)]
struct RecentSends {
    /// When those that may still be rejected were sent.
    at_risk: VecDeque<Instant>,
    /// When others were rejected.
    rejected: VecDeque<Instant>,
    /// Rank of this instance, and the generation of the instances and the scope that it is from.
    rank: Option<(u64, Scope, usize)>,
}

/// Brittle endpoints as known to this instance.
#[derive(Clone, Debug, Default)]
pub(super) struct BrittleEndpoints {
    /// Rejections per second that endpoints tolerate.
    announced: AnnouncedLimits,
    /// The latest tolerance of an endpoint of a service, and until when it counts.
    services: HashMap<ServiceId, (f64, Instant)>,
    sends: HashMap<EndpointKey, RecentSends>,
    /// Until when rejections of other instances' requests count, by endpoint and hash of the
    /// instance's name.
    peer_rejections: HashMap<EndpointKey, HashMap<u64, Instant>>,
}

/// Who may send how many requests to a brittle endpoint in one assignment.
#[derive(Clone, Debug)]
pub(super) struct Admission {
    /// Requests that this instance may send.
    own_left: u32,
    /// Free slots that this instance must know of, unless the endpoint is idle.
    own_margin: u32,
    /// Requests that every other instance is assumed to send at most.
    peer_share: u32,
    assumed: HashMap<u64, u32>,
    /// Other instances that have had a request rejected.
    pausing_peers: Vec<u64>,
}

impl Admission {
    /// Whether a request of this instance may be assigned to the endpoint.
    pub(super) fn admits_own(&self, free_slots: u32, load: u32) -> bool {
        let has_room = free_slots >= self.own_margin || load == 0;
        self.own_left > 0 && has_room
    }

    /// Whether another instance is assumed to send a request to the endpoint.
    pub(super) fn admits_peer(&self, instance_hash: u64) -> bool {
        let assumed = self.assumed.get(&instance_hash).copied().unwrap_or(0);
        assumed < self.peer_share && !self.pausing_peers.contains(&instance_hash)
    }

    pub(super) fn record_own(&mut self) {
        self.own_left = self.own_left.saturating_sub(1);
    }

    pub(super) fn record_peer(&mut self, instance_hash: u64) {
        *self.assumed.entry(instance_hash).or_default() += 1;
    }
}

impl BrittleEndpoints {
    /// Applies the signal in a response to a request that was sent at `sent_at`.
    pub(super) fn record_response(
        &mut self,
        now: Instant,
        (endpoint, service): (EndpointKey, Option<&ServiceId>),
        sent_at: Instant,
        signal: SignalValue<f64>,
    ) {
        self.announced.record_response(now, endpoint, sent_at, signal);
        if let (SignalValue::Value(per_s), Some(service)) = (signal, service) {
            self.record_service(now, service, per_s);
        }
    }

    /// Merges tolerances reported by another instance.
    pub(super) fn merge_reported<'a>(
        &mut self,
        now: Instant,
        reported: &[ReportedLimit],
        origin: Origin,
        service: impl Fn(EndpointKey) -> Option<&'a ServiceId>,
    ) {
        self.announced.merge_reported(now, reported, origin);
        for ReportedLimit { endpoint, .. } in reported {
            if let (Some(per_s), Some(service)) =
                (self.announced.get(*endpoint), service(*endpoint))
            {
                self.record_service(now, service, per_s);
            }
        }
    }

    fn record_service(&mut self, now: Instant, service: &ServiceId, per_s: f64) {
        match self.services.get_mut(service) {
            Some(known) => *known = (per_s, now + SERVICE_TTL),
            None => _ = self.services.insert(service.clone(), (per_s, now + SERVICE_TTL)),
        }
    }

    /// Whether no endpoint is brittle.
    pub(super) fn is_empty(&self) -> bool {
        self.services.is_empty() && self.announced.endpoints().next().is_none()
    }

    /// Returns how many rejections per second an endpoint tolerates; `None` if it is not brittle.
    pub(super) fn tolerance(
        &self,
        now: Instant,
        endpoint: EndpointKey,
        service: &ServiceId,
        has_answered: bool,
    ) -> Option<f64> {
        let of_service = || match self.services.get(service) {
            Some((per_s, until)) if !has_answered && now < *until => Some(*per_s),
            _ => None,
        };
        let per_s = match self.announced.is_known(endpoint) {
            true => self.announced.get(endpoint),
            false => of_service(),
        };
        per_s.filter(|per_s| *per_s < MAX_TOLERANCE)
    }

    /// Records that a request has been sent to a brittle endpoint.
    pub(super) fn record_dispatch(&mut self, now: Instant, endpoint: EndpointKey) {
        self.sends.entry(endpoint).or_default().at_risk.push_back(now);
    }

    /// Records that an endpoint has accepted a request that was sent at `sent_at` or before.
    pub(super) fn record_accepted(&mut self, endpoint: EndpointKey, sent_at: Instant) {
        if let Some(sends) = self.sends.get_mut(&endpoint) {
            sends.remove_at_risk(sent_at);
        }
    }

    /// Records that an endpoint has rejected a request that was sent at `sent_at` or before.
    pub(super) fn record_rejected(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        sent_at: Instant,
    ) {
        if self.announced.get(endpoint).is_some_and(|per_s| per_s < MAX_TOLERANCE) {
            let sends = self.sends.entry(endpoint).or_default();
            sends.remove_at_risk(sent_at);
            sends.rejected.push_back(now);
        }
    }

    /// Returns who may send to a brittle endpoint. `knows_loads` tells whether the reports of all
    /// other instances are current.
    pub(super) fn admission(
        &mut self,
        now: Instant,
        (endpoint, per_s): (EndpointKey, f64),
        (instances, scope): (&SharingInstances, Scope),
        knows_loads: bool,
    ) -> Admission {
        let sends = self.sends.entry(endpoint).or_default();
        sends.expire(now);
        let count = instances.count(scope).max(1);
        let share = share(per_s, count, sends.rank(endpoint, instances, scope));
        let peers = self.peer_rejections.get(&endpoint).into_iter().flatten();
        let pausing_peers: Vec<_> =
            peers.filter(|(_, until)| now < **until).map(|(hash, _)| *hash).collect();
        let own_left = match share {
            0 if !knows_loads || !pausing_peers.is_empty() || !sends.rejected.is_empty() => 0,
            0 => 1_u32.saturating_sub(sends.at_risk.len() as u32),
            share => {
                let recent = sends.rejected.iter().filter(|at| is_within(now, **at));
                share.saturating_sub((sends.at_risk.len() + recent.count()) as u32)
            }
        };
        Admission {
            own_left,
            own_margin: if share > 0 { 0 } else { margin(per_s, count) },
            peer_share: (budget(per_s, count) / count).max(1) as u32,
            assumed: HashMap::new(),
            pausing_peers,
        }
    }

    /// Returns the endpoints that have rejected requests of this instance, with the time since then
    /// in milliseconds.
    pub(super) fn rejections_to_report(&self, now: Instant) -> Vec<(EndpointKey, u32)> {
        let last = |(key, sends): (&EndpointKey, &RecentSends)| {
            let at = *sends.rejected.back().filter(|at| is_within(now, **at))?;
            Some((*key, now.saturating_duration_since(at).as_millis() as u32))
        };
        let mut rejections: Vec<_> = self.sends.iter().filter_map(last).collect();
        rejections.sort_by_key(|(key, age_ms)| (*age_ms, *key));
        rejections.truncate(MAX_REPORTED);
        rejections
    }

    /// Records rejections of another instance's requests.
    pub(super) fn record_peer_rejections(
        &mut self,
        now: Instant,
        instance_hash: u64,
        rejections: &[(EndpointKey, u32)],
    ) {
        for (endpoint, age_ms) in rejections.iter().take(MAX_REPORTED) {
            let age = Duration::from_millis((*age_ms).into());
            let until = now + REJECTION_WINDOW.saturating_sub(age);
            if until > now {
                self.peer_rejections.entry(*endpoint).or_default().insert(instance_hash, until);
            }
        }
    }

    /// Returns the relevant tolerances to report.
    pub(super) fn to_report(
        &self,
        now: Instant,
        audience: Audience,
        is_relevant: impl Fn(&EndpointKey) -> bool,
    ) -> Vec<ReportedLimit> {
        self.announced.to_report(now, audience, is_relevant)
    }

    /// Number of endpoints that have announced that they are brittle.
    pub(super) fn count(&self) -> usize {
        self.announced.endpoints().count()
    }

    /// Drops what has ended.
    pub(super) fn prune(&mut self, now: Instant, is_listed: impl Fn(&EndpointKey) -> bool) {
        self.announced.prune(now, is_listed);
        self.services.retain(|_, (_, until)| now < *until);
        self.sends.retain(|_, sends| {
            sends.expire(now);
            !sends.at_risk.is_empty() || !sends.rejected.is_empty()
        });
        self.peer_rejections.retain(|_, peers| {
            peers.retain(|_, until| now < *until);
            !peers.is_empty()
        });
    }

    /// Returns the changes of tolerances since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<LimitChange> {
        self.announced.take_changes()
    }
}

impl RecentSends {
    fn expire(&mut self, now: Instant) {
        let age = |at: &Instant| now.saturating_duration_since(*at);
        while self.at_risk.front().is_some_and(|at| age(at) >= CONFIRM_TIME) {
            self.at_risk.pop_front();
        }
        while self.rejected.front().is_some_and(|at| age(at) >= PAUSE_WITHOUT_SHARE) {
            self.rejected.pop_front();
        }
    }

    fn remove_at_risk(&mut self, sent_at: Instant) {
        if self.at_risk.front().is_some_and(|at| *at <= sent_at) {
            self.at_risk.pop_front();
        }
    }

    fn rank(&mut self, endpoint: EndpointKey, instances: &SharingInstances, scope: Scope) -> usize {
        let generation = instances.generation();
        match self.rank {
            Some((of, in_scope, rank)) if (of, in_scope) == (generation, scope) => rank,
            _ => {
                let rank = instances.rank(endpoint, scope);
                self.rank = Some((generation, scope, rank));
                rank
            }
        }
    }
}

fn is_within(now: Instant, rejected_at: Instant) -> bool {
    now.saturating_duration_since(rejected_at) < REJECTION_WINDOW
}

/// Rejections per second that instances may cause with their shares. Keeps one in reserve, for
/// restarted instances and those without a share, unless that would take an instance's only one
/// while all others have one, or all of it.
fn budget(per_s: f64, count: usize) -> usize {
    let tolerated = per_s.clamp(0.0, MAX_TOLERANCE) as usize;
    match tolerated {
        0 | 1 => tolerated,
        _ if tolerated == count => tolerated,
        _ => tolerated - 1,
    }
}

/// Free slots that an instance without a share must know of: one for each such instance, since all of
/// them may send at the same time.
fn margin(per_s: f64, count: usize) -> u32 {
    count.saturating_sub(budget(per_s, count)).max(MIN_MARGIN_SLOTS) as u32
}

/// The part of it of the instance with this rank.
fn share(per_s: f64, count: usize, rank: usize) -> u32 {
    let budget = budget(per_s, count);
    (budget / count + usize::from(rank < budget % count)) as u32
}
