//! An instance that was suspended knows nothing of what happened meanwhile, and callers' requests wait in its sockets.

use std::time::{Duration, Instant};

use async_std::task;
use bytes::Bytes;
use futures::future;
use http::Request;
use oxbowbend_http::h1;
use rustix::process::Signal;

use crate::caller;
use crate::fleet::{Fleet, KEY, LIMITED_KEY};
use crate::press;

/// How the others use a quota up while an instance is suspended.
#[derive(Clone, Copy)]
struct Pace {
    suspended_for: Duration,
    /// Requests at once.
    width: usize,
}

/// Seeds of their own, of one cell each: suspended for less and for more time than its peers count as alive. Callers
/// wait for 4 s.
const PLAYS: [(u64, Pace); 3] = [
    (225, Pace { suspended_for: Duration::from_millis(1100), width: 60 }),
    (227, Pace { suspended_for: Duration::from_millis(2200), width: 60 }),
    // The others' reports are more than a socket holds.
    (229, Pace { suspended_for: Duration::from_millis(1600), width: 10 }),
];
/// Seeds of one cell and of two, for routes that are added.
const ROUTE_SEEDS: [u64; 2] = [231, 232];
const ROUTE_SUSPENDED_FOR: Duration = Duration::from_millis(1000);
const ROUTE_REQUESTS: usize = 40;

/// The instance that is suspended.
const SUSPENDED: usize = 0;
/// Requests that wait for it when it goes on.
const WAITING: usize = 560;
/// Time after a start within which all instances hear each other.
const SETTLED: Duration = Duration::from_millis(1500);
/// Requests that use the quota up.
const ENOUGH: usize = 720;
/// Requests of the account that may run in a window: (1 x 8 + 10) x 1.1 and `quota_slack`.
const ALLOWED: usize = 1019;
/// Those that instances let in which all hear each other: as many, with six tenths of the slack.
const USABLE: usize = 619;
/// Part of them that an account which asks for more gets of the others, also once they do not hear the suspended one.
const LEAST_USED: f64 = 0.65;
/// Requests that one which goes on may let in all the same, of those whose reports were on their way.
const TOLERATED: usize = 40;
/// Longest time after which an instance that goes on answers what waited: by then it has heard the others.
const ANSWERED_WITHIN: Duration = Duration::from_millis(900);

/// Connections that callers keep: an instance that is suspended takes no new ones.
async fn connect(fleet: &Fleet, count: usize) -> Vec<h1::Conn> {
    let cfg = h1::PoolConfig { connect: Duration::from_millis(500), idle: Duration::ZERO };
    let (pool, callers) = (h1::Pool::new(cfg), fleet.daemons[SUSPENDED].callers);
    let mut conns = Vec::new();
    for _ in 0..count {
        conns.push(pool.connect(callers).await.expect("the daemon takes connections"));
        task::sleep(Duration::from_millis(1)).await;
    }
    conns
}

/// Sends a request on a kept connection; returns the status of its answer.
async fn send_on(mut conn: h1::Conn, n: usize, (key, route): (&str, &str)) -> Option<u16> {
    let req = Request::post(format!("/{route}/x"))
        .header("host", "h.example")
        .header("request-id", format!("w-{n}"))
        .header("deadline-ms", 4000)
        .header("authorization", format!("Bearer {key}"))
        .body(Bytes::from("words"));
    Some(conn.send(req.unwrap()).await.ok()?.status().as_u16())
}

/// Requests of the account that has a quota which endpoints have run.
fn runs(fleet: &Fleet) -> usize {
    let records = fleet.runs.lock().unwrap();
    records.runs.values().flatten().filter(|account| *account == "account-two").count()
}

async fn use_quota(fleet: &Fleet, width: usize) {
    for n in 0..ENOUGH / width {
        let all = (0..width).map(|m| {
            let (daemon, id) = (fleet.daemons[1 + m % 3].callers, format!("u-{n}-{m}"));
            caller::send_as(LIMITED_KEY, daemon, "again", "again", id, Bytes::from("words"))
        });
        future::join_all(all).await;
    }
}

