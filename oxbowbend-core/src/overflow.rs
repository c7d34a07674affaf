//! Choice of the instance of another cell that gets a request for which this cell has no free slot.
//!
//! Cells are cut by number of instances, not by load, so one cell may be full while others have free
//! slots: the busiest engine of a fleet of 131 instances ran twice the mean load. Representatives
//! report the free slots of their cells, and a request that would wait long is offered to an instance
//! of a cell that has any. That instance accepts the request only if it still has a slot for it, so
//! an offer that rests on an old report costs one round trip and no place in a queue.
//!
//! Many instances choose from the same reports. They choose cells at random, and each uses up the
//! reported slots by its own offers; a rejection uses up all of a cell's, since others were faster.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use rand::Rng;

use crate::cell::{CellFreeSlots, OtherCells, QueueOutlook, Report};
use crate::ids::{InstanceId, ServiceId, ZoneId};
use crate::saturating;

/// Offers made for one request. Each takes a round trip of up to 6 ms between zones, of an objective
/// of 500 ms or more.
pub const MAX_OFFERS: usize = 2;
/// Time that a connection to a chosen instance may take: many times the longest round trip, and a
/// fifth of the shortest objective.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Age of reported free slots after which nothing is offered: four reports between representatives.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// Age up to which a representative passes free slots on. Instances use them for the rest of
/// [`MAX_REPORT_AGE`].
const MAX_FORWARDED_AGE: Duration = Duration::from_millis(500);
/// Time for which an instance that did not answer is left out.
const SILENT_PERIOD: Duration = Duration::from_secs(1);
/// Largest number of entries that a representative passes on. One takes about 15 bytes, eight times a
/// second to each of 11 instances: 16 KB a second for a representative, 1.3 KB for the average
/// instance.
const MAX_FORWARDED: usize = 12;
/// Fraction of its objective that a request may be expected to wait in its own cell.
const WAIT_SHARE: f64 = 0.25;
/// Fraction of its objective after which the response to an accepted request may be overdue. It has a
/// slot at once; prompts are read in a tenth to a quarter of their objectives.
const RESPONSE_SHARE: f64 = 0.5;
/// Multiple of the expected time after which it is overdue.
const EXPECTED_TIME_FACTOR: u32 = 4;
/// Fraction of the time left after which it is overdue if nothing is expected of the service.
const UNEXPECTED_SHARE: f64 = 0.5;

/// Returns whether a request should be offered to another cell: there is no free slot for it, and it
/// stands further back in the queue than the slots that its cell frees within a quarter of
/// `objective`.
///
/// ```
/// use std::time::Duration;
///
/// use oxbowbend_core::cell::QueueOutlook;
/// use oxbowbend_core::overflow::should_offer;
///
/// let objective = Duration::from_millis(800);
/// // Ten slots are freed in 200 ms: the tenth in the queue waits here, the next one does not.
/// let queue = QueueOutlook { free: 0, ahead: 9, freed_per_s: 50.0 };
/// assert!(!should_offer(queue, objective));
/// assert!(should_offer(QueueOutlook { ahead: 10, ..queue }, objective));
/// // A free slot is used at once.
/// assert!(!should_offer(QueueOutlook { free: 1, ahead: 0, freed_per_s: 0.0 }, objective));
/// ```
pub fn should_offer(queue: QueueOutlook, objective: Duration) -> bool {
    if queue.free > queue.ahead {
        return false;
    }
    let position = queue.ahead - queue.free + 1;
    f64::from(position) > queue.freed_per_s * objective.as_secs_f64() * WAIT_SHARE
}

/// Returns the time after which an instance that has not responded to a request with this `objective`
/// counts as silent. It responds when the endpoint does, so a service that takes longer than its
/// objectives must not make all other cells look silent.
///
/// ```
/// use std::time::Duration;
///
/// use oxbowbend_core::overflow::response_timeout;
///
/// let (objective, left) = (Duration::from_millis(800), Duration::from_secs(5));
/// let timeout = |expected_ms| {
///     response_timeout(Some(Duration::from_millis(expected_ms)), objective, left).as_millis()
/// };
/// assert_eq!((timeout(90), timeout(1000)), (400, 4000));
/// assert_eq!(response_timeout(None, objective, left), Duration::from_millis(2500));
/// ```
pub fn response_timeout(
    expected: Option<Duration>,
    objective: Duration,
    time_left: Duration,
) -> Duration {
    let by_service = match expected {
        Some(expected) => expected * EXPECTED_TIME_FACTOR,
        None => time_left.mul_f64(UNEXPECTED_SHARE),
    };
    objective.mul_f64(RESPONSE_SHARE).max(by_service)
}

