//! What an instance of the fleet has told, as far as later reports go on from it.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use super::fleet::RemoteInstances;
use super::pace;
use super::report::Report;
use crate::ids::{AccountId, EndpointKey};
use crate::rollout::evidence::EvidenceKey;

/// Counters that an instance has told so far, which only grow in its life. Frequent reports leave them out.
#[derive(Clone, Debug)]
pub(super) struct CounterBaselines<K> {
    /// Its own.
    pub(super) own: HashMap<K, u64>,
    /// Those of its cell.
    pub(super) cell: HashMap<K, u64>,
    /// Those of all other cells, as it tells its own.
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
    /// When it was heard first in this life.
    pub(super) first_heard: Instant,
    /// Good and bad answers told so far. Reports leave endpoints out that were not used lately.
    pub(super) outcomes: HashMap<EndpointKey, (u64, u64)>,
    /// Whether a full report was heard, which the counters go on from.
    pub(super) has_outcome_baseline: bool,
    /// Units admitted, by account.
    pub(super) admitted_units: CounterBaselines<AccountId>,
    /// Answers of versions that are rolled out.
    pub(super) evidence: CounterBaselines<EvidenceKey>,
    /// Whether a report with all of its own counters was heard, of those of its cell, of those of the others.
    pub(super) has_own_baseline: bool,
    pub(super) has_cell_baseline: bool,
    pub(super) has_fleet_baseline: bool,
    /// When it last told of its cell as its representative, and its cell of all others, since it has been that.
    pub(super) cell_totals_at: Option<Instant>,
    pub(super) fleet_totals_at: Option<Instant>,
    /// When it last told of other cells.
    pub(super) fleet_summary_at: Option<Instant>,
    /// Since when it has heard more of the cell than this instance.
    pub(super) uncovered_since: Option<Instant>,
    /// The paces told last.
    pub(super) paces: HashMap<EndpointKey, pace::Pace>,
}

impl Peer {
    /// Goes on from its next full report with its own counters: others have told meanwhile what it admitted.
    pub(super) fn reset_own_baseline(&mut self) {
        self.admitted_units.own.clear();
        self.evidence.own.clear();
        self.has_own_baseline = false;
    }

    /// The same with those of its cell.
    pub(super) fn reset_cell_baseline(&mut self) {
        self.admitted_units.cell.clear();
        self.evidence.cell.clear();
        self.has_cell_baseline = false;
    }

    /// The same with those of all other cells.
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

    /// What it told of other cells, if that is not too old.
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

    /// Takes in a report. What it leaves out stays as it was told before.
    pub(super) fn take(&mut self, now: Instant, report: Report) {
        let previous = std::mem::take(&mut self.report);
        self.fleet_summary_at =
            if report.fleet_summary.is_some() { Some(now) } else { self.fleet_summary_at };
        let representative_addresses = if report.representative_addresses.is_empty() {
            previous.representative_addresses
        } else {
            report.representative_addresses.clone()
        };
        self.report = Report {
            reachable_count: report.reachable_count.or(previous.reachable_count),
            reachable_filter: report.reachable_filter.or(previous.reachable_filter),
            fleet_summary: report.fleet_summary.clone().or(previous.fleet_summary),
            representative_addresses,
            ..report
        };
        self.last_heard = now;
    }

    pub(super) fn is_live(&self, now: Instant, ttl: Duration) -> bool {
        now.saturating_duration_since(self.last_heard) < ttl
    }
}

/// Takes in counters and returns by how much they have grown. Of one not seen before, all is growth
/// unless it is the first report.
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
