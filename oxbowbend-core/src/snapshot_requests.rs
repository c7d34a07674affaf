//! Choice of the peer that is asked for what it knows of the store.
//!
//! A peer's report shows that it knows more; the rest is asked for. A busy instance reports up to
//! twenty times as often as the others and is the slowest to answer, and one that died or whose
//! connections went silent does not answer at all. So the choice does not depend on whose report
//! arrives next, a request that takes longer than a document does not keep other peers from being
//! asked, and a peer that failed to answer is asked after all others.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::ids::InstanceId;

/// Time that a document takes at most on a small link: 0.4 MB at 10 Mbit/s, and a round trip.
const DOCUMENT_TIME: Duration = Duration::from_millis(400);
/// Documents requested at once. Each uses the link of whoever sends it; with two peers that do not
/// answer, the third one is asked 0.8 s after the first.
const MAX_PENDING_DOCUMENTS: usize = 3;
/// Time for which a failure is remembered.
const FAILURE_MEMORY: Duration = Duration::from_secs(10);

/// Number of a request.
pub type RequestId = u64;

/// What a request is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// Everything, including the configuration, which may be large.
    Document,
    /// Lists of endpoints and instances only.
    Lists,
}

#[derive(Clone, Debug)]
struct Pending {
    id: RequestId,
    peer: InstanceId,
    scope: Scope,
    started_at: Instant,
}

/// Requests that this instance has sent to peers.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use oxbowbend_core::snapshot_requests::{Scope, SnapshotRequests};
///
/// let (now, mut rng) = (Instant::now(), rand::rng());
/// let (a, b) = ("a".into(), "b".into());
/// let mut requests = SnapshotRequests::default();
/// requests.start(now, &a, Scope::Document);
/// // One document at a time, unless it takes too long.
/// assert!(!requests.may_request_document(now));
/// let later = now + Duration::from_millis(400);
/// assert!(requests.may_request_document(later));
/// let near = [&a, &b].into_iter();
/// assert_eq!(requests.choose(later, near, std::iter::empty(), &mut rng), Some(&b));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SnapshotRequests {
    pending: Vec<Pending>,
    /// Peers that did not answer their last request, and when it was sent.
    failures: HashMap<InstanceId, Instant>,
    last_id: RequestId,
}

impl SnapshotRequests {
    /// Returns whether a configuration may be requested now.
    pub fn may_request_document(&self, now: Instant) -> bool {
        let mut documents = self.pending.iter().filter(|p| p.scope == Scope::Document);
        let count = documents.clone().count();
        count < MAX_PENDING_DOCUMENTS
            && documents.all(|p| now.saturating_duration_since(p.started_at) >= DOCUMENT_TIME)
    }

    /// Chooses the one to ask among peers that know more: none with a pending request, and those whose
    /// last request failed after all others, the longest ago first. Peers of other cells are asked only
    /// where all of this cell have failed, since what they send crosses zones.
    pub fn choose<'a>(
        &self,
        now: Instant,
        near: impl Iterator<Item = &'a InstanceId>,
        far: impl Iterator<Item = &'a InstanceId>,
        rng: &mut impl Rng,
    ) -> Option<&'a InstanceId> {
        let near = self.choose_among(now, near, rng);
        if near.is_some_and(|peer| self.failed_at(now, peer).is_none()) {
            return near;
        }
        let far = self.choose_among(now, far, rng);
        match far.is_some_and(|peer| self.failed_at(now, peer).is_none()) {
            true => far,
            false => near.or(far),
        }
    }

    fn choose_among<'a>(
        &self,
        now: Instant,
        peers: impl Iterator<Item = &'a InstanceId>,
        rng: &mut impl Rng,
    ) -> Option<&'a InstanceId> {
        let is_pending = |peer: &InstanceId| self.pending.iter().any(|p| p.peer == *peer);
        let free = peers.filter(|peer| !is_pending(peer));
        free.min_by_key(|peer| (self.failed_at(now, peer), rng.random::<u32>()))
    }

    /// When the last request to a peer was sent, if it failed and that is remembered.
    fn failed_at(&self, now: Instant, peer: &InstanceId) -> Option<Instant> {
        let is_remembered = |at: &Instant| now.saturating_duration_since(*at) < FAILURE_MEMORY;
        self.failures.get(peer).copied().filter(is_remembered)
    }

    /// Records a request that is sent now.
    pub fn start(&mut self, now: Instant, peer: &InstanceId, scope: Scope) -> RequestId {
        self.last_id += 1;
        let pending = Pending { id: self.last_id, peer: peer.clone(), scope, started_at: now };
        self.pending.push(pending);
        self.last_id
    }

    /// Records the end of a request, and whether it was answered.
    pub fn finish(&mut self, now: Instant, id: RequestId, is_answered: bool) {
        let Some(at) = self.pending.iter().position(|p| p.id == id) else { return };
        let request = self.pending.swap_remove(at);
        self.failures.retain(|_, at| now.saturating_duration_since(*at) < FAILURE_MEMORY);
        match is_answered {
            true => drop(self.failures.remove(&request.peer)),
            false => drop(self.failures.insert(request.peer, request.started_at)),
        }
    }
}
