//! State that the parts of a gateway share, behind one lock that is never held across a wait.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_std::{channel, task};
use futures::channel::oneshot;
use oxbowbend_clock as clock;
use oxbowbend_core::admission::AdmissionController;
use oxbowbend_core::ages::AgeEstimator;
use oxbowbend_core::cell::{
    Assignment, Cell, CellLayout, Outcome, QueuedRequest, Reachability, RemoteInstances, Report,
    Ticket, REPORT_DELAY,
};

use oxbowbend_core::config_lag::ConfigLag;
use oxbowbend_core::continuity::Continuity;
use oxbowbend_core::fair_share::FairShares;
use oxbowbend_core::handover::Handovers;
use oxbowbend_core::ids::{AccountId, EndpointId, EndpointKey, InstanceId, ServiceId, ZoneId};
use oxbowbend_core::isolation::IsolationDetector;
use oxbowbend_core::overflow::Overflow;
use oxbowbend_core::quarantine::Quarantine;
use oxbowbend_core::quota::SnapshotAge;
use oxbowbend_core::retries::RetryLimiter;
use oxbowbend_core::rollout::Rollouts;
use oxbowbend_core::routes::{Endpoint, RoutingTable};
use oxbowbend_core::shutdown::Shutdown;
use oxbowbend_core::subscription::CancelReason;

use crate::confirm::Confirmations;
use crate::features::Features;
use crate::quarantine::log_changes;
use crate::seam::Position;
use crate::source::Sources;
use crate::streams::Streams;
use crate::waiting::Waiting;
use crate::watches::Subscriptions;
use crate::world::{News, World};

/// Time after its start in which an instance starts from what others tell of accounts. They begin with its first report.
const NEW: Duration = Duration::from_millis(1000);

/// What the lock guards.
pub(crate) struct State {
    pub(crate) world: World,
    pub(crate) cell: Cell,
    pub(crate) admission: AdmissionController,
    /// Whether this process has run all the time.
    pub(crate) continuity: Continuity,
    pub(crate) repeats: RetryLimiter,
    pub(crate) fair_shares: FairShares,
    pub(crate) ages: AgeEstimator,
    pub(crate) quarantine: Quarantine,
    /// Whether this instance reaches endpoints, by service.
    pub(crate) paths: HashMap<ServiceId, IsolationDetector>,
    /// Whether this instance's link or processor is at its limit.
    pub(crate) is_at_limit: bool,
    /// Requests that peers serve for it.
    pub(crate) handovers: Handovers,
    /// Free slots of other cells.
    pub(crate) overflow: Overflow,
    pub(crate) rollouts: Rollouts,
    /// Versions of endpoints that began streams.
    pub(crate) streams: Streams,
    /// The stop that is in progress.
    pub(crate) shutdown: Option<Shutdown>,
    pub(crate) waiters: HashMap<Ticket, oneshot::Sender<Assignment>>,
    /// This instance's cell.
    pub(crate) group: CellLayout,
    /// Incremented when the instances or endpoints of the fleet change.
    pub(crate) layout_version: u64,
    /// From whom this instance learns what the store holds.
    pub(crate) sources: Sources,
    /// How sure this instance is of what it knows of the store, while it follows it.
    pub(crate) subscriptions: Subscriptions,
    /// Up to where the store has told this instance the changes of endpoints, while it follows it.
    pub(crate) watched_to: Option<Position>,
    pub(crate) config_lag: ConfigLag,
    cell_size: usize,
    features: Features,
    /// Instances and endpoints from which the cell was worked out.
    members: BTreeMap<InstanceId, ZoneId>,
    endpoints: Vec<Endpoint>,
    pub(crate) me: InstanceId,
    pub(crate) zone: ZoneId,
    /// Whether the quotas have started from what was noted before.
    is_restored: bool,
    /// When requests could first be served.
    loaded_at: Option<Instant>,
    /// Addresses of endpoints that have started again, to which connections are of no use any more.
    pub(crate) restarted: Vec<SocketAddr>,
    /// Number of instances that the fleet has, as far as is known.
    pub(crate) instances: usize,
}

