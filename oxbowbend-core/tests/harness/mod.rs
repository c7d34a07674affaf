//! Drives some nodes by hand: every message, tick and fault is the test's.
//!
//! There is no network and no platform here, only queues of messages, a list that the test sets,
//! and a note of what runs at each endpoint, against which the limits are checked at every instant.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use oxbowbend_core::ids::{InstanceId, RequestId};
use oxbowbend_core::membership::{InstanceList, Member};
use oxbowbend_core::message::{Grant, Message, RefusalReason, RequestInfo, RunOutcome, RunReport};
use oxbowbend_core::node::{Action, Event, Node, TICK_INTERVAL};
use oxbowbend_core::topology::Topology;

pub mod setup;

pub use setup::{record, topology, POOL};

/// Time within which a daemon sends a granted request, or asks for another grant.
pub const DISPATCH_WITHIN: Duration = Duration::from_secs(2);

/// A message on its way.
#[derive(Clone, Debug)]
pub struct Envelope {
    pub from: InstanceId,
    pub to: InstanceId,
    pub message: Message,
}

/// What a request has come to.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    Pending,
    Completed,
    Refused(RefusalReason),
    /// Its entry instance died.
    Lost,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub endpoint: String,
    pub ingress: InstanceId,
    pub account: String,
    pub ends: Instant,
    pub over: bool,
}

struct Place {
    node: Node,
    alive: bool,
    frozen: bool,
    held_dispatches: Vec<(Instant, Grant)>,
    finished_while_frozen: Vec<RequestId>,
}

/// Decides what becomes of a message about to be delivered.
pub type Filter = Box<dyn FnMut(&Envelope, &mut Vec<Fault>) -> Delivery>;

/// What becomes of a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Delivery {
    Pass,
    Lose,
    Twice,
    /// Kept back until [`Cluster::release_held`].
    Hold,
}

/// A fault that a filter asks for.
#[derive(Clone, Debug)]
pub enum Fault {
    Kill(InstanceId),
    Freeze(InstanceId),
    Cut(InstanceId, InstanceId),
}

pub struct Cluster {
    pub now: Instant,
    places: BTreeMap<InstanceId, Place>,
    queue: VecDeque<Envelope>,
    held: Vec<Envelope>,
    cuts: BTreeSet<(InstanceId, InstanceId)>,
    pub list: InstanceList,
    pub lists_frozen: BTreeSet<InstanceId>,
    pub topology: Arc<Topology>,
    pub runs: BTreeMap<RequestId, Run>,
    pub outcomes: BTreeMap<RequestId, RequestOutcome>,
    pub records: BTreeMap<RequestId, (InstanceId, RequestInfo)>,
    pub run_time: Duration,
    pub filter: Option<Filter>,
    /// Waiting requests of the lower tiers at instances that the list dropped.
    pub written_off: BTreeSet<RequestId>,
    pub broken: Vec<String>,
    pub sent: usize,
}

impl Cluster {
    /// Creates nodes that are all listed and have settled who owns what.
    pub fn new(names: &[&str], topology: Topology) -> Cluster {
        let mut cluster = Cluster::unsettled(names, topology);
        cluster.run_for(Duration::from_secs(20));
        assert!(cluster.broken.is_empty(), "{:?}", cluster.broken);
        cluster
    }

    pub fn unsettled(names: &[&str], topology: Topology) -> Cluster {
        let mut cluster = Cluster {
            now: Instant::now(),
            places: BTreeMap::new(),
            queue: VecDeque::new(),
            held: Vec::new(),
            cuts: BTreeSet::new(),
            list: InstanceList::default(),
            lists_frozen: BTreeSet::new(),
            topology: Arc::new(topology),
            runs: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            records: BTreeMap::new(),
            run_time: Duration::from_secs(1),
            filter: None,
            written_off: BTreeSet::new(),
            broken: Vec::new(),
            sent: 0,
        };
        for name in names {
            cluster.join(name);
        }
        cluster
    }

