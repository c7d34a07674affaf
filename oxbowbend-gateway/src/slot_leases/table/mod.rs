//! What this instance knows of slot leases: the slots that it grants, the leases that it holds and
//! the searches of its waiting requests.
//!
//! It opens no socket and reads no clock. Messages that this instance sends to itself, since it may
//! ask for slots that it grants, are handled at once.

mod owner;
mod requester;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use oxbowbend_core::ids::{EndpointId, EndpointKey, InstanceId, ServiceId, ZoneId};
use oxbowbend_core::slot_leases::{
    DenialReason, HeldLeases, OwnedEndpoint, Owner, Ownership, Ownerships, Requester, Sender,
    SlotGroup, SlotMessage, SlotNotification, SlotRequest,
};

use super::Fleet;

/// Longest time between two updates of the roles.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(40);
/// Time by which timers may be late. With the interval above, the time for an owner's answer is over
/// soon enough without a wake-up for each request.
const TIMER_SLACK: Duration = Duration::from_millis(10);
/// Request numbers begin at a random multiple of this. Grants do not name the run of the process
/// that they are for, so those of an earlier run must not match.
const REQUEST_NUMBERS: u64 = 1 << 20;

/// A request that needs a slot.
#[derive(Clone, Debug)]
pub(crate) struct Wanted {
    pub(crate) service: ServiceId,
    pub(crate) rank: u16,
    /// How long it can wait.
    pub(crate) wait: Duration,
    /// Endpoints that it may not be sent to.
    pub(crate) excluded: Vec<EndpointId>,
}

/// Result of a search for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum SearchResult {
    /// A lease of a slot at this endpoint.
    Granted(EndpointKey),
    /// No slot becomes free in time.
    Denied { available_in: Duration },
    /// No owner answered, or none of those that did could grant a slot.
    Unleased(NoGrant),
}

/// What a search without a grant is based on, for the log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct NoGrant {
    /// The reason of the last denial, if an owner answered.
    pub(crate) last_denial: Option<&'static str>,
    /// Those that are believed to be the owners, by zone.
    pub(crate) owners: String,
}

/// A message on its way.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub(crate) to: SocketAddr,
    pub(crate) notification: SlotNotification,
}

struct Search {
    requester: Requester,
    service: ServiceId,
    began_at: Instant,
    last_denial: Option<DenialReason>,
    /// Taken when the result is known.
    result: Option<oneshot::Sender<SearchResult>>,
}

pub(super) struct Table {
    local: Sender,
    zone: ZoneId,
    addresses: BTreeMap<InstanceId, SocketAddr>,
    members: BTreeMap<InstanceId, ZoneId>,
    endpoints: BTreeMap<SlotGroup, Vec<OwnedEndpoint>>,
    visible_share: f64,
    ownerships: Ownerships,
    owners: BTreeMap<SlotGroup, Owner>,
    held: HeldLeases,
    searches: HashMap<u64, Search>,
    last_request: u64,
    /// When the timer task wakes up.
    sleeps_until: Option<Instant>,
    /// Messages that are to be sent or, if to this instance, handled.
    queue: VecDeque<(InstanceId, SlotGroup, SlotMessage)>,
}

impl Table {
    pub(super) fn new(local: Sender, zone: ZoneId) -> Table {
        Table {
            local,
            zone,
            addresses: BTreeMap::new(),
            members: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            visible_share: 1.0,
            ownerships: Ownerships::new(),
            owners: BTreeMap::new(),
            held: HeldLeases::default(),
            searches: HashMap::new(),
            last_request: u64::from(rand::random::<u32>()) * REQUEST_NUMBERS,
            sleeps_until: None,
            queue: VecDeque::new(),
        }
    }

    /// Whether any slots are leased.
    pub(super) fn is_active(&self) -> bool {
        !self.ownerships.is_empty()
    }

    /// Whether timers may be due: slots are leased, or a search has not ended.
    pub(super) fn has_timers(&self) -> bool {
        self.is_active() || !self.searches.is_empty()
    }