impl State {
    /// Works out this instance's cell from what is known of the fleet.
    pub(crate) fn regroup(&mut self, now: Instant) {
        let mut members: BTreeMap<_, _> = BTreeMap::from([(self.me.clone(), self.zone.clone())]);
        let entered = self.world.instances().iter();
        members.extend(entered.map(|(name, e)| (name.clone(), e.zone.clone())));
        let heard = self.cell.live_reports(now).chain(self.cell.remote_reports(now));
        members.extend(heard.map(|r| (r.instance.clone(), r.zone.clone())));
        self.note_versions(now);
        let endpoints = self.endpoints_by_version(now);
        if members == self.members && endpoints == self.endpoints {
            return;
        }
        let group = CellLayout::compute(&self.me, &members, &endpoints, self.cell_size);
        if group.peers != self.group.peers || group.cell_count != self.group.cell_count {
            log::info!(
                "event=cell cells={} peers={} endpoints={} instances={}",
                group.cell_count,
                group.peers.len(),
                group.endpoints.len(),
                members.len()
            );
            self.cell.set_peers(|name| group.cell_count <= 1 || group.peers.contains(name));
            self.cell.record_layout_change(now);
        }
        let features = self.features_of(group.cell_count);
        self.cell.set_rank_floor(features.rank_floor);
        self.cell.set_forecasts(features.expected_wait);
        let all = || members.keys();
        let near = || all().filter(|name| **name == self.me || group.peers.contains(*name));
        self.cell.set_sharing_instances(near(), all(), group.shared_services.clone());
        self.cell.set_listed_endpoints(endpoints.iter().map(Endpoint::key));
        if group.endpoints != self.group.endpoints {
            self.cell.set_endpoints(group.endpoints.iter().cloned());
            self.restore_paces(now);
            let is_of_other_cell =
                |e: &&Endpoint| self.group.other_endpoints.contains_key(&e.key());
            let taken_over = group.endpoints.iter().filter(is_of_other_cell).map(Endpoint::key);
            self.cell.record_taken_over(now, &taken_over.collect());
        }
        self.instances = members.len();
        self.layout_version += 1;
        (self.members, self.endpoints, self.group) = (members, endpoints, group);
    }

    /// Decisions under overload that apply now.
    pub(crate) fn features(&self) -> Features {
        self.features_of(self.group.cell_count)
    }

    fn features_of(&self, cell_count: usize) -> Features {
        match cell_count {
            0 | 1 => Features::default(),
            _ => self.features,
        }
    }

    /// The endpoints of all cells, by the services under which they are sent requests.
    pub(crate) fn listed_endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// Id of an endpoint of this cell.
    pub(crate) fn endpoint_id(&self, key: EndpointKey) -> Option<EndpointId> {
        self.group.endpoints.iter().find(|e| e.key() == key).map(|e| e.id.clone())
    }

    /// Digest of the fleet's instances as this one knows them.
    pub(crate) fn roster(&self) -> u64 {
        self.world.roster((&self.me, &self.zone))
    }

    /// Chooses the source anew. A fleet of one cell does without: it has too few calls to save.
    pub(crate) fn choose_source(&mut self, now: Instant) {
        let State { cell, group, sources, me, world, .. } = self;
        let is_peer = |r: &Report| group.cell_count > 1 && group.peers.contains(&r.instance);
        let reports = cell.live_reports_with_age(now).filter(|(r, _)| is_peer(r));
        if !sources.choose(now, me, world.is_store_away(), reports) {
            return;
        }
        log::info!("event=source source={}", sources.get());
        if !sources.is_store() && self.world.store_found(now) {
            log::info!("event=dependency_regained dependency=store source={}", self.sources.get());
        }
    }

    /// Works out which parts of the fleet and of the cell are heard: quotas belong to the fleet, endpoints to
    /// the cell.
    pub(crate) fn set_shares(&mut self, now: Instant) {
        let peers = &self.group.peers;
        let Reachability { reachable: near, covered } =
            self.cell.update_reachability(now, |i| peers.contains(i));
        // In a fleet of several cells sums come from representatives, whoever hears whom in a cell; and while
        // instances do not agree on who belongs to it, each hears somebody whom another does not.
        let covered = if self.group.cell_count > 1 { near } else { covered };
        let share = self.visible_fleet_share(now);
        self.admission.set_reachable_share(share * part(covered, near));
        self.cell.set_visible_share(part(near, self.group.peers.len()));
    }

