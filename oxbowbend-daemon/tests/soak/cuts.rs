//! Callers of instances that have no path to any endpoint are served nearly as often as others.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::task;

use crate::caller::{self, Seen};
use crate::endpoint::LEAVES;
use crate::fleet::{Fleet, DAEMONS};
use crate::paths::{Cut, Manner};
use crate::press::{play_in_turn, press, unserved};

/// Seeds of their own, beside those that are played meanwhile, of one cell and of two cells; how instances are cut off, and which.
const CUTS: [(u64, Manner, &[usize]); 6] = [
    (209, Manner::Silent, &[1]),
    (210, Manner::Silent, &[0, 1]),
    (211, Manner::Reset, &[0, 2]),
    (212, Manner::Reset, &[3]),
    (213, Manner::Refuse, &[2]),
    (214, Manner::Refuse, &[1, 2]),
];
/// Time for which requests are sent in a cut.
const LENGTH: Duration = Duration::from_secs(9);
/// Time after a cut began from which callers are owed answers: the users' `contact_ms`.
const CONTACT: Duration = Duration::from_millis(3000);
/// Least part of the requests that are served at the instances that are not cut off.
const OTHERS: f64 = 0.95;
/// Time after a cut within which everything is as before.
const RECOVERY: Duration = Duration::from_millis(3500);
/// Time for which it is looked whether it is.
const LOOKED: Duration = Duration::from_secs(2);
/// Callers who leave their streams at once, and how often that happens in a cut.
const LEAVERS: (usize, usize) = (12, 3);
/// Time after which endpoints are at work for a quarter of those who have left at most, time after which they are for nobody, and time
/// in which they would make more events.
const STOPPED: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(1000));
const STOPPED_FOR: Duration = Duration::from_millis(200);

/// Tries at some instances.
struct Tries<'a>(Vec<&'a Seen>);

impl Tries<'_> {
    fn served(&self) -> usize {
        self.0.iter().filter(|seen| seen.is_served()).count()
    }

    fn share(&self) -> f64 {
        self.served() as f64 / self.0.len() as f64
    }

    fn about(&self) -> String {
        format!("{} of {}", self.served(), self.0.len())
    }

    /// The first of each status, which tells what callers got.
    fn failures(&self) -> Vec<String> {
        let mut counts = std::collections::BTreeMap::new();
        for seen in self.0.iter().filter(|seen| !seen.is_served()) {
            *counts.entry(seen.status).or_insert(0) += 1;
        }
        counts.into_iter().map(|(status, n)| format!("{status:?} {n} times")).collect()
    }
}

/// Tries at the instances that are cut off, and at the others.
fn split<'a>(tries: &[&'a Seen], cut_off: &[SocketAddr]) -> (Tries<'a>, Tries<'a>) {
    let (there, others) = tries.iter().partition(|seen| cut_off.contains(&seen.daemon));
    (Tries(there), Tries(others))
}

/// The users' rule: tries there are served less than two thirds as often as those at the others, and more than 10 and 1 in 50 of all fail
/// there.
fn are_let_down(there: &Tries, others: &Tries) -> bool {
    let failed = there.0.len() - there.served();
    let all = there.0.len() + others.0.len();
    there.share() < others.share() * 2.0 / 3.0 && failed as f64 > 10.0 + all as f64 / 50.0
}

/// Callers of all instances leave, a few times; returns what was still done for them.
async fn leave(fleet: &Fleet) -> Vec<String> {
    let mut broken = Vec::new();
    for round in 0..LEAVERS.1 {
        let sent = (0..LEAVERS.0).map(|n| {
            let id = format!("{LEAVES}{round}-{n}");
            task::spawn(caller::send(fleet.daemons[n % DAEMONS].callers, "stream", id))
        });
        let seen = futures::future::join_all(sent).await;
        task::sleep(STOPPED.0).await;
        let late = worked_on(fleet, &seen).await;
        if late.len() > seen.len() / 4 {
            broken.push(format!("half a second after callers have left: {late:?}"));
        }
        task::sleep(STOPPED.1 - STOPPED.0 - STOPPED_FOR).await;
        let late = worked_on(fleet, &seen).await;
        if !late.is_empty() {
            broken.push(format!("a second after callers have left: {late:?}"));
        }
    }
    broken
}

