//! Whom a report reaches: the cell always; other cells through representatives ([`oxbowbend_core::cell`]); and now
//! and then whoever should be there, so that parts of a fleet that have lost each other find each other again.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use oxbowbend_core::cell::ReportDetail;
use oxbowbend_core::ids::{AccountId, InstanceId};
use oxbowbend_core::rollout::responses::ResponseCounterKey;

use crate::moved::ToldMoved;
use crate::shared::State;

/// Beats of which one also goes to addresses from which nothing is heard.
const KNOCK: u64 = 8;
/// Beats after a start that go to everybody who should be there. After a restart of the whole fleet
/// instances start within 0.3 s of each other, and until they hear each other each keeps to its own
/// part of every limit.
const FIRST_BEATS: u64 = 6;
/// Beats after a start that also tell whom this instance knows. The first one reaches only the addresses of
/// the settings.
const INTRODUCTIONS: [u64; 2] = [3, 5];
/// Beats of which one of a representative also goes to other cells. Quotas bear what accounts use meanwhile.
const FAR: u64 = 2;
/// Instances of other cells to which a representative reports at each beat for everybody, other ones each time,
/// whether it has heard of them or not. Of 295 instances each is told so every 2 s by one of 25 representatives.
const STRANGERS: usize = 6;
/// What the settings tell of addresses.
pub(crate) struct Audience {
    /// Of this instance.
    pub(crate) address: SocketAddr,
    /// Of instances that may be there at a start.
    pub(crate) seeds: Vec<SocketAddr>,
}

/// Whom a report reaches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reach {
    /// The cell, with what runs and waits.
    Cell,
    /// The cell, with counters that have changed.
    CellWithCounters,
    /// The same; and from a representative the others, with sums of its cell.
    Representatives,
    /// All of the cell that should be there, with all counters; and from a representative also some from which
    /// nothing is heard.
    Everybody,
    /// The same at a start, when it is not known yet who belongs to the cell.
    First { introduces: bool },
}

impl Reach {
    /// Whom the beat of that number since the start reaches. `is_unheard` tells that nobody is heard, or that
    /// somebody has missed reports.
    pub(crate) fn of_beat(beat: u64, is_unheard: bool) -> Reach {
        match beat {
            n if n <= FIRST_BEATS => Reach::First { introduces: INTRODUCTIONS.contains(&n) },
            n if n % KNOCK == 1 || is_unheard => Reach::Everybody,
            n if n % FAR == 0 => Reach::Representatives,
            _ => Reach::CellWithCounters,
        }
    }

    /// Whether such a report tells all counters.
    pub(crate) fn is_full(self) -> bool {
        matches!(self, Reach::Everybody | Reach::First { .. })
    }

    /// Whether such a report goes to other cells.
    pub(crate) fn is_far(self) -> bool {
        self.is_full() || self == Reach::Representatives
    }

    /// How much such a report tells.
    pub(crate) fn extent(self) -> ReportDetail {
        match self {
            Reach::Cell => ReportDetail::Loads,
            Reach::CellWithCounters | Reach::Representatives => ReportDetail::Changes,
            Reach::Everybody | Reach::First { .. } => ReportDetail::Full,
        }
    }
}

/// Counters that were told last, so that only what has changed is told again.
pub(crate) struct Told<K> {
    /// To the cell, of this instance.
    pub(crate) near: HashMap<K, u64>,
    /// To other cells, of this cell.
    pub(crate) far: HashMap<K, u64>,
    /// To the cell, of other cells.
    pub(crate) fleet: HashMap<K, u64>,
}

impl<K> Default for Told<K> {
    fn default() -> Told<K> {
        Told { near: HashMap::new(), far: HashMap::new(), fleet: HashMap::new() }
    }
}

/// Time for which an instance that has begun to represent its cell also tells what was admitted lately: five reports to
/// other cells, of which some may be lost.
const BEGINNING: Duration = Duration::from_millis(1500);

/// What was told last of all counters.
#[derive(Default)]
pub(crate) struct ToldAll {
    /// Since when this instance has represented its cell.
    since: Option<Instant>,
    /// Units of accounts.
    pub(crate) spent: Told<AccountId>,
    /// Answers of versions that are rolled out.
    pub(crate) evidence: Told<ResponseCounterKey>,
    /// Requests at endpoints of other cells.
    pub(crate) moved: ToldMoved,
}

