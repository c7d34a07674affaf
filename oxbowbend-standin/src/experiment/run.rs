//! Plays a scenario in virtual time and counts what became of every request.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use oxbowbend_core::cache;
use oxbowbend_core::message;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;

use super::deployment;
use super::engines;
use super::policy::{self, Policy};

/// Time between two ticks of the policy.
const TICK: f64 = 0.1;
/// Time between two reports of load.
const REPORT: f64 = 0.5;

/// Bit of the hashes of blocks that no other prompt has.
const UNSHARED: u64 = 1 << 63;

#[derive(Clone, Debug)]
struct Request {
    class: usize,
    account: String,
    at: f64,
    record: message::RequestInfo,
    engine: Option<usize>,
    begun: Option<(f64, engines::Begun)>,
    over: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum What {
    Arrive(usize),
    End(usize),
    Deadline(usize),
    Tick,
    Report,
    Straggle,
    Kill,
    SchedulerDies,
    SchedulerReturns,
}

/// What became of the requests of one tier.
#[derive(Clone, Debug, Serialize)]
pub struct TierResult {
    /// Tier.
    pub tier: u8,
    /// Requests.
    pub offered: usize,
    /// Answered in time.
    pub good: usize,
    /// Refused before they ran.
    pub refused: usize,
    /// Cut off at their deadline, or lost with an engine.
    pub lost: usize,
    /// Milliseconds to the first token of good requests: p50, p95 and p99.
    pub first_ms: [f64; 3],
}

/// What became of a scenario under a policy.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Scenario.
    pub scenario: String,
    /// Policy.
    pub policy: String,
    /// By tier.
    pub tiers: Vec<TierResult>,
    /// Prompt tokens processed.
    pub prefilled: u64,
    /// Prompt tokens processed for answers that were of no use.
    pub wasted: u64,
    /// Prompt tokens processed that some engine had processed before.
    pub repeated: u64,
    /// Milliseconds to the end of good requests at p95, by account and class.
    pub p95_ms: BTreeMap<String, f64>,
    /// Times that an engine was seen with more requests than it has slots.
    pub limits_passed: usize,
}

struct Play<'a> {
    deployment: &'a deployment::Deployment,
    scenario: &'a deployment::Scenario,
    engines: Vec<engines::Engine>,
    policy: Box<dyn Policy>,
    requests: Vec<Request>,
    processed: engines::Processed,
    events: BinaryHeap<Reverse<(u64, u64, What)>>,
    seq: u64,
    now: f64,
    start: Instant,
    scheduler_up: bool,
    pending: Vec<usize>,
    reports: Vec<(f64, Vec<u32>)>,
    wasted: u64,
    limits_passed: usize,
}

/// Plays a scenario under a policy.
pub fn play(
    deployment: &deployment::Deployment,
    scenario: &deployment::Scenario,
    policy_name: &str,
    seed: u64,
) -> Option<Outcome> {
    let groups = deployment.engines.iter();
    let engines: Vec<engines::Engine> = groups
        .flat_map(|g| std::iter::repeat_with(|| engines::Engine::new(g.clone())).take(g.count))
        .collect();
    let policy = policy::create(policy_name, &engines, deployment, seed)?;
    let mut play = Play {
        deployment,
        scenario,
        engines,
        policy,
        requests: generate(deployment, scenario, seed),
        processed: engines::Processed::new(),
        events: BinaryHeap::new(),
        seq: 0,
        now: 0.0,
        start: Instant::now(),
        scheduler_up: true,
        pending: Vec::new(),
        reports: Vec::new(),
        wasted: 0,
        limits_passed: 0,
    };
    play.schedule_all();
    play.run();
    Some(play.outcome(policy_name))
}

fn generate(
    deployment: &deployment::Deployment,
    scenario: &deployment::Scenario,
    seed: u64,
) -> Vec<Request> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let rates = deployment.rates(scenario.load);
    let mut requests = Vec::new();
    for (n, class) in deployment.classes.iter().enumerate() {
        for account in &class.accounts {
            let flood = if scenario.flood.as_ref() == Some(account) { 10.0 } else { 1.0 };
            let rate = rates[n] * flood / class.accounts.len() as f64;
            let mut at = 0.0;
            loop {
                let third = deployment.seconds / 3.0;
                let in_burst = at >= third && at < 2.0 * third;
                let burst = scenario.burst.filter(|_| in_burst).unwrap_or(1.0);
                at += -(1.0 - rng.random::<f64>()).ln() / (rate * burst);
                if at >= deployment.seconds {
                    break;
                }
                requests.push(request(n, class, account, at, &mut rng));
            }
        }
    }
    requests.sort_by(|a, b| a.at.total_cmp(&b.at));
    for (n, request) in requests.iter_mut().enumerate() {
        request.record.id = policy::request_name(n).as_str().into();
    }
    requests
}

