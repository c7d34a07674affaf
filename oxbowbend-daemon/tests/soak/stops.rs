//! Requests that reach an instance during its graceful shutdown.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::{future, task};
use rustix::process::Signal;

use crate::endpoint::Mode;
use crate::fleet::{Fleet, DAEMONS, KEY};
use crate::overflow::layouts;
use crate::press::play_in_turn;

/// Seeds of fleets with one cell and with two.
const ONE_CELL: u64 = 341;
const TWO_CELLS: u64 = 342;
/// The instance that is told to stop. It has a sound clock.
const STOPPING: usize = 0;
/// Requests that an endpoint runs at once where slots are to run out. Cells have four and six slots.
const SLOTS: u32 = 2;
/// Requests that fill either cell.
const FILLERS: u32 = 3 * SLOTS;
/// Time that a request takes where endpoints are slow: less than the route's timeout of 4 s, so that
/// one sent 3 s after the signal outlasts the grace period of 6 s.
const SLOW: Duration = Duration::from_millis(3600);
/// Time in which cells form.
const SETTLING: Duration = Duration::from_secs(5);
/// Time after the signal in which requests that take so long have time for it: half of them at least are served, whatever
/// is abandoned as overdue.
const TAKEN_ON: Duration = Duration::from_millis(1500);
/// Time between two requests.
const PACE: Duration = Duration::from_millis(100);
/// The longest that a request waits for an answer.
const PATIENCE: Duration = Duration::from_secs(8);
/// Time before the end of a process in which it may not read any more what is sent.
const UNREAD: Duration = Duration::from_millis(200);

/// What became of a request.
#[derive(Debug)]
struct Asked {
    id: String,
    at: Instant,
    status: Option<u16>,
}

/// Sends a request, with its whole body or the first half of it, and reads the status of the answer.
async fn ask(to: SocketAddr, kind: &str, id: String, is_whole: bool) -> Asked {
    let mut asked = Asked { id, at: Instant::now(), status: None };
    let Ok(mut stream) = TcpStream::connect(to).await else { return asked };
    let body = if is_whole { "some words" } else { "some " };
    let text = format!(
        "POST /{kind}/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: 10\r\n\r\n{body}",
        asked.id
    );
    let exchange = async {
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await.ok()?;
        std::str::from_utf8(&head).ok()?.rsplit(' ').next()?.parse().ok()
    };
    asked.status = future::timeout(PATIENCE, exchange).await.ok().flatten();
    asked
}

/// Sends requests of a kind at a steady pace to the instance that has been told to stop, until it ends.
async fn press(fleet: &mut Fleet, kind: &'static str) -> (Vec<Asked>, Instant) {
    let to = fleet.daemons[STOPPING].callers;
    let mut sent = Vec::new();
    for number in 0.. {
        if fleet.daemons[STOPPING].has_ended() {
            break;
        }
        sent.push(task::spawn(ask(to, kind, format!("stop-{kind}-{number}"), true)));
        task::sleep(PACE).await;
    }
    let ended_at = Instant::now();
    (futures::future::join_all(sent).await, ended_at)
}

/// Requests whose connection has closed without an answer though there was time to read them.
fn unanswered(asked: &[Asked], ended_at: Instant) -> Vec<String> {
    let is_read = |asked: &&Asked| asked.at + PACE + UNREAD < ended_at;
    let lost = asked.iter().filter(is_read).filter(|asked| asked.status.is_none());
    lost.map(|asked| format!("{} has no answer", asked.id)).collect()
}

/// Requests that may run once, were refused as not run, and have run.
fn falsely_refused(fleet: &Fleet, asked: &[Asked]) -> Vec<String> {
    let runs = &fleet.runs.lock().unwrap().runs;
    let refused = asked.iter().filter(|a| a.status == Some(503) && runs.contains_key(&a.id));
    refused.map(|asked| format!("{} was refused and has run", asked.id)).collect()
}

async fn started(seed: u64, slots: Option<u32>) -> Fleet {
    let fleet = match slots {
        Some(slots) => Fleet::start_with_slots(seed, slots).await,
        None => Fleet::start(seed).await,
    };
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    task::sleep(SETTLING).await;
    fleet
}

