//! What is compared: the scheduler with several choices of endpoint, and baselines without one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use oxbowbend_core::ids;
use oxbowbend_core::message;
use oxbowbend_core::node;
use oxbowbend_core::scheduler::{self, Directory};
use oxbowbend_core::selection::{self, SelectionPolicy};
use oxbowbend_core::topology;

use super::deployment;
use super::engines;

/// Name of the one pool.
pub const POOL: &str = "pool";
/// Name of the one instance.
pub const ENTRY: &str = "entry";

/// What a policy decides.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Send the request to an engine.
    Send(usize, usize),
    /// Refuse it.
    Refuse(usize),
}

/// Something that is told what happens and decides where requests go.
pub trait Policy {
    /// A request has arrived.
    fn arrive(
        &mut self,
        now: Instant,
        request: usize,
        record: message::RequestInfo,
    ) -> Vec<Verdict>;
    /// A request has ended at an engine; `up` tells whether a scheduler is there to hear of it.
    fn ended(
        &mut self,
        now: Instant,
        request: usize,
        engine: usize,
        report: &message::RunReport,
        up: bool,
    ) -> Vec<Verdict>;
    /// Time has passed.
    fn tick(&mut self, now: Instant) -> Vec<Verdict>;
    /// Reports of load have come.
    fn loads(&mut self, loads: &[u32]);
    /// An engine is gone.
    fn gone(&mut self, engine: usize);
    /// Whether there is a scheduler that can die.
    fn has_scheduler(&self) -> bool {
        false
    }
    /// The scheduler died; a new one knows only what entries report.
    fn restart(&mut self, _now: Instant) {}
}

/// A baseline: every request goes straight to an engine, where it queues.
pub struct Straight<C> {
    choose: C,
    outstanding: Vec<u32>,
    reported: Vec<u32>,
    alive: Vec<bool>,
}

impl<C: SelectionPolicy> Straight<C> {
    fn new(choose: C, engines: usize) -> Straight<C> {
        let (outstanding, reported) = (vec![0; engines], vec![0; engines]);
        Straight { choose, outstanding, reported, alive: vec![true; engines] }
    }
}

impl<C: SelectionPolicy> Policy for Straight<C> {
    fn arrive(&mut self, _: Instant, request: usize, _: message::RequestInfo) -> Vec<Verdict> {
        let living = (0..self.alive.len()).filter(|e| self.alive[*e]);
        let candidates: Vec<selection::Candidate> = living
            .map(|index| selection::Candidate {
                index,
                predicted_seconds: 0.0,
                outstanding: self.outstanding[index],
                reported_running: self.reported[index],
                avoid: false,
            })
            .collect();
        let Some(chosen) = self.choose.select(&candidates) else {
            return vec![Verdict::Refuse(request)];
        };
        let engine = candidates[chosen].index;
        self.outstanding[engine] += 1;
        vec![Verdict::Send(request, engine)]
    }

    fn ended(
        &mut self,
        _: Instant,
        _: usize,
        engine: usize,
        _: &message::RunReport,
        _: bool,
    ) -> Vec<Verdict> {
        self.outstanding[engine] = self.outstanding[engine].saturating_sub(1);
        Vec::new()
    }

    fn tick(&mut self, _: Instant) -> Vec<Verdict> {
        Vec::new()
    }

    fn loads(&mut self, loads: &[u32]) {
        self.reported = loads.to_vec();
    }

    fn gone(&mut self, engine: usize) {
        self.alive[engine] = false;
    }
}

/// A directory of one instance, in which nothing is limited.
pub struct Alone;

impl Directory for Alone {
    fn account_owners(&self, _: &ids::AccountId) -> Option<&[(ids::InstanceId, u32)]> {
        None
    }

    fn ingress_instances(&self, _: &ids::PoolId) -> Vec<ids::InstanceId> {
        vec![ENTRY.into()]
    }

    fn is_lowest_tier(&self, tier: ids::TierLevel) -> bool {
        tier >= 2
    }
}

