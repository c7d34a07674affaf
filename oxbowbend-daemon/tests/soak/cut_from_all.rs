//! Instances are cut off from each other, in parts or one from all and from the store, while callers and endpoints reach
//! them: what an instance concludes from what it has not heard must not outlive the moment at which it heard all.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use async_std::task::{self, JoinHandle};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;

use crate::caller::{self, Seen};
use crate::endpoint::Mode;
use crate::fleet::{Fleet, DAEMONS, ENDPOINTS};
use crate::paths::{Cut, Manner};
use crate::peer_paths::PeerCut;
use crate::press::play_in_turn;
use crate::taken_up::{self, Says, Shares, Stream};

/// Seeds of their own, beside those that are played meanwhile: odd ones have one cell, even ones two.
const FROM_ALL: [u64; 4] = [101, 102, 103, 104];
const IN_PARTS: [(u64, Parts); 4] = [
    (112, Parts::Halves),
    (113, Parts::OneWay),
    (114, Parts::BesideSuspension),
    (115, Parts::BesideKill),
];
const UNHEARD: u64 = 121;
/// Other seeds, FROM-TO, one test at a time.
const SEEDS: &str = "OXBOW_SOAK_CUTS";
/// Endpoints that stay at their version.
const STAYING: usize = 2;
/// Time before anything happens.
const CALM: Duration = Duration::from_millis(1500);
/// Time between two new streams, and between two other requests.
const PACE: Duration = Duration::from_millis(45);
/// Times after which callers take a stream up, in turn.
const PAUSES: [Duration; 2] = [Duration::from_millis(1), Duration::from_millis(150)];
/// Time for which streams begin before the cut, and after it.
const BEFORE: Duration = Duration::from_millis(400);
const AFTER: Duration = Duration::from_millis(800);
/// Time for which an endpoint is down that gets other software.
const DOWN: Duration = Duration::from_millis(100);
/// Milliseconds for which an instance is cut off.
const CUT_MS: std::ops::RangeInclusive<u64> = 300..=3000;
/// The same where cuts come in series, their number, and the milliseconds between them.
const SERIES_MS: std::ops::RangeInclusive<u64> = 200..=1200;
const SERIES: usize = 2;
const GAPS_MS: std::ops::RangeInclusive<u64> = 0..=500;
/// Part of a cut in which streams break off, and after which an instance is suspended or killed.
const INTO_CUT: f64 = 0.4;
/// Time after the last cut within which everything is as before, and requests that show it.
const RECOVERY: Duration = Duration::from_millis(3500);
const CALM_REQUESTS: usize = 24;
/// Time for which it is looked whether an instance hears anything.
const LOOKED: Duration = Duration::from_secs(1);
/// Time after a cut within which it hears its peers again.
const HEARD: Duration = Duration::from_millis(500);
const REPORTS_HEARD: &str = "oxbow_reports_total{direction=\"in\"}";
/// Kinds of requests beside the streams.
const KINDS: [&str; 2] = ["once", "again"];

/// How a fleet is cut into parts, and what happens in the cut.
#[derive(Clone, Copy, Debug)]
enum Parts {
    Halves,
    /// Nothing passes from one instance to the others.
    OneWay,
    /// One instance is cut off and another one is suspended.
    BesideSuspension,
    /// The same, and the other one is killed and started again.
    BesideKill,
}

impl Parts {
    fn cut(self, manner: Manner, out: usize, other: usize) -> PeerCut {
        match self {
            Parts::Halves => {
                let to = (0..DAEMONS).filter(|n| ![out, other].contains(n)).collect();
                PeerCut { manner, from: vec![out, other], to, is_both_ways: true }
            }
            Parts::OneWay => {
                let to = (0..DAEMONS).collect();
                PeerCut { manner, from: vec![out], to, is_both_ways: false }
            }
            Parts::BesideSuspension | Parts::BesideKill => PeerCut::from_all(manner, &[out]),
        }
    }
}

/// Streams of all plays of a test at instances that are in touch. Each play has few of them.
#[derive(Debug, Default)]
struct All(Mutex<Shares>);

impl All {
    /// Adds those of a play; returns what is not as it must be of them alone.
    fn add(&self, shares: Shares) -> Vec<String> {
        self.0.lock().unwrap().add(shares);
        shares.check()
    }

    fn check(&self) -> Vec<String> {
        let shares = *self.0.lock().unwrap();
        println!("all: {shares:?}");
        shares.check()
    }
}

async fn start(seed: u64) -> Fleet {
    let fleet = Fleet::start_with_peer_paths(seed, ["v1"; ENDPOINTS]).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    task::sleep(CALM).await;
    fleet
}

fn manner(rng: &mut Pcg64) -> Manner {
    [Manner::Silent, Manner::Reset][rng.random_range(0..2)]
}

fn time(rng: &mut Pcg64, ms: std::ops::RangeInclusive<u64>) -> Duration {
    Duration::from_millis(rng.random_range(ms))
}

