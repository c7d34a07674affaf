//! Endpoints whose streams hold an event twice or go back, within an answer or after `Last-Event-Id`: callers get each
//! event once and in order, and no such stream looks complete.

use std::time::Duration;

use async_std::task;
use rustix::process::Signal;

use crate::caller::Seen;
use crate::endpoint::{Mode, EVENTS};
use crate::fleet::{Fleet, DAEMONS, ENDPOINTS};
use crate::press::{play_in_turn, press, unserved};
use crate::taken_up::{self, Says};

/// Seeds of their own, beside those that are played meanwhile: of one cell and of two cells.
const WITHIN: [u64; 2] = [65, 66];
const RESUMED: [u64; 2] = [67, 68];
const TAKEN_UP: [u64; 2] = [69, 70];
const WITHOUT_IDS: [u64; 2] = [71, 72];
/// Events that some endpoints write at once.
const PIECE: usize = 4;
/// Time for which requests are sent.
const LENGTH: Duration = Duration::from_secs(2);
/// Time between two streams that callers take up.
const PACE: Duration = Duration::from_millis(45);
/// Time after which they do.
const PAUSE: Duration = Duration::from_millis(30);
/// Counter of streams that were broken off or resumed for the order of their events.
const COUNTER: &str = "oxbow_streams_out_of_order_total";

/// How the events of a stream are out of order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disorder {
    /// `Last-Event-Id` is ignored: every answer begins with the first event.
    FromTheBeginning,
    /// An event comes twice.
    Twice,
    /// The stream goes back by some events and goes on from there.
    Back,
    /// The same, with several events in each piece.
    BackInOnePiece,
}

impl Disorder {
    /// The events of an answer after one, of a stream of so many, by piece.
    pub fn pieces(self, after: u64, all: u64) -> Vec<Vec<u64>> {
        let middle = EVENTS / 2;
        let numbers: Vec<u64> = match self {
            Disorder::FromTheBeginning => return (1..=all).map(|n| vec![n]).collect(),
            Disorder::Twice => (1..=middle).chain(middle..=all).collect(),
            Disorder::Back | Disorder::BackInOnePiece => {
                (1..=middle).chain(middle - 2..=all).collect()
            }
        };
        let numbers: Vec<u64> = numbers.into_iter().filter(|n| *n > after).collect();
        let piece = if self == Disorder::BackInOnePiece { PIECE } else { 1 };
        numbers.chunks(piece).map(<[u64]>::to_vec).collect()
    }
}

/// Adds what was broken off for its order, which shows that the play has reached what it is about.
async fn check_met(fleet: &Fleet, broken: &mut Vec<String>) {
    let mut met = 0;
    for daemon in &fleet.daemons {
        met += daemon.metric(COUNTER).await;
    }
    println!("{met} streams out of order");
    if met == 0 {
        broken.push("no stream was noticed to be out of order".to_owned());
    }
}

/// One endpoint of five writes streams that are out of order by themselves.
async fn within(seed: u64) -> Vec<String> {
    let fleet = Fleet::start(seed).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    let mut broken = Vec::new();
    for disorder in [Disorder::Twice, Disorder::Back, Disorder::BackInOnePiece] {
        fleet.endpoints[0].set_mode(Mode::OutOfOrder(disorder));
        let seen = press(&fleet, &format!("{disorder:?}"), LENGTH).await;
        broken.extend(seen.iter().flat_map(|seen| seen.check(&fleet.runs)));
        // What may be resumed is served by the other endpoints.
        let others: Vec<_> = seen.into_iter().filter(|seen| seen.kind != "stream").collect();
        broken.extend(unserved(&others));
        fleet.endpoints[0].set_mode(Mode::Good);
        task::sleep(LENGTH / 2).await;
    }
    check_met(&fleet, &mut broken).await;
    broken.into_iter().map(|b| format!("seed {seed}: {b}")).collect()
}

