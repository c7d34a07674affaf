//! Quotas and retry limits over a sliding window.

use std::time::{Duration, Instant};

use oxbowbend_core::quota::{QuotaPolicy, Quotas, SnapshotAge};
use oxbowbend_core::retries::{RetryLimit, RetryLimiter};
use oxbowbend_core::routes::Quota;

const S: Duration = Duration::from_secs(1);
const POLICY: QuotaPolicy =
    QuotaPolicy { window: Duration::from_secs(8), overage: 0.1, slack: 100.0 };
/// 900 units per window.
const QUOTA: Quota = Quota { per_s: 100.0, burst: 100.0 };

fn quotas() -> Quotas {
    let mut quotas = Quotas::new(POLICY);
    quotas.configure([(&"a".into(), QUOTA)]);
    quotas
}

/// Sends a retry at once if it is allowed.
fn retry(retry_limiter: &mut RetryLimiter, now: Instant, instances: usize) -> bool {
    retry_limiter.set_instances(now, instances);
    let is_allowed = retry_limiter.try_retry(now, "s").is_allowed;
    if is_allowed {
        retry_limiter.retry_sent(now, "s");
    }
    is_allowed
}

fn admitted(quotas: &mut Quotas, now: Instant) -> u32 {
    (0..2000).filter(|_| quotas.admit(now, "a", 1).is_ok()).count() as u32
}

#[test]
fn a_window_never_holds_more_than_its_limit() {
    let start = Instant::now();
    let mut quotas = quotas();
    let mut times = Vec::new();
    for ms in (0..40_000).step_by(5) {
        let now = start + Duration::from_millis(ms);
        if quotas.admit(now, "a", 1).is_ok() {
            times.push(now);
        }
    }
    for t in &times {
        let n = times.iter().filter(|u| *u >= t && **u < *t + POLICY.window).count();
        // 900 plus 0.6 of the overage of 90 + 100.
        assert!(n <= 1014, "{n} in a window");
    }
    // Nearly all of the limit of five windows is used.
    assert!(times.len() > 4300, "{}", times.len());
}

#[test]
fn a_restart_resumes_from_the_snapshot() {
    let now = Instant::now() + 20 * S;
    for (window, room) in [
        (vec![], 1014),
        (vec![0, 500], 514),
        // Usage since the snapshot is assumed to be 0.6 of the snapshot's last second.
        (vec![100, 400], 454),
        (vec![1000, 14], 0),
    ] {
        let mut restarted = quotas();
        restarted.restore(now, "a", &window, SnapshotAge::Fresh);
        assert_eq!(admitted(&mut restarted, now), room, "{window:?}");
    }
    let mut restarted = quotas();
    restarted.restore(now, "a", &[0, 0, 0, 0, 0, 0, 0, 1014], SnapshotAge::Fresh);
    assert_eq!(admitted(&mut restarted, now), 0);
    assert_eq!(admitted(&mut restarted, now + 2 * S), 1014);
}

#[test]
fn remote_usage_is_counted() {
    let start = Instant::now();
    let now = start + 9 * S;
    let mut quotas = quotas();
    quotas.record_remote(now, "a", 800.0, true);
    assert_eq!(admitted(&mut quotas, now), 214);
}

#[test]
fn the_sides_of_a_partition_together_stay_within_the_overage() {
    let start = Instant::now();
    let now = start + 9 * S;
    for sides in [[1.0 / 6.0, 5.0 / 6.0], [0.5, 0.5]] {
        let total: u32 = sides
            .iter()
            .map(|share| {
                let mut quotas = quotas();
                quotas.set_reachable_share(*share);
                admitted(&mut quotas, now)
            })
            .sum();
        assert!(total <= 1090, "{total}");
        assert!(total >= 890, "{total}");
    }
}

#[test]
fn units_of_a_request_that_did_not_run_are_refunded() {
    let start = Instant::now();
    let now = start + 9 * S;
    let mut quotas = quotas();
    assert!(quotas.admit(now, "a", 1014).is_ok());
    assert!(quotas.admit(now, "a", 1).is_err());
    quotas.refund("a", 1014);
    assert!(quotas.admit(now, "a", 1014).is_ok());
}

#[test]
fn a_refusal_reports_when_the_window_has_room() {
    let start = Instant::now();
    let now = start + 9 * S;
    let mut quotas = quotas();
    quotas.admit(now, "a", 1014).expect("the window is empty");
    let wait = quotas.admit(now + S, "a", 1).expect_err("the window is full");
    assert!(wait > 7 * S && wait < 8 * S, "{wait:?}");
    assert!(quotas.admit(now + S + wait, "a", 1).is_ok());
}

