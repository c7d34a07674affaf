//! Simulation of several nodes in which the test controls messages, time and faults.
//!
//! Runs are recorded and checked against the limits whenever one starts.

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

pub use setup::{request_info, topology, POOL};

/// Time within which a daemon must dispatch a grant. Later it requeues the request.
pub const DISPATCH_WITHIN: Duration = Duration::from_secs(2);

/// A message in transit.
#[derive(Clone, Debug)]
pub struct Envelope {
    pub from: InstanceId,
    pub to: InstanceId,
    pub message: Message,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    Pending,
    Completed,
    Refused(RefusalReason),
    /// The ingress instance crashed.
    Lost,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub endpoint: String,
    pub ingress: InstanceId,
    pub account: String,
    pub ends_at: Instant,
    pub ended: bool,
}

struct Instance {
    node: Node,
    alive: bool,
    paused: bool,
    delayed_dispatches: Vec<(Instant, Grant)>,
    finished_while_paused: Vec<RequestId>,
}

/// Decides on the delivery of each message and may inject faults.
pub type Filter = Box<dyn FnMut(&Envelope, &mut Vec<Fault>) -> Delivery>;

/// Delivery of a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Delivery {
    Deliver,
    Drop,
    Duplicate,
    /// Delayed until [`Cluster::deliver_delayed`].
    Delay,
}

/// A fault injected by a filter.
#[derive(Clone, Debug)]
pub enum Fault {
    Crash(InstanceId),
    Pause(InstanceId),
    Partition(InstanceId, InstanceId),
}

pub struct Cluster {
    pub now: Instant,
    instances: BTreeMap<InstanceId, Instance>,
    queue: VecDeque<Envelope>,
    delayed: Vec<Envelope>,
    partitions: BTreeSet<(InstanceId, InstanceId)>,
    pub list: InstanceList,
    pub stale_lists: BTreeSet<InstanceId>,
    pub topology: Arc<Topology>,
    pub runs: BTreeMap<RequestId, Run>,
    pub outcomes: BTreeMap<RequestId, RequestOutcome>,
    pub requests: BTreeMap<RequestId, (InstanceId, RequestInfo)>,
    pub run_duration: Duration,
    pub filter: Option<Filter>,
    /// Waiting requests of lower tiers at instances that were removed from the list.
    pub presumed_lost: BTreeSet<RequestId>,
    pub violations: Vec<String>,
    pub messages_sent: usize,
}

impl Cluster {
    /// Creates a cluster in which all nodes are listed and own their permits.
    pub fn new(names: &[&str], topology: Topology) -> Cluster {
        let mut cluster = Cluster::unsettled(names, topology);
        cluster.advance(Duration::from_secs(20));
        assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
        cluster
    }

    pub fn unsettled(names: &[&str], topology: Topology) -> Cluster {
        let mut cluster = Cluster {
            now: Instant::now(),
            instances: BTreeMap::new(),
            queue: VecDeque::new(),
            delayed: Vec::new(),
            partitions: BTreeSet::new(),
            list: InstanceList::default(),
            stale_lists: BTreeSet::new(),
            topology: Arc::new(topology),
            runs: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            requests: BTreeMap::new(),
            run_duration: Duration::from_secs(1),
            filter: None,
            presumed_lost: BTreeSet::new(),
            violations: Vec::new(),
            messages_sent: 0,
        };
        for name in names {
            cluster.join(name);
        }
        cluster
    }

    /// Starts an instance and adds it to the list.
    pub fn join(&mut self, name: &str) {
        let id: InstanceId = name.into();
        let seed = self.instances.len() as u64 * 1_000_000;
        let instance = Instance {
            node: Node::new(id.clone(), "z".into(), seed),
            alive: true,
            paused: false,
            delayed_dispatches: Vec::new(),
            finished_while_paused: Vec::new(),
        };
        self.instances.insert(id.clone(), instance);
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
        self.instances.keys().cloned().collect()
    }

    pub fn node(&self, name: &str) -> &Node {
        &self.instances[name].node
    }

    pub fn is_up(&self, id: &str) -> bool {
        self.instances.get(id).is_some_and(|i| i.alive && !i.paused)
    }

    /// Crashes an instance. Its runs continue at the endpoints, and it stays in the list.
    pub fn crash(&mut self, id: &InstanceId) {
        let Some(instance) = self.instances.get_mut(id) else { return };
        if !instance.alive {
            return;
        }
        instance.alive = false;
        self.queue.retain(|e| e.from != *id && e.to != *id);
        for (request, (ingress, _)) in &self.requests {
            if ingress == id && self.outcomes[request] == RequestOutcome::Pending {
                self.outcomes.insert(request.clone(), RequestOutcome::Lost);
            }
        }
    }

