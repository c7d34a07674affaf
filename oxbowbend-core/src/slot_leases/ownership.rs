//! The instance that owns the slots of a service in a zone.
//!
//! All instances order the members of the fleet alike, and the first live one is the owner. An
//! instance becomes the owner only if
//!
//! - it has heard from another instance within [`SILENCE_TIMEOUT`], so it was neither paused nor
//!   cut off,
//! - it has been asked for slots, and the candidates before it have not answered probes for
//!   [`SILENCE_TIMEOUT`], and
//! - no other instance says that it is the owner. While a new member is not known everywhere, the
//!   former owner continues.
//!
//! It steps down with the first message from a candidate before it.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::{SlotGroup, LEASE, SILENCE_TIMEOUT, SKIP_TIME};
use crate::ids::{InstanceId, ZoneId};

/// Time between two probes. Three must be lost before a candidate counts as silent.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Candidates before this instance that are probed at a time. Limits the bytes sent while many
/// dead instances are still members.
const MAX_PROBES: usize = 8;
/// Time for which the claim of another candidate is respected: that within which all instances
/// learn a new list of members. Without a limit, an instance that never learns it could keep the
/// slots from all others.
const MAX_DEFERRAL: Duration = Duration::from_secs(3);

/// The owner of the slots of a service in a zone, as this instance believes.
#[derive(Clone, Debug)]
pub struct Ownership {
    local_id: InstanceId,
    group: SlotGroup,
    candidates: Vec<InstanceId>,
    positions: HashMap<InstanceId, usize>,
    /// Candidates that did not answer, until when they are skipped.
    skipped: HashMap<InstanceId, Instant>,
    /// When it became the owner, if it is.
    owner_since: Option<Instant>,
    /// Role that the last [`Ownership::tick`] returned.
    reported_owner: bool,
    /// Last call that shows that this instance is not paused.
    active_at: Instant,
    /// Last message of any instance.
    heard_at: Option<Instant>,
    /// Last message of a candidate before this instance.
    predecessor_heard_at: Option<Instant>,
    asked_at: Option<Instant>,
    /// Start of the probes that are still sent.
    probing_since: Option<Instant>,
    probed_at: Option<Instant>,
    /// Position of the next candidate to probe.
    next_probe: usize,
    /// Other instances that say that they are the owner, and when they last did.
    claims: HashMap<InstanceId, Instant>,
    /// Since when only claims keep this instance from becoming the owner.
    deferring_since: Option<Instant>,
}

/// A change of this instance's role.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnershipChange {
    /// This instance has become the owner and needs a new [`super::Owner`].
    Acquired,
    /// Another instance may be the owner. The [`super::Owner`] must be dropped with
    /// [`super::Owner::close`].
    Lost,
}

impl Ownership {
    /// Creates the state of an instance that knows no members yet and thus owns nothing.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use oxbowbend_core::slot_leases::{Ownership, OwnershipChange, SlotGroup};
    ///
    /// let start = Instant::now();
    /// let group = SlotGroup { service: "s".into(), zone: "z".into() };
    /// let mut ownership = Ownership::new(start, "i".into(), group);
    /// // A candidate of another zone comes after those of the zone.
    /// let members = [("i".into(), "z".into()), ("j".into(), "y".into())];
    /// ownership.set_members(start, &members.into_iter().collect());
    ///
    /// assert_eq!(ownership.tick(start), None, "has heard from nobody");
    /// ownership.record_heard(start, &"j".into());
    /// assert_eq!(ownership.tick(start), Some(OwnershipChange::Acquired));
    /// let later = start + Duration::from_millis(301);
    /// assert_eq!(ownership.tick(later), Some(OwnershipChange::Lost), "was paused");
    /// ```
    pub fn new(now: Instant, local_id: InstanceId, group: SlotGroup) -> Ownership {
        Ownership {
            local_id,
            group,
            candidates: Vec::new(),
            positions: HashMap::new(),
            skipped: HashMap::new(),
            owner_since: None,
            reported_owner: false,
            active_at: now,
            heard_at: None,
            predecessor_heard_at: None,
            asked_at: None,
            probing_since: None,
            probed_at: None,
            next_probe: 0,
            claims: HashMap::new(),
            deferring_since: None,
        }
    }

