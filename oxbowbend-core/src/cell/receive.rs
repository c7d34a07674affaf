//! Taking in what other instances report, and who of them is heard.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use super::peer::{advance_counters, CounterBaselines, Peer};
use super::report::Report;
use super::{pace, Cell, PEER_TTL};
use crate::ids::{AccountId, InstanceId};
use crate::quota::{admitted_within, Lately};
use crate::rollout::evidence::EvidenceKey;

/// Silence after which an instance of this cell is forgotten.
const PEER_RETENTION: Duration = Duration::from_secs(30);
/// The same for others: whoever is heard of them is heard several times a second, or once at its start.
const REMOTE_PEER_RETENTION: Duration = Duration::from_secs(8);

/// Time within which one that represents its cell tells of it again, whatever is lost: it does so every 0.26 s.
const TOTALS_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an instance that has just started is told what it cannot know: five beats, of which three may be lost.
const NEWCOMER_PERIOD: Duration = Duration::from_millis(600);

/// By how much counters have grown since the report before.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterDeltas<K> {
    /// Those of an instance of this cell.
    pub own_cell: Vec<(K, u64)>,
    /// Those of other cells.
    pub other_cells: Vec<(K, u64)>,
}

impl<K> Default for CounterDeltas<K> {
    fn default() -> CounterDeltas<K> {
        CounterDeltas { own_cell: Vec::new(), other_cells: Vec::new() }
    }
}

/// What a report tells to be new.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportDeltas {
    /// Units of client accounts that were admitted.
    pub admitted_units: CounterDeltas<AccountId>,
    /// Answers of versions that are rolled out.
    pub evidence: CounterDeltas<EvidenceKey>,
}

/// What of a report's counters is counted here.
#[derive(Clone, Copy, Debug)]
struct DeltaContext {
    /// Whether the sender belongs to this cell.
    is_same_cell: bool,
    /// Whether its sums of other cells, or of its own if it belongs to another one, are not told by somebody else.
    is_totals_source: bool,
    /// Whether its counters were not all known before, by whose they are.
    is_first_own: bool,
    is_first_cell: bool,
    is_first_fleet: bool,
}

/// Counters of one sort in a report.
struct ReportedCounters<'a, K> {
    own: &'a [(K, u64)],
    cell: &'a [(K, u64)],
    fleet: &'a [(K, u64)],
}

impl DeltaContext {
    fn deltas<K: Clone + Eq + Hash>(
        self,
        baselines: &mut CounterBaselines<K>,
        reported: ReportedCounters<'_, K>,
    ) -> CounterDeltas<K> {
        let own = advance_counters(&mut baselines.own, reported.own, self.is_first_own);
        let cell = advance_counters(&mut baselines.cell, reported.cell, self.is_first_cell);
        if !self.is_same_cell {
            return CounterDeltas {
                own_cell: Vec::new(),
                other_cells: if self.is_totals_source { cell } else { Vec::new() },
            };
        }
        let fleet = advance_counters(&mut baselines.fleet, reported.fleet, self.is_first_fleet);
        CounterDeltas {
            own_cell: own,
            other_cells: if self.is_totals_source { fleet } else { Vec::new() },
        }
    }
}

impl Cell {
    /// Takes in another instance's report; `is_near` if it belongs to this cell. Returns nothing if the
    /// report is no news.
    pub fn receive_report(
        &mut self,
        now: Instant,
        report: Report,
        is_same_cell: bool,
    ) -> Option<ReportDeltas> {
        if report.instance == self.local_id {
            return None;
        }
        let previous = self.peers.remove(&report.instance);
        let previous = previous.or_else(|| self.remote_peers.remove(&report.instance));
        let previous = previous.filter(|p| p.report.incarnation == report.incarnation);
        if let Some(previous) = previous.as_ref().filter(|p| p.report.sequence >= report.sequence) {
            self.peers_mut(is_same_cell).insert(report.instance, previous.clone());
            return None;
        }
        let mut peer = previous.unwrap_or_else(|| Peer::new(now));
        if is_same_cell {
            self.apply_endpoint_stats(now, &mut peer, &report);
        }
        let deltas = self.counter_deltas(now, &mut peer, &report, is_same_cell);
        self.hear_of_endpoints(now, &report.endpoint_notices, is_same_cell);
        if !report.is_representative {
            (peer.cell_totals_at, peer.fleet_totals_at) = (None, None);
        } else if !is_same_cell {
            peer.cell_totals_at = Some(now);
        } else if report.fleet_summary.is_some() {
            peer.fleet_totals_at = Some(now);
        }
        peer.take(now, report);
        self.peers_mut(is_same_cell).insert(peer.report.instance.clone(), peer);
        Some(deltas)
    }