    /// Fraction of the fleet that is heard, including this instance.
    pub(crate) fn visible_fleet_share(&self, now: Instant) -> f64 {
        part(self.heard(now), self.instances.saturating_sub(1))
    }

    /// Other instances of the fleet that are heard.
    pub(crate) fn heard(&self, now: Instant) -> usize {
        self.cell.live_peer_count(now) + self.beyond(now).reachable as usize
    }

    /// Instances of other cells that are heard.
    pub(crate) fn beyond(&self, now: Instant) -> RemoteInstances {
        match self.group.cell_count {
            0 | 1 => RemoteInstances::default(),
            _ if self.is_representative(now) => {
                let all =
                    [self.cell.remote_instances(now), self.cell.reported_remote_instances(now)];
                all.into_iter().max_by_key(|beyond| beyond.reachable).unwrap_or_default()
            }
            _ => self.cell.reported_remote_instances(now),
        }
    }

    /// Whether this instance follows the store, and the store answers it.
    pub(crate) fn has_store(&self) -> bool {
        self.sources.is_store() && !self.world.is_store_away()
    }

    /// Whether at least half of the other instances take on requests.
    pub(crate) fn are_others_ready(&self, now: Instant) -> bool {
        let ready = self.near_ready(now) + self.beyond(now).ready as usize;
        ready > 0 && ready * 2 + 1 >= self.instances
    }

    /// Other instances of the cell that take on requests.
    pub(crate) fn near_ready(&self, now: Instant) -> usize {
        self.cell.live_reports(now).filter(|r| r.is_ready).count()
    }

    /// Whether this instance represents its cell among the others: it is the first by name of those that
    /// are heard and do not stop. One that stops leaves that to the next one while both are heard, so that
    /// nothing is missed.
    pub(crate) fn is_representative(&self, now: Instant) -> bool {
        let is_peer = |r: &&Report| self.group.peers.contains(&r.instance);
        let is_stopping = self.shutdown.is_some();
        let goes_before = |r: &Report| (r.is_stopping, &r.instance) < (is_stopping, &self.me);
        self.group.cell_count > 1 && !self.cell.live_reports(now).filter(is_peer).any(goes_before)
    }
}

impl State {
    /// Whether this instance has just started, and does not know yet what accounts have used.
    fn is_new(&self, now: Instant) -> bool {
        self.loaded_at.is_some() && self.is_younger_than(now, NEW)
    }

    /// Whether requests could first be served less than `time` ago.
    pub(crate) fn is_younger_than(&self, now: Instant, time: Duration) -> bool {
        self.loaded_at.is_none_or(|at| now.saturating_duration_since(at) < time)
    }

    /// Notes what others have admitted.
    fn draw(&mut self, now: Instant, spent: Vec<(AccountId, u64)>, is_near: bool) {
        for (account, units) in spent.into_iter().filter(|(_, units)| *units > 0) {
            self.admission.record_remote(now, &account, units as f64, is_near);
        }
    }

    /// Takes the paces that were noted before of endpoints that are new to this cell.
    fn restore_paces(&mut self, now: Instant) {
        let State { world, cell, .. } = self;
        let before = cell.known_paces(now).len();
        let noted = world.instances().values().flat_map(|e| &e.paces);
        noted.for_each(|(endpoint, ns)| cell.restore_pace(*endpoint, *ns));
        let (known, of) = (cell.known_paces(now).len(), cell.endpoint_count());
        if known > before {
            log::info!("event=paces_restored known={known} before={before} of={of}");
        }
    }
}

/// Part that is heard of so many others, this instance included on both sides.
fn part(heard: usize, others: usize) -> f64 {
    (heard + 1) as f64 / (others + 1) as f64
}

/// The shared state with its signals; clones share it.
#[derive(Clone)]
pub(crate) struct Shared {
    state: Arc<Mutex<State>>,
    changed: channel::Sender<()>,
    pub(crate) confirmations: Confirmations,
    /// Closed once requests can be served.
    loaded: (channel::Sender<()>, channel::Receiver<()>),
    /// Path that endpoints answer at once, whatever the answer.
    pub(crate) probe_path: &'static str,
    /// Closed at the response deadline of a shutdown.
    response_deadline: (channel::Sender<()>, channel::Receiver<()>),
    /// Tells that the watch of a part is given up, by part.
    pub(crate) given_up: [(channel::Sender<CancelReason>, channel::Receiver<CancelReason>); 2],
}

