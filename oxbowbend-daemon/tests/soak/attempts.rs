//! No request is sent to more endpoints than its route allows, whatever fails before and after its first event.

use std::time::Duration;

use crate::caller;
use crate::endpoint::Mode;
use crate::fleet::{Fleet, ENDPOINTS};
use crate::press::play_in_turn;
use crate::proxy;

/// A seed with one cell.
const SEED: u64 = 353;
/// Endpoints whose answers are lost; the others break streams off.
const LOSING: usize = 2;
/// Endpoints that a request of the route may be sent to.
const MAX_ATTEMPTS: usize = 3;
/// Requests, a few at once.
const REQUESTS: usize = 60;
const AT_ONCE: usize = 4;

async fn play() -> Vec<String> {
    let fleet = Fleet::start(SEED).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    fleet.proxies[..LOSING].iter().for_each(|proxy| proxy.set_mode(proxy::Mode::Strike));
    fleet.endpoints[LOSING..ENDPOINTS].iter().for_each(|e| e.set_mode(Mode::Cutting));
    for n in (0..REQUESTS).step_by(AT_ONCE) {
        let send = |n: usize| {
            let daemon = fleet.daemons[n % fleet.daemons.len()].callers;
            caller::send(daemon, "stream-on", format!("attempts-{n}"))
        };
        futures::future::join_all((n..n + AT_ONCE).map(send)).await;
    }
    let runs = &fleet.runs.lock().unwrap().runs;
    let counts: Vec<_> = runs.iter().map(|(id, runs)| (id, runs.len())).collect();
    let most = counts.iter().map(|(_, runs)| *runs).max().unwrap_or(0);
    println!("{} requests ran, the most at {most} endpoints", counts.len());
    let is_over = |(_, runs): &&(&String, usize)| *runs > MAX_ATTEMPTS;
    let mut broken: Vec<_> = counts
        .iter()
        .filter(is_over)
        .map(|(id, runs)| format!("{id} ran at {runs} endpoints"))
        .collect();
    if most < MAX_ATTEMPTS {
        broken.push(format!("no request ran at more than {most} endpoints"));
    }
    broken
}

/// Guards against a stream that is resumed at more endpoints than its route allows, since those that failed before its
/// first event were not counted.
#[test]
fn a_stream_is_sent_to_no_more_endpoints_than_its_route_allows() {
    let broken = play_in_turn(std::iter::once(()).map(|()| play()));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
