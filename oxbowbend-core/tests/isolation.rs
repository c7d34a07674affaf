//! When an instance believes that it has lost its path to all endpoints.

use std::time::{Duration, Instant};

use oxbowbend_core::isolation::{IsolationDetector, PathFailure, PathVerdict, ProbeRound};

const MS: Duration = Duration::from_millis(1);
const NONE: ProbeRound = ProbeRound { reached: 0, failed: 2 };
const ALL: ProbeRound = ProbeRound { reached: 2, failed: 0 };
const PART: ProbeRound = ProbeRound { reached: 1, failed: 1 };

#[test]
fn a_failure_is_the_endpoints_only_if_the_path_is_known_to_work() {
    use PathFailure::{Connect, Response};
    use PathVerdict::{Connected, Unknown};
    // Time since the last new connection and the last response, the failure, what it means.
    for (connected, responded, failure, verdict) in [
        (None, None, Connect, Unknown),
        (None, None, Response, Unknown),
        (Some(199), None, Connect, Connected),
        (Some(200), None, Connect, Unknown),
        (Some(199), None, Response, Connected),
        (None, Some(0), Connect, Unknown),
        (None, Some(199), Response, Connected),
        (None, Some(200), Response, Unknown),
    ] {
        let (start, mut detector) = (Instant::now(), IsolationDetector::default());
        let now = start + 1000 * MS;
        if let Some(ms) = connected {
            detector.record_connect(now - ms * MS);
        }
        if let Some(ms) = responded {
            detector.record_response(now - ms * MS);
        }
        let case = format!("{connected:?} {responded:?} {failure:?}");
        assert_eq!(detector.verdict(now, failure), verdict, "{case}");
    }
}

#[test]
fn rounds_of_probes_decide() {
    // Whether isolated before, the round, whether isolated after.
    for (before, round, after) in [
        (false, ALL, false),
        (false, PART, false),
        (false, NONE, true),
        (false, ProbeRound::default(), false),
        (true, ALL, false),
        (true, PART, true),
        (true, NONE, true),
        (true, ProbeRound::default(), true),
    ] {
        let (now, mut detector) = (Instant::now(), IsolationDetector::default());
        if before {
            detector.start_round(now);
            detector.finish_round(now, NONE);
        }
        detector.start_round(now + 500 * MS);
        let change = detector.finish_round(now + 600 * MS, round);
        assert_eq!(detector.is_isolated(), after, "{before} {round:?}");
        assert_eq!(change.map(|c| c.is_isolated), (before != after).then_some(after));
    }
}

#[test]
fn probes_are_bounded() {
    let (start, mut detector) = (Instant::now(), IsolationDetector::default());
    let mut rounds = 0;
    for ms in 0..3000 {
        let now = start + ms * MS;
        if detector.verdict(now, PathFailure::Connect) == PathVerdict::Unknown {
            detector.start_round(now);
            detector.finish_round(now, PART);
            rounds += 1;
        }
    }
    assert_eq!(rounds, 10, "each 0.3 s while every request fails");
    let now = start + 3000 * MS;
    detector.start_round(now);
    detector.finish_round(now, NONE);
    let due = |ms: u32| detector.is_probe_due(now + ms * MS);
    assert!(!due(399) && due(400));
}

/// A process that was suspended in the middle of a round goes on.
#[test]
fn a_round_that_never_ends_does_not_stop_others() {
    let (now, mut detector) = (Instant::now(), IsolationDetector::default());
    detector.start_round(now);
    assert!(detector.is_probing(now + 1999 * MS));
    assert!(!detector.is_probing(now + 2000 * MS));
}