#[test]
fn a_lower_quota_counts_what_was_used_before() {
    let start = Instant::now();
    let now = start + 9 * S;
    let mut quotas = quotas();
    quotas.admit(now, "a", 700).expect("the window is empty");
    quotas.configure([(&"a".into(), Quota { per_s: 50.0, burst: 50.0 })]);
    assert_eq!(admitted(&mut quotas, now), 0);
}

#[test]
fn an_account_without_a_quota_is_not_limited() {
    let now = Instant::now();
    assert!(quotas().admit(now, "b", 1 << 40).is_ok());
}

#[test]
fn retries_stay_within_the_ratio_and_the_fixed_share() {
    let limit = RetryLimit { ratio: 0.2, fixed: 50.0, window: 10 * S };
    let start = Instant::now();
    let now = start + limit.window;
    // Requests, instances, allowed retries: 0.2 x requests / 2 + 0.4 x 50 / instances. Requests of a
    // moment are in one of the two windows whose mean counts.
    for (requests, instances, allowed) in [(0, 1, 20), (0, 7, 2), (100, 7, 12), (10, 700, 1)] {
        let mut retry_limiter = RetryLimiter::new(limit, start);
        (0..requests).for_each(|_| retry_limiter.record_request(now, "s"));
        let n = (0..500).filter(|_| retry(&mut retry_limiter, now, instances)).count();
        assert_eq!(n, allowed, "{requests} requests, {instances} instances");
        assert!(!retry(&mut retry_limiter, now + 9 * S, instances));
        // A part of less than one retry is none.
        assert_eq!(retry(&mut retry_limiter, now + 11 * S, instances), instances <= 20);
    }
}

#[test]
fn retries_after_a_start_stay_within_a_smaller_share() {
    let limit = RetryLimit { ratio: 0.2, fixed: 50.0, window: 10 * S };
    let start = Instant::now();
    // Requests, instances, allowed retries: 0.2 x requests / 2 + 0.12 x 50 / instances.
    for (requests, instances, allowed) in [(0, 1, 6), (0, 7, 0), (100, 7, 10), (10, 700, 1)] {
        let mut retry_limiter = RetryLimiter::new(limit, start);
        (0..requests).for_each(|_| retry_limiter.record_request(start, "s"));
        let mut is_allowed = |now| retry(&mut retry_limiter, now, instances);
        let n = (0..500).filter(|_| is_allowed(start)).count();
        assert_eq!(n, allowed, "{requests} requests, {instances} instances");
        assert!(!is_allowed(start + 9 * S));
    }
}

/// Guards against exceeding the limit in later windows, which contain the same burst of retries but
/// fewer requests.
#[test]
fn retries_after_a_peak_stay_within_every_window() {
    const MS: Duration = Duration::from_millis(1);
    let limit = RetryLimit { ratio: 0.2, fixed: 50.0, window: 10 * S };
    // Requests per second until 20 s, for the next 10 s, and after that.
    for (before, peak, after) in [(160, 200, 140), (100, 200, 100), (100, 100, 50), (200, 200, 200)]
    {
        let start = Instant::now();
        let mut retry_limiter = RetryLimiter::new(limit, start);
        let (mut requests_sent, mut retries) = (Vec::new(), Vec::new());
        for ms in 0..60_000_u32 {
            let now = start + MS * ms;
            let rate = if ms < 20_000 {
                before
            } else if ms < 30_000 {
                peak
            } else {
                after
            };
            if ms * rate / 1000 != (ms + 1) * rate / 1000 {
                retry_limiter.record_request(now, "s");
                requests_sent.push(ms);
            }
            // From the middle of the peak on, more retries are attempted than allowed.
            if ms >= 25_000 && retry(&mut retry_limiter, now, 1) {
                retries.push(ms);
            }
        }
        let count = |times: &[u32], from: u32| {
            times.partition_point(|t| *t < from + 10_000) - times.partition_point(|t| *t < from)
        };
        for from in (10_000..50_000).step_by(50) {
            let requests =
                [from, from - 5_000, from - 10_000].map(|from| count(&requests_sent, from));
            let allowed = 0.2 * requests.into_iter().max().unwrap_or(0) as f64 + 50.0;
            let n = count(&retries, from);
            assert!(n as f64 <= allowed, "{n} from {from} ms, {allowed} allowed; peak {peak}");
        }
        // At least 0.8 of the ratio is used.
        let since = requests_sent.iter().filter(|ms| **ms >= 25_000).count();
        assert!(retries.len() as f64 > 0.16 * since as f64, "{} for {since}", retries.len());
    }
}

