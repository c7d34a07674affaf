//! Callers of instances that have no path to any endpoint are served nearly as often as others.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::task;
use rand::Rng;
use rand_pcg::Pcg64;
use rustix::process::Signal;

use crate::caller::{is_leaving, Seen};
use crate::exchanges::{Episode, Excuse, Says};
use crate::faults::All;
use crate::fleet::{Fleet, DAEMONS};
use crate::gone::Leavers;
use crate::paths::{Cut, Manner, Paths};
use crate::press::{play_in_turn, press, press_beside, unserved};
use crate::store;

/// Seeds of their own, beside those that are played meanwhile, of one cell and of two cells; how instances are cut off, and which.
const CUTS: [(u64, Manner, &[usize]); 6] = [
    (209, Manner::Silent, &[1]),
    (210, Manner::Silent, &[0, 1]),
    (211, Manner::Reset, &[0, 2]),
    (212, Manner::Reset, &[3]),
    (213, Manner::Refuse, &[2]),
    (214, Manner::Refuse, &[1, 2]),
];
const BESIDE_RESTARTS: [(u64, Manner, &[usize]); 2] =
    [(215, Manner::Silent, &[1]), (216, Manner::Reset, &[0, 3])];
const BESIDE_RELEASE: [(u64, Manner, &[usize]); 2] =
    [(217, Manner::Refuse, &[2]), (218, Manner::Silent, &[1])];
const BESIDE_START: [(u64, Manner, &[usize]); 2] =
    [(205, Manner::Silent, &[1]), (206, Manner::Refuse, &[0, 2])];
const MOST: [(u64, Manner, &[usize]); 2] =
    [(207, Manner::Silent, &[0, 1, 3]), (208, Manner::Reset, &[1, 2, 3])];
const BESIDE_OUTAGE: [(u64, Manner, &[usize]); 2] =
    [(219, Manner::Reset, &[0, 2]), (220, Manner::Silent, &[3])];
/// Time for which requests are sent in a cut.
const LENGTH: Duration = Duration::from_secs(9);
/// The same of cuts in the midst of other faults, in milliseconds.
const LENGTHS_MS: std::ops::Range<u64> = 600..6000;
/// Time after a cut began from which callers are owed answers: the users' `contact_ms`.
const CONTACT: Duration = Duration::from_millis(3000);
/// Least part of the requests that are served at the instances that are not cut off.
const OTHERS: f64 = 0.95;
/// Time after a cut within which everything is as before.
const RECOVERY: Duration = Duration::from_millis(3500);
/// Time for which it is looked whether it is.
const LOOKED: Duration = Duration::from_secs(2);
/// Time between two things that happen in a cut.
const HAPPENS: Duration = Duration::from_millis(1500);
/// Time for which a request is under way; what ends with its instance is not counted.
const UNDERWAY: Duration = Duration::from_millis(500);
/// The endpoint that leaves, and the time for which it is gone.
const LEAVER: usize = 2;
const GONE: Duration = Duration::from_millis(500);
/// How often callers leave their streams in a cut.
const LEAVE: usize = 3;

/// What else happens in a cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Beside {
    Nothing,
    /// One of the others is killed and started again, another one is stopped and started again.
    Restarts,
    /// One that is cut off is killed at once and started again.
    Start,
    /// An endpoint says that it leaves, and starts again.
    Release,
    /// The store answers nobody.
    Outage,
}

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

/// Callers leave in a cut; returns what was not as it must be.
async fn leave(paths: Paths, leavers: Leavers, cut: Cut) -> Vec<String> {
    task::sleep(CONTACT).await;
    paths.count();
    let broken = leavers.leave(LEAVE).await;
    let passed = paths.counted();
    println!("passed to endpoints, by daemon: {passed:?}");
    if cut.manner != Manner::Refuse {
        let passes = cut.daemons.iter().any(|n| passed[*n] > 0);
        assert!(!passes, "the cut of {:?} lets requests pass: {passed:?}", cut.daemons);
    }
    broken
}

/// Lets something happen in a cut; returns what was not as it must be.
async fn happen(fleet: &mut Fleet, cut: &Cut, beside: Beside) -> Vec<String> {
    match beside {
        Beside::Outage => fleet.store.set_mode(store::Mode::Mute),
        Beside::Start => fleet.daemons[cut.daemons[0]].restart_by(Signal::KILL).await,
        _ => {}
    }
    task::sleep(CONTACT + HAPPENS).await;
    match beside {
        Beside::Restarts => {
            let mut others = (0..DAEMONS).filter(|n| !cut.daemons.contains(n));
            let (killed, stopped) = (others.next().unwrap(), others.next().unwrap());
            fleet.daemons[killed].restart_by(Signal::KILL).await;
            task::sleep(HAPPENS).await;
            fleet.daemons[stopped].restart_by(Signal::TERM).await;
            Vec::new()
        }
        Beside::Release => release(fleet).await,
        Beside::Nothing | Beside::Start | Beside::Outage => Vec::new(),
    }
}

