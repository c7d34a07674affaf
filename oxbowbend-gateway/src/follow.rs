//! Following the store: everything once, then its changes, and this instance's own entry. An instance
//! that copies from another one ([`crate::source`]) follows nothing and keeps only its entry.
//!
//! How long a watch is relied on is decided by [`oxbowbend_core::subscription`]; meanwhile other instances'
//! reports tell of a newer configuration and [`crate::peers`] fetches it.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use futures::future::{self, Either};
use oxbowbend_clock as clock;
use oxbowbend_core::cell::Report;
use oxbowbend_core::ids::{InstanceId, ZoneId};
use oxbowbend_core::subscription::{CancelReason, WatchFailure};
use oxbowbend_http::h1;
use rand::Rng;

use crate::entry::{Done, Step, Upkeep, TTL};
use crate::observe;
use crate::seam::{Entry, Part, Position, Snapshot, Store, StoreError, Wire};
use crate::shared::Shared;
use crate::source;
use crate::world::log_outdated;

/// How often a follower that waits for the store's return looks for it.
const AWAY_LOOK: Duration = Duration::from_millis(100);
/// First pause after a failed call, and the longest one.
const PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(1000));
/// Time after a change before the next ones are asked for, for each instance of the fleet, and the
/// longest such time. Changes come in groups, and each one that is told alone costs the users a call
/// of every instance. The operators' bounds are 2 s and more.
const GATHER: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(700));
/// How often an instance that copies looks whether it must follow the store itself.
const SOURCE_LOOK: Duration = Duration::from_millis(100);
/// How often a follower reads which instances there are.
const COUNT: Duration = Duration::from_secs(3);
/// How often it is looked whether the entry must change. What accounts use meanwhile is not known
/// to a restarted fleet; [`oxbowbend_core::quota`] counts on it.
const ENTRY_LOOK: Duration = Duration::from_millis(400);

/// Follows the store for ever: reads everything, then follows each part until one has lost track.
pub(crate) async fn run<S: Store, W: Wire>(store: S, wire: W, shared: Shared) {
    let follower = Follower { store, wire, shared };
    let mut is_settled = false;
    loop {
        follower.wait_until_needed().await;
        let Some(after) = follower.load().await else { continue };
        if !std::mem::replace(&mut is_settled, true) {
            task::sleep(follower.settle_time()).await;
        }
        let config = Box::pin(follower.follow(Part::Config, after));
        let endpoints = Box::pin(follower.follow(Part::Endpoints, after));
        // Whichever part has lost track first, or finds another source, everything is read again.
        future::select(config, endpoints).await;
    }
}

struct Follower<S, W> {
    store: S,
    wire: W,
    shared: Shared,
}

/// Pauses between failed calls, each longer than the one before.
struct Backoff {
    pause: Duration,
}

impl Backoff {
    async fn wait(&mut self, e: &StoreError) {
        if matches!(e, StoreError::Timeout(_)) {
            // The time without an answer was a pause.
            self.pause = PAUSE.0;
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        task::sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(PAUSE.1);
    }
}

impl<S: Store, W: Wire> Follower<S, W> {
    /// Waits while this instance copies from another one.
    async fn wait_until_needed(&self) {
        while !self.is_needed() {
            task::sleep(SOURCE_LOOK).await;
        }
    }

    fn is_needed(&self) -> bool {
        self.shared.lock().sources.is_store()
    }

    /// Time before the first changes are asked for.
    fn settle_time(&self) -> Duration {
        let state = self.shared.lock();
        let has_endpoints = state.world.endpoints().next().is_some();
        source::settle_time(state.world.is_loaded(), has_endpoints)
    }

    /// Reads everything, however long it takes; nothing if there is another source meanwhile.
    async fn load(&self) -> Option<Position> {
        let mut backoff = Backoff { pause: PAUSE.0 };
        while self.is_needed() {
            let began = clock::now();
            match self.store.load().await {
                Ok(snapshot) => {
                    observe::store_call("load", "ok");
                    log_listed(&snapshot, began);
                    let position = snapshot.position();
                    if self.is_outdated(position) {
                        continue;
                    }
                    take(&self.shared, &self.wire, None, snapshot, began);
                    return Some(position);
                }
                Err(e) => {
                    note_failed("load", began, &e);
                    self.lost(&e);
                    backoff.wait(&e).await;
                }
            }
        }
        None
    }

    /// Whether an answer is of an epoch that is over: it was on its way while the store came back from a copy.
    fn is_outdated(&self, position: Position) -> bool {
        let is_outdated = position.epoch < self.shared.lock().world.epoch();
        if is_outdated {
            log_outdated(position, "store");
        }
        is_outdated
    }

    /// Time after a change before the next ones are asked for.
    fn gather(&self) -> Duration {
        let state = self.shared.lock();
        let gather = (GATHER.0 * state.instances as u32).min(GATHER.1);
        if state.group.cell_count <= 1 {
            gather
        } else {
            gather.min(source::GATHER)
        }
    }

