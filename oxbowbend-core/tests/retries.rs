//! Retries of several instances together, which share nothing but the number of instances.

use std::time::{Duration, Instant};

use oxbowbend_core::retries::{RetryLimit, RetryLimiter};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const LIMIT: RetryLimit =
    RetryLimit { ratio: 0.2, fixed: 52.0, window: Duration::from_millis(WINDOW_MS) };
const WINDOW_MS: u64 = 10_000;
const STEP_MS: u64 = 20;

/// Instances with unlimited demand for retries, and what they have sent.
struct Fleet {
    start: Instant,
    limiters: Vec<RetryLimiter>,
    /// Times of requests and of retries over all instances, in milliseconds.
    requests: Vec<u64>,
    retries: Vec<u64>,
    pending: Vec<PendingRetry>,
    /// Number of instances that each one sees.
    visible: usize,
}

struct PendingRetry {
    instance: usize,
    sent_at_ms: u64,
}

impl Fleet {
    fn new(instances: usize) -> Fleet {
        let start = Instant::now();
        let limiters = (0..instances).map(|_| RetryLimiter::new(LIMIT, start)).collect();
        let (requests, retries, pending) = (Vec::new(), Vec::new(), Vec::new());
        Fleet { start, limiters, requests, retries, pending, visible: instances }
    }

    fn add_requests(&mut self, ms: u64, instance: usize, requests: usize) {
        let now = self.start + Duration::from_millis(ms);
        for _ in 0..requests {
            self.limiters[instance].record_request(now, "s");
            self.requests.push(ms);
        }
    }

    /// Lets an instance send as many retries as it may.
    fn demand_retries(&mut self, ms: u64, instance: usize) {
        self.demand_retries_for(ms, instance, ms);
    }

    /// Lets an instance decide on as many retries as it may, which are sent at `sent_at_ms`.
    fn demand_retries_for(&mut self, ms: u64, instance: usize, sent_at_ms: u64) {
        let (now, instances) = (self.start + Duration::from_millis(ms), self.visible);
        self.limiters[instance].set_instances(now, instances);
        while self.limiters[instance].try_retry(now, "s").is_allowed {
            self.pending.push(PendingRetry { instance, sent_at_ms });
        }
        self.send_due_retries(ms);
    }

    fn send_due_retries(&mut self, ms: u64) {
        let now = self.start + Duration::from_millis(ms);
        for retry in self.pending.extract_if(.., |retry| retry.sent_at_ms <= ms) {
            self.limiters[retry.instance].retry_sent(now, "s");
            self.retries.push(ms);
        }
    }

    fn restart(&mut self, ms: u64, instance: usize) {
        let now = self.start + Duration::from_millis(ms);
        self.limiters[instance] = RetryLimiter::new(LIMIT, now);
    }

    /// Checks each window that begins with a retry.
    fn check(&self, history: &str) {
        let count = |times: &[u64], from: u64| {
            let before = |limit: u64| times.partition_point(|ms| ms + WINDOW_MS < limit);
            before(from + 2 * WINDOW_MS) - before(from + WINDOW_MS)
        };
        let requests = |from: u64, age: u64| match from.checked_sub(age) {
            Some(from) => count(&self.requests, from),
            None => self.requests.partition_point(|ms| ms + age < from + WINDOW_MS),
        };
        for from in &self.retries {
            let ages = [0, WINDOW_MS / 2, WINDOW_MS];
            let counted = ages.map(|age| requests(*from, age)).into_iter().max().unwrap_or(0);
            let allowed = LIMIT.ratio * counted as f64 + LIMIT.fixed;
            let retries = count(&self.retries, *from);
            assert!(
                retries as f64 <= allowed,
                "{history}: {retries} retries from {from} ms, {allowed} allowed"
            );
        }
    }
}

/// The best of three windows of each instance is not the best of their sum.
#[test]
fn retries_stay_within_the_limit_while_requests_move_between_instances() {
    // Requests go to the first instances until then, to the others afterwards.
    for (instances, moved_at_ms) in [(2, 20_000), (6, 20_000), (6, 15_000), (12, 20_000)] {
        for demanded_from_ms in [moved_at_ms - 2_000, moved_at_ms, moved_at_ms + 4_000] {
            let mut fleet = Fleet::new(instances);
            for ms in (0..60_000).step_by(STEP_MS as usize) {
                for instance in 0..instances {
                    let is_chosen = (instance < instances / 2) == (ms < moved_at_ms);
                    fleet.add_requests(ms, instance, if is_chosen { 2 } else { 0 });
                    if ms >= demanded_from_ms {
                        fleet.demand_retries(ms, instance);
                    }
                }
            }
            fleet.check(&format!("{instances} instances, requests move at {moved_at_ms} ms"));
        }
    }
}