    /// Whether the slots of a service are leased.
    pub(super) fn covers(&self, service: &ServiceId) -> bool {
        self.endpoints.keys().any(|group| group.service == *service)
    }

    /// Sets what is known of the fleet.
    pub(super) fn set_fleet(&mut self, now: Instant, fleet: Fleet) {
        let Fleet { members, endpoints, visible_share } = fleet;
        self.visible_share = visible_share;
        let has_new_members = members.is_some();
        if let Some(members) = members {
            // Senders that are not known as members yet keep their addresses.
            self.addresses.extend(members.iter().map(|(name, m)| (name.clone(), m.address)));
            self.members = members.into_iter().map(|(name, m)| (name, m.zone)).collect();
            self.members.insert(self.local.instance.clone(), self.zone.clone());
        }
        let gone: Vec<_> =
            self.endpoints.keys().filter(|group| !endpoints.contains_key(group)).cloned().collect();
        gone.iter().for_each(|group| self.remove_group(now, group));
        for (group, endpoints) in endpoints {
            let is_new = !self.ownerships.contains_key(&group);
            let local_id = &self.local.instance;
            let ownership = self
                .ownerships
                .entry(group.clone())
                .or_insert_with(|| Ownership::new(now, local_id.clone(), group.clone()));
            if is_new || has_new_members {
                ownership.set_members(now, &self.members);
            }
            self.set_endpoints(now, group, endpoints);
        }
    }

    fn set_endpoints(&mut self, now: Instant, group: SlotGroup, endpoints: Vec<OwnedEndpoint>) {
        let is_same = self.endpoints.get(&group) == Some(&endpoints);
        let mut decisions = Vec::new();
        if let Some(owner) = self.owners.get_mut(&group) {
            owner.set_visible_share(self.visible_share);
            if !is_same {
                decisions = owner.set_endpoints(now, endpoints.clone());
            }
        }
        self.send_decisions(&group, decisions);
        if !is_same {
            self.endpoints.insert(group, endpoints);
        }
    }

    /// Forgets slots that are no longer leased. Requests that wait for them are denied.
    fn remove_group(&mut self, now: Instant, group: &SlotGroup) {
        self.endpoints.remove(group);
        if let Some(owner) = self.owners.get_mut(group) {
            let decisions = owner.set_endpoints(now, Vec::new());
            self.send_decisions(group, decisions);
            self.lose(now, group, "no_endpoints");
        }
        self.ownerships.remove(group);
    }

    /// Records that an instance is alive.
    pub(super) fn record_heard(&mut self, now: Instant, instance: &InstanceId) {
        let mut lost = Vec::new();
        for (group, ownership) in &mut self.ownerships {
            let was_owner = ownership.is_owner();
            ownership.record_heard(now, instance);
            if was_owner && !ownership.is_owner() {
                lost.push(group.clone());
            }
        }
        let cause = format!("heard_candidate_before:{instance}");
        lost.iter().for_each(|group| self.update_role(now, group, &cause));
    }

    /// Handles a message of another instance.
    pub(super) fn receive(&mut self, now: Instant, notification: SlotNotification) {
        let Sender { instance, address, .. } = &notification.sender;
        self.addresses.insert(instance.clone(), *address);
        self.record_heard(now, instance);
        self.handle(now, notification);
    }