/// Some endpoints break streams off, most others begin anew instead of going on.
async fn resumed(seed: u64) -> Vec<String> {
    let fleet = Fleet::start(seed).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    fleet.endpoints[0].set_mode(Mode::Cutting);
    fleet.endpoints[3].set_mode(Mode::Cutting);
    let ignoring = Mode::OutOfOrder(Disorder::FromTheBeginning);
    [1, 2].into_iter().for_each(|n| fleet.endpoints[n].set_mode(ignoring));
    let seen = press(&fleet, "resumed", LENGTH * 2).await;
    let mut broken: Vec<_> = seen.iter().flat_map(|seen| seen.check(&fleet.runs)).collect();
    check_met(&fleet, &mut broken).await;
    broken.into_iter().map(|b| format!("seed {seed}: {b}")).collect()
}

/// Instances are killed, callers take their streams up again, and some endpoints begin anew.
async fn taken_up(seed: u64) -> Vec<String> {
    let mut fleet = Fleet::start_with_software(seed, ["v1"; ENDPOINTS]).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    let ignoring = Mode::OutOfOrder(Disorder::FromTheBeginning);
    [1, 2].into_iter().for_each(|n| fleet.endpoints[n].set_mode(ignoring));
    let daemons = fleet.callers();
    let streams = task::spawn(async move {
        let mut streams = Vec::new();
        for n in 0..(LENGTH.as_millis() * 2 / PACE.as_millis()) as usize {
            let name = format!("taken-order-{n}");
            let stream = taken_up::stream(daemons, n % DAEMONS, name, PAUSE, Says::Resumes);
            streams.push(task::spawn(stream));
            task::sleep(PACE).await;
        }
        futures::future::join_all(streams).await
    });
    for n in [1, 3] {
        task::sleep(LENGTH * 2 / 3).await;
        fleet.daemons[n].restart_by(Signal::KILL).await;
    }
    let streams = streams.await;
    let mut broken: Vec<_> = streams.iter().flat_map(|stream| stream.check(&fleet.runs)).collect();
    let whole = streams.iter().filter(|stream| stream.is_whole).count();
    let attempts = streams.iter().flat_map(|stream| &stream.attempts);
    let taken_up = attempts.filter(|attempt| attempt.takes_up.is_some()).count();
    println!("seed {seed}: {whole} of {} streams whole, {taken_up} take-ups", streams.len());
    check_met(&fleet, &mut broken).await;
    broken.into_iter().map(|b| format!("seed {seed}: {b}")).collect()
}

/// Events have no ids, and some endpoints break streams off.
async fn without_ids(seed: u64) -> Vec<String> {
    let fleet = Fleet::start(seed).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    fleet.endpoints.iter().for_each(|endpoint| endpoint.set_mode(Mode::WithoutIds));
    [0, 3].into_iter().for_each(|n| fleet.endpoints[n].set_mode(Mode::CuttingWithoutIds));
    let seen = press(&fleet, "without-ids", LENGTH * 2).await;
    let whole: String = (1..=EVENTS).map(|n| format!("data: {n}\n\n")).collect();
    let streams = seen.iter().filter(|seen| seen.kind.starts_with("stream"));
    let streams: Vec<_> = streams.filter(|seen| seen.status == Some(200)).collect();
    let cut = streams.iter().filter(|seen| !seen.is_whole).count();
    let is_right = |seen: &Seen| match seen.is_whole {
        true => seen.body == whole.as_bytes(),
        false => whole.as_bytes().starts_with(&seen.body),
    };
    let wrong = streams.iter().filter(|seen| !is_right(seen));
    let mut broken: Vec<_> = wrong.map(|seen| format!("seed {seed}: {seen:?}")).collect();
    println!("seed {seed}: {cut} of {} streams broken off, {} wrong", streams.len(), broken.len());
    if cut == 0 {
        broken.push(format!("seed {seed}: no stream was seen to break off"));
    }
    broken
}

#[test]
fn a_stream_without_ids_that_breaks_off_does_not_begin_anew() {
    let broken = play_in_turn(WITHOUT_IDS.into_iter().map(without_ids));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn an_event_that_its_endpoint_repeats_or_goes_back_to_reaches_no_caller() {
    let broken = play_in_turn(WITHIN.into_iter().map(within));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn a_resumed_stream_whose_endpoint_begins_anew_is_not_joined() {
    let broken = play_in_turn(RESUMED.into_iter().map(resumed));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn a_taken_up_stream_whose_endpoint_begins_anew_is_not_joined() {
    let broken = play_in_turn(TAKEN_UP.into_iter().map(taken_up));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