/// All endpoints are slow, so that the instance that stops takes itself for cut off.
async fn play_slow(kind: &'static str) -> Vec<String> {
    let mut fleet = started(ONE_CELL, None).await;
    fleet.endpoints.iter().for_each(|endpoint| endpoint.set_work(SLOW));
    fleet.daemons[STOPPING].signal(Signal::TERM);
    let stopped_at = Instant::now();
    let (asked, ended_at) = press(&mut fleet, kind).await;
    let statuses: Vec<_> = asked.iter().map(|asked| asked.status.unwrap_or(0)).collect();
    println!("{kind}: answers, each 0.1 s: {statuses:?}");
    let taken_on: Vec<_> = asked.iter().filter(|a| a.at < stopped_at + TAKEN_ON).collect();
    let served = taken_on.iter().filter(|asked| asked.status == Some(200)).count();
    let mut broken = [unanswered(&asked, ended_at), falsely_refused(&fleet, &asked)].concat();
    if served * 2 < taken_on.len() {
        broken.push(format!("{kind}: {served} of {} that had time are served", taken_on.len()));
    }
    broken
}

/// The cell of the instance that stops has no free slot, and the other one has.
async fn play_full_cell() -> Vec<String> {
    let mut fleet = started(TWO_CELLS, Some(SLOTS)).await;
    fleet.endpoints.iter().for_each(|endpoint| endpoint.set_work(SLOW));
    let layouts = layouts();
    let cell_of = |n: usize| layouts[n].1.endpoints.clone();
    let other = (0..DAEMONS).find(|n| *n != STOPPING && cell_of(*n) == cell_of(STOPPING)).unwrap();
    let other = fleet.daemons[other].callers;
    fleet.daemons[STOPPING].signal(Signal::TERM);
    let to = fleet.daemons[STOPPING].callers;
    task::sleep(Duration::from_millis(1800)).await;
    // It keeps the instance from its end.
    let keeper = task::spawn(ask(to, "once", "keeper".to_owned(), true));
    task::sleep(Duration::from_millis(600)).await;
    let fill = |n| task::spawn(ask(other, "once", format!("filler-{n}"), true));
    let fillers: Vec<_> = (0..FILLERS).map(fill).collect();
    task::sleep(Duration::from_millis(400)).await;
    let (asked, ended_at) = press(&mut fleet, "once").await;
    futures::future::join_all(fillers).await;
    let keeper = keeper.await;
    println!("full cell: keeper {:?}; {} requests", keeper.status, asked.len());
    [unanswered(&asked, ended_at), falsely_refused(&fleet, &asked)].concat()
}

/// Requests that were taken on while there was time, and one whose body does not come to its end, when
/// the grace period is over.
async fn play_end() -> Vec<String> {
    let mut fleet = started(ONE_CELL + DAEMONS as u64, None).await;
    fleet.endpoints.iter().for_each(|endpoint| endpoint.set_mode(Mode::Hanging));
    fleet.daemons[STOPPING].signal(Signal::TERM);
    let to = fleet.daemons[STOPPING].callers;
    task::sleep(Duration::from_millis(1900)).await;
    let ask = |kind, id: &str, is_whole| ask(to, kind, id.to_owned(), is_whole);
    let asked = futures::join!(
        ask("once", "end-once", true),
        ask("stream", "end-stream", true),
        ask("once", "end-body", false)
    );
    let ended_well = fleet.daemons[STOPPING].restart().await;
    let mut broken = Vec::new();
    for (asked, expected) in [(asked.0, 504), (asked.1, 504), (asked.2, 503)] {
        if asked.status != Some(expected) {
            broken.push(format!("{} got {:?}, not {expected}", asked.id, asked.status));
        }
    }
    if !ended_well {
        broken.push("the instance ended with an error".to_owned());
    }
    broken
}

/// Guards against requests that a stopping instance hands over to a peer, or to an endpoint of its own,
/// and cuts off without an answer at its exit.
#[test]
fn a_stopping_instance_answers_requests_while_endpoints_are_slow() {
    let broken = play_in_turn(["again", "once"].into_iter().map(play_slow));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against requests that a stopping instance offers to another cell though it exits before
/// their answers.
#[test]
fn a_stopping_instance_of_a_full_cell_takes_on_nothing_without_time_for_it() {
    let broken = play_in_turn(std::iter::once(()).map(|()| play_full_cell()));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against connections that close without an answer when the grace period is over.
#[test]
fn requests_that_are_left_at_the_end_of_a_stop_get_a_true_answer() {
    let broken = play_in_turn(std::iter::once(()).map(|()| play_end()));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
