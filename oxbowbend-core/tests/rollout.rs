//! Rollouts: exposure limits, regression detection, and conflicting decisions of instances.

use std::time::{Duration, Instant};

use oxbowbend_core::rollout::detector::find_regression;
use oxbowbend_core::rollout::responses::{
    ResponseCounterKey, ResponseHistory, ResponseOutcome, VersionGroup,
};
use oxbowbend_core::rollout::{
    EndpointRole, PeerLocation, Phase, PhaseReason, RolloutLimits, RolloutRecord, RolloutSpec,
    Rollouts, Status,
};
use oxbowbend_core::routes::Endpoint;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);
const LIMITS: RolloutLimits = RolloutLimits { max_candidate_share: 0.1 };
const DURATION: Duration = Duration::from_secs(20);
const MAX_REQUEST_DURATION: Duration = Duration::from_secs(4);
/// The rollout of the simulated responses.
const ROLLOUT: u32 = 1;

fn spec(destination: &str) -> RolloutSpec {
    RolloutSpec { service: "s".into(), destination: destination.into(), duration: DURATION }
}

fn endpoint(id: &str, version: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "z".into(),
        slots: 4,
        leaving: false,
        started_at_ms: 0,
        version: version.into(),
    }
}

/// Returns 20 endpoints of version 1 and 20 of version 2.
fn endpoints() -> Vec<Endpoint> {
    let of_version =
        |version: &'static str| (0..20).map(move |n| endpoint(&format!("e{version}-{n}"), version));
    of_version("1").chain(of_version("2")).collect()
}

fn started(now: Instant) -> Rollouts {
    let mut rollouts = Rollouts::new(LIMITS);
    rollouts.start(now, spec("2"), MAX_REQUEST_DURATION);
    rollouts.set_endpoints(now, &endpoints());
    rollouts
}

fn phase(rollouts: &mut Rollouts, now: Instant) -> Phase {
    rollouts.make_records(now, PeerLocation::SameCell)[0].phase
}

/// How a version responds.
#[derive(Clone, Copy)]
struct Behavior {
    /// Shares of failures and of slow responses, and how many times slower these are.
    failure_share: f64,
    slow_share: f64,
    slowdown: f64,
    /// Seconds until the regression starts.
    from: u64,
    /// Number of affected routes, out of six.
    routes: u16,
}

const GOOD: Behavior =
    Behavior { failure_share: 0.01, slow_share: 0.0, slowdown: 1.0, from: 0, routes: 6 };

/// A disturbance that affects both versions.
#[derive(Clone, Copy)]
enum Disturbance {
    Calm,
    /// A quarter of all responses fail for 3 s.
    Crashes,
    /// All responses take four times as long for 3 s.
    LoadPeak,
    /// All responses take four times as long from a second after the shift, when the candidate gets
    /// all requests.
    LoadPeakAfterShift,
    /// All endpoints of the candidate are slow engines, as are a third of the others.
    SlowCanary,
    /// Endpoints stall briefly at random; the candidate has one endpoint, the baseline ten.
    Stalls,
}

/// Tick at which all traffic shifts, in quarters of a second.
const SHIFT_TICK: u32 = 48;