/// An instance chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenInstance {
    /// The instance.
    pub instance: InstanceId,
    /// Index of its cell.
    pub cell: usize,
    /// Free slots of the cell before this offer, as far as this instance knows.
    pub free: u32,
    /// Age of the report that the choice rests on.
    pub report_age: Duration,
}

/// What a choice depends on, besides the reported free slots.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The service that must execute the request.
    pub service: &'a ServiceId,
    /// The availability zone of this instance.
    pub zone: &'a ZoneId,
    /// The instances of the other cells.
    pub cells: &'a OtherCells,
    /// Instances that the request was offered to.
    pub excluded: &'a [InstanceId],
}

/// What a cell reported last, less what was offered to it since.
#[derive(Clone, Debug)]
struct ReportedCell {
    free: Vec<(ServiceId, u32)>,
    received_at: Instant,
    /// Whether its own representative reported to this instance.
    is_direct: bool,
}

impl ReportedCell {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.received_at)
    }

    fn is_current(&self, now: Instant) -> bool {
        let max_age = match self.is_direct {
            true => MAX_REPORT_AGE,
            false => MAX_REPORT_AGE - MAX_FORWARDED_AGE,
        };
        self.age(now) < max_age
    }

    fn free(&self, service: &ServiceId) -> u32 {
        self.free.iter().find(|(name, _)| name == service).map_or(0, |(_, free)| *free)
    }

    fn set_free(&mut self, service: &ServiceId, free: u32) {
        let slots = self.free.iter_mut().filter(|(name, _)| name == service);
        slots.for_each(|(_, slots)| *slots = free);
    }
}

/// Free slots of other cells, and instances that did not answer.
///
/// ```
/// use std::collections::BTreeMap;
/// use std::time::Instant;
///
/// use oxbowbend_core::cell::Report;
/// use oxbowbend_core::overflow::{Criteria, Overflow};
///
/// let (now, service, zone) = (Instant::now(), "chat".into(), "z1".into());
/// let cells = BTreeMap::from([(2, BTreeMap::from([("i7".into(), "z1".into())]))]);
/// let criteria = Criteria { service: &service, zone: &zone, cells: &cells, excluded: &[] };
/// let mut overflow = Overflow::default();
/// assert_eq!(overflow.choose(now, criteria, &mut rand::rng()), None);
///
/// // The representative of cell 2 reports one free slot, which one offer uses up.
/// let free_slots = vec![("chat".into(), 1)];
/// let report =
///     Report { is_representative: true, cell_index: 2, free_slots, ..Report::default() };
/// overflow.receive(now, &report, false);
/// let chosen = overflow.choose(now, criteria, &mut rand::rng()).expect("a free slot");
/// assert_eq!(chosen.instance, "i7".into());
/// assert_eq!(overflow.choose(now, criteria, &mut rand::rng()), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Overflow {
    cells: BTreeMap<usize, ReportedCell>,
    /// When instances that did not answer were last offered a request.
    silent: HashMap<InstanceId, Instant>,
}

impl Overflow {
    /// Records the free slots in a report: of the sender's cell, or of all other cells if the sender
    /// represents this one.
    pub fn receive(&mut self, now: Instant, report: &Report, is_same_cell: bool) {
        if !report.is_representative {
            return;
        }
        if !is_same_cell {
            let (free, cell) = (report.free_slots.clone(), report.cell_index as usize);
            self.cells.insert(cell, ReportedCell { free, received_at: now, is_direct: true });
            return;
        }
        // Other reports than heartbeats leave the free slots out.
        let is_heartbeat = report.handover_port.is_some();
        if let Some(summary) = report.fleet_summary.as_ref().filter(|_| is_heartbeat) {
            self.replace_forwarded(now, &summary.free_slots);
        }
    }

    /// Replaces what was forwarded before. What the representatives of other cells have reported to
    /// this instance itself is newer.
    fn replace_forwarded(&mut self, now: Instant, forwarded: &[CellFreeSlots]) {
        self.cells.retain(|_, cell| cell.is_direct && cell.is_current(now));
        for CellFreeSlots { cell, service, free } in forwarded {
            let new = || ReportedCell { free: Vec::new(), received_at: now, is_direct: false };
            let cell = self.cells.entry(*cell as usize).or_insert_with(new);
            if !cell.is_direct {
                cell.free.push((service.clone(), *free));
            }
        }
    }

