//! A part of prompts that crashes endpoints is soon sent to none, whatever else a request holds.
//!
//! No two of these requests are alike. Sound requests come beside them, with the same key, the same
//! first part and all other parts in common.

use std::time::{Duration, Instant};

use async_std::task;
use bytes::Bytes;
use rustix::process::Signal;

use crate::caller::{self, Call, Seen};
use crate::endpoint::CRASHING_PART;
use crate::ends::BACK_AFTER;
use crate::fleet::{Fleet, DAEMONS, KEY};
use crate::proxy::Mode;

/// Crashes after which a part is known, and the time until all instances know it. The platform
/// allows 3 s.
const KNOWN_BY: usize = 5;
const KNOWN_AFTER: Duration = Duration::from_millis(1500);
/// Sends that are allowed after that.
const ALLOWED_SENDS: usize = 3;
/// Time after the fifth crash, or after the last if there are fewer, from which sound requests are
/// served again.
const SOUND_AFTER: Duration = Duration::from_millis(3000);
/// Share of the sound requests that are served by then.
const SOUND_SHARE: f64 = 0.9;
/// Time between two rounds of requests, and for which they come.
const PAUSE: Duration = Duration::from_millis(60);
const LENGTH: Duration = Duration::from_secs(7);
/// Time for which the store is away.
const STORE_AWAY: Duration = Duration::from_secs(3);
const KINDS: [&str; 2] = ["stream-on", "again"];
/// Parts that sound requests and crashing ones have in common.
const TEMPLATES: usize = 3;

/// What happens beside the requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    Nothing,
    /// All instances are killed when the part is known.
    KillAll,
    /// The store is away meanwhile.
    StoreAway,
    /// Requests as a whole crash endpoints, too.
    CrashingRequest,
    /// Endpoints crash by themselves.
    OtherCrashes,
}

/// Seeds, with the number of crashing parts.
const PLAYS: [(u64, usize, Fault); 6] = [
    (261, 1, Fault::Nothing),
    (262, 2, Fault::Nothing),
    (263, 1, Fault::KillAll),
    (264, 1, Fault::StoreAway),
    (265, 1, Fault::CrashingRequest),
    (266, 1, Fault::OtherCrashes),
];

/// The parts of a request's prompt: the first is common to all, then a template, the crashing part
/// if there is one, and one of its own.
fn prompt_prefix(n: usize, crashing: Option<&str>) -> String {
    let template = n % TEMPLATES;
    let crashing = crashing.map_or_else(String::new, |part| format!("{part}:40,"));
    format!("f1:60,7e{template}:80,{crashing}a{n:x}:100")
}

async fn send(daemon: std::net::SocketAddr, id: String, n: usize, part: Option<String>) -> Seen {
    let kind = KINDS[n % KINDS.len()];
    let prompt_prefix = prompt_prefix(n, part.as_deref());
    let body = Bytes::from(format!("words {id}"));
    let call =
        Call { key: KEY, daemon, prefix: kind, kind, id, body, prompt_prefix: &prompt_prefix };
    caller::send_call(call).await
}

/// Sends a request with each of the parts and a sound one in each round, to one instance after the
/// other; returns what became of the sound ones.
async fn press(fleet: &Fleet, seed: u64, parts: usize, length: Duration, from: usize) -> Vec<Seen> {
    let (until, mut sound) = (Instant::now() + length, Vec::new());
    for n in from.. {
        if Instant::now() >= until {
            break;
        }
        let daemon = fleet.daemons[n % DAEMONS].callers;
        for part in 0..parts {
            let part = Some(format!("{CRASHING_PART}{part}"));
            let daemon = fleet.daemons[(n + 1) % DAEMONS].callers;
            let id = format!("c-{seed}-{n}-{}", part.as_deref().unwrap_or_default());
            task::spawn(send(daemon, id, n, part));
        }
        sound.push(task::spawn(send(daemon, format!("s-{seed}-{n}"), n / 2, None)));
        task::sleep(PAUSE).await;
    }
    futures::future::join_all(sound).await
}