/// Streams begin at all instances in turn for a while, and are taken up at the next one when they break off.
fn stream(fleet: &Fleet, length: Duration, says: Says) -> JoinHandle<Vec<Stream>> {
    let (daemons, until) = (fleet.callers(), Instant::now() + length);
    task::spawn(async move {
        let mut streams = Vec::new();
        for n in 0.. {
            if Instant::now() >= until {
                break;
            }
            let (name, pause) = (format!("taken-cut-{n}"), PAUSES[n / DAEMONS % PAUSES.len()]);
            let stream = taken_up::stream(daemons, n % DAEMONS, name, pause, says);
            streams.push(task::spawn(stream));
            task::sleep(PACE).await;
        }
        futures::future::join_all(streams).await
    })
}

/// Other requests go to all instances in turn.
fn request(fleet: &Fleet, length: Duration) -> JoinHandle<Vec<Seen>> {
    let (daemons, until) = (fleet.callers(), Instant::now() + length);
    task::spawn(async move {
        let mut sent = Vec::new();
        for n in 0.. {
            if Instant::now() >= until {
                break;
            }
            let kind = KINDS[n / DAEMONS % KINDS.len()];
            sent.push(task::spawn(caller::send(daemons[n % DAEMONS], kind, format!("p-cut-{n}"))));
            task::sleep(PACE).await;
        }
        futures::future::join_all(sent).await
    })
}

/// Most endpoints are replaced by ones of other software.
async fn replace(fleet: &mut Fleet) {
    (STAYING..ENDPOINTS).for_each(|n| fleet.change_software(n, "v2", DOWN));
    task::sleep(DOWN + Duration::from_millis(20)).await;
}

/// Sets whether streams of the other software break off.
fn set_breaking(fleet: &Fleet, is_breaking: bool) {
    let mode = if is_breaking { Mode::CuttingNew } else { Mode::Good };
    fleet.endpoints[STAYING..].iter().for_each(|endpoint| endpoint.set_mode(mode));
}

/// An instance is not in touch around this moment.
fn excuse(fleet: &Fleet, daemon: usize) {
    let excuse = (fleet.callers()[daemon], Instant::now());
    fleet.excuses.lock().unwrap().push(excuse);
}

/// What was not as it must be; prints what became of the streams.
fn judge(
    seed: u64,
    about: &str,
    fleet: &Fleet,
    streams: &[Stream],
    all: Option<&All>,
) -> Vec<String> {
    let shares = Shares::of(streams, taken_up::excused(&fleet.excuses), |_| true);
    println!("seed {seed}, {about}: {} streams, {shares:?}", streams.len());
    let owed = all.map_or(Vec::new(), |all| all.add(shares));
    let broken = streams.iter().flat_map(|stream| stream.check(&fleet.runs));
    broken.chain(owed).map(|b| format!("seed {seed}, {about}: {b}")).collect()
}

/// One instance is cut off from its peers and from the store.
async fn from_all(seed: u64, all: &All) -> Vec<String> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let says = [Says::Resumes, Says::Nothing][seed as usize / 2 % 2];
    let (out, cut_for) = (rng.random_range(0..DAEMONS), time(&mut rng, CUT_MS));
    let manner = manner(&mut rng);
    let mut fleet = start(seed).await;
    let streams = stream(&fleet, BEFORE + cut_for + AFTER, says);
    task::sleep(BEFORE).await;
    let until = Instant::now() + cut_for;
    excuse(&fleet, out);
    fleet.store_paths.set_cut(Some(Cut { manner, daemons: vec![out] }));
    fleet.cut_peers(Some(PeerCut::from_all(manner, &[out])));
    replace(&mut fleet).await;
    set_breaking(&fleet, true);
    task::sleep(until.saturating_duration_since(Instant::now())).await;
    fleet.cut_peers(None);
    fleet.store_paths.set_cut(None);
    excuse(&fleet, out);
    set_breaking(&fleet, false);
    let streams = streams.await;
    let taken_up = streams.iter().flat_map(|s| &s.attempts).filter(|a| a.takes_up.is_some());
    let at_it: Vec<_> = taken_up.filter(|a| a.daemon == fleet.callers()[out]).collect();
    let gone_on = at_it.iter().filter(|a| a.status == Some(200)).count();
    let about = format!(
        "{says:?}, d{out} cut for {} ms, {manner:?}, {gone_on} of {} go on there",
        cut_for.as_millis(),
        at_it.len()
    );
    // While versions are mixed, nothing is owed to streams without a word on their beginning.
    let all = (says == Says::Resumes).then_some(all);
    judge(seed, &about, &fleet, &streams, all)
}

