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
        counted: &mut CounterBaselines<K>,
        told: ReportedCounters<'_, K>,
    ) -> CounterDeltas<K> {
        let own = advance_counters(&mut counted.own, told.own, self.is_first_own);
        let cell = advance_counters(&mut counted.cell, told.cell, self.is_first_cell);
        if !self.is_same_cell {
            return CounterDeltas {
                own_cell: Vec::new(),
                other_cells: if self.is_totals_source { cell } else { Vec::new() },
            };
        }
        let fleet = advance_counters(&mut counted.fleet, told.fleet, self.is_first_fleet);
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
        is_near: bool,
    ) -> Option<ReportDeltas> {
        if report.instance == self.local_id {
            return None;
        }
        let before = self.peers.remove(&report.instance);
        let before = before.or_else(|| self.remote_peers.remove(&report.instance));
        let before = before.filter(|b| b.report.incarnation == report.incarnation);
        if let Some(before) = before.as_ref().filter(|b| b.report.sequence >= report.sequence) {
            self.peers_mut(is_near).insert(report.instance, before.clone());
            return None;
        }
        let mut peer = before.unwrap_or_else(|| Peer::new(now));
        if is_near {
            self.apply_endpoint_stats(now, &mut peer, &report);
        }
        let heard = self.counter_deltas(now, &mut peer, &report, is_near);
        self.hear_of_endpoints(now, &report.endpoint_notices, is_near);
        if !report.is_representative {
            (peer.cell_totals_at, peer.fleet_totals_at) = (None, None);
        } else if !is_near {
            peer.cell_totals_at = Some(now);
        } else if report.fleet_summary.is_some() {
            peer.fleet_totals_at = Some(now);
        }
        peer.take(now, report);
        self.peers_mut(is_near).insert(peer.report.instance.clone(), peer);
        Some(heard)
    }

    fn peers_mut(&mut self, is_near: bool) -> &mut HashMap<InstanceId, Peer> {
        match is_near {
            true => &mut self.peers,
            false => &mut self.remote_peers,
        }
    }

    fn apply_endpoint_stats(&mut self, now: Instant, peer: &mut Peer, report: &Report) {
        let is_first = !peer.has_outcome_baseline;
        peer.has_outcome_baseline |= report.has_all_counters;
        for tally in &report.endpoint_stats {
            let told = (tally.successes, tally.failures);
            let pace = pace::Pace::reported(tally.ns_per_unit, tally.samples);
            peer.paces.insert(tally.endpoint, pace);
            // What a new acquaintance has counted so far is not of now.
            let old = peer.outcomes.insert(tally.endpoint, told);
            let old = old.unwrap_or(if is_first { told } else { (0, 0) });
            if let Some(site) = self.endpoints.get_mut(&tally.endpoint) {
                let (good, bad) = (told.0.saturating_sub(old.0), told.1.saturating_sub(old.1));
                site.health.record(now, good as u32, bad as u32);
                self.last_failure = if bad > 0 { Some(now) } else { self.last_failure };
            }
        }
    }

    /// What has been admitted since the last report. Counters go on from the first report that tells all of them.
    fn counter_deltas(
        &mut self,
        now: Instant,
        peer: &mut Peer,
        report: &Report,
        is_near: bool,
    ) -> ReportDeltas {
        let lately = self.restart_totals(now, peer, report, is_near);
        let counting = DeltaContext {
            is_same_cell: is_near,
            is_totals_source: self.is_totals_source(now, report, is_near),
            is_first_own: !peer.has_own_baseline,
            is_first_cell: !peer.has_cell_baseline,
            is_first_fleet: !peer.has_fleet_baseline,
        };
        peer.has_own_baseline |= report.has_all_counters;
        peer.has_cell_baseline |= report.has_all_cell_counters;
        peer.has_fleet_baseline |=
            is_near && report.fleet_summary.as_ref().is_some_and(|view| view.is_complete);
        let view = report.fleet_summary.as_ref();
        let spent = ReportedCounters {
            own: &report.admitted_units,
            cell: &report.cell_admitted_units,
            fleet: view.map_or(&[], |view| &view.admitted_units),
        };
        let evidence = ReportedCounters {
            own: &report.evidence,
            cell: &report.cell_evidence,
            fleet: view.map_or(&[], |view| &view.evidence),
        };
        let mut spent = counting.deltas(&mut peer.admitted_units, spent);
        if counting.is_totals_source {
            self.record_totals(now, report, is_near);
            spent.other_cells.extend(lately);
        }
        ReportDeltas {
            admitted_units: spent,
            evidence: counting.deltas(&mut peer.evidence, evidence),
        }
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
        is_near: bool,
    ) -> Vec<(AccountId, u64)> {
        let since = |at: Instant| now.saturating_duration_since(at);
        let is_going_on = |at: Option<Instant>| at.is_some_and(|at| since(at) < TOTALS_TIMEOUT);
        if is_near {
            let Some(view) =
                report.fleet_summary.as_ref().filter(|_| !is_going_on(peer.fleet_totals_at))
            else {
                return Vec::new();
            };
            peer.reset_fleet_baseline();
            // Until it stepped down, this instance heard the other cells itself.
            let last = self.fleet_totals_at.max(self.cell_totals_at.values().copied().max());
            return units_admitted_within(&view.recent_units, last.map(since));
        }
        if !report.is_representative || is_going_on(peer.cell_totals_at) {
            return Vec::new();
        }
        peer.reset_cell_baseline();
        // Until it stepped in, this instance was told of all other cells.
        let last = self.cell_totals_at.get(&report.cell_index).copied().max(self.fleet_totals_at);
        units_admitted_within(&report.cell_recent_units, last.map(since))
    }

    /// Notes that sums were counted.
    fn record_totals(&mut self, now: Instant, report: &Report, is_near: bool) {
        if !is_near {
            self.cell_totals_at.insert(report.cell_index, now);
        } else if report.fleet_summary.is_some() {
            self.fleet_totals_at = Some(now);
        }
    }

    /// Whether the sums that a report tells are counted here: a representative hears of the other cells from theirs,
    /// and all others from their own one. While a cell has two, both tell the same.
    fn is_totals_source(&self, now: Instant, report: &Report, is_near: bool) -> bool {
        let first = self.representative(now).map(|r| &r.instance);
        let is_first = first.is_none_or(|first| *first >= report.instance);
        report.is_representative && is_near != self.is_representative && (!is_near || is_first)
    }

    /// Sets whether this instance represents its cell.
    pub fn set_representative(&mut self, is_representative: bool) {
        self.is_representative = is_representative;
    }

    /// Sets which instances belong to this cell.
    pub fn set_peers(&mut self, is_near: impl Fn(&InstanceId) -> bool) {
        let (peers, others) =
            (std::mem::take(&mut self.peers), std::mem::take(&mut self.remote_peers));
        for (name, peer) in peers {
            self.peers_mut(is_near(&name)).insert(name, peer);
        }
        for (name, mut peer) in others {
            let is_near = is_near(&name);
            if is_near {
                peer.reset_own_baseline();
            }
            self.peers_mut(is_near).insert(name, peer);
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
    lately: &[(AccountId, Lately)],
    time: Option<Duration>,
) -> Vec<(AccountId, u64)> {
    let Some(time) = time else { return Vec::new() };
    let units = |(account, slots): &(AccountId, Lately)| {
        (account.clone(), admitted_within(slots, time) as u64)
    };
    lately.iter().map(units).collect()
}