/// An instance does not have again what its predecessor has used in the same window.
#[test]
fn retries_stay_within_the_limit_while_instances_start_again() {
    for (instances, life_ms) in [(6, 2_500), (6, 4_000), (3, 5_000), (12, 3_000)] {
        let mut fleet = Fleet::new(instances);
        for ms in (0..40_000).step_by(STEP_MS as usize) {
            for instance in 0..instances {
                if ms > 0 && (ms + instance as u64 * STEP_MS).is_multiple_of(life_ms) {
                    fleet.restart(ms, instance);
                }
                fleet.add_requests(ms, instance, usize::from(ms.is_multiple_of(200)));
                fleet.demand_retries(ms, instance);
            }
        }
        fleet.check(&format!("{instances} instances that live for {life_ms} ms"));
    }
}

/// A retry that waits for an endpoint arrives in a later window than the one that it was allowed in.
#[test]
fn retries_that_wait_before_they_are_sent_stay_within_the_limit() {
    const MAX_WAIT_MS: u64 = 640;
    for (instances, wait_until_ms) in [(40, 20_000), (40, 30_500), (12, 25_000)] {
        let mut fleet = Fleet::new(instances);
        for ms in (0..50_000).step_by(STEP_MS as usize) {
            let waits = (wait_until_ms - MAX_WAIT_MS..wait_until_ms).contains(&ms);
            let sent_at_ms = if waits { wait_until_ms } else { ms };
            for instance in 0..instances {
                fleet.add_requests(ms, instance, 2);
                fleet.demand_retries_for(ms, instance, sent_at_ms);
            }
        }
        fleet.check(&format!("{instances} instances, retries wait until {wait_until_ms} ms"));
    }
}

/// An instance that loses sight of others does not take their parts of the fixed number.
#[test]
fn retries_stay_within_the_limit_while_instances_do_not_see_each_other() {
    let mut fleet = Fleet::new(6);
    for ms in (0..60_000).step_by(STEP_MS as usize) {
        if ms == 20_000 {
            fleet.visible = 1;
        }
        for instance in 0..6 {
            fleet.add_requests(ms, instance, usize::from(ms.is_multiple_of(1_000)));
            fleet.demand_retries(ms, instance);
        }
    }
    fleet.check("each of 6 instances sees itself only");
}

/// Plays random bursts, moves of requests, pauses and starts.
#[test]
fn retries_stay_within_the_limit_in_random_histories() {
    for seed in 0..400 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let instances = rng.random_range(1..9);
        let mut fleet = Fleet::new(instances);
        let (mut weights, mut has_demand) = (vec![1; instances], true);
        for ms in (0..40_000).step_by(STEP_MS as usize) {
            let instance = rng.random_range(0..instances);
            match rng.random_range(0..400) {
                0 => weights[instance] = 0,
                1 => weights[instance] = rng.random_range(1..9),
                2 | 3 => fleet.restart(ms, instance),
                4 => has_demand = !has_demand,
                _ => {}
            }
            for (instance, weight) in weights.iter().enumerate() {
                fleet.add_requests(ms, instance, if rng.random_bool(0.3) { *weight } else { 0 });
                if has_demand {
                    fleet.demand_retries(ms, instance);
                }
            }
        }
        fleet.check(&format!("seed {seed}, {instances} instances"));
    }
}

/// Guards against a limit that is kept by denying what is allowed.
#[test]
fn most_of_the_ratio_is_used_under_steady_load() {
    let mut fleet = Fleet::new(6);
    for ms in (0..60_000).step_by(STEP_MS as usize) {
        for instance in 0..6 {
            fleet.add_requests(ms, instance, 1);
            fleet.demand_retries(ms, instance);
        }
    }
    let used = fleet.retries.iter().filter(|ms| **ms >= 20_000).count();
    let requests = fleet.requests.iter().filter(|ms| **ms >= 20_000).count();
    assert!(used as f64 >= 0.85 * LIMIT.ratio * requests as f64, "{used} for {requests}");
}
