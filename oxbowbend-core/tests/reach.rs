//! Quota shares that instances use during network partitions.

mod cells;

use std::time::{Duration, Instant};

use cells::{cell, MS};
use oxbowbend_core::cell::{Cell, Reachability, ReportDetail};
use oxbowbend_core::quota::{QuotaPolicy, Quotas};
use oxbowbend_core::routes::Quota;

const INSTANCES: usize = 5;
const BOUNDS: QuotaPolicy =
    QuotaPolicy { window: Duration::from_secs(8), overage: 0.0, slack: 0.0 };
/// 1,000 units per window.
const QUOTA: Quota = Quota { per_s: 0.0, burst: 1000.0 };

/// The pairs of instances that can reach each other, one bit per pair.
#[derive(Clone, Copy)]
struct Links(u32);

impl Links {
    fn all() -> impl Iterator<Item = Links> {
        (0..1 << (INSTANCES * (INSTANCES - 1) / 2)).map(Links)
    }

    fn are_linked(self, a: usize, b: usize) -> bool {
        let (a, b) = (a.min(b), a.max(b));
        a != b && self.0 >> (b * (b - 1) / 2 + a) & 1 == 1
    }
}

/// Reachability at each instance after a second of heartbeats over these links.
fn reachabilities(links: Links) -> Vec<Reachability> {
    let start = Instant::now();
    let mut cells: Vec<Cell> = (0..INSTANCES).map(|n| cell(&format!("i{n}"), &[])).collect();
    let mut reachabilities = Vec::new();
    for heartbeat in 0..8 {
        let now = start + 130 * MS * heartbeat;
        let reports: Vec<_> =
            cells.iter_mut().map(|c| c.report(now, ReportDetail::Changes)).collect();
        for (to, cell) in cells.iter_mut().enumerate() {
            for (from, report) in reports.iter().enumerate() {
                if links.are_linked(to, from) {
                    cell.receive_report(now, report.clone(), true);
                }
            }
        }
        reachabilities = cells.iter_mut().map(|c| c.update_reachability(now, |_| true)).collect();
    }
    reachabilities
}

/// Units admitted by all instances, one after the other from `first` on, each as many as it may.
fn total_admitted(links: Links, reachabilities: &[Reachability], first: usize) -> u64 {
    let now = Instant::now();
    let mut quotas: Vec<Quotas> = reachabilities
        .iter()
        .map(|reachability| {
            let mut quotas = Quotas::new(BOUNDS);
            quotas.configure([(&"a".into(), QUOTA)]);
            quotas.set_reachable_share((reachability.covered + 1) as f64 / INSTANCES as f64);
            quotas
        })
        .collect();
    let mut sum = 0;
    for at in (0..INSTANCES).map(|n| (first + n) % INSTANCES) {
        let units = (0..200).filter(|_| quotas[at].admit(now, "a", 10).is_ok()).count() as u64 * 10;
        sum += units;
        for other in (0..INSTANCES).filter(|other| links.are_linked(at, *other)) {
            quotas[other].record_remote(now, "a", units as f64, true);
        }
    }
    sum
}

/// An instance that is reachable from both sides of a partition let both of them use its share.
#[test]
fn no_partition_exceeds_a_quota() {
    for links in Links::all() {
        let reachabilities = reachabilities(links);
        for first in 0..INSTANCES {
            let sum = total_admitted(links, &reachabilities, first);
            assert!(
                sum <= 1000,
                "{sum} of 1,000 units admitted over links {:010b}, starting at instance {first}",
                links.0
            );
        }
    }
}

#[test]
fn sides_of_a_partition_use_their_own_shares() {
    // Instances 0 and 1 are connected, and so are 2 to 4.
    let links = Links(0b1100100001);
    let counts: Vec<_> =
        reachabilities(links).into_iter().map(|r| (r.reachable, r.covered)).collect();
    assert_eq!(counts, [(1, 1), (1, 1), (2, 2), (2, 2), (2, 2)]);
    let connected = Links((1 << 10) - 1);
    assert!(reachabilities(connected)
        .iter()
        .all(|r| *r == Reachability { reachable: 4, covered: 4 }));
}

#[test]
fn a_peer_is_uncovered_only_after_a_delay() {
    let now = Instant::now();
    let (mut a, mut b, mut c) = (cell("a", &[]), cell("b", &[]), cell("c", &[]));
    // `b` reaches `c`, and `a` reaches only `b`.
    b.receive_report(now, c.report(now, ReportDetail::Full), true);
    a.receive_report(now, b.report(now, ReportDetail::Full), true);
    b.update_reachability(now, |_| true);
    assert_eq!(a.update_reachability(now, |_| true), Reachability { reachable: 1, covered: 1 });
    a.receive_report(now, b.report(now, ReportDetail::Full), true);
    let one_reachable = |covered| Reachability { reachable: 1, covered };
    assert_eq!(a.update_reachability(now, |_| true), one_reachable(1));
    assert_eq!(a.update_reachability(now + 399 * MS, |_| true), one_reachable(1));
    assert_eq!(a.update_reachability(now + 400 * MS, |_| true), one_reachable(0));
    a.receive_report(now + 400 * MS, c.report(now, ReportDetail::Full), true);
    assert_eq!(
        a.update_reachability(now + 400 * MS, |_| true),
        Reachability { reachable: 2, covered: 2 }
    );
}
