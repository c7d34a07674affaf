//! An answer without a length and chunks that breaks off inside an event must not look complete to its caller.

use std::time::{Duration, Instant};

use crate::endpoint::{Mode, EVENTS};
use crate::fleet::{Fleet, ENDPOINTS};
use crate::press::{play_in_turn, press, unserved};
use crate::proxy;

/// Seeds of their own, beside those that are played meanwhile: one of one cell, one of two cells.
const SEEDS: [u64; 2] = [61, 62];
/// Endpoints that break their streams off.
const BREAKING: usize = 2;
/// Time for which streams break off at one place of an event.
const PART: Duration = Duration::from_millis(350);
/// Bytes of the event at which streams break off, `id: 6` and the data: all but its last byte.
const PLACES: std::ops::Range<usize> = 1..20;

async fn play(seed: u64) -> Vec<String> {
    let fleet = Fleet::start(seed).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    fleet.proxies.iter().for_each(|proxy| proxy.set_mode(proxy::Mode::Unframed));
    let whole = press(&fleet, "whole", Duration::from_secs(1)).await;
    let mut broken: Vec<_> = unserved(&whole).into_iter().collect();
    let repeated = fleet.runs.lock().unwrap().runs.values().filter(|runs| runs.len() > 1).count();
    if repeated > 0 {
        broken.push(format!("{repeated} whole answers were asked for again"));
    }
    let mut cut = 0;
    for at in PLACES {
        let set = |mode| (0..BREAKING).for_each(|n| fleet.endpoints[n].set_mode(mode));
        set(Mode::CuttingAt(at));
        let seen = press(&fleet, &format!("at-{at}"), PART).await;
        set(Mode::Good);
        broken.extend(seen.iter().flat_map(|seen| seen.check(&fleet.runs)));
        let (streams, others): (Vec<_>, Vec<_>) =
            seen.into_iter().partition(|seen| seen.kind == "stream");
        // What may be repeated or resumed is served by the other endpoints.
        broken.extend(unserved(&others));
        cut += streams.iter().filter(|seen| !seen.is_whole).count();
    }
    if cut < ENDPOINTS {
        broken.push(format!("only {cut} streams were seen to break off"));
    }
    broken.into_iter().map(|b| format!("seed {seed}: {b}")).collect()
}

#[test]
fn a_stream_without_framing_that_breaks_off_does_not_look_complete() {
    let now = Instant::now();
    let broken = play_in_turn(SEEDS.into_iter().map(play));
    println!("{} events a stream, took {:?}", EVENTS, now.elapsed());
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