/// The scheduler that ships, with a choice of endpoint.
pub struct Scheduled<C> {
    scheduler: scheduler::Scheduler<C>,
    fresh: Box<dyn Fn() -> C>,
    config: topology::Pool,
    free: Vec<u32>,
    last_seq: u64,
    held: BTreeMap<usize, (message::RequestInfo, Option<usize>)>,
}

impl<C: SelectionPolicy> Scheduled<C> {
    fn new(config: topology::Pool, fresh: impl Fn() -> C + 'static) -> Scheduled<C> {
        let scheduler = scheduler::Scheduler::new(ENTRY.into(), POOL.into(), &config, fresh());
        let free = config.endpoints.values().map(|e| e.slots).collect();
        let mut scheduled = Scheduled {
            scheduler,
            fresh: Box::new(fresh),
            config,
            free,
            last_seq: 0,
            held: BTreeMap::new(),
        };
        scheduled.offer_all();
        scheduled
    }

    fn offer_all(&mut self) {
        for engine in 0..self.free.len() {
            self.offer(engine);
        }
    }

    fn offer(&mut self, engine: usize) {
        let endpoint = engine_name(engine);
        let owned = self.config.endpoints.get(endpoint.as_str()).map_or(0, |e| e.slots);
        let offer = message::Offer {
            pool: POOL.into(),
            endpoint: endpoint.as_str().into(),
            free: self.free[engine],
            owned,
            last_seq: self.last_seq,
        };
        self.scheduler.handle_offer(&ENTRY.into(), &offer);
    }

    fn decide(&mut self, now: Instant) -> Vec<Verdict> {
        let mut actions = Vec::new();
        self.scheduler.schedule(now, &Alone, &mut actions);
        let mut verdicts = Vec::new();
        for action in actions {
            match action {
                node::Action::Send { message: message::Message::Grant(grant), .. } => {
                    let request = request_number(&grant.request);
                    let engine = engine_number(&grant.endpoint);
                    self.last_seq = self.last_seq.max(grant.seq);
                    self.free[engine] = self.free[engine].saturating_sub(1);
                    self.offer(engine);
                    self.scheduler.handle_accepted(&(grant.request.clone(), grant.attempt));
                    if let Some(held) = self.held.get_mut(&request) {
                        held.1 = Some(engine);
                    }
                    verdicts.push(Verdict::Send(request, engine));
                }
                node::Action::Send {
                    message: message::Message::Refuse { request, attempt, .. },
                    ..
                } => {
                    self.scheduler.handle_withdraw(&(request.clone(), attempt));
                    self.held.remove(&request_number(&request));
                    verdicts.push(Verdict::Refuse(request_number(&request)));
                }
                node::Action::Send {
                    message: message::Message::ShedThreshold { seq, .. }, ..
                } => {
                    let digest = oxbowbend_core::message::PoolDigest {
                        pool: POOL.into(),
                        digest: 0,
                        threshold_seq: seq,
                    };
                    self.scheduler.handle_digest(&ENTRY.into(), &digest);
                }
                _ => {}
            }
        }
        verdicts
    }
}

impl<C: SelectionPolicy> Policy for Scheduled<C> {
    fn arrive(
        &mut self,
        now: Instant,
        request: usize,
        record: message::RequestInfo,
    ) -> Vec<Verdict> {
        self.held.insert(request, (record.clone(), None));
        self.scheduler.enqueue(now, &ENTRY.into(), record);
        self.decide(now)
    }

    fn ended(
        &mut self,
        now: Instant,
        request: usize,
        engine: usize,
        report: &message::RunReport,
        up: bool,
    ) -> Vec<Verdict> {
        self.held.remove(&request);
        self.free[engine] += 1;
        if !up {
            return Vec::new();
        }
        self.scheduler.handle_done(now, &(request_name(request).as_str().into(), 1), report);
        self.offer(engine);
        self.decide(now)
    }

    fn tick(&mut self, now: Instant) -> Vec<Verdict> {
        self.decide(now)
    }