/// Simulates 20 s of a service with one in 13 requests going to the candidate. Returns when a
/// regression is detected.
fn time_to_detection(
    seed: u64,
    per_s: u32,
    version: Behavior,
    disturbance: Disturbance,
) -> Option<Duration> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let (start, mut history) = (Instant::now(), ResponseHistory::default());
    for tick in 0..80_u32 {
        let now = start + tick * 250 * MS;
        let stall_probability = if matches!(disturbance, Disturbance::Stalls) { 0.08 } else { 0.0 };
        let stalled_endpoints: Vec<bool> =
            (0..11).map(|_| rng.random_bool(stall_probability)).collect();
        for n in 0..per_s / 4 {
            let is_shifted =
                matches!(disturbance, Disturbance::LoadPeakAfterShift) && tick >= SHIFT_TICK;
            let is_candidate = is_shifted || (n + tick).is_multiple_of(13);
            let group = if is_candidate { VersionGroup::Candidate } else { VersionGroup::Baseline };
            let route = rng.random_range(0..6_u16);
            let is_affected = group == VersionGroup::Candidate
                && u64::from(tick) >= version.from * 4
                && route < version.routes;
            let behavior = if is_affected { version } else { GOOD };
            let is_disturbed = (24..36).contains(&tick);
            let failure_share = match disturbance {
                Disturbance::Crashes if is_disturbed => 0.25,
                _ => behavior.failure_share,
            };
            // A third of the endpoints is 4.4 times slower, and prompt lengths vary.
            let is_slow_canary =
                group == VersionGroup::Candidate && matches!(disturbance, Disturbance::SlowCanary);
            let engine_factor =
                if is_slow_canary || rng.random_bool(1.0 / 3.0) { 4.4 } else { 1.0 };
            let stalled = if group == VersionGroup::Candidate {
                stalled_endpoints[0]
            } else {
                stalled_endpoints[1 + n as usize % 10]
            };
            let stall_factor = if stalled { 20.0 } else { 1.0 };
            let is_peak = match disturbance {
                Disturbance::LoadPeak => is_disturbed,
                Disturbance::LoadPeakAfterShift => tick >= SHIFT_TICK + 4,
                _ => false,
            };
            let peak_factor = if is_peak { 4.0 } else { 1.0 };
            let slow_factor =
                if rng.random_bool(behavior.slow_share) { behavior.slowdown } else { 1.0 };
            let ns_per_unit = 20_000.0
                * engine_factor
                * peak_factor
                * slow_factor
                * stall_factor
                * rng.random_range(0.5..2.0);
            let outcome = match rng.random_bool(failure_share) {
                true => ResponseOutcome::Failure,
                false => ResponseOutcome::Success { ns_per_unit },
            };
            history.add(
                now,
                ResponseCounterKey::new(ROLLOUT, &route.to_string(), group, outcome),
                1,
            );
        }
        if find_regression(&history).is_some() {
            return Some(now - start);
        }
    }
    None
}

/// Bad versions are detected in time. Columns: defect, requests per second, version, and limits in
/// seconds on the median and the longest time to detection.
#[test]
fn regressions_are_detected_in_time() {
    let bad = |failure_share, slow_share, from, routes| Behavior {
        failure_share,
        slow_share,
        slowdown: 5.0,
        from,
        routes,
    };
    let rows = [
        ("30% failures", 560, bad(0.3, 0.0, 0, 6), 2.0, 5.0),
        ("30% failures from 10 s on", 560, bad(0.3, 0.0, 10, 6), 3.0, 6.0),
        ("50% failures on one route", 560, bad(0.5, 0.0, 0, 1), 4.0, 9.0),
        ("60% of responses 5 times slower", 560, bad(0.01, 0.6, 0, 6), 3.0, 8.0),
        ("30% failures, little traffic", 120, bad(0.3, 0.0, 0, 6), 6.0, 15.0),
    ];
    for (defect, per_s, version, max_median, max_longest) in rows {
        let detection = |seed| time_to_detection(seed, per_s, version, Disturbance::Calm);
        let mut times: Vec<f64> = (0..20)
            .map(|seed| detection(seed).map_or(f64::INFINITY, |t| t.as_secs_f64()))
            .map(|t| t - version.from as f64)
            .collect();
        times.sort_by(f64::total_cmp);
        println!("{defect}: median {:.2} s, maximum {:.2} s", times[10], times[19]);
        assert!(times[10] <= max_median && times[19] <= max_longest, "{defect}: {times:?}");
    }
}

/// Good versions are not rolled back because of correlated slow responses: a stall delays several
/// responses at once, a canary may run on slow engines, and machines may slow down at the shift,
/// when the baseline no longer gets requests.
#[test]
fn good_versions_are_not_rolled_back() {
    for (name, disturbance) in [
        ("calm", Disturbance::Calm),
        ("crashes", Disturbance::Crashes),
        ("load peak", Disturbance::LoadPeak),
        ("load peak after the shift", Disturbance::LoadPeakAfterShift),
        ("canary of slow engines", Disturbance::SlowCanary),
        ("stalls", Disturbance::Stalls),
    ] {
        for per_s in [120, 560] {
            let detections: Vec<_> = (0..60)
                .filter_map(|seed| time_to_detection(seed, per_s, GOOD, disturbance))
                .collect();
            println!("{name} at {per_s}/s: {} of 60 rolled back", detections.len());
            assert!(detections.is_empty(), "{name} at {per_s}/s: {detections:?}");
        }
    }
}