/// Parts that reached endpoints more often than the rule allows.
fn beyond_bound(fleet: &Fleet, seed: u64) -> Vec<String> {
    let runs = fleet.runs.lock().unwrap();
    let mut broken = Vec::new();
    let of_parts = |key: &&Bytes| key.starts_with(CRASHING_PART.as_bytes());
    for part in runs.sends.keys().filter(of_parts) {
        let ends = runs.ends.get(part).map_or(&[][..], Vec::as_slice);
        let known = ends.get(KNOWN_BY - 1).map(|fifth| *fifth + KNOWN_AFTER);
        let sends = &runs.sends[part];
        let late = sends.iter().filter(|at| known.is_some_and(|known| **at > known)).count();
        println!(
            "seed {seed}: {part:?}: {} crashes, {} sends, {late} late",
            ends.len(),
            sends.len()
        );
        if late > ALLOWED_SENDS {
            broken.push(format!(
                "seed {seed}: {part:?} was sent {late} times long after five crashes"
            ));
        }
    }
    broken
}

/// When sound requests must be served again.
fn sound_from(fleet: &Fleet) -> Option<Instant> {
    let runs = fleet.runs.lock().unwrap();
    let of_parts = runs.ends.iter().filter(|(key, _)| key.starts_with(CRASHING_PART.as_bytes()));
    let known = of_parts.filter_map(|(_, ends)| ends.get(KNOWN_BY - 1).or(ends.last()));
    known.max().map(|at| *at + SOUND_AFTER)
}

fn unserved(fleet: &Fleet, seed: u64, sound: &[Seen]) -> Option<String> {
    let from = sound_from(fleet)?;
    let counted: Vec<_> = sound.iter().filter(|seen| seen.at >= from).collect();
    let served = counted.iter().filter(|seen| seen.is_served()).count();
    println!("seed {seed}: {served} of {} sound requests are served", counted.len());
    let is_enough = served as f64 >= SOUND_SHARE * counted.len() as f64;
    (!is_enough).then(|| {
        format!("seed {seed}: only {served} of {} sound requests are served", counted.len())
    })
}

async fn disturb(fleet: &Fleet, fault: Fault) {
    match fault {
        Fault::StoreAway => {
            fleet.store_proxy.set_mode(Mode::Down);
            task::sleep(STORE_AWAY).await;
            fleet.store_proxy.set_mode(Mode::Pass);
        }
        Fault::CrashingRequest => {
            let body = Bytes::from(format!("{}whole", crate::endpoint::ENDS));
            for n in 0..8 {
                let daemon = fleet.daemons[n % DAEMONS].callers;
                let id = format!("w-{n}");
                task::spawn(caller::send_body(daemon, "again", "again", id, body.clone()));
                task::sleep(PAUSE * 4).await;
            }
        }
        Fault::OtherCrashes => {
            for n in 0..3 {
                fleet.restart_endpoint(n, BACK_AFTER).await;
                task::sleep(PAUSE * 4).await;
            }
        }
        Fault::Nothing | Fault::KillAll => {}
    }
}

/// Plays one fleet; returns what was not as it must be.
async fn play(seed: u64, parts: usize, fault: Fault) -> Vec<String> {
    let mut fleet = Fleet::start(seed).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    fleet.let_endpoints_end(BACK_AFTER);
    // Sound requests alone, before.
    let mut sound = press(&fleet, seed, 0, Duration::from_secs(1), 0).await;
    let pressed = press(&fleet, seed, parts, LENGTH, 1_000);
    let (pressed, ()) = futures::join!(pressed, disturb(&fleet, fault));
    sound.extend(pressed);
    if fault == Fault::KillAll {
        (0..DAEMONS).for_each(|n| fleet.daemons[n].signal(Signal::KILL));
        for daemon in &mut fleet.daemons {
            daemon.restart().await;
        }
        assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready again");
        sound.extend(press(&fleet, seed, parts, LENGTH / 2, 5_000).await);
    }
    let mut broken = beyond_bound(&fleet, seed);
    broken.extend(unserved(&fleet, seed, &sound));
    broken
}

#[test]
fn a_part_of_prompts_that_crashes_endpoints_is_soon_sent_to_none() {
    let plays = PLAYS.map(|(seed, parts, fault)| play(seed, parts, fault));
    let broken = task::block_on(futures::future::join_all(plays)).concat();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
