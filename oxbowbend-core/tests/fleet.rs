//! What instances know of other cells, by their representatives.

mod cells;

use std::time::{Duration, Instant};

use cells::{cell, MS};
use oxbowbend_core::cell::{
    Cell, CounterDeltas, FleetSummary, RemoteInstances, Report, ReportDetail, PEER_TTL,
};
use oxbowbend_core::ids::AccountId;

fn report(cell: &mut Cell, now: Instant) -> Report {
    cell.report(now, ReportDetail::Full)
}

fn spent(units: u64) -> Vec<(AccountId, u64)> {
    vec![("a".into(), units)]
}

/// What a representative tells its cell of others that have admitted so many units.
fn view(units: u64, heard: u32) -> FleetSummary {
    let beyond = RemoteInstances { reachable: heard, ready: heard - 1 };
    FleetSummary {
        remote_instances: beyond,
        admitted_units: spent(units),
        is_complete: true,
        ..FleetSummary::default()
    }
}

fn as_representative(cell: &mut Cell, now: Instant, view: FleetSummary) -> Report {
    Report { is_representative: true, fleet_summary: Some(view), ..report(cell, now) }
}

#[test]
fn a_representative_sums_up_what_the_others_tell() {
    let now = Instant::now();
    let mut me = cell("a", &[]);
    assert_eq!(me.remote_instances(now), RemoteInstances::default());
    for (name, reach, ready) in [("m", 12, 12), ("x", 11, 9)] {
        let told = Report {
            is_representative: true,
            reachable_count: Some(reach),
            cell_ready: ready,
            ..report(&mut cell(name, &[]), now)
        };
        me.receive_report(now, told, false);
    }
    // Another instance that turned to this one for a reason of its own is not a cell.
    me.receive_report(now, report(&mut cell("z", &[]), now), false);
    assert_eq!(me.remote_instances(now), RemoteInstances { reachable: 23, ready: 21 });
    assert_eq!(me.remote_instances(now + PEER_TTL), RemoteInstances::default());
}

#[test]
fn a_cell_knows_the_others_from_its_representative() {
    let now = Instant::now();
    let (mut first, mut me) = (cell("a", &[]), cell("c", &[]));
    let heard = me.receive_report(now, as_representative(&mut first, now, view(1000, 283)), true);
    // What was admitted before it was heard is not of now.
    let growth = CounterDeltas { own_cell: vec![], other_cells: spent(0) };
    assert_eq!(heard.expect("news").admitted_units, growth);
    assert_eq!(me.reported_remote_instances(now), RemoteInstances { reachable: 283, ready: 282 });
    let heard = me.receive_report(now, as_representative(&mut first, now, view(1250, 283)), true);
    assert_eq!(heard.expect("news").admitted_units.other_cells, spent(250));
    // A report that leaves it out changes nothing.
    me.receive_report(now, Report { is_representative: true, ..report(&mut first, now) }, true);
    assert_eq!(me.reported_remote_instances(now).reachable, 283);
    assert_eq!(me.reported_remote_instances(now + PEER_TTL), RemoteInstances::default());
}

/// Representatives also turn to instances that they have not heard of.
#[test]
fn who_has_a_representative_is_told_by_it_alone() {
    let now = Instant::now();
    let (mut first, mut far) = (cell("a", &[]), cell("z", &[]));
    let mut far_report = |units| Report {
        is_representative: true,
        has_all_cell_counters: true,
        cell_admitted_units: spent(units),
        ..report(&mut far, now)
    };
    let mut alone = cell("c", &[]);
    alone.set_representative(true);
    alone.receive_report(now, far_report(100), false);
    assert_eq!(
        alone.receive_report(now, far_report(250), false).expect("news").admitted_units.other_cells,
        spent(150)
    );
    let mut me = cell("c", &[]);
    me.receive_report(now, far_report(300), false);
    me.receive_report(now, as_representative(&mut first, now, view(1000, 12)), true);
    assert_eq!(
        me.receive_report(now, far_report(450), false).expect("news").admitted_units.other_cells,
        []
    );
    // Without one, what it is told itself counts again, and only what is new.
    let later = now + PEER_TTL;
    me.set_representative(true);
    assert_eq!(
        me.receive_report(later, far_report(470), false).expect("news").admitted_units.other_cells,
        spent(20)
    );
}

#[test]
fn two_representatives_of_a_cell_count_once_and_one_follows_the_other() {
    let now = Instant::now();
    let (mut first, mut second, mut me) = (cell("a", &[]), cell("b", &[]), cell("c", &[]));
    me.receive_report(now, as_representative(&mut first, now, view(1000, 283)), true);
    me.receive_report(now, as_representative(&mut second, now, view(600, 283)), true);
    let heard = me.receive_report(now, as_representative(&mut first, now, view(1100, 283)), true);
    assert_eq!(heard.expect("news").admitted_units.other_cells, spent(100));
    let heard = me.receive_report(now, as_representative(&mut second, now, view(700, 283)), true);
    assert_eq!(heard.expect("news").admitted_units.other_cells, []);
    // One that has just stepped in knows of nobody yet.
    let heard = view(700, 1);
    me.receive_report(now, as_representative(&mut second, now, heard), true);
    assert_eq!(me.reported_remote_instances(now).reachable, 283);
    // The first one falls silent: the second one's word counts, from where it was.
    let later = now + PEER_TTL;
    let heard =
        me.receive_report(later, as_representative(&mut second, later, view(900, 271)), true);
    assert_eq!(heard.expect("news").admitted_units.other_cells, spent(200));
    assert_eq!(me.reported_remote_instances(later).reachable, 271);
}

#[test]
fn a_successor_knows_where_the_other_representatives_are() {
    let now = Instant::now();
    let (mut first, mut me) = (cell("a", &[]), cell("b", &[]));
    let elsewhere = ([10, 0, 0, 9], 80).into();
    let told = as_representative(&mut first, now, view(0, 12));
    me.receive_report(now, Report { representative_addresses: vec![elsewhere], ..told }, true);
    // Frequent reports leave the addresses out.
    me.receive_report(now + 10 * MS, as_representative(&mut first, now, view(0, 12)), true);
    me.expire_peers(now + Duration::from_secs(10));
    assert_eq!(me.representative_addresses().collect::<Vec<_>>(), [elsewhere]);
}

#[test]
fn instances_that_change_their_cell_are_counted_once() {
    let now = Instant::now();
    let (mut other, mut me) = (cell("b", &[]), cell("a", &[]));
    let with = |mut report: Report, units| {
        report.admitted_units = spent(units);
        report
    };
    me.receive_report(now, with(report(&mut other, now), 100), true);
    assert_eq!((me.live_peer_count(now), me.remote_reports(now).count()), (1, 0));
    me.set_peers(|_| false);
    assert_eq!((me.live_peer_count(now), me.remote_reports(now).count()), (0, 1));
    me.set_peers(|_| true);
    // What it admitted meanwhile was told by those who represented its cell.
    let heard = me.receive_report(now, with(report(&mut other, now), 130), true);
    assert_eq!(heard.expect("news").admitted_units.own_cell, spent(0));
    let heard = me.receive_report(now, with(report(&mut other, now), 150), true);
    assert_eq!(heard.expect("news").admitted_units.own_cell, spent(20));
}
