//! Callers that meet an instance in the first moments of its life.

use std::time::Duration;

use async_std::task;
use rustix::process::Signal;

use crate::caller;
use crate::fleet::Fleet;
use crate::store;

/// Loopback addresses of its own, beside those of the seeds that are played meanwhile.
const SEED: u64 = 249;
/// What an answer of the store takes, so that callers are there before the configuration is.
const STORE_TAKES: Duration = Duration::from_millis(20);
/// An instance that does not know the configuration yet refuses nobody sooner than this. It waits longer
/// itself; the rest is for clocks that run fast.
const WAITS: Duration = Duration::from_millis(100);
/// Starts that are played.
const STARTS: usize = 5;

#[test]
fn a_starting_instance_refuses_nobody_before_it_could_have_learned_what_it_must() {
    task::block_on(async {
        let mut fleet = Fleet::start(SEED).await;
        assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
        fleet.store.set_mode(store::Mode::Slow(STORE_TAKES));
        let mut served = 0;
        for start in 0..STARTS {
            fleet.daemons.iter().for_each(|daemon| daemon.signal(Signal::KILL));
            fleet.daemons[0].restart().await;
            let callers = fleet.daemons[0].callers;
            let (seen, took) = loop {
                let sent = std::time::Instant::now();
                let seen = caller::send(callers, "again", format!("start-{start}")).await;
                if seen.is_sent {
                    break (seen, sent.elapsed());
                }
            };
            let is_refused = seen.status == Some(503);
            assert!(!is_refused || took >= WAITS, "refused after {took:?}");
            served += usize::from(seen.is_served());
        }
        println!("{served} of {STARTS} first callers were served");
    });
}
