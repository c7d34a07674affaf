//! Most new connections go to one instance for some seconds, then to another.

use std::time::{Duration, Instant};

use async_std::task;

use crate::caller::{self, Seen};
use crate::fleet::{Fleet, DAEMONS};
use crate::press;

/// Seeds with one cell and with two.
const SEEDS: [u64; 2] = [271, 272];
const SHARE_SERVED: f64 = 0.75;
const BEFORE: Duration = Duration::from_secs(2);
const LENGTH: Duration = Duration::from_secs(4);
/// A seed with one cell, and the bandwidth of each daemon's link there.
const NARROW: (u64, f64) = (273, 1.0);
/// Part of the link that must be left for requests.
const SHARE_LEFT: f64 = 0.5;
const BYTES_PER_MBIT: f64 = 125_000.0;
/// Time between two tries elsewhere, well within the others' links.
const PACE_ELSEWHERE: Duration = Duration::from_millis(20);
const CLOSED_UNREAD: &str = "oxbow_connections_closed_unread_total";
const REPORT_BYTES: &str = "oxbow_report_bytes_total{direction=\"out\"}";

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

/// Sends again what an instance has closed unread, to the others; returns what was not served.
async fn try_elsewhere(fleet: &Fleet, but: usize, unread: &[Seen]) -> Option<String> {
    let others: Vec<_> = (0..DAEMONS).filter(|n| *n != but).collect();
    let mut sent = Vec::new();
    for (n, first) in unread.iter().enumerate() {
        let daemon = fleet.daemons[others[n % others.len()]].callers;
        let id = format!("{}-again", first.id);
        sent.push(task::spawn(caller::send(daemon, first.kind, id)));
        task::sleep(PACE_ELSEWHERE).await;
    }
    press::unserved(&futures::future::join_all(sent).await)
}

/// Plays one fleet of narrow links; returns what was not as it must be.
async fn play_narrow((seed, mbps): (u64, f64)) -> Vec<String> {
    let fleet = Fleet::start_with_links(seed, mbps).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    let mut broken = Vec::new();
    for n in [1, 2] {
        let sent_before = fleet.daemons[n].metric(REPORT_BYTES).await;
        let closed_before = fleet.daemons[n].metric(CLOSED_UNREAD).await;
        let daemons = [fleet.callers()[n]; DAEMONS];
        let started = Instant::now();
        let seen = press::press_to(daemons, format!("{seed}-{n}"), LENGTH).await;
        let sent = fleet.daemons[n].metric(REPORT_BYTES).await - sent_before;
        let link = mbps * BYTES_PER_MBIT * started.elapsed().as_secs_f64();
        let closed = fleet.daemons[n].metric(CLOSED_UNREAD).await - closed_before;
        // A connection that was closed unread does not count if a later try elsewhere is read.
        let unread: Vec<_> = seen.iter().filter(|seen| seen.status.is_none()).cloned().collect();
        let unread = &unread[..unread.len().min(closed as usize)];
        broken.extend(try_elsewhere(&fleet, n, unread).await);
        let is_served = seen.iter().filter(|seen| seen.is_served()).count();
        let served = is_served as f64 / (seen.len() - unread.len()) as f64;
        let share = sent as f64 / link;
        println!(
            "seed {seed}: reports took {share:.2} of the link, {served:.2} served of {} read, {} not",
            seen.len() - unread.len(),
            unread.len()
        );
        if share > 1.0 - SHARE_LEFT {
            broken
                .push(format!("seed {seed}: reports of instance {n} take {share:.2} of its link"));
        }
        if served < SHARE_SERVED {
            broken.push(format!("seed {seed}: {served:.2} served at instance {n}"));
        }
    }
    broken
}

/// Reports to the cell, of which a busy instance sent up to 200 a second, filled the link of an instance
/// that got most connections: requests that it had read timed out, and sound endpoints seemed silent.
#[test]
fn reports_of_an_instance_that_gets_most_connections_leave_its_link_to_requests() {
    let broken = press::play_in_turn(std::iter::once(NARROW).map(play_narrow));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