    /// The free slots that a representative in `zone` passes on to its own cell: those of cells in
    /// its zone first, then the largest.
    pub fn to_forward(
        &self,
        now: Instant,
        zone: &ZoneId,
        cells: &OtherCells,
    ) -> Vec<CellFreeSlots> {
        let is_fresh = |cell: &ReportedCell| cell.is_direct && cell.age(now) < MAX_FORWARDED_AGE;
        let fresh = self.cells.iter().filter(|(_, cell)| is_fresh(cell));
        let slots = fresh.flat_map(|(index, cell)| {
            let free = cell.free.iter().filter(|(_, free)| *free > 0);
            free.map(|(service, free)| CellFreeSlots {
                cell: *index as u32,
                service: service.clone(),
                free: *free,
            })
        });
        let mut slots: Vec<_> = slots.collect();
        slots.sort_by_key(|s| {
            (!is_in_zone(cells, s.cell as usize, zone), std::cmp::Reverse(s.free))
        });
        slots.truncate(MAX_FORWARDED);
        slots
    }

    /// Whether any other cell has free slots of `service`.
    pub fn has_free_slots(&self, now: Instant, service: &ServiceId) -> bool {
        self.cells.values().any(|cell| cell.is_current(now) && cell.free(service) > 0)
    }

    /// Free slots of all other cells and services, as reported.
    pub fn total_free_slots(&self, now: Instant) -> u32 {
        let current = self.cells.values().filter(|cell| cell.is_current(now));
        saturating::sum(current.flat_map(|cell| &cell.free).map(|(_, free)| *free))
    }

    /// Chooses an instance for a request, if another cell has a free slot, and uses that slot up.
    pub fn choose(
        &mut self,
        now: Instant,
        criteria: Criteria<'_>,
        rng: &mut impl Rng,
    ) -> Option<ChosenInstance> {
        let (index, instance) = self.choose_cell(now, criteria, rng)?;
        let cell = self.cells.get_mut(&index)?;
        let (free, report_age) = (cell.free(criteria.service), cell.age(now));
        cell.set_free(criteria.service, free - 1);
        Some(ChosenInstance { instance, cell: index, free, report_age })
    }

    /// Chooses a cell at random, weighted by its free slots, and an instance in it. Cells in the zone
    /// of this instance go first.
    fn choose_cell(
        &self,
        now: Instant,
        criteria: Criteria<'_>,
        rng: &mut impl Rng,
    ) -> Option<(usize, InstanceId)> {
        let Criteria { service, zone, cells, .. } = criteria;
        let usable = self.cells.iter().filter(|(_, cell)| cell.is_current(now));
        let mut usable: Vec<_> = usable
            .map(|(index, cell)| (*index, cell.free(service)))
            .filter(|(index, free)| {
                *free > 0 && self.present(now, criteria, *index).next().is_some()
            })
            .collect();
        if usable.iter().any(|(index, _)| is_in_zone(cells, *index, zone)) {
            usable.retain(|(index, _)| is_in_zone(cells, *index, zone));
        }
        let total = saturating::sum(usable.iter().map(|(_, free)| *free));
        let mut slot = (total > 0).then(|| rng.random_range(0..total))?;
        let (index, _) = usable.into_iter().find(|(_, free)| {
            let is_here = slot < *free;
            slot = slot.saturating_sub(*free);
            is_here
        })?;
        let present: Vec<_> = self.present(now, criteria, index).collect();
        Some((index, present[rng.random_range(0..present.len())].clone()))
    }

    /// The instances of a cell that a request can be offered to.
    fn present<'a>(
        &'a self,
        now: Instant,
        criteria: Criteria<'a>,
        cell: usize,
    ) -> impl Iterator<Item = &'a InstanceId> {
        let is_silent = move |instance: &InstanceId| {
            let since = self.silent.get(instance);
            since.is_some_and(|at| now.saturating_duration_since(*at) < SILENT_PERIOD)
        };
        let instances = criteria.cells.get(&cell).into_iter().flat_map(|cell| cell.keys());
        instances.filter(move |i| !criteria.excluded.contains(i) && !is_silent(i))
    }

    /// Records that an instance had no slot for a request: its cell's reported slots are taken.
    pub fn record_rejected(&mut self, cell: usize, service: &ServiceId) {
        if let Some(cell) = self.cells.get_mut(&cell) {
            cell.set_free(service, 0);
        }
    }

    /// Records that an instance did not answer, or accepts no requests of others.
    pub fn record_silent(&mut self, now: Instant, instance: &InstanceId) {
        self.silent.retain(|_, at| now.saturating_duration_since(*at) < SILENT_PERIOD);
        self.silent.insert(instance.clone(), now);
    }
}

/// Whether all instances of a cell are in `zone`. Cells of small fleets have instances in all zones,
/// and none of them is nearer than others.
fn is_in_zone(cells: &OtherCells, cell: usize, zone: &ZoneId) -> bool {
    cells.get(&cell).is_some_and(|instances| instances.values().all(|z| z == zone))
}
