//! Admission and exit of an instance that is shutting down.

use std::time::{Duration, Instant};

use oxbowbend_core::shutdown::{expected_response_time, Shutdown};
use oxbowbend_core::silence::Expectation;

const MS: Duration = Duration::from_millis(1);
const GRACE_PERIOD: Duration = Duration::from_secs(8);

#[test]
fn admitted_requests_end_before_the_deadline() {
    let started_at = Instant::now();
    let shutdown = Shutdown::new(started_at, GRACE_PERIOD);
    // Milliseconds since the signal, expected duration, whether others are ready, admitted.
    for (at, expected, others, admits) in [
        (0, Some(60_000), true, true),
        (2400, None, true, true),
        (2600, Some(20), true, false),
        (2600, Some(20), false, true),
        (2600, Some(500), false, true),
        (2600, Some(1000), false, false),
        (2600, None, false, false),
        (7000, Some(30), false, true),
        (7000, Some(100), false, false),
        (7500, Some(1), false, false),
    ] {
        let expected = expected.map(|ms: u32| ms * MS);
        let now = started_at + at * MS;
        assert_eq!(
            shutdown.admits(now, expected, others),
            admits,
            "{at} ms, {expected:?}, {others}"
        );
    }
}

/// Guards against a response that is begun once more at another endpoint and broken off at the exit.
#[test]
fn a_response_goes_on_elsewhere_only_if_it_is_expected_to_end_in_time() {
    let started_at = Instant::now();
    let shutdown = Shutdown::new(started_at, GRACE_PERIOD);
    // Milliseconds since the signal, expected duration, whether it may go on.
    for (at, expected, may_continue) in [
        (0, Some(60_000), true),
        (2400, None, true),
        (2600, None, false),
        (2600, Some(500), true),
        (2600, Some(1000), false),
        (7500, Some(1), false),
    ] {
        let (now, time) = (started_at + at * MS, expected.map(|ms: u32| ms * MS));
        assert_eq!(shutdown.may_continue(now, time), may_continue, "{at} ms, {expected:?}");
    }
}

/// Guards against an arithmetic error for durations that no clock can hold.
#[test]
fn extreme_expectations_are_never_admitted_late() {
    let started_at = Instant::now();
    let shutdown = Shutdown::new(started_at, GRACE_PERIOD);
    let late = started_at + 2600 * MS;
    let expected = expected_response_time(
        Duration::MAX,
        Expectation { first_event: Some(Duration::MAX), doublings: u32::MAX },
    );
    assert_eq!(expected, Some(Duration::MAX));
    assert!(!shutdown.admits(late, expected, false));
    assert!(!shutdown.may_continue(late, expected));
}

#[test]
fn errors_are_sent_before_the_exit_and_after_all_requests_have_stopped_waiting() {
    let started_at = Instant::now();
    let shutdown = Shutdown::new(started_at, GRACE_PERIOD);
    let response_deadline = shutdown.response_deadline();
    assert!(response_deadline < shutdown.deadline());
    assert!(shutdown.cap_wait(response_deadline, Duration::MAX).is_zero());
}

#[test]
fn it_exits_when_idle_and_sooner_if_others_are_ready() {
    let started_at = Instant::now();
    let shutdown = Shutdown::new(started_at, GRACE_PERIOD);
    for (at, busy, quiet, others, done) in [
        (2400, 0, 1000, true, false),
        (2600, 0, 50, true, true),
        (2600, 0, 10, true, false),
        (2600, 1, 1000, true, false),
        (2600, 0, 50, false, false),
        (2600, 0, 300, false, true),
    ] {
        let now = started_at + at * MS;
        assert_eq!(shutdown.can_exit(now, busy, quiet * MS, others), done, "{at} ms, {busy} busy");
    }
}

/// Six instances are stopped one second apart and restart within 0.7 s; streams last 1.2 s. At no
/// time may all instances refuse requests.
#[test]
fn a_rolling_stop_never_refuses_every_caller() {
    let start = Instant::now();
    let stop_signal_at = |n: u32| start + n * 1000 * MS;
    let mut ended: [Option<Instant>; 6] = [None; 6];
    let mut refused_by_all = 0;
    for ms in (0..20_000).step_by(10) {
        let now = start + ms * MS;
        let is_ready = |n: u32, ended: &[Option<Instant>; 6]| match ended[n as usize] {
            Some(end) => now >= end + 700 * MS,
            None => now < stop_signal_at(n),
        };
        let ready = (0..6).filter(|n| is_ready(*n, &ended)).count();
        let mut accepting = ready;
        for n in 0..6 {
            if now < stop_signal_at(n) || ended[n as usize].is_some() {
                continue;
            }
            let shutdown = Shutdown::new(stop_signal_at(n), GRACE_PERIOD);
            let others_ready = ready * 2 + 1 >= 6;
            accepting += usize::from(shutdown.admits(now, Some(100 * MS), others_ready));
            // Without ready peers it is never idle; with them its last stream ends after 1.2 s.
            let is_idle = others_ready && now >= shutdown.full_service_until() + 1200 * MS;
            let is_done = shutdown.can_exit(now, usize::from(!is_idle), 50 * MS, others_ready);
            if is_done || now >= shutdown.deadline() {
                ended[n as usize] = Some(now);
            }
        }
        refused_by_all += usize::from(accepting == 0);
    }
    assert!(ended.iter().all(Option::is_some));
    assert_eq!(refused_by_all, 0);
}

/// Guards against closing the connection of a queued request without a response.
#[test]
fn queued_requests_are_refused_before_the_deadline() {
    let started_at = Instant::now();
    let shutdown = Shutdown::new(started_at, GRACE_PERIOD);
    // Milliseconds since the signal, requested and allowed waiting time.
    for (at, wait, expected_ms) in [
        (0, 320, 320),
        (6900, 320, 320),
        (7100, 320, 200),
        (7382, 320, 0),
        (7600, 320, 0),
        (9000, 1, 0),
    ] {
        let now = started_at + at * MS;
        let max_wait = shutdown.cap_wait(now, wait * MS);
        assert_eq!(max_wait.as_millis(), expected_ms, "{at} ms");
        assert!(max_wait.is_zero() || now + max_wait < shutdown.deadline(), "{at} ms");
    }
}
