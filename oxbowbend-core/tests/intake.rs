//! Limits on the new connections that an instance takes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use oxbowbend_core::intake::{Bottleneck, Intake, Totals};

const TICK: Duration = Duration::from_millis(25);
/// A link of 10 Mbit/s.
const LINK: u64 = 1_250_000;
/// Bytes of a request that pass in each direction.
const REQUEST: u64 = 6_000;
/// Ticks from the start of a connection until its bytes have passed.
const DELAY: usize = 4;

/// What came of a replay.
#[derive(Debug, Default)]
struct Replay {
    taken: u64,
    closed: u64,
    /// Largest bytes per second in any half second that begins after the first one.
    max_per_s: u64,
    limited_at_end: bool,
}

/// Sends `per_s` connections a second for `load`, and a fifth of that afterwards.
fn replay(link: Option<u64>, per_s: f64, load: Duration, length: Duration) -> Replay {
    let start = Instant::now();
    let mut intake = Intake::new(start, link);
    let (mut totals, mut replay) = (Totals::default(), Replay::default());
    let mut passing: VecDeque<u64> = VecDeque::from(vec![0; DELAY]);
    let (mut due, mut budget, mut window) = (0.0, 0.0, VecDeque::new());
    for n in 1..=(length.as_millis() / TICK.as_millis()) as u32 {
        let rate = if TICK * n <= load { per_s } else { per_s / 5.0 };
        due += rate * TICK.as_secs_f64();
        let coming = due as u64;
        due -= coming as f64;
        budget = match intake.limit_per_s() {
            Some(limit) => (budget + limit * TICK.as_secs_f64()).min(2.0 + limit),
            None => f64::MAX,
        };
        let taken = coming.min(budget as u64);
        budget -= taken as f64;
        totals.taken += taken;
        totals.closed += coming - taken;
        passing.push_back(taken * REQUEST);
        let bytes = passing.pop_front().unwrap_or(0);
        (totals.received, totals.sent) = (totals.received + bytes, totals.sent + bytes);
        window.push_back(bytes);
        if window.len() > 20 {
            window.pop_front();
        }
        if n > 40 {
            replay.max_per_s = replay.max_per_s.max(window.iter().sum::<u64>() * 2);
        }
        intake.update(start + TICK * n, Duration::ZERO, totals);
    }
    (replay.taken, replay.closed) = (totals.taken, totals.closed);
    replay.limited_at_end = intake.limit_per_s().is_some();
    replay
}

/// An instance that reads more than its link bears answers nothing in time.
#[test]
fn connections_beyond_the_link_are_closed_unread() {
    let (load, length) = (Duration::from_secs(6), Duration::from_secs(9));
    // 400 a second are 2.4 MB/s, twice the link.
    let replay = replay(Some(LINK), 400.0, load, length);
    println!("{replay:?}");
    assert!(replay.max_per_s <= LINK, "{replay:?}");
    // Most of what the link bears is used: half of it at least.
    let bearable = LINK / REQUEST * load.as_secs();
    assert!(replay.taken >= bearable / 2, "{replay:?}");
    assert!(!replay.limited_at_end, "the limit outlasts the load: {replay:?}");
}

/// What the link bears is not refused, nor anything where its bandwidth is not known.
#[test]
fn nothing_is_closed_within_the_bandwidth_or_without_a_known_one() {
    let (load, length) = (Duration::from_secs(4), Duration::from_secs(5));
    assert_eq!(replay(Some(LINK), 120.0, load, length).closed, 0);
    assert_eq!(replay(None, 4000.0, load, length).closed, 0);
}

/// Timers of a busy processor are late all the time; one late timer after a suspension says nothing.
#[test]
fn a_busy_processor_limits_and_one_suspension_does_not() {
    let start = Instant::now();
    let late = |delays: &[u64]| {
        let mut intake = Intake::new(start, None);
        let updates = delays.iter().zip(1..).map(|(delay, n)| {
            let delay = Duration::from_millis(*delay);
            intake.update(
                start + TICK * n,
                delay,
                Totals { taken: u64::from(n), ..Totals::default() },
            )
        });
        updates.flatten().next().and_then(|change| change.bottleneck)
    };
    assert_eq!(late(&[90; 12]), Some(Bottleneck::Processor));
    assert_eq!(late(&[1, 1, 8000, 1, 1, 1]), None);
    // A share of the processor that is enforced every 100 ms delays some timers by nearly as much.
    assert_eq!(late(&[88, 60, 35, 10, 88, 60, 35, 10, 88, 60, 35, 10]), None);
}
