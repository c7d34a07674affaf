//! Numbers that other processes choose: none ends this one, whatever it is. Tests run with checked arithmetic.

#![recursion_limit = "256"]

mod cells;

use std::time::{Duration, Instant};

use cells::{cell, endpoint, key, want, MS};
use oxbowbend_core::admission::AdmissionController;
use oxbowbend_core::cell::{Cell, FleetSummary, Report, ReportDetail, RetryPolicy};
use oxbowbend_core::overflow::{Criteria, Overflow};
use oxbowbend_core::quarantine::Quarantine;
use oxbowbend_core::quota::{QuotaPolicy, SnapshotAge};
use oxbowbend_core::rollout::responses::VersionGroup;
use oxbowbend_core::rollout::{PeerLocation, RolloutLimits, RolloutSpec, Rollouts};
use oxbowbend_core::routes::{Endpoint, Quota};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{json, Value};

const PLAYS: u64 = 400;

/// Numbers from none to the largest of a type.
fn number(rng: &mut Pcg64, max: u64) -> u64 {
    let small = rng.random_range(0..20);
    *[0, 1, small, 1000, max / 2, max / 2 + 1, max - 1, max].choose(rng).expect("numbers")
}

fn u32s(rng: &mut Pcg64) -> u64 {
    number(rng, u32::MAX.into())
}

fn u64s(rng: &mut Pcg64) -> u64 {
    number(rng, u64::MAX)
}

fn waiting(rng: &mut Pcg64) -> Value {
    json!({
        "s": "s", "k": rng.random_range(0..3), "w": u32s(rng), "o": u32s(rng), "p": u32s(rng), "n": u32s(rng),
        "h": { "t": u32s(rng), "p": u32s(rng) },
    })
}

fn evidence(rollout: &RolloutSpec, rng: &mut Pcg64) -> Value {
    let group = [VersionGroup::Baseline, VersionGroup::Candidate];
    let group = group.choose(rng).expect("groups");
    let bucket = *[0, 1, 200].choose(rng).expect("buckets");
    json!([{ "o": rollout.id(), "r": 1, "s": group, "c": bucket }, u64s(rng)])
}

/// Values of the fields of a report.
fn fields(rollout: &RolloutSpec, rng: &mut Pcg64) -> Value {
    let limits = |rng: &mut Pcg64| {
        let per_s = *[0.0, 1.0, 1e9, f64::MAX].choose(rng).expect("limits");
        json!([[key("e0"), per_s, u32s(rng)], [key("e1"), per_s, 0]])
    };
    let used = json!([["a", u64s(rng)]]);
    let free = json!([["s", u32s(rng)], ["s", u32s(rng)]]);
    json!({
        "r": u64s(rng), "v": u64s(rng), "E": u64s(rng), "o": u32s(rng), "G": u32s(rng), "g": u32s(rng), "d": 0,
        "y": true, "H": 1, "h": u32s(rng), "f": rng.random::<bool>(), "b": rng.random::<bool>(),
        "e": [[key("e0"), u32s(rng), u32s(rng)], [key("e0"), u32s(rng), u32s(rng)], [7, u32s(rng), 0]],
        "t": [[key("e0"), u64s(rng), u64s(rng), u64s(rng), u32s(rng)],
              [key("e1"), u64s(rng), u64s(rng), u64s(rng), u32s(rng)]],
        "w": [waiting(rng), waiting(rng), waiting(rng)],
        "N": [["s", [[0, u32s(rng)], [1, u32s(rng)]]]], "P": [["s", [[0, u32s(rng)], [1, u32s(rng)]]]],
        "u": used, "c": used, "L": [["a", [u64s(rng), u64s(rng)]]], "W": [["a", [u64s(rng), u64s(rng), u64s(rng)]]],
        "k": rng.random::<bool>(), "q": u32s(rng), "D": number(rng, 2), "F": free,
        "R": [{ "s": "s", "d": "v2", "a": u32s(rng), "t": u32s(rng), "p": "Shift", "r": u32s(rng), "b": u32s(rng) }],
        "V": [evidence(rollout, rng), evidence(rollout, rng)], "C": [evidence(rollout, rng)],
        "B": { "l": limits(rng), "b": limits(rng), "x": [9] },
        "J": [[key("e0"), u32s(rng)]],
        "Q": { "v": [{ "f": 5, "n": u32s(rng), "t": u32s(rng), "l": u32s(rng) }], "a": [{ "f": 5, "a": u32s(rng) }],
               "e": [{ "k": key("e0"), "a": u32s(rng), "r": [[5, true]], "p": [[6, 5]] }] },
    })
}

