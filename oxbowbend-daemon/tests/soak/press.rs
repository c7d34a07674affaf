//! Requests of all kinds to all instances in turn, at a steady pace, of one test at a time.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_std::task::{self, JoinHandle};

use crate::caller::{self, Seen, KINDS};
use crate::fleet::{Fleet, DAEMONS};

/// Time between two requests.
const PACE: Duration = Duration::from_millis(20);
/// The same where it is looked which endpoints get any.
const FAST: Duration = Duration::from_millis(7);

/// Held by the tests that press, two at a time.
static TURNS: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];
/// Tests that have asked for a turn.
static TESTS: AtomicUsize = AtomicUsize::new(0);

/// Plays fleets one after the other, while one other test presses at most; returns what was not as it must be.
pub fn play_in_turn<F>(plays: impl Iterator<Item = F>) -> Vec<String>
where
    F: Future<Output = Vec<String>>,
{
    // A test that failed while it held the turn has nothing to do with the next one.
    let turn = &TURNS[TESTS.fetch_add(1, Ordering::SeqCst) % TURNS.len()];
    let _turn = turn.lock().unwrap_or_else(PoisonError::into_inner);
    plays.flat_map(task::block_on).collect()
}

/// Sends for a while and waits for all answers.
pub async fn press(fleet: &Fleet, part: &str, length: Duration) -> Vec<Seen> {
    press_at(PACE, fleet.callers(), part.to_owned(), length).await
}

/// The same, faster.
pub async fn press_fast(fleet: &Fleet, part: &str, length: Duration) -> Vec<Seen> {
    press_at(FAST, fleet.callers(), part.to_owned(), length).await
}

/// The same, to instances of choice.
pub async fn press_to(daemons: [SocketAddr; DAEMONS], part: String, length: Duration) -> Vec<Seen> {
    press_at(FAST, daemons, part, length).await
}

/// The same, beside what else is done with the fleet.
pub fn press_beside(fleet: &Fleet, part: &str, length: Duration) -> JoinHandle<Vec<Seen>> {
    task::spawn(press_at(PACE, fleet.callers(), part.to_owned(), length))
}

async fn press_at(
    pace: Duration,
    daemons: [SocketAddr; DAEMONS],
    part: String,
    length: Duration,
) -> Vec<Seen> {
    let until = Instant::now() + length;
    let mut sent = Vec::new();
    for n in 0.. {
        if Instant::now() >= until {
            break;
        }
        let kind = KINDS[n / DAEMONS % KINDS.len()];
        sent.push(task::spawn(caller::send(daemons[n % DAEMONS], kind, format!("p-{part}-{n}"))));
        task::sleep(pace).await;
    }
    futures::future::join_all(sent).await
}

/// Sends one request to every instance at the same moment, again and again with `pace` between, and waits for all
/// answers.
pub async fn press_at_once(
    fleet: &Fleet,
    part: &str,
    pace: Duration,
    length: Duration,
) -> Vec<Seen> {
    let until = Instant::now() + length;
    let mut sent = Vec::new();
    for n in 0.. {
        if Instant::now() >= until {
            break;
        }
        for (d, daemon) in fleet.daemons.iter().enumerate() {
            let kind = KINDS[(n + d) % KINDS.len()];
            let id = format!("p-{part}-{n}-{d}");
            sent.push(task::spawn(caller::send(daemon.callers, kind, id)));
        }
        task::sleep(pace).await;
    }
    futures::future::join_all(sent).await
}

/// The first of these that was not served.
pub fn unserved(seen: &[Seen]) -> Option<String> {
    let failed = seen.iter().filter(|seen| !seen.is_served());
    let count = failed.clone().count();
    failed.map(|seen| format!("{count} are not served, the first: {seen:?}")).next()
}
