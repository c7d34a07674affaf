//! State of other cells, exchanged by representatives.

mod cells;

use std::time::{Duration, Instant};

use cells::{cell, MS};
use oxbowbend_core::cell::{
    Cell, CounterDeltas, FleetSummary, RemoteInstances, Report, ReportDetail, PEER_TTL,
};
use oxbowbend_core::ids::AccountId;

fn full_report(cell: &mut Cell, now: Instant) -> Report {
    cell.report(now, ReportDetail::Full)
}

fn admitted(units: u64) -> Vec<(AccountId, u64)> {
    vec![("a".into(), units)]
}

/// What a representative reports to its cell when the other cells have admitted `units`.
fn summary(units: u64, reachable: u32) -> FleetSummary {
    let remote_instances = RemoteInstances { reachable, ready: reachable - 1 };
    FleetSummary {
        remote_instances,
        admitted_units: admitted(units),
        is_complete: true,
        ..FleetSummary::default()
    }
}

fn representative_report(cell: &mut Cell, now: Instant, summary: FleetSummary) -> Report {
    Report { is_representative: true, fleet_summary: Some(summary), ..full_report(cell, now) }
}

#[test]
fn a_representative_sums_instances_of_other_cells() {
    let now = Instant::now();
    let mut me = cell("a", &[]);
    assert_eq!(me.remote_instances(now), RemoteInstances::default());
    for (name, reachable, ready) in [("m", 12, 12), ("x", 11, 9)] {
        let report = Report {
            is_representative: true,
            reachable_count: Some(reachable),
            cell_ready: ready,
            ..full_report(&mut cell(name, &[]), now)
        };
        me.receive_report(now, report, false);
    }
    // An instance that is not a representative is not counted.
    me.receive_report(now, full_report(&mut cell("z", &[]), now), false);
    assert_eq!(me.remote_instances(now), RemoteInstances { reachable: 23, ready: 21 });
    assert_eq!(me.remote_instances(now + PEER_TTL), RemoteInstances::default());
}

#[test]
fn a_cell_learns_of_other_cells_from_its_representative() {
    let now = Instant::now();
    let (mut first, mut me) = (cell("a", &[]), cell("c", &[]));
    let deltas =
        me.receive_report(now, representative_report(&mut first, now, summary(1000, 283)), true);
    // Units admitted before the first report are not counted.
    let expected = CounterDeltas { own_cell: vec![], other_cells: admitted(0) };
    assert_eq!(deltas.expect("report is new").admitted_units, expected);
    assert_eq!(me.reported_remote_instances(now), RemoteInstances { reachable: 283, ready: 282 });
    let deltas =
        me.receive_report(now, representative_report(&mut first, now, summary(1250, 283)), true);
    assert_eq!(deltas.expect("report is new").admitted_units.other_cells, admitted(250));
    // A report without a summary keeps the previous one.
    me.receive_report(
        now,
        Report { is_representative: true, ..full_report(&mut first, now) },
        true,
    );
    assert_eq!(me.reported_remote_instances(now).reachable, 283);
    assert_eq!(me.reported_remote_instances(now + PEER_TTL), RemoteInstances::default());
}

/// Representatives also send reports to instances that they do not know. Totals must not be counted
/// twice.
#[test]
fn totals_count_only_from_the_own_representative() {
    let now = Instant::now();
    let (mut first, mut remote) = (cell("a", &[]), cell("z", &[]));
    let mut remote_report = |units| Report {
        is_representative: true,
        has_all_cell_counters: true,
        cell_admitted_units: admitted(units),
        ..full_report(&mut remote, now)
    };
    let mut representative = cell("c", &[]);
    representative.set_representative(true);
    representative.receive_report(now, remote_report(100), false);
    assert_eq!(
        representative
            .receive_report(now, remote_report(250), false)
            .expect("report is new")
            .admitted_units
            .other_cells,
        admitted(150)
    );
    let mut me = cell("c", &[]);
    me.receive_report(now, remote_report(300), false);
    me.receive_report(now, representative_report(&mut first, now, summary(1000, 12)), true);
    assert_eq!(
        me.receive_report(now, remote_report(450), false)
            .expect("report is new")
            .admitted_units
            .other_cells,
        []
    );
    // As a representative it counts the totals that it receives directly, from the last value on.
    let later = now + PEER_TTL;
    me.set_representative(true);
    assert_eq!(
        me.receive_report(later, remote_report(470), false)
            .expect("report is new")
            .admitted_units
            .other_cells,
        admitted(20)
    );
}

