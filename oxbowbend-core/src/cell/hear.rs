//! Taking in what other instances report, and who of them is heard.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use super::peer::{count_on, Counted, Peer};
use super::report::Report;
use super::{pace, Cell, LOAD_TTL};
use crate::ids::{AccountId, InstanceId};
use crate::rollout::evidence::EvidenceKey;

/// Silence after which an instance of this cell is forgotten.
const FORGET: Duration = Duration::from_secs(30);
/// The same for others: whoever is heard of them is heard several times a second, or once at its start.
const FORGET_OTHERS: Duration = Duration::from_secs(8);

/// Time for which an instance that has just started is told what it cannot know: five beats, of which three may be lost.
const INTRODUCED: Duration = Duration::from_millis(600);

/// By how much counters have grown since the report before.
#[derive(Clone, Debug, PartialEq)]
pub struct Growth<K> {
    /// Those of an instance of this cell.
    pub near: Vec<(K, u64)>,
    /// Those of other cells.
    pub far: Vec<(K, u64)>,
}

impl<K> Default for Growth<K> {
    fn default() -> Growth<K> {
        Growth { near: Vec::new(), far: Vec::new() }
    }
}

/// What a report tells to be new.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Heard {
    /// Units of client accounts that were admitted.
    pub spent: Growth<AccountId>,
    /// Answers of versions that are rolled out.
    pub evidence: Growth<EvidenceKey>,
}

/// What of a report's counters is counted here.
#[derive(Clone, Copy, Debug)]
struct Counting {
    /// Whether the sender belongs to this cell.
    is_near: bool,
    /// Whether its sums of other cells, or of its own if it belongs to another one, are not told by somebody else.
    is_teller: bool,
    /// Whether its counters were not all known before, by whose they are.
    is_first: bool,
    is_first_cell: bool,
    is_first_fleet: bool,
}

/// Counters of one sort in a report.
struct ToldCounters<'a, K> {
    own: &'a [(K, u64)],
    cell: &'a [(K, u64)],
    fleet: &'a [(K, u64)],
}

impl Counting {
    fn growth<K: Clone + Eq + Hash>(
        self,
        counted: &mut Counted<K>,
        told: ToldCounters<'_, K>,
    ) -> Growth<K> {
        let own = count_on(&mut counted.own, told.own, self.is_first);
        let cell = count_on(&mut counted.cell, told.cell, self.is_first_cell);
        if !self.is_near {
            return Growth {
                near: Vec::new(),
                far: if self.is_teller { cell } else { Vec::new() },
            };
        }
        let fleet = count_on(&mut counted.fleet, told.fleet, self.is_first_fleet);
        Growth { near: own, far: if self.is_teller { fleet } else { Vec::new() } }
    }
}

impl Cell {
    /// Takes in another instance's report; `is_near` if it belongs to this cell. Returns nothing if the
    /// report is no news.
    pub fn hear(&mut self, now: Instant, report: Report, is_near: bool) -> Option<Heard> {
        if report.instance == self.me {
            return None;
        }
        let before = self.peers.remove(&report.instance);
        let before = before.or_else(|| self.others.remove(&report.instance));
        let before = before.filter(|b| b.report.life == report.life);
        if let Some(before) = before.as_ref().filter(|b| b.report.number >= report.number) {
            self.map_of(is_near).insert(report.instance, before.clone());
            return None;
        }
        let mut peer = before.unwrap_or_else(|| Peer::new(now));
        if is_near {
            self.take_tallies(now, &mut peer, &report);
        }
        let heard = self.growth(now, &mut peer, &report, is_near);
        peer.take(now, report);
        self.map_of(is_near).insert(peer.report.instance.clone(), peer);
        Some(heard)
    }

    fn map_of(&mut self, is_near: bool) -> &mut HashMap<InstanceId, Peer> {
        match is_near {
            true => &mut self.peers,
            false => &mut self.others,
        }
    }