    fn handle(&mut self, now: Instant, notification: SlotNotification) {
        let SlotNotification { sender, group, message } = notification;
        match message {
            SlotMessage::Request { request, rank, wait_ms, excluded } => {
                let wait = Duration::from_millis(wait_ms.into());
                let wanted = SlotRequest { request, rank, wait, excluded };
                self.handle_request(now, &sender, group, wanted);
            }
            SlotMessage::Renewal { leases } => self.handle_renewal(now, &sender, group, &leases),
            SlotMessage::Release { requests } => {
                self.handle_release(now, &sender, &group, &requests);
            }
            SlotMessage::Grant { request, endpoint, .. } => {
                self.handle_grant(now, sender.instance, group, request, endpoint);
            }
            SlotMessage::Denial { request, reason, available_in_ms } => {
                let available_in = Duration::from_millis(available_in_ms.into());
                self.handle_denial(now, &sender.instance, &group, request, (reason, available_in));
            }
            SlotMessage::Waiting { request, available_in_ms } => {
                let available_in = Duration::from_millis(available_in_ms.into());
                if let Some(search) = self.searches.get_mut(&request) {
                    search.requester.waiting(now, (&sender.instance, &group), available_in);
                }
            }
            SlotMessage::Probe { is_owner } => {
                self.record_claim(now, &sender.instance, &group, is_owner);
                let is_owner = self.owners.contains_key(&group);
                let reply = SlotMessage::ProbeReply { is_owner };
                self.queue.push_back((sender.instance, group, reply));
            }
            SlotMessage::ProbeReply { is_owner } => {
                self.record_claim(now, &sender.instance, &group, is_owner);
            }
        }
    }

    fn record_claim(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        group: &SlotGroup,
        is_owner: bool,
    ) {
        if let Some(ownership) = self.ownerships.get_mut(group) {
            ownership.record_claim(now, instance, is_owner);
        }
        self.update_role(now, group, "cut_off_or_paused");
    }

    /// Records that this instance was asked for slots or told of leases.
    fn record_asked(&mut self, now: Instant, group: &SlotGroup) {
        if let Some(ownership) = self.ownerships.get_mut(group) {
            ownership.record_asked(now);
        }
        self.update_role(now, group, "cut_off_or_paused");
    }

    /// Handles what is due: roles, probes, leases that expire, renewals, and owners that do not
    /// answer.
    pub(super) fn tick(&mut self, now: Instant) {
        let groups: Vec<_> = self.ownerships.keys().cloned().collect();
        for group in &groups {
            self.update_role(now, group, "cut_off_or_paused");
            self.probe_candidates(now, group);
            self.expire_leases(now, group);
        }
        for renewal in self.held.take_due(now, &self.ownerships) {
            let message = SlotMessage::Renewal { leases: renewal.leases };
            self.queue.push_back((renewal.owner, renewal.group, message));
        }
        let is_due = |search: &Search| search.requester.next_timer().is_some_and(|at| at <= now);
        let due: Vec<_> =
            self.searches.iter().filter(|(_, s)| is_due(s)).map(|(request, _)| *request).collect();
        for request in due {
            let Some(search) = self.searches.get_mut(&request) else { continue };
            let actions = search.requester.tick(now, &mut self.ownerships);
            self.carry_out(now, request, actions);
        }
    }

    /// When [`Table::tick`] is due.
    pub(super) fn next_timer(&self, now: Instant) -> Instant {
        let searches = self.searches.values().filter_map(|s| s.requester.next_timer());
        let owners = self.owners.values().filter_map(Owner::next_timer);
        let timers = searches.chain(owners).chain(self.held.next_due());
        timers.fold(now + MAX_UPDATE_INTERVAL, Instant::min)
    }

    /// Records that the timer task sleeps until then.
    pub(super) fn set_sleep(&mut self, until: Instant) {
        self.sleeps_until = Some(until);
    }

    /// Whether a timer is due so long before the timer task wakes up that it must be woken.
    pub(super) fn is_due_earlier(&self, now: Instant) -> bool {
        self.sleeps_until.is_some_and(|until| self.next_timer(now) + TIMER_SLACK < until)
    }

    /// Handles the messages to this instance, and returns those to others.
    pub(super) fn take_outgoing(&mut self, now: Instant) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        while let Some((to, group, message)) = self.queue.pop_front() {
            let sender = self.local.clone();
            let notification = SlotNotification { sender, group, message };
            if to == self.local.instance {
                self.handle(now, notification);
            } else if let Some(address) = self.addresses.get(&to) {
                outgoing.push(Outgoing { to: *address, notification });
            }
        }
        outgoing
    }
}