    /// The slots that this is about.
    pub fn group(&self) -> &SlotGroup {
        &self.group
    }

    /// Sets the members of the fleet with their zones, including this instance.
    pub fn set_members(&mut self, now: Instant, members: &BTreeMap<InstanceId, ZoneId>) {
        self.record_active(now);
        let order = |(name, zone): &(&InstanceId, &ZoneId)| {
            (**zone != self.group.zone, candidate_hash(&self.group, name))
        };
        let mut ordered: Vec<_> = members.iter().collect();
        ordered.sort_by_cached_key(order);
        let candidates: Vec<_> = ordered.into_iter().map(|(name, _)| name.clone()).collect();
        if candidates == self.candidates {
            return;
        }
        self.positions = candidates.iter().cloned().zip(0..).collect();
        self.candidates = candidates;
        self.skipped.retain(|name, _| self.positions.contains_key(name));
        if self.own_position().is_none() {
            self.owner_since = None;
        }
        // The candidates before this instance may be other ones.
        if self.owner_since.is_none() {
            self.probing_since = None;
        }
    }

    /// Returns the candidates in the order in which they become the owner.
    pub fn candidates(&self) -> &[InstanceId] {
        &self.candidates
    }

    /// Records a message from an instance: any datagram, also one that is not about slots. To be
    /// called before the message is handled, since this instance may no longer be the owner after.
    pub fn record_heard(&mut self, now: Instant, instance: &InstanceId) {
        if *instance == self.local_id {
            return;
        }
        self.record_active(now);
        self.heard_at = Some(now);
        self.skipped.remove(instance);
        if self.is_predecessor(instance) {
            self.predecessor_heard_at = Some(now);
            self.owner_since = None;
        }
    }

    /// Records what another instance says about itself in a probe or in the answer to one.
    pub fn record_claim(&mut self, now: Instant, instance: &InstanceId, is_owner: bool) {
        self.record_heard(now, instance);
        if is_owner && *instance != self.local_id {
            self.claims.insert(instance.clone(), now);
        } else {
            self.claims.remove(instance);
        }
    }

    /// Records that an owner did not answer in time. It is skipped for [`super::SKIP_TIME`].
    pub fn record_silent(&mut self, now: Instant, instance: &InstanceId) {
        if *instance != self.local_id && self.positions.contains_key(instance) {
            self.skipped.insert(instance.clone(), now + SKIP_TIME);
        }
    }

    /// Records that this instance was asked for slots or got renewals. If candidates before it may
    /// be alive, they are probed from now on.
    pub fn record_asked(&mut self, now: Instant) {
        self.record_active(now);
        self.asked_at = Some(now);
        self.probing_since.get_or_insert(now);
    }

    /// Updates the role of this instance. To be called at least every 50 ms: a gap of more than
    /// [`super::SILENCE_TIMEOUT`] between calls is taken for a pause of the process.
    pub fn tick(&mut self, now: Instant) -> Option<OwnershipChange> {
        self.record_active(now);
        self.skipped.retain(|_, until| now < *until);
        self.claims.retain(|_, at| is_within(now, *at, SILENCE_TIMEOUT));
        let is_wanted = self.asked_at.is_some_and(|at| is_within(now, at, SKIP_TIME));
        if self.owner_since.is_none() && !is_wanted {
            self.probing_since = None;
        }
        let was_owner = self.reported_owner;
        self.owner_since = match self.owner_since {
            Some(since) => self.may_stay_owner(now, since).then_some(since),
            // A loss is returned first, so that a later gain starts with a new state.
            None => (!was_owner && self.may_become_owner(now)).then_some(now),
        };
        self.reported_owner = self.owner_since.is_some();
        match (was_owner, self.reported_owner) {
            (false, true) => Some(OwnershipChange::Acquired),
            (true, false) => Some(OwnershipChange::Lost),
            _ => None,
        }
    }

    /// Whether this instance remains the owner. Until it grants slots, it gives way to another
    /// owner, which its first probes may have found.
    fn may_stay_owner(&self, now: Instant, since: Instant) -> bool {
        self.is_connected(now) && !(is_within(now, since, LEASE) && self.is_deferring(now))
    }

