//! An endpoint that says in its answers that it leaves gets nothing more, also while the store cannot say so.
//!
//! An engine said at 7.5 s that it leaves, in its answers and to the store. The store answered nobody from 7.0 to 20.6 s, so its list
//! had the engine ready, and nobody read more of an answer than its status: seven instances went on to send requests there, one of them 2.5 s
//! after it had passed the word on to a caller. Requests placed at the engine each second, and what was known:
//!
//! ```text
//! s            7  8  9 10 11 12 13
//! placed       3  2  1  3  3  7  1
//! 7.630 sierra-1 passes on an answer with the word; 10.167 a request sent to sierra-1 at 10.163 reaches the engine
//! 8.2649 sierra-1 event=dependency_lost dependency=store error="no answer in 500ms"
//! ```

use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::exchanges::{Episode, Says};
use crate::fleet::Fleet;
use crate::press::{play_in_turn, press, press_fast, unserved};
use crate::store;

/// Seeds of their own, beside those that are played meanwhile: one of one cell, one of two cells, both with a kill.
const SEEDS: [u64; 2] = [223, 224];
/// The endpoint that leaves.
const LEAVER: usize = 2;
/// Instance that is killed after the word.
const KILLED: usize = 1;
/// Time after the word within which all instances know it: some beats, and a restart.
const KNOWN: Duration = Duration::from_millis(1500);
/// Time for which the store is away after the word.
const LENGTH: Duration = Duration::from_secs(5);
/// Time after the endpoint's new start within which it gets requests again.
const AGAIN: Duration = Duration::from_secs(3);

async fn play(seed: u64) -> Vec<String> {
    let mut fleet = Fleet::start(seed).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    press(&fleet, "before", Duration::from_secs(1)).await;
    fleet.store.set_mode(store::Mode::Mute);
    let (from, says) = (Instant::now(), Says { leaves: true, ..Says::default() });
    fleet.endpoints[LEAVER].set_says(says);
    let mut broken: Vec<_> = unserved(&press(&fleet, "a", KNOWN).await).into_iter().collect();
    let known = Instant::now();
    broken.extend(unserved(&press(&fleet, "b", LENGTH / 3).await));
    fleet.daemons[KILLED].signal(Signal::KILL);
    let excuses = [(fleet.daemons[KILLED].callers, Instant::now())];
    fleet.daemons[KILLED].restart().await;
    press(&fleet, "c", LENGTH * 2 / 3).await;
    let id = fleet.endpoints[LEAVER].id.clone();
    let until = Instant::now();
    let episode = Episode { endpoint: id.clone(), says, from, until };
    broken.extend(fleet.exchanges.check(&episode, &excuses));
    let count = fleet.exchanges.count(&id, known, until);
    if count > 0 {
        broken.push(format!("{count} requests long after {id} had said that it leaves"));
    }
    // It starts again under its id, and the store is back.
    fleet.endpoints[LEAVER].set_says(Says::default());
    fleet.store.set_mode(store::Mode::Up);
    fleet.store.cut_watches();
    fleet.restart_endpoint(LEAVER, Duration::from_millis(500)).await;
    press(&fleet, "d", AGAIN).await;
    let now = Instant::now();
    press_fast(&fleet, "e", Duration::from_secs(1)).await;
    if fleet.exchanges.count(&id, now, Instant::now()) == 0 {
        broken.push(format!("{id} gets nothing after a new start"));
    }
    broken.into_iter().map(|b| format!("seed {seed}: {b}")).collect()
}

#[test]
fn an_endpoint_that_says_that_it_leaves_gets_nothing_more() {
    let broken = play_in_turn(SEEDS.into_iter().map(play));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
