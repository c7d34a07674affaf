//! Suspicion of endpoints that do not respond.

mod cells;

use std::time::{Duration, Instant};

use cells::{cell, endpoint, key, MS};
use oxbowbend_core::routes::Endpoint;
use oxbowbend_core::silence::{self, Expectation, TimeoutAction};

fn measured(ms: u32) -> Expectation {
    Expectation { first_event: Some(ms * MS), doublings: 0 }
}

#[test]
fn a_request_at_its_deadline_does_not_blame_its_endpoint() {
    // Expected time to the first event, objective, time left, whether the request can be retried.
    for (expected, objective, time_left, is_retryable, action) in [
        (50, 300, 2000, true, TimeoutAction::Retry),
        (50, 300, 2000, false, TimeoutAction::MarkSuspect),
        (50, 300, 300, true, TimeoutAction::Fail),
        (50, 300, 200, false, TimeoutAction::Fail),
        (600, 300, 2400, false, TimeoutAction::Fail),
        (600, 300, 2401, false, TimeoutAction::MarkSuspect),
        (1, 1, 251, true, TimeoutAction::Retry),
        (1, 1, 250, true, TimeoutAction::Fail),
    ] {
        let delay = silence::delay(measured(expected), objective * MS, time_left * MS);
        let case = format!("{expected} {objective} {time_left} {is_retryable}");
        assert_eq!(silence::timeout_action(delay, time_left * MS, is_retryable), action, "{case}");
    }
}

#[test]
fn waits_in_vain_make_a_wait_longer_up_to_half_of_the_time_left() {
    // Expected time to the first event, doublings, objective, time left, delay.
    for (expected, doublings, objective, time_left, delay) in [
        (Some(50), 0, 500, 5000, 500),
        (Some(50), 1, 500, 5000, 1000),
        (Some(50), 2, 500, 5000, 2000),
        (Some(50), 3, 500, 5000, 2500),
        (Some(50), 40, 500, 5000, 2500),
        (Some(900), 2, 500, 5000, 3600),
        (Some(50), 2, 500, 600, 500),
        (None, 0, 500, 5000, 2500),
        (None, 3, 500, 5000, 2500),
        (None, 0, 500, 600, 500),
        (None, 0, 1, 100, 250),
    ] {
        let first_event = expected.map(|ms: u32| ms * MS);
        let expectation = Expectation { first_event, doublings };
        let is = silence::delay(expectation, objective * MS, time_left * MS);
        assert_eq!(is, delay * MS, "{expected:?} {doublings} {objective} {time_left}");
    }
}

/// What the answers of one service took was expected of another one, so that all of its requests were abandoned.
#[test]
fn nothing_is_expected_of_a_service_by_what_another_one_takes() {
    let now = Instant::now();
    let other = Endpoint { service: "other".into(), ..endpoint(5, 4) };
    let other_key = other.key();
    let mut cell = cell("a", &[endpoint(0, 4), endpoint(2, 4), other]);
    cell.record_first_event(now, other_key, 0, 0, 15 * MS);
    assert_eq!(cell.expectation(now, key("e0"), 0).first_event, None);
    // One endpoint of the service tells of the others.
    cell.record_first_event(now, key("e2"), 0, 0, 1000 * MS);
    let later = now + Duration::from_secs(1);
    assert_eq!(cell.expectation(later, key("e0"), 0).first_event, Some(1000 * MS));
    assert_eq!(cell.expectation(later, key("e0"), 300).first_event, Some(2000 * MS));
    assert_eq!(cell.expectation(later, other_key, 0).first_event, Some(15 * MS));
}

/// An abandoned request measures nothing, so where all answers had become slow, all requests were abandoned for good.
#[test]
fn a_service_that_has_become_slow_is_waited_for_until_it_answers() {
    let (start, left, objective) = (Instant::now(), 5000 * MS, 500 * MS);
    let mut cell = cell("a", &[endpoint(0, 4), endpoint(2, 4)]);
    cell.restore_pace(key("e0"), 333_333);
    cell.restore_pace(key("e2"), 333_333);
    let took = 1100 * MS;
    let mut now = start;
    let mut abandoned = 0;
    for request in 0..10 {
        let endpoint = key(["e0", "e2"][request % 2]);
        let expected = cell.expectation(now, endpoint, 0);
        let delay = silence::delay(expected, objective, left);
        if delay < took {
            abandoned += 1;
            cell.record_silence(endpoint, now, expected.doublings);
        } else {
            cell.record_first_event(now + took, endpoint, 0, 0, took);
        }
        now += delay.min(took);
    }
    assert_eq!(abandoned, 2, "500 and 1,000 ms were too short, and 2,000 ms suffice");
    // An answer ends that: a silent endpoint is suspected as early as what is measured allows.
    assert_eq!(cell.expectation(now, key("e0"), 0).doublings, 0);
}

/// Requests that are silent at the same time are one silence: what is cut off must not look merely slow.
#[test]
fn requests_that_wait_at_the_same_time_double_the_wait_once() {
    let now = Instant::now();
    let mut cell = cell("a", &[endpoint(0, 4), endpoint(2, 4)]);
    cell.restore_pace(key("e0"), 333_333);
    let doublings = cell.expectation(now, key("e0"), 0).doublings;
    for endpoint in ["e0", "e2", "e0"] {
        cell.record_silence(key(endpoint), now, doublings);
    }
    assert_eq!(cell.expectation(now, key("e2"), 0).doublings, 1);
    // An answer in between shows that the endpoint is at fault.
    cell.record_first_event(now + 10 * MS, key("e2"), 0, 0, 10 * MS);
    cell.record_silence(key("e0"), now, 1);
    assert_eq!(cell.expectation(now, key("e2"), 0).doublings, 0);
    assert_eq!(cell.expectation(now, key("e0"), 0).doublings, 2);
}