    /// Starts an instance and enters it into the list.
    pub fn join(&mut self, name: &str) {
        let id: InstanceId = name.into();
        let seed = self.places.len() as u64 * 1_000_000;
        let place = Place {
            node: Node::new(id.clone(), "z".into(), seed),
            alive: true,
            frozen: false,
            held_dispatches: Vec::new(),
            finished_while_frozen: Vec::new(),
        };
        self.places.insert(id.clone(), place);
        let member = Member { zone: "z".into(), address: name.to_owned(), leaving: false };
        self.list.members.insert(id.clone(), member);
        self.list.version += 1;
        let topology = self.topology.clone();
        self.feed(&id, Event::Topology(topology));
    }

    pub fn configure(&mut self, topology: Topology) {
        self.topology = Arc::new(topology);
        for id in self.ids() {
            self.feed(&id, Event::Topology(self.topology.clone()));
        }
    }

    pub fn ids(&self) -> Vec<InstanceId> {
        self.places.keys().cloned().collect()
    }

    pub fn node(&self, name: &str) -> &Node {
        &self.places[name].node
    }

    pub fn is_up(&self, id: &str) -> bool {
        self.places.get(id).is_some_and(|p| p.alive && !p.frozen)
    }

    /// Ends an instance at once. Its runs go on at the endpoints; the list still names it.
    pub fn kill(&mut self, id: &InstanceId) {
        let Some(place) = self.places.get_mut(id) else { return };
        if !place.alive {
            return;
        }
        place.alive = false;
        self.queue.retain(|e| e.from != *id && e.to != *id);
        for (request, (ingress, _)) in &self.records {
            if ingress == id && self.outcomes[request] == RequestOutcome::Pending {
                self.outcomes.insert(request.clone(), RequestOutcome::Lost);
            }
        }
    }

    /// The platform notices that an instance is gone.
    pub fn unlist(&mut self, id: &InstanceId) {
        if self.list.members.remove(id).is_none() {
            return;
        }
        self.list.version += 1;
        for (request, (ingress, record)) in &self.records {
            let waits = self.outcomes[request] == RequestOutcome::Pending
                && !self.runs.contains_key(request);
            if ingress == id && waits && record.tier > 0 {
                self.written_off.insert(request.clone());
            }
        }
    }

    pub fn relist(&mut self, id: &InstanceId) {
        let member = Member { zone: "z".into(), address: id.to_string(), leaving: false };
        self.list.members.insert(id.clone(), member);
        self.list.version += 1;
    }

    pub fn freeze(&mut self, id: &InstanceId) {
        if let Some(place) = self.places.get_mut(id) {
            place.frozen = true;
        }
    }

    /// Lets a frozen instance go on. What it had decided to dispatch, it dispatches if that was
    /// not too long ago.
    pub fn wake(&mut self, id: &InstanceId) {
        let Some(place) = self.places.get_mut(id) else { return };
        place.frozen = false;
        let dispatches = std::mem::take(&mut place.held_dispatches);
        let finished = std::mem::take(&mut place.finished_while_frozen);
        for (at, grant) in dispatches {
            if self.now.duration_since(at) < DISPATCH_WITHIN {
                self.start_run(id.clone(), grant);
            } else {
                let report = RunReport { outcome: RunOutcome::Failed, ..RunReport::default() };
                self.feed(id, Event::Requeue { request: grant.request, report });
            }
        }
        for request in finished {
            self.finish(id, &request);
        }
    }

    pub fn cut(&mut self, a: &InstanceId, b: &InstanceId) {
        self.cuts.insert((a.clone(), b.clone()));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.release_held();
    }

    pub fn release_held(&mut self) {
        let held = std::mem::take(&mut self.held);
        self.queue.extend(held);
        self.settle();
    }

    pub fn arrive(&mut self, ingress: &str, record: RequestInfo) {
        let ingress: InstanceId = ingress.into();
        let id = record.id.clone();
        self.records.insert(id.clone(), (ingress.clone(), record.clone()));
        self.outcomes.insert(id, RequestOutcome::Pending);
        self.feed(&ingress, Event::Arrive(record));
    }

