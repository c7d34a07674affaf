//! A guaranteed part of the slot time for the ranks below the first.
//!
//! Ranks are strict. While the first rank alone takes all slots, requests of the last rank would
//! get none for as long as the overload lasts, and neither would the retries of their callers. The
//! floor gives these ranks a fifth of the slot time.
//!
//! Reports do not tell which rank got a slot, so each instance applies the floor to its own
//! requests, as a part of the slot time that it hands out itself. These parts add up to the floor of
//! the cell whatever reports are late or lost. For each rank it keeps a credit: all slot time that is
//! handed out adds the rank's part, and what the rank gets is taken off. A rank that has credit for
//! a request moves one request before all others.
//!
//! A long request uses up the credit of several seconds. If all instances moved one as soon as
//! several ranks wait, they would take many slots at once and none later. Each instance therefore
//! waits for a different part of a request's slot time first, which a hash of its name determines.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{InstanceId, ServiceId};
use crate::saturating;

/// Part of the slot time that the ranks below the first share while requests of several ranks wait.
/// The first rank loses at most this part, which is less than a burst of 1.5 takes.
pub const RANK_FLOOR: f64 = 0.2;
/// Time for which a rank counts as waiting after a request of it waited or was refused. Also the time
/// for which credit is kept, unless a single request needs more.
const WINDOW: Duration = Duration::from_secs(1);
/// Time without a moved request after which the floor no longer acts. At usual loads, a rank whose
/// requests take a second moves one every 4 s at an instance.
const ACTING_HOLD: Duration = Duration::from_secs(10);
/// Time without requests after which the state of a service is discarded.
const RETENTION: Duration = Duration::from_secs(60);

/// The beginning or end of the floor for one service and rank, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct FloorChange {
    /// The service.
    pub service: ServiceId,
    /// The rank that is below its floor.
    pub rank: u16,
    /// Whether the floor has begun to act, or ended.
    pub is_acting: bool,
    /// Slot time that this instance has handed out to all ranks within the last second.
    pub handed_out: Duration,
    /// Part of it that is guaranteed to the rank.
    pub share: f64,
}

#[derive(Debug)]
struct RankState {
    /// When a request of this rank last waited or was refused.
    last_seen: Instant,
    /// Slot time in seconds that the rank may use before all others.
    credit_s: f64,
    /// Slot time in seconds of its last request that asked for credit or got a slot.
    slot_time_s: f64,
    last_moved: Option<Instant>,
    is_acting: bool,
}

#[derive(Debug, Default)]
struct ServiceState {
    ranks: BTreeMap<u16, RankState>,
    /// Slot time in seconds handed out within [`WINDOW`] while several ranks waited.
    handed_out: VecDeque<(Instant, f64)>,
}

/// The floor of all services at one instance.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use oxbowbend_core::cell::RankFloor;
///
/// let (now, service) = (Instant::now(), "s".into());
/// let mut floor = RankFloor::new(&"a".into());
/// floor.record_demand(now, &service, 0);
/// floor.record_demand(now, &service, 1);
/// let slot_time = Duration::from_millis(100);
/// assert_eq!(floor.rank_to_move_to(now, &service, 1, slot_time), None);
/// for _ in 0..5 {
///     floor.record_handed_out(now, &service, 0, slot_time, false);
/// }
/// // A fifth of what rank 0 got is as much as one request of rank 1 needs.
/// assert_eq!(floor.rank_to_move_to(now, &service, 1, slot_time), Some(0));
/// ```
#[derive(Debug)]
pub struct RankFloor {
    /// Part of a request's slot time that must be available as credit, above 0 and at most 1.
    phase: f64,
    services: HashMap<ServiceId, ServiceState>,
    changes: Vec<FloorChange>,
}

impl RankFloor {
    /// Creates a floor without credit for the requests of `instance`.
    pub fn new(instance: &InstanceId) -> RankFloor {
        let hash = xxh3_64(instance.as_bytes()) >> 40;
        let phase = (hash + 1) as f64 / (1_u64 << 24) as f64;
        RankFloor { phase, services: HashMap::new(), changes: Vec::new() }
    }