#[test]
fn a_restart_of_the_whole_fleet_stays_within_the_overage() {
    let start = Instant::now();
    let now = start + 9 * S;
    // Units per second, and units used before that.
    for (rate, before) in [(55, 0), (55, 500), (100, 400), (400, 0), (400, 500), (400, 900)] {
        let mut old = quotas();
        let mut used = (0..before).filter(|_| old.admit(now, "a", 1).is_ok()).count();
        let mut snapshot = Vec::new();
        for ms in (0..2500).step_by(5) {
            let at = now + Duration::from_millis(ms);
            if ms % 400 == 0 {
                snapshot = old.window_usage(at);
            }
            let units = rate * ms / 1000 - rate * ms.saturating_sub(5) / 1000;
            used += (0..units).filter(|_| old.admit(at, "a", 1).is_ok()).count();
        }
        let back = now + 3 * S;
        let mut restarted = quotas();
        snapshot.iter().for_each(|(account, window)| {
            restarted.restore(back, account, window, SnapshotAge::Fresh)
        });
        let total = used as u32 + admitted(&mut restarted, back);
        assert!(total <= 1090, "{rate} per second after {before}: {total} in total");
        // Only the estimated usage since the snapshot is withheld.
        assert!(total >= 900, "{rate} per second after {before}: {total} in total");
    }
}

/// Guards against instances that together exceed a limit between two of their reports.
#[test]
fn an_account_is_near_its_limit_before_it_is_refused() {
    let now = Instant::now();
    let mut quotas = quotas();
    quotas.admit(now, "a", 540).expect("room");
    assert!(!quotas.is_near_limit());
    quotas.admit(now, "a", 1).expect("room");
    assert!(quotas.is_near_limit());
    // With a smaller reachable share, the threshold is lower.
    let mut alone = Quotas::new(POLICY);
    alone.configure([(&"a".into(), QUOTA)]);
    alone.set_reachable_share(0.5);
    alone.admit(now, "a", 271).expect("room");
    assert!(alone.is_near_limit());
}

/// The restored usage is that of the whole fleet and must not be subtracted from one instance's
/// share alone.
#[test]
fn a_restart_without_peers_gets_its_share_of_the_remainder() {
    let now = Instant::now() + 20 * S;
    for (instances, snapshot, room) in
        [(10.0, 0, 101), (10.0, 514, 50), (2.0, 514, 250), (10.0, 1014, 0)]
    {
        let mut restarted = quotas();
        restarted.restore(now, "a", &[0, snapshot], SnapshotAge::Fresh);
        restarted.set_reachable_share(1.0 / instances);
        assert_eq!(
            admitted(&mut restarted, now),
            room,
            "{instances} instances, {snapshot} units restored"
        );
    }
}

#[test]
fn cell_totals_exclude_other_cells() {
    let now = Instant::now();
    let mut quotas = quotas();
    quotas.admit(now, "a", 5).expect("room");
    quotas.record_remote(now, "a", 30.0, true);
    quotas.record_remote(now, "a", 700.0, false);
    let reported = |spent: Option<(&oxbowbend_core::ids::AccountId, u64)>| spent.map(|(_, n)| n);
    assert_eq!(reported(quotas.local_totals().next()), Some(5));
    assert_eq!(reported(quotas.cell_totals().next()), Some(35));
    assert_eq!(admitted(&mut quotas, now), 1014 - 735);
}

#[test]
fn a_restart_without_a_snapshot_resumes_from_a_peer() {
    let quota = Quota { per_s: 100.0, burst: 0.0 };
    let policy = QuotaPolicy { window: Duration::from_secs(8), overage: 0.0, slack: 0.0 };
    let account = "a".into();
    let restarted = || {
        let mut quotas = Quotas::new(policy);
        quotas.configure([(&account, quota)]);
        quotas
    };
    // Window reported by the peer, units admitted locally and remotely before, remaining units.
    let cases: [(&[u64], u64, f64, u64); 6] = [
        (&[], 0, 0.0, 800),
        (&[800], 0, 0.0, 0),
        (&[100, 200, 300], 0, 0.0, 200),
        // The report includes the units admitted since the start.
        (&[100, 200, 300], 50, 30.0, 200),
        (&[10, 200], 50, 30.0, 590),
        (&[10], 50, 30.0, 720),
    ];
    for (reported, admitted, heard, left) in cases {
        let (mut quotas, now) = (restarted(), Instant::now());
        assert_eq!(quotas.admit(now, "a", admitted), Ok(()));
        quotas.record_remote(now, "a", heard, true);
        quotas.restore_from_peer(now, "a", reported);
        quotas.restore_from_peer(now, "a", reported);
        assert!(quotas.admit(now, "a", left + 1).is_err(), "{reported:?}");
        assert_eq!(quotas.admit(now, "a", left), Ok(()), "{reported:?}");
        // All of it leaves the window.
        assert_eq!(
            quotas.admit(now + Duration::from_millis(8300), "a", 800),
            Ok(()),
            "{reported:?}"
        );
    }
}
