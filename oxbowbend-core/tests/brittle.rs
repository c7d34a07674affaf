//! Brittle endpoints: what an instance sends to them, and what instances tell each other of them.

mod cells;

use std::time::{Duration, Instant};

use cells::{cell, endpoint, key, want, MS};
use oxbowbend_core::cell::{
    Cell, EndpointNotices, Origin, Outcome, Report, ReportDetail, ReportedLimit, SignalValue,
    Signals,
};
use oxbowbend_core::ids::InstanceId;
use oxbowbend_core::routes::Endpoint;

fn brittle(per_s: Option<f64>) -> Signals {
    Signals {
        rejection_tolerance: per_s.map_or(SignalValue::Nothing, SignalValue::Value),
        ..Signals::default()
    }
}

fn rejection(per_s: f64) -> Signals {
    Signals { is_rejection: true, ..brittle(Some(per_s)) }
}

/// Returns the instances of one cell with an endpoint of `slots` slots.
fn cells_of(n: usize, slots: u32) -> Vec<Cell> {
    let names: Vec<InstanceId> = (0..n).map(|i| format!("i{i}").as_str().into()).collect();
    let instance = |name: &InstanceId| {
        let mut cell = cell(name, &[endpoint(0, slots)]);
        cell.set_sharing_instances(names.iter(), names.iter(), Default::default());
        cell
    };
    names.iter().map(instance).collect()
}

fn hear(cells: &mut [Cell], now: Instant, signals: Signals) {
    cells.iter_mut().for_each(|cell| cell.apply_signals(now, key("e0"), now, signals));
}

/// Sends as many requests as the instance admits, and returns their number.
fn send_all(cell: &mut Cell, now: Instant) -> usize {
    let wants: Vec<_> = (0..30).map(|_| cell.enqueue(want(0, 1, now - 20 * MS))).collect();
    let sent = cell.assign(now).len();
    wants.into_iter().for_each(|ticket| _ = cell.dequeue(ticket));
    sent
}

/// Has a request rejected that was just sent.
fn reject(cell: &mut Cell, now: Instant, per_s: f64) {
    cell.apply_signals(now, key("e0"), now, rejection(per_s));
    cell.finish(now, key("e0"), 1, Outcome::Neutral);
}

#[test]
fn requests_at_risk_of_all_instances_stay_within_the_tolerance() {
    let now = Instant::now() + Duration::from_secs(60);
    // Instances, tolerance, and requests that are sent at once before any instance hears of another;
    // an endpoint that tolerates too few gets one more of each instance while it is idle.
    for (instances, per_s, expected) in [
        (1, 1.0, 1),
        (1, 5.0, 4),
        (4, 4.0, 4),
        (4, 5.0, 4),
        (4, 9.0, 8),
        (4, 9.9, 8),
        (7, 20.0, 19),
        (4, 3.0, 4),
        (4, 0.0, 4),
        (4, 1e300, 4 * 30),
    ] {
        let mut cells = cells_of(instances, 100);
        hear(&mut cells, now, brittle(Some(per_s)));
        let sent: usize = cells.iter_mut().map(|cell| send_all(cell, now)).sum();
        assert_eq!(sent, expected, "{instances} instances, {per_s} a second");
    }
}

#[test]
fn a_request_is_at_risk_until_its_first_event_or_for_a_while() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut cells = cells_of(1, 100);
    hear(&mut cells, now, brittle(Some(1.0)));
    let cell = &mut cells[0];
    assert_eq!(send_all(cell, now), 1);
    assert_eq!(send_all(cell, now + 30 * MS), 0, "one is at risk");
    cell.record_first_event(now + 31 * MS, key("e0"), 1, 0, 30 * MS);
    assert_eq!(send_all(cell, now + 32 * MS), 1, "it has its first event");
    assert_eq!(send_all(cell, now + 60 * MS), 0, "the next one is at risk");
    assert_eq!(send_all(cell, now + 90 * MS), 1, "it would have been rejected by now");
}

#[test]
fn a_rejection_counts_for_a_second() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut cells = cells_of(1, 100);
    hear(&mut cells, now, brittle(Some(1.0)));
    let cell = &mut cells[0];
    assert_eq!(send_all(cell, now), 1);
    reject(cell, now + 2 * MS, 1.0);
    for (ms, expected) in [(3, 0), (500, 0), (1000, 0), (1100, 1)] {
        assert_eq!(send_all(cell, now + ms * MS), expected, "after {ms} ms");
    }
}

#[test]
fn an_instance_without_a_share_sends_only_where_it_knows_of_room() {
    let now = Instant::now() + Duration::from_secs(60);
    // Slots, requests that run there already, and whether all four instances send one.
    for (slots, running, is_sent) in [(1, 0, true), (8, 4, true), (8, 5, false), (2, 1, false)] {
        let mut cells = cells_of(4, slots);
        hear(&mut cells, now, brittle(Some(0.0)));
        for cell in &mut cells {
            let load = Report {
                instance: "other".into(),
                incarnation: 1,
                sequence: 1,
                loads: vec![oxbowbend_core::cell::EndpointLoad {
                    endpoint: key("e0"),
                    running,
                    pending_prompt_tokens: 0,
                }],
                ..Report::default()
            };
            cell.receive_report(now, load, true);
            let sent = send_all(cell, now);
            assert_eq!(sent, usize::from(is_sent), "{running} run in {slots} slots");
        }
    }
}

