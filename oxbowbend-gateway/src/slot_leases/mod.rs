//! Slot leases: messages between instances, and timers.
//!
//! No cell knows what the others run at the endpoints of a service that all cells share. Requests of
//! such a service therefore get their slots from the owners of these
//! ([`oxbowbend_core::slot_leases`]). Messages are datagrams on the socket of the reports, and a
//! task sleeps until the next timer.

mod table;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_std::channel::{self, Receiver};
use async_std::future;
use futures::channel::oneshot;
use oxbowbend_clock as clock;
use oxbowbend_core::ids::{InstanceId, ServiceId, ZoneId};
use oxbowbend_core::routes::Endpoint;
use oxbowbend_core::slot_leases::{OwnedEndpoint, Sender, SlotGroup, SlotNotification};

use crate::observe;
use crate::shared::{Shared, State};
use table::Table;
pub(crate) use table::{NoGrant, Outgoing, SearchResult, Wanted};

/// Time between two readings of the members of the fleet, and time to sleep while no slots are
/// leased. The layout of the cells is recomputed as often.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two readings of the endpoints and of who is heard.
const FLEET_INTERVAL: Duration = Duration::from_millis(25);
/// Shortest sleep, so that messages that arrive meanwhile cause one wake together.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// Messages that wait to be sent. Those beyond are lost like a datagram.
const MAX_OUTGOING: usize = 4096;

/// A member of the fleet.
pub(crate) struct Member {
    zone: ZoneId,
    address: SocketAddr,
}

/// What slot leases need to know of the fleet.
#[derive(Default)]
pub(crate) struct Fleet {
    /// All instances; `None` if they are the same as before.
    members: Option<BTreeMap<InstanceId, Member>>,
    /// Endpoints of the services that all cells share; empty if no slots are leased.
    endpoints: BTreeMap<SlotGroup, Vec<OwnedEndpoint>>,
    /// Fraction of the fleet that is heard.
    visible_share: f64,
}

/// The slot leases of this instance; clones share them.
#[derive(Clone)]
pub(crate) struct SlotLeases {
    table: Arc<Mutex<Table>>,
    outgoing: channel::Sender<Outgoing>,
    /// Tells that a timer may be due earlier.
    changed: channel::Sender<()>,
}

/// The receiving ends of [`SlotLeases`].
pub(crate) struct Receivers {
    /// Messages to send.
    pub(crate) outgoing: Receiver<Outgoing>,
    /// Tells that a timer may be due earlier.
    pub(crate) changed: Receiver<()>,
}

/// A search for a slot, and the lease that it brings. Dropping it ends the search or returns the
/// lease.
pub(crate) struct Lease {
    leases: SlotLeases,
    request: u64,
}

impl SlotLeases {
    pub(crate) fn new(local: Sender, zone: ZoneId) -> (SlotLeases, Receivers) {
        let (tx, outgoing) = channel::bounded(MAX_OUTGOING);
        let (changed_tx, changed) = channel::bounded(1);
        let table = Arc::new(Mutex::new(Table::new(local, zone)));
        let leases = SlotLeases { table, outgoing: tx, changed: changed_tx };
        (leases, Receivers { outgoing, changed })
    }

    /// Whether the slots of a service are leased.
    pub(crate) fn covers(&self, service: &ServiceId) -> bool {
        self.lock().covers(service)
    }

    /// Searches a slot; `None` if the slots of the service are not leased.
    pub(crate) async fn search(&self, wanted: Wanted) -> Option<(Lease, SearchResult)> {
        let (lease, result) = self.start_search(wanted)?;
        let result = result.await.unwrap_or(SearchResult::Unleased(NoGrant::default()));
        Some((lease, result))
    }

    fn start_search(&self, wanted: Wanted) -> Option<(Lease, oneshot::Receiver<SearchResult>)> {
        let now = clock::now();
        let mut table = self.lock();
        let (request, result) = table.start_search(now, wanted)?;
        let lease = Lease { leases: self.clone(), request };
        self.send(now, table);
        Some((lease, result))
    }

    /// Records that an instance is alive.
    pub(crate) fn record_heard(&self, now: Instant, instance: &InstanceId) {
        self.lock().record_heard(now, instance);
    }

    /// Handles a message of another instance.
    pub(crate) fn receive(&self, now: Instant, notification: SlotNotification) {
        let mut table = self.lock();
        table.receive(now, notification);
        self.send(now, table);
    }