    /// Feeds an event to a node and carries out what it decides.
    pub fn feed(&mut self, id: &InstanceId, event: Event) {
        self.feed_one(id, event);
        self.settle();
    }

    fn feed_one(&mut self, id: &InstanceId, event: Event) {
        let Some(place) = self.places.get_mut(id) else { return };
        if !place.alive {
            return;
        }
        let actions = place.node.handle(self.now, event);
        for action in actions {
            self.perform(id, action);
        }
    }

    fn perform(&mut self, id: &InstanceId, action: Action) {
        match action {
            Action::Send { to, message } => {
                self.sent += 1;
                self.queue.push_back(Envelope { from: id.clone(), to, message });
            }
            Action::Dispatch(grant) => {
                let place = self.places.get_mut(id).expect("a place that acts is there");
                if place.frozen {
                    place.held_dispatches.push((self.now, grant));
                } else {
                    self.start_run(id.clone(), grant);
                }
            }
            Action::Refuse { request, reason, .. } => self.refused(&request, reason),
            Action::QueryRun { endpoint, grant } => {
                let over = self.runs.get(&grant.0).is_none_or(|r| r.over);
                if over && !endpoint.is_empty() {
                    self.feed_one(id, Event::RunEnded(grant));
                }
            }
            Action::QueryLoad(endpoint) => {
                let on = |r: &&Run| !r.over && *r.endpoint == *endpoint;
                let running = self.runs.values().filter(on).count() as u32;
                let requested_at = self.now;
                self.feed_one(id, Event::Load { endpoint, running, requested_at });
            }
        }
    }

    fn start_run(&mut self, ingress: InstanceId, grant: Grant) {
        let (request, endpoint) = (grant.request.clone(), grant.endpoint.to_string());
        if self.runs.contains_key(&request) {
            self.broken.push(format!("{request} was dispatched twice"));
        }
        if !matches!(self.outcomes[&request], RequestOutcome::Pending) {
            self.broken.push(format!("{request} ran after {:?}", self.outcomes[&request]));
        }
        if self.written_off.contains(&request) {
            self.broken.push(format!("{request} ran after its instance was dropped"));
        }
        let account = self.records[&request].1.account.to_string();
        let ends = self.now + self.run_time;
        let run = Run { endpoint: endpoint.clone(), ingress, account, ends, over: false };
        self.runs.insert(request, run);
        self.check_limits();
    }

    /// The limits, against what really runs.
    fn check_limits(&mut self) {
        let pool = &self.topology.pools[POOL];
        for (id, declared) in &pool.endpoints {
            let n = self.runs.values().filter(|r| !r.over && *r.endpoint == **id).count();
            if n > declared.slots as usize {
                self.broken.push(format!("{n} runs at {id}, which has {} slots", declared.slots));
            }
        }
        let limit = self.topology.accounts.values().next().and_then(|a| a.max_running);
        let n = self.runs.values().filter(|r| !r.over).count();
        if limit.is_some_and(|limit| n > limit as usize) {
            self.broken.push(format!("{n} runs of an account that may have {limit:?}"));
        }
    }

    fn refused(&mut self, request: &RequestId, reason: RefusalReason) {
        let (_, record) = self.records[request].clone();
        if self.runs.contains_key(request) {
            self.broken.push(format!("{request} was refused though it ran"));
        }
        self.outcomes.insert(request.clone(), RequestOutcome::Refused(reason));
        if reason == RefusalReason::Shed {
            self.check_shed(request, record.tier);
        }
    }

    /// Nothing of a lower tier may wait at any instance that lives.
    fn check_shed(&mut self, request: &str, tier: u8) {
        let lower = self.records.iter().find(|(id, (ingress, r))| {
            let open =
                self.outcomes[*id] == RequestOutcome::Pending && !self.runs.contains_key(*id);
            let held = self.places[ingress].node.ingress().attempt(id).is_some();
            // An instance that the list has dropped counts as dead.
            let listed = self.list.members.contains_key(ingress);
            open && held && listed && self.places[ingress].alive && r.tier > tier
        });
        if let Some((id, (_, r))) = lower {
            let found =
                format!("{request} of tier {tier} was shed while {id} of {} is kept", r.tier);
            self.broken.push(found);
        }
    }

