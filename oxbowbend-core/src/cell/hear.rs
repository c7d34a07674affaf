//! Taking in what other instances report, and who of them is heard.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use super::peer::{count_on, Counted, Peer};
use super::report::Report;
use super::{pace, Cell, LOAD_TTL};
use crate::ids::{AccountId, InstanceId};
use crate::quota::{admitted_within, Lately};
use crate::rollout::responses::ResponseCounterKey;

/// Silence after which an instance of this cell is forgotten.
const FORGET: Duration = Duration::from_secs(30);
/// The same for others: whoever is heard of them is heard several times a second, or once at its start.
const FORGET_OTHERS: Duration = Duration::from_secs(8);

/// Time within which one that represents its cell tells of it again, whatever is lost: it does so every 0.26 s.
const GOING_ON: Duration = Duration::from_secs(2);
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
    pub evidence: Growth<ResponseCounterKey>,
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
        self.hear_of_endpoints(now, &report.said, is_near);
        if !report.is_representative {
            (peer.summed, peer.summed_fleet) = (None, None);
        } else if !is_near {
            peer.summed = Some(now);
        } else if report.fleet.is_some() {
            peer.summed_fleet = Some(now);
        }
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
    fn growth(&mut self, now: Instant, peer: &mut Peer, report: &Report, is_near: bool) -> Heard {
        let lately = self.begin_sums(now, peer, report, is_near);
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
        let mut spent = counting.growth(&mut peer.spent, spent);
        if counting.is_teller {
            self.note_sums(now, report, is_near);
            spent.far.extend(lately);
        }
        Heard { spent, evidence: counting.growth(&mut peer.evidence, evidence) }
    }

    /// Whether a report begins to tell sums that another one has told before: then the counters start anew, and what
    /// was admitted since that one's last word is returned, as far as it is told. Going on from what this one had
    /// told when it last represented its cell counted all that others have told meanwhile again: with a stop
    /// of 74 instances in turn 2 to 4 times what was used.
    fn begin_sums(
        &self,
        now: Instant,
        peer: &mut Peer,
        report: &Report,
        is_near: bool,
    ) -> Vec<(AccountId, u64)> {
        let since = |at: Instant| now.saturating_duration_since(at);
        let is_going_on = |at: Option<Instant>| at.is_some_and(|at| since(at) < GOING_ON);
        if is_near {
            let Some(view) = report.fleet.as_ref().filter(|_| !is_going_on(peer.summed_fleet))
            else {
                return Vec::new();
            };
            peer.recount_fleet();
            // Until it stepped down, this instance heard the other cells itself.
            let last = self.viewed.max(self.summed.values().copied().max());
            return admitted(&view.lately, last.map(since));
        }
        if !report.is_representative || is_going_on(peer.summed) {
            return Vec::new();
        }
        peer.recount_cell();
        // Until it stepped in, this instance was told of all other cells.
        let last = self.summed.get(&report.cell).copied().max(self.viewed);
        admitted(&report.cell_lately, last.map(since))
    }

    /// Notes that sums were counted.
    fn note_sums(&mut self, now: Instant, report: &Report, is_near: bool) {
        if !is_near {
            self.summed.insert(report.cell, now);
        } else if report.fleet.is_some() {
            self.viewed = Some(now);
        }
    }

    /// Whether the sums that a report tells are counted here: a representative hears of the other cells from theirs,
    /// and all others from their own one. While a cell has two, both tell the same.
    fn is_teller(&self, now: Instant, report: &Report, is_near: bool) -> bool {
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
        let (peers, others) = (std::mem::take(&mut self.peers), std::mem::take(&mut self.others));
        for (name, peer) in peers {
            self.map_of(is_near(&name)).insert(name, peer);
        }
        for (name, mut peer) in others {
            let is_near = is_near(&name);
            if is_near {
                peer.recount();
            }
            self.map_of(is_near).insert(name, peer);
        }
    }

    /// Forgets instances that have been silent for long.
    pub fn forget(&mut self, now: Instant) {
        self.peers.retain(|_, p| p.is_live(now, FORGET));
        self.others.retain(|_, p| p.is_live(now, FORGET_OTHERS));
        self.forget_said(now);
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

/// Units that were admitted within a time, of what was told; none if it is not known since when.
fn admitted(lately: &[(AccountId, Lately)], time: Option<Duration>) -> Vec<(AccountId, u64)> {
    let Some(time) = time else { return Vec::new() };
    let units = |(account, slots): &(AccountId, Lately)| {
        (account.clone(), admitted_within(slots, time) as u64)
    };
    lately.iter().map(units).collect()
}
