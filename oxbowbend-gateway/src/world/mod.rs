//! What an instance knows of the store: configuration, endpoints, instances.
//!
//! Configuration never goes back within one life. Endpoints whose entries went while the store was
//! away are kept for a moment after its return, because those that live enter themselves again; an
//! entry that is missing after that is gone. A store that comes back from an older copy is treated alike, and
//! what its copy says of endpoints that are known to have left is not believed ([`restored`]).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use oxbowbend_core::ids::{EndpointId, InstanceId, ServiceId, ZoneId};
use oxbowbend_core::rollout::RolloutSpec;
use oxbowbend_core::routes::{Endpoint, RoutingTable};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::seam::{Entry, Epoch, Named, Position, Record, Revision, Snapshot, UnreadableEntry};

mod endpoints;
mod news;
mod restored;

use endpoints::{Endpoints, Origin};
pub(crate) use news::log_outdated;
pub use news::News;
pub use restored::CONFIRM;

/// Time after the store's return within which lapsed endpoints enter themselves again. The users
/// promise about two seconds, and bound the time to leave an endpoint alone by the same; the
/// difference is for requests on their way.
pub const LAPSE: Duration = Duration::from_millis(1700);

/// When to come back to an instance that has just started: it knows everything after some 15 ms.
const SOON: Duration = Duration::from_millis(200);
/// Least and longest time for which an outage of the store is taken to last on. The users' last some
/// 4 to 6 s, and callers wait a third of the time that they have left, 4 s at most.
const OUTAGE: (Duration, Duration) = (Duration::from_millis(1500), Duration::from_millis(4000));

/// Who tells what it knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Teller {
    /// An instance that the store answers.
    Follower,
    /// One that the store does not answer either, or that copies.
    Other,
}

/// All that is known.
#[derive(Debug, Default)]
pub struct World {
    /// Up to where changes are known.
    position: Position,
    is_loaded: bool,
    document: Bytes,
    table: Option<Arc<RoutingTable>>,
    endpoints: Endpoints,
    instances: BTreeMap<InstanceId, Entry>,
    /// Orders of roll-outs.
    rollouts: BTreeMap<ServiceId, RolloutSpec>,
    returned: Option<Instant>,
    /// Since when the store has not answered.
    away: Option<Instant>,
}

impl World {
    /// Revision up to which changes are known.
    pub fn revision(&self) -> Revision {
        self.position.revision
    }

    /// Epoch and revision up to which changes are known.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Epoch of the store as far as is known.
    pub fn epoch(&self) -> Epoch {
        self.position.epoch
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<&Arc<RoutingTable>> {
        self.table.as_ref()
    }

    /// The configuration in force as the operator wrote it.
    pub fn document(&self) -> &Bytes {
        &self.document
    }

    /// Whether requests can be served: configuration and endpoints are known.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded && self.table.is_some()
    }

