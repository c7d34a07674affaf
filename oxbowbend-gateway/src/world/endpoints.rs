//! Endpoints by their entries in the store: which are in force, which are kept for a moment though their entries have
//! gone, and which are held though they are listed.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Instant;

use oxbowbend_core::ids::EndpointId;
use oxbowbend_core::routes::Endpoint;
use xxhash_rust::xxh3::xxh3_64;

use super::restored::{Departed, CONFIRM};
use super::News;
use crate::seam::{Record, Snapshot};

/// Where an entry comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Origin {
    /// What was written since the last word of the store.
    Change,
    /// All that the store holds.
    List,
    /// The same, the first time after the store has come back from an older copy.
    Copy,
}

impl Origin {
    pub(super) fn of_list(is_restored: bool) -> Origin {
        if is_restored {
            Origin::Copy
        } else {
            Origin::List
        }
    }
}

/// The endpoints that are known.
#[derive(Debug, Default)]
pub(super) struct Endpoints {
    /// Entries as they were written last.
    entries: BTreeMap<EndpointId, Endpoint>,
    /// The newest start of each of them.
    in_force: BTreeMap<EndpointId, Endpoint>,
    digest: u64,
    /// Until when those are kept whose entries have gone.
    lapsed: BTreeMap<EndpointId, Instant>,
    departed: Departed,
    /// Whether a list has been taken in.
    has_list: bool,
    /// Until when those are held back that were entered after one at their address that began later.
    late: BTreeMap<EndpointId, Instant>,
    /// When an earlier start is taken for the present one, if its entry still stands.
    earlier: BTreeMap<EndpointId, Instant>,
}

impl Endpoints {
    /// Those in force. One that was entered after another one at its address that began later was written late, and is
    /// held back while that one is known, for [`CONFIRM`] at most. An entry does not displace one that was known
    /// before it: what it says of its beginning may be wrong, and a request names the endpoint that is meant, so that
    /// the answer of the one that is there tells which it is.
    pub(super) fn in_force(&self) -> impl Iterator<Item = &Endpoint> {
        let mut newest: HashMap<SocketAddr, u64> = HashMap::new();
        for endpoint in self.in_force.values() {
            let born = newest.entry(endpoint.address).or_default();
            *born = endpoint.started_at_ms.max(*born);
        }
        let is_there = move |e: &&Endpoint| {
            !self.late.contains_key(&e.id) || newest.get(&e.address) == Some(&e.started_at_ms)
        };
        self.in_force.values().filter(is_there)
    }