    /// Follows a part until its changes since the last one are not kept any more, the store has come back from
    /// an older copy, or there is another source.
    async fn follow(&self, part: Part, mut after: Position) {
        let mut backoff = Backoff { pause: PAUSE.0 };
        while self.is_needed() {
            let began = clock::now();
            let call = self.shared.begin_watch(began, part);
            let changes = pin!(self.store.changes(part, after.revision, call));
            // Nothing tells a watch whose answer was lost from one without a change: waiting for it alone left
            // every instance with an old configuration for 21.5 s.
            let given_up = pin!(self.shared.given_up(part));
            match future::select(changes, given_up).await {
                Either::Left((Ok(changes), _)) => {
                    log_answer(part, after, &changes, began);
                    backoff.pause = PAUSE.0;
                    if self.is_outdated(changes.position()) {
                        continue;
                    }
                    if changes.epoch > after.epoch {
                        // Its revisions are not those that this instance knows.
                        return;
                    }
                    after = changes.position();
                    let is_news = !changes.records.is_empty();
                    take(&self.shared, &self.wire, Some(part), changes, began);
                    if is_news {
                        task::sleep(self.gather()).await;
                    }
                }
                Either::Left((Err(e), _)) => {
                    note_failed(part.name(), began, &e);
                    if e == StoreError::Compacted {
                        return;
                    }
                    if self.failed(part, &e) {
                        self.wait_for_store(part, &e, &mut backoff).await;
                    }
                }
                Either::Right((why, _)) => log_given_up(part, why, began),
            }
        }
    }

    /// Notes a watch without an answer; returns whether the store is away.
    fn failed(&self, part: Part, e: &StoreError) -> bool {
        let failure = match e {
            StoreError::Timeout(_) => WatchFailure::Unanswered,
            _ => WatchFailure::Refused,
        };
        let is_away = self.shared.lock().subscriptions.get(part).record_failure(failure);
        if is_away {
            self.lost(e);
        }
        is_away
    }

    /// Pauses before the next attempt. One follower tries a store that is away; the other waits for its success.
    async fn wait_for_store(&self, part: Part, e: &StoreError, backoff: &mut Backoff) {
        backoff.wait(e).await;
        while part != Part::Config && self.shared.lock().world.is_store_away() {
            task::sleep(AWAY_LOOK).await;
        }
    }

