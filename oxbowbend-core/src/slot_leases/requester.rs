//! The search for a slot for one waiting request.
//!
//! A request asks the owner of its own zone first, then those of the other zones, each for a
//! quarter of its wait while another one is left. An ask stays open until it is denied: a grant
//! that arrives late is used, and the open asks are withdrawn when the search ends.
//!
//! If the last owner denies the request although there is time left, the owner that expects the
//! next slot is asked once more, with all the wait that is left. If no owner answers, or those that
//! do cannot grant, the request is placed without a lease: serving late is better than refusing.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{DenialReason, Ownership, RequesterAction, SlotGroup, SlotRequest, REPLY_TIMEOUT};
use crate::ids::{EndpointKey, InstanceId, ZoneId};

/// Part of the wait for which one owner is asked while another one is left.
const WAIT_PARTS: u32 = 4;
/// Times that a request is sent to an owner that does not answer. The second one covers the loss of
/// a datagram, after which an owner would be skipped for a second.
const MAX_SENDS: u32 = 2;
/// Candidates of one group that are asked for a request. If both are silent, the next requests skip
/// them, and this one still has time for other groups.
const MAX_CANDIDATES: u32 = 2;

/// The owners of all slots, as this instance believes.
pub type Ownerships = BTreeMap<SlotGroup, Ownership>;

/// The search for a slot for one waiting request.
#[derive(Clone, Debug)]
pub struct Requester {
    request: SlotRequest,
    deadline: Instant,
    groups: Vec<SlotGroup>,
    /// Position of the next group to ask.
    next_group: usize,
    /// Asks that are neither denied nor withdrawn.
    open: Vec<(InstanceId, SlotGroup)>,
    state: State,
    answers: Vec<Answer>,
    /// Whether an owner was asked once more.
    is_repeated: bool,
    /// The lease that the request was placed with.
    placed: Option<(InstanceId, SlotGroup)>,
}

#[derive(Clone, Debug)]
enum State {
    /// Waits for the answer of an owner.
    Asking(Ask),
    /// Will ask the owner of `group` again.
    Pausing {
        group: SlotGroup,
        until: Instant,
    },
    Finished,
}

#[derive(Clone, Debug)]
struct Ask {
    owner: InstanceId,
    group: SlotGroup,
    sends: u32,
    /// Candidates of the group that were asked, including this one.
    candidates: u32,
    /// Whether the owner has answered that the request waits.
    is_waiting: bool,
    /// End of the wait at this owner.
    ends_at: Instant,
    timeout_at: Instant,
}

/// What an owner expects.
#[derive(Clone, Debug)]
struct Answer {
    group: SlotGroup,
    /// Whether the owner grants slots, though none is free.
    is_full: bool,
    available_at: Instant,
}

