//! A fault soak: real daemons under seeded faults from outside, promises checked while it runs.
//!
//! Four daemons, most with clocks that misbehave, five endpoints and a store of the users' platform,
//! each behind a proxy that can be told to misbehave. Odd seeds have one cell, even ones two, with an
//! instance in each that copies what the other one knows of the store. CI plays two short seeds;
//! `OXBOW_SOAK=FROM-TO` plays others, one after the other. Seeds that have failed are in [`CASES`] and
//! are played every time.

mod attempts;
mod brittle;
mod caller;
mod config_order;
mod cut_answers;
mod cut_from_all;
mod cuts;
mod drills;
mod endless;
mod endpoint;
mod ends;
mod event_order;
mod exchanges;
mod extra;
mod faults;
mod fleet;
mod gone;
mod kills;
mod late_config;
mod leases;
mod leavers;
mod limits;
mod odd;
mod one_instance;
mod out_of_step;
mod outages;
mod overflow;
mod owners;
mod parts;
mod paths;
mod peer_paths;
mod press;
mod proxy;
mod quotas;
mod rests;
mod rollouts;
mod room;
mod signals;
mod slow;
mod starts;
mod stops;
// tests/recovery uses more of it.
#[allow(dead_code)]
mod store;
mod suspended;
mod taken_up;
mod unframed;
mod versions;
mod wrong;

use std::time::Duration;

/// Seeds that have failed once, with what they found. 35: an endpoint that had left during an outage was taken back from an
/// instance that kept it for a moment.
const CASES: [u64; 1] = [35];
/// The seeds that are always played.
const FIRST: &str = "1-2";
/// Time for which one seed plays.
const LENGTH: Duration = Duration::from_secs(9);

fn seeds() -> Vec<u64> {
    let seeds = std::env::var("OXBOW_SOAK").unwrap_or_else(|_| FIRST.to_owned());
    CASES.into_iter().chain(range(&seeds)).collect()
}

/// The seeds FROM-TO.
fn range(text: &str) -> std::ops::RangeInclusive<u64> {
    let (from, to) = text.split_once('-').expect("FROM-TO");
    let number = |text: &str| text.parse::<u64>().expect("FROM-TO");
    number(from)..=number(to)
}

#[test]
fn promises_hold_under_faults() {
    for seed in seeds() {
        let broken = async_std::task::block_on(faults::play(seed, LENGTH));
        assert!(broken.is_empty(), "seed {seed}:\n{}", broken.join("\n"));
        println!("seed {seed}: all promises held");
    }
}