#[test]
fn candidate_share_is_limited_on_each_instance() {
    let now = Instant::now();
    let mut rollouts = started(now);
    let mut candidate_requests = 0;
    for n in 1..=5000_u32 {
        candidate_requests +=
            u32::from(rollouts.assign_request(&"s".into(), true, true) != "s".into());
        assert!(
            f64::from(candidate_requests) <= f64::from(n) * LIMITS.max_candidate_share,
            "{candidate_requests} of {n}"
        );
    }
    assert!(candidate_requests > 350, "{candidate_requests}");
    // Retries don't go to a canary, nor do requests without an endpoint for it.
    assert_eq!(rollouts.assign_request(&"s".into(), true, false), "s".into());
    assert_eq!(rollouts.assign_request(&"s".into(), false, true), "s".into());
    assert_eq!(rollouts.assign_request(&"other".into(), true, true), "other".into());
}

#[test]
fn canary_endpoints_match_the_candidate_share() {
    let now = Instant::now();
    let mut rollouts = started(now);
    let roles = rollouts.set_endpoints(now, &endpoints());
    let count =
        |predicate: fn(&EndpointRole) -> bool| roles.iter().filter(|role| predicate(role)).count();
    assert_eq!(count(|role| *role == EndpointRole::Service), 20);
    // 8% of the requests occupy two of twenty endpoints.
    assert_eq!(count(|role| matches!(role, EndpointRole::Version(_))), 2);
    assert_eq!(count(|role| *role == EndpointRole::Excluded), 18);
}

/// A good version passes all phases: it completes once the baseline is drained, which is then
/// retired.
#[test]
fn good_version_completes_before_the_deadline() {
    let now = Instant::now();
    let mut rollouts = started(now);
    let old = endpoint("e1-0", "1");
    rollouts.request_started(&old);
    let mut complete = None;
    for tick in 0..200_u32 {
        let at = now + tick * 100 * MS;
        rollouts.advance(at);
        let is_shifted = phase(&mut rollouts, at) == Phase::Shift;
        if is_shifted && tick % 160 == 0 {
            rollouts.request_finished(at, &old, "r", None);
        }
        let due = rollouts.due_status_writes(at);
        if due.iter().any(|(_, status)| *status == Status::Complete) {
            complete.get_or_insert(at);
            rollouts.apply_stored_status(at, &"s".into(), &"2".into(), Status::Complete);
        }
    }
    let complete = complete.expect("the rollout did not complete");
    // Requests on the baseline are awaited until shortly before the deadline.
    assert!(complete > now + 16 * S && complete < now + DURATION, "{:?}", complete - now);
    let roles = rollouts.set_endpoints(complete, &endpoints());
    assert!(roles[..20].iter().all(|p| *p == EndpointRole::Excluded));
    assert!(roles[20..].iter().all(|p| matches!(p, EndpointRole::Version(_))));
    rollouts.advance(complete + 11 * S);
    assert!(rollouts
        .set_endpoints(complete, &endpoints())
        .iter()
        .all(|p| *p == EndpointRole::Service));
    assert_eq!(rollouts.assign_request(&"s".into(), true, true), "s".into());
}