/// Requests for which endpoints begin or make something in a while.
async fn worked_on(fleet: &Fleet, seen: &[Seen]) -> Vec<String> {
    let done = |seen: &Seen| {
        let records = fleet.runs.lock().unwrap();
        let runs = records.runs.get(&seen.id).map_or(0, Vec::len);
        (runs, records.made.get(&seen.id).copied().unwrap_or_default())
    };
    let before: Vec<_> = seen.iter().map(done).collect();
    task::sleep(STOPPED_FOR).await;
    let late = seen.iter().zip(before).filter(|(seen, before)| done(seen) != *before);
    late.map(|(seen, _)| format!("worked on {} of {}", seen.id, seen.daemon)).collect()
}

/// What happens in a cut besides requests without a pause; returns what was not as it must be.
async fn beside(fleet: &Fleet, cut: &Cut) -> Vec<String> {
    task::sleep(CONTACT).await;
    fleet.paths.count();
    let broken = leave(fleet).await;
    let passed = fleet.paths.counted();
    println!("passed to endpoints, by daemon: {passed:?}");
    if cut.manner != Manner::Refuse {
        let passes = cut.daemons.iter().any(|n| passed[*n] > 0);
        assert!(!passes, "the cut of {:?} lets requests pass: {passed:?}", cut.daemons);
    }
    broken
}

/// After a cut everything is served again, and straight.
async fn after(fleet: &Fleet, cut: &Cut) -> Vec<String> {
    fleet.paths.count();
    let seen = press(fleet, "after", LOOKED).await;
    let passed = fleet.paths.counted();
    println!("after the cut, of {}: {passed:?}", seen.len());
    let mut broken: Vec<_> =
        unserved(&seen).into_iter().map(|b| format!("after the cut: {b}")).collect();
    for n in &cut.daemons {
        if passed[*n] < seen.len() / DAEMONS / 2 {
            broken.push(format!("after the cut {} requests go straight from {n}", passed[*n]));
        }
    }
    broken
}

/// Plays one cut; returns what was not as it must be.
async fn play(seed: u64, cut: Cut) -> Vec<String> {
    let fleet = Fleet::start(seed).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    fleet.paths.count();
    let mut seen = press(&fleet, "before", Duration::from_secs(1)).await;
    let passed = fleet.paths.counted();
    assert!(passed.iter().all(|n| *n > 0), "passed to endpoints, by daemon: {passed:?}");
    let mut broken: Vec<_> = unserved(&seen).into_iter().collect();
    let cut_off: Vec<_> = cut.daemons.iter().map(|n| fleet.daemons[*n].callers).collect();
    let from = Instant::now();
    fleet.paths.set_cut(Some(cut.clone()));
    let (tries, late) =
        futures::future::join(press(&fleet, "cut", LENGTH), beside(&fleet, &cut)).await;
    fleet.paths.set_cut(None);
    broken.extend(late);
    let (_, others) = split(&tries.iter().collect::<Vec<_>>(), &cut_off);
    if others.share() < OTHERS {
        broken.push(format!("others served {}: {:?}", others.about(), others.failures()));
    }
    let owed: Vec<_> = tries.iter().filter(|seen| seen.at >= from + CONTACT).collect();
    let (there, others) = split(&owed, &cut_off);
    let about = format!("cut off, served {}, others {}", there.about(), others.about());
    println!("seed {seed}, {cut:?}: {about}; not served there: {:?}", there.failures());
    if are_let_down(&there, &others) {
        broken.push(format!("{about}; {:?}", there.failures()));
    }
    seen.extend(tries);
    seen.extend(press(&fleet, "over", RECOVERY).await);
    broken.extend(after(&fleet, &cut).await);
    broken.extend(seen.iter().flat_map(|seen| seen.check(&fleet.runs)));
    broken.into_iter().map(|b| format!("seed {seed}, {cut:?}: {b}")).collect()
}

#[test]
fn callers_of_an_instance_without_a_path_to_the_endpoints_are_served() {
    let cut = |manner, daemons: &[usize]| Cut { manner, daemons: daemons.to_vec() };
    let plays = CUTS.into_iter().map(|(seed, manner, daemons)| play(seed, cut(manner, daemons)));
    let broken = play_in_turn(plays);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