fn request(
    n: usize,
    class: &deployment::Class,
    account: &str,
    at: f64,
    rng: &mut Pcg64,
) -> Request {
    let prompt = rng.random_range(class.prompt[0]..=class.prompt[1]);
    let output = rng.random_range(class.output[0]..=class.output[1]);
    let shared = match class.prefixes {
        0 => None,
        n => Some(u64::from(rng.random_range(0..n))),
    };
    let blocks = prompt / cache::BLOCK_TOKENS;
    let shared_blocks = class.prefix_tokens.min(prompt) / cache::BLOCK_TOKENS;
    let block = |i: u32| match shared {
        Some(which) if i < shared_blocks => ((n as u64) << 56) | (which << 32) | u64::from(i),
        _ => UNSHARED | rng.random::<u64>(),
    };
    let prefix = (0..blocks).map(block).collect();
    let record = message::RequestInfo {
        id: "".into(),
        attempt: 1,
        pool: policy::POOL.into(),
        account: account.into(),
        tier: class.tier,
        weight: 1,
        prompt_tokens: prompt,
        output_tokens: output,
        prefix,
        due_in_ms: (class.deadline * 1000.0) as u64,
    };
    let account = account.to_owned();
    Request { class: n, account, at, record, engine: None, begun: None, over: false }
}