/// An endpoint says that it leaves, and starts again.
async fn release(fleet: &Fleet) -> Vec<String> {
    let (from, says) = (Instant::now(), Says { leaves: true, ..Says::default() });
    fleet.endpoints[LEAVER].set_says(says);
    task::sleep(HAPPENS).await;
    let endpoint = fleet.endpoints[LEAVER].id.clone();
    let episode = Episode { endpoint, says, from, until: Instant::now() };
    fleet.endpoints[LEAVER].set_says(Says::default());
    fleet.restart_endpoint(LEAVER, GONE).await;
    fleet.exchanges.check(&episode, &fleet.excuses.lock().unwrap())
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

/// Whether the instance of a try was not restarted shortly before it or beside it.
fn is_in_touch(seen: &Seen, excuses: &[Excuse]) -> bool {
    let is_beside = |at: Instant| seen.at + UNDERWAY > at && seen.at < at + CONTACT;
    !excuses.iter().any(|(daemon, at)| *daemon == seen.daemon && is_beside(*at))
}

/// Plays one cut; returns what was not as it must be.
async fn play(seed: u64, cut: Cut, beside: Beside) -> Vec<String> {
    let mut fleet = Fleet::start(seed).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    fleet.paths.count();
    let mut seen = press(&fleet, "before", Duration::from_secs(1)).await;
    let passed = fleet.paths.counted();
    assert!(passed.iter().all(|n| *n > 0), "passed to endpoints, by daemon: {passed:?}");
    let mut broken: Vec<_> = unserved(&seen).into_iter().collect();
    let cut_off: Vec<_> = cut.daemons.iter().map(|n| fleet.daemons[*n].callers).collect();
    let from = Instant::now();
    fleet.paths.set_cut(Some(cut.clone()));
    let pressed = press_beside(&fleet, "cut", LENGTH);
    let left = task::spawn(leave(fleet.paths.clone(), Leavers::new(&fleet), cut.clone()));
    broken.extend(happen(&mut fleet, &cut, beside).await);
    broken.extend(left.await);
    let tries = pressed.await;
    fleet.paths.set_cut(None);
    fleet.store.set_mode(store::Mode::Up);
    let excuses = fleet.excuses.lock().unwrap().clone();
    let in_touch = tries.iter().filter(|seen| is_in_touch(seen, &excuses));
    let in_touch: Vec<_> = in_touch.collect();
    let (_, others) = split(&in_touch, &cut_off);
    if others.share() < OTHERS {
        broken.push(format!("others served {}: {:?}", others.about(), others.failures()));
    }
    let owed: Vec<_> = in_touch.into_iter().filter(|seen| seen.at >= from + CONTACT).collect();
    let (there, others) = split(&owed, &cut_off);
    let about = format!("cut off, served {}, others {}", there.about(), others.about());
    println!("seed {seed}, {cut:?}, {beside:?}: {about}; not served there: {:?}", there.failures());
    if are_let_down(&there, &others) {
        broken.push(format!("{about}; {:?}", there.failures()));
    }
    seen.extend(tries);
    seen.extend(press(&fleet, "over", RECOVERY).await);
    broken.extend(after(&fleet, &cut).await);
    broken.extend(seen.iter().flat_map(|seen| seen.check(&fleet.runs)));
    broken.into_iter().map(|b| format!("seed {seed}, {cut:?}, {beside:?}: {b}")).collect()
}

/// A seeded cut of one or two daemons in the midst of other faults; returns whether callers there are let down.
pub async fn play_one(fleet: &Fleet, rng: &mut Pcg64, daemon: usize, all: &All) -> Vec<String> {
    let manner = [Manner::Silent, Manner::Reset, Manner::Refuse][rng.random_range(0..3)];
    let mut daemons = vec![daemon];
    if rng.random_bool(0.5) {
        daemons.push((daemon + rng.random_range(1..DAEMONS)) % DAEMONS);
    }
    let (length, from) = (Duration::from_millis(rng.random_range(LENGTHS_MS)), Instant::now());
    let cut_off: Vec<_> = daemons.iter().map(|n| fleet.daemons[*n].callers).collect();
    let cut = Cut { manner, daemons };
    println!("{cut:?} for {length:?}");
    fleet.paths.set_cut(Some(cut.clone()));
    // Answers that were under way when the cut began do not arrive.
    for time in [Duration::ZERO, UNDERWAY] {
        task::sleep(time).await;
        let excuses = cut_off.iter().map(|daemon| (*daemon, Instant::now()));
        fleet.excuses.lock().unwrap().extend(excuses);
    }
    task::sleep(length - UNDERWAY).await;
    fleet.paths.set_cut(None);
    let until = Instant::now();
    // Callers who wait have their answers by then.
    task::sleep(RECOVERY).await;
    let all = all.lock().unwrap();
    let is_owed = |seen: &&Seen| seen.at >= from + CONTACT && seen.at < until;
    let owed = all.iter().filter(is_owed).filter(|seen| !is_leaving(&seen.id));
    let (there, others) = split(&owed.collect::<Vec<_>>(), &cut_off);
    let about = format!("{cut:?}: cut off, served {}, others {}", there.about(), others.about());
    println!("{about}");
    are_let_down(&there, &others).then_some(about).into_iter().collect()
}

/// Plays cuts one after the other.
fn play_all(cuts: &[(u64, Manner, &[usize])], beside: Beside) {
    let plays = cuts.iter().map(|(seed, manner, daemons)| {
        play(*seed, Cut { manner: *manner, daemons: daemons.to_vec() }, beside)
    });
    let broken = play_in_turn(plays);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn callers_of_an_instance_without_a_path_to_the_endpoints_are_served() {
    play_all(&CUTS, Beside::Nothing);
}

#[test]
fn a_cut_beside_restarts_of_other_instances_lets_nobody_down() {
    play_all(&BESIDE_RESTARTS, Beside::Restarts);
}

#[test]
fn callers_are_served_where_most_instances_have_no_path_to_the_endpoints() {
    play_all(&MOST, Beside::Nothing);
}

#[test]
fn an_instance_that_starts_without_a_path_to_the_endpoints_serves() {
    play_all(&BESIDE_START, Beside::Start);
}

#[test]
fn a_cut_beside_a_leaving_endpoint_lets_nobody_down() {
    play_all(&BESIDE_RELEASE, Beside::Release);
}

#[test]
fn a_cut_beside_an_outage_of_the_store_lets_nobody_down() {
    play_all(&BESIDE_OUTAGE, Beside::Outage);
}