#[test]
fn bad_version_is_rolled_back_for_good() {
    let now = Instant::now();
    let mut rollouts = started(now);
    let (old, new) = (endpoint("e1-0", "1"), endpoint("e2-0", "2"));
    for n in 0..400 {
        let answer = ResponseOutcome::Success { ns_per_unit: 20_000.0 };
        rollouts.request_finished(now, &old, "r", Some(answer));
        if n % 13 == 0 {
            rollouts.request_finished(now, &new, "r", Some(ResponseOutcome::Failure));
        }
    }
    rollouts.advance(now);
    let changes = rollouts.take_changes();
    assert!(matches!(changes.last().map(|c| c.reason), Some(PhaseReason::Worse(_))), "{changes:?}");
    for repeated in [spec("2"), RolloutSpec { duration: S, ..spec("2") }] {
        rollouts.start(now, repeated, MAX_REQUEST_DURATION);
        assert_eq!(rollouts.assign_request(&"s".into(), true, true), "s".into());
        assert_eq!(rollouts.due_status_writes(now)[0].1, Status::RolledBack);
    }
    // An order for another version starts a new rollout.
    rollouts.start(now, spec("3"), MAX_REQUEST_DURATION);
    assert_eq!(phase(&mut rollouts, now), Phase::Canary);
}

#[test]
fn rollout_to_the_running_version_completes() {
    let now = Instant::now();
    let mut rollouts = Rollouts::new(LIMITS);
    rollouts.start(now, spec("1"), MAX_REQUEST_DURATION);
    let endpoints = [endpoint("a", "1"), endpoint("b", "1")];
    let roles = rollouts.set_endpoints(now, &endpoints);
    // Until then, all endpoints serve the candidate service.
    assert!(roles.iter().all(|role| matches!(role, EndpointRole::Version(_))), "{roles:?}");
    (0..20).for_each(|_| assert_ne!(rollouts.assign_request(&"s".into(), true, true), "s".into()));
    rollouts.advance(now);
    assert_eq!(rollouts.due_status_writes(now)[0].1, Status::Running);
    rollouts.advance(now + 4 * S);
    assert_eq!(rollouts.due_status_writes(now + 4 * S)[0].1, Status::Complete);
}

#[test]
fn rollout_without_endpoints_is_rolled_back() {
    let now = Instant::now();
    let mut rollouts = Rollouts::new(LIMITS);
    rollouts.start(now, spec("2"), MAX_REQUEST_DURATION);
    rollouts.advance(now + DURATION);
    assert!(
        rollouts.due_status_writes(now + DURATION).is_empty(),
        "a status was due for an unknown service"
    );
    rollouts.set_endpoints(now, &[endpoint("a", "1")]);
    rollouts.advance(now + DURATION);
    assert_eq!(rollouts.due_status_writes(now + DURATION)[0].1, Status::RolledBack);
}

/// An event on one of three instances or the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Event {
    /// The instance reads the order.
    ReadOrder(usize),
    /// The instance sees failures of the candidate after successes of the baseline.
    FailCandidate(usize),
    /// The first instance sends its records to the second.
    SendRecords(usize, usize),
    /// Time passes until after the shift.
    PassTime,
    /// The instance restarts without any state.
    Restart(usize),
    /// The instance writes the status that is due, unless the store has a final one.
    WriteStatus(usize),
    /// The store is restored from a backup without any status.
    RestoreStore,
}

const INSTANCES: usize = 3;

fn events() -> Vec<Event> {
    let mut all = vec![Event::PassTime, Event::RestoreStore];
    for n in 0..INSTANCES {
        all.extend([
            Event::ReadOrder(n),
            Event::FailCandidate(n),
            Event::Restart(n),
            Event::WriteStatus(n),
        ]);
        all.push(Event::SendRecords(n, (n + 1) % INSTANCES));
    }
    all
}

struct Fleet {
    now: Instant,
    instances: Vec<Rollouts>,
    status: Option<Status>,
    /// Final statuses written since the store was last restored.
    final_statuses: Vec<Status>,
}

impl Fleet {
    fn new() -> Fleet {
        let instances = (0..INSTANCES).map(|_| Rollouts::new(LIMITS)).collect();
        Fleet { now: Instant::now(), instances, status: None, final_statuses: Vec::new() }
    }

