//! A store that comes back from an older copy: nothing that was believed before is taken back, and what is written
//! afterwards is known although its revisions have been given out before.

use std::time::{Duration, Instant};

use async_std::task;
use rand::Rng;
use rand_pcg::Pcg64;
use rustix::process::Signal;

use crate::caller;
use crate::fleet::{Fleet, DAEMONS};
use crate::outages::{stale, IN_FORCE};
use crate::store;

/// Seeds of its own, beside those that are played meanwhile: one of one cell, one of two cells.
const SEEDS: [u64; 2] = [235, 236];
/// Endpoint that leaves after the copy was made.
const LEAVER: usize = 2;
/// Time in which all instances know of a change.
const KNOWN: Duration = Duration::from_millis(1500);
/// Time after the store's return until the operator and the endpoints have written again what they had written.
const WRITTEN_AGAIN: Duration = Duration::from_millis(1500);
/// Time after the store's return within which all instances have entered themselves again.
const ENTERED: Duration = Duration::from_millis(3000);
/// Time for which a request goes to each instance at this pace.
const PACE: Duration = Duration::from_millis(10);

/// Sends requests to all instances for a while.
async fn press(fleet: &Fleet, what: &str, time: Duration) {
    let until = Instant::now() + time;
    for n in 0.. {
        if Instant::now() >= until {
            return;
        }
        let daemon = fleet.daemons[n % DAEMONS].callers;
        task::spawn(caller::send(daemon, "again", format!("d-{what}-{n}")));
        task::sleep(PACE).await;
    }
}

async fn play(seed: u64) -> Vec<String> {
    let mut broken = Vec::new();
    let mut fleet = Fleet::start(seed).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    task::sleep(KNOWN).await;
    fleet.store.copy();
    fleet.configure();
    fleet.leave(LEAVER);
    task::sleep(KNOWN).await;
    let before = fleet.endpoints[LEAVER].arrived();
    fleet.store.set_mode(store::Mode::Refusing);
    fleet.store.cut_watches();
    let lost = fleet.store.restore();
    task::sleep(Duration::from_millis(100)).await;
    fleet.store.set_mode(store::Mode::Up);
    press(&fleet, "away", WRITTEN_AGAIN).await;
    broken.extend(stale(&fleet).await.into_iter().map(|s| format!("of the copy: {s}")));
    let sent = fleet.endpoints[LEAVER].arrived() - before;
    if sent > 0 {
        broken.push(format!("{sent} requests to an endpoint that the copy lists again"));
    }
    fleet.store.write_again(&lost);
    // These take the revisions that were given out before.
    fleet.configure();
    task::sleep(IN_FORCE).await;
    broken.extend(stale(&fleet).await.into_iter().map(|s| format!("written after: {s}")));
    task::sleep(ENTERED.saturating_sub(IN_FORCE)).await;
    let entered = fleet.store.count("oxbow/instances/");
    if entered != DAEMONS {
        broken.push(format!("{entered} of {DAEMONS} instances have entered themselves"));
    }
    broken.into_iter().map(|b| format!("seed {seed}: {b}")).collect()
}

/// A seeded return from a copy in the midst of other faults: changes since the copy, an endpoint that left, an
/// instance killed meanwhile. Returns what was not as it must be.
pub async fn play_one(fleet: &mut Fleet, rng: &mut Pcg64, leaver: usize) -> Vec<String> {
    fleet.store.copy();
    task::sleep(Duration::from_millis(rng.random_range(0..1000))).await;
    if rng.random_bool(0.7) {
        fleet.configure();
    }
    fleet.leave(leaver);
    task::sleep(KNOWN).await;
    let killed = rng.random_bool(0.4).then(|| rng.random_range(0..DAEMONS));
    if let Some(n) = killed {
        fleet.daemons[n].signal(Signal::KILL);
    }
    if rng.random_bool(0.6) {
        fleet.store.set_mode(store::Mode::Refusing);
        fleet.store.cut_watches();
    }
    let lost = fleet.store.restore();
    task::sleep(Duration::from_millis(rng.random_range(0..400))).await;
    fleet.store.set_mode(store::Mode::Up);
    if let Some(n) = killed {
        fleet.daemons[n].restart().await;
    }
    task::sleep(Duration::from_millis(rng.random_range(0..1500))).await;
    fleet.store.write_again(&lost);
    fleet.configure();
    task::sleep(IN_FORCE).await;
    let mut broken = stale(fleet).await;
    let before = fleet.endpoints[leaver].arrived();
    task::sleep(Duration::from_millis(400)).await;
    let sent = fleet.endpoints[leaver].arrived() - before;
    if sent > 0 {
        broken.push(format!("{sent} requests to endpoint {leaver} long after it had left"));
    }
    fleet.enter(leaver);
    broken.into_iter().map(|b| format!("return from a copy, killed {killed:?}: {b}")).collect()
}

#[test]
fn a_store_that_comes_back_from_a_copy_takes_nothing_back() {
    let broken = task::block_on(futures::future::join_all(SEEDS.map(play))).concat();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
