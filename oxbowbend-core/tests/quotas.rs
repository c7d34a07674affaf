//! Quotas and repeats over a sliding window.

use std::time::{Duration, Instant};

use oxbowbend_core::quota::{QuotaBounds, Quotas};
use oxbowbend_core::repeats::{Allowance, Repeats};
use oxbowbend_core::routes::Quota;

const S: Duration = Duration::from_secs(1);
const BOUNDS: QuotaBounds =
    QuotaBounds { window: Duration::from_secs(8), overage: 0.1, slack: 100.0 };
/// 100 a second and a burst of 100: 900 in a window.
const QUOTA: Quota = Quota { per_s: 100.0, burst: 100.0 };

fn quotas(now: Instant) -> Quotas {
    let mut quotas = Quotas::new(BOUNDS);
    quotas.set(now, [(&"a".into(), QUOTA)]);
    quotas
}

fn admitted(quotas: &mut Quotas, now: Instant) -> u32 {
    (0..2000).filter(|_| quotas.admit(now, "a", 1).is_ok()).count() as u32
}

#[test]
fn a_window_never_holds_more_than_its_limit() {
    let start = Instant::now();
    let mut quotas = quotas(start);
    let mut times = Vec::new();
    for ms in (0..40_000).step_by(5) {
        let now = start + Duration::from_millis(ms);
        if quotas.admit(now, "a", 1).is_ok() {
            times.push(now);
        }
    }
    for t in &times {
        let n = times.iter().filter(|u| *u >= t && **u < *t + BOUNDS.window).count();
        assert!(n <= 900, "{n} in a window");
    }
    // Nearly all of what five windows allow is used.
    assert!(times.len() > 3700, "{}", times.len());
}

#[test]
fn a_start_assumes_a_part_to_be_used_up() {
    let start = Instant::now();
    let mut quotas = quotas(start);
    let first = admitted(&mut quotas, start);
    assert_eq!(first, 495);
    assert_eq!(admitted(&mut quotas, start + 9 * S), 900);
}

#[test]
fn what_others_admit_counts() {
    let start = Instant::now();
    let now = start + 9 * S;
    let mut quotas = quotas(start);
    quotas.draw(now, "a", 800.0);
    assert_eq!(admitted(&mut quotas, now), 100);
}

#[test]
fn a_fresh_instance_takes_the_word_of_another_one() {
    let start = Instant::now();
    let mut fresh = quotas(start);
    fresh.learn(start, "a", 850.0);
    assert_eq!(admitted(&mut fresh, start), 50);
    // One that has seen a whole window knows better.
    let mut old = quotas(start);
    old.learn(start + 9 * S, "a", 850.0);
    assert_eq!(admitted(&mut old, start + 9 * S), 900);
}

#[test]
fn the_sides_of_a_partition_stay_within_what_is_tolerated() {
    let start = Instant::now();
    let now = start + 9 * S;
    for sides in [[1.0 / 6.0, 5.0 / 6.0], [0.5, 0.5]] {
        let total: u32 = sides
            .iter()
            .map(|share| {
                let mut quotas = quotas(start);
                quotas.set_share(*share);
                admitted(&mut quotas, now)
            })
            .sum();
        assert!(total <= 1090, "{total}");
        assert!(total >= 890, "{total}");
    }
}

#[test]
fn units_of_a_request_that_did_not_run_return() {
    let start = Instant::now();
    let now = start + 9 * S;
    let mut quotas = quotas(start);
    assert!(quotas.admit(now, "a", 900).is_ok());
    assert!(quotas.admit(now, "a", 1).is_err());
    quotas.give_back("a", 900);
    assert!(quotas.admit(now, "a", 900).is_ok());
}

#[test]
fn a_refusal_tells_when_the_window_has_room() {
    let start = Instant::now();
    let now = start + 9 * S;
    let mut quotas = quotas(start);
    quotas.admit(now, "a", 900).expect("the window is empty");
    let wait = quotas.admit(now + S, "a", 1).expect_err("the window is full");
    assert!(wait > 7 * S && wait < 8 * S, "{wait:?}");
    assert!(quotas.admit(now + S + wait, "a", 1).is_ok());
}

#[test]
fn a_lower_quota_counts_what_was_used_before() {
    let start = Instant::now();
    let now = start + 9 * S;
    let mut quotas = quotas(start);
    quotas.admit(now, "a", 500).expect("the window is empty");
    quotas.set(now, [(&"a".into(), Quota { per_s: 50.0, burst: 50.0 })]);
    assert_eq!(admitted(&mut quotas, now), 0);
}

#[test]
fn an_account_without_a_quota_is_not_limited() {
    let now = Instant::now();
    assert!(quotas(now).admit(now, "b", 1 << 40).is_ok());
}

#[test]
fn repeats_keep_to_ratio_and_share() {
    let allowance = Allowance { ratio: 0.2, fixed: 50.0, window: 10 * S };
    let now = Instant::now();
    // Requests, instances, repeats allowed: 0.2 x requests + 0.7 x 50 / instances.
    for (requests, instances, allowed) in [(0, 1, 35), (0, 7, 5), (100, 7, 25), (10, 700, 2)] {
        let mut repeats = Repeats::new(allowance);
        (0..requests).for_each(|_| repeats.requested(now, "s"));
        let n = (0..500).filter(|_| repeats.repeat(now, "s", instances)).count();
        assert_eq!(n, allowed, "{requests} requests, {instances} instances");
        assert!(!repeats.repeat(now + 9 * S, "s", instances));
        assert!(repeats.repeat(now + 11 * S, "s", instances.min(30)));
    }
}
