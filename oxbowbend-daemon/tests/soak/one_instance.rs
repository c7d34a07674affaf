//! Most new connections go to one instance for some seconds, then to another.

use std::time::Duration;

use crate::caller::Seen;
use crate::fleet::{Fleet, DAEMONS};
use crate::press;

/// Seeds with one cell and with two.
const SEEDS: [u64; 2] = [271, 272];
const SHARE_SERVED: f64 = 0.75;
const BEFORE: Duration = Duration::from_secs(2);
const LENGTH: Duration = Duration::from_secs(4);

fn share_served(seen: &[Seen]) -> f64 {
    let served = seen.iter().filter(|seen| seen.is_served()).count();
    served as f64 / seen.len().max(1) as f64
}

/// Plays one fleet; returns what was not as it must be.
async fn play(seed: u64) -> Vec<String> {
    let fleet = Fleet::start(seed).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    let before = share_served(&press::press_fast(&fleet, &format!("{seed}-a"), BEFORE).await);
    let mut broken = Vec::new();
    for n in [1, 2] {
        let daemons = [fleet.callers()[n]; DAEMONS];
        let part = format!("{seed}-{n}");
        let seen = press::press_to(daemons, part, LENGTH).await;
        let (during, count) = (share_served(&seen), seen.len());
        println!("seed {seed}: served {before:.2} before, {during:.2} of {count} at instance {n}");
        if during < SHARE_SERVED * before {
            let first = press::unserved(&seen).unwrap_or_default();
            broken.push(format!("seed {seed}: {during:.2} served at instance {n}; {first}"));
        }
    }
    broken
}

#[test]
fn callers_are_served_where_most_connections_go_to_one_instance() {
    let broken = press::play_in_turn(SEEDS.into_iter().map(play));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
