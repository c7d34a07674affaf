//! Detection that this instance has lost its path to all endpoints of a service.
//!
//! A failed request looks the same whether its endpoint is down or this instance is partitioned from
//! it. So a failure without recent proof of a working path leads to probes: connections to other
//! endpoints of the service. The instance counts as isolated if none of them can be reached either, and as connected
//! again once all probes of a round succeed. New connections are the evidence, since established ones
//! may live on while new ones are refused.
//!
//! A wrong verdict is cheap: it sends requests through a peer that reaches the endpoints, for at most
//! one round. If all endpoints are down, peers are isolated too and nothing changes.

use std::time::{Duration, Instant};

/// Endpoints probed in a round, besides the one that failed.
pub const PROBES_PER_ROUND: usize = 2;
/// Age up to which a success shows that the path works.
const EVIDENCE_TTL: Duration = Duration::from_millis(200);
/// Time between two rounds of probes while the path works.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two rounds of probes while isolated.
const ISOLATED_ROUND_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which a round without a result is taken to be lost.
const ROUND_TIMEOUT: Duration = Duration::from_secs(2);

/// How a request failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathFailure {
    /// No new connection to the endpoint.
    Connect,
    /// No valid response on an established connection.
    Response,
}

/// Results of a round of probes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProbeRound {
    /// Endpoints that accepted a connection.
    pub reached: usize,
    /// Endpoints that did not.
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

/// A changed belief, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PathChange {
    /// Whether the instance is isolated now.
    pub is_isolated: bool,
    /// The round that changed it.
    pub round: ProbeRound,
    /// Time for which the previous belief held, or since the last new connection if it is not known.
    pub lasted: Duration,
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
/// detector.finish_round(now, ProbeRound { reached: 0, failed: 2 });
/// assert!(detector.is_isolated());
/// ```
#[derive(Clone, Debug, Default)]
pub struct IsolationDetector {
    connected_at: Option<Instant>,
    responded_at: Option<Instant>,
    round_started_at: Option<Instant>,
    round_finished_at: Option<Instant>,
    isolated_since: Option<Instant>,
}

impl IsolationDetector {
    /// Records a new connection to an endpoint.
    pub fn record_connect(&mut self, now: Instant) {
        self.connected_at = Some(now);
    }

    /// Records a response of an endpoint.
    pub fn record_response(&mut self, now: Instant) {
        self.responded_at = Some(now);
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
        let is_recent =
            |at: Option<Instant>, ttl| at.is_some_and(|at| now.saturating_duration_since(at) < ttl);
        let is_proved = is_recent(self.connected_at, EVIDENCE_TTL)
            || failure == PathFailure::Response && is_recent(self.responded_at, EVIDENCE_TTL)
            || is_recent(self.round_finished_at, MIN_ROUND_INTERVAL);
        if is_proved {
            PathVerdict::Connected
        } else {
            PathVerdict::Unknown
        }
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
        self.round_finished_at = Some(now);
        if round.reached > 0 {
            self.connected_at = Some(now);
        }
        let lasted =
            |at: Option<Instant>| at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        match (self.isolated_since, round) {
            (None, ProbeRound { reached: 0, failed: 1.. }) => {
                self.isolated_since = Some(now);
                let lasted = lasted(self.connected_at);
                Some(PathChange { is_isolated: true, round, lasted })
            }
            (Some(since), ProbeRound { reached: 1.., failed: 0 }) => {
                self.isolated_since = None;
                let lasted = lasted(Some(since));
                Some(PathChange { is_isolated: false, round, lasted })
            }
            _ => None,
        }
    }
}