    pub(super) fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.in_force.get(id)
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.values()
    }

    pub(super) fn has_entry(&self, id: &EndpointId) -> bool {
        self.entries.contains_key(id)
    }

    pub(super) fn lapsed(&self) -> impl Iterator<Item = &EndpointId> {
        self.lapsed.keys()
    }

    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Those that are known here and not in a list.
    pub(super) fn missing(&self, snapshot: &Snapshot) -> BTreeSet<EndpointId> {
        let mut missing: BTreeSet<_> = self.entries.keys().cloned().collect();
        for record in &snapshot.records {
            if let Record::Endpoint(endpoint) = record {
                missing.remove(&endpoint.id);
            }
        }
        missing
    }

    /// Takes in an entry.
    pub(super) fn enter(
        &mut self,
        now: Instant,
        endpoint: Endpoint,
        origin: Origin,
    ) -> Option<News> {
        let is_new = self.write_down(&endpoint);
        if origin == Origin::Copy {
            return self.enter_copy(now, endpoint).filter(|_| is_new);
        }
        // What is listed again as it was may still be what the copy held.
        let is_written = is_new || origin == Origin::Change;
        let was_held = is_written && self.departed.release(&endpoint.id);
        if is_new || was_held {
            return self.begin(now, endpoint);
        }
        None
    }

    /// Takes in an entry that may be older than what is known: it takes nothing back.
    fn enter_copy(&mut self, now: Instant, endpoint: Endpoint) -> Option<News> {
        let known =
            self.in_force.get(&endpoint.id).filter(|e| e.started_at_ms == endpoint.started_at_ms);
        if known.is_some_and(|known| known.leaving) || self.departed.hold(now, &endpoint) {
            return None;
        }
        self.begin(now, endpoint)
    }

    /// Notes an entry as it is written; returns whether it is another one than before.
    fn write_down(&mut self, endpoint: &Endpoint) -> bool {
        self.lapsed.remove(&endpoint.id);
        let old = self.entries.insert(endpoint.id.clone(), endpoint.clone());
        let is_new = old.as_ref() != Some(endpoint);
        if is_new {
            self.digest ^= old.as_ref().map_or(0, digest) ^ digest(endpoint);
        }
        is_new
    }

    /// Puts an endpoint in force, unless a later start of it is known. One that does not say when it began is
    /// taken to be the one that was known.
    fn begin(&mut self, now: Instant, mut endpoint: Endpoint) -> Option<News> {
        let old_born = self.in_force.get(&endpoint.id).map_or(0, |old| old.started_at_ms);
        if endpoint.started_at_ms == 0 {
            endpoint.started_at_ms = old_born;
        }
        if endpoint.started_at_ms < old_born {
            self.earlier.entry(endpoint.id.clone()).or_insert(now + CONFIRM);
            return Some(News::EarlierStart(endpoint));
        }
        self.earlier.remove(&endpoint.id);
        if self.is_late(&endpoint) {
            self.late.entry(endpoint.id.clone()).or_insert(now + CONFIRM);
            self.in_force.insert(endpoint.id.clone(), endpoint.clone());
            return Some(News::Late(endpoint));
        }
        let is_restart = old_born > 0 && endpoint.started_at_ms > old_born;
        self.in_force.insert(endpoint.id.clone(), endpoint.clone());
        Some(if is_restart { News::Restarted(endpoint) } else { News::Endpoint(endpoint) })
    }

    /// Whether an entry comes after that of another one at its address that began later. Those of the first list come at
    /// once, and none is late.
    fn is_late(&self, endpoint: &Endpoint) -> bool {
        let known = self.in_force.get(&endpoint.id);
        let is_known = known.is_some_and(|known| known.key() == endpoint.key());
        let began_later = |other: &Endpoint| {
            other.id != endpoint.id
                && other.address == endpoint.address
                && other.started_at_ms > endpoint.started_at_ms
        };
        self.has_list
            && endpoint.started_at_ms > 0
            && (!is_known || self.late.contains_key(&endpoint.id))
            && self.in_force.values().any(began_later)
    }

    /// Notes that all entries of a list have been taken in.
    pub(super) fn end_list(&mut self) {
        self.has_list = true;
    }

    /// Lets go of one that a copy listed; returns whether it was held.
    pub(super) fn release(&mut self, id: &EndpointId) -> bool {
        self.departed.release(id)
    }

    /// Keeps one until then though its entry has gone.
    pub(super) fn keep(&mut self, id: EndpointId, until: Instant) {
        if self.entries.contains_key(&id) {
            self.lapsed.entry(id).or_insert(until);
        }
    }

    pub(super) fn remove(&mut self, now: Instant, id: EndpointId) -> Option<News> {
        self.lapsed.remove(&id);
        self.late.remove(&id);
        self.earlier.remove(&id);
        let entry = self.entries.remove(&id)?;
        self.digest ^= digest(&entry);
        self.departed.note(now, self.in_force.remove(&id).unwrap_or(entry));
        Some(News::EndpointGone(id))
    }

    /// Removes those that were kept for long enough, and puts in force those that were held for long enough.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<News> {
        let due = self.lapsed.iter().filter(|(_, until)| now >= **until);
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        let mut news: Vec<_> = due.into_iter().filter_map(|id| self.remove(now, id)).collect();
        for id in self.departed.confirmed(now) {
            let endpoint = self.entries.get(&id).cloned();
            news.extend(endpoint.and_then(|endpoint| self.begin(now, endpoint)));
        }
        news.extend(take_due(&mut self.late, now).into_iter().filter_map(|id| {
            let endpoint = self.in_force.get(&id)?;
            Some(News::Endpoint(endpoint.clone()))
        }));
        for id in take_due(&mut self.earlier, now) {
            news.extend(self.begin_earlier(&id));
        }
        news
    }

    /// Puts an earlier start in force whose entry has stood for so long that a later one would have written its own
    /// again: the clock that told the beginning has gone back.
    fn begin_earlier(&mut self, id: &EndpointId) -> Option<News> {
        let endpoint = self.entries.get(id)?.clone();
        self.in_force.insert(id.clone(), endpoint.clone());
        Some(News::Restarted(endpoint))
    }
}

/// Takes out what is due.
fn take_due(pending: &mut BTreeMap<EndpointId, Instant>, now: Instant) -> Vec<EndpointId> {
    let due: Vec<_> =
        pending.iter().filter(|(_, at)| now >= **at).map(|(id, _)| id.clone()).collect();
    pending.retain(|_, at| now < *at);
    due
}

/// Part of one endpoint in the digest of all, which is the exclusive or of these.
fn digest(endpoint: &Endpoint) -> u64 {
    let Endpoint { id, address, leaving, started_at_ms: born, version, .. } = endpoint;
    xxh3_64(format!("{id} {address} {leaving} {born} {version}").as_bytes())
}