    fn take_tallies(&mut self, now: Instant, peer: &mut Peer, report: &Report) {
        let is_first = !peer.is_counted;
        peer.is_counted |= report.in_full;
        for tally in &report.tallies {
            let told = (tally.good, tally.bad);
            let pace = pace::Pace::reported(tally.ns_per_unit, tally.samples);
            peer.paces.insert(tally.endpoint, pace);
            // What a new acquaintance has counted so far is not of now.
            let old = peer.counted.insert(tally.endpoint, told);
            let old = old.unwrap_or(if is_first { told } else { (0, 0) });
            if let Some(site) = self.sites.get_mut(&tally.endpoint) {
                let (good, bad) = (told.0.saturating_sub(old.0), told.1.saturating_sub(old.1));
                site.health.note(now, good as u32, bad as u32);
                self.last_bad = if bad > 0 { Some(now) } else { self.last_bad };
            }
        }
    }

    /// What has been admitted since the last report. Counters go on from the first report that tells all of them.
    fn growth(&self, now: Instant, peer: &mut Peer, report: &Report, is_near: bool) -> Heard {
        let counting = Counting {
            is_near,
            is_teller: self.is_teller(now, report, is_near),
            is_first: !peer.knows_own,
            is_first_cell: !peer.knows_cell,
            is_first_fleet: !peer.knows_fleet,
        };
        peer.knows_own |= report.in_full;
        peer.knows_cell |= report.is_cell_told;
        peer.knows_fleet |= is_near && report.fleet.as_ref().is_some_and(|view| view.is_full);
        let view = report.fleet.as_ref();
        let spent = ToldCounters {
            own: &report.spent,
            cell: &report.cell_spent,
            fleet: view.map_or(&[], |view| &view.spent),
        };
        let evidence = ToldCounters {
            own: &report.evidence,
            cell: &report.cell_evidence,
            fleet: view.map_or(&[], |view| &view.evidence),
        };
        Heard {
            spent: counting.growth(&mut peer.spent, spent),
            evidence: counting.growth(&mut peer.evidence, evidence),
        }
    }

    /// Whether the sums that a report tells are counted here.
    fn is_teller(&self, now: Instant, report: &Report, is_near: bool) -> bool {
        let representative = self.representative(now).map(|r| &r.instance);
        match is_near {
            // While a cell has two representatives, both tell the same.
            true => representative.is_none_or(|first| *first >= report.instance),
            // Who has a representative is told by it.
            false => report.is_representative && representative.is_none_or(|r| *r >= self.me),
        }
    }

    /// Sets which instances belong to this cell.
    pub fn set_peers(&mut self, is_near: impl Fn(&InstanceId) -> bool) {
        let all = std::mem::take(&mut self.peers).into_iter();
        let all: Vec<_> = all.chain(std::mem::take(&mut self.others)).collect();
        for (name, peer) in all {
            self.map_of(is_near(&name)).insert(name, peer);
        }
    }

    /// Forgets instances that have been silent for long.
    pub fn forget(&mut self, now: Instant) {
        self.peers.retain(|_, p| p.is_live(now, FORGET));
        self.others.retain(|_, p| p.is_live(now, FORGET_OTHERS));
    }

    /// Whether another instance of this cell has been heard for the first time within [`INTRODUCED`].
    pub fn has_newcomer(&self, now: Instant) -> bool {
        self.live_peers(now).any(|p| now.saturating_duration_since(p.since) < INTRODUCED)
    }

    /// Other instances of this cell that were heard within [`LOAD_TTL`].
    pub fn heard(&self, now: Instant) -> usize {
        self.live_peers(now).count()
    }

    /// Last reports of the instances of this cell that were heard within [`LOAD_TTL`].
    pub fn live_reports(&self, now: Instant) -> impl Iterator<Item = &Report> {
        self.live_peers(now).map(|p| &p.report)
    }

    /// Last reports of the instances of other cells that were heard within [`LOAD_TTL`].
    pub fn other_reports(&self, now: Instant) -> impl Iterator<Item = &Report> {
        self.others.values().filter(move |p| p.is_live(now, LOAD_TTL)).map(|p| &p.report)
    }

    /// Last reports of the instances of this cell that were heard within [`LOAD_TTL`], with their ages.
    pub fn aged_reports(&self, now: Instant) -> impl Iterator<Item = (&Report, Duration)> {
        self.live_peers(now).map(move |p| (&p.report, now.saturating_duration_since(p.heard)))
    }

    pub(super) fn live_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |p| p.is_live(now, LOAD_TTL))
    }
}
