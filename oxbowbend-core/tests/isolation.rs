//! When an instance believes that it has lost its path to all endpoints.

use std::time::{Duration, Instant};

use oxbowbend_core::isolation::{IsolationDetector, PathFailure, PathVerdict, ProbeRound};

const MS: Duration = Duration::from_millis(1);
const NONE: ProbeRound = ProbeRound { reached: 0, silent: 0, failed: 2 };
const ALL: ProbeRound = ProbeRound { reached: 2, silent: 0, failed: 0 };
const PART: ProbeRound = ProbeRound { reached: 1, silent: 0, failed: 1 };
const SILENT: ProbeRound = ProbeRound { reached: 0, silent: 2, failed: 0 };

#[test]
fn a_failure_is_the_endpoints_only_if_the_path_is_known_to_work() {
    use PathFailure::{Broken, Connect, Unresponsive};
    use PathVerdict::{Connected, Unknown};
    // Time since the last new connection and the last response, the failure, what it means.
    for (connected, responded, failure, verdict) in [
        (None, None, Connect, Unknown),
        (None, None, Broken, Unknown),
        (None, None, Unresponsive, Unknown),
        (Some(4), None, Connect, Connected),
        (Some(5), None, Connect, Unknown),
        (None, Some(0), Connect, Unknown),
        (Some(4), None, Broken, Connected),
        (None, Some(4), Broken, Connected),
        (Some(5), Some(5), Broken, Unknown),
        (Some(199), None, Unresponsive, Connected),
        (None, Some(199), Unresponsive, Connected),
        (None, Some(200), Unresponsive, Unknown),
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
        if detector.verdict(now, PathFailure::Unresponsive) == PathVerdict::Unknown {
            detector.start_round(now);
            detector.finish_round(now, PART);
            rounds += 1;
        }
    }
    assert_eq!(rounds, 15, "each 0.2 s while no request gets a response");
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

/// Endpoints behind some middleboxes accept connections that lead nowhere.
#[test]
fn endpoints_that_accept_connections_and_do_not_respond_are_not_reached() {
    // Endpoints of the service, failures as endpoint and time, whether isolated then.
    for (endpoints, failures, is_isolated) in [
        (9, &[(1, 0), (2, 50), (3, 100)][..], false),
        (9, &[(1, 0), (2, 50), (3, 150)][..], true),
        (9, &[(1, 0), (2, 50), (2, 150), (1, 400)][..], false),
        (9, &[(1, 0), (2, 1000), (3, 2001)][..], false),
        (2, &[(1, 0), (2, 150)][..], true),
        (1, &[(1, 0), (1, 150), (1, 300)][..], false),
    ] {
        let (start, mut detector) = (Instant::now(), IsolationDetector::default());
        for (endpoint, ms) in failures {
            detector.record_failure(start + *ms * MS, *endpoint, endpoints, false);
        }
        assert_eq!(detector.is_isolated(), is_isolated, "{endpoints} {failures:?}");
        if is_isolated {
            let now = start + 500 * MS;
            detector.start_round(now);
            assert!(detector.must_respond(None), "connections prove nothing there");
            assert_eq!(detector.finish_round(now, SILENT), None);
            assert!(!detector.start_trial(start + 549 * MS, true), "{endpoints} {failures:?}");
            assert!(detector.start_trial(start + 550 * MS, true));
            assert!(!detector.start_trial(start + 10549 * MS, false));
            assert!(detector.start_trial(start + 10550 * MS, false));
            let change = detector.record_fresh_response(start + 10560 * MS);
            assert_eq!(change.map(|c| c.is_isolated), Some(false));
        }
    }
}

/// Guards against an instance with few requests that takes seconds to find that its path has gone silent.
#[test]
fn one_failed_request_and_a_silent_round_are_enough() {
    // The rest of the round besides one endpoint that accepts a connection and does not respond.
    for (reached, failed, is_isolated) in [(0, 0, true), (0, 1, true), (1, 0, false), (1, 1, false)]
    {
        let (now, mut detector) = (Instant::now(), IsolationDetector::default());
        assert_eq!(detector.verdict(now, PathFailure::Unresponsive), PathVerdict::Unknown);
        assert!(detector.must_respond(Some(PathFailure::Unresponsive)));
        assert!(detector.must_respond(Some(PathFailure::Broken)));
        assert!(!detector.must_respond(Some(PathFailure::Connect)));
        detector.start_round(now);
        detector.finish_round(now + 250 * MS, ProbeRound { reached, silent: 1, failed });
        assert_eq!(detector.is_isolated(), is_isolated, "{reached} {failed}");
        if is_isolated {
            // The way back: one endpoint that responds, whatever becomes of the others.
            let now = now + 650 * MS;
            assert!(detector.is_probe_due(now));
            detector.start_round(now);
            let back = ProbeRound { reached: 1, silent: 1, failed: 0 };
            assert!(detector.finish_round(now, back).is_some_and(|change| !change.is_isolated));
        }
    }
}

#[test]
fn a_response_on_a_new_connection_clears_the_endpoints_that_failed() {
    let (start, mut detector) = (Instant::now(), IsolationDetector::default());
    detector.record_failure(start, 1, 9, true);
    detector.record_failure(start + 100 * MS, 2, 9, true);
    detector.record_fresh_response(start + 150 * MS);
    assert_eq!(detector.record_failure(start + 200 * MS, 3, 9, true), None);
    assert!(!detector.is_isolated());
}

/// Endpoints fail one after the other while the rest respond on connections that are kept.
#[test]
fn endpoints_that_fail_while_others_respond_are_no_lost_path() {
    // Whether the failures were on new connections, whether the path is lost.
    for (is_new_connection, is_isolated) in [(false, false), (true, true)] {
        let (start, mut detector) = (Instant::now(), IsolationDetector::default());
        for ms in 0..400 {
            detector.record_response(start + ms * MS);
            if matches!(ms, 50 | 130 | 210) {
                detector.record_failure(start + ms * MS, ms, 9, is_new_connection);
            }
        }
        assert_eq!(detector.is_isolated(), is_isolated, "{is_new_connection}");
    }
}

/// One of the endpoints that are probed stays down.
#[test]
fn requests_find_the_path_again_where_probes_cannot() {
    let (now, mut detector) = (Instant::now(), IsolationDetector::default());
    detector.start_round(now);
    detector.finish_round(now, NONE);
    assert!(!detector.start_trial(now + 400 * MS, true), "no endpoint accepts connections");
    detector.start_round(now + 400 * MS);
    detector.finish_round(now + 400 * MS, PART);
    assert!(detector.start_trial(now + 401 * MS, true));
    let change = detector.record_fresh_response(now + 410 * MS);
    assert_eq!(change.map(|c| c.is_isolated), Some(false));
}

/// An instance whose own link was full took sound endpoints for lost, handed its requests over through
/// that link and blamed the endpoints.
#[test]
fn failures_of_an_instance_at_its_own_limit_are_no_evidence() {
    let (start, mut detector) = (Instant::now(), IsolationDetector::default());
    detector.set_at_limit(true);
    assert_eq!(detector.verdict(start, PathFailure::Connect), PathVerdict::Connected);
    detector.start_round(start);
    assert_eq!(detector.finish_round(start + 250 * MS, NONE), None);
    for n in 1..20 {
        assert_eq!(detector.record_failure(start + 50 * MS * n, n % 3, 3, true), None);
    }
    assert!(!detector.is_isolated());
    // Below the limit only what fails from then on counts.
    let now = start + 1000 * MS;
    detector.set_at_limit(false);
    assert_eq!(detector.record_failure(now, 0, 3, true), None);
    assert_eq!(detector.verdict(now + 300 * MS, PathFailure::Connect), PathVerdict::Unknown);
    detector.start_round(now + 300 * MS);
    assert!(detector.finish_round(now + 550 * MS, NONE).is_some_and(|change| change.is_isolated));
    // A verdict from before the limit stands until the path is seen.
    detector.set_at_limit(true);
    assert_eq!(detector.verdict(now + 600 * MS, PathFailure::Broken), PathVerdict::Isolated);
    detector.start_round(now + 600 * MS);
    assert!(detector.finish_round(now + 700 * MS, ALL).is_some_and(|change| !change.is_isolated));
}