    /// Reads what is known of the fleet and handles timers.
    pub(crate) async fn run(self, shared: Shared, changed: Receiver<()>) {
        let (mut members_at, mut fleet_at, mut layout) = (None, None, 0);
        loop {
            let now = clock::now();
            let mut fleet = None;
            if is_due(fleet_at, now, FLEET_INTERVAL) {
                let state = shared.lock();
                let with_members =
                    is_due(members_at, now, MEMBERS_INTERVAL) || layout != state.layout_version;
                fleet = Some(state.slot_fleet(now, with_members));
                (fleet_at, layout) = (Some(now), state.layout_version);
                members_at = if with_members { Some(now) } else { members_at };
            }
            let next = self.update(now, fleet);
            // A time-out is no fault here: a timer is due.
            let pause = next.saturating_duration_since(clock::now());
            let _ = future::timeout(pause, changed.recv()).await;
        }
    }

    /// Handles timers, and returns when the next one is due.
    fn update(&self, now: Instant, fleet: Option<Fleet>) -> Instant {
        let mut table = self.lock();
        let was_active = table.is_active();
        if let Some(fleet) = fleet {
            table.set_fleet(now, fleet);
        }
        table.tick(now);
        let outgoing = table.take_outgoing(now);
        let is_active = table.is_active();
        if was_active || is_active {
            observe::slot_owner(table.load());
        }
        let next = match table.has_timers() {
            true => table.next_timer(now).max(now + MIN_SLEEP),
            false => now + MEMBERS_INTERVAL,
        };
        table.set_sleep(next);
        drop(table);
        self.pass_on(outgoing);
        next
    }

    /// Ends a search or returns a lease.
    fn end(&self, request: u64) {
        let now = clock::now();
        let mut table = self.lock();
        table.end(now, request);
        self.send(now, table);
    }

    /// Sends the messages that have been queued.
    fn send(&self, now: Instant, mut table: MutexGuard<'_, Table>) {
        let outgoing = table.take_outgoing(now);
        let is_earlier = table.is_due_earlier(now);
        drop(table);
        self.pass_on(outgoing);
        if is_earlier {
            // A full channel means that the task is about to wake up.
            let _ = self.changed.try_send(());
        }
    }

    fn pass_on(&self, outgoing: Vec<Outgoing>) {
        for message in outgoing {
            if self.outgoing.try_send(message).is_err() {
                log::warn!("event=slot_message_dropped waiting={MAX_OUTGOING}");
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().expect("no panic under lock")
    }
}

/// Whether something that was last done at a time is to be done again.
fn is_due(last: Option<Instant>, now: Instant, interval: Duration) -> bool {
    last.is_none_or(|at| now.duration_since(at) >= interval)
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.leases.end(self.request);
    }
}

impl State {
    /// What slot leases need to know of the fleet. Without members, no slots are leased.
    fn slot_fleet(&self, now: Instant, with_members: bool) -> Fleet {
        if !self.features().slot_leases {
            return Fleet::default();
        }
        let mut endpoints: BTreeMap<SlotGroup, Vec<OwnedEndpoint>> = BTreeMap::new();
        let is_shared = |e: &&Endpoint| self.group.shared_services.contains(&e.service);
        for endpoint in self.group.endpoints.iter().filter(is_shared) {
            let (service, zone) = (endpoint.service.clone(), endpoint.zone.clone());
            let is_open = !endpoint.leaving && !self.cell.has_drain_notice(endpoint.key());
            let (id, slots) = (endpoint.id.clone(), endpoint.slots);
            let owned = OwnedEndpoint { key: endpoint.key(), id, slots, is_open };
            endpoints.entry(SlotGroup { service, zone }).or_default().push(owned);
        }
        Fleet {
            members: with_members.then(|| self.slot_members(now)),
            endpoints,
            visible_share: self.visible_fleet_share(now),
        }
    }

    fn slot_members(&self, now: Instant) -> BTreeMap<InstanceId, Member> {
        let entered = self.world.instances().iter();
        let entered = entered.map(|(name, e)| (name, &e.zone, e.address));
        let heard = self.cell.live_reports(now).chain(self.cell.remote_reports(now));
        let heard = heard.filter_map(|r| Some((&r.instance, &r.zone, r.address?)));
        let all = entered.chain(heard);
        all.map(|(name, zone, address)| (name.clone(), Member { zone: zone.clone(), address }))
            .collect()
    }
}