    fn peers_mut(&mut self, is_same_cell: bool) -> &mut HashMap<InstanceId, Peer> {
        match is_same_cell {
            true => &mut self.peers,
            false => &mut self.remote_peers,
        }
    }

    fn apply_endpoint_stats(&mut self, now: Instant, peer: &mut Peer, report: &Report) {
        let is_first = !peer.has_outcome_baseline;
        peer.has_outcome_baseline |= report.has_all_counters;
        for stats in &report.endpoint_stats {
            let reported = (stats.successes, stats.failures);
            let pace = pace::Pace::reported(stats.ns_per_unit, stats.samples);
            peer.paces.insert(stats.endpoint, pace);
            // What a new acquaintance has counted so far is not of now.
            let previous = peer.outcomes.insert(stats.endpoint, reported);
            let previous = previous.unwrap_or(if is_first { reported } else { (0, 0) });
            if let Some(state) = self.endpoints.get_mut(&stats.endpoint) {
                let (successes, failures) =
                    (reported.0.saturating_sub(previous.0), reported.1.saturating_sub(previous.1));
                state.health.record(now, successes as u32, failures as u32);
                self.last_failure = if failures > 0 { Some(now) } else { self.last_failure };
            }
        }
    }

    /// What has been admitted since the last report. Counters go on from the first report that tells all of them.
    fn counter_deltas(
        &mut self,
        now: Instant,
        peer: &mut Peer,
        report: &Report,
        is_same_cell: bool,
    ) -> ReportDeltas {
        let recent_units = self.restart_totals(now, peer, report, is_same_cell);
        let context = DeltaContext {
            is_same_cell,
            is_totals_source: self.is_totals_source(now, report, is_same_cell),
            is_first_own: !peer.has_own_baseline,
            is_first_cell: !peer.has_cell_baseline,
            is_first_fleet: !peer.has_fleet_baseline,
        };
        peer.has_own_baseline |= report.has_all_counters;
        peer.has_cell_baseline |= report.has_all_cell_counters;
        peer.has_fleet_baseline |= is_same_cell
            && report.fleet_summary.as_ref().is_some_and(|summary| summary.is_complete);
        let summary = report.fleet_summary.as_ref();
        let admitted_units = ReportedCounters {
            own: &report.admitted_units,
            cell: &report.cell_admitted_units,
            fleet: summary.map_or(&[], |summary| &summary.admitted_units),
        };
        let evidence = ReportedCounters {
            own: &report.evidence,
            cell: &report.cell_evidence,
            fleet: summary.map_or(&[], |summary| &summary.evidence),
        };
        let mut admitted_units = context.deltas(&mut peer.admitted_units, admitted_units);
        if context.is_totals_source {
            self.record_totals(now, report, is_same_cell);
            admitted_units.other_cells.extend(recent_units);
        }
        ReportDeltas { admitted_units, evidence: context.deltas(&mut peer.evidence, evidence) }
    }

