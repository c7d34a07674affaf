//! Property tests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use oxbowbend_core::budget::{CircuitBreaker, RetryBudget};
use oxbowbend_core::cache::{PrefixCache, BLOCK_TOKENS};
use oxbowbend_core::membership::pick;
use oxbowbend_core::message::{RunOutcome, RunReport};
use oxbowbend_core::queue::{Queue, QueuedRequest};
use oxbowbend_core::speed::SpeedEstimate;

use quickcheck::{quickcheck, TestResult};

fn queued_request(n: usize, account: u8, tier: u8, work: u16) -> QueuedRequest {
    QueuedRequest {
        id: format!("r{n}").as_str().into(),
        account: format!("a{}", account % 5).as_str().into(),
        tier: tier % 3,
        weight: 1,
        work: u64::from(work) + 1,
    }
}

fn fill(input: &[(u8, u8, u16)]) -> Queue {
    let mut queue = Queue::default();
    for (n, (account, tier, work)) in input.iter().enumerate() {
        queue.push(queued_request(n, *account, *tier, *work));
    }
    queue
}

quickcheck! {
    /// Every queued request is served once, in order of tiers.
    fn the_queue_serves_all_by_tier(input: Vec<(u8, u8, u16)>) -> bool {
        let mut queue = fill(&input);
        let mut served = Vec::new();
        while let Some(next) = queue.peek(|_| true).cloned() {
            served.push(next.tier);
            queue.serve(&next.id);
        }
        served.len() == input.len() && served.windows(2).all(|w| w[0] <= w[1]) && queue.is_empty()
    }

    /// The victim is always of the lowest waiting tier, and shedding ends with an empty queue.
    fn the_queue_sheds_the_lowest_tier_first(input: Vec<(u8, u8, u16)>) -> bool {
        let mut queue = fill(&input);
        let mut last = u8::MAX;
        while let Some(victim) = queue.victim().cloned() {
            if victim.tier > last || queue.waiting_tiers().last() != Some(&victim.tier) {
                return false;
            }
            last = victim.tier;
            queue.remove(&victim.id);
        }
        queue.is_empty() && queue.work_at_or_above(u8::MAX) == 0
    }

    /// Two accounts with waiting requests are served the same work, up to one request of each.
    fn accounts_share_by_work(one: Vec<u16>, two: Vec<u16>) -> TestResult {
        if one.is_empty() || two.is_empty() {
            return TestResult::discard();
        }
        let both = one.iter().map(|w| (0, 0, *w)).chain(two.iter().map(|w| (1, 0, *w)));
        let mut queue = fill(&both.collect::<Vec<_>>());
        let largest = u64::from(*one.iter().chain(&two).max().expect("there are requests")) + 1;
        let mut served: BTreeMap<String, u64> = BTreeMap::new();
        let mut left = [one.len(), two.len()];
        while left.iter().all(|n| *n > 0) {
            let next = queue.peek(|_| true).cloned().expect("both accounts have waiting requests");
            queue.serve(&next.id);
            *served.entry(next.account.to_string()).or_default() += next.work;
            left[usize::from(&*next.account == "a1")] -= 1;
            let work = |a: &str| served.get(a).copied().unwrap_or(0);
            if work("a0").abs_diff(work("a1")) > 2 * largest {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }

    /// A cache reports no more tokens than the prompt has.
    fn a_cache_reports_at_most_the_prompt(prompts: Vec<Vec<u64>>, blocks: u8) -> bool {
        let capacity = u64::from(blocks) * u64::from(BLOCK_TOKENS);
        let mut cache = PrefixCache::new(capacity);
        prompts.iter().all(|prompt| {
            cache.insert(prompt);
            let cached = u64::from(cache.cached_tokens(prompt));
            let length = prompt.len() as u64 * u64::from(BLOCK_TOKENS);
            cached <= length
        })
    }

    /// Removing a member moves only the keys that it was picked for.
    fn rendezvous_moves_only_keys_of_the_removed_member(keys: Vec<String>, gone: u8) -> bool {
        let members: Vec<String> = (0..7).map(|n| format!("m{n}")).collect();
        let gone = &members[usize::from(gone) % members.len()];
        keys.iter().all(|key| {
            let before = pick(members.iter().map(String::as_str), key);
            let rest = members.iter().filter(|m| *m != gone).map(String::as_str);
            before == Some(gone.as_str()) || pick(rest, key) == before
        })
    }

    /// Retries are limited to a tenth of the first attempts plus the initial budget.
    fn retries_stay_within_their_budget(asked: Vec<bool>) -> bool {
        let mut budget = RetryBudget::default();
        let (mut first, mut retries) = (0, 0);
        for retry in asked {
            if retry {
                retries += usize::from(budget.try_withdraw());
            } else {
                budget.deposit();
                first += 1;
            }
        }
        retries <= 20 + first / 10 + 1
    }

    /// An open breaker allows a request after a bounded time.
    fn a_breaker_opens_for_a_bounded_time(failures: u8) -> bool {
        let now = Instant::now();
        let mut breaker = CircuitBreaker::default();
        (0..failures).for_each(|_| breaker.record_failure(now));
        breaker.allows(now + Duration::from_secs(16))
    }

    /// Predictions are finite and not negative for any reports.
    fn predictions_stay_finite(reports: Vec<(u16, u16, u16, u16)>) -> bool {
        let now = Instant::now();
        let mut speed = SpeedEstimate::new(1000.0, 10.0);
        for (first, total, prompt, output) in reports {
            let report = RunReport {
                outcome: RunOutcome::Complete,
                first_token_ms: (first % 7 != 0).then_some(u64::from(first)),
                total_ms: u64::from(total),
                prompt_tokens: u32::from(prompt),
                cached_tokens: u32::from(prompt / 2),
                output_tokens: u32::from(output),
            };
            speed.record_run(now, &report);
        }
        let seconds = speed.predict_seconds(100, 10);
        seconds.is_finite() && seconds >= 0.0
    }
}
