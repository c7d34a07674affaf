//! Instances and endpoints are killed while they answer: no stream that lacks an event, and no answer that lacks a byte,
//! looks complete to its caller.

use std::time::Duration;

use async_std::task;
use rustix::process::Signal;

use crate::caller::Seen;
use crate::endpoint;
use crate::fleet::{Fleet, ENDPOINTS};
use crate::press::{play_in_turn, press_beside};
use crate::proxy::Mode;

/// Seeds of their own, beside those that are played meanwhile: of one cell and of two cells.
const FRAMED: [u64; 2] = [77, 78];
const UNFRAMED: [u64; 2] = [75, 76];
/// Time for which requests are sent.
const LENGTH: Duration = Duration::from_secs(6);
/// Time between two kills.
const PAUSE: Duration = Duration::from_millis(350);
/// Time for which an endpoint is gone.
const GONE: Duration = Duration::from_millis(250);

/// Kills instances and endpoints in turn while answers are on their way; `mode` is that of the ways to the endpoints.
async fn play(seed: u64, mode: Mode) -> Vec<String> {
    let mut fleet = Fleet::start(seed).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    fleet.proxies.iter().for_each(|proxy| proxy.set_mode(mode));
    fleet.endpoints.iter().for_each(|endpoint| endpoint.set_mode(endpoint::Mode::InTwoPieces));
    let seen = press_beside(&fleet, "kills", LENGTH);
    for n in 0..ENDPOINTS {
        task::sleep(PAUSE).await;
        fleet.starter(n).start_again(Mode::Ended, GONE).await;
        fleet.proxies[n].set_mode(mode);
        if let Some(signal) = [Signal::KILL, Signal::TERM].get(n) {
            fleet.daemons[n + 1].restart_by(*signal).await;
        }
    }
    let seen: Vec<Seen> = seen.await;
    let mut broken = Vec::new();
    for what in ["streams", "plain answers"] {
        let is_meant = |seen: &&Seen| seen.kind.starts_with("stream") == (what == "streams");
        let all = || seen.iter().filter(is_meant);
        let answered = all().filter(|seen| seen.status == Some(200)).count();
        let whole = all().filter(|seen| seen.is_served()).count();
        let wrong: Vec<_> = all().flat_map(|seen| seen.check(&fleet.runs)).collect();
        println!(
            "seed {seed}, {mode:?}: of {answered} {what} {whole} whole, {} wrong",
            wrong.len()
        );
        broken.extend(wrong);
    }
    broken.into_iter().map(|b| format!("seed {seed}: {b}")).collect()
}

#[test]
fn an_answer_of_a_killed_endpoint_or_instance_does_not_look_complete() {
    let broken = play_in_turn(FRAMED.into_iter().map(|seed| play(seed, Mode::Pass)));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn an_answer_without_framing_of_a_killed_endpoint_or_instance_does_not_look_complete() {
    let broken = play_in_turn(UNFRAMED.into_iter().map(|seed| play(seed, Mode::Unframed)));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