impl ToldAll {
    /// Notes whether this instance represents its cell. One that begins to tells all sums: nobody goes on from what
    /// it told before.
    pub(crate) fn represent(&mut self, now: Instant, is_representative: bool) {
        if !is_representative {
            self.since = None;
        } else if self.since.is_none() {
            self.since = Some(now);
            for told in [&mut self.spent.far, &mut self.spent.fleet] {
                told.clear();
            }
            for told in [&mut self.evidence.far, &mut self.evidence.fleet] {
                told.clear();
            }
        }
    }

    /// Whether it has just begun to represent its cell.
    pub(crate) fn has_just_begun(&self, now: Instant) -> bool {
        self.since.is_some_and(|at| now.saturating_duration_since(at) < BEGINNING)
    }

    /// What was admitted lately, if that is to be told.
    pub(crate) fn lately<T>(&self, now: Instant, lately: impl FnOnce() -> Vec<T>) -> Vec<T> {
        if self.has_just_begun(now) {
            lately()
        } else {
            Vec::new()
        }
    }
}

/// The counters to tell: all in reports that go to everybody, else those that have changed.
pub(crate) fn changed<'a, K: Clone + Eq + Hash + 'a>(
    counters: impl Iterator<Item = (&'a K, u64)>,
    told: &HashMap<K, u64>,
    reach: Reach,
) -> Vec<(K, u64)> {
    let is_news = |(key, n): &(&K, u64)| *n > 0 && (reach.is_full() || told.get(*key) != Some(n));
    counters.filter(is_news).map(|(key, n)| (key.clone(), n)).collect()
}

/// Addresses of all instances that are heard.
pub(crate) fn known(state: &State, now: Instant) -> Vec<SocketAddr> {
    let all = state.cell.live_reports(now).chain(state.cell.remote_reports(now));
    all.filter_map(|r| r.address).collect()
}

/// Where a report goes.
pub(crate) struct Addresses {
    /// The cell.
    pub(crate) near: BTreeSet<SocketAddr>,
    /// Others, who get a short report.
    pub(crate) far: BTreeSet<SocketAddr>,
}

impl State {
    /// Where to report: the cell always; from a representative the other ones; and now and then whoever should
    /// be there.
    pub(crate) fn addresses(
        &self,
        now: Instant,
        audience: &Audience,
        reach: Reach,
        beat: u64,
    ) -> Addresses {
        let is_near = |name: &InstanceId| self.group.peers.contains(name);
        let heard = self.cell.live_reports(now).filter(|r| is_near(&r.instance));
        let mut near: BTreeSet<_> = heard.filter_map(|r| r.address).collect();
        let mut far = BTreeSet::new();
        let entered = || self.world.instances().iter();
        if reach.is_full() {
            near.extend(entered().filter(|(name, _)| is_near(name)).map(|(_, e)| e.address));
        }
        if reach.is_far() && self.is_representative(now) {
            let others = self.cell.remote_reports(now).filter(|r| r.is_representative);
            far.extend(others.filter_map(|r| r.address));
        }
        if reach.is_full() {
            let knows_others = !far.is_empty();
            far.extend(self.strangers(now, audience, reach, beat, knows_others));
        }
        far.retain(|address| !near.contains(address));
        far.remove(&audience.address);
        near.remove(&audience.address);
        Addresses { near, far }
    }

    /// Instances of which this one does not know whether they are there. Who hears nobody, or knows no other cell's
    /// representative, turns to everybody; a representative to some others at each time.
    fn strangers(
        &self,
        now: Instant,
        audience: &Audience,
        reach: Reach,
        beat: u64,
        knows_others: bool,
    ) -> Vec<SocketAddr> {
        let is_alone = self.cell.live_peer_count(now) == 0;
        let is_cut_off = is_alone || (self.is_representative(now) && !knows_others);
        let others = self.world.instances().iter();
        let others = others.filter(|(name, _)| !self.group.peers.contains(*name));
        let others = others.map(|(_, e)| e.address);
        let is_start = matches!(reach, Reach::First { .. }) && self.is_new_fleet();
        let mut all: Vec<_> = audience.seeds.clone();
        if is_start || is_cut_off || self.group.cell_count <= 1 {
            all.extend(others);
            all.extend(self.cell.representative_addresses());
            all.extend(known(self, now));
        } else if self.is_representative(now) {
            let count = self.world.instances().len().max(1);
            let from = (beat / KNOCK) as usize * STRANGERS % count;
            all.extend(others.cycle().skip(from).take(STRANGERS));
            all.extend(self.cell.representative_addresses());
        }
        all
    }

    /// Whether the store knew no other instance at this one's start.
    pub(crate) fn is_new_fleet(&self) -> bool {
        self.world.instances().keys().all(|name| *name == self.me)
    }
}
