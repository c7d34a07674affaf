//! An endpoint that turns a request away and asks the instance for rest gets it, and is not taken for one that fails.
//!
//! A plain server turned all requests away for seconds, and asked each instance for 3 s of rest. Nobody read that: an instance sent to it again
//! within 0.2 s, blamed it for a failure, and once four failures of all instances were counted, it was set aside for a second and tried
//! again. Two instances sent it five requests and more in the 3 s that it had asked them for, where two are allowed:
//!
//! ```text
//! 26.2315 manila-bay-1 event=send_failed endpoint=i-25ac7d4941 after_ms=0 blame=Bad failure="not run: NotRun"
//! 26.4371 manila-bay-1 event=send_failed endpoint=i-25ac7d4941 after_ms=0 blame=Bad failure="not run: NotRun"
//! 27.7854 manila-bay-1 event=send_failed endpoint=i-25ac7d4941 after_ms=1 blame=Bad failure="not run: NotRun"
//! 27.9805 manila-bay-1 event=send_failed endpoint=i-25ac7d4941 after_ms=1 blame=Bad failure="not run: NotRun"
//! 28.4475 manila-bay-1 event=send_failed endpoint=i-25ac7d4941 after_ms=1 blame=Bad failure="not run: NotRun"
//! ```

use std::time::{Duration, Instant};

use crate::exchanges::{Episode, Says};
use crate::fleet::{Fleet, DAEMONS};
use crate::press::{play_in_turn, press, press_fast, unserved};

/// Seeds of their own, beside those that are played meanwhile: one of one cell, one of two cells.
const SEEDS: [u64; 2] = [221, 222];
/// Endpoints that ask for rest: more than half, which are not all set aside for failures; and for how long each time, in
/// seconds.
const TIRED: [usize; 3] = [1, 3, 4];
const REST_S: f64 = 2.0;
/// Time for which it turns requests away.
const LENGTH: Duration = Duration::from_secs(7);
/// Time after which each instance has been turned away by all of them; a request that is turned away by three is refused.
const KNOWN: Duration = Duration::from_millis(500);
/// Time after the end of the last rest within which it gets requests again: it has not failed.
const AGAIN: Duration = Duration::from_millis(500);

async fn play(seed: u64) -> Vec<String> {
    let fleet = Fleet::start(seed).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    press(&fleet, "before", Duration::from_secs(1)).await;
    let rest = Says { rest_s: Some(REST_S), ..Says::default() };
    let from = Instant::now();
    TIRED.iter().for_each(|n| fleet.endpoints[*n].set_says(rest));
    press(&fleet, "first", KNOWN).await;
    let mut broken: Vec<_> = unserved(&press(&fleet, "rest", LENGTH).await).into_iter().collect();
    let until = Instant::now();
    TIRED.iter().for_each(|n| fleet.endpoints[*n].set_says(Says::default()));
    press(&fleet, "over", Duration::from_secs_f64(REST_S) + AGAIN).await;
    let now = Instant::now();
    press_fast(&fleet, "after", Duration::from_secs(1)).await;
    for n in TIRED {
        let id = &fleet.endpoints[n].id;
        let episode = Episode { endpoint: id.clone(), says: rest, from, until };
        broken.extend(fleet.exchanges.check(&episode, &[]));
        let count = fleet.exchanges.count(id, now, Instant::now());
        if count < DAEMONS {
            broken.push(format!("{id} got only {count} requests in the second after its rest"));
        }
    }
    broken.into_iter().map(|b| format!("seed {seed}: {b}")).collect()
}

#[test]
fn an_endpoint_that_asks_for_rest_gets_it() {
    let broken = play_in_turn(SEEDS.into_iter().map(play));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