    /// Whether a report begins to tell sums that another one has told before: then the counters start anew, and what
    /// was admitted since that one's last word is returned, as far as it is told. Going on from what this one had
    /// told when it last represented its cell counted all that others have told meanwhile again: with a stop
    /// of 74 instances in turn 2 to 4 times what was used.
    fn restart_totals(
        &self,
        now: Instant,
        peer: &mut Peer,
        report: &Report,
        is_same_cell: bool,
    ) -> Vec<(AccountId, u64)> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let is_current = |at: Option<Instant>| at.is_some_and(|at| age(at) < TOTALS_TIMEOUT);
        if is_same_cell {
            let Some(summary) =
                report.fleet_summary.as_ref().filter(|_| !is_current(peer.fleet_totals_at))
            else {
                return Vec::new();
            };
            peer.reset_fleet_baseline();
            // Until it stepped down, this instance heard the other cells itself.
            let last_totals_at =
                self.fleet_totals_at.max(self.cell_totals_at.values().copied().max());
            return units_admitted_within(&summary.recent_units, last_totals_at.map(age));
        }
        if !report.is_representative || is_current(peer.cell_totals_at) {
            return Vec::new();
        }
        peer.reset_cell_baseline();
        // Until it stepped in, this instance was told of all other cells.
        let last_totals_at =
            self.cell_totals_at.get(&report.cell_index).copied().max(self.fleet_totals_at);
        units_admitted_within(&report.cell_recent_units, last_totals_at.map(age))
    }

    /// Notes that sums were counted.
    fn record_totals(&mut self, now: Instant, report: &Report, is_same_cell: bool) {
        if !is_same_cell {
            self.cell_totals_at.insert(report.cell_index, now);
        } else if report.fleet_summary.is_some() {
            self.fleet_totals_at = Some(now);
        }
    }

    /// Whether the sums that a report tells are counted here: a representative hears of the other cells from theirs,
    /// and all others from their own one. While a cell has two, both tell the same.
    fn is_totals_source(&self, now: Instant, report: &Report, is_same_cell: bool) -> bool {
        let representative = self.representative(now).map(|r| &r.instance);
        let is_first =
            representative.is_none_or(|representative| *representative >= report.instance);
        report.is_representative
            && is_same_cell != self.is_representative
            && (!is_same_cell || is_first)
    }

    /// Sets whether this instance represents its cell.
    pub fn set_representative(&mut self, is_representative: bool) {
        self.is_representative = is_representative;
    }

    /// Sets which instances belong to this cell.
    pub fn set_peers(&mut self, is_same_cell: impl Fn(&InstanceId) -> bool) {
        let (peers, remote_peers) =
            (std::mem::take(&mut self.peers), std::mem::take(&mut self.remote_peers));
        for (name, peer) in peers {
            self.peers_mut(is_same_cell(&name)).insert(name, peer);
        }
        for (name, mut peer) in remote_peers {
            let is_same_cell = is_same_cell(&name);
            if is_same_cell {
                peer.reset_own_baseline();
            }
            self.peers_mut(is_same_cell).insert(name, peer);
        }
    }

    /// Forgets instances that have been silent for long.
    pub fn expire_peers(&mut self, now: Instant) {
        self.peers.retain(|_, p| p.is_live(now, PEER_RETENTION));
        self.remote_peers.retain(|_, p| p.is_live(now, REMOTE_PEER_RETENTION));
        self.forget_said(now);
    }

    /// Whether another instance of this cell has been heard for the first time within [`NEWCOMER_PERIOD`].
    pub fn has_newcomer(&self, now: Instant) -> bool {
        self.live_peers(now).any(|p| now.saturating_duration_since(p.first_heard) < NEWCOMER_PERIOD)
    }

    /// Other instances of this cell that were heard within [`PEER_TTL`].
    pub fn live_peer_count(&self, now: Instant) -> usize {
        self.live_peers(now).count()
    }

    /// Last reports of the instances of this cell that were heard within [`PEER_TTL`].
    pub fn live_reports(&self, now: Instant) -> impl Iterator<Item = &Report> {
        self.live_peers(now).map(|p| &p.report)
    }

    /// Last reports of the instances of other cells that were heard within [`PEER_TTL`].
    pub fn remote_reports(&self, now: Instant) -> impl Iterator<Item = &Report> {
        self.remote_peers.values().filter(move |p| p.is_live(now, PEER_TTL)).map(|p| &p.report)
    }

    /// Last reports of the instances of this cell that were heard within [`PEER_TTL`], with their ages.
    pub fn live_reports_with_age(&self, now: Instant) -> impl Iterator<Item = (&Report, Duration)> {
        self.live_peers(now).map(move |p| (&p.report, now.saturating_duration_since(p.last_heard)))
    }

    pub(super) fn live_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |p| p.is_live(now, PEER_TTL))
    }
}

/// Units that were admitted within a time, of what was told; none if it is not known since when.
fn units_admitted_within(
    recent_units: &[(AccountId, Lately)],
    time: Option<Duration>,
) -> Vec<(AccountId, u64)> {
    let Some(time) = time else { return Vec::new() };
    let units = |(account, slots): &(AccountId, Lately)| {
        (account.clone(), admitted_within(slots, time) as u64)
    };
    recent_units.iter().map(units).collect()
}