    fn may_become_owner(&mut self, now: Instant) -> bool {
        let is_first = self.own_position() == Some(0);
        if !(is_first || self.are_predecessors_silent(now)) || !self.is_connected(now) {
            self.deferring_since = None;
            return false;
        }
        self.deferring_since.get_or_insert(now);
        !self.is_deferring(now)
    }

    /// Whether another instance says that it is the owner, and may not know this one yet.
    fn is_deferring(&self, now: Instant) -> bool {
        let has_time = |since| is_within(now, since, MAX_DEFERRAL);
        !self.claims.is_empty() && self.deferring_since.is_some_and(has_time)
    }

    /// Whether all candidates before this instance were probed for long enough without an answer.
    fn are_predecessors_silent(&self, now: Instant) -> bool {
        let (Some(since), Some(position)) = (self.probing_since, self.own_position()) else {
            return false;
        };
        let since = self.predecessor_heard_at.map_or(since, |heard_at| heard_at.max(since));
        let rounds = position.div_ceil(MAX_PROBES) as u32;
        !is_within(now, since, SILENCE_TIMEOUT.max(PROBE_INTERVAL * rounds))
    }

    /// Returns the candidates to which a probe is due now: those before this instance, if it is
    /// asked for slots or is the owner, and the one after it, if it is or may become the owner.
    pub fn take_due_probes(&mut self, now: Instant) -> Vec<InstanceId> {
        let Some(position) = self.own_position() else { return Vec::new() };
        let is_due = self.probed_at.is_none_or(|at| !is_within(now, at, PROBE_INTERVAL));
        let is_probing = self.owner_since.is_some() || self.probing_since.is_some();
        if !is_due || !(is_probing || position == 0) {
            return Vec::new();
        }
        self.probed_at = Some(now);
        let count = position.min(MAX_PROBES);
        let first = self.next_probe;
        self.next_probe = first + count;
        let predecessors = (first..first + count).map(|index| &self.candidates[index % position]);
        predecessors.chain(self.candidates.get(position + 1)).cloned().collect()
    }

    /// Whether this instance is the owner, as of the last call with a time.
    pub fn is_owner(&self) -> bool {
        self.owner_since.is_some() && self.reported_owner
    }

    /// Whether an instance is skipped because it did not answer.
    pub fn is_skipped(&self, now: Instant, instance: &InstanceId) -> bool {
        self.skipped.get(instance).is_some_and(|until| now < *until)
    }

    /// Returns the first candidate that is not skipped.
    pub fn first_live(&self, now: Instant) -> Option<&InstanceId> {
        self.candidates.iter().find(|name| !self.is_skipped(now, name))
    }

    /// Ends the ownership if this instance was paused: another one may have become the owner.
    fn record_active(&mut self, now: Instant) {
        if !is_within(now, self.active_at, SILENCE_TIMEOUT) {
            self.owner_since = None;
            self.heard_at = None;
            self.probing_since = None;
            self.deferring_since = None;
        }
        self.active_at = self.active_at.max(now);
    }

    /// Whether another instance was heard lately. A single member has nobody to hear.
    fn is_connected(&self, now: Instant) -> bool {
        self.candidates.len() == 1
            || self.heard_at.is_some_and(|at| is_within(now, at, SILENCE_TIMEOUT))
    }

    fn own_position(&self) -> Option<usize> {
        self.positions.get(&self.local_id).copied()
    }

    fn is_predecessor(&self, instance: &InstanceId) -> bool {
        let position = self.positions.get(instance);
        position.is_some_and(|position| self.own_position().is_some_and(|own| *position < own))
    }
}

/// Whether less than `limit` or exactly that has passed since `at`.
fn is_within(now: Instant, at: Instant, limit: Duration) -> bool {
    now.saturating_duration_since(at) <= limit
}

/// Place of a candidate in the order of a group.
fn candidate_hash(group: &SlotGroup, name: &InstanceId) -> u64 {
    xxh3_64(format!("{}\0{}\0{name}", group.service, group.zone).as_bytes())
}