/// Uses a quota up while an instance is suspended; returns what was not as it must be.
async fn play(seed: u64, Pace { suspended_for, width }: Pace) -> Vec<String> {
    let fleet = Fleet::start(seed).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    let conns = connect(&fleet, WAITING).await;
    // A fleet that starts is heard in part, and admits less.
    task::sleep(SETTLED).await;
    fleet.daemons[SUSPENDED].signal(Signal::STOP);
    let from = Instant::now();
    let waiting =
        conns.into_iter().enumerate().map(|(n, conn)| send_on(conn, n, (LIMITED_KEY, "again")));
    let waiting = future::join_all(waiting);
    let others = async {
        use_quota(&fleet, width).await;
        let before = runs(&fleet);
        task::sleep(suspended_for.saturating_sub(from.elapsed())).await;
        fleet.daemons[SUSPENDED].signal(Signal::CONT);
        (before, Instant::now())
    };
    let (waiting, (before, going_on)) = future::join(waiting, others).await;
    let (took, all) = (going_on.elapsed(), runs(&fleet));
    let late = all - before;
    let answered = waiting.into_iter().flatten().count();
    println!(
        "seed {seed}: suspended for {:?}, {before} run by the others, {late} by the one that went on, \
         {answered} of {WAITING} answered in {took:?}",
        going_on - from
    );
    let mut broken = Vec::new();
    if (before as f64) < LEAST_USED * USABLE as f64 {
        broken.push(format!("seed {seed}: only {before} of {USABLE} run by the others"));
    }
    if all > ALLOWED {
        broken.push(format!("seed {seed}: {all} run in {:?}, {ALLOWED} allowed", from.elapsed()));
    }
    if all > USABLE.max(before) + TOLERATED {
        broken.push(format!("seed {seed}: {late} let in by the one that went on, after {before}"));
    }
    if answered < WAITING || took > ANSWERED_WITHIN {
        broken.push(format!("seed {seed}: {answered} of {WAITING} answered in {took:?}"));
    }
    broken
}

/// Guards against an instance that goes on after a suspension and admits what the others have used up meanwhile, since
/// it has not read their reports yet.
#[test]
fn an_instance_that_was_suspended_does_not_admit_a_quota_again() {
    let broken = press::play_in_turn(PLAYS.into_iter().map(|(seed, pace)| play(seed, pace)));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against an instance that goes on after a suspension and refuses requests on a route that was added meanwhile,
/// as if nobody had ever heard of it: callers do not come back after that.
#[test]
fn an_instance_that_was_suspended_does_not_deny_routes_that_were_added_meanwhile() {
    let broken = press::play_in_turn(ROUTE_SEEDS.into_iter().map(|seed| async move {
        let mut fleet = Fleet::start(seed).await;
        assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
        let conns = connect(&fleet, ROUTE_REQUESTS).await;
        task::sleep(SETTLED).await;
        fleet.daemons[SUSPENDED].signal(Signal::STOP);
        fleet.configure();
        let route = format!("v{}", fleet.version);
        let waiting = conns.into_iter().enumerate();
        let waiting = waiting.map(|(n, conn)| send_on(conn, n, (KEY, &route)));
        let going_on = async {
            task::sleep(ROUTE_SUSPENDED_FOR).await;
            fleet.daemons[SUSPENDED].signal(Signal::CONT);
        };
        let (seen, ()) = future::join(future::join_all(waiting), going_on).await;
        let denied = seen.iter().filter(|status| matches!(status, Some(401 | 403 | 404))).count();
        let served = seen.iter().filter(|status| **status == Some(200)).count();
        println!("seed {seed}: {served} served, {denied} denied of {ROUTE_REQUESTS}");
        // What it has caught up with and does not know does not exist.
        task::sleep(SETTLED).await;
        let daemon = fleet.daemons[SUSPENDED].callers;
        let unknown = caller::send_to(daemon, "none", "again", format!("n-{seed}")).await;
        assert_eq!(unknown.status, Some(404), "seed {seed}: a route that does not exist");
        let broken = (denied > 0).then(|| format!("seed {seed}: {denied} denied"));
        let unserved = (served < ROUTE_REQUESTS).then(|| format!("seed {seed}: {served} served"));
        broken.into_iter().chain(unserved).collect()
    }));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