impl Shared {
    /// Wraps the parts. The receiver tells that something should be reported to other instances.
    pub(crate) fn new(
        (me, zone): (InstanceId, ZoneId),
        (cell, cell_size, features): (Cell, usize, Features),
        sources: Sources,
        admission: AdmissionController,
        repeats: RetryLimiter,
        rollouts: Rollouts,
        probe_path: &'static str,
    ) -> (Shared, channel::Receiver<()>) {
        let (changed, rx) = channel::bounded(1);
        let streams = Streams::new();
        let state = State {
            streams,
            world: World::default(),
            cell,
            admission,
            continuity: Continuity::new(clock::now()),
            repeats,
            fair_shares: FairShares::default(),
            ages: AgeEstimator::default(),
            quarantine: Quarantine::new(&me),
            paths: HashMap::new(),
            is_at_limit: false,
            handovers: Handovers::default(),
            overflow: Overflow::default(),
            rollouts,
            shutdown: None,
            waiters: HashMap::new(),
            group: CellLayout::default(),
            layout_version: 0,
            sources,
            subscriptions: Subscriptions::default(),
            watched_to: None,
            config_lag: ConfigLag::default(),
            cell_size,
            features,
            members: BTreeMap::new(),
            endpoints: Vec::new(),
            me,
            zone,
            is_restored: false,
            loaded_at: None,
            restarted: Vec::new(),
            instances: 1,
        };
        let state = Arc::new(Mutex::new(state));
        let given_up = [channel::bounded(1), channel::bounded(1)];
        let confirmations = Confirmations::default();
        let (loaded, response_deadline) = (channel::bounded(1), channel::bounded(1));
        let shared = Shared {
            state,
            changed,
            confirmations,
            loaded,
            probe_path,
            response_deadline,
            given_up,
        };
        (shared, rx)
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under lock")
    }

    /// Asks for a report to the others.
    pub(crate) fn tell_others(&self) {
        // A full channel means that a report is asked for already.
        let _ = self.changed.try_send(());
    }

    /// The configuration in force, if requests can be served.
    pub(crate) fn table(&self) -> Option<Arc<RoutingTable>> {
        let state = self.lock();
        state.world.table().filter(|_| state.world.is_loaded()).cloned()
    }

    /// Waits until requests can be served.
    pub(crate) async fn loaded(&self) {
        // Nothing is ever sent; the channel is closed instead.
        let _ = self.loaded.1.recv().await;
    }

    /// Waits until requests without a response have to be answered because this instance exits.
    pub(crate) async fn response_deadline(&self) {
        let _ = self.response_deadline.1.recv().await;
    }

    /// Ends that wait for all requests.
    pub(crate) fn pass_response_deadline(&self) {
        self.response_deadline.1.close();
    }

    /// Carries out news of the world: the log tells them, quotas and endpoints follow.
    pub(crate) fn apply(&self, now: Instant, news: &[News], source: &'static str) {
        let mut state = self.lock();
        let is_first_list = !state.is_restored;
        state.note_starts(now, news, is_first_list);
        let State {
            world, admission, ages, is_restored, loaded_at, quarantine, cell, streams, ..
        } = &mut *state;
        let revision = world.revision();
        for item in news {
            item.log(revision, source);
        }
        if news.iter().any(|n| matches!(n, News::Config(_))) {
            if let Some(table) = world.table() {
                let limited = table.accounts().filter_map(|a| Some((&a.name, a.quota?)));
                admission.configure(limited);
                streams.configure(now, table);
                ages.clear();
            }
        }
        let is_start = !*is_restored && world.is_loaded();
        if is_start {
            *is_restored = true;
            *loaded_at = Some(now);
            let noted = world.instances().values().flat_map(|e| &e.quarantined).cloned();
            quarantine.apply_decisions(now, &noted.collect::<Vec<_>>());
            self.loaded.1.close();
            for entry in world.instances().values() {
                let note =
                    if entry.epoch < world.epoch() { SnapshotAge::Old } else { SnapshotAge::Fresh };
                for (account, window) in &entry.used {
                    log::info!(
                        "event=window_restored account={account} note={note:?} units={window:?}"
                    );
                    admission.quotas.restore(now, account, window, note);
                }
            }
        }
        for item in news {
            match item {
                News::Restarted(Endpoint { id, .. }) | News::EndpointGone(id) => {
                    quarantine.endpoint_entry_changed(now, id);
                }
                News::Endpoint(endpoint) if endpoint.leaving => {
                    cell.mark_draining(now, endpoint.key());
                }
                _ => {}
            }
        }
        log_changes(quarantine);
        state.log_said();
        let restarted = news.iter().filter_map(|item| match item {
            News::Restarted(endpoint) => Some(endpoint.address),
            _ => None,
        });
        state.restarted.extend(restarted);
        state.take_rollouts(now, news);
        if news.iter().any(News::is_of_endpoints) {
            state.regroup(now);
            if is_start {
                state.set_shares(now);
                state.restore_rollouts(now);
                state.restore_streams(now);
            }
        }
        drop(state);
        if !news.is_empty() {
            self.tell_others();
            self.place();
        }
    }