impl Requester {
    /// Starts the search. `groups` are those of the service that have endpoints, in the order of
    /// [`group_order`].
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use oxbowbend_core::slot_leases::{
    ///     Ownership, Ownerships, Requester, RequesterAction, SlotGroup, SlotRequest,
    /// };
    ///
    /// let now = Instant::now();
    /// let group = SlotGroup { service: "s".into(), zone: "z".into() };
    /// let mut ownership = Ownership::new(now, "i".into(), group.clone());
    /// ownership.set_members(now, &[("j".into(), "z".into())].into_iter().collect());
    /// let owners = Ownerships::from([(group.clone(), ownership)]);
    ///
    /// let wait = Duration::from_millis(100);
    /// let request = SlotRequest { request: 1, rank: 0, wait, excluded: Vec::new() };
    /// let (mut requester, actions) =
    ///     Requester::start(now, request, vec![group.clone()], &owners);
    /// assert!(matches!(&actions[..], [RequesterAction::Ask { owner, .. }] if **owner == *"j"));
    /// let actions = requester.granted(now, &"j".into(), &group, 7);
    /// assert!(matches!(actions[..], [RequesterAction::Place { endpoint: 7, .. }]));
    /// assert!(requester.is_finished());
    /// ```
    pub fn start(
        now: Instant,
        request: SlotRequest,
        groups: Vec<SlotGroup>,
        owners: &Ownerships,
    ) -> (Requester, Vec<RequesterAction>) {
        let mut requester = Requester {
            deadline: now + request.wait,
            request,
            groups,
            next_group: 0,
            open: Vec::new(),
            state: State::Finished,
            answers: Vec::new(),
            is_repeated: false,
            placed: None,
        };
        let actions = requester.ask_next_group(now, owners);
        (requester, actions)
    }

    /// Handles a grant. One that arrives after the end of the search is released.
    pub fn granted(
        &mut self,
        _now: Instant,
        owner: &InstanceId,
        group: &SlotGroup,
        endpoint: EndpointKey,
    ) -> Vec<RequesterAction> {
        let key = (owner.clone(), group.clone());
        if self.placed.as_ref() == Some(&key) {
            // The answer to a repeated request.
            return Vec::new();
        }
        if self.is_finished() {
            return vec![self.release(key)];
        }
        self.open.retain(|ask| *ask != key);
        self.placed = Some(key);
        let place = RequesterAction::Place { owner: owner.clone(), group: group.clone(), endpoint };
        self.finish(Some(place))
    }

    /// Handles a denial.
    pub fn denied(
        &mut self,
        now: Instant,
        (owner, group): (&InstanceId, &SlotGroup),
        reason: DenialReason,
        available_in: Duration,
        owners: &Ownerships,
    ) -> Vec<RequesterAction> {
        let is_open = |ask: &(InstanceId, SlotGroup)| ask.0 == *owner && ask.1 == *group;
        let Some(position) = self.open.iter().position(is_open) else { return Vec::new() };
        self.open.remove(position);
        self.answers.retain(|answer| answer.group != *group);
        match reason {
            DenialReason::Full => self.record_answer(group, true, now + available_in),
            DenialReason::Recovering => self.record_answer(group, false, now + available_in),
            DenialReason::NotOwner | DenialReason::NoEndpoint => {}
        }
        match &self.state {
            State::Asking(ask) if ask.owner == *owner && ask.group == *group => {
                self.ask_next_group(now, owners)
            }
            _ => Vec::new(),
        }
    }

    /// Handles the answer that the request waits at an owner.
    pub fn waiting(
        &mut self,
        now: Instant,
        (owner, group): (&InstanceId, &SlotGroup),
        available_in: Duration,
    ) {
        let State::Asking(ask) = &mut self.state else { return };
        if ask.owner != *owner || ask.group != *group {
            return;
        }
        ask.is_waiting = true;
        // The owner denies the request itself at the end of its wait.
        ask.timeout_at = (ask.ends_at + REPLY_TIMEOUT).min(self.deadline);
        self.answers.retain(|answer| answer.group != *group);
        self.record_answer(group, true, now + available_in);
    }

    /// Handles a timeout. To be called at [`Requester::next_timer`].
    pub fn tick(&mut self, now: Instant, owners: &mut Ownerships) -> Vec<RequesterAction> {
        match self.state.clone() {
            State::Asking(ask) if now >= ask.timeout_at => self.time_out(now, ask, owners),
            State::Pausing { group, until } if now >= until => {
                let actions = self.ask(now, group, self.deadline, 1, owners);
                actions.unwrap_or_else(|| self.conclude(now, owners))
            }
            _ => Vec::new(),
        }
    }

    /// Ends the search, for example because the caller has gone.
    pub fn withdraw(&mut self) -> Vec<RequesterAction> {
        match self.is_finished() {
            true => Vec::new(),
            false => self.finish(None),
        }
    }

    /// Returns when [`Requester::tick`] has something to do; `None` once the search has ended.
    pub fn next_timer(&self) -> Option<Instant> {
        match &self.state {
            State::Asking(ask) => Some(ask.timeout_at),
            State::Pausing { until, .. } => Some(*until),
            State::Finished => None,
        }
    }

    /// Whether a final action was returned or the request was withdrawn.
    pub fn is_finished(&self) -> bool {
        matches!(self.state, State::Finished)
    }

    /// Sends the request again, or asks the next candidate of the group or the next group.
    fn time_out(
        &mut self,
        now: Instant,
        mut ask: Ask,
        owners: &mut Ownerships,
    ) -> Vec<RequesterAction> {
        let has_time = now < ask.ends_at;
        if has_time && ask.sends < MAX_SENDS && !ask.is_waiting {
            ask.sends += 1;
            ask.timeout_at = now + REPLY_TIMEOUT;
            let action = self.ask_action(now, &ask);
            self.state = State::Asking(ask);
            return vec![action];
        }
        // An owner that lets the request wait has until then to deny it.
        if !ask.is_waiting || now >= ask.ends_at + REPLY_TIMEOUT {
            if let Some(ownership) = owners.get_mut(&ask.group) {
                ownership.record_silent(now, &ask.owner);
            }
        }
        let next = match has_time && ask.candidates < MAX_CANDIDATES {
            true => self.ask(now, ask.group, ask.ends_at, ask.candidates + 1, owners),
            false => None,
        };
        next.unwrap_or_else(|| self.ask_next_group(now, owners))
    }

    fn ask_next_group(&mut self, now: Instant, owners: &Ownerships) -> Vec<RequesterAction> {
        while let Some(group) = self.groups.get(self.next_group).cloned() {
            self.next_group += 1;
            let has_owner = |group| first_live(now, group, owners).is_some();
            let is_last = !self.groups[self.next_group..].iter().any(has_owner);
            let quarter = now + self.request.wait / WAIT_PARTS;
            let ends_at = if is_last { self.deadline } else { quarter.min(self.deadline) };
            if let Some(actions) = self.ask(now, group, ends_at, 1, owners) {
                return actions;
            }
        }
        self.conclude(now, owners)
    }

    /// Asks the first live candidate of a group, if there is one.
    fn ask(
        &mut self,
        now: Instant,
        group: SlotGroup,
        ends_at: Instant,
        candidates: u32,
        owners: &Ownerships,
    ) -> Option<Vec<RequesterAction>> {
        let owner = first_live(now, &group, owners)?.clone();
        let key = (owner.clone(), group.clone());
        if !self.open.contains(&key) {
            self.open.push(key);
        }
        let timeout_at = now + REPLY_TIMEOUT;
        let ask =
            Ask { owner, group, sends: 1, candidates, is_waiting: false, ends_at, timeout_at };
        let action = self.ask_action(now, &ask);
        self.state = State::Asking(ask);
        Some(vec![action])
    }

    fn ask_action(&self, now: Instant, ask: &Ask) -> RequesterAction {
        let wait = ask.ends_at.saturating_duration_since(now);
        let request = SlotRequest { wait, ..self.request.clone() };
        RequesterAction::Ask { owner: ask.owner.clone(), group: ask.group.clone(), request }
    }

    /// Decides when all owners were asked.
    fn conclude(&mut self, now: Instant, owners: &Ownerships) -> Vec<RequesterAction> {
        let best = self.answers.iter().min_by_key(|answer| answer.available_at).cloned();
        let Some(best) = best.filter(|_| self.answers.iter().any(|answer| answer.is_full)) else {
            return self.finish(Some(RequesterAction::PlaceUnleased));
        };
        let is_in_time = now < self.deadline && best.available_at < self.deadline;
        if is_in_time && !std::mem::replace(&mut self.is_repeated, true) {
            if !best.is_full && now < best.available_at {
                self.state = State::Pausing { group: best.group, until: best.available_at };
                return Vec::new();
            }
            if let Some(actions) = self.ask(now, best.group, self.deadline, 1, owners) {
                return actions;
            }
        }
        let available_in = best.available_at.saturating_duration_since(now);
        self.finish(Some(RequesterAction::GiveUp { available_in }))
    }

    /// Ends the search and withdraws the open asks.
    fn finish(&mut self, last: Option<RequesterAction>) -> Vec<RequesterAction> {
        self.state = State::Finished;
        let open = std::mem::take(&mut self.open);
        let releases = open.into_iter().map(|ask| self.release(ask));
        last.into_iter().chain(releases).collect()
    }

    fn release(&self, (owner, group): (InstanceId, SlotGroup)) -> RequesterAction {
        RequesterAction::Release { owner, group, request: self.request.request }
    }

    fn record_answer(&mut self, group: &SlotGroup, is_full: bool, available_at: Instant) {
        self.answers.push(Answer { group: group.clone(), is_full, available_at });
    }
}

fn first_live<'a>(
    now: Instant,
    group: &SlotGroup,
    owners: &'a Ownerships,
) -> Option<&'a InstanceId> {
    owners.get(group)?.first_live(now)
}

/// Returns the groups of a service in the order in which a request asks their owners: that of its
/// own zone first, then the others by a hash of zone and request.
///
/// ```
/// use oxbowbend_core::slot_leases::{group_order, SlotGroup};
///
/// let group = |zone: &str| SlotGroup { service: "s".into(), zone: zone.into() };
/// let groups = group_order(&"b".into(), 1, ["a", "b", "c"].map(group));
/// assert_eq!(groups[0], group("b"));
/// ```
pub fn group_order(
    own_zone: &ZoneId,
    request: u64,
    groups: impl IntoIterator<Item = SlotGroup>,
) -> Vec<SlotGroup> {
    let mut groups: Vec<SlotGroup> = groups.into_iter().collect();
    groups.sort_by_cached_key(|group| {
        (group.zone != *own_zone, xxh3_64_with_seed(group.zone.as_bytes(), request))
    });
    groups
}
