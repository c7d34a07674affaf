//! The seeded play: callers without a pause, one fault after the other, then calm.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;

use crate::caller::{self, Seen, KINDS};
use crate::cuts;
use crate::drills;
use crate::endpoint;
use crate::ends;
use crate::fleet::{Fleet, DAEMONS, ENDPOINTS};
use crate::outages;
use crate::proxy;
use crate::signals;
use crate::store;
use crate::CASES;

/// Time between two requests.
const PACE: Duration = Duration::from_millis(8);
/// Longest time that a fault lasts.
const FAULT: Duration = Duration::from_millis(1200);
/// Time after the last fault within which everything must be as before.
const RECOVERY: Duration = Duration::from_millis(3500);
/// Requests of the calm at the end.
const CALM: usize = 60;
/// Callers of the calm who leave before the end of their stream.
const LEAVERS: usize = 12;
/// Time after which an endpoint must have stopped a stream whose caller has left, and time in which it
/// would have made more events. The whole stream would take 6 s.
const STOPPED: (Duration, Duration) = (Duration::from_millis(1000), Duration::from_millis(300));
/// Kinds of faults.
const FAULTS: usize = 25;
/// The same before there were returns from a copy and cuts of instances: seeds that failed then play what they played then.
const FAULTS_BEFORE: usize = 20;
/// Times for which a sound endpoint falls silent, in milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 1000..1300;
/// Time within which a configuration must be in force.
const IN_FORCE: Duration = Duration::from_millis(2000);

/// What callers have seen so far.
pub type All = Arc<Mutex<Vec<Seen>>>;

/// Plays a seed; returns the promises that were broken.
pub async fn play(seed: u64, length: Duration) -> Vec<String> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut fleet = Fleet::start(seed).await;
    if !fleet.ready(Duration::from_secs(10)).await {
        return vec!["the daemons were not ready within 10 s".to_owned()];
    }
    let all = All::default();
    fleet.let_endpoints_end(ends::BACK_AFTER);
    let callers =
        task::spawn(call(fleet.daemons.iter().map(|d| d.callers).collect(), seed, all.clone()));
    let mut broken = Vec::new();
    let said = signals::Signalling::start(&fleet, seed, length);
    let faults = if CASES.contains(&seed) { FAULTS_BEFORE } else { FAULTS };
    let until = Instant::now() + length;
    while Instant::now() < until {
        broken.extend(fault(&mut fleet, &mut rng, faults, &all).await);
    }
    let episodes = said.ended().await;
    callers.cancel().await;
    if !fleet.ready(RECOVERY).await {
        broken.push("not all daemons were ready again after the last fault".to_owned());
    }
    task::sleep(RECOVERY).await;
    broken.extend(calm(&fleet, seed, &all).await);
    broken.extend(ends::beyond_bound(&fleet));
    let excuses = fleet.excuses.lock().unwrap().clone();
    broken.extend(episodes.iter().flat_map(|e| fleet.exchanges.check(e, &excuses)));
    for seen in all.lock().unwrap().iter() {
        broken.extend(seen.check(&fleet.runs));
    }
    broken
}

/// Sends requests without a pause, each to any daemon.
async fn call(daemons: Vec<std::net::SocketAddr>, seed: u64, all: All) {
    let mut rng = Pcg64::seed_from_u64(seed + 1);
    for n in 0.. {
        let daemon = daemons[rng.random_range(0..daemons.len())];
        let kind = KINDS[rng.random_range(0..KINDS.len())];
        let all = all.clone();
        task::spawn(async move {
            let seen = caller::send(daemon, kind, format!("r-{seed}-{n}")).await;
            all.lock().unwrap().push(seen);
        });
        task::sleep(PACE).await;
    }
}