    /// Records that a request of a rank waits at any instance of the cell, or was refused.
    pub fn record_demand(&mut self, now: Instant, service: &ServiceId, rank: u16) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ServiceState::default());
        }
        let Some(state) = self.services.get_mut(service) else { return };
        let new = RankState {
            last_seen: now,
            credit_s: 0.0,
            slot_time_s: 0.0,
            last_moved: None,
            is_acting: false,
        };
        state.ranks.entry(rank).or_insert(new).last_seen = now;
    }

    /// Records that a request of this instance got a slot for the expected `slot_time`. `is_moved`
    /// tells whether the floor had moved it.
    pub fn record_handed_out(
        &mut self,
        now: Instant,
        service: &ServiceId,
        rank: u16,
        slot_time: Duration,
        is_moved: bool,
    ) {
        let Some(state) = self.services.get_mut(service) else { return };
        let slot_time_s = slot_time.as_secs_f64();
        state.add_credit(now, slot_time_s);
        let Some(rank_state) = state.ranks.get_mut(&rank) else { return };
        if !is_moved {
            rank_state.charge(slot_time_s);
            return;
        }
        rank_state.spend(slot_time_s);
        rank_state.last_moved = Some(now);
        if !std::mem::replace(&mut rank_state.is_acting, true) {
            self.changes.push(state.change(now, service, rank, true));
        }
    }

    /// Returns the rank to which to move a request of `rank` that needs `slot_time`, if its rank has
    /// credit for one: the first rank that waits.
    pub fn rank_to_move_to(
        &mut self,
        now: Instant,
        service: &ServiceId,
        rank: u16,
        slot_time: Duration,
    ) -> Option<u16> {
        let state = self.services.get_mut(service)?;
        let first = state.first_of_several(now).filter(|first| *first < rank)?;
        let rank_state = state.ranks.get_mut(&rank)?;
        rank_state.slot_time_s = slot_time.as_secs_f64();
        let is_due =
            rank_state.credit_s > 0.0 && rank_state.credit_s >= self.phase * rank_state.slot_time_s;
        is_due.then_some(first)
    }

    /// Returns the services and ranks for which the floor has begun or ended to act since the last
    /// call.
    pub fn take_changes(&mut self, now: Instant) -> Vec<FloorChange> {
        let is_within = |at: Instant, time| now.saturating_duration_since(at) < time;
        for (service, state) in &mut self.services {
            let is_over = |r: &RankState| {
                r.is_acting && !r.last_moved.is_some_and(|at| is_within(at, ACTING_HOLD))
            };
            let ended: Vec<_> =
                state.ranks.iter().filter(|(_, r)| is_over(r)).map(|(rank, _)| *rank).collect();
            for rank in ended {
                self.changes.push(state.change(now, service, rank, false));
                state.ranks.entry(rank).and_modify(|r| r.is_acting = false);
            }
            state.ranks.retain(|_, r| r.is_acting || is_within(r.last_seen, RETENTION));
        }
        self.services.retain(|_, state| !state.ranks.is_empty());
        std::mem::take(&mut self.changes)
    }
}

impl ServiceState {
    /// Ranks that have waited within [`WINDOW`], most urgent first.
    fn waiting_ranks(&self, now: Instant) -> impl Iterator<Item = u16> + '_ {
        let is_waiting = move |r: &RankState| now.saturating_duration_since(r.last_seen) <= WINDOW;
        self.ranks.iter().filter(move |(_, r)| is_waiting(r)).map(|(rank, _)| *rank)
    }

    /// The most urgent rank that waits, if several do.
    fn first_of_several(&self, now: Instant) -> Option<u16> {
        let mut ranks = self.waiting_ranks(now);
        let first = ranks.next();
        ranks.next().and(first)
    }

    /// Part of the slot time that is guaranteed to each rank below the first.
    fn share(&self, now: Instant) -> f64 {
        RANK_FLOOR / self.waiting_ranks(now).skip(1).count().max(1) as f64
    }

    /// Slot time in seconds handed out within [`WINDOW`].
    fn handed_out_s(&mut self, now: Instant) -> f64 {
        let is_old = |at: Instant| now.saturating_duration_since(at) > WINDOW;
        while self.handed_out.front().is_some_and(|(at, _)| is_old(*at)) {
            self.handed_out.pop_front();
        }
        self.handed_out.iter().map(|(_, slot_time_s)| slot_time_s).sum()
    }

    /// Adds the parts of all waiting ranks below the first, if several wait.
    fn add_credit(&mut self, now: Instant, slot_time_s: f64) {
        if self.first_of_several(now).is_none() {
            return;
        }
        let (share, handed_out_s) = (self.share(now), self.handed_out_s(now));
        self.handed_out.push_back((now, slot_time_s));
        let below_first: Vec<_> = self.waiting_ranks(now).skip(1).collect();
        for rank in below_first {
            if let Some(state) = self.ranks.get_mut(&rank) {
                let max_credit_s = (share * handed_out_s).max(state.slot_time_s);
                // Bounds only what was there before: the part of a long request is not old.
                state.credit_s = state.credit_s.min(max_credit_s) + share * slot_time_s;
            }
        }
    }

    fn change(
        &mut self,
        now: Instant,
        service: &ServiceId,
        rank: u16,
        is_acting: bool,
    ) -> FloorChange {
        let handed_out = saturating::seconds(self.handed_out_s(now));
        let share = self.share(now);
        FloorChange { service: service.clone(), rank, is_acting, handed_out, share }
    }
}

impl RankState {
    /// Takes off what a moved request got. This may leave a debt.
    fn spend(&mut self, slot_time_s: f64) {
        self.slot_time_s = slot_time_s;
        self.credit_s -= slot_time_s;
    }

    /// Takes off what the rank got in the strict order. This leaves no debt, which would count
    /// against the rank when the order no longer gives it any slots.
    fn charge(&mut self, slot_time_s: f64) {
        let debt_s = self.credit_s.min(0.0);
        self.spend(slot_time_s);
        self.credit_s = self.credit_s.max(debt_s);
    }
}