/// A report with extreme numbers of an instance, or of one of the representatives of other cells.
fn report(name: &str, sequence: u64, rollout: &RolloutSpec, rng: &mut Pcg64) -> Report {
    let mut report = fields(rollout, rng);
    (report["i"], report["z"]) = (name.into(), "z0".into());
    (report["l"], report["n"]) = (1.into(), sequence.into());
    report["x"] = json!({
        "b": { "h": u32s(rng), "y": u32s(rng) }, "u": [["a", u64s(rng)]], "l": [["a", [u64s(rng), u64s(rng)]]],
        "v": [evidence(rollout, rng)], "F": [[1, "s", u32s(rng)], [2, "s", u32s(rng)]], "f": true,
    });
    serde_json::from_value(report).expect("a report")
}

fn endpoints(rng: &mut Pcg64) -> Vec<Endpoint> {
    let slots = [u32s(rng) as u32, u32::MAX, 8];
    let version = |n: usize| if n == 0 { "v1".into() } else { "v2".into() };
    let of =
        |(n, slots): (usize, u32)| Endpoint { version: version(n), ..endpoint(n as u8, slots) };
    slots.into_iter().enumerate().map(of).collect()
}

fn use_cell(cell: &mut Cell, now: Instant, rng: &mut Pcg64) {
    for n in 0..3 {
        let mut request = want(n, u32s(rng) as u32, now - 20 * MS);
        request.output_tokens = u32s(rng) as u32;
        request.objective = Duration::from_millis(u64s(rng));
        cell.queue_outlook(now, &request);
        let ticket = cell.enqueue(request.clone());
        cell.should_shed(now, ticket);
        cell.should_refuse(now, ticket, 100 * MS);
        cell.assign_to(now, key("e2"), &request);
    }
    for placed in cell.assign(now) {
        let after = Duration::from_nanos(u64s(rng));
        cell.record_first_event(now, placed.endpoint.key(), u32s(rng) as u32, u32::MAX, after);
    }
    let policy = RetryPolicy { objective: 500 * MS, max_delay: 4000 * MS, jitter: rng.random() };
    cell.refuse(now, &"s".into(), 1, policy);
    cell.refuse_late(now, &"s".into(), 1, policy, 100 * MS);
    cell.free_slots(now);
    cell.admits_overflow(now, &"s".into());
    cell.load(now, key("e0"));
    cell.expectation(now, key("e0"), u32s(rng) as u32);
    cell.remote_instances(now);
    cell.reported_remote_instances(now);
    cell.paces_to_persist(now);
    cell.take_floor_changes(now);
    cell.signals_for_other_cells(now);
    let sent = cell.report(now, ReportDetail::Full);
    serde_json::to_string(&sent).expect("a report can be written");
    cell.update_reachability(now, |_| true);
    cell.expire_peers(now);
}

/// What an instance keeps of others' reports.
struct Instance {
    cell: Cell,
    overflow: Overflow,
    admission: AdmissionController,
    rollouts: Rollouts,
    quarantine: Quarantine,
}

impl Instance {
    fn new(now: Instant, order: &RolloutSpec, rng: &mut Pcg64) -> Instance {
        let endpoints = endpoints(rng);
        let mut cell = cell("a", &endpoints);
        cell.set_forecasts(true);
        cell.set_rank_floor(true);
        cell.set_representative(rng.random());
        cell.restore_pace(key("e1"), u64s(rng));
        let policy = QuotaPolicy { window: Duration::from_secs(8), overage: 0.1, slack: 10.0 };
        let mut admission = AdmissionController::new(policy);
        admission.configure([(&"a".into(), Quota { per_s: 5.0, burst: 10.0 })]);
        let window = [u64s(rng), u64s(rng), u64s(rng)];
        admission.quotas.restore(now, "a", &window, SnapshotAge::Old);
        let mut rollouts = Rollouts::new(RolloutLimits { max_candidate_share: 0.1 });
        rollouts.start(now, order.clone(), Duration::from_millis(u64s(rng)));
        rollouts.set_endpoints(now, &endpoints);
        let quarantine = Quarantine::new(&"a".into());
        Instance { cell, overflow: Overflow::default(), admission, rollouts, quarantine }
    }

