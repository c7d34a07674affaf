//! Detection that this instance has lost its path to all endpoints of a service.
//!
//! A failed request looks the same whether its endpoint is down or this instance is partitioned from
//! it. So a failure without recent proof of a working path leads to probes of other endpoints of the
//! service: connections, and unless it was the connection that failed, a request on each that any
//! endpoint answers at once. The instance counts as isolated if none of them can be reached either,
//! or if several endpoints accept connections and none of these gets a response. New connections are
//! the evidence, since established ones may live on while new ones are refused.
//!
//! A single failure is enough for a round, so that an instance with few requests finds a path
//! that has gone silent as soon as one with many.
//!
//! Probes are repeated while an instance is isolated. It counts as connected again once all of a
//! round accept connections, or where they did so all along, once one of them responds. For endpoints
//! that answer no probe, a request is tried from time to time.
//!
//! An instance whose own link or processor is at its limit looks isolated to itself. It keeps its verdict
//! until it is below the limit again.
//!
//! A wrong verdict is cheap: it sends requests through a peer that reaches the endpoints, until the
//! next round or trial. If all endpoints are down, peers are isolated too and nothing changes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::EndpointKey;

/// Endpoints probed in a round, besides the one that failed.
pub const PROBES_PER_ROUND: usize = 2;
/// Age up to which a success shows that the path works though a connection failed at once. A path
/// that is lost breaks all connections in the same moment, so this covers little more than the
/// failures of one moment, which share a round of probes.
const CONNECTION_EVIDENCE_TTL: Duration = Duration::from_millis(5);
/// The same for a request that has had no response for longer than that.
const RESPONSE_EVIDENCE_TTL: Duration = Duration::from_millis(200);
/// Time between two rounds of probes while isolated.
const ISOLATED_ROUND_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which a round without a result is taken to be lost.
const ROUND_TIMEOUT: Duration = Duration::from_secs(2);

/// Endpoints that must fail without a response from any for the path to be in doubt though they
/// accept connections; all of them, if the service has fewer.
const MIN_FAILED_ENDPOINTS: usize = 3;
/// Time within which they must fail, and that must have passed since the first of these failures.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);
const MIN_FAILURE_TIME: Duration = Duration::from_millis(150);
/// Time between two trials with requests that may be repeated, and with any others, which are lost if
/// the path is.
const TRIAL_INTERVAL: Duration = Duration::from_millis(400);
const UNREPEATABLE_TRIAL_INTERVAL: Duration = Duration::from_secs(10);

/// How a request failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathFailure {
    /// No new connection to the endpoint.
    Connect,
    /// An established connection failed, or a new one right after it was accepted.
    Broken,
    /// No response on an established connection.
    Unresponsive,
}

/// Results of a round of probes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProbeRound {
    /// Endpoints that accepted a connection, and responded if they were asked to.
    pub reached: usize,
    /// Endpoints that accepted a connection and did not respond.
    pub silent: usize,
    /// Endpoints that accepted none.
    pub failed: usize,
}

/// What is known of the path at the time of a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathVerdict {
    /// Other endpoints can be reached, so the failure is the endpoint's.
    Connected,
    /// No endpoint can be reached.
    Isolated,
    /// A round of probes must be run to find out.
    Unknown,
}

/// Why an instance counts as isolated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cause {
    /// Endpoints accept no connections.
    NoConnection,
    /// Endpoints accept connections and do not respond.
    NoResponse,
}

/// A changed belief, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PathChange {
    /// Whether the instance is isolated now.
    pub is_isolated: bool,
    /// The round that changed it; zeros if requests did.
    pub round: ProbeRound,
    /// Endpoints that failed without a response from any.
    pub failed_endpoints: usize,
    /// Time for which the previous belief held, or since the last new connection if it is not known.
    pub lasted: Duration,
}

/// The first failure at an endpoint.
#[derive(Clone, Copy, Debug)]
struct FirstFailure {
    at: Instant,
    /// Whether its connection had never carried a response. Established connections prove nothing
    /// about new ones.
    is_new_connection: bool,
}