/// One fault from its beginning to its end.
async fn fault(fleet: &mut Fleet, rng: &mut Pcg64, faults: usize, all: &All) -> Vec<String> {
    let daemon = rng.random_range(0..DAEMONS);
    let endpoint = rng.random_range(0..ENDPOINTS);
    let time = FAULT.mul_f64(rng.random_range(0.2..1.0));
    let kind = rng.random_range(0..faults);
    println!("fault {kind} of daemon {daemon} or endpoint {endpoint} for {time:?}");
    let mut broken = Vec::new();
    match kind {
        0 => {
            fleet.daemons[daemon].signal(Signal::KILL);
            fleet.daemons[daemon].restart().await;
        }
        1 => return stop(fleet, daemon, all).await,
        2 => {
            fleet.daemons[daemon].signal(Signal::STOP);
            task::sleep(time).await;
            fleet.daemons[daemon].signal(Signal::CONT);
        }
        3 => {
            (0..DAEMONS).for_each(|n| fleet.daemons[n].signal(Signal::KILL));
            for n in 0..DAEMONS {
                fleet.daemons[n].restart().await;
            }
            if !fleet.ready(Duration::from_millis(2000)).await {
                broken.push("a restarted fleet was not ready within 2 s".to_owned());
            }
        }
        4..=8 => {
            let mode = [
                proxy::Mode::Delay(Duration::from_millis(60)),
                proxy::Mode::Reset,
                proxy::Mode::OneWay,
                proxy::Mode::Silent,
                proxy::Mode::Strike,
            ][kind - 4];
            let id = &fleet.endpoints[endpoint].id;
            fleet.exchanges.set_unheard(id, true);
            fleet.proxies[endpoint].set_mode(mode);
            task::sleep(time).await;
            fleet.proxies[endpoint].set_mode(proxy::Mode::Pass);
            fleet.exchanges.set_unheard(id, false);
        }
        9 => {
            let modes = [proxy::Mode::Reset, proxy::Mode::Silent, proxy::Mode::OneWay];
            fleet.store_proxy.set_mode(modes[rng.random_range(0..modes.len())]);
            task::sleep(time).await;
            fleet.store_proxy.set_mode(proxy::Mode::Pass);
        }
        10 => {
            let slow = store::Mode::Slow(Duration::from_millis(300));
            let modes = [store::Mode::Refusing, store::Mode::Mute, slow];
            fleet.store.set_mode(modes[rng.random_range(0..modes.len())]);
            task::sleep(time).await;
            fleet.store.set_mode(store::Mode::Up);
        }
        11 => {
            let modes = [
                endpoint::Mode::Full,
                endpoint::Mode::Failing,
                endpoint::Mode::Cutting,
                endpoint::Mode::Hanging,
            ];
            fleet.endpoints[endpoint].set_mode(modes[rng.random_range(0..modes.len())]);
            task::sleep(time).await;
            fleet.endpoints[endpoint].set_mode(endpoint::Mode::Good);
        }
        12 if time > FAULT / 2 => fleet.restart_endpoint(endpoint, time).await,
        12 => {
            fleet.leave(endpoint);
            task::sleep(time).await;
            fleet.enter(endpoint);
        }
        24 => {
            let time = Duration::from_millis(rng.random_range(SILENCE_MS));
            let id = &fleet.endpoints[endpoint].id;
            fleet.exchanges.set_unheard(id, true);
            fleet.proxies[endpoint].pause(time).await;
            fleet.exchanges.set_unheard(id, false);
        }
        22 | 23 => return cuts::play_one(fleet, rng, daemon, all).await,
        20 | 21 => return drills::play_one(fleet, rng, endpoint).await,
        18 | 19 => ends::press_once(fleet, rng, time).await,
        13 => {
            fleet.configure();
            fleet.store.compact();
        }
        14 => return configure(fleet, rng).await,
        _ => return outages::play_one(fleet, rng, endpoint).await,
    }
    task::sleep(Duration::from_millis(rng.random_range(0..600))).await;
    broken
}

/// A stop of one daemon in a calm moment: nothing that it took may be cut off.
async fn stop(fleet: &mut Fleet, daemon: usize, all: &All) -> Vec<String> {
    task::sleep(RECOVERY).await;
    let calm_from = Instant::now();
    task::sleep(Duration::from_millis(300)).await;
    fleet.daemons[daemon].signal(Signal::TERM);
    let ended_well = fleet.daemons[daemon].restart().await;
    let address = fleet.daemons[daemon].callers;
    let mut broken = Vec::new();
    if !ended_well {
        broken.push(format!("daemon {daemon} cut requests off at its stop"));
    }
    for seen in all.lock().unwrap().iter() {
        // A connection that was not accepted any more is no request that was taken.
        let is_cut = seen.is_sent && seen.status == Some(200) && !seen.is_whole;
        let is_cut = is_cut && !caller::is_leaving(&seen.id);
        if seen.daemon == address && seen.at >= calm_from && is_cut {
            broken.push(format!("cut off at a stop: {seen:?}"));
        }
    }
    broken
}

/// A change of the configuration in a calm moment: in force everywhere in time, and the route of
/// the one before is gone.
async fn configure(fleet: &mut Fleet, rng: &mut Pcg64) -> Vec<String> {
    if !fleet.ready(RECOVERY).await {
        return vec!["not all daemons were ready after a fault".to_owned()];
    }
    task::sleep(RECOVERY).await;
    fleet.configure();
    task::sleep(IN_FORCE).await;
    let mut broken = Vec::new();
    for daemon in &fleet.daemons {
        for (version, expected) in [(fleet.version, 200), (fleet.version - 1, 404)] {
            let id = format!("c-{version}-{}-{}", daemon.callers, rng.random::<u32>());
            let prefix = format!("v{version}");
            let seen = caller::send_to(daemon.callers, &prefix, "again", id).await;
            if seen.status != Some(expected) {
                broken.push(format!("version {} is not in force: {seen:?}", fleet.version));
            }
        }
    }
    broken
}

/// Without faults everything is served.
async fn calm(fleet: &Fleet, seed: u64, all: &All) -> Vec<String> {
    let mut broken = Vec::new();
    for n in 0..CALM {
        let daemon = fleet.daemons[n % DAEMONS].callers;
        let id = format!("calm-{seed}-{n}");
        let seen = caller::send(daemon, KINDS[n % KINDS.len()], id).await;
        if !seen.is_served() {
            broken.push(format!("not served in the calm after the faults: {seen:?}"));
        }
        all.lock().unwrap().push(seen);
    }
    broken.extend(left(fleet, seed).await);
    broken
}

/// Endpoints work on nothing for callers who have left.
async fn left(fleet: &Fleet, seed: u64) -> Vec<String> {
    let mut seen = Vec::new();
    for n in 0..LEAVERS {
        let daemon = fleet.daemons[n % DAEMONS].callers;
        seen.push(caller::send(daemon, "stream", format!("{}{seed}-{n}", endpoint::LEAVES)).await);
    }
    let made = |seen: &Seen| fleet.runs.lock().unwrap().made.get(&seen.id).copied().unwrap_or(0);
    task::sleep(STOPPED.0).await;
    let before: Vec<_> = seen.iter().map(made).collect();
    task::sleep(STOPPED.1).await;
    let worked_on = seen.iter().zip(before).filter(|(s, before)| made(s) > *before);
    worked_on.map(|(s, _)| format!("worked on after the caller had left: {s:?}")).collect()
}