    /// Removes an instance from the platform's list.
    pub fn remove_from_list(&mut self, id: &InstanceId) {
        if self.list.members.remove(id).is_none() {
            return;
        }
        self.list.version += 1;
        for (request, (ingress, info)) in &self.requests {
            let waits = self.outcomes[request] == RequestOutcome::Pending
                && !self.runs.contains_key(request);
            if ingress == id && waits && info.tier > 0 {
                self.presumed_lost.insert(request.clone());
            }
        }
    }

    pub fn add_to_list(&mut self, id: &InstanceId) {
        let member = Member { zone: "z".into(), address: id.to_string(), leaving: false };
        self.list.members.insert(id.clone(), member);
        self.list.version += 1;
    }

    pub fn pause(&mut self, id: &InstanceId) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.paused = true;
        }
    }

    /// Resumes a paused instance. Its delayed dispatches start if they are recent, and are requeued
    /// otherwise.
    pub fn resume(&mut self, id: &InstanceId) {
        let Some(instance) = self.instances.get_mut(id) else { return };
        instance.paused = false;
        let dispatches = std::mem::take(&mut instance.delayed_dispatches);
        let finished = std::mem::take(&mut instance.finished_while_paused);
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

    pub fn partition(&mut self, a: &InstanceId, b: &InstanceId) {
        self.partitions.insert((a.clone(), b.clone()));
    }

    pub fn heal(&mut self) {
        self.partitions.clear();
        self.deliver_delayed();
    }

    pub fn deliver_delayed(&mut self) {
        let delayed = std::mem::take(&mut self.delayed);
        self.queue.extend(delayed);
        self.deliver_all();
    }

    pub fn submit(&mut self, ingress: &str, info: RequestInfo) {
        let ingress: InstanceId = ingress.into();
        let id = info.id.clone();
        self.requests.insert(id.clone(), (ingress.clone(), info.clone()));
        self.outcomes.insert(id, RequestOutcome::Pending);
        self.feed(&ingress, Event::Arrive(info));
    }

    /// Passes an event to a node, performs its actions and delivers all messages.
    pub fn feed(&mut self, id: &InstanceId, event: Event) {
        self.feed_one(id, event);
        self.deliver_all();
    }

    fn feed_one(&mut self, id: &InstanceId, event: Event) {
        let Some(instance) = self.instances.get_mut(id) else { return };
        if !instance.alive {
            return;
        }
        let actions = instance.node.handle(self.now, event);
        for action in actions {
            self.perform(id, action);
        }
    }

    fn perform(&mut self, id: &InstanceId, action: Action) {
        match action {
            Action::Send { to, message } => {
                self.messages_sent += 1;
                self.queue.push_back(Envelope { from: id.clone(), to, message });
            }
            Action::Dispatch(grant) => {
                let instance = self.instances.get_mut(id).expect("an instance with actions exists");
                if instance.paused {
                    instance.delayed_dispatches.push((self.now, grant));
                } else {
                    self.start_run(id.clone(), grant);
                }
            }
            Action::Refuse { request, reason, .. } => self.refused(&request, reason),
            Action::QueryRun { endpoint, grant } => {
                let ended = self.runs.get(&grant.0).is_none_or(|r| r.ended);
                if ended && !endpoint.is_empty() {
                    self.feed_one(id, Event::RunEnded(grant));
                }
            }
            Action::QueryLoad(endpoint) => {
                let on = |r: &&Run| !r.ended && *r.endpoint == *endpoint;
                let running = self.runs.values().filter(on).count() as u32;
                let requested_at = self.now;
                self.feed_one(id, Event::Load { endpoint, running, requested_at });
            }
        }
    }

    fn start_run(&mut self, ingress: InstanceId, grant: Grant) {
        let (request, endpoint) = (grant.request.clone(), grant.endpoint.to_string());
        if self.runs.contains_key(&request) {
            self.violations.push(format!("{request} was dispatched twice"));
        }
        if !matches!(self.outcomes[&request], RequestOutcome::Pending) {
            self.violations.push(format!("{request} ran after {:?}", self.outcomes[&request]));
        }
        if self.presumed_lost.contains(&request) {
            self.violations
                .push(format!("{request} ran after its instance was removed from the list"));
        }
        let account = self.requests[&request].1.account.to_string();
        let ends_at = self.now + self.run_duration;
        let run = Run { endpoint: endpoint.clone(), ingress, account, ends_at, ended: false };
        self.runs.insert(request, run);
        self.check_limits();
    }

    /// Checks the limits against the current runs.
    fn check_limits(&mut self) {
        let pool = &self.topology.pools[POOL];
        for (id, declared) in &pool.endpoints {
            let n = self.runs.values().filter(|r| !r.ended && *r.endpoint == **id).count();
            if n > declared.slots as usize {
                self.violations
                    .push(format!("{n} runs at {id}, which has {} slots", declared.slots));
            }
        }
        let limit = self.topology.accounts.values().next().and_then(|a| a.max_running);
        let n = self.runs.values().filter(|r| !r.ended).count();
        if limit.is_some_and(|limit| n > limit as usize) {
            self.violations.push(format!("{n} runs of an account limited to {limit:?}"));
        }
    }

    fn refused(&mut self, request: &RequestId, reason: RefusalReason) {
        let (_, info) = self.requests[request].clone();
        if self.runs.contains_key(request) {
            self.violations.push(format!("{request} was refused after it ran"));
        }
        self.outcomes.insert(request.clone(), RequestOutcome::Refused(reason));
        if reason == RefusalReason::Shed {
            self.check_shed(request, info.tier);
        }
    }

    /// Checks that no request of a lower tier is waiting at a live instance.
    fn check_shed(&mut self, request: &str, tier: u8) {
        let lower = self.requests.iter().find(|(id, (ingress, r))| {
            let open =
                self.outcomes[*id] == RequestOutcome::Pending && !self.runs.contains_key(*id);
            let held = self.instances[ingress].node.ingress().attempt(id).is_some();
            // An instance that was removed from the list counts as failed.
            let listed = self.list.members.contains_key(ingress);
            open && held && listed && self.instances[ingress].alive && r.tier > tier
        });
        if let Some((id, (_, r))) = lower {
            let found =
                format!("{request} of tier {tier} was shed while {id} of tier {} is kept", r.tier);
            self.violations.push(found);
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

    /// Delivers messages until none are left.
    pub fn deliver_all(&mut self) {
        let mut steps = 0;
        while let Some(envelope) = self.queue.pop_front() {
            steps += 1;
            assert!(steps < 100_000, "messages do not settle, the last is {envelope:?}");
            self.deliver(envelope);
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let mut faults = Vec::new();
        let delivery = match &mut self.filter {
            Some(filter) => filter(&envelope, &mut faults),
            None => Delivery::Deliver,
        };
        for fault in faults {
            match fault {
                Fault::Crash(id) => self.crash(&id),
                Fault::Pause(id) => self.pause(&id),
                Fault::Partition(a, b) => self.partition(&a, &b),
            }
        }
        match delivery {
            Delivery::Deliver => self.deliver_now(envelope),
            Delivery::Drop => {}
            Delivery::Duplicate => {
                self.deliver_now(envelope.clone());
                self.deliver_now(envelope);
            }
            Delivery::Delay => self.delayed.push(envelope),
        }
    }

    fn deliver_now(&mut self, envelope: Envelope) {
        let Envelope { from, to, message } = envelope;
        let sender_up = self.is_up(&from);
        if !sender_up || !self.instances.contains_key(&to) {
            // The message of a paused sender has not left it yet.
            if self.instances.get(&from).is_some_and(|i| i.alive) {
                self.delayed.push(Envelope { from, to, message });
            }
            return;
        }
        if self.partitions.contains(&(from.clone(), to.clone())) {
            return;
        }
        if !self.instances[&to].alive {
            self.feed_one(&from, Event::PeerDown(to));
            return;
        }
        if self.instances[&to].paused {
            self.delayed.push(Envelope { from, to, message });
            return;
        }
        self.feed_one(&to, Event::Peer { from, message });
    }

    /// Advances the time in ticks.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK_INTERVAL;
            self.end_runs();
            for id in self.ids() {
                if !self.is_up(&id) {
                    continue;
                }
                if !self.stale_lists.contains(&id) {
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
            .filter(|(_, r)| !r.ended && r.ends_at <= now)
            .map(|(id, r)| (id.clone(), r.ingress.clone()))
            .collect();
        for (request, ingress) in due {
            if let Some(run) = self.runs.get_mut(&request) {
                run.ended = true;
            }
            let instance = self.instances.get_mut(&ingress).expect("instances are never removed");
            if instance.paused {
                instance.finished_while_paused.push(request);
            } else if instance.alive {
                self.finish(&ingress, &request);
            }
        }
    }

    /// The scheduler of the pool as known to `of`.
    pub fn scheduler(&self, of: &str) -> InstanceId {
        self.node(of).ingress().scheduler(POOL).cloned().expect("a scheduler is known")
    }

    pub fn count(&self, outcome: &RequestOutcome) -> usize {
        self.outcomes.values().filter(|f| *f == outcome).count()
    }

    /// Free permits at live instances by key.
    pub fn free_permits(&self) -> BTreeMap<String, u32> {
        let mut free = BTreeMap::new();
        for instance in self.instances.values().filter(|i| i.alive) {
            let permits = instance.node.permits();
            for key in permits.keys() {
                *free.entry(format!("{key:?}")).or_default() += permits.count(key).0;
            }
        }
        free
    }
}
