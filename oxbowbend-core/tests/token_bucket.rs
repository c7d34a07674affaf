//! Token buckets of an instance that hears a part of the fleet.

use std::time::{Duration, Instant};

use oxbowbend_core::quota::QuotaPolicy;
use oxbowbend_core::routes::Quota;
use oxbowbend_core::token_bucket::TokenBuckets;

/// A full bucket has 100 units, and one is added in a second.
fn buckets() -> TokenBuckets {
    let policy = QuotaPolicy { window: Duration::from_secs(8), overage: 0.0, slack: 0.0 };
    let mut buckets = TokenBuckets::new(policy);
    buckets.configure([(&"a".into(), Quota { per_s: 1.0, burst: 100.0 })]);
    buckets
}

/// Units that are admitted at once.
fn use_up(buckets: &mut TokenBuckets, now: Instant) -> usize {
    (0..1000).take_while(|_| buckets.admit(now, "a", 1, 0).is_ok()).count()
}

/// The level was cut to half while the starting fleet was heard in part, and refilled by the account's rate only.
#[test]
fn a_bucket_is_full_again_when_the_fleet_is_heard() {
    let now = Instant::now();
    let mut buckets = buckets();
    buckets.record_remote(now, "a", 0.0);
    buckets.set_reachable_share(0.5);
    buckets.record_remote(now, "a", 0.0);
    buckets.set_reachable_share(1.0);
    assert_eq!(use_up(&mut buckets, now), 100);
    // The same where the first use falls into that time.
    let mut buckets = self::buckets();
    buckets.set_reachable_share(0.5);
    assert_eq!(use_up(&mut buckets, now), 50);
    buckets.set_reachable_share(1.0);
    assert_eq!(use_up(&mut buckets, now), 50);
}

#[test]
fn a_part_of_the_fleet_uses_its_part_however_the_share_changes() {
    let now = Instant::now();
    let mut buckets = buckets();
    buckets.set_reachable_share(0.5);
    assert_eq!(use_up(&mut buckets, now), 50);
    // What is withheld is not given out for want of units, and never twice.
    assert_eq!(use_up(&mut buckets, now), 0);
    buckets.set_reachable_share(0.25);
    assert_eq!(use_up(&mut buckets, now), 0);
    let mut used = 50;
    for share in [0.5, 0.25, 0.75, 0.5, 1.0, 0.5, 1.0] {
        buckets.set_reachable_share(share);
        used += use_up(&mut buckets, now);
        assert!(used as f64 <= 100.0, "{share}: {used}");
    }
    assert_eq!(used, 100);
    // What others have used is told when they are heard again.
    let mut buckets = self::buckets();
    buckets.set_reachable_share(0.5);
    assert_eq!(use_up(&mut buckets, now), 50);
    buckets.set_reachable_share(1.0);
    buckets.record_remote(now, "a", 50.0);
    assert_eq!(use_up(&mut buckets, now), 0);
    assert_eq!(use_up(&mut buckets, now + Duration::from_secs(3)), 3);
}