impl Play<'_> {
    fn at(&mut self, time: f64, what: What) {
        self.seq += 1;
        self.events.push(Reverse(((time * 1e6) as u64, self.seq, what)));
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now)
    }

    fn schedule_all(&mut self) {
        for n in 0..self.requests.len() {
            let at = self.requests[n].at;
            let due = at + self.deployment.classes[self.requests[n].class].deadline;
            self.at(at, What::Arrive(n));
            self.at(due, What::Deadline(n));
        }
        let seconds = self.deployment.seconds;
        self.at(TICK, What::Tick);
        self.at(REPORT, What::Report);
        if self.scenario.straggler.is_some() {
            self.at(seconds / 3.0, What::Straggle);
        }
        if self.scenario.kill_engines > 0 {
            self.at(seconds / 2.0, What::Kill);
        }
        if self.scenario.scheduler_gap > 0.0 {
            self.at(seconds / 2.0, What::SchedulerDies);
            self.at(seconds / 2.0 + self.scenario.scheduler_gap, What::SchedulerReturns);
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((time, _, what))) = self.events.pop() {
            self.now = time as f64 / 1e6;
            if self.now > self.deployment.seconds * 2.0 + 600.0 {
                return;
            }
            self.happen(what);
            let over = |e: &&engines::Engine| e.load() > e.group.slots;
            self.limits_passed += self.engines.iter().filter(over).count();
        }
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Arrive(n) => self.arrive(n),
            What::End(n) => self.end(n, message::RunOutcome::Complete),
            What::Deadline(n) => self.deadline(n),
            What::Tick => {
                if self.scheduler_up {
                    let now = self.instant();
                    let verdicts = self.policy.tick(now);
                    self.carry_out(verdicts);
                }
                if self.now < self.deployment.seconds * 2.0 {
                    self.at(self.now + TICK, What::Tick);
                }
            }
            What::Report => self.report(),
            What::Straggle => self.engines[0].slow = self.scenario.straggler.unwrap_or(1.0),
            What::Kill => self.kill(),
            What::SchedulerDies => self.scheduler_up = !self.policy.has_scheduler(),
            What::SchedulerReturns if self.scheduler_up => {}
            What::SchedulerReturns => {
                self.scheduler_up = true;
                let now = self.instant();
                self.policy.restart(now);
                for n in std::mem::take(&mut self.pending) {
                    self.arrive(n);
                }
            }
        }
    }

    fn arrive(&mut self, n: usize) {
        if self.requests[n].over {
            return;
        }
        if !self.scheduler_up {
            self.pending.push(n);
            return;
        }
        let (now, record) = (self.instant(), self.requests[n].record.clone());
        let verdicts = self.policy.arrive(now, n, record);
        self.carry_out(verdicts);
    }

    fn carry_out(&mut self, verdicts: Vec<policy::Verdict>) {
        for verdict in verdicts {
            match verdict {
                policy::Verdict::Refuse(n) => self.requests[n].over = true,
                policy::Verdict::Send(n, engine) => self.send(n, engine),
            }
        }
    }

    fn send(&mut self, n: usize, engine: usize) {
        if self.requests[n].over {
            return;
        }
        let record = &self.requests[n].record;
        let (prompt, output) = (record.prompt_tokens, record.output_tokens);
        let job = engines::Job { request: n, prompt, output, prefix: record.prefix.clone() };
        self.requests[n].engine = Some(engine);
        let begun = self.engines[engine].admit(job, &mut self.processed);
        self.note_begun(begun);
    }

    fn note_begun(&mut self, begun: Option<engines::Begun>) {
        let Some(begun) = begun else { return };
        let n = begun.request;
        self.at(self.now + begun.total, What::End(n));
        self.requests[n].begun = Some((self.now, begun));
    }

    fn end(&mut self, n: usize, outcome: message::RunOutcome) {
        let Some(engine) = self.requests[n].engine.take() else { return };
        let report = self.run_report(n, outcome);
        let next = self.engines[engine].end(n, &mut self.processed);
        self.note_begun(next);
        let useful = outcome == message::RunOutcome::Complete && !self.requests[n].over;
        if let Some((_, begun)) = &self.requests[n].begun {
            if !useful {
                self.wasted += u64::from(begun.prefilled);
            }
        }
        if !useful {
            self.requests[n].begun = None;
        }
        self.requests[n].over = true;
        let now = self.instant();
        let verdicts = self.policy.ended(now, n, engine, &report, self.scheduler_up);
        self.carry_out(verdicts);
    }

    fn run_report(&self, n: usize, outcome: message::RunOutcome) -> message::RunReport {
        let Some((at, begun)) = &self.requests[n].begun else {
            return message::RunReport { outcome, ..message::RunReport::default() };
        };
        message::RunReport {
            outcome,
            first_token_ms: Some((begun.first * 1000.0) as u64),
            total_ms: ((self.now - at) * 1000.0) as u64,
            prompt_tokens: begun.prefilled + begun.cached,
            cached_tokens: begun.cached,
            output_tokens: self.requests[n].record.output_tokens,
        }
    }

    /// The caller goes away; what runs for it is cancelled.
    fn deadline(&mut self, n: usize) {
        if self.requests[n].over {
            return;
        }
        if self.requests[n].engine.is_some() {
            self.end(n, message::RunOutcome::Cancelled);
        } else {
            self.requests[n].over = true;
        }
    }

    fn report(&mut self) {
        let loads = self.engines.iter().map(engines::Engine::load).collect();
        self.reports.push((self.now, loads));
        let seen = self.now - self.scenario.report_lag;
        if let Some((_, loads)) = self.reports.iter().rev().find(|(at, _)| *at <= seen) {
            self.policy.loads(loads);
        }
        if self.now < self.deployment.seconds * 2.0 {
            self.at(self.now + REPORT, What::Report);
        }
    }

    fn kill(&mut self) {
        for engine in 0..self.scenario.kill_engines {
            let lost = self.engines[engine].kill();
            self.policy.gone(engine);
            for n in lost {
                self.end(n, message::RunOutcome::Failed);
            }
        }
    }

    fn outcome(&self, policy: &str) -> Outcome {
        let mut tiers: Vec<u8> = self.deployment.classes.iter().map(|c| c.tier).collect();
        tiers.sort_unstable();
        tiers.dedup();
        let begun = self.requests.iter().filter_map(|r| r.begun.as_ref().map(|b| &b.1));
        let useful: u64 = begun.map(|b| u64::from(b.prefilled)).sum();
        let begun = self.requests.iter().filter_map(|r| r.begun.as_ref().map(|b| &b.1));
        Outcome {
            scenario: self.scenario.name.clone(),
            policy: policy.to_owned(),
            tiers: tiers.into_iter().map(|t| self.tier(t)).collect(),
            prefilled: useful + self.wasted,
            wasted: self.wasted,
            repeated: begun.map(|b| u64::from(b.repeated)).sum(),
            p95_ms: self.p95(),
            limits_passed: self.limits_passed,
        }
    }

    fn tier(&self, tier: u8) -> TierResult {
        let of_tier = self.requests.iter().filter(|r| r.record.tier == tier);
        let mut first = Histogram::<u64>::new(3).expect("3 digits are allowed");
        let (mut offered, mut good, mut refused) = (0, 0, 0);
        for r in of_tier {
            offered += 1;
            match &r.begun {
                Some((at, begun)) => {
                    good += 1;
                    first.record(((at - r.at + begun.first) * 1e6) as u64).ok();
                }
                None if r.engine.is_none() => refused += 1,
                None => {}
            }
        }
        let quantile = |q| first.value_at_quantile(q) as f64 / 1000.0;
        let first_ms = [quantile(0.5), quantile(0.95), quantile(0.99)];
        TierResult { tier, offered, good, refused, lost: offered - good - refused, first_ms }
    }

    fn p95(&self) -> BTreeMap<String, f64> {
        let mut by_name: BTreeMap<String, Vec<f64>> = BTreeMap::new();
        for r in &self.requests {
            let Some((at, begun)) = &r.begun else { continue };
            let name = format!("{} {}", r.account, self.deployment.classes[r.class].name);
            by_name.entry(name).or_default().push((at - r.at + begun.total) * 1000.0);
        }
        let p95 = |mut times: Vec<f64>| {
            times.sort_by(f64::total_cmp);
            times[(times.len() - 1) * 95 / 100]
        };
        by_name.into_iter().map(|(name, times)| (name, p95(times))).collect()
    }
}