    /// The endpoints in force. One is held back that was entered after another one at its address that began later.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.in_force()
    }

    /// The newest start of an endpoint, if it has an entry.
    pub fn endpoint(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Entries of endpoints, whether in force or not, to pass on.
    pub fn entries(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.entries()
    }

    /// Endpoints that are kept for a moment, though their entries have gone.
    pub fn lapsed(&self) -> impl Iterator<Item = &EndpointId> {
        self.endpoints.lapsed()
    }

    /// Digest of the entries of endpoints, the same at instances that know the same.
    pub fn digest(&self) -> u64 {
        self.endpoints.digest()
    }

    /// Instances that have entered themselves.
    pub fn instances(&self) -> &BTreeMap<InstanceId, Entry> {
        &self.instances
    }

    /// Digest of the instances of the fleet, this one included: the same at those that know the same.
    pub fn roster(&self, me: (&InstanceId, &ZoneId)) -> u64 {
        let is_entered = self.instances.contains_key(me.0);
        let mine = if is_entered { 0 } else { instance_digest(me.0, me.1) };
        self.instances.iter().fold(mine, |sum, (name, e)| sum ^ instance_digest(name, &e.zone))
    }

    /// Whether the store does not answer.
    pub fn is_store_away(&self) -> bool {
        self.away.is_some()
    }

    /// Whether the store tells this instance nothing.
    pub fn is_cut_off(&self) -> bool {
        self.away.is_some() || !self.is_loaded()
    }

    /// Notes that the store does not answer; `true` if that is new.
    pub fn store_lost(&mut self, now: Instant) -> bool {
        let is_new = self.away.is_none();
        self.away.get_or_insert(now);
        is_new
    }

    /// When a caller should come back who came before anything could be served. An outage of the
    /// store is taken to last as long again as it has lasted.
    pub fn come_back(&self, now: Instant) -> Duration {
        let Some(since) = self.away else { return SOON };
        (OUTAGE.0 + now.saturating_duration_since(since)).min(OUTAGE.1)
    }

    /// Notes that the store answers; `true` if that is new.
    pub fn store_found(&mut self, now: Instant) -> bool {
        let was_away = self.away.take().is_some();
        if was_away {
            self.returned = Some(now);
        }
        was_away
    }

    /// Takes in everything that the store holds.
    pub fn load<F>(&mut self, now: Instant, snapshot: Snapshot, read: F) -> Vec<News>
    where
        F: Fn(&[u8]) -> Result<RoutingTable, String>,
    {
        if snapshot.epoch < self.epoch() {
            return vec![News::Outdated(snapshot.position())];
        }
        let is_restored = self.is_restored(&snapshot);
        let orders = if is_restored { Vec::new() } else { self.missing_orders(&snapshot) };
        let mut news = self.load_told(now, snapshot, read);
        news.extend(orders.into_iter().filter_map(|service| self.cancel(service)));
        news
    }

    /// Takes in everything that the store holds, but for orders of roll-outs, as another instance tells it.
    fn load_told<F>(&mut self, now: Instant, snapshot: Snapshot, read: F) -> Vec<News>
    where
        F: Fn(&[u8]) -> Result<RoutingTable, String>,
    {
        let is_restored = self.is_restored(&snapshot);
        let missing = self.endpoints.missing(&snapshot);
        let mut news = Vec::new();
        if is_restored {
            news.push(News::Restored { before: self.position, now: snapshot.position() });
            self.returned = Some(now);
        } else {
            self.replace_instances(&snapshot);
        }
        news.extend(self.take(now, snapshot, Origin::of_list(is_restored), read));
        for id in missing {
            news.extend(self.lapse(now, id));
        }
        self.endpoints.end_list();
        self.is_loaded = true;
        news
    }

    /// Whether a list is of a later epoch than all that is known: the store has come back from an older copy.
    /// Entries of instances that it lacks are still known; these enter themselves again.
    fn is_restored(&self, snapshot: &Snapshot) -> bool {
        self.is_loaded && snapshot.epoch > self.epoch()
    }

    /// Takes in a list's instances, if it has any: one that copies is not told those that it knows.
    fn replace_instances(&mut self, snapshot: &Snapshot) {
        if snapshot.records.iter().any(|r| matches!(r, Record::Instance(..))) {
            self.instances.clear();
        }
    }

    /// Takes in a list of instances, unless it is of an epoch that is over.
    pub fn set_instances(&mut self, snapshot: Snapshot) -> Option<News> {
        if snapshot.epoch < self.epoch() {
            return Some(News::Outdated(snapshot.position()));
        }
        let instances = snapshot.records.into_iter().filter_map(|r| match r {
            Record::Instance(name, entry) => Some((name, entry)),
            _ => None,
        });
        self.instances = instances.collect();
        None
    }

    /// Takes in changes.
    pub fn change<F>(&mut self, now: Instant, changes: Snapshot, read: F) -> Vec<News>
    where
        F: Fn(&[u8]) -> Result<RoutingTable, String>,
    {
        self.take(now, changes, Origin::Change, read)
    }

    /// Takes in records.
    fn take<F>(&mut self, now: Instant, changes: Snapshot, origin: Origin, read: F) -> Vec<News>
    where
        F: Fn(&[u8]) -> Result<RoutingTable, String>,
    {
        let mut news = Vec::new();
        let position = changes.position();
        for record in changes.records {
            match record {
                Record::Config(document) => news.extend(self.configure(document, &read)),
                Record::Endpoint(endpoint) => {
                    news.extend(self.endpoints.enter(now, endpoint, origin));
                }
                Record::EndpointGone(id) => news.extend(self.lapse(now, id)),
                Record::Instance(name, entry) => drop(self.instances.insert(name, entry)),
                Record::InstanceGone(name) => drop(self.instances.remove(&name)),
                Record::Rollout(order) => news.extend(self.order(order)),
                Record::RolloutGone(service) => news.extend(self.cancel(service)),
                Record::RolloutStatus { service, destination, status } => {
                    news.push(News::RolloutStatus { service, destination, status });
                }
                Record::Unreadable(entry) => news.extend(self.misread(now, entry)),
            }
        }
        self.position = self.position.max(position);
        news
    }

    /// Copies what an instance knows that follows the store for this one: its list of endpoints as it
    /// is, with those that it keeps for a moment, unless this instance has newer word.
    pub fn copy<F>(&mut self, now: Instant, snapshot: Snapshot, read: F) -> Vec<News>
    where
        F: Fn(&[u8]) -> Result<RoutingTable, String>,
    {
        if snapshot.position() < self.position {
            return self.learn(now, snapshot, Teller::Other, read);
        }
        let is_restored = self.is_restored(&snapshot);
        let missing = self.endpoints.missing(&snapshot);
        self.replace_instances(&snapshot);
        let mut news = self.take(now, snapshot, Origin::of_list(is_restored), read);
        news.extend(missing.into_iter().filter_map(|id| self.endpoints.remove(now, id)));
        self.endpoints.end_list();
        self.is_loaded = true;
        news
    }

    /// Takes in the rest of what an instance knows that has the same list of endpoints.
    pub fn confirm<F>(&mut self, now: Instant, snapshot: Snapshot, read: F) -> Vec<News>
    where
        F: Fn(&[u8]) -> Result<RoutingTable, String>,
    {
        self.replace_instances(&snapshot);
        self.change(now, Snapshot { epoch: 0, revision: 0, ..snapshot }, read)
    }

    /// Takes in what another instance knows, if that is more. Its list of endpoints is taken only
    /// while the store is away here, since the store's own word is better; the list of one that the store
    /// answers is taken as it is, since nothing else tells this instance that an endpoint has left.
    pub fn learn<F>(
        &mut self,
        now: Instant,
        snapshot: Snapshot,
        teller: Teller,
        read: F,
    ) -> Vec<News>
    where
        F: Fn(&[u8]) -> Result<RoutingTable, String>,
    {
        let snapshot = self.without_lapsed(snapshot);
        if self.is_cut_off() {
            if teller == Teller::Follower && snapshot.position() >= self.position {
                return self.copy(now, snapshot, read);
            }
            if snapshot.position() > self.position {
                return self.load_told(now, snapshot, read);
            }
        }
        let is_config = |r: &Record| matches!(r, Record::Config(_));
        let records = snapshot.records.into_iter().filter(is_config).collect();
        self.change(now, Snapshot { records, ..Snapshot::default() }, read)
    }

    /// Leaves out endpoints that whoever tells only keeps, and of which this instance knows no entry. The store has told
    /// it that they are gone, and does not tell that twice: one that took them back used them for good.
    fn without_lapsed(&self, mut snapshot: Snapshot) -> Snapshot {
        let lapsed = std::mem::take(&mut snapshot.lapsed);
        snapshot.records.retain(|record| match record {
            Record::Endpoint(e) => !lapsed.contains(&e.id) || self.endpoints.has_entry(&e.id),
            _ => true,
        });
        snapshot
    }

    /// Removes endpoints that have not entered themselves again.
    pub fn expire(&mut self, now: Instant) -> Vec<News> {
        if self.away.is_some() {
            return Vec::new();
        }
        self.endpoints.expire(now)
    }

    fn order(&mut self, order: RolloutSpec) -> Option<News> {
        let old = self.rollouts.insert(order.service.clone(), order.clone());
        (old.as_ref() != Some(&order)).then_some(News::Rollout(order))
    }

    fn cancel(&mut self, service: ServiceId) -> Option<News> {
        self.rollouts.remove(&service)?;
        Some(News::RolloutCancelled(service))
    }

    /// Orders that a list lacks were taken back, unless it is of an older copy.
    fn missing_orders(&self, snapshot: &Snapshot) -> Vec<ServiceId> {
        let is_listed = |service: &ServiceId| {
            let is = |r: &Record| matches!(r, Record::Rollout(o) if o.service == *service);
            snapshot.records.iter().any(is)
        };
        self.rollouts.keys().filter(|service| !is_listed(service)).cloned().collect()
    }

    fn configure<F>(&mut self, document: Bytes, read: F) -> Option<News>
    where
        F: Fn(&[u8]) -> Result<RoutingTable, String>,
    {
        if !self.document.is_empty() && document == self.document {
            return None;
        }
        let table = match read(&document) {
            Ok(table) => table,
            Err(e) => return Some(News::BadConfig(e)),
        };
        let version = table.version();
        if self.table.as_ref().is_some_and(|t| t.version() >= version) {
            return Some(News::OldConfig(version));
        }
        self.table = Some(Arc::new(table));
        self.document = document;
        Some(News::Config(version))
    }

    /// An entry that cannot be read stands in place of what its key named before, which is gone.
    fn misread(&mut self, now: Instant, entry: UnreadableEntry) -> Vec<News> {
        let gone = match &entry.names {
            Named::Endpoint(id) => self.lapse(now, id.clone()),
            Named::Instance(name) => {
                self.instances.remove(name);
                None
            }
            Named::Nothing => None,
        };
        [Some(News::Unreadable(entry)), gone].into_iter().flatten().collect()
    }

    fn lapse(&mut self, now: Instant, id: EndpointId) -> Option<News> {
        let until = match self.returned {
            _ if self.away.is_some() => now + LAPSE,
            _ if self.endpoints.release(&id) => return self.endpoints.remove(now, id),
            Some(returned) if now < returned + LAPSE => returned + LAPSE,
            _ => return self.endpoints.remove(now, id),
        };
        self.endpoints.keep(id, until);
        None
    }
}

fn instance_digest(name: &InstanceId, zone: &ZoneId) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64(zone.as_bytes()))
}