/// Detects the isolation of one instance from one service.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use oxbowbend_core::isolation::{IsolationDetector, PathFailure, PathVerdict, ProbeRound};
///
/// let (now, mut detector) = (Instant::now(), IsolationDetector::default());
/// assert_eq!(detector.verdict(now, PathFailure::Connect), PathVerdict::Unknown);
/// detector.start_round(now);
/// detector.finish_round(now, ProbeRound { failed: 2, ..ProbeRound::default() });
/// assert!(detector.is_isolated());
/// ```
#[derive(Clone, Debug, Default)]
pub struct IsolationDetector {
    connected_at: Option<Instant>,
    responded_at: Option<Instant>,
    round_started_at: Option<Instant>,
    round_finished_at: Option<Instant>,
    isolated_since: Option<Instant>,
    cause: Option<Cause>,
    /// Endpoints that have failed since the last response that proves otherwise.
    failures: BTreeMap<EndpointKey, FirstFailure>,
    tried_at: Option<Instant>,
    is_at_limit: bool,
}

impl IsolationDetector {
    /// Sets whether the instance's own link or processor is at its limit. Meanwhile failures say nothing
    /// about the path: what times out may still wait in this machine, and a hand-over takes the same
    /// link.
    pub fn set_at_limit(&mut self, is_at_limit: bool) {
        if is_at_limit && !self.is_at_limit {
            self.failures.clear();
        }
        self.is_at_limit = is_at_limit;
    }

    /// Records a new connection to an endpoint.
    pub fn record_connect(&mut self, now: Instant) {
        self.connected_at = Some(now);
    }

    /// Records a response of an endpoint.
    pub fn record_response(&mut self, now: Instant) {
        self.responded_at = Some(now);
        self.failures.retain(|_, failure| failure.is_new_connection);
    }

    /// Records a response on a new connection, which proves the path.
    pub fn record_fresh_response(&mut self, now: Instant) -> Option<PathChange> {
        self.record_response(now);
        self.failures.clear();
        self.is_isolated().then(|| self.change(now, None, ProbeRound::default()))
    }

    /// Records a failure without any response at one of the `endpoint_count` endpoints of the
    /// service, on a connection that had never carried one or on another.
    pub fn record_failure(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        endpoint_count: usize,
        is_new_connection: bool,
    ) -> Option<PathChange> {
        if self.is_at_limit {
            return None;
        }
        let age = |failure: &FirstFailure| now.saturating_duration_since(failure.at);
        self.failures.retain(|_, failure| age(failure) < FAILURE_WINDOW);
        self.failures.entry(endpoint).or_insert(FirstFailure { at: now, is_new_connection });
        let is_old = |failure: &FirstFailure| age(failure) >= MIN_FAILURE_TIME;
        let is_in_doubt = endpoint_count > 1
            && self.failures.len() >= MIN_FAILED_ENDPOINTS.min(endpoint_count)
            && self.failures.values().any(is_old);
        let is_changed = is_in_doubt && !self.is_isolated();
        is_changed.then(|| self.change(now, Some(Cause::NoResponse), ProbeRound::default()))
    }

    /// Returns whether to try the path with a request, and records the trial if so. Such a trial is
    /// needed only where endpoints accept connections.
    pub fn start_trial(&mut self, now: Instant, is_repeatable: bool) -> bool {
        let interval = if is_repeatable { TRIAL_INTERVAL } else { UNREPEATABLE_TRIAL_INTERVAL };
        let last = self.tried_at.max(self.isolated_since);
        let is_due = last.is_some_and(|at| now.saturating_duration_since(at) >= interval);
        let is_trial = self.cause == Some(Cause::NoResponse) && is_due;
        if is_trial {
            self.tried_at = Some(now);
        }
        is_trial
    }