    fn lost(&self, e: &StoreError) {
        if self.shared.lock().world.store_lost(clock::now()) {
            log::warn!("event=dependency_lost dependency=store error=\"{e}\"");
        }
    }
}

fn log_listed(snapshot: &Snapshot, began: Instant) {
    log::info!(
        "event=store_listed epoch={} revision={} records={} took_ms={}",
        snapshot.epoch,
        snapshot.revision,
        snapshot.records.len(),
        clock::since(began).as_millis()
    );
}

fn log_answer(part: Part, after: Position, changes: &Snapshot, began: Instant) {
    observe::store_call(part.name(), "ok");
    log::info!(
        "event=watch_answered part={} after={} epoch={} revision={} records={} took_ms={}",
        part.name(),
        after.revision,
        changes.epoch,
        changes.revision,
        changes.records.len(),
        clock::since(began).as_millis()
    );
}

fn log_given_up(part: Part, why: CancelReason, began: Instant) {
    let part = part.name();
    observe::store_call(part, "given_up");
    let waited_ms = clock::since(began).as_millis();
    log::info!("event=watch_given_up part={part} why={why:?} waited_ms={waited_ms}");
}

/// Counts and logs a call that the store did not answer well.
fn note_failed(call: &'static str, began: Instant, e: &StoreError) {
    observe::store_call(call, "failed");
    let took_ms = clock::since(began).as_millis();
    log::warn!("event=store_call_failed call={call} took_ms={took_ms} error=\"{e}\"");
}

/// Takes in an answer of the store: everything, or the changes of a part. `began` is when it was asked.
fn take<W: Wire>(
    shared: &Shared,
    wire: &W,
    part: Option<Part>,
    snapshot: Snapshot,
    began: Instant,
) {
    let now = clock::now();
    let read = |document: &[u8]| wire.table(document).map_err(|e| e.0);
    let mut state = shared.lock();
    match part {
        None => state.subscriptions.listed(now),
        Some(part) => state.subscriptions.get(part).record_answer(now),
    }
    if part != Some(Part::Config) {
        state.sources.answered(now);
        state.hear_versions(now, &snapshot);
        state.watched_to = Some(snapshot.position());
        match part {
            None => state.streams.record_list(began),
            Some(_) => state.streams.record_changes(began),
        }
    }
    if state.world.store_found(now) {
        log::info!("event=dependency_regained dependency=store revision={}", snapshot.revision);
    }
    let news = match part {
        None => state.world.load(now, snapshot, read),
        Some(_) => state.world.change(now, snapshot, read),
    };
    drop(state);
    shared.apply(now, &news, "store");
}

/// Keeps this instance entered in the store until it stops. It enters itself only when it knows
/// what the store holds, since its entry replaces that of its former life. At a stop the entry stays until its lease
/// ends, without what was noted in it: an instance that is soon back keeps its place in its cell. While
/// entries went with each stop, a stop of 74 instances in turn cut the fleet into six and seven cells by turns.
pub(crate) async fn stay_entered<S: Store>(
    store: S,
    (name, zone, address): (InstanceId, ZoneId, SocketAddr),
    shared: Shared,
    door: Arc<h1::Door>,
) {
    let mut upkeep = Upkeep::default();
    while !door.is_closing() {
        task::sleep(ENTRY_LOOK).await;
        // While the store is away the followers try it; more callers would only cost.
        if shared.table().is_none() || shared.lock().world.is_store_away() {
            continue;
        }
        let entry = entry(&shared, &name, &zone, address);
        let began = clock::now();
        if upkeep.is_of_before(entry.epoch) {
            log::warn!("event=entry_lost instance={name} epoch={}", entry.epoch);
            upkeep.lost();
        }
        // Streams last for seconds, and a restart of all instances loses those that are not noted.
        let is_urgent = !entry.streams.is_empty() || shared.lock().admission.quotas.is_near_limit();
        let Some(step) = upkeep.due(began, &entry, is_urgent) else { continue };
        let result = match step {
            Step::Enroll => store.enroll(&name, &entry, TTL).await.map(Done::Enrolled),
            Step::Renew(lease) => store.renew(lease.id).await.map(Done::Renewed),
            Step::Update(lease) => store.update(&name, &entry, lease.id).await.map(Done::Updated),
        };
        match result {
            Ok(done) => {
                observe::store_call(step.name(), "ok");
                if let Done::Enrolled(lease) = done {
                    log::info!("event=entered instance={name} lease={}", lease.id);
                }
                upkeep.done(began, done, entry);
            }
            Err(StoreError::Condition) => {
                observe::store_call(step.name(), "failed");
                log::warn!("event=entry_lost instance={name}");
                upkeep.lost();
            }
            Err(e) => {
                note_failed(step.name(), began, &e);
                task::sleep(PAUSE.1).await;
            }
        }
    }
    let epoch = shared.lock().world.epoch();
    if let Some((lease, entry)) = upkeep.last_word(epoch) {
        if let Err(e) = store.update(&name, &entry, lease.id).await {
            log::warn!("event=notes_not_removed instance={name} error=\"{e}\"");
        }
    }
}

/// This instance's entry. Of those that hear each other and that the store answers, the one that hears most
/// notes what later lives start from; of equals, the first by name. One cut off from a part of the fleet would
/// leave out what that part has used.
fn entry(shared: &Shared, me: &InstanceId, zone: &ZoneId, address: SocketAddr) -> Entry {
    let now = clock::now();
    let mut state = shared.lock();
    let mine = (Reverse(state.cell.reachable_count()), me);
    let is_before =
        |r: &Report| r.has_store && (Reverse(r.reachable_count.unwrap_or(0)), &r.instance) < mine;
    let (mut used, mut paces) = (Vec::new(), Vec::new());
    let mut all = state.cell.live_reports(now).chain(state.cell.remote_reports(now));
    let is_first = !all.any(is_before);
    drop(all);
    if state.has_store() && is_first {
        used = state.admission.quotas.window_usage(now);
    }
    let quarantined = state.quarantine.decisions_to_store(now, is_first);
    let epoch = state.world.epoch();
    let rollouts = if is_first { state.rollout_notes(now) } else { Vec::new() };
    let (mut streams, mut versions) = (Vec::new(), Vec::new());
    // Streams and the speed of endpoints are known to the cell only.
    if state.has_store() && !state.cell.live_reports(now).any(is_before) {
        paces = state.cell.paces_to_persist(now);
        (streams, versions) = (state.streams_to_note(now), state.versions_to_note(now));
    }
    let zone = zone.clone();
    Entry { zone, address, paces, used, epoch, quarantined, rollouts, streams, versions }
}

/// Reads now and then which instances there are. Who copies from another one is told by that.
pub(crate) async fn count_instances<S: Store>(store: S, shared: Shared) {
    loop {
        task::sleep(COUNT).await;
        let is_store = shared.lock().sources.is_store();
        if !is_store || shared.lock().world.is_store_away() {
            continue;
        }
        let began = clock::now();
        match store.instances().await {
            Ok(snapshot) => {
                observe::store_call("instances", "ok");
                let news = shared.lock().world.set_instances(snapshot);
                shared.apply(clock::now(), news.as_slice(), "store");
                shared.read_notes(clock::now());
            }
            Err(e) => note_failed("instances", began, &e),
        }
    }
}