#[test]
fn a_rejection_stops_instances_without_a_share_until_it_is_over() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut cells = cells_of(2, 100);
    hear(&mut cells, now, brittle(Some(0.0)));
    assert_eq!(send_all(&mut cells[0], now), 1);
    reject(&mut cells[0], now + 5 * MS, 0.0);
    let report = cells[0].report(now + 10 * MS, ReportDetail::Loads);
    assert_eq!(report.rejections, [(key("e0"), 5)]);
    cells[1].receive_report(now + 15 * MS, report, true);
    let mut hear = |ms| {
        let report = cells[0].report(now + ms * MS, ReportDetail::Loads);
        cells[1].receive_report(now + ms * MS, report, true);
        send_all(&mut cells[1], now + (ms + 5) * MS)
    };
    assert_eq!(hear(500), 0, "a request of the other one was rejected");
    assert_eq!(hear(1200), 1);
    assert_eq!(
        send_all(&mut cells[1], now + 1700 * MS),
        0,
        "the load of the other one is not known"
    );
    assert_eq!(send_all(&mut cells[0], now + 1200 * MS), 0, "its own request was rejected");
    assert_eq!(send_all(&mut cells[0], now + 4100 * MS), 1);
}

#[test]
fn an_endpoint_that_starts_again_is_brittle_until_it_answers_otherwise() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut cells = cells_of(1, 8);
    hear(&mut cells, now, brittle(Some(2.0)));
    let cell = &mut cells[0];
    let restarted = Endpoint { started_at_ms: 5, ..endpoint(0, 8) };
    let new_key = restarted.key();
    cell.set_endpoints([restarted]);
    assert_eq!(send_all(cell, now + 3000 * MS), 1, "it fills one by one");
    cell.apply_signals(now + 3010 * MS, new_key, now + 3000 * MS, brittle(None));
    cell.record_first_event(now + 3010 * MS, new_key, 1, 0, 5 * MS);
    assert_eq!(send_all(cell, now + 3020 * MS), 7, "it has not said so");
}

#[test]
fn tolerances_and_their_end_propagate_between_instances() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut cells = cells_of(2, 8);
    let [a, b] = &mut cells[..] else { unreachable!() };
    a.apply_signals(now, key("e0"), now, brittle(Some(3.0)));
    b.receive_report(now + 50 * MS, a.report(now + 40 * MS, ReportDetail::Changes), true);
    let change = b.take_brittle_changes()[0];
    assert_eq!((change.per_s, change.origin, change.age), (Some(3.0), Origin::Cell, 40 * MS));
    assert!(b.report(now + 60 * MS, ReportDetail::Changes).endpoint_notices.brittle.is_empty());
    assert_eq!(b.signals_for_new_instance(now + 60 * MS).brittle.len(), 1);
    let unreadable = Signals { rejection_tolerance: SignalValue::Unreadable, ..brittle(None) };
    b.apply_signals(now + 90 * MS, key("e0"), now + 80 * MS, unreadable);
    assert_eq!(b.brittle_count(), 1, "an unreadable value ends nothing");
    b.apply_signals(now + 200 * MS, key("e0"), now + 100 * MS, brittle(None));
    a.receive_report(now + 250 * MS, b.report(now + 240 * MS, ReportDetail::Changes), true);
    assert_eq!((a.brittle_count(), b.brittle_count()), (0, 0));
}

#[test]
fn reported_values_that_no_endpoint_can_mean_change_nothing() {
    let now = Instant::now() + Duration::from_secs(60);
    for per_s in [f64::NAN, f64::INFINITY, -1.0] {
        let reported = ReportedLimit { endpoint: key("e0"), per_s: Some(per_s), age_ms: 1 };
        let notices = EndpointNotices { brittle: vec![reported], ..EndpointNotices::default() };
        let mut cells = cells_of(1, 8);
        cells[0].merge_endpoint_signals(now, &notices, true);
        assert_eq!(cells[0].brittle_count(), 0, "{per_s}");
        assert_eq!(send_all(&mut cells[0], now), 8, "{per_s}");
    }
}

#[test]
fn reports_of_other_versions_are_understood() {
    let report = Report { instance: "a".into(), ..Report::default() };
    let text = serde_json::to_string(&report).expect("a report");
    assert!(!text.contains("\"J\"") && !text.contains("\"B\""), "nothing to tell: {text}");
    let old: EndpointNotices = serde_json::from_str("{\"x\":[7]}").expect("an older version's");
    assert!(old.brittle.is_empty());
}
