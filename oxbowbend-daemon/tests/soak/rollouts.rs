//! Roll-outs with processes: a good version gets everything and the others nothing more, a bad one little and then
//! nothing, and the operator is told.

use std::time::{Duration, Instant};

use async_std::task;
use rustix::process::Signal;
use serde_json::json;

use crate::caller;
use crate::endpoint::Mode;
use crate::fleet::{Fleet, DAEMONS, ENDPOINTS};

/// Seeds of their own, beside those that are played meanwhile: of one cell and of two.
const GOOD: [u64; 2] = [231, 232];
const BAD: [u64; 2] = [233, 234];
/// Endpoints from which on the new version runs.
const FIRST_NEW: usize = 3;
/// Seconds that the order allows.
const DURATION: u64 = 9;
/// Time between two requests.
const PACE: Duration = Duration::from_millis(4);
/// Requests that a bad version may get: a tenth of all, and so many more.
const EXPOSURE: (f64, u64) = (0.1, 50);
/// Time for which it is looked whether endpoints are left alone.
const LOOKED: Duration = Duration::from_millis(600);

/// Requests that have reached the endpoints of each version.
struct Arrived {
    old: u64,
    new: u64,
}

fn arrived(fleet: &Fleet) -> Arrived {
    let sum = |all: &[crate::endpoint::Endpoint]| all.iter().map(|e| e.arrived()).sum();
    let (old, new) = fleet.endpoints.split_at(FIRST_NEW);
    Arrived { old: sum(old), new: sum(new) }
}

/// Presses until the operator is told of an end, or the order's time is over.
async fn play(seed: u64, mode: Mode) -> (Fleet, String, Arrived) {
    let mut fleet = Fleet::start(seed).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    for n in FIRST_NEW..ENDPOINTS {
        fleet.versions[n] = "v2";
        fleet.endpoints[n].set_mode(mode);
        fleet.enter(n);
    }
    let order = json!({ "service": "s", "destination": "v2", "duration_s": DURATION });
    fleet.store.put("op/rollout/s", &order);
    let before = arrived(&fleet);
    let until = Instant::now() + Duration::from_secs(DURATION);
    let mut state = String::new();
    for n in 0.. {
        let daemon = fleet.daemons[n % DAEMONS].callers;
        task::spawn(caller::send(daemon, "again", format!("ro-{seed}-{n}")));
        task::sleep(PACE).await;
        let status = fleet.store.value("status/rollout/s").unwrap_or_default();
        state = status["state"].as_str().unwrap_or_default().to_owned();
        assert!(state.is_empty() || status["destination"] == "v2", "{status}");
        if Instant::now() >= until || !matches!(state.as_str(), "" | "running") {
            break;
        }
        if n == 300 {
            // Whoever writes the status is not needed for the end of it.
            fleet.daemons[0].signal(Signal::KILL);
            fleet.daemons[0].restart().await;
        }
    }
    let after = arrived(&fleet);
    let during = Arrived { old: after.old - before.old, new: after.new - before.new };
    (fleet, state, during)
}

/// Requests that reach each version in a moment long after the end.
async fn afterwards(fleet: &Fleet, seed: u64) -> Arrived {
    task::sleep(LOOKED).await;
    let before = arrived(fleet);
    for n in 0..60 {
        let daemon = fleet.daemons[n % DAEMONS].callers;
        caller::send(daemon, "again", format!("ra-{seed}-{n}")).await;
    }
    let after = arrived(fleet);
    Arrived { old: after.old - before.old, new: after.new - before.new }
}

async fn good(seed: u64) {
    let (fleet, state, during) = play(seed, Mode::Good).await;
    assert_eq!(state, "complete", "seed {seed}");
    assert!(during.new > during.old / 10, "seed {seed}: {} of {}", during.new, during.old);
    let Arrived { old, new } = afterwards(&fleet, seed).await;
    assert!(old == 0 && new >= 60, "seed {seed}: {old} and {new} after the end");
}

async fn bad(seed: u64) {
    let (fleet, state, during) = play(seed, Mode::Failing).await;
    assert_eq!(state, "rolled_back", "seed {seed}");
    let all = during.old + during.new;
    let most = (EXPOSURE.0 * all as f64) as u64 + EXPOSURE.1;
    assert!(during.new <= most, "seed {seed}: {} of {all}", during.new);
    let Arrived { new, .. } = afterwards(&fleet, seed).await;
    assert_eq!(new, 0, "seed {seed}: to a version that was rolled back");
}

#[test]
fn a_good_version_gets_everything_and_the_operator_is_told() {
    task::block_on(futures::future::join_all(GOOD.map(good)));
}

#[test]
fn a_bad_version_is_left_alone_and_the_operator_is_told() {
    task::block_on(futures::future::join_all(BAD.map(bad)));
}
