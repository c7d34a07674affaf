//! What an instance of the fleet has told, as far as later reports go on from it.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use super::fleet::Beyond;
use super::pace;
use super::report::Report;
use crate::ids::{AccountId, EndpointKey};
use crate::rollout::responses::ResponseCounterKey;

/// Counters that an instance has told so far, which only grow in its life. Frequent reports leave them out.
#[derive(Clone, Debug)]
pub(super) struct Counted<K> {
    /// Its own.
    pub(super) own: HashMap<K, u64>,
    /// Those of its cell.
    pub(super) cell: HashMap<K, u64>,
    /// Those of all other cells, as it tells its own.
    pub(super) fleet: HashMap<K, u64>,
}

impl<K> Default for Counted<K> {
    fn default() -> Counted<K> {
        Counted { own: HashMap::new(), cell: HashMap::new(), fleet: HashMap::new() }
    }
}

/// Another instance.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) report: Report,
    pub(super) heard: Instant,
    /// When it was heard first in this life.
    pub(super) since: Instant,
    /// Good and bad answers told so far. Reports leave endpoints out that were not used lately.
    pub(super) counted: HashMap<EndpointKey, (u64, u64)>,
    /// Whether a full report was heard, which the counters go on from.
    pub(super) is_counted: bool,
    /// Units admitted, by account.
    pub(super) spent: Counted<AccountId>,
    /// Answers of versions that are rolled out.
    pub(super) evidence: Counted<ResponseCounterKey>,
    /// Whether a report with all of its own counters was heard, of those of its cell, of those of the others.
    pub(super) knows_own: bool,
    pub(super) knows_cell: bool,
    pub(super) knows_fleet: bool,
    /// When it last told of its cell as its representative, and its cell of all others, since it has been that.
    pub(super) summed: Option<Instant>,
    pub(super) summed_fleet: Option<Instant>,
    /// When it last told of other cells.
    pub(super) viewed: Option<Instant>,
    /// Since when it has heard more of the cell than this instance.
    pub(super) wider_since: Option<Instant>,
    /// The paces told last.
    pub(super) paces: HashMap<EndpointKey, pace::Pace>,
}

impl Peer {
    /// Goes on from its next full report with its own counters: others have told meanwhile what it admitted.
    pub(super) fn recount(&mut self) {
        self.spent.own.clear();
        self.evidence.own.clear();
        self.knows_own = false;
    }

    /// The same with those of its cell.
    pub(super) fn recount_cell(&mut self) {
        self.spent.cell.clear();
        self.evidence.cell.clear();
        self.knows_cell = false;
    }

    /// The same with those of all other cells.
    pub(super) fn recount_fleet(&mut self) {
        self.spent.fleet.clear();
        self.evidence.fleet.clear();
        self.knows_fleet = false;
    }

    pub(super) fn new(now: Instant) -> Peer {
        Peer {
            report: Report::default(),
            heard: now,
            since: now,
            counted: HashMap::new(),
            is_counted: false,
            spent: Counted::default(),
            evidence: Counted::default(),
            knows_own: false,
            knows_cell: false,
            knows_fleet: false,
            summed: None,
            summed_fleet: None,
            viewed: None,
            wider_since: None,
            paces: HashMap::new(),
        }
    }

    /// What it told of other cells, if that is not too old.
    pub(super) fn live_view(&self, now: Instant, ttl: Duration) -> Option<Beyond> {
        let is_live = self.viewed.is_some_and(|at| now.saturating_duration_since(at) < ttl);
        self.report.fleet.as_ref().filter(|_| is_live).map(|view| view.beyond)
    }

    /// Takes in a report. What it leaves out stays as it was told before.
    pub(super) fn take(&mut self, now: Instant, report: Report) {
        let before = std::mem::take(&mut self.report);
        self.viewed = if report.fleet.is_some() { Some(now) } else { self.viewed };
        let peers = if report.peers.is_empty() { before.peers } else { report.peers.clone() };
        self.report = Report {
            reach: report.reach.or(before.reach),
            heard_names: report.heard_names.or(before.heard_names),
            fleet: report.fleet.clone().or(before.fleet),
            peers,
            ..report
        };
        self.heard = now;
    }

    pub(super) fn is_live(&self, now: Instant, ttl: Duration) -> bool {
        now.saturating_duration_since(self.heard) < ttl
    }
}

/// Takes in counters and returns by how much they have grown. Of one not seen before, all is growth
/// unless it is the first report.
pub(super) fn count_on<K: Clone + Eq + Hash>(
    counted: &mut HashMap<K, u64>,
    told: &[(K, u64)],
    is_first: bool,
) -> Vec<(K, u64)> {
    let growth = told.iter().map(|(key, units)| {
        let old = counted.insert(key.clone(), *units);
        let old = old.unwrap_or(if is_first { *units } else { 0 });
        (key.clone(), units.saturating_sub(old))
    });
    growth.collect()
}