/// Instances are cut off from each other in series, and the store answers all.
async fn in_parts((seed, parts): (u64, Parts), all: &All) -> Vec<String> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut fleet = start(seed).await;
    let cuts: Vec<_> = (0..SERIES)
        .map(|_| (time(&mut rng, SERIES_MS), time(&mut rng, GAPS_MS), manner(&mut rng)))
        .collect();
    let length: Duration = cuts.iter().map(|(cut_for, gap, _)| *cut_for + *gap).sum();
    let length = BEFORE + length + AFTER;
    let (streams, requests) = (stream(&fleet, length, Says::Resumes), request(&fleet, length));
    task::sleep(BEFORE).await;
    for (n, (cut_for, gap, manner)) in cuts.into_iter().enumerate() {
        let out = rng.random_range(0..DAEMONS);
        let other = (out + rng.random_range(1..DAEMONS)) % DAEMONS;
        fleet.cut_peers(Some(parts.cut(manner, out, other)));
        if !matches!(parts, Parts::Halves) {
            excuse(&fleet, out);
        }
        if n == 0 {
            replace(&mut fleet).await;
        }
        set_breaking(&fleet, true);
        task::sleep(cut_for.mul_f64(INTO_CUT)).await;
        set_breaking(&fleet, false);
        match parts {
            Parts::Halves | Parts::OneWay => {}
            Parts::BesideSuspension => fleet.daemons[other].signal(Signal::STOP),
            Parts::BesideKill => fleet.daemons[other].restart_by(Signal::KILL).await,
        }
        task::sleep(cut_for.mul_f64(1.0 - INTO_CUT)).await;
        fleet.cut_peers(None);
        if matches!(parts, Parts::BesideSuspension) {
            fleet.daemons[other].signal(Signal::CONT);
        }
        task::sleep(gap).await;
    }
    let (streams, requests) = (streams.await, requests.await);
    let mut unserved: Vec<_> =
        requests.iter().filter(|s| !s.is_served()).map(|seen| seen.status).collect();
    unserved.sort_unstable();
    let about = format!("{parts:?}, of {} requests unserved {unserved:?}", requests.len());
    let mut broken = judge(seed, &about, &fleet, &streams, Some(all));
    broken.extend(requests.iter().flat_map(|seen| seen.check(&fleet.runs)));
    broken.extend(after(seed, &fleet).await);
    broken
}

/// Everything is served some time after a cut.
async fn after(seed: u64, fleet: &Fleet) -> Vec<String> {
    task::sleep(RECOVERY).await;
    let mut broken = Vec::new();
    for n in 0..CALM_REQUESTS {
        let (daemon, kind) = (fleet.callers()[n % DAEMONS], KINDS[n / DAEMONS % KINDS.len()]);
        let seen = caller::send(daemon, kind, format!("p-after-{n}")).await;
        if !seen.is_served() {
            broken.push(format!("seed {seed}: not served after the cut: {seen:?}"));
        }
        broken.extend(seen.check(&fleet.runs));
    }
    broken
}

/// Other seeds if there are any.
fn seeds() -> Option<Vec<u64>> {
    let range = std::env::var(SEEDS).ok()?;
    Some(crate::range(&range).collect())
}

/// What passes around a proxy would make all else here prove nothing.
#[test]
fn a_daemon_that_is_cut_off_hears_nobody() {
    let broken = play_in_turn([UNHEARD].into_iter().map(|seed| async move {
        let fleet = start(seed).await;
        let mut broken = Vec::new();
        for cut in
            [PeerCut::from_all(Manner::Silent, &[1]), PeerCut::from_all(Manner::Reset, &[0, 1])]
        {
            fleet.cut_peers(Some(cut.clone()));
            task::sleep(HEARD).await;
            let before = fleet.daemons[1].metric(REPORTS_HEARD).await;
            task::sleep(LOOKED).await;
            let heard = fleet.daemons[1].metric(REPORTS_HEARD).await - before;
            fleet.cut_peers(None);
            task::sleep(HEARD).await;
            let heard_after = fleet.daemons[1].metric(REPORTS_HEARD).await - before - heard;
            println!("seed {seed}: {heard} reports heard in a cut, {heard_after} after it");
            if heard > 0 || heard_after == 0 {
                broken.push(format!(
                    "{heard} reports heard in a cut, {heard_after} after it: {cut:?}"
                ));
            }
        }
        broken
    }));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// An instance that had heard of no other version took streams that began elsewhere in the cut to be of the only version
/// that it knew.
#[test]
fn an_instance_that_is_cut_off_from_all_joins_no_streams_of_two_versions() {
    let seeds = seeds().unwrap_or(FROM_ALL.to_vec());
    let all = All::default();
    let mut broken = play_in_turn(seeds.into_iter().map(|seed| from_all(seed, &all)));
    broken.extend(all.check());
    assert!(broken.is_empty(), "{} broken\n{}", broken.len(), broken.join("\n"));
}

/// A part of the fleet that the store answers and that does not hear the rest joined streams, ran requests twice, or said
/// untruly that they had not run; or the parts did not find together.
#[test]
fn promises_hold_where_instances_are_cut_off_from_each_other() {
    let kinds = [Parts::Halves, Parts::OneWay, Parts::BesideSuspension, Parts::BesideKill];
    let plays = seeds().map(|seeds| {
        let play = |seed: u64| (seed, kinds[seed as usize / 2 % kinds.len()]);
        seeds.into_iter().map(play).collect()
    });
    let plays: Vec<_> = plays.unwrap_or(IN_PARTS.to_vec());
    let all = All::default();
    let mut broken = play_in_turn(plays.into_iter().map(|play| in_parts(play, &all)));
    broken.extend(all.check());
    assert!(broken.is_empty(), "{} broken\n{}", broken.len(), broken.join("\n"));
}