    fn apply(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::ReadOrder(n) => {
                self.instances[n].start(now, spec("2"), MAX_REQUEST_DURATION);
                self.instances[n].set_endpoints(now, &endpoints());
            }
            Event::FailCandidate(n) => {
                let (old, new) = (endpoint("e1-0", "1"), endpoint("e2-0", "2"));
                let good = ResponseOutcome::Success { ns_per_unit: 20_000.0 };
                (0..60)
                    .for_each(|_| self.instances[n].request_finished(now, &old, "r", Some(good)));
                (0..9).for_each(|_| {
                    self.instances[n].request_finished(
                        now,
                        &new,
                        "r",
                        Some(ResponseOutcome::Failure),
                    )
                });
                self.instances[n].advance(now);
            }
            Event::SendRecords(from, to) => {
                let records = self.instances[from].make_records(now, PeerLocation::SameCell);
                let name = format!("i{from}").as_str().into();
                self.instances[to].apply_records(
                    now,
                    &name,
                    PeerLocation::SameCell,
                    &records,
                    |_| MAX_REQUEST_DURATION,
                );
                self.instances[to].set_endpoints(now, &endpoints());
            }
            Event::PassTime => {
                self.now += 15 * S;
                self.instances.iter_mut().for_each(|i| i.advance(now + 15 * S));
            }
            Event::Restart(n) => {
                self.instances[n] = Rollouts::new(LIMITS);
                self.instances[n].set_endpoints(now, &endpoints());
            }
            Event::WriteStatus(n) => self.write(n),
            Event::RestoreStore => {
                self.status = None;
                self.final_statuses.clear();
                self.instances.iter_mut().for_each(Rollouts::forget_stored_statuses);
            }
        }
    }

    fn write(&mut self, n: usize) {
        let Some((spec, status)) = self.instances[n].due_status_writes(self.now).pop() else {
            return;
        };
        let known = match self.status {
            Some(Status::Complete | Status::RolledBack) => self.status.unwrap_or(status),
            _ => status,
        };
        if known != Status::Running && self.status != Some(known) {
            self.final_statuses.push(known);
        }
        self.status = Some(known);
        self.instances[n].apply_stored_status(self.now, &spec.service, &spec.destination, known);
    }

    fn check(&mut self, history: &[Event]) {
        assert!(self.final_statuses.len() <= 1, "{history:?}: {:?}", self.final_statuses);
        for instance in &mut self.instances {
            for RolloutRecord { phase, .. } in
                instance.make_records(self.now, PeerLocation::SameCell)
            {
                let service = instance.assign_request(&"s".into(), true, false);
                let is_candidate = service != "s".into();
                let may_send = matches!(phase, Phase::Shift | Phase::Complete);
                assert_eq!(is_candidate, may_send, "{history:?}: {phase:?}");
            }
        }
    }
}

fn replay(history: &[Event]) -> Fleet {
    let mut fleet = Fleet::new();
    for event in history {
        fleet.apply(*event);
        fleet.check(history);
    }
    fleet
}

/// No history of four events, after two instances have read the order, leads to two final statuses
/// or to requests being sent to a version that was rolled back.
#[test]
fn three_instances_never_write_two_final_statuses() {
    let all = events();
    let prefix = [Event::ReadOrder(0), Event::ReadOrder(1)];
    let mut final_statuses = 0;
    for n in 0..all.len().pow(4) {
        let digits = (0..4).map(|place| all[n / all.len().pow(place) % all.len()]);
        let history: Vec<_> = prefix.into_iter().chain(digits).collect();
        final_statuses += replay(&history).final_statuses.len();
    }
    assert!(final_statuses > 1000, "{final_statuses}");
}

/// Records that arrive out of order never move a rollout back to an earlier phase.
#[test]
fn phases_only_move_forward() {
    let now = Instant::now();
    let all = [Phase::Canary, Phase::Shift, Phase::RolledBack, Phase::Complete, Phase::Retired];
    for first in all {
        for second in all {
            let mut rollouts = started(now);
            let mut records = rollouts.make_records(now, PeerLocation::SameCell);
            for phase in [first, second] {
                records[0].phase = phase;
                rollouts.apply_records(now, &"i".into(), PeerLocation::SameCell, &records, |_| {
                    MAX_REQUEST_DURATION
                });
            }
            assert_eq!(phase(&mut rollouts, now), first.max(second));
        }
    }
}