#[test]
fn totals_of_two_representatives_count_once() {
    let now = Instant::now();
    let (mut first, mut second, mut me) = (cell("a", &[]), cell("b", &[]), cell("c", &[]));
    me.receive_report(now, representative_report(&mut first, now, summary(1000, 283)), true);
    me.receive_report(now, representative_report(&mut second, now, summary(600, 283)), true);
    let deltas =
        me.receive_report(now, representative_report(&mut first, now, summary(1100, 283)), true);
    assert_eq!(deltas.expect("report is new").admitted_units.other_cells, admitted(100));
    let deltas =
        me.receive_report(now, representative_report(&mut second, now, summary(700, 283)), true);
    assert_eq!(deltas.expect("report is new").admitted_units.other_cells, []);
    // A new representative does not know other cells yet.
    let initial = summary(700, 1);
    me.receive_report(now, representative_report(&mut second, now, initial), true);
    assert_eq!(me.reported_remote_instances(now).reachable, 283);
    // After the first one has failed, the totals of the second one count, from their last value on.
    let later = now + PEER_TTL;
    let deltas = me.receive_report(
        later,
        representative_report(&mut second, later, summary(900, 271)),
        true,
    );
    assert_eq!(deltas.expect("report is new").admitted_units.other_cells, admitted(200));
    assert_eq!(me.reported_remote_instances(later).reachable, 271);
}

#[test]
fn a_new_representative_knows_the_addresses_of_the_others() {
    let now = Instant::now();
    let (mut first, mut me) = (cell("a", &[]), cell("b", &[]));
    let address = ([10, 0, 0, 9], 80).into();
    let report = representative_report(&mut first, now, summary(0, 12));
    me.receive_report(now, Report { representative_addresses: vec![address], ..report }, true);
    // Frequent reports omit the addresses.
    me.receive_report(now + 10 * MS, representative_report(&mut first, now, summary(0, 12)), true);
    me.expire_peers(now + Duration::from_secs(10));
    assert_eq!(me.representative_addresses().collect::<Vec<_>>(), [address]);
}

#[test]
fn instances_that_change_their_cell_are_counted_once() {
    let now = Instant::now();
    let (mut other, mut me) = (cell("b", &[]), cell("a", &[]));
    let with_units = |mut report: Report, units| {
        report.admitted_units = admitted(units);
        report
    };
    me.receive_report(now, with_units(full_report(&mut other, now), 100), true);
    assert_eq!((me.live_peer_count(now), me.remote_reports(now).count()), (1, 0));
    me.set_peers(|_| false);
    assert_eq!((me.live_peer_count(now), me.remote_reports(now).count()), (0, 1));
    me.set_peers(|_| true);
    // Representatives have reported in the meantime what it admitted.
    let deltas = me.receive_report(now, with_units(full_report(&mut other, now), 130), true);
    assert_eq!(deltas.expect("report is new").admitted_units.own_cell, admitted(0));
    let deltas = me.receive_report(now, with_units(full_report(&mut other, now), 150), true);
    assert_eq!(deltas.expect("report is new").admitted_units.own_cell, admitted(20));
}

/// Guards against an instance that was suspended, missed reports, and is told only what changes after it: an account
/// that had used its quota up by then does not change.
#[test]
fn an_instance_that_is_heard_again_after_a_silence_is_returning() {
    for (silence, is_returning) in [(130, false), (390, false), (400, true), (5000, true)] {
        let start = Instant::now();
        let (mut me, mut other) = (cell("a", &[]), cell("b", &[]));
        me.receive_report(start, other.report(start, ReportDetail::Changes), true);
        assert!(!me.has_returning_peer(start), "has just been heard for the first time");
        let again = start + silence * MS;
        assert!(!me.has_returning_peer(again), "{silence} ms");
        me.receive_report(again, other.report(again, ReportDetail::Loads), true);
        assert_eq!(me.has_returning_peer(again), is_returning, "{silence} ms");
        // Its next report does not end that, but time does.
        let next = again + 130 * MS;
        me.receive_report(next, other.report(next, ReportDetail::Loads), true);
        assert_eq!(me.has_returning_peer(next), is_returning, "{silence} ms");
        assert!(!me.has_returning_peer(again + 300 * MS), "{silence} ms");
    }
}