    fn loads(&mut self, loads: &[u32]) {
        for (engine, load) in loads.iter().enumerate() {
            self.scheduler.handle_load(&engine_name(engine).as_str().into(), *load);
        }
    }

    fn gone(&mut self, engine: usize) {
        if let Some(endpoint) = self.config.endpoints.get_mut(engine_name(engine).as_str()) {
            endpoint.leaving = true;
        }
        self.scheduler.configure(&self.config);
    }

    fn has_scheduler(&self) -> bool {
        true
    }

    fn restart(&mut self, now: Instant) {
        let choose = (self.fresh)();
        self.scheduler = scheduler::Scheduler::new(ENTRY.into(), POOL.into(), &self.config, choose);
        let mut waiting = Vec::new();
        let mut running = Vec::new();
        for (record, engine) in self.held.values() {
            match engine {
                None => waiting.push(record.clone()),
                Some(e) => running.push((record.clone(), engine_name(*e).as_str().into())),
            }
        }
        self.scheduler.handle_snapshot(now, &ENTRY.into(), waiting, running);
        self.last_seq = 0;
        self.offer_all();
    }
}

/// Name of the endpoint that stands for an engine; names sort as the numbers do.
pub fn engine_name(engine: usize) -> String {
    format!("engine-{engine:04}")
}

/// Name of a request.
pub fn request_name(request: usize) -> String {
    format!("r{request}")
}

fn engine_number(name: &str) -> usize {
    name.trim_start_matches("engine-").parse().unwrap_or(0)
}

fn request_number(name: &str) -> usize {
    name.trim_start_matches('r').parse().unwrap_or(0)
}

fn pool(engines: &[engines::Engine], deployment: &deployment::Deployment) -> topology::Pool {
    let endpoint = |e: &engines::Engine| topology::Endpoint {
        slots: e.group.slots,
        generation: e.group.generation.as_str().into(),
        prefill_rate: e.group.prefill_rate,
        decode_rate: e.group.decode_rate,
        cache_tokens: e.group.cache_tokens,
        leaving: false,
        // Nothing is in doubt here, so nothing waits for reports.
        report_lag: Duration::ZERO,
    };
    let named = engines.iter().enumerate();
    let endpoints = named.map(|(n, e)| (engine_name(n).as_str().into(), endpoint(e)));
    let deployment::Deployment { queue_bound, prefill_bias, .. } = *deployment;
    topology::Pool {
        endpoints: endpoints.collect(),
        queue_bound,
        prefill_bias,
        ..topology::Pool::default()
    }
}

/// Names of all policies; the first is the one that ships.
pub const POLICIES: [&str; 9] = [
    "oxbowbend",
    "order+random",
    "order+round-robin",
    "order+least",
    "order+two-choices",
    "fcfs random",
    "fcfs round-robin",
    "fcfs least",
    "fcfs two-choices",
];

/// Creates a policy by name.
pub fn create(
    name: &str,
    engines: &[engines::Engine],
    deployment: &deployment::Deployment,
    seed: u64,
) -> Option<Box<dyn Policy>> {
    let config = pool(engines, deployment);
    let n = engines.len();
    Some(match name {
        "oxbowbend" => Box::new(Scheduled::new(config, || selection::EarliestFinish)),
        "order+random" => Box::new(Scheduled::new(config, move || selection::Random::new(seed))),
        "order+round-robin" => Box::new(Scheduled::new(config, selection::RoundRobin::default)),
        "order+least" => Box::new(Scheduled::new(config, || selection::LeastOutstanding)),
        "order+two-choices" => {
            Box::new(Scheduled::new(config, move || selection::PowerOfTwoChoices::new(seed)))
        }
        "fcfs random" => Box::new(Straight::new(selection::Random::new(seed), n)),
        "fcfs round-robin" => Box::new(Straight::new(selection::RoundRobin::default(), n)),
        "fcfs least" => Box::new(Straight::new(selection::LeastOutstanding, n)),
        "fcfs two-choices" => Box::new(Straight::new(selection::PowerOfTwoChoices::new(seed), n)),
        _ => return None,
    })
}
