//! State kept for each other instance.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use super::fleet::RemoteInstances;
use super::pace;
use super::report::Report;
use crate::continuity::MAX_GAP;
use crate::ids::{AccountId, EndpointKey};
use crate::rollout::responses::ResponseCounterKey;

/// Last reported values of monotonic counters. Frequent reports omit them.
#[derive(Clone, Debug)]
pub(super) struct CounterBaselines<K> {
    /// The instance's own counters.
    pub(super) own: HashMap<K, u64>,
    /// Totals of its cell.
    pub(super) cell: HashMap<K, u64>,
    /// Totals of all other cells, as reported to its own cell.
    pub(super) fleet: HashMap<K, u64>,
}

impl<K> Default for CounterBaselines<K> {
    fn default() -> CounterBaselines<K> {
        CounterBaselines { own: HashMap::new(), cell: HashMap::new(), fleet: HashMap::new() }
    }
}

/// Another instance.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) report: Report,
    pub(super) last_heard: Instant,
    /// Time of the first report of this incarnation.
    pub(super) first_heard: Instant,
    /// When it was last heard again after a silence.
    pub(super) returned_at: Option<Instant>,
    /// Last reported successes and failures by endpoint. Reports omit endpoints that were not used
    /// recently.
    pub(super) outcomes: HashMap<EndpointKey, (u64, u64)>,
    /// Whether a report with all outcomes was received, which sets the baseline.
    pub(super) has_outcome_baseline: bool,
    /// Admitted units by client account.
    pub(super) admitted_units: CounterBaselines<AccountId>,
    /// Answers of versions being rolled out.
    pub(super) evidence: CounterBaselines<ResponseCounterKey>,
    /// Whether a report with all of its own counters, its cell's totals, or the other cells' totals
    /// was received.
    pub(super) has_own_baseline: bool,
    pub(super) has_cell_baseline: bool,
    pub(super) has_fleet_baseline: bool,
    /// When it last reported the totals of its cell, or of the other cells to this cell, as a
    /// representative.
    pub(super) cell_totals_at: Option<Instant>,
    pub(super) fleet_totals_at: Option<Instant>,
    /// When it last reported a summary of other cells.
    pub(super) fleet_summary_at: Option<Instant>,
    /// Since when it has reached an instance of the cell that this instance does not.
    pub(super) uncovered_since: Option<Instant>,
    /// Latency estimates in its last reports.
    pub(super) paces: HashMap<EndpointKey, pace::LatencyEstimate>,
}

impl Peer {
    /// Discards the baseline of its own counters. The next complete report sets a new one, since
    /// other instances have reported its counters meanwhile.
    pub(super) fn reset_own_baseline(&mut self) {
        self.admitted_units.own.clear();
        self.evidence.own.clear();
        self.has_own_baseline = false;
    }

    /// Discards the baseline of its cell's totals.
    pub(super) fn reset_cell_baseline(&mut self) {
        self.admitted_units.cell.clear();
        self.evidence.cell.clear();
        self.has_cell_baseline = false;
    }

    /// Discards the baseline of the other cells' totals.
    pub(super) fn reset_fleet_baseline(&mut self) {
        self.admitted_units.fleet.clear();
        self.evidence.fleet.clear();
        self.has_fleet_baseline = false;
    }

    pub(super) fn new(now: Instant) -> Peer {
        Peer {
            report: Report::default(),
            last_heard: now,
            first_heard: now,
            returned_at: None,
            outcomes: HashMap::new(),
            has_outcome_baseline: false,
            admitted_units: CounterBaselines::default(),
            evidence: CounterBaselines::default(),
            has_own_baseline: false,
            has_cell_baseline: false,
            has_fleet_baseline: false,
            cell_totals_at: None,
            fleet_totals_at: None,
            fleet_summary_at: None,
            uncovered_since: None,
            paces: HashMap::new(),
        }
    }

    /// Instances of other cells in its last summary, unless that is older than `ttl`.
    pub(super) fn live_remote_instances(
        &self,
        now: Instant,
        ttl: Duration,
    ) -> Option<RemoteInstances> {
        let is_live =
            self.fleet_summary_at.is_some_and(|at| now.saturating_duration_since(at) < ttl);
        self.report
            .fleet_summary
            .as_ref()
            .filter(|_| is_live)
            .map(|summary| summary.remote_instances)
    }

    /// Stores a report. Optional fields that it omits keep their previous values.
    pub(super) fn take(&mut self, now: Instant, report: Report) {
        let previous = std::mem::take(&mut self.report);
        self.fleet_summary_at =
            if report.fleet_summary.is_some() { Some(now) } else { self.fleet_summary_at };
        let representative_addresses = if report.representative_addresses.is_empty() {
            previous.representative_addresses
        } else {
            report.representative_addresses.clone()
        };
        // Only heartbeats contain the counts, which are left out when empty.
        let (waiting_counts, dispatched) = match report.reachable_count {
            Some(_) => (report.waiting_counts, report.dispatched),
            None => (previous.waiting_counts, previous.dispatched),
        };
        self.report = Report {
            waiting_counts,
            dispatched,
            reachable_count: report.reachable_count.or(previous.reachable_count),
            reachable_filter: report.reachable_filter.or(previous.reachable_filter),
            handover_port: report.handover_port.or(previous.handover_port),
            fleet_summary: report.fleet_summary.clone().or(previous.fleet_summary),
            representative_addresses,
            ..report
        };
        if now.saturating_duration_since(self.last_heard) >= MAX_GAP {
            self.returned_at = Some(now);
        }
        self.last_heard = now;
    }

    pub(super) fn is_live(&self, now: Instant, ttl: Duration) -> bool {
        now.saturating_duration_since(self.last_heard) < ttl
    }
}

/// Updates counters and returns by how much they have grown. A counter without a previous value
/// starts at 0, or at its reported value in the first report.
pub(super) fn advance_counters<K: Clone + Eq + Hash>(
    counters: &mut HashMap<K, u64>,
    reported: &[(K, u64)],
    is_first: bool,
) -> Vec<(K, u64)> {
    let deltas = reported.iter().map(|(key, units)| {
        let previous = counters.insert(key.clone(), *units);
        let previous = previous.unwrap_or(if is_first { *units } else { 0 });
        (key.clone(), units.saturating_sub(previous))
    });
    deltas.collect()
}