    fn finish(&mut self, ingress: &InstanceId, request: &RequestId) {
        self.outcomes.insert(request.clone(), RequestOutcome::Completed);
        let report = RunReport {
            outcome: RunOutcome::Complete,
            first_token_ms: Some(10),
            total_ms: 110,
            prompt_tokens: 100,
            cached_tokens: 0,
            output_tokens: 10,
        };
        self.feed(ingress, Event::Finish { request: request.clone(), report });
    }

    /// Delivers messages until none is on its way.
    pub fn settle(&mut self) {
        let mut steps = 0;
        while let Some(envelope) = self.queue.pop_front() {
            steps += 1;
            assert!(steps < 100_000, "messages without end, the last {envelope:?}");
            self.deliver(envelope);
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let mut faults = Vec::new();
        let delivery = match &mut self.filter {
            Some(filter) => filter(&envelope, &mut faults),
            None => Delivery::Pass,
        };
        for fault in faults {
            match fault {
                Fault::Kill(id) => self.kill(&id),
                Fault::Freeze(id) => self.freeze(&id),
                Fault::Cut(a, b) => self.cut(&a, &b),
            }
        }
        match delivery {
            Delivery::Pass => self.hand_over(envelope),
            Delivery::Lose => {}
            Delivery::Twice => {
                self.hand_over(envelope.clone());
                self.hand_over(envelope);
            }
            Delivery::Hold => self.held.push(envelope),
        }
    }

    fn hand_over(&mut self, envelope: Envelope) {
        let Envelope { from, to, message } = envelope;
        let sender_up = self.is_up(&from);
        if !sender_up || !self.places.contains_key(&to) {
            // A frozen sender's message is still in its own queue.
            if self.places.get(&from).is_some_and(|p| p.alive) {
                self.held.push(Envelope { from, to, message });
            }
            return;
        }
        if self.cuts.contains(&(from.clone(), to.clone())) {
            return;
        }
        if !self.places[&to].alive {
            self.feed_one(&from, Event::PeerDown(to));
            return;
        }
        if self.places[&to].frozen {
            self.held.push(Envelope { from, to, message });
            return;
        }
        self.feed_one(&to, Event::Peer { from, message });
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK_INTERVAL;
            self.end_runs();
            for id in self.ids() {
                if !self.is_up(&id) {
                    continue;
                }
                if !self.lists_frozen.contains(&id) {
                    let list = self.list.clone();
                    self.feed(&id, Event::List(list));
                }
                self.feed(&id, Event::Tick);
            }
        }
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let due: Vec<(RequestId, InstanceId)> = self
            .runs
            .iter()
            .filter(|(_, r)| !r.over && r.ends <= now)
            .map(|(id, r)| (id.clone(), r.ingress.clone()))
            .collect();
        for (request, ingress) in due {
            if let Some(run) = self.runs.get_mut(&request) {
                run.over = true;
            }
            let place = self.places.get_mut(&ingress).expect("entries stay known");
            if place.frozen {
                place.finished_while_frozen.push(request);
            } else if place.alive {
                self.finish(&ingress, &request);
            }
        }
    }

    /// The instance that schedules the pool, by the word of `of`.
    pub fn scheduler(&self, of: &str) -> InstanceId {
        self.node(of).ingress().scheduler(POOL).cloned().expect("a scheduler is known")
    }

    pub fn count(&self, outcome: &RequestOutcome) -> usize {
        self.outcomes.values().filter(|f| *f == outcome).count()
    }

    /// Permits that are free at instances that live, by key.
    pub fn free_permits(&self) -> BTreeMap<String, u32> {
        let mut free = BTreeMap::new();
        for place in self.places.values().filter(|p| p.alive) {
            let permits = place.node.permits();
            for key in permits.keys() {
                *free.entry(format!("{key:?}")).or_default() += permits.count(key).0;
            }
        }
        free
    }
}
