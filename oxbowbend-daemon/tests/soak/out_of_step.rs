//! An instance is out of step for a moment while endpoints of another version of their software take the place of
//! others: what it concludes from having heard of no other version is older than the streams that it is asked to take up.

use std::time::Duration;

use async_std::task::{self, JoinHandle};
use rustix::process::Signal;

use crate::endpoint::Mode;
use crate::fleet::{Fleet, DAEMONS, ENDPOINTS};
use crate::paths::{Cut, Manner};
use crate::press::play_in_turn;
use crate::taken_up::{self, Says, Shares, Stream};

/// Seeds of their own, beside those that are played meanwhile: of one cell and of two cells.
const SUSPENDED: [u64; 3] = [311, 312, 318];
const UNTOLD: [u64; 2] = [315, 316];
/// The instance that is out of step.
const OUT: usize = 1;
/// Instances of the other cell, if there are two: they tell their streams to none of this one's.
const FAR: [usize; 2] = [0, 2];
/// Endpoints that stay at their version.
const STAYING: usize = 2;
/// Time before anything happens.
const CALM: Duration = Duration::from_millis(1500);
/// Time between two new streams, and number of them.
const PACE: Duration = Duration::from_millis(45);
const STREAMS: usize = 60;
/// Times after which callers take a stream up, in turn.
const PAUSES: [Duration; 2] = [Duration::from_millis(1), Duration::from_millis(150)];
/// Time for which streams begin at one version.
const BEFORE: Duration = Duration::from_millis(400);
/// Time for which an endpoint is down that gets other software.
const DOWN: Duration = Duration::from_millis(100);
/// Times for which the instance is out of step, in turn.
const OUT_FOR: [Duration; 2] = [Duration::from_millis(600), Duration::from_millis(700)];
/// Time for which its way to the store stays silent after it goes on.
const SILENT: Duration = Duration::from_millis(1200);

/// Streams begin at the far instances in turn. Two of three are taken up at the one that is out of step first, the
/// others at another one.
fn press(fleet: &Fleet, says: Says) -> JoinHandle<Vec<Stream>> {
    let daemons = fleet.callers();
    task::spawn(async move {
        let mut streams = Vec::new();
        for n in 0..STREAMS {
            let [first, last] = [n, n + 1].map(|n| daemons[FAR[n % FAR.len()]]);
            let (name, pause) = (format!("taken-out-{n}"), PAUSES[n / DAEMONS % PAUSES.len()]);
            let second = if n % 3 == 0 { last } else { daemons[OUT] };
            let at = [first, second, daemons[OUT], last];
            streams.push(task::spawn(taken_up::stream(at, 0, name, pause, says)));
            task::sleep(PACE).await;
        }
        futures::future::join_all(streams).await
    })
}

/// Most endpoints are replaced by ones of other software, which break their streams off.
async fn replace(fleet: &mut Fleet) {
    (STAYING..ENDPOINTS).for_each(|n| fleet.change_software(n, "v2", DOWN));
    task::sleep(DOWN + Duration::from_millis(20)).await;
    (STAYING..ENDPOINTS).for_each(|n| fleet.endpoints[n].set_mode(Mode::Cutting));
}

/// What was not as it must be; prints what became of the streams that were taken up.
fn judge(seed: u64, fleet: &Fleet, streams: &[Stream], says: Says) -> Vec<String> {
    let taken_up = streams.iter().flat_map(|s| &s.attempts).filter(|a| a.takes_up.is_some());
    let at_it: Vec<_> = taken_up.filter(|a| a.daemon == fleet.callers()[OUT]).collect();
    let gone_on = at_it.iter().filter(|a| a.status == Some(200)).count();
    let shares = Shares::of(streams, taken_up::excused(&fleet.excuses), |_| true);
    println!(
        "seed {seed}: {gone_on} of {} go on at the instance, {shares:?} at others",
        at_it.len()
    );
    let mut broken: Vec<_> = streams.iter().flat_map(|s| s.check(&fleet.runs)).collect();
    if says == Says::Resumes {
        broken.extend(shares.check());
    }
    broken.into_iter().map(|b| format!("seed {seed}: {b}")).collect()
}

/// The instance is suspended, and the store does not answer it before, meanwhile and for a moment after.
async fn suspended(seed: u64, out_for: Duration, says: Says) -> Vec<String> {
    let mut fleet = Fleet::start_with_software(seed, ["v1"; ENDPOINTS]).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    task::sleep(CALM).await;
    let streams = press(&fleet, says);
    task::sleep(BEFORE).await;
    fleet.store_paths.set_cut(Some(Cut { manner: Manner::Silent, daemons: vec![OUT] }));
    fleet.daemons[OUT].signal(Signal::STOP);
    replace(&mut fleet).await;
    task::sleep(out_for).await;
    (STAYING..ENDPOINTS).for_each(|n| fleet.endpoints[n].set_mode(Mode::Good));
    fleet.daemons[OUT].signal(Signal::CONT);
    task::sleep(SILENT).await;
    fleet.store_paths.set_cut(None);
    let streams = streams.await;
    judge(seed, &fleet, &streams, says)
}

fn play_suspended(seeds: impl Iterator<Item = u64>, says: Says) -> Vec<String> {
    let plays = seeds.flat_map(|seed| OUT_FOR.map(|out_for| suspended(seed, out_for, says)));
    play_in_turn(plays)
}

/// An instance that went on after a suspension, before it noticed that the store did not answer it, took streams of a new
/// version to be of the only one that it knew. `OXBOW_SOAK_OUT_OF_STEP=FROM-TO` plays other seeds.
#[test]
fn a_suspended_instance_joins_no_stream_of_a_new_version_with_the_only_one_it_knows() {
    let seeds: Vec<u64> = match std::env::var("OXBOW_SOAK_OUT_OF_STEP") {
        Ok(range) => crate::range(&range).collect(),
        Err(_) => SUSPENDED.to_vec(),
    };
    let broken = play_suspended(seeds.into_iter(), Says::Resumes);
    assert!(broken.is_empty(), "{} broken\n{}", broken.len(), broken.join("\n"));
}

/// The same where callers do not say which attempt began their streams.
#[test]
fn a_suspended_instance_joins_no_stream_without_a_word_on_its_beginning() {
    let broken = play_suspended(UNTOLD.into_iter(), Says::Nothing);
    assert!(broken.is_empty(), "{} broken\n{}", broken.len(), broken.join("\n"));
}
