//! Processing of reports from other instances, and liveness of their senders.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::peer::{advance_counters, CounterBaselines, Peer};
use super::report::Report;
use super::{pace, Cell, PEER_TTL};
use crate::ids::{AccountId, InstanceId};
use crate::quota::{admitted_within, RecentUsage};
use crate::rollout::responses::ResponseCounterKey;

/// Time without a report after which an instance of this cell is removed.
const PEER_RETENTION: Duration = Duration::from_secs(30);
/// Time without a report after which an instance of another cell is removed. Representatives report
/// several times a second.
const REMOTE_PEER_RETENTION: Duration = Duration::from_secs(8);

/// Time without totals after which a representative is taken to have stepped down. Totals are sent
/// every 0.26 s.
const TOTALS_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a new instance is sent the state that it missed: five heartbeats, to tolerate
/// packet loss.
const NEWCOMER_PERIOD: Duration = Duration::from_millis(600);
/// Time for which an instance that is heard again is sent all counters: two heartbeats.
const RETURN_PERIOD: Duration = Duration::from_millis(270);

/// Increase of counters since the previous report.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterDeltas<K> {
    /// Counters of the sender, an instance of this cell.
    pub own_cell: Vec<(K, u64)>,
    /// Counters of other cells.
    pub other_cells: Vec<(K, u64)>,
}

impl<K> Default for CounterDeltas<K> {
    fn default() -> CounterDeltas<K> {
        CounterDeltas { own_cell: Vec::new(), other_cells: Vec::new() }
    }
}

/// Counter increases derived from one report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportDeltas {
    /// Admitted units by client account.
    pub admitted_units: CounterDeltas<AccountId>,
    /// Answers of versions being rolled out.
    pub evidence: CounterDeltas<ResponseCounterKey>,
}

/// Which counters of a report are counted, and from which baseline.
#[derive(Clone, Copy, Debug)]
struct DeltaContext {
    /// Whether the sender belongs to this cell.
    is_same_cell: bool,
    /// Whether the sender's totals are counted: those of its cell if it belongs to another cell,
    /// else those of all other cells.
    is_totals_source: bool,
    /// Whether there is no baseline yet for the sender's own counters, those of its cell, or those
    /// of the fleet.
    is_first_own: bool,
    is_first_cell: bool,
    is_first_fleet: bool,
}