    fn change(&mut self, now: Instant, cause: Option<Cause>, round: ProbeRound) -> PathChange {
        let before = self.isolated_since.or(self.connected_at);
        let is_isolated = cause.is_some();
        let failed_endpoints = self.failures.len();
        self.failures.clear();
        (self.cause, self.isolated_since) = (cause, is_isolated.then_some(now));
        let lasted = before.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        PathChange { is_isolated, round, failed_endpoints, lasted }
    }

    /// Returns whether no endpoint can be reached.
    pub fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// Returns the time since when no endpoint can be reached.
    pub fn isolated_for(&self, now: Instant) -> Option<Duration> {
        self.isolated_since.map(|since| now.saturating_duration_since(since))
    }

    /// Returns what a failure means.
    pub fn verdict(&self, now: Instant, failure: PathFailure) -> PathVerdict {
        if self.is_isolated() {
            return PathVerdict::Isolated;
        }
        if self.is_at_limit {
            return PathVerdict::Connected;
        }
        let is_recent =
            |at: Option<Instant>, ttl| at.is_some_and(|at| now.saturating_duration_since(at) < ttl);
        let ttl = match failure {
            PathFailure::Connect | PathFailure::Broken => CONNECTION_EVIDENCE_TTL,
            PathFailure::Unresponsive => RESPONSE_EVIDENCE_TTL,
        };
        let is_proved = is_recent(self.connected_at, ttl)
            || failure != PathFailure::Connect && is_recent(self.responded_at, ttl)
            || is_recent(self.round_finished_at, ttl);
        if is_proved {
            PathVerdict::Connected
        } else {
            PathVerdict::Unknown
        }
    }

    /// Returns whether the endpoints of a round after such a failure are asked to respond, besides
    /// accepting a connection; `None` for a round that is due.
    pub fn must_respond(&self, failure: Option<PathFailure>) -> bool {
        let is_after_accepting = failure.is_some_and(|failure| failure != PathFailure::Connect);
        self.cause == Some(Cause::NoResponse) || is_after_accepting
    }

    /// Returns whether a round of probes is in progress.
    pub fn is_probing(&self, now: Instant) -> bool {
        self.round_started_at.is_some_and(|at| now.saturating_duration_since(at) < ROUND_TIMEOUT)
    }

    /// Returns whether an isolated instance should look for its path again.
    pub fn is_probe_due(&self, now: Instant) -> bool {
        let is_rested = self
            .round_finished_at
            .is_none_or(|at| now.saturating_duration_since(at) >= ISOLATED_ROUND_INTERVAL);
        self.is_isolated() && is_rested && !self.is_probing(now)
    }

    /// Starts a round of probes.
    pub fn start_round(&mut self, now: Instant) {
        self.round_started_at = Some(now);
    }

    /// Ends a round of probes. A round without results, for lack of endpoints, changes nothing.
    pub fn finish_round(&mut self, now: Instant, round: ProbeRound) -> Option<PathChange> {
        self.round_started_at = None;
        // A round without probes proves nothing.
        if round != ProbeRound::default() {
            self.round_finished_at = Some(now);
        }
        if round.reached > 0 {
            self.connected_at = Some(now);
        }
        let ProbeRound { reached, silent, failed } = round;
        match (self.cause, reached, silent, failed) {
            (None, 0, 1.., _) if !self.is_at_limit => {
                Some(self.change(now, Some(Cause::NoResponse), round))
            }
            (None, 0, 0, 1..) if !self.is_at_limit => {
                Some(self.change(now, Some(Cause::NoConnection), round))
            }
            (Some(Cause::NoResponse), 0, 0, 1..) => {
                self.cause = Some(Cause::NoConnection);
                None
            }
            (Some(Cause::NoResponse), 1.., _, _) | (Some(Cause::NoConnection), 1.., 0, 0) => {
                Some(self.change(now, None, round))
            }
            // Some endpoints may be down for good, so responses must show whether the path is back.
            (Some(Cause::NoConnection), 1.., _, _) | (Some(Cause::NoConnection), 0, 1.., _) => {
                self.cause = Some(Cause::NoResponse);
                None
            }
            _ => None,
        }
    }
}
