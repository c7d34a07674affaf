//! Whose parts of a quota instances use while the fleet is cut apart.

mod cells;

use std::time::{Duration, Instant};

use cells::{cell, MS};
use oxbowbend_core::cell::{Cell, Extent, Reach};
use oxbowbend_core::quota::{QuotaPolicy, Quotas};
use oxbowbend_core::routes::Quota;

const INSTANCES: usize = 5;
const BOUNDS: QuotaPolicy =
    QuotaPolicy { window: Duration::from_secs(8), overage: 0.0, slack: 0.0 };
/// 1,000 in a window.
const QUOTA: Quota = Quota { per_s: 0.0, burst: 1000.0 };

/// Which pairs of instances hear each other, one bit each.
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

/// What each instance hears after a second of beats over these links.
fn reaches(links: Links) -> Vec<Reach> {
    let start = Instant::now();
    let mut cells: Vec<Cell> = (0..INSTANCES).map(|n| cell(&format!("i{n}"), &[])).collect();
    let mut reaches = Vec::new();
    for beat in 0..8 {
        let now = start + 130 * MS * beat;
        let reports: Vec<_> = cells.iter_mut().map(|c| c.report(now, Extent::Changes)).collect();
        for (at, cell) in cells.iter_mut().enumerate() {
            for (from, report) in reports.iter().enumerate() {
                if links.are_linked(at, from) {
                    cell.hear(now, report.clone(), true);
                }
            }
        }
        reaches = cells.iter_mut().map(|c| c.measure_reach(now, |_| true)).collect();
    }
    reaches
}

/// What all instances admit together, each as much as it may, from this one on.
fn admitted(links: Links, reaches: &[Reach], first: usize) -> u64 {
    let now = Instant::now();
    let mut quotas: Vec<Quotas> = reaches
        .iter()
        .map(|reach| {
            let mut quotas = Quotas::new(BOUNDS);
            quotas.configure([(&"a".into(), QUOTA)]);
            quotas.set_reachable_share((reach.covered + 1) as f64 / INSTANCES as f64);
            quotas
        })
        .collect();
    let mut sum = 0;
    for at in (0..INSTANCES).map(|n| (first + n) % INSTANCES) {
        let mine = (0..200).filter(|_| quotas[at].admit(now, "a", 10).is_ok()).count() as u64 * 10;
        sum += mine;
        for other in (0..INSTANCES).filter(|other| links.are_linked(at, *other)) {
            quotas[other].record_remote(now, "a", mine as f64, true);
        }
    }
    sum
}

/// Two accounts flooded while one of six instances was cut off from three of the others, and the two between
/// them admitted next to nothing: the sides used 5 and 3 sixths of the quota.
#[test]
fn no_cut_lets_a_quota_be_passed() {
    for links in Links::all() {
        let reaches = reaches(links);
        for first in 0..INSTANCES {
            let sum = admitted(links, &reaches, first);
            assert!(sum <= 1000, "{sum} of 1,000 over links {:010b} from {first}", links.0);
        }
    }
}

#[test]
fn sides_that_do_not_hear_each_other_use_their_parts() {
    // Instances 0 and 1 hear each other, and so do 2 to 4.
    let links = Links(0b1100100001);
    let parts: Vec<_> = reaches(links).into_iter().map(|r| (r.heard, r.covered)).collect();
    assert_eq!(parts, [(1, 1), (1, 1), (2, 2), (2, 2), (2, 2)]);
    let whole = Links((1 << 10) - 1);
    assert!(reaches(whole).iter().all(|r| *r == Reach { heard: 4, covered: 4 }));
}

#[test]
fn one_that_has_just_heard_of_an_instance_takes_nothing_away_yet() {
    let now = Instant::now();
    let (mut a, mut b, mut c) = (cell("a", &[]), cell("b", &[]), cell("c", &[]));
    // `b` hears `c`, and `a` hears `b` alone.
    b.hear(now, c.report(now, Extent::Full), true);
    a.hear(now, b.report(now, Extent::Full), true);
    b.measure_reach(now, |_| true);
    assert_eq!(a.measure_reach(now, |_| true), Reach { heard: 1, covered: 1 });
    a.hear(now, b.report(now, Extent::Full), true);
    let heard = |covered| Reach { heard: 1, covered };
    assert_eq!(a.measure_reach(now, |_| true), heard(1));
    assert_eq!(a.measure_reach(now + 399 * MS, |_| true), heard(1));
    assert_eq!(a.measure_reach(now + 400 * MS, |_| true), heard(0));
    a.hear(now + 400 * MS, c.report(now, Extent::Full), true);
    assert_eq!(a.measure_reach(now + 400 * MS, |_| true), Reach { heard: 2, covered: 2 });
}