    fn hear(&mut self, now: Instant, report: Report, is_near: bool) {
        self.quarantine.apply_update(now, &report.quarantine);
        let location = if is_near { PeerLocation::SameCell } else { PeerLocation::OtherCell };
        let limit = |_: &_| Duration::from_millis(u64::MAX);
        let (from, records) = (report.instance.clone(), report.rollouts.clone());
        self.rollouts.apply_records(now, &from, location, &records, limit);
        self.overflow.receive(now, &report, is_near);
        for (account, window) in &report.usage_windows {
            self.admission.quotas.restore_from_peer(now, account, window);
        }
        let Some(heard) = self.cell.receive_report(now, report, is_near) else { return };
        let units = heard.admitted_units;
        for (account, n) in units.own_cell.into_iter().chain(units.other_cells) {
            self.admission.record_remote(now, &account, n as f64, is_near);
        }
        for (key, n) in heard.evidence.own_cell.into_iter().chain(heard.evidence.other_cells) {
            self.rollouts.add_peer_responses(now, key, n, is_near);
        }
    }

    fn use_all(&mut self, now: Instant, rng: &mut Pcg64) {
        use_cell(&mut self.cell, now, rng);
        let units = u64s(rng);
        // The wait of one that is refused is told to the caller in milliseconds.
        let _ = self.admission.admit(now, "a", units, 1).map_err(|e| e.retry_after.as_millis());
        self.admission.refund("a", units);
        self.admission.usage("a");
        let quotas = &mut self.admission.quotas;
        quotas.window_usage(now);
        quotas.cell_recent(now);
        quotas.recent_loads(now);
        quotas.is_near_limit();
        quotas.cell_totals().count();
        self.rollouts.advance(now);
        self.rollouts.due_status_writes(now);
        self.rollouts.make_records(now, PeerLocation::OtherCell);
        self.rollouts.cell_counters().count();
        self.quarantine.evaluate(now);
        self.quarantine.check_send(now, 5, &[]);
        self.quarantine.decisions_to_store(now, true);
        self.overflow.total_free_slots(now);
        let cells = [(1, "x"), (2, "y")];
        let cells = cells.map(|(n, name)| (n, [(name.into(), "z0".into())].into())).into();
        let (service, zone) = ("s".into(), "z0".into());
        let criteria = Criteria { service: &service, zone: &zone, cells: &cells, excluded: &[] };
        self.overflow.choose(now, criteria, rng);
    }
}

fn play(seed: u64) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut now = Instant::now();
    let order = RolloutSpec {
        service: "s".into(),
        destination: "v2".into(),
        duration: Duration::from_secs(7 * 24 * 3600),
    };
    let mut instance = Instance::new(now, &order, &mut rng);
    for sequence in 1..8 {
        for (name, is_near) in [("b", true), ("c", true), ("x", false), ("y", false)] {
            instance.hear(now, report(name, sequence, &order, &mut rng), is_near);
        }
        instance.use_all(now, &mut rng);
        now += Duration::from_millis(rng.random_range(0..400));
    }
}

/// A number of another instance or of an entry went into checked arithmetic under the state's lock: the process ended,
/// and with it the others, which had the same number.
#[test]
fn no_number_in_reports_and_entries_ends_an_instance() {
    (0..PLAYS).for_each(play);
}

/// Two endpoints whose slots are more than a `u32` holds had no free slot, or few, where arithmetic wraps.
#[test]
fn slots_that_add_up_to_more_than_the_largest_number_are_not_few() {
    let now = Instant::now();
    let mut cell = cell("a", &[endpoint(0, u32::MAX), endpoint(1, 8)]);
    assert_eq!(cell.free_slots(now), [("s".into(), u32::MAX)]);
    assert_eq!(cell.queue_outlook(now, &want(0, 100, now)).free, u32::MAX);
    cell.enqueue(want(0, 100, now));
    assert_eq!(cell.assign(now).len(), 1);
}

#[test]
fn totals_of_other_cells_are_capped_not_wrapped() {
    let now = Instant::now();
    let mut cell = cell("a", &[]);
    for (name, index) in [("x", 1), ("y", 2)] {
        let report = Report {
            instance: name.into(),
            is_representative: true,
            cell_index: index,
            reachable_count: Some(u32::MAX),
            cell_ready: u32::MAX,
            fleet_summary: Some(FleetSummary::default()),
            sequence: 1,
            ..Report::default()
        };
        cell.receive_report(now, report, false);
    }
    let remote = cell.remote_instances(now);
    assert_eq!((remote.reachable, remote.ready), (u32::MAX, u32::MAX));
}