    /// Takes in another instance's report.
    pub(crate) fn hear(&self, now: Instant, mut report: Report) {
        let mut state = self.lock();
        state.hear_of_ends(now, &report.quarantine);
        let is_near = state.group.cell_count <= 1 || state.group.peers.contains(&report.instance);
        let windows = std::mem::take(&mut report.usage_windows);
        state.hear_of_rollouts(now, &report, is_near);
        state.hear_of_streams(now, &report);
        state.overflow.receive(now, &report, is_near);
        let Some(heard) = state.cell.receive_report(now, report, is_near) else { return };
        state.log_said();
        if is_near && state.is_new(now) {
            for (account, window) in &windows {
                state.admission.quotas.restore_from_peer(now, account, window);
            }
        }
        state.draw(now, heard.admitted_units.own_cell, true);
        state.draw(now, heard.admitted_units.other_cells, false);
        for (key, n) in heard.evidence.own_cell {
            state.rollouts.add_peer_responses(now, key, n, true);
        }
        for (key, n) in heard.evidence.other_cells {
            state.rollouts.add_peer_responses(now, key, n, false);
        }
        // Without a request that waits, no report gives anybody a place.
        let has_work = state.cell.waiting_count() > 0;
        drop(state);
        if has_work {
            self.place();
        }
    }

    /// Brings in a request; the ticket gets its place.
    pub(crate) fn arrive(&self, want: QueuedRequest) -> Waiting {
        let (tx, rx) = oneshot::channel();
        let mut state = self.lock();
        let ticket = state.cell.enqueue(want);
        state.waiters.insert(ticket, tx);
        drop(state);
        let waiting = Waiting::new(self.clone(), ticket, rx);
        self.place();
        if self.lock().waiters.contains_key(&ticket) {
            self.tell_others();
            let shared = self.clone();
            task::spawn(async move {
                task::sleep(REPORT_DELAY).await;
                shared.place();
            });
        }
        waiting
    }

    /// Gives free places to what waits.
    pub(crate) fn place(&self) {
        let now = clock::now();
        let mut state = self.lock();
        let assignments = state.cell.assign(now);
        state.log_floor(now);
        for aside in state.cell.take_ejections() {
            let pause = aside.duration.as_millis();
            log::warn!("event=endpoint_set_aside endpoint={} pause_ms={pause}", aside.endpoint);
        }
        let placed = !assignments.is_empty();
        for assignment in assignments {
            if let Some(tx) = state.waiters.remove(&assignment.ticket) {
                // A receiver that is gone has a guard that ends the run.
                let _ = tx.send(assignment);
            }
        }
        drop(state);
        if placed {
            self.tell_others();
        }
    }

    /// Notes the time to the first event of a run.
    pub(crate) fn began(&self, endpoint: EndpointKey, prompt: u32, backlog: u32, first: Duration) {
        self.lock().cell.record_first_event(clock::now(), endpoint, prompt, backlog, first);
    }

    /// Ends a run.
    pub(crate) fn finish(&self, endpoint: EndpointKey, unread: u32, outcome: Outcome) {
        self.lock().cell.finish(clock::now(), endpoint, unread, outcome);
        self.tell_others();
        self.place();
    }
}