/// One kind of counter in a report.
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
    /// Processes a report; `is_same_cell` tells whether the sender belongs to this cell. Returns
    /// `None` if the report is outdated or from this instance itself.
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
            let instance_hash = xxh3_64(report.instance.as_bytes());
            self.brittle.record_peer_rejections(now, instance_hash, &report.rejections);
        }
        let deltas = self.counter_deltas(now, &mut peer, &report, is_same_cell);
        self.merge_reported_signals(now, &report.endpoint_notices, is_same_cell);
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
            let pace = pace::LatencyEstimate::from_report(stats.ns_per_unit, stats.samples);
            peer.paces.insert(stats.endpoint, pace);
            // Counts from before the first report are not recent.
            let previous = peer.outcomes.insert(stats.endpoint, reported);
            let previous = previous.unwrap_or(if is_first { reported } else { (0, 0) });
            if let Some(state) = self.endpoints.get_mut(&stats.endpoint) {
                let (successes, failures) =
                    (reported.0.saturating_sub(previous.0), reported.1.saturating_sub(previous.1));
                let count = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
                state.health.record(now, count(successes), count(failures));
                self.last_failure = if failures > 0 { Some(now) } else { self.last_failure };
            }
        }
    }

    /// Computes by how much the sender's counters have grown. The first complete report sets the
    /// baseline.
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

    /// Resets the baseline when a different instance starts to report totals, and returns the units
    /// admitted since the previous source's last report, where known. Keeping the baseline from an
    /// earlier term as representative would count again what others reported in between.
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
            // Before stepping down, this instance received the totals of other cells directly.
            let last_totals_at =
                self.fleet_totals_at.max(self.cell_totals_at.values().copied().max());
            return units_admitted_within(&summary.recent_units, last_totals_at.map(age));
        }
        if !report.is_representative || is_current(peer.cell_totals_at) {
            return Vec::new();
        }
        peer.reset_cell_baseline();
        // Before taking over, this instance received the totals from its representative.
        let last_totals_at =
            self.cell_totals_at.get(&report.cell_index).copied().max(self.fleet_totals_at);
        units_admitted_within(&report.cell_recent_units, last_totals_at.map(age))
    }

    /// Records when totals were last counted.
    fn record_totals(&mut self, now: Instant, report: &Report, is_same_cell: bool) {
        if !is_same_cell {
            self.cell_totals_at.insert(report.cell_index, now);
        } else if report.fleet_summary.is_some() {
            self.fleet_totals_at = Some(now);
        }
    }

    /// Whether totals in this report are counted. A representative counts those of the other cells'
    /// representatives; other instances count those of their own representative. If a cell has two,
    /// both report the same totals and only the first by name counts.
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

    /// Removes instances that have not reported for a long time.
    pub fn expire_peers(&mut self, now: Instant) {
        self.peers.retain(|_, p| p.is_live(now, PEER_RETENTION));
        self.remote_peers.retain(|_, p| p.is_live(now, REMOTE_PEER_RETENTION));
        self.prune_endpoint_signals(now);
    }

    /// Whether another instance of this cell was first heard within [`NEWCOMER_PERIOD`].
    pub fn has_newcomer(&self, now: Instant) -> bool {
        self.live_peers(now).any(|p| now.saturating_duration_since(p.first_heard) < NEWCOMER_PERIOD)
    }

    /// Whether another instance of this cell was heard again within [`RETURN_PERIOD`], after it was
    /// suspended or cut off. It has missed reports, and those with changes do not repeat counters.
    pub fn has_returning_peer(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RETURN_PERIOD;
        self.peers.values().any(|p| p.returned_at.is_some_and(is_recent))
    }

    /// Number of other instances of this cell heard within [`PEER_TTL`].
    pub fn live_peer_count(&self, now: Instant) -> usize {
        self.live_peers(now).count()
    }

    /// Last reports of the instances of this cell heard within [`PEER_TTL`].
    pub fn live_reports(&self, now: Instant) -> impl Iterator<Item = &Report> {
        self.live_peers(now).map(|p| &p.report)
    }

    /// Names this process to other instances.
    pub fn process_id(&self) -> String {
        process_id(&self.local_id, self.incarnation)
    }

    /// Returns whether `id` is the [`Cell::process_id`] of an instance whose reports arrive here.
    pub fn is_live_process(&self, now: Instant, id: &str) -> bool {
        let mut reports = self.all_reports_with_age(now);
        reports.any(|(report, _)| process_id(&report.instance, report.incarnation) == id)
    }

    /// Last reports of the instances of other cells heard within [`PEER_TTL`].
    pub fn remote_reports(&self, now: Instant) -> impl Iterator<Item = &Report> {
        self.remote_peers.values().filter(move |p| p.is_live(now, PEER_TTL)).map(|p| &p.report)
    }

    /// Last reports of the instances of this cell heard within [`PEER_TTL`], with their age.
    pub fn live_reports_with_age(&self, now: Instant) -> impl Iterator<Item = (&Report, Duration)> {
        self.live_peers(now).map(move |p| (&p.report, now.saturating_duration_since(p.last_heard)))
    }

    /// Last reports of instances of this cell and of other cells, with their age.
    pub fn all_reports_with_age(&self, now: Instant) -> impl Iterator<Item = (&Report, Duration)> {
        let remote = self.remote_peers.values().filter(move |p| p.is_live(now, PEER_TTL));
        let with_age = move |p: &Peer| now.saturating_duration_since(p.last_heard);
        self.live_reports_with_age(now).chain(remote.map(move |p| (&p.report, with_age(p))))
    }

    pub(super) fn live_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |p| p.is_live(now, PEER_TTL))
    }
}

fn process_id(instance: &InstanceId, incarnation: u64) -> String {
    format!("{instance}/{incarnation:016x}")
}

/// Units admitted within `time`; empty if `time` is unknown.
fn units_admitted_within(
    recent_units: &[(AccountId, RecentUsage)],
    time: Option<Duration>,
) -> Vec<(AccountId, u64)> {
    let Some(time) = time else { return Vec::new() };
    let units = |(account, slots): &(AccountId, RecentUsage)| {
        (account.clone(), admitted_within(slots, time) as u64)
    };
    recent_units.iter().map(units).collect()
}
